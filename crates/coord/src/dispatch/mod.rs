//! Dispatch: which request starts when, on which upstream.
//!
//! One home a cell runs a [`Dispatcher`]. Routers enqueue metadata only; a request's body stays at
//! its router until the home grants it a slot of one upstream. Each model has a fair queue: teams
//! take turns by virtual time weighted by tokens, and within a team the earliest deadline goes
//! first. The upstream is chosen at the start, by prefix and adapter affinity against load. Slots
//! of an upstream are counted at the home alone, bounded by additive increase and multiplicative
//! decrease, so the bound holds over all routers together.
//!
//! The queues are per model; the home is one for all of them, since an engine serves several
//! models and its slots need a single count.

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

use self::estimate::Service;
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
    /// Slots of a fresh or cold upstream.
    pub start: u32,
    /// How long an upstream warms up after it was fresh or turned cold.
    pub warmup: Duration,
    /// Slots gained per good release of a full upstream, before its first sign of overload.
    pub growth: f64,
    /// Slots gained per round of good releases after it.
    pub increase: f64,
    /// A token gap or first token above this multiple of the upstream's best is a sign.
    pub tolerance: f64,
    /// Above this multiple the upstream counts as cold.
    pub cold: f64,
    /// An upstream that was unused this long counts as fresh.
    pub idle: Duration,
    /// A team that was seen this recently contests the slots of its models.
    pub active: Duration,
    /// Part of an upstream's slots that teams above their share leave free while it's contested.
    pub headroom: f64,
    /// Load, in thousandths of the bound, that affinity is worth.
    pub affinity: u32,
    /// Retries allowed per admitted request.
    pub retries: f64,
    /// Assumed span of a wake that placement hasn't estimated.
    pub wake: Duration,
    /// A slot that its router doesn't list this long after its start is free again.
    pub confirm: Duration,
    /// Most requests that may wait.
    pub waiting: usize,
}

impl Default for DispatchSettings {
    fn default() -> Self {
        DispatchSettings {
            start: 2,
            warmup: Duration::from_secs(15),
            growth: 0.5,
            increase: 1.0,
            tolerance: 2.0,
            cold: 6.0,
            idle: Duration::from_secs(60),
            active: Duration::from_secs(10),
            headroom: 0.125,
            affinity: 250,
            retries: 0.1,
            wake: Duration::from_secs(20),
            confirm: Duration::from_secs(2),
            waiting: 100_000,
        }
    }
}

/// A request at its router.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RequestKey {
    /// The router.
    pub router: MemberKey,
    /// The router's number for the request; never used twice.
    pub number: u64,
}

/// A slot of an upstream, granted by the home of one epoch.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct SlotKey {
    /// Epoch of the home that granted it.
    pub epoch: u64,
    /// The home's number for it; never used twice.
    pub number: u64,
}

/// What the home needs to know of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Request {
    /// The request.
    pub key: RequestKey,
    /// Its model.
    pub model: ModelKey,
    /// Its adapter.
    pub adapter: Option<AdapterKey>,
    /// Its team.
    pub team: TeamKey,
    /// Reserved tokens.
    pub cost: u64,
    /// Span until its answer has to be whole.
    pub deadline: Duration,
    /// Hash of its prompt's prefix.
    pub prefix: Option<u64>,
    /// Upstreams that failed it already.
    pub avoid: Vec<UpstreamKey>,
    /// Whether this is a retry, which takes from the retry budget.
    pub retry: bool,
}

/// A request that starts.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Start {
    /// The request.
    pub request: RequestKey,
    /// Its slot, to be released when the upstream is done with it.
    pub slot: SlotKey,
    /// Where it runs.
    pub upstream: UpstreamKey,
    /// Slots that the upstream may use now; its router keeps it for the next home.
    pub bound: u32,
}

/// The bound of an upstream as a router was last told with a start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReceivedBound {
    /// The upstream.
    pub upstream: UpstreamKey,
    /// The slot that started; the latest counts.
    pub slot: SlotKey,
    /// Slots that the upstream might use then.
    pub bound: u32,
    /// How long ago that was.
    pub age: Duration,
}

/// A request that didn't run and won't.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// The request.
    pub request: RequestKey,
    /// A later try may start in time after this span.
    pub retry_after: Duration,
    /// Why.
    pub reason: RefusalReason,
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalReason {
    /// The queue is too long for its deadline.
    QueueTooLong,
    /// Its model can't be ready before its deadline.
    Waking,
    /// It waited until its deadline couldn't be met any more.
    Expired,
    /// Too many requests wait.
    QueueFull,
    /// Retries are used up.
    RetryBudget,
}

/// Answer to a request that was enqueued.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// It starts now.
    Start(Start),
    /// It waits; an [`Effect`] follows.
    Queued,
    /// It won't run.
    Refuse(Refusal),
}

/// What the driver has to tell a router.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Effect {
    /// A waiting request starts.
    Start(Start),
    /// A waiting request won't run.
    Refuse(Refusal),
}

/// How a slot's request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The answer was whole.
    Done,
    /// The upstream failed, broke the answer off or went silent.
    Failed,
    /// The caller hung up, or the slot wasn't used.
    Cancelled,
}

/// A slot that is given back.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Release {
    /// The slot.
    pub slot: SlotKey,
    /// How it ended.
    pub outcome: Outcome,
    /// Span from the start to the first token.
    pub first_token: Option<Duration>,
    /// Mean span between tokens after it.
    pub token_gap: Option<Duration>,
    /// Tokens used of the cost.
    pub used_tokens: u64,
}

/// State of a model on an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReplicaState {
    /// Ready.
    Loaded,
    /// Ready after this span, as estimated.
    Loading(Duration),
    /// Going away: no new work.
    Unloading,
}

/// An upstream as the register, the platform's list and placement tell.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpstreamStatus {
    /// Its availability zone.
    pub zone: ZoneKey,
    /// Whether it goes away.
    pub leaving: bool,
    /// Changes when the upstream restarts, which makes it fresh.
    pub incarnation: u64,
    /// Most slots that it may ever get.
    pub max_slots: u32,
    /// Most slots while it warms up.
    pub warmup_slots: u32,
    /// Its models.
    pub models: IndexMap<ModelKey, ReplicaState>,
    /// Its adapters.
    pub adapters: IndexSet<AdapterKey>,
}

/// A slot as its router reports it to a new home.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeldSlot {
    /// The slot.
    pub slot: SlotKey,
    /// Its request.
    pub request: RequestKey,
    /// Its upstream.
    pub upstream: UpstreamKey,
    /// Its model.
    pub model: ModelKey,
    /// Its team.
    pub team: TeamKey,
    /// Its reserved tokens.
    pub cost: u64,
    /// Span until its request's deadline.
    pub deadline: Duration,
}

/// State of one model's queue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Demand {
    /// Requests that wait.
    pub waiting: usize,
    /// Slots that its requests use.
    pub in_use: u32,
    /// Bounds of the open upstreams on which it's loaded.
    pub bound: u32,
    /// Estimated wait of the next request.
    pub wait: Duration,
}

/// A request that waits.
#[derive(Clone, Debug)]
struct Waiting {
    request: Request,
    latest: Tick,
    deadline: Tick,
    number: u64,
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
    /// Whether the router lapsed: nobody will release it.
    orphan: bool,
}

/// What the dispatcher keeps of one model.
#[derive(Clone, Debug, Default)]
struct Model {
    queue: FairQueue,
    /// Upstreams with a free slot, by load in thousandths of their bound.
    free: BTreeSet<(u32, UpstreamKey)>,
    /// Last upstream of each prefix.
    prefixes: IndexMap<u64, UpstreamKey>,
    /// How long its requests take.
    service: Service,
    /// Σ bounds and slots in use of the open upstreams on which it's loaded.
    bound: u32,
    occupied: u32,
    /// Slots in use by this model.
    in_use: u32,
    /// Upstreams on which it's loading, with the moment it is ready.
    loading: IndexMap<UpstreamKey, Tick>,
    /// Span of a wake as placement estimates it.
    wake: Option<Duration>,
}

/// The dispatch home of a cell.
#[derive(Clone, Debug)]
pub struct Dispatcher {
    settings: DispatchSettings,
    home: u64,
    missing: IndexSet<MemberKey>,
    opened: Tick,
    teams: IndexMap<TeamKey, u32>,
    models: IndexMap<ModelKey, Model>,
    upstreams: IndexMap<UpstreamKey, Upstream>,
    drained: IndexSet<ZoneKey>,
    waiting: IndexMap<RequestKey, Waiting>,
    expiry: BTreeSet<(Tick, RequestKey)>,
    slots: IndexMap<SlotKey, Slot>,
    started: IndexMap<RequestKey, SlotKey>,
    orphans: BTreeSet<(Tick, SlotKey)>,
    wanting: IndexSet<ModelKey>,
    budget: RetryBudget,
    /// Effects of commands that answer otherwise; the next tick returns them.
    outbox: Vec<Effect>,
    next: u64,
}
