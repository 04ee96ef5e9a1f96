//! The attempts of one call: which engine next, and what an engine's head means.

use std::future::Future;
use std::pin::pin;
use std::time::Duration;

use bytes::Bytes;
use corianderyoke_adapter::headers;
use corianderyoke_adapter::headers::EngineHeaders;
use corianderyoke_adapter::headers::ResponseHeaders;
use corianderyoke_coord::keys::UpstreamKey;
use corianderyoke_coord::serving::choice;
use corianderyoke_coord::time::Tick;
use corianderyoke_util::clock;
use corianderyoke_util::events;
use corianderyoke_util::events::Event;
use http::response::Parts;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Incoming;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::call::Call;
use crate::forward::pick;
use crate::forward::pick::Pick;
use crate::forward::pick::Target;
use crate::forward::wait::Missing;
use crate::forward::wait::WaitGuard;
use crate::forward::End;
use crate::pool::Error;
use crate::pool::Lane;
use crate::refusal::Refusal;
use crate::state::RunGuard;

/// Longest pause before a waiting request looks for an engine again without being told.
const LOOK_AGAIN: Duration = Duration::from_millis(50);
/// Least time that an attempt needs to be of use.
const LEAST_LEFT: Duration = Duration::from_millis(15);
/// Largest body of an engine's refusal that is read to keep its connection, in bytes.
const MOST_REFUSAL: usize = 65_536;
/// Time for which an engine that doesn't hold what a request asks for isn't asked again by it; its
/// entry and the word of others may lag by that much.
const MISPLACED_SPAN: Duration = Duration::from_millis(700);
/// Time within which the body of an engine's refusal is read to keep its connection.
const REFUSAL_SPAN: Duration = Duration::from_millis(250);
/// Pause before an engine that refused a request is asked again.
const SAME_PAUSE: Duration = Duration::from_millis(40);
/// Advice on when to come back where no engine is there.
const NO_ENGINE_WAIT: Duration = Duration::from_millis(500);

/// An engine's answer whose body is still to come.
#[derive(Debug)]
pub struct Live {
    /// Status and headers.
    pub head: Parts,
    /// Body.
    pub body: Incoming,
    /// The connection.
    pub lane: Lane,
    /// The engine.
    pub target: Target,
    /// Counts the request at the engine.
    pub guard: RunGuard,
}

/// Why an attempt brought no answer.
#[derive(Debug)]
enum Failure {
    /// It didn't run, and the engine can be asked again.
    Refused,
    /// It didn't run, and another engine has to be found.
    Misplaced,
    /// No connection took it.
    Unsent,
    /// It may have run.
    Broken(&'static str),
}

/// A call with the attempts made for it.
#[derive(Debug)]
pub struct Attempts {
    /// The call.
    pub call: Call,
    /// Last event that the caller has.
    pub last_event: Option<u64>,
    /// Engines that may have worked on it.
    sent: Vec<UpstreamKey>,
    /// How often it was sent.
    sends: u32,
    /// Engines that failed or refused it.
    failed: Vec<UpstreamKey>,
    /// Engines that didn't hold what it asks for, and when they said so.
    misplaced: Vec<(UpstreamKey, Tick)>,
    /// Whether it may have run.
    may_have_run: bool,
    failure: Option<Box<(Parts, Bytes)>>,
}

impl Attempts {
    /// A call of which nothing was sent yet.
    pub fn new(call: Call) -> Self {
        Attempts {
            last_event: call.last_event,
            call,
            sent: Vec::new(),
            sends: 0,
            failed: Vec::new(),
            misplaced: Vec::new(),
            may_have_run: false,
            failure: None,
        }
    }

    /// The head of the next answer that isn't a refusal, or how the call ends.
    pub async fn next(&mut self) -> Result<Live, End> {
        loop {
            if self.may_have_run && !self.call.route.repeat.may_repeat() {
                return Err(self.end(Refusal::Unknown));
            }
            let (target, guard) = self.target().await?;
            if self.sends > 0 && !self.take_retry() {
                return Err(self.end(Refusal::NoEngine(NO_ENGINE_WAIT)));
            }
            if self.failed.contains(&target.key) {
                sleep(SAME_PAUSE).await;
            }
            match self.send(&target, guard).await {
                Ok(live) => return Ok(live),
                Err(failure) => self.failed(&target, failure),
            }
        }
    }

    /// An answer that had begun broke off.
    pub fn broke(&mut self, target: &Target, cause: &'static str) {
        self.failed(target, Failure::Broken(cause));
    }

    /// Whether an engine's own failure is worth another attempt; it is kept in case that fails.
    pub fn fails_over(&mut self, target: &Target, head: &Parts, bytes: &Bytes) -> bool {
        let may = self.call.route.repeat.may_repeat()
            && self.sent.len() < self.call.route.attempts as usize
            && self.call.left() > LEAST_LEFT * 4;
        if may {
            self.may_have_run = true;
            self.failed.push(target.key);
            self.failure = Some(Box::new((head.clone(), bytes.clone())));
        }
        may
    }

    /// How long an engine may take for its answer.
    fn patience_for_answer(&self, target: &Target) -> Duration {
        let left = self.call.left();
        let repeat = self.call.route.repeat;
        let is_last = self.sent.len() >= self.call.route.attempts as usize;
        if !repeat.may_repeat() || is_last {
            return left;
        }
        left.min(choice::first_token_timeout(self.call.route.latency_target, target.expected))
    }

    /// How long an engine may take for the next event of a stream before another is looked for.
    fn patience_for_event(&self) -> Duration {
        let left = self.call.left();
        let route = &self.call.route;
        let may_resume = route.repeat.may_repeat() && self.sent.len() < route.attempts as usize;
        match route.first_event_timeout() {
            // Half of the callers' patience is left for the engine that goes on.
            Some(patience) if may_resume => left.min(patience / 2),
            _ => left,
        }
    }

    /// Waits for the next piece of an answer that began; `None` once it should go on elsewhere.
    pub async fn continued<T>(&self, piece: impl Future<Output = T>, target: &Target) -> Option<T> {
        self.wait(piece, target, || self.patience_for_event()).await
    }

    /// Waits for an engine; `None` once another engine should be tried, or the time is over.
    pub async fn answered<T>(&self, answer: impl Future<Output = T>, target: &Target) -> Option<T> {
        self.wait(answer, target, || self.patience_for_answer(target)).await
    }

    /// Waits for as long as `patience` says, and on while no other engine could do better.
    async fn wait<T>(
        &self,
        awaited: impl Future<Output = T>,
        target: &Target,
        patience: impl Fn() -> Duration,
    ) -> Option<T> {
        let mut awaited = pin!(awaited);
        loop {
            if let Ok(found) = timeout(patience(), &mut awaited).await {
                return Some(found);
            }
            if self.call.left() < LEAST_LEFT || self.has_other(target) {
                return None;
            }
        }
    }

    fn end(&mut self, refusal: Refusal) -> End {
        if let Some(failure) = self.failure.take() {
            return End::Failed(failure);
        }
        let refusal = match (self.may_have_run, refusal) {
            (true, Refusal::NotInTime) => Refusal::TimedOut,
            (true, Refusal::NoEngine(_) | Refusal::Stopping) => Refusal::Unknown,
            (_, refusal) => refusal,
        };
        End::Refused(refusal)
    }

    fn take_retry(&mut self) -> bool {
        let shared = &self.call.shared;
        let taken = shared.state().retry_budget(shared, &self.call.service).take();
        if taken {
            shared.metrics.retries.inc();
        }
        taken
    }

    /// Waits for an engine that the call may go to.
    async fn target(&mut self) -> Result<(Target, RunGuard), End> {
        let mut waiting: Option<WaitGuard> = None;
        loop {
            let shared = std::sync::Arc::clone(&self.call.shared);
            let changed = shared.changed.notified();
            // What waits can't be served here any more, and another daemon can still do it.
            if shared.state().closed {
                return Err(self.end(Refusal::Stopping));
            }
            let left = self.call.start_left();
            if left < LEAST_LEFT {
                return Err(self.end(Refusal::NotInTime));
            }
            let exhausted = self.sent.len() >= self.call.route.attempts as usize;
            let now = clock::now();
            self.misplaced.retain(|(_, at)| now.since(*at) < MISPLACED_SPAN);
            let (sent, misplaced) = (&self.sent, &self.misplaced);
            let allowed = |key| {
                let may = !exhausted || sent.contains(&key);
                may && misplaced.iter().all(|(other, _)| *other != key)
            };
            let missing = match pick::pick(&self.call, allowed, &self.failed, now) {
                Pick::Go(target, guard) => return Ok((*target, guard)),
                Pick::NoEngine if exhausted => {
                    return Err(self.end(Refusal::NoEngine(NO_ENGINE_WAIT)));
                }
                Pick::NoModel => Some(Missing::Model),
                Pick::NoAdapter => Some(Missing::Adapter),
                Pick::NoEngine | Pick::Full => None,
            };
            if waiting.as_ref().map(|guard| guard.missing) != missing {
                events::log(
                    Event::Waiting,
                    format_args!(
                        "id={} model={} missing={missing:?} left_ms={}",
                        self.call.id,
                        self.call.model().as_deref().unwrap_or("none"),
                        left.as_millis()
                    ),
                );
                waiting = missing.and_then(|missing| WaitGuard::begin(&self.call, missing));
            }
            // Either it was told, or it looks again by itself.
            let _ = timeout(left.min(LOOK_AGAIN), changed).await;
        }
    }

    async fn send(&mut self, target: &Target, guard: RunGuard) -> Result<Live, Failure> {
        let repeat = self.call.route.repeat;
        let shared = std::sync::Arc::clone(&self.call.shared);
        let sure = !repeat.may_repeat();
        let lane = shared.pool.lane(&target.id, target.address, sure).await;
        let mut lane = lane.map_err(|_| {
            shared.state().engines.record_failure(target.key, clock::now());
            Failure::Unsent
        })?;
        let Some(request) = self.request(target) else { return Err(Failure::Misplaced) };
        let count = self.call.sent(&target.id);
        self.sends = count;
        if !self.sent.contains(&target.key) {
            self.sent.push(target.key);
        }
        events::log(
            Event::Sent,
            format_args!(
                "id={} engine={} nth={count} model={} choices={} running={} kept={} left_ms={} \
                 revision={}",
                self.call.id,
                target.id,
                self.call.model().as_deref().unwrap_or("none"),
                target.choices,
                target.running,
                target.kept,
                self.call.left().as_millis(),
                self.call.desired.revision
            ),
        );
        let response = match self.answered(lane.send(request), target).await {
            None => return Err(Failure::Broken("no_answer_in_time")),
            Some(Err(Error::Connect(_) | Error::Unsent)) => return Err(Failure::Unsent),
            Some(Err(Error::Broken(_))) => return Err(Failure::Broken("connection_failed")),
            Some(Ok(response)) => response,
        };
        self.judge(response, lane, target, guard).await
    }

    /// Whether another engine could serve the call now.
    fn has_other(&self, target: &Target) -> bool {
        let other = |key| key != target.key && !self.failed.contains(&key);
        pick::is_able(&self.call, other, clock::now())
    }

    fn request(&self, target: &Target) -> Option<Request<Full<Bytes>>> {
        let call = &self.call;
        let mut request = Request::new(Full::new(call.body.clone()));
        *request.method_mut() = call.method.clone();
        *request.uri_mut() = call.uri.clone();
        *request.headers_mut() = call.headers.clone();
        let now = clock::now();
        let left = call.patience.min(call.arrived + call.route.timeout).since(now);
        let added = EngineHeaders {
            engine: &target.id,
            team: call.team.as_deref(),
            remaining: left,
            priority: call.generation.is_some().then(|| call.rank.min(9)),
            last_event: self.last_event,
        };
        headers::set_engine_headers(request.headers_mut(), &added).ok()?;
        Some(request)
    }

    /// Tells an answer from a refusal and from what isn't an answer to this request.
    async fn judge(
        &mut self,
        response: Response<Incoming>,
        lane: Lane,
        target: &Target,
        guard: RunGuard,
    ) -> Result<Live, Failure> {
        let (head, body) = response.into_parts();
        let facts = headers::decode_response(&head.headers);
        let status = head.status.as_u16();
        if facts.not_executed || status == 421 {
            let read = Limited::new(body, MOST_REFUSAL).collect();
            let read = timeout(REFUSAL_SPAN, read).await;
            if matches!(read, Ok(Ok(_))) {
                self.call.shared.pool.give_back(&target.id, lane, &head.headers);
            }
            return Err(if status == 421 {
                self.misplaced(target, &facts);
                Failure::Misplaced
            } else {
                Failure::Refused
            });
        }
        if facts.id != self.call.id {
            return Err(Failure::Broken("other_id"));
        }
        if head.status.is_success() && !facts.signed {
            return Err(Failure::Broken("unsigned"));
        }
        let target = target.clone();
        Ok(Live { head, body, lane, target, guard })
    }

    /// An engine isn't the one expected, or doesn't hold what is asked for.
    fn misplaced(&self, target: &Target, facts: &ResponseHeaders) {
        let now = clock::now();
        let mut state = self.call.shared.state();
        if facts.engine.as_deref().is_some_and(|id| id != target.id) {
            state.engines.record_failure(target.key, now);
            return;
        }
        let Some(generation) = &self.call.generation else { return };
        state.engines.record_miss(target.key, generation.model, generation.adapter);
    }

    fn failed(&mut self, target: &Target, failure: Failure) {
        let cause = match failure {
            Failure::Refused => "refused",
            Failure::Misplaced => "misplaced",
            Failure::Unsent => "unsent",
            Failure::Broken(cause) => cause,
        };
        events::log(
            Event::AttemptFailed,
            format_args!("id={} engine={} cause={cause}", self.call.id, target.id),
        );
        self.failed.push(target.key);
        match failure {
            Failure::Refused => {}
            Failure::Unsent => self.sent.retain(|key| *key != target.key),
            // It didn't run there, so the engine doesn't count among those it was sent to.
            Failure::Misplaced => {
                self.sent.retain(|key| *key != target.key);
                self.misplaced.push((target.key, clock::now()));
            }
            Failure::Broken(_) => {
                self.may_have_run = true;
                self.call.shared.state().engines.record_failure(target.key, clock::now());
            }
        }
    }
}
