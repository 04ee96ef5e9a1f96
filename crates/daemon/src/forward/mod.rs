//! Sends a request to an engine, and once more elsewhere where that is allowed.

mod attempt;
mod pick;
mod relay;
mod wait;

use bytes::Bytes;
use corianderyoke_adapter::headers;
use http::response::Parts;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Limited;

use crate::body;
use crate::body::Body;
use crate::call::Call;
use crate::forward::attempt::Attempts;
use crate::forward::attempt::Live;
use crate::refusal::Refusal;

/// Largest answer that is held until it is whole, in bytes.
const MOST_HELD: usize = 4 << 20;

/// Serves a call: an engine's whole answer, or a refusal.
pub async fn serve(call: Call) -> Response<Body> {
    let mut attempts = Attempts::new(call);
    loop {
        let live = match attempts.next().await {
            Ok(live) => live,
            Err(end) => return finish(attempts, end),
        };
        if live.head.status.is_success() && attempts.call.route.repeat.is_stream() {
            match relay::begin(attempts, live).await {
                relay::Begun::Stream(response) => return response,
                relay::Begun::Failed(back) => attempts = *back,
            }
            continue;
        }
        if let Some(response) = whole(&mut attempts, live).await {
            return response;
        }
    }
}

/// How a call ends without a whole answer of an engine.
#[derive(Debug)]
pub enum End {
    /// With an answer of ours.
    Refused(Refusal),
    /// With an engine's own failure.
    Failed(Box<(Parts, Bytes)>),
}

fn finish(mut attempts: Attempts, end: End) -> Response<Body> {
    match end {
        End::Refused(refusal) => {
            if refusal.is_unrun() {
                attempts.call.refund();
            }
            attempts.call.record().refuse(refusal);
            refusal.response()
        }
        End::Failed(answer) => {
            let (head, bytes) = *answer;
            attempts.call.record().answer(head.status.as_u16(), "engine_failure");
            response(head, body::whole(bytes))
        }
    }
}

/// Reads an answer to its end; `None` where it wasn't whole or is worth another attempt.
async fn whole(attempts: &mut Attempts, live: Live) -> Option<Response<Body>> {
    let Live { head, body: incoming, lane, target, guard } = live;
    let read = attempts.answered(Limited::new(incoming, MOST_HELD).collect(), &target).await;
    drop(guard);
    let bytes = match read {
        Some(Ok(collected)) => collected.to_bytes(),
        Some(Err(_)) => {
            attempts.broke(&target, "body_broken");
            return None;
        }
        None => {
            attempts.broke(&target, "body_late");
            return None;
        }
    };
    attempts.call.shared.pool.give_back(&target.id, lane, &head.headers);
    attempts.call.shared.state().engines.record_success(target.key);
    let status = head.status;
    if status.is_server_error() && attempts.fails_over(&target, &head, &bytes) {
        return None;
    }
    attempts.call.record().piece();
    attempts.call.record().answer(status.as_u16(), "engine");
    Some(response(head, body::whole(bytes)))
}

/// An engine's answer as the caller gets it.
fn response(head: Parts, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = headers::end_to_end(&head.headers);
    response
}
