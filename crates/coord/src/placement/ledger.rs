//! In-memory copy of table `intents`, with the memory account of each upstream.

use std::collections::BTreeSet;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::keys::ModelKey;
use crate::keys::UpstreamKey;
use crate::time::Tick;

use super::effects::ReplicaKey;
use super::probe::ObservedState;
use super::row::Phase;

/// One intent.
#[derive(Clone, Debug, PartialEq)]
pub struct Intent {
    /// Memory reserved for the replica, in bytes.
    pub bytes: u64,
    /// Fencing token of the commit that last wrote the row.
    pub fence: u64,
    /// Phase according to the table.
    pub phase: Phase,
    /// Controllers whose load orders may still take effect.
    pub senders: IndexSet<String>,
    /// Whether it holds a weight store permit.
    pub permit: bool,
    /// State of the replica according to the last probe.
    pub state: ObservedState,
    /// When the probe behind `state` was sent.
    pub probed_at: Tick,
    /// When the row was last read or committed, an order for it completed, or one of its senders
    /// ended. Older probes prove nothing about `state`.
    pub last_change: Tick,
    /// When the last order was sent in the current phase.
    pub ordered_at: Option<Tick>,
    /// Orders sent since the phase began or the replica was last seen loaded.
    pub attempts: u32,
    /// Whether the upstream rejected the load for lack of memory.
    pub overcommitted: bool,
}

/// All intents, indexed by model and upstream, with the memory accounts of the upstreams.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    intents: IndexMap<ReplicaKey, Intent>,
    by_model: IndexMap<ModelKey, IndexSet<UpstreamKey>>,
    by_upstream: IndexMap<UpstreamKey, IndexSet<ModelKey>>,
    memory: IndexMap<UpstreamKey, u64>,
    /// Bytes in use by models without an intent.
    untracked: IndexMap<UpstreamKey, u64>,
    /// Bytes reserved by intents.
    reserved: IndexMap<UpstreamKey, u128>,
    /// Registered upstreams by free bytes.
    free: BTreeSet<(u64, UpstreamKey)>,
    permits: usize,
}

impl Ledger {
    /// Sets an upstream's memory, in bytes.
    pub fn set_memory(&mut self, upstream: UpstreamKey, bytes: u64) {
        self.free.remove(&(self.free(upstream), upstream));
        self.memory.insert(upstream, bytes);
        self.free.insert((self.free(upstream), upstream));
    }

    /// Removes the memory of an upstream that left the register.
    pub fn remove_upstream(&mut self, upstream: UpstreamKey) {
        self.free.remove(&(self.free(upstream), upstream));
        self.memory.swap_remove(&upstream);
    }

    /// Sets the bytes in use on an upstream by models without an intent.
    pub fn set_untracked(&mut self, upstream: UpstreamKey, bytes: u64) {
        if self.untracked.get(&upstream).copied().unwrap_or(0) == bytes {
            return;
        }
        let registered = self.free.remove(&(self.free(upstream), upstream));
        self.untracked.insert(upstream, bytes);
        if registered {
            self.free.insert((self.free(upstream), upstream));
        }
    }

    /// Adds or replaces an intent.
    pub fn put(&mut self, replica: ReplicaKey, intent: Intent) {
        let registered = self.free.remove(&(self.free(replica.1), replica.1));
        self.permits += usize::from(intent.permit);
        *self.reserved.entry(replica.1).or_default() += u128::from(intent.bytes);
        if let Some(old) = self.intents.insert(replica, intent) {
            self.subtract(replica.1, &old);
        }
        self.by_model.entry(replica.0).or_default().insert(replica.1);
        self.by_upstream.entry(replica.1).or_default().insert(replica.0);
        if registered {
            self.free.insert((self.free(replica.1), replica.1));
        }
    }

    /// Removes an intent.
    pub fn remove(&mut self, replica: ReplicaKey) -> Option<Intent> {
        let registered = self.free.remove(&(self.free(replica.1), replica.1));
        let intent = self.intents.swap_remove(&replica);
        if let Some(old) = &intent {
            self.subtract(replica.1, old);
        }
        if let Some(upstreams) = self.by_model.get_mut(&replica.0) {
            upstreams.shift_remove(&replica.1);
        }
        if let Some(models) = self.by_upstream.get_mut(&replica.1) {
            models.shift_remove(&replica.0);
        }
        if registered {
            self.free.insert((self.free(replica.1), replica.1));
        }
        intent
    }

    /// Subtracts a replaced or removed intent from the totals.
    fn subtract(&mut self, upstream: UpstreamKey, old: &Intent) {
        self.permits -= usize::from(old.permit);
        if let Some(reserved) = self.reserved.get_mut(&upstream) {
            *reserved -= u128::from(old.bytes);
        }
    }

    /// Updates what was observed of an intent. Its bytes, permit and phase must not change here.
    pub fn update(&mut self, replica: ReplicaKey, update: impl FnOnce(&mut Intent)) {
        if let Some(intent) = self.intents.get_mut(&replica) {
            let before = (intent.bytes, intent.permit, intent.phase);
            update(intent);
            debug_assert_eq!(before, (intent.bytes, intent.permit, intent.phase));
        }
    }

    /// Number of weight store permits that intents hold.
    pub fn permits(&self) -> usize {
        self.permits
    }

    /// Bytes that neither an intent nor an untracked model takes. An intent counts in every phase,
    /// until it is removed.
    pub fn free(&self, upstream: UpstreamKey) -> u64 {
        let memory = self.memory.get(&upstream).copied().unwrap_or(0);
        let untracked = self.untracked.get(&upstream).copied().unwrap_or(0);
        memory.saturating_sub(untracked).saturating_sub(self.reserved(upstream))
    }

    /// Bytes reserved by all intents on an upstream.
    pub fn reserved(&self, upstream: UpstreamKey) -> u64 {
        let reserved = self.reserved.get(&upstream).copied().unwrap_or(0);
        u64::try_from(reserved).unwrap_or(u64::MAX)
    }

    /// Memory of an upstream, in bytes; zero if it isn't in the register.
    pub fn memory(&self, upstream: UpstreamKey) -> u64 {
        self.memory.get(&upstream).copied().unwrap_or(0)
    }

    /// Registered upstreams with at least `bytes` free, the least free memory first.
    pub fn with_free(&self, bytes: u64) -> impl Iterator<Item = UpstreamKey> + '_ {
        self.free.range((bytes, UpstreamKey(0))..).map(|(_, upstream)| *upstream)
    }

    /// One intent.
    pub fn get(&self, replica: ReplicaKey) -> Option<&Intent> {
        self.intents.get(&replica)
    }

    /// All intents.
    pub fn iter(&self) -> impl Iterator<Item = (ReplicaKey, &Intent)> + '_ {
        self.intents.iter().map(|(replica, intent)| (*replica, intent))
    }

    /// Intents of a model, by upstream.
    pub fn of_model(&self, model: ModelKey) -> impl Iterator<Item = (UpstreamKey, &Intent)> + '_ {
        let upstreams = self.by_model.get(&model).into_iter().flatten();
        upstreams
            .filter_map(move |upstream| Some((*upstream, self.intents.get(&(model, *upstream))?)))
    }

    /// Intents on an upstream, by model.
    pub fn on_upstream(
        &self,
        upstream: UpstreamKey,
    ) -> impl Iterator<Item = (ModelKey, &Intent)> + '_ {
        let models = self.by_upstream.get(&upstream).into_iter().flatten();
        models.filter_map(move |model| Some((*model, self.intents.get(&(*model, upstream))?)))
    }

    /// Removes all intents and keeps the upstreams' memory.
    pub fn clear(&mut self) {
        self.intents.clear();
        self.permits = 0;
        self.reserved.clear();
        self.by_model.clear();
        self.by_upstream.clear();
        let upstreams: Vec<UpstreamKey> = self.memory.keys().copied().collect();
        self.free.clear();
        for upstream in upstreams {
            self.free.insert((self.free(upstream), upstream));
        }
    }
}
