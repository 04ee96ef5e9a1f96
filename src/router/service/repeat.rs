//! Sends calls that may be retried, and chooses the upstreams of a service.

use std::net::SocketAddr;
use std::sync::Arc;

use corianderyoke_coord::time::Tick;
use corianderyoke_upstream::service::Call;
use corianderyoke_upstream::Outcome as UpstreamOutcome;
use rand::seq::SliceRandom;

use crate::router::attempt::AttemptRecord;
use crate::router::http::Answer;
use crate::router::open::Ticket;
use crate::router::refusal::Code;
use crate::router::refusal::Outcome;
use crate::router::refusal::Refusal;
use crate::router::refusal::Result;
use crate::router::service::abort_refusal;
use crate::router::service::complete_answer;
use crate::router::service::RETRY_DELAY;
use crate::router::Router;
use crate::util::clock;

/// An upstream that runs a service, with its address.
#[derive(Clone, Debug)]
pub(super) struct Candidate {
    pub(super) upstream: String,
    pub(super) address: SocketAddr,
}

/// Upstreams of a service that accept work now, shuffled.
pub(super) fn candidates(router: &Router, name: &str) -> Vec<Candidate> {
    let Some(register) = router.agent.config() else {
        return Vec::new();
    };
    let Some(service) = register.services.get(name) else {
        return Vec::new();
    };
    let usable = register.upstreams_of(service).filter(|(name, _)| !router.agent.is_leaving(name));
    let candidates = usable.filter_map(|(name, upstream)| {
        let address = upstream.address.parse().ok()?;
        Some(Candidate { upstream: name.to_owned(), address })
    });
    let mut shuffled: Vec<Candidate> = candidates.collect();
    shuffled.shuffle(&mut rand::rng());
    shuffled
}

/// Sends a call that may be retried to one upstream after another, until one answers.
pub(super) async fn call_with_retries(
    router: &Arc<Router>,
    name: &str,
    call: &Call,
    team: &str,
    ticket: &Ticket,
    deadline: Tick,
) -> Result<Answer> {
    let mut refusal = unreachable(name);
    for (number, candidate) in (1..).zip(candidates(router, name)) {
        router.may_act().map_err(|e| e.with_outcome(refusal.outcome))?;
        let timeout = deadline.since(clock::now());
        let id = format!("{}.{number}", call.id);
        let attempt = AttemptRecord::start(router, &call.id, &id, team, &candidate.upstream);
        let attempt_call = Call { id, timeout, ..call.clone() };
        let answer = tokio::select! {
            answer = router.upstreams.call_once(candidate.address, attempt_call) => answer,
            reason = ticket.aborted() => return Err(abort_refusal(reason)),
        };
        attempt.end(attempt_outcome(&answer));
        match answer {
            Ok(answer) => return Ok(complete_answer(answer)),
            Err(e) if e.outcome == UpstreamOutcome::NotRun => {}
            Err(e) => {
                let summary = e.kind.summary();
                let message = format!("service `{name}` gave no whole answer: {summary}");
                refusal =
                    Refusal::not_run(Code::UpstreamFailed, message).with_outcome(Outcome::Unknown);
            }
        }
    }
    Err(refusal)
}

/// Whether the call ran, as far as an attempt's result shows.
pub(super) fn attempt_outcome(
    result: &corianderyoke_upstream::Result<corianderyoke_upstream::service::Answer>,
) -> Outcome {
    match result {
        Ok(_) => Outcome::Ran,
        Err(e) => e.outcome.into(),
    }
}

pub(super) fn unreachable(name: &str) -> Refusal {
    let message = format!("no instance of service `{name}` can be reached");
    Refusal::not_run(Code::Unavailable, message).with_retry(RETRY_DELAY)
}
