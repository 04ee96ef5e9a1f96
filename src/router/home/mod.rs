//! What this router is the home of: team buckets and the cell's dispatch queues.
//!
//! [`tokens`] and [`dispatch`] answer the routers' asks. [`takeover`] starts a home here once the
//! membership says that it may serve: every member stops the home before and reports its account,
//! and only then is anything granted. Each grant is preceded by a check of the member's term.
//!
//! Lock order: `tokens` before `dispatch` before the arenas; none is held over an await.

pub mod dispatch;
pub mod names;
pub mod takeover;
pub mod tokens;

use std::sync::Arc;

use corianderyoke_coord::membership::HomeState;
use corianderyoke_coord::membership::Kind;
use corianderyoke_coord::membership::MemberId;
use corianderyoke_wire::peer;
use corianderyoke_wire::peer::request::Body as Call;
use corianderyoke_wire::peer::response::Body as Answer;

use self::dispatch::Dispatch;
use self::names::Names;
use self::tokens::Tokens;
use crate::router::Router;

/// The homes at this router.
#[derive(Default)]
pub struct Homes {
    /// Team buckets.
    pub tokens: Tokens,
    /// Dispatch queues.
    pub dispatch: Dispatch,
    /// Arenas of names.
    pub names: Names,
}

/// Answers one call of member `from`; `None` for calls that aren't for a router.
pub async fn answer(router: &Arc<Router>, from: &MemberId, call: Call) -> Option<Answer> {
    match call {
        Call::Tokens(ask) => Some(Answer::Tokens(tokens::answer(router, from, &ask))),
        Call::Enqueue(wish) => Some(Answer::Enqueue(dispatch::enqueue(router, from, wish).await)),
        Call::Release(release) => {
            dispatch::release(router, &release);
            Some(Answer::Release(peer::ReleaseResponse {}))
        }
        Call::Cancel(cancel) => {
            dispatch::cancel(router, from, cancel.number);
            Some(Answer::Release(peer::ReleaseResponse {}))
        }
        Call::Hold(held) => {
            dispatch::confirm(router, from, &held.slots);
            Some(Answer::Release(peer::ReleaseResponse {}))
        }
        Call::Takeover(ask) => Some(Answer::Takeover(takeover::answer(router, &ask))),
        Call::Replicas(replicas) => {
            dispatch::replicas(router, replicas);
            Some(Answer::Replicas(peer::ReplicasResponse {}))
        }
        _ => None,
    }
}

/// Whether this router may serve as the home of a thing now: it is the home in a settled view and
/// its term is live.
pub fn serves(router: &Router, kind: Kind, name: &str) -> bool {
    router.agent.may_act() && router.agent.home_state(kind, name) == HomeState::Serving
}
