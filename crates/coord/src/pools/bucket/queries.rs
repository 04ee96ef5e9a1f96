//! Queries of the bucket.

use super::Account;
use super::Bucket;
use crate::keys::MemberKey;
use crate::pools::Limits;
use crate::pools::MICRO;

impl Bucket {
    /// Epoch in which this home started.
    pub fn home(&self) -> u64 {
        self.home
    }

    /// Rate and burst in force.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// Whole tokens that may be granted, as of the last command.
    pub fn level(&self) -> u64 {
        self.level / MICRO
    }

    /// Σ of the routers' holdings in tokens, as far as reported.
    pub fn holdings(&self) -> u64 {
        self.holdings
    }

    /// Whether the inventory is complete and the bucket grants.
    pub fn is_open(&self) -> bool {
        self.missing.is_empty() && !self.stopped
    }

    /// Members whose part of the inventory is missing.
    pub fn missing(&self) -> impl Iterator<Item = MemberKey> + '_ {
        self.missing.iter().copied()
    }

    /// One router's account.
    pub fn account(&self, router: MemberKey) -> Option<&Account> {
        self.accounts.get(&router)
    }

    /// Total granted to a router.
    pub(super) fn granted(&self, router: MemberKey) -> u64 {
        self.accounts.get(&router).map_or(0, |account| account.counters.granted)
    }

    /// Microtokens by which the level may rise.
    pub(super) fn room(&self) -> u64 {
        let most = self.limits.burst.saturating_sub(self.holdings).saturating_mul(MICRO);
        most.saturating_sub(self.level)
    }

    /// Tokens that routers waiting before `router` need.
    pub(super) fn ahead(&self, router: MemberKey) -> u64 {
        let before = self.waiting.iter().take_while(|waiter| waiter.router != router);
        before.map(|waiter| waiter.need).sum()
    }
}
