//! An accepted configuration is in force everywhere within seconds and never reverts.
//!
//! A process is held to this from its start to its end. While it is paused it can't follow, so a
//! pause gives it the whole bound again.

use std::collections::VecDeque;

use indexmap::IndexMap;

use crate::event::Event;
use crate::event::Record;
use crate::history::History;
use crate::report::Findings;
use crate::report::Property;

/// One process that follows the configuration.
#[derive(Default)]
struct Follower<'a> {
    paused: bool,
    in_force: u64,
    last: Option<&'a Record>,
    /// Revisions that it lacks, in the order of their acceptance.
    pending: VecDeque<Due<'a>>,
}

/// An accepted revision that has to be in force at `at`.
#[derive(Clone, Copy)]
struct Due<'a> {
    revision: u64,
    at: u64,
    record: &'a Record,
}

/// Checks the property.
pub fn check(history: &History) -> Findings {
    let mut findings = Findings::new(Property::Configuration);
    let bound = history.bounds.revision_us;
    let mut followers = IndexMap::<&str, Follower<'_>>::new();
    let mut newest = None::<Due<'_>>;
    for (record, event) in history.events() {
        match event {
            Event::ProcessStart { .. } => {
                let due = newest.map(|due| Due { at: record.at + bound, ..due });
                let follower = Follower { pending: due.into_iter().collect(), ..<_>::default() };
                followers.insert(&record.process, follower);
            }
            Event::ProcessKilled { target } => {
                end(followers.swap_remove(target.as_str()), target, record.at, &mut findings);
            }
            Event::ShutdownBegin => {
                let process = record.process.as_str();
                end(followers.swap_remove(process), process, record.at, &mut findings);
            }
            Event::ProcessPaused { target } => {
                if let Some(follower) = followers.get_mut(target.as_str()) {
                    follower.paused = true;
                }
            }
            Event::ProcessResumed { target } => {
                if let Some(follower) = followers.get_mut(target.as_str()) {
                    follower.resume(record.at + bound);
                }
            }
            Event::RevisionAccepted { revision } => {
                let due = Due { revision: *revision, at: record.at + bound, record };
                // One that is in force before the operator hears of it is in force in time.
                let lacking = followers.values_mut().filter(|f| f.in_force < *revision);
                lacking.for_each(|follower| follower.pending.push_back(due));
                if newest.is_none_or(|newest| newest.revision < *revision) {
                    newest = Some(due);
                }
            }
            Event::RevisionInForce { revision } => {
                if let Some(follower) = followers.get_mut(record.process.as_str()) {
                    follower.apply(*revision, record, &mut findings);
                }
            }
            _ => {}
        }
    }
    for (process, follower) in followers {
        end(Some(follower), process, history.end(), &mut findings);
    }
    findings
}

impl<'a> Follower<'a> {
    fn resume(&mut self, due: u64) {
        self.paused = false;
        for pending in &mut self.pending {
            pending.at = pending.at.max(due);
        }
    }

    fn apply(&mut self, revision: u64, record: &'a Record, findings: &mut Findings) {
        let evidence = [self.last.unwrap_or(record), record];
        findings.fact(revision >= self.in_force, &evidence, || {
            format!("revision {} reverted to {revision}", self.in_force)
        });
        self.in_force = revision;
        self.last = Some(record);
        self.pending.retain(|due| {
            let met = due.revision <= revision;
            if met {
                let late = record.at.saturating_sub(due.at);
                findings.fact(late == 0, &[due.record, record], || {
                    format!("revision {} came into force {late} us too late", due.revision)
                });
            }
            !met
        });
    }
}

/// Ends the account of a process at `now`.
fn end(follower: Option<Follower<'_>>, process: &str, now: u64, findings: &mut Findings) {
    let Some(follower) = follower.filter(|follower| !follower.paused) else {
        return;
    };
    for due in follower.pending.iter().filter(|due| due.at < now) {
        findings.fact(false, &[due.record], || {
            format!("revision {} never came into force at {process}", due.revision)
        });
    }
}
