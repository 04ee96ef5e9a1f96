//! Tracks engines: their entries in the platform's store, and what reports, orders and responses
//! have shown since.

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
use crate::serving::notice::Notice;
use crate::serving::notice::Process;
use crate::serving::origins::Release;
use crate::serving::position::Position;
use crate::time::Tick;

/// Time after a platform outage within which engines renew entries that expired during the outage.
/// The platform states about two seconds; 0.2 seconds are added for the delay of the feed.
const RECOVERY_GRACE: Duration = Duration::from_millis(2_200);
/// Time for which an engine is avoided after its first failure; doubles with each further failure.
const FAILURE_BACKOFF: Duration = Duration::from_millis(400);
/// Longest time for which an engine is avoided after a failure.
const MAX_FAILURE_BACKOFF: Duration = Duration::from_secs(5);
/// Smallest extension of a pause that counts as news.
const MIN_PAUSE_EXTENSION: Duration = Duration::from_millis(500);
/// Number of removed engines that are remembered, so that outdated entries don't add them again.
const MAX_TOMBSTONES: usize = 512;
/// Smallest increase of the cold period that counts as turning cold again. Delays of entries stay
/// below it.
const MIN_COLD_INCREASE: Duration = Duration::from_millis(500);
/// Time for which an adapter update overrides an entry that may be older than the update.
const ADAPTER_UPDATE_TTL: Duration = Duration::from_millis(2_500);

/// Whether an engine accepts new requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    /// Accepts requests.
    Ready,
    /// Finishes its running requests and accepts no new ones.
    Draining,
}

/// Engine entry as stored by the platform, with names instead of keys.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Identity; usually changes when the engine restarts.
    pub id: String,
    /// Service that the engine belongs to.
    pub service: String,
    /// Address for requests and orders.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Version of the engine's software; empty if the entry names none.
    pub software: String,
    /// Most requests that the engine runs concurrently.
    pub slots: u32,
    /// Whether the engine accepts new requests.
    pub stage: Stage,
    /// Remaining cold period when the entry was written; zero if the engine is warm.
    pub cold: Duration,
    /// Start time in milliseconds since 1970 by the engine's clock; `None` if not reported.
    pub started_ms: Option<u64>,
    /// Loaded models, each with its loaded adapters.
    pub models: IndexMap<String, Vec<String>>,
    /// Models whose weights are cached in host memory.
    pub in_memory: Vec<String>,
    /// Models whose weights are cached on disk.
    pub on_disk: Vec<String>,
    /// Position of the row in the store.
    pub position: Position,
}

/// Report that an engine returns on request, with names instead of keys.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Whether a model is being loaded or unloaded.
    pub busy: bool,
    /// Number of orders accepted since the engine started.
    pub orders: u64,
    /// Loaded models, each with its loaded adapters.
    pub models: IndexMap<String, Vec<String>>,
    /// Adapters that are being loaded from the weight store, as pairs of model and adapter.
    pub loading_adapters: Vec<(String, String)>,
    /// Start time in milliseconds since 1970 by the engine's clock; `None` if not reported.
    pub started_ms: Option<u64>,
}

/// Known state of an engine.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Identity.
    pub id: String,
    /// Service that the engine belongs to.
    pub service: String,
    /// Address for requests and orders.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: ZoneKey,
    /// Version of the engine's software; empty if its entry names none.
    pub software: String,
    /// Release of that software.
    pub release: Release,
    /// Most requests that the engine runs concurrently.
    pub slots: u32,
    /// Whether the engine accepts new requests.
    pub stage: Stage,
    /// Time at which the cold period ends.
    pub warm_at: Tick,
    /// Number of orders accepted since the engine started. `None` until a report arrives; entries
    /// don't contain it.
    pub order_count: Option<u64>,
    /// Start time in milliseconds since 1970 by the engine's clock; `None` if not reported.
    pub started_ms: Option<u64>,
    /// Loaded models, each with its loaded adapters.
    pub models: IndexMap<ModelKey, IndexSet<AdapterKey>>,
    /// Models whose weights are cached in host memory.
    pub in_memory: IndexSet<ModelKey>,
    /// Models whose weights are cached on disk.
    pub on_disk: IndexSet<ModelKey>,
    /// Position of the latest row that was applied.
    pub position: Position,
    /// Models and adapters for which the engine refused requests since its latest entry or report.
    misses: IndexSet<(ModelKey, Option<AdapterKey>)>,
    /// Model that was ordered to unload. It accepts no requests but still occupies memory.
    pub unloading: Option<ModelKey>,
    /// Time at which the entry was removed right after a platform outage, if it was.
    lapsed_at: Option<Tick>,
    /// Latest adapter changes announced by the lease holder, with their times. They may be newer
    /// than the entry.
    adapter_updates: IndexMap<AdapterKey, (ModelKey, bool, Tick)>,
    /// Adapters that occupy a slot but are missing from the entry: they are being loaded, or were
    /// ordered after the entry was written.
    pending_adapters: IndexSet<(ModelKey, AdapterKey)>,
    /// What a process of the engine said in its responses; perhaps not the current one.
    notice: Option<Notice>,
    backoff: FailureBackoff,
}

/// What is remembered of a removed engine.
#[derive(Clone, Copy, Debug)]
struct Tombstone {
    /// Position of the removal.
    position: Position,
    /// What its process said, in case the entry expired and the process writes it again.
    notice: Option<Notice>,
}

/// Consecutive failures, and the time until which the engine is avoided.
#[derive(Clone, Copy, Debug, Default)]
struct FailureBackoff {
    failures: u32,
    until: Tick,
}

/// Hash of an engine's identity that stands for it in digests. Engines with equal hashes would be
/// treated as equally loaded.
pub fn fingerprint(id: &str) -> u32 {
    mix(hash(0, id.bytes())) as u32
}

/// Interned names of engines and of what they hold.
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
    /// Returns the key of a model's adapter.
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
    /// Interned names.
    pub names: Names,
    listed: IndexMap<UpstreamKey, Engine>,
    /// The most recently removed engines.
    tombstones: IndexMap<UpstreamKey, Tombstone>,
    drained_zones: IndexSet<ZoneKey>,
    /// Zones whose drain a restored store may have lost.
    lapsed_zones: IndexSet<ZoneKey>,
    recovery_ends: Option<Tick>,
}

/// Effect of an update on the known state of an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// The engine was unknown.
    Added,
    /// The engine restarted under the same identity.
    Restarted,
    /// The engine turned cold.
    Cooled,
    /// The engine holds different models, or accepts requests again.
    Updated,
    /// The engine was removed or started draining.
    Left,
    /// The update changed nothing, or only what earlier orders explain.
    Same,
}

impl Engines {
    /// Applies an entry that another daemon read, unless a newer one is known. Relayed entries
    /// don't list cached weights, so the known ones are kept.
    pub fn apply_relayed(&mut self, entry: Entry, now: Tick) -> Change {
        let key = self.names.engines.intern(&entry.id);
        let cached = match self.listed.get(&key) {
            Some(old) if old.position >= entry.position => return Change::Same,
            Some(old) => (old.in_memory.clone(), old.on_disk.clone()),
            None if self.is_removed(key, entry.position) => return Change::Same,
            None => Default::default(),
        };
        let change = self.upsert(entry, now);
        if let Some(engine) = self.listed.get_mut(&key) {
            (engine.in_memory, engine.on_disk) = cached;
        }
        change
    }

    /// Applies an entry that this daemon read, unless a newer entry of the engine is listed or was
    /// removed.
    pub fn upsert(&mut self, entry: Entry, now: Tick) -> Change {
        let key = self.names.engines.intern(&entry.id);
        if !self.listed.contains_key(&key) && self.is_removed(key, entry.position) {
            return Change::Same;
        }
        let mut engine = self.build_engine(entry, now);
        let Some(old) = self.listed.get(&key) else {
            engine.notice = self.tombstones.get(&key).and_then(|tombstone| tombstone.notice);
            self.listed.insert(key, engine);
            return Change::Added;
        };
        if engine.position < old.position {
            return Change::Same;
        }
        engine.notice = old.notice;
        let process = engine.process();
        if !process.may_be(&old.process()) {
            engine.notice = engine.notice.map(|notice| notice.carry_over(process, now));
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
        // The entry may be older than the latest report or order. The engine has to be inspected
        // before it receives another order.
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

    /// Processes the removal of an engine's entry, unless a later row shows that the engine is back.
    /// Right after a platform outage the engine may still be alive, so it is kept until it has had
    /// time to renew its entry. `position` is that of the removal.
    pub fn remove(&mut self, id: &str, position: Position, now: Tick) -> Change {
        let Some(key) = self.names.engines.key(id) else { return Change::Same };
        let is_back = |engine: &Engine| engine.stage == Stage::Ready && engine.position > position;
        if self.listed.get(&key).is_some_and(is_back) {
            return Change::Same;
        }
        if self.recovery_ends.is_some_and(|until| now < until) {
            if let Some(engine) = self.listed.get_mut(&key) {
                engine.lapsed_at = Some(now);
                engine.position = position;
            }
            return Change::Same;
        }
        self.unlist(key, position)
    }

    fn unlist(&mut self, key: UpstreamKey, position: Position) -> Change {
        let known = self.tombstones.shift_remove(&key).and_then(|tombstone| tombstone.notice);
        let engine = self.listed.shift_remove(&key);
        let notice = engine.as_ref().map_or(known, |engine| engine.notice);
        // Without its start time, a process can't be told from the next one at its address.
        let notice = notice.filter(|notice| notice.process.started_ms.is_some());
        self.tombstones.insert(key, Tombstone { position, notice });
        let excess = self.tombstones.len().saturating_sub(MAX_TOMBSTONES);
        self.tombstones.drain(..excess);
        match engine {
            Some(_) => Change::Left,
            None => Change::Same,
        }
    }

    /// Returns whether an engine was removed at this position or later.
    fn is_removed(&self, key: UpstreamKey, position: Position) -> bool {
        self.tombstones.get(&key).is_some_and(|tombstone| tombstone.position >= position)
    }

    /// Returns the position at which an engine was last updated or removed; the lowest if it is
    /// unknown.
    pub fn position(&self, key: UpstreamKey) -> Position {
        let listed = self.listed.get(&key).map(|engine| engine.position);
        let removed = self.tombstones.get(&key).map(|tombstone| tombstone.position);
        listed.or(removed).unwrap_or_default()
    }

    /// Marks an engine as draining because of a row at this position that another daemon read.
    pub fn mark_draining(&mut self, key: UpstreamKey, position: Position) {
        if let Some(engine) = self.listed.get_mut(&key).filter(|e| e.position <= position) {
            engine.stage = Stage::Draining;
            engine.position = position;
        }
    }

    /// Starts the grace period after an outage or a restoration of the platform, which ended then.
    pub fn begin_recovery(&mut self, ended: Tick) {
        self.recovery_ends = self.recovery_ends.max(Some(ended + RECOVERY_GRACE));
    }

    /// Ends the grace period once it is over, and removes and returns the engines that haven't
    /// renewed their entries.
    pub fn expire_missing(&mut self, now: Tick) -> Vec<UpstreamKey> {
        if self.recovery_ends.is_none_or(|until| now < until) {
            return Vec::new();
        }
        self.recovery_ends = None;
        self.lapsed_zones.clear();
        let expired = self.listed.iter().filter(|(_, engine)| engine.lapsed_at.is_some());
        let expired: Vec<UpstreamKey> = expired.map(|(&key, _)| key).collect();
        for &key in &expired {
            self.unlist(key, self.position(key));
        }
        expired
    }

    /// Replaces the set of drained zones. During the grace period, zones that were drained before
    /// stay so, since the operator may still write their drain again.
    pub fn drain_zones<'a>(&mut self, zones: impl IntoIterator<Item = &'a str>) {
        let zones = zones.into_iter().map(|zone| self.names.zones.intern(zone));
        let before = std::mem::replace(&mut self.drained_zones, zones.collect());
        if self.recovery_ends.is_some() {
            self.lapsed_zones.extend(before);
        }
    }

    /// Starts or stops draining a zone.
    pub fn drain_zone(&mut self, zone: &str, drained: bool) {
        let zone = self.names.zones.intern(zone);
        if drained {
            self.drained_zones.insert(zone);
        } else {
            self.drained_zones.swap_remove(&zone);
            self.lapsed_zones.swap_remove(&zone);
        }
    }

    /// Returns whether a zone is drained.
    pub fn is_drained(&self, zone: ZoneKey) -> bool {
        self.drained_zones.contains(&zone) || self.lapsed_zones.contains(&zone)
    }

    /// Records a failed request, and avoids the engine for some time.
    pub fn record_failure(&mut self, key: UpstreamKey, now: Tick) {
        let Some(engine) = self.listed.get_mut(&key) else { return };
        let doublings = engine.backoff.failures.min(8);
        engine.backoff.failures += 1;
        let span = FAILURE_BACKOFF * (1 << doublings);
        engine.backoff.until = now + span.min(MAX_FAILURE_BACKOFF);
    }

    /// Records a successful request, and clears the failures of the engine.
    pub fn record_success(&mut self, key: UpstreamKey) {
        if let Some(engine) = self.listed.get_mut(&key) {
            engine.backoff = FailureBackoff::default();
        }
    }

    /// Records a response in which a process of an engine said that it leaves. The process gets no
    /// further requests, whatever its entry states. Returns whether that is new.
    pub fn record_leaving(&mut self, key: UpstreamKey, process: Process) -> bool {
        let Some(notice) = self.notice_mut(key, process) else { return false };
        !std::mem::replace(&mut notice.is_leaving, true)
    }

    /// Records that a response in which a process of an engine said that it leaves may be one of a later
    /// process, whose entry this daemon hasn't read.
    pub fn record_unclear(&mut self, key: UpstreamKey, process: Process, now: Tick) {
        if let Some(notice) = self.notice_mut(key, process) {
            notice.unclear_at = Some(now);
        }
    }

    /// Records a response in which a process of an engine asked this daemon to send nothing for
    /// `pause`. The latest end of all pauses counts. Returns whether that is news.
    pub fn record_pause(
        &mut self,
        key: UpstreamKey,
        process: Process,
        pause: Duration,
        now: Tick,
    ) -> bool {
        let Some(notice) = self.notice_mut(key, process) else { return false };
        let (before, until) = (notice.paused_until, now + pause);
        notice.paused_until = before.max(until);
        notice.asked_at = now;
        until.since(before.max(now)) >= MIN_PAUSE_EXTENSION || (before <= now && until > now)
    }

    /// Returns the notice of a process, unless another process of the engine is known.
    fn notice_mut(&mut self, key: UpstreamKey, process: Process) -> Option<&mut Notice> {
        let notice = match self.listed.get_mut(&key) {
            Some(engine) if engine.process().may_be(&process) => &mut engine.notice,
            Some(_) => return None,
            None => &mut self.tombstones.get_mut(&key)?.notice,
        };
        let known = notice.filter(|notice| notice.process.may_be(&process));
        Some(notice.insert(known.unwrap_or(Notice::new(process))))
    }

    /// Records that an adapter was loaded or unloaded.
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

    /// Records that an engine refused a request because it doesn't hold the model or adapter. Until
    /// its next entry or report it receives no such requests, but the memory still counts as
    /// occupied.
    pub fn record_miss(&mut self, key: UpstreamKey, model: ModelKey, adapter: Option<AdapterKey>) {
        if let Some(engine) = self.listed.get_mut(&key) {
            engine.misses.insert((model, adapter));
        }
    }

    /// Records that a model was unloaded.
    pub fn remove_model(&mut self, key: UpstreamKey, model: ModelKey) {
        if let Some(engine) = self.listed.get_mut(&key) {
            engine.models.swap_remove(&model);
        }
    }

    /// Applies a report. Returns whether it is that of the listed process: an engine that starts
    /// again under its identity may have reported just before.
    pub fn apply_report(&mut self, key: UpstreamKey, report: &Report) -> bool {
        let Some(started_ms) = self.listed.get(&key).map(|engine| engine.started_ms) else {
            return false;
        };
        if started_ms.zip(report.started_ms).is_some_and(|(listed, reported)| listed != reported) {
            return false;
        }
        let mut held = IndexMap::new();
        for (model, adapters) in &report.models {
            held.insert(self.names.models.intern(model), self.names.adapters(model, adapters));
        }
        let pending = report.loading_adapters.iter();
        let pending = pending
            .map(|(model, adapter)| {
                (self.names.models.intern(model), self.names.adapter(model, adapter))
            })
            .collect();
        let Some(engine) = self.listed.get_mut(&key) else { return false };
        engine.pending_adapters = pending;
        engine.unloading = engine.unloading.filter(|model| report.busy && held.contains_key(model));
        engine.models = held;
        engine.order_count = Some(report.orders);
        engine.adapter_updates.clear();
        engine.misses.clear();
        true
    }

    /// Increments the number of orders that an engine has accepted.
    pub fn record_accepted_order(&mut self, key: UpstreamKey) {
        if let Some(engine) = self.listed.get_mut(&key) {
            engine.order_count = engine.order_count.map(|count| count.saturating_add(1));
        }
    }

    /// Records that a model was ordered to unload, so the engine receives no more requests for it.
    pub fn begin_unload(&mut self, key: UpstreamKey, model: ModelKey) {
        if let Some(engine) = self.listed.get_mut(&key) {
            engine.unloading = Some(model);
        }
    }

    /// Records that a model was loaded.
    pub fn add_model(&mut self, key: UpstreamKey, model: ModelKey) {
        if let Some(engine) = self.listed.get_mut(&key) {
            engine.misses.swap_remove(&(model, None));
            engine.models.entry(model).or_default();
        }
    }

    /// Returns an engine by key.
    pub fn get(&self, key: UpstreamKey) -> Option<&Engine> {
        self.listed.get(&key)
    }

    /// Iterates over all engines.
    pub fn iter(&self) -> impl Iterator<Item = (UpstreamKey, &Engine)> {
        self.listed.iter().map(|(&key, engine)| (key, engine))
    }

    /// Returns the keys of all engines by the fingerprints of their identities.
    pub fn by_fingerprint(&self) -> IndexMap<u32, UpstreamKey> {
        self.iter().map(|(key, engine)| (fingerprint(&engine.id), key)).collect()
    }

    /// Returns the number of engines.
    pub fn len(&self) -> usize {
        self.listed.len()
    }

    /// Returns the number of engines that are listed or remembered after their removal.
    pub fn entry_count(&self) -> usize {
        let removed = self.tombstones.keys().filter(|key| !self.listed.contains_key(*key));
        self.listed.len() + removed.count()
    }

    /// Returns whether there are no engines.
    pub fn is_empty(&self) -> bool {
        self.listed.is_empty()
    }

    /// Returns whether a process of an engine may receive new requests and orders.
    pub fn accepts(&self, key: UpstreamKey, process: Process, now: Tick) -> bool {
        let engine = self.listed.get(&key).filter(|engine| engine.process().may_be(&process));
        engine.is_some_and(|engine| engine.accepts(now) && !self.is_drained(engine.zone))
    }

    /// Returns the engines of a service that may receive new requests once their pause is over, with
    /// the time until then.
    pub fn paused(&self, service: &str, now: Tick) -> Vec<(UpstreamKey, Duration)> {
        let staying = self.staying(service).map(|(key, engine)| (key, engine.pause_left(now)));
        staying.filter(|(_, left)| !left.is_zero()).collect()
    }

    /// Iterates over the engines of a service that neither leave nor are in a drained zone.
    fn staying<'a>(&'a self, service: &'a str) -> impl Iterator<Item = (UpstreamKey, &'a Engine)> {
        self.iter().filter(move |(_, engine)| {
            engine.service == service && !engine.is_leaving() && !self.is_drained(engine.zone)
        })
    }

    /// Returns whether an engine of a release may receive new requests, if only after a pause.
    pub fn has_release(&self, service: &str, release: Release) -> bool {
        self.staying(service).any(|(_, engine)| engine.release == release)
    }

    /// Returns the engines of a service that may receive new requests. Engines that failed recently
    /// are included only if there are no others.
    pub fn usable(&self, service: &str, now: Tick) -> Vec<UpstreamKey> {
        self.usable_where(service, |_| true, now)
    }

    /// Returns the engines of a service that satisfy `permits` and may receive new requests. Those that
    /// failed recently are included only if there are no others.
    pub fn usable_where(
        &self,
        service: &str,
        permits: impl Fn(&Engine) -> bool,
        now: Tick,
    ) -> Vec<UpstreamKey> {
        let accepting =
            self.staying(service).filter(|(_, engine)| engine.accepts(now) && permits(engine));
        let (healthy, backing_off): (Vec<_>, Vec<_>) =
            accepting.partition(|(_, engine)| engine.backoff.until <= now);
        let chosen = if healthy.is_empty() { backing_off } else { healthy };
        chosen.into_iter().map(|(key, _)| key).collect()
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
            release: Release::new(&entry.service, &entry.software),
            id: entry.id,
            service: entry.service,
            address: entry.address,
            software: entry.software,
            slots: entry.slots,
            stage: entry.stage,
            warm_at: now + entry.cold,
            order_count: None,
            started_ms: entry.started_ms,
            models,
            in_memory,
            on_disk,
            position: entry.position,
            misses: IndexSet::new(),
            unloading: None,
            lapsed_at: None,
            adapter_updates: IndexMap::new(),
            pending_adapters: IndexSet::new(),
            notice: None,
            backoff: FailureBackoff::default(),
        }
    }
}

impl Engine {
    /// Returns the engine's process.
    pub fn process(&self) -> Process {
        Process { address: self.address, started_ms: self.started_ms }
    }

    /// Returns what the engine's current process said in its responses.
    fn notice(&self) -> Option<Notice> {
        self.notice.filter(|notice| notice.process.may_be(&self.process()))
    }

    /// Returns whether the engine accepts no new requests because its entry or one of its responses
    /// says that it leaves.
    pub fn is_leaving(&self) -> bool {
        self.stage == Stage::Draining || self.notice().is_some_and(|notice| notice.is_leaving)
    }

    /// Returns for how long the engine gets nothing from this daemon because it asked for a pause.
    pub fn pause_left(&self, now: Tick) -> Duration {
        self.notice().map_or(Duration::ZERO, |notice| notice.paused_until.since(now))
    }

    /// Returns whether the engine neither leaves nor asked for a pause that isn't over.
    pub fn accepts(&self, now: Tick) -> bool {
        !self.is_leaving() && self.pause_left(now).is_zero()
    }

    /// Returns whether the engine can serve a model, and the adapter if one is given.
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

    /// Returns whether both states hold the same models.
    fn holds_same_models(&self, other: &Engine) -> bool {
        let same = |model| other.models.contains_key(model);
        self.models.len() == other.models.len() && self.models.keys().all(same)
    }

    /// Returns whether a model or adapter of the old state is missing without an order to unload
    /// it.
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

    /// Returns how many adapter slots a model occupies, including adapters that are being loaded.
    pub fn adapters(&self, model: ModelKey) -> usize {
        let held = self.models.get(&model);
        let is_held = |adapter| held.is_some_and(|held| held.contains(adapter));
        let pending_adapters = self.pending_adapters.iter();
        let pending_adapters =
            pending_adapters.filter(|(of, adapter)| *of == model && !is_held(adapter));
        held.map_or(0, IndexSet::len) + pending_adapters.count()
    }

    /// Returns whether the weights of a model are cached in the engine's memory or on its disk.
    pub fn has_nearby(&self, model: ModelKey) -> bool {
        self.in_memory.contains(&model) || self.on_disk.contains(&model)
    }

    /// Returns whether the engine is still in its cold period.
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

    /// Removes pending adapters that were loaded or whose model was unloaded.
    fn prune_pending_adapters(&mut self) {
        let models = &self.models;
        self.pending_adapters.retain(|(model, adapter)| {
            models.get(model).is_some_and(|held| !held.contains(adapter))
        });
    }
}
