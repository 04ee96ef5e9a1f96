//! No upstream sees a caller's key.

use crate::event::Event;
use crate::history::History;
use crate::report::Findings;
use crate::report::Property;

/// Headers in which callers bring keys.
const KEY_HEADERS: [&str; 5] =
    ["api-key", "authorization", "cookie", "proxy-authorization", "x-api-key"];

/// Checks the property.
pub fn check(history: &History) -> Findings {
    let mut findings = Findings::new(Property::Secrecy);
    for (record, event) in history.events() {
        let Event::UpstreamSaw { upstream, headers, leaks } = event else {
            continue;
        };
        findings.fact(*leaks == 0, &[record], || format!("{upstream} saw {leaks} keys"));
        let found = headers.iter().find(|name| KEY_HEADERS.contains(&name.as_str()));
        findings.fact(found.is_none(), &[record], || {
            format!("{upstream} saw the header {}", found.map_or("", String::as_str))
        });
    }
    findings
}
