//! One request of a caller on its way through the daemon.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use corianderyoke_adapter::headers;
use corianderyoke_adapter::headers::RequestHeaders;
use corianderyoke_coord::keys::AdapterKey;
use corianderyoke_coord::keys::ModelKey;
use corianderyoke_coord::serving::choice::Need;
use corianderyoke_coord::serving::desired::Desired;
use corianderyoke_coord::serving::desired::Route;
use corianderyoke_coord::time::Tick;
use corianderyoke_util::clock;
use corianderyoke_util::events;
use corianderyoke_util::events::Event;
use http::HeaderMap;
use http::Method;
use http::Uri;

use crate::metrics::AnswerLabels;
use crate::refusal::Refusal;
use crate::state::Shared;

/// Time that an answer needs on its way back to the caller; it leaves that much earlier.
const WAY_BACK: Duration = Duration::from_millis(25);

/// Time before a caller gives a stream up at which a request that isn't at an engine is refused.
const START: Duration = Duration::from_millis(150);

/// What a request asks of a model engine.
#[derive(Clone, Debug)]
pub struct Generation {
    /// Model.
    pub model: ModelKey,
    /// Adapter of it.
    pub adapter: Option<AdapterKey>,
    /// Prompt and answer.
    pub need: Need,
}

/// A request with all that was found out about it.
#[derive(Debug)]
pub struct Call {
    /// What all tasks share.
    pub shared: Arc<Shared>,
    /// Identity of this sending of the request.
    pub id: String,
    /// When it came.
    pub arrived: Tick,
    /// When the caller stops waiting.
    pub patience: Tick,
    /// When the caller must have an answer.
    pub due: Tick,
    /// When a request that isn't at an engine yet is refused.
    pub start_due: Tick,
    /// The desired state that it is handled by.
    pub desired: Arc<Desired>,
    /// Its route.
    pub route: Route,
    /// Service that it goes to.
    pub service: String,
    /// Team of the caller.
    pub team: Option<String>,
    /// Urgency; 0 is the most urgent.
    pub rank: u8,
    /// What it asks of a model engine, if it does.
    pub generation: Option<Generation>,
    /// Last event that the caller has of a stream that broke off.
    pub last_event: Option<u64>,
    /// Method towards the engine.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers that go on to the engine.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Tokens taken from the team's cap.
    charged: u64,
    record: Record,
}

/// What the log says of a request once it is over.
#[derive(Debug)]
pub struct Record {
    shared: Arc<Shared>,
    id: String,
    route: String,
    arrived: Tick,
    outcome: Option<(u16, &'static str)>,
    /// Engine that answered.
    engine: String,
    sent: u32,
    /// When the caller's first piece of the answer came, and the last one.
    pieces: Option<(Tick, Tick)>,
    /// Longest pause between two pieces.
    pause: Duration,
}

impl Record {
    /// The record of a request that just came.
    pub fn begin(shared: &Arc<Shared>, id: &str) -> Self {
        shared.state().open += 1;
        shared.metrics.open.inc();
        Record {
            shared: Arc::clone(shared),
            id: id.to_owned(),
            route: String::new(),
            arrived: clock::now(),
            outcome: None,
            engine: String::new(),
            sent: 0,
            pieces: None,
            pause: Duration::ZERO,
        }
    }

    /// A piece of the answer came for the caller.
    pub fn piece(&mut self) {
        let now = clock::now();
        match &mut self.pieces {
            Some((_, last)) => {
                self.pause = self.pause.max(now.since(*last));
                *last = now;
            }
            None => {
                self.pieces = Some((now, now));
                self.shared.metrics.first.observe(now.since(self.arrived).as_secs_f64());
            }
        }
    }

    /// The request ends with `refusal`.
    pub fn refuse(&mut self, refusal: Refusal) {
        self.outcome = Some((refusal.status().as_u16(), refusal.cause()));
    }

    /// The request ends with an engine's answer.
    pub fn answer(&mut self, status: u16, cause: &'static str) {
        self.outcome = Some((status, cause));
    }
}

impl Drop for Record {
    fn drop(&mut self) {
        let whole = clock::now().since(self.arrived);
        let first = self.pieces.map(|(at, _)| at.since(self.arrived));
        let (event, status, cause) = match self.outcome {
            Some((status, cause @ ("engine" | "engine_failure"))) => {
                (Event::Answered, status, cause)
            }
            Some((status, cause @ "broken_off")) => (Event::Broken, status, cause),
            Some((status, cause)) => (Event::Refused, status, cause),
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
                self.sent,
                whole.as_millis(),
                first.map_or_else(|| "none".to_owned(), |span| span.as_millis().to_string()),
                self.pause.as_millis()
            ),
        );
        let metrics = &self.shared.metrics;
        metrics.answers.get_or_create(&AnswerLabels { status, cause }).inc();
        metrics.whole.observe(whole.as_secs_f64());
        metrics.open.dec();
        let mut state = self.shared.state();
        state.open = state.open.saturating_sub(1);
    }
}

/// The parts of a request that go on to an engine.
#[derive(Debug)]
pub struct Outgoing {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers as the caller sent them.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// What the routing decided about a request.
#[derive(Debug)]
pub struct Routed {
    /// The desired state that it is handled by.
    pub desired: Arc<Desired>,
    /// Its route.
    pub route: Route,
    /// Service that it goes to.
    pub service: String,
    /// Team of the caller.
    pub team: Option<String>,
    /// Tokens taken from the team's cap.
    pub charged: u64,
}

impl Call {
    /// A request that was routed and read.
    pub fn new(
        shared: &Arc<Shared>,
        mut record: Record,
        facts: RequestHeaders,
        routed: Routed,
        out: Outgoing,
    ) -> Self {
        let Routed { desired, route, service, team, charged } = routed;
        record.route.clone_from(&route.name);
        let arrived = record.arrived;
        let patience = arrived + facts.timeout.unwrap_or(route.timeout);
        let due = Tick(patience.0.saturating_sub(WAY_BACK.as_micros() as u64));
        let due = due.min(arrived + route.timeout);
        let start =
            route.first_event_timeout().map_or(due, |span| arrived + span.saturating_sub(START));
        let team_rank =
            team.as_deref().and_then(|name| desired.team(name)).and_then(|t| t.priority);
        let generation = facts.model.as_deref().map(|model| {
            let names = &mut shared.state().engines.names;
            Generation {
                model: names.models.intern(model),
                adapter: facts.adapter.as_deref().map(|name| names.adapter(model, name)),
                need: facts.need.clone().unwrap_or_default(),
            }
        });
        Call {
            shared: Arc::clone(shared),
            id: facts.id,
            arrived,
            patience,
            due,
            start_due: start.min(due),
            rank: team_rank.unwrap_or(route.priority),
            desired,
            route,
            service,
            team,
            generation,
            last_event: facts.last_event,
            method: out.method,
            uri: out.uri,
            headers: headers::forwarded(&out.headers),
            body: out.body,
            charged,
            record,
        }
    }

    /// Records that the request was sent to an engine; gives how often it was sent so far.
    pub fn sent(&mut self, engine: &str) -> u32 {
        engine.clone_into(&mut self.record.engine);
        self.record.sent += 1;
        self.record.sent
    }

    /// Name of the model that it asks for, with the adapter if any.
    pub fn model(&self) -> Option<String> {
        let generation = self.generation.as_ref()?;
        let names = &self.shared.state().engines.names;
        let name = match generation.adapter {
            Some(adapter) => names.adapters.name(adapter),
            None => names.models.name(generation.model),
        };
        Some(name.to_owned())
    }

    /// Gives the tokens of a request that didn't run back to its team.
    pub fn refund(&mut self) {
        let tokens = std::mem::take(&mut self.charged);
        let Some(team) = &self.team else { return };
        if let Some(bucket) = self.shared.state().caps.get_mut(team) {
            bucket.refund(tokens, clock::now());
        }
    }

    /// Records the end of the request.
    pub fn record(&mut self) -> &mut Record {
        &mut self.record
    }

    /// A number that is the same wherever the request is sent to.
    pub fn seed(&self) -> u64 {
        seed(&self.id)
    }

    /// Time left until a request that isn't at an engine is refused.
    pub fn start_left(&self) -> Duration {
        self.start_due.since(clock::now())
    }

    /// Time left until the caller must have an answer.
    pub fn left(&self) -> Duration {
        self.due.since(clock::now())
    }
}

/// A number that is the same wherever a request is sent to; ids are hexadecimal.
pub fn seed(id: &str) -> u64 {
    u64::from_str_radix(id, 16).unwrap_or_else(|_| id.bytes().map(u64::from).sum())
}
