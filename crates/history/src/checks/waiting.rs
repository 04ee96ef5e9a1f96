//! Checks that every waiting request is served or rejected in time.
//!
//! A call starts or is rejected by its deadline, unless its caller disconnects or its process is
//! killed first. A pause of the process extends the deadline by its duration.

use indexmap::IndexMap;

use super::index;
use crate::event::Event;
use crate::event::Record;
use crate::history::History;
use crate::report::Findings;
use crate::report::Property;

/// A call that has neither started nor ended; `deadline` in microseconds.
struct WaitingCall<'a> {
    record: &'a Record,
    deadline: u64,
}

/// Checks the property.
pub fn check(history: &History) -> Findings {
    let mut findings = Findings::new(Property::Waiting);
    let slack = history.bounds.slack_us;
    let killed = index::killed(history);
    let mut open = IndexMap::<&str, WaitingCall<'_>>::new();
    let mut paused = IndexMap::<&str, u64>::new();
    for (record, event) in history.events() {
        match event {
            Event::Call { request, deadline_us, .. } => {
                let deadline = record.at.saturating_add(*deadline_us).saturating_add(slack);
                open.insert(request, WaitingCall { record, deadline });
            }
            Event::CallStarted { request }
            | Event::Answer { request, .. }
            | Event::Refusal { request, .. } => {
                if let Some(call) = open.swap_remove(request.as_str()) {
                    let late = record.at.saturating_sub(call.deadline);
                    findings.verify(late == 0, &[call.record, record], || {
                        format!("{request} was served or rejected {late} us too late")
                    });
                }
            }
            Event::CallerGone { request } => {
                open.swap_remove(request.as_str());
            }
            Event::ProcessPaused { target } => {
                paused.insert(target, record.at);
            }
            Event::ProcessResumed { target } => {
                let since = paused.swap_remove(target.as_str()).unwrap_or(record.at);
                let calls = open.values_mut().filter(|call| call.record.process == *target);
                calls.for_each(|call| call.deadline += record.at - since);
            }
            _ => {}
        }
    }
    for (request, call) in open {
        let process = call.record.process.as_str();
        if killed.contains(process) || paused.contains_key(process) {
            continue;
        }
        findings.verify(history.end() <= call.deadline, &[call.record], || {
            format!("{request} was neither served nor rejected")
        });
    }
    findings
}
