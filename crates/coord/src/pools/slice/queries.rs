//! Read access to a slice.

use super::Reservation;
use super::Slice;
use crate::pools::Counters;
use crate::pools::Limits;
use crate::time::Tick;

/// A slice requests more tokens when it holds less than 1/`LOW_WATER_DIVISOR` of its target.
const LOW_WATER_DIVISOR: u64 = 4;

impl Reservation {
    /// Number of reserved tokens.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }
}

impl Slice {
    /// View epoch in which the current home started.
    pub fn home_epoch(&self) -> u64 {
        self.home_epoch
    }

    /// Rate and burst of the team.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// Cumulative counters, as reported to the home.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Counters as of the last switch to another home, for its inventory.
    pub fn snapshot(&self) -> Counters {
        self.snapshot
    }

    /// Tokens that can be reserved without a message to the home.
    pub fn held(&self) -> u64 {
        self.counters.held()
    }

    /// Number of queued requests.
    pub fn queued(&self) -> usize {
        self.waiters.len()
    }

    /// Whether [`Slice::tick`] is needed: requests are queued, tokens are held, or a report is
    /// pending.
    pub fn is_busy(&self) -> bool {
        !self.waiters.is_empty() || self.held() > 0 || self.report_due.is_some()
    }

    /// Number of tokens that the slice tries to hold, from recent usage.
    pub(super) fn target_tokens(&self, now: Tick) -> u64 {
        let elapsed = now.since(self.usage_at).as_secs_f64();
        let target = self.usage * (-elapsed).exp() * self.settings.target_time.as_secs_f64();
        (target as u64).min(self.limits.burst)
    }

    /// Whether to send a [`GrantRequest`](crate::pools::GrantRequest) now.
    pub(super) fn request_due(&self, now: Tick) -> bool {
        if let Some(requested_at) = self.requested_at {
            return now.since(requested_at) >= self.settings.request_timeout;
        }
        if self.report_due.is_some_and(|at| at <= now) {
            return true;
        }
        if !self.waiters.is_empty() {
            return now >= self.retry_at;
        }
        now >= self.retry_at && self.held() < self.target_tokens(now) / LOW_WATER_DIVISOR
    }
}
