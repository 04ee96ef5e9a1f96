//! The controller: the process that decides which upstream holds which model.
//!
//! Every controller embeds a planner of the coordination library, but only the placement home runs
//! it. [`run`] drives the planner, [`table`] reads and writes intents, [`orders`] sends load and
//! unload orders and probes upstreams, [`adapters`] loads adapters, and [`push`] sends the routers
//! the list of usable replicas. Requests are served without a controller: routers keep using the
//! last list.
//!
//! Lock order: the planner before the adapters. No lock is held across an await.

pub mod adapters;
pub mod catalog;
pub mod orders;
pub mod push;
pub mod run;
pub mod settings;
pub mod table;

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use corianderyoke_coord::membership::HomeState;
use corianderyoke_coord::membership::Kind;
use corianderyoke_coord::membership::MemberId;
use corianderyoke_coord::placement;
use corianderyoke_coord::placement::Planner;
use corianderyoke_platform::Platform;
use corianderyoke_wire::peer;
use corianderyoke_wire::peer::request::Body as Call;
use corianderyoke_wire::peer::response::Body as Answer;
use parking_lot::Mutex;
use tokio::sync::Notify;

use self::adapters::Adapters;
use self::catalog::FastestTiers;
use self::settings::Settings;
use crate::agent::Agent;
use crate::agent::Service;
use crate::util::clock;

/// Name that is hashed to choose the placement home.
pub const PLACEMENT: &str = "cell";
/// Added to the load time in the ready estimate that routers get.
const READY_MARGIN: Duration = Duration::from_millis(500);

/// One controller.
pub struct Controller {
    /// Settings of this process.
    pub settings: Settings,
    /// Membership, peers and configuration.
    pub agent: Arc<Agent>,
    platform: Arc<dyn Platform>,
    upstreams: Arc<corianderyoke_upstream::Client>,
    planner: Mutex<Planner>,
    adapters: Mutex<Adapters>,
    tiers: Mutex<FastestTiers>,
    /// Wakes the control loop when the planner may have work.
    wakeup: Notify,
}

impl Controller {
    /// A controller on top of a running agent.
    pub fn new(
        settings: Settings,
        agent: Arc<Agent>,
        platform: Arc<dyn Platform>,
        upstreams: Arc<corianderyoke_upstream::Client>,
    ) -> Arc<Controller> {
        let planner = Planner::new(placement::Settings::default(), &agent.id().to_string());
        Arc::new(Controller {
            settings,
            agent,
            platform,
            upstreams,
            planner: Mutex::new(planner),
            adapters: Mutex::default(),
            tiers: Mutex::default(),
            wakeup: Notify::new(),
        })
    }

    /// Whether this controller may make decisions and send orders now: it holds its lease, its
    /// configuration is confirmed, and it is the placement home.
    pub fn serves(&self) -> bool {
        self.agent.may_act()
            && self.agent.config_fresh()
            && self.agent.home_state(Kind::Placement, PLACEMENT) == HomeState::Serving
    }

    /// Whether the planner has read the table and makes decisions.
    pub fn is_active(&self) -> bool {
        self.planner.lock().is_active()
    }

    fn handle_wake(&self, from: &MemberId, demand: &peer::WakeRequest) -> peer::WakeResponse {
        if !self.serves() {
            return peer::WakeResponse { not_home: true, ..peer::WakeResponse::default() };
        }
        let (waiting, running) = (demand.waiting, demand.running);
        let mut planner = self.planner.lock();
        planner.report_demand(clock::now(), &demand.model, &from.name, waiting, running);
        let model = planner.model_key(&demand.model).and_then(|key| planner.model(key).cloned());
        drop(planner);
        if waiting > 0 {
            self.wakeup.notify_one();
        }
        let load_time =
            model.map(|model| model.load_time(self.tiers.lock().fastest(&demand.model)));
        let ready = load_time.map_or(0, |time| (time + READY_MARGIN).as_millis() as u64);
        peer::WakeResponse { accepted: true, not_home: false, ready_ms: ready }
    }
}

/// Handles the routers' calls.
pub struct Peers {
    /// The controller.
    pub controller: Arc<Controller>,
}

#[async_trait]
impl Service for Peers {
    async fn answer(&self, from: &MemberId, call: Call) -> Option<Answer> {
        match call {
            Call::Wake(demand) => Some(Answer::Wake(self.controller.handle_wake(from, &demand))),
            Call::Adapter(request) => {
                Some(Answer::Adapter(adapters::handle_request(&self.controller, &request).await))
            }
            _ => None,
        }
    }

    fn rejoining(&self) {
        // The control loop restarts the planner under the new incarnation's identity; until then
        // the planner must not decide.
        self.controller.planner.lock().stop();
    }
}
