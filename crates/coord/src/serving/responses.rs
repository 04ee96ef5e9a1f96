//! Tells whether a response on a kept connection answers the request that was sent last, and whether
//! that was executed.
//!
//! A faulty upstream may write a response once more, or late, so that it is read in place of the
//! response to a later request. The identifier that responses echo tells them apart, unless the same
//! request, or another one to which its caller gave the same identifier, was sent on that connection
//! before. Requests without an identifier need a connection of their own.

use std::collections::VecDeque;

use crate::hash::hash;

/// Most requests without success that a connection may have carried to be kept.
const MAX_UNSERVED: usize = 16;
/// Number of latest requests with success that a connection remembers. Those aren't sent again, and
/// only a faulty caller gives out their identifiers again.
const MAX_SERVED: usize = 16;

/// Request that a response answers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Origin {
    /// The request that was sent last.
    Own,
    /// Another request.
    Other,
    /// The request that was sent last or an earlier one.
    Ambiguous,
}

/// Requests that a connection to an upstream has carried.
#[derive(Debug, Default)]
pub struct ConnectionHistory {
    count: u32,
    /// Identifier of the request that was sent last; empty if it has none.
    current: String,
    /// Hashes of the identifiers of requests that weren't served and may be sent again.
    unserved: Vec<u64>,
    /// Hashes of the identifiers of the latest requests that were served.
    served: VecDeque<u64>,
}

impl ConnectionHistory {
    /// Returns whether the response to a request could be told from those to earlier ones. `id` is
    /// empty if the request has no identifier.
    pub fn may_carry(&self, id: &str) -> bool {
        self.count == 0 || (!id.is_empty() && !self.has_carried(id))
    }

    fn has_carried(&self, id: &str) -> bool {
        let id = fingerprint(id);
        self.unserved.contains(&id) || self.served.contains(&id)
    }

    /// Records that a request is sent.
    pub fn begin(&mut self, id: &str) {
        self.count = self.count.saturating_add(1);
        self.current.clear();
        self.current.push_str(id);
    }

    /// Returns the number of requests that were sent.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// Returns which request a response answers that echoes the identifier `echoed`, or none if that
    /// is empty.
    pub fn origin(&self, echoed: &str) -> Origin {
        let id = &self.current;
        if self.count <= 1 && (echoed.is_empty() || id.is_empty()) {
            // No other request can have been answered on this connection.
            return Origin::Own;
        }
        match (echoed.is_empty(), echoed == id) {
            (true, _) => Origin::Ambiguous,
            (false, false) => Origin::Other,
            (false, true) if self.has_carried(id) => Origin::Ambiguous,
            (false, true) => Origin::Own,
        }
    }

    /// Records that the response to the request that was sent last was read to its end. One that
    /// wasn't served may be sent again. Returns whether the connection may be kept.
    pub fn end(&mut self, is_served: bool) -> bool {
        let id = fingerprint(&self.current);
        match (self.current.is_empty(), is_served) {
            (true, _) => {}
            (false, false) => self.unserved.push(id),
            (false, true) => {
                self.served.push_back(id);
                let excess = self.served.len().saturating_sub(MAX_SERVED);
                self.served.drain(..excess);
            }
        }
        self.unserved.len() <= MAX_UNSERVED
    }
}

/// What a response states about the execution of its request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Execution {
    /// It was executed.
    Done,
    /// It wasn't executed and never will be.
    Refused,
    /// It wasn't executed, because the upstream isn't the expected one or lacks what it needs.
    Misplaced,
    /// Status and header contradict each other, so it may have been executed.
    Unclear,
}

impl Execution {
    /// Returns what a response with this status states. `not_executed` is whether a header says that
    /// the request wasn't executed.
    pub fn of(status: u16, not_executed: bool) -> Self {
        match (status, not_executed) {
            (421, _) => Execution::Misplaced,
            (400 | 408 | 429 | 503, true) => Execution::Refused,
            // To the caller these mean that the request wasn't executed.
            (408 | 429 | 503, false) => Execution::Unclear,
            // Switches to another protocol.
            (100..=199, _) | (_, true) => Execution::Unclear,
            (_, false) => Execution::Done,
        }
    }
}

fn fingerprint(id: &str) -> u64 {
    hash(0, id.bytes())
}
