//! Models of the shared rows for a linearizability checker.
//!
//! An operation with an unknown outcome may take effect at any later time or never. It has no end
//! time and its model step never fails: ordered last, it is equivalent to no effect.

pub mod claims;
pub mod table;
pub mod view;

use std::time::Duration;

use indexmap::IndexMap;
use porcupine_rs::check_operations_timeout;
use porcupine_rs::CheckResult;
use porcupine_rs::Model;
use porcupine_rs::Operation;

use crate::event::Record;
use crate::history::History;
use crate::report::Findings;

/// Operations on one row and their records.
pub(crate) struct Row<'a, M: Model> {
    operations: Vec<Operation<M>>,
    records: Vec<&'a Record>,
}

/// Operations by row name.
pub(crate) struct Rows<'a, M: Model> {
    by_name: IndexMap<String, Row<'a, M>>,
}

impl<'a, M: Model> Rows<'a, M> {
    pub fn new() -> Self {
        Rows { by_name: IndexMap::new() }
    }

    /// Adds an operation that began at `began`, in microseconds. It has no end time unless its
    /// outcome is `known`.
    pub fn push(&mut self, row: String, began: u64, record: &'a Record, op: M::Op, known: bool) {
        let empty = || Row { operations: Vec::new(), records: Vec::new() };
        let row = self.by_name.entry(row).or_insert_with(empty);
        row.operations.push(Operation {
            client_id: None,
            call_time: i64::try_from(began).unwrap_or(i64::MAX),
            return_time: if known {
                i64::try_from(record.at).unwrap_or(i64::MAX)
            } else {
                i64::MAX
            },
            op,
            metadata: None,
        });
        row.records.push(record);
    }

    /// Checks each row separately and adds the result to `findings`.
    pub fn check(self, history: &History, findings: &mut Findings) {
        let limit = Duration::from_micros(history.bounds.search_us);
        for (name, row) in self.by_name {
            match check_operations_timeout(&row.operations, limit) {
                CheckResult::Ok => findings.facts += row.operations.len() as u64,
                CheckResult::Unknown => findings.undecided += 1,
                CheckResult::Illegal => {
                    findings.verify(false, &first_and_last(&row.records), || {
                        format!("{} operations on {name} aren't linearizable", row.records.len())
                    });
                }
            }
        }
    }
}

/// Returns the first and last record.
fn first_and_last<'a>(records: &[&'a Record]) -> Vec<&'a Record> {
    records.first().into_iter().chain(records.last()).copied().collect()
}
