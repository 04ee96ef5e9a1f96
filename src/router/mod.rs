//! The router: the process that callers talk to.
//!
//! A request comes in through [`http`], is parsed by [`request`] and authenticated against the
//! register in force. [`limit`] takes its tokens from the team's pool, [`start`] waits for a slot
//! of an upstream, and [`generate`] passes the answer on, resuming it where an upstream breaks
//! off. Calls to plain services go through [`service`]. [`home`] holds the pools and queues that
//! this router is the home of and answers the other routers. [`watch`] cuts what a new revision no
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
pub mod start;
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
use corianderyoke_coord::pools::Limits as Rate;
use corianderyoke_coord::register::Register;
use corianderyoke_history::Event as Recorded;
use corianderyoke_platform::Platform;
use corianderyoke_wire::peer::request::Body as Call;
use corianderyoke_wire::peer::response::Body as Answer;
use futures::future::BoxFuture;
use rand::random;
use tokio::time::timeout;

use self::hangup::Hangups;
use self::home::Homes;
use self::http::Parts;
use self::limit::Limits;
use self::metrics::Metrics;
use self::open::Grant;
use self::open::Open;
use self::open::Ticket;
use self::refusal::Code;
use self::refusal::Refusal;
use self::refusal::Result;
use self::settings::Settings;
use self::start::Held;
use crate::agent::Agent;
use crate::util::events;
use crate::util::events::Event;

/// Wait told to callers of a router that can't serve now.
const RETRY_SOON: Duration = Duration::from_secs(1);

/// One router.
pub struct Router {
    /// Settings.
    pub settings: Settings,
    /// Membership, peers and configuration.
    pub agent: Arc<Agent>,
    /// The platform's services.
    pub platform: Arc<dyn Platform>,
    /// Connections to upstreams.
    pub upstreams: Arc<corianderyoke_upstream::Client>,
    /// Slices of the teams' limits.
    pub limits: Limits,
    /// Slots held.
    pub held: Held,
    /// What this router is the home of.
    pub homes: Homes,
    /// Requests in work.
    pub open: Arc<Open>,
    /// Callers that wait for an answer to begin.
    pub hangups: Arc<Hangups>,
    /// Calls that may not be repeated.
    pub ledger: service::Calls,
    /// Counters for operators.
    pub metrics: Metrics,
    leaving: AtomicBool,
    number: AtomicU64,
}

/// Who a request runs for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Caller {
    /// Name of the key, empty on open routes.
    pub key: String,
    /// Name of the team, empty on open routes.
    pub team: String,
    /// The secret as it came, to keep it from upstreams.
    pub secret: String,
}

/// What a generation request asks for.
#[derive(Clone, Debug)]
pub struct Target {
    /// Base model.
    pub model: String,
    /// Adapter.
    pub adapter: Option<String>,
    /// Deadline where the caller sets none.
    pub deadline: Duration,
    /// Longest deadline that a caller may set.
    pub longest: Duration,
    /// The base model's entry.
    pub base: corianderyoke_coord::register::Model,
}

impl Router {
    /// A router on top of a running agent.
    pub fn new(
        settings: Settings,
        agent: Arc<Agent>,
        platform: Arc<dyn Platform>,
        upstreams: Arc<corianderyoke_upstream::Client>,
    ) -> Arc<Router> {
        Arc::new(Router {
            settings,
            agent,
            platform,
            upstreams,
            limits: Limits::default(),
            held: Held::default(),
            homes: Homes::default(),
            open: Arc::default(),
            hangups: Arc::default(),
            ledger: service::Calls::new(Ledger::new(Default::default())),
            metrics: Metrics::default(),
            leaving: AtomicBool::new(false),
            number: AtomicU64::new(1),
        })
    }

    /// A request id that no other request has.
    pub fn new_id(&self) -> String {
        format!("req-{:016x}", random::<u64>())
    }

    /// A number that this process uses once.
    pub fn new_number(&self) -> u64 {
        self.number.fetch_add(1, Ordering::Relaxed)
    }

    /// Takes no new callers from here on.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::SeqCst);
    }

    /// Whether the router takes no new callers.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::SeqCst)
    }

    /// Whether callers should come here.
    pub fn ready(&self) -> bool {
        !self.leaving.load(Ordering::SeqCst) && self.agent.may_act() && self.agent.config_fresh()
    }

    /// The register, if this router may decide by it now.
    ///
    /// # Errors
    ///
    /// A refusal that says whether it leaves, lost its term or can't know what is in force.
    pub fn register(&self) -> Result<Arc<Register>> {
        if self.leaving.load(Ordering::SeqCst) {
            let refusal = Refusal::not_run(Code::Leaving, "this router leaves; ask for an entry");
            return Err(refusal.with_retry(RETRY_SOON));
        }
        self.may_act()?;
        self.agent.config().ok_or_else(stale)
    }

    /// Whether this router may spend, claim or send on behalf of callers now.
    ///
    /// # Errors
    ///
    /// A refusal with outcome "not run".
    pub fn may_act(&self) -> Result<()> {
        if !self.agent.may_act() {
            let message = "this router's term lapsed; ask another router";
            return Err(Refusal::not_run(Code::Unavailable, message).with_retry(RETRY_SOON));
        }
        if !self.agent.config_fresh() {
            return Err(stale());
        }
        Ok(())
    }

    /// Whose key came with a request.
    ///
    /// # Errors
    ///
    /// A refusal where no key came, it isn't known or it was revoked.
    pub fn authenticate(&self, parts: &Parts) -> Result<Caller> {
        let register = self.register()?;
        let secret = secret(parts)?;
        let found = register.authenticate(secret).ok_or_else(|| {
            Refusal::not_run(Code::Unauthorized, "the key isn't known or was revoked")
        })?;
        let holds = |text: &[u8]| text.windows(secret.len()).any(|part| part == secret.as_bytes());
        if holds(&parts.body) || holds(parts.query.as_bytes()) || holds(parts.path.as_bytes()) {
            let message = "the key belongs into the authorization header only";
            return Err(Refusal::not_run(Code::BadRequest, message));
        }
        Ok(Caller {
            key: found.key.to_owned(),
            team: found.team.to_owned(),
            secret: secret.to_owned(),
        })
    }

    /// What a caller's model name stands for.
    ///
    /// # Errors
    ///
    /// The same refusal for a name that doesn't exist and one that the team may not use.
    pub fn target(&self, caller: &Caller, name: &str) -> Result<Target> {
        let register = self.register()?;
        let found = register.target(name);
        let allowed = found.filter(|found| register.may_use(&caller.team, found.resource()));
        let found = allowed.ok_or_else(|| {
            let message = format!("model `{name}` doesn't exist for this team");
            Refusal::not_run(Code::NotFound, message)
        })?;
        Ok(Target {
            model: found.model.to_owned(),
            adapter: found.adapter.map(str::to_owned),
            deadline: Duration::from_millis(register.rules.deadline_ms),
            longest: Duration::from_millis(register.rules.longest_ms),
            base: found.base.clone(),
        })
    }

    /// Enters a request into the table of open ones.
    ///
    /// # Errors
    ///
    /// A refusal where too many are open, or the register no longer lets it run.
    pub fn enter(&self, grant: Grant) -> Result<Ticket> {
        let ticket = self.open.enter(grant.clone(), self.settings.open_requests);
        let ticket = ticket.ok_or_else(|| {
            let refusal = Refusal::not_run(Code::Overloaded, "too many requests are open here");
            refusal.with_retry(RETRY_SOON)
        })?;
        // A revision that came into force after the key was looked up cut only what was in the
        // table by then, so the grant is looked up again now that the request is in it.
        if !watch::allowed(&*self.register()?, &grant) {
            let message = "the key isn't known or was revoked";
            return Err(Refusal::not_run(Code::Unauthorized, message));
        }
        Ok(ticket)
    }

    /// Forgets what the last incarnation held and was the home of: all of it is lost by now.
    pub fn forget(&self) {
        self.limits.reset();
        self.homes.tokens.reset();
        self.homes.dispatch.stop();
    }

    /// Rate and burst of a team.
    pub fn rate(&self, team: &str) -> Option<Rate> {
        let register = self.agent.config()?;
        let team = register.teams.get(team)?;
        Some(Rate { rate: team.rate as u64, burst: team.burst })
    }

    /// Address of an upstream that is registered.
    pub fn address(&self, upstream: &str) -> Option<SocketAddr> {
        let register = self.agent.config()?;
        register.upstreams.get(upstream)?.address.parse().ok()
    }

    /// Calls the home of a thing, here or at another member; `None` without an answer.
    pub async fn call_home(
        self: &Arc<Self>,
        kind: Kind,
        name: &str,
        call: Call,
        limit: Duration,
    ) -> Option<Answer> {
        let owner = self.agent.owner(kind, name)?;
        self.call_member(&owner, call, limit).await
    }

    /// Calls a member, which may be this one; `None` without an answer.
    pub async fn call_member(
        self: &Arc<Self>,
        member: &MemberId,
        call: Call,
        limit: Duration,
    ) -> Option<Answer> {
        if *member == self.agent.id() {
            // As at another member, the work goes on when the wait for it is over.
            let (router, member) = (Arc::clone(self), member.clone());
            let work: BoxFuture<'static, Option<Answer>> =
                Box::pin(async move { home::answer(&router, &member, call).await });
            return timeout(limit, tokio::spawn(work)).await.ok()?.ok()?;
        }
        self.agent.call(member, call, limit).await.ok()
    }

    /// Records that an attempt is sent to an upstream.
    pub fn sending(&self, request: &str, attempt: &str, team: &str, upstream: &str) {
        self.record(|| Recorded::UpstreamSend {
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

    /// Records an event of the run.
    pub fn record(&self, event: impl FnOnce() -> Recorded) {
        self.agent.history().record(event);
    }

    /// Counts and logs a refusal.
    pub fn refused(&self, refusal: &Refusal) {
        self.metrics.refused(refusal.code);
        self.record(|| Recorded::Refusal {
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

fn stale() -> Refusal {
    let message = "this router can't know what is in force; ask another router";
    Refusal::not_run(Code::Unavailable, message).with_retry(RETRY_SOON)
}

fn secret(parts: &Parts) -> Result<&str> {
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
