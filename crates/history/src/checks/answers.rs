//! Checks that a caller receives the complete response to its own request.
//!
//! A response that appears complete has the expected digest, every response ends once, and a
//! connection closes without an end marker or error only if its router was killed.

use indexmap::IndexMap;

use super::index;
use super::index::Calls;
use crate::event::Ending;
use crate::event::Event;
use crate::event::Record;
use crate::history::History;
use crate::report::Findings;
use crate::report::Property;

/// Checks the property.
pub fn check(history: &History) -> Findings {
    let mut findings = Findings::new(Property::Answers);
    let calls = Calls::new(history);
    let killed = index::killed(history);
    let mut ended = IndexMap::<&str, &Record>::new();
    for (record, event) in history.events() {
        let Event::Received { request, ending, digest, expected } = event else {
            continue;
        };
        let earlier = ended.insert(request, record);
        findings
            .verify(earlier.is_none(), &[record], || format!("{request} received two responses"));
        match ending {
            Ending::Whole => {
                let matches = expected.as_ref().is_none_or(|expected| expected == digest);
                findings.verify(matches, &[record], || {
                    format!("{request} received a wrong or incomplete response")
                });
            }
            Ending::Cut => {
                let router = calls.get(request).map(|call| call.record.process.as_str());
                let excused = router.is_none_or(|router| killed.contains(router));
                findings.verify(excused, &[record], || {
                    format!("{request} ended without an end marker or error")
                });
            }
            Ending::Error => findings.facts += 1,
        }
    }
    findings
}
