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
use crate::serving::desired::EngineSpec;
use crate::serving::desired::ModelSpec;
use crate::serving::engines::Engine;
use crate::serving::engines::Engines;
use crate::time::Tick;

/// Time over which arrivals count towards a model's rate.
const RATE_SPAN: Duration = Duration::from_secs(8);
/// Time after which the last word of a daemon that waits doesn't count any longer.
const WAIT_SPAN: Duration = Duration::from_millis(1_200);
/// Loads from the weight store that run at full speed at once; more slow each other down.
const REMOTE_AT_ONCE: usize = 4;
/// Loads that the weight store's allowance may save up.
const REMOTE_BURST: f64 = 3.0;
/// Part of the weight store's rate that is used.
const REMOTE_SHARE: f64 = 0.95;
/// Time after which an order that shows no effect is looked into.
const LOOK_AFTER: Duration = Duration::from_millis(1_500);
/// Time for which a model isn't made to give way after it was loaded, so that engines don't swap
/// the same two models back and forth while requests wait for both.
const SETTLE: Duration = Duration::from_millis(1_000);

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

/// What is known of an engine's orders.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Work {
    /// An order was sent and not answered yet.
    Asked,
    /// An order is carried out; it shows in the engine's entry.
    Doing { op: Op, since: Tick, remote: bool },
    /// What the engine holds must be asked.
    Unclear { since: Tick },
    /// It is being asked.
    Inspecting,
}

/// Requests for one model.
#[derive(Clone, Debug, Default)]
struct Demand {
    rate: f64,
    at: Tick,
    /// Requests that wait for the model, by daemon.
    waiting: IndexMap<String, (u32, Tick)>,
}

impl Demand {
    fn arrive(&mut self, count: u64, now: Tick) {
        self.rate = self.rate(now) + count as f64 / RATE_SPAN.as_secs_f64();
        self.at = now;
    }

    fn rate(&self, now: Tick) -> f64 {
        let age = now.since(self.at).as_secs_f64() / RATE_SPAN.as_secs_f64();
        self.rate * (-age).exp()
    }

    fn waiting(&self, now: Tick) -> u32 {
        let fresh = self.waiting.values().filter(|(_, at)| now.since(*at) < WAIT_SPAN);
        fresh.map(|(count, _)| count).sum()
    }
}

/// A load that could be ordered, and what it costs in seconds of waiting.
#[derive(Clone, Debug)]
struct Way {
    engine: UpstreamKey,
    victims: Vec<ModelKey>,
    remote: bool,
    cost: f64,
}

/// The plan for all engines.
#[derive(Clone, Debug, Default)]
pub struct Planner {
    demand: IndexMap<ModelKey, Demand>,
    adapters: IndexMap<AdapterKey, (ModelKey, Tick)>,
    used: IndexMap<(UpstreamKey, AdapterKey), Tick>,
    loaded: IndexMap<(UpstreamKey, ModelKey), Tick>,
    work: IndexMap<UpstreamKey, Work>,
    /// Loads that wait until an engine has room, with what they are for.
    planned: IndexMap<UpstreamKey, ModelKey>,
    running: IndexMap<(UpstreamKey, ModelKey), u32>,
    permits: f64,
    permits_at: Tick,
}

impl Planner {
    /// Counts requests for a model.
    pub fn arrive(&mut self, model: ModelKey, count: u64, now: Tick) {
        self.demand.entry(model).or_default().arrive(count, now);
    }

    /// A daemon says how many requests wait there for a model that no engine holds.
    pub fn wait(&mut self, daemon: &str, model: ModelKey, count: u32, now: Tick) {
        let demand = self.demand.entry(model).or_default();
        demand.waiting.insert(daemon.to_owned(), (count, now));
    }

    /// A daemon has a request that needs an adapter.
    pub fn want_adapter(&mut self, model: ModelKey, adapter: AdapterKey, now: Tick) {
        self.adapters.insert(adapter, (model, now));
    }

    /// Tells what runs at an engine for a model, so that models in use are spared.
    pub fn set_running(&mut self, engine: UpstreamKey, model: ModelKey, count: u32) {
        self.running.insert((engine, model), count);
    }

    /// Forgets all work, for a daemon that begins to hold the lease: what engines do is asked.
    pub fn begin(&mut self, engines: &Engines, now: Tick) {
        self.planned.clear();
        self.work.clear();
        for (key, _) in engines.iter() {
            self.work.insert(key, Work::Unclear { since: now });
        }
    }

    /// An engine answered an order.
    pub fn answered(&mut self, order: Order, answer: Answer, engines: &mut Engines, now: Tick) {
        let key = order.engine;
        match answer {
            Answer::Accepted => {
                engines.accept(key);
                self.accepted(order, engines, now);
            }
            Answer::Holds => {
                self.work.shift_remove(&key);
                apply(order, engines, now);
            }
            Answer::Busy | Answer::Unanswered | Answer::Rejected | Answer::Fenced => {
                self.work.insert(key, Work::Unclear { since: now });
            }
        }
    }

    /// An engine said what it holds, which the view of the engines shows already.
    pub fn inspected(&mut self, engine: UpstreamKey, busy: bool, now: Tick) {
        if busy {
            self.work.insert(engine, Work::Unclear { since: now + LOOK_AFTER });
        } else {
            self.work.shift_remove(&engine);
        }
    }

    /// An engine couldn't be asked.
    pub fn unseen(&mut self, engine: UpstreamKey, now: Tick) {
        self.work.insert(engine, Work::Unclear { since: now + LOOK_AFTER });
    }

    /// What to order now, for the engines of one service.
    pub fn plan(
        &mut self,
        service: &str,
        spec: &EngineSpec,
        engines: &Engines,
        now: Tick,
    ) -> Vec<Action> {
        self.refill(spec, now);
        let mut actions = Vec::new();
        for key in engines.usable(service, now) {
            // Nothing is ordered before it is known what the engine has accepted.
            let unknown = engines.get(key).is_some_and(|engine| engine.orders.is_none());
            if unknown && !self.work.contains_key(&key) {
                self.work.insert(key, Work::Unclear { since: now });
            }
        }
        self.settle(engines, now, &mut actions);
        self.continue_planned(spec, engines, now, &mut actions);
        for model in self.wanted(service, spec, engines, now) {
            let Some(option) = self.best(service, spec, engines, model, now) else { continue };
            self.start(option, model, engines, &mut actions);
        }
        self.plan_adapters(service, spec, engines, now, &mut actions);
        actions
    }

    fn accepted(&mut self, order: Order, engines: &mut Engines, now: Tick) {
        match order.op {
            Op::Load(model) => {
                let held = engines.get(order.engine);
                let remote = held.is_some_and(|engine| {
                    !engine.on_disk.contains(&model) && !engine.in_memory.contains(&model)
                });
                self.loaded.insert((order.engine, model), now);
                let work = Work::Doing { op: order.op, since: now, remote };
                self.work.insert(order.engine, work);
            }
            Op::Unload(model) => {
                engines.unload_model(order.engine, model);
                let work = Work::Doing { op: order.op, since: now, remote: false };
                self.work.insert(order.engine, work);
            }
            Op::LoadAdapter(..) | Op::UnloadAdapter(..) => {
                self.work.shift_remove(&order.engine);
                apply(order, engines, now);
            }
        }
    }

    /// Ends work that shows its effect, and looks into work that doesn't in time.
    fn settle(&mut self, engines: &Engines, now: Tick, actions: &mut Vec<Action>) {
        self.work.retain(|key, work| {
            let Some(engine) = engines.get(*key) else { return false };
            match *work {
                Work::Doing { op: Op::Load(model), .. } if engine.holds(model, None) => false,
                Work::Doing { op: Op::Unload(model), .. }
                    if !engine.models.contains_key(&model) =>
                {
                    false
                }
                Work::Doing { since, .. } if now.since(since) > LOOK_AFTER => {
                    *work = Work::Inspecting;
                    actions.push(Action::Inspect(*key));
                    true
                }
                Work::Unclear { since } if now >= since => {
                    *work = Work::Inspecting;
                    actions.push(Action::Inspect(*key));
                    true
                }
                _ => true,
            }
        });
    }

    /// Goes on with loads that wait for room.
    fn continue_planned(
        &mut self,
        spec: &EngineSpec,
        engines: &Engines,
        now: Tick,
        actions: &mut Vec<Action>,
    ) {
        let free: Vec<(UpstreamKey, ModelKey)> = self
            .planned
            .iter()
            .filter(|(key, _)| !self.work.contains_key(*key))
            .map(|(&key, &model)| (key, model))
            .collect();
        for (key, model) in free {
            self.planned.shift_remove(&key);
            let Some(engine) = engines.get(key) else { continue };
            let Some(option) = self.option(spec, engines, key, engine, model, now) else {
                continue;
            };
            if self.demand.get(&model).is_some_and(|demand| demand.waiting(now) > 0) {
                self.start(option, model, engines, actions);
            }
        }
    }

    /// Models that requests wait for and no engine holds or is about to hold, most waited for
    /// first.
    fn wanted(
        &self,
        service: &str,
        spec: &EngineSpec,
        engines: &Engines,
        now: Tick,
    ) -> Vec<ModelKey> {
        let usable: Vec<&Engine> =
            engines.usable(service, now).iter().filter_map(|key| engines.get(*key)).collect();
        let coming: IndexSet<ModelKey> = self.coming().collect();
        let is_wanted = |model: &ModelKey| {
            let known = spec.models.contains_key(engines.names.models.name(*model));
            let held = usable.iter().any(|engine| engine.holds(*model, None));
            known && !held && !coming.contains(model)
        };
        let waiting = self.demand.iter().map(|(&model, demand)| (model, demand.waiting(now)));
        let mut wanted: Vec<(ModelKey, u32)> =
            waiting.filter(|(model, count)| *count > 0 && is_wanted(model)).collect();
        wanted.sort_by_key(|&(_, count)| Reverse(count));
        wanted.into_iter().map(|(model, _)| model).collect()
    }

    /// Models that a load is under way for.
    fn coming(&self) -> impl Iterator<Item = ModelKey> + '_ {
        let doing = self.work.values().filter_map(|work| match work {
            Work::Doing { op: Op::Load(model), .. } => Some(*model),
            _ => None,
        });
        doing.chain(self.planned.values().copied())
    }

    /// The cheapest way to load a model.
    fn best(
        &self,
        service: &str,
        spec: &EngineSpec,
        engines: &Engines,
        model: ModelKey,
        now: Tick,
    ) -> Option<Way> {
        let keys = engines.usable(service, now);
        let free = keys
            .into_iter()
            .filter(|key| !self.work.contains_key(key) && !self.planned.contains_key(key));
        let options = free.filter_map(|key| {
            let engine = engines.get(key)?;
            self.option(spec, engines, key, engine, model, now)
        });
        options.min_by(|a, b| a.cost.total_cmp(&b.cost))
    }

    /// What a load at one engine takes, or `None` where it isn't possible now.
    fn option(
        &self,
        spec: &EngineSpec,
        engines: &Engines,
        key: UpstreamKey,
        engine: &Engine,
        model: ModelKey,
        now: Tick,
    ) -> Option<Way> {
        let size = spec.models.get(engines.names.models.name(model))?;
        let (time, remote) = load_time(size, engine, model);
        if remote && !self.may_load_remote() {
            return None;
        }
        let mut room = spec.memory_mb - used_mb(spec, engines, engine);
        let mut victims: Vec<(ModelKey, f64)> = engine
            .models
            .keys()
            .filter(|held| **held != model)
            .map(|&held| (held, self.loss(spec, engines, key, held, now)))
            .collect();
        victims.sort_by(|a, b| a.1.total_cmp(&b.1));
        let mut cost = time.as_secs_f64();
        let mut chosen = Vec::new();
        for (victim, loss) in victims {
            if room >= size.size_mb {
                break;
            }
            let name = engines.names.models.name(victim);
            let Some(held) = spec.models.get(name) else { continue };
            if !loss.is_finite() {
                continue;
            }
            room += held.size_mb + adapters_mb(spec, engines, engine, victim);
            cost += loss;
            chosen.push(victim);
        }
        if room < size.size_mb {
            return None;
        }
        Some(Way { engine: key, victims: chosen, remote, cost })
    }

    /// Seconds of waiting to be expected once an engine drops a model.
    fn loss(
        &self,
        spec: &EngineSpec,
        engines: &Engines,
        key: UpstreamKey,
        model: ModelKey,
        now: Tick,
    ) -> f64 {
        if self.loaded.get(&(key, model)).is_some_and(|at| now.since(*at) < SETTLE) {
            return f64::INFINITY;
        }
        let Some(size) = spec.models.get(engines.names.models.name(model)) else { return 0.0 };
        let demand = self.demand.get(&model);
        let rate = demand.map_or(0.0, |demand| demand.rate(now));
        let others = engines
            .iter()
            .filter(|(other, engine)| *other != key && engine.holds(model, None))
            .count();
        let reload = size.times.disk.as_secs_f64();
        let running = self.running.get(&(key, model)).copied().unwrap_or(0);
        // An unload waits until what runs has ended, and holds the engine's next order up.
        let drain = if running > 0 { 0.5 + 0.1 * f64::from(running) } else { 0.0 };
        rate * RATE_SPAN.as_secs_f64() * reload / (1 + 2 * others) as f64 + drain
    }

    fn start(
        &mut self,
        option: Way,
        model: ModelKey,
        engines: &Engines,
        actions: &mut Vec<Action>,
    ) {
        let known = engines.get(option.engine).and_then(|engine| engine.orders);
        let Some(expected) = known else { return };
        let op = match option.victims.first() {
            Some(&victim) => {
                self.planned.insert(option.engine, model);
                Op::Unload(victim)
            }
            None => {
                if option.remote {
                    self.permits -= 1.0;
                }
                Op::Load(model)
            }
        };
        self.work.insert(option.engine, Work::Asked);
        actions.push(Action::Send(Order { engine: option.engine, op, expected }));
    }

    /// Adapters that requests wait for, one order an engine.
    fn plan_adapters(
        &mut self,
        service: &str,
        spec: &EngineSpec,
        engines: &Engines,
        now: Tick,
        actions: &mut Vec<Action>,
    ) {
        self.adapters.retain(|_, (_, at)| now.since(*at) < WAIT_SPAN);
        let wanted: Vec<(AdapterKey, ModelKey)> =
            self.adapters.iter().map(|(&adapter, &(model, _))| (adapter, model)).collect();
        for (adapter, model) in wanted {
            let usable = engines.usable(service, now);
            let holders: Vec<(UpstreamKey, &Engine)> = usable
                .into_iter()
                .filter_map(|key| Some((key, engines.get(key)?)))
                .filter(|(_, engine)| engine.holds(model, None))
                .collect();
            if holders.iter().any(|(_, engine)| engine.holds(model, Some(adapter))) {
                self.adapters.shift_remove(&adapter);
                continue;
            }
            let free = holders.into_iter().filter(|(key, _)| !self.work.contains_key(key));
            let Some((key, engine)) = free.min_by_key(|(_, engine)| adapters_held(engine)) else {
                continue;
            };
            let Some(expected) = engine.orders else { continue };
            let full = adapters_held(engine) >= spec.adapter_slots as usize;
            let op = if full {
                let Some((model, oldest)) = self.oldest_adapter(key, engine) else { continue };
                Op::UnloadAdapter(model, oldest)
            } else {
                self.adapters.shift_remove(&adapter);
                Op::LoadAdapter(model, adapter)
            };
            self.work.insert(key, Work::Asked);
            actions.push(Action::Send(Order { engine: key, op, expected }));
        }
    }

    /// Records that a request used an adapter at an engine.
    pub fn use_adapter(&mut self, engine: UpstreamKey, adapter: AdapterKey, now: Tick) {
        self.used.insert((engine, adapter), now);
    }

    /// The adapter of an engine that was used longest ago.
    fn oldest_adapter(&self, key: UpstreamKey, engine: &Engine) -> Option<(ModelKey, AdapterKey)> {
        let held = engine.models.iter();
        let held = held.flat_map(|(&model, adapters)| adapters.iter().map(move |&a| (model, a)));
        held.min_by_key(|&(_, adapter)| self.used.get(&(key, adapter)).copied())
    }

    fn may_load_remote(&self) -> bool {
        let loading =
            self.work.values().filter(|work| matches!(work, Work::Doing { remote: true, .. }));
        self.permits >= 1.0 && loading.count() < REMOTE_AT_ONCE
    }

    fn refill(&mut self, spec: &EngineSpec, now: Tick) {
        let gained = now.since(self.permits_at).as_secs_f64() * spec.load_rate * REMOTE_SHARE;
        self.permits = (self.permits + gained).min(REMOTE_BURST);
        self.permits_at = now;
    }
}

/// Carries the effect of an order that is known to hold into the view of the engines.
fn apply(order: Order, engines: &mut Engines, now: Tick) {
    match order.op {
        Op::Load(model) => engines.hold_model(order.engine, model),
        Op::Unload(model) => engines.miss_model(order.engine, model),
        Op::LoadAdapter(model, adapter) => engines.say(order.engine, model, adapter, true, now),
        Op::UnloadAdapter(model, adapter) => engines.say(order.engine, model, adapter, false, now),
    }
}

/// How long a load takes at an engine, and whether it is one from the weight store.
fn load_time(size: &ModelSpec, engine: &Engine, model: ModelKey) -> (Duration, bool) {
    if engine.in_memory.contains(&model) {
        (size.times.memory, false)
    } else if engine.on_disk.contains(&model) {
        (size.times.disk, false)
    } else {
        (size.times.remote, true)
    }
}

fn adapters_held(engine: &Engine) -> usize {
    engine.models.values().map(IndexSet::len).sum()
}

/// Accelerator memory that an engine's models and adapters take.
fn used_mb(spec: &EngineSpec, engines: &Engines, engine: &Engine) -> f64 {
    let held = engine.models.keys().map(|&model| {
        let size = spec.models.get(engines.names.models.name(model));
        size.map_or(0.0, |size| size.size_mb) + adapters_mb(spec, engines, engine, model)
    });
    held.sum()
}

fn adapters_mb(spec: &EngineSpec, engines: &Engines, engine: &Engine, model: ModelKey) -> f64 {
    let count = engine.models.get(&model).map_or(0, IndexSet::len);
    let size = spec.models.get(engines.names.models.name(model));
    size.map_or(0.0, |size| size.adapter_mb * count as f64)
}
