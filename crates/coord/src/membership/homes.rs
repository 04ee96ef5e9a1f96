//! What this member is the home of, and whether it serves.

use std::sync::Arc;

use super::Kind;
use super::MemberId;
use super::View;

/// Most views kept while none is settled.
const VIEWS_KEPT: usize = 64;

/// Where a thing's home stands, as one member sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum HomeState {
    /// This member serves it, as long as its term is live.
    Serving,
    /// This member owns it and waits for acknowledgements.
    Acquiring,
    /// Another member owns it.
    Remote(MemberId),
    /// No member has the role.
    Unassigned,
}

/// The homes of one member.
///
/// A view is settled once all its members have acknowledged it. A member serves what it owns in a
/// settled view, and goes on with it through later views in all of which it owns it: nobody else
/// can have served it meanwhile, for lack of this member's acknowledgement.
#[derive(Clone, Debug)]
pub struct Homes {
    me: MemberId,
    /// Views held since the last settled one, which comes first when `settled`.
    views: Vec<Arc<View>>,
    settled: bool,
}

impl Homes {
    /// The homes of `me` before any view.
    pub fn new(me: MemberId) -> Self {
        Homes { me, views: Vec::new(), settled: false }
    }

    /// Takes up a newer view; what moved away has stopped when this returns.
    pub fn adopt(&mut self, view: Arc<View>) {
        if !self.settled || self.views.len() >= VIEWS_KEPT {
            self.settled = false;
            self.views.clear();
        }
        self.views.push(view);
    }

    /// Every member of the newest view has acknowledged it.
    pub fn settle(&mut self) {
        let Some(view) = self.views.pop() else { return };
        self.views = vec![view];
        self.settled = true;
    }

    /// Whether the newest view is settled.
    pub fn settled(&self) -> bool {
        self.settled && self.views.len() == 1
    }

    /// The state of one thing.
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
