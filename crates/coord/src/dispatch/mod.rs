//! Request scheduling: decides when each request starts and on which upstream.
//!
//! One router of a cell, its dispatch home, runs the [`Dispatcher`]. Routers enqueue only metadata;
//! a request's body stays at its router until the home grants it a slot of an upstream. Each model
//! has a weighted fair queue: teams take turns by virtual time in tokens, and within a team the
//! request that has to start earliest goes first. The upstream is chosen when the request starts,
//! by prefix and adapter affinity and by load. The home alone counts the slots of an upstream and
//! adapts their bound by additive increase and multiplicative decrease, so the bound holds over all
//! routers.
//!
//! Queues are per model. All models share one home, because an engine serves several models and its
//! slots need a single count.

mod bound;
mod budget;
mod changes;
mod commands;
mod estimate;
mod inventory;
mod queries;
mod queue;
mod two_choices;
mod upstreams;

pub use budget::RetryBudget;
pub use two_choices::TwoChoices;
pub use two_choices::TwoChoicesSettings;

use std::collections::BTreeSet;
use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;

use self::estimate::ServiceTime;
use self::queue::FairQueue;
use self::upstreams::Upstream;
use crate::keys::AdapterKey;
use crate::keys::MemberKey;
use crate::keys::ModelKey;
use crate::keys::TeamKey;
use crate::keys::UpstreamKey;
use crate::keys::ZoneKey;
use crate::time::Tick;

/// Settings of a dispatcher.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DispatchSettings {
    /// Slots of a new, restarted or cold upstream.
    pub initial_slots: u32,
    /// Duration of the warmup of a new, restarted or cold upstream.
    pub warmup: Duration,
    /// Slots added per good release at the bound during slow start, before the first sign of
    /// overload.
    pub startup_step: f64,
    /// Slots added per round of good releases at the bound after slow start.
    pub additive_step: f64,
    /// A mean token gap above this multiple of its baseline counts as slow, and so does a mean time
    /// to first token above the square of this multiple.
    pub slow_ratio: f64,
    /// A token gap above this multiple of its baseline indicates a cold upstream, and so does a
    /// time to first token above this times `slow_ratio`.
    pub cold_ratio: f64,
    /// An upstream that was unused for this long is treated as new.
    pub idle_timeout: Duration,
    /// A team that enqueued within this window competes for the slots of its models. Load reports
    /// count for as long after the home opened.
    pub activity_window: Duration,
    /// Fraction of an upstream's slots that teams above their share leave free for other active
    /// teams.
    pub headroom: f64,
    /// Load above the least loaded upstream's that affinity may cost, in thousandths of the bound.
    pub affinity_slack: u32,
    /// Retries allowed per admitted request.
    pub retry_ratio: f64,
    /// Assumed time to load a model without a replica, where placement has no estimate.
    pub default_wake: Duration,
    /// Age from which a slot is freed when its router doesn't list it as held.
    pub reconcile_grace: Duration,
    /// Maximum number of waiting requests, over all models.
    pub max_waiting: usize,
}

impl Default for DispatchSettings {
    fn default() -> Self {
        DispatchSettings {
            initial_slots: 2,
            warmup: Duration::from_secs(15),
            startup_step: 0.5,
            additive_step: 1.0,
            slow_ratio: 2.0,
            cold_ratio: 6.0,
            idle_timeout: Duration::from_secs(60),
            activity_window: Duration::from_secs(10),
            headroom: 0.125,
            affinity_slack: 250,
            retry_ratio: 0.1,
            default_wake: Duration::from_secs(20),
            reconcile_grace: Duration::from_secs(2),
            max_waiting: 100_000,
        }
    }
}

/// Identifies a request across the cell.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RequestKey {
    /// The router that received the request.
    pub router: MemberKey,
    /// The router's number for the request; never reused.
    pub number: u64,
}

/// Identifies a slot of an upstream that the dispatch home granted.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct SlotKey {
    /// Epoch of the home that granted it.
    pub epoch: u64,
    /// The home's number for the slot; never reused within an epoch.
    pub number: u64,
}

/// Metadata of a request that a router enqueues.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Request {
    /// Identity of the request; a repeated enqueue uses the same key.
    pub key: RequestKey,
    /// The base model to run on.
    pub model: ModelKey,
    /// The adapter to apply, if any.
    pub adapter: Option<AdapterKey>,
    /// The team that is charged.
    pub team: TeamKey,
    /// Reserved tokens.
    pub cost: u64,
    /// Time left until the response must be complete.
    pub deadline: Duration,
    /// Hash of the prompt's prefix, if known.
    pub prefix: Option<u64>,
    /// Upstreams on which earlier attempts failed.
    pub avoid: Vec<UpstreamKey>,
    /// Whether this is a retry, which consumes the retry budget.
    pub retry: bool,
}

/// The start of a request on an upstream.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Start {
    /// The request.
    pub request: RequestKey,
    /// The granted slot, which the router releases when the request ends.
    pub slot: SlotKey,
    /// The upstream to send the request to.
    pub upstream: UpstreamKey,
    /// Current bound of the upstream; the router reports it to the next home.
    pub bound: u32,
}

/// The bound of an upstream that a router last received with a [`Start`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReceivedBound {
    /// The upstream.
    pub upstream: UpstreamKey,
    /// The slot of that start; the bound of the latest slot applies.
    pub slot: SlotKey,
    /// The upstream's bound at that time, in slots.
    pub bound: u32,
    /// Time since the router received it.
    pub age: Duration,
}

/// Refusal of a request that didn't start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// The request.
    pub request: RequestKey,
    /// Time after which another attempt may start in time.
    pub retry_after: Duration,
    /// Cause of the refusal.
    pub reason: RefusalReason,
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalReason {
    /// The estimated queue wait and service time exceed the time left until the deadline.
    QueueTooLong,
    /// The model can't be loaded in time for the request's deadline.
    Waking,
    /// The request waited until its deadline could no longer be met.
    Expired,
    /// [`DispatchSettings::max_waiting`] requests already wait.
    QueueFull,
    /// The retry budget is exhausted.
    RetryBudget,
}

/// Result of enqueuing a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The request starts now.
    Start(Start),
    /// The request waits; a later [`Effect`] resolves it.
    Queued,
    /// The request won't run.
    Refuse(Refusal),
}

/// A message that the driver sends to a router.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Effect {
    /// A waiting request starts.
    Start(Start),
    /// A waiting request won't run.
    Refuse(Refusal),
}

/// How the request in a slot ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The response was complete.
    Done,
    /// The upstream failed, cut the response off or stopped responding.
    Failed,
    /// The caller disconnected, or the slot wasn't used.
    Cancelled,
}

/// Release of a slot, with measurements of its request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Release {
    /// The slot to free; an unknown one is ignored.
    pub slot: SlotKey,
    /// How its request ended.
    pub outcome: Outcome,
    /// Time from the start to the first token; `None` when none arrived.
    pub first_token: Option<Duration>,
    /// Mean time between tokens after the first; `None` when not measured.
    pub token_gap: Option<Duration>,
    /// Tokens used out of the reserved ones.
    pub used_tokens: u64,
}

/// State of a model on an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReplicaState {
    /// Ready to serve requests.
    Loaded,
    /// Ready after this estimated time.
    Loading(Duration),
    /// Being removed; accepts no new requests.
    Unloading,
}

/// State of an upstream, assembled from the register, the platform's list and placement.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpstreamStatus {
    /// Availability zone it runs in.
    pub zone: ZoneKey,
    /// Whether it is shutting down; a leaving upstream gets no new requests.
    pub leaving: bool,
    /// Changes when the upstream restarts, which resets its bound.
    pub incarnation: u64,
    /// Maximum bound, in slots.
    pub max_slots: u32,
    /// Maximum bound during warmup, in slots.
    pub warmup_slots: u32,
    /// Models on the upstream, with their state.
    pub models: IndexMap<ModelKey, ReplicaState>,
    /// Adapters loaded on the upstream.
    pub adapters: IndexSet<AdapterKey>,
}

/// A slot in use, as its router reports it to a new home.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeldSlot {
    /// The slot, as granted by an earlier home.
    pub slot: SlotKey,
    /// The request that holds the slot.
    pub request: RequestKey,
    /// The upstream that the slot belongs to.
    pub upstream: UpstreamKey,
    /// The base model that the request uses.
    pub model: ModelKey,
    /// The team that is charged.
    pub team: TeamKey,
    /// Tokens reserved for the request.
    pub cost: u64,
    /// Time left until the request's deadline.
    pub deadline: Duration,
}

/// Load of one model: its queue and the slots in use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Demand {
    /// Number of waiting requests.
    pub waiting: usize,
    /// Slots in use by the model's requests.
    pub in_use: u32,
    /// Sum of the bounds of the open upstreams that have the model loaded.
    pub bound: u32,
    /// Estimated wait of the next request.
    pub wait: Duration,
}

/// A waiting request.
#[derive(Clone, Debug)]
struct QueuedRequest {
    request: Request,
    /// Time after which the request can't finish by its deadline.
    latest_start: Tick,
    deadline: Tick,
    /// Order of arrival, which breaks ties of `latest_start`.
    sequence: u64,
}

/// A slot in use.
#[derive(Clone, Copy, Debug)]
struct Slot {
    request: RequestKey,
    upstream: UpstreamKey,
    model: ModelKey,
    team: TeamKey,
    cost: u64,
    started: Tick,
    deadline: Tick,
    /// Whether the router's membership expired, so it won't release the slot.
    orphaned: bool,
}

/// The dispatcher's state for one model.
#[derive(Clone, Debug, Default)]
struct ModelState {
    queue: FairQueue,
    /// Upstreams with a free slot, ordered by load in thousandths of their bound.
    free_upstreams: BTreeSet<(u32, UpstreamKey)>,
    /// The upstream on which a request with each prefix started last.
    upstream_by_prefix: IndexMap<u64, UpstreamKey>,
    /// Estimated duration of the model's requests.
    service_time: ServiceTime,
    /// Sum of the bounds of the open upstreams that have the model loaded.
    bound: u32,
    /// Sum of the slots in use on these upstreams, by any model.
    occupied: u32,
    /// Slots in use by this model's requests.
    in_use: u32,
    /// Upstreams that are loading the model, with the estimated time at which it is ready.
    loading: IndexMap<UpstreamKey, Tick>,
    /// Placement's estimate of the time to load the model where it has no replica.
    wake_estimate: Option<Duration>,
}

/// State machine of a cell's dispatch home.
#[derive(Clone, Debug)]
pub struct Dispatcher {
    settings: DispatchSettings,
    /// Epoch in which this home started.
    epoch: u64,
    /// Members that haven't reported their slots yet; nothing starts while there are any.
    unreported: IndexSet<MemberKey>,
    /// When all members had reported; the creation time until then.
    opened_at: Tick,
    team_weights: IndexMap<TeamKey, u32>,
    models: IndexMap<ModelKey, ModelState>,
    upstreams: IndexMap<UpstreamKey, Upstream>,
    drained_zones: IndexSet<ZoneKey>,
    waiting: IndexMap<RequestKey, QueuedRequest>,
    /// Waiting requests by latest start.
    start_deadlines: BTreeSet<(Tick, RequestKey)>,
    slots: IndexMap<SlotKey, Slot>,
    slot_by_request: IndexMap<RequestKey, SlotKey>,
    /// Orphaned slots by deadline, at which they are freed.
    orphan_deadlines: BTreeSet<(Tick, SlotKey)>,
    /// Models with waiting requests that may lack a replica.
    wake_candidates: IndexSet<ModelKey>,
    retry_budget: RetryBudget,
    /// Effects of commands that return something else; the next tick returns them.
    pending_effects: Vec<Effect>,
    /// Number given out last, to a slot or a waiting request.
    last_number: u64,
}
