//! Checks that a non-idempotent call runs at most once.

use indexmap::IndexMap;

use crate::event::Event;
use crate::event::Record;
use crate::history::History;
use crate::report::Findings;
use crate::report::Property;

/// Checks the property.
pub fn check(history: &History) -> Findings {
    let mut findings = Findings::new(Property::Once);
    let mut first_runs = IndexMap::<&str, &Record>::new();
    for (record, event) in history.events() {
        let Event::ServiceRun { service, key } = event else {
            continue;
        };
        // The key alone identifies a call, since two services must not both run it.
        match first_runs.get(key.as_str()) {
            Some(earlier) => findings.verify(false, &[earlier, record], || {
                format!("{key} ran more than once, last on {service}")
            }),
            None => {
                first_runs.insert(key, record);
                findings.facts += 1;
            }
        }
    }
    findings
}
