//! The callers' address: takes requests in and decides whether they go on.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use corianderyoke_adapter::headers;
use corianderyoke_adapter::headers::RequestHeaders;
use corianderyoke_coord::serving::choice;
use corianderyoke_coord::serving::desired::CallerLimits;
use corianderyoke_coord::serving::desired::Desired;
use corianderyoke_coord::serving::desired::Route;
use corianderyoke_coord::time::Tick;
use corianderyoke_util::clock;
use corianderyoke_util::events;
use corianderyoke_util::events::Event;
use http::header;
use http::HeaderValue;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
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
use crate::call;
use crate::call::Call;
use crate::call::Outgoing;
use crate::call::Record;
use crate::call::Routed;
use crate::forward;
use crate::refusal::Refusal;
use crate::state::Shared;
use crate::state::State;

/// Least buffer of a connection, in bytes; hyper takes no less than 8 KiB.
const LEAST_BUFFER: usize = 32 << 10;

/// Takes connections until the task is ended.
pub async fn run(listener: TcpListener, shared: Arc<Shared>) {
    loop {
        let stream = accept::next(&listener).await;
        tokio::spawn(connection(stream, Arc::clone(&shared)));
    }
}

async fn connection(stream: TcpStream, shared: Arc<Shared>) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let limits = limits(&shared.state());
    let service = service_fn(move |request| handle(Arc::clone(&shared), request));
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        // Also the time for which a kept connection may stay idle.
        .header_read_timeout(limits.idle)
        .max_buf_size(limits.head_bytes.max(LEAST_BUFFER))
        .serve_connection(TokioIo::new(stream), service);
    // How a connection ended shows in the records of its requests.
    drop(served.await);
}

fn limits(state: &State) -> CallerLimits {
    state.desired.as_ref().map_or_else(CallerLimits::default, |desired| desired.callers)
}

async fn handle(
    shared: Arc<Shared>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    let facts = headers::decode_request(request.headers());
    let mut record = Record::begin(&shared, &facts.id);
    let mut response = match admit(&shared, &facts, request).await {
        Ok((routed, out)) => {
            let call = Call::new(&shared, record, facts, routed, out);
            forward::serve(call).await
        }
        Err(refusal) => {
            record.refuse(refusal);
            refusal.response()
        }
    };
    if shared.state().leaving {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}

/// Routes a request, reads its body and takes its tokens, or refuses it.
async fn admit(
    shared: &Arc<Shared>,
    facts: &RequestHeaders,
    request: Request<Incoming>,
) -> Result<(Routed, Outgoing), Refusal> {
    let arrived = clock::now();
    let (desired, route, team) = route(shared, facts, &request)?;
    let service = route.service(call::seed(&facts.id)).ok_or(Refusal::NoRoute)?.to_owned();
    let (head, body) = request.into_parts();
    let patience = facts.timeout.unwrap_or(route.timeout).min(route.timeout);
    let body = read(body, desired.callers.body_bytes, patience).await?;
    let charged = charge(shared, facts, &desired, team.as_deref(), arrived)?;
    count(shared, facts, &service, arrived);
    let out = Outgoing { method: head.method, uri: head.uri, headers: head.headers, body };
    Ok((Routed { desired, route, service, team, charged }, out))
}

fn route(
    shared: &Shared,
    facts: &RequestHeaders,
    request: &Request<Incoming>,
) -> Result<(Arc<Desired>, Route, Option<String>), Refusal> {
    let desired = {
        let state = shared.state();
        if state.closed {
            return Err(Refusal::Stopping);
        }
        state.desired.clone().ok_or(Refusal::NoState)?
    };
    let host = request.headers().get(header::HOST).and_then(|value| value.to_str().ok());
    let host = host.unwrap_or_default();
    let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
    let route = desired.route(host, request.uri().path()).ok_or(Refusal::NoRoute)?.clone();
    let holder = facts.key.as_deref().and_then(|key| desired.team_for_key(key)).map(str::to_owned);
    let needs_key = desired.teams.is_some() && !route.public;
    if needs_key && holder.is_none() {
        return Err(Refusal::UnknownKey);
    }
    Ok((desired, route, holder))
}

async fn read(body: Incoming, most: usize, patience: Duration) -> Result<Bytes, Refusal> {
    match timeout(patience, Limited::new(body, most).collect()).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Refusal::TooLarge),
        Ok(Err(_)) => Err(Refusal::BodyBroken),
        Err(_) => Err(Refusal::NotInTime),
    }
}

/// Takes a request's tokens from its team's cap; gives how many.
fn charge(
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
    let tokens = facts.need.as_ref().map_or(team.plain_tokens, |need| need.prompt + need.output);
    let mut state = shared.state();
    let share = state.roster.live_fraction(now);
    let Some(bucket) = state.caps.get_mut(name) else { return Ok(0) };
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
        return Err(Refusal::OverCap(wait));
    }
    if bucket.is_low() {
        shared.urgent.notify_one();
    }
    Ok(tokens)
}

/// Counts a request for the retry budget and for the demand of its model.
fn count(shared: &Shared, facts: &RequestHeaders, service: &str, now: Tick) {
    let mut state = shared.state();
    state.retry_budget(shared, service).admit();
    if let Some(model) = &facts.model {
        let model = state.engines.names.models.intern(model);
        let count = state.models.entry(model).or_default();
        let tokens = facts.need.as_ref().map_or(0, choice::unshared_tokens);
        count.asked.record(1, tokens, now);
        count.at = now;
        state.planner.record_arrivals(model, 1, tokens, now);
    }
}
