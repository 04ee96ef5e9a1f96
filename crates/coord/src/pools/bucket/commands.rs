//! Commands of the bucket.

use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;

use super::peaks::Peaks;
use super::Account;
use super::Bucket;
use super::Handover;
use super::Waiter;
use crate::keys::MemberKey;
use crate::pools::Counters;
use crate::pools::Error;
use crate::pools::Grant;
use crate::pools::GrantRequest;
use crate::pools::Limits;
use crate::pools::Refund;
use crate::pools::Result;
use crate::pools::Verdict;
use crate::pools::MICRO;
use crate::time::Tick;

/// A grant beyond the need takes at most this part of the level.
const SPARE_PARTS: u64 = 4;

/// How long a waiting router that doesn't ask again keeps its place after its turn came.
const PLACE_SPAN: Duration = Duration::from_millis(250);

/// Told to routers that ask while the inventory is open.
const INVENTORY_WAIT: Duration = Duration::from_millis(20);

impl Bucket {
    /// The first home of a team: a full bucket, no holdings.
    pub fn new_full(home: u64, limits: Limits, now: Tick) -> Self {
        let mut bucket = Bucket::new_successor(home, limits, &[], now);
        bucket.level = limits.burst.saturating_mul(MICRO);
        bucket.note(now);
        bucket
    }

    /// A home that follows another: level zero, and an inventory of `members` to take.
    ///
    /// `stopped` is a moment from which the home before had provably stopped and each member had
    /// taken its snapshot ([`Slice::switch_home`](crate::pools::Slice::switch_home)) or lapsed; what accrued
    /// since then is provably unspent.
    pub fn new_successor(home: u64, limits: Limits, members: &[MemberKey], stopped: Tick) -> Self {
        Bucket {
            home,
            limits,
            level: 0,
            filled: stopped,
            accounts: IndexMap::new(),
            holdings: 0,
            peaks: Peaks::new(stopped),
            waiting: Default::default(),
            missing: members.iter().copied().collect(),
            lapsed: IndexSet::new(),
            handed: Handover::default(),
            stopped: false,
        }
    }

    /// Takes what the home before handed over; without effect once the inventory is complete.
    pub fn accept_handover(&mut self, handover: Handover) {
        if self.missing.is_empty() {
            return;
        }
        self.handed = handover;
    }

    /// Takes one member's snapshot into the inventory. Repeats are without effect.
    pub fn add_snapshot(&mut self, router: MemberKey, snapshot: Counters, now: Tick) {
        if !self.missing.contains(&router) {
            return;
        }
        let base = match self.handed.accounts.get(&router) {
            Some(account) => Counters { granted: snapshot.granted, ..account.counters },
            None => snapshot,
        };
        self.accounts.insert(router, Account { counters: base, refund: 0 });
        self.holdings += base.held();
        self.absorb(router, snapshot);
        self.missing.swap_remove(&router);
        self.open(now);
    }

    /// Forgets a router whose term has provably ended. Its holding is lost.
    pub fn remove_router(&mut self, router: MemberKey, now: Tick) {
        self.accrue(now);
        self.lapsed.insert(router);
        self.waiting.retain(|waiter| waiter.router != router);
        if let Some(account) = self.accounts.swap_remove(&router) {
            self.holdings -= account.counters.held();
        }
        if self.missing.swap_remove(&router) {
            self.open(now);
        }
    }

    /// Changes rate and burst at `now`. What is above the new burst is dropped.
    pub fn set_limits(&mut self, limits: Limits, now: Tick) {
        self.accrue(now);
        let higher = limits.burst.saturating_sub(self.limits.burst);
        self.peaks.shift(higher.saturating_mul(MICRO));
        self.limits = limits;
        let most = limits.burst.saturating_sub(self.holdings).saturating_mul(MICRO);
        self.level = self.level.min(most);
        self.note(now);
    }

    /// Stops for good and tells what the next home may count on.
    pub fn hand_over(&mut self, now: Tick) -> Handover {
        self.accrue(now);
        self.stopped = true;
        let level = std::mem::take(&mut self.level);
        Handover { level, accounts: self.accounts.clone() }
    }

    /// Answers a router.
    ///
    /// # Errors
    ///
    /// [`Error::HandedOver`] after a hand-over, [`Error::WrongEpoch`] for another epoch's message,
    /// [`Error::NoAccount`] for a router that lapsed or was left out of the inventory.
    pub fn handle_request(
        &mut self,
        router: MemberKey,
        ask: &GrantRequest,
        now: Tick,
    ) -> Result<Grant> {
        self.admit(router, ask)?;
        if !self.missing.is_empty() {
            let granted = self.granted(router).max(ask.counters.granted);
            return Ok(self.answer(router, ask, granted, Verdict::Wait(INVENTORY_WAIT), now));
        }
        self.accrue(now);
        self.absorb(router, ask.counters);
        self.refund(router, &ask.refunds);
        self.expire(now);
        let verdict = self.decide(router, ask, now);
        self.note(now);
        Ok(self.answer(router, ask, self.granted(router), verdict, now))
    }

    /// Checks that the message is for this home and from a router with an account; a router that
    /// joined after the inventory has an empty one.
    fn admit(&mut self, router: MemberKey, ask: &GrantRequest) -> Result<()> {
        if self.stopped {
            return Err(Error::HandedOver);
        }
        if ask.home != self.home {
            return Err(Error::WrongEpoch { requested: ask.home, current: self.home });
        }
        if self.lapsed.contains(&router) {
            return Err(Error::NoAccount);
        }
        if self.accounts.contains_key(&router) || self.missing.contains(&router) {
            return Ok(());
        }
        if ask.counters.granted > 0 {
            return Err(Error::NoAccount);
        }
        self.accounts.insert(router, Account::default());
        Ok(())
    }

    /// Grants, or finds the place in the queue and the wait.
    fn decide(&mut self, router: MemberKey, ask: &GrantRequest, now: Tick) -> Verdict {
        if ask.need > self.limits.burst {
            self.waiting.retain(|waiter| waiter.router != router);
            return Verdict::TooLarge;
        }
        // A grant that the router hasn't seen yet is on its way or lost; this answer repeats it.
        let unseen = self.granted(router).saturating_sub(ask.counters.granted);
        let need = ask.need.saturating_sub(unseen);
        let want = ask.want.max(ask.need).saturating_sub(unseen);
        let ahead = self.ahead(router);
        let free = (self.level / MICRO).saturating_sub(ahead);
        if need <= free {
            let spare = (free - need) / SPARE_PARTS;
            self.grant(router, need + (want - need).min(spare));
            return Verdict::Granted;
        }
        let short = (ahead + need).saturating_mul(MICRO).saturating_sub(self.level);
        let wait = self.limits.span(short);
        self.enqueue(Waiter { router, need, until: now + wait + PLACE_SPAN });
        Verdict::Wait(wait)
    }

    fn grant(&mut self, router: MemberKey, tokens: u64) {
        self.waiting.retain(|waiter| waiter.router != router);
        let Some(account) = self.accounts.get_mut(&router) else {
            return;
        };
        account.counters.granted += tokens;
        self.holdings += tokens;
        self.level -= tokens * MICRO;
    }

    fn enqueue(&mut self, waiter: Waiter) {
        let place = self.waiting.iter_mut().find(|other| other.router == waiter.router);
        match place {
            Some(place) => *place = waiter,
            None => self.waiting.push_back(waiter),
        }
    }

    fn expire(&mut self, now: Tick) {
        self.waiting.retain(|waiter| waiter.until >= now);
    }

    /// Takes the higher of each counter. Spending comes first: it makes room for the rest.
    fn absorb(&mut self, router: MemberKey, seen: Counters) {
        let Some(account) = self.accounts.get_mut(&router) else {
            return;
        };
        let before = account.counters;
        let after = Counters {
            granted: before.granted,
            spent: before.spent.max(seen.spent),
            returned: before.returned.max(seen.returned),
        };
        account.counters = after;
        self.holdings = self.holdings - before.held() + after.held();
        self.credit((after.returned - before.returned).saturating_mul(MICRO));
    }

    /// Credits refunds that weren't taken yet, as if their tokens had never been taken.
    fn refund(&mut self, router: MemberKey, refunds: &[Refund]) {
        for refund in refunds {
            let Some(account) = self.accounts.get_mut(&router) else {
                return;
            };
            if refund.number <= account.refund {
                continue;
            }
            account.refund = refund.number;
            let Some(peak) = self.peaks.since(refund.since) else {
                continue;
            };
            let burst = self.limits.burst.saturating_mul(MICRO);
            let micros = refund.tokens.saturating_mul(MICRO).min(burst.saturating_sub(peak));
            self.credit(micros);
            self.peaks.lift(refund.since, micros);
        }
    }

    /// Adds to the level, never above what the invariant leaves.
    fn credit(&mut self, micros: u64) {
        self.level += micros.min(self.room());
    }

    /// Notes level and holdings for later refunds.
    fn note(&mut self, now: Tick) {
        let sum = self.level + self.holdings.saturating_mul(MICRO);
        self.peaks.note(sum, self.limits.rate, now);
    }

    fn accrue(&mut self, now: Tick) {
        if now <= self.filled || !self.missing.is_empty() {
            return;
        }
        let micros = now.0 - self.filled.0;
        self.filled = now;
        self.credit(self.limits.rate.saturating_mul(micros));
        self.note(now);
    }

    /// Ends the inventory when nobody is missing: the handed-over level counts from here.
    fn open(&mut self, now: Tick) {
        if !self.missing.is_empty() {
            return;
        }
        let handed = std::mem::take(&mut self.handed);
        self.credit(handed.level);
        self.accrue(now);
        // Before this moment the holdings weren't known, so no refund may refer to it.
        self.peaks = Peaks::new(now);
        self.note(now);
    }

    fn answer(
        &self,
        router: MemberKey,
        ask: &GrantRequest,
        granted: u64,
        verdict: Verdict,
        now: Tick,
    ) -> Grant {
        let refund = self.accounts.get(&router).map_or(0, |account| account.refund);
        Grant { home: self.home, number: ask.number, at: now, granted, refund, verdict }
    }
}
