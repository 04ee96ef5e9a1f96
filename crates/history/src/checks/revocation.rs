//! Checks that a revoked key is rejected within seconds.
//!
//! After the bound no call with the key is admitted or sent to an upstream, and no response to such
//! a call completes, since open streams must be closed as well.

use indexmap::IndexMap;

use super::index::Calls;
use crate::event::Event;
use crate::event::Record;
use crate::history::History;
use crate::report::Findings;
use crate::report::Property;

/// Checks the property.
pub fn check(history: &History) -> Findings {
    let mut findings = Findings::new(Property::Revocation);
    let calls = Calls::new(history);
    let mut revoked = IndexMap::<&str, &Record>::new();
    for (record, event) in history.events() {
        let request = match event {
            Event::KeyRevoked { key } => {
                revoked.entry(key).or_insert(record);
                continue;
            }
            Event::KeyIssued { key, .. } => {
                revoked.swap_remove(key.as_str());
                continue;
            }
            Event::Admission { request, .. } => request,
            Event::UpstreamSend { request, .. } => request,
            Event::Answer { request, whole: true } => request,
            _ => continue,
        };
        let Some(call) = calls.get(request) else {
            continue;
        };
        let Some(revocation) = call.key.and_then(|key| revoked.get(key)) else {
            continue;
        };
        let since = record.at - revocation.at;
        findings.verify(since <= history.bounds.revocation_us, &[revocation, record], || {
            format!("{request} still works {since} us after its key was revoked")
        });
    }
    findings
}
