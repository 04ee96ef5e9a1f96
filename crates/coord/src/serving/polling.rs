//! Determines how often a daemon calls the store.
//!
//! Engines rewrite their entries continuously, so every poll returns changes. The lease holder
//! polls several times per second and announces the changes to the other daemons. Those poll at short
//! intervals only if they receive no announcements, missed some, or the holder can't read the
//! entries either.

use std::time::Duration;

use indexmap::IndexSet;

use crate::hash::hash;
use crate::hash::mix;
use crate::time::Tick;

/// Shortest interval between two polls.
const MIN_INTERVAL: Duration = Duration::from_millis(40);
/// Polling interval of the lease holder while engines execute orders, whose entries show the effect.
const ORDERING_INTERVAL: Duration = Duration::from_millis(80);
/// Polling interval of the lease holder while no engine executes an order.
const IDLE_HOLDER_INTERVAL: Duration = Duration::from_millis(200);
/// Polling interval of a daemon that receives all announcements, to repair undetected losses.
const INFORMED_INTERVAL: Duration = Duration::from_secs(20);
/// Interval between two reads of the operator's changes, per daemon of the fleet. All daemons read
/// each change, so a series of changes is read in few calls.
const OPERATOR_INTERVAL_PER_DAEMON: Duration = Duration::from_millis(2);
/// Longest interval between two reads of the operator's changes.
const MAX_OPERATOR_INTERVAL: Duration = Duration::from_millis(400);
/// Delay after the first failed call.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
/// Longest delay after failed calls, per daemon of the fleet.
const MAX_BACKOFF_PER_DAEMON: Duration = Duration::from_millis(10);
/// Bounds of the longest delay after failed calls.
const MAX_BACKOFF_RANGE: (Duration, Duration) =
    (Duration::from_millis(800), Duration::from_secs(2));
/// Seed of the hash that varies the delays of daemons.
const BACKOFF_SEED: u64 = 4;
/// Fraction by which a delay varies, so that the calls of many daemons don't coincide.
const BACKOFF_JITTER: f64 = 0.25;
/// Polling interval of a daemon without announcements, per daemon of the fleet. All daemons
/// together poll the store a hundred times per second.
const UNINFORMED_INTERVAL_PER_DAEMON: Duration = Duration::from_millis(10);
/// Longest polling interval of a daemon without announcements, as a fraction of the drain time.
const MAX_INTERVAL_FRACTION: f64 = 0.25;
/// Largest age of the holder's latest read, as a fraction of the drain time.
const MAX_AGE_FRACTION: f64 = 0.5;
/// Report intervals without an announcement after which the holder counts as unreachable.
const MAX_MISSED_REPORTS: u32 = 3;

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

/// Role of a daemon in polling the engines' entries.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Poller {
    /// Holds the lease on orders, and some engine executes an order.
    Ordering,
    /// Holds the lease on orders, and no engine executes an order.
    IdleHolder,
    /// Depends on the announcements of the holder.
    Other,
}

/// Returns the interval between two reads of the operator's changes in a fleet of `size` daemons.
pub fn operator_interval(size: usize) -> Duration {
    (OPERATOR_INTERVAL_PER_DAEMON * size as u32).clamp(MIN_INTERVAL, MAX_OPERATOR_INTERVAL)
}

/// Delays between the attempts at a call that fails.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    seed: u64,
    failures: u32,
}

impl Backoff {
    /// Creates the delays of the daemon with this name.
    pub fn new(daemon: &str) -> Self {
        Backoff { seed: hash(BACKOFF_SEED, daemon.bytes()), failures: 0 }
    }

    /// Records a failure in a fleet of `size` daemons, and returns the delay before the next attempt.
    pub fn next_delay(&mut self, size: usize) -> Duration {
        let (least, most) = MAX_BACKOFF_RANGE;
        let max = (MAX_BACKOFF_PER_DAEMON * size as u32).clamp(least, most);
        let delay = (INITIAL_BACKOFF * (1 << self.failures.min(8))).min(max);
        self.failures += 1;
        let random = mix(self.seed ^ mix(u64::from(self.failures))) as f64 / u64::MAX as f64;
        delay.mul_f64(1.0 + BACKOFF_JITTER * (2.0 * random - 1.0))
    }

    /// Records a successful call.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
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
        self.missed |= self.token != token || first > self.count + 1;
        // Announcements may arrive out of order.
        let count = count.max(self.last_change(token));
        self.told.retain(|number| self.token == token && *number > count);
        self.last_heard = Some(now);
        self.age = age;
        self.token = token;
        self.count = count;
    }

    /// Starts a poll, which recovers all missed changes unless it fails.
    pub fn begin_poll(&mut self) -> Poll {
        Poll { missed: std::mem::take(&mut self.missed) }
    }

    /// Processes a failed poll: changes missed before it are still missing.
    pub fn poll_failed(&mut self, poll: Poll) {
        self.missed |= poll.missed;
    }

    /// Returns the interval between two polls.
    pub fn poll_interval(&self, poller: Poller, fleet: FleetTiming, now: Tick) -> Duration {
        match poller {
            Poller::Ordering => return ORDERING_INTERVAL,
            Poller::IdleHolder => return IDLE_HOLDER_INTERVAL,
            Poller::Other => {}
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
        (UNINFORMED_INTERVAL_PER_DAEMON * fleet.size as u32).clamp(MIN_INTERVAL, max_interval)
    }
}
