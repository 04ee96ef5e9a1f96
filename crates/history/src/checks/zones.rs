//! Checks that a drained availability zone receives no new work after a few seconds.
//!
//! New work is a call sent to an upstream, a load order, or a router listed to a caller.

use indexmap::IndexMap;

use crate::event::Event;
use crate::event::Record;
use crate::history::History;
use crate::report::Findings;
use crate::report::Property;

/// Checks the property.
pub fn check(history: &History) -> Findings {
    let mut findings = Findings::new(Property::Zones);
    let mut drained = IndexMap::<&str, &Record>::new();
    for (record, event) in history.events() {
        let zones = match event {
            Event::ZoneDrained { zone } => {
                drained.entry(zone).or_insert(record);
                continue;
            }
            Event::ZoneRestored { zone } => {
                drained.swap_remove(zone.as_str());
                continue;
            }
            Event::UpstreamSend { zone, .. } => std::slice::from_ref(zone),
            Event::OrderSent { zone, op, .. } if op == "load" || op == "load_adapter" => {
                std::slice::from_ref(zone)
            }
            Event::Entry { zones } => zones.as_slice(),
            _ => continue,
        };
        for zone in zones {
            let Some(drain) = drained.get(zone.as_str()) else {
                continue;
            };
            let since = record.at - drain.at;
            findings.verify(since <= history.bounds.departure_us, &[drain, record], || {
                format!("{zone} received new work {since} us after it was drained")
            });
        }
    }
    findings
}
