//! The state that the parts of a run share, and the actions on the fleet's processes.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Result;
use corianderyoke_history::Event;
use corianderyoke_platform::http::HttpPlatform;
use corianderyoke_standin::relay::Flow;
use corianderyoke_support::Fleet;
use indexmap::IndexMap;
use indexmap::IndexSet;
use parking_lot::Mutex;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use super::journal::Journal;
use super::operators;
use super::schedule::Action;

/// Longest time for a graceful shutdown.
const LEAVE_WITHIN: Duration = Duration::from_secs(60);
/// Time between two looks at a process that leaves.
const LOOK_EVERY: Duration = Duration::from_millis(50);
/// Time until an engine that was told to die in its next load is started anew.
const REVIVE_AFTER: Duration = Duration::from_secs(4);
/// Lag of the platform's instance list in microseconds.
const LIST_LAG_US: u64 = 2_000_000;

/// A caller's key.
#[derive(Clone, Debug)]
pub struct Key {
    /// Its name.
    pub name: String,
    /// Its secret.
    pub secret: String,
}

/// Rate and burst of a team, held by the operator that changes them.
pub type Limit = Arc<tokio::sync::Mutex<(u64, u64)>>;

/// A run in progress. Lock order: the fleet before anything else; no other lock is held over an
/// await.
pub struct World {
    /// The processes.
    pub fleet: tokio::sync::Mutex<Fleet>,
    /// What the harness records.
    pub journal: Journal,
    /// The operators' client of the platform.
    pub store: HttpPlatform,
    /// Callers' addresses of the routers that run.
    pub routers: Mutex<IndexMap<String, SocketAddr>>,
    /// The key in use, by team.
    pub keys: Mutex<IndexMap<String, Key>>,
    /// Keys that were withdrawn.
    pub withdrawn: Mutex<Vec<Key>>,
    /// Rate and burst by team, as last accepted.
    pub limits: Mutex<IndexMap<String, Limit>>,
    /// Upstreams listed as leaving.
    pub leaving: Mutex<IndexSet<String>>,
    /// Daemons that are frozen, as they record themselves.
    pub paused: Mutex<IndexSet<String>>,
    /// Actions that go on by themselves.
    pub tasks: Mutex<Vec<JoinHandle<()>>>,
    /// What engines bear while fresh, and for how long, in microseconds.
    pub fresh: (u32, u64),
}

impl World {
    /// Carries an action out. What can't be done now, since another fault came first, is left.
    pub async fn act(self: &Arc<Self>, action: &Action) -> Result<()> {
        match action {
            Action::Kill(name) => self.kill(name).await,
            Action::Start(name) => self.start(name).await,
            Action::Pause(name) => self.pause(name).await,
            Action::Resume(name) => self.resume(name).await,
            Action::Cut(name) => self.set_flow(name, Flow::Cut, true).await,
            Action::Mend(name) => self.set_flow(name, Flow::Pass, true).await,
            Action::Silence(name) => self.set_flow(name, Flow::Silent, false).await,
            Action::Fault { name, fault } => {
                // A stand-in that is dead takes no orders.
                let _ = self.fleet.lock().await.fault(name, fault).await;
                Ok(())
            }
            Action::TurnCold(name) => self.turn_cold(name).await,
            Action::DieInLoad(name) => self.die_in_load(name).await,
            Action::RestartStandin(name) => self.restart(name).await,
            Action::Rate { .. } | Action::Revoke { .. } | Action::Drain(_) | Action::Restore(_) => {
                self.spawn(operators::act(Arc::clone(self), action.clone()));
                Ok(())
            }
            Action::Leave(name) => self.list(name, true).await,
            Action::Join(name) => self.list(name, false).await,
            Action::ReplaceEach => {
                self.spawn(Arc::clone(self).replace_each());
                Ok(())
            }
            Action::ReplaceAll => {
                for name in self.daemons().await {
                    self.spawn(Arc::clone(self).replace(name));
                }
                Ok(())
            }
        }
    }

    fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        self.tasks.lock().push(tokio::spawn(task));
    }

    /// Waits until every action that goes on by itself has ended.
    pub async fn finish(&self) {
        loop {
            let Some(task) = self.tasks.lock().pop() else {
                return;
            };
            // A task that panicked has said so on standard error.
            let _ = task.await;
        }
    }

    /// Names of all daemons of the fleet.
    pub async fn daemons(&self) -> Vec<String> {
        let fleet = self.fleet.lock().await;
        let routers = (1..=fleet.builder.routers).map(|number| format!("router-{number}"));
        let controllers =
            (1..=fleet.builder.controllers).map(|number| format!("controller-{number}"));
        routers.chain(controllers).collect()
    }

    async fn kill(&self, name: &str) -> Result<()> {
        let mut fleet = self.fleet.lock().await;
        if !fleet.has(name) {
            return Ok(());
        }
        let target = fleet.recorded_name(name)?;
        self.routers.lock().swap_remove(name);
        fleet.kill(name)?;
        self.paused.lock().swap_remove(&target);
        self.journal.note(Event::ProcessKilled { target });
        Ok(())
    }

    /// Starts a daemon that doesn't run.
    pub async fn start(&self, name: &str) -> Result<()> {
        let mut fleet = self.fleet.lock().await;
        if fleet.has(name) {
            return Ok(());
        }
        let Some((role, number)) = name.rsplit_once('-') else {
            return Ok(());
        };
        let number = number.parse()?;
        fleet.start_daemon(role, number).await?;
        if role == "router" {
            let address = fleet.process(name)?.address("callers")?;
            self.routers.lock().insert(name.to_owned(), address);
        }
        Ok(())
    }

    async fn pause(&self, name: &str) -> Result<()> {
        let fleet = self.fleet.lock().await;
        if !fleet.has(name) {
            return Ok(());
        }
        let target = fleet.recorded_name(name)?;
        if self.paused.lock().insert(target.clone()) {
            self.journal.note(Event::ProcessPaused { target });
            fleet.pause(name)?;
        }
        Ok(())
    }

    /// Lets a daemon go on, if it is frozen.
    pub async fn resume(&self, name: &str) -> Result<()> {
        let fleet = self.fleet.lock().await;
        if !fleet.has(name) {
            return Ok(());
        }
        let target = fleet.recorded_name(name)?;
        if self.paused.lock().swap_remove(&target) {
            fleet.resume(name)?;
            self.journal.note(Event::ProcessResumed { target });
        }
        Ok(())
    }

    async fn set_flow(&self, name: &str, flow: Flow, fresh: bool) -> Result<()> {
        let fleet = self.fleet.lock().await;
        let relay = fleet.relay(name)?;
        if fresh {
            relay.set_new(flow);
        }
        if flow != Flow::Pass {
            relay.set_existing(flow);
        }
        Ok(())
    }

    async fn turn_cold(&self, name: &str) -> Result<()> {
        let fleet = self.fleet.lock().await;
        if fleet.fault(name, &serde_json::json!({"fault": "turn_cold"})).await.is_ok() {
            self.note_fresh(name, false);
        }
        Ok(())
    }

    /// Notes that an engine is fresh from now on.
    pub fn note_fresh(&self, name: &str, announced: bool) {
        let (bears, span_us) = self.fresh;
        let upstream = name.to_owned();
        self.journal.note(Event::UpstreamFresh { upstream, bears, span_us, announced });
    }

    async fn die_in_load(self: &Arc<Self>, name: &str) -> Result<()> {
        let fault = serde_json::json!({"fault": "die_in_load"});
        let _ = self.fleet.lock().await.fault(name, &fault).await;
        let (world, name) = (Arc::clone(self), name.to_owned());
        self.spawn(async move {
            sleep(REVIVE_AFTER).await;
            // An engine that can't be started anew shows in the run's results.
            let _ = world.restart(&name).await;
        });
        Ok(())
    }

    async fn restart(&self, name: &str) -> Result<()> {
        let mut fleet = self.fleet.lock().await;
        if fleet.has(name) {
            fleet.restart_standin(name)?;
            self.note_fresh(name, false);
        }
        Ok(())
    }

    async fn list(&self, name: &str, leaves: bool) -> Result<()> {
        let began = Journal::now();
        let listed = {
            let mut leaving = self.leaving.lock();
            if leaves {
                leaving.insert(name.to_owned());
            } else {
                leaving.swap_remove(name);
            }
            leaving.iter().cloned().collect::<Vec<_>>()
        };
        self.fleet.lock().await.post_instances(&listed).await?;
        let upstream = name.to_owned();
        if leaves {
            // The list shows it after its lag.
            let seen = Journal::now() + LIST_LAG_US;
            self.journal.note_at(seen, Event::UpstreamLeaving { upstream });
        } else {
            self.journal.note_at(began, Event::UpstreamJoined { upstream });
        }
        Ok(())
    }

    async fn replace_each(self: Arc<Self>) {
        for name in self.daemons().await {
            Arc::clone(&self).replace(name).await;
        }
    }

    async fn replace(self: Arc<Self>, name: String) {
        if self.leave(&name).await {
            let _ = self.start(&name).await;
        }
    }

    /// Tells a daemon to stop and waits until it has; whether it has.
    pub async fn leave(&self, name: &str) -> bool {
        {
            let fleet = self.fleet.lock().await;
            self.routers.lock().swap_remove(name);
            if !fleet.has(name) || fleet.terminate(name).is_err() {
                return false;
            }
        }
        let looks = LEAVE_WITHIN.as_millis() / LOOK_EVERY.as_millis();
        for _ in 0..looks {
            sleep(LOOK_EVERY).await;
            let mut fleet = self.fleet.lock().await;
            if !fleet.has(name) {
                return false;
            }
            if fleet.ended(name, Duration::from_millis(1)).is_ok() {
                fleet.forget(name);
                return true;
            }
        }
        false
    }
}
