//! Checks that a request rejected as "not run" didn't run.
//!
//! No upstream's ledger may show an attempt of the request, and the router must know of each
//! attempt that it didn't run.

use indexmap::IndexMap;

use crate::event::CallOutcome;
use crate::event::Event;
use crate::event::Record;
use crate::history::History;
use crate::report::Findings;
use crate::report::Property;

/// Records of one attempt.
struct Attempt<'a> {
    sent: &'a Record,
    finished: Option<CallOutcome>,
    ran: Option<&'a Record>,
}

/// Checks the property.
pub fn check(history: &History) -> Findings {
    let mut findings = Findings::new(Property::Refusals);
    let mut attempts = IndexMap::<&str, Attempt<'_>>::new();
    let mut requests = IndexMap::<&str, Vec<&str>>::new();
    let mut rejected = Vec::new();
    for (record, event) in history.events() {
        match event {
            Event::UpstreamSend { request, attempt, .. } => {
                requests.entry(request).or_default().push(attempt);
                attempts.insert(attempt, Attempt { sent: record, finished: None, ran: None });
            }
            Event::UpstreamFinish { attempt, outcome, .. } => {
                if let Some(entry) = attempts.get_mut(attempt.as_str()) {
                    entry.finished = Some(*outcome);
                }
            }
            Event::UpstreamRan { attempt, .. } => {
                if let Some(entry) = attempts.get_mut(attempt.as_str()) {
                    entry.ran = Some(record);
                }
            }
            Event::Refusal { request, outcome: CallOutcome::NotRun, .. } => {
                rejected.push((request.as_str(), record));
            }
            _ => {}
        }
    }
    for (request, rejection) in rejected {
        let sent = requests.get(request).map_or(&[][..], Vec::as_slice);
        findings.facts += 1;
        for attempt in sent.iter().filter_map(|attempt| attempts.get(attempt)) {
            if let Some(ran) = attempt.ran {
                findings.verify(false, &[rejection, ran], || {
                    format!("{request} was rejected as not run, but it ran")
                });
            }
            let known_not_run = attempt.finished == Some(CallOutcome::NotRun);
            findings.verify(known_not_run, &[attempt.sent, rejection], || {
                format!("{request} was rejected as not run, but may have run")
            });
        }
    }
    findings
}
