//! Runs a controller: joins the cell, places models while it is the placement home, and shuts down.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use corianderyoke_coord::membership::Role;
use corianderyoke_coord::membership::RowState;
use corianderyoke_history::Event as HistoryEvent;
use corianderyoke_http::Running as Server;
use corianderyoke_platform::Platform;
use prometheus_client::registry::Registry;
use rocket::serde::json::Value;
use serde_json::json;
use tokio::task::JoinSet;

use crate::agent;
use crate::agent::settings::membership_timing;
use crate::agent::traced::Traced;
use crate::agent::traffic::Traffic;
use crate::agent::Addresses;
use crate::agent::Agent;
use crate::controller::run;
use crate::controller::settings::Settings;
use crate::controller::Controller;
use crate::controller::Peers;
use crate::ops::daemon;
use crate::util::events;
use crate::util::events::Event;
use crate::util::observe;
use crate::util::observe::Observed;

/// A running controller.
pub struct Running {
    /// Address for operators.
    pub operators: SocketAddr,
    /// State shared with the controller's tasks.
    pub controller: Arc<Controller>,
    server: Server,
    tasks: JoinSet<()>,
}

/// Starts a controller. It makes decisions once its agent has joined and it is the placement home.
pub async fn start(settings: Settings) -> anyhow::Result<Running> {
    let history = daemon::recorder(&settings.name, &settings.history)?;
    let client = daemon::client(settings.platform)?;
    let platform = Traced::wrap(Arc::clone(&client) as Arc<dyn Platform>, &history);
    let operators = settings.operators;
    let agent = Agent::bind(
        agent::Settings {
            name: settings.name.clone(),
            role: Role::Controller,
            zone: settings.zone.clone(),
            cell: settings.cell.clone(),
            membership: membership_timing(Duration::from_millis(settings.term_ms)),
            peers: settings.peers,
            history,
            ..agent::Settings::default()
        },
        Arc::clone(&platform),
    )?;
    let upstreams = Arc::new(corianderyoke_upstream::Client::new(Default::default())?);
    let controller = Controller::new(settings, Arc::clone(&agent), platform, upstreams);
    agent.set_service(Arc::new(Peers { controller: Arc::clone(&controller) }));
    let mut registry = Registry::with_prefix("corianderyoke");
    registry.register_collector(Box::new(Traffic::new(Arc::clone(&agent), client)));
    let observed = Arc::new(ObservedController { controller: Arc::clone(&controller) });
    let server = observe::serve(operators, observed, Arc::new(registry)).await?;
    // If port 0 was requested, the system has assigned the port.
    let operators = server.address;
    let operators_text = operators.to_string();
    agent.set_addresses(Addresses { operators: operators_text, ..Addresses::default() });
    agent.set_state(RowState::Ready);
    agent.history().record(|| HistoryEvent::ProcessStart { role: "controller".to_owned() });
    agent.run();
    let mut tasks = JoinSet::new();
    tasks.spawn(run::run(Arc::clone(&controller)));
    events::log(Event::Started, format_args!("name={}", controller.settings.name));
    Ok(Running { operators, controller, server, tasks })
}

impl Running {
    /// Leaves the view and shuts the controller down.
    pub async fn leave(mut self) {
        events::log(Event::Stopping, format_args!("name={}", self.controller.settings.name));
        self.controller.agent.history().record(|| HistoryEvent::ShutdownBegin);
        self.controller.agent.depart().await;
        self.tasks.abort_all();
        self.server.stop().await;
        self.controller.agent.history().record(|| HistoryEvent::ShutdownEnd);
        events::log(Event::Stopped, format_args!("name={}", self.controller.settings.name));
    }
}

struct ObservedController {
    controller: Arc<Controller>,
}

impl Observed for ObservedController {
    fn ready(&self) -> bool {
        self.controller.agent.may_act() && self.controller.agent.config_fresh()
    }

    fn status(&self) -> Value {
        let agent = &self.controller.agent;
        let revision = agent.config().map_or(0, |register| register.revision.0);
        json!({
            "name": self.controller.settings.name,
            "revision": revision,
            "epoch": agent.view().epoch,
            "ready": self.ready(),
            "active": self.controller.is_active() && self.controller.serves(),
        })
    }

    fn refresh(&self) {
        self.controller.agent.refresh_configuration();
    }

    fn explain(&self, _: &str, _: &str) -> Value {
        json!({"decision": "unknown", "why": "ask a router"})
    }
}
