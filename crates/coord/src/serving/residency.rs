//! Plans which models and adapters each engine loads. Only the daemon that holds the lease on
//! orders runs the plan.
//!
//! A model that has waiting requests and no replica is loaded on the engine where it costs the
//! least: the load time, which depends on where the weights are stored, plus the value that is
//! expected to be lost by evicting other models. That value counts requests whose callers can't
//! wait for a load more than others, so models with patient callers make way first. A load that
//! loses more than it gains is put off, and gains weight with the duration of the shortage. The
//! weight store loads few models at once, so it is used only for models that no engine can load from
//! its memory or disk within a short time. While no request waits for it, it also serves replicas of
//! models whose engines are overloaded, and spreads copies of weights that few engines have. An engine
//! executes one model order at a time. The
//! planner learns what an engine holds only from its entry or report, so a new lease holder needs
//! no state from the previous one. Each order carries the number of orders that the engine has
//! accepted before, so an engine refuses an order that arrives late.

use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::keys::AdapterKey;
use crate::keys::ModelKey;
use crate::keys::UpstreamKey;
use crate::serving::choice::PREFILL_RATE;
use crate::serving::demand::DecayingRate;
use crate::serving::demand::Demand;
use crate::serving::demand::DemandRate;
use crate::serving::demand::WAITING_TTL;
use crate::serving::desired::EngineSpec;
use crate::serving::desired::ModelSpec;
use crate::serving::engines::Engine;
use crate::serving::engines::Engines;
use crate::time::Tick;

/// Fraction of a model's eviction cost that counts when enough other engines hold the model.
const SPARE_REPLICA_WEIGHT: f64 = 0.05;
/// Fraction of a model's eviction cost that counts when enough other engines hold the model for its
/// present demand, but not for that of the last ten seconds.
const LATELY_NEEDED_WEIGHT: f64 = 0.2;
/// Cost of a replica on an engine that already prefills all the time for other models, in requests.
const PREFILL_LOAD_COST: f64 = 2.0;
/// Cost of a replica per request that its engine runs, in requests. Twelve of them cost as much as a
/// load from disk in place of one from host memory.
const RUNNING_COST: f64 = 0.05;
/// Least value of an additional replica, in requests.
const MIN_REPLICA_BENEFIT: f64 = 1.0;
/// Most concurrent loads from the weight store. More slow each other down on every store.
const MAX_REMOTE_LOADS: usize = 4;
/// Multiple of the stated time beyond which a load from the weight store shows that too many run at
/// once.
const LATE_LOAD_FACTOR: f64 = 1.25;
/// Most loads that begin together on an idle weight store although no request waits for them. One more
/// is left for missing models.
const SPARE_LOADS: usize = MAX_REMOTE_LOADS - 1;
/// Fraction of the weight store's rate limit for loads that no request waits for.
const SPARE_RATE_FRACTION: f64 = 1.0 / 3.0;
/// Most loads per second that no request waits for, so that the weight store is mostly free for models
/// that requests wait for.
const MAX_SPARE_RATE: f64 = 0.4;
/// Fewest requests that a replica from the weight store must help. The load keeps the store from a model
/// that requests wait for.
const MIN_REMOTE_GAIN: f64 = 2.0;
/// Fraction of the time of a load from the weight store for which demand has lasted when it is likely
/// to last for the load.
const LASTING_LOAD_FRACTION: f64 = 0.5;
/// Fraction of its slots that an overloaded engine uses.
const FULL_SLOTS: f64 = 0.9;
/// Time without overload after which a model's overload is over.
const OVERLOAD_TTL: Duration = Duration::from_secs(1);
/// Time constant of the number of models whose demand rose beyond the engines that have them nearby.
const SHIFT_DECAY: Duration = Duration::from_secs(120);
/// Interval between two searches for a model whose weights should be copied to another disk.
const COPY_INTERVAL: Duration = Duration::from_secs(1);
/// Least gain of a copy: requests per second of the model, times the shifts of demand in about two
/// minutes, divided by the engines that have it nearby. A model with a request in five seconds gets
/// four copies after a shift.
const MIN_COPY_GAIN: f64 = 0.05;
/// Models for which an engine is sought in one search.
const MAX_COPY_MODELS: usize = 8;
/// Most load permits that the weight store's rate limit accumulates.
const REMOTE_PERMIT_BURST: f64 = 3.0;
/// Fraction of the weight store's rate limit that the planner uses.
const REMOTE_RATE_FRACTION: f64 = 0.95;
/// Time beyond the expected load time after which an order without a visible effect makes the
/// planner inspect the engine.
const INSPECT_AFTER: Duration = Duration::from_millis(1_500);
/// Time by which a report may lag behind the engine's state.
const REPORT_LAG: Duration = Duration::from_millis(250);
/// Time that an eviction is expected to take, which includes the end of running requests.
const EVICTION_TIME: Duration = Duration::from_millis(500);
/// Seconds that an unload takes on an engine without running requests.
const UNLOAD_S: f64 = 0.05;
/// Longest time for which a load waits for an engine that has the model nearby but executes another
/// order.
const MAX_BUSY_WAIT: Duration = Duration::from_secs(2);
/// Time without a report after which an engine counts as dead for loads that could use another one.
const MAX_UNCERTAINTY: Duration = Duration::from_secs(1);
/// Duration of a shortage after which the value of loading the model has doubled.
const PATIENCE: Duration = Duration::from_secs(2);
/// Duration of a shortage from which on the value of loading the model grows with the square of the
/// time, so that it soon exceeds the loss by any eviction.
const MAX_SHORTAGE: Duration = Duration::from_secs(10);
/// Time without a waiting request after which a shortage is over. Requests that were refused in
/// between belong to the same shortage.
const SHORTAGE_TTL: Duration = Duration::from_secs(8);
/// Weight of an expected request for a model relative to a waiting one.
const EXPECTED_WEIGHT: f64 = 0.5;
/// Interval between two removals of entries that are no longer in use.
const PRUNE_INTERVAL: Duration = Duration::from_secs(10);
/// Time after a load during which a model isn't evicted. Without it, engines swap the same two
/// models back and forth while requests wait for both.
const MIN_RESIDENCE: Duration = Duration::from_millis(1_000);

/// Operation that an order asks an engine to perform.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Op {
    /// Load a model.
    Load(ModelKey),
    /// Unload a model.
    Unload(ModelKey),
    /// Load an adapter of a model that the engine holds.
    LoadAdapter(ModelKey, AdapterKey),
    /// Unload an adapter.
    UnloadAdapter(ModelKey, AdapterKey),
}

/// An order for an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Order {
    /// The engine.
    pub engine: UpstreamKey,
    /// Operation to perform.
    pub op: Op,
    /// Number of orders that the engine must have accepted before this one.
    pub expected: u64,
}

/// Response of an engine to an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Answer {
    /// The engine executes the order.
    Accepted,
    /// The engine's state already matches the order.
    Holds,
    /// Another order is in progress, or the number of accepted orders differs.
    Busy,
    /// The engine has accepted an order with a higher fencing token.
    Fenced,
    /// The order is invalid, or another engine has taken over the address.
    Rejected,
    /// The response is missing; the engine may still execute the order.
    Unanswered,
}

/// Action that the caller of the planner performs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// Send an order.
    Send(Order),
    /// Request a report from an engine.
    Inspect(UpstreamKey),
}

/// State of an engine's current order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    /// The order was sent, and its response is outstanding.
    Sent,
    /// The engine accepted the order; its entry will show the effect.
    Executing,
    /// The engine's state is unknown, so a report has to be requested.
    Uncertain,
    /// A report was requested.
    Inspecting,
}

/// Current order of an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct PendingOrder {
    phase: Phase,
    /// Operation of the order; `None` if it is unknown.
    op: Option<Op>,
    /// Time at which the order was sent or the engine's state became unknown.
    since: Tick,
    /// Time from which on the engine may be inspected.
    inspect_at: Tick,
    /// Whether the order loads from the weight store.
    remote: bool,
    /// Time from which on a load from the weight store is late. Only used after it was accepted.
    late_at: Tick,
    /// Purpose of the load that the order is part of, if this daemon ordered it.
    purpose: Option<Purpose>,
}

impl PendingOrder {
    fn uncertain(since: Tick, inspect_at: Tick) -> Self {
        let (phase, late_at) = (Phase::Uncertain, inspect_at);
        PendingOrder { phase, op: None, since, inspect_at, remote: false, late_at, purpose: None }
    }

    fn sent(op: Op, remote: bool, purpose: Option<Purpose>, now: Tick) -> Self {
        let (phase, op) = (Phase::Sent, Some(op));
        PendingOrder { phase, op, since: now, inspect_at: now, remote, late_at: now, purpose }
    }
}

/// Number of concurrent loads that the weight store bears, learned from load times.
#[derive(Clone, Copy, Debug)]
struct RemoteLimit {
    loads: usize,
    /// Time at which the limit was lowered last.
    lowered_at: Option<Tick>,
}

impl Default for RemoteLimit {
    fn default() -> Self {
        RemoteLimit { loads: MAX_REMOTE_LOADS, lowered_at: None }
    }
}

impl RemoteLimit {
    /// Records a load from the weight store that has ended or is late. Loads that began before the
    /// limit was lowered ran beside too many others, so they don't change it again.
    fn record(&mut self, load: &PendingOrder, now: Tick) {
        let is_load = load.remote && matches!(load.op, Some(Op::Load(_)));
        if !is_load || self.lowered_at.is_some_and(|at| load.since < at) {
            return;
        }
        if now < load.late_at {
            self.loads = (self.loads + 1).min(MAX_REMOTE_LOADS);
        } else {
            self.loads = (self.loads / 2).max(1);
            self.lowered_at = Some(now);
        }
    }
}

/// Purpose of a load.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Purpose {
    /// Requests wait for a model that no engine holds.
    Missing,
    /// The engines that hold the model are too few.
    Replica,
    /// The engines that hold the model are overloaded, and no other engine has it nearby.
    RemoteReplica,
    /// Few engines have the model nearby, in case that demand moves to it.
    Copy,
}

/// Why a load was ordered, with what was known of the model.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadReason {
    /// What the load is for.
    pub purpose: Purpose,
    /// Whether it reads from the weight store.
    pub is_remote: bool,
    /// Engines that hold the model.
    pub holders: usize,
    /// Engines that load it or will do so after an eviction, with this one.
    pub loading: usize,
    /// Engines that should hold it.
    pub replicas: usize,
    /// Requests per second for the model.
    pub request_rate: f64,
    /// Time for which its holders have been overloaded while no other engine has it nearby.
    pub overloaded: Duration,
    /// Concurrent loads that the weight store is expected to bear.
    pub remote_limit: usize,
}

/// A load to find an engine for.
#[derive(Clone, Copy, Debug)]
struct Goal {
    model: ModelKey,
    purpose: Purpose,
    /// Most value, in requests, that evictions may lose.
    max_loss: f64,
}

/// A possible load, with the evictions that it requires.
#[derive(Clone, Debug)]
struct LoadCandidate {
    engine: UpstreamKey,
    victims: Vec<ModelKey>,
    remote: bool,
    /// Value that the evictions lose, in requests.
    loss: f64,
    /// Time until the model is loaded, in seconds.
    time: f64,
    /// Cost of the engine's load from other models, in requests.
    load: f64,
    purpose: Purpose,
}

impl LoadCandidate {
    /// Returns the cost by which candidates are compared. A second of waiting costs as much as a
    /// lost request.
    fn cost(&self) -> f64 {
        self.loss + self.time + self.load
    }
}

/// Period in which a condition was observed again and again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Period {
    since: Tick,
    /// Time at which the condition was observed last.
    last: Tick,
}

/// Load that waits for an eviction on its engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct DeferredLoad {
    model: ModelKey,
    /// Whether the load will read from the weight store.
    remote: bool,
    purpose: Purpose,
}

/// Plans the orders for all engines.
#[derive(Clone, Debug, Default)]
pub struct Planner {
    demand: IndexMap<ModelKey, Demand>,
    adapter_requests: IndexMap<AdapterKey, (ModelKey, Tick)>,
    adapter_uses: IndexMap<(UpstreamKey, AdapterKey), Tick>,
    /// Times until which models aren't evicted.
    kept_until: IndexMap<(UpstreamKey, ModelKey), Tick>,
    /// Models that usable engines hold or requests ask for, as of the current plan.
    residents: IndexMap<ModelKey, Resident>,
    /// Costs of replicas by the load of their engines, as of the current plan. Empty if no model
    /// needs a replica.
    load_costs: IndexMap<UpstreamKey, f64>,
    pending: IndexMap<UpstreamKey, PendingOrder>,
    /// Models that requests waited for recently although no engine held them.
    shortages: IndexMap<ModelKey, Period>,
    /// Loads that wait for an eviction on their engine.
    deferred: IndexMap<UpstreamKey, DeferredLoad>,
    running: IndexMap<(UpstreamKey, ModelKey), u32>,
    /// Engines that name a limit on requests.
    limited: IndexSet<UpstreamKey>,
    /// Models whose holders are overloaded while no other engine has them nearby.
    overloads: IndexMap<ModelKey, Period>,
    /// Rate of the overloads' beginnings, over [`SHIFT_DECAY`].
    shifts: DecayingRate,
    remote_limit: RemoteLimit,
    remote_permits: f64,
    /// Permits for loads from the weight store that no request waits for.
    spare_permits: f64,
    refilled_at: Tick,
    pruned_at: Tick,
    /// Time of the last search for a model whose weights should be copied.
    copies_at: Tick,
}

/// Value of a model that usable engines hold or requests ask for.
#[derive(Clone, Copy, Debug, Default)]
struct Resident {
    /// Number of engines that hold the model and accept requests for it.
    holders: usize,
    /// Number of engines that load it or will do so after an eviction.
    loading: usize,
    /// Number of engines that should hold it.
    replicas: usize,
    /// Number of engines that needed to hold it in the last seconds.
    lasting: usize,
    /// Whether requests wait for it or are likely.
    is_asked: bool,
    /// Value, in requests, that is lost if no engine holds it.
    loss: f64,
}

impl Planner {
    /// Records a request for a model, with the latency that its caller expects and the number of
    /// prompt tokens to prefill for it.
    pub fn record_arrival(&mut self, model: ModelKey, target: Duration, tokens: u64, now: Tick) {
        self.demand.entry(model).or_default().record(target, tokens, now);
    }

    /// Records the demand for a model as reported by another daemon.
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

    /// Records how many requests wait at a daemon for a model that no engine holds.
    pub fn record_waiting(&mut self, daemon: &str, model: ModelKey, count: u32, now: Tick) {
        self.demand.entry(model).or_default().record_waiting(daemon, count, now);
    }

    /// Returns the prompt tokens to prefill per second and the number of models asked for, over the
    /// models that `includes` names.
    pub fn total_demand(&self, includes: impl Fn(ModelKey) -> bool, now: Tick) -> (f64, u32) {
        let included = self.demand.iter().filter(|(model, _)| includes(**model));
        included.fold((0.0, 0), |(tokens, models), (_, demand)| {
            let is_asked = u32::from(demand.is_asked(now));
            (tokens + demand.busy_engines(now) * PREFILL_RATE * 1e3, models + is_asked)
        })
    }

    /// Returns whether a single engine holds a model that requests ask for, as of the latest plan.
    pub fn is_sole(&self, model: ModelKey) -> bool {
        self.residents
            .get(&model)
            .is_some_and(|resident| resident.holders == 1 && resident.is_asked)
    }

    /// Records that a request waits for an adapter.
    pub fn request_adapter(&mut self, model: ModelKey, adapter: AdapterKey, now: Tick) {
        self.adapter_requests.insert(adapter, (model, now));
    }

    /// Sets the numbers of requests that engines run for models. They raise the loss by evictions.
    pub fn set_running(&mut self, running: IndexMap<(UpstreamKey, ModelKey), u32>) {
        self.running = running;
    }

    /// Sets the engines that name a limit on requests. They receive no further models, and what only
    /// they hold is loaded elsewhere when requests wait for it.
    pub fn set_limited(&mut self, limited: IndexSet<UpstreamKey>) {
        self.limited = limited;
    }

    /// Returns the number of entries that the planner keeps about models, adapters and daemons.
    pub fn entry_count(&self) -> usize {
        let demand: usize = self.demand.values().map(Demand::entry_count).sum();
        demand + self.adapter_uses.len() + self.kept_until.len() + self.shortages.len()
    }

    /// Drops entries of models, adapters, engines and daemons that are no longer in use.
    fn prune(&mut self, engines: &Engines, now: Tick) {
        self.kept_until.retain(|_, until| now < *until);
        if now.since(self.pruned_at) < PRUNE_INTERVAL {
            return;
        }
        self.pruned_at = now;
        self.adapter_uses.retain(|(engine, _), _| engines.get(*engine).is_some());
        self.demand.retain(|_, demand| demand.prune(now));
    }

    /// Determines the value of each model that usable engines hold or requests ask for.
    fn count_residents(&mut self, usable: &[UpstreamKey], engines: &Engines, now: Tick) {
        self.residents.clear();
        for (key, engine) in usable.iter().filter_map(|key| Some((*key, engines.get(*key)?))) {
            // An unload that was sent counts before the engine's answer does.
            let unload = self.pending.get(&key).and_then(|pending| pending.op);
            let holds =
                |model: &ModelKey| engine.holds(*model, None) && unload != Some(Op::Unload(*model));
            for &model in engine.models.keys().filter(|model| holds(model)) {
                self.residents.entry(model).or_default().holders += 1;
            }
        }
        let loading: Vec<ModelKey> = self.loading_models().collect();
        for model in loading {
            self.residents.entry(model).or_default().loading += 1;
        }
        for (model, resident) in &mut self.residents {
            resident.replicas = 1;
            resident.lasting = 1;
            let Some(demand) = self.demand.get(model) else { continue };
            resident.replicas = demand.target_replicas(now);
            resident.lasting = demand.lasting_replicas(now);
            resident.is_asked = demand.is_asked(now);
            resident.loss = demand.reload_loss(now);
        }
    }

    /// Determines what a replica costs on each engine because of the engine's load: the prompts that
    /// it is expected to prefill, and the requests that it runs.
    fn count_loads(&mut self, usable: &[UpstreamKey], engines: &Engines, now: Tick) {
        self.load_costs.clear();
        for (&(engine, _), &running) in &self.running {
            *self.load_costs.entry(engine).or_default() += RUNNING_COST * f64::from(running);
        }
        let prefill_cost = |model: ModelKey| {
            let resident = self.residents.get(&model).copied().unwrap_or_default();
            let busy = self.demand.get(&model).map_or(0.0, |demand| demand.busy_engines(now));
            PREFILL_LOAD_COST * busy / (resident.holders + resident.loading).max(1) as f64
        };
        let costs: IndexMap<ModelKey, f64> =
            self.residents.keys().map(|&model| (model, prefill_cost(model))).collect();
        let cost_of = |model: &ModelKey| costs.get(model).copied().unwrap_or_default();
        for (&key, engine) in usable.iter().filter_map(|key| Some((key, engines.get(*key)?))) {
            let held = engine.models.keys().filter(|model| engine.holds(**model, None));
            let deferred = self.deferred.get(&key).map(|deferred| deferred.model);
            let loading = match self.pending.get(&key).and_then(|pending| pending.op) {
                Some(Op::Load(model)) => Some(model),
                _ => deferred,
            };
            let cost: f64 = held.chain(&loading).map(cost_of).sum();
            *self.load_costs.entry(key).or_default() += cost;
        }
    }

    /// Discards all pending orders and marks every engine for inspection. Called when this daemon
    /// acquires the lease.
    pub fn begin_term(&mut self, engines: &Engines, now: Tick) {
        self.deferred.clear();
        self.pending.clear();
        for (key, _) in engines.iter() {
            self.pending.insert(key, PendingOrder::uncertain(now, now));
        }
    }

    /// Processes an engine's response to an order.
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
                // An engine unloads an unused adapter immediately, and counts the order as
                // accepted.
                if matches!(order.op, Op::UnloadAdapter(..)) {
                    engines.record_accepted_order(key);
                }
                self.pending.shift_remove(&key);
                apply(order, engines, now);
            }
            Answer::Busy | Answer::Unanswered | Answer::Rejected | Answer::Fenced => {
                self.pending.insert(key, PendingOrder::uncertain(now, now + REPORT_LAG));
            }
        }
    }

    /// Processes the outcome of an inspection. The caller has already applied the report to
    /// `engines`. `busy` says whether the engine is still loading or unloading a model.
    pub fn handle_inspection(&mut self, engine: UpstreamKey, busy: bool, now: Tick) {
        if !busy {
            self.pending.shift_remove(&engine);
            return;
        }
        let pending = self.pending.entry(engine).or_insert(PendingOrder::uncertain(now, now));
        if pending.op.is_some() && now >= pending.late_at {
            self.remote_limit.record(pending, now);
        }
        pending.inspect_at = now + INSPECT_AFTER;
        pending.phase = if pending.op.is_some() { Phase::Executing } else { Phase::Uncertain };
    }

    /// Processes a failed inspection.
    pub fn handle_inspection_failure(&mut self, engine: UpstreamKey, now: Tick) {
        let pending = self.pending.entry(engine).or_insert(PendingOrder::uncertain(now, now));
        pending.inspect_at = now + INSPECT_AFTER;
        pending.phase = Phase::Uncertain;
    }

    /// Returns the actions that are due for the engines of one service.
    pub fn plan(
        &mut self,
        service: &str,
        spec: &EngineSpec,
        engines: &Engines,
        now: Tick,
    ) -> Vec<Action> {
        self.refill_permits(spec, now);
        let mut actions = Vec::new();
        let mut usable = engines.usable(service, now);
        for &key in &usable {
            // The number of accepted orders must be known before the first order is sent.
            let unknown = engines.get(key).is_some_and(|engine| engine.order_count.is_none());
            if unknown && !self.pending.contains_key(&key) {
                self.pending.insert(key, PendingOrder::uncertain(now, now));
            }
        }
        if usable.iter().any(|key| !self.limited.contains(key)) {
            usable.retain(|key| !self.limited.contains(key));
        }
        self.prune(engines, now);
        self.count_residents(&usable, engines, now);
        self.reconcile(engines, now, &mut actions);
        self.resume_deferred(service, spec, engines, now, &mut actions);
        let mut is_short = false;
        for (model, benefit) in self.missing_models(spec, engines, now) {
            let goal = Goal { model, purpose: Purpose::Missing, max_loss: benefit };
            if let Some(candidate) = self.cheapest_load(&usable, spec, engines, goal, now) {
                self.issue_order(candidate, model, engines, now, &mut actions);
            } else {
                // A load that an engine could do from its disk doesn't need the store.
                let mut others = usable.iter().filter_map(|key| engines.get(*key));
                is_short |= !others.any(|engine| engine.has_nearby(model));
            }
        }
        let stranded = self.plan_replicas(&usable, spec, engines, now, &mut actions);
        self.count_overloads(&stranded, &usable, engines, now);
        if !is_short && self.is_store_idle() {
            self.plan_remote_replicas(&stranded, &usable, spec, engines, now, &mut actions);
            self.plan_copies(&usable, spec, engines, now, &mut actions);
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
                let model_spec = spec.models.get(engines.names.models.name(model));
                let engine = engines.get(order.engine);
                let estimate = model_spec
                    .zip(engine)
                    .map(|(model_spec, engine)| load_time(model_spec, engine, model));
                let (time, remote) = estimate.unwrap_or((Duration::ZERO, false));
                self.kept_until.insert((order.engine, model), now + time + MIN_RESIDENCE);
                (time, remote)
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
                // An adapter in use occupies its slot until a report shows that it was unloaded.
                self.pending.insert(order.engine, PendingOrder::uncertain(now, now + REPORT_LAG));
                return;
            }
        };
        let inspect_at = now + time + INSPECT_AFTER;
        let late_at = now + time.mul_f64(LATE_LOAD_FACTOR) + REPORT_LAG;
        let (phase, op) = (Phase::Executing, Some(order.op));
        let purpose = self.purpose(order.engine);
        let pending = PendingOrder { phase, op, since: now, inspect_at, remote, late_at, purpose };
        self.pending.insert(order.engine, pending);
    }

    /// Removes orders that have taken effect, and inspects engines whose orders are overdue.
    fn reconcile(&mut self, engines: &Engines, now: Tick, actions: &mut Vec<Action>) {
        self.pending.retain(|key, pending| {
            let Some(engine) = engines.get(*key) else { return false };
            let took_effect = match (pending.phase, pending.op) {
                (Phase::Executing, Some(Op::Load(model))) => engine.holds(model, None),
                (Phase::Executing, Some(Op::Unload(model))) => !engine.models.contains_key(&model),
                _ => false,
            };
            if took_effect {
                self.remote_limit.record(pending, now);
                return false;
            }
            if matches!(pending.phase, Phase::Executing | Phase::Uncertain)
                && now >= pending.inspect_at
                && engine.pause_left(now).is_zero()
            {
                pending.phase = Phase::Inspecting;
                actions.push(Action::Inspect(*key));
            }
            true
        });
    }

    /// Retries loads that waited for an eviction.
    fn resume_deferred(
        &mut self,
        service: &str,
        spec: &EngineSpec,
        engines: &Engines,
        now: Tick,
        actions: &mut Vec<Action>,
    ) {
        // The spec of another service lacks the model, which would end the load.
        let is_other = |key| engines.get(key).is_some_and(|engine| engine.service != service);
        let free: Vec<(UpstreamKey, DeferredLoad)> = self
            .deferred
            .iter()
            .filter(|(key, _)| !self.pending.contains_key(*key) && !is_other(**key))
            .map(|(&key, &deferred)| (key, deferred))
            .collect();
        for (key, DeferredLoad { model, purpose, .. }) in free {
            self.deferred.shift_remove(&key);
            if let Some(resident) = self.residents.get_mut(&model) {
                resident.loading = resident.loading.saturating_sub(1);
            }
            if !engines.get(key).is_some_and(|engine| engine.accepts(now)) {
                continue;
            }
            // The loss by the first eviction was accepted, and the engine accepts nothing else yet.
            let goal = Goal { model, purpose, max_loss: f64::INFINITY };
            let Some(candidate) = self.load_candidate(spec, engines, key, goal, now) else {
                continue;
            };
            let is_wanted = match purpose {
                Purpose::Missing => self.shortages.contains_key(&model),
                Purpose::Replica => !candidate.remote && self.lacks_replica(model),
                Purpose::RemoteReplica => self.lacks_replica(model),
                Purpose::Copy => self.is_asked(model, now),
            };
            if is_wanted {
                self.issue_order(candidate, model, engines, now, actions);
            }
        }
    }

    /// Returns why an engine's current order was given, if it is a load or an eviction for one that this
    /// daemon ordered for `model`.
    pub fn load_reason(
        &self,
        engine: UpstreamKey,
        model: ModelKey,
        now: Tick,
    ) -> Option<LoadReason> {
        let pending = self.pending.get(&engine)?;
        let resident = self.residents.get(&model).copied().unwrap_or_default();
        let overload = self.overloads.get(&model);
        Some(LoadReason {
            purpose: pending.purpose?,
            is_remote: pending.remote,
            holders: resident.holders,
            loading: resident.loading,
            replicas: resident.replicas,
            request_rate: self.demand.get(&model).map_or(0.0, |demand| demand.requests_per_s(now)),
            overloaded: overload.map_or(Duration::ZERO, |overload| now.since(overload.since)),
            remote_limit: self.remote_limit.loads,
        })
    }

    /// Returns the purpose of the load that an engine's current order is part of, if it is a load or an
    /// eviction for one that this daemon ordered.
    pub fn purpose(&self, engine: UpstreamKey) -> Option<Purpose> {
        self.pending.get(&engine)?.purpose
    }

    /// Returns the models that are being loaded, each with the time at which the load is expected to
    /// end.
    pub fn expected_loads(
        &self,
        spec: &EngineSpec,
        engines: &Engines,
        now: Tick,
    ) -> IndexMap<ModelKey, Tick> {
        let estimate = |key: UpstreamKey, model: ModelKey| {
            let model_spec = spec.models.get(engines.names.models.name(model))?;
            Some(load_time(model_spec, engines.get(key)?, model).0)
        };
        let mut expected: IndexMap<ModelKey, Tick> = IndexMap::new();
        let mut add = |model: ModelKey, ready: Tick| {
            let earliest = expected.entry(model).or_insert(ready);
            *earliest = ready.min(*earliest);
        };
        for (&key, pending) in &self.pending {
            match (pending.phase, pending.op) {
                (Phase::Sent, Some(Op::Load(model))) => {
                    if let Some(time) = estimate(key, model) {
                        add(model, now + time);
                    }
                }
                // The end of the load was part of the time at which the engine is inspected.
                (Phase::Executing, Some(Op::Load(model))) => {
                    let left = pending.inspect_at.since(now).saturating_sub(INSPECT_AFTER);
                    add(model, now + left);
                }
                _ => {}
            }
        }
        for (&key, deferred) in &self.deferred {
            if let Some(time) = estimate(key, deferred.model) {
                add(deferred.model, now + EVICTION_TIME + time);
            }
        }
        expected
    }

    /// Returns models that have waiting requests, no replica and no load in progress, with the value
    /// of loading them in requests, ordered by descending value. The value grows with the duration of
    /// the shortage, so that busy models don't keep out a rarely used one for good.
    fn missing_models(
        &mut self,
        spec: &EngineSpec,
        engines: &Engines,
        now: Tick,
    ) -> Vec<(ModelKey, f64)> {
        let loading: IndexSet<ModelKey> = self.loading_models().collect();
        let is_missing = |model: &ModelKey| {
            let known = spec.models.contains_key(engines.names.models.name(*model));
            let held = self.residents.get(model).is_some_and(|resident| resident.holders > 0);
            known && !held && !loading.contains(model)
        };
        let waiting = self.demand.iter().filter(|(_, demand)| demand.waiting(now) > 0);
        let missing: Vec<ModelKey> =
            waiting.map(|(&model, _)| model).filter(|model| is_missing(model)).collect();
        self.shortages.retain(|_, shortage| now.since(shortage.last) < SHORTAGE_TTL);
        let mut wanted: Vec<(ModelKey, f64)> = Vec::new();
        for model in missing {
            let shortage = self.shortages.entry(model).or_insert(Period { since: now, last: now });
            shortage.last = now;
            let Some(demand) = self.demand.get(&model) else { continue };
            let lasted = now.since(shortage.since);
            let overdue = lasted.saturating_sub(MAX_SHORTAGE).as_secs_f64();
            let urgency = 1.0 + lasted.as_secs_f64() / PATIENCE.as_secs_f64() + overdue * overdue;
            let expected = demand.expected_requests(now) * EXPECTED_WEIGHT;
            let requests = f64::from(demand.waiting(now)) + expected;
            wanted.push((model, requests * urgency));
        }
        wanted.sort_by(|a, b| b.1.total_cmp(&a.1));
        wanted
    }

    /// Orders the replicas that models lack, as many at once as engines can load from their memory or
    /// disk. Each goes to the engine with the least load, loss and load time. Returns the goals that
    /// only a load from the weight store could reach.
    fn plan_replicas(
        &mut self,
        usable: &[UpstreamKey],
        spec: &EngineSpec,
        engines: &Engines,
        now: Tick,
        actions: &mut Vec<Action>,
    ) -> Vec<Goal> {
        let mut stranded = Vec::new();
        let mut wanted = self.lacking_replicas(usable.len(), spec, engines);
        if wanted.is_empty() {
            return stranded;
        }
        self.count_loads(usable, engines, now);
        while !wanted.is_empty() {
            // Each round orders at most one replica per model, so that no model takes all engines.
            wanted.retain_mut(|(model, benefit, missing)| {
                let max_loss = benefit.max(MIN_REPLICA_BENEFIT);
                let goal = Goal { model: *model, purpose: Purpose::Replica, max_loss };
                let candidate = self.cheapest_load(usable, spec, engines, goal, now);
                let Some(candidate) = candidate.filter(|candidate| !candidate.remote) else {
                    stranded.push(Goal { purpose: Purpose::RemoteReplica, ..goal });
                    return false;
                };
                self.issue_order(candidate, *model, engines, now, actions);
                *benefit -= *benefit / *missing as f64;
                *missing -= 1;
                *missing > 0
            });
        }
        stranded
    }

    /// Records which models' holders are overloaded while no other engine can load the model from its
    /// memory or disk.
    fn count_overloads(
        &mut self,
        stranded: &[Goal],
        usable: &[UpstreamKey],
        engines: &Engines,
        now: Tick,
    ) {
        self.overloads.retain(|_, overload| now.since(overload.last) < OVERLOAD_TTL);
        for &Goal { model, .. } in stranded {
            if self.utilisation(model, usable, engines, now) <= 1.0 {
                continue;
            }
            if let Some(overload) = self.overloads.get_mut(&model) {
                overload.last = now;
            } else {
                self.overloads.insert(model, Period { since: now, last: now });
                self.shifts.add(1.0, SHIFT_DECAY, now);
            }
        }
    }

    /// Returns the mean utilisation of the engines that hold a model, by all their models: of the time
    /// for prefill or of the slots, whichever is higher.
    fn utilisation(
        &self,
        model: ModelKey,
        usable: &[UpstreamKey],
        engines: &Engines,
        now: Tick,
    ) -> f64 {
        let (mut sum, mut holders) = (0.0, 0.0);
        for (&key, engine) in usable.iter().filter_map(|key| Some((key, engines.get(*key)?))) {
            if !engine.holds(model, None) {
                continue;
            }
            let (mut prefill, mut running) = (0.0, 0);
            for &held in engine.models.keys() {
                let resident = self.residents.get(&held).copied().unwrap_or_default();
                let busy = self.demand.get(&held).map_or(0.0, |demand| demand.busy_engines(now));
                prefill += busy / (resident.holders + resident.loading).max(1) as f64;
                running += self.running.get(&(key, held)).copied().unwrap_or_default();
            }
            let slots = f64::from(running) / (f64::from(engine.slots.max(1)) * FULL_SLOTS);
            sum += prefill.max(slots);
            holders += 1.0;
        }
        if holders == 0.0 {
            0.0
        } else {
            sum / holders
        }
    }

    /// Orders replicas from the weight store for models whose holders have been overloaded for so long
    /// that the demand is likely to last until the load ends.
    fn plan_remote_replicas(
        &mut self,
        stranded: &[Goal],
        usable: &[UpstreamKey],
        spec: &EngineSpec,
        engines: &Engines,
        now: Tick,
        actions: &mut Vec<Action>,
    ) {
        let mut ordered = 0;
        for &goal in stranded {
            if ordered > 0 && ordered + 1 >= self.remote_limit.loads || self.spare_permits < 1.0 {
                return;
            }
            let Some(overload) = self.overloads.get(&goal.model) else { continue };
            let Some(demand) = self.demand.get(&goal.model) else { continue };
            let Some(model_spec) = spec.models.get(engines.names.models.name(goal.model)) else {
                continue;
            };
            let lasted = overload.last.since(overload.since);
            if lasted < model_spec.times.remote.mul_f64(LASTING_LOAD_FRACTION) {
                continue;
            }
            // Demand is expected to last for as long as it has, and the replica to take its share.
            let resident = self.residents.get(&goal.model).copied().unwrap_or_default();
            let share = 1.0 / (resident.holders + resident.loading + 1) as f64;
            let gain = demand.requests_per_s(now) * lasted.as_secs_f64() * share;
            if gain < MIN_REMOTE_GAIN {
                continue;
            }
            let candidate = self.cheapest_load(usable, spec, engines, goal, now);
            let Some(candidate) = candidate.filter(|candidate| candidate.remote) else { continue };
            self.spare_permits -= 1.0;
            self.issue_order(candidate, goal.model, engines, now, actions);
            ordered += 1;
        }
    }

    /// Orders a load from the weight store of a model that few engines have nearby, so that its
    /// replicas can follow when demand moves to it. Only done after such shifts of demand.
    fn plan_copies(
        &mut self,
        usable: &[UpstreamKey],
        spec: &EngineSpec,
        engines: &Engines,
        now: Tick,
        actions: &mut Vec<Action>,
    ) {
        let shifts = self.shifts.get(SHIFT_DECAY, now) * SHIFT_DECAY.as_secs_f64();
        // Services are planned one after another at the same time.
        let is_early = now != self.copies_at && now.since(self.copies_at) < COPY_INTERVAL;
        let is_calm = self.overloads.is_empty() && self.is_store_idle();
        if is_early || !is_calm || shifts < MIN_COPY_GAIN || self.spare_permits < 1.0 {
            return;
        }
        self.copies_at = now;
        let nearby = nearby_counts(usable, engines);
        let count = |model: ModelKey| nearby.get(&model).copied().unwrap_or_default();
        let targets = self.idle_engines(usable, engines, &nearby, now);
        if targets.is_empty() {
            return;
        }
        let mut models: Vec<(usize, f64, ModelKey)> = Vec::new();
        for (&model, demand) in self.demand.iter().filter(|(_, demand)| demand.is_asked(now)) {
            let Some(model_spec) = spec.models.get(engines.names.models.name(model)) else {
                continue;
            };
            let rate = demand.requests_per_s(now);
            let gain = rate * shifts / count(model).max(1) as f64;
            if gain >= MIN_COPY_GAIN && model_spec.size_mb <= spec.disk_mb {
                models.push((count(model), rate, model));
            }
        }
        models.sort_by(|a, b| a.0.cmp(&b.0).then(b.1.total_cmp(&a.1)));
        for &(copies, _, model) in models.iter().take(MAX_COPY_MODELS) {
            let goal = Goal { model, purpose: Purpose::Copy, max_loss: MIN_REPLICA_BENEFIT };
            let candidates = targets.iter().filter_map(|&(key, fewest)| {
                let engine = engines.get(key)?;
                let keeps_others =
                    fewest >= copies + 2 || has_disk_room(spec, engines, engine, model);
                if engine.has_nearby(model) || engine.models.contains_key(&model) || !keeps_others {
                    return None;
                }
                let candidate = self.load_candidate(spec, engines, key, goal, now)?;
                (candidate.loss <= goal.max_loss).then_some(candidate)
            });
            let best = candidates.min_by(|a, b| a.loss.total_cmp(&b.loss));
            if let Some(candidate) = best {
                self.spare_permits -= 1.0;
                self.issue_order(candidate, model, engines, now, actions);
                return;
            }
        }
    }

    /// Returns the engines without orders and running requests that hold only spare replicas and models
    /// that aren't asked for, each with the smallest number of engines that have one of the models
    /// nearby that it has and that are asked for. An engine that alone has such a model nearby is left
    /// out, because it can't load that model during a load from the weight store.
    fn idle_engines(
        &self,
        usable: &[UpstreamKey],
        engines: &Engines,
        nearby: &IndexMap<ModelKey, usize>,
        now: Tick,
    ) -> Vec<(UpstreamKey, usize)> {
        let is_spare = |key: UpstreamKey, model: ModelKey| {
            let resident = self.residents.get(&model).copied().unwrap_or_default();
            let is_spare = !resident.is_asked || resident.holders > resident.lasting;
            is_spare && self.running.get(&(key, model)).copied().unwrap_or_default() == 0
        };
        let mut idle = Vec::new();
        for &key in usable {
            let Some(engine) = engines.get(key) else { continue };
            let has_order = self.pending.contains_key(&key) || self.deferred.contains_key(&key);
            if has_order || !engine.models.keys().all(|&model| is_spare(key, model)) {
                continue;
            }
            let asked = near_models(engine).filter(|model| self.is_asked(**model, now));
            let counts = asked.map(|model| nearby.get(model).copied().unwrap_or_default());
            let fewest = counts.min().unwrap_or(usize::MAX);
            if fewest >= 2 {
                idle.push((key, fewest));
            }
        }
        idle
    }

    fn is_asked(&self, model: ModelKey, now: Tick) -> bool {
        self.demand.get(&model).is_some_and(|demand| demand.is_asked(now))
    }

    fn lacks_replica(&self, model: ModelKey) -> bool {
        let resident = self.residents.get(&model).copied().unwrap_or_default();
        resident.holders + resident.loading < resident.replicas
    }

    /// Returns models that need more replicas than they have, with the value of the replicas in
    /// requests, which is the part of the urgent ones that queue for lack of them, and with the number
    /// of replicas. Ordered by descending value.
    fn lacking_replicas(
        &self,
        usable: usize,
        spec: &EngineSpec,
        engines: &Engines,
    ) -> Vec<(ModelKey, f64, usize)> {
        let mut lacking: Vec<(ModelKey, f64, usize)> = Vec::new();
        for (&model, resident) in &self.residents {
            if !spec.models.contains_key(engines.names.models.name(model)) {
                continue;
            }
            let present = resident.holders + resident.loading;
            let missing = resident.replicas.min(usable).saturating_sub(present);
            if missing > 0 && present > 0 {
                let delayed = missing as f64 / resident.replicas as f64;
                lacking.push((model, resident.loss * delayed, missing));
            }
        }
        lacking.sort_by(|a, b| b.1.total_cmp(&a.1));
        lacking
    }

    /// Returns the models that are being loaded or wait for an eviction.
    fn loading_models(&self) -> impl Iterator<Item = ModelKey> + '_ {
        let executing = self.pending.values().filter_map(|pending| match pending.op {
            Some(Op::Load(model)) => Some(model),
            _ => None,
        });
        executing.chain(self.deferred.values().map(|deferred| deferred.model))
    }

    /// Returns the load of a model with the lowest cost among those that lose no more than allowed. The
    /// weight store is slow and shared by all engines, so a model that an engine has nearby is loaded
    /// there, even if that engine executes another order at present.
    fn cheapest_load(
        &self,
        usable: &[UpstreamKey],
        spec: &EngineSpec,
        engines: &Engines,
        goal: Goal,
        now: Tick,
    ) -> Option<LoadCandidate> {
        let Goal { model, max_loss, .. } = goal;
        let mut awaited = false;
        let mut candidates = Vec::new();
        for &key in usable {
            let Some(engine) = engines.get(key) else { continue };
            if engine.models.contains_key(&model) {
                continue;
            }
            if self.pending.contains_key(&key) || self.deferred.contains_key(&key) {
                awaited |= engine.has_nearby(model) && self.is_free_soon(key, now);
            } else {
                let candidate = self.load_candidate(spec, engines, key, goal, now);
                candidates.extend(candidate.filter(|candidate| candidate.loss <= max_loss));
            }
        }
        let has_near = candidates.iter().any(|candidate| !candidate.remote);
        if has_near || awaited {
            candidates.retain(|candidate| !candidate.remote);
        }
        candidates.into_iter().min_by(|a, b| a.cost().total_cmp(&b.cost()))
    }

    /// Returns whether an engine is about to complete its order, so that it can load what requests
    /// wait for soon. An engine whose state remains unknown may be dead.
    fn is_free_soon(&self, key: UpstreamKey, now: Tick) -> bool {
        self.pending.get(&key).is_none_or(|pending| match pending.phase {
            Phase::Sent => true,
            Phase::Executing => {
                let left = pending.inspect_at.since(now);
                !left.is_zero() && left < INSPECT_AFTER + MAX_BUSY_WAIT
            }
            Phase::Uncertain | Phase::Inspecting => now.since(pending.since) < MAX_UNCERTAINTY,
        })
    }

    /// Returns the cost of a load at one engine, or `None` if the load isn't possible now.
    fn load_candidate(
        &self,
        spec: &EngineSpec,
        engines: &Engines,
        key: UpstreamKey,
        goal: Goal,
        now: Tick,
    ) -> Option<LoadCandidate> {
        let Goal { model, purpose, .. } = goal;
        let engine = engines.get(key)?;
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
            .map(|&held| (held, self.eviction_loss(key, held, purpose, now)))
            .collect();
        victims.sort_by(|a, b| a.1.total_cmp(&b.1));
        let (mut time, mut loss) = (time.as_secs_f64(), 0.0);
        let mut evicted = Vec::new();
        for (victim, eviction_loss) in victims {
            if free_mb >= model_spec.size_mb {
                break;
            }
            let name = engines.names.models.name(victim);
            let Some(held) = spec.models.get(name) else { continue };
            if !eviction_loss.is_finite() {
                continue;
            }
            free_mb += held.size_mb + adapters_mb(spec, engines, engine, victim);
            loss += eviction_loss;
            time += UNLOAD_S;
            evicted.push(victim);
        }
        if free_mb < model_spec.size_mb {
            return None;
        }
        let load = match purpose {
            Purpose::Missing => 0.0,
            Purpose::Replica | Purpose::RemoteReplica | Purpose::Copy => {
                self.load_costs.get(&key).copied().unwrap_or_default()
            }
        };
        Some(LoadCandidate { engine: key, victims: evicted, remote, loss, time, load, purpose })
    }

    /// Returns the value, in requests, that is expected to be lost by an eviction; infinite if the
    /// model was loaded too recently. A copy for later demand displaces neither running requests nor
    /// the only copy of a model that is asked for. A replica that is needed now may: where models
    /// outnumber places, all others are asked for, and most of their callers can wait for a reload.
    fn eviction_loss(&self, key: UpstreamKey, model: ModelKey, purpose: Purpose, now: Tick) -> f64 {
        if self.kept_until.get(&(key, model)).is_some_and(|until| now < *until) {
            return f64::INFINITY;
        }
        let running = self.running.get(&(key, model)).copied().unwrap_or(0);
        // An unload waits for running requests to finish and delays the engine's next order.
        let drain_s = if running > 0 { 0.5 + 0.1 * f64::from(running) } else { 0.0 };
        let resident = self.residents.get(&model).copied().unwrap_or_default();
        let others = resident.holders.saturating_sub(1);
        let is_kept = running > 0 || (others == 0 && resident.is_asked);
        if purpose == Purpose::Copy && is_kept {
            return f64::INFINITY;
        }
        let weight = if others >= resident.lasting {
            SPARE_REPLICA_WEIGHT
        } else if others >= resident.replicas {
            LATELY_NEEDED_WEIGHT / (1 + others) as f64
        } else {
            1.0 / (1 + others) as f64
        };
        resident.loss * weight + drain_s
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
                let LoadCandidate { remote, purpose, .. } = candidate;
                self.deferred.insert(candidate.engine, DeferredLoad { model, remote, purpose });
                // A second eviction in the same plan must not take the last copy.
                if let Some(evicted) = self.residents.get_mut(&victim) {
                    evicted.holders = evicted.holders.saturating_sub(1);
                }
                Op::Unload(victim)
            }
            None => {
                if candidate.remote {
                    self.remote_permits -= 1.0;
                }
                Op::Load(model)
            }
        };
        self.residents.entry(model).or_default().loading += 1;
        let remote = candidate.remote && candidate.victims.is_empty();
        self.pending
            .insert(candidate.engine, PendingOrder::sent(op, remote, Some(candidate.purpose), now));
        actions.push(Action::Send(Order { engine: candidate.engine, op, expected }));
    }

    /// Orders adapters that requests wait for, at most one order per engine.
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
            // An engine that executes a model order refuses every other order.
            let free = holders.into_iter().filter(|(key, _)| !self.pending.contains_key(key));
            let rooms = free.filter_map(|(key, engine)| {
                Some((adapter_room(spec, engines, engine, model)?, key, engine))
            });
            let best = rooms.min_by_key(|(room, _, engine)| (*room, adapters_held(engine)));
            let Some((room, key, engine)) = best else { continue };
            let Some(expected) = engine.order_count else { continue };
            let op = if room == AdapterRoom::AfterUnload {
                let Some((model, oldest)) = self.oldest_adapter(key, engine) else { continue };
                Op::UnloadAdapter(model, oldest)
            } else {
                self.adapter_requests.shift_remove(&adapter);
                Op::LoadAdapter(model, adapter)
            };
            self.pending.insert(key, PendingOrder::sent(op, false, None, now));
            actions.push(Action::Send(Order { engine: key, op, expected }));
        }
    }

    /// Records that a request used an adapter on an engine.
    pub fn record_adapter_use(&mut self, engine: UpstreamKey, adapter: AdapterKey, now: Tick) {
        self.adapter_uses.insert((engine, adapter), now);
    }

    /// Returns the least recently used adapter of an engine.
    fn oldest_adapter(&self, key: UpstreamKey, engine: &Engine) -> Option<(ModelKey, AdapterKey)> {
        let held = engine.models.iter();
        let held = held.flat_map(|(&model, adapters)| adapters.iter().map(move |&a| (model, a)));
        held.min_by_key(|&(_, adapter)| self.adapter_uses.get(&(key, adapter)).copied())
    }

    fn may_load_remote(&self) -> bool {
        let loading = self.pending.values().filter(|pending| pending.remote).count();
        let deferred = self.deferred.values().filter(|deferred| deferred.remote).count();
        self.remote_permits >= 1.0 + deferred as f64 && loading + deferred < self.remote_limit.loads
    }

    /// Returns whether no load from the weight store is in progress or waits for an eviction.
    fn is_store_idle(&self) -> bool {
        !self.pending.values().any(|pending| pending.remote)
            && !self.deferred.values().any(|deferred| deferred.remote)
    }

    fn refill_permits(&mut self, spec: &EngineSpec, now: Tick) {
        let elapsed = now.since(self.refilled_at).as_secs_f64();
        let gained = elapsed * spec.load_rate * REMOTE_RATE_FRACTION;
        self.remote_permits = (self.remote_permits + gained).min(REMOTE_PERMIT_BURST);
        let spare = elapsed * (spec.load_rate * SPARE_RATE_FRACTION).min(MAX_SPARE_RATE);
        self.spare_permits = (self.spare_permits + spare).min(SPARE_LOADS as f64);
        self.refilled_at = now;
    }
}

/// Applies the effect of a completed order to the known engine state.
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

/// Returns the load time at an engine, and whether the load reads from the weight store.
fn load_time(model_spec: &ModelSpec, engine: &Engine, model: ModelKey) -> (Duration, bool) {
    if engine.in_memory.contains(&model) {
        (model_spec.times.memory, false)
    } else if engine.on_disk.contains(&model) {
        (model_spec.times.disk, false)
    } else {
        (model_spec.times.remote, true)
    }
}

/// Returns the models whose weights an engine has, each once.
fn near_models(engine: &Engine) -> impl Iterator<Item = &ModelKey> {
    let in_memory = engine.in_memory.iter().filter(|model| !engine.on_disk.contains(*model));
    engine.on_disk.iter().chain(in_memory)
}

/// Returns how many engines have each model nearby.
fn nearby_counts(usable: &[UpstreamKey], engines: &Engines) -> IndexMap<ModelKey, usize> {
    let mut counts = IndexMap::new();
    for engine in usable.iter().filter_map(|key| engines.get(*key)) {
        for &model in near_models(engine) {
            *counts.entry(model).or_default() += 1;
        }
    }
    counts
}

/// Returns whether an engine's disk takes one more model without displacing another.
fn has_disk_room(spec: &EngineSpec, engines: &Engines, engine: &Engine, model: ModelKey) -> bool {
    let size = |model: &ModelKey| {
        spec.models.get(engines.names.models.name(*model)).map_or(0.0, |spec| spec.size_mb)
    };
    engine.on_disk.iter().map(size).sum::<f64>() + size(&model) <= spec.disk_mb
}

/// Whether an engine has room for one more adapter. The variants are in the order of preference.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum AdapterRoom {
    /// A slot and the memory are free.
    Free,
    /// An adapter must be unloaded before.
    AfterUnload,
}

/// Returns which room an engine has for one more adapter of a model. Returns `None` if it lacks the
/// memory even without its other adapters.
fn adapter_room(
    spec: &EngineSpec,
    engines: &Engines,
    engine: &Engine,
    model: ModelKey,
) -> Option<AdapterRoom> {
    let model_spec = spec.models.get(engines.names.models.name(model));
    let adapter_mb = model_spec.map_or(0.0, |model_spec| model_spec.adapter_mb);
    let free_mb = spec.memory_mb - used_mb(spec, engines, engine);
    let held_mb = engine.models.keys().map(|&held| adapters_mb(spec, engines, engine, held));
    let has_slot = adapters_held(engine) < spec.adapter_slots as usize;
    if has_slot && adapter_mb <= free_mb {
        Some(AdapterRoom::Free)
    } else if adapter_mb <= free_mb + held_mb.sum::<f64>() {
        Some(AdapterRoom::AfterUnload)
    } else {
        None
    }
}

fn adapters_held(engine: &Engine) -> usize {
    engine.models.keys().map(|&model| engine.adapters(model)).sum()
}

/// Returns the accelerator memory that an engine's models and adapters occupy.
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
