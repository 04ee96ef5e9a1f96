//! Runs one generation: reserves tokens, acquires slots and makes attempts at upstreams.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use corianderyoke_coord::membership::Kind as HomeKind;
use corianderyoke_coord::time::Tick;
use corianderyoke_history::Event as HistoryEvent;
use corianderyoke_upstream::generate::Event as StreamEvent;
use corianderyoke_upstream::generate::Request;
use corianderyoke_upstream::Kind as UpstreamKind;
use corianderyoke_wire::peer;
use corianderyoke_wire::peer::request::Body as PeerRequest;
use corianderyoke_wire::peer::response::Body as PeerResponse;
use futures::StreamExt;
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::router::attempt::AttemptRecord;
use crate::router::generate::cost::Cost;
use crate::router::generate::Piece;
use crate::router::generate::READ_TIMEOUT;
use crate::router::limit;
use crate::router::limit::Reservation;
use crate::router::open::AbortReason;
use crate::router::open::Ticket;
use crate::router::refusal::Code;
use crate::router::refusal::Outcome;
use crate::router::refusal::Refusal;
use crate::router::refusal::Result;
use crate::router::request::Generation;
use crate::router::slots;
use crate::router::slots::Slot;
use crate::router::slots::SlotRequest;
use crate::router::slots::CELL_RESOURCE;
use crate::router::Router;
use crate::util::clock;
use crate::util::events;
use crate::util::events::Event;

/// Longest wait for an adapter to be loaded.
const ADAPTER_TIMEOUT: Duration = Duration::from_secs(5);

/// A generation request with everything needed to run it.
pub(super) struct Job {
    pub(super) router: Arc<Router>,
    pub(super) id: String,
    pub(super) team: String,
    pub(super) generation: Generation,
    pub(super) cost: Cost,
    pub(super) model: String,
    pub(super) adapter: Option<String>,
    pub(super) deadline: Tick,
    pub(super) ticket: Ticket,
    /// Whether any attempt was sent to an upstream.
    pub(super) any_sent: AtomicBool,
}

/// Progress of a generation over all attempts.
#[derive(Default)]
struct Progress {
    tokens: u32,
    failed_upstreams: Vec<String>,
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
enum AttemptEnd {
    Done { reason: String },
    Failed { outcome: Outcome, cause: Cause },
    CallerGone,
}

/// Why an attempt failed.
struct Cause {
    /// Text for the log, which may contain what the upstream sent.
    detail: String,
    /// Text for the caller.
    summary: String,
}

impl From<&str> for Cause {
    fn from(text: &str) -> Cause {
        Cause { detail: text.to_owned(), summary: text.to_owned() }
    }
}

impl From<&UpstreamKind> for Cause {
    fn from(kind: &UpstreamKind) -> Cause {
        Cause { detail: kind.to_string(), summary: kind.summary() }
    }
}

impl Job {
    pub(super) async fn run(self, pieces: mpsc::Sender<Piece>) {
        let cost = self.cost.total();
        let result = tokio::select! {
            result = self.run_attempts(cost, &pieces) => result,
            () = pieces.closed() => Err(self.abort_refusal(AbortReason::CallerGone)),
            reason = self.ticket.aborted() => Err(self.abort_refusal(reason)),
        };
        match result {
            Ok(tokens) => {
                self.router.metrics.count_answer(&self.team, tokens);
                let (id, team, model) = (&self.id, &self.team, &self.generation.model);
                let detail = format_args!("request={id} team={team} model={model} tokens={tokens}");
                events::log(Event::Answered, detail);
            }
            Err(refusal) => {
                let refusal = refusal.with_id(&self.id);
                if pieces.is_closed() || self.ticket.abort_reason() == AbortReason::CallerGone {
                    self.router.metrics.count_cancel(&self.team);
                    self.router.record(|| HistoryEvent::CallerGone { request: self.id.clone() });
                    let detail = format_args!("request={} team={}", self.id, self.team);
                    events::log(Event::Cancelled, detail);
                }
                // A closed channel means that the caller disconnected, so the refusal is dropped.
                let _ = timeout(READ_TIMEOUT, pieces.send(Piece::Failed(refusal))).await;
            }
        }
    }

    async fn run_attempts(&self, cost: u32, pieces: &mpsc::Sender<Piece>) -> Result<u64> {
        // Dropping the reservation, also on an abort or a disconnect, refunds the unused tokens.
        let mut reservation =
            limit::reserve(&self.router, &self.id, &self.team, u64::from(cost), self.deadline)
                .await?;
        let mut progress = Progress::default();
        loop {
            let slot = slots::acquire_slot(&self.router, self.slot_request(&progress)).await;
            let slot = slot.map_err(|refusal| with_progress(refusal, &progress))?;
            progress.attempts += 1;
            let upstream = slot.upstream.clone();
            let end = self.attempt(slot, &mut progress, &mut reservation, pieces).await;
            match end {
                AttemptEnd::Done { reason } => {
                    let prompt_tokens = self.cost.prompt;
                    let done = Piece::Done { reason, prompt_tokens, tokens: progress.tokens };
                    let _ = pieces.send(done).await;
                    return Ok(reservation.used());
                }
                AttemptEnd::CallerGone => return Err(self.abort_refusal(AbortReason::CallerGone)),
                AttemptEnd::Failed { outcome, cause } => {
                    progress.failed_upstreams.push(upstream.clone());
                    progress.may_have_run |= outcome != Outcome::NotRun;
                    self.check_resumable(&progress, &cause)?;
                    let tokens = progress.tokens;
                    let (id, cause) = (&self.id, &cause.detail);
                    let detail = format_args!(
                        "request={id} upstream={upstream} tokens={tokens} cause={cause}"
                    );
                    events::log(Event::Resumed, detail);
                    self.router.metrics.count_resume();
                }
            }
        }
    }

    fn abort_refusal(&self, reason: AbortReason) -> Refusal {
        let refusal = match reason {
            AbortReason::Revoked => Refusal::not_run(Code::Unauthorized, "the key was revoked"),
            AbortReason::CallerGone | AbortReason::NotAborted => {
                Refusal::not_run(Code::UpstreamFailed, "the caller went away")
            }
            AbortReason::Stale => {
                let message = "the router lost touch with the platform";
                Refusal::not_run(Code::Unavailable, message)
            }
        };
        match self.any_sent.load(Ordering::SeqCst) {
            true => refusal.with_outcome(Outcome::Unknown),
            false => refusal,
        }
    }

    fn slot_request(&self, progress: &Progress) -> SlotRequest {
        SlotRequest {
            team: self.team.clone(),
            model: self.model.clone(),
            adapter: self.adapter.clone(),
            cost: u64::from(self.cost.total() - progress.tokens),
            deadline: self.deadline,
            prefix: self.generation.prefix(),
            avoid: progress.failed_upstreams.clone(),
        }
    }

    /// Checks whether another upstream may resume the answer; the error ends the request.
    fn check_resumable(&self, progress: &Progress, cause: &Cause) -> Result<()> {
        let expired = clock::now() >= self.deadline;
        if progress.attempts < self.router.settings.attempts && !expired {
            return Ok(());
        }
        let Cause { detail, summary } = cause;
        events::log(Event::Broken, format_args!("request={} cause={detail}", self.id));
        let message = format!("no upstream gave a whole answer: {summary}");
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
        let request = peer::AdapterRequest { model, adapter, upstream: upstream.to_owned() };
        let max_wait = self.deadline.since(clock::now()).min(ADAPTER_TIMEOUT);
        let message = PeerRequest::Adapter(request.clone());
        let response =
            self.router.call_home(HomeKind::Placement, CELL_RESOURCE, message, max_wait).await;
        match response {
            Some(PeerResponse::Adapter(response)) if response.loaded => {
                dispatch.record_adapter(upstream, &request.model, &request.adapter);
                Ok(())
            }
            _ => Err(format!("adapter `{}` couldn't be loaded there", request.adapter)),
        }
    }

    async fn attempt(
        &self,
        mut slot: Slot,
        progress: &mut Progress,
        reservation: &mut Reservation,
        pieces: &mpsc::Sender<Piece>,
    ) -> AttemptEnd {
        if let Err(cause) = self.ensure_adapter(&slot.upstream).await {
            slot.finish(false, 0);
            let cause = Cause::from(cause.as_str());
            return AttemptEnd::Failed { outcome: Outcome::NotRun, cause };
        }
        let Some(address) = self.router.address(&slot.upstream) else {
            slot.finish(false, 0);
            let cause = Cause::from("the upstream left the register");
            return AttemptEnd::Failed { outcome: Outcome::NotRun, cause };
        };
        if progress.attempts == 1 {
            reservation.use_tokens(self.cost.prompt);
        }
        let request = self.upstream_request(progress);
        let attempt_id = request.id.clone();
        let record =
            AttemptRecord::start(&self.router, &self.id, &attempt_id, &self.team, &slot.upstream);
        self.any_sent.store(true, Ordering::SeqCst);
        let mut events = self.router.upstreams.generate(address, request);
        loop {
            match events.next().await {
                Some(Ok(StreamEvent::Token(token))) => {
                    slot.record_token(clock::now());
                    progress.tokens += 1;
                    reservation.use_tokens(1);
                    let delivered = timeout(READ_TIMEOUT, pieces.send(Piece::Token(token))).await;
                    if !matches!(delivered, Ok(Ok(()))) {
                        return AttemptEnd::CallerGone;
                    }
                }
                Some(Ok(StreamEvent::Done { reason, .. })) => {
                    record.end(Outcome::Ran);
                    slot.finish(true, reservation.used());
                    return AttemptEnd::Done { reason };
                }
                Some(Err(e)) => {
                    let outcome = e.outcome.into();
                    // Record the end before the slot can be given to another request.
                    record.end(outcome);
                    slot.finish(false, reservation.used());
                    return AttemptEnd::Failed { outcome, cause: Cause::from(&e.kind) };
                }
                None => {
                    record.end(Outcome::Unknown);
                    slot.finish(false, reservation.used());
                    let cause = Cause::from("the upstream's answer ended early");
                    return AttemptEnd::Failed { outcome: Outcome::Unknown, cause };
                }
            }
        }
    }

    fn upstream_request(&self, progress: &Progress) -> Request {
        let settings = &self.router.settings;
        Request {
            // Each attempt has its own id, so that answers to different attempts aren't confused.
            id: format!("{}.{}", self.id, progress.attempts),
            model: self.model.clone(),
            adapter: self.adapter.clone(),
            prompt: self.generation.prompt.clone(),
            max_tokens: self.cost.output,
            resume_from: progress.tokens,
            sampling: self.generation.sampling.clone(),
            // A silent upstream must not keep the caller beyond its deadline.
            first_timeout: Duration::from_millis(settings.first_ms)
                .min(self.deadline.since(clock::now())),
            next_timeout: Duration::from_millis(settings.next_ms),
            ..Request::default()
        }
    }
}

/// Sets the outcome of a refusal to that of the attempts made before it.
fn with_progress(refusal: Refusal, progress: &Progress) -> Refusal {
    refusal.with_outcome(progress.outcome())
}
