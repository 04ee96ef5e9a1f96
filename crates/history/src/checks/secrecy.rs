//! Checks that no upstream receives a caller's key.

use crate::event::Event;
use crate::history::History;
use crate::report::Findings;
use crate::report::Property;

/// Request headers that can carry a caller's key.
const KEY_HEADERS: [&str; 5] =
    ["api-key", "authorization", "cookie", "proxy-authorization", "x-api-key"];

/// Checks the property.
pub fn check(history: &History) -> Findings {
    let mut findings = Findings::new(Property::Secrecy);
    for (record, event) in history.events() {
        let Event::UpstreamSaw { upstream, headers, leaks } = event else {
            continue;
        };
        findings.verify(*leaks == 0, &[record], || {
            format!("{upstream} received {leaks} requests with a key")
        });
        let found = headers.iter().find(|name| KEY_HEADERS.contains(&name.as_str()));
        findings.verify(found.is_none(), &[record], || {
            format!("{upstream} received the header {}", found.map_or("", String::as_str))
        });
    }
    findings
}
