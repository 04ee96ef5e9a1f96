//! Runs the checkers and reports their results.

use std::fmt;
use std::path::Path;

use indexmap::IndexMap;
use serde::Serialize;

use crate::checks;
use crate::event::Record;
use crate::history::Bounds;
use crate::history::History;
use crate::history::Result;
use crate::linear;

/// An invariant of the system, or a kind of shared row that must be linearizable.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Property {
    /// Only replicas with a decision are loaded.
    Replicas,
    /// No upstream's memory is overcommitted.
    Memory,
    /// Every waiting request is served or rejected in time.
    Waiting,
    /// A request runs only for the team that owns its key, except on open routes.
    Identity,
    /// No upstream receives a caller's key.
    Secrecy,
    /// A revoked key is rejected within seconds.
    Revocation,
    /// No team exceeds its rate and burst, summed over all instances.
    Limits,
    /// A fresh upstream never runs more calls than its reduced capacity.
    Fresh,
    /// A drained zone receives no new work after a few seconds.
    Zones,
    /// A caller receives the complete response to its own request.
    Answers,
    /// A request rejected as "not run" didn't run.
    Refusals,
    /// A non-idempotent call runs at most once.
    Once,
    /// A leaving upstream receives no new work after a few seconds.
    Leaving,
    /// A graceful shutdown interrupts no request.
    Shutdown,
    /// Every process applies an accepted configuration within seconds and never reverts it.
    Configuration,
    /// Rows of the table store are linearizable.
    TableRows,
    /// The view row is linearizable and its epoch increases by one per change.
    ViewRow,
    /// The idempotency ledger is linearizable.
    ClaimLedger,
}

/// Identifies a record.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct RecordId {
    /// Process.
    pub process: String,
    /// Sequence number within the process.
    pub seq: u64,
}

/// A violation of a property.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Violation {
    /// The violated property.
    pub property: Property,
    /// Description.
    pub text: String,
    /// Records that prove the violation.
    pub records: Vec<RecordId>,
}

/// Result of one checker.
#[derive(Clone, Debug, PartialEq)]
pub struct Findings {
    /// The checked property.
    pub property: Property,
    /// Number of checks made; 0 means that the history doesn't exercise the property.
    pub facts: u64,
    /// Violations found.
    pub violations: Vec<Violation>,
    /// Number of linearizability checks that timed out.
    pub undecided: u64,
}

impl Findings {
    pub(crate) fn new(property: Property) -> Self {
        Findings { property, facts: 0, violations: Vec::new(), undecided: 0 }
    }

    /// Counts a check, and adds a violation unless the checked condition `holds`.
    pub(crate) fn verify(
        &mut self,
        holds: bool,
        records: &[&Record],
        text: impl FnOnce() -> String,
    ) {
        self.facts += 1;
        if holds {
            return;
        }
        let record_id =
            |record: &&Record| RecordId { process: record.process.clone(), seq: record.seq };
        let records = records.iter().map(record_id).collect();
        self.violations.push(Violation { property: self.property, text: text(), records });
    }
}

/// Counts of one property.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct PropertyCounts {
    /// Number of checks made.
    pub facts: u64,
    /// Number of violations.
    pub violations: u64,
    /// Number of linearizability checks that timed out.
    pub undecided: u64,
}

/// Results of all checkers.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Report {
    /// Number of records read.
    pub records: usize,
    /// Counts by property.
    pub lines: IndexMap<Property, PropertyCounts>,
    /// Violations of all properties.
    pub violations: Vec<Violation>,
}

impl Report {
    /// Whether there are no violations and every linearizability check completed.
    pub fn is_clean(&self) -> bool {
        self.violations.is_empty() && self.lines.values().all(|line| line.undecided == 0)
    }

    /// Properties that the history doesn't exercise.
    pub fn uncovered(&self) -> impl Iterator<Item = Property> + '_ {
        self.lines.iter().filter(|(_, line)| line.facts == 0).map(|(property, _)| *property)
    }

    fn add(&mut self, findings: Findings) {
        let line = PropertyCounts {
            facts: findings.facts,
            violations: findings.violations.len() as u64,
            undecided: findings.undecided,
        };
        self.lines.insert(findings.property, line);
        self.violations.extend(findings.violations);
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{} records", self.records)?;
        for (property, line) in &self.lines {
            let name = format!("{property:?}");
            write!(f, "{name:<14} {:>8} facts", line.facts)?;
            write!(f, " {:>4} violations", line.violations)?;
            match line.undecided {
                0 => writeln!(f)?,
                count => writeln!(f, " {count} undecided")?,
            }
        }
        for violation in &self.violations {
            write!(f, "{:?}: {}", violation.property, violation.text)?;
            for record in &violation.records {
                write!(f, " [{}#{}]", record.process, record.seq)?;
            }
            writeln!(f)?;
        }
        Ok(())
    }
}

/// Runs all checkers on a history.
pub fn check(history: &History) -> Report {
    let mut report = Report { records: history.records().len(), ..Report::default() };
    let checkers = [
        checks::replicas::check,
        checks::memory::check,
        checks::waiting::check,
        checks::identity::check,
        checks::secrecy::check,
        checks::revocation::check,
        checks::limits::check,
        checks::fresh::check,
        checks::zones::check,
        checks::answers::check,
        checks::refusals::check,
        checks::once::check,
        checks::leaving::check,
        checks::shutdown::check,
        checks::configuration::check,
        linear::table::check,
        linear::view::check,
        linear::claims::check,
    ];
    for checker in checkers {
        report.add(checker(history));
    }
    report
}

/// Reads a history file, or a directory of them, and runs all checkers with the default bounds.
pub fn check_file(path: impl AsRef<Path>) -> Result<Report> {
    Ok(check(&History::read(path.as_ref(), Bounds::default())?))
}
