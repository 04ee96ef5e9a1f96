//! Runs a router: binds its addresses, joins the cell, serves, and leaves without cutting anyone.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use corianderyoke_coord::membership::MemberId;
use corianderyoke_coord::membership::Role;
use corianderyoke_coord::membership::RowState;
use corianderyoke_history::Event as Recorded;
use corianderyoke_http::Running as Server;
use corianderyoke_platform::Platform;
use corianderyoke_wire::peer::request::Body as Call;
use corianderyoke_wire::peer::response::Body as Answer;
use prometheus_client::registry::Registry;
use rocket::serde::json::Value;
use serde_json::json;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::agent;
use crate::agent::settings::membership_timing;
use crate::agent::traced::Traced;
use crate::agent::traffic::Traffic;
use crate::agent::Agent;
use crate::agent::Service;
use crate::ops::daemon;
use crate::router::home;
use crate::router::home::dispatch;
use crate::router::home::takeover;
use crate::router::http;
use crate::router::service;
use crate::router::settings::Settings;
use crate::router::watch;
use crate::router::Router;
use crate::util::events;
use crate::util::events::Event;
use crate::util::observe;
use crate::util::observe::Observed;

/// Time between two looks at whether the router is fit for callers.
const READY_EVERY: Duration = Duration::from_millis(100);
/// Time between two looks at open requests while leaving.
const DRAIN_EVERY: Duration = Duration::from_millis(20);
/// Time for which callers keep the address of a leaving router at most.
const ENTRY_KEPT: Duration = Duration::from_millis(500);

/// A running router.
pub struct Running {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for operators.
    pub operators: SocketAddr,
    /// The router.
    pub router: Arc<Router>,
    servers: Vec<Server>,
    tasks: JoinSet<()>,
}

/// Starts a router; it serves once its agent has joined and the configuration is in force.
pub async fn start(settings: Settings) -> anyhow::Result<Running> {
    let history = daemon::recorder(&settings.name, &settings.history)?;
    let client = daemon::client(settings.platform)?;
    let platform = Traced::wrap(Arc::clone(&client) as Arc<dyn Platform>, &history);
    let callers = daemon::reserve(settings.callers)?;
    let operators = daemon::reserve(settings.operators)?;
    let agent = Agent::bind(
        agent::Settings {
            name: settings.name.clone(),
            role: Role::Router,
            zone: settings.zone.clone(),
            cell: settings.cell.clone(),
            membership: membership_timing(Duration::from_millis(settings.term_ms)),
            peers: settings.peers,
            callers: callers.to_string(),
            operators: operators.to_string(),
            history,
            ..agent::Settings::default()
        },
        Arc::clone(&platform),
    )?;
    let upstreams = corianderyoke_upstream::Client::new(Default::default())?;
    let router = Router::new(settings, Arc::clone(&agent), platform, Arc::new(upstreams));
    agent.set_service(Arc::new(Peers { router: Arc::clone(&router) }));
    let mut registry = Registry::with_prefix("corianderyoke");
    router.metrics.register(&mut registry);
    registry.register_collector(Box::new(Traffic::new(Arc::clone(&agent), client)));
    let subject = Arc::new(Subject { router: Arc::clone(&router) });
    let servers = vec![
        http::serve(callers, Arc::clone(&router)).await?,
        observe::serve(operators, subject, Arc::new(registry)).await?,
    ];
    agent.history().record(|| Recorded::ProcessStart { role: "router".to_owned() });
    agent.run();
    let mut tasks = JoinSet::new();
    tasks.spawn(Arc::clone(&router.hangups).run());
    tasks.spawn(takeover::run(Arc::clone(&router)));
    tasks.spawn(dispatch::run(Arc::clone(&router)));
    tasks.spawn(watch::run(Arc::clone(&router)));
    tasks.spawn(service::run(Arc::clone(&router)));
    tasks.spawn(readiness(Arc::clone(&router)));
    events::log(Event::Started, format_args!("name={} callers={callers}", router.settings.name));
    Ok(Running { callers, operators, router, servers, tasks })
}

async fn readiness(router: Arc<Router>) {
    let mut said = false;
    loop {
        let ready = router.ready();
        if ready != said && !router.is_leaving() {
            said = ready;
            let state = if ready { RowState::Ready } else { RowState::Joining };
            router.agent.set_state(state);
        }
        sleep(READY_EVERY).await;
    }
}

impl Running {
    /// Leaves the entry list, finishes every open request, leaves the view and ends.
    pub async fn leave(mut self) {
        let router = &self.router;
        router.agent.history().record(|| Recorded::ShutdownBegin);
        events::log(Event::Stopping, format_args!("open={}", router.open_requests.len()));
        router.agent.set_state(RowState::Leaving);
        // Callers that keep an entry a little longer are still served until the list shows it.
        sleep(ENTRY_KEPT).await;
        router.leave();
        while !router.open_requests.is_empty() {
            sleep(DRAIN_EVERY).await;
        }
        router.agent.depart().await;
        self.tasks.abort_all();
        for server in self.servers.drain(..) {
            server.stop().await;
        }
        self.router.agent.history().record(|| Recorded::ShutdownEnd);
        events::log(Event::Stopped, format_args!("name={}", self.router.settings.name));
    }
}

struct Peers {
    router: Arc<Router>,
}

#[async_trait]
impl Service for Peers {
    async fn answer(&self, from: &MemberId, call: Call) -> Option<Answer> {
        home::answer(&self.router, from, call).await
    }

    fn rejoining(&self) {
        self.router.reset();
    }
}

struct Subject {
    router: Arc<Router>,
}

impl Observed for Subject {
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

    fn explain(&self, team: &str, model: &str) -> Value {
        self.router.explain(team, model)
    }
}
