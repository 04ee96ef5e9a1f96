//! The lease on orders, and while it is held, the orders themselves.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use corianderyoke_adapter::headers;
use corianderyoke_adapter::orders;
use corianderyoke_adapter::orders::Holder;
use corianderyoke_adapter::orders::Operation;
use corianderyoke_adapter::store::Outcome;
use corianderyoke_coord::keys::UpstreamKey;
use corianderyoke_coord::serving::engines::Report;
use corianderyoke_coord::serving::lease::ClockReading;
use corianderyoke_coord::serving::lease::LeaseRow;
use corianderyoke_coord::serving::lease::LeaseWrite;
use corianderyoke_coord::serving::lease::Step;
use corianderyoke_coord::serving::lease::StoreTime;
use corianderyoke_coord::serving::residency::Action;
use corianderyoke_coord::serving::residency::Answer;
use corianderyoke_coord::serving::residency::Op;
use corianderyoke_coord::serving::residency::Order;
use corianderyoke_coord::time::Tick;
use corianderyoke_platform::Condition;
use corianderyoke_platform::Error;
use corianderyoke_platform::Transaction;
use corianderyoke_platform::Write;
use corianderyoke_util::clock;
use corianderyoke_util::events;
use corianderyoke_util::events::Event;
use http::header;
use http::response::Parts;
use http::HeaderValue;
use http::Method;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use serde::Deserialize;
use serde::Serialize;
use serde_json::json;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::metrics::OrderLabels;
use crate::peers;
use crate::pool::Lane;
use crate::state::EffectKind;
use crate::state::Shared;
use crate::state::State;

/// Table of leases.
const LEASES: &str = "leases";
/// Row of the lease on orders.
const ORDERS: &str = "orders";
/// Longest pause between two looks at the lease.
const LEASE_LOOK: Duration = Duration::from_millis(500);
/// Pause after a failed call to the store.
const PAUSE: Duration = Duration::from_millis(100);
/// Longest pause between two looks at the plan.
const PLAN_LOOK: Duration = Duration::from_millis(100);
/// Time until an order or a report counts as unanswered.
const ANSWER: Duration = Duration::from_millis(700);
/// Largest report, in bytes.
const MOST_REPORT: usize = 1 << 20;
/// Time that an adapter takes to arrive once its load was accepted.
const ADAPTER_TIME: Duration = Duration::from_millis(12);

/// The lease's row as it lies in the store.
#[derive(Deserialize, Serialize)]
struct StoredLease {
    holder: String,
    token: u64,
    /// Time until which the holder acts, by the store's clock in milliseconds.
    until_ms: u64,
}

/// Keeps or watches the lease until the task is ended.
pub async fn keep_lease(shared: Arc<Shared>) {
    let mut held = None;
    let mut planned = None;
    loop {
        let now = clock::now();
        let step = {
            let mut state = shared.state();
            let rank = state.roster.rank(&peers::myself(&shared), now);
            state.lease.set_rank(rank);
            state.lease.step(now)
        };
        let pause = match step {
            Step::Wait(until) => until.since(now).min(LEASE_LOOK),
            Step::Read => read(&shared).await,
            Step::Write(write) => commit(&shared, write).await,
        };
        let token = shared.state().lease.token(clock::now());
        if token != held {
            held = token;
            // With the token of before, nobody else gave orders meanwhile.
            let begins = token.is_some() && token != planned;
            planned = token.or(planned);
            note(&shared, token, begins);
        }
        sleep(pause).await;
    }
}

/// Gives the lease up, so that another daemon takes it soon.
pub async fn release(shared: &Shared) {
    let write = shared.state().lease.release(clock::now());
    let Some(LeaseWrite { expected, row }) = write else { return };
    // A release that fails costs a successor what is left of the lease's time.
    let _ = shared.store.transact(&transaction(expected, &row)).await;
}

fn note(shared: &Shared, token: Option<u64>, begins: bool) {
    let now = clock::now();
    let mut state = shared.state();
    let State { planner, engines, lease, .. } = &mut *state;
    if begins {
        planner.begin_term(engines, now);
    }
    let (version, until) = lease.last_seen();
    let (event, holder) = match token {
        Some(_) => (Event::LeaseTaken, shared.settings.name.as_str()),
        None => (Event::LeaseLost, lease.holder().unwrap_or_default()),
    };
    events::log(
        event,
        format_args!("token={token:?} holder={holder} version={version} until={}", until.0),
    );
    drop(state);
    shared.plan.notify_one();
}

async fn read(shared: &Shared) -> Duration {
    let sent = clock::now();
    let found = shared.store.row(LEASES, ORDERS).await;
    let mut state = shared.state();
    match found {
        Ok((row, now_ms)) => {
            let version = row.as_ref().map_or(0, |row| row.version);
            let stored = row.and_then(|row| row.value);
            let stored = stored.and_then(|v| serde_json::from_slice::<StoredLease>(&v).ok());
            let row = stored.map(|stored| LeaseRow {
                holder: stored.holder,
                token: stored.token,
                until: StoreTime(stored.until_ms),
            });
            state.lease.record_read(row, version, reading(now_ms, sent));
            Duration::ZERO
        }
        Err(_) => PAUSE,
    }
}

/// A reading of the store's clock by a call that was sent at `sent` and answered now.
fn reading(now_ms: u64, sent: Tick) -> ClockReading {
    ClockReading { time: StoreTime(now_ms), sent, received: clock::now() }
}

async fn commit(shared: &Shared, write: LeaseWrite) -> Duration {
    let sent = clock::now();
    let outcome = shared.store.transact(&transaction(write.expected, &write.row)).await;
    let mut state = shared.state();
    match outcome {
        Ok(Outcome::Done { version, now_ms }) => {
            state.lease.record_write(&write, version, reading(now_ms, sent));
            Duration::ZERO
        }
        Ok(Outcome::Refused(_)) => {
            state.lease.record_conflict();
            Duration::ZERO
        }
        Err(Error::Unavailable(_)) => PAUSE,
        Err(_) => {
            state.lease.record_timeout();
            PAUSE
        }
    }
}

fn transaction(expected: u64, row: &LeaseRow) -> Transaction {
    let (table, key) = (LEASES.to_owned(), ORDERS.to_owned());
    let condition = match expected {
        0 => Condition::Absent { table: table.clone(), key: key.clone() },
        version => Condition::Version { table: table.clone(), key: key.clone(), version },
    };
    let LeaseRow { holder, token, until: StoreTime(until_ms) } = row.clone();
    let value = json!(StoredLease { holder, token, until_ms }).to_string();
    Transaction { conditions: vec![condition], writes: vec![Write::Put { table, key, value }] }
}

/// Carries out the plan while the lease is held, until the task is ended.
pub async fn run(shared: Arc<Shared>) {
    loop {
        // Either something changed, or it looks again by itself.
        let _ = timeout(PLAN_LOOK, shared.plan.notified()).await;
        let now = clock::now();
        let actions = plan(&mut shared.state(), &shared.settings.name, now);
        for action in actions {
            let shared = Arc::clone(&shared);
            tokio::spawn(async move {
                match action {
                    Action::Send(order) => send(&shared, order).await,
                    Action::Inspect(engine) => inspect(&shared, engine).await,
                }
            });
        }
    }
}

fn plan(state: &mut State, name: &str, now: Tick) -> Vec<Action> {
    // Expired entries are forgotten here, since this runs on every daemon all the time.
    let gone = state.engines.expire_missing(now);
    if state.lease.token(now).is_none() {
        return Vec::new();
    }
    for engine in gone {
        state.tell(engine, EffectKind::Leaves, now);
    }
    let Some(desired) = state.desired.clone() else { return Vec::new() };
    for (&model, count) in &state.models {
        state.planner.record_waiting(name, model, count.waiting, now);
    }
    for (&adapter, &(model, _)) in &state.adapters {
        state.planner.request_adapter(model, adapter, now);
    }
    let held: Vec<_> = state
        .engines
        .iter()
        .flat_map(|(key, engine)| engine.models.keys().map(move |&model| (key, model)))
        .collect();
    for (key, model) in held {
        let running = state.runs(key, model, now);
        state.planner.set_running(key, model, running);
    }
    let State { planner, engines, .. } = state;
    let services = desired.services.iter();
    let services = services.filter_map(|(name, found)| Some((name, found.engine.as_ref()?)));
    services.flat_map(|(name, spec)| planner.plan(name, spec, engines, now)).collect()
}

async fn send(shared: &Shared, order: Order) {
    let answer = ask(shared, order).await;
    let now = clock::now();
    let labels = OrderLabels { op: op_name(order.op), answer: answer_name(answer) };
    shared.metrics.orders.get_or_create(&labels).inc();
    log(shared, order, answer);
    if answer == Answer::Accepted && matches!(order.op, Op::LoadAdapter(..)) {
        sleep(ADAPTER_TIME).await;
    }
    let mut state = shared.state();
    answered(&mut state, order, answer, now);
    // That a model was loaded is told once the engine's entry shows it.
    let done = match order.op {
        Op::Load(_) => answer == Answer::Holds,
        _ => matches!(answer, Answer::Accepted | Answer::Holds),
    };
    if done {
        state.tell(order.engine, effect(order.op), clock::now());
    }
    if answer == Answer::Fenced {
        state.lease.record_conflict();
    }
    drop(state);
    shared.urgent.notify_one();
    shared.changed.notify_waiters();
    shared.plan.notify_one();
}

fn answered(state: &mut State, order: Order, answer: Answer, now: Tick) {
    let Some(desired) = state.desired.clone() else { return };
    let State { planner, engines, .. } = state;
    let service = engines.get(order.engine).and_then(|e| desired.services.get(&e.service));
    if let Some(spec) = service.and_then(|service| service.engine.as_ref()) {
        planner.handle_answer(order, answer, spec, engines, now);
    }
}

fn effect(op: Op) -> EffectKind {
    match op {
        Op::Load(model) => EffectKind::Model(model, true),
        Op::Unload(model) => EffectKind::Model(model, false),
        Op::LoadAdapter(model, adapter) => EffectKind::Adapter(model, adapter, true),
        Op::UnloadAdapter(model, adapter) => EffectKind::Adapter(model, adapter, false),
    }
}

/// Sends an order while the lease allows it; `Busy` stands for one that wasn't sent.
async fn ask(shared: &Shared, order: Order) -> Answer {
    let composed = {
        let state = shared.state();
        state.lease.token(clock::now()).and_then(|token| compose(shared, &state, order, token))
    };
    let Some((id, address, body)) = composed else { return Answer::Busy };
    let Ok(lane) = shared.pool.lane(&id, address, true).await else { return Answer::Busy };
    // The lease may have run out while the connection came up.
    if shared.state().lease.token(clock::now()).is_none() {
        return Answer::Busy;
    }
    let Some(request) = request(Method::POST, orders::ORDER_PATH, &id, body) else {
        return Answer::Rejected;
    };
    let answered = exchange(shared, &id, lane, request).await;
    let Some((head, _)) = answered else { return Answer::Unanswered };
    orders::decode_status(head.status.as_u16())
}

fn compose(
    shared: &Shared,
    state: &State,
    order: Order,
    token: u64,
) -> Option<(String, std::net::SocketAddr, Bytes)> {
    let engine = state.engines.get(order.engine)?;
    let names = &state.engines.names;
    let adapter = |key| names.adapters.name(key).rsplit('/').next();
    let wish = match order.op {
        Op::Load(model) => Operation::Load(names.models.name(model), None),
        Op::Unload(model) => Operation::Unload(names.models.name(model), None),
        Op::LoadAdapter(model, key) => Operation::Load(names.models.name(model), adapter(key)),
        Op::UnloadAdapter(model, key) => Operation::Unload(names.models.name(model), adapter(key)),
    };
    let holder = Holder { name: &shared.settings.name, token };
    let body = orders::encode_order(wish, order.expected, holder);
    Some((engine.id.clone(), engine.address, body.into()))
}

fn request(
    method: Method,
    path: &'static str,
    id: &str,
    body: Bytes,
) -> Option<Request<Full<Bytes>>> {
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = method;
    *request.uri_mut() = http::Uri::from_static(path);
    let headers = request.headers_mut();
    headers.insert(header::HOST, HeaderValue::from_str(id).ok()?);
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(headers::EXPECTED_ENGINE, HeaderValue::from_str(id).ok()?);
    Some(request)
}

/// Sends a request and reads its whole answer; `None` where that fails or takes too long.
async fn exchange(
    shared: &Shared,
    id: &str,
    mut lane: Lane,
    request: Request<Full<Bytes>>,
) -> Option<(Parts, Bytes)> {
    let answered = timeout(ANSWER, async {
        let (head, body) = lane.send(request).await.ok()?.into_parts();
        let body = Limited::new(body, MOST_REPORT).collect().await.ok()?;
        Some((head, body.to_bytes()))
    });
    let (head, body) = answered.await.ok().flatten()?;
    shared.pool.give_back(id, lane, &head.headers);
    Some((head, body))
}

/// Asks an engine what it holds.
async fn inspect(shared: &Shared, engine: UpstreamKey) {
    let report = report(shared, engine).await;
    let now = clock::now();
    let mut state = shared.state();
    let State { planner, engines, .. } = &mut *state;
    match report {
        Some(report) => {
            engines.apply_report(engine, &report);
            planner.handle_inspection(engine, report.busy, now);
        }
        None => planner.handle_inspection_failure(engine, now),
    }
    drop(state);
    shared.changed.notify_waiters();
    shared.plan.notify_one();
}

async fn report(shared: &Shared, engine: UpstreamKey) -> Option<Report> {
    let (id, address) = {
        let state = shared.state();
        let engine = state.engines.get(engine)?;
        (engine.id.clone(), engine.address)
    };
    let lane = shared.pool.lane(&id, address, false).await.ok()?;
    let request = request(Method::GET, orders::REPORT_PATH, &id, Bytes::new())?;
    let (head, body) = exchange(shared, &id, lane, request).await?;
    if !head.status.is_success() {
        return None;
    }
    match orders::decode_report(&body) {
        Ok(report) => Some(report),
        Err(error) => {
            events::log(Event::EntrySkipped, format_args!("report of engine={id}: {error}"));
            None
        }
    }
}

fn log(shared: &Shared, order: Order, answer: Answer) {
    let state = shared.state();
    let names = &state.engines.names;
    let (model, adapter) = match order.op {
        Op::Load(model) | Op::Unload(model) => (model, ""),
        Op::LoadAdapter(model, key) | Op::UnloadAdapter(model, key) => {
            (model, names.adapters.name(key))
        }
    };
    let refused = !matches!(answer, Answer::Accepted | Answer::Holds);
    let event = if refused { Event::OrderRefused } else { Event::Ordered };
    events::log(
        event,
        format_args!(
            "op={} engine={} model={} adapter={adapter} expected={} answer={}",
            op_name(order.op),
            names.engines.name(order.engine),
            names.models.name(model),
            order.expected,
            answer_name(answer)
        ),
    );
}

fn op_name(op: Op) -> &'static str {
    match op {
        Op::Load(_) => "load",
        Op::Unload(_) => "unload",
        Op::LoadAdapter(..) => "load_adapter",
        Op::UnloadAdapter(..) => "unload_adapter",
    }
}

fn answer_name(answer: Answer) -> &'static str {
    match answer {
        Answer::Accepted => "accepted",
        Answer::Holds => "holds",
        Answer::Busy => "busy",
        Answer::Fenced => "fenced",
        Answer::Rejected => "rejected",
        Answer::Unanswered => "unanswered",
    }
}
