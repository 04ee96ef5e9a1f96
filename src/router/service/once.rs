//! At-most-once calls: carries out the ledger's effects, which write the claim's row, send the call
//! and answer the caller.
//!
//! A claimed call runs to its end even if its caller disconnects, so that its outcome is recorded.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use corianderyoke_coord::idempotency::Answer as LedgerAnswer;
use corianderyoke_coord::idempotency::CallId;
use corianderyoke_coord::idempotency::ClaimKey;
use corianderyoke_coord::idempotency::Effect;
use corianderyoke_coord::idempotency::Event as LedgerEvent;
use corianderyoke_coord::idempotency::Ledger;
use corianderyoke_coord::idempotency::NotRunReason;
use corianderyoke_coord::idempotency::Outcome as RecordedOutcome;
use corianderyoke_coord::time::Tick;
use corianderyoke_platform::Condition;
use corianderyoke_platform::Write;
use corianderyoke_upstream::service::Call;
use corianderyoke_upstream::Outcome as UpstreamOutcome;
use indexmap::IndexMap;
use parking_lot::Mutex;
use rand::random;
use sha2::Digest;
use sha2::Sha256;
use tokio::sync::oneshot;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::router::attempt::AttemptRecord;
use crate::router::http::Answer;
use crate::router::http::Parts;
use crate::router::open::AbortReason;
use crate::router::open::Ticket;
use crate::router::refusal::Code;
use crate::router::refusal::Outcome;
use crate::router::refusal::Refusal;
use crate::router::refusal::Result;
use crate::router::service::idempotency_key;
use crate::router::service::repeat::attempt_outcome;
use crate::router::service::repeat::candidates;
use crate::router::service::repeat::unreachable;
use crate::router::service::repeat::Candidate;
use crate::router::service::rows::at_version;
use crate::router::service::rows::decode_body;
use crate::router::service::rows::encode_body;
use crate::router::service::rows::put_claim;
use crate::router::service::rows::read_claim;
use crate::router::service::rows::row_key;
use crate::router::service::rows::start_operation;
use crate::router::service::rows::write_claim;
use crate::router::service::rows::CLAIMS;
use crate::router::service::RETRY_DELAY;
use crate::router::Caller;
use crate::router::Router;
use crate::util::clock;
use crate::util::events;
use crate::util::events::Event;

/// Header of an answer that was recorded by an earlier call with the same key.
const REPLAYED_HEADER: &str = "idempotency-replayed";

/// Interval between ticks of the ledger, which retries calls that wait for the store.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Calls of this router that run at most once per idempotency key.
pub struct KeyedCalls {
    ledger: Mutex<Ledger>,
    /// Calls whose caller hasn't been answered.
    running: Mutex<IndexMap<CallId, Arc<RunningCall>>>,
    /// Attempt and digest of every call, kept only if a history is written.
    pub(super) traced: Mutex<IndexMap<CallId, (String, String)>>,
}

/// A call whose caller hasn't been answered.
struct RunningCall {
    call: Call,
    service: String,
    team: String,
    deadline: Tick,
    ticket: Ticket,
    candidate: Mutex<Option<Candidate>>,
    sender: Mutex<Option<oneshot::Sender<LedgerAnswer>>>,
}

impl KeyedCalls {
    /// Creates the state without calls.
    pub fn new(ledger: Ledger) -> Self {
        KeyedCalls {
            ledger: Mutex::new(ledger),
            running: Mutex::default(),
            traced: Mutex::default(),
        }
    }
}

/// Runs a call at most once for its idempotency key.
pub(super) async fn call_once(
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
    let digest = request_digest(name, parts);
    let (sender, receiver) = oneshot::channel();
    let running = Arc::new(RunningCall {
        call,
        service: name.to_owned(),
        team: caller.team.clone(),
        deadline,
        ticket,
        candidate: Mutex::default(),
        sender: Mutex::new(Some(sender)),
    });
    let (key, effects) = {
        let mut ledger = router.keyed_calls.ledger.lock();
        ledger.begin(claim, &digest, &attempt, clock::now())
    };
    router.keyed_calls.running.lock().insert(key, running);
    if router.agent.history().is_on() {
        router.keyed_calls.traced.lock().insert(key, (attempt, digest));
    }
    run_effects(router, effects);
    // The call continues after the caller's deadline, so that its outcome is recorded.
    match timeout(deadline.since(clock::now()), receiver).await {
        Ok(Ok(answer)) => to_answer(name, answer),
        Ok(Err(_)) => Err(outcome_unknown("the call was lost inside the router")),
        Err(_) => Err(outcome_unknown("the deadline is over; ask again under the same key")),
    }
}

fn outcome_unknown(message: &str) -> Refusal {
    Refusal::not_run(Code::OutcomeUnknown, message).with_outcome(Outcome::Unknown)
}

fn request_digest(name: &str, parts: &Parts) -> String {
    let mut hasher = Sha256::new();
    for part in [parts.method.as_str(), name, parts.path.as_str(), parts.query.as_str()] {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part.as_bytes());
    }
    hasher.update(&parts.body);
    hasher.finalize().iter().map(|byte| format!("{byte:02x}")).collect()
}

fn to_answer(name: &str, answer: LedgerAnswer) -> Result<Answer> {
    match answer {
        LedgerAnswer::Ran { outcome, replayed } => {
            let mut headers = outcome.headers;
            if replayed {
                headers.push((REPLAYED_HEADER.to_owned(), "true".to_owned()));
            }
            let body = Bytes::from(decode_body(&outcome.body));
            Ok(Answer::Complete { status: outcome.status, headers, body })
        }
        LedgerAnswer::Unknown => {
            let message = "the call was sent and no whole answer came; it may have run";
            Err(Refusal::not_run(Code::OutcomeUnknown, message).with_outcome(Outcome::Unknown))
        }
        LedgerAnswer::Open => {
            let message = "a call with this idempotency key is still open";
            let refusal = Refusal::not_run(Code::Conflict, message).with_retry(RETRY_DELAY);
            Err(refusal.with_outcome(Outcome::Unknown))
        }
        LedgerAnswer::Mismatch => {
            let message = "the idempotency key was used with another request";
            Err(Refusal::not_run(Code::KeyReused, message))
        }
        LedgerAnswer::NotRun(NotRunReason::Store) => {
            let message = "the platform can't record the call, so it wasn't sent";
            Err(Refusal::not_run(Code::Unavailable, message).with_retry(RETRY_DELAY))
        }
        LedgerAnswer::NotRun(NotRunReason::Withdrawn | NotRunReason::Unreachable) => {
            Err(unreachable(name))
        }
    }
}

/// Ticks the ledger until the task is dropped.
pub async fn run(router: Arc<Router>) {
    loop {
        sleep(TICK_INTERVAL).await;
        let effects = router.keyed_calls.ledger.lock().tick(clock::now());
        run_effects(&router, effects);
    }
}

fn run_effects(router: &Arc<Router>, effects: Vec<Effect>) {
    for effect in effects {
        match effect {
            Effect::Answer { call, answer } => send_answer(router, call, answer),
            effect => {
                let router = Arc::clone(router);
                tokio::spawn(async move { run_effect(&router, effect).await });
            }
        }
    }
}

fn send_answer(router: &Router, call: CallId, answer: LedgerAnswer) {
    let Some(running) = router.keyed_calls.running.lock().swap_remove(&call) else {
        return;
    };
    if answer == LedgerAnswer::Unknown {
        let detail = format_args!("request={} service={}", running.call.id, running.service);
        events::log(Event::CallUnknown, detail);
    }
    let sender = running.sender.lock().take();
    if let Some(sender) = sender {
        // The caller may have disconnected. Its outcome is recorded for a retry.
        let _ = sender.send(answer);
    }
}

/// Carries out one effect and passes its result to the ledger.
async fn run_effect(router: &Arc<Router>, effect: Effect) {
    let operation = start_operation(router, &effect);
    let (call, event) = match effect {
        Effect::Insert { call, key, claim } => {
            let key = row_key(&key);
            let absent = Condition::Absent { table: CLAIMS.to_owned(), key: key.clone() };
            (call, write_claim(router, absent, put_claim(&key, &claim)).await)
        }
        Effect::Replace { call, key, claim, version } => {
            let key = row_key(&key);
            (call, write_claim(router, at_version(&key, version), put_claim(&key, &claim)).await)
        }
        Effect::Remove { call, key, version } => {
            let key = row_key(&key);
            let delete = Write::Delete { table: CLAIMS.to_owned(), key: key.clone() };
            (call, write_claim(router, at_version(&key, version), delete).await)
        }
        Effect::ReadBack { call, key } => (call, read_claim(router, &row_key(&key)).await),
        Effect::Prepare { call } => (call, prepare(router, call)),
        Effect::Send { call } => (call, send(router, call).await),
        Effect::Answer { call, answer } => return send_answer(router, call, answer),
    };
    if let Some(operation) = operation {
        operation.end(router, &event);
    }
    let effects = router.keyed_calls.ledger.lock().handle(call, event, clock::now());
    // The ledger rejects an event for a call that has ended. It needs no further action.
    run_effects(router, effects.unwrap_or_default());
}

/// Chooses an upstream for the claimed call, or withdraws the call before anything was sent.
fn prepare(router: &Router, call: CallId) -> LedgerEvent {
    let Some(running) = router.keyed_calls.running.lock().get(&call).cloned() else {
        return LedgerEvent::Withdrawn;
    };
    let aborted =
        running.ticket.abort_reason() != AbortReason::NotAborted || router.may_act().is_err();
    let candidate = candidates(router, &running.service).into_iter().next();
    *running.candidate.lock() = candidate.clone();
    match candidate {
        Some(_) if !aborted => LedgerEvent::Ready,
        _ => LedgerEvent::Withdrawn,
    }
}

/// Sends the call once. It is never retried here, since it may have run.
async fn send(router: &Router, call: CallId) -> LedgerEvent {
    let Some(running) = router.keyed_calls.running.lock().get(&call).cloned() else {
        return LedgerEvent::NotSent;
    };
    let candidate = running.candidate.lock().clone();
    let Some(candidate) = candidate.filter(|_| router.may_act().is_ok()) else {
        return LedgerEvent::NotSent;
    };
    let request = &running.call.id;
    let id = format!("{request}.1");
    let attempt = AttemptRecord::start(router, request, &id, &running.team, &candidate.upstream);
    let timeout = running.deadline.since(clock::now());
    let attempt_call = Call { id, timeout, ..running.call.clone() };
    let result = router.upstreams.call_once(candidate.address, attempt_call).await;
    attempt.end(attempt_outcome(&result));
    match result {
        Ok(answer) => {
            let headers = answer.headers.into_iter().collect();
            let body = encode_body(&answer.body);
            LedgerEvent::Answered(RecordedOutcome { status: answer.status, headers, body })
        }
        Err(e) if e.outcome == UpstreamOutcome::NotRun => LedgerEvent::NotSent,
        Err(_) => LedgerEvent::Lost,
    }
}
