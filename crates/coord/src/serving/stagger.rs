//! Spreads calls that many daemons would otherwise send at the same moment.

use std::time::Duration;

/// Place of a daemon among all that are about to send a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Slot {
    /// Rank among the daemons, from 0.
    pub rank: usize,
    /// Number of daemons.
    pub size: usize,
}

impl Slot {
    /// Returns this daemon's delay within `span`. The delays of all daemons are evenly spaced, and half
    /// of `span` on average.
    pub fn delay(self, span: Duration) -> Duration {
        let size = self.size.max(1);
        span.mul_f64((self.rank.min(size - 1) as f64 + 0.5) / size as f64)
    }

    /// Returns a backoff between half of `backoff` and all of it.
    pub fn backoff(self, backoff: Duration) -> Duration {
        backoff / 2 + self.delay(backoff / 2)
    }
}
