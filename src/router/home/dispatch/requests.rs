//! Answers the routers' requests: enqueue, release, cancel, and reports of held slots.

use std::sync::Arc;
use std::time::Duration;

use corianderyoke_coord::dispatch::Decision;
use corianderyoke_coord::dispatch::Dispatcher;
use corianderyoke_coord::dispatch::Outcome;
use corianderyoke_coord::dispatch::RefusalReason;
use corianderyoke_coord::dispatch::Release;
use corianderyoke_coord::dispatch::Request;
use corianderyoke_coord::dispatch::RequestKey;
use corianderyoke_coord::dispatch::SlotKey;
use corianderyoke_coord::membership::Kind;
use corianderyoke_coord::membership::MemberId;
use corianderyoke_wire::peer;
use corianderyoke_wire::peer::enqueue_response::Outcome as EnqueueOutcome;
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::router::home::dispatch::demand::send_demand;
use crate::router::home::dispatch::refusal_outcome;
use crate::router::home::dispatch::slot_key;
use crate::router::home::dispatch::start_outcome;
use crate::router::home::serves;
use crate::router::slots::CELL_RESOURCE;
use crate::router::Router;
use crate::util::clock;

/// Time after a request's deadline at which its enqueue is abandoned.
const ANSWER_SLACK: Duration = Duration::from_millis(200);

/// Enqueues a request of member `from`. Responds once the request may start or is refused.
pub async fn enqueue(
    router: &Arc<Router>,
    from: &MemberId,
    request: peer::EnqueueRequest,
) -> peer::EnqueueResponse {
    let outcome =
        enqueue_and_wait(router, from, request).await.unwrap_or(EnqueueOutcome::NotHome(true));
    peer::EnqueueResponse { outcome: Some(outcome) }
}

async fn enqueue_and_wait(
    router: &Arc<Router>,
    from: &MemberId,
    request: peer::EnqueueRequest,
) -> Option<EnqueueOutcome> {
    if !serves(router, Kind::Dispatch, CELL_RESOURCE) || !router.agent.view().contains(from) {
        return None;
    }
    let dispatch_request = request_from_wire(router, from, &request);
    let receiver = {
        let mut state = router.homes.dispatch.state.lock();
        let state = state.as_mut()?;
        let key = dispatch_request.key;
        match state.dispatcher.enqueue(dispatch_request, clock::now()) {
            Decision::Start(start) => return Some(start_outcome(router, start)),
            Decision::Refuse(refusal) => {
                if refusal.reason == RefusalReason::Waking {
                    // Wake the model anyway, so that it is loaded when the caller retries.
                    send_demand(router, request.model, 1, 0);
                }
                return Some(refusal_outcome(refusal.retry_after, refusal.reason));
            }
            Decision::Queued => {
                let (sender, receiver) = oneshot::channel();
                state.waiters.insert(key, sender);
                receiver
            }
        }
    };
    router.homes.dispatch.queued.notify_one();
    let max_wait = Duration::from_millis(request.deadline_ms) + ANSWER_SLACK;
    timeout(max_wait, receiver).await.ok()?.ok()
}

fn request_from_wire(router: &Router, from: &MemberId, request: &peer::EnqueueRequest) -> Request {
    let names = &router.homes.names;
    Request {
        key: RequestKey { router: names.member(from), number: request.number },
        model: names.models.key(&request.model),
        adapter: (!request.adapter.is_empty()).then(|| names.adapters.key(&request.adapter)),
        team: names.teams.key(&request.team),
        cost: request.cost,
        deadline: Duration::from_millis(request.deadline_ms),
        prefix: (request.prefix != 0).then_some(request.prefix),
        avoid: request.avoid.iter().map(|name| names.upstreams.key(name)).collect(),
        retry: request.retry,
    }
}

/// Releases a slot.
pub fn release(router: &Router, release: &peer::ReleaseRequest) {
    let duration = |us: u64| (us > 0).then(|| Duration::from_micros(us));
    let outcome = match release.outcome() {
        peer::Outcome::Done => Outcome::Done,
        peer::Outcome::Failed => Outcome::Failed,
        peer::Outcome::Cancelled | peer::Outcome::Unspecified => Outcome::Cancelled,
    };
    let release = Release {
        slot: slot_key(release.slot.unwrap_or_default()),
        outcome,
        first_token: duration(release.first_us),
        token_gap: duration(release.gap_us),
        used_tokens: release.used,
    };
    let command = |dispatcher: &mut Dispatcher| dispatcher.release(&release, clock::now());
    router.homes.dispatch.with(router, command);
}

/// Cancels a request that is queued or has a slot.
pub fn cancel(router: &Router, from: &MemberId, number: u64) {
    let key = RequestKey { router: router.homes.names.member(from), number };
    router.homes.dispatch.with(router, |dispatcher| dispatcher.cancel(key, clock::now()));
}

/// Frees the slots of member `from` that its report doesn't list as held.
pub fn reconcile_slots(router: &Router, from: &MemberId, held: &[peer::SlotKey]) {
    let member = router.homes.names.member(from);
    let held: Vec<SlotKey> = held.iter().copied().map(slot_key).collect();
    let command =
        |dispatcher: &mut Dispatcher| dispatcher.reconcile_slots(member, &held, clock::now());
    router.homes.dispatch.with(router, command);
}
