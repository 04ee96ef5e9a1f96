//! The router: the process that serves callers.
//!
//! A request comes in through [`http`], is parsed by [`request`] and authenticated against the
//! register in force. [`limit`] reserves its tokens, [`slots`] acquires a slot of an upstream, and
//! [`generate`] streams the answer and resumes it at another upstream if one fails. Calls to plain
//! services go through [`service`]. [`home`] runs the token buckets and dispatch queues whose home
//! is this router and answers the other routers. [`watch`] aborts requests that a new revision no
//! longer allows. Every refusal is a [`refusal::Refusal`].

pub mod attempt;
pub mod claims;
pub mod explain;
pub mod format;
pub mod generate;
pub mod hangup;
pub mod home;
pub mod http;
pub mod limit;
pub mod listing;
pub mod metrics;
pub mod open;
pub mod refusal;
pub mod request;
pub mod service;
pub mod settings;
pub mod slots;
pub mod watch;

use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use corianderyoke_coord::idempotency::Ledger;
use corianderyoke_coord::membership::Kind;
use corianderyoke_coord::membership::MemberId;
use corianderyoke_coord::pools::Limits as RateLimit;
use corianderyoke_coord::register::Register;
use corianderyoke_history::Event as HistoryEvent;
use corianderyoke_platform::Platform;
use corianderyoke_wire::peer::request::Body as PeerRequest;
use corianderyoke_wire::peer::response::Body as PeerResponse;
use futures::future::BoxFuture;
use rand::random;
use tokio::time::timeout;

use self::hangup::HangupWatcher;
use self::home::Homes;
use self::http::Parts;
use self::limit::Limiter;
use self::metrics::Metrics;
use self::open::Grant;
use self::open::OpenRequests;
use self::open::Ticket;
use self::refusal::Code;
use self::refusal::Refusal;
use self::refusal::Result;
use self::settings::Settings;
use self::slots::HeldSlots;
use crate::agent::Agent;
use crate::util::events;
use crate::util::events::Event;
use crate::util::memory::Memory;

/// Retry delay sent to callers while this router can't serve them.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// State of one router, shared by all its tasks.
pub struct Router {
    /// Settings from the settings file.
    pub settings: Settings,
    /// Membership, peers and configuration.
    pub agent: Arc<Agent>,
    /// Client of the platform's services, which store the claims.
    pub platform: Arc<dyn Platform>,
    /// Client for the upstreams.
    pub upstreams: Arc<corianderyoke_upstream::Client>,
    /// Token slices of the teams.
    pub limiter: Limiter,
    /// Upstream slots that this router's requests hold.
    pub held_slots: HeldSlots,
    /// Token buckets and dispatch queues whose home is this router.
    pub homes: Homes,
    /// Requests in progress.
    pub open_requests: Arc<OpenRequests>,
    /// Detects callers that disconnect before their answer begins.
    pub hangups: Arc<HangupWatcher>,
    /// Memory and connections that are held for callers.
    pub memory: Arc<Memory>,
    /// Calls that run at most once per idempotency key.
    pub keyed_calls: service::KeyedCalls,
    /// Counters shown to operators.
    pub metrics: Metrics,
    leaving: AtomicBool,
    next_number: AtomicU64,
}

/// The authenticated sender of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Caller {
    /// Name of the key, empty for calls to an open service without a key.
    pub key: String,
    /// Name of the team, empty for calls to an open service without a key.
    pub team: String,
    /// Secret of the key as received, so that it can be kept from upstreams.
    pub secret: String,
}

/// The registered model that a generation request resolves to.
#[derive(Clone, Debug)]
pub struct Target {
    /// Name of the base model.
    pub model: String,
    /// Name of the adapter; `None` for the base model itself.
    pub adapter: Option<String>,
    /// Time until the deadline if the caller sets none.
    pub default_deadline: Duration,
    /// Longest time until the deadline that a caller may set.
    pub max_deadline: Duration,
    /// The base model's entry in the register.
    pub base_model: corianderyoke_coord::register::Model,
}

impl Router {
    /// Creates a router on top of a running agent.
    pub fn new(
        settings: Settings,
        agent: Arc<Agent>,
        platform: Arc<dyn Platform>,
        upstreams: Arc<corianderyoke_upstream::Client>,
    ) -> Arc<Router> {
        Arc::new(Router {
            memory: Memory::new(settings.limits()),
            settings,
            agent,
            platform,
            upstreams,
            limiter: Limiter::default(),
            held_slots: HeldSlots::default(),
            homes: Homes::default(),
            open_requests: Arc::default(),
            hangups: Arc::default(),
            keyed_calls: service::KeyedCalls::new(Ledger::new(Default::default())),
            metrics: Metrics::default(),
            leaving: AtomicBool::new(false),
            next_number: AtomicU64::new(1),
        })
    }

    /// Returns a random request id.
    pub fn new_id(&self) -> String {
        format!("req-{:016x}", random::<u64>())
    }

    /// Returns a number that is unique within this process.
    pub fn new_number(&self) -> u64 {
        self.next_number.fetch_add(1, Ordering::Relaxed)
    }

    /// Starts shutdown: requests that arrive from here on are refused.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::SeqCst);
    }

    /// Whether the router is shutting down and refuses new requests.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::SeqCst)
    }

    /// Whether the router can serve callers now.
    pub fn ready(&self) -> bool {
        !self.leaving.load(Ordering::SeqCst) && self.agent.may_act() && self.agent.config_fresh()
    }

    /// The register in force.
    ///
    /// # Errors
    ///
    /// A refusal if the router is shutting down, its lease has expired or its copy of the register
    /// is stale.
    pub fn register(&self) -> Result<Arc<Register>> {
        if self.leaving.load(Ordering::SeqCst) {
            let refusal = Refusal::not_run(Code::Leaving, "this router leaves; ask for an entry");
            return Err(refusal.with_retry(RETRY_DELAY));
        }
        self.may_act()?;
        self.agent.config().ok_or_else(stale_register)
    }

    /// Checks that this router may now spend tokens, claim keys and send calls for callers.
    ///
    /// # Errors
    ///
    /// A refusal with outcome "not run" if the lease has expired or the register is stale.
    pub fn may_act(&self) -> Result<()> {
        if !self.agent.may_act() {
            let message = "this router's term lapsed; ask another router";
            return Err(Refusal::not_run(Code::Unavailable, message).with_retry(RETRY_DELAY));
        }
        if !self.agent.config_fresh() {
            return Err(stale_register());
        }
        Ok(())
    }

    /// Authenticates a request by the key in its headers.
    ///
    /// # Errors
    ///
    /// A refusal if the request has no key, two keys, an unknown or revoked key, or repeats the key
    /// outside the header.
    pub fn authenticate(&self, parts: &Parts) -> Result<Caller> {
        let register = self.register()?;
        let secret = key_secret(parts)?;
        let found = register.authenticate(secret).ok_or_else(|| {
            Refusal::not_run(Code::Unauthorized, "the key isn't known or was revoked")
        })?;
        let contains_secret =
            |text: &[u8]| text.windows(secret.len()).any(|part| part == secret.as_bytes());
        if contains_secret(&parts.body)
            || contains_secret(parts.query.as_bytes())
            || contains_secret(parts.path.as_bytes())
        {
            let message = "the key belongs into the authorization header only";
            return Err(Refusal::not_run(Code::BadRequest, message));
        }
        Ok(Caller {
            key: found.key.to_owned(),
            team: found.team.to_owned(),
            secret: secret.to_owned(),
        })
    }

    /// Resolves the model name that a caller sent.
    ///
    /// # Errors
    ///
    /// The same refusal for a name that doesn't exist and for one that the team may not use.
    pub fn target(&self, caller: &Caller, name: &str) -> Result<Target> {
        let register = self.register()?;
        let found = register.target(name);
        let usable = found.filter(|found| register.may_use(&caller.team, found.resource()));
        let found = usable.ok_or_else(|| {
            let message = format!("model `{name}` doesn't exist for this team");
            Refusal::not_run(Code::NotFound, message)
        })?;
        Ok(Target {
            model: found.model.to_owned(),
            adapter: found.adapter.map(str::to_owned),
            default_deadline: Duration::from_millis(register.rules.deadline_ms),
            max_deadline: Duration::from_millis(register.rules.longest_ms),
            base_model: found.base.clone(),
        })
    }

    /// Adds a request to the table of open requests.
    ///
    /// # Errors
    ///
    /// A refusal if too many requests are open, or the register no longer allows the request.
    pub fn open_request(&self, grant: Grant) -> Result<Ticket> {
        let ticket = self.open_requests.insert(grant.clone(), self.settings.open_requests);
        let ticket = ticket.ok_or_else(|| {
            let refusal = Refusal::not_run(Code::Overloaded, "too many requests are open here");
            refusal.with_retry(RETRY_DELAY)
        })?;
        // A revision that came into force after authentication aborted only the requests in the
        // table at that time, so check the grant again now that the request is in the table.
        if !watch::permits(&*self.register()?, &grant) {
            let message = "the key isn't known or was revoked";
            return Err(Refusal::not_run(Code::Unauthorized, message));
        }
        Ok(ticket)
    }

    /// Drops the tokens, buckets and queues of the previous incarnation, which are lost by now.
    pub fn reset(&self) {
        self.limiter.reset();
        self.homes.tokens.reset();
        self.homes.dispatch.stop();
    }

    /// Rate and burst of a team; `None` if it isn't registered.
    pub fn rate_limit(&self, team: &str) -> Option<RateLimit> {
        let register = self.agent.config()?;
        let team = register.teams.get(team)?;
        Some(RateLimit { rate: team.rate as u64, burst: team.burst })
    }

    /// Address of an upstream; `None` if it isn't registered.
    pub fn address(&self, upstream: &str) -> Option<SocketAddr> {
        let register = self.agent.config()?;
        register.upstreams.get(upstream)?.address.parse().ok()
    }

    /// Sends a request to the home of a resource, which may be this router. `None` if no response
    /// arrives within `max_wait`.
    pub async fn call_home(
        self: &Arc<Self>,
        kind: Kind,
        name: &str,
        request: PeerRequest,
        max_wait: Duration,
    ) -> Option<PeerResponse> {
        let home = self.agent.owner(kind, name)?;
        self.call_member(&home, request, max_wait).await
    }

    /// Sends a request to a member, which may be this router. `None` if no response arrives within
    /// `max_wait`.
    pub async fn call_member(
        self: &Arc<Self>,
        member: &MemberId,
        request: PeerRequest,
        max_wait: Duration,
    ) -> Option<PeerResponse> {
        if *member == self.agent.id() {
            // Spawned so that the work continues after a timeout, as it does at another member.
            let (router, member) = (Arc::clone(self), member.clone());
            let work: BoxFuture<'static, Option<PeerResponse>> =
                Box::pin(async move { home::answer(&router, &member, request).await });
            return timeout(max_wait, tokio::spawn(work)).await.ok()?.ok()?;
        }
        self.agent.call(member, request, max_wait).await.ok()
    }

    /// Records in the history that an attempt is sent to an upstream.
    pub fn record_send(&self, request: &str, attempt: &str, team: &str, upstream: &str) {
        self.record(|| HistoryEvent::UpstreamSend {
            request: request.to_owned(),
            attempt: attempt.to_owned(),
            team: team.to_owned(),
            upstream: upstream.to_owned(),
            zone: self.zone_of(upstream),
        });
    }

    fn zone_of(&self, upstream: &str) -> String {
        let register = self.agent.config();
        let found = register.as_ref().and_then(|register| register.upstreams.get(upstream));
        found.map(|upstream| upstream.zone.clone()).unwrap_or_default()
    }

    /// Records an event in the history, if one is written.
    pub fn record(&self, event: impl FnOnce() -> HistoryEvent) {
        self.agent.history().record(event);
    }

    /// Counts, records and logs a refusal.
    pub fn report_refusal(&self, refusal: &Refusal) {
        self.metrics.count_refusal(refusal.code);
        self.record(|| HistoryEvent::Refusal {
            request: refusal.id.clone(),
            outcome: refusal.outcome.into(),
            code: refusal.code.label(),
        });
        let detail = format_args!(
            "request={} code={} outcome={:?} message={:?}",
            refusal.id,
            refusal.code.label(),
            refusal.outcome,
            refusal.message
        );
        events::log(Event::Refused, detail);
    }
}

fn stale_register() -> Refusal {
    let message = "this router can't know what is in force; ask another router";
    Refusal::not_run(Code::Unavailable, message).with_retry(RETRY_DELAY)
}

fn key_secret(parts: &Parts) -> Result<&str> {
    let bearer = parts.header("authorization");
    let bearer = bearer.and_then(|value| value.strip_prefix("Bearer ")).map(str::trim);
    let found = match (bearer, parts.header("x-api-key")) {
        (Some(_), Some(_)) => {
            return Err(Refusal::not_run(Code::BadRequest, "two keys came with the request"));
        }
        (Some(secret), None) | (None, Some(secret)) => secret,
        (None, None) => "",
    };
    if found.is_empty() {
        let message = "send the key as `authorization: Bearer KEY`";
        return Err(Refusal::not_run(Code::Unauthorized, message));
    }
    Ok(found)
}
