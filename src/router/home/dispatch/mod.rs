//! The cell's dispatch home at this router: queues, slots, and demand reports to placement.
//!
//! [`requests`] answers the routers, [`status`] updates the dispatcher from the register and the
//! replica list, and [`demand`] ticks the dispatcher and reports demand to placement.

mod demand;
mod requests;
mod status;

use std::time::Duration;

use corianderyoke_coord::dispatch::DispatchSettings;
use corianderyoke_coord::dispatch::Dispatcher;
use corianderyoke_coord::dispatch::Effect;
use corianderyoke_coord::dispatch::HeldSlot;
use corianderyoke_coord::dispatch::ReceivedBound;
use corianderyoke_coord::dispatch::RefusalReason;
use corianderyoke_coord::dispatch::RequestKey;
use corianderyoke_coord::dispatch::SlotKey;
use corianderyoke_coord::dispatch::Start;
use corianderyoke_coord::keys::MemberKey;
use corianderyoke_coord::membership::MemberId;
use corianderyoke_wire::peer;
use corianderyoke_wire::peer::enqueue_response::Outcome as EnqueueOutcome;
use indexmap::IndexMap;
use parking_lot::Mutex;
use tokio::sync::oneshot;
use tokio::sync::Notify;

use self::status::configure;
use crate::router::Router;
use crate::util::clock;

pub use self::demand::run;
pub use self::requests::cancel;
pub use self::requests::enqueue;
pub use self::requests::reconcile_slots;
pub use self::requests::release;
pub use self::status::refresh;
pub use self::status::set_replicas;

/// The dispatcher, if this router is the dispatch home, and what placement last reported.
#[derive(Default)]
pub struct Dispatch {
    state: Mutex<Option<State>>,
    /// Newest replica list from placement, kept by every router.
    replicas: Mutex<Replicas>,
    /// Notified when a request is queued.
    queued: Notify,
    /// Placement's estimates of the time until a model without a replica is ready, by model.
    wake_estimates: Mutex<IndexMap<String, Duration>>,
}

struct State {
    dispatcher: Dispatcher,
    waiters: IndexMap<RequestKey, oneshot::Sender<EnqueueOutcome>>,
}

/// Newest replica list from placement.
#[derive(Clone, Default)]
struct Replicas {
    epoch: u64,
    version: u64,
    list: Vec<peer::Replica>,
}

impl Dispatch {
    /// Whether a dispatcher is running at this router.
    pub fn is_running(&self) -> bool {
        self.state.lock().is_some()
    }

    /// Starts a dispatcher at `epoch` from the takeover responses of all members.
    pub fn start(
        &self,
        router: &Router,
        epoch: u64,
        responses: &[(MemberId, peer::TakeoverResponse)],
    ) {
        for response in responses {
            if let Some(list) = &response.1.replicas {
                // While no controller acts, a router that joined gets the list from the others.
                self.update_replicas(list.clone());
            }
        }
        let now = clock::now();
        let names = &router.homes.names;
        let members: Vec<MemberKey> = responses.iter().map(|(id, _)| names.member(id)).collect();
        let mut dispatcher = Dispatcher::new(DispatchSettings::default(), epoch, &members, now);
        configure(router, &mut dispatcher, &self.replicas.lock().list);
        for (id, response) in responses {
            let bounds = response.bounds.iter().map(|bound| received_bound(router, bound));
            let bounds: Vec<ReceivedBound> = bounds.collect();
            dispatcher.adopt_bounds(names.member(id), &bounds, now);
        }
        for (id, response) in responses {
            let member = names.member(id);
            let held = response.slots.iter().map(|slot| held_slot(router, member, slot));
            let held: Vec<HeldSlot> = held.collect();
            dispatcher.adopt_slots(member, &held, now);
        }
        *self.state.lock() = Some(State { dispatcher, waiters: IndexMap::new() });
    }

    /// Stops the dispatcher. Queued requests are redirected to the next home.
    pub fn stop(&self) {
        // Dropping the senders answers each pending enqueue with "not home".
        self.state.lock().take();
    }

    /// Removes the queued requests of a member whose lease has expired. Its slots stay in use until
    /// their deadlines.
    pub fn remove_member(&self, router: &Router, member: MemberKey) {
        self.with(router, |dispatcher| dispatcher.expire_router(member, clock::now()));
    }

    /// The newest replica list from placement, as a message.
    pub fn newest_replicas(&self) -> peer::ReplicasRequest {
        let Replicas { epoch, version, list } = self.replicas.lock().clone();
        peer::ReplicasRequest { epoch, version, replicas: list }
    }

    /// Stores a replica list and returns true, unless a newer list is stored already.
    fn update_replicas(&self, update: peer::ReplicasRequest) -> bool {
        let mut current = self.replicas.lock();
        if (update.epoch, update.version) < (current.epoch, current.version) {
            return false;
        }
        let peer::ReplicasRequest { epoch, version, replicas: list } = update;
        *current = Replicas { epoch, version, list };
        true
    }

    /// Replicas of the newest list from placement.
    pub fn replica_list(&self) -> Vec<peer::Replica> {
        self.replicas.lock().list.clone()
    }

    /// Whether an adapter is known to be loaded on an upstream.
    pub fn has_adapter(&self, upstream: &str, model: &str, adapter: &str) -> bool {
        let replicas = self.replicas.lock();
        let mut list = replicas.list.iter();
        let matches = |r: &&peer::Replica| r.upstream == upstream && r.model == model;
        list.find(matches).is_some_and(|r| r.adapters.iter().any(|name| name == adapter))
    }

    /// Records that an adapter was just loaded, before placement's next list includes it.
    pub fn record_adapter(&self, upstream: &str, model: &str, adapter: &str) {
        let mut replicas = self.replicas.lock();
        let mut list = replicas.list.iter_mut();
        if let Some(found) = list.find(|r| r.upstream == upstream && r.model == model) {
            if !found.adapters.iter().any(|name| name == adapter) {
                found.adapters.push(adapter.to_owned());
            }
        }
    }

    /// Replicas of `model` as `(upstream, slots in use, bound)`; `None` if no dispatcher runs here.
    pub fn replica_load(&self, router: &Router, model: &str) -> Option<Vec<(String, u32, u32)>> {
        let state = self.state.lock();
        let dispatcher = &state.as_ref()?.dispatcher;
        let replicas = self.replicas.lock();
        let placed = replicas.list.iter().filter(|replica| replica.model == model);
        let rows = placed.map(|replica| {
            let key = router.homes.names.upstreams.key(&replica.upstream);
            (replica.upstream.clone(), dispatcher.in_use(key), dispatcher.bound(key))
        });
        Some(rows.collect())
    }

    fn with(&self, router: &Router, command: impl FnOnce(&mut Dispatcher) -> Vec<Effect>) {
        let mut state = self.state.lock();
        if let Some(state) = state.as_mut() {
            let effects = command(&mut state.dispatcher);
            state.apply_effects(router, effects);
        }
    }
}

impl State {
    fn apply_effects(&mut self, router: &Router, effects: Vec<Effect>) {
        for effect in effects {
            let (request, outcome) = match effect {
                Effect::Start(start) => (start.request, start_outcome(router, start)),
                Effect::Refuse(refusal) => {
                    (refusal.request, refusal_outcome(refusal.retry_after, refusal.reason))
                }
            };
            // If the receiver is gone, a repeated enqueue returns the same slot. The slot is freed
            // when the router doesn't report it as held.
            if let Some(sender) = self.waiters.swap_remove(&request) {
                let _ = sender.send(outcome);
            }
        }
    }
}

fn start_outcome(router: &Router, start: Start) -> EnqueueOutcome {
    let slot = peer::SlotKey { home: start.slot.epoch, number: start.slot.number };
    let upstream = router.homes.names.upstreams.name(start.upstream);
    EnqueueOutcome::Start(peer::Start { slot: Some(slot), upstream, bound: start.bound })
}

fn refusal_outcome(wait: Duration, reason: RefusalReason) -> EnqueueOutcome {
    let reason = match reason {
        RefusalReason::QueueTooLong => "busy",
        RefusalReason::Waking => "waking",
        RefusalReason::Expired => "late",
        RefusalReason::QueueFull => "full",
        RefusalReason::RetryBudget => "retry_budget",
    };
    EnqueueOutcome::Late(peer::Late { wait_ms: wait.as_millis() as u64, reason: reason.to_owned() })
}

fn slot_key(slot: peer::SlotKey) -> SlotKey {
    SlotKey { epoch: slot.home, number: slot.number }
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

fn received_bound(router: &Router, bound: &peer::ToldBound) -> ReceivedBound {
    ReceivedBound {
        upstream: router.homes.names.upstreams.key(&bound.upstream),
        slot: slot_key(bound.slot.unwrap_or_default()),
        bound: bound.bound,
        age: Duration::from_millis(bound.age_ms),
    }
}
