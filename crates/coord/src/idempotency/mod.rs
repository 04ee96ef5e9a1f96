//! At-most-once execution of calls per idempotency key.
//!
//! Each router runs one [`Ledger`]. A call claims its key by a conditional insert with a unique
//! attempt id, sets the claim to [`Phase::Sending`] before the first byte is sent, is sent once,
//! and its outcome is recorded. The driver carries out each [`Effect`] and reports the result as an
//! [`Event`]. If the store doesn't answer a write, the ledger reads the row back.
//!
//! Why a call is sent at most once per key: `Send` is emitted once per attempt, and only after the
//! row was seen in phase `Sending` with that attempt. Another attempt takes over a row in phase
//! `Claimed` by a write that is conditional on the row's version, so the first attempt's own write
//! to `Sending` then fails. A row leaves `Sending` only for an outcome, or its own attempt removes
//! it when certainly no byte was sent.

mod commands;
mod queries;

use std::time::Duration;

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use crate::time::Tick;

/// Settings of a [`Ledger`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LedgerSettings {
    /// Time after which an unchanged claim of another attempt counts as abandoned. Must exceed the
    /// longest duration of a call, so that only claims of dead routers reach this age.
    pub claim_timeout: Duration,
    /// Longest wait for the store before a call that wasn't sent is refused.
    pub store_timeout: Duration,
    /// Longest wait for the outcome to be recorded before the caller is answered anyway.
    pub record_timeout: Duration,
    /// Interval between retries while the store is failing.
    pub retry_interval: Duration,
    /// Most claims of other attempts that are watched for changes.
    pub max_watches: usize,
}

impl Default for LedgerSettings {
    fn default() -> Self {
        LedgerSettings {
            claim_timeout: Duration::from_secs(120),
            store_timeout: Duration::from_secs(3),
            record_timeout: Duration::from_secs(2),
            retry_interval: Duration::from_millis(100),
            max_watches: 10_000,
        }
    }
}

/// Key of a claim: the caller's team and the idempotency key it chose.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ClaimKey {
    /// Team name.
    pub team: String,
    /// Idempotency key from the caller's request.
    pub key: String,
}

/// A recorded response.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Outcome {
    /// HTTP status code.
    pub status: u16,
    /// Headers to replay with the response.
    pub headers: Vec<(String, String)>,
    /// Body. The driver encodes bodies that aren't UTF-8 text.
    pub body: String,
}

/// Progress of a claim.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "is")]
pub enum Phase {
    /// No byte of the call has been sent.
    Claimed,
    /// The call may have been sent.
    Sending,
    /// The call ran and was answered.
    Done {
        /// The recorded response.
        outcome: Outcome,
    },
    /// The call was sent, and whether it ran is unknown.
    Unknown,
}

/// Content of the row of one key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Claim {
    /// Unique id of the attempt that owns the row.
    pub attempt: String,
    /// Digest of method, path and body, to detect reuse of the key for another request.
    pub digest: String,
    /// Progress of the attempt.
    pub phase: Phase,
}

/// Identifies a call within one ledger; never reused.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct CallId(pub u64);

/// An action for the driver. A call has at most one store operation in flight.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Effect {
    /// Insert the row if it is absent.
    Insert {
        /// Call that the effect belongs to.
        call: CallId,
        /// Key of the row.
        key: ClaimKey,
        /// New content of the row.
        claim: Claim,
    },
    /// Replace the row if it is at `version`.
    Replace {
        /// Call that the effect belongs to.
        call: CallId,
        /// Key of the row.
        key: ClaimKey,
        /// New content of the row.
        claim: Claim,
        /// Required version of the row.
        version: u64,
    },
    /// Remove the row if it is at `version`.
    Remove {
        /// Call that the effect belongs to.
        call: CallId,
        /// Key of the row.
        key: ClaimKey,
        /// Required version of the row.
        version: u64,
    },
    /// Read the row.
    ReadBack {
        /// Call that the effect belongs to.
        call: CallId,
        /// Key of the row.
        key: ClaimKey,
    },
    /// The key is claimed: choose where to send the call, then report `Ready` or `Withdrawn`.
    Prepare {
        /// Call that the effect belongs to.
        call: CallId,
    },
    /// Send the call once, on a new connection.
    Send {
        /// Call that the effect belongs to.
        call: CallId,
    },
    /// Answer the caller.
    Answer {
        /// Call that the effect belongs to.
        call: CallId,
        /// Answer for the caller.
        answer: Answer,
    },
}

/// Result of a call for its caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Answer {
    /// The call ran, now or earlier.
    Ran {
        /// The recorded response.
        outcome: Outcome,
        /// Whether the response was recorded by an earlier call with the same key.
        replayed: bool,
    },
    /// The call was sent, and whether it ran is unknown.
    Unknown,
    /// 409: another call with the key is in progress.
    Open,
    /// 422: the key was used for another request.
    Mismatch,
    /// No byte of the call was sent.
    NotRun(NotRunReason),
}

/// Why a call wasn't sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NotRunReason {
    /// The store can't record the claim.
    Store,
    /// The router withdrew the call before it was sent.
    Withdrawn,
    /// The service was unreachable.
    Unreachable,
}

/// A claim as read from the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredClaim {
    /// Content of the row.
    pub claim: Claim,
    /// Version of the row.
    pub version: u64,
}

/// A result that the driver reports.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// A write took effect.
    Written {
        /// New version of the row; 0 after a removal.
        version: u64,
    },
    /// The condition of a write failed; nothing was written.
    Refused {
        /// Current row; `None` if it is absent.
        found: Option<StoredClaim>,
    },
    /// The row was read.
    Read {
        /// Current row; `None` if it is absent.
        found: Option<StoredClaim>,
    },
    /// The store was unavailable; nothing was written or read.
    Unavailable,
    /// The store didn't answer. A write may have taken effect, or may still do so later.
    NoAnswer,
    /// The prepared call can be sent.
    Ready,
    /// The prepared call won't be sent.
    Withdrawn,
    /// The service answered the call.
    Answered(Outcome),
    /// The call was sent, but its response is missing or incomplete.
    Lost,
    /// Certainly no byte of the call was sent.
    NotSent,
}

/// Errors of [`Ledger::handle`]. The event had no effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The call is unknown or has ended.
    #[error("{0:?} has already ended; ignore the event")]
    UnknownCall(CallId),
    /// The call isn't waiting for this event.
    #[error("{0:?} is waiting for another event; ignore this one")]
    UnexpectedEvent(CallId),
}

/// Result of [`Ledger::handle`].
pub type Result<T> = std::result::Result<T, Error>;

/// What a call waits for.
#[derive(Clone, Debug, Eq, PartialEq)]
enum Step {
    /// The result of the insert.
    Inserting,
    /// The result of taking over another attempt's row.
    TakingOver,
    /// The result of reading the row after a write without an answer.
    Reading(RowWrite),
    /// The driver's choice of where to send the call.
    Preparing,
    /// The result of the write to `Sending`.
    MarkingSending,
    /// The response of the service.
    Sending,
    /// The result of recording the outcome.
    Recording,
    /// The result of the removal.
    Removing,
    /// The result of setting another attempt's row to phase `Unknown`.
    ClosingStale,
    /// The time of the next retry of a write, after the store failed.
    Waiting(RowWrite),
}

/// Writes to the row of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RowWrite {
    Insert,
    TakeOver,
    MarkSending,
    Record,
    Remove,
    CloseStale,
}

/// State of one call.
#[derive(Clone, Debug)]
struct Call {
    key: ClaimKey,
    attempt: String,
    digest: String,
    step: Step,
    /// Version of the row when last written or read.
    version: u64,
    /// Claim of another attempt, which this call sets to phase `Unknown` if it is abandoned.
    other_claim: Option<Claim>,
    /// Final phase to record, once known.
    outcome: Option<Phase>,
    /// Whether the caller has been answered.
    answered: bool,
    /// Start of the current wait for the store: when the call began, became ready to send, or got
    /// its outcome.
    since: Tick,
    /// Time of the next retry.
    retry_at: Tick,
}

/// Last seen version of another attempt's claim in progress, and since when.
#[derive(Clone, Copy, Debug)]
struct ClaimWatch {
    version: u64,
    since: Tick,
}

/// The calls of one router.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    settings: LedgerSettings,
    calls: IndexMap<CallId, Call>,
    watches: IndexMap<ClaimKey, ClaimWatch>,
    next_call: u64,
}
