//! Checks that a request runs only for the team that owns its key, except on open routes.

use indexmap::IndexMap;

use super::index::Calls;
use crate::event::Event;
use crate::history::History;
use crate::report::Findings;
use crate::report::Property;

/// Checks the property.
pub fn check(history: &History) -> Findings {
    let mut findings = Findings::new(Property::Identity);
    let calls = Calls::new(history);
    let mut teams = IndexMap::<&str, &str>::new();
    for (_, event) in history.events() {
        if let Event::KeyIssued { key, team } = event {
            teams.insert(key, team);
        }
    }
    for (record, event) in history.events() {
        let (request, team) = match event {
            Event::UpstreamSend { request, team, .. } => (request, team),
            Event::Admission { request, team, .. } => (request, team),
            _ => continue,
        };
        let Some(call) = calls.get(request) else {
            findings.verify(false, &[record], || format!("{request} runs without a recorded call"));
            continue;
        };
        let owner = call.key.and_then(|key| teams.get(key).copied());
        let allowed = call.open || owner == Some(team.as_str());
        findings.verify(allowed, &[call.record, record], || {
            let owner = owner.unwrap_or("no team");
            format!("{request} runs for {team}, but its key belongs to {owner}")
        });
    }
    findings
}
