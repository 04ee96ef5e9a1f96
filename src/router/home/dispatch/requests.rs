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
use corianderyoke_wire::peer::enqueue_response::Outcome as Enqueued;
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::router::home::dispatch::demand::tell_placement;
use crate::router::home::dispatch::late;
use crate::router::home::dispatch::slot_key;
use crate::router::home::dispatch::started;
use crate::router::home::serves;
use crate::router::start::DISPATCH;
use crate::router::Router;
use crate::util::clock;

/// Time after a request's deadline at which its enqueue is abandoned.
const ANSWER_SLACK: Duration = Duration::from_millis(200);

/// Enqueues a request of member `from`. Responds once the request may start or is refused.
pub async fn enqueue(
    router: &Arc<Router>,
    from: &MemberId,
    wish: peer::EnqueueRequest,
) -> peer::EnqueueResponse {
    let outcome = wait_for(router, from, wish).await.unwrap_or(Enqueued::NotHome(true));
    peer::EnqueueResponse { outcome: Some(outcome) }
}

async fn wait_for(
    router: &Arc<Router>,
    from: &MemberId,
    wish: peer::EnqueueRequest,
) -> Option<Enqueued> {
    if !serves(router, Kind::Dispatch, DISPATCH) || !router.agent.view().contains(from) {
        return None;
    }
    let request = request(router, from, &wish);
    let told = {
        let mut state = router.homes.dispatch.state.lock();
        let state = state.as_mut()?;
        let key = request.key;
        match state.dispatcher.enqueue(request, clock::now()) {
            Decision::Start(start) => return Some(started(router, start)),
            Decision::Refuse(refusal) => {
                if refusal.reason == RefusalReason::Waking {
                    // Wake the model anyway, so that it is loaded when the caller retries.
                    tell_placement(router, wish.model, 1, 0);
                }
                return Some(late(refusal.retry_after, refusal.reason));
            }
            Decision::Queued => {
                let (tell, told) = oneshot::channel();
                state.waiting.insert(key, tell);
                told
            }
        }
    };
    router.homes.dispatch.wanted.notify_one();
    let limit = Duration::from_millis(wish.deadline_ms) + ANSWER_SLACK;
    timeout(limit, told).await.ok()?.ok()
}

fn request(router: &Router, from: &MemberId, wish: &peer::EnqueueRequest) -> Request {
    let names = &router.homes.names;
    Request {
        key: RequestKey { router: names.member(from), number: wish.number },
        model: names.models.key(&wish.model),
        adapter: (!wish.adapter.is_empty()).then(|| names.adapters.key(&wish.adapter)),
        team: names.teams.key(&wish.team),
        cost: wish.cost,
        deadline: Duration::from_millis(wish.deadline_ms),
        prefix: (wish.prefix != 0).then_some(wish.prefix),
        avoid: wish.avoid.iter().map(|name| names.upstreams.key(name)).collect(),
        retry: wish.retry,
    }
}

/// Releases a slot.
pub fn release(router: &Router, release: &peer::ReleaseRequest) {
    let span = |us: u64| (us > 0).then(|| Duration::from_micros(us));
    let outcome = match release.outcome() {
        peer::Outcome::Done => Outcome::Done,
        peer::Outcome::Failed => Outcome::Failed,
        peer::Outcome::Cancelled | peer::Outcome::Unspecified => Outcome::Cancelled,
    };
    let release = Release {
        slot: slot_key(release.slot.unwrap_or_default()),
        outcome,
        first_token: span(release.first_us),
        token_gap: span(release.gap_us),
        used_tokens: release.used,
    };
    let change = |dispatcher: &mut Dispatcher| dispatcher.release(&release, clock::now());
    router.homes.dispatch.with(router, change);
}

/// Cancels a request that is queued or has a slot.
pub fn cancel(router: &Router, from: &MemberId, number: u64) {
    let key = RequestKey { router: router.homes.names.member(from), number };
    router.homes.dispatch.with(router, |dispatcher| dispatcher.cancel(key, clock::now()));
}

/// Frees the slots of member `from` that its report doesn't list as held.
pub fn confirm(router: &Router, from: &MemberId, held: &[peer::SlotKey]) {
    let member = router.homes.names.member(from);
    let held: Vec<SlotKey> = held.iter().copied().map(slot_key).collect();
    let change =
        |dispatcher: &mut Dispatcher| dispatcher.reconcile_slots(member, &held, clock::now());
    router.homes.dispatch.with(router, change);
}
