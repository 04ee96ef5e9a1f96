//! The record of an engine's requests and orders, which tests assert on.

use std::time::Instant;

use indexmap::IndexSet;
use serde::Deserialize;
use serde::Serialize;

/// Record of a request that an engine admitted.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct RequestRecord {
    /// Request id from the `x-request-id` header.
    pub request_id: String,
    /// Name of the model.
    pub model: String,
    /// Name of the adapter, if any.
    pub adapter: Option<String>,
    /// Time of admission, in microseconds since the engine's start.
    pub start_us: u64,
    /// Index of the first token requested; greater than 0 for a resumed answer.
    pub resume_from: u32,
    /// Number of tokens sent for this request.
    pub tokens: u32,
    /// Whether the request was cancelled, by `POST /cancel` or by a closed connection.
    pub cancelled: bool,
    /// Whether the answer was sent completely.
    pub finished: bool,
}

/// Record of an order that an engine accepted.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct OrderRecord {
    /// Time of acceptance, in microseconds since the engine's start.
    pub start_us: u64,
    /// Time of completion, in microseconds since the engine's start; none if it isn't complete.
    pub done_us: Option<u64>,
    /// Id of the order.
    pub order: String,
    /// Operation of the order, as on the wire.
    pub op: String,
    /// Name of the model.
    pub model: String,
    /// Name of the adapter, if any.
    pub adapter: Option<String>,
    /// Fencing token of the order.
    pub fence: u64,
}

/// Records and counters of one engine.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Ledger {
    /// Admitted requests, in order of arrival.
    pub requests: Vec<RequestRecord>,
    /// Accepted orders that required an action or unloaded an adapter.
    pub changes: Vec<OrderRecord>,
    /// Peak memory use in bytes.
    pub peak_bytes: u64,
    /// Orders rejected because they would have overcommitted the memory.
    pub overcommits: u64,
    /// Orders rejected because of a stale fencing token.
    pub stale_orders: u64,
    /// Requests for a model that wasn't loaded.
    pub not_loaded: u64,
    /// Requests started while the engine was warming up and ran more requests than it can sustain.
    pub overloads: u64,
    /// Whether the engine crashed from overload during warm-up.
    pub collapsed: bool,
    /// Largest number of requests running at once.
    pub peak_running: usize,
    /// Names of the request headers seen, in lower case.
    pub headers: IndexSet<String>,
    /// Names of the top-level body fields seen.
    pub fields: IndexSet<String>,
    /// Requests that contained one of the configured secrets.
    pub leaks: u64,
}

/// Microseconds since `start`.
pub(crate) fn micros_since(start: Instant) -> u64 {
    u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX)
}
