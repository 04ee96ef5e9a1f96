//! Checks that a leaving upstream receives no new work after a few seconds.

use indexmap::IndexMap;

use crate::event::Event;
use crate::event::Record;
use crate::history::History;
use crate::report::Findings;
use crate::report::Property;

/// Checks the property.
pub fn check(history: &History) -> Findings {
    let mut findings = Findings::new(Property::Leaving);
    let mut leaving = IndexMap::<&str, &Record>::new();
    for (record, event) in history.events() {
        let upstream = match event {
            Event::UpstreamLeaving { upstream } => {
                leaving.entry(upstream).or_insert(record);
                continue;
            }
            Event::UpstreamJoined { upstream } => {
                leaving.swap_remove(upstream.as_str());
                continue;
            }
            Event::UpstreamSend { upstream, .. } => upstream,
            Event::OrderSent { upstream, op, .. } if op == "load" || op == "load_adapter" => {
                upstream
            }
            _ => continue,
        };
        let Some(notice) = leaving.get(upstream.as_str()) else {
            continue;
        };
        let since = record.at - notice.at;
        findings.verify(since <= history.bounds.departure_us, &[notice, record], || {
            format!("{upstream} received new work {since} us after it was listed as leaving")
        });
    }
    findings
}
