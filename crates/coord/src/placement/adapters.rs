//! Permits for adapter loads, fleet-wide.
//!
//! Adapters live in the bytes set aside beside their model's replica, so they need no intent of
//! their own. Only the number of loads at once is bounded. A new home waits until its predecessor's
//! loads have ended before it gives the first permit.

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::keys::AdapterKey;
use crate::keys::UpstreamKey;
use crate::time::Tick;

/// An adapter on an upstream.
pub type AdapterReplica = (AdapterKey, UpstreamKey);

/// Waiting and running adapter loads.
#[derive(Clone, Debug, Default)]
pub struct AdapterLoads {
    limit: usize,
    opens: Tick,
    waiting: IndexSet<AdapterReplica>,
    running: IndexMap<AdapterReplica, Tick>,
}

impl AdapterLoads {
    /// Permits for `limit` loads at once, the first at `opens`.
    pub fn new(limit: usize, opens: Tick) -> Self {
        AdapterLoads { limit, opens, ..AdapterLoads::default() }
    }

    /// Asks for an adapter; a second question for the same one changes nothing.
    pub fn want(&mut self, spot: AdapterReplica) {
        if !self.running.contains_key(&spot) {
            self.waiting.insert(spot);
        }
    }

    /// Takes the next load that has a permit.
    pub fn start(&mut self, now: Tick) -> Option<AdapterReplica> {
        if now < self.opens || self.running.len() >= self.limit {
            return None;
        }
        let spot = self.waiting.shift_remove_index(0)?;
        self.running.insert(spot, now);
        Some(spot)
    }

    /// Gives a permit back.
    pub fn finish(&mut self, spot: AdapterReplica) {
        self.running.shift_remove(&spot);
    }

    /// Loads at once now.
    pub fn inflight(&self) -> usize {
        self.running.len()
    }
}
