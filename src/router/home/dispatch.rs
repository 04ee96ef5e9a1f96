//! The cell's dispatch home at this router: queues, slots, and the demand told to placement.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use corianderyoke_coord::dispatch::Decision;
use corianderyoke_coord::dispatch::DispatchSettings;
use corianderyoke_coord::dispatch::Dispatcher;
use corianderyoke_coord::dispatch::Effect;
use corianderyoke_coord::dispatch::HeldSlot;
use corianderyoke_coord::dispatch::Outcome;
use corianderyoke_coord::dispatch::Reason;
use corianderyoke_coord::dispatch::Release;
use corianderyoke_coord::dispatch::ReplicaState;
use corianderyoke_coord::dispatch::Request;
use corianderyoke_coord::dispatch::RequestKey;
use corianderyoke_coord::dispatch::SlotKey;
use corianderyoke_coord::dispatch::Start;
use corianderyoke_coord::dispatch::ToldBound;
use corianderyoke_coord::dispatch::UpstreamStatus;
use corianderyoke_coord::keys::MemberKey;
use corianderyoke_coord::membership::Kind;
use corianderyoke_coord::membership::MemberId;
use corianderyoke_coord::register::Register;
use corianderyoke_coord::register::UpstreamKind;
use corianderyoke_wire::peer;
use corianderyoke_wire::peer::enqueue_response::Outcome as Enqueued;
use corianderyoke_wire::peer::request::Body as Call;
use corianderyoke_wire::peer::response::Body as Answer;
use indexmap::IndexMap;
use indexmap::IndexSet;
use parking_lot::Mutex;
use tokio::sync::oneshot;
use tokio::sync::Notify;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::router::home::serves;
use crate::router::start::DISPATCH;
use crate::router::Router;
use crate::util::clock;

/// Time between two ticks of the dispatcher.
const TICK: Duration = Duration::from_millis(20);
/// Time between two reports of demand for a model.
const DEMAND_EVERY: Duration = Duration::from_millis(200);
/// Longest wait for placement's answer.
const WAKE_WITHIN: Duration = Duration::from_secs(1);
/// Slack beyond a request's deadline before its enqueue is given up.
const ANSWER_SLACK: Duration = Duration::from_millis(200);
/// Assumed span of a load under way.
const LOADING_SPAN: Duration = Duration::from_secs(5);

/// The dispatcher, where this router is the dispatch home.
#[derive(Default)]
pub struct Dispatch {
    state: Mutex<Option<State>>,
    /// Replicas as placement pushed them last, kept by every router.
    replicas: Mutex<Replicas>,
    /// Told when a request has to wait.
    wanted: Notify,
    /// Placement's estimates of wakes, by model.
    wakes: Mutex<IndexMap<String, Duration>>,
}

struct State {
    dispatcher: Dispatcher,
    waiting: HashMap<RequestKey, oneshot::Sender<Enqueued>>,
}

/// What placement pushed last.
#[derive(Clone, Default)]
struct Replicas {
    epoch: u64,
    version: u64,
    list: Vec<peer::Replica>,
}

impl Dispatch {
    /// Whether a dispatcher runs here.
    pub fn runs(&self) -> bool {
        self.state.lock().is_some()
    }

    /// Starts a dispatcher at `epoch` from the parts of all members.
    pub fn start(&self, router: &Router, epoch: u64, parts: &[(MemberId, peer::TakeoverResponse)]) {
        for part in parts {
            if let Some(list) = &part.1.replicas {
                // A router that joined while no controller acts learns the replicas from the others.
                self.take(list.clone());
            }
        }
        let now = clock::now();
        let names = &router.homes.names;
        let members: Vec<MemberKey> = parts.iter().map(|(id, _)| names.member(id)).collect();
        let mut dispatcher = Dispatcher::new(DispatchSettings::default(), epoch, &members, now);
        configure(router, &mut dispatcher, &self.replicas.lock().list);
        for (id, part) in parts {
            let told = part.bounds.iter().map(|told| told_bound(router, told));
            let told: Vec<ToldBound> = told.collect();
            dispatcher.adopt_bounds(names.member(id), &told, now);
        }
        for (id, part) in parts {
            let member = names.member(id);
            let held = part.slots.iter().map(|slot| held_slot(router, member, slot));
            let held: Vec<HeldSlot> = held.collect();
            dispatcher.adopt(member, &held, now);
        }
        *self.state.lock() = Some(State { dispatcher, waiting: HashMap::new() });
    }

    /// Stops the dispatcher; requests that wait here are told to ask the next home.
    pub fn stop(&self) {
        // Dropping the waiting senders answers each open enqueue with "not home".
        self.state.lock().take();
    }

    /// Forgets a member whose term has ended.
    pub fn lapse(&self, router: &Router, member: MemberKey) {
        self.with(router, |dispatcher| dispatcher.lapse(member, clock::now()));
    }

    /// Placement's newest list, as it came.
    pub fn newest(&self) -> peer::ReplicasRequest {
        let Replicas { epoch, version, list } = self.replicas.lock().clone();
        peer::ReplicasRequest { epoch, version, replicas: list }
    }

    /// Takes a list, unless a newer one came already; whether it was taken.
    fn take(&self, pushed: peer::ReplicasRequest) -> bool {
        let mut held = self.replicas.lock();
        if (pushed.epoch, pushed.version) < (held.epoch, held.version) {
            return false;
        }
        let peer::ReplicasRequest { epoch, version, replicas: list } = pushed;
        *held = Replicas { epoch, version, list };
        true
    }

    /// Replicas as placement pushed them last.
    pub fn replica_list(&self) -> Vec<peer::Replica> {
        self.replicas.lock().list.clone()
    }

    /// Whether an adapter is known to be loaded on an upstream.
    pub fn has_adapter(&self, upstream: &str, model: &str, adapter: &str) -> bool {
        let replicas = self.replicas.lock();
        let mut list = replicas.list.iter();
        let here = |r: &&peer::Replica| r.upstream == upstream && r.model == model;
        list.find(here).is_some_and(|r| r.adapters.iter().any(|name| name == adapter))
    }

    /// Notes an adapter that was just loaded, ahead of placement's next push.
    pub fn note_adapter(&self, upstream: &str, model: &str, adapter: &str) {
        let mut replicas = self.replicas.lock();
        let mut list = replicas.list.iter_mut();
        if let Some(found) = list.find(|r| r.upstream == upstream && r.model == model) {
            if !found.adapters.iter().any(|name| name == adapter) {
                found.adapters.push(adapter.to_owned());
            }
        }
    }

    /// Where a request for `model` would go, as `(upstream, slots in use, bound)`.
    pub fn standing(&self, router: &Router, model: &str) -> Option<Vec<(String, u32, u32)>> {
        let state = self.state.lock();
        let dispatcher = &state.as_ref()?.dispatcher;
        let replicas = self.replicas.lock();
        let here = replicas.list.iter().filter(|replica| replica.model == model);
        let rows = here.map(|replica| {
            let key = router.homes.names.upstreams.key(&replica.upstream);
            (replica.upstream.clone(), dispatcher.in_use(key), dispatcher.bound(key))
        });
        Some(rows.collect())
    }

    fn with(&self, router: &Router, change: impl FnOnce(&mut Dispatcher) -> Vec<Effect>) {
        let mut state = self.state.lock();
        if let Some(state) = state.as_mut() {
            let effects = change(&mut state.dispatcher);
            state.tell(router, effects);
        }
    }
}

impl State {
    fn tell(&mut self, router: &Router, effects: Vec<Effect>) {
        for effect in effects {
            let (request, outcome) = match effect {
                Effect::Start(start) => (start.request, started(router, start)),
                Effect::Refuse(refusal) => (refusal.request, late(refusal.wait, refusal.reason)),
            };
            // A start that nobody hears of is handed out when the router asks again, and freed
            // when the router doesn't report it as held.
            if let Some(tell) = self.waiting.remove(&request) {
                let _ = tell.send(outcome);
            }
        }
    }
}

fn started(router: &Router, start: Start) -> Enqueued {
    let slot = peer::SlotKey { home: start.slot.home, number: start.slot.number };
    let upstream = router.homes.names.upstreams.name(start.upstream);
    Enqueued::Start(peer::Start { slot: Some(slot), upstream, bound: start.bound })
}

fn late(wait: Duration, reason: Reason) -> Enqueued {
    let reason = match reason {
        Reason::Busy => "busy",
        Reason::Waking => "waking",
        Reason::Late => "late",
        Reason::Full => "full",
        Reason::RetryBudget => "retry_budget",
    };
    Enqueued::Late(peer::Late { wait_ms: wait.as_millis() as u64, reason: reason.to_owned() })
}

fn slot_key(slot: peer::SlotKey) -> SlotKey {
    SlotKey { home: slot.home, number: slot.number }
}

fn held_slot(router: &Router, member: MemberKey, held: &peer::HeldSlot) -> HeldSlot {
    let names = &router.homes.names;
    HeldSlot {
        slot: slot_key(held.slot.unwrap_or_default()),
        request: RequestKey { router: member, number: held.number },
        upstream: names.upstreams.key(&held.upstream),
        model: names.models.key(&held.model),
        team: names.teams.key(&held.team),
        cost: held.cost,
        deadline: Duration::from_millis(held.deadline_ms),
    }
}

fn told_bound(router: &Router, told: &peer::ToldBound) -> ToldBound {
    ToldBound {
        upstream: router.homes.names.upstreams.key(&told.upstream),
        slot: slot_key(told.slot.unwrap_or_default()),
        bound: told.bound,
        age: Duration::from_millis(told.age_ms),
    }
}

/// Takes a request of member `from` in and answers once it may start or won't.
pub async fn enqueue(
    router: &Arc<Router>,
    from: &MemberId,
    wish: peer::EnqueueRequest,
) -> peer::EnqueueResponse {
    let outcome = wait_for(router, from, wish).await.unwrap_or(Enqueued::NotHome(true));
    peer::EnqueueResponse { outcome: Some(outcome) }
}

async fn wait_for(
    router: &Arc<Router>,
    from: &MemberId,
    wish: peer::EnqueueRequest,
) -> Option<Enqueued> {
    if !serves(router, Kind::Dispatch, DISPATCH) || !router.agent.view().contains(from) {
        return None;
    }
    let request = request(router, from, &wish);
    let told = {
        let mut state = router.homes.dispatch.state.lock();
        let state = state.as_mut()?;
        let key = request.key;
        match state.dispatcher.enqueue(request, clock::now()) {
            Decision::Start(start) => return Some(started(router, start)),
            Decision::Refuse(refusal) => {
                if refusal.reason == Reason::Waking {
                    // The model is loaded all the same, for the caller's next try.
                    tell_placement(router, wish.model, 1, 0);
                }
                return Some(late(refusal.wait, refusal.reason));
            }
            Decision::Queued => {
                let (tell, told) = oneshot::channel();
                state.waiting.insert(key, tell);
                told
            }
        }
    };
    router.homes.dispatch.wanted.notify_one();
    let limit = Duration::from_millis(wish.deadline_ms) + ANSWER_SLACK;
    timeout(limit, told).await.ok()?.ok()
}

fn request(router: &Router, from: &MemberId, wish: &peer::EnqueueRequest) -> Request {
    let names = &router.homes.names;
    Request {
        key: RequestKey { router: names.member(from), number: wish.number },
        model: names.models.key(&wish.model),
        adapter: (!wish.adapter.is_empty()).then(|| names.adapters.key(&wish.adapter)),
        team: names.teams.key(&wish.team),
        cost: wish.cost,
        deadline: Duration::from_millis(wish.deadline_ms),
        prefix: (wish.prefix != 0).then_some(wish.prefix),
        avoid: wish.avoid.iter().map(|name| names.upstreams.key(name)).collect(),
        retry: wish.retry,
    }
}

/// Takes a slot back.
pub fn release(router: &Router, release: &peer::ReleaseRequest) {
    let span = |us: u64| (us > 0).then(|| Duration::from_micros(us));
    let outcome = match release.outcome() {
        peer::Outcome::Done => Outcome::Done,
        peer::Outcome::Failed => Outcome::Failed,
        peer::Outcome::Cancelled | peer::Outcome::Unspecified => Outcome::Cancelled,
    };
    let release = Release {
        slot: slot_key(release.slot.unwrap_or_default()),
        outcome,
        first_token: span(release.first_us),
        token_gap: span(release.gap_us),
        used: release.used,
    };
    let change = |dispatcher: &mut Dispatcher| dispatcher.release(&release, clock::now());
    router.homes.dispatch.with(router, change);
}

/// Takes a request out that waits or has a slot.
pub fn cancel(router: &Router, from: &MemberId, number: u64) {
    let key = RequestKey { router: router.homes.names.member(from), number };
    router.homes.dispatch.with(router, |dispatcher| dispatcher.cancel(key, clock::now()));
}

/// Frees the slots of member `from` that it doesn't hold.
pub fn confirm(router: &Router, from: &MemberId, held: &[peer::SlotKey]) {
    let member = router.homes.names.member(from);
    let held: Vec<SlotKey> = held.iter().copied().map(slot_key).collect();
    let change = |dispatcher: &mut Dispatcher| dispatcher.confirm(member, &held, clock::now());
    router.homes.dispatch.with(router, change);
}

/// Takes placement's list of replicas, unless a newer one came already.
pub fn replicas(router: &Router, pushed: peer::ReplicasRequest) {
    if router.homes.dispatch.take(pushed) {
        refresh(router);
    }
}

/// Brings the dispatcher in step with the register, the replicas and the platform's list.
pub fn refresh(router: &Router) {
    let list = router.homes.dispatch.replica_list();
    router.homes.dispatch.with(router, |dispatcher| configure(router, dispatcher, &list));
}

fn configure(
    router: &Router,
    dispatcher: &mut Dispatcher,
    replicas: &[peer::Replica],
) -> Vec<Effect> {
    let Some(register) = router.agent.config() else {
        return Vec::new();
    };
    let now = clock::now();
    let names = &router.homes.names;
    let mut effects = Vec::new();
    for (team, entry) in &register.teams {
        dispatcher.set_team(names.teams.key(team), entry.weight.round().max(1.0) as u32);
    }
    for (zone, entry) in &register.zones {
        effects.extend(dispatcher.set_zone(names.zones.key(zone), entry.drained, now));
    }
    for (model, entry) in &register.models {
        let estimate = router.homes.dispatch.wakes.lock().get(model).copied();
        let remote = Duration::from_millis(entry.start_ms.remote);
        dispatcher.set_wake(names.models.key(model), estimate.unwrap_or(remote));
    }
    for (name, status) in statuses(router, &register, replicas) {
        effects.extend(dispatcher.set_upstream(names.upstreams.key(&name), status, now));
    }
    effects
}

fn statuses(
    router: &Router,
    register: &Register,
    replicas: &[peer::Replica],
) -> IndexMap<String, UpstreamStatus> {
    let names = &router.homes.names;
    let mut statuses = IndexMap::new();
    for (name, upstream) in &register.upstreams {
        if upstream.kind != UpstreamKind::Engine {
            continue;
        }
        let status = UpstreamStatus {
            zone: names.zones.key(&upstream.zone),
            leaving: router.agent.is_leaving(name),
            incarnation: 0,
            slots: upstream.max_running,
            fresh: upstream.fresh_running,
            models: IndexMap::new(),
            adapters: IndexSet::new(),
        };
        statuses.insert(name.clone(), status);
    }
    for replica in replicas {
        let Some(status) = statuses.get_mut(&replica.upstream) else {
            continue;
        };
        let state = match replica.state.as_str() {
            "loaded" => ReplicaState::Loaded,
            "loading" => ReplicaState::Loading(LOADING_SPAN),
            _ => ReplicaState::Unloading,
        };
        status.models.insert(names.models.key(&replica.model), state);
        status.adapters.extend(replica.adapters.iter().map(|name| names.adapters.key(name)));
    }
    statuses
}

/// Ticks the dispatcher and tells placement the demand, until the task is dropped.
pub async fn run(router: Arc<Router>) {
    let mut told = clock::now();
    loop {
        let dispatch = &router.homes.dispatch;
        let urgent = timeout(TICK, dispatch.wanted.notified()).await.is_ok();
        if !serves(&router, Kind::Dispatch, DISPATCH) {
            sleep(TICK).await;
            continue;
        }
        dispatch.with(&router, |dispatcher| dispatcher.tick(clock::now()));
        if urgent || clock::now().since(told) >= DEMAND_EVERY {
            told = clock::now();
            tell_demand(&router, urgent);
        }
    }
}

/// Tells placement what waits and runs; where `urgent`, only models that have no replica.
fn tell_demand(router: &Arc<Router>, urgent: bool) {
    let Some(register) = router.agent.config() else {
        return;
    };
    let now = clock::now();
    let names = &router.homes.names;
    let mut demands = Vec::new();
    if let Some(state) = router.homes.dispatch.state.lock().as_ref() {
        let wakes: IndexSet<_> = state.dispatcher.wakes().collect();
        for model in register.models.keys() {
            let key = names.models.key(model);
            let demand = state.dispatcher.demand(key, now);
            let idle = demand.waiting == 0 && demand.in_use == 0;
            if !idle && (!urgent || wakes.contains(&key)) {
                demands.push((model.clone(), demand.waiting as u32, demand.in_use));
            }
        }
    }
    for (model, waiting, running) in demands {
        tell_placement(router, model, waiting, running);
    }
}

fn tell_placement(router: &Arc<Router>, model: String, waiting: u32, running: u32) {
    let router = Arc::clone(router);
    tokio::spawn(async move {
        let call = Call::Wake(peer::WakeRequest { model: model.clone(), waiting, running });
        let answer = router.call_home(Kind::Placement, DISPATCH, call, WAKE_WITHIN).await;
        if let Some(Answer::Wake(peer::WakeResponse { ready_ms: ms @ 1.., .. })) = answer {
            let estimate = Duration::from_millis(ms);
            router.homes.dispatch.wakes.lock().insert(model, estimate);
        }
    });
}
