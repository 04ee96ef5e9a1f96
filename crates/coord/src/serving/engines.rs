//! Engines as the platform lists them, and what their answers showed since.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::hash::hash;
use crate::hash::mix;
use crate::keys::AdapterKey;
use crate::keys::Interner;
use crate::keys::ModelKey;
use crate::keys::UpstreamKey;
use crate::keys::ZoneKey;
use crate::time::Tick;

/// Time after a platform outage within which entries that lapsed meanwhile come back; the platform
/// states about two seconds, and a fifth of a second covers the feed.
const RECOVERY_GRACE: Duration = Duration::from_millis(2_200);
/// Time for which an engine is passed over after its first failure; doubles with each further one.
const FAILURE_BACKOFF: Duration = Duration::from_millis(400);
/// Longest time for which failures keep an engine passed over.
const MAX_FAILURE_BACKOFF: Duration = Duration::from_secs(5);
/// Engines that went which are remembered, against word that is older.
const MAX_TOMBSTONES: usize = 512;
/// Least time by which an engine's cold span grows where it turned cold again; entries lag by less.
const MIN_COLD_INCREASE: Duration = Duration::from_millis(500);
/// Time for which word of an adapter outlives an entry that was written before it.
const ADAPTER_UPDATE_TTL: Duration = Duration::from_millis(2_500);

/// Whether an engine takes new requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    /// Takes requests.
    Ready,
    /// Leaves: finishes what it runs.
    Draining,
}

/// An engine's entry as the platform lists it, by names.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Identity; a new start is mostly a new one.
    pub id: String,
    /// Service that it belongs to.
    pub service: String,
    /// Address for requests and orders.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes requests.
    pub stage: Stage,
    /// How much longer it is cold, from when the entry was written.
    pub cold: Duration,
    /// Its start, in milliseconds since 1970 by its own clock, where it tells it.
    pub born: Option<u64>,
    /// Adapters by model, for each model held.
    pub models: IndexMap<String, Vec<String>>,
    /// Models whose weights lie in host memory.
    pub in_memory: Vec<String>,
    /// Models whose weights lie on disk.
    pub on_disk: Vec<String>,
    /// Version of the store's row.
    pub version: u64,
}

/// What an engine says of itself when it is asked, by names.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Whether a load or unload of a model is under way.
    pub busy: bool,
    /// Orders accepted since its start.
    pub orders: u64,
    /// Adapters by model, for each model held.
    pub models: IndexMap<String, Vec<String>>,
    /// Adapters that are still on their way from the weight store, with their models.
    pub coming: Vec<(String, String)>,
}

/// An engine as this daemon knows it.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Identity.
    pub id: String,
    /// Service that it belongs to.
    pub service: String,
    /// Address.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: ZoneKey,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes requests.
    pub stage: Stage,
    /// When it is warm.
    pub warm_at: Tick,
    /// Orders accepted since its start, once it was asked; its entry doesn't tell.
    pub order_count: Option<u64>,
    /// Start by its own clock.
    pub born: Option<u64>,
    /// Models held, each with its adapters.
    pub models: IndexMap<ModelKey, IndexSet<AdapterKey>>,
    /// Models whose weights lie in host memory.
    pub in_memory: IndexSet<ModelKey>,
    /// Models whose weights lie on disk.
    pub on_disk: IndexSet<ModelKey>,
    /// Version of the row that it was last listed by.
    pub version: u64,
    /// Models and adapters that requests didn't find there since its last entry or report.
    misses: IndexSet<(ModelKey, Option<AdapterKey>)>,
    /// Model that it was told to unload and still counts as memory.
    pub unloading: Option<ModelKey>,
    /// When its entry went while the platform was away, if it did.
    lapsed_at: Option<Tick>,
    /// Adapters that the order holder spoke of, and when; they may be newer than the entry.
    adapter_updates: IndexMap<AdapterKey, (ModelKey, bool, Tick)>,
    /// Adapters that take a place though no entry shows them yet: they are on their way, or were
    /// ordered after the entry was written.
    pending_adapters: IndexSet<(ModelKey, AdapterKey)>,
    backoff: FailureBackoff,
}

/// Failures in a row, and until when they keep an engine passed over.
#[derive(Clone, Copy, Debug, Default)]
struct FailureBackoff {
    failures: u32,
    until: Tick,
}

/// An engine's identity as one number, for lists of many engines. Two that share one would count
/// as equally loaded.
pub fn fingerprint(id: &str) -> u32 {
    mix(hash(0, id.bytes())) as u32
}

/// Names behind the keys of engines and what they hold.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// Engine identities.
    pub engines: Interner<UpstreamKey>,
    /// Models.
    pub models: Interner<ModelKey>,
    /// Adapters, as `model/adapter`.
    pub adapters: Interner<AdapterKey>,
    /// Availability zones.
    pub zones: Interner<ZoneKey>,
}

impl Names {
    /// The key of a model's adapter.
    pub fn adapter(&mut self, model: &str, adapter: &str) -> AdapterKey {
        self.adapters.intern(&format!("{model}/{adapter}"))
    }

    fn adapters(&mut self, model: &str, adapters: &[String]) -> IndexSet<AdapterKey> {
        adapters.iter().map(|adapter| self.adapter(model, adapter)).collect()
    }
}

/// All engines that may be alive.
#[derive(Clone, Debug, Default)]
pub struct Engines {
    /// Names behind the keys.
    pub names: Names,
    listed: IndexMap<UpstreamKey, Engine>,
    /// Engines that went, with the versions by which they did; the last of them.
    tombstones: IndexMap<UpstreamKey, u64>,
    drained_zones: IndexSet<ZoneKey>,
    recovery_ends: Option<Tick>,
}

/// What a change of an engine's entry meant.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// The engine is new here.
    Added,
    /// The engine started again under its old identity.
    Restarted,
    /// It turned cold.
    Cooled,
    /// It holds other models, or takes requests again.
    Updated,
    /// It left, or is leaving.
    Left,
    /// Nothing that the orders given to it don't explain.
    Same,
}

impl Engines {
    /// Takes an entry over that another daemon read, unless this one read a newer one. Where copies
    /// of weights lie isn't told.
    pub fn apply_relayed(&mut self, entry: Entry, now: Tick) -> Change {
        let key = self.names.engines.intern(&entry.id);
        let cached = match self.listed.get(&key) {
            Some(old) if old.version >= entry.version => return Change::Same,
            Some(old) => (old.in_memory.clone(), old.on_disk.clone()),
            None if self.tombstones.get(&key).is_some_and(|at| *at >= entry.version) => {
                return Change::Same;
            }
            None => Default::default(),
        };
        let change = self.upsert(entry, now);
        if let Some(engine) = self.listed.get_mut(&key) {
            (engine.in_memory, engine.on_disk) = cached;
        }
        change
    }

    /// Takes an engine's entry over, unless a newer one was read before.
    pub fn upsert(&mut self, entry: Entry, now: Tick) -> Change {
        let key = self.names.engines.intern(&entry.id);
        let mut engine = self.build_engine(entry, now);
        let Some(old) = self.listed.get(&key) else {
            self.listed.insert(key, engine);
            return Change::Added;
        };
        if engine.version < old.version {
            return Change::Same;
        }
        let restarted = engine.address != old.address
            || (engine.born.is_some() && old.born.is_some() && engine.born != old.born);
        if restarted {
            self.listed.insert(key, engine);
            return Change::Restarted;
        }
        engine.backoff = old.backoff;
        engine.unloading = old.unloading.filter(|model| engine.models.contains_key(model));
        engine.order_count = old.order_count;
        engine.pending_adapters.clone_from(&old.pending_adapters);
        for (&adapter, &(model, held, at)) in &old.adapter_updates {
            if now.since(at) < ADAPTER_UPDATE_TTL {
                engine.set_adapter(model, adapter, held, at);
            } else if held {
                engine.pending_adapters.insert((model, adapter));
            }
        }
        engine.prune_pending_adapters();
        // An entry may have been written before what a report or an order showed since. The engine
        // has to say what it holds before it is given another order.
        if engine.lacks_any_of(old) {
            engine.order_count = None;
        }
        let change = match (old.stage, engine.stage) {
            (Stage::Ready, Stage::Draining) => Change::Left,
            (Stage::Draining, Stage::Ready) => Change::Updated,
            _ if engine.warm_at.since(old.warm_at.max(now)) >= MIN_COLD_INCREASE => Change::Cooled,
            _ if old.holds_same_models(&engine) => Change::Same,
            _ => Change::Updated,
        };
        self.listed.insert(key, engine);
        change
    }

    /// An engine's entry is gone. Right after an outage of the platform the engine may still live,
    /// and is kept until it had its time to come back.
    /// `version` is that of the row's end.
    pub fn remove(&mut self, id: &str, version: u64, now: Tick) -> Change {
        let Some(key) = self.names.engines.key(id) else { return Change::Same };
        if self.recovery_ends.is_some_and(|until| now < until) {
            if let Some(engine) = self.listed.get_mut(&key) {
                engine.lapsed_at = Some(now);
                engine.version = version;
            }
            return Change::Same;
        }
        self.record_removal(key, version);
        match self.listed.shift_remove(&key) {
            Some(_) => Change::Left,
            None => Change::Same,
        }
    }

    fn record_removal(&mut self, key: UpstreamKey, version: u64) {
        self.tombstones.shift_remove(&key);
        self.tombstones.insert(key, version);
        let excess = self.tombstones.len().saturating_sub(MAX_TOMBSTONES);
        self.tombstones.drain(..excess);
    }

    /// Version by which an engine was last listed, or went.
    pub fn version(&self, key: UpstreamKey) -> u64 {
        let listed = self.listed.get(&key).map(|engine| engine.version);
        listed.or_else(|| self.tombstones.get(&key).copied()).unwrap_or(0)
    }

    /// An engine is known to leave, by a row with this version that wasn't read here.
    pub fn mark_draining(&mut self, key: UpstreamKey, version: u64) {
        if let Some(engine) = self.listed.get_mut(&key).filter(|e| e.version <= version) {
            engine.stage = Stage::Draining;
            engine.version = version;
        }
    }

    /// The platform answers again after an outage.
    pub fn begin_recovery(&mut self, now: Tick) {
        self.recovery_ends = Some(now + RECOVERY_GRACE);
    }

    /// Forgets engines that had their time to come back after an outage; gives them.
    pub fn expire_missing(&mut self, now: Tick) -> Vec<UpstreamKey> {
        if self.recovery_ends.is_none_or(|until| now < until) {
            return Vec::new();
        }
        self.recovery_ends = None;
        let expired = self.listed.iter().filter(|(_, engine)| engine.lapsed_at.is_some());
        let expired: Vec<UpstreamKey> = expired.map(|(&key, _)| key).collect();
        for &key in &expired {
            if let Some(engine) = self.listed.shift_remove(&key) {
                self.record_removal(key, engine.version);
            }
        }
        expired
    }

    /// Sets the zones that are drained.
    pub fn drain_zones<'a>(&mut self, zones: impl IntoIterator<Item = &'a str>) {
        let zones = zones.into_iter().map(|zone| self.names.zones.intern(zone));
        self.drained_zones = zones.collect();
    }

    /// Drains a zone, or takes it back.
    pub fn drain_zone(&mut self, zone: &str, drained: bool) {
        let zone = self.names.zones.intern(zone);
        if drained {
            self.drained_zones.insert(zone);
        } else {
            self.drained_zones.swap_remove(&zone);
        }
    }

    /// Whether a zone is drained.
    pub fn is_drained(&self, zone: ZoneKey) -> bool {
        self.drained_zones.contains(&zone)
    }

    /// Records that an engine's answer failed.
    pub fn record_failure(&mut self, key: UpstreamKey, now: Tick) {
        let Some(engine) = self.listed.get_mut(&key) else { return };
        let doublings = engine.backoff.failures.min(8);
        engine.backoff.failures += 1;
        let span = FAILURE_BACKOFF * (1 << doublings);
        engine.backoff.until = now + span.min(MAX_FAILURE_BACKOFF);
    }

    /// Records that an engine answered well.
    pub fn record_success(&mut self, key: UpstreamKey) {
        if let Some(engine) = self.listed.get_mut(&key) {
            engine.backoff = FailureBackoff::default();
        }
    }

    /// Records that an engine holds an adapter now, or no longer.
    pub fn set_adapter(
        &mut self,
        key: UpstreamKey,
        model: ModelKey,
        adapter: AdapterKey,
        held: bool,
        now: Tick,
    ) {
        if let Some(engine) = self.listed.get_mut(&key) {
            engine.set_adapter(model, adapter, held, now);
        }
    }

    /// Records that an engine refused a request since it doesn't hold its model or adapter. Until
    /// its next entry or report no request goes there for it; its memory still counts as taken.
    pub fn record_miss(&mut self, key: UpstreamKey, model: ModelKey, adapter: Option<AdapterKey>) {
        if let Some(engine) = self.listed.get_mut(&key) {
            engine.misses.insert((model, adapter));
        }
    }

    /// Records that an engine unloaded a model.
    pub fn remove_model(&mut self, key: UpstreamKey, model: ModelKey) {
        if let Some(engine) = self.listed.get_mut(&key) {
            engine.models.swap_remove(&model);
        }
    }

    /// Takes over what an engine said of itself when it was asked.
    pub fn apply_report(&mut self, key: UpstreamKey, report: &Report) {
        let mut held = IndexMap::new();
        for (model, adapters) in &report.models {
            held.insert(self.names.models.intern(model), self.names.adapters(model, adapters));
        }
        let pending = report.coming.iter();
        let pending = pending
            .map(|(model, adapter)| {
                (self.names.models.intern(model), self.names.adapter(model, adapter))
            })
            .collect();
        let Some(engine) = self.listed.get_mut(&key) else { return };
        engine.pending_adapters = pending;
        engine.unloading = engine.unloading.filter(|model| report.busy && held.contains_key(model));
        engine.models = held;
        engine.order_count = Some(report.orders);
        engine.adapter_updates.clear();
        engine.misses.clear();
    }

    /// Counts an order that an engine accepted.
    pub fn record_accepted_order(&mut self, key: UpstreamKey) {
        if let Some(engine) = self.listed.get_mut(&key) {
            engine.order_count = engine.order_count.map(|count| count + 1);
        }
    }

    /// Records that an engine was told to unload a model: it takes no more requests for it.
    pub fn begin_unload(&mut self, key: UpstreamKey, model: ModelKey) {
        if let Some(engine) = self.listed.get_mut(&key) {
            engine.unloading = Some(model);
        }
    }

    /// Records that an engine began to hold a model.
    pub fn add_model(&mut self, key: UpstreamKey, model: ModelKey) {
        if let Some(engine) = self.listed.get_mut(&key) {
            engine.misses.swap_remove(&(model, None));
            engine.models.entry(model).or_default();
        }
    }

    /// An engine by key.
    pub fn get(&self, key: UpstreamKey) -> Option<&Engine> {
        self.listed.get(&key)
    }

    /// All engines.
    pub fn iter(&self) -> impl Iterator<Item = (UpstreamKey, &Engine)> {
        self.listed.iter().map(|(&key, engine)| (key, engine))
    }

    /// How many engines are listed.
    pub fn len(&self) -> usize {
        self.listed.len()
    }

    /// Whether no engine is listed.
    pub fn is_empty(&self) -> bool {
        self.listed.is_empty()
    }

    /// Engines of a service that new requests may go to. Engines that failed lately come only
    /// where there is no other.
    pub fn usable(&self, service: &str, now: Tick) -> Vec<UpstreamKey> {
        let open = self.listed.iter().filter(|(_, engine)| {
            engine.service == service
                && engine.stage == Stage::Ready
                && !self.drained_zones.contains(&engine.zone)
        });
        let (healthy, backing_off): (Vec<_>, Vec<_>) =
            open.partition(|(_, engine)| engine.backoff.until <= now);
        let chosen = if healthy.is_empty() { backing_off } else { healthy };
        chosen.into_iter().map(|(&key, _)| key).collect()
    }

    fn build_engine(&mut self, entry: Entry, now: Tick) -> Engine {
        let names = &mut self.names;
        let mut models = IndexMap::new();
        for (model, adapters) in &entry.models {
            models.insert(names.models.intern(model), names.adapters(model, adapters));
        }
        let mut keys = |list: &[String]| -> IndexSet<ModelKey> {
            list.iter().map(|model| names.models.intern(model)).collect()
        };
        let in_memory = keys(&entry.in_memory);
        let on_disk = keys(&entry.on_disk);
        Engine {
            zone: names.zones.intern(&entry.zone),
            id: entry.id,
            service: entry.service,
            address: entry.address,
            slots: entry.slots,
            stage: entry.stage,
            warm_at: now + entry.cold,
            order_count: None,
            born: entry.born,
            models,
            in_memory,
            on_disk,
            version: entry.version,
            misses: IndexSet::new(),
            unloading: None,
            lapsed_at: None,
            adapter_updates: IndexMap::new(),
            pending_adapters: IndexSet::new(),
            backoff: FailureBackoff::default(),
        }
    }
}

impl Engine {
    /// Whether it holds a model, and the adapter where one is asked for.
    pub fn holds(&self, model: ModelKey, adapter: Option<AdapterKey>) -> bool {
        let missed = |adapter| self.misses.contains(&(model, adapter));
        if self.unloading == Some(model) || missed(None) || missed(adapter) {
            return false;
        }
        match (self.models.get(&model), adapter) {
            (Some(held), Some(adapter)) => held.contains(&adapter),
            (held, _) => held.is_some(),
        }
    }

    /// Whether another state of it holds the same models.
    fn holds_same_models(&self, other: &Engine) -> bool {
        let same = |model| other.models.contains_key(model);
        self.models.len() == other.models.len() && self.models.keys().all(same)
    }

    /// Whether something that another state held is missing though it wasn't told to unload it.
    fn lacks_any_of(&self, old: &Engine) -> bool {
        let expected = old.models.iter().filter(|(model, _)| old.unloading != Some(**model));
        let mut expected = expected.map(|(&model, adapters)| (model, adapters));
        expected.any(|(model, adapters)| match self.models.get(&model) {
            Some(held) => adapters.iter().any(|&adapter| {
                !held.contains(&adapter) && !self.pending_adapters.contains(&(model, adapter))
            }),
            None => true,
        })
    }

    /// Adapters of a model that take a place, those on their way included.
    pub fn adapters(&self, model: ModelKey) -> usize {
        let held = self.models.get(&model);
        let is_held = |adapter| held.is_some_and(|held| held.contains(adapter));
        let pending_adapters = self.pending_adapters.iter();
        let pending_adapters =
            pending_adapters.filter(|(of, adapter)| *of == model && !is_held(adapter));
        held.map_or(0, IndexSet::len) + pending_adapters.count()
    }

    /// Whether it is still cold.
    pub fn is_cold(&self, now: Tick) -> bool {
        now < self.warm_at
    }

    fn set_adapter(&mut self, model: ModelKey, adapter: AdapterKey, held: bool, at: Tick) {
        self.adapter_updates.insert(adapter, (model, held, at));
        self.misses.swap_remove(&(model, Some(adapter)));
        if !held {
            self.pending_adapters.swap_remove(&(model, adapter));
        }
        let Some(adapters) = self.models.get_mut(&model) else { return };
        if held {
            adapters.insert(adapter);
        } else {
            adapters.swap_remove(&adapter);
        }
    }

    /// Forgets adapters on their way that arrived, or whose model went.
    fn prune_pending_adapters(&mut self) {
        let models = &self.models;
        self.pending_adapters.retain(|(model, adapter)| {
            models.get(model).is_some_and(|held| !held.contains(adapter))
        });
    }
}
