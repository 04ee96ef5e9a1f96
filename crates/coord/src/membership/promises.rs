//! Promises not to remove a member and consents to remove one, as granted by this process.

use indexmap::IndexMap;

use super::MemberId;
use super::Settings;
use crate::time::Tick;

/// Promises and consents that this process has granted. They are kept in memory only: a process
/// grants no consent until it has been up for [`Settings::expiry_wait`], when the promises of its
/// earlier incarnations have expired.
#[derive(Clone, Debug, Default)]
pub struct Promises {
    /// Expiry by member and epoch. A promise at a newer epoch doesn't replace an older one, since
    /// possibly only the older one belongs to a majority.
    promises: IndexMap<(MemberId, u64), Tick>,
    /// Row version that the consent is bound to, by member.
    consents: IndexMap<MemberId, u64>,
}

impl Promises {
    /// Promises `to` not to remove it for [`Settings::expiry_wait`]. Returns false if a consent to
    /// its removal is outstanding.
    pub fn grant_promise(
        &mut self,
        now: Tick,
        to: &MemberId,
        epoch: u64,
        settings: &Settings,
    ) -> bool {
        if self.consents.contains_key(to) {
            return false;
        }
        let until = now + settings.expiry_wait();
        self.promises.insert((to.clone(), epoch), until);
        true
    }

    /// Consents to the removal of `id` while its row is at `version`. Returns false if a promise to
    /// it is outstanding.
    pub fn grant_consent(&mut self, now: Tick, id: &MemberId, version: u64) -> bool {
        if self.promises.iter().any(|((to, _), until)| to == id && now < *until) {
            return false;
        }
        let bound = self.consents.entry(id.clone()).or_insert(version);
        *bound = version.max(*bound);
        true
    }

    /// Drops the consent to remove `id` if its row was seen at a newer `version`: a removal under
    /// that consent would be refused.
    pub fn drop_outdated_consent(&mut self, id: &MemberId, version: u64) {
        if self.consents.get(id).is_some_and(|bound| *bound < version) {
            self.consents.swap_remove(id);
        }
    }

    /// Whether no promise granted before `epoch` is outstanding.
    pub fn none_before(&self, now: Tick, epoch: u64) -> bool {
        !self.promises.iter().any(|((_, at), until)| *at < epoch && now < *until)
    }

    /// Whether no promise of any epoch is outstanding.
    pub fn none_outstanding(&self, now: Tick) -> bool {
        self.none_before(now, u64::MAX)
    }

    /// Drops expired promises, and consents for processes that aren't a `member`.
    pub fn prune(&mut self, now: Tick, member: impl Fn(&MemberId) -> bool) {
        self.promises.retain(|_, until| now < *until);
        self.consents.retain(|id, _| member(id));
    }
}
