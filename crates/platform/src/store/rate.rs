//! A token bucket that makes requests wait.

use std::time::Duration;

use tokio::time::Instant;

/// Seconds of its rate that an idle bucket saves up.
const BURST_SECONDS: f64 = 0.1;

/// A token bucket whose level may go below zero.
///
/// A request waits for the debt that those before it left, and leaves its own cost to those after
/// it; a transaction larger than the burst is therefore served all the same.
#[derive(Debug)]
pub(crate) struct Rate {
    per_second: f64,
    level: f64,
    updated: Instant,
}

impl Rate {
    /// A full bucket.
    pub(crate) fn new(per_second: f64) -> Self {
        Rate { per_second, level: per_second * BURST_SECONDS, updated: Instant::now() }
    }

    /// Takes `cost` and returns the wait, or `None` when the wait would exceed `limit`.
    pub(crate) fn take(&mut self, cost: usize, limit: Duration) -> Option<Duration> {
        let now = Instant::now();
        let gained = now.duration_since(self.updated).as_secs_f64() * self.per_second;
        self.level = (self.level + gained).min(self.per_second * BURST_SECONDS);
        self.updated = now;
        let wait = Duration::from_secs_f64((-self.level).max(0.0) / self.per_second);
        if wait > limit {
            return None;
        }
        self.level -= cost as f64;
        Some(wait)
    }
}
