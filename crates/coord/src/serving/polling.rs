//! Determines how often a daemon polls the engines' entries.
//!
//! Engines rewrite their entries continuously, so every poll returns changes. The lease holder
//! polls as often as possible and announces the changes to the other daemons. Those poll at short
//! intervals only if they receive no announcements, missed some, or the holder can't read the
//! entries either.

use std::time::Duration;

use indexmap::IndexSet;

use crate::time::Tick;

/// Shortest interval between two polls.
const MIN_INTERVAL: Duration = Duration::from_millis(40);
/// Polling interval of a daemon that receives all announcements, to repair undetected losses.
const INFORMED_INTERVAL: Duration = Duration::from_secs(6);
/// Polling interval of a daemon without announcements, per daemon of the fleet. All daemons
/// together poll the store a hundred times per second.
const UNINFORMED_INTERVAL_PER_DAEMON: Duration = Duration::from_millis(10);
/// Longest polling interval of a daemon without announcements, as a fraction of the drain time.
const MAX_INTERVAL_FRACTION: f64 = 0.25;
/// Largest age of the holder's latest read, as a fraction of the drain time.
const MAX_AGE_FRACTION: f64 = 0.5;
/// Report intervals without an announcement after which the holder counts as unreachable.
const MAX_MISSED_REPORTS: u32 = 3;
/// Longest delay of a message of an earlier holder. A store that came back from an older copy may give
/// out lower tokens, so they count again after this time.
const MAX_MESSAGE_DELAY: Duration = Duration::from_secs(10);

/// Properties of the fleet that determine the polling interval.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FleetTiming {
    /// Number of daemons.
    pub size: usize,
    /// Interval between two reports of a daemon.
    pub report_interval: Duration,
    /// Time after which a draining engine must not receive new requests.
    pub drain: Duration,
}

/// Announcements received from the lease holder about changed entries.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct HolderUpdates {
    /// Time of the latest announcement.
    last_heard: Option<Tick>,
    /// Age of the holder's latest read at the time of that announcement.
    age: Duration,
    /// Fencing token of the holder.
    token: u64,
    /// Number of the latest change announced under that token.
    count: u64,
    /// Numbers above it of changes that the holder told this daemon directly.
    told: IndexSet<u64>,
    /// Whether announcements were missed since the latest poll.
    missed: bool,
    /// Time of the latest poll, if it failed.
    failed_at: Option<Tick>,
    /// Time by which the holder had read the entries after that.
    answered_at: Option<Tick>,
}

/// Poll in progress.
#[derive(Debug)]
pub struct Poll {
    missed: bool,
}

impl HolderUpdates {
    /// Returns the number of the latest change announced by the holder with this token; 0 if none.
    pub fn last_change(&self, token: u64) -> u64 {
        if self.token == token {
            self.count
        } else {
            0
        }
    }

    /// Returns whether a message of the holder with this token is late: a later holder was heard.
    pub fn is_outdated(&self, token: u64, now: Tick) -> bool {
        let is_known = self.last_heard.is_some_and(|at| now.since(at) < MAX_MESSAGE_DELAY);
        is_known && token < self.token
    }

    /// Returns whether a change hasn't been received yet. Marks it as received if the holder told
    /// it directly, ahead of the announcement that contains it.
    pub fn take_change(&mut self, token: u64, number: u64, is_direct: bool) -> bool {
        if self.token != token {
            return true;
        }
        let is_new = number > self.count && !self.told.contains(&number);
        if is_new && is_direct {
            self.told.insert(number);
        }
        is_new
    }

    /// Processes an announcement that lists the changes numbered `first` to `count`. `age` is the
    /// age of the holder's latest read.
    pub fn record_announcement(
        &mut self,
        token: u64,
        first: u64,
        count: u64,
        age: Duration,
        now: Tick,
    ) {
        // The earlier changes announced by a new holder are unknown.
        self.missed |= self.token != token || first > self.count.saturating_add(1);
        // Announcements may arrive out of order.
        let count = count.max(self.last_change(token));
        self.told.retain(|number| self.token == token && *number > count);
        self.last_heard = Some(now);
        self.age = age;
        let read = now - age;
        if self.answered_at.is_none() && self.failed_at.is_some_and(|failed| read > failed) {
            self.answered_at = Some(read);
        }
        self.token = token;
        self.count = count;
    }

    /// Records that announcements may be missing, so that all entries are read.
    pub fn mark_missed(&mut self) {
        self.missed = true;
    }

    /// Starts a poll, which recovers all missed changes unless it fails.
    pub fn begin_poll(&mut self) -> Poll {
        Poll { missed: std::mem::take(&mut self.missed) }
    }

    /// Processes a failed poll: changes missed before it are still missing.
    pub fn poll_failed(&mut self, poll: Poll, now: Tick) {
        self.missed |= poll.missed;
        self.failed_at = Some(now);
        self.answered_at = None;
    }

    /// Processes a poll that succeeded after failed ones. Returns since when the store has answered:
    /// this daemon may have had no reason to poll for long, because the holder told it all changes.
    pub fn poll_succeeded(&mut self, now: Tick) -> Tick {
        self.failed_at = None;
        self.answered_at.take().unwrap_or(now)
    }

    /// Returns the age of the holder's latest read, as far as it was announced.
    pub fn read_age(&self, now: Tick) -> Option<Duration> {
        self.last_heard.map(|at| now.since(at).saturating_add(self.age))
    }

    /// Returns whether this daemon receives all announcements, and the holder can read the entries.
    pub fn is_informed(&self, fleet: FleetTiming, now: Tick) -> bool {
        let max_age = fleet.drain.mul_f64(MAX_AGE_FRACTION);
        let is_fresh = self.read_age(now).is_some_and(|age| age < max_age);
        let max_silence = fleet.report_interval * MAX_MISSED_REPORTS;
        let is_heard = self.last_heard.is_some_and(|at| now.since(at) < max_silence);
        is_fresh && is_heard && !self.missed
    }

    /// Returns the interval between two polls. `holds` says whether this daemon holds the lease.
    pub fn poll_interval(&self, holds: bool, fleet: FleetTiming, now: Tick) -> Duration {
        if holds {
            return MIN_INTERVAL;
        }
        if self.is_informed(fleet, now) {
            return INFORMED_INTERVAL;
        }
        let max_interval = fleet.drain.mul_f64(MAX_INTERVAL_FRACTION).max(MIN_INTERVAL);
        (UNINFORMED_INTERVAL_PER_DAEMON * fleet.size as u32).clamp(MIN_INTERVAL, max_interval)
    }
}
