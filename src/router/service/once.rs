//! At-most-once calls: carries out the ledger's effects, which write the claim's row, send the call
//! and answer the caller.
//!
//! A claimed call runs to its end even if its caller disconnects, so that its outcome is recorded.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use corianderyoke_coord::idempotency::Answer as Told;
use corianderyoke_coord::idempotency::CallId;
use corianderyoke_coord::idempotency::ClaimKey;
use corianderyoke_coord::idempotency::Effect;
use corianderyoke_coord::idempotency::Event as Reported;
use corianderyoke_coord::idempotency::Ledger;
use corianderyoke_coord::idempotency::NotRunReason;
use corianderyoke_coord::idempotency::Outcome as Kept;
use corianderyoke_coord::time::Tick;
use corianderyoke_platform::Condition;
use corianderyoke_platform::Write;
use corianderyoke_upstream::service::Call;
use corianderyoke_upstream::Outcome as Sent;
use indexmap::IndexMap;
use parking_lot::Mutex;
use rand::random;
use sha2::Digest;
use sha2::Sha256;
use tokio::sync::oneshot;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::router::attempt::Attempt;
use crate::router::http::Answer;
use crate::router::http::Parts;
use crate::router::open::Cut;
use crate::router::open::Ticket;
use crate::router::refusal::Code;
use crate::router::refusal::Outcome;
use crate::router::refusal::Refusal;
use crate::router::refusal::Result;
use crate::router::service::idempotency_key;
use crate::router::service::repeat::ended;
use crate::router::service::repeat::places;
use crate::router::service::repeat::unreachable;
use crate::router::service::repeat::Place;
use crate::router::service::rows::access;
use crate::router::service::rows::at;
use crate::router::service::rows::decode;
use crate::router::service::rows::encode;
use crate::router::service::rows::put;
use crate::router::service::rows::read;
use crate::router::service::rows::row_key;
use crate::router::service::rows::write;
use crate::router::service::rows::CLAIMS;
use crate::router::service::OPEN_RETRY;
use crate::router::Caller;
use crate::router::Router;
use crate::util::clock;
use crate::util::events;
use crate::util::events::Event;

/// Header of an answer that was recorded by an earlier call with the same key.
const REPLAYED_HEADER: &str = "idempotency-replayed";

/// Interval between ticks of the ledger, which retries calls that wait for the store.
const TICK: Duration = Duration::from_millis(50);

/// Calls of this router that run at most once per idempotency key.
pub struct Calls {
    ledger: Mutex<Ledger>,
    open: Mutex<IndexMap<CallId, Arc<Running>>>,
    /// Attempt and digest of every call, kept only if a history is written.
    pub(super) traced: Mutex<IndexMap<CallId, (String, String)>>,
}

/// A call in progress.
struct Running {
    call: Call,
    service: String,
    team: String,
    deadline: Tick,
    ticket: Ticket,
    place: Mutex<Option<Place>>,
    tell: Mutex<Option<oneshot::Sender<Told>>>,
}

impl Calls {
    /// Creates the state without calls.
    pub fn new(ledger: Ledger) -> Self {
        Calls { ledger: Mutex::new(ledger), open: Mutex::default(), traced: Mutex::default() }
    }
}

/// Runs a call at most once for its idempotency key.
pub(super) async fn once(
    router: &Arc<Router>,
    name: &str,
    call: Call,
    ticket: Ticket,
    caller: &Caller,
    deadline: Tick,
    parts: &Parts,
) -> Result<Answer> {
    let key = idempotency_key(parts)?;
    let claim = ClaimKey { team: caller.team.clone(), key };
    let attempt = format!("{:032x}", random::<u128>());
    let digest = digest(name, parts);
    let (tell, told) = oneshot::channel();
    let running = Arc::new(Running {
        call,
        service: name.to_owned(),
        team: caller.team.clone(),
        deadline,
        ticket,
        place: Mutex::default(),
        tell: Mutex::new(Some(tell)),
    });
    let (key, effects) = {
        let mut ledger = router.ledger.ledger.lock();
        ledger.begin(claim, &digest, &attempt, clock::now())
    };
    router.ledger.open.lock().insert(key, running);
    if router.agent.history().is_on() {
        router.ledger.traced.lock().insert(key, (attempt, digest));
    }
    carry_out(router, effects);
    // The call continues after the caller's deadline, so that its outcome is recorded.
    match timeout(deadline.since(clock::now()), told).await {
        Ok(Ok(told)) => answer_of(name, told),
        Ok(Err(_)) => Err(unknown("the call was lost inside the router")),
        Err(_) => Err(unknown("the deadline is over; ask again under the same key")),
    }
}

fn unknown(message: &str) -> Refusal {
    Refusal::not_run(Code::OutcomeUnknown, message).with_outcome(Outcome::Unknown)
}

fn digest(name: &str, parts: &Parts) -> String {
    let mut hasher = Sha256::new();
    for part in [parts.method.as_str(), name, parts.path.as_str(), parts.query.as_str()] {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part.as_bytes());
    }
    hasher.update(&parts.body);
    hasher.finalize().iter().map(|byte| format!("{byte:02x}")).collect()
}

fn answer_of(name: &str, told: Told) -> Result<Answer> {
    match told {
        Told::Ran { outcome, replayed } => {
            let mut headers = outcome.headers;
            if replayed {
                headers.push((REPLAYED_HEADER.to_owned(), "true".to_owned()));
            }
            let body = Bytes::from(decode(&outcome.body));
            Ok(Answer::Whole { status: outcome.status, headers, body })
        }
        Told::Unknown => {
            let message = "the call was sent and no whole answer came; it may have run";
            Err(Refusal::not_run(Code::OutcomeUnknown, message).with_outcome(Outcome::Unknown))
        }
        Told::Open => {
            let message = "a call with this idempotency key is still open";
            let refusal = Refusal::not_run(Code::Conflict, message).with_retry(OPEN_RETRY);
            Err(refusal.with_outcome(Outcome::Unknown))
        }
        Told::Mismatch => {
            let message = "the idempotency key was used with another request";
            Err(Refusal::not_run(Code::KeyReused, message))
        }
        Told::NotRun(NotRunReason::Store) => {
            let message = "the platform can't record the call, so it wasn't sent";
            Err(Refusal::not_run(Code::Unavailable, message).with_retry(OPEN_RETRY))
        }
        Told::NotRun(NotRunReason::Withdrawn | NotRunReason::Unreachable) => Err(unreachable(name)),
    }
}

/// Ticks the ledger until the task is dropped.
pub async fn run(router: Arc<Router>) {
    loop {
        sleep(TICK).await;
        let effects = router.ledger.ledger.lock().tick(clock::now());
        carry_out(&router, effects);
    }
}

fn carry_out(router: &Arc<Router>, effects: Vec<Effect>) {
    for effect in effects {
        match effect {
            Effect::Answer { call, answer } => tell(router, call, answer),
            effect => {
                let router = Arc::clone(router);
                tokio::spawn(async move { step(&router, effect).await });
            }
        }
    }
}

fn tell(router: &Router, call: CallId, answer: Told) {
    let Some(running) = router.ledger.open.lock().swap_remove(&call) else {
        return;
    };
    if answer == Told::Unknown {
        let detail = format_args!("request={} service={}", running.call.id, running.service);
        events::log(Event::CallUnknown, detail);
    }
    let waiting = running.tell.lock().take();
    if let Some(waiting) = waiting {
        // The caller may have disconnected. Its outcome is recorded for a retry.
        let _ = waiting.send(answer);
    }
}

/// Carries out one effect and passes its result to the ledger.
async fn step(router: &Arc<Router>, effect: Effect) {
    let access = access(router, &effect);
    let (call, reported) = match effect {
        Effect::Insert { call, key, claim } => {
            let key = row_key(&key);
            let absent = Condition::Absent { table: CLAIMS.to_owned(), key: key.clone() };
            (call, write(router, absent, put(&key, &claim)).await)
        }
        Effect::Replace { call, key, claim, version } => {
            let key = row_key(&key);
            (call, write(router, at(&key, version), put(&key, &claim)).await)
        }
        Effect::Remove { call, key, version } => {
            let key = row_key(&key);
            let delete = Write::Delete { table: CLAIMS.to_owned(), key: key.clone() };
            (call, write(router, at(&key, version), delete).await)
        }
        Effect::ReadBack { call, key } => (call, read(router, &row_key(&key)).await),
        Effect::Prepare { call } => (call, prepare(router, call)),
        Effect::Send { call } => (call, send(router, call).await),
        Effect::Answer { call, answer } => return tell(router, call, answer),
    };
    if let Some(access) = access {
        access.end(router, &reported);
    }
    let effects = router.ledger.ledger.lock().handle(call, reported, clock::now());
    // The ledger rejects an event for a call that has ended. It needs no further action.
    carry_out(router, effects.unwrap_or_default());
}

/// Chooses an upstream for the claimed call, or withdraws the call before anything was sent.
fn prepare(router: &Router, call: CallId) -> Reported {
    let Some(running) = router.ledger.open.lock().get(&call).cloned() else {
        return Reported::Withdrawn;
    };
    let stopped = running.ticket.is_cut() != Cut::No || router.may_act().is_err();
    let place = places(router, &running.service).into_iter().next();
    *running.place.lock() = place.clone();
    match place {
        Some(_) if !stopped => Reported::Ready,
        _ => Reported::Withdrawn,
    }
}

/// Sends the call once. It is never retried here, since it may have run.
async fn send(router: &Router, call: CallId) -> Reported {
    let Some(running) = router.ledger.open.lock().get(&call).cloned() else {
        return Reported::NotSent;
    };
    let place = running.place.lock().clone();
    let Some(place) = place.filter(|_| router.may_act().is_ok()) else {
        return Reported::NotSent;
    };
    let request = &running.call.id;
    let id = format!("{request}.1");
    let attempt = Attempt::begin(router, request, &id, &running.team, &place.upstream);
    let timeout = running.deadline.since(clock::now());
    let sent = Call { id, timeout, ..running.call.clone() };
    let result = router.upstreams.call_once(place.address, sent).await;
    attempt.end(ended(&result));
    match result {
        Ok(answer) => {
            let headers = answer.headers.into_iter().collect();
            let body = encode(&answer.body);
            Reported::Answered(Kept { status: answer.status, headers, body })
        }
        Err(e) if e.outcome == Sent::NotRun => Reported::NotSent,
        Err(_) => Reported::Lost,
    }
}
