//! Routers, a dispatch home or its baseline, and engines, in virtual time.

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

/// Time per token of an engine within its capacity.
const TOKEN_GAP: Duration = Duration::from_millis(20);

/// Running requests that a warm engine bears at its best time per token.
const WARM: u32 = 16;

/// Running requests that a fresh engine bears; it bears one more per two requests served.
const FRESH: u32 = 4;

/// An upstream of zone `zone` with the model loaded.
pub fn status(zone: u32) -> UpstreamStatus {
    UpstreamStatus {
        zone: ZoneKey(zone),
        leaving: false,
        incarnation: 1,
        max_slots: WARM,
        warmup_slots: FRESH,
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
    /// Moments at which more ran than it bore.
    pub overloads: u32,
    /// Factor on the time per token.
    pub slow: u32,
}

impl Engine {
    fn bears(&self) -> u32 {
        (FRESH + self.served / 2).min(WARM)
    }
}

pub enum Policy {
    Home(Box<Dispatcher>),
    TwoChoices(Vec<TwoChoices>),
}

#[derive(Clone, Copy, Debug)]
struct Arrived {
    team: u32,
    tokens: u64,
    at: u64,
    until: u64,
}

#[derive(Clone, Copy, Debug)]
struct Running {
    slot: Option<SlotKey>,
    upstream: UpstreamKey,
    started: u64,
    gap: Duration,
}

pub struct World {
    pub now: u64,
    pub policy: Policy,
    pub engines: Vec<Engine>,
    /// Spans from arrival to end by team.
    pub spans: BTreeMap<u32, Vec<u64>>,
    pub late: u64,
    pub ended: u64,
    /// Refusals by team.
    pub refusals: BTreeMap<u32, u64>,
    rng: ChaCha8Rng,
    arrived: BTreeMap<u64, Arrived>,
    running: BTreeMap<u64, Running>,
    ends: BTreeMap<(u64, u64), ()>,
    next: u64,
}

impl World {
    /// Engines in two zones, and the dispatch home.
    pub fn home(engines: usize, warm: bool) -> Self {
        let mut home = Dispatcher::new(DispatchSettings::default(), 1, &[], Tick(0));
        for engine in 0..engines {
            home.set_upstream(UpstreamKey(engine as u32), status(engine as u32 % 2), Tick(0));
        }
        World::new(Policy::Home(Box::new(home)), engines, warm)
    }

    /// The same engines, chosen by each router for itself.
    pub fn caps(engines: usize, warm: bool) -> Self {
        let upstreams: Vec<UpstreamKey> = (0..engines as u32).map(UpstreamKey).collect();
        let router = |seed| {
            let cap = WARM / ROUTERS;
            let mut caps = TwoChoices::new(TwoChoicesSettings { cap, seed });
            caps.set_replicas(MODEL, &upstreams);
            caps
        };
        let routers = (0..u64::from(ROUTERS)).map(router).collect();
        World::new(Policy::TwoChoices(routers), engines, warm)
    }

    fn new(policy: Policy, engines: usize, warm: bool) -> Self {
        let served = if warm { 1000 } else { 0 };
        World {
            now: 0,
            policy,
            engines: vec![Engine { served, slow: 1, ..Engine::default() }; engines],
            spans: BTreeMap::new(),
            late: 0,
            ended: 0,
            refusals: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(3),
            arrived: BTreeMap::new(),
            running: BTreeMap::new(),
            ends: BTreeMap::new(),
            next: 0,
        }
    }

    /// Poisson arrivals of teams with their requests a second, for a span.
    pub fn offer(&mut self, rates: &[(u32, f64)], deadline: Duration, span: Duration) {
        let end = self.now + span.as_micros() as u64;
        let total: f64 = rates.iter().map(|(_, rate)| rate).sum();
        loop {
            let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
            let at = self.now + (-uniform.ln() / total * 1e6) as u64;
            self.run_to(at.min(end));
            if at >= end {
                return;
            }
            let mut pick = self.rng.random_range(0.0..total);
            let team = rates.iter().find(|(_, rate)| {
                pick -= rate;
                pick < 0.0
            });
            let tokens = self.rng.random_range(90..176);
            self.arrive(team.map_or(0, |(team, _)| *team), tokens, deadline);
        }
    }

    pub fn run(&mut self, span: Duration) {
        self.run_to(self.now + span.as_micros() as u64);
    }

    /// Requests that were neither answered nor refused.
    pub fn open(&self) -> usize {
        self.arrived.len()
    }

    pub fn dispatcher(&mut self) -> &mut Dispatcher {
        match &mut self.policy {
            Policy::Home(home) => home,
            Policy::TwoChoices(_) => panic!("the baseline has no home"),
        }
    }

    /// Requests that were refused.
    pub fn refused(&self) -> u64 {
        self.refusals.values().sum()
    }

    /// Carries out what a command of the home returned.
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

    /// Percentile of a team's spans, in milliseconds.
    pub fn percentile(&self, team: u32, percent: usize) -> u64 {
        let mut spans = self.spans.get(&team).cloned().unwrap_or_default();
        spans.sort_unstable();
        spans.get(spans.len() * percent / 100).map_or(0, |span| span / 1000)
    }

    fn arrive(&mut self, team: u32, tokens: u64, deadline: Duration) {
        self.next += 1;
        let number = self.next;
        let now = Tick(self.now);
        let until = self.now + deadline.as_micros() as u64;
        self.arrived.insert(number, Arrived { team, tokens, at: self.now, until });
        let request = request(number, team, tokens, deadline);
        let router = request.key.router.0 as usize;
        match &mut self.policy {
            Policy::Home(home) => match home.enqueue(request, now) {
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
        let arrived = self.arrived.remove(&number).expect("refused twice, or after its end");
        *self.refusals.entry(arrived.team).or_default() += 1;
    }

    fn start(&mut self, number: u64, upstream: UpstreamKey, slot: Option<SlotKey>) {
        let engine = &mut self.engines[upstream.0 as usize];
        engine.running += 1;
        let bears = engine.bears();
        engine.overloads += u32::from(engine.running > bears);
        let crowd = (engine.running.max(bears) as f64) / f64::from(bears);
        let gap = TOKEN_GAP.mul_f64(crowd) * engine.slow;
        let arrived = self.arrived.get(&number).expect("started twice, or after a refusal");
        // A request uses half of its reservation or more, never beyond it.
        let tokens = self.rng.random_range(arrived.tokens / 2..=arrived.tokens);
        let started = self.now;
        let end = self.now + (gap * tokens as u32).as_micros() as u64;
        let running = Running { slot, upstream, started, gap };
        assert!(self.running.insert(number, running).is_none(), "started twice");
        self.ends.insert((end, number), ());
    }

    fn run_to(&mut self, to: u64) {
        while self.now < to {
            let next = (self.now / 50_000 + 1) * 50_000;
            let step = next.min(to);
            while let Some(((end, number), ())) =
                self.ends.first_key_value().map(|(k, ())| (*k, ()))
            {
                if end > step {
                    break;
                }
                self.ends.remove(&(end, number));
                self.now = end;
                self.end(number);
            }
            self.now = step;
            if step == next {
                if let Policy::Home(home) = &mut self.policy {
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
        let arrived = self.arrived.remove(&number).expect("ended twice");
        self.spans.entry(arrived.team).or_default().push(self.now - arrived.at);
        self.ended += 1;
        self.late += u64::from(self.now > arrived.until);
        let now = Tick(self.now);
        match &mut self.policy {
            Policy::Home(home) => {
                let Some(slot) = running.slot else {
                    return;
                };
                let release = Release {
                    slot,
                    outcome: Outcome::Done,
                    first_token: Some(running.gap),
                    token_gap: Some(running.gap),
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
