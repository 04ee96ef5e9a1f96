//! Runs a router: binds its addresses, joins the cell, serves, and shuts down without interrupting
//! open requests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use corianderyoke_coord::membership::MemberId;
use corianderyoke_coord::membership::Role;
use corianderyoke_coord::membership::RowState;
use corianderyoke_history::Event as HistoryEvent;
use corianderyoke_http::Running as Server;
use corianderyoke_platform::Platform;
use corianderyoke_wire::peer::request::Body as PeerRequest;
use corianderyoke_wire::peer::response::Body as PeerResponse;
use prometheus_client::registry::Registry;
use rocket::serde::json::Value;
use serde_json::json;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::agent;
use crate::agent::settings::membership_timing;
use crate::agent::traced::Traced;
use crate::agent::traffic::Traffic;
use crate::agent::Addresses;
use crate::agent::Agent;
use crate::agent::Service;
use crate::ops::daemon;
use crate::router::home;
use crate::router::home::dispatch;
use crate::router::home::takeover;
use crate::router::http;
use crate::router::metrics::HeldMemory;
use crate::router::service;
use crate::router::settings::Settings;
use crate::router::watch;
use crate::router::Router;
use crate::util::events;
use crate::util::events::Event;
use crate::util::observe;
use crate::util::observe::Observed;

/// Interval at which the router's readiness is checked.
const READINESS_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which a leaving router checks for open requests.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Longest time for which callers keep using the address of a router that has left the entry list.
const ENTRY_CACHE_TIME: Duration = Duration::from_millis(500);

/// A running router.
pub struct Running {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for operators.
    pub operators: SocketAddr,
    /// State shared with the router's tasks.
    pub router: Arc<Router>,
    front: http::Running,
    observer: Server,
    tasks: JoinSet<()>,
}

/// Starts a router. It serves once its agent has joined and a configuration is in force.
pub async fn start(settings: Settings) -> anyhow::Result<Running> {
    let history = daemon::recorder(&settings.name, &settings.history)?;
    let client = daemon::client(settings.platform)?;
    let platform = Traced::wrap(Arc::clone(&client) as Arc<dyn Platform>, &history);
    let (callers, operators) = (settings.callers, settings.operators);
    let agent = Agent::bind(
        agent::Settings {
            name: settings.name.clone(),
            role: Role::Router,
            zone: settings.zone.clone(),
            cell: settings.cell.clone(),
            membership: membership_timing(Duration::from_millis(settings.term_ms)),
            peers: settings.peers,
            history,
            ..agent::Settings::default()
        },
        Arc::clone(&platform),
    )?;
    let upstreams = corianderyoke_upstream::Client::new(Default::default())?;
    let router = Router::new(settings, Arc::clone(&agent), platform, Arc::new(upstreams));
    agent.set_service(Arc::new(PeerService { router: Arc::clone(&router) }));
    let mut registry = Registry::with_prefix("corianderyoke");
    router.metrics.register(&mut registry);
    registry.register_collector(Box::new(Traffic::new(Arc::clone(&agent), client)));
    registry.register_collector(Box::new(HeldMemory(Arc::clone(&router.memory))));
    let observed = Arc::new(ObservedRouter { router: Arc::clone(&router) });
    let front = http::serve(callers, Arc::clone(&router)).await?;
    let observer = observe::serve(operators, observed, Arc::new(registry)).await?;
    // If port 0 was requested, the system has assigned the ports.
    let (callers, operators) = (front.address, observer.address);
    agent.set_addresses(Addresses {
        callers: callers.to_string(),
        operators: operators.to_string(),
    });
    agent.history().record(|| HistoryEvent::ProcessStart { role: "router".to_owned() });
    agent.run();
    let mut tasks = JoinSet::new();
    tasks.spawn(Arc::clone(&router.hangups).run());
    tasks.spawn(takeover::run(Arc::clone(&router)));
    tasks.spawn(dispatch::run(Arc::clone(&router)));
    tasks.spawn(watch::run(Arc::clone(&router)));
    tasks.spawn(service::run(Arc::clone(&router)));
    tasks.spawn(report_readiness(Arc::clone(&router)));
    events::log(Event::Started, format_args!("name={} callers={callers}", router.settings.name));
    Ok(Running { callers, operators, router, front, observer, tasks })
}

async fn report_readiness(router: Arc<Router>) {
    let mut reported = false;
    loop {
        let ready = router.ready();
        if ready != reported && !router.is_leaving() {
            reported = ready;
            let state = if ready { RowState::Ready } else { RowState::Joining };
            router.agent.set_state(state);
        }
        sleep(READINESS_INTERVAL).await;
    }
}

impl Running {
    /// Leaves the entry list, finishes every open request, leaves the view and shuts down.
    pub async fn leave(mut self) {
        let router = &self.router;
        router.agent.history().record(|| HistoryEvent::ShutdownBegin);
        events::log(Event::Stopping, format_args!("open={}", router.open_requests.len()));
        router.agent.set_state(RowState::Leaving);
        // Callers that still use a cached entry list are served until they have read a new one.
        sleep(ENTRY_CACHE_TIME).await;
        router.leave();
        while !router.open_requests.is_empty() {
            sleep(DRAIN_CHECK_INTERVAL).await;
        }
        router.agent.depart().await;
        self.tasks.abort_all();
        self.front.stop().await;
        self.observer.stop().await;
        self.router.agent.history().record(|| HistoryEvent::ShutdownEnd);
        events::log(Event::Stopped, format_args!("name={}", self.router.settings.name));
    }
}

struct PeerService {
    router: Arc<Router>,
}

#[async_trait]
impl Service for PeerService {
    async fn answer(&self, from: &MemberId, request: PeerRequest) -> Option<PeerResponse> {
        home::answer(&self.router, from, request).await
    }

    fn rejoining(&self) {
        self.router.reset();
    }
}

struct ObservedRouter {
    router: Arc<Router>,
}

impl Observed for ObservedRouter {
    fn ready(&self) -> bool {
        self.router.ready()
    }

    fn status(&self) -> Value {
        let agent = &self.router.agent;
        let revision = agent.config().map_or(0, |register| register.revision.0);
        json!({
            "name": self.router.settings.name,
            "revision": revision,
            "epoch": agent.view().epoch,
            "ready": self.router.ready(),
            "open": self.router.open_requests.len(),
        })
    }

    fn refresh(&self) {
        self.router.agent.refresh_configuration();
    }

    fn explain(&self, team: &str, model: &str) -> Value {
        self.router.explain(team, model)
    }
}
