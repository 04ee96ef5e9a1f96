//! Keeps to the limits that engines name on the requests of all daemons together.
//!
//! An engine in need names its limit in each response, and the limit ends with a response that names
//! none. Daemons tell each other the latest response of each such engine, so those that send it
//! nothing know the limit too. A daemon that hears all others uses what they leave of the limit;
//! otherwise it keeps to its own part.

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;

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

/// Factor on the limit in a window, so that requests within the limit aren't refused because of the
/// window's edges. Together with [`BURST`] it is half of what the platform tolerates.
const BURST_FACTOR: f64 = 1.25;
/// Number of requests beyond the limit in a window.
const BURST: f64 = 2.5;
/// Least number of daemons that may use what others leave of a limit. They may send at the same
/// moment, before they hear of each other.
const BORROWERS: usize = 3;
/// Number of requests in a window for each further one of these daemons.
const REQUESTS_PER_BORROWER: usize = 8;
/// Shortest time between two requests beyond a daemon's own part, so that the others hear of the
/// first one even if a report is lost.
const BORROW_INTERVAL: Duration = Duration::from_millis(500);

/// What a daemon may use of a limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Share {
    /// Number of daemons of the fleet.
    pub size: usize,
    /// Rank of the daemon for the engine.
    pub rank: usize,
    /// Requests that the other daemons sent in the current window, if all of them were heard.
    pub others: Option<usize>,
}

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
        let is_rate = |limit: &f64| limit.is_finite() && *limit >= 0.0;
        let statement = Statement { limit: statement.limit.filter(is_rate), ..statement };
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

    /// Takes one request from this daemon's share of an engine's limit. Returns whether there is a
    /// limit.
    ///
    /// # Errors
    ///
    /// Returns the time until the next request, or [`Duration::MAX`] if it isn't known.
    pub fn try_acquire(
        &mut self,
        key: UpstreamKey,
        share: Share,
        now: Tick,
    ) -> std::result::Result<bool, Duration> {
        let Some(entry) = self.limits.get_mut(&key) else { return Ok(false) };
        let Some(limit) = entry.statement.limit else { return Ok(false) };
        let window = window(limit);
        while entry.sent.front().is_some_and(|&at| now.since(at) >= window) {
            entry.sent.pop_front();
        }
        if let Some(wait) = entry.wait(limit, share, now) {
            return Err(wait);
        }
        entry.sent.push_back(now);
        Ok(true)
    }

    /// Returns the time for which an engine's limit leaves no request for this daemon, or
    /// [`Duration::MAX`] if it isn't known; `None` if [`EngineLimits::try_acquire`] would succeed.
    pub fn wait(&self, key: UpstreamKey, share: Share, now: Tick) -> Option<Duration> {
        let entry = self.limits.get(&key)?;
        entry.wait(entry.statement.limit?, share, now)
    }

    /// Returns whether the latest response of an engine named a limit.
    pub fn is_limited(&self, key: UpstreamKey) -> bool {
        self.limits.get(&key).is_some_and(|limit| limit.statement.limit.is_some())
    }

    /// Returns the engines whose latest responses named a limit.
    pub fn limited(&self) -> IndexSet<UpstreamKey> {
        self.limits.keys().copied().filter(|key| self.is_limited(*key)).collect()
    }

    /// Returns the number of requests that this daemon sent to an engine in the current window.
    pub fn sent_count(&self, key: UpstreamKey, now: Tick) -> usize {
        let Some(entry) = self.limits.get(&key) else { return 0 };
        let window = entry.statement.limit.map_or(MIN_WINDOW, window);
        entry.sent.iter().filter(|&&at| now.since(at) < window).count()
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

impl EngineLimit {
    /// Returns the time until the next request of this daemon; `None` if it may send one now.
    fn wait(&self, limit: f64, share: Share, now: Tick) -> Option<Duration> {
        let window = window(limit);
        let recent = self.sent.iter().skip_while(|at| now.since(**at) >= window);
        let sent = recent.clone().count();
        let total = (limit * window.as_secs_f64() * BURST_FACTOR + BURST) as usize;
        let part = quotas::divide(total, share.size, share.rank);
        let latest = recent.clone().last();
        let is_rested = latest.is_none_or(|&at| now.since(at) >= BORROW_INTERVAL);
        let is_borrower = is_rested && share.rank < BORROWERS + total / REQUESTS_PER_BORROWER;
        let is_allowed = match share.others {
            Some(others) => sent.saturating_add(others) < total && (sent < part || is_borrower),
            None => sent < part,
        };
        if is_allowed {
            return None;
        }
        if part == 0 {
            return Some(Duration::MAX);
        }
        let mut recent = recent;
        let oldest = sent.checked_sub(part).and_then(|index| recent.nth(index));
        let left = oldest.map(|&at| window.saturating_sub(now.since(at)));
        // If it is the others that used up the limit, the window soon leaves the next request.
        Some(left.unwrap_or(window.div_f64(total as f64)))
    }
}
