//! Resources whose home is this router: team buckets and the cell's dispatch queues.
//!
//! [`tokens`] and [`dispatch`] answer the routers' requests. [`takeover`] starts a home here once
//! the membership lets it serve: each member stops the previous home and reports its state, and
//! only then does the new home grant anything. Before each grant, the home checks its lease.
//!
//! Lock order: `tokens` before `dispatch` before the arenas. No lock is held across an await.

pub mod dispatch;
pub mod names;
pub mod takeover;
pub mod tokens;

use std::sync::Arc;

use corianderyoke_coord::membership::HomeState;
use corianderyoke_coord::membership::Kind;
use corianderyoke_coord::membership::MemberId;
use corianderyoke_wire::peer;
use corianderyoke_wire::peer::request::Body as PeerRequest;
use corianderyoke_wire::peer::response::Body as PeerResponse;

use self::dispatch::Dispatch;
use self::names::Names;
use self::tokens::Tokens;
use crate::router::Router;

/// State of the homes at this router.
#[derive(Default)]
pub struct Homes {
    /// Token buckets of teams.
    pub tokens: Tokens,
    /// Dispatch queues of the cell.
    pub dispatch: Dispatch,
    /// Interned names, shared by the homes.
    pub names: Names,
}

/// Answers a request of member `from`; `None` for requests that a router doesn't serve.
pub async fn answer(
    router: &Arc<Router>,
    from: &MemberId,
    request: PeerRequest,
) -> Option<PeerResponse> {
    match request {
        PeerRequest::Tokens(request) => {
            Some(PeerResponse::Tokens(tokens::answer(router, from, &request)))
        }
        PeerRequest::Enqueue(request) => {
            Some(PeerResponse::Enqueue(dispatch::enqueue(router, from, request).await))
        }
        PeerRequest::Release(release) => {
            dispatch::release(router, &release);
            Some(PeerResponse::Release(peer::ReleaseResponse {}))
        }
        PeerRequest::Cancel(cancel) => {
            dispatch::cancel(router, from, cancel.number);
            Some(PeerResponse::Release(peer::ReleaseResponse {}))
        }
        PeerRequest::Hold(report) => {
            dispatch::reconcile_slots(router, from, &report.slots);
            Some(PeerResponse::Release(peer::ReleaseResponse {}))
        }
        PeerRequest::Takeover(request) => {
            Some(PeerResponse::Takeover(takeover::answer(router, &request)))
        }
        PeerRequest::Replicas(list) => {
            dispatch::set_replicas(router, list);
            Some(PeerResponse::Replicas(peer::ReplicasResponse {}))
        }
        _ => None,
    }
}

/// Whether this router may now serve as the home of a resource: it is the home in a settled view,
/// and its lease hasn't expired.
pub fn serves(router: &Router, kind: Kind, name: &str) -> bool {
    router.agent.may_act() && router.agent.home_state(kind, name) == HomeState::Serving
}
