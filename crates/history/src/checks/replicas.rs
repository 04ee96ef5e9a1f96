//! Checks that only replicas with a decision are loaded.
//!
//! A load is ordered and a replica is held only while a decision for that model and upstream
//! exists. A decision is released only after the replica is unloaded.

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::event::Event;
use crate::event::Record;
use crate::history::History;
use crate::report::Findings;
use crate::report::Property;

/// Model and upstream.
type Key<'a> = (&'a str, &'a str);

/// Checks the property.
pub fn check(history: &History) -> Findings {
    let mut findings = Findings::new(Property::Replicas);
    let mut decided = IndexSet::<Key<'_>>::new();
    let mut loaded = IndexMap::<Key<'_>, &Record>::new();
    for (record, event) in history.events() {
        match event {
            Event::ReplicaDecided { model, upstream, .. } => {
                decided.insert((model, upstream));
            }
            Event::IntentsRead { upstream, replicas } => {
                decided.retain(|(_, other)| other != upstream);
                decided.extend(replicas.iter().map(|r| (r.model.as_str(), upstream.as_str())));
            }
            Event::ReplicaReleased { model, upstream } => {
                let key = (model.as_str(), upstream.as_str());
                decided.swap_remove(&key);
                let loaded_record = loaded.get(&key);
                findings.verify(loaded_record.is_none(), &[record], || {
                    format!(
                        "the decision for {model} on {upstream} was released while it is loaded"
                    )
                });
            }
            Event::OrderSent { op, model, upstream, .. } if op == "load" => {
                let known = decided.contains(&(model.as_str(), upstream.as_str()));
                findings.verify(known, &[record], || {
                    format!("{model} is ordered on {upstream} without a decision")
                });
            }
            Event::ReplicaLoaded { model, upstream } => {
                let key = (model.as_str(), upstream.as_str());
                loaded.insert(key, record);
                findings.verify(decided.contains(&key), &[record], || {
                    format!("{model} is loaded on {upstream} without a decision")
                });
            }
            Event::ReplicaUnloaded { model, upstream } => {
                loaded.swap_remove(&(model.as_str(), upstream.as_str()));
            }
            _ => {}
        }
    }
    findings
}
