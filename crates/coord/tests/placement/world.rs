//! A table, engines, planners and a network that loses, delays and doubles.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use corianderyoke_coord::placement::keep_alive::KeepAliveRule;
use corianderyoke_coord::placement::Catalog;
use corianderyoke_coord::placement::ChangeSet;
use corianderyoke_coord::placement::CommitOutcome;
use corianderyoke_coord::placement::Effect;
use corianderyoke_coord::placement::IntentRow;
use corianderyoke_coord::placement::Model;
use corianderyoke_coord::placement::ModelState;
use corianderyoke_coord::placement::Op;
use corianderyoke_coord::placement::Order;
use corianderyoke_coord::placement::OrderOutcome;
use corianderyoke_coord::placement::Planner;
use corianderyoke_coord::placement::ProbeReply;
use corianderyoke_coord::placement::Sequence;
use corianderyoke_coord::placement::Settings;
use corianderyoke_coord::placement::TableSnapshot;
use corianderyoke_coord::placement::Tier;
use corianderyoke_coord::placement::Upstream;
use corianderyoke_coord::time::Tick;

pub const MODELS: [&str; 3] = ["a", "b", "c"];
pub const MODEL_BYTES: u64 = 10;
pub const ENGINE_BYTES: u64 = 20;
pub const STORE_INFLIGHT: usize = 2;
const STEP: Duration = Duration::from_millis(20);
const LOAD: Duration = Duration::from_millis(600);

/// One engine as it truly is.
#[derive(Clone, Debug, Default)]
pub struct Engine {
    pub fenced: bool,
    pub drained: bool,
    /// Answers nothing.
    pub silent: bool,
    fence: u64,
    pub held: BTreeMap<String, Load>,
    disk: BTreeSet<String>,
}

#[derive(Clone, Debug)]
pub struct Load {
    pub ready: Tick,
    remote: bool,
}

#[derive(Clone, Debug, Default)]
pub struct Table {
    pub rows: BTreeMap<String, IntentRow>,
    sequence: Sequence,
    version: Option<u64>,
}

#[derive(Clone, Debug)]
enum Body {
    Commit(ChangeSet),
    Committed(u64, CommitOutcome),
    Scan,
    Scanned(TableSnapshot),
    Order { order: Order, model: String, engine: usize },
    Answered(u64, OrderOutcome),
    Ask { engine: usize, asked: Tick },
    State { engine: usize, state: ProbeReply },
    Unseen { engine: usize },
}

#[derive(Clone, Debug)]
struct Message {
    /// Incarnation it comes from or goes to.
    node: String,
    body: Body,
    held: bool,
    /// Its sender has given up waiting: no answer reaches it.
    silent: bool,
}

pub struct Node {
    pub planner: Planner,
    name: String,
    outbox: Vec<Effect>,
    pub paused: bool,
}

pub struct World {
    pub now: Tick,
    pub table: Table,
    pub engines: Vec<Engine>,
    pub nodes: Vec<Node>,
    net: Vec<Message>,
    hold: usize,
    hold_states: usize,
    slow: usize,
    incarnations: u32,
    dead: Vec<String>,
    pub loads: u32,
}

fn engine_name(engine: usize) -> String {
    format!("e{engine}")
}

impl World {
    pub fn new(nodes: usize, fenced: &[bool]) -> Self {
        let engines = fenced.iter().map(|fenced| Engine { fenced: *fenced, ..Engine::default() });
        let mut world = World {
            now: Tick(1_000_000),
            table: Table::default(),
            engines: engines.collect(),
            nodes: Vec::new(),
            net: Vec::new(),
            hold: 0,
            hold_states: 0,
            slow: 0,
            incarnations: 0,
            dead: Vec::new(),
            loads: 0,
        };
        for _ in 0..nodes {
            let node = world.node();
            world.nodes.push(node);
        }
        world
    }

    fn node(&mut self) -> Node {
        self.incarnations += 1;
        let name = format!("n{}", self.incarnations);
        let settings = Settings {
            store_inflight: STORE_INFLIGHT,
            store_rate: 50.0,
            order_retry: Duration::from_millis(100),
            load_backoff: Duration::from_secs(2),
            report_ttl: Duration::from_millis(400),
            keep_alive: KeepAliveRule::Fixed(Duration::from_millis(200)),
            ..Settings::default()
        };
        let mut planner = Planner::new(settings, &name);
        planner.configure(self.now, &self.facts());
        planner.start();
        Node { planner, name, outbox: Vec::new(), paused: false }
    }

    fn facts(&self) -> Catalog {
        let upstream = |(at, engine): (usize, &Engine)| Upstream {
            name: engine_name(at),
            memory: ENGINE_BYTES,
            fenced: engine.fenced,
            drained: engine.drained,
            ..Upstream::default()
        };
        let model = |name: &&str| Model {
            name: name.to_string(),
            bytes: MODEL_BYTES,
            from_disk: LOAD,
            from_remote: LOAD,
            ..Model::default()
        };
        Catalog {
            upstreams: self.engines.iter().enumerate().map(upstream).collect(),
            models: MODELS.iter().map(model).collect(),
        }
    }

    pub fn hold(&mut self, count: usize) {
        self.hold = count;
    }

    /// The next answers to questions for states come late.
    pub fn hold_states(&mut self, count: usize) {
        self.hold_states = count;
    }

    /// The next orders arrive late, when their sender has given up waiting.
    pub fn slow_orders(&mut self, count: usize) {
        self.slow = count;
    }

    pub fn drain(&mut self, engine: usize, drained: bool) {
        self.engines[engine].drained = drained;
        let facts = self.facts();
        for node in &mut self.nodes {
            node.planner.configure(self.now, &facts);
        }
    }

    pub fn cold(&mut self, engine: usize) {
        self.engines[engine].held.clear();
    }

    pub fn wake(&mut self, model: usize, waiting: u32) {
        for node in &mut self.nodes {
            node.planner.report_demand(self.now, MODELS[model], "r", waiting, 0);
        }
    }

    /// Ends an incarnation between any two of its steps; what it sent stays on its way.
    pub fn kill(&mut self, node: usize) {
        let fresh = self.node();
        let old = std::mem::replace(&mut self.nodes[node], fresh);
        self.dead.push(old.name);
    }

    /// Tells the planners of ended incarnations of which nothing is on its way any more.
    pub fn evidence(&mut self) {
        for name in &self.dead {
            if self.net.iter().all(|message| message.node != *name) {
                for node in &mut self.nodes {
                    node.planner.sender_ended(self.now, name);
                }
            }
        }
    }

    pub fn run(&mut self, steps: usize) {
        for _ in 0..steps {
            self.now = self.now + STEP;
            self.finish_loads();
            for node in 0..self.nodes.len() {
                self.poll(node);
                self.flush(node, usize::MAX);
            }
            for _ in 0..3 {
                self.deliver_all();
            }
            self.check();
        }
    }

    /// Lets a planner decide without sending what it decided.
    pub fn poll(&mut self, node: usize) {
        let node = &mut self.nodes[node];
        if !node.paused {
            let effects = node.planner.poll(self.now);
            node.outbox.extend(effects);
        }
    }

    fn flush(&mut self, node: usize, count: usize) {
        if self.nodes[node].paused {
            return;
        }
        let count = count.min(self.nodes[node].outbox.len());
        let effects: Vec<Effect> = self.nodes[node].outbox.drain(..count).collect();
        for effect in effects {
            self.send(node, effect);
        }
    }

    fn send(&mut self, at: usize, effect: Effect) {
        let node = &self.nodes[at];
        let engine = |name: &str| name[1..].parse::<usize>().expect("engine names are numbered");
        let body = match effect {
            Effect::Scan => Body::Scan,
            Effect::Commit(change) => Body::Commit(change),
            Effect::Order(order) => Body::Order {
                order,
                model: node.planner.model_name(order.model).to_owned(),
                engine: engine(node.planner.upstream_name(order.upstream)),
            },
            Effect::Probe { upstream, sent_at } => {
                Body::Ask { engine: engine(node.planner.upstream_name(upstream)), asked: sent_at }
            }
        };
        let order = matches!(body, Body::Order { .. });
        let held = self.hold > 0 && !matches!(body, Body::Ask { .. });
        self.hold -= usize::from(held);
        let message = Message { node: node.name.clone(), body, held, silent: false };
        if order && self.slow > 0 {
            self.slow -= 1;
            self.net.push(Message { held: true, silent: true, ..message.clone() });
            return self.give_up(&message);
        }
        self.net.push(message);
    }

    fn deliver_all(&mut self) {
        let (held, free): (Vec<Message>, Vec<Message>) =
            std::mem::take(&mut self.net).into_iter().partition(|message| message.held);
        self.net = held;
        for message in free {
            self.deliver(message);
        }
    }

    fn pick(&self, choice: usize) -> Option<usize> {
        (!self.net.is_empty()).then(|| choice % self.net.len().max(1))
    }

    /// Delivers any message, also a held one, out of order.
    pub fn release(&mut self, choice: usize) {
        if let Some(at) = self.pick(choice) {
            let message = self.net.remove(at);
            self.deliver(message);
            self.check();
        }
    }

    /// Loses a message; its sender gives up waiting.
    pub fn lose(&mut self, choice: usize) {
        if let Some(at) = self.pick(choice) {
            let message = self.net.remove(at);
            self.give_up(&message);
        }
    }

    /// The sender gives up waiting, but the message still arrives some time.
    pub fn time_out(&mut self, choice: usize) {
        if let Some(at) = self.pick(choice) {
            let message = self.net[at].clone();
            if !message.silent {
                self.net[at].silent = true;
                self.net[at].held = true;
                self.give_up(&message);
            }
        }
    }

    /// Doubles an order. A copy may be late only where fencing tokens are checked; elsewhere both
    /// arrive together, as a connection doesn't repeat what was answered on it.
    pub fn double(&mut self, choice: usize) {
        let Some(at) = self.pick(choice) else {
            return;
        };
        let message = self.net[at].clone();
        let Body::Order { engine, .. } = message.body else {
            return;
        };
        if self.engines[engine].fenced {
            self.net.push(Message { held: true, silent: true, ..message });
        } else {
            let first = self.net.remove(at);
            self.deliver(Message { silent: true, ..message });
            self.deliver(first);
        }
    }

    fn give_up(&mut self, message: &Message) {
        let reply = match &message.body {
            Body::Commit(change) => Body::Committed(change.id, CommitOutcome::Unknown),
            Body::Committed(id, _) => Body::Committed(*id, CommitOutcome::Unknown),
            Body::Order { order, .. } => Body::Answered(order.id, OrderOutcome::Lost),
            Body::Answered(id, _) => Body::Answered(*id, OrderOutcome::Lost),
            Body::Scan | Body::Scanned(_) => Body::Scan,
            Body::Ask { engine, .. } => Body::Unseen { engine: *engine },
            Body::State { .. } | Body::Unseen { .. } => return,
        };
        let message = Message { body: reply, held: false, silent: false, ..message.clone() };
        self.receive(message);
    }

    fn deliver(&mut self, message: Message) {
        if let Body::Order { engine, .. } | Body::Ask { engine, .. } = message.body {
            if self.engines[engine].silent {
                return self.give_up(&message);
            }
        }
        let reply = match &message.body {
            Body::Commit(change) => Body::Committed(change.id, self.commit(change)),
            Body::Scan => Body::Scanned(TableSnapshot {
                sequence: self.table.sequence.clone(),
                version: self.table.version,
                rows: self.table.rows.values().cloned().collect(),
            }),
            Body::Order { order, model, engine } => {
                Body::Answered(order.id, self.obey(order, model, *engine))
            }
            Body::Ask { engine, asked } => {
                Body::State { engine: *engine, state: self.state(&message.node, *engine, *asked) }
            }
            _ => return self.receive(message),
        };
        if !message.silent {
            let state = matches!(reply, Body::State { .. });
            let left = if state { &mut self.hold_states } else { &mut self.hold };
            let held = *left > 0;
            *left -= usize::from(held);
            self.net.push(Message { node: message.node, body: reply, held, silent: false });
        }
    }

    fn receive(&mut self, message: Message) {
        let now = self.now;
        let Some(node) = self.nodes.iter_mut().find(|node| node.name == message.node) else {
            return;
        };
        if node.paused {
            self.net.push(message);
            return;
        }
        match message.body {
            Body::Committed(id, outcome) => node.planner.commit_completed(now, id, outcome),
            Body::Answered(id, answer) => node.planner.order_completed(now, id, answer),
            Body::Scanned(table) => node.planner.adopt(now, &table),
            Body::Scan => node.planner.scan_failed(),
            Body::State { engine, state } => {
                let key = node.planner.upstream_key(&engine_name(engine));
                node.planner.probe_replied(now, key.expect("known since the start"), &state);
            }
            Body::Unseen { engine } => {
                let key = node.planner.upstream_key(&engine_name(engine));
                node.planner.probe_failed(now, key.expect("known since the start"));
            }
            _ => unreachable!("requests go to the table and the engines"),
        }
    }

    fn commit(&mut self, change: &ChangeSet) -> CommitOutcome {
        if change.expected_version != self.table.version {
            return CommitOutcome::Conflict;
        }
        let version = self.table.version.unwrap_or(0) + 1;
        self.table.version = Some(version);
        self.table.sequence.fence = change.fence;
        for row in &change.puts {
            self.table.rows.insert(row.key().to_string(), row.clone());
        }
        for key in &change.deletes {
            self.table.rows.remove(&key.to_string());
        }
        CommitOutcome::Committed(version)
    }

    fn obey(&mut self, order: &Order, model: &str, at: usize) -> OrderOutcome {
        let now = self.now;
        let engine = &mut self.engines[at];
        if engine.fenced && order.fence < engine.fence {
            return OrderOutcome::StaleFence;
        }
        if engine.fenced {
            engine.fence = order.fence;
        }
        match order.op {
            Op::Unload => {
                engine.held.remove(model);
            }
            Op::Load if !engine.held.contains_key(model) => {
                let used = engine.held.len() as u64 * MODEL_BYTES;
                assert!(used + order.bytes <= ENGINE_BYTES, "memory of {at} is overcommitted");
                let remote = !engine.disk.contains(model);
                engine.held.insert(model.to_owned(), Load { ready: now + LOAD, remote });
                self.loads += 1;
            }
            Op::Load => {}
        }
        OrderOutcome::Accepted
    }

    fn state(&self, node: &str, at: usize, asked: Tick) -> ProbeReply {
        let engine = &self.engines[at];
        let node = self.nodes.iter().find(|other| other.name == *node);
        let mut state = ProbeReply { sent_at: asked, fence: engine.fence, ..ProbeReply::default() };
        let Some(planner) = node.map(|node| &node.planner) else {
            return state;
        };
        let key = |model: &str| planner.model_key(model).expect("all models are configured");
        for (model, load) in &engine.held {
            let held =
                if load.ready <= self.now { ModelState::Loaded } else { ModelState::Loading };
            state.models.insert(key(model), (held, MODEL_BYTES));
        }
        for model in &engine.disk {
            state.checkpoints.insert(key(model), Tier::Disk);
        }
        state
    }

    fn finish_loads(&mut self) {
        for engine in &mut self.engines {
            let done = engine.held.iter_mut().filter(|(_, load)| load.ready <= self.now);
            for (model, load) in done {
                load.remote = false;
                engine.disk.insert(model.clone());
            }
        }
    }

    /// What must hold at any time.
    pub fn check(&self) {
        for (at, engine) in self.engines.iter().enumerate() {
            for model in engine.held.keys() {
                let key = format!("{model}@{}", engine_name(at));
                assert!(self.table.rows.contains_key(&key), "{key} is loaded but not decided");
            }
            let name = engine_name(at);
            let rows = self.table.rows.values().filter(|row| row.upstream == name);
            let taken: u64 = rows.map(|row| row.bytes).sum();
            assert!(taken <= ENGINE_BYTES, "{taken} bytes are decided on {name}");
        }
        let loads = self.engines.iter().flat_map(|engine| engine.held.values());
        let remote = loads.filter(|load| load.remote).count();
        assert!(remote <= STORE_INFLIGHT, "{remote} loads at once at the weight store");
        let permits = self.table.rows.values().filter(|row| row.permit).count();
        assert!(permits <= STORE_INFLIGHT, "{permits} permits in the table");
    }

    /// Ends all faults: every message arrives, one fresh controller is left.
    pub fn heal(&mut self) {
        for node in 0..self.nodes.len() {
            self.kill(node);
        }
        self.nodes.truncate(1);
        self.hold = 0;
        self.hold_states = 0;
        self.slow = 0;
        self.net.iter_mut().for_each(|message| message.held = false);
        for _ in 0..3 {
            self.deliver_all();
            self.check();
        }
        for engine in 0..self.engines.len() {
            self.drain(engine, false);
        }
        self.evidence();
    }

    pub fn loaded(&self, model: usize) -> bool {
        let held = self.engines.iter().filter_map(|engine| engine.held.get(MODELS[model]));
        held.into_iter().any(|load| load.ready <= self.now)
    }
}
