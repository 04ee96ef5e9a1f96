//! The planner with a store, messages and engines that take their time.

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
use crate::Figures;

/// Time of a write at the platform's table service.
const STORE: Duration = Duration::from_millis(8);

/// Time of a message one way between instances.
const HOP: Duration = Duration::from_micros(1_500);

/// Time between reports of demand while there is any.
const REPORT: Duration = Duration::from_secs(1);

enum Event {
    Arrive(usize),
    Finish(usize),
    Report(usize),
    Committed(u64),
    Order(Order),
    Answered(u64),
    Ask(UpstreamKey, Tick),
    State(UpstreamKey, ProbeReply),
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
    count: u64,
    waiting: Vec<Vec<usize>>,
    reporting: Vec<bool>,
    polls: Tick,
    figures: Figures,
}

/// Replays `trace` with the planner under a keep-alive rule.
pub fn run(fleet: &Fleet, trace: &Trace, keep: KeepAliveRule) -> Figures {
    let mut replay = Replay::new(fleet, trace, keep);
    for at in 0..trace.requests.len() {
        replay.schedule(trace.requests[at].at, Event::Arrive(at));
    }
    replay.schedule(Tick(0), Event::Poll);
    while let Some(Reverse((at, number))) = replay.queue.pop() {
        replay.now = at;
        replay.engines.pass(at);
        if let Some(event) = replay.events.swap_remove(&number) {
            replay.handle(event);
        }
        replay.serve();
        replay.poll();
        if at > Tick(0) + crate::trace::LENGTH {
            break;
        }
    }
    replay.figures.idle_hours = replay.engines.idle_hours();
    replay.figures
}

/// What the register says of the fleet.
pub fn facts(fleet: &Fleet) -> Catalog {
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
        planner.configure(Tick(0), &facts(fleet));
        planner.start();
        Replay {
            fleet,
            trace,
            planner,
            engines: Engines::new(fleet),
            now: Tick(0),
            queue: BinaryHeap::new(),
            events: IndexMap::new(),
            count: 0,
            waiting: vec![Vec::new(); fleet.models],
            reporting: vec![false; fleet.models],
            polls: Tick(u64::MAX),
            figures: Figures::default(),
        }
    }

    fn schedule(&mut self, at: Tick, event: Event) {
        self.count += 1;
        self.events.insert(self.count, event);
        self.queue.push(Reverse((at, self.count)));
    }

    fn handle(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Arrive(at) => self.arrive(at),
            Event::Finish(model) => self.engines.end(model),
            Event::Report(model) => self.report(model),
            Event::Committed(id) => {
                self.planner.commit_completed(now, id, CommitOutcome::Committed(id))
            }
            Event::Order(order) => self.obey(&order),
            Event::Answered(id) => self.planner.order_completed(now, id, OrderOutcome::Accepted),
            Event::Ask(upstream, asked) => {
                let state = self.state(upstream, asked);
                self.schedule(now + HOP, Event::State(upstream, state));
            }
            Event::State(upstream, state) => self.planner.probe_replied(now, upstream, &state),
            Event::Poll if self.polls == now => self.polls = Tick(u64::MAX),
            Event::Poll => {}
        }
    }

    fn arrive(&mut self, at: usize) {
        let model = self.trace.requests[at].model;
        self.waiting[model].push(at);
        if !self.reporting[model] {
            self.reporting[model] = true;
            self.schedule(self.now + HOP, Event::Report(model));
        }
    }

    fn report(&mut self, model: usize) {
        let waiting = self.waiting[model].len() as u32;
        let running = self.engines.running(model);
        self.planner.report_demand(self.now, &format!("m{model}"), "home", waiting, running);
        self.reporting[model] = waiting + running > 0;
        if self.reporting[model] {
            self.schedule(self.now + REPORT, Event::Report(model));
        }
    }

    fn obey(&mut self, order: &Order) {
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
        self.schedule(self.now + HOP, Event::Answered(order.id));
    }

    fn state(&self, upstream: UpstreamKey, asked: Tick) -> ProbeReply {
        let at = upstream.index();
        let engine = &self.engines.all[at];
        let mut state = ProbeReply { sent_at: asked, fence: engine.fence, ..ProbeReply::default() };
        for (model, slot) in &engine.slots {
            let held = match slot {
                Slot::Loading(ready) if *ready <= self.now => ModelState::Loaded,
                Slot::Loading(_) => ModelState::Loading,
                Slot::Unloading(_) => ModelState::Unloading,
            };
            state.models.insert(ModelKey(*model as u32), (held, self.fleet.bytes(*model)));
        }
        for model in 0..self.fleet.models {
            let tier = self.engines.tier(at, model);
            if tier != Tier::Remote {
                state.checkpoints.insert(ModelKey(model as u32), tier);
            }
        }
        state
    }

    /// Starts requests whose model the routers know to be loaded.
    fn serve(&mut self) {
        for model in 0..self.fleet.models {
            if self.waiting[model].is_empty() {
                continue;
            }
            let known = self.planner.loaded_upstreams(ModelKey(model as u32));
            let serves = |up: UpstreamKey| self.engines.serves(self.now, up.index(), model);
            if known.into_iter().any(serves) {
                for request in std::mem::take(&mut self.waiting[model]) {
                    self.start(request);
                }
            }
        }
    }

    fn start(&mut self, at: usize) {
        let request = self.trace.requests[at];
        let wait = self.now.since(request.at).as_micros() as u64;
        // A request that waited for a load learns of it by one more message.
        let wait = if wait == 0 { 0 } else { wait + HOP.as_micros() as u64 };
        if request.counts() {
            self.figures.waits.push(wait);
        }
        self.engines.begin(request.model);
        self.schedule(self.now + request.runs, Event::Finish(request.model));
    }

    fn poll(&mut self) {
        for effect in self.planner.poll(self.now) {
            match effect {
                Effect::Scan => self.planner.adopt(self.now, &TableSnapshot::default()),
                Effect::Commit(change) => self.commit(&change),
                Effect::Order(order) => self.schedule(self.now + HOP, Event::Order(order)),
                Effect::Probe { upstream, sent_at } => {
                    self.schedule(self.now + HOP, Event::Ask(upstream, sent_at));
                }
            }
        }
        let next = self.planner.next_poll(self.now).max(self.now + Duration::from_millis(1));
        if next < self.polls {
            self.polls = next;
            self.schedule(next, Event::Poll);
        }
    }

    fn commit(&mut self, change: &ChangeSet) {
        self.schedule(self.now + STORE, Event::Committed(change.id));
    }
}
