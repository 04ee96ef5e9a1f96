//! Operations that change a slice.

use std::time::Duration;

use indexmap::IndexMap;

use super::Effect;
use super::Reason;
use super::Reservation;
use super::Slice;
use super::SliceSettings;
use super::Waiter;
use crate::pools::Counters;
use crate::pools::Grant;
use crate::pools::GrantRequest;
use crate::pools::Limits;
use crate::pools::Refund;
use crate::pools::Verdict;
use crate::pools::MICRO_PER_TOKEN;
use crate::time::Tick;

/// Time constant of the exponentially decayed usage.
const USAGE_TIME_CONSTANT: Duration = Duration::from_secs(1);

/// Minimum delay before the next [`GrantRequest`] after the home reported a wait.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(5);

/// Maximum of this delay. It lets the slice use tokens that other routers return or refund.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Maximum number of refunds without acknowledgement by the home.
const MAX_PENDING_REFUNDS: usize = 256;

impl Slice {
    /// Creates an empty slice whose home started in epoch `home_epoch`.
    pub fn new(settings: SliceSettings, home_epoch: u64, limits: Limits, now: Tick) -> Self {
        Slice {
            settings,
            home_epoch,
            limits,
            counters: Counters::default(),
            snapshot: Counters::default(),
            report_due: None,
            waiters: Default::default(),
            queued_tokens: 0,
            refunds: Vec::new(),
            sent_refund: 0,
            last_refund: 0,
            home_time: None,
            last_request: 0,
            requested_at: None,
            retry_at: now,
            home_answered: false,
            usage: 0.0,
            usage_at: now,
            lowest_held: 0,
            lowest_since: now,
        }
    }

    /// Switches to the home of a newer epoch and returns the counters for its inventory.
    ///
    /// Call this before the router acknowledges that epoch. From here on the slice ignores grants
    /// of the previous home, so it can't spend tokens that the inventory doesn't count.
    pub fn switch_home(&mut self, home_epoch: u64, now: Tick) -> Counters {
        if home_epoch > self.home_epoch {
            self.home_epoch = home_epoch;
            self.snapshot = self.counters;
            // Refunds refer to the previous home's clock and level, which the new home doesn't
            // know.
            self.refunds.clear();
            self.home_time = None;
            self.requested_at = None;
            self.home_answered = false;
            self.retry_at = now;
        }
        self.snapshot
    }

    /// Applies changed limits. If the burst decreases, all held tokens go back to the home.
    pub fn set_limits(&mut self, limits: Limits, now: Tick) {
        if limits.burst < self.limits.burst {
            self.counters.returned += self.counters.held();
            self.schedule_report(now);
        }
        self.limits = limits;
    }

    /// Reserves `tokens` for a request. Queues it until `deadline` if the slice holds too few.
    ///
    /// The returned effects may also concern requests queued earlier.
    pub fn reserve(&mut self, ticket: u64, tokens: u64, deadline: Tick, now: Tick) -> Vec<Effect> {
        if tokens > self.limits.burst {
            let wait = self.limits.refill_time(tokens.saturating_mul(MICRO_PER_TOKEN));
            return vec![Effect::Refused { ticket, wait, reason: Reason::TooLarge }];
        }
        if self.waiters.len() >= self.settings.max_queued {
            let wait = self.limits.refill_time(self.queued_tokens.saturating_mul(MICRO_PER_TOKEN));
            return vec![Effect::Refused { ticket, wait, reason: Reason::QueueFull }];
        }
        self.waiters.push_back(Waiter { ticket, tokens, deadline });
        self.queued_tokens += tokens;
        self.serve_queue(now)
    }

    /// Removes a queued request whose caller disconnected.
    pub fn cancel(&mut self, ticket: u64, now: Tick) -> Vec<Effect> {
        let Some(position) = self.waiters.iter().position(|waiter| waiter.ticket == ticket) else {
            return Vec::new();
        };
        let waiter = self.waiters.remove(position);
        self.queued_tokens -= waiter.map_or(0, |waiter| waiter.tokens);
        if position == 0 {
            self.home_answered = false;
            self.retry_at = now;
        }
        self.serve_queue(now)
    }

    /// Settles a request that used `used` tokens and refunds the rest to the home.
    pub fn settle(&mut self, reservation: Reservation, used: u64, now: Tick) {
        let tokens = reservation.tokens.saturating_sub(used);
        let since = reservation.since.filter(|_| reservation.home_epoch == self.home_epoch);
        let (Some(since), true) = (since, tokens > 0) else {
            return;
        };
        self.schedule_report(now);
        let sent = self.sent_refund;
        let mut unsent = self.refunds.iter_mut().filter(|refund| refund.number > sent);
        if let Some(refund) = unsent.find(|refund| refund.since == since) {
            refund.tokens += tokens;
            return;
        }
        // With this many unacknowledged refunds the home is most likely gone. Dropping a refund
        // can't exceed the limit.
        if self.refunds.len() >= MAX_PENDING_REFUNDS {
            return;
        }
        self.last_refund += 1;
        self.refunds.push(Refund { number: self.last_refund, since, tokens });
    }

    /// Processes a home's response. Responses of any home but the current one are ignored.
    pub fn handle_grant(&mut self, grant: &Grant, now: Tick) -> Vec<Effect> {
        if grant.home != self.home_epoch {
            return Vec::new();
        }
        self.counters.granted = self.counters.granted.max(grant.granted);
        self.home_time = self.home_time.max(Some(grant.at));
        self.refunds.retain(|refund| refund.number > grant.refund);
        // A duplicate or late response updates the grants only: its verdict is for an older
        // request.
        if self.requested_at.is_none() || grant.number != self.last_request {
            return self.serve_queue(now);
        }
        self.requested_at = None;
        self.home_answered = true;
        let mut effects = Vec::new();
        match grant.verdict {
            Verdict::Granted => self.retry_at = now,
            Verdict::Wait(wait) => {
                self.retry_at = now + wait.clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
                effects = self.refuse_late(wait, now);
            }
            Verdict::TooLarge => effects = self.refuse_too_large(),
        }
        effects.extend(self.serve_queue(now));
        effects
    }

    /// Refuses expired requests, returns idle tokens, and sends requests and reports that are due.
    pub fn tick(&mut self, now: Tick) -> Vec<Effect> {
        let mut effects = self.refuse_expired(now);
        self.return_idle(now);
        effects.extend(self.serve_queue(now));
        effects
    }

    /// Reserves held tokens for queued requests in order, then sends a [`GrantRequest`] if due.
    fn serve_queue(&mut self, now: Tick) -> Vec<Effect> {
        let mut effects = Vec::new();
        while let Some(waiter) = self.waiters.front().copied() {
            if waiter.tokens > self.counters.held() {
                break;
            }
            self.waiters.pop_front();
            self.queued_tokens -= waiter.tokens;
            self.home_answered = false;
            self.spend(waiter.tokens, now);
            let (tokens, home_epoch, since) = (waiter.tokens, self.home_epoch, self.home_time);
            let reservation = Reservation { tokens, home_epoch, since };
            effects.push(Effect::Reserved { ticket: waiter.ticket, reservation });
        }
        effects.extend(self.next_grant_request(now));
        effects
    }

    fn spend(&mut self, tokens: u64, now: Tick) {
        self.counters.spent += tokens;
        self.lowest_held = self.lowest_held.min(self.counters.held());
        self.decay_usage(now);
        self.usage += tokens as f64;
        self.schedule_report(now);
    }

    fn decay_usage(&mut self, now: Tick) {
        let elapsed = now.since(self.usage_at).as_secs_f64() / USAGE_TIME_CONSTANT.as_secs_f64();
        self.usage *= (-elapsed).exp();
        self.usage_at = now;
    }

    /// Schedules a report, since the home's account is out of date.
    fn schedule_report(&mut self, now: Tick) {
        if self.report_due.is_none() {
            self.report_due = Some(now + self.settings.report_delay);
        }
    }

    fn next_grant_request(&mut self, now: Tick) -> Option<Effect> {
        if !self.request_due(now) {
            return None;
        }
        let held = self.counters.held();
        let need = self.waiters.front().map_or(0, |waiter| waiter.tokens.saturating_sub(held));
        let target = self.queued_tokens + self.target_tokens(now);
        let want = target.saturating_sub(held).max(need);
        self.requested_at = Some(now);
        self.last_request += 1;
        self.report_due = None;
        self.sent_refund = self.last_refund;
        Some(Effect::GrantRequest(GrantRequest {
            home: self.home_epoch,
            number: self.last_request,
            counters: self.counters,
            refunds: self.refunds.clone(),
            want,
            need,
        }))
    }

    /// Refuses requests past their deadline.
    fn refuse_expired(&mut self, now: Tick) -> Vec<Effect> {
        let reason = if self.home_answered { Reason::Rate } else { Reason::HomeTimeout };
        let wait = self.limits.refill_time(self.queued_tokens.saturating_mul(MICRO_PER_TOKEN));
        let expired = |waiter: &Waiter| waiter.deadline <= now;
        self.refuse(expired, |_| (wait, reason))
    }

    /// Refuses requests that can't be served before their deadline, if the first request has to
    /// wait for `wait`.
    fn refuse_late(&mut self, wait: Duration, now: Tick) -> Vec<Effect> {
        let held = self.counters.held();
        let first_need =
            self.waiters.front().map_or(0, |waiter| waiter.tokens.saturating_sub(held));
        let limits = self.limits;
        let base =
            wait.saturating_sub(limits.refill_time(first_need.saturating_mul(MICRO_PER_TOKEN)));
        let wait_for =
            |tokens: u64| base + limits.refill_time(tokens.saturating_mul(MICRO_PER_TOKEN));
        let mut ahead = 0;
        let mut waits = IndexMap::new();
        for waiter in &self.waiters {
            let own_wait = wait_for((ahead + waiter.tokens).saturating_sub(held));
            if now + own_wait > waiter.deadline {
                waits.insert(waiter.ticket, own_wait);
            } else {
                ahead += waiter.tokens;
            }
        }
        let late = |waiter: &Waiter| waits.contains_key(&waiter.ticket);
        let refusal = |ticket| (waits.get(&ticket).copied().unwrap_or(wait), Reason::Rate);
        self.refuse(late, refusal)
    }

    fn refuse_too_large(&mut self) -> Vec<Effect> {
        let held = self.counters.held();
        let burst = self.limits.burst.min(self.queued_tokens);
        let wait = self.limits.refill_time(burst.saturating_mul(MICRO_PER_TOKEN));
        let first = self.waiters.front().map(|waiter| waiter.ticket);
        let large = |waiter: &Waiter| Some(waiter.ticket) == first && waiter.tokens > held;
        self.refuse(large, |_| (wait, Reason::TooLarge))
    }

    fn refuse(
        &mut self,
        is_refused: impl Fn(&Waiter) -> bool,
        refusal: impl Fn(u64) -> (Duration, Reason),
    ) -> Vec<Effect> {
        let first = self.waiters.front().map(|waiter| waiter.ticket);
        let mut effects = Vec::new();
        self.waiters.retain(|waiter| {
            if !is_refused(waiter) {
                return true;
            }
            let (wait, reason) = refusal(waiter.ticket);
            effects.push(Effect::Refused { ticket: waiter.ticket, wait, reason });
            false
        });
        self.queued_tokens = self.waiters.iter().map(|waiter| waiter.tokens).sum();
        if first != self.waiters.front().map(|waiter| waiter.ticket) {
            self.home_answered = false;
        }
        effects
    }

    /// Returns the tokens that stayed unused for the whole idle time.
    fn return_idle(&mut self, now: Tick) {
        if now.since(self.lowest_since) < self.settings.idle_time {
            return;
        }
        if self.lowest_held > 0 && self.waiters.is_empty() {
            self.counters.returned += self.lowest_held;
            self.schedule_report(now);
        }
        self.lowest_held = self.counters.held();
        self.lowest_since = now;
    }
}
