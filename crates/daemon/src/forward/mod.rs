//! Forwards a request to an engine and retries on other engines if the route permits it.

mod attempt;
mod detour;
mod observe;
mod relay;
mod selection;
mod turn;
mod wait;

use std::sync::Arc;

use bytes::Bytes;
use corianderyoke_adapter::headers;
use corianderyoke_util::memory;
use corianderyoke_util::memory::Connection;
use http::response::Parts;
use http::Response;
use http_body_util::BodyExt;
use hyper::body::Body as _;

use crate::body;
use crate::body::Body;
use crate::body::BodyError;
use crate::call::Call;
use crate::forward::attempt::Attempts;
use crate::forward::attempt::EngineResponse;
pub use crate::forward::selection::Target;
use crate::meter::MeteredBody;
use crate::origins;
use crate::quarantine;
use crate::refusal::Refusal;

/// Largest response that is buffered until it is complete.
const MAX_BUFFERED_BYTES: usize = 4 << 20;

/// Serves a call with an engine's response or a refusal.
pub async fn serve(call: Call) -> Response<Body> {
    let mut attempts = Attempts::new(call);
    if attempts.may_detour() {
        match detour::serve(attempts).await {
            Ok(response) => return response,
            Err(returned) => attempts = *returned,
        }
    }
    if let Err(refusal) = origins::resolve(&mut attempts.call).await {
        return finish(attempts, CallEnd::Refused(refusal));
    }
    loop {
        let response = match attempts.next().await {
            Ok(response) => response,
            Err(CallEnd::Detour) => match detour::serve(attempts).await {
                Ok(response) => return response,
                Err(returned) => {
                    attempts = *returned;
                    continue;
                }
            },
            Err(end) => return finish(attempts, end),
        };
        if response.head.status.is_success() && attempts.call.route.repeat.is_stream() {
            match relay::begin(attempts, response).await {
                relay::StreamStart::Stream(response) => return response,
                relay::StreamStart::Failed(returned) => attempts = *returned,
            }
            continue;
        }
        attempts.count_run();
        if let Some(complete) = collect(&mut attempts, response).await {
            return complete;
        }
    }
}

/// End of a call that received no complete successful response of an engine.
#[derive(Debug)]
pub enum CallEnd {
    /// The daemon refuses the call itself.
    Refused(Refusal),
    /// This daemon reaches no engine, or has no share of brittle ones, and another one may serve the
    /// call.
    Detour,
    /// The caller receives the server error that an engine returned.
    Failed(Box<(Parts, Bytes)>),
}

fn finish(mut attempts: Attempts, end: CallEnd) -> Response<Body> {
    match end {
        CallEnd::Detour => finish(attempts, CallEnd::Refused(Refusal::Detached)),
        CallEnd::Refused(refusal) => {
            if refusal.did_not_run() {
                attempts.call.refund();
            }
            attempts.call.record().set_refusal(refusal);
            refusal.response()
        }
        CallEnd::Failed(failure) => {
            let (head, bytes) = *failure;
            attempts.call.record().set_response(head.status.as_u16(), "engine_failure");
            caller_response(head, body::full(bytes))
        }
    }
}

/// Reads a response to its end. Returns `None` if it was incomplete or another attempt is due.
async fn collect(attempts: &mut Attempts, response: EngineResponse) -> Option<Response<Body>> {
    let EngineResponse { head, body: incoming, connection, target, guard } = response;
    let caller = Arc::clone(&attempts.call.connection);
    let result = attempts.wait_for_response(buffer(&caller, incoming), &target).await;
    drop(guard);
    let bytes = match result {
        Some(Ok(bytes)) => bytes,
        Some(Err(BodyError::Buffer(memory::Error::NoMemory))) => {
            // The engine isn't at fault, and the request may have run.
            attempts.call.record().set_refusal(Refusal::OutcomeUnknown);
            return Some(Refusal::OutcomeUnknown.response());
        }
        Some(Err(_)) if connection.is_flooded() => {
            attempts.record_broken(&target, "flooded");
            return None;
        }
        Some(Err(_)) => {
            attempts.record_cut(&target, "body_broken");
            return None;
        }
        None => {
            attempts.record_broken(&target, "body_late");
            return None;
        }
    };
    attempts.call.shared.pool.release(&target.id, connection, &head);
    attempts.call.shared.state().engines.record_success(target.key);
    quarantine::record_served(&attempts.call, &head.headers);
    let status = head.status;
    if status.is_success() {
        observe::record_complete(attempts, &target);
    }
    if status.is_server_error() && attempts.try_fail_over(&target, &head, &bytes) {
        return None;
    }
    attempts.call.record().record_chunk();
    attempts.call.record().set_response(status.as_u16(), "engine");
    Some(caller_response(head, body::full(bytes)))
}

/// Reads a body into a buffer that is charged to the caller's connection.
async fn buffer(caller: &Connection, mut body: MeteredBody) -> Result<Bytes, BodyError> {
    let length = body.size_hint().exact();
    let mut buffer = caller.answer_buffer(length, MAX_BUFFERED_BYTES).await?;
    while let Some(frame) = body.frame().await {
        let Ok(piece) = frame?.into_data() else { continue };
        buffer.extend(&piece).await?;
    }
    Ok(buffer.into_bytes())
}

/// Builds the caller's response from an engine's head, without hop-by-hop headers.
fn caller_response(head: Parts, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = headers::end_to_end(&head.headers);
    response
}
