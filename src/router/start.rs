//! Obtains a slot of an upstream for a request, and gives it back.
//!
//! The request waits at the dispatch home; its body stays here. When the home moves while it
//! waits, it is enqueued again at the next one under the same number, so nothing is lost or
//! doubled by that.

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

/// Name under which the dispatch home is hashed.
pub const DISPATCH: &str = "cell";
/// Span after which an unanswered or misdirected enqueue is sent again.
const AGAIN_AFTER: Duration = Duration::from_millis(50);
/// Longest wait for the answer to a release.
const RELEASE_WITHIN: Duration = Duration::from_secs(2);
/// Slack beyond the deadline for the home's answer to arrive.
const ANSWER_SLACK: Duration = Duration::from_millis(50);

/// What a request wants to start with.
#[derive(Clone, Debug)]
pub struct Wish {
    /// Team name.
    pub team: String,
    /// Base model.
    pub model: String,
    /// Adapter.
    pub adapter: Option<String>,
    /// Tokens reserved.
    pub cost: u64,
    /// When its answer has to be whole.
    pub deadline: Tick,
    /// Hash of the prompt's prefix.
    pub prefix: u64,
    /// Upstreams that failed it.
    pub avoid: Vec<String>,
}

/// Slots held by this router, by the number of their request.
#[derive(Default)]
pub struct Held {
    slots: Mutex<IndexMap<u64, (peer::SlotKey, String, Wish)>>,
    /// Bounds of upstreams as last told, with the slot that was told with them.
    bounds: Mutex<IndexMap<String, Bound>>,
}

/// Bound of an upstream as told with a start.
#[derive(Clone, Copy)]
struct Bound {
    slot: peer::SlotKey,
    slots: u32,
    told: Tick,
}

impl Held {
    /// All slots held, as a new dispatch home takes inventory of them.
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

    /// Bounds of upstreams as a new dispatch home takes them over.
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

    /// Keys of all slots held.
    pub fn keys(&self) -> Vec<peer::SlotKey> {
        self.slots.lock().values().map(|(slot, _, _)| *slot).collect()
    }
}

/// The right to have one request in work at one upstream; given back when it is dropped.
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
    /// Notes that a token came at `now`.
    pub fn token(&mut self, now: Tick) {
        self.first.get_or_insert(now);
        self.last = now;
        self.tokens += 1;
    }

    /// Gives the slot back after a whole answer or a failure, with the tokens `used`.
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
            // A release that gets lost is made good by the regular report of held slots.
            router.call_home(Kind::Dispatch, DISPATCH, release, RELEASE_WITHIN).await;
        });
    }
}

/// Takes a waiting request out of the home's queue when its future is dropped.
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

/// Waits for a slot until the wish's deadline.
///
/// # Errors
///
/// A refusal with outcome "not run", with the wait that the home tells.
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
    // The slot is given back by its drop if this member may no longer act.
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
