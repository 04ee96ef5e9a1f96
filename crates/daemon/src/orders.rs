//! Holds the lease that permits one daemon to order loads and unloads, and executes the plan of
//! orders while this daemon holds it.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use corianderyoke_adapter::headers;
use corianderyoke_adapter::orders;
use corianderyoke_adapter::orders::Holder;
use corianderyoke_adapter::orders::Operation;
use corianderyoke_adapter::store::Outcome;
use corianderyoke_adapter::store::SingleRow;
use corianderyoke_coord::keys::UpstreamKey;
use corianderyoke_coord::serving::announcements::ChangeKind;
use corianderyoke_coord::serving::engines::Report;
use corianderyoke_coord::serving::lease::ClockReading;
use corianderyoke_coord::serving::lease::LeaseRow;
use corianderyoke_coord::serving::lease::LeaseWrite;
use corianderyoke_coord::serving::lease::Step;
use corianderyoke_coord::serving::lease::StoreTime;
use corianderyoke_coord::serving::notice::Process;
use corianderyoke_coord::serving::position::Position;
use corianderyoke_coord::serving::residency::Action;
use corianderyoke_coord::serving::residency::Answer;
use corianderyoke_coord::serving::residency::LoadReason;
use corianderyoke_coord::serving::residency::Op;
use corianderyoke_coord::serving::residency::Order;
use corianderyoke_coord::serving::residency::Purpose;
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

use crate::metrics::LoadLabels;
use crate::metrics::OrderLabels;
use crate::notices;
use crate::notices::Receiver;
use crate::peers;
use crate::pool::Connection;
use crate::state::Shared;
use crate::state::State;

/// Table of the lease row.
const LEASE_TABLE: &str = "leases";
/// Key of the row of the lease on orders.
const LEASE_ROW: &str = "orders";
/// Longest interval between two steps of the lease protocol.
const LEASE_POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Delay after a failed call to the store.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Least time between two runs of the planner, which many reports may request at once.
const MIN_PLAN_GAP: Duration = Duration::from_millis(20);
/// Longest interval between two runs of the planner.
const PLAN_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which an order or an inspection counts as unanswered.
const ORDER_TIMEOUT: Duration = Duration::from_millis(700);
/// Largest response of an engine to an order or an inspection.
const MAX_REPORT_BYTES: usize = 1 << 20;
/// Orders and inspections have no identifier that their responses would echo.
const NO_ID: &str = "";
/// Time between the acceptance of an adapter load and the moment the adapter is usable.
const ADAPTER_LOAD_DELAY: Duration = Duration::from_millis(12);

/// Lease row in its stored form.
#[derive(Deserialize, Serialize)]
struct StoredLease {
    holder: String,
    token: u64,
    /// Time at which the holder's term expires, in milliseconds of the store's clock.
    until_ms: u64,
}

/// Runs the lease protocol until the task is aborted.
pub async fn maintain_lease(shared: Arc<Shared>) {
    let mut held_token = None;
    let mut last_token = None;
    loop {
        let now = clock::now();
        let step = {
            let mut state = shared.state();
            let rank = state.roster.rank(&peers::own_daemon(&shared), now);
            state.lease.set_rank(rank);
            if state.reach.is_settled(now) && !state.holds_lease(now) {
                // A daemon that reaches engines claims the lease.
                Step::Wait(now + LEASE_POLL_INTERVAL)
            } else {
                state.lease.step(now)
            }
        };
        let pause = match step {
            Step::Wait(until) => until.since(now).min(LEASE_POLL_INTERVAL),
            Step::Read => read_lease(&shared).await,
            Step::Write(write) => write_lease(&shared, write).await,
        };
        let token = shared.state().lease.token(clock::now());
        if token != held_token {
            held_token = token;
            // If the fencing token is unchanged, no other daemon sent orders in between.
            let is_new_term = token.is_some() && token != last_token;
            last_token = token.or(last_token);
            handle_lease_change(&shared, token, is_new_term);
        }
        sleep(pause).await;
    }
}

/// Releases the lease so that another daemon can claim it before the term expires.
pub async fn release(shared: &Shared) {
    let write = shared.state().lease.release(clock::now());
    let Some(LeaseWrite { expected, era, row }) = write else { return };
    if shared.store.era() != era {
        return;
    }
    // If the release fails, the successor waits until the term expires.
    let _ = shared.store.transact(&lease_transaction(expected, &row)).await;
}

/// Logs that this daemon acquired or lost the lease, and resets the planner for a new term.
fn handle_lease_change(shared: &Shared, token: Option<u64>, is_new_term: bool) {
    let now = clock::now();
    let mut state = shared.state();
    let State { planner, engines, lease, .. } = &mut *state;
    if is_new_term {
        planner.begin_term(engines, now);
    }
    let (Position { era, version }, until) = lease.last_seen();
    shared.origins_due.notify_one();
    let (event, holder) = match token {
        Some(_) => (Event::LeaseTaken, shared.settings.name.as_str()),
        None => (Event::LeaseLost, lease.holder().unwrap_or_default()),
    };
    events::log(
        event,
        format_args!(
            "token={token:?} holder={holder} era={era} version={version} until={}",
            until.0
        ),
    );
    drop(state);
    shared.replan.notify_one();
}

/// Reads the lease row. Returns the delay until the next step.
async fn read_lease(shared: &Shared) -> Duration {
    let sent = clock::now();
    let read_result = shared.store.row(LEASE_TABLE, LEASE_ROW).await;
    let mut state = shared.state();
    match read_result {
        Ok(SingleRow { row, now_ms, era }) => {
            let version = row.as_ref().map_or(0, |row| row.version);
            let stored = row.and_then(|row| row.value);
            let stored = stored.and_then(|value| decode_lease(&value));
            let row = stored.map(|stored| LeaseRow {
                holder: stored.holder,
                token: stored.token,
                until: StoreTime(stored.until_ms),
            });
            let position = Position { era, version };
            state.lease.record_read(row, position, clock_reading(now_ms, sent));
            Duration::ZERO
        }
        Err(_) => RETRY_DELAY,
    }
}

/// Decodes the lease row. One that can't be read counts as a row that doesn't exist.
fn decode_lease(value: &[u8]) -> Option<StoredLease> {
    serde_json::from_slice(value)
        .inspect_err(|error| {
            events::log(Event::EntrySkipped, format_args!("table={LEASE_TABLE} {error}"));
        })
        .ok()
}

/// Returns a reading of the store's clock from a call sent at `sent` whose response arrived now.
fn clock_reading(now_ms: u64, sent: Tick) -> ClockReading {
    ClockReading { time: StoreTime(now_ms), sent, received: clock::now() }
}

/// Writes the lease row conditionally. Returns the delay until the next step.
async fn write_lease(shared: &Shared, write: LeaseWrite) -> Duration {
    let sent = clock::now();
    let era = shared.store.era();
    if era != write.era {
        // The version may have been given out again.
        shared.state().lease.record_conflict(era, sent);
        return Duration::ZERO;
    }
    let outcome = shared.store.transact(&lease_transaction(write.expected, &write.row)).await;
    let mut state = shared.state();
    match outcome {
        Ok(Outcome::Done { position, now_ms }) => {
            state.lease.record_write(&write, position, clock_reading(now_ms, sent));
            Duration::ZERO
        }
        Ok(Outcome::Refused(era)) => {
            state.lease.record_conflict(era, clock::now());
            Duration::ZERO
        }
        Err(Error::Unavailable(_)) => RETRY_DELAY,
        Err(_) => {
            state.lease.record_timeout();
            RETRY_DELAY
        }
    }
}

fn lease_transaction(expected: u64, row: &LeaseRow) -> Transaction {
    let (table, key) = (LEASE_TABLE.to_owned(), LEASE_ROW.to_owned());
    let condition = match expected {
        0 => Condition::Absent { table: table.clone(), key: key.clone() },
        version => Condition::Version { table: table.clone(), key: key.clone(), version },
    };
    let LeaseRow { holder, token, until: StoreTime(until_ms) } = row.clone();
    let value = json!(StoredLease { holder, token, until_ms }).to_string();
    Transaction { conditions: vec![condition], writes: vec![Write::Put { table, key, value }] }
}

/// Executes the planner's actions while this daemon holds the lease, until the task is aborted.
pub async fn run(shared: Arc<Shared>) {
    loop {
        // Wakes on a notification, or on the timeout if none arrives.
        let _ = timeout(PLAN_INTERVAL, shared.replan.notified()).await;
        let now = clock::now();
        let actions = plan_actions(&mut shared.state(), &shared.settings.name, now);
        // Daemons with waiting requests learn of loads in progress.
        if !actions.is_empty() {
            shared.report_now.notify_one();
        }
        for action in actions {
            let shared = Arc::clone(&shared);
            tokio::spawn(async move {
                match action {
                    Action::Send(order) => execute_order(&shared, order).await,
                    Action::Inspect(engine) => inspect_engine(&shared, engine).await,
                }
            });
        }
        sleep(MIN_PLAN_GAP).await;
    }
}

/// Expires missing engines, updates the planner with the current demand and load, and returns its
/// actions. Returns no actions if this daemon doesn't hold the lease.
fn plan_actions(state: &mut State, name: &str, now: Tick) -> Vec<Action> {
    // Expires entries here because this function runs periodically on every daemon, not only on
    // the lease holder.
    let expired = state.engines.expire_missing(now);
    if state.lease.token(now).is_none() {
        return Vec::new();
    }
    for engine in expired {
        state.announcements.record(engine, ChangeKind::Leaving, now);
    }
    let Some(desired) = state.desired.clone() else { return Vec::new() };
    for (&model, requests) in &state.model_requests {
        state.planner.record_waiting(name, model, requests.waiting, now);
    }
    for (&adapter, &(model, _)) in &state.wanted_adapters {
        state.planner.request_adapter(model, adapter, now);
    }
    let running = state.running_requests(now);
    state.planner.set_running(running);
    state.planner.set_limited(state.engine_limits.limited());
    let State { planner, engines, expected_loads, .. } = state;
    let mut actions = Vec::new();
    expected_loads.clear();
    for (name, service) in &desired.services {
        let Some(spec) = &service.engine else { continue };
        actions.extend(planner.plan(name, spec, engines, now));
        expected_loads.extend(planner.expected_loads(spec, engines, now));
    }
    actions
}

/// Sends an order, then records the engine's answer and announces the change if it took effect.
async fn execute_order(shared: &Shared, order: Order) {
    // The answer may end the planner's record of the order.
    let reason = load_reason(shared, order);
    let answer = send_order(shared, order).await;
    let now = clock::now();
    let labels = OrderLabels { op: op_name(order.op), answer: answer_name(answer) };
    shared.metrics.orders.get_or_create(&labels).inc();
    log_order(shared, order, answer);
    if let Some(reason) = reason.filter(|_| answer == Answer::Accepted) {
        log_load(shared, order, reason);
    }
    if answer == Answer::Accepted && matches!(order.op, Op::LoadAdapter(..)) {
        sleep(ADAPTER_LOAD_DELAY).await;
    }
    let mut state = shared.state();
    record_answer(&mut state, order, answer, now);
    // A model load is announced once the engine's entry lists the model.
    let has_changed = match order.op {
        Op::Load(_) => answer == Answer::Holds,
        _ => matches!(answer, Answer::Accepted | Answer::Holds),
    };
    if has_changed {
        state.announcements.record(order.engine, change_kind(order.op), clock::now());
    }
    if answer == Answer::Fenced {
        state.lease.record_fenced();
    }
    drop(state);
    shared.report_now.notify_one();
    shared.changed.notify_waiters();
    shared.replan.notify_one();
}

fn record_answer(state: &mut State, order: Order, answer: Answer, now: Tick) {
    let Some(desired) = state.desired.clone() else { return };
    let State { planner, engines, .. } = state;
    let service = engines.get(order.engine).and_then(|e| desired.services.get(&e.service));
    if let Some(spec) = service.and_then(|service| service.engine.as_ref()) {
        planner.handle_answer(order, answer, spec, engines, now);
    }
}

fn change_kind(op: Op) -> ChangeKind {
    match op {
        Op::Load(model) => ChangeKind::Model(model, true),
        Op::Unload(model) => ChangeKind::Model(model, false),
        Op::LoadAdapter(model, adapter) => ChangeKind::Adapter(model, adapter, true),
        Op::UnloadAdapter(model, adapter) => ChangeKind::Adapter(model, adapter, false),
    }
}

/// Sends an order if this daemon still holds the lease. Returns `Busy` if it wasn't sent.
async fn send_order(shared: &Shared, order: Order) -> Answer {
    let prepared = {
        let state = shared.state();
        state
            .lease
            .token(clock::now())
            .and_then(|token| compose_order(shared, &state, order, token))
    };
    let Some((id, process, body)) = prepared else { return Answer::Busy };
    let Ok(connection) = shared.pool.connection(&id, process.address, NO_ID, true).await else {
        return Answer::Busy;
    };
    // The lease may have expired, or the engine begun to leave or to pause, while the connection was
    // being established.
    let may_send = {
        let state = shared.state();
        let holds_lease = state.lease.token(clock::now()).is_some();
        holds_lease && state.engines.accepts(order.engine, process, clock::now())
    };
    if !may_send {
        return Answer::Busy;
    }
    let Some(request) = build_request(Method::POST, orders::ORDER_PATH, &id, body) else {
        return Answer::Rejected;
    };
    let receiver = Receiver { key: order.engine, id: &id, process };
    let response = exchange(shared, &receiver, connection, request).await;
    let Some((head, _)) = response else { return Answer::Unanswered };
    orders::decode_status(head.status.as_u16())
}

fn compose_order(
    shared: &Shared,
    state: &State,
    order: Order,
    token: u64,
) -> Option<(String, Process, Bytes)> {
    let engine = state.engines.get(order.engine)?;
    let names = &state.engines.names;
    let adapter = |key| names.adapters.name(key).rsplit('/').next();
    let change = match order.op {
        Op::Load(model) => Operation::Load(names.models.name(model), None),
        Op::Unload(model) => Operation::Unload(names.models.name(model), None),
        Op::LoadAdapter(model, key) => Operation::Load(names.models.name(model), adapter(key)),
        Op::UnloadAdapter(model, key) => Operation::Unload(names.models.name(model), adapter(key)),
    };
    let holder = Holder { name: &shared.settings.name, token };
    let body = orders::encode_order(change, order.expected, holder);
    Some((engine.id.clone(), engine.process(), body.into()))
}

fn build_request(
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

/// Sends a request and reads the complete response. Returns `None` on failure or timeout. The
/// connection is then reset as it is dropped, so that an order doesn't arrive after those of the next
/// holder, when the link works again.
async fn exchange(
    shared: &Shared,
    receiver: &Receiver<'_>,
    mut connection: Connection,
    request: Request<Full<Bytes>>,
) -> Option<(Parts, Bytes)> {
    let path = request.uri().path().trim_start_matches('/').to_owned();
    let response = timeout(ORDER_TIMEOUT, async {
        let (head, body) = connection.send(request, NO_ID).await.ok()?.into_parts();
        let body = Limited::new(body, MAX_REPORT_BYTES).collect().await.ok()?;
        Some((head, body.to_bytes()))
    });
    let (head, body) = response.await.ok().flatten()?;
    let facts = headers::decode_response(&head.headers);
    notices::record(shared, receiver, &path, head.status, &facts);
    shared.pool.release(receiver.id, connection, &head);
    Some((head, body))
}

/// Inspects an engine: fetches its report of loaded models and adapters.
async fn inspect_engine(shared: &Shared, engine: UpstreamKey) {
    let report = fetch_report(shared, engine).await;
    let now = clock::now();
    let mut state = shared.state();
    let State { planner, engines, .. } = &mut *state;
    match report {
        Some(report) if engines.apply_report(engine, &report) => {
            planner.handle_inspection(engine, report.busy, now);
        }
        _ => planner.handle_inspection_failure(engine, now),
    }
    drop(state);
    shared.changed.notify_waiters();
    shared.replan.notify_one();
}

fn is_paused(shared: &Shared, key: UpstreamKey) -> bool {
    let state = shared.state();
    state.engines.get(key).is_some_and(|engine| !engine.pause_left(clock::now()).is_zero())
}

async fn fetch_report(shared: &Shared, key: UpstreamKey) -> Option<Report> {
    let (id, process) = {
        let state = shared.state();
        let engine = state.engines.get(key)?;
        (engine.id.clone(), engine.process())
    };
    let connection = shared.pool.connection(&id, process.address, NO_ID, false).await.ok()?;
    let request = build_request(Method::GET, orders::REPORT_PATH, &id, Bytes::new())?;
    if is_paused(shared, key) {
        return None;
    }
    let receiver = Receiver { key, id: &id, process };
    let (head, body) = exchange(shared, &receiver, connection, request).await?;
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

fn log_order(shared: &Shared, order: Order, answer: Answer) {
    let state = shared.state();
    let names = &state.engines.names;
    let (model, adapter) = match order.op {
        Op::Load(model) | Op::Unload(model) => (model, ""),
        Op::LoadAdapter(model, key) | Op::UnloadAdapter(model, key) => {
            (model, names.adapters.name(key))
        }
    };
    let is_refused = !matches!(answer, Answer::Accepted | Answer::Holds);
    let event = if is_refused { Event::OrderRefused } else { Event::Ordered };
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

/// Returns why a load of a model was ordered; `None` for other orders.
fn load_reason(shared: &Shared, order: Order) -> Option<LoadReason> {
    let Op::Load(model) = order.op else { return None };
    shared.state().planner.load_reason(order.engine, model, clock::now())
}

/// Counts and logs a load that an engine accepted.
fn log_load(shared: &Shared, order: Order, reason: LoadReason) {
    let Op::Load(model) = order.op else { return };
    let purpose = purpose_name(reason.purpose);
    let source = if reason.is_remote { "store" } else { "near" };
    shared.metrics.loads.get_or_create(&LoadLabels { purpose, source }).inc();
    let state = shared.state();
    let names = &state.engines.names;
    events::log(
        Event::LoadOrdered,
        format_args!(
            "engine={} model={} purpose={purpose} source={source} holders={} loading={} replicas={} \
             request_rate={:.2} overloaded_ms={} remote_limit={}",
            names.engines.name(order.engine),
            names.models.name(model),
            reason.holders,
            reason.loading,
            reason.replicas,
            reason.request_rate,
            reason.overloaded.as_millis(),
            reason.remote_limit
        ),
    );
}

fn purpose_name(purpose: Purpose) -> &'static str {
    match purpose {
        Purpose::Missing => "missing",
        Purpose::Replica => "replica",
        Purpose::RemoteReplica => "remote_replica",
        Purpose::Copy => "copy",
    }
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
