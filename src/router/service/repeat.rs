//! Sends calls that may be retried, and chooses the upstreams of a service.

use std::net::SocketAddr;
use std::sync::Arc;

use corianderyoke_coord::time::Tick;
use corianderyoke_upstream::service::Call;
use corianderyoke_upstream::Outcome as Sent;
use rand::seq::SliceRandom;

use crate::router::attempt::Attempt;
use crate::router::http::Answer;
use crate::router::open::Ticket;
use crate::router::refusal::Code;
use crate::router::refusal::Outcome;
use crate::router::refusal::Refusal;
use crate::router::refusal::Result;
use crate::router::service::cut_refusal;
use crate::router::service::whole;
use crate::router::service::OPEN_RETRY;
use crate::router::Router;
use crate::util::clock;

/// An upstream that runs a service, with its address.
#[derive(Clone, Debug)]
pub(super) struct Place {
    pub(super) upstream: String,
    pub(super) address: SocketAddr,
}

/// Upstreams of a service that accept work now, shuffled.
pub(super) fn places(router: &Router, name: &str) -> Vec<Place> {
    let Some(register) = router.agent.config() else {
        return Vec::new();
    };
    let Some(service) = register.services.get(name) else {
        return Vec::new();
    };
    let usable = register.upstreams_of(service).filter(|(name, _)| !router.agent.is_leaving(name));
    let places = usable.filter_map(|(name, upstream)| {
        let address = upstream.address.parse().ok()?;
        Some(Place { upstream: name.to_owned(), address })
    });
    let mut found: Vec<Place> = places.collect();
    found.shuffle(&mut rand::rng());
    found
}

/// Sends a call that may be retried to one upstream after another, until one answers.
pub(super) async fn repeatable(
    router: &Arc<Router>,
    name: &str,
    call: &Call,
    team: &str,
    ticket: &Ticket,
    deadline: Tick,
) -> Result<Answer> {
    let mut refusal = unreachable(name);
    for (number, place) in (1..).zip(places(router, name)) {
        router.may_act().map_err(|e| e.with_outcome(refusal.outcome))?;
        let timeout = deadline.since(clock::now());
        let id = format!("{}.{number}", call.id);
        let attempt = Attempt::begin(router, &call.id, &id, team, &place.upstream);
        let sent = Call { id, timeout, ..call.clone() };
        let answer = tokio::select! {
            answer = router.upstreams.call_once(place.address, sent) => answer,
            cut = ticket.cut() => return Err(cut_refusal(cut)),
        };
        attempt.end(ended(&answer));
        match answer {
            Ok(answer) => return Ok(whole(answer)),
            Err(e) if e.outcome == Sent::NotRun => {}
            Err(e) => {
                let message = format!("service `{name}` gave no whole answer: {e}");
                refusal =
                    Refusal::not_run(Code::UpstreamFailed, message).with_outcome(Outcome::Unknown);
            }
        }
    }
    Err(refusal)
}

/// Whether the call ran, as far as an attempt's result shows.
pub(super) fn ended(
    result: &corianderyoke_upstream::Result<corianderyoke_upstream::service::Answer>,
) -> Outcome {
    match result {
        Ok(_) => Outcome::Ran,
        Err(e) => e.outcome.into(),
    }
}

pub(super) fn unreachable(name: &str) -> Refusal {
    let message = format!("no instance of service `{name}` can be reached");
    Refusal::not_run(Code::Unavailable, message).with_retry(OPEN_RETRY)
}
