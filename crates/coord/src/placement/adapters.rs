//! Limits how many adapters load at the same time over the whole fleet.
//!
//! Adapters use the memory reserved beside their model's replica, so they need no intents of their
//! own. A new home waits until its predecessor's loads have ended before it grants the first
//! permit.

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::keys::AdapterKey;
use crate::keys::UpstreamKey;
use crate::time::Tick;

/// Key of an adapter on an upstream.
pub type AdapterReplica = (AdapterKey, UpstreamKey);

/// Queued and running adapter loads.
#[derive(Clone, Debug, Default)]
pub struct AdapterLoads {
    limit: usize,
    starts_at: Tick,
    waiting: IndexSet<AdapterReplica>,
    running: IndexMap<AdapterReplica, Tick>,
}

impl AdapterLoads {
    /// Creates a queue that runs `limit` loads at once and starts the first no earlier than
    /// `starts_at`.
    pub fn new(limit: usize, starts_at: Tick) -> Self {
        AdapterLoads { limit, starts_at, ..AdapterLoads::default() }
    }

    /// Queues an adapter load. A repeated request has no effect.
    pub fn request(&mut self, adapter: AdapterReplica) {
        if !self.running.contains_key(&adapter) {
            self.waiting.insert(adapter);
        }
    }

    /// Starts the next queued load, if a permit is free.
    pub fn start_next(&mut self, now: Tick) -> Option<AdapterReplica> {
        if now < self.starts_at || self.running.len() >= self.limit {
            return None;
        }
        let adapter = self.waiting.shift_remove_index(0)?;
        self.running.insert(adapter, now);
        Some(adapter)
    }

    /// Releases the permit of a load.
    pub fn finish(&mut self, adapter: AdapterReplica) {
        self.running.shift_remove(&adapter);
    }

    /// Number of running loads.
    pub fn inflight(&self) -> usize {
        self.running.len()
    }
}
