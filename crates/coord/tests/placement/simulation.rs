//! Simulates the table, the engines, several planners, and a network that drops, delays and
//! duplicates messages.

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
const LOAD_TIME: Duration = Duration::from_millis(600);

/// Actual state of a simulated engine.
#[derive(Clone, Debug, Default)]
pub struct Engine {
    pub fenced: bool,
    pub drained: bool,
    /// Whether requests to the engine get no response.
    pub unreachable: bool,
    fence: u64,
    /// Models in memory or being loaded, by name.
    pub replicas: BTreeMap<String, Load>,
    /// Models with a checkpoint on disk.
    disk: BTreeSet<String>,
}

#[derive(Clone, Debug)]
pub struct Load {
    pub ready_at: Tick,
    /// Whether the weights are still being read from the weight store.
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
    CommitCompleted(u64, CommitOutcome),
    Scan,
    ScanCompleted(TableSnapshot),
    Order { order: Order, model: String, engine: usize },
    OrderCompleted(u64, OrderOutcome),
    Probe { engine: usize, sent_at: Tick },
    ProbeReplied { engine: usize, reply: ProbeReply },
    ProbeFailed { engine: usize },
}

#[derive(Clone, Debug)]
struct Message {
    /// Controller incarnation that sent it or receives it.
    node: String,
    body: Body,
    delayed: bool,
    /// Whether its sender has given up, so that no response is sent.
    abandoned: bool,
}

pub struct Node {
    pub planner: Planner,
    name: String,
    /// Effects returned by the planner and not sent yet.
    outbox: Vec<Effect>,
    pub paused: bool,
}

pub struct Simulation {
    pub now: Tick,
    pub table: Table,
    pub engines: Vec<Engine>,
    pub nodes: Vec<Node>,
    network: Vec<Message>,
    /// Number of next messages to delay.
    message_delays: usize,
    /// Number of next probe replies to delay.
    reply_delays: usize,
    /// Number of next orders to delay.
    order_delays: usize,
    incarnations: u32,
    /// Names of ended incarnations.
    ended_nodes: Vec<String>,
    /// Loads started on all engines.
    pub load_count: u32,
}

fn engine_name(engine: usize) -> String {
    format!("e{engine}")
}

impl Simulation {
    pub fn new(nodes: usize, fenced: &[bool]) -> Self {
        let engines = fenced.iter().map(|fenced| Engine { fenced: *fenced, ..Engine::default() });
        let mut sim = Simulation {
            now: Tick(1_000_000),
            table: Table::default(),
            engines: engines.collect(),
            nodes: Vec::new(),
            network: Vec::new(),
            message_delays: 0,
            reply_delays: 0,
            order_delays: 0,
            incarnations: 0,
            ended_nodes: Vec::new(),
            load_count: 0,
        };
        for _ in 0..nodes {
            let node = sim.new_node();
            sim.nodes.push(node);
        }
        sim
    }

    fn new_node(&mut self) -> Node {
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
        planner.configure(self.now, &self.catalog());
        planner.start();
        Node { planner, name, outbox: Vec::new(), paused: false }
    }

    fn catalog(&self) -> Catalog {
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
            from_disk: LOAD_TIME,
            from_remote: LOAD_TIME,
            ..Model::default()
        };
        Catalog {
            upstreams: self.engines.iter().enumerate().map(upstream).collect(),
            models: MODELS.iter().map(model).collect(),
        }
    }

    pub fn delay_messages(&mut self, count: usize) {
        self.message_delays = count;
    }

    /// Delays the next `count` probe replies.
    pub fn delay_replies(&mut self, count: usize) {
        self.reply_delays = count;
    }

    /// Delays the next `count` orders until their sender has given up.
    pub fn delay_orders(&mut self, count: usize) {
        self.order_delays = count;
    }

    pub fn set_drained(&mut self, engine: usize, drained: bool) {
        self.engines[engine].drained = drained;
        let catalog = self.catalog();
        for node in &mut self.nodes {
            node.planner.configure(self.now, &catalog);
        }
    }

    pub fn clear_engine(&mut self, engine: usize) {
        self.engines[engine].replicas.clear();
    }

    pub fn report_demand(&mut self, model: usize, waiting: u32) {
        for node in &mut self.nodes {
            node.planner.report_demand(self.now, MODELS[model], "r", waiting, 0);
        }
    }

    /// Ends an incarnation between any two of its steps and starts a new one. The messages it sent
    /// stay in flight.
    pub fn kill(&mut self, node: usize) {
        let new = self.new_node();
        let old = std::mem::replace(&mut self.nodes[node], new);
        self.ended_nodes.push(old.name);
    }

    /// Reports to the planners each ended incarnation that has no message in flight.
    pub fn report_ended_senders(&mut self) {
        for name in &self.ended_nodes {
            if self.network.iter().all(|message| message.node != *name) {
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
            self.check_invariants();
        }
    }

    /// Polls a planner without sending its effects.
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
                Body::Probe { engine: engine(node.planner.upstream_name(upstream)), sent_at }
            }
        };
        let is_order = matches!(body, Body::Order { .. });
        let delayed = self.message_delays > 0 && !matches!(body, Body::Probe { .. });
        self.message_delays -= usize::from(delayed);
        let message = Message { node: node.name.clone(), body, delayed, abandoned: false };
        if is_order && self.order_delays > 0 {
            self.order_delays -= 1;
            self.network.push(Message { delayed: true, abandoned: true, ..message.clone() });
            return self.fail_request(&message);
        }
        self.network.push(message);
    }

    fn deliver_all(&mut self) {
        let (delayed, due): (Vec<Message>, Vec<Message>) =
            std::mem::take(&mut self.network).into_iter().partition(|message| message.delayed);
        self.network = delayed;
        for message in due {
            self.deliver(message);
        }
    }

    fn pick_message(&self, choice: usize) -> Option<usize> {
        (!self.network.is_empty()).then(|| choice % self.network.len().max(1))
    }

    /// Delivers any one message out of order, even a delayed one.
    pub fn deliver_any(&mut self, choice: usize) {
        if let Some(at) = self.pick_message(choice) {
            let message = self.network.remove(at);
            self.deliver(message);
            self.check_invariants();
        }
    }

    /// Drops a message; its sender gives up.
    pub fn drop_message(&mut self, choice: usize) {
        if let Some(at) = self.pick_message(choice) {
            let message = self.network.remove(at);
            self.fail_request(&message);
        }
    }

    /// Lets the sender of a message give up, while the message may still arrive.
    pub fn time_out(&mut self, choice: usize) {
        if let Some(at) = self.pick_message(choice) {
            let message = self.network[at].clone();
            if !message.abandoned {
                self.network[at].abandoned = true;
                self.network[at].delayed = true;
                self.fail_request(&message);
            }
        }
    }

    /// Duplicates an order. The copy may arrive later only where fencing tokens are checked.
    /// Elsewhere both arrive together, since a connection doesn't repeat a request that was
    /// answered on it.
    pub fn duplicate_order(&mut self, choice: usize) {
        let Some(at) = self.pick_message(choice) else {
            return;
        };
        let message = self.network[at].clone();
        let Body::Order { engine, .. } = message.body else {
            return;
        };
        if self.engines[engine].fenced {
            self.network.push(Message { delayed: true, abandoned: true, ..message });
        } else {
            let original = self.network.remove(at);
            self.deliver(Message { abandoned: true, ..message });
            self.deliver(original);
        }
    }

    fn fail_request(&mut self, message: &Message) {
        let response = match &message.body {
            Body::Commit(change) => Body::CommitCompleted(change.id, CommitOutcome::Unknown),
            Body::CommitCompleted(id, _) => Body::CommitCompleted(*id, CommitOutcome::Unknown),
            Body::Order { order, .. } => Body::OrderCompleted(order.id, OrderOutcome::Lost),
            Body::OrderCompleted(id, _) => Body::OrderCompleted(*id, OrderOutcome::Lost),
            Body::Scan | Body::ScanCompleted(_) => Body::Scan,
            Body::Probe { engine, .. } => Body::ProbeFailed { engine: *engine },
            Body::ProbeReplied { .. } | Body::ProbeFailed { .. } => return,
        };
        let message =
            Message { body: response, delayed: false, abandoned: false, ..message.clone() };
        self.receive(message);
    }

    fn deliver(&mut self, message: Message) {
        if let Body::Order { engine, .. } | Body::Probe { engine, .. } = message.body {
            if self.engines[engine].unreachable {
                return self.fail_request(&message);
            }
        }
        let response = match &message.body {
            Body::Commit(change) => Body::CommitCompleted(change.id, self.commit(change)),
            Body::Scan => Body::ScanCompleted(TableSnapshot {
                sequence: self.table.sequence.clone(),
                version: self.table.version,
                rows: self.table.rows.values().cloned().collect(),
            }),
            Body::Order { order, model, engine } => {
                Body::OrderCompleted(order.id, self.run_order(order, model, *engine))
            }
            Body::Probe { engine, sent_at } => Body::ProbeReplied {
                engine: *engine,
                reply: self.probe_reply(&message.node, *engine, *sent_at),
            },
            _ => return self.receive(message),
        };
        if !message.abandoned {
            let is_probe_reply = matches!(response, Body::ProbeReplied { .. });
            let remaining =
                if is_probe_reply { &mut self.reply_delays } else { &mut self.message_delays };
            let delayed = *remaining > 0;
            *remaining -= usize::from(delayed);
            self.network.push(Message {
                node: message.node,
                body: response,
                delayed,
                abandoned: false,
            });
        }
    }

    fn receive(&mut self, message: Message) {
        let now = self.now;
        let Some(node) = self.nodes.iter_mut().find(|node| node.name == message.node) else {
            return;
        };
        if node.paused {
            self.network.push(message);
            return;
        }
        match message.body {
            Body::CommitCompleted(id, outcome) => node.planner.commit_completed(now, id, outcome),
            Body::OrderCompleted(id, outcome) => node.planner.order_completed(now, id, outcome),
            Body::ScanCompleted(table) => node.planner.adopt(now, &table),
            Body::Scan => node.planner.scan_failed(),
            Body::ProbeReplied { engine, reply } => {
                let key = node.planner.upstream_key(&engine_name(engine));
                node.planner.probe_replied(now, key.expect("all engines are configured"), &reply);
            }
            Body::ProbeFailed { engine } => {
                let key = node.planner.upstream_key(&engine_name(engine));
                node.planner.probe_failed(now, key.expect("all engines are configured"));
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

    fn run_order(&mut self, order: &Order, model: &str, at: usize) -> OrderOutcome {
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
                engine.replicas.remove(model);
            }
            Op::Load if !engine.replicas.contains_key(model) => {
                let used = engine.replicas.len() as u64 * MODEL_BYTES;
                assert!(
                    used + order.bytes <= ENGINE_BYTES,
                    "memory of engine {at} is overcommitted"
                );
                let remote = !engine.disk.contains(model);
                engine
                    .replicas
                    .insert(model.to_owned(), Load { ready_at: now + LOAD_TIME, remote });
                self.load_count += 1;
            }
            Op::Load => {}
        }
        OrderOutcome::Accepted
    }

    fn probe_reply(&self, node: &str, at: usize, sent_at: Tick) -> ProbeReply {
        let engine = &self.engines[at];
        let node = self.nodes.iter().find(|other| other.name == *node);
        let mut reply = ProbeReply { sent_at, fence: engine.fence, ..ProbeReply::default() };
        let Some(planner) = node.map(|node| &node.planner) else {
            return reply;
        };
        let key = |model: &str| planner.model_key(model).expect("all models are configured");
        for (model, load) in &engine.replicas {
            let state =
                if load.ready_at <= self.now { ModelState::Loaded } else { ModelState::Loading };
            reply.models.insert(key(model), (state, MODEL_BYTES));
        }
        for model in &engine.disk {
            reply.checkpoints.insert(key(model), Tier::Disk);
        }
        reply
    }

    fn finish_loads(&mut self) {
        for engine in &mut self.engines {
            let finished = engine.replicas.iter_mut().filter(|(_, load)| load.ready_at <= self.now);
            for (model, load) in finished {
                load.remote = false;
                engine.disk.insert(model.clone());
            }
        }
    }

    /// Checks what must hold at any time: every loaded model is decided, and neither the memory of
    /// an engine nor the weight store's limit is exceeded.
    pub fn check_invariants(&self) {
        for (at, engine) in self.engines.iter().enumerate() {
            for model in engine.replicas.keys() {
                let key = format!("{model}@{}", engine_name(at));
                assert!(self.table.rows.contains_key(&key), "{key} is loaded but not decided");
            }
            let name = engine_name(at);
            let rows = self.table.rows.values().filter(|row| row.upstream == name);
            let reserved: u64 = rows.map(|row| row.bytes).sum();
            assert!(reserved <= ENGINE_BYTES, "{reserved} bytes are reserved on {name}");
        }
        let loads = self.engines.iter().flat_map(|engine| engine.replicas.values());
        let remote = loads.filter(|load| load.remote).count();
        assert!(remote <= STORE_INFLIGHT, "{remote} concurrent loads from the weight store");
        let permits = self.table.rows.values().filter(|row| row.permit).count();
        assert!(permits <= STORE_INFLIGHT, "{permits} weight store permits in the table");
    }

    /// Ends all faults: every message is delivered, and a single new controller is left.
    pub fn end_faults(&mut self) {
        for node in 0..self.nodes.len() {
            self.kill(node);
        }
        self.nodes.truncate(1);
        self.message_delays = 0;
        self.reply_delays = 0;
        self.order_delays = 0;
        self.network.iter_mut().for_each(|message| message.delayed = false);
        for _ in 0..3 {
            self.deliver_all();
            self.check_invariants();
        }
        for engine in 0..self.engines.len() {
            self.set_drained(engine, false);
        }
        self.report_ended_senders();
    }

    pub fn is_loaded(&self, model: usize) -> bool {
        let replicas = self.engines.iter().filter_map(|engine| engine.replicas.get(MODELS[model]));
        replicas.into_iter().any(|load| load.ready_at <= self.now)
    }
}
