//! One generation request, from its parsed body to its last token.
//!
//! The work runs in a task of its own, which sends [`Piece`]s. What comes first decides the
//! answer's status: a refusal before the first token is an HTTP error, one after it an explicit
//! error event in the stream. An answer that breaks off at an upstream goes on at another from the
//! last token that came, so the caller sees one whole answer.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use corianderyoke_coord::time::Tick;
use corianderyoke_upstream::generate::Event as UpstreamEvent;
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::router::format::Format;
use crate::router::http::Answer;
use crate::router::http::Parts;
use crate::router::limit;
use crate::router::limit::Reservation;
use crate::router::open::Cut;
use crate::router::open::Grant;
use crate::router::open::Ticket;
use crate::router::refusal::Code;
use crate::router::refusal::Outcome;
use crate::router::refusal::Refusal;
use crate::router::refusal::Result;
use crate::router::request;
use crate::router::request::Generation;
use crate::router::request::Kind;
use crate::router::start;
use crate::router::start::Slot;
use crate::router::start::Wish;
use crate::router::Router;
use crate::util::clock;
use crate::util::events;
use crate::util::events::Event;

/// Pieces of an answer held for a caller that reads slowly.
const PIECES_HELD: usize = 256;
/// Longest time for which a caller may leave a full buffer unread.
const READ_WITHIN: Duration = Duration::from_secs(30);

/// A part of an answer.
#[derive(Clone, Debug, PartialEq)]
enum Piece {
    Token(String),
    Done { reason: String, prompt_tokens: u32, tokens: u32 },
    Failed(Refusal),
}

/// Serves a call of `kind`.
pub async fn serve(router: &Arc<Router>, kind: Kind, parts: Parts) -> Result<Answer> {
    let arrived = clock::now();
    let caller = router.authenticate(&parts)?;
    let wish = request::parse(kind, &parts.body)?;
    let target = router.target(&caller, &wish.model)?;
    let deadline = arrived + wish.deadline.unwrap_or(target.deadline);
    let grant = Grant { key: caller.key.clone(), team: caller.team.clone(), target: wish.model.clone() };
    let ticket = router.enter(grant)?;
    let watched = parts.caller.map(|caller| router.hangups.watch(caller, ticket.cutter()));
    let format = Format::new(kind, &parts.id, &wish.model);
    let prompt_tokens = target.prompt_tokens(&wish.prompt);
    let stream = wish.stream;
    let job = Job {
        router: Arc::clone(router),
        id: parts.id,
        team: caller.team,
        wish,
        prompt_tokens,
        model: target.model,
        adapter: target.adapter,
        deadline,
        ticket,
    };
    let (pieces, mut coming) = mpsc::channel(PIECES_HELD);
    tokio::spawn(job.run(pieces));
    let first = coming.recv().await.unwrap_or_else(|| Piece::Failed(lost()));
    if let Piece::Failed(refusal) = first {
        return Err(refusal);
    }
    if stream {
        drop(watched);
        return Ok(Answer::Events(events_of(format, first, coming)));
    }
    let answer = collect(format, first, coming).await;
    drop(watched);
    answer
}

/// The refusal for a task that ended without a last piece.
fn lost() -> Refusal {
    Refusal::not_run(Code::UpstreamFailed, "the answer was lost inside the router")
        .with_outcome(Outcome::Unknown)
}

async fn collect(
    format: Format,
    first: Piece,
    mut coming: mpsc::Receiver<Piece>,
) -> Result<Answer> {
    let mut text = String::new();
    let mut piece = first;
    loop {
        match piece {
            Piece::Token(token) => text.push_str(&token),
            Piece::Done { reason, prompt_tokens, tokens } => {
                let body = format.whole(&text, &reason, prompt_tokens, tokens);
                return Ok(Answer::json(&body));
            }
            Piece::Failed(refusal) => return Err(refusal),
        }
        piece = coming.recv().await.unwrap_or_else(|| Piece::Failed(lost()));
    }
}

fn events_of(
    format: Format,
    first: Piece,
    mut coming: mpsc::Receiver<Piece>,
) -> mpsc::Receiver<Bytes> {
    let (events, outgoing) = mpsc::channel(1);
    tokio::spawn(async move {
        let mut piece = first;
        loop {
            let (event, last) = event_of(&format, piece);
            let sent = timeout(READ_WITHIN, events.send(event)).await;
            if last || !matches!(sent, Ok(Ok(()))) {
                return;
            }
            piece = tokio::select! {
                piece = coming.recv() => piece.unwrap_or_else(|| Piece::Failed(lost())),
                // The caller went away: dropping `coming` cancels the work.
                () = events.closed() => return,
            };
        }
    });
    outgoing
}

fn event_of(format: &Format, piece: Piece) -> (Bytes, bool) {
    match piece {
        Piece::Token(token) => (format.token(&token), false),
        Piece::Done { reason, prompt_tokens, tokens } => {
            (format.last(&reason, prompt_tokens, tokens), true)
        }
        Piece::Failed(refusal) => (format.error(&refusal), true),
    }
}

/// Everything that one generation needs.
struct Job {
    router: Arc<Router>,
    id: String,
    team: String,
    wish: Generation,
    prompt_tokens: u32,
    model: String,
    adapter: Option<String>,
    deadline: Tick,
    ticket: Ticket,
}

/// How far an answer has come over all attempts.
#[derive(Default)]
struct Progress {
    tokens: u32,
    avoid: Vec<String>,
    attempts: u32,
}

/// How one attempt at an upstream ended.
enum Attempt {
    Done { reason: String },
    Broken { outcome: Outcome, cause: String },
    CallerGone,
}

impl Job {
    async fn run(self, pieces: mpsc::Sender<Piece>) {
        let cost = self.prompt_tokens + self.wish.max_tokens;
        let ended = tokio::select! {
            ended = self.work(cost, &pieces) => ended,
            () = pieces.closed() => Err(gone()),
            cut = self.ticket.cut() => Err(cut_refusal(cut)),
        };
        match ended {
            Ok(()) => self.router.answered(&self.id, &self.team, &self.wish.model),
            Err(refusal) => {
                let refusal = refusal.with_id(&self.id);
                if pieces.is_closed() {
                    self.router.cancelled(&self.id, &self.team);
                }
                // A closed channel means that the caller went away; nobody is left to tell.
                let _ = timeout(READ_WITHIN, pieces.send(Piece::Failed(refusal))).await;
            }
        }
    }

    async fn work(&self, cost: u32, pieces: &mpsc::Sender<Piece>) -> Result<()> {
        // Dropped early (a cut, a caller gone), the reservation returns what wasn't used.
        let mut reserved = limit::reserve(&self.router, &self.team, cost, self.deadline).await?;
        let mut progress = Progress::default();
        loop {
            let slot = start::obtain(&self.router, self.start_wish(&progress)).await;
            let slot = slot.map_err(|refusal| after(refusal, &progress))?;
            progress.attempts += 1;
            let upstream = slot.upstream.clone();
            match self.attempt(slot, &mut progress, &mut reserved, pieces).await {
                Attempt::Done { reason } => {
                    let prompt_tokens = self.prompt_tokens;
                    let done = Piece::Done { reason, prompt_tokens, tokens: progress.tokens };
                    let _ = pieces.send(done).await;
                    return Ok(());
                }
                Attempt::CallerGone => return Err(gone()),
                Attempt::Broken { outcome, cause } => {
                    progress.avoid.push(upstream.clone());
                    self.may_resume(&progress, outcome, &cause)?;
                    let tokens = progress.tokens;
                    let detail = format_args!("request={} upstream={upstream} tokens={tokens} cause={cause}", self.id);
                    events::log(Event::Resumed, detail);
                }
            }
        }
    }

    fn start_wish(&self, progress: &Progress) -> Wish {
        Wish {
            request: self.id.clone(),
            team: self.team.clone(),
            model: self.model.clone(),
            adapter: self.adapter.clone(),
            cost: self.prompt_tokens + self.wish.max_tokens,
            deadline: self.deadline,
            prefix: start::prefix_hash(&self.model, &self.wish.prompt),
            avoid: progress.avoid.clone(),
        }
    }

    fn may_resume(&self, progress: &Progress, outcome: Outcome, cause: &str) -> Result<()> {
        let settings = &self.router.settings;
        let late = clock::now() >= self.deadline;
        let spent = outcome != Outcome::NotRun && !self.router.may_retry();
        if progress.attempts < settings.attempts && !late && !spent {
            return Ok(());
        }
        events::log(Event::Broken, format_args!("request={} cause={cause}", self.id));
        let message = format!("no upstream gave a whole answer: {cause}");
        let outcome = if progress.tokens > 0 { Outcome::Ran } else { outcome };
        Err(Refusal::not_run(Code::UpstreamFailed, message).with_outcome(outcome))
    }

    async fn attempt(
        &self,
        mut slot: Slot,
        progress: &mut Progress,
        reserved: &mut Reservation,
        pieces: &mpsc::Sender<Piece>,
    ) -> Attempt {
        let call = start::upstream_call(self.call(progress), &slot);
        if progress.attempts == 1 {
            reserved.use_tokens(self.prompt_tokens);
        }
        let mut stream = match self.router.upstreams.generate(call).await {
            Ok(stream) => stream,
            Err(e) => return broken(slot, &e),
        };
        loop {
            match stream.next().await {
                Ok(UpstreamEvent::Token(token)) => {
                    slot.token(clock::now());
                    progress.tokens += 1;
                    reserved.use_tokens(1);
                    let sent = timeout(READ_WITHIN, pieces.send(Piece::Token(token))).await;
                    if !matches!(sent, Ok(Ok(()))) {
                        return Attempt::CallerGone;
                    }
                }
                Ok(UpstreamEvent::Done { reason, .. }) => {
                    slot.finish(true);
                    return Attempt::Done { reason };
                }
                Err(e) => return broken(slot, &e),
            }
        }
    }

    fn call(&self, progress: &Progress) -> corianderyoke_upstream::generate::Call {
        corianderyoke_upstream::generate::Call {
            request_id: self.id.clone(),
            model: self.model.clone(),
            adapter: self.adapter.clone(),
            prompt: self.wish.prompt.clone(),
            max_tokens: self.wish.max_tokens,
            resume_from: progress.tokens,
            sampling: self.wish.sampling.clone(),
            ..Default::default()
        }
    }
}

fn broken(slot: Slot, e: &corianderyoke_upstream::generate::Error) -> Attempt {
    slot.finish(false);
    Attempt::Broken { outcome: e.outcome().into(), cause: e.to_string() }
}

/// A refusal that came after an upstream had already worked on the request.
fn after(refusal: Refusal, progress: &Progress) -> Refusal {
    match progress.tokens {
        0 if progress.attempts == 0 => refusal,
        0 => refusal.with_outcome(Outcome::Unknown),
        _ => refusal.with_outcome(Outcome::Ran),
    }
}

fn gone() -> Refusal {
    cut_refusal(Cut::CallerGone)
}

fn cut_refusal(cut: Cut) -> Refusal {
    // A cut request may have begun at an upstream, so nothing is said of it that might be wrong.
    let refusal = match cut {
        Cut::Revoked => Refusal::not_run(Code::Unauthorized, "the key was revoked"),
        Cut::CallerGone | Cut::No => Refusal::not_run(Code::UpstreamFailed, "the caller went away"),
        Cut::Stale => Refusal::not_run(Code::Unavailable, "the router lost touch with the platform"),
    };
    refusal.with_outcome(Outcome::Unknown)
}
