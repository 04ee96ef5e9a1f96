//! The controller: the process that has models loaded and unloaded.
//!
//! Every controller embeds a planner of the coordination library; only the one that is the home of
//! placement runs it. [`run`] drives it: [`table`] reads and writes intents, [`orders`] sends
//! orders and asks upstreams for their state, [`adapters`] loads adapters, and [`push`] tells the
//! routers which replicas they may use. Running traffic needs none of this: routers keep the last
//! list.
//!
//! Lock order: the planner before the adapters; neither is held over an await.

pub mod adapters;
pub mod facts;
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
use self::facts::Tiers;
use self::settings::Settings;
use crate::agent::Agent;
use crate::agent::Service;
use crate::util::clock;

/// Name under which the placement home is hashed.
pub const PLACEMENT: &str = "cell";
/// Added to the load time in the estimate that routers are told.
const READY_SLACK: Duration = Duration::from_millis(500);

/// One controller.
pub struct Controller {
    /// Settings.
    pub settings: Settings,
    /// Membership, peers and configuration.
    pub agent: Arc<Agent>,
    platform: Arc<dyn Platform>,
    upstreams: Arc<corianderyoke_upstream::Client>,
    planner: Mutex<Planner>,
    adapters: Mutex<Adapters>,
    tiers: Mutex<Tiers>,
    /// Told when the planner has something to do.
    wanted: Notify,
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
            wanted: Notify::new(),
        })
    }

    /// Whether this controller may decide and order now.
    pub fn serves(&self) -> bool {
        self.agent.may_act()
            && self.agent.config_fresh()
            && self.agent.home_state(Kind::Placement, PLACEMENT) == HomeState::Serving
    }

    /// Whether the planner has read the table and decides.
    pub fn is_active(&self) -> bool {
        self.planner.lock().is_active()
    }

    fn wake(&self, from: &MemberId, demand: &peer::WakeRequest) -> peer::WakeResponse {
        if !self.serves() {
            return peer::WakeResponse { not_home: true, ..peer::WakeResponse::default() };
        }
        let (waiting, running) = (demand.waiting, demand.running);
        let mut planner = self.planner.lock();
        planner.report_demand(clock::now(), &demand.model, &from.name, waiting, running);
        let model = planner.model_key(&demand.model).and_then(|key| planner.model(key).cloned());
        drop(planner);
        if waiting > 0 {
            self.wanted.notify_one();
        }
        let load = model.map(|model| model.load_time(self.tiers.lock().best(&demand.model)));
        let ready = load.map_or(0, |load| (load + READY_SLACK).as_millis() as u64);
        peer::WakeResponse { accepted: true, not_home: false, ready_ms: ready }
    }
}

/// Answers the routers' calls.
pub struct Peers {
    /// The controller.
    pub controller: Arc<Controller>,
}

#[async_trait]
impl Service for Peers {
    async fn answer(&self, from: &MemberId, call: Call) -> Option<Answer> {
        match call {
            Call::Wake(demand) => Some(Answer::Wake(self.controller.wake(from, &demand))),
            Call::Adapter(ask) => {
                Some(Answer::Adapter(adapters::answer(&self.controller, &ask).await))
            }
            _ => None,
        }
    }

    fn rejoining(&self) {
        // The loop takes a new planner under the new incarnation's name; until then the old one
        // isn't home.
        self.controller.planner.lock().stop();
    }
}
