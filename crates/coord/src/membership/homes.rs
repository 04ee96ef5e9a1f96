//! Which resources this member is the home of, and whether it may serve them.

use std::sync::Arc;

use super::Kind;
use super::MemberId;
use super::View;

/// Most views kept until the next one is settled.
const MAX_VIEWS: usize = 64;

/// State of a resource's home, as one member sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum HomeState {
    /// This member owns the resource and may serve it while its lease is valid.
    Serving,
    /// This member owns the resource but waits for acknowledgements of the view.
    Acquiring,
    /// Another member owns the resource.
    Remote(MemberId),
    /// No member has the role that the resource needs.
    Unassigned,
}

/// Tracks which resources one member may serve.
///
/// A view is settled once all its members have acknowledged it. A member serves the resources that
/// it owns in a settled view. It continues through later views as long as it owns the resource in
/// each of them: no other member can have served the resource in between, since that would have
/// needed this member's acknowledgement.
#[derive(Clone, Debug)]
pub struct Homes {
    me: MemberId,
    /// Views adopted since the last settled one, which is the first entry if `settled`.
    views: Vec<Arc<View>>,
    settled: bool,
}

impl Homes {
    /// Creates the tracker of member `me`, without a view.
    pub fn new(me: MemberId) -> Self {
        Homes { me, views: Vec::new(), settled: false }
    }

    /// Adopts a newer view. Resources that moved to another member are no longer served when this
    /// returns.
    pub fn adopt(&mut self, view: Arc<View>) {
        if !self.settled || self.views.len() >= MAX_VIEWS {
            self.settled = false;
            self.views.clear();
        }
        self.views.push(view);
    }

    /// Marks the newest view as settled: every member has acknowledged it.
    pub fn settle(&mut self) {
        let Some(view) = self.views.pop() else { return };
        self.views = vec![view];
        self.settled = true;
    }

    /// Whether the newest view is settled.
    pub fn settled(&self) -> bool {
        self.settled && self.views.len() == 1
    }

    /// State of the resource `name` of `kind`.
    pub fn state(&self, kind: Kind, name: &str) -> HomeState {
        let Some(owner) = self.views.last().and_then(|view| view.owner(kind, name)) else {
            return HomeState::Unassigned;
        };
        if owner.id != self.me {
            return HomeState::Remote(owner.id.clone());
        }
        let mine = |view: &Arc<View>| view.owner(kind, name).is_some_and(|o| o.id == self.me);
        if self.settled && self.views.iter().all(mine) {
            return HomeState::Serving;
        }
        HomeState::Acquiring
    }
}
