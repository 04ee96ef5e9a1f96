//! What is loaded where: the plan of the daemon that holds the lease on orders.
//!
//! A model that somebody waits for and no engine holds is loaded where that costs least: the time
//! of the load, which depends on where the weights lie, and what is lost with the models that make
//! way. An engine carries out one order on models at a time; what it holds is known from its entry
//! or its report only, so a change of holder loses nothing. Each order names the count of orders
//! before it, so that one which arrives late is refused.

use std::cmp::Reverse;
use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::keys::AdapterKey;
use crate::keys::ModelKey;
use crate::keys::UpstreamKey;
use crate::serving::demand::Demand;
use crate::serving::demand::DemandRate;
use crate::serving::demand::WAITING_TTL;
use crate::serving::desired::EngineSpec;
use crate::serving::desired::ModelSpec;
use crate::serving::engines::Engine;
use crate::serving::engines::Engines;
use crate::time::Tick;

/// Part of a model's loss that counts where enough other engines hold it.
const SPARE_REPLICA_WEIGHT: f64 = 0.05;
/// Longest load, in seconds, by which another copy is made.
const MAX_REPLICA_LOAD_S: f64 = 1.0;
/// Seconds of waiting that another copy of a busy model may cost others.
const MAX_REPLICA_EVICTION_S: f64 = 0.4;
/// Loads from the weight store that run at full speed at once; more slow each other down.
const MAX_REMOTE_LOADS: usize = 4;
/// Loads that the weight store's allowance may save up.
const REMOTE_PERMIT_BURST: f64 = 3.0;
/// Part of the weight store's rate that is used.
const REMOTE_RATE_FRACTION: f64 = 0.95;
/// Time after which an order that shows no effect is looked into.
const INSPECT_AFTER: Duration = Duration::from_millis(1_500);
/// Time by which a report may lag behind what the engine did.
const REPORT_LAG: Duration = Duration::from_millis(250);
/// Seconds that an unload takes where nothing runs.
const UNLOAD_S: f64 = 0.05;
/// Time for which a model isn't made to give way after it was loaded, so that engines don't swap
/// the same two models back and forth while requests wait for both.
const MIN_RESIDENCE: Duration = Duration::from_millis(1_000);

/// What an engine is told to do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Op {
    /// Load a model.
    Load(ModelKey),
    /// Unload a model.
    Unload(ModelKey),
    /// Load an adapter of a model that is held.
    LoadAdapter(ModelKey, AdapterKey),
    /// Unload an adapter.
    UnloadAdapter(ModelKey, AdapterKey),
}

/// An order for an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Order {
    /// The engine.
    pub engine: UpstreamKey,
    /// What it is told to do.
    pub op: Op,
    /// Orders that it must have accepted before.
    pub expected: u64,
}

/// What an engine answered to an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Answer {
    /// It carries the order out.
    Accepted,
    /// The order holds already.
    Holds,
    /// Another order is under way, or the count of orders differs.
    Busy,
    /// A newer holder gave it orders.
    Fenced,
    /// The order makes no sense to it, or another engine has its address.
    Rejected,
    /// No answer: it may carry the order out later.
    Unanswered,
}

/// Something for the driver to do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// Send an order.
    Send(Order),
    /// Ask the engine what it holds.
    Inspect(UpstreamKey),
}

/// What is known of an engine's current order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    /// An order was sent and not answered yet.
    Sent,
    /// An order is carried out; it shows in the engine's entry.
    Executing,
    /// What the engine holds must be asked.
    Uncertain,
    /// It is being asked.
    Inspecting,
}

/// An engine's current order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct PendingOrder {
    phase: Phase,
    /// The order, where there is one.
    op: Option<Op>,
    /// When the engine is to be asked about it.
    inspect_at: Tick,
    /// Whether it loads from the weight store.
    remote: bool,
}

impl PendingOrder {
    fn uncertain(inspect_at: Tick) -> Self {
        PendingOrder { phase: Phase::Uncertain, op: None, inspect_at, remote: false }
    }
}

/// A load that could be ordered, and what it costs in seconds of waiting.
#[derive(Clone, Debug)]
struct LoadCandidate {
    engine: UpstreamKey,
    victims: Vec<ModelKey>,
    remote: bool,
    cost: f64,
}

/// The plan for all engines.
#[derive(Clone, Debug, Default)]
pub struct Planner {
    demand: IndexMap<ModelKey, Demand>,
    adapter_requests: IndexMap<AdapterKey, (ModelKey, Tick)>,
    adapter_uses: IndexMap<(UpstreamKey, AdapterKey), Tick>,
    loaded_at: IndexMap<(UpstreamKey, ModelKey), Tick>,
    pending: IndexMap<UpstreamKey, PendingOrder>,
    /// Loads that wait until an engine has room, with what they are for.
    deferred: IndexMap<UpstreamKey, ModelKey>,
    running: IndexMap<(UpstreamKey, ModelKey), u32>,
    remote_permits: f64,
    refilled_at: Tick,
}

impl Planner {
    /// Counts requests for a model, and the tokens that engines have to read for them.
    pub fn record_arrivals(&mut self, model: ModelKey, count: u64, tokens: u64, now: Tick) {
        self.demand.entry(model).or_default().record(count, tokens, now);
    }

    /// A daemon says how often it was asked for a model lately.
    pub fn record_peer_demand(
        &mut self,
        daemon: &str,
        incarnation: u64,
        model: ModelKey,
        rate: DemandRate,
        now: Tick,
    ) {
        self.demand.entry(model).or_default().record_peer(daemon, incarnation, rate, now);
    }

    /// A daemon says how many requests wait there for a model that no engine holds.
    pub fn record_waiting(&mut self, daemon: &str, model: ModelKey, count: u32, now: Tick) {
        self.demand.entry(model).or_default().record_waiting(daemon, count, now);
    }

    /// A daemon has a request that needs an adapter.
    pub fn request_adapter(&mut self, model: ModelKey, adapter: AdapterKey, now: Tick) {
        self.adapter_requests.insert(adapter, (model, now));
    }

    /// Tells what runs at an engine for a model, so that models in use are spared.
    pub fn set_running(&mut self, engine: UpstreamKey, model: ModelKey, count: u32) {
        self.running.insert((engine, model), count);
    }

    /// Forgets all work, for a daemon that begins to hold the lease: what engines do is asked.
    pub fn begin_term(&mut self, engines: &Engines, now: Tick) {
        self.deferred.clear();
        self.pending.clear();
        for (key, _) in engines.iter() {
            self.pending.insert(key, PendingOrder::uncertain(now));
        }
    }

    /// An engine answered an order.
    pub fn handle_answer(
        &mut self,
        order: Order,
        answer: Answer,
        spec: &EngineSpec,
        engines: &mut Engines,
        now: Tick,
    ) {
        let key = order.engine;
        match answer {
            Answer::Accepted => {
                engines.record_accepted_order(key);
                self.handle_accepted(order, spec, engines, now);
            }
            Answer::Holds => {
                // An adapter that nobody uses goes at once, and its order counts all the same.
                if matches!(order.op, Op::UnloadAdapter(..)) {
                    engines.record_accepted_order(key);
                }
                self.pending.shift_remove(&key);
                apply(order, engines, now);
            }
            Answer::Busy | Answer::Unanswered | Answer::Rejected | Answer::Fenced => {
                self.pending.insert(key, PendingOrder::uncertain(now + REPORT_LAG));
            }
        }
    }

    /// An engine said what it holds, which the view of the engines shows already.
    pub fn handle_inspection(&mut self, engine: UpstreamKey, busy: bool, now: Tick) {
        if !busy {
            self.pending.shift_remove(&engine);
            return;
        }
        let pending = self.pending.entry(engine).or_insert(PendingOrder::uncertain(now));
        pending.inspect_at = now + INSPECT_AFTER;
        pending.phase = if pending.op.is_some() { Phase::Executing } else { Phase::Uncertain };
    }

    /// An engine couldn't be asked.
    pub fn handle_inspection_failure(&mut self, engine: UpstreamKey, now: Tick) {
        let pending = self.pending.entry(engine).or_insert(PendingOrder::uncertain(now));
        pending.inspect_at = now + INSPECT_AFTER;
        pending.phase = Phase::Uncertain;
    }

    /// What to order now, for the engines of one service.
    pub fn plan(
        &mut self,
        service: &str,
        spec: &EngineSpec,
        engines: &Engines,
        now: Tick,
    ) -> Vec<Action> {
        self.refill_permits(spec, now);
        let mut actions = Vec::new();
        let usable = engines.usable(service, now);
        for &key in &usable {
            // Nothing is ordered before it is known what the engine has accepted.
            let unknown = engines.get(key).is_some_and(|engine| engine.order_count.is_none());
            if unknown && !self.pending.contains_key(&key) {
                self.pending.insert(key, PendingOrder::uncertain(now));
            }
        }
        self.reconcile(engines, now, &mut actions);
        self.resume_deferred(spec, engines, now, &mut actions);
        for model in self.missing_models(&usable, spec, engines, now) {
            let Some(candidate) = self.cheapest_load(&usable, spec, engines, model, now) else {
                continue;
            };
            self.issue_order(candidate, model, engines, now, &mut actions);
        }
        for model in self.overloaded_models(&usable, spec, engines, now) {
            let Some(candidate) = self.cheapest_load(&usable, spec, engines, model, now) else {
                continue;
            };
            if !candidate.remote && candidate.cost < MAX_REPLICA_EVICTION_S + MAX_REPLICA_LOAD_S {
                self.issue_order(candidate, model, engines, now, &mut actions);
            }
        }
        self.plan_adapters(&usable, spec, engines, now, &mut actions);
        actions
    }

    fn handle_accepted(
        &mut self,
        order: Order,
        spec: &EngineSpec,
        engines: &mut Engines,
        now: Tick,
    ) {
        let (time, remote) = match order.op {
            Op::Load(model) => {
                self.loaded_at.insert((order.engine, model), now);
                let model_spec = spec.models.get(engines.names.models.name(model));
                let engine = engines.get(order.engine);
                let estimate = model_spec
                    .zip(engine)
                    .map(|(model_spec, engine)| load_time(model_spec, engine, model));
                estimate.unwrap_or((Duration::ZERO, false))
            }
            Op::Unload(model) => {
                engines.begin_unload(order.engine, model);
                (Duration::ZERO, false)
            }
            Op::LoadAdapter(..) => {
                self.pending.shift_remove(&order.engine);
                apply(order, engines, now);
                return;
            }
            Op::UnloadAdapter(..) => {
                // It is in use, and keeps its place until the engine says that it is gone.
                self.pending.insert(order.engine, PendingOrder::uncertain(now + REPORT_LAG));
                return;
            }
        };
        let inspect_at = now + time + INSPECT_AFTER;
        let pending =
            PendingOrder { phase: Phase::Executing, op: Some(order.op), inspect_at, remote };
        self.pending.insert(order.engine, pending);
    }

    /// Ends work that shows its effect, and looks into work that doesn't in time.
    fn reconcile(&mut self, engines: &Engines, now: Tick, actions: &mut Vec<Action>) {
        self.pending.retain(|key, pending| {
            let Some(engine) = engines.get(*key) else { return false };
            let took_effect = match (pending.phase, pending.op) {
                (Phase::Executing, Some(Op::Load(model))) => engine.holds(model, None),
                (Phase::Executing, Some(Op::Unload(model))) => !engine.models.contains_key(&model),
                _ => false,
            };
            if took_effect {
                return false;
            }
            if matches!(pending.phase, Phase::Executing | Phase::Uncertain)
                && now >= pending.inspect_at
            {
                pending.phase = Phase::Inspecting;
                actions.push(Action::Inspect(*key));
            }
            true
        });
    }

    /// Goes on with loads that wait for room.
    fn resume_deferred(
        &mut self,
        spec: &EngineSpec,
        engines: &Engines,
        now: Tick,
        actions: &mut Vec<Action>,
    ) {
        let free: Vec<(UpstreamKey, ModelKey)> = self
            .deferred
            .iter()
            .filter(|(key, _)| !self.pending.contains_key(*key))
            .map(|(&key, &model)| (key, model))
            .collect();
        for (key, model) in free {
            self.deferred.shift_remove(&key);
            let Some(engine) = engines.get(key) else { continue };
            let Some(candidate) = self.load_candidate(spec, engines, key, engine, model, now)
            else {
                continue;
            };
            if self.demand.get(&model).is_some_and(|demand| demand.waiting(now) > 0) {
                self.issue_order(candidate, model, engines, now, actions);
            }
        }
    }

    /// Models that requests wait for and no engine holds or is about to hold, most waited for
    /// first.
    fn missing_models(
        &self,
        usable: &[UpstreamKey],
        spec: &EngineSpec,
        engines: &Engines,
        now: Tick,
    ) -> Vec<ModelKey> {
        let usable: Vec<&Engine> = usable.iter().filter_map(|key| engines.get(*key)).collect();
        let loading: IndexSet<ModelKey> = self.loading_models().collect();
        let is_missing = |model: &ModelKey| {
            let known = spec.models.contains_key(engines.names.models.name(*model));
            let held = usable.iter().any(|engine| engine.holds(*model, None));
            known && !held && !loading.contains(model)
        };
        let waiting = self.demand.iter().map(|(&model, demand)| (model, demand.waiting(now)));
        let mut wanted: Vec<(ModelKey, u32)> =
            waiting.filter(|(model, count)| *count > 0 && is_missing(model)).collect();
        wanted.sort_by_key(|&(_, count)| Reverse(count));
        wanted.into_iter().map(|(model, _)| model).collect()
    }

    /// Models whose engines have more to read than they should, the busiest first.
    fn overloaded_models(
        &self,
        usable: &[UpstreamKey],
        spec: &EngineSpec,
        engines: &Engines,
        now: Tick,
    ) -> Vec<ModelKey> {
        let mut overloaded: Vec<(ModelKey, usize)> = Vec::new();
        for (&model, demand) in &self.demand {
            if !spec.models.contains_key(engines.names.models.name(model)) {
                continue;
            }
            let held = usable.iter().filter_map(|key| engines.get(*key));
            let held = held.filter(|engine| engine.holds(model, None)).count();
            let loading = self.loading_models().filter(|other| *other == model).count();
            let missing =
                demand.target_replicas(now).min(usable.len()).saturating_sub(held + loading);
            if held > 0 && missing > 0 {
                overloaded.push((model, missing));
            }
        }
        overloaded.sort_by_key(|&(_, missing)| Reverse(missing));
        overloaded.into_iter().map(|(model, _)| model).collect()
    }

    /// Models that a load is under way for.
    fn loading_models(&self) -> impl Iterator<Item = ModelKey> + '_ {
        let executing = self.pending.values().filter_map(|pending| match pending.op {
            Some(Op::Load(model)) => Some(model),
            _ => None,
        });
        executing.chain(self.deferred.values().copied())
    }

    /// The cheapest way to load a model.
    fn cheapest_load(
        &self,
        usable: &[UpstreamKey],
        spec: &EngineSpec,
        engines: &Engines,
        model: ModelKey,
        now: Tick,
    ) -> Option<LoadCandidate> {
        let free = usable
            .iter()
            .filter(|key| !self.pending.contains_key(*key) && !self.deferred.contains_key(*key));
        let candidates = free.filter_map(|&key| {
            let engine = engines.get(key).filter(|engine| !engine.models.contains_key(&model))?;
            self.load_candidate(spec, engines, key, engine, model, now)
        });
        candidates.min_by(|a, b| a.cost.total_cmp(&b.cost))
    }

    /// What a load at one engine takes, or `None` where it isn't possible now.
    fn load_candidate(
        &self,
        spec: &EngineSpec,
        engines: &Engines,
        key: UpstreamKey,
        engine: &Engine,
        model: ModelKey,
        now: Tick,
    ) -> Option<LoadCandidate> {
        let model_spec = spec.models.get(engines.names.models.name(model))?;
        let (time, remote) = load_time(model_spec, engine, model);
        if remote && !self.may_load_remote() {
            return None;
        }
        let mut free_mb = spec.memory_mb - used_mb(spec, engines, engine);
        let mut victims: Vec<(ModelKey, f64)> = engine
            .models
            .keys()
            .filter(|held| **held != model)
            .map(|&held| (held, self.eviction_cost(spec, engines, key, held, now)))
            .collect();
        victims.sort_by(|a, b| a.1.total_cmp(&b.1));
        let mut cost = time.as_secs_f64();
        let mut evicted = Vec::new();
        for (victim, eviction_cost) in victims {
            if free_mb >= model_spec.size_mb {
                break;
            }
            let name = engines.names.models.name(victim);
            let Some(held) = spec.models.get(name) else { continue };
            if !eviction_cost.is_finite() {
                continue;
            }
            free_mb += held.size_mb + adapters_mb(spec, engines, engine, victim);
            cost += eviction_cost + UNLOAD_S;
            evicted.push(victim);
        }
        if free_mb < model_spec.size_mb {
            return None;
        }
        Some(LoadCandidate { engine: key, victims: evicted, remote, cost })
    }

    /// Seconds of waiting to be expected once an engine drops a model.
    fn eviction_cost(
        &self,
        spec: &EngineSpec,
        engines: &Engines,
        key: UpstreamKey,
        model: ModelKey,
        now: Tick,
    ) -> f64 {
        if self.loaded_at.get(&(key, model)).is_some_and(|at| now.since(*at) < MIN_RESIDENCE) {
            return f64::INFINITY;
        }
        let Some(model_spec) = spec.models.get(engines.names.models.name(model)) else {
            return 0.0;
        };
        let demand = self.demand.get(&model);
        let expected_requests = demand.map_or(0.0, |demand| demand.expected_requests(now));
        let others = engines
            .iter()
            .filter(|(other, engine)| *other != key && engine.holds(model, None))
            .count();
        let reload = model_spec.times.disk.as_secs_f64();
        let running = self.running.get(&(key, model)).copied().unwrap_or(0);
        // An unload waits until what runs has ended, and holds the engine's next order up.
        let drain = if running > 0 { 0.5 + 0.1 * f64::from(running) } else { 0.0 };
        let replicas = demand.map_or(1, |demand| demand.target_replicas(now));
        let weight =
            if others >= replicas { SPARE_REPLICA_WEIGHT } else { 1.0 / (1 + others) as f64 };
        expected_requests * reload * weight + drain
    }

    fn issue_order(
        &mut self,
        candidate: LoadCandidate,
        model: ModelKey,
        engines: &Engines,
        now: Tick,
        actions: &mut Vec<Action>,
    ) {
        let accepted = engines.get(candidate.engine).and_then(|engine| engine.order_count);
        let Some(expected) = accepted else { return };
        let op = match candidate.victims.first() {
            Some(&victim) => {
                self.deferred.insert(candidate.engine, model);
                Op::Unload(victim)
            }
            None => {
                if candidate.remote {
                    self.remote_permits -= 1.0;
                }
                Op::Load(model)
            }
        };
        let pending = PendingOrder {
            phase: Phase::Sent,
            op: Some(op),
            inspect_at: now,
            remote: candidate.remote,
        };
        self.pending.insert(candidate.engine, pending);
        actions.push(Action::Send(Order { engine: candidate.engine, op, expected }));
    }

    /// Adapters that requests wait for, one order an engine.
    fn plan_adapters(
        &mut self,
        usable: &[UpstreamKey],
        spec: &EngineSpec,
        engines: &Engines,
        now: Tick,
        actions: &mut Vec<Action>,
    ) {
        self.adapter_requests.retain(|_, (_, at)| now.since(*at) < WAITING_TTL);
        let wanted: Vec<(AdapterKey, ModelKey)> =
            self.adapter_requests.iter().map(|(&adapter, &(model, _))| (adapter, model)).collect();
        for (adapter, model) in wanted {
            let holders: Vec<(UpstreamKey, &Engine)> = usable
                .iter()
                .filter_map(|&key| Some((key, engines.get(key)?)))
                .filter(|(_, engine)| engine.holds(model, None))
                .collect();
            if holders.iter().any(|(_, engine)| engine.holds(model, Some(adapter))) {
                self.adapter_requests.shift_remove(&adapter);
                continue;
            }
            // An engine that carries out an order on a model refuses any other.
            let free = holders.into_iter().filter(|(key, _)| !self.pending.contains_key(key));
            let Some((key, engine)) = free.min_by_key(|(_, engine)| adapters_held(engine)) else {
                continue;
            };
            let Some(expected) = engine.order_count else { continue };
            let full = adapters_held(engine) >= spec.adapter_slots as usize;
            let op = if full {
                let Some((model, oldest)) = self.oldest_adapter(key, engine) else { continue };
                Op::UnloadAdapter(model, oldest)
            } else {
                self.adapter_requests.shift_remove(&adapter);
                Op::LoadAdapter(model, adapter)
            };
            let pending =
                PendingOrder { phase: Phase::Sent, op: Some(op), inspect_at: now, remote: false };
            self.pending.insert(key, pending);
            actions.push(Action::Send(Order { engine: key, op, expected }));
        }
    }

    /// Records that a request used an adapter at an engine.
    pub fn record_adapter_use(&mut self, engine: UpstreamKey, adapter: AdapterKey, now: Tick) {
        self.adapter_uses.insert((engine, adapter), now);
    }

    /// The adapter of an engine that was used longest ago.
    fn oldest_adapter(&self, key: UpstreamKey, engine: &Engine) -> Option<(ModelKey, AdapterKey)> {
        let held = engine.models.iter();
        let held = held.flat_map(|(&model, adapters)| adapters.iter().map(move |&a| (model, a)));
        held.min_by_key(|&(_, adapter)| self.adapter_uses.get(&(key, adapter)).copied())
    }

    fn may_load_remote(&self) -> bool {
        let loading = self.pending.values().filter(|pending| pending.remote);
        self.remote_permits >= 1.0 && loading.count() < MAX_REMOTE_LOADS
    }

    fn refill_permits(&mut self, spec: &EngineSpec, now: Tick) {
        let gained =
            now.since(self.refilled_at).as_secs_f64() * spec.load_rate * REMOTE_RATE_FRACTION;
        self.remote_permits = (self.remote_permits + gained).min(REMOTE_PERMIT_BURST);
        self.refilled_at = now;
    }
}

/// Carries the effect of an order that is known to hold into the view of the engines.
fn apply(order: Order, engines: &mut Engines, now: Tick) {
    match order.op {
        Op::Load(model) => engines.add_model(order.engine, model),
        Op::Unload(model) => engines.remove_model(order.engine, model),
        Op::LoadAdapter(model, adapter) => {
            engines.set_adapter(order.engine, model, adapter, true, now)
        }
        Op::UnloadAdapter(model, adapter) => {
            engines.set_adapter(order.engine, model, adapter, false, now)
        }
    }
}

/// How long a load takes at an engine, and whether it is one from the weight store.
fn load_time(model_spec: &ModelSpec, engine: &Engine, model: ModelKey) -> (Duration, bool) {
    if engine.in_memory.contains(&model) {
        (model_spec.times.memory, false)
    } else if engine.on_disk.contains(&model) {
        (model_spec.times.disk, false)
    } else {
        (model_spec.times.remote, true)
    }
}

fn adapters_held(engine: &Engine) -> usize {
    engine.models.keys().map(|&model| engine.adapters(model)).sum()
}

/// Accelerator memory that an engine's models and adapters take.
fn used_mb(spec: &EngineSpec, engines: &Engines, engine: &Engine) -> f64 {
    let held = engine.models.keys().map(|&model| {
        let model_spec = spec.models.get(engines.names.models.name(model));
        model_spec.map_or(0.0, |model_spec| model_spec.size_mb)
            + adapters_mb(spec, engines, engine, model)
    });
    held.sum()
}

fn adapters_mb(spec: &EngineSpec, engines: &Engines, engine: &Engine, model: ModelKey) -> f64 {
    let model_spec = spec.models.get(engines.names.models.name(model));
    model_spec.map_or(0.0, |model_spec| model_spec.adapter_mb * engine.adapters(model) as f64)
}
