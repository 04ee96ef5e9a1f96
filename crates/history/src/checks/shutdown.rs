//! Checks that a graceful shutdown interrupts no request.
//!
//! Every call accepted before or during a shutdown ends before the shutdown does: with a complete
//! response, a rejection before the response starts, or a caller that disconnected. Calls whose key
//! was revoked are exempt, since they are interrupted in any case.

use indexmap::IndexMap;
use indexmap::IndexSet;

use super::index::Calls;
use crate::event::Event;
use crate::event::Record;
use crate::history::History;
use crate::report::Findings;
use crate::report::Property;

/// Checks the property.
pub fn check(history: &History) -> Findings {
    let mut findings = Findings::new(Property::Shutdown);
    let mut open = IndexMap::<&str, &Record>::new();
    let mut started = IndexSet::<&str>::new();
    let mut shutdowns = IndexMap::<&str, &Record>::new();
    let calls = Calls::new(history);
    let revoked = revocation_times(history);
    for (record, event) in history.events() {
        match event {
            Event::ShutdownBegin => {
                shutdowns.insert(&record.process, record);
            }
            Event::ShutdownEnd => {
                let unfinished = open.iter().filter(|(_, call)| call.process == record.process);
                for (request, call) in unfinished {
                    findings.verify(false, &[call, record], || {
                        format!("the shutdown ended while {request} was open")
                    });
                }
                findings.facts += 1;
                open.retain(|_, call| call.process != record.process);
                shutdowns.swap_remove(record.process.as_str());
            }
            Event::Call { request, .. } => {
                open.insert(request, record);
            }
            Event::CallStarted { request } => {
                started.insert(request);
            }
            Event::CallerGone { request } => {
                open.swap_remove(request.as_str());
            }
            Event::Answer { request, .. } | Event::Refusal { request, .. } => {
                let call = open.swap_remove(request.as_str());
                let (Some(call), Some(begin)) = (call, shutdowns.get(record.process.as_str()))
                else {
                    continue;
                };
                let complete = match event {
                    Event::Answer { whole, .. } => *whole,
                    _ => !started.contains(request.as_str()),
                };
                let key = calls.get(request).and_then(|call| call.key);
                // The process may learn of the revocation before the operator records it.
                let latest = record.at + history.bounds.revocation_us;
                let revocation = key.and_then(|key| revoked.get(key));
                let key_revoked = revocation.is_some_and(|at| *at <= latest);
                findings.verify(complete || key_revoked, &[call, begin, record], || {
                    format!("the shutdown interrupted {request}")
                });
            }
            _ => {}
        }
    }
    findings
}

/// Returns the revocation time of each revoked key in microseconds.
fn revocation_times(history: &History) -> IndexMap<&str, u64> {
    let revocations = history.events().filter_map(|(record, event)| match event {
        Event::KeyRevoked { key } => Some((key.as_str(), record.at)),
        _ => None,
    });
    revocations.collect()
}
