//! Models of the shared rows for a linearizability checker.
//!
//! An operation whose outcome is unknown may take effect at any later time or never. It is given
//! no end, and its model step never fails: put last, it is as if it had never taken effect.

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

/// Operations on one row with the records that they come from.
pub(crate) struct Row<'a, M: Model> {
    operations: Vec<Operation<M>>,
    records: Vec<&'a Record>,
}

/// Operations by row.
pub(crate) struct Rows<'a, M: Model> {
    table: IndexMap<String, Row<'a, M>>,
}

impl<'a, M: Model> Rows<'a, M> {
    pub fn new() -> Self {
        Rows { table: IndexMap::new() }
    }

    /// Adds an operation; one that isn't `known` to have ended or not gets no end.
    pub fn push(&mut self, row: String, began: u64, record: &'a Record, op: M::Op, known: bool) {
        let empty = || Row { operations: Vec::new(), records: Vec::new() };
        let row = self.table.entry(row).or_insert_with(empty);
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

    /// Checks each row by itself.
    pub fn check(self, history: &History, findings: &mut Findings) {
        let limit = Duration::from_micros(history.bounds.search_us);
        for (name, row) in self.table {
            match check_operations_timeout(&row.operations, limit) {
                CheckResult::Ok => findings.facts += row.operations.len() as u64,
                CheckResult::Unknown => findings.undecided += 1,
                CheckResult::Illegal => {
                    findings.fact(false, &ends(&row.records), || {
                        format!("{} operations on {name} aren't linearizable", row.records.len())
                    });
                }
            }
        }
    }
}

/// The first and last of some records.
fn ends<'a>(records: &[&'a Record]) -> Vec<&'a Record> {
    records.first().into_iter().chain(records.last()).copied().collect()
}
