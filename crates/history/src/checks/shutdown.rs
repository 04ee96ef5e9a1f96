//! A graceful shutdown cuts no request.
//!
//! Every call that a process took before or during its shutdown ends before the shutdown does:
//! with a whole answer, a refusal before its start, or its caller gone. A call whose key was
//! withdrawn is cut for that, whether its process shuts down or not.

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
    let mut ending = IndexMap::<&str, &Record>::new();
    let calls = Calls::new(history);
    let revoked = revoked(history);
    for (record, event) in history.events() {
        match event {
            Event::ShutdownBegin => {
                ending.insert(&record.process, record);
            }
            Event::ShutdownEnd => {
                let left = open.iter().filter(|(_, call)| call.process == record.process);
                for (request, call) in left {
                    findings.fact(false, &[call, record], || {
                        format!("the shutdown ended while {request} was open")
                    });
                }
                findings.facts += 1;
                open.retain(|_, call| call.process != record.process);
                ending.swap_remove(record.process.as_str());
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
                let (Some(call), Some(begin)) = (call, ending.get(record.process.as_str())) else {
                    continue;
                };
                let whole = match event {
                    Event::Answer { whole, .. } => *whole,
                    _ => !started.contains(request.as_str()),
                };
                let key = calls.get(request).and_then(|call| call.key);
                // The withdrawal may reach the process before its operator hears of it.
                let heard = record.at + history.bounds.revocation_us;
                let revocation = key.and_then(|key| revoked.get(key));
                let withdrawn = revocation.is_some_and(|at| *at <= heard);
                findings.fact(whole || withdrawn, &[call, begin, record], || {
                    format!("the shutdown cut {request} after its start")
                });
            }
            _ => {}
        }
    }
    findings
}

/// When each withdrawn key was withdrawn.
fn revoked(history: &History) -> IndexMap<&str, u64> {
    let withdrawals = history.events().filter_map(|(record, event)| match event {
        Event::KeyRevoked { key } => Some((key.as_str(), record.at)),
        _ => None,
    });
    withdrawals.collect()
}
