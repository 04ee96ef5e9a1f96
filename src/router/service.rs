//! Calls to plain services. Calls that may not be repeated go through the ledger of claims.
//!
//! The ledger decides; this module carries its effects out: rows of table `claims`, the one send
//! on a connection of its own, and the answer to the caller. A call that was claimed goes on to
//! its end even when its caller goes away, so that its outcome is kept.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use corianderyoke_coord::idempotency::Answer as Told;
use corianderyoke_coord::idempotency::CallKey;
use corianderyoke_coord::idempotency::Claim;
use corianderyoke_coord::idempotency::ClaimKey;
use corianderyoke_coord::idempotency::Effect;
use corianderyoke_coord::idempotency::Event as Reported;
use corianderyoke_coord::idempotency::Found;
use corianderyoke_coord::idempotency::Ledger;
use corianderyoke_coord::idempotency::NotRun;
use corianderyoke_coord::idempotency::Outcome as Kept;
use corianderyoke_coord::register::Register;
use corianderyoke_coord::register::Resource;
use corianderyoke_coord::register::Service;
use corianderyoke_coord::time::Tick;
use corianderyoke_history::Event as Recorded;
use corianderyoke_platform::Commit;
use corianderyoke_platform::Condition;
use corianderyoke_platform::Error as StoreError;
use corianderyoke_platform::Row;
use corianderyoke_platform::Transaction;
use corianderyoke_platform::Write;
use corianderyoke_upstream::service::Call;
use corianderyoke_upstream::Outcome as Sent;
use indexmap::IndexMap;
use parking_lot::Mutex;
use rand::random;
use rand::seq::SliceRandom;
use sha2::Digest;
use sha2::Sha256;
use tokio::sync::oneshot;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::router::attempt::Attempt;
use crate::router::claims::Access;
use crate::router::http::Answer;
use crate::router::http::Parts;
use crate::router::open::Cut;
use crate::router::open::Grant;
use crate::router::open::Ticket;
use crate::router::refusal::Code;
use crate::router::refusal::Outcome;
use crate::router::refusal::Refusal;
use crate::router::refusal::Result;
use crate::router::Caller;
use crate::router::Router;
use crate::util::clock;
use crate::util::events;
use crate::util::events::Event;

/// Table of claims.
const CLAIMS: &str = "claims";
/// Header by which a caller names a call.
const KEY_HEADER: &str = "idempotency-key";
/// Header that marks an answer as kept from an earlier call.
const REPLAYED_HEADER: &str = "idempotency-replayed";
/// Longest idempotency key in bytes.
const MAX_KEY_BYTES: usize = 200;
/// Time between two looks at calls that wait for the store.
const TICK: Duration = Duration::from_millis(50);
/// Wait told to callers of a call that is still open.
const OPEN_RETRY: Duration = Duration::from_secs(1);

/// The calls of this router that may not be repeated.
pub struct Calls {
    ledger: Mutex<Ledger>,
    open: Mutex<IndexMap<CallKey, Arc<Running>>>,
    /// Attempt and digest of every call, kept for the history where one is written.
    traced: Mutex<IndexMap<CallKey, (String, String)>>,
}

/// One claimed call while it runs.
struct Running {
    call: Call,
    service: String,
    team: String,
    deadline: Tick,
    ticket: Ticket,
    place: Mutex<Option<Place>>,
    tell: Mutex<Option<oneshot::Sender<Told>>>,
}

/// An upstream that runs a service.
#[derive(Clone, Debug)]
struct Place {
    upstream: String,
    address: SocketAddr,
}

impl Calls {
    /// No calls yet.
    pub fn new(ledger: Ledger) -> Self {
        Calls { ledger: Mutex::new(ledger), open: Mutex::default(), traced: Mutex::default() }
    }
}

/// Serves a call of any method to `rest`, the service's name with the path behind it.
pub async fn serve(router: &Arc<Router>, rest: &str, parts: Parts) -> Result<Answer> {
    let arrived = clock::now();
    let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
    let register = router.register()?;
    let (caller, service) = admit(router, &register, name, &parts)?;
    if parts.body.len() as u64 > service.body_bytes {
        let message = format!("service `{name}` takes at most {} bytes", service.body_bytes);
        return Err(Refusal::not_run(Code::TooLarge, message));
    }
    let target = format!("service/{name}");
    let grant = Grant { key: caller.key.clone(), team: caller.team.clone(), target };
    let ticket = router.enter(grant)?;
    let deadline = arrived + Duration::from_millis(register.rules.deadline_ms);
    router.record(|| Recorded::Call {
        request: parts.id.clone(),
        key: (!caller.key.is_empty()).then(|| caller.key.clone()),
        open: service.open,
        deadline_us: deadline.since(arrived).as_micros() as u64,
    });
    let call = call(&parts, path, &caller, deadline);
    let safe = matches!(parts.method.as_str(), "GET" | "HEAD" | "OPTIONS");
    let answer = if service.repeatable || safe {
        repeatable(router, name, &call, &caller.team, &ticket, deadline).await
    } else {
        once(router, name, call, ticket, &caller, deadline, &parts).await
    };
    if answer.is_ok() {
        router.metrics.called(&caller.team);
    }
    answer
}

fn admit(
    router: &Router,
    register: &Register,
    name: &str,
    parts: &Parts,
) -> Result<(Caller, Service)> {
    let missing = || {
        let message = format!("service `{name}` doesn't exist for this team");
        Refusal::not_run(Code::NotFound, message)
    };
    let service = register.services.get(name);
    if let Some(service) = service.filter(|service| service.open) {
        let none = Caller { key: String::new(), team: String::new(), secret: String::new() };
        let keyed = parts.header("authorization").is_some() || parts.header("x-api-key").is_some();
        let caller = if keyed { router.authenticate(parts)? } else { none };
        return Ok((caller, service.clone()));
    }
    let caller = router.authenticate(parts)?;
    let service = service.ok_or_else(missing)?;
    if !register.may_use(&caller.team, Resource::Service(name)) {
        return Err(missing());
    }
    Ok((caller, service.clone()))
}

fn idempotency_key(parts: &Parts) -> Result<String> {
    let key = parts.header(KEY_HEADER).unwrap_or_default();
    let fits = (1..=MAX_KEY_BYTES).contains(&key.len());
    if !fits || !key.bytes().all(|byte| byte.is_ascii_graphic() && byte != b'/') {
        let message = "a call that may not be repeated needs an `idempotency-key` header of 1 to \
                       200 printable characters without blanks or slashes";
        return Err(Refusal::not_run(Code::BadRequest, message));
    }
    Ok(key.to_owned())
}

fn call(parts: &Parts, path: &str, caller: &Caller, deadline: Tick) -> Call {
    let query = if parts.query.is_empty() { String::new() } else { format!("?{}", parts.query) };
    Call {
        id: parts.id.clone(),
        method: parts.method.clone(),
        path: format!("/{path}{query}"),
        headers: parts.headers.iter().cloned().collect(),
        body: parts.body.to_vec(),
        timeout: deadline.since(clock::now()),
        secret: caller.secret.clone(),
    }
}

/// Places of a service that may be given work now, in an order of this call's own.
fn places(router: &Router, name: &str) -> Vec<Place> {
    let Some(register) = router.agent.config() else {
        return Vec::new();
    };
    let Some(service) = register.services.get(name) else {
        return Vec::new();
    };
    let usable = register.upstreams_of(service).filter(|(name, _)| !router.agent.is_leaving(name));
    let places = usable.filter_map(|(name, upstream)| {
        let address = upstream.address.parse().ok()?;
        Some(Place { upstream: name.to_owned(), address })
    });
    let mut found: Vec<Place> = places.collect();
    found.shuffle(&mut rand::rng());
    found
}

/// A call that may be sent again: tried at each address until one answers.
async fn repeatable(
    router: &Arc<Router>,
    name: &str,
    call: &Call,
    team: &str,
    ticket: &Ticket,
    deadline: Tick,
) -> Result<Answer> {
    let mut refusal = unreachable(name);
    for (number, place) in (1..).zip(places(router, name)) {
        router.may_act().map_err(|e| e.with_outcome(refusal.outcome))?;
        let timeout = deadline.since(clock::now());
        let id = format!("{}.{number}", call.id);
        let attempt = Attempt::begin(router, &call.id, &id, team, &place.upstream);
        let sent = Call { id, timeout, ..call.clone() };
        let answer = tokio::select! {
            answer = router.upstreams.call_once(place.address, sent) => answer,
            cut = ticket.cut() => return Err(cut_refusal(cut)),
        };
        attempt.end(ended(&answer));
        match answer {
            Ok(answer) => return Ok(whole(answer)),
            Err(e) if e.outcome == Sent::NotRun => {}
            Err(e) => {
                let message = format!("service `{name}` gave no whole answer: {e}");
                refusal =
                    Refusal::not_run(Code::UpstreamFailed, message).with_outcome(Outcome::Unknown);
            }
        }
    }
    Err(refusal)
}

/// What an attempt's result says of the work.
fn ended(
    result: &corianderyoke_upstream::Result<corianderyoke_upstream::service::Answer>,
) -> Outcome {
    match result {
        Ok(_) => Outcome::Ran,
        Err(e) => e.outcome.into(),
    }
}

fn unreachable(name: &str) -> Refusal {
    let message = format!("no instance of service `{name}` can be reached");
    Refusal::not_run(Code::Unavailable, message).with_retry(OPEN_RETRY)
}

fn cut_refusal(cut: Cut) -> Refusal {
    let refusal = match cut {
        Cut::Revoked => Refusal::not_run(Code::Unauthorized, "the key was revoked"),
        _ => Refusal::not_run(Code::Unavailable, "the call was cut"),
    };
    refusal.with_outcome(Outcome::Unknown)
}

fn whole(answer: corianderyoke_upstream::service::Answer) -> Answer {
    let headers = answer.headers.into_iter().collect();
    Answer::Whole { status: answer.status, headers, body: Bytes::from(answer.body) }
}

/// A call that runs at most once for its key.
async fn once(
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
    // The call goes on behind a caller whose deadline is over, so that its outcome is kept.
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
        Told::NotRun(NotRun::Store) => {
            let message = "the platform can't record the call, so it wasn't sent";
            Err(Refusal::not_run(Code::Unavailable, message).with_retry(OPEN_RETRY))
        }
        Told::NotRun(NotRun::Withdrawn | NotRun::Unreachable) => Err(unreachable(name)),
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

fn tell(router: &Router, call: CallKey, answer: Told) {
    let Some(running) = router.ledger.open.lock().swap_remove(&call) else {
        return;
    };
    if answer == Told::Unknown {
        let detail = format_args!("request={} service={}", running.call.id, running.service);
        events::log(Event::CallUnknown, detail);
    }
    let waiting = running.tell.lock().take();
    if let Some(waiting) = waiting {
        // The caller may be gone; the outcome is kept for its next try.
        let _ = waiting.send(answer);
    }
}

/// Carries one effect out and reports what came of it.
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
    // An event for a call that is over is dropped, as the ledger asks.
    carry_out(router, effects.unwrap_or_default());
}

/// Records the beginning of an access to a claim's row.
fn access(router: &Router, effect: &Effect) -> Option<Access> {
    let call = match effect {
        Effect::Insert { call, .. } | Effect::Replace { call, .. } => call,
        Effect::Remove { call, .. } | Effect::ReadBack { call, .. } => call,
        Effect::Answer { .. } | Effect::Prepare { .. } | Effect::Send { .. } => return None,
    };
    // A call goes on after its caller was answered, so the table of open calls isn't asked.
    let (attempt, digest) = router.ledger.traced.lock().get(call).cloned()?;
    Access::begin(router, effect, &attempt, &digest)
}

/// Key of a claim's row.
pub(super) fn row_key(key: &ClaimKey) -> String {
    format!("{}/{}", key.team, key.key)
}

fn at(key: &str, version: u64) -> Condition {
    Condition::Version { table: CLAIMS.to_owned(), key: key.to_owned(), version }
}

fn put(key: &str, claim: &Claim) -> Write {
    // A claim holds strings and numbers only, which JSON can hold.
    let value = serde_json::to_string(claim).unwrap_or_default();
    Write::Put { table: CLAIMS.to_owned(), key: key.to_owned(), value }
}

async fn write(router: &Router, condition: Condition, write: Write) -> Reported {
    let transaction = Transaction { conditions: vec![condition], writes: vec![write] };
    match router.platform.transact(&transaction).await {
        Ok(Commit::Done { version }) => Reported::Written { version },
        Ok(Commit::Refused { found, .. }) => Reported::Refused { found: found.and_then(parse) },
        Err(StoreError::Unknown(_)) => Reported::NoAnswer,
        Err(StoreError::Unavailable(_) | StoreError::Invalid(_)) => Reported::Unavailable,
    }
}

async fn read(router: &Router, key: &str) -> Reported {
    match router.platform.get(CLAIMS, key).await {
        Ok(row) => Reported::Read { found: row.and_then(parse) },
        Err(_) => Reported::Unavailable,
    }
}

fn parse(row: Row) -> Option<Found> {
    let claim = serde_json::from_str(&row.value).ok()?;
    Some(Found { claim, version: row.version })
}

/// Finds the claimed call a place, or withdraws it before anything was sent.
fn prepare(router: &Router, call: CallKey) -> Reported {
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

/// Sends the call, once.
async fn send(router: &Router, call: CallKey) -> Reported {
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

/// Marks a kept body that isn't text.
const BINARY_MARK: &str = "\u{0}hex:";

fn encode(body: &[u8]) -> String {
    match std::str::from_utf8(body) {
        Ok(text) if !text.starts_with(BINARY_MARK) => text.to_owned(),
        _ => {
            let hex: String = body.iter().map(|byte| format!("{byte:02x}")).collect();
            format!("{BINARY_MARK}{hex}")
        }
    }
}

fn decode(kept: &str) -> Vec<u8> {
    let Some(hex) = kept.strip_prefix(BINARY_MARK) else {
        return kept.as_bytes().to_vec();
    };
    let pairs = hex.as_bytes().chunks(2).filter_map(|pair| std::str::from_utf8(pair).ok());
    pairs.filter_map(|pair| u8::from_str_radix(pair, 16).ok()).collect()
}
