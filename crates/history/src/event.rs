//! Event types, recorded as one JSON object per line.
//!
//! Routers, controllers and callers record events, and so does the harness, which drives the run
//! and reads the ledgers of the stand-ins.

use serde::Deserialize;
use serde::Serialize;

use crate::linear::claims::ClaimOp;
use crate::linear::table::TableOp;
use crate::linear::view::ViewOp;

/// One recorded event.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Record {
    /// Name of the recording process, with its incarnation.
    pub process: String,
    /// Sequence number within the process, from 0.
    pub seq: u64,
    /// Time in microseconds on the machine's monotonic clock.
    pub at: u64,
    /// The event.
    #[serde(flatten)]
    pub event: Event,
}

/// Whether a rejected or failed call ran.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CallOutcome {
    /// It didn't run.
    NotRun,
    /// It may have run.
    Unknown,
    /// It ran.
    Ran,
}

/// How a response ended, as its caller saw it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Ending {
    /// It appeared complete.
    Whole,
    /// It ended with an error message.
    Error,
    /// The connection closed without an end marker or error.
    Cut,
}

/// A replica that a controller decided to load.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Replica {
    /// Model.
    pub model: String,
    /// Memory of the replica in bytes.
    pub bytes: u64,
}

/// An event of a run.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "event")]
pub enum Event {
    /// A daemon starts serving.
    ProcessStart {
        /// Role of the daemon, such as `router`.
        role: String,
    },
    /// The harness killed a process.
    ProcessKilled {
        /// The process as it names itself in its records.
        target: String,
    },
    /// The harness paused a process.
    ProcessPaused {
        /// The process as it names itself in its records.
        target: String,
    },
    /// The harness resumed a paused process.
    ProcessResumed {
        /// The process as it names itself in its records.
        target: String,
    },
    /// The recording process starts its graceful shutdown.
    ShutdownBegin,
    /// The recording process completed its graceful shutdown.
    ShutdownEnd,

    /// The operator issued a key.
    KeyIssued {
        /// Name of the key, not the secret.
        key: String,
        /// Team that owns the key.
        team: String,
    },
    /// The operator's revocation of a key was accepted.
    KeyRevoked {
        /// Name of the key.
        key: String,
    },

    /// A router received a call.
    Call {
        /// Request id, unique in the history.
        request: String,
        /// Name of the caller's key; absent if the call has none.
        key: Option<String>,
        /// Whether the route needs no key.
        open: bool,
        /// Time in microseconds until the call must have started or been rejected.
        deadline_us: u64,
    },
    /// A router sent the first byte of a response.
    CallStarted {
        /// Request id.
        request: String,
    },
    /// A router sent the end of a response.
    Answer {
        /// Request id.
        request: String,
        /// Whether the router marked the response as complete.
        whole: bool,
    },
    /// A router rejected a call.
    Refusal {
        /// Request id.
        request: String,
        /// Outcome that the router reported to the caller.
        outcome: CallOutcome,
        /// Error code.
        code: String,
    },
    /// A router detected that the caller disconnected.
    CallerGone {
        /// Request id.
        request: String,
    },
    /// A caller received the end of a response.
    Received {
        /// Request id.
        request: String,
        /// How the response ended.
        ending: Ending,
        /// Digest of the received response.
        digest: String,
        /// Digest of the expected response; absent if the caller doesn't know it.
        expected: Option<String>,
    },

    /// The operator's change of a team's limit was accepted.
    TeamLimit {
        /// Team.
        team: String,
        /// Rate in tokens per second.
        rate: f64,
        /// Burst in tokens.
        burst: f64,
    },
    /// A router admitted a call under its team's limit.
    Admission {
        /// Request id.
        request: String,
        /// Team.
        team: String,
        /// Tokens reserved.
        tokens: f64,
    },
    /// A router returned the unused part of a call's reservation.
    Returned {
        /// Request id.
        request: String,
        /// Team.
        team: String,
        /// Tokens returned.
        tokens: f64,
    },

    /// A router sends a call to an upstream.
    UpstreamSend {
        /// Request id.
        request: String,
        /// Id of this attempt, sent to the upstream.
        attempt: String,
        /// Team of the call; empty on open routes.
        team: String,
        /// Upstream.
        upstream: String,
        /// The upstream's availability zone.
        zone: String,
    },
    /// A router finished an attempt; recorded before its slot is released.
    UpstreamFinish {
        /// Id of the attempt.
        attempt: String,
        /// Upstream.
        upstream: String,
        /// Whether the attempt ran, as far as the router knows.
        outcome: CallOutcome,
    },
    /// An upstream's ledger shows that an attempt ran.
    UpstreamRan {
        /// Id of the attempt.
        attempt: String,
        /// Upstream.
        upstream: String,
    },
    /// A plain service's ledger shows that it carried out a call that must not be repeated.
    ServiceRun {
        /// Service.
        service: String,
        /// Idempotency key that the service received; unique per team within a run.
        key: String,
    },
    /// Request headers and leaked keys in an upstream's ledger.
    UpstreamSaw {
        /// Upstream.
        upstream: String,
        /// Names of the received headers, in lower case.
        headers: Vec<String>,
        /// Number of requests that contained a caller's key.
        leaks: u64,
    },

    /// The memory size of an upstream.
    UpstreamMemory {
        /// Upstream.
        upstream: String,
        /// Memory in bytes.
        bytes: u64,
    },
    /// An upstream's ledger shows that it rejected an order for lack of memory.
    UpstreamOvercommit {
        /// Upstream.
        upstream: String,
    },
    /// An upstream has just started or turned cold; until it is warm, its capacity is reduced.
    UpstreamFresh {
        /// Upstream.
        upstream: String,
        /// Maximum number of concurrent calls while fresh.
        bears: u32,
        /// Duration of the fresh state in microseconds.
        span_us: u64,
        /// Whether the system was notified; false if the upstream turned cold without warning.
        announced: bool,
    },
    /// An upstream's ledger shows that it crashed from overload while fresh.
    UpstreamCollapsed {
        /// Upstream.
        upstream: String,
    },
    /// The platform lists an upstream as leaving.
    UpstreamLeaving {
        /// Upstream.
        upstream: String,
    },
    /// The platform lists an upstream as live.
    UpstreamJoined {
        /// Upstream.
        upstream: String,
    },

    /// A controller committed a decision to hold a replica, or took over a committed one.
    ReplicaDecided {
        /// Model.
        model: String,
        /// Upstream.
        upstream: String,
        /// Memory of the replica in bytes.
        bytes: u64,
        /// Fencing token.
        fence: u64,
    },
    /// A controller withdraws a replica decision; recorded before the commit.
    ReplicaReleased {
        /// Model.
        model: String,
        /// Upstream.
        upstream: String,
    },
    /// A controller read all replica decisions for an upstream.
    IntentsRead {
        /// Upstream.
        upstream: String,
        /// Replicas decided for the upstream.
        replicas: Vec<Replica>,
    },
    /// A controller sends an order to an upstream.
    OrderSent {
        /// Order id.
        order: String,
        /// Operation: `load`, `unload`, `load_adapter` or `unload_adapter`.
        op: String,
        /// Model.
        model: String,
        /// Upstream.
        upstream: String,
        /// The upstream's availability zone.
        zone: String,
        /// Fencing token.
        fence: u64,
    },
    /// An upstream's ledger or state shows a loaded replica.
    ReplicaLoaded {
        /// Model.
        model: String,
        /// Upstream.
        upstream: String,
    },
    /// An upstream's ledger or state no longer shows a replica.
    ReplicaUnloaded {
        /// Model.
        model: String,
        /// Upstream.
        upstream: String,
    },

    /// The operator's command to drain an availability zone was accepted.
    ZoneDrained {
        /// Zone.
        zone: String,
    },
    /// The operator's command to restore a drained availability zone was accepted.
    ZoneRestored {
        /// Zone.
        zone: String,
    },
    /// A router sent a caller the list of routers to use.
    Entry {
        /// Availability zones of the listed routers.
        zones: Vec<String>,
    },
    /// A configuration revision was accepted.
    RevisionAccepted {
        /// Revision.
        revision: u64,
    },
    /// The recording process applied a configuration revision.
    RevisionInForce {
        /// Revision.
        revision: u64,
    },

    /// A member renewed its lease.
    TermRenewed {
        /// Member.
        member: String,
        /// End of the lease on the monotonic clock, in microseconds.
        until_us: u64,
    },
    /// A member detected that its lease expired.
    TermLapsed {
        /// Member.
        member: String,
    },
    /// An operation began. If the matching [`Event::Ended`] is missing, the process died before it
    /// recorded the outcome, and `operation` takes the place of this event.
    Begun {
        /// Kind of operation; numbers are unique within a process and scope.
        scope: String,
        /// Number of the operation.
        number: u64,
        /// The operation with an unknown outcome.
        operation: Box<Event>,
    },
    /// The outcome of an operation was recorded.
    Ended {
        /// Kind of operation.
        scope: String,
        /// Number of the operation.
        number: u64,
    },

    /// An operation on the view row, recorded when it returns.
    View {
        /// Cell that the view belongs to.
        cell: String,
        /// When it began, on the monotonic clock.
        began_us: u64,
        /// What was done.
        op: ViewOp,
    },
    /// An operation on a table row, recorded when it returns.
    Table {
        /// When it began, on the monotonic clock.
        began_us: u64,
        /// Table.
        table: String,
        /// Row key.
        key: String,
        /// What was done.
        op: TableOp,
    },
    /// An operation on an idempotency claim, recorded when it returns.
    Claim {
        /// When it began, on the monotonic clock.
        began_us: u64,
        /// Team and idempotency key.
        claim: String,
        /// What was done.
        op: ClaimOp,
    },
}
