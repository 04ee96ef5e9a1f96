//! Commands of the slice.

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
use crate::pools::MICRO;
use crate::time::Tick;

/// Time constant of the use estimate.
const RECENT_SPAN: Duration = Duration::from_secs(1);

/// Shortest span between a wait told by the home and the next ask.
const RETRY_LEAST: Duration = Duration::from_millis(5);

/// Longest such span, so that returns and refunds of others are noticed.
const RETRY_MOST: Duration = Duration::from_millis(100);

/// Most refunds that wait for the home's acknowledgement.
const REFUNDS_MOST: usize = 256;

impl Slice {
    /// An empty slice that asks the home of epoch `home`.
    pub fn new(settings: SliceSettings, home: u64, limits: Limits, now: Tick) -> Self {
        Slice {
            settings,
            home,
            limits,
            counters: Counters::default(),
            snapshot: Counters::default(),
            report_at: None,
            waiting: Default::default(),
            queued: 0,
            refunds: Vec::new(),
            sent: 0,
            refund: 0,
            home_at: None,
            number: 0,
            asked: None,
            retry: now,
            answered: false,
            recent: 0.0,
            recent_at: now,
            low: 0,
            low_at: now,
        }
    }

    /// Turns to the home of a newer epoch, and takes the snapshot for its inventory.
    ///
    /// To be called before the router acknowledges that epoch: grants of the home before are
    /// refused from here on, so that nothing can be spent that the inventory doesn't count.
    pub fn switch_home(&mut self, home: u64, now: Tick) -> Counters {
        if home > self.home {
            self.home = home;
            self.snapshot = self.counters;
            // Refunds refer to the clock of the home before, and the new one can't tell what its
            // level was.
            self.refunds.clear();
            self.home_at = None;
            self.asked = None;
            self.answered = false;
            self.retry = now;
        }
        self.snapshot
    }

    /// Takes changed limits over. What is held beyond a lower burst goes back.
    pub fn set_limits(&mut self, limits: Limits, now: Tick) {
        if limits.burst < self.limits.burst {
            self.counters.returned += self.counters.held();
            self.note(now);
        }
        self.limits = limits;
    }

    /// Reserves `tokens` for a request, at once or after a wait that ends by `deadline`.
    pub fn reserve(&mut self, ticket: u64, tokens: u64, deadline: Tick, now: Tick) -> Vec<Effect> {
        if tokens > self.limits.burst {
            let wait = self.limits.span(tokens.saturating_mul(MICRO));
            return vec![Effect::Refused { ticket, wait, reason: Reason::TooLarge }];
        }
        if self.waiting.len() >= self.settings.waiting {
            let wait = self.limits.span(self.queued.saturating_mul(MICRO));
            return vec![Effect::Refused { ticket, wait, reason: Reason::QueueFull }];
        }
        self.waiting.push_back(Waiter { ticket, tokens, deadline });
        self.queued += tokens;
        self.advance(now)
    }

    /// Takes a waiting request out, when its caller hung up.
    pub fn cancel(&mut self, ticket: u64, now: Tick) -> Vec<Effect> {
        let Some(place) = self.waiting.iter().position(|waiter| waiter.ticket == ticket) else {
            return Vec::new();
        };
        let waiter = self.waiting.remove(place);
        self.queued -= waiter.map_or(0, |waiter| waiter.tokens);
        if place == 0 {
            self.answered = false;
            self.retry = now;
        }
        self.advance(now)
    }

    /// Settles a request that used `used` tokens; the rest goes back to the home.
    pub fn settle(&mut self, reservation: Reservation, used: u64, now: Tick) {
        let tokens = reservation.tokens.saturating_sub(used);
        let since = reservation.since.filter(|_| reservation.home == self.home);
        let (Some(since), true) = (since, tokens > 0) else {
            return;
        };
        self.note(now);
        let sent = self.sent;
        let mut unsent = self.refunds.iter_mut().filter(|refund| refund.number > sent);
        if let Some(refund) = unsent.find(|refund| refund.since == since) {
            refund.tokens += tokens;
            return;
        }
        // With so many unacknowledged the home is long gone, and a lost refund is safe.
        if self.refunds.len() >= REFUNDS_MOST {
            return;
        }
        self.refund += 1;
        self.refunds.push(Refund { number: self.refund, since, tokens });
    }

    /// Takes the home's answer. Answers of an earlier home are ignored.
    pub fn handle_grant(&mut self, grant: &Grant, now: Tick) -> Vec<Effect> {
        if grant.home != self.home {
            return Vec::new();
        }
        self.counters.granted = self.counters.granted.max(grant.granted);
        self.home_at = self.home_at.max(Some(grant.at));
        self.refunds.retain(|refund| refund.number > grant.refund);
        // A doubled or late answer tells what was granted, and nothing of the last ask.
        if self.asked.is_none() || grant.number != self.number {
            return self.advance(now);
        }
        self.asked = None;
        self.answered = true;
        let mut effects = Vec::new();
        match grant.verdict {
            Verdict::Granted => self.retry = now,
            Verdict::Wait(wait) => {
                self.retry = now + wait.clamp(RETRY_LEAST, RETRY_MOST);
                effects = self.refuse_late(wait, now);
            }
            Verdict::TooLarge => effects = self.refuse_large(),
        }
        effects.extend(self.advance(now));
        effects
    }

    /// Lets time pass: refuses what is past its deadline, asks again, returns what is idle.
    pub fn tick(&mut self, now: Tick) -> Vec<Effect> {
        let mut effects = self.expire(now);
        self.return_idle(now);
        effects.extend(self.advance(now));
        effects
    }

    /// Serves the queue from what is held, in order, then asks where that is due.
    fn advance(&mut self, now: Tick) -> Vec<Effect> {
        let mut effects = Vec::new();
        while let Some(waiter) = self.waiting.front().copied() {
            if waiter.tokens > self.counters.held() {
                break;
            }
            self.waiting.pop_front();
            self.queued -= waiter.tokens;
            self.answered = false;
            self.spend(waiter.tokens, now);
            let (tokens, home, since) = (waiter.tokens, self.home, self.home_at);
            let reservation = Reservation { tokens, home, since };
            effects.push(Effect::Reserved { ticket: waiter.ticket, reservation });
        }
        effects.extend(self.ask(now));
        effects
    }

    fn spend(&mut self, tokens: u64, now: Tick) {
        self.counters.spent += tokens;
        self.low = self.low.min(self.counters.held());
        self.decay(now);
        self.recent += tokens as f64;
        self.note(now);
    }

    fn decay(&mut self, now: Tick) {
        let span = now.since(self.recent_at).as_secs_f64() / RECENT_SPAN.as_secs_f64();
        self.recent *= (-span).exp();
        self.recent_at = now;
    }

    /// Notes that the home's account is out of date.
    fn note(&mut self, now: Tick) {
        if self.report_at.is_none() {
            self.report_at = Some(now + self.settings.report);
        }
    }

    fn ask(&mut self, now: Tick) -> Option<Effect> {
        if !self.ask_due(now) {
            return None;
        }
        let held = self.counters.held();
        let need = self.waiting.front().map_or(0, |waiter| waiter.tokens.saturating_sub(held));
        let aim = self.queued + self.target(now);
        let want = aim.saturating_sub(held).max(need);
        self.asked = Some(now);
        self.number += 1;
        self.report_at = None;
        self.sent = self.refund;
        Some(Effect::GrantRequest(GrantRequest {
            home: self.home,
            number: self.number,
            counters: self.counters,
            refunds: self.refunds.clone(),
            want,
            need,
        }))
    }

    /// Refuses who is past the deadline.
    fn expire(&mut self, now: Tick) -> Vec<Effect> {
        let reason = if self.answered { Reason::Rate } else { Reason::HomeTimeout };
        let wait = self.limits.span(self.queued.saturating_mul(MICRO));
        let late = |waiter: &Waiter| waiter.deadline <= now;
        self.refuse(late, |_| (wait, reason))
    }

    /// Refuses whose turn can't come before the deadline, given the wait of the first in line.
    fn refuse_late(&mut self, wait: Duration, now: Tick) -> Vec<Effect> {
        let held = self.counters.held();
        let first = self.waiting.front().map_or(0, |waiter| waiter.tokens.saturating_sub(held));
        let limits = self.limits;
        let base = wait.saturating_sub(limits.span(first.saturating_mul(MICRO)));
        let turn = |tokens: u64| base + limits.span(tokens.saturating_mul(MICRO));
        let mut ahead = 0;
        let mut waits = IndexMap::new();
        for waiter in &self.waiting {
            let span = turn((ahead + waiter.tokens).saturating_sub(held));
            if now + span > waiter.deadline {
                waits.insert(waiter.ticket, span);
            } else {
                ahead += waiter.tokens;
            }
        }
        let late = |waiter: &Waiter| waits.contains_key(&waiter.ticket);
        let told = |ticket| (waits.get(&ticket).copied().unwrap_or(wait), Reason::Rate);
        self.refuse(late, told)
    }

    fn refuse_large(&mut self) -> Vec<Effect> {
        let held = self.counters.held();
        let burst = self.limits.burst.min(self.queued);
        let wait = self.limits.span(burst.saturating_mul(MICRO));
        let first = self.waiting.front().map(|waiter| waiter.ticket);
        let large = |waiter: &Waiter| Some(waiter.ticket) == first && waiter.tokens > held;
        self.refuse(large, |_| (wait, Reason::TooLarge))
    }

    fn refuse(
        &mut self,
        refused: impl Fn(&Waiter) -> bool,
        told: impl Fn(u64) -> (Duration, Reason),
    ) -> Vec<Effect> {
        let first = self.waiting.front().map(|waiter| waiter.ticket);
        let mut effects = Vec::new();
        self.waiting.retain(|waiter| {
            if !refused(waiter) {
                return true;
            }
            let (wait, reason) = told(waiter.ticket);
            effects.push(Effect::Refused { ticket: waiter.ticket, wait, reason });
            false
        });
        self.queued = self.waiting.iter().map(|waiter| waiter.tokens).sum();
        if first != self.waiting.front().map(|waiter| waiter.ticket) {
            self.answered = false;
        }
        effects
    }

    /// Gives back what a whole idle span passed over.
    fn return_idle(&mut self, now: Tick) {
        if now.since(self.low_at) < self.settings.idle {
            return;
        }
        if self.low > 0 && self.waiting.is_empty() {
            self.counters.returned += self.low;
            self.note(now);
        }
        self.low = self.counters.held();
        self.low_at = now;
    }
}
