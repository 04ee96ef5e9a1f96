//! What a process of an engine says about further requests in its responses.

use std::net::SocketAddr;

use crate::time::Tick;

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
    /// End of the longest pause that it asked this daemon for.
    pub paused_until: Tick,
}

impl Notice {
    /// Creates the notice of a process that has said nothing.
    pub fn new(process: Process) -> Self {
        Notice { process, is_leaving: false, paused_until: Tick::default() }
    }
}
