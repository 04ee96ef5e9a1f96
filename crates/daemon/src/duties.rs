//! Calls to the platform's API that only the lease holder makes: usage reports, and orders for the
//! number of engines.
//!
//! The lease's token is the fence of each call. It is checked when the connection is ready and the call
//! is about to be written. A connection without a whole answer is reset when the time for the answer is
//! over or the token is lost, so that no part of a call arrives after those of the next holder.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use bytes::Bytes;
use corianderyoke_adapter::duties;
use corianderyoke_adapter::store;
use corianderyoke_adapter::store::Rows;
use corianderyoke_adapter::store::SingleRow;
use corianderyoke_adapter::store::StoreRow;
use corianderyoke_coord::serving::duties::Duty;
use corianderyoke_coord::serving::duties::Outcome;
use corianderyoke_coord::serving::usage::Counts;
use corianderyoke_coord::serving::usage::Step;
use corianderyoke_coord::serving::usage::WriteOutcome;
use corianderyoke_coord::time::Tick;
use corianderyoke_platform::Condition;
use corianderyoke_platform::Error;
use corianderyoke_platform::Transaction;
use corianderyoke_platform::Write;
use corianderyoke_util::clock;
use corianderyoke_util::events;
use corianderyoke_util::events::Event;
use http::header;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use tokio::net::lookup_host;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::metrics::DutyLabels;
use crate::pool;
use crate::state::Shared;
use crate::state::State;

/// Table of the rows of reports.
const TABLE: &str = "duties";
/// Prefix of the keys of usage reports; the window's number follows.
const USAGE_PREFIX: &str = "usage/";
/// Interval between two steps of the usage reports.
const STEP_INTERVAL: Duration = Duration::from_millis(100);
/// Longest wait for the pace before the lease is checked again.
const MAX_PACE_WAIT: Duration = Duration::from_millis(200);
/// Interval between two checks of the lease while a call is under way.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time limit of an order for a number of engines.
const ORDER_LIMIT: Duration = Duration::from_secs(2);
/// Time limit for finding the address of the API.
const LOOKUP_LIMIT: Duration = Duration::from_secs(1);
/// Largest body of an answer that is read.
const MAX_ANSWER_BYTES: usize = 65_536;
/// Calls have no identifier that their answers would echo, so each has a connection of its own.
const NO_ID: &str = "";

/// Orders a number of engines for a service in a zone, if this daemon holds the lease.
pub async fn order_engines(shared: &Shared, service: &str, zone: &str, desired: u32) -> Outcome {
    let body = duties::encode_scale(service, zone, desired);
    call(shared, Duty::Scaling, body.into(), ORDER_LIMIT).await
}

/// Makes a call once, under the token of the lease and as soon as the pace of all calls permits.
/// `limit` is the time for the answer. The outcome is [`Outcome::Unsent`] if this daemon doesn't hold
/// the lease or the API can't be reached.
pub async fn call(shared: &Shared, duty: Duty, body: Bytes, limit: Duration) -> Outcome {
    loop {
        let wait = {
            let (mut state, now) = (shared.state(), clock::now());
            let may_call = token(&state, now).is_some();
            shared.metrics.duty_holder.set(may_call.into());
            if !may_call {
                return Outcome::Unsent;
            }
            state.pace.take(duty, now)
        };
        let Some(wait) = wait else { break };
        sleep(wait.min(MAX_PACE_WAIT)).await;
    }
    let (outcome, fence) = send(shared, duty, body, limit).await;
    let now = clock::now();
    let mut state = shared.state();
    state.pace.record(outcome, now);
    if outcome == Outcome::Fenced {
        state.fenced_token = state.fenced_token.max(fence);
        if state.lease.token(now).is_some_and(|token| token <= fence) {
            state.lease.record_fenced();
        }
    }
    drop(state);
    let labels = DutyLabels { duty: duty_name(duty), outcome: outcome.name() };
    shared.metrics.duty_calls.get_or_create(&labels).inc();
    if matches!(outcome, Outcome::Fenced | Outcome::Limited) {
        events::log(
            Event::DutyRefused,
            format_args!("duty={} outcome={} fence={fence}", labels.duty, labels.outcome),
        );
    }
    outcome
}

/// Returns the fence for a call now, or `None` if this daemon may not call.
fn token(state: &State, now: Tick) -> Option<u64> {
    state.lease.token(now).filter(|token| *token > state.fenced_token)
}

fn duty_name(duty: Duty) -> &'static str {
    match duty {
        Duty::Usage => "usage",
        Duty::Scaling => "scaling",
    }
}

/// Sends a call once. Returns its outcome and fence.
async fn send(shared: &Shared, duty: Duty, body: Bytes, limit: Duration) -> (Outcome, u64) {
    let Some(host) = shared.settings.duties.host() else { return (Outcome::Unsent, 0) };
    let Some(address) = resolve(host).await else { return (Outcome::Unsent, 0) };
    let Ok(mut connection) = shared.pool.connection(host, address, NO_ID, true).await else {
        return (Outcome::Unsent, 0);
    };
    // The term may have ended while the connection was being established.
    let Some(fence) = token(&shared.state(), clock::now()) else { return (Outcome::Unsent, 0) };
    let Some(request) = build_request(host, &shared.settings.name, duty, fence, body) else {
        return (Outcome::Unsent, fence);
    };
    shared.metrics.duty_fence.set(i64::try_from(fence).unwrap_or(i64::MAX));
    let answer = timeout(limit, async {
        let response = match connection.send(request, NO_ID).await {
            Ok(response) => response,
            Err(pool::Error::Connect(..) | pool::Error::Unsent) => return Outcome::Unsent,
            Err(_) => return Outcome::Unanswered,
        };
        let (head, body) = response.into_parts();
        let outcome = duties::decode_status(head.status.as_u16());
        // The status tells the outcome; the body is read so that the connection needn't be reset.
        if Limited::new(body, MAX_ANSWER_BYTES).collect().await.is_ok() {
            shared.pool.release(host, connection, &head);
        }
        outcome
    });
    tokio::select! {
        outcome = answer => (outcome.unwrap_or(Outcome::Unanswered), fence),
        () = lease_lost(shared, fence) => (Outcome::Unanswered, fence),
    }
}

/// Waits until this daemon's fence is no longer this one. A call that is still under way, perhaps in
/// buffers of a link that is cut, is then given up before the next holder calls.
async fn lease_lost(shared: &Shared, fence: u64) {
    while token(&shared.state(), clock::now()) == Some(fence) {
        sleep(LEASE_CHECK_INTERVAL).await;
    }
}

async fn resolve(host: &str) -> Option<SocketAddr> {
    if let Ok(address) = host.parse() {
        return Some(address);
    }
    timeout(LOOKUP_LIMIT, lookup_host(host)).await.ok()?.ok()?.next()
}

fn build_request(
    host: &str,
    name: &str,
    duty: Duty,
    fence: u64,
    body: Bytes,
) -> Option<Request<Full<Bytes>>> {
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = http::Uri::from_static(duties::path(duty));
    let headers = request.headers_mut();
    headers.insert(header::HOST, HeaderValue::from_str(host).ok()?);
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(duties::CONTENT_TYPE));
    headers.insert(HeaderName::from_static(duties::HOLDER), HeaderValue::from_str(name).ok()?);
    headers.insert(HeaderName::from_static(duties::TOKEN), fence.into());
    Some(request)
}

/// Counts requests by the fleet's time, and reports the counts while this daemon holds the lease, until
/// the task is aborted.
pub async fn report_usage(shared: Arc<Shared>) {
    let mut accepted = None;
    shared.metrics.usage_age.set(-1);
    let (sender, mut receiver) = tokio::sync::mpsc::unbounded_channel();
    loop {
        sleep(STEP_INTERVAL).await;
        for step in next_steps(&shared, clock::now()) {
            let (shared, sender) = (Arc::clone(&shared), sender.clone());
            tokio::spawn(async move {
                if execute(&shared, step).await {
                    // The receiver lives as long as this task.
                    let _ = sender.send(clock::now());
                }
            });
        }
        while let Ok(at) = receiver.try_recv() {
            accepted = Some(at);
        }
        if let Some(at) = accepted {
            let age = clock::now().since(at).as_millis();
            shared.metrics.usage_age.set(i64::try_from(age).unwrap_or(i64::MAX));
        }
    }
}

/// Records the clocks and returns the steps that are due.
fn next_steps(shared: &Shared, now: Tick) -> Vec<Step> {
    let wall = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |span| span.as_millis());
    let reading = shared.store.clock();
    let mut guard = shared.state();
    let state = &mut *guard;
    let token = token(state, now);
    shared.metrics.duty_holder.set(token.is_some().into());
    let live: Vec<(String, u64)> = match token {
        Some(_) => {
            let live = state.roster.live(now);
            live.map(|daemon| (daemon.name.clone(), daemon.incarnation)).collect()
        }
        None => Vec::new(),
    };
    let teams: Vec<&String> = match (token, &state.desired) {
        (Some(_), Some(desired)) => desired.teams.iter().flat_map(|teams| teams.keys()).collect(),
        _ => Vec::new(),
    };
    // Teams without requests are reported with 0.
    let encode = |window: u64, counts: &Counts| {
        let mut all: Counts = teams.iter().map(|team| ((*team).clone(), 0)).collect();
        all.extend(counts.iter().map(|(team, count)| (team.clone(), *count)));
        duties::encode_usage(window, &all)
    };
    let Some(usage) = &mut state.usage else { return Vec::new() };
    if let Some((era, store_ms, received)) = reading {
        usage.record_clock(era, store_ms, received, now);
        usage.record_time(i64::try_from(wall).unwrap_or(i64::MAX), now);
    }
    usage.step(token, &live, encode, now)
}

/// Executes a step and records its outcome. Returns whether a report was accepted.
async fn execute(shared: &Shared, step: Step) -> bool {
    match step {
        Step::ReadRows => {
            let read = shared.store.rows(TABLE).await.ok().map(decode_rows);
            with_usage(shared, |usage, now| usage.record_rows(read, now));
        }
        Step::ReadRow(window) => {
            let read = shared.store.row(TABLE, &row_key(window)).await;
            let decode = |SingleRow { row, era, .. }| (era, row.and_then(decode_value));
            let read = read.ok().map(decode);
            with_usage(shared, |usage, now| usage.record_row(window, read, now));
        }
        Step::Write { window, body, era, obsolete } => {
            let outcome = write(shared, window, &body, era, &obsolete).await;
            with_usage(shared, |usage, now| {
                usage.record_write(window, &body, outcome, now);
                if matches!(outcome, WriteOutcome::Done(_)) {
                    usage.record_deleted(&obsolete);
                }
            });
        }
        Step::Send { window, body, limit } => {
            let outcome = call(shared, Duty::Usage, body.into(), limit).await;
            record_answer(shared, window, outcome);
            return outcome == Outcome::Accepted;
        }
        Step::LeaveAlone { window, cause, sum, age } => events::log(
            Event::UsageLeftAlone,
            format_args!(
                "window={window} cause={} sum={sum} age_ms={}",
                cause.name(),
                age.as_millis()
            ),
        ),
    }
    false
}

fn with_usage(
    shared: &Shared,
    record: impl FnOnce(&mut corianderyoke_coord::serving::usage::Usage, Tick),
) {
    if let Some(usage) = &mut shared.state().usage {
        record(usage, clock::now());
    }
}

fn record_answer(shared: &Shared, window: u64, outcome: Outcome) {
    let summary = {
        let mut state = shared.state();
        let usage = state.usage.as_mut();
        usage.and_then(|usage| usage.record_answer(window, outcome, clock::now()))
    };
    let Some(summary) = summary else { return };
    let is_accepted = outcome == Outcome::Accepted;
    let event = if is_accepted { Event::UsageReported } else { Event::UsageUncertain };
    let sum = summary.sum.map_or_else(|| "stored".to_owned(), |sum| sum.to_string());
    events::log(
        event,
        format_args!(
            "window={window} outcome={} sum={sum} heard={} age_ms={} attempts={}",
            outcome.name(),
            summary.heard,
            summary.age.as_millis(),
            summary.attempts
        ),
    );
}

fn row_key(window: u64) -> String {
    format!("{USAGE_PREFIX}{window}")
}

fn decode_value(row: StoreRow) -> Option<String> {
    String::from_utf8(row.value?).ok()
}

fn decode_rows(rows: Rows) -> (u64, Vec<(u64, String)>) {
    let reports = rows.rows.into_iter().filter_map(|row| {
        let window = row.key.strip_prefix(USAGE_PREFIX)?.parse().ok()?;
        Some((window, decode_value(row)?))
    });
    (rows.position.era, reports.collect())
}

/// Writes the row of a window unless it exists, and deletes obsolete ones.
async fn write(
    shared: &Shared,
    window: u64,
    body: &str,
    era: u64,
    obsolete: &[u64],
) -> WriteOutcome {
    let (table, key) = (TABLE.to_owned(), row_key(window));
    let put = Write::Put { table: table.clone(), key: key.clone(), value: body.to_owned() };
    let deletes =
        obsolete.iter().map(|window| Write::Delete { table: table.clone(), key: row_key(*window) });
    let transaction = Transaction {
        conditions: vec![Condition::Absent { table: table.clone(), key }],
        writes: [put].into_iter().chain(deletes).collect(),
    };
    // In another era the store may lack the row of a window that was reported.
    if shared.store.era() != era {
        return WriteOutcome::Unavailable;
    }
    match shared.store.transact(&transaction).await {
        Ok(store::Outcome::Done { position, .. }) => WriteOutcome::Done(position.era),
        Ok(store::Outcome::Refused(_)) => WriteOutcome::Exists,
        Err(Error::Unavailable(_)) => WriteOutcome::Unavailable,
        Err(_) => WriteOutcome::Unknown,
    }
}
