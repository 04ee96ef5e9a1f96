//! Simulates a cell: several membership state machines, a lossy network, drifting clocks and a
//! store with faults. Simulated time is in microseconds.

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

/// Microseconds in a millisecond.
const MS: u64 = 1000;
const POLL_INTERVAL: u64 = 100 * MS;
const LIST_INTERVAL: u64 = 2000 * MS;
const STORE_TIMEOUT: u64 = 1000 * MS;
const RESTART_DELAY: u64 = 300 * MS;
const RESOURCES: [(Kind, &str); 6] = [
    (Kind::Bucket, "kumlama"),
    (Kind::Bucket, "mirror"),
    (Kind::Dispatch, "small"),
    (Kind::Dispatch, "large"),
    (Kind::Dispatch, "tender"),
    (Kind::Placement, "cell"),
];

/// A fault of a node, a link or the store, and its duration in milliseconds.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    Pause(usize, u64),
    Restart(usize, u64),
    /// The instance ends for good; the platform's list still shows it for the list lag.
    LoseInstance(usize),
    StoreDown(u64),
    /// Writes take effect, but the store's answers are lost.
    StoreLosesAnswers(u64),
    StoreUnreachable(usize, u64),
    PeersUnreachable(usize, u64),
    LinkCut(usize, usize, u64),
    Leave(usize),
}

/// Probabilities of message faults, and the seed of the random numbers.
#[derive(Clone, Copy, Debug)]
pub struct Network {
    pub seed: u64,
    pub lost: f64,
    pub duplicated: f64,
    pub delayed: f64,
}

enum Event {
    Poll(usize),
    List(usize),
    StoreAccess(MemberId, u64, StoreOp),
    StoreAnswer(MemberId, u64, StoreAnswer),
    Request(MemberId, String, Request),
    Reply(MemberId, String, Reply),
    Start(usize),
    Fault(Fault),
}

struct Node {
    machine: Option<Machine>,
    /// Parts per million by which the node's clock runs fast.
    drift_ppm: i64,
    clock_offset: u64,
    paused_until: u64,
    store_unreachable_until: u64,
    peers_unreachable_until: u64,
    lost_at: Option<u64>,
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
    store_down_until: u64,
    answers_lost_until: u64,
    rng: ChaCha8Rng,
    network: Network,
    settings: Settings,
    incarnation: u64,
    /// Number of requests that the members sent.
    pub messages: u64,
    /// Number of accesses to the store.
    pub accesses: u64,
}

fn name(node: usize) -> String {
    format!("n{node}")
}

fn node_of(name: &str) -> usize {
    name[1..].parse().expect("a node's name")
}

impl Cell {
    pub fn new(count: usize, network: Network, settings: Settings) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(network.seed);
        let nodes = (0..count)
            .map(|_| Node {
                machine: None,
                drift_ppm: rng.random_range(-10_000..=10_000),
                clock_offset: rng.random_range(1..1_000_000_000),
                paused_until: 0,
                store_unreachable_until: 0,
                peers_unreachable_until: 0,
                lost_at: None,
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
            store_down_until: 0,
            answers_lost_until: 0,
            rng,
            network,
            settings,
            incarnation: 0,
            messages: 0,
            accesses: 0,
        };
        for node in 0..count {
            cell.schedule(node as u64 * 10 * MS, Event::Start(node));
            cell.schedule(POLL_INTERVAL, Event::Poll(node));
            cell.schedule(LIST_INTERVAL, Event::List(node));
        }
        cell
    }

    pub fn fault(&mut self, at_ms: u64, fault: Fault) {
        self.schedule(at_ms * MS, Event::Fault(fault));
    }

    /// Runs until `until_ms`. Panics if two members serve the same resource.
    pub fn run(&mut self, until_ms: u64) {
        while let Some(Reverse((at, _, index))) = self.events.peek().copied() {
            if at > until_ms * MS {
                break;
            }
            self.events.pop();
            self.now = at;
            let event = self.pending[index].take().expect("each event runs once");
            self.handle(event);
        }
        self.now = until_ms * MS;
    }

    /// Ends the current faults of the store, the links and the network.
    pub fn clear_faults(&mut self) {
        self.store_down_until = 0;
        self.answers_lost_until = 0;
        self.links.clear();
        self.network = Network { lost: 0.0, duplicated: 0.0, delayed: 0.0, ..self.network };
        for node in &mut self.nodes {
            node.store_unreachable_until = 0;
            node.peers_unreachable_until = 0;
        }
    }

    /// Asserts that all live processes, and no others, are settled members of the newest view, and
    /// that exactly one of them serves each resource.
    pub fn assert_converged(&self) {
        if let Err(fault) = self.check_converged() {
            panic!("{fault}");
        }
    }

    /// Checks the conditions of [`Cell::assert_converged`]; the error names the first violation.
    pub fn check_converged(&self) -> Result<(), String> {
        let alive: Vec<usize> =
            (0..self.nodes.len()).filter(|node| self.nodes[*node].lost_at.is_none()).collect();
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
        for (kind, resource) in RESOURCES {
            let served = self.serving(kind, resource).len();
            if view.members.iter().any(|m| m.role == kind.role()) && served != 1 {
                return Err(format!("{kind:?} {resource} is served {served} times"));
            }
        }
        Ok(())
    }

    /// Runs until the cell has converged and returns the duration in milliseconds; `None` if it
    /// takes longer than `limit_ms`.
    pub fn time_to_convergence(&mut self, limit_ms: u64) -> Option<u64> {
        let start_ms = self.now / MS;
        // Inject the faults scheduled for the current time first.
        self.run(start_ms + 1);
        while self.check_converged().is_err() {
            if self.now / MS >= start_ms + limit_ms {
                return None;
            }
            self.run(self.now / MS + 50);
        }
        Some(self.now / MS - start_ms)
    }

    /// Number of processes that may act now.
    pub fn acting(&self) -> usize {
        (0..self.nodes.len()).filter(|node| self.may_act(*node)).count()
    }

    pub fn epoch(&self) -> u64 {
        self.store.view.as_ref().map_or(0, |view| view.epoch)
    }

    fn may_act(&self, node: usize) -> bool {
        let now = self.local_clock(node);
        self.nodes[node].machine.as_ref().is_some_and(|machine| machine.may_act(now))
    }

    fn serving(&self, kind: Kind, resource: &str) -> Vec<usize> {
        let serves = |node: &usize| {
            let machine = self.nodes[*node].machine.as_ref();
            machine.is_some_and(|m| m.serves(self.local_clock(*node), kind, resource))
        };
        (0..self.nodes.len()).filter(serves).collect()
    }

    fn assert_single_homes(&self) {
        for (kind, resource) in RESOURCES {
            let homes = self.serving(kind, resource);
            assert!(homes.len() <= 1, "{kind:?} {resource} has homes {homes:?} at {}", self.now);
        }
    }

    fn local_clock(&self, node: usize) -> Tick {
        let node = &self.nodes[node];
        let drifted = self.now as i64 / 1_000_000 * node.drift_ppm
            + self.now as i64 % 1_000_000 * node.drift_ppm / 1_000_000;
        Tick((node.clock_offset as i64 + self.now as i64 + drifted) as u64)
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.seq += 1;
        self.pending.push(Some(event));
        self.events.push(Reverse((at, self.seq, self.pending.len() - 1)));
    }

    /// End of the pause of the node that an event needs; `None` if the event can run now.
    fn wake_time(&self, event: &Event) -> Option<u64> {
        let node = match event {
            Event::Poll(node) | Event::List(node) => *node,
            Event::StoreAnswer(id, ..) | Event::Reply(id, ..) => node_of(&id.name),
            Event::Request(_, address, _) => node_of(address),
            Event::StoreAccess(..) | Event::Start(_) | Event::Fault(_) => return None,
        };
        let until = self.nodes[node].paused_until;
        (until > self.now).then_some(until)
    }

    fn handle(&mut self, event: Event) {
        if let Some(until) = self.wake_time(&event) {
            self.schedule(until, event);
            return;
        }
        match event {
            Event::Poll(node) => {
                self.schedule(self.now + POLL_INTERVAL, Event::Poll(node));
                self.drive(node, |machine, now| machine.poll(now));
                if node == 0 {
                    self.assert_single_homes();
                }
            }
            Event::List(node) => {
                self.schedule(self.now + LIST_INTERVAL, Event::List(node));
                let names = self.listed_instances();
                self.drive(node, |machine, now| {
                    machine.update_instances(now, &names);
                    Vec::new()
                });
            }
            Event::StoreAccess(from, id, op) => self.on_store_access(from, id, op),
            Event::StoreAnswer(to, id, answer) => {
                self.drive_incarnation(&to, |machine, now| {
                    machine.on_store_answer(now, id, answer)
                });
            }
            Event::Request(from, address, request) => self.on_request(from, address, request),
            Event::Reply(to, address, reply) => {
                self.drive_incarnation(&to, |machine, now| machine.on_reply(now, &address, reply));
            }
            Event::Start(node) => self.start(node),
            Event::Fault(fault) => self.inject(fault),
        }
    }

    fn listed_instances(&self) -> IndexSet<String> {
        let lag = self.settings.list_lag.as_micros() as u64;
        let listed =
            |node: &usize| self.nodes[*node].lost_at.is_none_or(|lost_at| self.now < lost_at + lag);
        (0..self.nodes.len()).filter(listed).map(name).collect()
    }

    fn drive_incarnation(
        &mut self,
        id: &MemberId,
        input: impl FnOnce(&mut Machine, Tick) -> Vec<Effect>,
    ) {
        let node = node_of(&id.name);
        if self.nodes[node].machine.as_ref().is_some_and(|machine| machine.id() == id) {
            self.drive(node, input);
        }
    }

    fn drive(&mut self, node: usize, input: impl FnOnce(&mut Machine, Tick) -> Vec<Effect>) {
        let now = self.local_clock(node);
        let Some(machine) = self.nodes[node].machine.as_mut() else { return };
        let effects = input(machine, now);
        let epoch = machine.epoch();
        let id = machine.id().clone();
        assert!(epoch >= self.nodes[node].epoch, "n{node} returned to the older epoch {epoch}");
        self.nodes[node].epoch = epoch;
        self.apply_effects(node, &id, effects);
    }

    fn apply_effects(&mut self, node: usize, id: &MemberId, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Store { id: access, op } => self.access(node, id, access, op),
                Effect::Send { address, request } => {
                    self.messages += 1;
                    for at in self.deliveries(node, node_of(&address)) {
                        let (from, address) = (id.clone(), address.clone());
                        self.schedule(at, Event::Request(from, address, request.clone()));
                    }
                }
                Effect::Adopted(_) | Effect::Settled(_) => self.assert_single_homes(),
                Effect::Ended(_) => {
                    self.nodes[node].machine = None;
                    self.schedule(self.now + RESTART_DELAY, Event::Start(node));
                }
            }
        }
    }

    fn access(&mut self, node: usize, id: &MemberId, access: u64, op: StoreOp) {
        self.accesses += 1;
        let deadline = self.now + STORE_TIMEOUT;
        self.schedule(deadline, Event::StoreAnswer(id.clone(), access, StoreAnswer::Unknown));
        let cut = self.nodes[node].store_unreachable_until > self.now;
        if self.store_down_until > self.now || cut || self.rng.random_bool(self.network.lost) {
            return;
        }
        let delay = self.delay();
        self.schedule(self.now + delay, Event::StoreAccess(id.clone(), access, op));
    }

    fn on_store_access(&mut self, from: MemberId, id: u64, op: StoreOp) {
        let (answer, removed) = self.store.apply(op);
        if let Some(removed) = removed {
            let node = node_of(&removed.name);
            let running = self.nodes[node].machine.as_ref().is_some_and(|m| *m.id() == removed);
            assert!(
                !(running && self.may_act(node)),
                "{removed:?} is removed while its lease is valid"
            );
        }
        let cut = self.nodes[node_of(&from.name)].store_unreachable_until > self.now;
        if self.answers_lost_until > self.now || cut || self.rng.random_bool(self.network.lost) {
            return;
        }
        let delay = self.delay();
        self.schedule(self.now + delay, Event::StoreAnswer(from, id, answer));
    }

    fn on_request(&mut self, from: MemberId, address: String, request: Request) {
        let node = node_of(&address);
        let now = self.local_clock(node);
        let Some(machine) = self.nodes[node].machine.as_mut() else { return };
        let id = machine.id().clone();
        let (reply, effects) = machine.on_request(now, &from, request);
        self.nodes[node].epoch = machine.epoch();
        self.apply_effects(node, &id, effects);
        for at in self.deliveries(node, node_of(&from.name)) {
            let event = Event::Reply(from.clone(), address.clone(), reply.clone());
            self.schedule(at, event);
        }
    }

    /// Delivery times of a message: none, one or two.
    fn deliveries(&mut self, from: usize, to: usize) -> Vec<u64> {
        let cut =
            [from, to].iter().any(|node| self.nodes[*node].peers_unreachable_until > self.now);
        let endpoints = (from.min(to), from.max(to));
        let link_down =
            self.links.iter().any(|(a, b, until)| (*a, *b) == endpoints && *until > self.now);
        if cut || link_down || self.rng.random_bool(self.network.lost) {
            return Vec::new();
        }
        let count = 1 + usize::from(self.rng.random_bool(self.network.duplicated));
        (0..count).map(|_| self.now + self.delay()).collect()
    }

    fn delay(&mut self) -> u64 {
        if self.rng.random_bool(self.network.delayed) {
            return self.rng.random_range(MS..5000 * MS);
        }
        self.rng.random_range(MS..20 * MS)
    }

    fn start(&mut self, node: usize) {
        if self.nodes[node].machine.is_some() || self.nodes[node].lost_at.is_some() {
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
        let machine = Machine::new(self.settings, &name(node), row, self.local_clock(node));
        self.nodes[node].epoch = 0;
        self.nodes[node].machine = Some(machine);
    }

    fn inject(&mut self, fault: Fault) {
        let until = |ms: u64| self.now + ms * MS;
        let index = |node: usize| node % self.nodes.len();
        match fault {
            Fault::Pause(node, ms) => {
                let (node, until) = (index(node), until(ms));
                self.nodes[node].paused_until = until;
            }
            Fault::Restart(node, ms) => {
                let (node, until) = (index(node), until(ms));
                self.nodes[node].machine = None;
                self.schedule(until, Event::Start(node));
            }
            Fault::LoseInstance(node) => {
                let node = index(node);
                if self.nodes.iter().filter(|node| node.lost_at.is_none()).count() > 1 {
                    self.nodes[node].machine = None;
                    self.nodes[node].lost_at.get_or_insert(self.now);
                }
            }
            Fault::StoreDown(ms) => self.store_down_until = until(ms),
            Fault::StoreLosesAnswers(ms) => self.answers_lost_until = until(ms),
            Fault::StoreUnreachable(node, ms) => {
                let (node, until) = (index(node), until(ms));
                self.nodes[node].store_unreachable_until = until;
            }
            Fault::PeersUnreachable(node, ms) => {
                let (node, until) = (index(node), until(ms));
                self.nodes[node].peers_unreachable_until = until;
            }
            Fault::LinkCut(a, b, ms) => {
                let (a, b, until) = (index(a), index(b), until(ms));
                self.links.push((a.min(b), a.max(b), until));
            }
            Fault::Leave(node) => self.drive(index(node), |machine, now| machine.depart(now)),
        }
    }
}

/// Default settings but for a shorter list lag.
pub fn settings() -> Settings {
    Settings { list_lag: Duration::from_secs(5), ..Settings::default() }
}
