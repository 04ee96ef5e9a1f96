//! Simulation in virtual time: routers, engines, and either a dispatcher or the baseline.

use std::collections::BTreeMap;
use std::time::Duration;

use corianderyoke_coord::dispatch::Decision;
use corianderyoke_coord::dispatch::DispatchSettings;
use corianderyoke_coord::dispatch::Dispatcher;
use corianderyoke_coord::dispatch::Effect;
use corianderyoke_coord::dispatch::Outcome;
use corianderyoke_coord::dispatch::Release;
use corianderyoke_coord::dispatch::ReplicaState;
use corianderyoke_coord::dispatch::Request;
use corianderyoke_coord::dispatch::RequestKey;
use corianderyoke_coord::dispatch::SlotKey;
use corianderyoke_coord::dispatch::TwoChoices;
use corianderyoke_coord::dispatch::TwoChoicesSettings;
use corianderyoke_coord::dispatch::UpstreamStatus;
use corianderyoke_coord::keys::MemberKey;
use corianderyoke_coord::keys::ModelKey;
use corianderyoke_coord::keys::TeamKey;
use corianderyoke_coord::keys::UpstreamKey;
use corianderyoke_coord::keys::ZoneKey;
use corianderyoke_coord::time::Tick;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

pub const MODEL: ModelKey = ModelKey(0);
pub const ROUTERS: u32 = 8;

/// Time per token while an engine runs at most its capacity.
const TOKEN_GAP: Duration = Duration::from_millis(20);

/// Requests that a warm engine runs at once without slowing down.
const WARM_CAPACITY: u32 = 16;

/// Requests that a new engine runs at once without slowing down. The capacity grows by one for each
/// two requests served.
const INITIAL_CAPACITY: u32 = 4;

/// An upstream in `zone` with [`MODEL`] loaded.
pub fn status(zone: u32) -> UpstreamStatus {
    UpstreamStatus {
        zone: ZoneKey(zone),
        leaving: false,
        incarnation: 1,
        max_slots: WARM_CAPACITY,
        warmup_slots: INITIAL_CAPACITY,
        models: [(MODEL, ReplicaState::Loaded)].into_iter().collect(),
        adapters: Default::default(),
    }
}

pub fn request(number: u64, team: u32, cost: u64, deadline: Duration) -> Request {
    Request {
        key: RequestKey { router: MemberKey(number as u32 % ROUTERS), number },
        model: MODEL,
        adapter: None,
        team: TeamKey(team),
        cost,
        deadline,
        prefix: None,
        avoid: Vec::new(),
        retry: false,
    }
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Engine {
    pub running: u32,
    pub served: u32,
    /// Number of starts that put the engine above its capacity.
    pub overloads: u32,
    /// Factor on the time per token.
    pub slowdown: u32,
}

impl Engine {
    fn capacity(&self) -> u32 {
        (INITIAL_CAPACITY + self.served / 2).min(WARM_CAPACITY)
    }
}

pub enum Policy {
    Dispatcher(Box<Dispatcher>),
    TwoChoices(Vec<TwoChoices>),
}

#[derive(Clone, Copy, Debug)]
struct PendingRequest {
    team: u32,
    tokens: u64,
    arrived: u64,
    deadline_at: u64,
}

#[derive(Clone, Copy, Debug)]
struct Running {
    slot: Option<SlotKey>,
    upstream: UpstreamKey,
    started: u64,
    token_gap: Duration,
}

pub struct World {
    pub now: u64,
    pub policy: Policy,
    pub engines: Vec<Engine>,
    /// Times from arrival to end in microseconds, by team.
    pub latencies: BTreeMap<u32, Vec<u64>>,
    pub late: u64,
    pub completed: u64,
    /// Number of refused requests by team.
    pub refusals: BTreeMap<u32, u64>,
    rng: ChaCha8Rng,
    pending: BTreeMap<u64, PendingRequest>,
    running: BTreeMap<u64, Running>,
    completions: BTreeMap<(u64, u64), ()>,
    last_number: u64,
}

impl World {
    /// Engines in two zones, with a dispatcher.
    pub fn with_dispatcher(engines: usize, warm: bool) -> Self {
        let mut home = Dispatcher::new(DispatchSettings::default(), 1, &[], Tick(0));
        for engine in 0..engines {
            home.set_upstream(UpstreamKey(engine as u32), status(engine as u32 % 2), Tick(0));
        }
        World::new(Policy::Dispatcher(Box::new(home)), engines, warm)
    }

    /// The same engines with the baseline: each router chooses on its own.
    pub fn with_two_choices(engines: usize, warm: bool) -> Self {
        let upstreams: Vec<UpstreamKey> = (0..engines as u32).map(UpstreamKey).collect();
        let router = |seed| {
            let cap = WARM_CAPACITY / ROUTERS;
            let mut balancer = TwoChoices::new(TwoChoicesSettings { cap, seed });
            balancer.set_replicas(MODEL, &upstreams);
            balancer
        };
        let routers = (0..u64::from(ROUTERS)).map(router).collect();
        World::new(Policy::TwoChoices(routers), engines, warm)
    }

    fn new(policy: Policy, engines: usize, warm: bool) -> Self {
        let served = if warm { 1000 } else { 0 };
        World {
            now: 0,
            policy,
            engines: vec![Engine { served, slowdown: 1, ..Engine::default() }; engines],
            latencies: BTreeMap::new(),
            late: 0,
            completed: 0,
            refusals: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(3),
            pending: BTreeMap::new(),
            running: BTreeMap::new(),
            completions: BTreeMap::new(),
            last_number: 0,
        }
    }

    /// Submits Poisson arrivals for `duration`; `rates` are teams with their requests per second.
    pub fn offer(&mut self, rates: &[(u32, f64)], deadline: Duration, duration: Duration) {
        let end = self.now + duration.as_micros() as u64;
        let total: f64 = rates.iter().map(|(_, rate)| rate).sum();
        loop {
            let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
            let at = self.now + (-uniform.ln() / total * 1e6) as u64;
            self.advance_to(at.min(end));
            if at >= end {
                return;
            }
            let mut draw = self.rng.random_range(0.0..total);
            let team = rates.iter().find(|(_, rate)| {
                draw -= rate;
                draw < 0.0
            });
            let tokens = self.rng.random_range(90..176);
            self.submit(team.map_or(0, |(team, _)| *team), tokens, deadline);
        }
    }

    pub fn advance(&mut self, duration: Duration) {
        self.advance_to(self.now + duration.as_micros() as u64);
    }

    /// Number of requests that were neither completed nor refused.
    pub fn unresolved(&self) -> usize {
        self.pending.len()
    }

    pub fn dispatcher(&mut self) -> &mut Dispatcher {
        match &mut self.policy {
            Policy::Dispatcher(home) => home,
            Policy::TwoChoices(_) => panic!("the baseline has no dispatcher"),
        }
    }

    /// Number of refused requests, over all teams.
    pub fn refused(&self) -> u64 {
        self.refusals.values().sum()
    }

    /// Carries out the effects that a command of the dispatcher returned.
    pub fn apply(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Start(start) => {
                    self.start(start.request.number, start.upstream, Some(start.slot));
                }
                Effect::Refuse(refusal) => self.refuse(refusal.request.number),
            }
        }
    }

    /// Percentile of a team's latencies, in milliseconds.
    pub fn percentile(&self, team: u32, percent: usize) -> u64 {
        let mut latencies = self.latencies.get(&team).cloned().unwrap_or_default();
        latencies.sort_unstable();
        latencies.get(latencies.len() * percent / 100).map_or(0, |latency| latency / 1000)
    }

    fn submit(&mut self, team: u32, tokens: u64, deadline: Duration) {
        self.last_number += 1;
        let number = self.last_number;
        let now = Tick(self.now);
        let deadline_at = self.now + deadline.as_micros() as u64;
        self.pending
            .insert(number, PendingRequest { team, tokens, arrived: self.now, deadline_at });
        let request = request(number, team, tokens, deadline);
        let router = request.key.router.0 as usize;
        match &mut self.policy {
            Policy::Dispatcher(home) => match home.enqueue(request, now) {
                Decision::Start(start) => self.start(number, start.upstream, Some(start.slot)),
                Decision::Refuse(_) => self.refuse(number),
                Decision::Queued => {}
            },
            Policy::TwoChoices(routers) => {
                if let Some(upstream) = routers[router].enqueue(MODEL, number, deadline, now) {
                    self.start(number, upstream, None);
                }
            }
        }
    }

    fn refuse(&mut self, number: u64) {
        let pending = self.pending.remove(&number).expect("refused twice, or after its end");
        *self.refusals.entry(pending.team).or_default() += 1;
    }

    fn start(&mut self, number: u64, upstream: UpstreamKey, slot: Option<SlotKey>) {
        let engine = &mut self.engines[upstream.0 as usize];
        engine.running += 1;
        let capacity = engine.capacity();
        engine.overloads += u32::from(engine.running > capacity);
        let slowdown = (engine.running.max(capacity) as f64) / f64::from(capacity);
        let token_gap = TOKEN_GAP.mul_f64(slowdown) * engine.slowdown;
        let pending = self.pending.get(&number).expect("started twice, or after a refusal");
        // A request uses between half and all of its reservation.
        let tokens = self.rng.random_range(pending.tokens / 2..=pending.tokens);
        let started = self.now;
        let end = self.now + (token_gap * tokens as u32).as_micros() as u64;
        let running = Running { slot, upstream, started, token_gap };
        assert!(self.running.insert(number, running).is_none(), "started twice");
        self.completions.insert((end, number), ());
    }

    fn advance_to(&mut self, to: u64) {
        while self.now < to {
            let next_tick = (self.now / 50_000 + 1) * 50_000;
            let step = next_tick.min(to);
            while let Some(((end, number), ())) =
                self.completions.first_key_value().map(|(k, ())| (*k, ()))
            {
                if end > step {
                    break;
                }
                self.completions.remove(&(end, number));
                self.now = end;
                self.end(number);
            }
            self.now = step;
            if step == next_tick {
                if let Policy::Dispatcher(home) = &mut self.policy {
                    let effects = home.tick(Tick(step));
                    self.apply(effects);
                }
            }
        }
    }

    fn end(&mut self, number: u64) {
        let Some(running) = self.running.remove(&number) else {
            return;
        };
        let engine = &mut self.engines[running.upstream.0 as usize];
        engine.running -= 1;
        engine.served += 1;
        let pending = self.pending.remove(&number).expect("ended twice");
        self.latencies.entry(pending.team).or_default().push(self.now - pending.arrived);
        self.completed += 1;
        self.late += u64::from(self.now > pending.deadline_at);
        let now = Tick(self.now);
        match &mut self.policy {
            Policy::Dispatcher(home) => {
                let Some(slot) = running.slot else {
                    return;
                };
                let release = Release {
                    slot,
                    outcome: Outcome::Done,
                    first_token: Some(running.token_gap),
                    token_gap: Some(running.token_gap),
                    used_tokens: (self.now - running.started) / TOKEN_GAP.as_micros() as u64,
                };
                let effects = home.release(&release, now);
                self.apply(effects);
            }
            Policy::TwoChoices(routers) => {
                let router = (number % u64::from(ROUTERS)) as usize;
                let next = routers[router].release(MODEL, running.upstream, now);
                if let Some((number, upstream)) = next {
                    self.start(number, upstream, None);
                }
            }
        }
    }
}
