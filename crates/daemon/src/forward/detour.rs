//! Forwards a call through another daemon while this one reaches no engine, or has no share of the
//! service's engines, which are brittle.
//!
//! The other daemon handles it like that of a caller: it charges the team, chooses the engine and
//! answers. This one passes on what it gets. A call takes one detour at most.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use corianderyoke_adapter::headers;
use corianderyoke_coord::serving::roster::Daemon;
use corianderyoke_util::clock;
use corianderyoke_util::events;
use corianderyoke_util::events::Event;
use futures::stream;
use http::header;
use http::response::Parts;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Body as _;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::task::JoinSet;
use tokio::time::timeout;

use crate::body;
use crate::body::Body;
use crate::body::Truncated;
use crate::call::Call;
use crate::connect;
use crate::forward::attempt::Attempts;
use crate::forward::caller_response;
use crate::forward::selection;
use crate::refusal::Refusal;

/// Most daemons that are asked for one call.
const MAX_DAEMONS: usize = 3;
/// Timeout of a connection attempt to another daemon.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time beyond the call's limit within which the other daemon's own refusal arrives.
const RESPONSE_MARGIN: Duration = Duration::from_millis(20);

/// Answer of another daemon whose body hasn't been read.
struct Answer {
    head: Parts,
    body: Incoming,
    /// Drives the connection; ends it when dropped.
    driver: JoinSet<()>,
}

/// Result of asking a daemon.
enum Asked {
    Answer(Box<Answer>),
    /// The daemon can't be reached, or reaches no engine either; nothing ran. Contains the cause for
    /// the log.
    Unable(String),
    /// The request was sent and may have run. Contains the cause for the log.
    Unknown(String),
}

/// Returns whether a call may take a detour: this daemon reaches no engine, and another one does.
pub fn is_open(call: &Call) -> bool {
    let state = call.shared.state();
    !call.is_detoured && state.reach.is_detached() && state.roster.ready(clock::now()).count() > 0
}

/// Forwards a call through other daemons. Returns the attempts if none of the daemons took the call.
pub async fn serve(mut attempts: Attempts) -> Result<Response<Body>, Box<Attempts>> {
    attempts.record_detour();
    for daemon in daemons(&attempts.call) {
        let call = &mut attempts.call;
        events::log(
            Event::Detoured,
            format_args!(
                "id={} through={daemon} left_ms={} detached={}",
                call.id,
                call.time_left().as_millis(),
                call.shared.state().reach.is_detached()
            ),
        );
        match ask(call, daemon).await {
            Asked::Answer(answer) => {
                // The other daemon charged the team.
                call.refund();
                // It knows nothing of the attempts here.
                if attempts.may_have_run() && is_refusal(answer.head.status) {
                    return Err(Box::new(attempts));
                }
                return Ok(pass_on(attempts.call, *answer));
            }
            Asked::Unable(cause) => log_failure(call, daemon, &cause),
            Asked::Unknown(cause) => {
                log_failure(call, daemon, &cause);
                call.refund();
                let is_late = call.time_left().is_zero();
                let refusal = if is_late { Refusal::TimedOut } else { Refusal::OutcomeUnknown };
                call.record().set_refusal(refusal);
                return Ok(refusal.response());
            }
        }
    }
    Err(Box::new(attempts))
}

/// Returns whether a status promises that the request didn't run.
fn is_refusal(status: StatusCode) -> bool {
    matches!(status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS)
}

fn log_failure(call: &Call, daemon: SocketAddr, cause: &str) {
    events::log(Event::DetourFailed, format_args!("id={} through={daemon} cause={cause}", call.id));
}

/// Returns the daemons to ask: those that share brittle engines, or else those of the own zone first.
/// Calls are spread over them.
fn daemons(call: &Call) -> Vec<SocketAddr> {
    let state = call.shared.state();
    let now = clock::now();
    let sharers = selection::sharers(call, &state, now);
    let rank = |daemon: &&Daemon| {
        let rank = sharers.iter().position(|name| *name == daemon.name);
        (rank.unwrap_or(usize::MAX), daemon.zone != call.shared.settings.zone)
    };
    let mut ready: Vec<&Daemon> = state.roster.ready(now).collect();
    let size = ready.len().max(1);
    ready.rotate_left(call.seed() as usize % size);
    ready.sort_by_cached_key(rank);
    if !state.reach.is_detached() {
        ready.retain(|daemon| sharers.contains(&daemon.name));
    }
    ready.into_iter().map(|daemon| daemon.callers).take(MAX_DAEMONS).collect()
}

async fn ask(call: &Call, daemon: SocketAddr) -> Asked {
    let stream = match connect::open(daemon, CONNECT_TIMEOUT).await {
        Ok(stream) => stream,
        Err(kind) => return Asked::Unable(format!("not connected: {kind}")),
    };
    let (mut sender, connection) = match http1::handshake(TokioIo::new(stream)).await {
        Ok(connected) => connected,
        Err(error) => return Asked::Unable(error.to_string()),
    };
    let mut driver = JoinSet::new();
    // Its end appears in the response.
    driver.spawn(async { drop(connection.await) });
    let limit = call.time_left() + RESPONSE_MARGIN;
    match timeout(limit, sender.send_request(request(call))).await {
        Ok(Ok(response)) => {
            let (head, body) = response.into_parts();
            // Daemons drop the header from what others answer.
            if is_refusal(head.status) && head.headers.contains_key(headers::UNABLE) {
                return Asked::Unable("it reaches no engine".to_owned());
            }
            Asked::Answer(Box::new(Answer { head, body, driver }))
        }
        Ok(Err(error)) if error.is_canceled() => Asked::Unable(error.to_string()),
        Ok(Err(error)) => Asked::Unknown(error.to_string()),
        Err(late) => Asked::Unknown(late.to_string()),
    }
}

/// Returns the request as the caller sent it, with the time that is left.
fn request(call: &Call) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.uri.clone();
    let fields = request.headers_mut();
    fields.clone_from(&call.headers);
    if let Some(key) = &call.key {
        fields.insert(header::AUTHORIZATION, key.clone());
    }
    let left = call.caller_deadline.since(clock::now());
    fields.insert(headers::DEADLINE, HeaderValue::from(left.as_millis() as u64));
    fields.insert(headers::DETOUR, HeaderValue::from_static("1"));
    request
}

/// Passes an answer on to the caller as it arrives.
fn pass_on(mut call: Call, answer: Answer) -> Response<Body> {
    let Answer { head, body, driver } = answer;
    call.record().set_response(head.status.as_u16(), "other_daemon");
    if head.status.is_success() {
        // Without it, this daemon would send requests to the engines itself.
        let rate = headers::decode_response(&head.headers).brittle;
        call.shared.state().brittleness.record(&call.service, rate, clock::now());
    }
    let is_empty = body.is_end_stream();
    if is_empty {
        return caller_response(head, body::full(Bytes::new()));
    }
    let frames = stream::unfold(Some((call, body, driver)), |rest| async {
        let (mut call, mut body, driver) = rest?;
        loop {
            match body.frame().await? {
                Ok(frame) => {
                    let Ok(bytes) = frame.into_data() else { continue };
                    call.record().record_chunk();
                    call.connection.record_progress(bytes.len());
                    return Some((Ok(Frame::data(bytes)), Some((call, body, driver))));
                }
                Err(_) => {
                    call.record().set_response(StatusCode::OK.as_u16(), "broken_off");
                    return Some((Err(Truncated), None));
                }
            }
        }
    });
    caller_response(head, body::streamed(frames))
}
