//! Acquires a slot of an upstream for a request, and releases it.
//!
//! Only the slot request is queued at the dispatch home; the body of the caller's request stays
//! here. If the home moves meanwhile, the slot request is enqueued at the new home under the same
//! number, so it is neither lost nor duplicated.

use std::sync::Arc;
use std::time::Duration;

use corianderyoke_coord::membership::Kind;
use corianderyoke_coord::time::Tick;
use corianderyoke_wire::peer;
use corianderyoke_wire::peer::enqueue_response::Outcome as EnqueueOutcome;
use corianderyoke_wire::peer::request::Body as PeerRequest;
use corianderyoke_wire::peer::response::Body as PeerResponse;
use indexmap::IndexMap;
use parking_lot::Mutex;
use tokio::time::sleep;

use crate::router::refusal::Code;
use crate::router::refusal::Refusal;
use crate::router::refusal::Result;
use crate::router::Router;
use crate::util::clock;

/// Resource name that is hashed to find the homes of dispatch and placement, of which a cell has
/// one each.
pub const CELL_RESOURCE: &str = "cell";
/// Delay before an unanswered or misdirected enqueue is sent again.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Longest wait for the response to a release or a cancellation.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(2);
/// Extra wait after the deadline for the home's response to arrive.
const ANSWER_SLACK: Duration = Duration::from_millis(50);

/// A request for a slot of an upstream.
#[derive(Clone, Debug)]
pub struct SlotRequest {
    /// Name of the team.
    pub team: String,
    /// Name of the base model.
    pub model: String,
    /// Name of the adapter; `None` for the base model itself.
    pub adapter: Option<String>,
    /// Tokens that the request may still use.
    pub cost: u64,
    /// Time by which the answer must be complete.
    pub deadline: Tick,
    /// Hash of the prompt's prefix, for cache affinity.
    pub prefix: u64,
    /// Upstreams at which an earlier attempt failed.
    pub avoid: Vec<String>,
}

/// Slots that this router holds, by request number.
#[derive(Default)]
pub struct HeldSlots {
    slots: Mutex<IndexMap<u64, (peer::SlotKey, String, SlotRequest)>>,
    /// Newest bound of each upstream, with the slot that it was received with.
    bounds: Mutex<IndexMap<String, Bound>>,
}

/// Concurrency bound of an upstream, as the dispatch home sent it with a slot.
#[derive(Clone, Copy)]
struct Bound {
    slot: peer::SlotKey,
    max_slots: u32,
    received_at: Tick,
}

impl HeldSlots {
    /// All held slots, for the inventory of a new dispatch home.
    pub fn inventory(&self) -> Vec<peer::HeldSlot> {
        let now = clock::now();
        let slots = self.slots.lock();
        let held = slots.iter().map(|(number, (slot, upstream, request))| peer::HeldSlot {
            number: *number,
            slot: Some(*slot),
            upstream: upstream.clone(),
            model: request.model.clone(),
            team: request.team.clone(),
            cost: request.cost,
            deadline_ms: request.deadline.since(now).as_millis() as u64,
        });
        held.collect()
    }

    /// Bounds of all upstreams, for the inventory of a new dispatch home.
    pub fn bounds(&self) -> Vec<peer::ToldBound> {
        let now = clock::now();
        let bounds = self.bounds.lock();
        let messages = bounds.iter().map(|(upstream, bound)| peer::ToldBound {
            upstream: upstream.clone(),
            slot: Some(bound.slot),
            bound: bound.max_slots,
            age_ms: now.since(bound.received_at).as_millis() as u64,
        });
        messages.collect()
    }

    fn record_bound(&self, start: &peer::Start) {
        let slot = start.slot.unwrap_or_default();
        let bound = Bound { slot, max_slots: start.bound, received_at: clock::now() };
        self.bounds.lock().insert(start.upstream.clone(), bound);
    }

    /// Keys of all held slots.
    pub fn keys(&self) -> Vec<peer::SlotKey> {
        self.slots.lock().values().map(|(slot, _, _)| *slot).collect()
    }
}

/// Permission to run one request at an upstream. Dropping it releases the slot.
pub struct Slot {
    /// Name of the upstream.
    pub upstream: String,
    router: Arc<Router>,
    number: u64,
    key: peer::SlotKey,
    acquired: Tick,
    first_token: Option<Tick>,
    last_token: Tick,
    tokens: u32,
    outcome: peer::Outcome,
    used: u64,
}

impl Slot {
    /// Records a token that was received at `now`.
    pub fn record_token(&mut self, now: Tick) {
        self.first_token.get_or_insert(now);
        self.last_token = now;
        self.tokens += 1;
    }

    /// Releases the slot after a complete answer (`done`) or a failure. `used` is the number of
    /// tokens that the request has used.
    pub fn finish(mut self, done: bool, used: u64) {
        self.outcome = if done { peer::Outcome::Done } else { peer::Outcome::Failed };
        self.used = used;
    }

    fn release_request(&self) -> peer::ReleaseRequest {
        let to_first_token =
            self.first_token.map_or(0, |first| first.since(self.acquired).as_micros() as u64);
        let gaps = u64::from(self.tokens.saturating_sub(1));
        let span =
            self.first_token.map_or(0, |first| self.last_token.since(first).as_micros() as u64);
        peer::ReleaseRequest {
            slot: Some(self.key),
            outcome: self.outcome.into(),
            first_us: to_first_token,
            gap_us: span.checked_div(gaps).unwrap_or(0),
            used: self.used,
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.router.held_slots.slots.lock().swap_remove(&self.number);
        let release = PeerRequest::Release(self.release_request());
        let router = Arc::clone(&self.router);
        tokio::spawn(async move {
            // If the release is lost, the next periodic report of held slots frees the slot.
            router.call_home(Kind::Dispatch, CELL_RESOURCE, release, RELEASE_TIMEOUT).await;
        });
    }
}

/// Removes a waiting request from the home's queue when its future is dropped.
struct CancelOnDrop {
    router: Arc<Router>,
    number: Option<u64>,
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        let Some(number) = self.number else {
            return;
        };
        let router = Arc::clone(&self.router);
        let cancel = PeerRequest::Cancel(peer::CancelRequest { number });
        tokio::spawn(async move {
            router.call_home(Kind::Dispatch, CELL_RESOURCE, cancel, RELEASE_TIMEOUT).await;
        });
    }
}

/// Waits for a slot until the request's deadline.
///
/// # Errors
///
/// A refusal with outcome "not run" and the retry delay that the home sent.
pub async fn acquire_slot(router: &Arc<Router>, request: SlotRequest) -> Result<Slot> {
    let number = router.new_number();
    let mut cancel_guard = CancelOnDrop { router: Arc::clone(router), number: Some(number) };
    loop {
        let remaining = request.deadline.since(clock::now());
        if remaining.is_zero() {
            return Err(overloaded(Duration::ZERO, "late"));
        }
        let message = PeerRequest::Enqueue(enqueue_request(number, &request, remaining));
        let response = router
            .call_home(Kind::Dispatch, CELL_RESOURCE, message, remaining + ANSWER_SLACK)
            .await;
        let Some(PeerResponse::Enqueue(peer::EnqueueResponse { outcome: Some(outcome) })) =
            response
        else {
            sleep(RETRY_INTERVAL).await;
            continue;
        };
        match outcome {
            EnqueueOutcome::Start(start) => {
                cancel_guard.number = None;
                return hold_slot(router, number, start, request);
            }
            EnqueueOutcome::Late(refusal) => {
                cancel_guard.number = None;
                return Err(overloaded(Duration::from_millis(refusal.wait_ms), &refusal.reason));
            }
            EnqueueOutcome::NotHome(_) => sleep(RETRY_INTERVAL).await,
        }
    }
}

fn enqueue_request(
    number: u64,
    request: &SlotRequest,
    remaining: Duration,
) -> peer::EnqueueRequest {
    peer::EnqueueRequest {
        number,
        team: request.team.clone(),
        model: request.model.clone(),
        adapter: request.adapter.clone().unwrap_or_default(),
        cost: request.cost,
        deadline_ms: remaining.as_millis() as u64,
        prefix: request.prefix,
        avoid: request.avoid.clone(),
        retry: !request.avoid.is_empty(),
    }
}

fn hold_slot(
    router: &Arc<Router>,
    number: u64,
    start: peer::Start,
    request: SlotRequest,
) -> Result<Slot> {
    let key = start.slot.unwrap_or_default();
    let now = clock::now();
    router.held_slots.record_bound(&start);
    router.held_slots.slots.lock().insert(number, (key, start.upstream.clone(), request));
    let slot = Slot {
        upstream: start.upstream,
        router: Arc::clone(router),
        number,
        key,
        acquired: now,
        first_token: None,
        last_token: now,
        tokens: 0,
        outcome: peer::Outcome::Cancelled,
        used: 0,
    };
    // If this member may no longer act, dropping the slot releases it.
    router.may_act().map(|()| slot)
}

fn overloaded(wait: Duration, reason: &str) -> Refusal {
    let message = match reason {
        "waking" => "the model can't be ready before the deadline",
        "full" => "too many requests wait",
        "retry_budget" => "the upstream failed and too many requests are being retried",
        _ => "no upstream is free before the deadline",
    };
    Refusal::not_run(Code::Overloaded, message).with_retry(wait)
}
