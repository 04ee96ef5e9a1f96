//! Checks that no upstream's memory is overcommitted.
//!
//! The replicas decided for an upstream never exceed its memory, and no upstream rejects an order
//! for lack of memory.

use indexmap::IndexMap;

use crate::event::Event;
use crate::history::History;
use crate::report::Findings;
use crate::report::Property;

/// Memory size of one upstream and the replicas decided for it, in bytes.
#[derive(Default)]
struct MemoryUse<'a> {
    memory: Option<u64>,
    replicas: IndexMap<&'a str, u64>,
}

impl MemoryUse<'_> {
    fn used(&self) -> u64 {
        self.replicas.values().sum()
    }

    fn fits(&self) -> bool {
        self.memory.is_none_or(|memory| self.used() <= memory)
    }
}

/// Checks the property.
pub fn check(history: &History) -> Findings {
    let mut findings = Findings::new(Property::Memory);
    let mut upstreams = IndexMap::<&str, MemoryUse<'_>>::new();
    for (record, event) in history.events() {
        match event {
            Event::UpstreamMemory { upstream, bytes } => {
                upstreams.entry(upstream).or_default().memory = Some(*bytes);
            }
            Event::ReplicaDecided { model, upstream, bytes, .. } => {
                let usage = upstreams.entry(upstream).or_default();
                usage.replicas.insert(model, *bytes);
                findings.verify(usage.fits(), &[record], || {
                    let (used, memory) = (usage.used(), usage.memory.unwrap_or_default());
                    format!("{used} bytes are decided for {upstream}, which has {memory}")
                });
            }
            Event::IntentsRead { upstream, replicas } => {
                let usage = upstreams.entry(upstream).or_default();
                usage.replicas = replicas.iter().map(|r| (r.model.as_str(), r.bytes)).collect();
                findings.verify(usage.fits(), &[record], || {
                    format!(
                        "{} bytes of replicas read for {upstream} exceed its memory",
                        usage.used()
                    )
                });
            }
            Event::ReplicaReleased { model, upstream } => {
                upstreams.entry(upstream).or_default().replicas.swap_remove(model.as_str());
            }
            Event::UpstreamOvercommit { upstream } => findings.verify(false, &[record], || {
                format!("{upstream} rejected an order for lack of memory")
            }),
            _ => {}
        }
    }
    findings
}
