//! What an engine saw and did, for the assertions of tests.

use std::time::Instant;

use indexmap::IndexSet;
use serde::Deserialize;
use serde::Serialize;

/// One request that an engine took.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Served {
    /// Id from `x-request-id`.
    pub request_id: String,
    /// Model.
    pub model: String,
    /// Adapter.
    pub adapter: Option<String>,
    /// When it came, in microseconds since the engine's start.
    pub start_us: u64,
    /// First token that the caller didn't have yet.
    pub resume_from: u32,
    /// Tokens produced for this call.
    pub tokens: u32,
    /// Whether it was cancelled, by a call or by a closed connection.
    pub cancelled: bool,
    /// Whether it came to its end.
    pub finished: bool,
}

/// One order about models.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Change {
    /// When it was accepted, in microseconds since the engine's start.
    pub start_us: u64,
    /// When it was done, if it is.
    pub done_us: Option<u64>,
    /// Order id.
    pub order: String,
    /// What was ordered.
    pub op: String,
    /// Model.
    pub model: String,
    /// Adapter.
    pub adapter: Option<String>,
    /// Fencing token of the order.
    pub fence: u64,
}

/// All that happened at one engine.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Ledger {
    /// Requests in the order of arrival.
    pub requests: Vec<Served>,
    /// Orders that were accepted and had an effect.
    pub changes: Vec<Change>,
    /// Largest use of memory in bytes.
    pub peak_bytes: u64,
    /// Orders refused since they would have overcommitted the memory.
    pub overcommits: u64,
    /// Orders refused for an old fencing token.
    pub stale_orders: u64,
    /// Requests for a model that wasn't loaded.
    pub not_loaded: u64,
    /// Requests started while a fresh engine already ran more than it bears.
    pub overloads: u64,
    /// Whether it died of load while fresh.
    pub collapsed: bool,
    /// Most requests running at once.
    pub peak_running: usize,
    /// Names of the headers seen, in lower case.
    pub headers: IndexSet<String>,
    /// Names of the body's fields seen.
    pub fields: IndexSet<String>,
    /// Requests that carried one of the secrets.
    pub leaks: u64,
}

/// Microseconds since `start`.
pub(crate) fn micros(start: Instant) -> u64 {
    u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX)
}
