//! Decides whether this daemon reaches the engines.
//!
//! An instance may lose its paths to all engines while callers, the store and the other instances
//! reach it. Its open connections may be reset, hang, or live on while new ones are refused. A single
//! engine that can't be reached says nothing about the instance, so the daemon tries several when it
//! has a reason to doubt.

use std::time::Duration;

use crate::time::Tick;

/// Least number of engines that can't be reached if the instance is at fault.
const MIN_ENGINES: usize = 2;
/// Engines that a round of probes tries at once if the first one can't be reached.
const ROUND_SIZE: usize = 3;
/// Time without a sign of any engine after which one is probed while requests are at engines.
const BUSY_SILENCE: Duration = Duration::from_millis(500);
/// Time without a sign of any engine after which one is probed. Each probe is a new connection, and
/// most daemons of a large fleet are idle; with two timeouts of probes, callers learn of a cut within
/// the time that a fleet has to become stable.
const IDLE_SILENCE: Duration = Duration::from_secs(2);
/// Time for which the daemon must have been without engines before it gives up duties that need them.
/// Lost packets look the same for a moment.
const SETTLED_AFTER: Duration = Duration::from_secs(1);

/// Whether this daemon reaches the engines.
#[derive(Clone, Copy, Debug, Default)]
pub struct Reach {
    /// Time since which no engine can be reached.
    detached: Option<Tick>,
    /// Latest sign of an engine, or end of a successful round of probes.
    contact: Tick,
    /// Whether a connection attempt has failed since.
    is_suspect: bool,
    /// Number of engines that were probed so far.
    probed: usize,
}

impl Reach {
    /// Returns whether no engine can be reached.
    pub fn is_detached(&self) -> bool {
        self.detached.is_some()
    }

    /// Returns whether no engine has been reached for so long that others should take over what this
    /// daemon does with engines.
    pub fn is_settled(&self, now: Tick) -> bool {
        self.detached.is_some_and(|since| now.since(since) >= SETTLED_AFTER)
    }

    /// Records that an engine sent something on an open connection.
    pub fn record_contact(&mut self, now: Tick) {
        self.contact = now;
    }

    /// Records that a connection attempt failed.
    pub fn record_failure(&mut self) {
        self.is_suspect = true;
    }

    /// Returns whether a round of probes is due. `is_busy` says whether requests are at engines.
    pub fn is_probe_due(&self, is_busy: bool, now: Tick) -> bool {
        let silence = if is_busy { BUSY_SILENCE } else { IDLE_SILENCE };
        self.is_detached() || self.is_suspect || now.since(self.contact) >= silence
    }

    /// Returns the positions of the engines to probe, of `count` known ones: one, and then several if
    /// that can't be reached. Each round goes on where the one before ended.
    pub fn next_round(&mut self, count: usize) -> (Option<usize>, Vec<usize>) {
        if count < MIN_ENGINES {
            return (None, Vec::new());
        }
        let positions = |from: usize| (from..from + ROUND_SIZE.min(count)).map(move |n| n % count);
        let from = self.probed;
        self.probed = (from + 1 + ROUND_SIZE) % count;
        (Some(from % count), positions(from + 1).collect())
    }

    /// Records the result of a round of probes. Returns whether it changed what is known.
    pub fn record_round(&mut self, is_reached: bool, now: Tick) -> bool {
        self.is_suspect = false;
        let before = self.is_detached();
        self.detached = if is_reached { None } else { self.detached.or(Some(now)) };
        if is_reached {
            self.contact = now;
        }
        before != self.is_detached()
    }
}
