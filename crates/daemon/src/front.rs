//! Accepts callers' connections, routes and admits their requests and hands them to the forwarder.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use corianderyoke_adapter::headers;
use corianderyoke_adapter::headers::RequestHeaders;
use corianderyoke_coord::memory::Phase;
use corianderyoke_coord::serving::choice;
use corianderyoke_coord::serving::choice::Need;
use corianderyoke_coord::serving::desired::CallerLimits;
use corianderyoke_coord::serving::desired::Desired;
use corianderyoke_coord::serving::desired::Route;
use corianderyoke_coord::time::Tick;
use corianderyoke_util::clock;
use corianderyoke_util::events;
use corianderyoke_util::events::Event;
use corianderyoke_util::memory;
use corianderyoke_util::memory::Connection;
use corianderyoke_util::memory::Memory;
use http::header;
use http::HeaderValue;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use hyper::body::Body as _;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::accept;
use crate::body::Body;
use crate::body::BodyError;
use crate::call;
use crate::call::Call;
use crate::call::Caller;
use crate::call::OutgoingRequest;
use crate::call::RequestRecord;
use crate::call::RoutingDecision;
use crate::forward;
use crate::quarantine;
use crate::refusal::Refusal;
use crate::state::Shared;
use crate::state::State;

/// Most bytes of a refused body that are read and dropped.
const MAX_DISCARDED_BYTES: usize = 8 << 20;
/// Longest time for which a refused body is read and dropped.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);
/// Least buffer of a connection. hyper accepts no less than 8 KiB.
const MIN_BUFFER_BYTES: usize = 32 << 10;

/// Accepts connections until the task is aborted.
pub async fn run(listener: TcpListener, shared: Arc<Shared>) {
    loop {
        let (stream, connection) = accept::next(&listener, &shared.memory).await;
        tokio::spawn(serve_connection(stream, connection, Arc::clone(&shared)));
    }
}

async fn serve_connection(stream: TcpStream, connection: Arc<Connection>, shared: Arc<Shared>) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let limits = caller_limits(&shared.state());
    let held = Arc::clone(&connection);
    let service =
        service_fn(move |request| handle(Arc::clone(&shared), Arc::clone(&held), request));
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        // Also limits how long a keep-alive connection may stay idle.
        .header_read_timeout(limits.idle)
        .max_buf_size(limits.head_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        // Errors of the connection appear in the records of its requests.
        _ = served => {}
        () = connection.closed() => {}
    }
}

fn caller_limits(state: &State) -> CallerLimits {
    state.desired.as_ref().map_or_else(CallerLimits::default, |desired| desired.callers)
}

async fn handle(
    shared: Arc<Shared>,
    connection: Arc<Connection>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    let facts = headers::decode_request(request.headers());
    let mut record = RequestRecord::begin(&shared, &facts.id);
    let charge = connection.begin_request().await;
    let admitted = match &charge {
        Ok(_) => admit(&shared, &facts, &connection, request).await,
        Err(_) => Err(Refusal::NoMemory(shared.memory.retry_delay())),
    };
    drop(charge);
    let mut response = match admitted {
        Ok((routed, outgoing)) => {
            connection.enter(Phase::Running);
            let call = Call::new(&shared, record, facts, routed, outgoing);
            tokio::select! {
                response = forward::serve(call) => response,
                // Requests that can't have run have been refused before.
                () = shared.exiting() => Refusal::OutcomeUnknown.response(),
            }
        }
        Err(refusal) => {
            record.set_refusal(refusal);
            refusal.response()
        }
    };
    let is_complete = response.body().size_hint().exact().is_some();
    connection.enter(if is_complete { Phase::Writing } else { Phase::Streaming });
    if shared.state().leaving {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}

/// Routes a request, reads its body and charges its tokens, or refuses it.
async fn admit(
    shared: &Arc<Shared>,
    facts: &RequestHeaders,
    connection: &Arc<Connection>,
    request: Request<Incoming>,
) -> Result<(RoutingDecision, OutgoingRequest), Refusal> {
    let arrived = clock::now();
    let routed = route_request(shared, facts, &request).and_then(|(desired, route, team)| {
        let service = route.service(call::seed(&facts.id)).ok_or(Refusal::NoRoute)?.to_owned();
        Ok((desired, route, team, service))
    });
    let (head, body) = request.into_parts();
    let (desired, route, team, service) = match routed {
        Ok(routed) => routed,
        Err(refusal) => {
            discard(&shared.memory, body).await;
            return Err(refusal);
        }
    };
    let time_limit = facts.timeout.unwrap_or(route.timeout).min(route.timeout);
    if shared.state().may_outlast(arrived + time_limit) {
        discard(&shared.memory, body).await;
        return Err(Refusal::Stopping);
    }
    let body = tokio::select! {
        biased;
        body = read_body(connection, body, desired.callers.body_bytes, time_limit) => body?,
        // It hasn't been sent to an engine.
        () = connection.ended() => return Err(Refusal::NoMemory(shared.memory.retry_delay())),
    };
    let caller = Caller { team: team.as_deref(), host: call::host(&head.headers) };
    let identity = || call::identify(caller, &head.method, &head.uri, &body);
    quarantine::admit(shared, facts, identity, arrived)?;
    let charged_tokens = charge_tokens(shared, facts, &desired, team.as_deref(), arrived)?;
    count_request(shared, facts, &route, &service, arrived);
    let outgoing = OutgoingRequest {
        method: head.method,
        uri: head.uri,
        headers: head.headers,
        body,
        connection: Arc::clone(connection),
    };
    Ok((RoutingDecision { desired, route, service, team, charged_tokens }, outgoing))
}

/// Finds the route of a request and the team of its API key.
fn route_request(
    shared: &Shared,
    facts: &RequestHeaders,
    request: &Request<Incoming>,
) -> Result<(Arc<Desired>, Route, Option<String>), Refusal> {
    let desired = {
        let state = shared.state();
        if state.closed {
            return Err(Refusal::Stopping);
        }
        state.desired_in_force().cloned().ok_or(Refusal::NotConfigured)?
    };
    let host = request.headers().get(header::HOST).and_then(|value| value.to_str().ok());
    let host = host.unwrap_or_default();
    let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
    let route = desired.route(host, request.uri().path()).ok_or(Refusal::NoRoute)?.clone();
    let team = facts.key.as_deref().and_then(|key| desired.team_for_key(key)).map(str::to_owned);
    let needs_key = desired.teams.is_some() && !route.public;
    if needs_key && team.is_none() {
        return Err(Refusal::UnknownKey);
    }
    Ok((desired, route, team))
}

async fn read_body(
    connection: &Connection,
    mut body: Incoming,
    max_bytes: usize,
    time_limit: Duration,
) -> Result<Bytes, Refusal> {
    let length = body.size_hint().exact();
    let is_too_large = length.is_some_and(|length| length > max_bytes as u64);
    let mut buffer = connection.body_buffer(length, max_bytes);
    let reading = async {
        if is_too_large {
            return Err(memory::Error::TooLarge.into());
        }
        while let Some(frame) = body.frame().await {
            let Ok(piece) = frame?.into_data() else { continue };
            connection.record_progress(piece.len());
            buffer.extend(&piece).await?;
        }
        Ok(())
    };
    match timeout(time_limit, reading).await {
        Ok(Ok(())) => Ok(buffer.into_bytes()),
        Ok(Err(BodyError::Buffer(memory::Error::TooLarge))) => {
            drop(buffer);
            discard(connection.memory(), body).await;
            Err(Refusal::TooLarge)
        }
        Ok(Err(BodyError::Buffer(memory::Error::NoMemory))) => {
            Err(Refusal::NoMemory(connection.memory().retry_delay()))
        }
        Ok(Err(BodyError::Broken(_))) => Err(Refusal::IncompleteBody),
        Err(_) => Err(Refusal::NotStarted),
    }
}

/// Reads and drops the rest of a refused body, unless too many are being read. A connection that is
/// closed with unread data is reset, and the caller may then lose the refusal.
async fn discard(memory: &Arc<Memory>, mut body: Incoming) {
    if body.is_end_stream() {
        return;
    }
    let Some(discard) = memory.begin_discard() else { return };
    let discarding = async {
        let mut left = MAX_DISCARDED_BYTES;
        while let Some(Ok(frame)) = body.frame().await {
            let length = frame.data_ref().map_or(0, Bytes::len);
            left = left.saturating_sub(length);
            if left == 0 || !discard.count(length) {
                return;
            }
        }
    };
    // The body is refused in any case, so running out of time has no consequence.
    let _ = timeout(DISCARD_TIMEOUT, discarding).await;
}

/// Charges a request's tokens to its team's rate limit. Returns how many.
fn charge_tokens(
    shared: &Shared,
    facts: &RequestHeaders,
    desired: &Desired,
    team: Option<&str>,
    now: Tick,
) -> Result<u64, Refusal> {
    let Some((name, team)) = team.and_then(|name| Some((name, desired.team(name)?))) else {
        return Ok(0);
    };
    if team.cap.is_none() {
        return Ok(0);
    }
    let tokens = facts.need.as_ref().map_or(team.plain_tokens, Need::total);
    let mut state = shared.state();
    let share = state.roster.live_fraction(now);
    let Some(bucket) = state.team_buckets.get_mut(name) else { return Ok(0) };
    if let Err(wait) = bucket.admit(tokens, share, now) {
        let level = bucket.level(share, now);
        events::log(
            Event::CapReached,
            format_args!(
                "id={} team={name} tokens={tokens} level={level} share={share:.2} wait_ms={}",
                facts.id,
                wait.as_millis()
            ),
        );
        return Err(Refusal::RateLimited(wait));
    }
    if bucket.is_low() {
        shared.report_soon(&mut state);
    }
    Ok(tokens)
}

/// Adds a request to the retry budget of its service and to the demand of its model.
fn count_request(shared: &Shared, facts: &RequestHeaders, route: &Route, service: &str, now: Tick) {
    let mut state = shared.state();
    if let Some(budget) = state.retry_budget(shared, service) {
        budget.admit();
    }
    if let Some(model) = &facts.model {
        let model = state.engines.names.models.intern(model);
        let requests = state.model_requests.entry(model).or_default();
        let tokens = facts.need.as_ref().map_or(0, choice::unshared_tokens);
        requests.rate.record(route.latency_target, tokens, now);
        requests.changed = now;
        state.planner.record_arrival(model, route.latency_target, tokens, now);
    }
}
