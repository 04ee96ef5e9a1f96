//! What a process of an engine says about further requests in its responses.

use std::net::SocketAddr;
use std::time::Duration;

use crate::time::Tick;

/// Longest time from the start of a process to the arrival of its first entry. A response that came
/// less than that before the entry may be one of the new process.
const ENTRY_LAG: Duration = Duration::from_secs(10);
/// Longest pause that is kept if it isn't clear which process asked for it.
const MAX_UNCLEAR_PAUSE: Duration = Duration::from_secs(30);

/// Process of an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Process {
    /// Address for requests and orders.
    pub address: SocketAddr,
    /// Start time in milliseconds since 1970 by the engine's clock; `None` if not reported.
    pub started_ms: Option<u64>,
}

impl Process {
    /// Returns whether both may be the same process.
    pub fn may_be(&self, other: &Process) -> bool {
        let differs =
            self.started_ms.zip(other.started_ms).is_some_and(|(own, other)| own != other);
        self.address == other.address && !differs
    }
}

/// What a process has said so far. It applies to no other process of the engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Notice {
    /// The process.
    pub process: Process,
    /// Whether it leaves. Responses that don't say so take nothing back.
    pub is_leaving: bool,
    /// Time at which a response said so last while the engine's entry may have been outdated, so that
    /// it may be one of a later process.
    pub unclear_at: Option<Tick>,
    /// Time at which it last asked this daemon for a pause.
    pub asked_at: Tick,
    /// End of the longest pause that it asked this daemon for.
    pub paused_until: Tick,
}

impl Notice {
    /// Creates the notice of a process that has said nothing.
    pub fn new(process: Process) -> Self {
        let (asked_at, paused_until) = (Tick::default(), Tick::default());
        Notice { process, is_leaving: false, unclear_at: None, asked_at, paused_until }
    }

    /// Returns what holds once the entry of `process` has arrived. A pause that the engine asked for
    /// shortly before may be one of this process, if it started after the one of the notice. If it may
    /// be this process that leaves, it gets a pause.
    pub fn carry_over(self, process: Process, now: Tick) -> Self {
        if process.started_ms <= self.process.started_ms {
            return self;
        }
        let is_recent = now.since(self.asked_at) < ENTRY_LAG;
        let asked = is_recent.then(|| self.paused_until.min(self.asked_at + MAX_UNCLEAR_PAUSE));
        let unclear_at = self.unclear_at.filter(|_| self.is_leaving);
        let left = unclear_at.map(|at| at + ENTRY_LAG);
        let Some(paused_until) = asked.max(left).filter(|until| *until > now) else { return self };
        Notice { process, is_leaving: false, unclear_at: None, paused_until, ..self }
    }
}
