//! Model of the idempotency ledger, which has one claim per team and idempotency key.
//!
//! One attempt wins a claim, and a recorded outcome is final. A claim becomes free again only if
//! its owner releases it because nothing ran.

use porcupine_rs::Model;
use serde::Deserialize;
use serde::Serialize;

use super::Rows;
use crate::event::Event;
use crate::history::History;
use crate::report::Findings;
use crate::report::Property;

/// Result of an attempt to claim a key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimResult {
    /// The attempt owns the claim.
    Won,
    /// Another attempt owns the claim and has recorded no outcome yet.
    Open,
    /// The claim has this recorded outcome, or this digest of it.
    Kept(String),
    /// The claim was made for a request with another body.
    Mismatch,
    /// The outcome is unknown.
    Unknown,
}

/// Result of a claim owner's write.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum WriteResult {
    /// The write took effect, now or earlier.
    Done,
    /// This attempt doesn't own an open claim.
    Refused,
    /// The outcome is unknown.
    Unknown,
}

/// An operation on a claim.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "do")]
pub enum ClaimOp {
    /// Claims the key, and reads the row if the response was lost.
    Claim {
        /// Unique id of the attempt.
        attempt: String,
        /// Digest of the body.
        body: String,
        /// Result.
        result: ClaimResult,
    },
    /// Records the outcome.
    Settle {
        /// The attempt that won.
        attempt: String,
        /// The outcome or its digest.
        outcome: String,
        /// Result.
        result: WriteResult,
    },
    /// Releases the claim, since nothing ran.
    Release {
        /// The attempt that won.
        attempt: String,
        /// Result.
        result: WriteResult,
    },
}

/// Model state of a claim.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum State {
    /// No attempt owns the claim.
    Free,
    /// An attempt owns the claim.
    Open {
        /// The attempt.
        attempt: String,
        /// Digest of the body.
        body: String,
    },
    /// The claim has an outcome.
    Settled {
        /// The attempt.
        attempt: String,
        /// Digest of the body.
        body: String,
        /// Outcome.
        outcome: String,
    },
}

/// Model of one claim.
#[derive(Clone, Debug)]
pub struct ClaimModel;

impl Model for ClaimModel {
    type State = State;
    type Op = ClaimOp;
    type Metadata = ();

    fn init() -> State {
        State::Free
    }

    fn step(state: &State, op: &ClaimOp) -> (bool, State) {
        match op {
            ClaimOp::Claim { attempt, body, result } => claim(state, attempt, body, result),
            ClaimOp::Settle { attempt, outcome, result } => {
                let settled = settle(state, attempt, outcome);
                write_step(state, settled, *result)
            }
            ClaimOp::Release { attempt, result } => {
                write_step(state, release(state, attempt), *result)
            }
        }
    }
}

fn claim(state: &State, attempt: &str, body: &str, result: &ClaimResult) -> (bool, State) {
    let won = State::Open { attempt: attempt.to_owned(), body: body.to_owned() };
    let unchanged = || state.clone();
    match (result, state) {
        (ClaimResult::Won | ClaimResult::Unknown, State::Free) => (true, won),
        (ClaimResult::Unknown, _) => (true, unchanged()),
        // The insert took effect earlier and its response was lost; the read then found the row.
        (ClaimResult::Won, _) => (*state == won, unchanged()),
        (ClaimResult::Open, State::Open { attempt: other, body: its }) => {
            (other != attempt && its == body, unchanged())
        }
        (ClaimResult::Kept(outcome), State::Settled { body: its, outcome: recorded, .. }) => {
            (its == body && recorded == outcome, unchanged())
        }
        (ClaimResult::Mismatch, State::Open { body: its, .. })
        | (ClaimResult::Mismatch, State::Settled { body: its, .. }) => (its != body, unchanged()),
        _ => (false, unchanged()),
    }
}

/// Returns the state after `attempt` records an outcome, or `None` if it isn't allowed to.
fn settle(state: &State, attempt: &str, outcome: &str) -> Option<State> {
    let settled = |body: &str| State::Settled {
        attempt: attempt.to_owned(),
        body: body.to_owned(),
        outcome: outcome.to_owned(),
    };
    match state {
        State::Open { attempt: owner, body } if owner == attempt => Some(settled(body)),
        State::Settled { body, .. } => Some(settled(body)).filter(|again| again == state),
        _ => None,
    }
}

/// Returns the state after `attempt` releases the claim, or `None` if it isn't allowed to.
fn release(state: &State, attempt: &str) -> Option<State> {
    match state {
        State::Open { attempt: owner, .. } if owner == attempt => Some(State::Free),
        _ => None,
    }
}

/// Returns the model step of an owner's write, where `next` is the state after an allowed write.
fn write_step(state: &State, next: Option<State>, result: WriteResult) -> (bool, State) {
    match (result, next) {
        (WriteResult::Done | WriteResult::Unknown, Some(next)) => (true, next),
        (WriteResult::Done, None) => (false, state.clone()),
        (WriteResult::Unknown, None) => (true, state.clone()),
        (WriteResult::Refused, next) => (next.is_none(), state.clone()),
    }
}

/// Checks each claim.
pub fn check(history: &History) -> Findings {
    let mut findings = Findings::new(Property::ClaimLedger);
    let mut rows = Rows::<ClaimModel>::new();
    for (record, event) in history.events() {
        if let Event::Claim { began_us, claim, op } = event {
            rows.push(format!("claim {claim}"), *began_us, record, op.clone(), is_known(op));
        }
    }
    rows.check(history, &mut findings);
    findings
}

fn is_known(op: &ClaimOp) -> bool {
    match op {
        ClaimOp::Claim { result, .. } => *result != ClaimResult::Unknown,
        ClaimOp::Settle { result, .. } | ClaimOp::Release { result, .. } => {
            *result != WriteResult::Unknown
        }
    }
}
