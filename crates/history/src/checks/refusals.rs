//! A refusal saying "not run" is true.
//!
//! No attempt of a request that was refused so ran by the ledger of its upstream, and none is left
//! of which its router doesn't know that it didn't run.

use indexmap::IndexMap;

use crate::event::CallOutcome;
use crate::event::Event;
use crate::event::Record;
use crate::history::History;
use crate::report::Findings;
use crate::report::Property;

/// What is known of one attempt.
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
    let mut refused = Vec::new();
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
                refused.push((request.as_str(), record));
            }
            _ => {}
        }
    }
    for (request, refusal) in refused {
        let sent = requests.get(request).map_or(&[][..], Vec::as_slice);
        findings.facts += 1;
        for attempt in sent.iter().filter_map(|attempt| attempts.get(attempt)) {
            if let Some(ran) = attempt.ran {
                findings.fact(false, &[refusal, ran], || {
                    format!("{request} was refused as not run, but it ran")
                });
            }
            let sure = attempt.finished == Some(CallOutcome::NotRun);
            findings.fact(sure, &[attempt.sent, refusal], || {
                format!("{request} was refused as not run, but may have run")
            });
        }
    }
    findings
}
