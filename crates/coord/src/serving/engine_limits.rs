//! Keeps to the limits that engines name on the requests of all daemons together.
//!
//! An engine in need names its limit in each response, and the limit ends with a response that names
//! none. Daemons tell each other the latest response of each such engine, so those that send it
//! nothing know the limit too. Each daemon uses its part of the limit without coordination.

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexMap;

use crate::keys::UpstreamKey;
use crate::serving::quotas;
use crate::time::Tick;

/// Shortest window over which a limit is divided among the daemons.
const MIN_WINDOW: Duration = Duration::from_secs(4);
/// Longest window; a very low limit permits one request in it, so that its end is noticed.
const MAX_WINDOW: Duration = Duration::from_secs(10);
/// Time after which a limit that no response has named again is forgotten.
const LIMIT_TTL: Duration = Duration::from_secs(60);
/// Time for which the end of a limit is told, so that older reports don't bring it back.
const END_TTL: Duration = Duration::from_secs(10);
/// Smallest difference between two reported times that isn't due to the delay of reports.
const MIN_TIME_DIFFERENCE: Duration = Duration::from_millis(100);

/// What an engine's latest known response said about its limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Statement {
    /// Requests per second; `None` if the response named no limit.
    pub limit: Option<f64>,
    /// Time of the response.
    pub at: Tick,
}

#[derive(Clone, Debug)]
struct EngineLimit {
    statement: Statement,
    /// Times at which this daemon sent requests in the current window.
    sent: VecDeque<Tick>,
}

/// Limits that engines name.
#[derive(Clone, Debug, Default)]
pub struct EngineLimits {
    limits: IndexMap<UpstreamKey, EngineLimit>,
}

impl EngineLimits {
    /// Records what a response of an engine said. Returns whether the limit changed.
    pub fn record_response(&mut self, key: UpstreamKey, limit: Option<f64>, now: Tick) -> bool {
        let known = self.limits.get(&key).map(|known| known.statement.limit);
        if known.is_none() && limit.is_none() {
            return false;
        }
        self.set(key, Statement { limit, at: now });
        known.flatten() != limit
    }

    /// Applies what another daemon knows, unless a newer response is known here. Returns whether the
    /// limit changed.
    pub fn apply(&mut self, key: UpstreamKey, statement: Statement) -> bool {
        let known = self.limits.get(&key).map(|known| known.statement);
        if known.is_some_and(|known| statement.at <= known.at + MIN_TIME_DIFFERENCE) {
            return false;
        }
        self.set(key, statement);
        known.and_then(|known| known.limit) != statement.limit
    }

    fn set(&mut self, key: UpstreamKey, statement: Statement) {
        let sent = VecDeque::new();
        self.limits.entry(key).or_insert(EngineLimit { statement, sent }).statement = statement;
    }

    /// Takes one request from this daemon's part of an engine's limit. `rank` is this daemon's rank
    /// for the engine among the `size` daemons of the fleet.
    ///
    /// # Errors
    ///
    /// Returns the time until the next request, or [`Duration::MAX`] if this daemon has no part of
    /// the limit.
    pub fn try_acquire(
        &mut self,
        key: UpstreamKey,
        size: usize,
        rank: usize,
        now: Tick,
    ) -> std::result::Result<(), Duration> {
        let Some(entry) = self.limits.get_mut(&key) else { return Ok(()) };
        let Some(limit) = entry.statement.limit else { return Ok(()) };
        let window = window(limit);
        while entry.sent.front().is_some_and(|&at| now.since(at) >= window) {
            entry.sent.pop_front();
        }
        let total = ((limit * window.as_secs_f64()) as usize).max(1);
        let part = quotas::divide(total, size, rank);
        if entry.sent.len() < part {
            entry.sent.push_back(now);
            return Ok(());
        }
        let oldest = entry.sent.len().checked_sub(part).and_then(|index| entry.sent.get(index));
        let left = oldest.map(|&at| window.saturating_sub(now.since(at)));
        Err(left.filter(|_| part > 0).unwrap_or(Duration::MAX))
    }

    /// Forgets the limit of an engine that ended or restarted.
    pub fn forget_engine(&mut self, key: UpstreamKey) {
        self.limits.swap_remove(&key);
    }

    /// Returns the latest statement of each engine that names a limit or did so recently.
    pub fn statements(&self) -> impl Iterator<Item = (UpstreamKey, Statement)> + '_ {
        self.limits.iter().map(|(&key, limit)| (key, limit.statement))
    }

    /// Drops limits that are too old to matter.
    pub fn prune(&mut self, now: Tick) {
        self.limits.retain(|_, EngineLimit { statement, .. }| {
            let ttl = if statement.limit.is_some() { LIMIT_TTL } else { END_TTL };
            now.since(statement.at) < ttl
        });
    }
}

/// Returns the window over which a limit is divided: long enough for one request.
fn window(limit: f64) -> Duration {
    let one = Duration::try_from_secs_f64(1.0 / limit).unwrap_or(MAX_WINDOW);
    one.clamp(MIN_WINDOW, MAX_WINDOW)
}
