//! Rows of the table store: reads and conditional writes of single rows.
//!
//! A transaction is recorded as one operation on each row that it reads or writes. One that was
//! refused is recorded only on the row whose condition failed.

use indexmap::IndexSet;
use porcupine_rs::Model;
use serde::Deserialize;
use serde::Serialize;

use super::Rows;
use crate::event::Event;
use crate::history::History;
use crate::report::Findings;
use crate::report::Property;

/// A row's value and version.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Cell {
    /// Version that the store gave it.
    pub version: u64,
    /// The value or its digest.
    pub value: String,
}

/// Condition of a write.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Expect {
    /// None.
    Any,
    /// The row doesn't exist.
    Absent,
    /// The row has this version.
    Version(u64),
}

/// What became of a write.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PutOutcome {
    /// It took effect and gave the row this version.
    Done(u64),
    /// Its condition didn't hold.
    Refused,
    /// Nobody knows.
    Unknown,
}

/// An operation on a row.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "do")]
pub enum TableOp {
    /// A read.
    Get {
        /// What it found.
        found: Option<Cell>,
    },
    /// A write.
    Put {
        /// Its condition.
        expect: Expect,
        /// New value, or none for a delete.
        value: Option<String>,
        /// What became of it.
        outcome: PutOutcome,
    },
}

/// A row as the model sees it; the version is unknown after a write whose answer was lost.
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
    let unsure = state.as_ref().is_some_and(|row| row.version.is_none());
    let holds = match (expect, state) {
        (Expect::Any, _) | (Expect::Absent, None) => true,
        (Expect::Absent, Some(_)) | (Expect::Version(_), None) => false,
        (Expect::Version(version), Some(row)) => row.version.is_none_or(|own| own == version),
    };
    let written = |version| value.clone().map(|value| State { version, value });
    match outcome {
        PutOutcome::Done(version) => (holds, written(Some(version))),
        PutOutcome::Refused => {
            let may_fail = !holds || unsure && matches!(expect, Expect::Version(_));
            (may_fail, state.clone())
        }
        PutOutcome::Unknown if holds => (true, written(None)),
        PutOutcome::Unknown => (true, state.clone()),
    }
}

/// Checks every row, and that no version was given twice.
pub fn check(history: &History) -> Findings {
    let mut findings = Findings::new(Property::TableRows);
    let mut rows = Rows::<TableModel>::new();
    let mut given = IndexSet::new();
    for (record, event) in history.events() {
        let Event::Table { began_us, table, key, op } = event else {
            continue;
        };
        let row = format!("{table}/{key}");
        let known = !matches!(op, TableOp::Put { outcome: PutOutcome::Unknown, .. });
        if let TableOp::Put { outcome: PutOutcome::Done(version), .. } = op {
            let new = given.insert((row.clone(), *version));
            findings.fact(new, &[record], || format!("{row} got version {version} twice"));
        }
        rows.push(row, *began_us, record, op.clone(), known);
    }
    rows.check(history, &mut findings);
    findings
}
