//! Slots: one count over all routers, through lost messages, lost routers and changes of home.

use std::time::Duration;

use corianderyoke_coord::dispatch::Decision;
use corianderyoke_coord::dispatch::DispatchSettings;
use corianderyoke_coord::dispatch::Dispatcher;
use corianderyoke_coord::dispatch::Effect;
use corianderyoke_coord::dispatch::HeldSlot;
use corianderyoke_coord::dispatch::Outcome;
use corianderyoke_coord::dispatch::ReceivedBound;
use corianderyoke_coord::dispatch::RefusalReason;
use corianderyoke_coord::dispatch::Release;
use corianderyoke_coord::dispatch::ReplicaState;
use corianderyoke_coord::dispatch::Request;
use corianderyoke_coord::dispatch::SlotKey;
use corianderyoke_coord::dispatch::Start;
use corianderyoke_coord::dispatch::UpstreamStatus;
use corianderyoke_coord::keys::AdapterKey;
use corianderyoke_coord::keys::MemberKey;
use corianderyoke_coord::keys::TeamKey;
use corianderyoke_coord::keys::UpstreamKey;
use corianderyoke_coord::time::Tick;
use indexmap::IndexMap;
use indexmap::IndexSet;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use crate::world::request;
use crate::world::status;
use crate::world::MODEL;
use crate::world::ROUTERS;

const UPSTREAMS: u32 = 3;
const DEADLINE: Duration = Duration::from_secs(30);

#[derive(Clone, Debug)]
enum Op {
    Enqueue(u32, bool),
    /// Ends a request; the release may be lost or doubled.
    End(usize, u64, u8),
    Pass(u64),
    Confirm(u32),
    Lapse(u32),
    Move,
    Leave(u32, bool),
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        12 => (0..3u32, prop::bool::weighted(0.1)).prop_map(|(team, lost)| Op::Enqueue(team, lost)),
        10 => (0..64usize, 10..300u64, 0..4u8).prop_map(|(i, gap, n)| Op::End(i, gap, n)),
        4 => (1..5000u64).prop_map(Op::Pass),
        2 => (0..ROUTERS).prop_map(Op::Confirm),
        1 => (0..ROUTERS).prop_map(Op::Lapse),
        1 => Just(Op::Move),
        1 => (0..UPSTREAMS, any::<bool>()).prop_map(|(up, leaving)| Op::Leave(up, leaving)),
    ]
}

struct World {
    now: Tick,
    epoch: u64,
    home: Dispatcher,
    leaving: IndexSet<u32>,
    lapsed: IndexSet<MemberKey>,
    /// What runs, with when it must be over.
    running: IndexMap<Start, Tick>,
    /// Requests that wait, with their deadlines.
    open: IndexMap<u64, Tick>,
    next: u64,
}

impl World {
    fn new() -> Self {
        let home = Dispatcher::new(DispatchSettings::default(), 1, &[], Tick(0));
        let mut world = World {
            now: Tick(0),
            epoch: 1,
            home,
            leaving: IndexSet::new(),
            lapsed: IndexSet::new(),
            running: IndexMap::new(),
            open: IndexMap::new(),
            next: 0,
        };
        world.set_upstreams();
        world
    }

    fn set_upstreams(&mut self) {
        for upstream in 0..UPSTREAMS {
            let leaving = self.leaving.contains(&upstream);
            let status = UpstreamStatus { leaving, ..status(0) };
            let effects = self.home.set_upstream(UpstreamKey(upstream), status, self.now);
            self.take(effects, false);
        }
    }

    fn take(&mut self, effects: Vec<Effect>, lost: bool) {
        for effect in effects {
            match effect {
                Effect::Start(start) => self.start(start, lost),
                Effect::Refuse(refusal) => {
                    let open = self.open.swap_remove(&refusal.request.number);
                    assert!(open.is_some(), "resolved twice");
                }
            }
        }
    }

    fn start(&mut self, start: Start, lost: bool) {
        let until = self.open.swap_remove(&start.request.number).expect("resolved twice");
        assert!(!self.leaving.contains(&start.upstream.0), "started on a leaving upstream");
        let bound = self.home.bound(start.upstream);
        assert!(self.home.in_use(start.upstream) <= bound, "more slots than the bound");
        if !lost {
            self.running.insert(start, until);
        }
        let running = self.running.keys().filter(|other| other.upstream == start.upstream).count();
        assert!(running as u32 <= bound, "{running} run, {bound} may");
    }

    fn enqueue(&mut self, team: u32, lost: bool) {
        self.next += 1;
        let request = request(self.next, team, 100, DEADLINE);
        if self.lapsed.contains(&request.key.router) {
            return;
        }
        self.open.insert(self.next, self.now + DEADLINE);
        match self.home.enqueue(request.clone(), self.now) {
            Decision::Start(start) => {
                assert_eq!(self.home.enqueue(request, self.now), Decision::Start(start));
                self.start(start, lost);
            }
            Decision::Refuse(_) => {
                self.open.swap_remove(&self.next);
            }
            Decision::Queued => {}
        }
        let effects = self.home.tick(self.now);
        self.take(effects, lost);
    }

    /// `sent` copies of the release arrive.
    fn end(&mut self, index: usize, gap: u64, sent: u8) {
        if self.running.is_empty() {
            return;
        }
        let place = index % self.running.len();
        let Some((start, _)) = self.running.swap_remove_index(place) else {
            return;
        };
        let release = Release {
            slot: start.slot,
            outcome: if gap > 280 { Outcome::Failed } else { Outcome::Done },
            first_token: Some(Duration::from_millis(gap)),
            token_gap: Some(Duration::from_millis(gap)),
            used_tokens: 50,
        };
        for _ in 0..sent {
            let effects = self.home.release(&release, self.now);
            self.take(effects, false);
        }
    }

    fn pass(&mut self, ms: u64) {
        self.now = self.now + Duration::from_millis(ms);
        let now = self.now;
        // Requests of lapsed routers end at their deadlines at the latest.
        self.running.retain(|_, until| *until > now);
        let effects = self.home.tick(now);
        self.take(effects, false);
    }

    fn held(&self, router: MemberKey) -> Vec<HeldSlot> {
        let mine = self.running.iter().filter(|(start, _)| start.request.router == router);
        let slot = |(start, until): (&Start, &Tick)| HeldSlot {
            slot: start.slot,
            request: start.request,
            upstream: start.upstream,
            model: MODEL,
            team: TeamKey(0),
            cost: 100,
            deadline: until.since(self.now),
        };
        mine.map(slot).collect()
    }

    /// Bounds that a router was told with what it runs.
    fn told(&self, router: MemberKey) -> Vec<ReceivedBound> {
        let mine = self.running.keys().filter(|start| start.request.router == router);
        let told = |start: &Start| ReceivedBound {
            upstream: start.upstream,
            slot: start.slot,
            bound: start.bound,
            age: Duration::ZERO,
        };
        mine.map(told).collect()
    }

    fn confirm(&mut self, router: MemberKey) {
        if self.lapsed.contains(&router) {
            return;
        }
        let held: Vec<_> = self.held(router).iter().map(|held| held.slot).collect();
        let effects = self.home.reconcile_slots(router, &held, self.now);
        self.take(effects, false);
    }

    fn lapse(&mut self, router: MemberKey) {
        self.lapsed.insert(router);
        self.open.retain(|number, _| *number as u32 % ROUTERS != router.0);
        let effects = self.home.expire_router(router, self.now);
        self.take(effects, false);
    }

    /// The home moves; its routers report their slots, the engines what lost routers left.
    fn move_home(&mut self) {
        self.epoch += 1;
        self.open.clear();
        let members: Vec<MemberKey> = (0..ROUTERS).map(MemberKey).collect();
        let members: Vec<MemberKey> =
            members.into_iter().filter(|member| !self.lapsed.contains(member)).collect();
        let settings = DispatchSettings::default();
        self.home = Dispatcher::new(settings, self.epoch, &members, self.now);
        self.set_upstreams();
        for member in &members {
            let told = self.told(*member);
            self.home.adopt_bounds(*member, &told, self.now);
        }
        for member in &members {
            let held = self.held(*member);
            self.home.adopt_slots(*member, &held, self.now);
        }
        if self.lapsed.is_empty() {
            return;
        }
        for upstream in (0..UPSTREAMS).map(UpstreamKey) {
            let running = self.running.keys().filter(|start| start.upstream == upstream).count();
            let effects = self.home.report_load(upstream, running as u32, self.now);
            self.take(effects, false);
        }
    }
}

/// A fixed seed; `PROPTEST_RNG_SEED` and `PROPTEST_CASES` choose others.
fn config() -> ProptestConfig {
    let config = ProptestConfig { failure_persistence: None, ..ProptestConfig::default() };
    match config.rng_seed {
        RngSeed::Random => ProptestConfig { rng_seed: RngSeed::Fixed(1), ..config },
        RngSeed::Fixed(_) => config,
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn no_upstream_runs_more_than_its_bound(ops in prop::collection::vec(op(), 1..200)) {
        let mut world = World::new();
        for op in ops {
            match op {
                Op::Enqueue(team, lost) => world.enqueue(team, lost),
                Op::End(index, gap, sent) => world.end(index, gap, sent),
                Op::Pass(ms) => world.pass(ms),
                Op::Confirm(router) => world.confirm(MemberKey(router)),
                Op::Lapse(router) => world.lapse(MemberKey(router)),
                Op::Move => world.move_home(),
                Op::Leave(upstream, leaving) => {
                    if leaving {
                        world.leaving.insert(upstream);
                    } else {
                        world.leaving.swap_remove(&upstream);
                    }
                    world.set_upstreams();
                }
            }
        }
        world.pass(60_000);
        assert!(world.open.is_empty(), "{} requests were dropped", world.open.len());
    }
}

#[test]
fn requests_for_an_idle_model_are_one_wake_and_refused_when_it_takes_too_long() {
    let mut home = Dispatcher::new(DispatchSettings::default(), 1, &[], Tick(0));
    home.set_wake_estimate(MODEL, Duration::from_secs(10));
    for number in 0..8 {
        let decision = home.enqueue(request(number, 0, 100, DEADLINE), Tick(0));
        assert_eq!(decision, Decision::Queued);
    }
    assert_eq!(home.models_to_wake().collect::<Vec<_>>(), [MODEL]);
    let short = home.enqueue(request(9, 0, 100, Duration::from_secs(4)), Tick(0));
    let Decision::Refuse(refusal) = short else {
        panic!("{short:?}");
    };
    assert_eq!(
        (refusal.reason, refusal.retry_after),
        (RefusalReason::Waking, Duration::from_secs(6))
    );
    let models = [(MODEL, ReplicaState::Loading(Duration::from_secs(9)))].into_iter().collect();
    home.set_upstream(UpstreamKey(0), UpstreamStatus { models, ..status(0) }, Tick(0));
    assert_eq!(home.models_to_wake().count(), 0);
    let effects = home.set_upstream(UpstreamKey(0), status(0), Tick(9_000_000));
    assert_eq!(effects.len(), 2, "a fresh upstream starts with few: {effects:?}");
}

#[test]
fn affinity_avoidance_and_retries() {
    let mut home = Dispatcher::new(DispatchSettings::default(), 1, &[], Tick(0));
    let adapters: IndexSet<AdapterKey> = [AdapterKey(7)].into_iter().collect();
    home.set_upstream(UpstreamKey(0), status(0), Tick(0));
    home.set_upstream(UpstreamKey(1), UpstreamStatus { adapters, ..status(0) }, Tick(0));
    let mut start = |request: Request| match home.enqueue(request, Tick(0)) {
        Decision::Start(start) => Ok(start.upstream.0),
        Decision::Refuse(refusal) => Err(refusal.reason),
        Decision::Queued => panic!("queued"),
    };
    let plain = |number| request(number, 0, 1, DEADLINE);
    assert_eq!(start(Request { adapter: Some(AdapterKey(7)), ..plain(1) }), Ok(1));
    assert_eq!(start(Request { avoid: vec![UpstreamKey(0)], ..plain(2) }), Ok(1));
    let prefix = Some(5);
    assert_eq!(start(Request { prefix, ..plain(3) }), Ok(0));
    let mut home = Dispatcher::new(DispatchSettings::default(), 1, &[], Tick(0));
    let retries = (0..12).map(|number| Request { retry: true, ..plain(number) });
    let refused = retries.filter(|retry| {
        matches!(home.enqueue(retry.clone(), Tick(0)), Decision::Refuse(refusal)
            if refusal.reason == RefusalReason::RetryBudget)
    });
    assert_eq!(refused.count(), 2, "ten retries are saved up");
}

/// Two teams of equal weight keep a queue; one's requests cost three times the other's.
#[test]
fn backlogged_teams_take_turns_by_tokens() {
    let settings = DispatchSettings { waiting: 1000, ..DispatchSettings::default() };
    let mut home = Dispatcher::new(settings, 1, &[], Tick(0));
    home.set_upstream(UpstreamKey(0), UpstreamStatus { max_slots: 1, ..status(0) }, Tick(0));
    let mut slot = None;
    for number in 0..40 {
        let team = 1 + number as u32 % 2;
        let cost = if team == 1 { 300 } else { 100 };
        let minute = Duration::from_secs(60);
        if let Decision::Start(start) = home.enqueue(request(number, team, cost, minute), Tick(0)) {
            slot = Some(start.slot);
        }
    }
    let mut turns = String::new();
    let mut now = Tick(0);
    while turns.len() < 20 {
        now = now + Duration::from_millis(100);
        let release = Release {
            slot: slot.expect("the slot is always in use"),
            outcome: Outcome::Done,
            first_token: None,
            token_gap: None,
            used_tokens: 300,
        };
        slot = None;
        for effect in home.release(&release, now) {
            if let Effect::Start(start) = effect {
                turns.push(if start.request.number % 2 == 0 { 'A' } else { 'b' });
                slot = Some(start.slot);
            }
        }
    }
    insta::assert_snapshot!(turns);
}

#[test]
fn a_short_request_is_not_refused_because_others_are_long() {
    let mut home = Dispatcher::new(DispatchSettings::default(), 1, &[], Tick(0));
    home.set_upstream(UpstreamKey(0), status(0), Tick(0));
    let mut now = Tick(0);
    for number in 0..10 {
        let long = request(number, 0, 1000, Duration::from_secs(60));
        let Decision::Start(start) = home.enqueue(long, now) else {
            panic!("request {number} didn't start");
        };
        now = now + Duration::from_secs(20);
        let (outcome, token_gap) = (Outcome::Done, Some(Duration::from_millis(20)));
        let slot = start.slot;
        home.release(
            &Release { slot, outcome, first_token: None, token_gap, used_tokens: 1000 },
            now,
        );
    }
    let short = |number, cost| request(number, 0, cost, Duration::from_secs(2));
    assert!(matches!(home.enqueue(short(10, 20), now), Decision::Start(_)));
    assert!(matches!(home.enqueue(short(11, 1000), now), Decision::Refuse(_)));
}

#[test]
fn a_new_home_goes_on_with_the_bounds_that_routers_were_told() {
    let members = [MemberKey(1), MemberKey(2)];
    let mut home = Dispatcher::new(DispatchSettings::default(), 2, &members, Tick(0));
    for upstream in 0..3 {
        home.set_upstream(UpstreamKey(upstream), status(0), Tick(0));
    }
    let told = |upstream, number, bound, age| ReceivedBound {
        upstream: UpstreamKey(upstream),
        slot: SlotKey { epoch: 1, number },
        bound,
        age: Duration::from_secs(age),
    };
    home.adopt_bounds(MemberKey(1), &[told(0, 9, 12, 1), told(1, 4, 12, 5)], Tick(0));
    home.adopt_bounds(MemberKey(2), &[told(1, 8, 2, 2), told(2, 1, 12, 100)], Tick(0));
    // The latest word counts, and none that is as old as an idle upstream.
    let bounds = [0, 1, 2].map(|upstream| home.bound(UpstreamKey(upstream)));
    assert_eq!(bounds, [12, 2, 2]);
}
