//! A simulated cell: several machines, a lossy network, drifting clocks and a store with faults.

mod store;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use corianderyoke_coord::membership::Effect;
use corianderyoke_coord::membership::Kind;
use corianderyoke_coord::membership::Machine;
use corianderyoke_coord::membership::MemberId;
use corianderyoke_coord::membership::MemberRow;
use corianderyoke_coord::membership::Reply;
use corianderyoke_coord::membership::Request;
use corianderyoke_coord::membership::Role;
use corianderyoke_coord::membership::RowState;
use corianderyoke_coord::membership::Settings;
use corianderyoke_coord::membership::Stage;
use corianderyoke_coord::membership::StoreAnswer;
use corianderyoke_coord::membership::StoreOp;
use corianderyoke_coord::time::Tick;
use indexmap::IndexSet;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use store::Store;

const MS: u64 = 1000;
const POLL: u64 = 100 * MS;
const LIST: u64 = 2000 * MS;
const STORE_LIMIT: u64 = 1000 * MS;
const RESTART: u64 = 300 * MS;
const THINGS: [(Kind, &str); 6] = [
    (Kind::Bucket, "kumlama"),
    (Kind::Bucket, "mirror"),
    (Kind::Dispatch, "small"),
    (Kind::Dispatch, "large"),
    (Kind::Dispatch, "tender"),
    (Kind::Placement, "cell"),
];

/// What goes wrong, and for how many milliseconds.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    Pause(usize, u64),
    Kill(usize, u64),
    /// The instance goes for good; the platform's list drops it later.
    Lose(usize),
    StoreDown(u64),
    /// The store takes effect without answering.
    StoreMute(u64),
    StoreCut(usize, u64),
    PeersCut(usize, u64),
    LinkCut(usize, usize, u64),
    Leave(usize),
}

/// How bad the network is.
#[derive(Clone, Copy, Debug)]
pub struct Weather {
    pub seed: u64,
    pub lost: f64,
    pub doubled: f64,
    pub late: f64,
}

enum Event {
    Poll(usize),
    List(usize),
    Arrive(MemberId, u64, StoreOp),
    Answered(MemberId, u64, StoreAnswer),
    Asked(MemberId, String, Request),
    Replied(MemberId, String, Reply),
    Start(usize),
    Fault(Fault),
}

struct Node {
    machine: Option<Machine>,
    /// Parts per million by which its clock is fast.
    drift: i64,
    origin: u64,
    paused: u64,
    store_cut: u64,
    peers_cut: u64,
    lost: Option<u64>,
    epoch: u64,
}

pub struct Cell {
    now: u64,
    seq: u64,
    events: BinaryHeap<Reverse<(u64, u64, usize)>>,
    pending: Vec<Option<Event>>,
    nodes: Vec<Node>,
    links: Vec<(usize, usize, u64)>,
    store: Store,
    down: u64,
    mute: u64,
    rng: ChaCha8Rng,
    weather: Weather,
    settings: Settings,
    incarnation: u64,
    /// Requests that the machines sent.
    pub messages: u64,
    /// Accesses to the store.
    pub accesses: u64,
}

fn name(node: usize) -> String {
    format!("n{node}")
}

fn node_of(name: &str) -> usize {
    name[1..].parse().expect("a node's name")
}

impl Cell {
    pub fn new(count: usize, weather: Weather, settings: Settings) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(weather.seed);
        let nodes = (0..count)
            .map(|_| Node {
                machine: None,
                drift: rng.random_range(-10_000..=10_000),
                origin: rng.random_range(1..1_000_000_000),
                paused: 0,
                store_cut: 0,
                peers_cut: 0,
                lost: None,
                epoch: 0,
            })
            .collect();
        let mut cell = Cell {
            now: 0,
            seq: 0,
            events: BinaryHeap::new(),
            pending: Vec::new(),
            nodes,
            links: Vec::new(),
            store: Store::default(),
            down: 0,
            mute: 0,
            rng,
            weather,
            settings,
            incarnation: 0,
            messages: 0,
            accesses: 0,
        };
        for node in 0..count {
            cell.at(node as u64 * 10 * MS, Event::Start(node));
            cell.at(POLL, Event::Poll(node));
            cell.at(LIST, Event::List(node));
        }
        cell
    }

    pub fn fault(&mut self, at_ms: u64, fault: Fault) {
        self.at(at_ms * MS, Event::Fault(fault));
    }

    /// Runs until `until_ms`, checking that nothing has two homes.
    pub fn run(&mut self, until_ms: u64) {
        while let Some(Reverse((at, _, index))) = self.events.peek().copied() {
            if at > until_ms * MS {
                break;
            }
            self.events.pop();
            self.now = at;
            let event = self.pending[index].take().expect("an event happens once");
            self.step(event);
        }
        self.now = until_ms * MS;
    }

    /// No more faults: everything reaches everything, and the network is kind.
    pub fn heal(&mut self) {
        self.down = 0;
        self.mute = 0;
        self.links.clear();
        self.weather = Weather { lost: 0.0, doubled: 0.0, late: 0.0, ..self.weather };
        for node in &mut self.nodes {
            node.store_cut = 0;
            node.peers_cut = 0;
        }
    }

    /// Asserts that one view holds just the processes alive, all settled, each thing served once.
    pub fn assert_whole(&self) {
        if let Err(fault) = self.whole() {
            panic!("{fault}");
        }
    }

    /// What [`Cell::assert_whole`] asserts, as a question.
    pub fn whole(&self) -> Result<(), String> {
        let alive: Vec<usize> =
            (0..self.nodes.len()).filter(|node| self.nodes[*node].lost.is_none()).collect();
        let view = self.store.view.as_ref().ok_or("no view")?;
        if view.members.len() != alive.len() {
            let (epoch, members) = (view.epoch, view.members.len());
            return Err(format!("epoch {epoch} has {members} members, {} live", alive.len()));
        }
        for node in &alive {
            let machine = self.nodes[*node].machine.as_ref().ok_or(format!("n{node} is down"))?;
            let same = machine.epoch() == view.epoch && view.contains(machine.id());
            if machine.stage() != Stage::Member || !same || !machine.settled() {
                return Err(format!("n{node} isn't a settled member of epoch {}", view.epoch));
            }
        }
        for (kind, thing) in THINGS {
            let served = self.serving(kind, thing).len();
            if view.members.iter().any(|m| m.role == kind.role()) && served != 1 {
                return Err(format!("{kind:?} {thing} is served {served} times"));
            }
        }
        Ok(())
    }

    /// Runs until the cell is whole; how long it took, in milliseconds.
    pub fn until_whole(&mut self, limit_ms: u64) -> Option<u64> {
        let began = self.now / MS;
        // The faults of this very moment come first.
        self.run(began + 1);
        while self.whole().is_err() {
            if self.now / MS >= began + limit_ms {
                return None;
            }
            self.run(self.now / MS + 50);
        }
        Some(self.now / MS - began)
    }

    /// How many processes may act now.
    pub fn acting(&self) -> usize {
        (0..self.nodes.len()).filter(|node| self.acts(*node)).count()
    }

    pub fn epoch(&self) -> u64 {
        self.store.view.as_ref().map_or(0, |view| view.epoch)
    }

    fn acts(&self, node: usize) -> bool {
        let now = self.local(node);
        self.nodes[node].machine.as_ref().is_some_and(|machine| machine.may_act(now))
    }

    fn serving(&self, kind: Kind, thing: &str) -> Vec<usize> {
        let serves = |node: &usize| {
            let machine = self.nodes[*node].machine.as_ref();
            machine.is_some_and(|m| m.serves(self.local(*node), kind, thing))
        };
        (0..self.nodes.len()).filter(serves).collect()
    }

    fn check(&self) {
        for (kind, thing) in THINGS {
            let homes = self.serving(kind, thing);
            assert!(homes.len() <= 1, "{kind:?} {thing} has homes {homes:?} at {}", self.now);
        }
    }

    fn local(&self, node: usize) -> Tick {
        let node = &self.nodes[node];
        let gained = self.now as i64 / 1_000_000 * node.drift
            + self.now as i64 % 1_000_000 * node.drift / 1_000_000;
        Tick((node.origin as i64 + self.now as i64 + gained) as u64)
    }

    fn at(&mut self, at: u64, event: Event) {
        self.seq += 1;
        self.pending.push(Some(event));
        self.events.push(Reverse((at, self.seq, self.pending.len() - 1)));
    }

    /// The node that an event needs awake, if it's asleep: the event waits there.
    fn asleep(&self, event: &Event) -> Option<u64> {
        let node = match event {
            Event::Poll(node) | Event::List(node) => *node,
            Event::Answered(id, ..) | Event::Replied(id, ..) => node_of(&id.name),
            Event::Asked(_, address, _) => node_of(address),
            Event::Arrive(..) | Event::Start(_) | Event::Fault(_) => return None,
        };
        let until = self.nodes[node].paused;
        (until > self.now).then_some(until)
    }

    fn step(&mut self, event: Event) {
        if let Some(until) = self.asleep(&event) {
            self.at(until, event);
            return;
        }
        match event {
            Event::Poll(node) => {
                self.at(self.now + POLL, Event::Poll(node));
                self.drive(node, |machine, now| machine.poll(now));
                if node == 0 {
                    self.check();
                }
            }
            Event::List(node) => {
                self.at(self.now + LIST, Event::List(node));
                let names = self.list();
                self.drive(node, |machine, now| {
                    machine.update_instances(now, &names);
                    Vec::new()
                });
            }
            Event::Arrive(from, id, op) => self.arrive(from, id, op),
            Event::Answered(to, id, answer) => {
                self.drive_id(&to, |machine, now| machine.on_store_answer(now, id, answer));
            }
            Event::Asked(from, address, request) => self.asked(from, address, request),
            Event::Replied(to, address, reply) => {
                self.drive_id(&to, |machine, now| machine.on_reply(now, &address, reply));
            }
            Event::Start(node) => self.start(node),
            Event::Fault(fault) => self.strike(fault),
        }
    }

    fn list(&self) -> IndexSet<String> {
        let lag = self.settings.list_lag.as_micros() as u64;
        let shown = |node: &usize| self.nodes[*node].lost.is_none_or(|lost| self.now < lost + lag);
        (0..self.nodes.len()).filter(shown).map(name).collect()
    }

    fn drive_id(&mut self, id: &MemberId, input: impl FnOnce(&mut Machine, Tick) -> Vec<Effect>) {
        let node = node_of(&id.name);
        if self.nodes[node].machine.as_ref().is_some_and(|machine| machine.id() == id) {
            self.drive(node, input);
        }
    }

    fn drive(&mut self, node: usize, input: impl FnOnce(&mut Machine, Tick) -> Vec<Effect>) {
        let now = self.local(node);
        let Some(machine) = self.nodes[node].machine.as_mut() else { return };
        let effects = input(machine, now);
        let epoch = machine.epoch();
        let id = machine.id().clone();
        assert!(epoch >= self.nodes[node].epoch, "n{node} went back to epoch {epoch}");
        self.nodes[node].epoch = epoch;
        self.carry_out(node, &id, effects);
    }

    fn carry_out(&mut self, node: usize, id: &MemberId, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Store { id: access, op } => self.access(node, id, access, op),
                Effect::Send { address, request } => {
                    self.messages += 1;
                    for at in self.deliveries(node, node_of(&address)) {
                        let (from, address) = (id.clone(), address.clone());
                        self.at(at, Event::Asked(from, address, request.clone()));
                    }
                }
                Effect::Adopted(_) | Effect::Settled(_) => self.check(),
                Effect::Ended(_) => {
                    self.nodes[node].machine = None;
                    self.at(self.now + RESTART, Event::Start(node));
                }
            }
        }
    }

    fn access(&mut self, node: usize, id: &MemberId, access: u64, op: StoreOp) {
        self.accesses += 1;
        let limit = self.now + STORE_LIMIT;
        self.at(limit, Event::Answered(id.clone(), access, StoreAnswer::Unknown));
        let cut = self.nodes[node].store_cut > self.now;
        if self.down > self.now || cut || self.rng.random_bool(self.weather.lost) {
            return;
        }
        let delay = self.delay();
        self.at(self.now + delay, Event::Arrive(id.clone(), access, op));
    }

    fn arrive(&mut self, from: MemberId, id: u64, op: StoreOp) {
        let (answer, removed) = self.store.apply(op);
        if let Some(removed) = removed {
            let node = node_of(&removed.name);
            let here = self.nodes[node].machine.as_ref().is_some_and(|m| *m.id() == removed);
            assert!(!(here && self.acts(node)), "{removed:?} is removed within its term");
        }
        let cut = self.nodes[node_of(&from.name)].store_cut > self.now;
        if self.mute > self.now || cut || self.rng.random_bool(self.weather.lost) {
            return;
        }
        let delay = self.delay();
        self.at(self.now + delay, Event::Answered(from, id, answer));
    }

    fn asked(&mut self, from: MemberId, address: String, request: Request) {
        let node = node_of(&address);
        let now = self.local(node);
        let Some(machine) = self.nodes[node].machine.as_mut() else { return };
        let id = machine.id().clone();
        let (reply, effects) = machine.on_request(now, &from, request);
        self.nodes[node].epoch = machine.epoch();
        self.carry_out(node, &id, effects);
        for at in self.deliveries(node, node_of(&from.name)) {
            let event = Event::Replied(from.clone(), address.clone(), reply.clone());
            self.at(at, event);
        }
    }

    /// When a message arrives: never, once or twice.
    fn deliveries(&mut self, from: usize, to: usize) -> Vec<u64> {
        let cut = [from, to].iter().any(|node| self.nodes[*node].peers_cut > self.now);
        let pair = (from.min(to), from.max(to));
        let link = self.links.iter().any(|(a, b, until)| (*a, *b) == pair && *until > self.now);
        if cut || link || self.rng.random_bool(self.weather.lost) {
            return Vec::new();
        }
        let count = 1 + usize::from(self.rng.random_bool(self.weather.doubled));
        (0..count).map(|_| self.now + self.delay()).collect()
    }

    fn delay(&mut self) -> u64 {
        if self.rng.random_bool(self.weather.late) {
            return self.rng.random_range(MS..5000 * MS);
        }
        self.rng.random_range(MS..20 * MS)
    }

    fn start(&mut self, node: usize) {
        if self.nodes[node].machine.is_some() || self.nodes[node].lost.is_some() {
            return;
        }
        self.incarnation += 1;
        let role = if node % 3 == 2 { Role::Controller } else { Role::Router };
        let row = MemberRow {
            incarnation: self.incarnation,
            renewal: 0,
            role,
            zone: "a".to_owned(),
            peer_addr: name(node),
            caller_addr: String::new(),
            ops_addr: String::new(),
            fingerprint: String::new(),
            state: RowState::Ready,
            epoch: 0,
            clear: false,
        };
        let machine = Machine::new(self.settings, &name(node), row, self.local(node));
        self.nodes[node].epoch = 0;
        self.nodes[node].machine = Some(machine);
    }

    fn strike(&mut self, fault: Fault) {
        let until = |ms: u64| self.now + ms * MS;
        let wrap = |node: usize| node % self.nodes.len();
        match fault {
            Fault::Pause(node, ms) => {
                let (node, until) = (wrap(node), until(ms));
                self.nodes[node].paused = until;
            }
            Fault::Kill(node, ms) => {
                let (node, until) = (wrap(node), until(ms));
                self.nodes[node].machine = None;
                self.at(until, Event::Start(node));
            }
            Fault::Lose(node) => {
                let node = wrap(node);
                if self.nodes.iter().filter(|node| node.lost.is_none()).count() > 1 {
                    self.nodes[node].machine = None;
                    self.nodes[node].lost.get_or_insert(self.now);
                }
            }
            Fault::StoreDown(ms) => self.down = until(ms),
            Fault::StoreMute(ms) => self.mute = until(ms),
            Fault::StoreCut(node, ms) => {
                let (node, until) = (wrap(node), until(ms));
                self.nodes[node].store_cut = until;
            }
            Fault::PeersCut(node, ms) => {
                let (node, until) = (wrap(node), until(ms));
                self.nodes[node].peers_cut = until;
            }
            Fault::LinkCut(a, b, ms) => {
                let (a, b, until) = (wrap(a), wrap(b), until(ms));
                self.links.push((a.min(b), a.max(b), until));
            }
            Fault::Leave(node) => self.drive(wrap(node), |machine, now| machine.depart(now)),
        }
    }
}

/// Settings with which the tests run; the store's silence and the limits as shipped.
pub fn settings() -> Settings {
    Settings { list_lag: Duration::from_secs(5), ..Settings::default() }
}
