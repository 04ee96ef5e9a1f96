//! Paces the calls of all duties to the platform's API and spaces their repetitions.
//!
//! The API accepts so many calls a second from all daemons together. Only one daemon calls at a time,
//! so the limit is that daemon's alone, apart from calls of its predecessor that arrive late.

use std::time::Duration;

use crate::time::Tick;

/// Delay after the first call that failed.
const MIN_BACKOFF: Duration = Duration::from_millis(500);
/// Longest delay after consecutive calls that failed; each one doubles it.
const MAX_BACKOFF: Duration = Duration::from_secs(8);
/// Part of the accepted rate that is used, since the API may count in other windows of a second.
const RATE_USED: f64 = 0.8;
/// Calls that may be sent at once after a pause.
const BURST: f64 = 1.25;
/// Part of a call that stays free for a report while orders are sent. Reports have a deadline.
const RESERVE: f64 = 0.25;

/// Kind of call that only one daemon at a time makes.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Duty {
    /// Reports of the teams' usage.
    Usage,
    /// Orders for the number of engines.
    Scaling,
}

/// Outcome of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The API accepted it.
    Accepted,
    /// The API refused it because it has seen a higher fence.
    Fenced,
    /// The API refused it because there are too many calls.
    Limited,
    /// The API refused it for another reason.
    Rejected,
    /// There is no answer, or one that doesn't tell whether the call is carried out. It may be, also
    /// seconds later.
    Unanswered,
    /// It wasn't sent, and never will be.
    Unsent,
}

impl Outcome {
    /// Returns the outcome's name in metrics and log lines.
    pub fn name(self) -> &'static str {
        match self {
            Outcome::Accepted => "accepted",
            Outcome::Fenced => "fenced",
            Outcome::Limited => "limited",
            Outcome::Rejected => "rejected",
            Outcome::Unanswered => "unanswered",
            Outcome::Unsent => "unsent",
        }
    }
}

/// Returns the delay after so many consecutive failures, at least 1.
pub fn backoff(failures: u32) -> Duration {
    let doublings = failures.saturating_sub(1).min(8);
    (MIN_BACKOFF * (1 << doublings)).min(MAX_BACKOFF)
}

/// Limits the rate of the calls, and holds them back after refusals because of the rate.
#[derive(Clone, Debug)]
pub struct Pace {
    /// Calls a second; `None` if they are unlimited.
    rate: Option<f64>,
    level: f64,
    updated: Tick,
    /// Number of consecutive refusals because of the rate.
    refusals: u32,
    held_until: Tick,
}

impl Pace {
    /// Creates the pace for a number of calls a second that the API accepts.
    pub fn new(calls_per_s: Option<f64>) -> Self {
        let rate = calls_per_s.map(|rate| (rate * RATE_USED).max(f64::MIN_POSITIVE));
        Pace { rate, level: BURST, updated: Tick(0), refusals: 0, held_until: Tick(0) }
    }

    /// Takes the permission for one call. Returns the time to wait before the next try if there is
    /// none now.
    pub fn take(&mut self, duty: Duty, now: Tick) -> Option<Duration> {
        let held = self.held_until.since(now);
        if !held.is_zero() {
            return Some(held);
        }
        let rate = self.rate?;
        self.level = (self.level + rate * now.since(self.updated).as_secs_f64()).min(BURST);
        self.updated = now;
        let needed = match duty {
            Duty::Usage => 1.0,
            Duty::Scaling => 1.0 + RESERVE,
        };
        if self.level + 1e-6 >= needed {
            self.level -= 1.0;
            return None;
        }
        Some(crate::time::saturating_seconds((needed - self.level) / rate))
    }

    /// Records the outcome of a call.
    pub fn record(&mut self, outcome: Outcome, now: Tick) {
        match outcome {
            Outcome::Limited => {
                self.refusals = self.refusals.saturating_add(1);
                self.held_until = now + backoff(self.refusals);
            }
            Outcome::Accepted | Outcome::Fenced => self.refusals = 0,
            Outcome::Rejected | Outcome::Unanswered | Outcome::Unsent => {}
        }
    }
}
