//! Attempts of one call: waits for an engine, sends the request and classifies the response head.

use std::fmt;
use std::future::Future;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;

use bytes::Bytes;
use corianderyoke_adapter::headers;
use corianderyoke_adapter::headers::EngineHeaders;
use corianderyoke_adapter::headers::ResponseHeaders;
use corianderyoke_coord::dispatch::RetryBudget;
use corianderyoke_coord::keys::UpstreamKey;
use corianderyoke_coord::serving::choice;
use corianderyoke_coord::serving::quarantine::Casualty;
use corianderyoke_coord::serving::quarantine::Crash;
use corianderyoke_coord::serving::responses::Execution;
use corianderyoke_coord::serving::responses::Origin;
use corianderyoke_coord::serving::shortage::Outlook;
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
use tokio::time::sleep;
use tokio::time::timeout;

use crate::call::Call;
use crate::forward::detour;
use crate::forward::observe;
use crate::forward::selection;
use crate::forward::selection::Selection;
use crate::forward::selection::Target;
use crate::forward::turn::Turn;
use crate::forward::wait::Missing;
use crate::forward::wait::WaitGuard;
use crate::forward::CallEnd;
use crate::meter::MeteredBody;
use crate::notices;
use crate::notices::Receiver;
use crate::peers;
use crate::pool::Connection;
use crate::pool::Error;
use crate::quarantine;
use crate::refusal::Refusal;
use crate::state::LoadGuard;

/// Longest interval between two selections of a waiting request if no notification arrives.
const RESELECT_INTERVAL: Duration = Duration::from_millis(50);
/// Least remaining time with which an attempt is still useful.
const MIN_TIME_LEFT: Duration = Duration::from_millis(15);
/// Largest body of a refusal that is read so that the connection can be reused.
const MAX_REFUSAL_BYTES: usize = 65_536;
/// Time for which a request doesn't return to an engine that lacked its model or adapter. The
/// engine's entry and the reports of other daemons may be stale for that long.
const MISPLACED_BACKOFF: Duration = Duration::from_millis(700);
/// Time limit for reading the body of a refusal so that the connection can be reused.
const REFUSAL_READ_TIMEOUT: Duration = Duration::from_millis(250);
/// Delay before a request is sent again to an engine that it failed on once; doubles with each further
/// failure there.
const SAME_ENGINE_BACKOFF: Duration = Duration::from_millis(40);
/// Number of failures from which on the delay no longer doubles.
const MAX_BACKOFF_STEPS: u32 = 5;
/// `Retry-After` of a refusal because the desired state doesn't list the model. A newer one may.
const UNKNOWN_MODEL_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Number of report intervals after which an announcement of the lease holder is overdue.
const ANNOUNCEMENT_INTERVALS: u32 = 4;
/// Longest `Retry-After` of a refusal because of a limit that an engine names or a pause that it
/// asked for. Another daemon may have a part of the limit left, or no pause to keep.
const MAX_LIMITED_RETRY_AFTER: Duration = Duration::from_secs(1);
/// `Retry-After` of a refusal because no engine is available.
const NO_ENGINE_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Response of an engine whose body hasn't been read yet.
#[derive(Debug)]
pub struct EngineResponse {
    /// Status and headers of the response.
    pub head: Parts,
    /// Unread body.
    pub body: MeteredBody,
    /// Connection that carries the response.
    pub connection: Connection,
    /// Engine that responded.
    pub target: Target,
    /// Counts the request as in flight at the engine.
    pub guard: LoadGuard,
}

/// What was read in reply to an attempt, for the log.
#[derive(Clone, Copy, Debug)]
struct Reply {
    status: u16,
    /// Request that the response answers.
    origin: Origin,
    /// Number of requests that the connection has carried.
    carried: u32,
}

impl fmt::Display for Reply {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Reply { status, origin, carried } = self;
        write!(formatter, "{status} origin={origin:?} carried={carried}")
    }
}

/// Reason why an attempt produced no usable response.
#[derive(Debug)]
enum Failure {
    /// The engine didn't execute the request and may receive it again.
    Refused,
    /// The engine didn't execute the request because it isn't the expected one or lacks the model
    /// or adapter.
    Misplaced,
    /// The request wasn't sent, for lack of a working connection. Contains the cause for the log.
    Unsent(&'static str),
    /// The engine may have executed the request. Contains the cause for the log.
    Broken(&'static str),
    /// Like `Broken`, and the connection ended, perhaps because the engine crashed.
    Cut(&'static str),
}

/// Returns for the log why a request wasn't sent.
fn unsent_cause(error: &Error) -> &'static str {
    match error {
        Error::Connect(_, ErrorKind::TimedOut) => "unsent_silent",
        Error::Connect(_, ErrorKind::ConnectionRefused) => "unsent_refused",
        Error::Connect(..) => "unsent_failed",
        _ => "unsent_closed",
    }
}

/// Call and the attempts made for it so far.
#[derive(Debug)]
pub struct Attempts {
    /// Call that the attempts serve.
    pub call: Call,
    /// Identifier of the last event that the caller received.
    pub last_event: Option<u64>,
    /// Engines that count against the route's limit of attempts.
    tried: Vec<UpstreamKey>,
    /// Engines that may have executed the request.
    executed: Vec<UpstreamKey>,
    /// Number of times that the request was sent.
    send_count: u32,
    /// Engines whose attempt failed or was refused.
    failed: Vec<UpstreamKey>,
    /// Engines that lacked the model or adapter, and when they responded so.
    misplaced: Vec<(UpstreamKey, Tick)>,
    /// Time at which the request was last sent, and the engine process that received it.
    sent: Option<(Tick, Crash)>,
    /// Engine process that ended the connection, at this address, perhaps because it crashed.
    unchecked: Option<(SocketAddr, Crash)>,
    /// Whether the request was counted as run.
    is_counted: bool,
    /// Response to the latest attempt.
    reply: Option<Reply>,
    /// Latest server error of an engine, returned if no later attempt succeeds.
    server_error: Option<Box<(Parts, Bytes)>>,
    /// Whether an engine was selected for the request.
    selected: bool,
    /// Whether other daemons were asked to take the call.
    has_detoured: bool,
}

impl Attempts {
    /// Creates the attempts of a call that hasn't been sent yet.
    pub fn new(call: Call) -> Self {
        Attempts {
            last_event: call.last_event,
            call,
            tried: Vec::new(),
            executed: Vec::new(),
            send_count: 0,
            failed: Vec::new(),
            misplaced: Vec::new(),
            sent: None,
            unchecked: None,
            is_counted: false,
            reply: None,
            server_error: None,
            selected: false,
            has_detoured: false,
        }
    }

    /// Returns whether the call may take a detour: this daemon reaches no engine, and another one does.
    pub fn may_detour(&self) -> bool {
        !self.has_detoured && detour::is_open(&self.call)
    }

    /// Returns whether the call may take a detour through a daemon that shares the brittle engines.
    fn may_use_share_of_others(&self) -> bool {
        !self.has_detoured && !self.call.is_detoured && !self.may_have_run()
    }

    /// Records that the call takes its only detour.
    pub fn record_detour(&mut self) {
        self.has_detoured = true;
    }

    /// Makes attempts until an engine returns a head that isn't a refusal, or the call ends.
    pub async fn next(&mut self) -> Result<EngineResponse, CallEnd> {
        loop {
            self.check_crash().await;
            if self.may_have_run() && !self.may_repeat() {
                return Err(self.end_with(Refusal::OutcomeUnknown));
            }
            if self.may_detour() && (!self.may_have_run() || self.take_retry()) {
                return Err(CallEnd::Detour);
            }
            let (target, guard) = self.acquire_target().await?;
            if self.send_count > 0 && !self.take_retry() {
                return Err(self.end_with(Refusal::NoEngine(NO_ENGINE_RETRY_AFTER)));
            }
            let backoff = self.backoff(&target);
            if backoff > self.call.time_to_start() {
                return Err(self.end_with(Refusal::NoEngine(NO_ENGINE_RETRY_AFTER)));
            }
            sleep(backoff).await;
            match self.send(&target, guard).await {
                Ok(response) => return Ok(response),
                Err(failure) => self.record_failure(&target, failure),
            }
        }
    }

    /// Counts the request for its team, once, since an engine ran it or began to.
    pub fn count_run(&mut self) {
        if !self.is_counted {
            self.is_counted = true;
            self.call.shared.state().count_run(self.call.team.as_deref(), clock::now());
        }
    }

    /// Returns how long to wait before the request is sent to an engine, on which it may have failed.
    fn backoff(&self, target: &Target) -> Duration {
        let failures = self.failed.iter().filter(|key| **key == target.key).count();
        match u32::try_from(failures) {
            Ok(0) => Duration::ZERO,
            Ok(count @ 1..MAX_BACKOFF_STEPS) => SAME_ENGINE_BACKOFF * (1 << (count - 1)),
            _ => SAME_ENGINE_BACKOFF * (1 << (MAX_BACKOFF_STEPS - 1)),
        }
    }

    /// Finds out whether the engine of the last attempt crashed, if its connection ended.
    pub async fn check_crash(&mut self) {
        if let Some((address, crash)) = self.unchecked.take() {
            quarantine::check(&self.call.shared, address, crash).await;
        }
    }

    /// Returns when the request was last sent to an engine.
    pub fn sent_at(&self) -> Option<Tick> {
        self.sent.map(|(at, _)| at)
    }

    /// Returns whether an engine may have executed the request.
    pub fn may_have_run(&self) -> bool {
        !self.executed.is_empty()
    }

    /// Returns whether a request that may have run may be sent again. One that is suspected of
    /// crashing engines isn't, so that it takes no further one down.
    fn may_repeat(&self) -> bool {
        let subjects = quarantine::subjects(&self.call);
        self.call.route.repeat.may_repeat()
            && !self.call.shared.state().quarantine.is_suspect(&subjects, clock::now())
    }

    /// Returns for how long the request, or a part of its prompt, is quarantined, if it is.
    fn quarantined_for(&self) -> Option<Duration> {
        let subjects = quarantine::subjects(&self.call);
        self.call.shared.state().quarantine.held_for(&subjects, clock::now())
    }

    /// Records that the connection ended within a response.
    pub fn record_cut(&mut self, target: &Target, cause: &'static str) {
        self.record_failure(target, Failure::Cut(cause));
    }

    /// Records that an engine was given up after the head of its response.
    pub fn record_broken(&mut self, target: &Target, cause: &'static str) {
        self.record_failure(target, Failure::Broken(cause));
    }

    /// Decides whether to retry after a server error of an engine. If so, saves the response for
    /// the case that no later attempt succeeds.
    pub fn try_fail_over(&mut self, target: &Target, head: &Parts, bytes: &Bytes) -> bool {
        let may_retry = self.call.route.repeat.may_repeat()
            && self.tried.len() < self.call.route.attempts as usize
            && self.call.time_left() > MIN_TIME_LEFT * 4;
        if may_retry {
            self.executed.push(target.key);
            self.failed.push(target.key);
            self.server_error = Some(Box::new((head.clone(), bytes.clone())));
        }
        may_retry
    }

    /// Returns how long to wait for the response of an engine.
    fn response_timeout(&self, target: &Target) -> Duration {
        let left = self.call.time_left();
        let repeat = self.call.route.repeat;
        let is_last = self.tried.len() >= self.call.route.attempts as usize;
        if !repeat.may_repeat() || is_last {
            return left;
        }
        left.min(choice::first_token_timeout(self.call.route.latency_target, target.expected))
    }

    /// Returns how long to wait for the next event of a stream before resuming on another engine.
    fn event_timeout(&self) -> Duration {
        let left = self.call.time_left();
        let route = &self.call.route;
        let may_resume = route.repeat.may_repeat() && self.tried.len() < route.attempts as usize;
        match route.first_event_timeout() {
            // The second half of the caller's timeout is left for the engine that resumes.
            Some(limit) if may_resume => left.min(limit / 2),
            _ => left,
        }
    }

    /// Waits for the next event of a stream. Returns `None` if it should resume on another engine.
    pub async fn wait_for_event<T>(
        &self,
        event: impl Future<Output = T>,
        target: &Target,
    ) -> Option<T> {
        self.wait(event, target, || self.event_timeout()).await
    }

    /// Waits for a response. Returns `None` if another engine should be tried or time ran out.
    pub async fn wait_for_response<T>(
        &self,
        response: impl Future<Output = T>,
        target: &Target,
    ) -> Option<T> {
        self.wait(response, target, || self.response_timeout(target)).await
    }

    /// Waits for the duration that `limit` returns, and repeats that while no other engine is
    /// eligible and time remains. Gives up if the request is quarantined.
    async fn wait<T>(
        &self,
        awaited: impl Future<Output = T>,
        target: &Target,
        limit: impl Fn() -> Duration,
    ) -> Option<T> {
        let mut awaited = pin!(awaited);
        loop {
            tokio::select! {
                biased;
                output = timeout(limit(), &mut awaited) => {
                    if let Ok(output) = output {
                        return Some(output);
                    }
                }
                () = self.call.shared.reach_changed.notified() => {
                    // The engine may be silent for good.
                    if self.may_detour() && self.call.route.repeat.may_repeat() {
                        return None;
                    }
                    continue;
                }
                () = self.call.shared.quarantined.notified() => {
                    if self.quarantined_for().is_some() {
                        return None;
                    }
                    continue;
                }
            }
            if self.call.time_left() < MIN_TIME_LEFT || self.has_alternative(target) {
                return None;
            }
        }
    }

    /// Ends the call with a refusal, or with what is true of a request that may have run.
    pub fn end_with(&mut self, refusal: Refusal) -> CallEnd {
        if let Some(failure) = self.server_error.take() {
            return CallEnd::Failed(failure);
        }
        let refusal = match (self.may_have_run(), refusal) {
            (true, Refusal::NotStarted) => Refusal::TimedOut,
            (
                true,
                Refusal::NoEngine(_)
                | Refusal::Overloaded(_)
                | Refusal::NotLoaded(_)
                | Refusal::Quarantined(_)
                | Refusal::ReleaseMissing
                | Refusal::Detached
                | Refusal::Stopping,
            ) => Refusal::OutcomeUnknown,
            (_, refusal) => refusal,
        };
        CallEnd::Refused(refusal)
    }

    fn take_retry(&mut self) -> bool {
        let shared = &self.call.shared;
        let mut state = shared.state();
        let taken = state.retry_budget(shared, &self.call.service).is_none_or(RetryBudget::take);
        drop(state);
        if taken {
            shared.metrics.retries.inc();
        }
        taken
    }

    /// Waits until an engine is available for the call.
    async fn acquire_target(&mut self) -> Result<(Target, LoadGuard), CallEnd> {
        let mut wait_guard: Option<WaitGuard> = None;
        let mut turn: Option<Turn> = None;
        loop {
            let shared = std::sync::Arc::clone(&self.call.shared);
            let changed = shared.changed.notified();
            // The daemon stops; another daemon can still serve a request that hasn't run.
            let is_late = {
                let state = shared.state();
                state.closed || state.may_outlast(self.call.deadline)
            };
            if is_late && !self.may_have_run() {
                return Err(self.end_with(Refusal::Stopping));
            }
            if let Some(left) = self.quarantined_for() {
                return Err(self.end_with(Refusal::Quarantined(left)));
            }
            if self.may_detour() && !self.may_have_run() {
                return Err(CallEnd::Detour);
            }
            let has_detoured = self.has_detoured || self.call.is_detoured;
            if has_detoured && self.call.shared.state().reach.is_detached() {
                return Err(self.end_with(Refusal::Detached));
            }
            let left = self.call.time_to_start();
            let now = clock::now();
            if left < MIN_TIME_LEFT {
                let refusal = match &turn {
                    Some(turn) if !self.may_have_run() => turn.expire(&self.call, now),
                    _ => Refusal::NotStarted,
                };
                return Err(self.end_with(refusal));
            }
            if turn.as_ref().is_some_and(|turn| !turn.is_due(now)) {
                sleep(left.min(RESELECT_INTERVAL)).await;
                continue;
            }
            let is_exhausted = self.tried.len() >= self.call.route.attempts as usize;
            self.misplaced.retain(|(_, at)| now.since(*at) < MISPLACED_BACKOFF);
            let (tried, misplaced) = (&self.tried, &self.misplaced);
            let allowed = |key| {
                let is_permitted = !is_exhausted || tried.contains(&key);
                is_permitted && misplaced.iter().all(|(other, _)| *other != key)
            };
            let mut limit_wait: Option<Duration> = None;
            let mut is_full = false;
            let missing = match selection::select_engine(&self.call, allowed, &self.failed, now) {
                Selection::Engine(target, guard) => {
                    self.record_selected(&target, now);
                    return Ok((*target, guard));
                }
                Selection::NoEngine if is_exhausted => {
                    return Err(self.end_with(Refusal::NoEngine(NO_ENGINE_RETRY_AFTER)));
                }
                Selection::ModelNotLoaded => Some(Missing::Model),
                Selection::AdapterNotLoaded => Some(Missing::Adapter),
                Selection::Limited(wait, missing) => {
                    if wait > left && missing.is_none() {
                        let wait = wait.min(MAX_LIMITED_RETRY_AFTER);
                        return Err(self.end_with(Refusal::NoEngine(wait)));
                    }
                    limit_wait = Some(wait);
                    missing
                }
                Selection::Shareless(_) if self.may_use_share_of_others() => {
                    return Err(CallEnd::Detour);
                }
                Selection::Full(crowd) | Selection::Shareless(crowd) => {
                    let waiting = match &mut turn {
                        Some(turn) => turn,
                        None => turn.insert(Turn::begin(&self.call, crowd.clone(), now)),
                    };
                    // A request that may have run isn't refused before its time is up.
                    let may_refuse = self.executed.is_empty();
                    if let Some(refusal) = waiting.update(&self.call, crowd, may_refuse, now) {
                        return Err(self.end_with(refusal));
                    }
                    is_full = true;
                    None
                }
                Selection::OtherReleases(gap) => {
                    events::log(
                        Event::ReleaseMissing,
                        format_args!(
                            "id={} release={:x?} {gap:?}",
                            self.call.id, self.call.release
                        ),
                    );
                    return Err(self.end_with(Refusal::ReleaseMissing));
                }
                Selection::NoEngine => None,
            };
            turn = turn.filter(|_| is_full);
            if wait_guard.as_ref().map(|guard| guard.missing) != missing {
                events::log(
                    Event::Waiting,
                    format_args!(
                        "id={} model={} missing={missing:?} left_ms={}",
                        self.call.id,
                        self.call.model_name().as_deref().unwrap_or("none"),
                        left.as_millis()
                    ),
                );
                wait_guard = missing.and_then(|missing| WaitGuard::begin(&self.call, missing));
            }
            let hopeless = missing.filter(|_| limit_wait.is_none_or(|wait| wait > left));
            if let Some(wait) = hopeless.and_then(|missing| self.hopeless_wait(missing, now)) {
                let wait = limit_wait.map_or(wait, |limit| limit.min(wait));
                return Err(self.end_with(Refusal::NotLoaded(wait)));
            }
            // Wakes on a notification, or on the timeout if none arrives.
            let _ = timeout(left.min(RESELECT_INTERVAL), changed).await;
        }
    }

    /// Records that an engine was selected.
    fn record_selected(&mut self, target: &Target, now: Tick) {
        let call = &self.call;
        let is_first = !std::mem::replace(&mut self.selected, true);
        let queue = &mut call.shared.state().queue;
        queue.record_send(&call.service, call.ask, target.key, is_first, now);
    }

    /// Returns `None` if the request may start in time, and otherwise the time after which its caller
    /// may retry.
    fn hopeless_wait(&self, missing: Missing, now: Tick) -> Option<Duration> {
        let call = &self.call;
        let state = call.shared.state();
        let generation = call.generation.as_ref()?;
        let service = call.desired.services.get(&call.service)?;
        let name = state.engines.names.models.name(generation.model);
        let Some(spec) = service.engine.as_ref()?.models.get(name) else {
            return Some(UNKNOWN_MODEL_RETRY_AFTER);
        };
        let lag = peers::report_interval(&state) * ANNOUNCEMENT_INTERVALS;
        let (ready, least) = match missing {
            Missing::Model => {
                (state.expected_loads.get(&generation.model).copied(), spec.times.shortest())
            }
            Missing::Adapter => (None, Duration::ZERO),
        };
        let outlook = Outlook { ready, orders_from: state.lease.vacant_until(lag, now), least };
        outlook.retry_after(call.start_deadline, now)
    }

    async fn send(&mut self, target: &Target, guard: LoadGuard) -> Result<EngineResponse, Failure> {
        let repeat = self.call.route.repeat;
        let shared = std::sync::Arc::clone(&self.call.shared);
        let avoid_stale = !repeat.may_repeat();
        self.reply = None;
        let (pool, id) = (&shared.pool, &self.call.id);
        let connection = pool.connection(&target.id, target.address, id, avoid_stale).await;
        let mut connection = connection.map_err(|error| {
            let mut state = shared.state();
            state.engines.record_failure(target.key, clock::now());
            state.reach.record_failure();
            shared.reach_doubted.notify_one();
            Failure::Unsent(unsent_cause(&error))
        })?;
        // The engine may have begun to leave or to pause while the connection was established.
        if !shared.state().engines.accepts(target.key, target.process, clock::now()) {
            return Err(Failure::Unsent("unsent_leaving"));
        }
        let Some(request) = self.build_request(target) else { return Err(Failure::Misplaced) };
        let count = self.call.record_send(&target.id);
        self.sent = Some((clock::now(), quarantine::process(&shared.state(), target)));
        self.send_count = count;
        if !self.tried.contains(&target.key) {
            self.tried.push(target.key);
        }
        events::log(
            Event::Sent,
            format_args!(
                "id={} engine={} nth={count} model={} choices={} running={} kept={} left_ms={} \
                 revision={} software={:?} resumes={} after_event={:?} {}",
                self.call.id,
                target.id,
                self.call.model_name().as_deref().unwrap_or("none"),
                target.candidate_count,
                target.running,
                target.cached_tokens,
                self.call.time_left().as_millis(),
                self.call.desired.revision,
                target.software,
                self.call.resumes.as_deref().unwrap_or("none"),
                self.last_event,
                target.basis
            ),
        );
        let sending = connection.send(request, &self.call.id);
        let result = match self.wait_for_response(sending, target).await {
            None => return Err(Failure::Broken("no_answer_in_time")),
            Some(result) => result,
        };
        let (status, origin) = match &result {
            Ok(response) => (response.status().as_u16(), Origin::Own),
            Err(Error::Foreign { status, origin }) => (*status, *origin),
            Err(error @ (Error::Connect(..) | Error::Unsent)) => {
                return Err(Failure::Unsent(unsent_cause(error)));
            }
            Err(Error::Broken(_)) => return Err(Failure::Cut("connection_failed")),
            Err(Error::Flooded(_)) => return Err(Failure::Broken("flooded")),
        };
        self.reply = Some(Reply { status, origin, carried: connection.carried() });
        let Ok(response) = result else { return Err(Failure::Broken("other_request")) };
        self.classify(response, connection, target, guard).await
    }

    /// Returns whether another engine is eligible for the call now.
    fn has_alternative(&self, target: &Target) -> bool {
        let other = |key| key != target.key && !self.failed.contains(&key);
        selection::has_candidate(&self.call, other, clock::now())
    }

    fn build_request(&self, target: &Target) -> Option<Request<Full<Bytes>>> {
        let call = &self.call;
        let mut request = Request::new(Full::new(call.body.clone()));
        *request.method_mut() = call.method.clone();
        *request.uri_mut() = call.uri.clone();
        *request.headers_mut() = call.headers.clone();
        let now = clock::now();
        let left = call.caller_deadline.min(call.arrived + call.route.timeout).since(now);
        let added = EngineHeaders {
            engine: &target.id,
            team: call.team.as_deref(),
            remaining: left,
            priority: call.generation.is_some().then(|| call.priority.min(9)),
            last_event: self.last_event,
        };
        headers::set_engine_headers(request.headers_mut(), &added).ok()?;
        Some(request)
    }

    /// Distinguishes a usable response from a refusal and from one that lacks the request's identifier
    /// or the signature.
    async fn classify(
        &mut self,
        response: Response<MeteredBody>,
        connection: Connection,
        target: &Target,
        guard: LoadGuard,
    ) -> Result<EngineResponse, Failure> {
        let (head, body) = response.into_parts();
        self.call.shared.state().reach.record_contact(clock::now());
        let facts = headers::decode_response(&head.headers);
        let execution = Execution::of(head.status.as_u16(), facts.not_executed);
        let is_refusal = matches!(execution, Execution::Refused | Execution::Misplaced);
        if !is_refusal && facts.id != self.call.id {
            return Err(Failure::Broken("other_id"));
        }
        self.record_limit(target, facts.limit);
        self.record_brittleness(target, execution, facts.brittle);
        observe::record_head(&self.call.shared, target, &facts);
        let receiver = Receiver { key: target.key, id: &target.id, process: target.process };
        notices::record(&self.call.shared, &receiver, &self.call.id, head.status, &facts);
        match execution {
            Execution::Done => {}
            Execution::Unclear => {
                // The engine doesn't say that it didn't run the request.
                if !facts.not_executed {
                    self.count_run();
                }
                return Err(Failure::Broken("unclear_status"));
            }
            Execution::Refused | Execution::Misplaced => {
                let refusal_body = Limited::new(body, MAX_REFUSAL_BYTES).collect();
                let refusal_body = timeout(REFUSAL_READ_TIMEOUT, refusal_body).await;
                if matches!(refusal_body, Ok(Ok(_))) {
                    self.call.shared.pool.release(&target.id, connection, &head);
                }
                if execution == Execution::Refused {
                    return Err(Failure::Refused);
                }
                self.record_misplaced(target, &facts);
                return Err(Failure::Misplaced);
            }
        }
        if head.status.is_success() && !facts.signed {
            return Err(Failure::Broken("unsigned"));
        }
        let target = target.clone();
        Ok(EngineResponse { head, body, connection, target, guard })
    }

    /// Records the limit that a response names, and tells the other daemons if it changed.
    fn record_limit(&self, target: &Target, limit: Option<f64>) {
        let shared = &self.call.shared;
        let mut state = shared.state();
        if state.engine_limits.record_response(target.key, limit, clock::now()) {
            events::log(
                Event::UpstreamLimited,
                format_args!("id={} engine={} limit={limit:?}", self.call.id, target.id),
            );
            shared.report_soon(&mut state);
        }
    }

    /// Records whether a response says that the engines of the service are brittle. One that turned the
    /// request away gets a pause.
    fn record_brittleness(&self, target: &Target, execution: Execution, rate: Option<f64>) {
        let shared = &self.call.shared;
        let now = clock::now();
        let mut state = shared.state();
        if state.brittleness.record(&self.call.service, rate, now) {
            events::log(
                Event::UpstreamBrittle,
                format_args!("id={} engine={} refusals_per_s={rate:?}", self.call.id, target.id),
            );
        }
        let limit = state.brittleness.limit(&self.call.service, now);
        if let Some(limit) = limit.filter(|_| execution == Execution::Refused) {
            let slots = state.engines.get(target.key).map_or(0, |engine| engine.slots);
            let pause = limit.pause(slots, state.roster.size());
            if state.engines.record_pause(target.key, target.process, pause, now) {
                events::log(
                    Event::UpstreamPaused,
                    format_args!(
                        "engine={} id={} ms={} brittle",
                        target.id,
                        self.call.id,
                        pause.as_millis()
                    ),
                );
            }
        }
    }

    /// Records that the engine at an address isn't the expected one, or lacks the model or adapter.
    fn record_misplaced(&self, target: &Target, facts: &ResponseHeaders) {
        let now = clock::now();
        let mut state = self.call.shared.state();
        if facts.engine.as_deref().is_some_and(|id| id != target.id) {
            state.engines.record_failure(target.key, now);
            return;
        }
        let Some(generation) = &self.call.generation else { return };
        state.engines.record_miss(target.key, generation.model, generation.adapter);
    }

    fn record_failure(&mut self, target: &Target, failure: Failure) {
        let cause = match failure {
            Failure::Refused => "refused",
            Failure::Misplaced => "misplaced",
            Failure::Unsent(cause) | Failure::Broken(cause) | Failure::Cut(cause) => cause,
        };
        let reply = self.reply.map_or_else(|| "none".to_owned(), |reply| reply.to_string());
        events::log(
            Event::AttemptFailed,
            format_args!(
                "id={} engine={} nth={} request={:x} parts={:x?} cause={cause} reply={reply}",
                self.call.id,
                target.id,
                self.send_count,
                self.call.identity(),
                self.call.shared_parts()
            ),
        );
        self.failed.push(target.key);
        match failure {
            Failure::Refused => {}
            Failure::Unsent(_) => self.uncount(target),
            Failure::Misplaced => {
                self.uncount(target);
                self.misplaced.push((target.key, clock::now()));
            }
            Failure::Broken(_) => self.record_possible_run(target),
            Failure::Cut(_) => {
                self.record_possible_run(target);
                self.record_possible_crash(target);
            }
        }
    }

    /// Stops counting an engine against the route's limit of attempts, unless it may have executed the
    /// request at an earlier attempt.
    fn uncount(&mut self, target: &Target) {
        let Attempts { tried, executed, .. } = self;
        tried.retain(|key| *key != target.key || executed.contains(key));
    }

    fn record_possible_run(&mut self, target: &Target) {
        self.executed.push(target.key);
        self.call.shared.state().engines.record_failure(target.key, clock::now());
    }

    fn record_possible_crash(&mut self, target: &Target) {
        let Some((sent, crash)) = self.sent else { return };
        let subjects = quarantine::casualty_subjects(&self.call);
        let ended = clock::now();
        let casualty = Casualty { crash, attempt: self.call.seed(), subjects, sent, ended };
        if quarantine::record_broken(&self.call.shared, casualty) {
            self.unchecked = Some((target.address, crash));
        }
    }
}
