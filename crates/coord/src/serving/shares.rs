//! Parts of allowances that hold for the whole fleet, which a daemon may use without asking.
//!
//! A part is safe without any message: the parts of all known daemons together stay inside the
//! allowance.

use std::collections::VecDeque;
use std::time::Duration;

use crate::dispatch::RetryBudget;
use crate::hash::rank as weight;
use crate::time::Tick;

/// Part of an allowance that is given out; the rest covers daemons that aren't known yet.
const MARGIN: f64 = 0.9;
/// Window over which requests to a cold engine count.
const COLD_WINDOW: Duration = Duration::from_secs(1);

/// How many retries the fleet may make.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryAllowance {
    /// Retries for each first try.
    pub ratio: f64,
    /// Retries on top, over the whole fleet.
    pub extra: f64,
}

impl RetryAllowance {
    /// Retries that this daemon may save up where `daemons` are known.
    pub fn most(self, daemons: usize) -> f64 {
        self.extra * MARGIN / daemons.max(1) as f64
    }

    /// This daemon's budget where `daemons` are known. It is `full` where the whole fleet starts
    /// for the first time; else the process before may just have used it up.
    pub fn budget(self, daemons: usize, full: bool) -> RetryBudget {
        let budget = RetryBudget::new(self.ratio * MARGIN).with_capacity(self.most(daemons));
        if full {
            budget
        } else {
            budget.without_credit()
        }
    }
}

/// Requests that this daemon sent to one cold engine lately.
#[derive(Clone, Debug, Default)]
pub struct ColdShare {
    sent: VecDeque<Tick>,
}

impl ColdShare {
    /// Takes one request out of this daemon's part of `limit` requests a second, where the fleet
    /// is `daemons` strong and this one is `rank`-th for the engine.
    pub fn take(&mut self, limit: f64, daemons: usize, rank: usize, now: Tick) -> bool {
        while self.sent.front().is_some_and(|&at| now.since(at) >= COLD_WINDOW) {
            self.sent.pop_front();
        }
        if self.sent.len() >= part(limit, daemons, rank) {
            return false;
        }
        self.sent.push_back(now);
        true
    }
}

/// Whole requests of `limit` that the `rank`-th of `daemons` may use.
pub fn part(limit: f64, daemons: usize, rank: usize) -> usize {
    let whole = (limit * MARGIN).floor() as usize;
    let daemons = daemons.max(1);
    whole / daemons + usize::from(rank < whole % daemons)
}

/// Position of `daemon` among `others` for a thing, the same at every daemon.
pub fn rank<'a>(thing: &str, daemon: &str, others: impl Iterator<Item = &'a str>) -> usize {
    let own = weight(thing, daemon);
    others.filter(|name| *name != daemon && weight(thing, name) > own).count()
}
