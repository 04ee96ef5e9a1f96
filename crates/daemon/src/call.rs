//! Request of a caller with its routing decision, deadlines and log record.

use std::sync::Arc;
use std::sync::OnceLock;
use std::time::Duration;

use bytes::Bytes;
use corianderyoke_adapter::headers;
use corianderyoke_adapter::headers::RequestHeaders;
use corianderyoke_coord::keys::AdapterKey;
use corianderyoke_coord::keys::ModelKey;
use corianderyoke_coord::serving::admission::Ask;
use corianderyoke_coord::serving::admission::Rank;
use corianderyoke_coord::serving::choice;
use corianderyoke_coord::serving::choice::Need;
use corianderyoke_coord::serving::desired::Desired;
use corianderyoke_coord::serving::desired::Repeat;
use corianderyoke_coord::serving::desired::Route;
use corianderyoke_coord::serving::origins::Origins;
use corianderyoke_coord::serving::origins::Release;
use corianderyoke_coord::time;
use corianderyoke_coord::time::Tick;
use corianderyoke_util::clock;
use corianderyoke_util::events;
use corianderyoke_util::events::Event;
use corianderyoke_util::memory::Connection;
use http::header;
use http::uri::PathAndQuery;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::Uri;
use ring::digest::Context;
use ring::digest::SHA256;

use crate::metrics::ResponseLabels;
use crate::refusal::Refusal;
use crate::state::Shared;

/// Time reserved before the caller's deadline for the response to reach the caller.
const RESPONSE_MARGIN: Duration = Duration::from_millis(25);

/// Time before the caller's first-event timeout at which a request that hasn't been sent to an
/// engine is refused.
const START_MARGIN: Duration = Duration::from_millis(150);

/// Part of a request that concerns a model engine.
#[derive(Clone, Debug)]
pub struct Generation {
    /// Requested model.
    pub model: ModelKey,
    /// Requested adapter of the model, if any.
    pub adapter: Option<AdapterKey>,
    /// Token counts of the prompt and the expected output.
    pub need: Need,
}

/// Routed request that is about to be forwarded.
#[derive(Debug)]
pub struct Call {
    /// Resources and state shared by all tasks.
    pub shared: Arc<Shared>,
    /// Identifier of this attempt by the caller.
    pub id: String,
    /// Time of arrival.
    pub arrived: Tick,
    /// Time at which the caller stops waiting.
    pub caller_deadline: Tick,
    /// Time at which the response must be sent.
    pub deadline: Tick,
    /// Time at which the request is refused if it hasn't been sent to an engine.
    pub start_deadline: Tick,
    /// Desired state that applies to the request.
    pub desired: Arc<Desired>,
    /// Route of the request.
    pub route: Route,
    /// Name of the service that receives the request.
    pub service: String,
    /// Team of the caller; `None` if the request carries no known API key.
    pub team: Option<String>,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Urgency and size, by which the request waits for a place.
    pub ask: Ask,
    /// Model request; `None` for a plain service.
    pub generation: Option<Generation>,
    /// Last event that the caller received of an interrupted stream, if it resumes one.
    pub last_event: Option<u64>,
    /// Attempt of the caller that brought the first event of that stream, if it names one.
    pub resumes: Option<String>,
    /// Release that began the stream, which may go on at no other; `None` before its first event.
    pub release: Option<Release>,
    /// Whether another daemon forwards the request.
    pub is_detoured: bool,
    /// API key as the caller sent it.
    pub key: Option<HeaderValue>,
    /// Method of the request to the engine.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers that are forwarded to the engine.
    pub headers: HeaderMap,
    /// Complete request body.
    pub body: Bytes,
    /// Connection of the caller.
    pub connection: Arc<Connection>,
    /// Tokens charged to the team's rate limit.
    charged_tokens: u64,
    /// Number that the request shares with its repetitions, once it was needed.
    identity: OnceLock<u64>,
    record: RequestRecord,
}

/// Record of a request, written to the log and the metrics when dropped.
#[derive(Debug)]
pub struct RequestRecord {
    shared: Arc<Shared>,
    id: String,
    route: String,
    arrived: Tick,
    outcome: Option<(u16, &'static str)>,
    /// Engine that received the request last; empty if none did.
    engine: String,
    send_count: u32,
    /// Times of the first and the latest chunk of the response.
    chunks: Option<(Tick, Tick)>,
    /// Longest time between two chunks.
    max_gap: Duration,
}

impl RequestRecord {
    /// Creates the record of a request that has just arrived.
    pub fn begin(shared: &Arc<Shared>, id: &str) -> Self {
        shared.state().open_requests += 1;
        shared.metrics.open_requests.inc();
        RequestRecord {
            shared: Arc::clone(shared),
            id: id.to_owned(),
            route: String::new(),
            arrived: clock::now(),
            outcome: None,
            engine: String::new(),
            send_count: 0,
            chunks: None,
            max_gap: Duration::ZERO,
        }
    }

    /// Records that a chunk of the response arrived.
    pub fn record_chunk(&mut self) {
        let now = clock::now();
        match &mut self.chunks {
            Some((_, last)) => {
                self.max_gap = self.max_gap.max(now.since(*last));
                *last = now;
            }
            None => {
                self.chunks = Some((now, now));
                self.shared.metrics.first_byte.observe(now.since(self.arrived).as_secs_f64());
            }
        }
    }

    /// Records that the request ends with `refusal`.
    pub fn set_refusal(&mut self, refusal: Refusal) {
        self.outcome = Some((refusal.status().as_u16(), refusal.cause()));
    }

    /// Records that the request ends with an engine's response.
    pub fn set_response(&mut self, status: u16, cause: &'static str) {
        self.outcome = Some((status, cause));
    }
}

impl Drop for RequestRecord {
    fn drop(&mut self) {
        let duration = clock::now().since(self.arrived);
        let first_chunk = self.chunks.map(|(at, _)| at.since(self.arrived));
        let (event, status, cause) = match self.outcome {
            Some((status, cause @ ("engine" | "engine_failure" | "other_daemon"))) => {
                (Event::Answered, status, cause)
            }
            Some((status, cause @ "broken_off")) => (Event::Broken, status, cause),
            Some((status, cause)) => (Event::Refused, status, cause),
            None if self.shared.state().exiting => {
                let refusal = Refusal::OutcomeUnknown;
                (Event::Refused, refusal.status().as_u16(), refusal.cause())
            }
            None => (Event::Cancelled, 0, "caller_left"),
        };
        events::log(
            event,
            format_args!(
                "id={} route={} status={status} cause={cause} engine={} sent={} ms={} first_ms={} \
                 pause_ms={}",
                self.id,
                self.route,
                self.engine,
                self.send_count,
                duration.as_millis(),
                first_chunk.map_or_else(|| "none".to_owned(), |span| span.as_millis().to_string()),
                self.max_gap.as_millis()
            ),
        );
        let metrics = &self.shared.metrics;
        metrics.responses.get_or_create(&ResponseLabels { status, cause }).inc();
        metrics.duration.observe(duration.as_secs_f64());
        metrics.open_requests.dec();
        let mut state = self.shared.state();
        state.open_requests = state.open_requests.saturating_sub(1);
    }
}

/// Parts of a request that are forwarded to an engine.
#[derive(Debug)]
pub struct OutgoingRequest {
    /// Request method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Unfiltered headers of the caller.
    pub headers: HeaderMap,
    /// Complete request body.
    pub body: Bytes,
    /// Connection of the caller.
    pub connection: Arc<Connection>,
}

/// Routing decision and admission of a request.
#[derive(Debug)]
pub struct RoutingDecision {
    /// Desired state that applies to the request.
    pub desired: Arc<Desired>,
    /// Route of the request.
    pub route: Route,
    /// Name of the service that receives the request.
    pub service: String,
    /// Team of the caller; `None` if the request carries no known API key.
    pub team: Option<String>,
    /// Tokens charged to the team's rate limit.
    pub charged_tokens: u64,
}

impl Call {
    /// Creates the call for a request that was routed and whose body was read.
    pub fn new(
        shared: &Arc<Shared>,
        mut record: RequestRecord,
        facts: RequestHeaders,
        routed: RoutingDecision,
        outgoing: OutgoingRequest,
    ) -> Self {
        let RoutingDecision { desired, route, service, team, charged_tokens } = routed;
        record.route.clone_from(&route.name);
        let arrived = record.arrived;
        let caller_deadline = arrived + facts.timeout.unwrap_or(route.timeout);
        let deadline = (caller_deadline - RESPONSE_MARGIN).min(arrived + route.timeout);
        let start_deadline = start_deadline(&route, arrived, deadline);
        let team_priority =
            team.as_deref().and_then(|name| desired.team(name)).and_then(|t| t.priority);
        let generation = facts.model.as_deref().map(|model| {
            let names = &mut shared.state().engines.names;
            Generation {
                model: names.models.intern(model),
                adapter: facts.adapter.as_deref().map(|name| names.adapter(model, name)),
                need: facts.need.clone().unwrap_or_default(),
            }
        });
        let priority = team_priority.unwrap_or(route.priority);
        let need = generation.as_ref().map(|generation| &generation.need);
        let prefill = need.map_or(Duration::ZERO, |need| {
            time::saturating_seconds(need.prompt as f64 / shared.choice.prefill_rate / 1e3)
        });
        let mut state = shared.state();
        let id = state.queue.next_id();
        let latest = arrived + route.latency_target - prefill;
        let rank = Rank { priority, latest, arrived, id };
        let ask = Ask { rank, tokens: need.map_or(0, Need::total) };
        state.queue.record_arrival(&service, ask, clock::now());
        drop(state);
        Call {
            shared: Arc::clone(shared),
            id: facts.id,
            arrived,
            caller_deadline,
            deadline,
            start_deadline,
            priority,
            ask,
            desired,
            route,
            service,
            team,
            generation,
            last_event: facts.last_event,
            resumes: facts.resumes,
            release: None,
            is_detoured: facts.is_detoured,
            key: outgoing.headers.get(header::AUTHORIZATION).cloned(),
            method: outgoing.method,
            uri: outgoing.uri,
            headers: headers::forwarded(&outgoing.headers),
            body: outgoing.body,
            connection: outgoing.connection,
            charged_tokens,
            identity: OnceLock::new(),
            record,
        }
    }

    /// Returns the number that the request shares with its repetitions. See [`identify`].
    pub fn identity(&self) -> u64 {
        *self.identity.get_or_init(|| {
            let caller = Caller { team: self.team.as_deref(), host: host(&self.headers) };
            identify(caller, &self.method, &self.uri, &self.body)
        })
    }

    /// Records that the request was sent to an engine. Returns how often it was sent so far.
    pub fn record_send(&mut self, engine: &str) -> u32 {
        engine.clone_into(&mut self.record.engine);
        self.record.send_count += 1;
        self.record.send_count
    }

    /// Returns the name of the requested model, or of the adapter if one is requested.
    pub fn model_name(&self) -> Option<String> {
        let generation = self.generation.as_ref()?;
        let names = &self.shared.state().engines.names;
        let name = match generation.adapter {
            Some(adapter) => names.adapters.name(adapter),
            None => names.models.name(generation.model),
        };
        Some(name.to_owned())
    }

    /// Returns the parts of the prompt that other requests may share.
    pub fn shared_parts(&self) -> Vec<u64> {
        let generation = self.generation.as_ref();
        generation
            .map_or_else(Vec::new, |generation| choice::shared_parts(&generation.need).collect())
    }

    /// Refunds the tokens of a request that wasn't executed to its team.
    pub fn refund(&mut self) {
        let tokens = std::mem::take(&mut self.charged_tokens);
        let Some(team) = &self.team else { return };
        if let Some(bucket) = self.shared.state().team_buckets.get_mut(team) {
            bucket.refund(tokens, clock::now());
        }
    }

    /// Returns the record of the request.
    pub fn record(&mut self) -> &mut RequestRecord {
        &mut self.record
    }

    /// Returns whether the caller goes on with a stream of which it has received a part.
    pub fn is_resumption(&self) -> bool {
        let has_part = self.resumes.is_some() || self.headers.contains_key(headers::LAST_EVENT);
        self.route.repeat.is_stream() && has_part
    }

    /// Returns whether the request may be sent to an engine of a release. `origins` is that of the
    /// locked state.
    pub fn permits(&self, release: Release, origins: &Origins) -> bool {
        match self.release {
            Some(began) => release == began,
            None => self.route.repeat != Repeat::ResumableStream || origins.may_begin(release),
        }
    }

    /// Returns a seed that is the same for every attempt of the request.
    pub fn seed(&self) -> u64 {
        seed(&self.id)
    }

    /// Sets the time limit for going on with a stream at another engine. It counts from the latest
    /// chunk of the response.
    pub fn extend_start(&mut self) {
        if let Some((_, latest)) = self.record.chunks {
            self.start_deadline = start_deadline(&self.route, latest, self.deadline);
        }
    }

    /// Returns the time left to send the request to an engine.
    pub fn time_to_start(&self) -> Duration {
        self.start_deadline.since(clock::now())
    }

    /// Returns the time left until the response must be sent.
    pub fn time_left(&self) -> Duration {
        self.deadline.since(clock::now())
    }
}

/// Returns when a request is refused that hasn't been sent to an engine, if its caller has waited for
/// an event since `waiting`.
fn start_deadline(route: &Route, waiting: Tick, deadline: Tick) -> Tick {
    let limit = route.first_event_timeout();
    limit.map_or(deadline, |span| deadline.min(waiting + span.saturating_sub(START_MARGIN)))
}

/// Sender of a request and the name under which it called.
#[derive(Clone, Copy, Debug)]
pub struct Caller<'a> {
    /// Team of the API key; `None` without a known key.
    pub team: Option<&'a str>,
    /// Value of the `Host` header.
    pub host: &'a [u8],
}

/// Returns the value of the `Host` header; empty without one.
pub fn host(headers: &HeaderMap) -> &[u8] {
    headers.get(header::HOST).map_or(&[], HeaderValue::as_bytes)
}

/// Returns a number that a request shares with its repetitions, however often and by whichever daemon
/// they are received: that of the same caller, method, path and body.
pub fn identify(caller: Caller<'_>, method: &Method, uri: &Uri, body: &[u8]) -> u64 {
    let path = uri.path_and_query().map_or("", PathAndQuery::as_str);
    let mut context = Context::new(&SHA256);
    for field in [caller.team.unwrap_or("").as_bytes(), caller.host, method.as_str().as_bytes()] {
        context.update(field);
        context.update(&[0]);
    }
    context.update(path.as_bytes());
    context.update(&[0]);
    context.update(body);
    let digest = context.finish();
    digest.as_ref().iter().take(8).fold(0, |number, byte| number << 8 | u64::from(*byte))
}

/// Derives the seed of a request from its identifier, which is hexadecimal.
pub fn seed(id: &str) -> u64 {
    u64::from_str_radix(id, 16).unwrap_or_else(|_| id.bytes().map(u64::from).sum())
}
