//! Model of the view row, whose epoch increases by one with each conditional write.

use porcupine_rs::Model;
use serde::Deserialize;
use serde::Serialize;

use super::Rows;
use crate::event::Event;
use crate::history::History;
use crate::report::Findings;
use crate::report::Property;

/// Outcome of a change.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeOutcome {
    /// The change took effect.
    Done,
    /// The row had another epoch.
    Refused,
    /// The outcome is unknown.
    Unknown,
}

/// An operation on the view row.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "do")]
pub enum ViewOp {
    /// A read; the epoch is 0 if the row doesn't exist.
    Read {
        /// Epoch.
        epoch: u64,
    },
    /// A change of the row.
    Change {
        /// Epoch that the write was conditional on.
        from: u64,
        /// New epoch.
        to: u64,
        /// Outcome.
        outcome: ChangeOutcome,
    },
}

/// Model of the row; its state is the epoch.
#[derive(Clone, Debug)]
pub struct ViewModel;

impl Model for ViewModel {
    type State = u64;
    type Op = ViewOp;
    type Metadata = ();

    fn init() -> u64 {
        0
    }

    fn step(state: &u64, op: &ViewOp) -> (bool, u64) {
        match op {
            ViewOp::Read { epoch } => (epoch == state, *state),
            ViewOp::Change { from, to, outcome } => match outcome {
                ChangeOutcome::Done => (from == state && *to == from + 1, *to),
                ChangeOutcome::Refused => (from != state, *state),
                ChangeOutcome::Unknown if from == state => (true, *to),
                ChangeOutcome::Unknown => (true, *state),
            },
        }
    }
}

/// Checks the view row of each cell.
pub fn check(history: &History) -> Findings {
    let mut findings = Findings::new(Property::ViewRow);
    let mut rows = Rows::<ViewModel>::new();
    for (record, event) in history.events() {
        if let Event::View { cell, began_us, op } = event {
            let unknown = ChangeOutcome::Unknown;
            let known = !matches!(op, ViewOp::Change { outcome, .. } if *outcome == unknown);
            rows.push(format!("view of {cell}"), *began_us, record, op.clone(), known);
        }
    }
    rows.check(history, &mut findings);
    findings
}
