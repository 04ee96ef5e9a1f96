//! Memory is never overcommitted.
//!
//! The bytes decided for an upstream never exceed its memory, and no upstream has to refuse an
//! order for want of memory.

use indexmap::IndexMap;

use crate::event::Event;
use crate::history::History;
use crate::report::Findings;
use crate::report::Property;

/// Memory of one upstream.
#[derive(Default)]
struct Account<'a> {
    memory: Option<u64>,
    replicas: IndexMap<&'a str, u64>,
}

impl Account<'_> {
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
    let mut accounts = IndexMap::<&str, Account<'_>>::new();
    for (record, event) in history.events() {
        match event {
            Event::UpstreamMemory { upstream, bytes } => {
                accounts.entry(upstream).or_default().memory = Some(*bytes);
            }
            Event::ReplicaDecided { model, upstream, bytes, .. } => {
                let account = accounts.entry(upstream).or_default();
                account.replicas.insert(model, *bytes);
                findings.fact(account.fits(), &[record], || {
                    let (used, memory) = (account.used(), account.memory.unwrap_or_default());
                    format!("{used} bytes are decided for {upstream}, which has {memory}")
                });
            }
            Event::IntentsRead { upstream, replicas } => {
                let account = accounts.entry(upstream).or_default();
                account.replicas = replicas.iter().map(|r| (r.model.as_str(), r.bytes)).collect();
                findings.fact(account.fits(), &[record], || {
                    format!("{} bytes are kept decided for {upstream}", account.used())
                });
            }
            Event::ReplicaReleased { model, upstream } => {
                accounts.entry(upstream).or_default().replicas.swap_remove(model.as_str());
            }
            Event::UpstreamOvercommit { upstream } => findings.fact(false, &[record], || {
                format!("{upstream} had to refuse an order for want of memory")
            }),
            _ => {}
        }
    }
    findings
}
