//! Checks that a fresh upstream never runs more concurrent calls than its reduced capacity.
//!
//! If an upstream turned cold without warning, the check starts after a bound for its detection.

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::event::Event;
use crate::event::Record;
use crate::history::History;
use crate::report::Findings;
use crate::report::Property;

/// Period in which an upstream is fresh, in microseconds, and its capacity in that time.
struct FreshPeriod<'a> {
    from: u64,
    to: u64,
    capacity: usize,
    source: &'a Record,
}

/// Checks the property.
pub fn check(history: &History) -> Findings {
    let mut findings = Findings::new(Property::Fresh);
    let mut periods = IndexMap::<&str, FreshPeriod<'_>>::new();
    // Running attempts by upstream, as process and attempt id.
    let mut running = IndexMap::<&str, IndexSet<(&str, &str)>>::new();
    for (record, event) in history.events() {
        match event {
            Event::UpstreamFresh { upstream, bears, span_us, announced } => {
                let detection = if *announced { 0 } else { history.bounds.cold_us };
                let (from, to) = (record.at + detection, record.at + span_us);
                periods.insert(
                    upstream,
                    FreshPeriod { from, to, capacity: *bears as usize, source: record },
                );
            }
            Event::UpstreamSend { attempt, upstream, .. } => {
                let attempts = running.entry(upstream).or_default();
                attempts.insert((&record.process, attempt));
                let period = periods.get(upstream.as_str());
                let Some(period) = period.filter(|s| (s.from..s.to).contains(&record.at)) else {
                    continue;
                };
                let count = attempts.len();
                findings.verify(count <= period.capacity, &[period.source, record], || {
                    format!(
                        "{upstream} runs {count} calls, but its fresh capacity is {}",
                        period.capacity
                    )
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
                findings.verify(false, &[record], || format!("{upstream} crashed from overload"));
            }
            _ => {}
        }
    }
    findings
}
