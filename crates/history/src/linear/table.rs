//! Model of table rows, with reads and conditional writes.
//!
//! A transaction is recorded as one operation per row that it reads or writes. A rejected
//! transaction is recorded only on the row whose condition failed.

use indexmap::IndexSet;
use porcupine_rs::Model;
use serde::Deserialize;
use serde::Serialize;

use super::Rows;
use crate::event::Event;
use crate::history::History;
use crate::report::Findings;
use crate::report::Property;

/// Value and version of a row.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Cell {
    /// Version assigned by the store.
    pub version: u64,
    /// The value or its digest.
    pub value: String,
}

/// Condition of a write.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Expect {
    /// No condition.
    Any,
    /// The row doesn't exist.
    Absent,
    /// The row has this version.
    Version(u64),
}

/// Outcome of a write.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PutOutcome {
    /// The write took effect; the row now has this version.
    Done(u64),
    /// The condition wasn't met.
    Refused,
    /// The outcome is unknown.
    Unknown,
}

/// An operation on a row.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "do")]
pub enum TableOp {
    /// A read.
    Get {
        /// The row; `None` if it doesn't exist.
        found: Option<Cell>,
    },
    /// A write.
    Put {
        /// Condition.
        expect: Expect,
        /// New value; `None` deletes the row.
        value: Option<String>,
        /// Outcome.
        outcome: PutOutcome,
    },
}

/// Model state of a row. The version is unknown after a write whose response was lost.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct State {
    version: Option<u64>,
    value: String,
}

/// Model of one row.
#[derive(Clone, Debug)]
pub struct TableModel;

impl Model for TableModel {
    type State = Option<State>;
    type Op = TableOp;
    type Metadata = ();

    fn init() -> Self::State {
        None
    }

    fn step(state: &Self::State, op: &TableOp) -> (bool, Self::State) {
        match op {
            TableOp::Get { found } => read(state, found.as_ref()),
            TableOp::Put { expect, value, outcome } => write(state, *expect, value, *outcome),
        }
    }
}

fn read(state: &Option<State>, found: Option<&Cell>) -> (bool, Option<State>) {
    match (state, found) {
        (None, None) => (true, None),
        (Some(row), Some(cell)) => {
            let same = row.version.is_none_or(|version| version == cell.version);
            let read = State { version: Some(cell.version), value: cell.value.clone() };
            (same && row.value == cell.value, Some(read))
        }
        _ => (false, state.clone()),
    }
}

fn write(
    state: &Option<State>,
    expect: Expect,
    value: &Option<String>,
    outcome: PutOutcome,
) -> (bool, Option<State>) {
    let version_unknown = state.as_ref().is_some_and(|row| row.version.is_none());
    let condition_met = match (expect, state) {
        (Expect::Any, _) | (Expect::Absent, None) => true,
        (Expect::Absent, Some(_)) | (Expect::Version(_), None) => false,
        (Expect::Version(version), Some(row)) => {
            row.version.is_none_or(|current| current == version)
        }
    };
    let written = |version| value.clone().map(|value| State { version, value });
    match outcome {
        PutOutcome::Done(version) => (condition_met, written(Some(version))),
        PutOutcome::Refused => {
            let may_reject =
                !condition_met || version_unknown && matches!(expect, Expect::Version(_));
            (may_reject, state.clone())
        }
        PutOutcome::Unknown if condition_met => (true, written(None)),
        PutOutcome::Unknown => (true, state.clone()),
    }
}

/// Checks each row, and that no version is assigned twice.
pub fn check(history: &History) -> Findings {
    let mut findings = Findings::new(Property::TableRows);
    let mut rows = Rows::<TableModel>::new();
    let mut assigned = IndexSet::new();
    for (record, event) in history.events() {
        let Event::Table { began_us, table, key, op } = event else {
            continue;
        };
        let row = format!("{table}/{key}");
        let known = !matches!(op, TableOp::Put { outcome: PutOutcome::Unknown, .. });
        if let TableOp::Put { outcome: PutOutcome::Done(version), .. } = op {
            let new = assigned.insert((row.clone(), *version));
            findings
                .verify(new, &[record], || format!("{row} was assigned version {version} twice"));
        }
        rows.push(row, *began_us, record, op.clone(), known);
    }
    rows.check(history, &mut findings);
    findings
}
