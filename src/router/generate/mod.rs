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

use corianderyoke_history::Event as HistoryEvent;
use tokio::sync::mpsc;

use self::cost::cost;
use self::job::Job;
use self::stream::collect;
use self::stream::spawn_stream;
use self::stream::StreamRecorder;
use crate::router::format::Format;
use crate::router::http::Answer;
use crate::router::http::Parts;
use crate::router::open::Grant;
use crate::router::refusal::Refusal;
use crate::router::refusal::Result;
use crate::router::request;
use crate::router::request::Kind;
use crate::router::Router;
use crate::util::clock;

/// Number of pieces buffered for a caller that reads slowly.
const PIECE_BUFFER: usize = 256;

/// Longest wait for a caller to read from a full buffer.
const READ_TIMEOUT: Duration = Duration::from_secs(30);

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
    let generation = request::parse(kind, &parts.body)?;
    let target = router.target(&caller, &generation.model)?;
    let deadline =
        arrived + generation.deadline.unwrap_or(target.default_deadline).min(target.max_deadline);
    let cost = cost(&target, &generation)?;
    let (key, team) = (caller.key.clone(), caller.team.clone());
    let grant = Grant { key, team, target: generation.model.clone() };
    let ticket = router.open_request(grant)?;
    router.record(|| HistoryEvent::Call {
        request: parts.id.clone(),
        key: Some(caller.key.clone()),
        open: false,
        deadline_us: deadline.since(arrived).as_micros() as u64,
    });
    let watch_guard =
        parts.caller.map(|caller| router.hangups.watch(caller, ticket.abort_handle()));
    let format = Format::new(kind, &parts.id, &generation.model);
    let stream = generation.stream;
    let id = parts.id.clone();
    let job = Job {
        router: Arc::clone(router),
        id: parts.id,
        team: caller.team,
        generation,
        cost,
        model: target.model,
        adapter: target.adapter,
        deadline,
        ticket,
        any_sent: AtomicBool::new(false),
    };
    let (sender, mut receiver) = mpsc::channel(PIECE_BUFFER);
    tokio::spawn(job.run(sender));
    let first = receiver.recv().await.unwrap_or_else(|| Piece::Failed(Refusal::lost()));
    if let Piece::Failed(refusal) = first {
        return Err(refusal);
    }
    router.record(|| HistoryEvent::CallStarted { request: id.clone() });
    if stream {
        drop(watch_guard);
        let recorder = StreamRecorder { router: Arc::clone(router), id };
        return Ok(Answer::Events(spawn_stream(format, first, receiver, recorder)));
    }
    let answer = collect(format, first, receiver).await;
    drop(watch_guard);
    answer
}
