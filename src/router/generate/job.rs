//! Runs one generation: reserves tokens, acquires slots and makes attempts at upstreams.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use corianderyoke_coord::membership::Kind as HomeKind;
use corianderyoke_coord::time::Tick;
use corianderyoke_history::Event as Recorded;
use corianderyoke_upstream::generate::Event as Coming;
use corianderyoke_upstream::generate::Request;
use corianderyoke_wire::peer;
use corianderyoke_wire::peer::request::Body as Call;
use corianderyoke_wire::peer::response::Body as Reply;
use futures::StreamExt;
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::router::attempt::Attempt as Sent;
use crate::router::generate::cost::Cost;
use crate::router::generate::Piece;
use crate::router::generate::READ_WITHIN;
use crate::router::limit;
use crate::router::limit::Reservation;
use crate::router::open::Cut;
use crate::router::open::Ticket;
use crate::router::refusal::Code;
use crate::router::refusal::Outcome;
use crate::router::refusal::Refusal;
use crate::router::refusal::Result;
use crate::router::request::Generation;
use crate::router::start;
use crate::router::start::Slot;
use crate::router::start::Wish;
use crate::router::start::DISPATCH;
use crate::router::Router;
use crate::util::clock;
use crate::util::events;
use crate::util::events::Event;

/// Longest wait for an adapter to be loaded.
const ADAPTER_WITHIN: Duration = Duration::from_secs(5);

/// One generation.
pub(super) struct Job {
    pub(super) router: Arc<Router>,
    pub(super) id: String,
    pub(super) team: String,
    pub(super) wish: Generation,
    pub(super) cost: Cost,
    pub(super) model: String,
    pub(super) adapter: Option<String>,
    pub(super) deadline: Tick,
    pub(super) ticket: Ticket,
    /// Whether any attempt was sent to an upstream.
    pub(super) sent: AtomicBool,
}

/// Progress of a generation over all attempts.
#[derive(Default)]
struct Progress {
    tokens: u32,
    avoid: Vec<String>,
    attempts: u32,
    /// Whether an attempt may have run.
    may_have_run: bool,
}

impl Progress {
    /// Whether the generation ran, as far as its attempts show.
    fn outcome(&self) -> Outcome {
        match (self.tokens, self.may_have_run) {
            (0, false) => Outcome::NotRun,
            (0, true) => Outcome::Unknown,
            _ => Outcome::Ran,
        }
    }
}

/// Result of one attempt at an upstream.
enum Attempt {
    Done { reason: String },
    Broken { outcome: Outcome, cause: String },
    CallerGone,
}

impl Job {
    pub(super) async fn run(self, pieces: mpsc::Sender<Piece>) {
        let cost = self.cost.total();
        let ended = tokio::select! {
            ended = self.work(cost, &pieces) => ended,
            () = pieces.closed() => Err(self.cut_refusal(Cut::CallerGone)),
            cut = self.ticket.cut() => Err(self.cut_refusal(cut)),
        };
        match ended {
            Ok(tokens) => {
                self.router.metrics.answered(&self.team, tokens);
                let (id, team, model) = (&self.id, &self.team, &self.wish.model);
                let detail = format_args!("request={id} team={team} model={model} tokens={tokens}");
                events::log(Event::Answered, detail);
            }
            Err(refusal) => {
                let refusal = refusal.with_id(&self.id);
                if pieces.is_closed() || self.ticket.is_cut() == Cut::CallerGone {
                    self.router.metrics.cancelled(&self.team);
                    self.router.record(|| Recorded::CallerGone { request: self.id.clone() });
                    let detail = format_args!("request={} team={}", self.id, self.team);
                    events::log(Event::Cancelled, detail);
                }
                // A closed channel means that the caller disconnected, so the refusal is dropped.
                let _ = timeout(READ_WITHIN, pieces.send(Piece::Failed(refusal))).await;
            }
        }
    }

    async fn work(&self, cost: u32, pieces: &mpsc::Sender<Piece>) -> Result<u64> {
        // Dropping the reservation, also on an abort or a disconnect, refunds the unused tokens.
        let mut reserved =
            limit::reserve(&self.router, &self.id, &self.team, u64::from(cost), self.deadline)
                .await?;
        let mut progress = Progress::default();
        loop {
            let slot = start::obtain(&self.router, self.start_wish(&progress)).await;
            let slot = slot.map_err(|refusal| after(refusal, &progress))?;
            progress.attempts += 1;
            let upstream = slot.upstream.clone();
            let attempt = self.attempt(slot, &mut progress, &mut reserved, pieces).await;
            match attempt {
                Attempt::Done { reason } => {
                    let prompt_tokens = self.cost.prompt;
                    let done = Piece::Done { reason, prompt_tokens, tokens: progress.tokens };
                    let _ = pieces.send(done).await;
                    return Ok(reserved.used());
                }
                Attempt::CallerGone => return Err(self.cut_refusal(Cut::CallerGone)),
                Attempt::Broken { outcome, cause } => {
                    progress.avoid.push(upstream.clone());
                    progress.may_have_run |= outcome != Outcome::NotRun;
                    self.may_resume(&progress, &cause)?;
                    let tokens = progress.tokens;
                    let id = &self.id;
                    let detail = format_args!(
                        "request={id} upstream={upstream} tokens={tokens} cause={cause}"
                    );
                    events::log(Event::Resumed, detail);
                    self.router.metrics.resumed();
                }
            }
        }
    }

    fn cut_refusal(&self, cut: Cut) -> Refusal {
        let refusal = match cut {
            Cut::Revoked => Refusal::not_run(Code::Unauthorized, "the key was revoked"),
            Cut::CallerGone | Cut::No => {
                Refusal::not_run(Code::UpstreamFailed, "the caller went away")
            }
            Cut::Stale => {
                let message = "the router lost touch with the platform";
                Refusal::not_run(Code::Unavailable, message)
            }
        };
        match self.sent.load(Ordering::SeqCst) {
            true => refusal.with_outcome(Outcome::Unknown),
            false => refusal,
        }
    }

    fn start_wish(&self, progress: &Progress) -> Wish {
        Wish {
            team: self.team.clone(),
            model: self.model.clone(),
            adapter: self.adapter.clone(),
            cost: u64::from(self.cost.total() - progress.tokens),
            deadline: self.deadline,
            prefix: self.wish.prefix(),
            avoid: progress.avoid.clone(),
        }
    }

    /// Checks whether another upstream may resume the answer; the error ends the request.
    fn may_resume(&self, progress: &Progress, cause: &str) -> Result<()> {
        let late = clock::now() >= self.deadline;
        if progress.attempts < self.router.settings.attempts && !late {
            return Ok(());
        }
        events::log(Event::Broken, format_args!("request={} cause={cause}", self.id));
        let message = format!("no upstream gave a whole answer: {cause}");
        Err(Refusal::not_run(Code::UpstreamFailed, message).with_outcome(progress.outcome()))
    }

    /// Requests a load of the adapter from placement if the upstream doesn't have it yet.
    async fn ensure_adapter(&self, upstream: &str) -> std::result::Result<(), String> {
        let Some(adapter) = &self.adapter else {
            return Ok(());
        };
        let dispatch = &self.router.homes.dispatch;
        if dispatch.has_adapter(upstream, &self.model, adapter) {
            return Ok(());
        }
        let (model, adapter) = (self.model.clone(), adapter.clone());
        let ask = peer::AdapterRequest { model, adapter, upstream: upstream.to_owned() };
        let limit = self.deadline.since(clock::now()).min(ADAPTER_WITHIN);
        let call = Call::Adapter(ask.clone());
        let reply = self.router.call_home(HomeKind::Placement, DISPATCH, call, limit).await;
        match reply {
            Some(Reply::Adapter(reply)) if reply.loaded => {
                dispatch.note_adapter(upstream, &ask.model, &ask.adapter);
                Ok(())
            }
            _ => Err(format!("adapter `{}` couldn't be loaded there", ask.adapter)),
        }
    }

    async fn attempt(
        &self,
        mut slot: Slot,
        progress: &mut Progress,
        reserved: &mut Reservation,
        pieces: &mpsc::Sender<Piece>,
    ) -> Attempt {
        if let Err(cause) = self.ensure_adapter(&slot.upstream).await {
            slot.finish(false, 0);
            return Attempt::Broken { outcome: Outcome::NotRun, cause };
        }
        let Some(address) = self.router.address(&slot.upstream) else {
            slot.finish(false, 0);
            let cause = "the upstream left the register".to_owned();
            return Attempt::Broken { outcome: Outcome::NotRun, cause };
        };
        if progress.attempts == 1 {
            reserved.use_tokens(self.cost.prompt);
        }
        let request = self.request(progress);
        let attempt = request.id.clone();
        let sent = Sent::begin(&self.router, &self.id, &attempt, &self.team, &slot.upstream);
        self.sent.store(true, Ordering::SeqCst);
        let mut coming = self.router.upstreams.generate(address, request);
        loop {
            match coming.next().await {
                Some(Ok(Coming::Token(token))) => {
                    slot.token(clock::now());
                    progress.tokens += 1;
                    reserved.use_tokens(1);
                    let read = timeout(READ_WITHIN, pieces.send(Piece::Token(token))).await;
                    if !matches!(read, Ok(Ok(()))) {
                        return Attempt::CallerGone;
                    }
                }
                Some(Ok(Coming::Done { reason, .. })) => {
                    sent.end(Outcome::Ran);
                    slot.finish(true, reserved.used());
                    return Attempt::Done { reason };
                }
                Some(Err(e)) => {
                    let outcome = e.outcome.into();
                    // Record the end before the slot can be given to another request.
                    sent.end(outcome);
                    slot.finish(false, reserved.used());
                    return Attempt::Broken { outcome, cause: e.kind.to_string() };
                }
                None => {
                    sent.end(Outcome::Unknown);
                    slot.finish(false, reserved.used());
                    let cause = "the upstream's answer ended early".to_owned();
                    return Attempt::Broken { outcome: Outcome::Unknown, cause };
                }
            }
        }
    }

    fn request(&self, progress: &Progress) -> Request {
        let settings = &self.router.settings;
        Request {
            // Each attempt has its own id, so that answers to different attempts aren't confused.
            id: format!("{}.{}", self.id, progress.attempts),
            model: self.model.clone(),
            adapter: self.adapter.clone(),
            prompt: self.wish.prompt.clone(),
            max_tokens: self.cost.output,
            resume_from: progress.tokens,
            sampling: self.wish.sampling.clone(),
            // A silent upstream must not keep the caller beyond its deadline.
            first_timeout: Duration::from_millis(settings.first_ms)
                .min(self.deadline.since(clock::now())),
            next_timeout: Duration::from_millis(settings.next_ms),
            ..Request::default()
        }
    }
}

/// Sets the outcome of a refusal to that of the attempts made before it.
fn after(refusal: Refusal, progress: &Progress) -> Refusal {
    refusal.with_outcome(progress.outcome())
}
