//! How often a daemon reads the engines' entries itself.
//!
//! Engines rewrite their entries all the time, so each look brings something. The holder of the
//! lease looks as often as it can and tells the others what changed; they look for themselves where
//! they don't hear it, missed some of it, or it can't read the entries either.

use std::time::Duration;

use crate::time::Tick;

/// Least time between two looks of the holder.
const MIN_INTERVAL: Duration = Duration::from_millis(40);
/// Time between two looks of a daemon that is told, which repair what telling may have missed.
const INFORMED_INTERVAL: Duration = Duration::from_secs(6);
/// Time between two looks of a daemon that isn't told, for each daemon of the fleet: all of them
/// together ask the store a hundred times a second.
const UNINFORMED_INTERVAL: Duration = Duration::from_millis(10);
/// Part of the time within which a leaving engine must get nothing new that lies between two looks
/// of a daemon that isn't told.
const MAX_INTERVAL_FRACTION: f64 = 0.25;
/// Part of that time by which the holder's last read may be old.
const MAX_AGE_FRACTION: f64 = 0.5;
/// Pauses between words after which a holder that isn't heard counts as silent.
const MAX_MISSED_REPORTS: u32 = 3;

/// What the time between two looks depends on besides what was heard.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FleetTiming {
    /// Daemons.
    pub size: usize,
    /// Time between two words of a daemon.
    pub report_interval: Duration,
    /// Time within which a leaving engine must get nothing new.
    pub drain: Duration,
}

/// What a daemon heard from the holder of the engines' entries.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct HolderUpdates {
    /// When the holder was last heard.
    last_heard: Option<Tick>,
    /// How old the holder's own read was then.
    age: Duration,
    /// Fencing token of the holder.
    token: u64,
    /// Changes that it told so far.
    count: u64,
    /// Whether some of them were missed.
    missed: bool,
}

/// A look under way.
#[derive(Debug)]
pub struct Poll {
    missed: bool,
}

impl HolderUpdates {
    /// The last change taken in from the holder with this token.
    pub fn last_change(&self, token: u64) -> u64 {
        if self.token == token {
            self.count
        } else {
            0
        }
    }

    /// Takes a word in that lists the changes from `first` to `count`.
    pub fn record_announcement(
        &mut self,
        token: u64,
        first: u64,
        count: u64,
        age: Duration,
        now: Tick,
    ) {
        // What a new holder told before can't be known.
        self.missed |= self.token != token || first > self.count + 1;
        // Words may overtake each other.
        let count = count.max(self.last_change(token));
        *self = HolderUpdates { last_heard: Some(now), age, token, count, missed: self.missed };
    }

    /// A look begins, which brings everything up to now unless it fails.
    pub fn begin_poll(&mut self) -> Poll {
        Poll { missed: std::mem::take(&mut self.missed) }
    }

    /// A look failed: what was missed before still is.
    pub fn poll_failed(&mut self, poll: Poll) {
        self.missed |= poll.missed;
    }

    /// Time between two looks of the holder, or of another daemon.
    pub fn poll_interval(&self, holds: bool, fleet: FleetTiming, now: Tick) -> Duration {
        if holds {
            return MIN_INTERVAL;
        }
        let since = self.last_heard.map(|at| now.since(at));
        let informed = since.is_some_and(|since| {
            let fresh = since + self.age < fleet.drain.mul_f64(MAX_AGE_FRACTION);
            fresh && since < fleet.report_interval * MAX_MISSED_REPORTS
        });
        if informed && !self.missed {
            return INFORMED_INTERVAL;
        }
        let max_interval = fleet.drain.mul_f64(MAX_INTERVAL_FRACTION).max(MIN_INTERVAL);
        (UNINFORMED_INTERVAL * fleet.size as u32).clamp(MIN_INTERVAL, max_interval)
    }
}
