//! Divides limits of the whole fleet into quotas that a daemon may use without coordination.
//!
//! The quotas of all known daemons add up to no more than the limit.

use std::collections::VecDeque;
use std::time::Duration;

use crate::dispatch::RetryBudget;
use crate::hash::rank as weight;
use crate::time::Tick;

/// Fraction of a limit that is divided; the rest covers daemons that aren't known yet.
const USABLE_FRACTION: f64 = 0.9;
/// Window over which requests to a cold engine are counted.
const COLD_WINDOW: Duration = Duration::from_secs(1);

/// Limit on the retries of the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryAllowance {
    /// Retries per first attempt.
    pub ratio: f64,
    /// Additional retries over the whole fleet.
    pub extra: f64,
}

impl RetryAllowance {
    /// Returns the most retries that this daemon may save up if the fleet has `daemons` known
    /// daemons.
    pub fn max_saved(self, daemons: usize) -> f64 {
        self.extra * USABLE_FRACTION / daemons.max(1) as f64
    }

    /// Returns this daemon's retry budget if the fleet has `daemons` known daemons. `full` means
    /// that the whole fleet starts for the first time; otherwise the budget starts empty, since an
    /// earlier process may have just used it up.
    pub fn budget(self, daemons: usize, full: bool) -> RetryBudget {
        let budget =
            RetryBudget::new(self.ratio * USABLE_FRACTION).with_capacity(self.max_saved(daemons));
        if full {
            budget
        } else {
            budget.without_credit()
        }
    }
}

/// Recent requests of this daemon to one cold engine.
#[derive(Clone, Debug, Default)]
pub struct ColdQuota {
    sent: VecDeque<Tick>,
}

impl ColdQuota {
    /// Takes one request from this daemon's quota, and returns whether there was one left. `limit`
    /// is in requests per second over the whole fleet; this daemon has rank `rank` among `daemons`
    /// for the engine.
    pub fn try_acquire(&mut self, limit: f64, daemons: usize, rank: usize, now: Tick) -> bool {
        while self.sent.front().is_some_and(|&at| now.since(at) >= COLD_WINDOW) {
            self.sent.pop_front();
        }
        let has_left = self.has_left(limit, daemons, rank, now);
        if has_left {
            self.sent.push_back(now);
        }
        has_left
    }

    /// Returns whether [`ColdQuota::try_acquire`] would succeed.
    pub fn has_left(&self, limit: f64, daemons: usize, rank: usize, now: Tick) -> bool {
        let recent = self.sent.iter().filter(|&&at| now.since(at) < COLD_WINDOW);
        recent.count() < daemon_quota(limit, daemons, rank)
    }
}

/// Returns the whole number of requests out of `limit` for the daemon with rank `rank` among
/// `daemons`.
pub fn daemon_quota(limit: f64, daemons: usize, rank: usize) -> usize {
    divide((limit * USABLE_FRACTION).floor() as usize, daemons, rank)
}

/// Returns the part of `total` for the daemon with rank `rank` among `daemons`.
pub fn divide(total: usize, daemons: usize, rank: usize) -> usize {
    let daemons = daemons.max(1);
    total / daemons + usize::from(rank < total % daemons)
}

/// Returns the rank of `daemon` among `others` for a subject, which is the same on every daemon.
pub fn rank<'a>(subject: &str, daemon: &str, others: impl Iterator<Item = &'a str>) -> usize {
    let own = weight(subject, daemon);
    others.filter(|name| *name != daemon && weight(subject, name) > own).count()
}

/// Returns the daemons with the first `count` ranks for a subject, in the order of their ranks.
pub fn first<'a>(
    subject: &str,
    daemons: impl Iterator<Item = &'a str>,
    count: usize,
) -> Vec<&'a str> {
    let mut daemons: Vec<(u64, &str)> = daemons.map(|name| (weight(subject, name), name)).collect();
    daemons.sort_unstable_by(|one, other| other.cmp(one));
    daemons.into_iter().map(|(_, name)| name).take(count).collect()
}
