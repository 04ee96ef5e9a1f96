//! A complete cell in one process, on loopback: stand-ins, routers and controllers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::bail;
use anyhow::Context;
use anyhow::Result;
use corianderyoke_coord::register::document::Document;
use corianderyoke_platform::http::HttpPlatform;
use corianderyoke_platform::Platform;
use corianderyoke_standin::engine;
use corianderyoke_standin::platform;
use corianderyoke_standin::service;
use indexmap::IndexMap;
use tokio::time::sleep;
use tokio::time::Instant;

use crate::controller::settings::Settings as ControllerSettings;
use crate::ops::config::commands;
use crate::ops::config::Author;
use crate::ops::controller;
use crate::ops::router;
use crate::router::settings::Settings as RouterSettings;

/// Timeout until all routers are ready, or have a revision in force.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval at which the routers are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Zones that processes of each kind are assigned to, round-robin.
const ZONES: [&str; 4] = ["z1", "z2", "z3", "z4"];

/// Composition and settings of a cell.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Number of routers.
    pub routers: usize,
    /// Number of controllers.
    pub controllers: usize,
    /// Settings of each engine; the engines are named `engine-1`, `engine-2` and so on.
    pub engines: Vec<engine::Settings>,
    /// Number of instances of the service `orders`, named `orders-1`, `orders-2` and so on.
    pub services: usize,
    /// Register and rules in TOML, without upstreams and zones, which are generated.
    pub register: String,
    /// Requests that run concurrently on a warm engine.
    pub slots: u32,
    /// Settings of all routers; name, zone and platform address are replaced.
    pub router: RouterSettings,
}

impl Default for Plan {
    fn default() -> Self {
        Plan {
            routers: 3,
            controllers: 2,
            engines: vec![engine::Settings::default(), engine::Settings::default()],
            services: 1,
            register: String::new(),
            slots: 32,
            router: RouterSettings::default(),
        }
    }
}

/// A running cell.
pub struct Cell {
    /// The platform's stand-in.
    pub platform: platform::Server,
    /// Platform client for the operators' commands.
    pub store: Arc<HttpPlatform>,
    /// Engines in the order of their numbers.
    pub engines: Vec<engine::Running>,
    /// Instances of the service in the order of their numbers.
    pub services: Vec<service::Running>,
    /// Routers in the order of their numbers.
    pub routers: Vec<router::Running>,
    /// Controllers in the order of their numbers.
    pub controllers: Vec<controller::Running>,
}

impl Cell {
    /// Starts a cell and waits until every router is ready and sees all members.
    pub async fn start(plan: Plan) -> Result<Cell> {
        let platform = platform::serve(platform::Settings::default()).await?;
        let address = platform.running.address;
        let store = Arc::new(HttpPlatform::new(corianderyoke_platform::http::Settings {
            address: address.to_string(),
            ..Default::default()
        })?);
        let mut engines = Vec::new();
        for settings in &plan.engines {
            engines.push(engine::serve(settings.clone()).await?);
        }
        let mut services = Vec::new();
        for _ in 0..plan.services {
            services.push(service::serve(service::Settings::default()).await?);
        }
        let register = register(&plan, &engines, &services);
        apply(&*store, &register).await?;
        let mut cell = Cell {
            platform,
            store,
            engines,
            services,
            routers: Vec::new(),
            controllers: Vec::new(),
        };
        for number in 1..=plan.controllers {
            let settings = ControllerSettings {
                name: format!("controller-{number}"),
                zone: zone(number),
                platform: address,
                ..ControllerSettings::default()
            };
            cell.controllers.push(controller::start(settings).await?);
        }
        for number in 1..=plan.routers {
            let settings = RouterSettings {
                name: format!("router-{number}"),
                zone: zone(number),
                platform: address,
                ..plan.router.clone()
            };
            cell.routers.push(router::start(settings).await?);
        }
        cell.wait_until_ready().await?;
        Ok(cell)
    }

    async fn wait_until_ready(&self) -> Result<()> {
        let start = Instant::now();
        while start.elapsed() < READY_TIMEOUT {
            let is_ready = |running: &router::Running| {
                let members = running.router.agent.view().members.len();
                running.router.ready() && members == self.routers.len() + self.controllers.len()
            };
            if self.routers.iter().all(is_ready) {
                return Ok(());
            }
            sleep(POLL_INTERVAL).await;
        }
        bail!("the routers weren't ready in time; see the log")
    }

    /// Address for callers of router `number`, counted from 0 and wrapping around.
    pub fn callers(&self, number: usize) -> SocketAddr {
        self.routers[number % self.routers.len()].callers
    }

    /// Issues a key for a team, waits until it is in force and returns its secret.
    pub async fn issue_key(&self, team: &str) -> Result<String> {
        let issued = commands::issue_key(&*self.store, team, None, &author("issue-key")).await?;
        self.wait_in_force(issued.revision.0).await?;
        Ok(issued.secret)
    }

    /// Waits until every router has `revision` or a later one in force; returns the time it took.
    pub async fn wait_in_force(&self, revision: u64) -> Result<Duration> {
        let start = Instant::now();
        while start.elapsed() < READY_TIMEOUT {
            let is_in_force = |running: &router::Running| {
                running
                    .router
                    .agent
                    .config()
                    .is_some_and(|register| register.revision.0 >= revision)
            };
            if self.routers.iter().all(is_in_force) {
                return Ok(start.elapsed());
            }
            sleep(POLL_INTERVAL).await;
        }
        bail!("revision {revision} wasn't in force in time")
    }

    /// Stops the stand-ins and drops the daemons, without a graceful shutdown.
    pub async fn stop(self) {
        for engine in &self.engines {
            engine.stop();
        }
        for service in &self.services {
            service.stop();
        }
        self.platform.running.stop().await;
    }
}

/// Author of the bench's configuration changes; `action` is the command's name.
pub fn author(action: &str) -> Author {
    Author { operator: "bench".to_owned(), action: action.to_owned() }
}

async fn apply(platform: &dyn Platform, register: &str) -> Result<()> {
    let mut document = Document::default();
    let mut problems = document.read("the bench's register", register);
    problems.extend(document.check());
    if !problems.is_empty() {
        let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
        bail!("the bench's register is invalid:\n{}", lines.join("\n"));
    }
    let applied = commands::apply(platform, &document, None, &author("apply")).await;
    applied.context("failed to apply the bench's register")?;
    Ok(())
}

fn zone(number: usize) -> String {
    ZONES[(number - 1) % ZONES.len()].to_owned()
}

fn register(plan: &Plan, engines: &[engine::Running], services: &[service::Running]) -> String {
    let mut text = plan.register.clone();
    for zone in ZONES {
        text.push_str(&format!("[zones.{zone}]\n"));
    }
    let mut names = IndexMap::new();
    for (number, engine) in (1..).zip(engines) {
        let settings = &plan.engines[number - 1];
        let lines = format!(
            "memory_bytes = {}\nfencing = {}\nmax_running = {}\n",
            settings.memory_bytes, settings.fencing, plan.slots
        );
        names.insert(format!("engine-{number}"), (engine.address(), zone(number), lines));
    }
    for (number, service) in (1..).zip(services) {
        let lines = "kind = \"service\"\n".to_owned();
        names.insert(format!("orders-{number}"), (service.address(), zone(number), lines));
    }
    for (name, (address, zone, lines)) in names {
        text.push_str(&format!(
            "[upstreams.{name}]\nzone = \"{zone}\"\naddress = \"{address}\"\n{lines}"
        ));
    }
    text
}
