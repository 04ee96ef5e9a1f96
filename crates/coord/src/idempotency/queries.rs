//! Queries of a [`Ledger`].

use super::CallId;
use super::ClaimKey;
use super::Ledger;

impl Ledger {
    /// Number of calls that are in progress or whose rows are being cleaned up.
    pub fn open_calls(&self) -> usize {
        self.calls.len()
    }

    /// Key of a call's row; `None` for a call that has ended.
    pub fn key(&self, call: CallId) -> Option<&ClaimKey> {
        self.calls.get(&call).map(|state| &state.key)
    }

    /// Whether the caller of a call is still waiting for its answer.
    pub fn is_waiting(&self, call: CallId) -> bool {
        self.calls.get(&call).is_some_and(|state| !state.answered)
    }
}
