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
use corianderyoke_wire::peer::enqueue_response::Outcome as Enqueued;
use corianderyoke_wire::peer::request::Body as Call;
use corianderyoke_wire::peer::response::Body as Answer;
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
pub const DISPATCH: &str = "cell";
/// Delay before an unanswered or misdirected enqueue is sent again.
const AGAIN_AFTER: Duration = Duration::from_millis(50);
/// Longest wait for the response to a release or a cancellation.
const RELEASE_WITHIN: Duration = Duration::from_secs(2);
/// Extra wait after the deadline for the home's response to arrive.
const ANSWER_SLACK: Duration = Duration::from_millis(50);

/// A request for a slot of an upstream.
#[derive(Clone, Debug)]
pub struct Wish {
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
pub struct Held {
    slots: Mutex<IndexMap<u64, (peer::SlotKey, String, Wish)>>,
    /// Newest bound of each upstream, with the slot that it was received with.
    bounds: Mutex<IndexMap<String, Bound>>,
}

/// Concurrency bound of an upstream, as the dispatch home sent it with a slot.
#[derive(Clone, Copy)]
struct Bound {
    slot: peer::SlotKey,
    slots: u32,
    told: Tick,
}

impl Held {
    /// All held slots, for the inventory of a new dispatch home.
    pub fn inventory(&self) -> Vec<peer::HeldSlot> {
        let now = clock::now();
        let slots = self.slots.lock();
        let held = slots.iter().map(|(number, (slot, upstream, wish))| peer::HeldSlot {
            number: *number,
            slot: Some(*slot),
            upstream: upstream.clone(),
            model: wish.model.clone(),
            team: wish.team.clone(),
            cost: wish.cost,
            deadline_ms: wish.deadline.since(now).as_millis() as u64,
        });
        held.collect()
    }

    /// Bounds of all upstreams, for the inventory of a new dispatch home.
    pub fn bounds(&self) -> Vec<peer::ToldBound> {
        let now = clock::now();
        let bounds = self.bounds.lock();
        let told = bounds.iter().map(|(upstream, bound)| peer::ToldBound {
            upstream: upstream.clone(),
            slot: Some(bound.slot),
            bound: bound.slots,
            age_ms: now.since(bound.told).as_millis() as u64,
        });
        told.collect()
    }

    fn note_bound(&self, start: &peer::Start) {
        let slot = start.slot.unwrap_or_default();
        let bound = Bound { slot, slots: start.bound, told: clock::now() };
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
    began: Tick,
    first: Option<Tick>,
    last: Tick,
    tokens: u32,
    outcome: peer::Outcome,
    used: u64,
}

impl Slot {
    /// Records a token that was received at `now`.
    pub fn token(&mut self, now: Tick) {
        self.first.get_or_insert(now);
        self.last = now;
        self.tokens += 1;
    }

    /// Releases the slot after a complete answer (`done`) or a failure. `used` is the number of
    /// tokens that the request has used.
    pub fn finish(mut self, done: bool, used: u64) {
        self.outcome = if done { peer::Outcome::Done } else { peer::Outcome::Failed };
        self.used = used;
    }

    fn release(&self) -> peer::ReleaseRequest {
        let first = self.first.map_or(0, |first| first.since(self.began).as_micros() as u64);
        let gaps = u64::from(self.tokens.saturating_sub(1));
        let span = self.first.map_or(0, |first| self.last.since(first).as_micros() as u64);
        peer::ReleaseRequest {
            slot: Some(self.key),
            outcome: self.outcome.into(),
            first_us: first,
            gap_us: span.checked_div(gaps).unwrap_or(0),
            used: self.used,
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.router.held.slots.lock().swap_remove(&self.number);
        let release = Call::Release(self.release());
        let router = Arc::clone(&self.router);
        tokio::spawn(async move {
            // If the release is lost, the next periodic report of held slots frees the slot.
            router.call_home(Kind::Dispatch, DISPATCH, release, RELEASE_WITHIN).await;
        });
    }
}

/// Removes a waiting request from the home's queue when its future is dropped.
struct Waiting {
    router: Arc<Router>,
    number: Option<u64>,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        let Some(number) = self.number else {
            return;
        };
        let router = Arc::clone(&self.router);
        let cancel = Call::Cancel(peer::CancelRequest { number });
        tokio::spawn(async move {
            router.call_home(Kind::Dispatch, DISPATCH, cancel, RELEASE_WITHIN).await;
        });
    }
}

/// Waits for a slot until the request's deadline.
///
/// # Errors
///
/// A refusal with outcome "not run" and the retry delay that the home sent.
pub async fn obtain(router: &Arc<Router>, wish: Wish) -> Result<Slot> {
    let number = router.new_number();
    let mut waiting = Waiting { router: Arc::clone(router), number: Some(number) };
    loop {
        let left = wish.deadline.since(clock::now());
        if left.is_zero() {
            return Err(late(Duration::ZERO, "late"));
        }
        let call = Call::Enqueue(enqueue(number, &wish, left));
        let answer = router.call_home(Kind::Dispatch, DISPATCH, call, left + ANSWER_SLACK).await;
        let Some(Answer::Enqueue(peer::EnqueueResponse { outcome: Some(outcome) })) = answer else {
            sleep(AGAIN_AFTER).await;
            continue;
        };
        match outcome {
            Enqueued::Start(start) => {
                waiting.number = None;
                return slot(router, number, start, wish);
            }
            Enqueued::Late(told) => {
                waiting.number = None;
                return Err(late(Duration::from_millis(told.wait_ms), &told.reason));
            }
            Enqueued::NotHome(_) => sleep(AGAIN_AFTER).await,
        }
    }
}

fn enqueue(number: u64, wish: &Wish, left: Duration) -> peer::EnqueueRequest {
    peer::EnqueueRequest {
        number,
        team: wish.team.clone(),
        model: wish.model.clone(),
        adapter: wish.adapter.clone().unwrap_or_default(),
        cost: wish.cost,
        deadline_ms: left.as_millis() as u64,
        prefix: wish.prefix,
        avoid: wish.avoid.clone(),
        retry: !wish.avoid.is_empty(),
    }
}

fn slot(router: &Arc<Router>, number: u64, start: peer::Start, wish: Wish) -> Result<Slot> {
    let key = start.slot.unwrap_or_default();
    let now = clock::now();
    router.held.note_bound(&start);
    router.held.slots.lock().insert(number, (key, start.upstream.clone(), wish));
    let slot = Slot {
        upstream: start.upstream,
        router: Arc::clone(router),
        number,
        key,
        began: now,
        first: None,
        last: now,
        tokens: 0,
        outcome: peer::Outcome::Cancelled,
        used: 0,
    };
    // If this member may no longer act, dropping the slot releases it.
    router.may_act().map(|()| slot)
}

fn late(wait: Duration, reason: &str) -> Refusal {
    let message = match reason {
        "waking" => "the model can't be ready before the deadline",
        "full" => "too many requests wait",
        "retry_budget" => "the upstream failed and too many requests are being retried",
        _ => "no upstream is free before the deadline",
    };
    Refusal::not_run(Code::Overloaded, message).with_retry(wait)
}
