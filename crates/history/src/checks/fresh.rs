//! A fresh upstream gets no more than it bears.
//!
//! While an upstream is fresh, no call is sent to it that makes more run there at once than it
//! bears. One that turned cold without warning has to be found out within a bound.

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::event::Event;
use crate::event::Record;
use crate::history::History;
use crate::report::Findings;
use crate::report::Property;

/// When an upstream is fresh, and what it bears then.
struct Span<'a> {
    from: u64,
    to: u64,
    bears: usize,
    source: &'a Record,
}

/// Checks the property.
pub fn check(history: &History) -> Findings {
    let mut findings = Findings::new(Property::Fresh);
    let mut spans = IndexMap::<&str, Span<'_>>::new();
    // Attempts that run, by upstream, as the process and id.
    let mut running = IndexMap::<&str, IndexSet<(&str, &str)>>::new();
    for (record, event) in history.events() {
        match event {
            Event::UpstreamFresh { upstream, bears, span_us, announced } => {
                let grace = if *announced { 0 } else { history.bounds.cold_us };
                let (from, to) = (record.at + grace, record.at + span_us);
                spans.insert(upstream, Span { from, to, bears: *bears as usize, source: record });
            }
            Event::UpstreamSend { attempt, upstream, .. } => {
                let attempts = running.entry(upstream).or_default();
                attempts.insert((&record.process, attempt));
                let span = spans.get(upstream.as_str());
                let Some(span) = span.filter(|s| (s.from..s.to).contains(&record.at)) else {
                    continue;
                };
                let count = attempts.len();
                findings.fact(count <= span.bears, &[span.source, record], || {
                    format!("{upstream} runs {count} calls and bears {}", span.bears)
                });
            }
            Event::UpstreamFinish { attempt, upstream, .. } => {
                let attempts = running.entry(upstream).or_default();
                attempts.swap_remove(&(record.process.as_str(), attempt.as_str()));
            }
            Event::ProcessKilled { target } => {
                for attempts in running.values_mut() {
                    attempts.retain(|(process, _)| process != target);
                }
            }
            Event::UpstreamCollapsed { upstream } => {
                findings.fact(false, &[record], || format!("{upstream} died of its load"));
            }
            _ => {}
        }
    }
    findings
}
