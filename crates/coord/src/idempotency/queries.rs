//! Queries of the ledger.

use super::CallId;
use super::ClaimKey;
use super::Ledger;

impl Ledger {
    /// How many calls are open or being cleaned up.
    pub fn open(&self) -> usize {
        self.calls.len()
    }

    /// Row key of a call.
    pub fn key(&self, call: CallId) -> Option<&ClaimKey> {
        self.calls.get(&call).map(|state| &state.key)
    }

    /// Whether a call's caller still waits for an answer.
    pub fn is_waiting(&self, call: CallId) -> bool {
        self.calls.get(&call).is_some_and(|state| !state.answered)
    }
}
