//! Decides whether a request that waits for a model or an adapter can still be served in time.

use std::time::Duration;

use crate::time::Tick;

/// Time from the end of a load until a waiting request receives its first token.
const START_TIME: Duration = Duration::from_millis(100);
/// Time by which an expected load may be late before a request is refused because of it.
const TOLERANCE: Duration = Duration::from_millis(150);
/// Shortest retry delay that callers are told.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);

/// What a daemon knows about the end of a shortage.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Outlook {
    /// Time at which a load in progress is expected to end.
    pub ready: Option<Tick>,
    /// Time before which nobody orders loads, because the lease changes hands.
    pub orders_from: Option<Tick>,
    /// Shortest time that a load takes.
    pub least: Duration,
}

impl Outlook {
    /// Returns the earliest time at which a request can start.
    fn earliest(&self, now: Tick) -> Tick {
        match self.ready {
            Some(ready) => ready.max(now),
            None => self.orders_from.unwrap_or(now).max(now) + self.least,
        }
    }

    /// Returns `None` if a request that must start before `deadline` may be served, and otherwise the
    /// time after which its caller may retry.
    pub fn retry_after(&self, deadline: Tick, now: Tick) -> Option<Duration> {
        let earliest = self.earliest(now);
        let is_late = earliest + START_TIME > deadline + TOLERANCE;
        is_late.then(|| (earliest.since(now) + START_TIME).max(MIN_RETRY_AFTER))
    }
}
