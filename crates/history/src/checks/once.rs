//! An order or reservation that may not be repeated runs at most once.

use indexmap::IndexMap;

use crate::event::Event;
use crate::event::Record;
use crate::history::History;
use crate::report::Findings;
use crate::report::Property;

/// Checks the property.
pub fn check(history: &History) -> Findings {
    let mut findings = Findings::new(Property::Once);
    let mut first = IndexMap::<&str, &Record>::new();
    for (record, event) in history.events() {
        let Event::ServiceRun { service, key } = event else {
            continue;
        };
        // Two services may not both run it either, so the key alone counts.
        match first.get(key.as_str()) {
            Some(earlier) => findings.fact(false, &[earlier, record], || {
                format!("{key} ran more than once, at last on {service}")
            }),
            None => {
                first.insert(key, record);
                findings.facts += 1;
            }
        }
    }
    findings
}
