//! Calls that may run at most once per idempotency key.
//!
//! A router drives one [`Ledger`]. Each call claims its key by a conditional insert that carries a
//! unique attempt id, marks the claim [`Phase::Sending`] before the first byte leaves, sends once,
//! and records the outcome. The driver carries out each [`Effect`] and hands the result back as an
//! [`Event`]; a store that gave no answer is read back.
//!
//! Why at most one send holds: `Send` is emitted once per attempt, and only after the row was seen
//! in phase `Sending` with that attempt. A row leaves `Claimed` for another attempt by a write that
//! is conditional on its version, which makes the first attempt's own write to `Sending` fail. A
//! row leaves `Sending` only for an outcome, or is removed by its own attempt where provably no
//! byte left.

mod commands;
mod queries;

use std::time::Duration;

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use crate::time::Tick;

/// Settings of a ledger.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LedgerSettings {
    /// How long an unchanged claim of another attempt counts as open. Longer than any call may
    /// take, so that only claims of routers that died grow this old.
    pub open: Duration,
    /// How long the store may take before a call that wasn't sent is refused.
    pub patience: Duration,
    /// How long an answer is held back until its outcome is recorded.
    pub record: Duration,
    /// Span between tries while the store fails.
    pub retry: Duration,
    /// Most claims of other attempts that are remembered.
    pub watched: usize,
}

impl Default for LedgerSettings {
    fn default() -> Self {
        LedgerSettings {
            open: Duration::from_secs(120),
            patience: Duration::from_secs(3),
            record: Duration::from_secs(2),
            retry: Duration::from_millis(100),
            watched: 10_000,
        }
    }
}

/// What a key stands for: the caller's team and the key it chose.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ClaimKey {
    /// Team name.
    pub team: String,
    /// Idempotency key as the caller sent it.
    pub key: String,
}

/// A kept answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Outcome {
    /// HTTP status.
    pub status: u16,
    /// Headers that are answered again.
    pub headers: Vec<(String, String)>,
    /// Body; the driver encodes bytes that aren't text.
    pub body: String,
}

/// How far a claim has come.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "is")]
pub enum Phase {
    /// No byte of the call has left.
    Claimed,
    /// The call may have been sent.
    Sending,
    /// The call ran.
    Done {
        /// What it answered.
        outcome: Outcome,
    },
    /// The call was sent and nobody knows whether it ran.
    Unknown,
}

/// The row of one key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Claim {
    /// Unique id of the attempt that owns the row.
    pub attempt: String,
    /// Digest of method, path and body.
    pub digest: String,
    /// How far it has come.
    pub phase: Phase,
}

/// Number of a call at this router; never used twice.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct CallId(pub u64);

/// What the driver has to do. Store operations of one call are never in flight together.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Effect {
    /// Insert the row on condition that it is absent.
    Insert {
        /// The call.
        call: CallId,
        /// Row key.
        key: ClaimKey,
        /// Row.
        claim: Claim,
    },
    /// Replace the row on condition of its version.
    Replace {
        /// The call.
        call: CallId,
        /// Row key.
        key: ClaimKey,
        /// Row.
        claim: Claim,
        /// Version that the row must have.
        version: u64,
    },
    /// Remove the row on condition of its version.
    Remove {
        /// The call.
        call: CallId,
        /// Row key.
        key: ClaimKey,
        /// Version that the row must have.
        version: u64,
    },
    /// Read the row.
    ReadBack {
        /// The call.
        call: CallId,
        /// Row key.
        key: ClaimKey,
    },
    /// The claim is ours: find the call a place, then report `Ready` or `Withdrawn`.
    Prepare {
        /// The call.
        call: CallId,
    },
    /// Send the call, once, on a fresh connection.
    Send {
        /// The call.
        call: CallId,
    },
    /// Answer the caller.
    Answer {
        /// The call.
        call: CallId,
        /// The answer.
        answer: Answer,
    },
}

/// What the caller is told.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Answer {
    /// The call ran, now or earlier.
    Ran {
        /// What it answered.
        outcome: Outcome,
        /// Whether an earlier call with the key ran.
        replayed: bool,
    },
    /// The call was sent and nobody knows whether it ran.
    Unknown,
    /// 409: another call with the key is open.
    Open,
    /// 422: the key was used with another body.
    Mismatch,
    /// No byte of the call left.
    NotRun(NotRunReason),
}

/// Why a call wasn't sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NotRunReason {
    /// The store can't keep the claim.
    Store,
    /// The router withdrew the call before sending it.
    Withdrawn,
    /// The service couldn't be reached.
    Unreachable,
}

/// A row as found in the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredClaim {
    /// The row.
    pub claim: Claim,
    /// Its version.
    pub version: u64,
}

/// What the driver reports.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// A write took effect.
    Written {
        /// The row's version; 0 after a removal.
        version: u64,
    },
    /// A write's condition didn't hold.
    Refused {
        /// The row as it is.
        found: Option<StoredClaim>,
    },
    /// The row was read.
    Read {
        /// The row as it is.
        found: Option<StoredClaim>,
    },
    /// The store did nothing.
    Unavailable,
    /// The store gave no answer: a write may or may not have taken effect, now or later.
    NoAnswer,
    /// The prepared call can be sent now.
    Ready,
    /// The prepared call won't be sent.
    Withdrawn,
    /// The service answered.
    Answered(Outcome),
    /// The call was sent and its answer is missing or broken.
    Lost,
    /// Provably no byte of the call left.
    NotSent,
}

/// Errors of this module.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The call isn't known, or is over.
    #[error("call {0:?} is over: drop the event")]
    NoCall(CallId),
    /// The event doesn't fit what the call waits for.
    #[error("call {0:?} waits for another event: drop this one")]
    OutOfTurn(CallId),
}

/// Result of this module.
pub type Result<T> = std::result::Result<T, Error>;

/// What a call waits for.
#[derive(Clone, Debug, Eq, PartialEq)]
enum Step {
    /// The insert's result.
    Inserting,
    /// The take-over's result.
    TakingOver,
    /// A read after a write without answer.
    Reading(Write),
    /// The driver's place for the call.
    Preparing,
    /// The result of the write to `Sending`.
    Marking,
    /// The service.
    Sending,
    /// The result of the write of the outcome.
    Recording,
    /// The result of the removal.
    Removing,
    /// The result of the write of `Unknown` over another attempt's row.
    Closing,
    /// The next try of a write, after the store failed.
    Waiting(Write),
}

/// Writes of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Write {
    Insert,
    TakeOver,
    Mark,
    Record,
    Remove,
    Close,
}

/// One call.
#[derive(Clone, Debug)]
struct Call {
    key: ClaimKey,
    attempt: String,
    digest: String,
    step: Step,
    /// Version of the row as last seen.
    version: u64,
    /// The row of another attempt, while it is closed.
    other: Option<Claim>,
    /// What is to be recorded.
    outcome: Option<Phase>,
    /// Whether the caller got its answer.
    answered: bool,
    /// When the call began, or when its outcome came.
    since: Tick,
    /// When the next try is due.
    retry: Tick,
}

/// A claim of another attempt that was seen open.
#[derive(Clone, Copy, Debug)]
struct Watch {
    version: u64,
    since: Tick,
}

/// The calls of one router.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    settings: LedgerSettings,
    calls: IndexMap<CallId, Call>,
    watches: IndexMap<ClaimKey, Watch>,
    next: u64,
}
