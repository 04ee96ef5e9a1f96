//! No more replicas are loaded than were decided.
//!
//! A load is ordered, and a replica held, only while a decision for that model and upstream is in
//! force; a decision is released only once the replica is gone.

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::event::Event;
use crate::event::Record;
use crate::history::History;
use crate::report::Findings;
use crate::report::Property;

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
                let holder = loaded.get(&key);
                findings.fact(holder.is_none(), &[record], || {
                    format!("the decision for {model} on {upstream} ended while it is loaded")
                });
            }
            Event::OrderSent { op, model, upstream, .. } if op == "load" => {
                let known = decided.contains(&(model.as_str(), upstream.as_str()));
                findings.fact(known, &[record], || {
                    format!("{model} is ordered on {upstream} without a decision")
                });
            }
            Event::ReplicaLoaded { model, upstream } => {
                let key = (model.as_str(), upstream.as_str());
                loaded.insert(key, record);
                findings.fact(decided.contains(&key), &[record], || {
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
