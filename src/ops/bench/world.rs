//! State that the parts of a failure run share, and the actions on the fleet's processes.

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

/// Timeout of a graceful shutdown.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval at which a process that shuts down is checked for its exit.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Delay after which an engine that was told to die in its next load is restarted.
const RESTART_DELAY: Duration = Duration::from_secs(4);
/// Time until the platform's instance list shows a change, in microseconds.
const LIST_LAG_US: u64 = 2_000_000;

/// A team's API key.
#[derive(Clone, Debug)]
pub struct Key {
    /// Name of the key, as in the configuration.
    pub name: String,
    /// Secret that callers send as a bearer token.
    pub secret: String,
}

/// Rate (tokens per second) and burst (tokens) of a team; locked while an operator changes them.
pub type Limit = Arc<tokio::sync::Mutex<(u64, u64)>>;

/// A failure run in progress.
///
/// Lock order: `fleet` before any other lock. Apart from `fleet` and the team's lock inside
/// `limits`, no lock is held across an await.
pub struct World {
    /// The processes.
    pub fleet: tokio::sync::Mutex<Fleet>,
    /// Events that the harness records.
    pub journal: Journal,
    /// Platform client for the operators' commands.
    pub store: HttpPlatform,
    /// Addresses for callers of the running routers, by name.
    pub routers: Mutex<IndexMap<String, SocketAddr>>,
    /// Key that callers use, by team.
    pub keys: Mutex<IndexMap<String, Key>>,
    /// Revoked keys.
    pub revoked_keys: Mutex<Vec<Key>>,
    /// Rate and burst last accepted, by team.
    pub limits: Mutex<IndexMap<String, Limit>>,
    /// Upstreams that the instance list shows as leaving.
    pub leaving: Mutex<IndexSet<String>>,
    /// Paused daemons, by their process name in the history.
    pub paused: Mutex<IndexSet<String>>,
    /// Actions that run in the background.
    pub background: Mutex<Vec<JoinHandle<()>>>,
    /// Concurrent calls that engines sustain during warm-up, and the warm-up time in microseconds.
    pub warmup: (u32, u64),
}

impl World {
    /// Executes an action. Skips actions that an earlier fault has made impossible, such as pausing
    /// a process that was killed.
    pub async fn execute(self: &Arc<Self>, action: &Action) -> Result<()> {
        match action {
            Action::Kill(name) => self.kill(name).await,
            Action::Start(name) => self.start(name).await,
            Action::Pause(name) => self.pause(name).await,
            Action::Resume(name) => self.resume(name).await,
            Action::Cut(name) => self.set_flow(name, Flow::Cut, true).await,
            Action::Mend(name) => self.set_flow(name, Flow::Pass, true).await,
            Action::Silence(name) => self.set_flow(name, Flow::Silent, false).await,
            Action::Fault { name, fault } => {
                // The request fails if the stand-in isn't running; there is nothing to inject then.
                let _ = self.fleet.lock().await.fault(name, fault).await;
                Ok(())
            }
            Action::TurnCold(name) => self.turn_cold(name).await,
            Action::DieInLoad(name) => self.die_in_load(name).await,
            Action::RestartStandin(name) => self.restart(name).await,
            Action::Rate { .. } | Action::Revoke { .. } | Action::Drain(_) | Action::Restore(_) => {
                self.spawn(operators::execute(Arc::clone(self), action.clone()));
                Ok(())
            }
            Action::Leave(name) => self.set_leaving(name, true).await,
            Action::Join(name) => self.set_leaving(name, false).await,
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
        self.background.lock().push(tokio::spawn(task));
    }

    /// Waits until every background action has ended.
    pub async fn join_background(&self) {
        loop {
            let Some(task) = self.background.lock().pop() else {
                return;
            };
            // A panic was already printed to standard error.
            let _ = task.await;
        }
    }

    /// Names of all routers and controllers of the fleet.
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
        self.journal.record(Event::ProcessKilled { target });
        Ok(())
    }

    /// Starts a daemon unless it is running.
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
            self.journal.record(Event::ProcessPaused { target });
            fleet.pause(name)?;
        }
        Ok(())
    }

    /// Resumes a daemon if it is paused.
    pub async fn resume(&self, name: &str) -> Result<()> {
        let fleet = self.fleet.lock().await;
        if !fleet.has(name) {
            return Ok(());
        }
        let target = fleet.recorded_name(name)?;
        if self.paused.lock().swap_remove(&target) {
            fleet.resume(name)?;
            self.journal.record(Event::ProcessResumed { target });
        }
        Ok(())
    }

    async fn set_flow(&self, name: &str, flow: Flow, new_connections: bool) -> Result<()> {
        let fleet = self.fleet.lock().await;
        let relay = fleet.relay(name)?;
        if new_connections {
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
            self.record_warmup(name, false);
        }
        Ok(())
    }

    /// Records that an engine's warm-up starts now; `announced` is false if the system can't know.
    pub fn record_warmup(&self, name: &str, announced: bool) {
        let (bears, span_us) = self.warmup;
        let upstream = name.to_owned();
        self.journal.record(Event::UpstreamFresh { upstream, bears, span_us, announced });
    }

    async fn die_in_load(self: &Arc<Self>, name: &str) -> Result<()> {
        let fault = serde_json::json!({"fault": "die_in_load"});
        let _ = self.fleet.lock().await.fault(name, &fault).await;
        let (world, name) = (Arc::clone(self), name.to_owned());
        self.spawn(async move {
            sleep(RESTART_DELAY).await;
            // An engine that can't be restarted shows up in the run's results.
            let _ = world.restart(&name).await;
        });
        Ok(())
    }

    async fn restart(&self, name: &str) -> Result<()> {
        let mut fleet = self.fleet.lock().await;
        if fleet.has(name) {
            fleet.restart_standin(name)?;
            self.record_warmup(name, false);
        }
        Ok(())
    }

    async fn set_leaving(&self, name: &str, leaving_now: bool) -> Result<()> {
        let began = Journal::now();
        let listed = {
            let mut leaving = self.leaving.lock();
            if leaving_now {
                leaving.insert(name.to_owned());
            } else {
                leaving.swap_remove(name);
            }
            leaving.iter().cloned().collect::<Vec<_>>()
        };
        self.fleet.lock().await.post_instances(&listed).await?;
        let upstream = name.to_owned();
        if leaving_now {
            // The instance list shows the change only after its lag.
            let shown_at = Journal::now() + LIST_LAG_US;
            self.journal.record_at(shown_at, Event::UpstreamLeaving { upstream });
        } else {
            self.journal.record_at(began, Event::UpstreamJoined { upstream });
        }
        Ok(())
    }

    async fn replace_each(self: Arc<Self>) {
        for name in self.daemons().await {
            Arc::clone(&self).replace(name).await;
        }
    }

    async fn replace(self: Arc<Self>, name: String) {
        if self.shut_down(&name).await {
            let _ = self.start(&name).await;
        }
    }

    /// Signals a daemon to shut down and waits for its exit. Returns whether it exited in time.
    pub async fn shut_down(&self, name: &str) -> bool {
        {
            let fleet = self.fleet.lock().await;
            self.routers.lock().swap_remove(name);
            if !fleet.has(name) || fleet.terminate(name).is_err() {
                return false;
            }
        }
        let polls = SHUTDOWN_TIMEOUT.as_millis() / POLL_INTERVAL.as_millis();
        for _ in 0..polls {
            sleep(POLL_INTERVAL).await;
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
