//! Read access to a bucket.

use super::Account;
use super::Bucket;
use crate::keys::MemberKey;
use crate::pools::Limits;
use crate::pools::MICRO_PER_TOKEN;

impl Bucket {
    /// View epoch in which this home started.
    pub fn home_epoch(&self) -> u64 {
        self.home_epoch
    }

    /// Current rate and burst.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// Whole tokens available as of the last operation.
    pub fn level(&self) -> u64 {
        self.level / MICRO_PER_TOKEN
    }

    /// Sum of the routers' holdings in tokens, by their last reports.
    pub fn holdings(&self) -> u64 {
        u64::try_from(self.holdings).unwrap_or(u64::MAX)
    }

    /// Whether the inventory is complete and the bucket grants.
    pub fn is_granting(&self) -> bool {
        self.missing.is_empty() && !self.handed_over
    }

    /// Members whose snapshot the inventory still lacks.
    pub fn missing_members(&self) -> impl Iterator<Item = MemberKey> + '_ {
        self.missing.iter().copied()
    }

    /// One router's account; `None` if the router is unknown or removed.
    pub fn account(&self, router: MemberKey) -> Option<&Account> {
        self.accounts.get(&router)
    }

    /// Cumulative tokens granted to a router.
    pub(super) fn granted_to(&self, router: MemberKey) -> u64 {
        self.accounts.get(&router).map_or(0, |account| account.counters.granted)
    }

    /// Microtokens by which the invariant lets the level rise.
    pub(super) fn headroom(&self) -> u64 {
        let max_level =
            self.limits.burst.saturating_sub(self.holdings()).saturating_mul(MICRO_PER_TOKEN);
        max_level.saturating_sub(self.level)
    }

    /// Tokens needed by the routers queued before `router`, or by all if it isn't queued.
    pub(super) fn queued_ahead(&self, router: MemberKey) -> u64 {
        let before = self.waiters.iter().take_while(|waiter| waiter.router != router);
        before.fold(0, |sum, waiter| sum.saturating_add(waiter.need))
    }
}
