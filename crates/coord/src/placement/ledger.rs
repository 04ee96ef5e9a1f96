//! The intents as last read or committed, with the memory account of each upstream.

use std::collections::BTreeSet;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::keys::ModelKey;
use crate::keys::UpstreamKey;
use crate::time::Tick;

use super::effects::Pair;
use super::probe::ObservedState;
use super::row::Phase;

/// One intent.
#[derive(Clone, Debug, PartialEq)]
pub struct Intent {
    /// Bytes set aside.
    pub bytes: u64,
    /// Fencing token of its phase.
    pub fence: u64,
    /// Its phase in the table.
    pub phase: Phase,
    /// Controllers whose load orders may still have an effect.
    pub senders: IndexSet<String>,
    /// Whether it holds one of the weight store's permits.
    pub permit: bool,
    /// What the upstream says.
    pub standing: ObservedState,
    /// When the question was asked to which `standing` is the answer.
    pub asked: Tick,
    /// When its phase was read or committed, or the last of our load orders was answered.
    pub quiet: Tick,
    /// When it was last ordered, whatever its phase.
    pub ordered: Option<Tick>,
    /// Orders since its phase began.
    pub tries: u32,
    /// Whether the upstream refused it for want of memory.
    pub refused: bool,
}

/// All intents and the memory accounts over them.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    intents: IndexMap<Pair, Intent>,
    models: IndexMap<ModelKey, IndexSet<UpstreamKey>>,
    upstreams: IndexMap<UpstreamKey, IndexSet<ModelKey>>,
    memory: IndexMap<UpstreamKey, u64>,
    foreign: IndexMap<UpstreamKey, u64>,
    taken: IndexMap<UpstreamKey, u64>,
    free: BTreeSet<(u64, UpstreamKey)>,
    permits: usize,
}

impl Ledger {
    /// Sets an upstream's memory.
    pub fn set_memory(&mut self, upstream: UpstreamKey, bytes: u64) {
        self.free.remove(&(self.free(upstream), upstream));
        self.memory.insert(upstream, bytes);
        self.free.insert((self.free(upstream), upstream));
    }

    /// Drops an upstream that left the register.
    pub fn drop_memory(&mut self, upstream: UpstreamKey) {
        self.free.remove(&(self.free(upstream), upstream));
        self.memory.swap_remove(&upstream);
    }

    /// Sets the bytes that an upstream holds without an intent.
    pub fn set_foreign(&mut self, upstream: UpstreamKey, bytes: u64) {
        if self.foreign.get(&upstream).copied().unwrap_or(0) == bytes {
            return;
        }
        let known = self.free.remove(&(self.free(upstream), upstream));
        self.foreign.insert(upstream, bytes);
        if known {
            self.free.insert((self.free(upstream), upstream));
        }
    }

    /// Adds or replaces an intent.
    pub fn put(&mut self, pair: Pair, intent: Intent) {
        let known = self.free.remove(&(self.free(pair.1), pair.1));
        self.permits += usize::from(intent.permit);
        *self.taken.entry(pair.1).or_default() += intent.bytes;
        if let Some(old) = self.intents.insert(pair, intent) {
            self.discount(pair.1, &old);
        }
        self.models.entry(pair.0).or_default().insert(pair.1);
        self.upstreams.entry(pair.1).or_default().insert(pair.0);
        if known {
            self.free.insert((self.free(pair.1), pair.1));
        }
    }

    /// Removes an intent.
    pub fn remove(&mut self, pair: Pair) -> Option<Intent> {
        let known = self.free.remove(&(self.free(pair.1), pair.1));
        let intent = self.intents.swap_remove(&pair);
        if let Some(old) = &intent {
            self.discount(pair.1, old);
        }
        if let Some(upstreams) = self.models.get_mut(&pair.0) {
            upstreams.shift_remove(&pair.1);
        }
        if let Some(models) = self.upstreams.get_mut(&pair.1) {
            models.shift_remove(&pair.0);
        }
        if known {
            self.free.insert((self.free(pair.1), pair.1));
        }
        intent
    }

    /// Takes an intent that is replaced or removed out of the sums.
    fn discount(&mut self, upstream: UpstreamKey, old: &Intent) {
        self.permits -= usize::from(old.permit);
        if let Some(taken) = self.taken.get_mut(&upstream) {
            *taken -= old.bytes;
        }
    }

    /// Changes what is known of an intent, but nothing that its row says.
    pub fn update(&mut self, pair: Pair, change: impl FnOnce(&mut Intent)) {
        if let Some(intent) = self.intents.get_mut(&pair) {
            let before = (intent.bytes, intent.permit, intent.phase);
            change(intent);
            debug_assert_eq!(before, (intent.bytes, intent.permit, intent.phase));
        }
    }

    /// Permits of the weight store that intents hold.
    pub fn permits(&self) -> usize {
        self.permits
    }

    /// Bytes that neither an intent nor anything else takes; each intent counts, whatever its
    /// phase, until it is removed.
    pub fn free(&self, upstream: UpstreamKey) -> u64 {
        let memory = self.memory.get(&upstream).copied().unwrap_or(0);
        let foreign = self.foreign.get(&upstream).copied().unwrap_or(0);
        memory.saturating_sub(foreign).saturating_sub(self.taken(upstream))
    }

    /// Bytes of all intents of an upstream.
    pub fn taken(&self, upstream: UpstreamKey) -> u64 {
        self.taken.get(&upstream).copied().unwrap_or(0)
    }

    /// Memory of an upstream, zero for one that isn't in the register.
    pub fn memory(&self, upstream: UpstreamKey) -> u64 {
        self.memory.get(&upstream).copied().unwrap_or(0)
    }

    /// Upstreams with at least `bytes` free, the tightest fit first.
    pub fn roomy(&self, bytes: u64) -> impl Iterator<Item = UpstreamKey> + '_ {
        self.free.range((bytes, UpstreamKey(0))..).map(|(_, upstream)| *upstream)
    }

    /// One intent.
    pub fn get(&self, pair: Pair) -> Option<&Intent> {
        self.intents.get(&pair)
    }

    /// All intents.
    pub fn iter(&self) -> impl Iterator<Item = (Pair, &Intent)> + '_ {
        self.intents.iter().map(|(pair, intent)| (*pair, intent))
    }

    /// Intents of a model.
    pub fn of(&self, model: ModelKey) -> impl Iterator<Item = (UpstreamKey, &Intent)> + '_ {
        let upstreams = self.models.get(&model).into_iter().flatten();
        upstreams.filter_map(move |up| Some((*up, self.intents.get(&(model, *up))?)))
    }

    /// Intents of an upstream.
    pub fn on(&self, upstream: UpstreamKey) -> impl Iterator<Item = (ModelKey, &Intent)> + '_ {
        let models = self.upstreams.get(&upstream).into_iter().flatten();
        models.filter_map(move |model| Some((*model, self.intents.get(&(*model, upstream))?)))
    }

    /// Forgets all intents, but keeps the upstreams' memory.
    pub fn clear(&mut self) {
        self.intents.clear();
        self.permits = 0;
        self.taken.clear();
        self.models.clear();
        self.upstreams.clear();
        let memory: Vec<UpstreamKey> = self.memory.keys().copied().collect();
        self.free.clear();
        for upstream in memory {
            self.free.insert((self.free(upstream), upstream));
        }
    }
}
