//! Queries of the slice.

use super::Reservation;
use super::Slice;
use crate::pools::Counters;
use crate::pools::Limits;
use crate::time::Tick;

/// A slice asks for more when it holds less than this part of its target.
const LOW_WATER: u64 = 4;

impl Reservation {
    /// Tokens reserved.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }
}

impl Slice {
    /// Epoch of the home that the slice asks.
    pub fn home(&self) -> u64 {
        self.home
    }

    /// Rate and burst as last told.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// The cumulative account.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// The account as of the last change of home, for the inventory.
    pub fn snapshot(&self) -> Counters {
        self.snapshot
    }

    /// Tokens that can be reserved without a message.
    pub fn held(&self) -> u64 {
        self.counters.held()
    }

    /// How many requests wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Whether `tick` has anything to do: someone waits, something is held, or a report is due.
    pub fn is_busy(&self) -> bool {
        !self.waiting.is_empty() || self.held() > 0 || self.report_at.is_some()
    }

    /// Tokens that the slice aims to hold.
    pub(super) fn target(&self, now: Tick) -> u64 {
        let aged = now.since(self.recent_at).as_secs_f64();
        let target = self.recent * (-aged).exp() * self.settings.target.as_secs_f64();
        (target as u64).min(self.limits.burst)
    }

    /// Whether an ask is to be sent now.
    pub(super) fn ask_due(&self, now: Tick) -> bool {
        if let Some(asked) = self.asked {
            return now.since(asked) >= self.settings.timeout;
        }
        if self.report_at.is_some_and(|at| at <= now) {
            return true;
        }
        if !self.waiting.is_empty() {
            return now >= self.retry;
        }
        now >= self.retry && self.held() < self.target(now) / LOW_WATER
    }
}
