//! Serves generation requests: chat and text completions.
//!
//! The generation runs in its own task, which sends [`Piece`]s. The first piece decides the
//! status: a refusal before the first token is an HTTP error, one after it an error event in the
//! stream. If an upstream fails midway, another resumes after the last token received, so the
//! caller sees one complete answer.
//!
//! [`cost`] bounds the tokens, [`job`] runs the generation, and [`stream`] renders the pieces.

mod cost;
mod job;
mod stream;

use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use std::time::Duration;

use corianderyoke_history::Event as Recorded;
use tokio::sync::mpsc;

use self::cost::cost;
use self::job::Job;
use self::stream::collect;
use self::stream::events_of;
use self::stream::Ends;
use crate::router::format::Format;
use crate::router::http::Answer;
use crate::router::http::Parts;
use crate::router::open::Grant;
use crate::router::refusal::Code;
use crate::router::refusal::Outcome;
use crate::router::refusal::Refusal;
use crate::router::refusal::Result;
use crate::router::request;
use crate::router::request::Kind;
use crate::router::Router;
use crate::util::clock;

/// Number of pieces buffered for a caller that reads slowly.
const PIECES_HELD: usize = 256;

/// Longest wait for a caller to read from a full buffer.
const READ_WITHIN: Duration = Duration::from_secs(30);

/// A token of an answer, or its end.
#[derive(Clone, Debug, PartialEq)]
enum Piece {
    Token(String),
    Done { reason: String, prompt_tokens: u32, tokens: u32 },
    Failed(Refusal),
}

/// Serves a generation request of `kind`.
pub async fn serve(router: &Arc<Router>, kind: Kind, parts: Parts) -> Result<Answer> {
    let arrived = clock::now();
    let caller = router.authenticate(&parts)?;
    let wish = request::parse(kind, &parts.body)?;
    let target = router.target(&caller, &wish.model)?;
    let deadline = arrived + wish.deadline.unwrap_or(target.deadline).min(target.longest);
    let cost = cost(&target, &wish)?;
    let (key, team) = (caller.key.clone(), caller.team.clone());
    let grant = Grant { key, team, target: wish.model.clone() };
    let ticket = router.enter(grant)?;
    router.record(|| Recorded::Call {
        request: parts.id.clone(),
        key: Some(caller.key.clone()),
        open: false,
        deadline_us: deadline.since(arrived).as_micros() as u64,
    });
    let watched = parts.caller.map(|caller| router.hangups.watch(caller, ticket.cutter()));
    let format = Format::new(kind, &parts.id, &wish.model);
    let stream = wish.stream;
    let id = parts.id.clone();
    let job = Job {
        router: Arc::clone(router),
        id: parts.id,
        team: caller.team,
        wish,
        cost,
        model: target.model,
        adapter: target.adapter,
        deadline,
        ticket,
        sent: AtomicBool::new(false),
    };
    let (pieces, mut coming) = mpsc::channel(PIECES_HELD);
    tokio::spawn(job.run(pieces));
    let first = coming.recv().await.unwrap_or_else(|| Piece::Failed(lost()));
    if let Piece::Failed(refusal) = first {
        return Err(refusal);
    }
    router.record(|| Recorded::CallStarted { request: id.clone() });
    if stream {
        drop(watched);
        let ends = Ends { router: Arc::clone(router), id };
        return Ok(Answer::Events(events_of(format, first, coming, ends)));
    }
    let answer = collect(format, first, coming).await;
    drop(watched);
    answer
}

/// The refusal for a generation whose task ended without sending the last piece.
fn lost() -> Refusal {
    Refusal::not_run(Code::UpstreamFailed, "the answer was lost inside the router")
        .with_outcome(Outcome::Unknown)
}
