//! A waiting request is served or refused in time, never dropped.
//!
//! Every call starts or is refused by its deadline, unless its caller or its process is gone before.
//! A pause of the process defers the deadline by its length.

use indexmap::IndexMap;

use super::index;
use crate::event::Event;
use crate::event::Record;
use crate::history::History;
use crate::report::Findings;
use crate::report::Property;

/// A call that neither started nor ended yet.
struct Open<'a> {
    record: &'a Record,
    deadline: u64,
}

/// Checks the property.
pub fn check(history: &History) -> Findings {
    let mut findings = Findings::new(Property::Waiting);
    let slack = history.bounds.slack_us;
    let killed = index::killed(history);
    let mut open = IndexMap::<&str, Open<'_>>::new();
    let mut paused = IndexMap::<&str, u64>::new();
    for (record, event) in history.events() {
        match event {
            Event::Call { request, deadline_us, .. } => {
                let deadline = record.at.saturating_add(*deadline_us).saturating_add(slack);
                open.insert(request, Open { record, deadline });
            }
            Event::CallStarted { request }
            | Event::Answer { request, .. }
            | Event::Refusal { request, .. } => {
                if let Some(call) = open.swap_remove(request.as_str()) {
                    let late = record.at.saturating_sub(call.deadline);
                    findings.fact(late == 0, &[call.record, record], || {
                        format!("{request} was served or refused {late} us too late")
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
        findings.fact(history.end() <= call.deadline, &[call.record], || {
            format!("{request} was neither served nor refused")
        });
    }
    findings
}
