//! Promises not to remove a member, and consents to remove one.

use indexmap::IndexMap;

use super::MemberId;
use super::Settings;
use crate::time::Tick;

/// What this process has given to others. It lives in memory only: a process gives nothing before
/// it has been up for a whole lapse, so what an earlier incarnation gave has run out by then.
#[derive(Clone, Debug, Default)]
pub struct Promises {
    /// To whom and at which epoch, and until when it stands. One given later at a newer epoch
    /// doesn't replace an older one: only the older may be part of a majority.
    given: IndexMap<(MemberId, u64), Tick>,
    /// Incarnation to the version of its row that the consent is bound to.
    consented: IndexMap<MemberId, u64>,
}

impl Promises {
    /// Promises `to` not to remove it for one term, unless a consent stands against it.
    pub fn promise(&mut self, now: Tick, to: &MemberId, epoch: u64, settings: &Settings) -> bool {
        if self.consented.contains_key(to) {
            return false;
        }
        let until = now + settings.expiry_wait();
        self.given.insert((to.clone(), epoch), until);
        true
    }

    /// Consents to the removal of `id` while its row stands at `version`, unless a promise to it
    /// is outstanding.
    pub fn consent(&mut self, now: Tick, id: &MemberId, version: u64) -> bool {
        if self.given.iter().any(|((to, _), until)| to == id && now < *until) {
            return false;
        }
        let bound = self.consented.entry(id.clone()).or_insert(version);
        *bound = version.max(*bound);
        true
    }

    /// The row of `id` was seen at `version`: a consent bound to an older one can't be used.
    pub fn renewed(&mut self, id: &MemberId, version: u64) {
        if self.consented.get(id).is_some_and(|bound| *bound < version) {
            self.consented.swap_remove(id);
        }
    }

    /// Whether no promise given before `epoch` is outstanding.
    pub fn clear(&self, now: Tick, epoch: u64) -> bool {
        !self.given.iter().any(|((_, at), until)| *at < epoch && now < *until)
    }

    /// Whether no promise at all is outstanding.
    pub fn none(&self, now: Tick) -> bool {
        self.clear(now, u64::MAX)
    }

    /// Drops what no longer matters.
    pub fn prune(&mut self, now: Tick, member: impl Fn(&MemberId) -> bool) {
        self.given.retain(|_, until| now < *until);
        self.consented.retain(|id, _| member(id));
    }
}
