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
use crate::serving::demand::Asked;
use crate::serving::demand::Demand;
use crate::serving::demand::WAIT_SPAN;
use crate::serving::desired::EngineSpec;
use crate::serving::desired::ModelSpec;
use crate::serving::engines::Engine;
use crate::serving::engines::Engines;
use crate::time::Tick;

/// Part of a model's loss that counts where enough other engines hold it.
const SPARE_SHARE: f64 = 0.05;
/// Longest load, in seconds, by which another copy is made.
const COPY_TIME: f64 = 1.0;
/// Seconds of waiting that another copy of a busy model may cost others.
const COPY_LOSS: f64 = 0.4;
/// Loads from the weight store that run at full speed at once; more slow each other down.
const REMOTE_AT_ONCE: usize = 4;
/// Loads that the weight store's allowance may save up.
const REMOTE_BURST: f64 = 3.0;
/// Part of the weight store's rate that is used.
const REMOTE_SHARE: f64 = 0.95;
/// Time after which an order that shows no effect is looked into.
const LOOK_AFTER: Duration = Duration::from_millis(1_500);
/// Time by which a report may lag behind what the engine did.
const REPORT_LAG: Duration = Duration::from_millis(250);
/// Seconds that an unload takes where nothing runs.
const UNLOAD_TIME: f64 = 0.05;
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

/// What is known of an engine's current order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    /// An order was sent and not answered yet.
    Asked,
    /// An order is carried out; it shows in the engine's entry.
    Doing,
    /// What the engine holds must be asked.
    Unclear,
    /// It is being asked.
    Inspecting,
}

/// An engine's current order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Work {
    phase: Phase,
    /// The order, where there is one.
    op: Option<Op>,
    /// When the engine is to be asked about it.
    look: Tick,
    /// Whether it loads from the weight store.
    remote: bool,
}

impl Work {
    fn unclear(look: Tick) -> Self {
        Work { phase: Phase::Unclear, op: None, look, remote: false }
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
    /// Counts requests for a model, and the tokens that engines have to read for them.
    pub fn arrive(&mut self, model: ModelKey, count: u64, tokens: u64, now: Tick) {
        self.demand.entry(model).or_default().arrive(count, tokens, now);
    }

    /// A daemon says how often it was asked for a model lately.
    pub fn hear(
        &mut self,
        daemon: &str,
        incarnation: u64,
        model: ModelKey,
        asked: Asked,
        now: Tick,
    ) {
        self.demand.entry(model).or_default().hear(daemon, incarnation, asked, now);
    }

    /// A daemon says how many requests wait there for a model that no engine holds.
    pub fn wait(&mut self, daemon: &str, model: ModelKey, count: u32, now: Tick) {
        self.demand.entry(model).or_default().wait(daemon, count, now);
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
            self.work.insert(key, Work::unclear(now));
        }
    }

    /// An engine answered an order.
    pub fn answered(
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
                engines.accept(key);
                self.accepted(order, spec, engines, now);
            }
            Answer::Holds => {
                // An adapter that nobody uses goes at once, and its order counts all the same.
                if matches!(order.op, Op::UnloadAdapter(..)) {
                    engines.accept(key);
                }
                self.work.shift_remove(&key);
                apply(order, engines, now);
            }
            Answer::Busy | Answer::Unanswered | Answer::Rejected | Answer::Fenced => {
                self.work.insert(key, Work::unclear(now + REPORT_LAG));
            }
        }
    }

    /// An engine said what it holds, which the view of the engines shows already.
    pub fn inspected(&mut self, engine: UpstreamKey, busy: bool, now: Tick) {
        if !busy {
            self.work.shift_remove(&engine);
            return;
        }
        let work = self.work.entry(engine).or_insert(Work::unclear(now));
        work.look = now + LOOK_AFTER;
        work.phase = if work.op.is_some() { Phase::Doing } else { Phase::Unclear };
    }

    /// An engine couldn't be asked.
    pub fn unseen(&mut self, engine: UpstreamKey, now: Tick) {
        let work = self.work.entry(engine).or_insert(Work::unclear(now));
        work.look = now + LOOK_AFTER;
        work.phase = Phase::Unclear;
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
        let usable = engines.usable(service, now);
        for &key in &usable {
            // Nothing is ordered before it is known what the engine has accepted.
            let unknown = engines.get(key).is_some_and(|engine| engine.orders.is_none());
            if unknown && !self.work.contains_key(&key) {
                self.work.insert(key, Work::unclear(now));
            }
        }
        self.settle(engines, now, &mut actions);
        self.continue_planned(spec, engines, now, &mut actions);
        for model in self.wanted(&usable, spec, engines, now) {
            let Some(way) = self.best(&usable, spec, engines, model, now) else { continue };
            self.start(way, model, engines, now, &mut actions);
        }
        for model in self.crowded(&usable, spec, engines, now) {
            let Some(way) = self.best(&usable, spec, engines, model, now) else { continue };
            if !way.remote && way.cost < COPY_LOSS + COPY_TIME {
                self.start(way, model, engines, now, &mut actions);
            }
        }
        self.plan_adapters(&usable, spec, engines, now, &mut actions);
        actions
    }

    fn accepted(&mut self, order: Order, spec: &EngineSpec, engines: &mut Engines, now: Tick) {
        let (time, remote) = match order.op {
            Op::Load(model) => {
                self.loaded.insert((order.engine, model), now);
                let size = spec.models.get(engines.names.models.name(model));
                let engine = engines.get(order.engine);
                let found = size.zip(engine).map(|(size, engine)| load_time(size, engine, model));
                found.unwrap_or((Duration::ZERO, false))
            }
            Op::Unload(model) => {
                engines.unload_model(order.engine, model);
                (Duration::ZERO, false)
            }
            Op::LoadAdapter(..) => {
                self.work.shift_remove(&order.engine);
                apply(order, engines, now);
                return;
            }
            Op::UnloadAdapter(..) => {
                // It is in use, and keeps its place until the engine says that it is gone.
                self.work.insert(order.engine, Work::unclear(now + REPORT_LAG));
                return;
            }
        };
        let look = now + time + LOOK_AFTER;
        let work = Work { phase: Phase::Doing, op: Some(order.op), look, remote };
        self.work.insert(order.engine, work);
    }

    /// Ends work that shows its effect, and looks into work that doesn't in time.
    fn settle(&mut self, engines: &Engines, now: Tick, actions: &mut Vec<Action>) {
        self.work.retain(|key, work| {
            let Some(engine) = engines.get(*key) else { return false };
            let shows = match (work.phase, work.op) {
                (Phase::Doing, Some(Op::Load(model))) => engine.holds(model, None),
                (Phase::Doing, Some(Op::Unload(model))) => !engine.models.contains_key(&model),
                _ => false,
            };
            if shows {
                return false;
            }
            if matches!(work.phase, Phase::Doing | Phase::Unclear) && now >= work.look {
                work.phase = Phase::Inspecting;
                actions.push(Action::Inspect(*key));
            }
            true
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
            let Some(way) = self.way(spec, engines, key, engine, model, now) else {
                continue;
            };
            if self.demand.get(&model).is_some_and(|demand| demand.waiting(now) > 0) {
                self.start(way, model, engines, now, actions);
            }
        }
    }

    /// Models that requests wait for and no engine holds or is about to hold, most waited for
    /// first.
    fn wanted(
        &self,
        usable: &[UpstreamKey],
        spec: &EngineSpec,
        engines: &Engines,
        now: Tick,
    ) -> Vec<ModelKey> {
        let usable: Vec<&Engine> = usable.iter().filter_map(|key| engines.get(*key)).collect();
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

    /// Models whose engines have more to read than they should, the busiest first.
    fn crowded(
        &self,
        usable: &[UpstreamKey],
        spec: &EngineSpec,
        engines: &Engines,
        now: Tick,
    ) -> Vec<ModelKey> {
        let mut crowded: Vec<(ModelKey, usize)> = Vec::new();
        for (&model, demand) in &self.demand {
            if !spec.models.contains_key(engines.names.models.name(model)) {
                continue;
            }
            let held = usable.iter().filter_map(|key| engines.get(*key));
            let held = held.filter(|engine| engine.holds(model, None)).count();
            let coming = self.coming().filter(|other| *other == model).count();
            let missing = demand.copies(now).min(usable.len()).saturating_sub(held + coming);
            if held > 0 && missing > 0 {
                crowded.push((model, missing));
            }
        }
        crowded.sort_by_key(|&(_, missing)| Reverse(missing));
        crowded.into_iter().map(|(model, _)| model).collect()
    }

    /// Models that a load is under way for.
    fn coming(&self) -> impl Iterator<Item = ModelKey> + '_ {
        let doing = self.work.values().filter_map(|work| match work.op {
            Some(Op::Load(model)) => Some(model),
            _ => None,
        });
        doing.chain(self.planned.values().copied())
    }

    /// The cheapest way to load a model.
    fn best(
        &self,
        usable: &[UpstreamKey],
        spec: &EngineSpec,
        engines: &Engines,
        model: ModelKey,
        now: Tick,
    ) -> Option<Way> {
        let free = usable
            .iter()
            .filter(|key| !self.work.contains_key(*key) && !self.planned.contains_key(*key));
        let ways = free.filter_map(|&key| {
            let engine = engines.get(key).filter(|engine| !engine.models.contains_key(&model))?;
            self.way(spec, engines, key, engine, model, now)
        });
        ways.min_by(|a, b| a.cost.total_cmp(&b.cost))
    }

    /// What a load at one engine takes, or `None` where it isn't possible now.
    fn way(
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
            cost += loss + UNLOAD_TIME;
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
        let expected = demand.map_or(0.0, |demand| demand.expected(now));
        let others = engines
            .iter()
            .filter(|(other, engine)| *other != key && engine.holds(model, None))
            .count();
        let reload = size.times.disk.as_secs_f64();
        let running = self.running.get(&(key, model)).copied().unwrap_or(0);
        // An unload waits until what runs has ended, and holds the engine's next order up.
        let drain = if running > 0 { 0.5 + 0.1 * f64::from(running) } else { 0.0 };
        let copies = demand.map_or(1, |demand| demand.copies(now));
        let needed = if others >= copies { SPARE_SHARE } else { 1.0 / (1 + others) as f64 };
        expected * reload * needed + drain
    }

    fn start(
        &mut self,
        way: Way,
        model: ModelKey,
        engines: &Engines,
        now: Tick,
        actions: &mut Vec<Action>,
    ) {
        let known = engines.get(way.engine).and_then(|engine| engine.orders);
        let Some(expected) = known else { return };
        let op = match way.victims.first() {
            Some(&victim) => {
                self.planned.insert(way.engine, model);
                Op::Unload(victim)
            }
            None => {
                if way.remote {
                    self.permits -= 1.0;
                }
                Op::Load(model)
            }
        };
        let work = Work { phase: Phase::Asked, op: Some(op), look: now, remote: way.remote };
        self.work.insert(way.engine, work);
        actions.push(Action::Send(Order { engine: way.engine, op, expected }));
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
        self.adapters.retain(|_, (_, at)| now.since(*at) < WAIT_SPAN);
        let wanted: Vec<(AdapterKey, ModelKey)> =
            self.adapters.iter().map(|(&adapter, &(model, _))| (adapter, model)).collect();
        for (adapter, model) in wanted {
            let holders: Vec<(UpstreamKey, &Engine)> = usable
                .iter()
                .filter_map(|&key| Some((key, engines.get(key)?)))
                .filter(|(_, engine)| engine.holds(model, None))
                .collect();
            if holders.iter().any(|(_, engine)| engine.holds(model, Some(adapter))) {
                self.adapters.shift_remove(&adapter);
                continue;
            }
            // An engine that carries out an order on a model refuses any other.
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
            let asked = Work { phase: Phase::Asked, op: Some(op), look: now, remote: false };
            self.work.insert(key, asked);
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
        let loading = self.work.values().filter(|work| work.remote);
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
        Op::Unload(model) => engines.drop_model(order.engine, model),
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
    engine.models.keys().map(|&model| engine.adapters(model)).sum()
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
    let size = spec.models.get(engines.names.models.name(model));
    size.map_or(0.0, |size| size.adapter_mb * engine.adapters(model) as f64)
}
