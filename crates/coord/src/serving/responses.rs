//! Tells whether a response on a kept connection answers the request that was sent last.
//!
//! A faulty upstream may write a response once more, or late, so that it is read in place of the
//! response to a later request. The identifier that responses echo tells them apart, unless the same
//! request was sent on that connection before.

use crate::hash::hash;

/// Most requests without success that a connection may have carried to be kept.
const MAX_UNSERVED: usize = 16;

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
    /// Hashes of the identifiers of requests that weren't served and may be sent again.
    unserved: Vec<u64>,
}

impl ConnectionHistory {
    /// Returns whether the response to a request can be told from those to earlier ones. `id` is
    /// empty if the request has no identifier.
    pub fn may_carry(&self, id: &str) -> bool {
        self.count == 0 || (!id.is_empty() && !self.has_unserved(id))
    }

    /// Records that a request is sent.
    pub fn record_sent(&mut self) {
        self.count = self.count.saturating_add(1);
    }

    /// Returns the number of requests that were sent.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// Returns whether a request with this identifier was sent before and wasn't served.
    pub fn has_unserved(&self, id: &str) -> bool {
        self.unserved.contains(&fingerprint(id))
    }

    /// Returns which request a response answers that echoes `echoed`, where `id` was sent last. A
    /// response without an identifier answers the only request of its connection.
    pub fn origin(&self, id: &str, echoed: &str) -> Origin {
        let is_first = self.count <= 1;
        match (echoed.is_empty(), echoed == id) {
            (true, _) if is_first => Origin::Own,
            (true, _) => Origin::Ambiguous,
            (false, false) => Origin::Other,
            (false, true) if is_first || !self.has_unserved(id) => Origin::Own,
            (false, true) => Origin::Ambiguous,
        }
    }

    /// Records that the request that was sent last wasn't served, so that it may be sent again.
    /// Returns whether the connection may be kept.
    pub fn record_unserved(&mut self, id: &str) -> bool {
        self.unserved.push(fingerprint(id));
        self.unserved.len() <= MAX_UNSERVED
    }
}

fn fingerprint(id: &str) -> u64 {
    hash(0, id.bytes())
}
