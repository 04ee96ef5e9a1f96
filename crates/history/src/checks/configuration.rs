//! Checks that every process applies an accepted configuration in time and never reverts it.
//!
//! The check covers a process from its start to its end. A paused process can't apply revisions, so
//! the full bound starts again when it resumes.

use std::collections::VecDeque;

use indexmap::IndexMap;

use crate::event::Event;
use crate::event::Record;
use crate::history::History;
use crate::report::Findings;
use crate::report::Property;

/// State of one process that applies configurations.
#[derive(Default)]
struct ProcessState<'a> {
    paused: bool,
    applied: u64,
    last_record: Option<&'a Record>,
    /// Revisions not applied yet, in order of acceptance.
    pending: VecDeque<PendingRevision<'a>>,
}

/// An accepted revision that must be applied by `deadline`, in microseconds.
#[derive(Clone, Copy)]
struct PendingRevision<'a> {
    revision: u64,
    deadline: u64,
    record: &'a Record,
}

/// Checks the property.
pub fn check(history: &History) -> Findings {
    let mut findings = Findings::new(Property::Configuration);
    let bound = history.bounds.revision_us;
    let mut processes = IndexMap::<&str, ProcessState<'_>>::new();
    let mut newest = None::<PendingRevision<'_>>;
    for (record, event) in history.events() {
        match event {
            Event::ProcessStart { .. } => {
                let due = newest.map(|due| PendingRevision { deadline: record.at + bound, ..due });
                let state = ProcessState { pending: due.into_iter().collect(), ..<_>::default() };
                processes.insert(&record.process, state);
            }
            Event::ProcessKilled { target } => {
                report_overdue(
                    processes.swap_remove(target.as_str()),
                    target,
                    record.at,
                    &mut findings,
                );
            }
            Event::ShutdownBegin => {
                let process = record.process.as_str();
                report_overdue(processes.swap_remove(process), process, record.at, &mut findings);
            }
            Event::ProcessPaused { target } => {
                if let Some(state) = processes.get_mut(target.as_str()) {
                    state.paused = true;
                }
            }
            Event::ProcessResumed { target } => {
                if let Some(state) = processes.get_mut(target.as_str()) {
                    state.resume(record.at + bound);
                }
            }
            Event::RevisionAccepted { revision } => {
                let due =
                    PendingRevision { revision: *revision, deadline: record.at + bound, record };
                // A process may apply the revision before the operator records its acceptance.
                let behind = processes.values_mut().filter(|state| state.applied < *revision);
                behind.for_each(|state| state.pending.push_back(due));
                if newest.is_none_or(|newest| newest.revision < *revision) {
                    newest = Some(due);
                }
            }
            Event::RevisionInForce { revision } => {
                if let Some(state) = processes.get_mut(record.process.as_str()) {
                    state.apply(*revision, record, &mut findings);
                }
            }
            _ => {}
        }
    }
    for (process, state) in processes {
        report_overdue(Some(state), process, history.end(), &mut findings);
    }
    findings
}

impl<'a> ProcessState<'a> {
    fn resume(&mut self, deadline: u64) {
        self.paused = false;
        for pending in &mut self.pending {
            pending.deadline = pending.deadline.max(deadline);
        }
    }

    fn apply(&mut self, revision: u64, record: &'a Record, findings: &mut Findings) {
        let evidence = [self.last_record.unwrap_or(record), record];
        findings.verify(revision >= self.applied, &evidence, || {
            format!("revision {} reverted to {revision}", self.applied)
        });
        self.applied = revision;
        self.last_record = Some(record);
        self.pending.retain(|due| {
            let applied = due.revision <= revision;
            if applied {
                let late = record.at.saturating_sub(due.deadline);
                findings.verify(late == 0, &[due.record, record], || {
                    format!("revision {} was applied {late} us too late", due.revision)
                });
            }
            !applied
        });
    }
}

/// Reports the overdue revisions of a process that ends at `now`.
fn report_overdue(
    state: Option<ProcessState<'_>>,
    process: &str,
    now: u64,
    findings: &mut Findings,
) {
    let Some(state) = state.filter(|state| !state.paused) else {
        return;
    };
    for due in state.pending.iter().filter(|due| due.deadline < now) {
        findings.verify(false, &[due.record], || {
            format!("revision {} was never applied by {process}", due.revision)
        });
    }
}
