//! The idempotency ledger: one claim for each team and idempotency key.
//!
//! A claim is won once, keeps its outcome for good, and is free again only when its winner gives it
//! up because nothing ran.

use porcupine_rs::Model;
use serde::Deserialize;
use serde::Serialize;

use super::Rows;
use crate::event::Event;
use crate::history::History;
use crate::report::Findings;
use crate::report::Property;

/// What an attempt to claim found.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimResult {
    /// It won the claim.
    Won,
    /// Another attempt has it, and its outcome isn't kept yet.
    Open,
    /// The claim has this outcome, or its digest.
    Kept(String),
    /// The claim was made with another body.
    Mismatch,
    /// Nobody knows.
    Unknown,
}

/// What became of a write to a claim by its winner.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum WriteResult {
    /// It took effect, now or before.
    Done,
    /// The claim isn't open for this attempt.
    Refused,
    /// Nobody knows.
    Unknown,
}

/// An operation on a claim.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "do")]
pub enum ClaimOp {
    /// Claims, reading back where the answer was lost.
    Claim {
        /// Unique id of the attempt.
        attempt: String,
        /// Digest of the body.
        body: String,
        /// What it found.
        result: ClaimResult,
    },
    /// Keeps the outcome.
    Settle {
        /// The attempt that won.
        attempt: String,
        /// Outcome or its digest.
        outcome: String,
        /// What became of it.
        result: WriteResult,
    },
    /// Gives the claim up, since nothing ran.
    Release {
        /// The attempt that won.
        attempt: String,
        /// What became of it.
        result: WriteResult,
    },
}

/// A claim as the model sees it.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum State {
    /// Nobody has it.
    Free,
    /// An attempt has it.
    Open {
        /// The attempt.
        attempt: String,
        /// Digest of the body.
        body: String,
    },
    /// It has an outcome.
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
                end(state, settled, *result)
            }
            ClaimOp::Release { attempt, result } => end(state, release(state, attempt), *result),
        }
    }
}

fn claim(state: &State, attempt: &str, body: &str, result: &ClaimResult) -> (bool, State) {
    let won = State::Open { attempt: attempt.to_owned(), body: body.to_owned() };
    let same = || state.clone();
    match (result, state) {
        (ClaimResult::Won | ClaimResult::Unknown, State::Free) => (true, won),
        (ClaimResult::Unknown, _) => (true, same()),
        // The insert took effect, its answer was lost, and the read back found it.
        (ClaimResult::Won, _) => (*state == won, same()),
        (ClaimResult::Open, State::Open { attempt: other, body: its }) => {
            (other != attempt && its == body, same())
        }
        (ClaimResult::Kept(outcome), State::Settled { body: its, outcome: kept, .. }) => {
            (its == body && kept == outcome, same())
        }
        (ClaimResult::Mismatch, State::Open { body: its, .. })
        | (ClaimResult::Mismatch, State::Settled { body: its, .. }) => (its != body, same()),
        _ => (false, same()),
    }
}

/// The state after an outcome is kept, if the attempt may keep it.
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

/// The state after a claim is given up, if the attempt may give it up.
fn release(state: &State, attempt: &str) -> Option<State> {
    match state {
        State::Open { attempt: owner, .. } if owner == attempt => Some(State::Free),
        _ => None,
    }
}

/// The step of a winner's write with `next` as the state that it leads to, if it may.
fn end(state: &State, next: Option<State>, result: WriteResult) -> (bool, State) {
    match (result, next) {
        (WriteResult::Done | WriteResult::Unknown, Some(next)) => (true, next),
        (WriteResult::Done, None) => (false, state.clone()),
        (WriteResult::Unknown, None) => (true, state.clone()),
        (WriteResult::Refused, next) => (next.is_none(), state.clone()),
    }
}

/// Checks every claim.
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
