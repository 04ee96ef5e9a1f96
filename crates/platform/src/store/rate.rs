//! A token bucket that delays requests.

use std::time::Duration;

use tokio::time::Instant;

/// Capacity of a bucket, in seconds of its rate.
const BURST_SECONDS: f64 = 0.1;

/// A token bucket whose level may go below zero.
///
/// A request waits until the debt of earlier requests is refilled, and later requests wait for its
/// own cost. A transaction larger than the bucket is therefore served as well.
#[derive(Debug)]
pub(crate) struct RateLimiter {
    per_second: f64,
    level: f64,
    updated: Instant,
}

impl RateLimiter {
    /// Creates a full bucket with a rate in tokens per second.
    pub(crate) fn new(per_second: f64) -> Self {
        RateLimiter { per_second, level: per_second * BURST_SECONDS, updated: Instant::now() }
    }

    /// Reserves `cost` tokens and returns the wait; reserves nothing and returns `None` if the wait
    /// would exceed `max_wait`.
    pub(crate) fn reserve(&mut self, cost: usize, max_wait: Duration) -> Option<Duration> {
        let now = Instant::now();
        let refill = now.duration_since(self.updated).as_secs_f64() * self.per_second;
        self.level = (self.level + refill).min(self.per_second * BURST_SECONDS);
        self.updated = now;
        let wait = Duration::from_secs_f64((-self.level).max(0.0) / self.per_second);
        if wait > max_wait {
            return None;
        }
        self.level -= cost as f64;
        Some(wait)
    }
}
