//! Operations that change a bucket.

use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;

use super::sum_history::SumHistory;
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
use crate::pools::MICRO_PER_TOKEN;
use crate::time::Tick;

/// Beyond the need, a grant takes at most 1/`SPARE_DIVISOR` of the tokens that are left.
const SPARE_DIVISOR: u64 = 4;

/// How long a router that doesn't repeat its request stays queued after its turn.
const QUEUE_PLACE_TIME: Duration = Duration::from_millis(250);

/// Wait sent to routers while the inventory is incomplete.
const INVENTORY_WAIT: Duration = Duration::from_millis(20);

impl Bucket {
    /// Creates the bucket of a team's first home: full, without holdings.
    pub fn new_full(home_epoch: u64, limits: Limits, now: Tick) -> Self {
        let mut bucket = Bucket::new_successor(home_epoch, limits, &[], now);
        bucket.level = limits.burst.saturating_mul(MICRO_PER_TOKEN);
        bucket.record_sum(now);
        bucket
    }

    /// Creates the bucket of a home that succeeds another: empty until the inventory of `members`
    /// is complete.
    ///
    /// `stopped_at` is a time by which the previous home had certainly stopped, and each member had
    /// taken its snapshot ([`Slice::switch_home`](crate::pools::Slice::switch_home)) or expired.
    /// What accrued since then can't have been spent.
    pub fn new_successor(
        home_epoch: u64,
        limits: Limits,
        members: &[MemberKey],
        stopped_at: Tick,
    ) -> Self {
        Bucket {
            home_epoch,
            limits,
            level: 0,
            accrued: stopped_at,
            accounts: IndexMap::new(),
            holdings: 0,
            sum_history: SumHistory::new(stopped_at),
            waiters: Default::default(),
            missing: members.iter().copied().collect(),
            expired: IndexSet::new(),
            handover: Handover::default(),
            handed_over: false,
        }
    }

    /// Stores the previous home's handover. No effect once the inventory is complete.
    pub fn accept_handover(&mut self, handover: Handover) {
        if self.missing.is_empty() {
            return;
        }
        self.handover = handover;
    }

    /// Adds one member's snapshot to the inventory. Repeated snapshots have no effect.
    pub fn add_snapshot(&mut self, router: MemberKey, snapshot: Counters, now: Tick) {
        if !self.missing.contains(&router) {
            return;
        }
        let baseline = match self.handover.accounts.get(&router) {
            Some(account) => Counters { granted: snapshot.granted, ..account.counters },
            None => snapshot,
        };
        self.accounts.insert(router, Account { counters: baseline, refund: 0 });
        self.holdings += u128::from(baseline.held());
        self.merge_counters(router, snapshot);
        self.missing.swap_remove(&router);
        self.complete_inventory(now);
    }

    /// Removes a router whose membership lease has certainly expired. Its holding is lost.
    pub fn remove_router(&mut self, router: MemberKey, now: Tick) {
        self.accrue(now);
        self.expired.insert(router);
        self.waiters.retain(|waiter| waiter.router != router);
        if let Some(account) = self.accounts.swap_remove(&router) {
            self.holdings -= u128::from(account.counters.held());
        }
        if self.missing.swap_remove(&router) {
            self.complete_inventory(now);
        }
    }

    /// Changes rate and burst at `now`. Tokens above the new burst are dropped.
    pub fn set_limits(&mut self, limits: Limits, now: Tick) {
        self.accrue(now);
        let increase = limits.burst.saturating_sub(self.limits.burst);
        self.sum_history.raise_all(increase.saturating_mul(MICRO_PER_TOKEN));
        self.limits = limits;
        let max_level =
            limits.burst.saturating_sub(self.holdings()).saturating_mul(MICRO_PER_TOKEN);
        self.level = self.level.min(max_level);
        self.record_sum(now);
    }

    /// Stops granting permanently and returns the state for the next home.
    pub fn hand_over(&mut self, now: Tick) -> Handover {
        self.accrue(now);
        self.handed_over = true;
        let level = std::mem::take(&mut self.level);
        Handover { level, accounts: self.accounts.clone() }
    }

    /// Processes a router's report and request.
    ///
    /// # Errors
    ///
    /// [`Error::HandedOver`] after [`Bucket::hand_over`], [`Error::WrongEpoch`] for a request to a
    /// home of another epoch, [`Error::NoAccount`] for a router that expired or that the inventory
    /// didn't include.
    pub fn handle_request(
        &mut self,
        router: MemberKey,
        request: &GrantRequest,
        now: Tick,
    ) -> Result<Grant> {
        self.check_sender(router, request)?;
        if !self.missing.is_empty() {
            let granted = self.granted_to(router).max(request.counters.granted);
            return Ok(self.response(router, request, granted, Verdict::Wait(INVENTORY_WAIT), now));
        }
        self.accrue(now);
        self.merge_counters(router, request.counters);
        self.credit_refunds(router, &request.refunds);
        self.expire_waiters(now);
        let verdict = self.grant_or_queue(router, request, now);
        self.record_sum(now);
        Ok(self.response(router, request, self.granted_to(router), verdict, now))
    }

    /// Checks that the request is addressed to this home and comes from a router with an account.
    /// A router that joined after the inventory gets an empty account.
    fn check_sender(&mut self, router: MemberKey, request: &GrantRequest) -> Result<()> {
        if self.handed_over {
            return Err(Error::HandedOver);
        }
        if request.home != self.home_epoch {
            return Err(Error::WrongEpoch { requested: request.home, current: self.home_epoch });
        }
        if self.expired.contains(&router) {
            return Err(Error::NoAccount);
        }
        if self.accounts.contains_key(&router) || self.missing.contains(&router) {
            return Ok(());
        }
        if request.counters.granted > 0 {
            return Err(Error::NoAccount);
        }
        self.accounts.insert(router, Account::default());
        Ok(())
    }

    /// Grants the need, or queues the router and returns the wait.
    fn grant_or_queue(&mut self, router: MemberKey, request: &GrantRequest, now: Tick) -> Verdict {
        if request.need > self.limits.burst {
            self.waiters.retain(|waiter| waiter.router != router);
            return Verdict::TooLarge;
        }
        // A grant that the router hasn't received is in transit or lost; the response repeats it.
        let unseen = self.granted_to(router).saturating_sub(request.counters.granted);
        let need = request.need.saturating_sub(unseen);
        let want = request.want.max(request.need).saturating_sub(unseen);
        let queued_ahead = self.queued_ahead(router);
        let available = (self.level / MICRO_PER_TOKEN).saturating_sub(queued_ahead);
        if need <= available {
            let spare = (available - need) / SPARE_DIVISOR;
            self.grant(router, need + (want - need).min(spare));
            return Verdict::Granted;
        }
        let shortfall = queued_ahead
            .saturating_add(need)
            .saturating_mul(MICRO_PER_TOKEN)
            .saturating_sub(self.level);
        let wait = self.limits.refill_time(shortfall);
        self.enqueue(Waiter { router, need, expires: now + wait + QUEUE_PLACE_TIME });
        Verdict::Wait(wait)
    }

    fn grant(&mut self, router: MemberKey, tokens: u64) {
        self.waiters.retain(|waiter| waiter.router != router);
        let Some(account) = self.accounts.get_mut(&router) else {
            return;
        };
        let before = account.counters.held();
        account.counters.granted = account.counters.granted.saturating_add(tokens);
        self.holdings += u128::from(account.counters.held() - before);
        self.level -= tokens * MICRO_PER_TOKEN;
    }

    fn enqueue(&mut self, waiter: Waiter) {
        let existing = self.waiters.iter_mut().find(|other| other.router == waiter.router);
        match existing {
            Some(existing) => *existing = waiter,
            None => self.waiters.push_back(waiter),
        }
    }

    fn expire_waiters(&mut self, now: Tick) {
        self.waiters.retain(|waiter| waiter.expires >= now);
    }

    /// Merges reported counters, keeping the higher value of each. Spent tokens leave the holdings
    /// before the returned ones are credited, so that these find room.
    fn merge_counters(&mut self, router: MemberKey, reported: Counters) {
        let Some(account) = self.accounts.get_mut(&router) else {
            return;
        };
        let before = account.counters;
        let after = Counters {
            granted: before.granted,
            spent: before.spent.max(reported.spent),
            returned: before.returned.max(reported.returned),
        };
        account.counters = after;
        self.holdings = self.holdings - u128::from(before.held()) + u128::from(after.held());
        self.credit((after.returned - before.returned).saturating_mul(MICRO_PER_TOKEN));
    }

    /// Credits unprocessed refunds as if their tokens had never been reserved.
    fn credit_refunds(&mut self, router: MemberKey, refunds: &[Refund]) {
        for refund in refunds {
            let Some(account) = self.accounts.get_mut(&router) else {
                return;
            };
            if refund.number <= account.refund {
                continue;
            }
            account.refund = refund.number;
            let Some(max_sum) = self.sum_history.max_since(refund.since) else {
                continue;
            };
            let burst = self.limits.burst.saturating_mul(MICRO_PER_TOKEN);
            let microtokens =
                refund.tokens.saturating_mul(MICRO_PER_TOKEN).min(burst.saturating_sub(max_sum));
            self.credit(microtokens);
            self.sum_history.add_since(refund.since, microtokens);
        }
    }

    /// Raises the level, at most to what the invariant allows.
    fn credit(&mut self, microtokens: u64) {
        self.level += microtokens.min(self.headroom());
    }

    /// Records `level + Σ holdings`, which caps later refunds.
    fn record_sum(&mut self, now: Tick) {
        let held = self.holdings().saturating_mul(MICRO_PER_TOKEN);
        let sum = self.level.saturating_add(held);
        self.sum_history.record(sum, self.limits.rate, now);
    }

    fn accrue(&mut self, now: Tick) {
        if now <= self.accrued || !self.missing.is_empty() {
            return;
        }
        let elapsed = now.0 - self.accrued.0;
        self.accrued = now;
        self.credit(self.limits.rate.saturating_mul(elapsed));
        self.record_sum(now);
    }

    /// Starts granting if no member's snapshot is missing, and credits the handover's level.
    fn complete_inventory(&mut self, now: Tick) {
        if !self.missing.is_empty() {
            return;
        }
        let handover = std::mem::take(&mut self.handover);
        self.credit(handover.level);
        self.accrue(now);
        // The holdings before this time are unknown, so refunds may not refer to it.
        self.sum_history = SumHistory::new(now);
        self.record_sum(now);
    }

    fn response(
        &self,
        router: MemberKey,
        request: &GrantRequest,
        granted: u64,
        verdict: Verdict,
        now: Tick,
    ) -> Grant {
        let refund = self.accounts.get(&router).map_or(0, |account| account.refund);
        Grant { home: self.home_epoch, number: request.number, at: now, granted, refund, verdict }
    }
}
