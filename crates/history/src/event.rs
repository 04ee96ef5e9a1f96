//! Events, as they are recorded one JSON object a line.
//!
//! Who records an event is said with it: a router, a controller, a caller, or the harness that
//! drives the run and reads the ledgers of the stand-ins.

use serde::Deserialize;
use serde::Serialize;

use crate::linear::claims::ClaimOp;
use crate::linear::table::TableOp;
use crate::linear::view::ViewOp;

/// One recorded event.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Record {
    /// The process that recorded it, with its incarnation.
    pub process: String,
    /// Position among the events of its process.
    pub seq: u64,
    /// Microseconds on the machine's monotonic clock.
    pub at: u64,
    /// What happened.
    #[serde(flatten)]
    pub event: Event,
}

/// What a refusal or a failed call says about the work.
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

/// How an answer ended for its caller.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Ending {
    /// It looked whole.
    Whole,
    /// It ended with an explicit error.
    Error,
    /// It ended without a word.
    Cut,
}

/// A replica that was decided.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Replica {
    /// Model.
    pub model: String,
    /// Bytes that it takes.
    pub bytes: u64,
}

/// What happened.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "event")]
pub enum Event {
    /// A daemon begins to serve.
    ProcessStart {
        /// Its role.
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
    /// The harness let a paused process go on.
    ProcessResumed {
        /// The process as it names itself in its records.
        target: String,
    },
    /// The recording process begins its graceful shutdown.
    ShutdownBegin,
    /// The recording process has ended its graceful shutdown.
    ShutdownEnd,

    /// The operator issued a key.
    KeyIssued {
        /// Name of the key, never the key itself.
        key: String,
        /// The team that it stands for.
        team: String,
    },
    /// The operator's withdrawal of a key was accepted.
    KeyRevoked {
        /// Name of the key.
        key: String,
    },

    /// A router received a call.
    Call {
        /// Request id, unique in the history.
        request: String,
        /// Name of the key that came with it.
        key: Option<String>,
        /// Whether its route is open to everybody.
        open: bool,
        /// Time within which it has to start or be refused, in microseconds.
        deadline_us: u64,
    },
    /// A router sent the first byte of a call's answer.
    CallStarted {
        /// Request id.
        request: String,
    },
    /// A router sent the end of an answer.
    Answer {
        /// Request id.
        request: String,
        /// Whether it told the caller that the answer is whole.
        whole: bool,
    },
    /// A router refused a call.
    Refusal {
        /// Request id.
        request: String,
        /// What it told about the work.
        outcome: CallOutcome,
        /// Code of the refusal.
        code: String,
    },
    /// A router saw that the caller is gone.
    CallerGone {
        /// Request id.
        request: String,
    },
    /// A caller received the end of an answer.
    Received {
        /// Request id.
        request: String,
        /// How it ended.
        ending: Ending,
        /// Digest of what came.
        digest: String,
        /// Digest of what had to come, if the caller knows.
        expected: Option<String>,
    },

    /// The operator's change of a team's limit was accepted.
    TeamLimit {
        /// Team.
        team: String,
        /// Tokens a second.
        rate: f64,
        /// Tokens at once.
        burst: f64,
    },
    /// A router admitted a call on account of its team.
    Admission {
        /// Request id.
        request: String,
        /// Team.
        team: String,
        /// Tokens reserved.
        tokens: f64,
    },
    /// A router returned what an admitted call didn't use.
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
        /// Id of this attempt, as the upstream sees it.
        attempt: String,
        /// The team that it is sent for; empty on open routes.
        team: String,
        /// Upstream.
        upstream: String,
        /// The upstream's availability zone.
        zone: String,
    },
    /// A router is done with an attempt; recorded before its slot is given back.
    UpstreamFinish {
        /// Id of the attempt.
        attempt: String,
        /// Upstream.
        upstream: String,
        /// What is known of the work.
        outcome: CallOutcome,
    },
    /// By its ledger, an upstream worked on an attempt.
    UpstreamRan {
        /// Id of the attempt.
        attempt: String,
        /// Upstream.
        upstream: String,
    },
    /// By its ledger, a plain service carried out a call that may not be repeated.
    ServiceRun {
        /// Service.
        service: String,
        /// Idempotency key as the service saw it, which no two teams of a run share.
        key: String,
    },
    /// By its ledger, what an upstream saw of its requests.
    UpstreamSaw {
        /// Upstream.
        upstream: String,
        /// Header names in lower case.
        headers: Vec<String>,
        /// Requests that carried a caller's key anywhere.
        leaks: u64,
    },

    /// An upstream's memory became known.
    UpstreamMemory {
        /// Upstream.
        upstream: String,
        /// Memory in bytes.
        bytes: u64,
    },
    /// By its ledger, an upstream refused an order that would have overcommitted its memory.
    UpstreamOvercommit {
        /// Upstream.
        upstream: String,
    },
    /// An upstream is fresh from now on.
    UpstreamFresh {
        /// Upstream.
        upstream: String,
        /// Calls at once that it bears.
        bears: u32,
        /// How long it is fresh, in microseconds.
        span_us: u64,
        /// Whether the system could know: false where it turned cold without warning.
        announced: bool,
    },
    /// By its ledger, a fresh upstream died of its load.
    UpstreamCollapsed {
        /// Upstream.
        upstream: String,
    },
    /// The platform's list shows an upstream as leaving.
    UpstreamLeaving {
        /// Upstream.
        upstream: String,
    },
    /// The platform's list shows an upstream as live.
    UpstreamJoined {
        /// Upstream.
        upstream: String,
    },

    /// A controller's decision to hold a replica was committed, or it took over one that was.
    ReplicaDecided {
        /// Model.
        model: String,
        /// Upstream.
        upstream: String,
        /// Bytes that the replica takes.
        bytes: u64,
        /// Fencing token.
        fence: u64,
    },
    /// A controller ends such a decision; recorded before it is committed.
    ReplicaReleased {
        /// Model.
        model: String,
        /// Upstream.
        upstream: String,
    },
    /// A controller read all decisions about an upstream.
    IntentsRead {
        /// Upstream.
        upstream: String,
        /// The replicas decided for it.
        replicas: Vec<Replica>,
    },
    /// A controller sends an order to an upstream.
    OrderSent {
        /// Order id.
        order: String,
        /// What is ordered: `load`, `unload`, `load_adapter` or `unload_adapter`.
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
    /// By its ledger or state, an upstream holds a replica.
    ReplicaLoaded {
        /// Model.
        model: String,
        /// Upstream.
        upstream: String,
    },
    /// By its ledger or state, an upstream holds a replica no more.
    ReplicaUnloaded {
        /// Model.
        model: String,
        /// Upstream.
        upstream: String,
    },

    /// The operator's order to take an availability zone out was accepted.
    ZoneDrained {
        /// Zone.
        zone: String,
    },
    /// The operator's order to bring an availability zone back was accepted.
    ZoneRestored {
        /// Zone.
        zone: String,
    },
    /// A router told a caller which routers to use.
    Entry {
        /// Availability zones of the routers it named.
        zones: Vec<String>,
    },
    /// A revision of the configuration was accepted.
    RevisionAccepted {
        /// Revision.
        revision: u64,
    },
    /// A revision is in force in the recording process.
    RevisionInForce {
        /// Revision.
        revision: u64,
    },

    /// A member's term was renewed.
    TermRenewed {
        /// Member.
        member: String,
        /// End of the term on the monotonic clock, in microseconds.
        until_us: u64,
    },
    /// A member found that its term is over.
    TermLapsed {
        /// Member.
        member: String,
    },
    /// An operation began of which only [`Event::Ended`] says that its outcome was recorded. Where
    /// that is missing, its process died and `operation` stands, which leaves the outcome open.
    Begun {
        /// What kind of operation; numbers are unique within a process and scope.
        scope: String,
        /// Number of the operation.
        number: u64,
        /// The operation with an unknown outcome.
        operation: Box<Event>,
    },
    /// The outcome of an operation was recorded.
    Ended {
        /// What kind of operation.
        scope: String,
        /// Number of the operation.
        number: u64,
    },

    /// An operation on the view row, recorded at its return.
    View {
        /// The cell whose view it is.
        cell: String,
        /// When it began, on the monotonic clock.
        began_us: u64,
        /// What was done.
        op: ViewOp,
    },
    /// An operation on a row of a table, recorded at its return.
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
    /// An operation on an idempotency claim, recorded at its return.
    Claim {
        /// When it began, on the monotonic clock.
        began_us: u64,
        /// Team and idempotency key.
        claim: String,
        /// What was done.
        op: ClaimOp,
    },
}
