//! Replays a trace with the planner, with delays for commits, messages, loads and unloads.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use corianderyoke_coord::keys::Key;
use corianderyoke_coord::keys::ModelKey;
use corianderyoke_coord::keys::UpstreamKey;
use corianderyoke_coord::placement::keep_alive::KeepAliveRule;
use corianderyoke_coord::placement::Catalog;
use corianderyoke_coord::placement::ChangeSet;
use corianderyoke_coord::placement::CommitOutcome;
use corianderyoke_coord::placement::Effect;
use corianderyoke_coord::placement::Model;
use corianderyoke_coord::placement::ModelState;
use corianderyoke_coord::placement::Op;
use corianderyoke_coord::placement::Order;
use corianderyoke_coord::placement::OrderOutcome;
use corianderyoke_coord::placement::Planner;
use corianderyoke_coord::placement::ProbeReply;
use corianderyoke_coord::placement::Settings;
use corianderyoke_coord::placement::TableSnapshot;
use corianderyoke_coord::placement::Tier;
use corianderyoke_coord::placement::Upstream;
use corianderyoke_coord::time::Tick;
use indexmap::IndexMap;

use crate::engines::Engines;
use crate::engines::Slot;
use crate::fleet::Fleet;
use crate::trace::Trace;
use crate::Results;

/// Time of a commit at the platform's table service.
const COMMIT_TIME: Duration = Duration::from_millis(8);

/// One-way delay of a message between instances.
const NETWORK_DELAY: Duration = Duration::from_micros(1_500);

/// Time between demand reports of a model with waiting or running requests.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

enum Event {
    Arrival(usize),
    Finish(usize),
    Report(usize),
    CommitCompleted(u64),
    Order(Order),
    OrderCompleted(u64),
    Probe(UpstreamKey, Tick),
    ProbeReplied(UpstreamKey, ProbeReply),
    Poll,
}

struct Replay<'a> {
    fleet: &'a Fleet,
    trace: &'a Trace,
    planner: Planner,
    engines: Engines<'a>,
    now: Tick,
    queue: BinaryHeap<Reverse<(Tick, u64)>>,
    events: IndexMap<u64, Event>,
    last_event: u64,
    waiting: Vec<Vec<usize>>,
    reporting: Vec<bool>,
    next_poll: Tick,
    results: Results,
}

/// Replays `trace` with the planner under a keep-alive rule.
pub fn run(fleet: &Fleet, trace: &Trace, keep: KeepAliveRule) -> Results {
    let mut replay = Replay::new(fleet, trace, keep);
    for at in 0..trace.requests.len() {
        replay.schedule(trace.requests[at].at, Event::Arrival(at));
    }
    replay.schedule(Tick(0), Event::Poll);
    while let Some(Reverse((at, number))) = replay.queue.pop() {
        replay.now = at;
        replay.engines.advance(at);
        if let Some(event) = replay.events.swap_remove(&number) {
            replay.handle(event);
        }
        replay.start_waiting();
        replay.poll();
        if at > Tick(0) + crate::trace::TRACE_LENGTH {
            break;
        }
    }
    replay.results.idle_hours = replay.engines.idle_hours();
    replay.results
}

/// Catalog of the fleet, with every second engine checking fencing tokens.
pub fn catalog(fleet: &Fleet) -> Catalog {
    let upstream = |at: usize| Upstream {
        name: format!("e{at}"),
        memory: fleet.memory,
        fenced: at.is_multiple_of(2),
        ..Upstream::default()
    };
    let model = |model: usize| Model {
        name: format!("m{model}"),
        bytes: fleet.bytes(model),
        adapter_bytes: 0,
        from_memory: fleet.load_time(model, Tier::Memory),
        from_disk: fleet.load_time(model, Tier::Disk),
        from_remote: fleet.load_time(model, Tier::Remote),
    };
    Catalog {
        upstreams: (0..fleet.engines).map(upstream).collect(),
        models: (0..fleet.models).map(model).collect(),
    }
}

impl<'a> Replay<'a> {
    fn new(fleet: &'a Fleet, trace: &'a Trace, keep: KeepAliveRule) -> Self {
        let settings = Settings {
            store_rate: fleet.store_rate,
            store_inflight: fleet.store_inflight,
            keep_alive: keep,
            ..Settings::default()
        };
        let mut planner = Planner::new(settings, "c1");
        planner.configure(Tick(0), &catalog(fleet));
        planner.start();
        Replay {
            fleet,
            trace,
            planner,
            engines: Engines::new(fleet),
            now: Tick(0),
            queue: BinaryHeap::new(),
            events: IndexMap::new(),
            last_event: 0,
            waiting: vec![Vec::new(); fleet.models],
            reporting: vec![false; fleet.models],
            next_poll: Tick(u64::MAX),
            results: Results::default(),
        }
    }

    fn schedule(&mut self, at: Tick, event: Event) {
        self.last_event += 1;
        self.events.insert(self.last_event, event);
        self.queue.push(Reverse((at, self.last_event)));
    }

    fn handle(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Arrival(at) => self.arrive(at),
            Event::Finish(model) => self.engines.finish_request(model),
            Event::Report(model) => self.report(model),
            Event::CommitCompleted(id) => {
                self.planner.commit_completed(now, id, CommitOutcome::Committed(id))
            }
            Event::Order(order) => self.run_order(&order),
            Event::OrderCompleted(id) => {
                self.planner.order_completed(now, id, OrderOutcome::Accepted)
            }
            Event::Probe(upstream, sent_at) => {
                let reply = self.probe_reply(upstream, sent_at);
                self.schedule(now + NETWORK_DELAY, Event::ProbeReplied(upstream, reply));
            }
            Event::ProbeReplied(upstream, reply) => {
                self.planner.probe_replied(now, upstream, &reply)
            }
            Event::Poll if self.next_poll == now => self.next_poll = Tick(u64::MAX),
            Event::Poll => {}
        }
    }

    fn arrive(&mut self, at: usize) {
        let model = self.trace.requests[at].model;
        self.waiting[model].push(at);
        if !self.reporting[model] {
            self.reporting[model] = true;
            self.schedule(self.now + NETWORK_DELAY, Event::Report(model));
        }
    }

    fn report(&mut self, model: usize) {
        let waiting = self.waiting[model].len() as u32;
        let running = self.engines.running(model);
        self.planner.report_demand(self.now, &format!("m{model}"), "home", waiting, running);
        self.reporting[model] = waiting + running > 0;
        if self.reporting[model] {
            self.schedule(self.now + REPORT_INTERVAL, Event::Report(model));
        }
    }

    fn run_order(&mut self, order: &Order) {
        let at = order.upstream.index();
        let model = order.model.index();
        self.engines.all[at].fence = order.fence;
        match order.op {
            Op::Unload => self.engines.unload(self.now, at, model),
            Op::Load if !self.engines.all[at].slots.contains_key(&model) => {
                self.engines.load(self.now, at, model);
            }
            Op::Load => {}
        }
        self.schedule(self.now + NETWORK_DELAY, Event::OrderCompleted(order.id));
    }

    fn probe_reply(&self, upstream: UpstreamKey, sent_at: Tick) -> ProbeReply {
        let at = upstream.index();
        let engine = &self.engines.all[at];
        let mut reply = ProbeReply { sent_at, fence: engine.fence, ..ProbeReply::default() };
        for (model, slot) in &engine.slots {
            let state = match slot {
                Slot::Loading(ready) if *ready <= self.now => ModelState::Loaded,
                Slot::Loading(_) => ModelState::Loading,
                Slot::Unloading(_) => ModelState::Unloading,
            };
            reply.models.insert(ModelKey(*model as u32), (state, self.fleet.bytes(*model)));
        }
        for model in 0..self.fleet.models {
            let tier = self.engines.tier(at, model);
            if tier != Tier::Remote {
                reply.checkpoints.insert(ModelKey(model as u32), tier);
            }
        }
        reply
    }

    /// Starts waiting requests whose model the routers know to be loaded.
    fn start_waiting(&mut self) {
        for model in 0..self.fleet.models {
            if self.waiting[model].is_empty() {
                continue;
            }
            let upstreams = self.planner.loaded_upstreams(ModelKey(model as u32));
            let serves = |up: UpstreamKey| self.engines.serves(self.now, up.index(), model);
            if upstreams.into_iter().any(serves) {
                for request in std::mem::take(&mut self.waiting[model]) {
                    self.start(request);
                }
            }
        }
    }

    fn start(&mut self, at: usize) {
        let request = self.trace.requests[at];
        let wait = self.now.since(request.at).as_micros() as u64;
        // A request that waited for a load is released by one more message.
        let wait = if wait == 0 { 0 } else { wait + NETWORK_DELAY.as_micros() as u64 };
        if request.is_measured() {
            self.results.waits.push(wait);
        }
        self.engines.start_request(request.model);
        self.schedule(self.now + request.run_time, Event::Finish(request.model));
    }

    fn poll(&mut self) {
        for effect in self.planner.poll(self.now) {
            match effect {
                Effect::Scan => self.planner.adopt(self.now, &TableSnapshot::default()),
                Effect::Commit(change) => self.commit(&change),
                Effect::Order(order) => {
                    self.schedule(self.now + NETWORK_DELAY, Event::Order(order))
                }
                Effect::Probe { upstream, sent_at } => {
                    self.schedule(self.now + NETWORK_DELAY, Event::Probe(upstream, sent_at));
                }
            }
        }
        let next = self.planner.next_poll(self.now).max(self.now + Duration::from_millis(1));
        if next < self.next_poll {
            self.next_poll = next;
            self.schedule(next, Event::Poll);
        }
    }

    fn commit(&mut self, change: &ChangeSet) {
        self.schedule(self.now + COMMIT_TIME, Event::CommitCompleted(change.id));
    }
}
