//! The control loop, which drives the planner while this controller is the placement home.

use std::sync::Arc;
use std::time::Duration;

use corianderyoke_coord::membership::MemberId;
use corianderyoke_coord::placement::ChangeSet;
use corianderyoke_coord::placement::CommitOutcome;
use corianderyoke_coord::placement::Effect;
use corianderyoke_coord::placement::IntentRow;
use corianderyoke_coord::placement::Phase;
use corianderyoke_coord::placement::Planner;
use corianderyoke_coord::register::Revision;
use corianderyoke_coord::time::Tick;
use corianderyoke_history::Event as Recorded;
use corianderyoke_history::Replica;
use corianderyoke_wire::peer;
use indexmap::IndexMap;
use tokio::time::timeout;

use crate::controller::catalog::catalog;
use crate::controller::catalog::planner_settings;
use crate::controller::table;
use crate::controller::Controller;
use crate::util::clock;
use crate::util::events;
use crate::util::events::Event;

/// Longest time between two polls of the planner.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time between two pushes of an unchanged replica list.
const PUSH_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two updates of the planner's catalog while the register's revision is the same.
const CATALOG_INTERVAL: Duration = Duration::from_millis(500);
/// Once another incarnation has held a sender's name for this long, the sender has ended.
const SENDER_ENDED_AFTER: Duration = Duration::from_secs(10);

/// State of the control loop between iterations.
#[derive(Default)]
struct LoopState {
    is_home: bool,
    revision: Revision,
    configured_at: Tick,
    pushed_at: Tick,
    list_version: u64,
    pushed_list: Vec<peer::Replica>,
    /// When a sender's name was first seen with another incarnation, by sender.
    replaced_at: IndexMap<String, Tick>,
}

/// Runs until the task is dropped.
pub async fn run(controller: Arc<Controller>) {
    let mut state = LoopState::default();
    let mut own_id = controller.agent.id().to_string();
    loop {
        let _ = timeout(POLL_INTERVAL, controller.wakeup.notified()).await;
        let current_id = controller.agent.id().to_string();
        if current_id != own_id {
            // Each incarnation has a planner identity of its own.
            own_id = current_id;
            controller.planner.lock().rejoin(&own_id);
            state = LoopState { list_version: state.list_version, ..LoopState::default() };
        }
        controller.run_once(&mut state);
    }
}

impl Controller {
    fn run_once(self: &Arc<Self>, state: &mut LoopState) {
        let serves = self.serves();
        if serves != state.is_home {
            state.is_home = serves;
            let mut planner = self.planner.lock();
            if serves {
                planner.start();
            } else {
                planner.stop();
            }
        }
        if !serves {
            return;
        }
        self.configure(state);
        let effects = self.planner.lock().poll(clock::now());
        for effect in effects {
            tokio::spawn(Arc::clone(self).execute(effect));
        }
        self.start_adapter_loads();
        self.push_if_due(state);
    }

    /// Updates the planner from the register, the platform's instance list and the members.
    fn configure(&self, state: &mut LoopState) {
        let now = clock::now();
        let Some(register) = self.agent.config() else {
            return;
        };
        if register.revision == state.revision && now.since(state.configured_at) < CATALOG_INTERVAL
        {
            return;
        }
        state.revision = register.revision;
        state.configured_at = now;
        let catalog = catalog(&register, &self.agent);
        let mut planner = self.planner.lock();
        planner.set_settings(planner_settings(&register.rules));
        planner.configure(now, &catalog);
        for sender in self.ended_senders(&planner, state, now) {
            planner.sender_ended(now, &sender);
        }
    }

    /// Senders named in intents whose process has certainly ended.
    fn ended_senders(&self, planner: &Planner, state: &mut LoopState, now: Tick) -> Vec<String> {
        let mut ended = Vec::new();
        for (row, _) in planner.intents() {
            for sender in row.senders {
                let Some(id) = MemberId::parse(&sender) else {
                    continue;
                };
                let current = self.agent.incarnation_of(&id.name);
                if current.is_none_or(|current| current == id.incarnation) {
                    state.replaced_at.swap_remove(&sender);
                    continue;
                }
                let since = *state.replaced_at.entry(sender.clone()).or_insert(now);
                if now.since(since) >= SENDER_ENDED_AFTER {
                    ended.push(sender);
                }
            }
        }
        ended
    }

    async fn execute(self: Arc<Self>, effect: Effect) {
        match effect {
            Effect::Scan => match table::scan(&*self.platform).await {
                Some(snapshot) => {
                    let rows = snapshot.rows.len();
                    self.planner.lock().adopt(clock::now(), &snapshot);
                    self.record_intents(&snapshot.rows);
                    events::log(Event::Adopted, format_args!("intents={rows}"));
                }
                None => self.planner.lock().scan_failed(),
            },
            Effect::Commit(change) => {
                let outcome = self.commit(&change).await;
                if let CommitOutcome::Committed(_) = outcome {
                    self.record_change(&change);
                }
                self.planner.lock().commit_completed(clock::now(), change.id, outcome);
            }
            Effect::Order(order) => {
                let outcome = self.send_order(&order).await;
                self.planner.lock().order_completed(clock::now(), order.id, outcome);
            }
            Effect::Probe { upstream, sent_at } => self.probe(upstream, sent_at).await,
        }
        self.wakeup.notify_one();
    }

    async fn commit(&self, change: &ChangeSet) -> CommitOutcome {
        if !self.serves() {
            return CommitOutcome::Unsent;
        }
        let view = self.agent.view();
        let own_id = self.agent.id().to_string();
        // A release is recorded before it can take effect, a decision after it has.
        self.record_releases(change);
        table::commit(&*self.platform, self.agent.cell(), &view, &own_id, change).await
    }

    fn record_change(&self, change: &ChangeSet) {
        let history = self.agent.history();
        for row in change.puts.iter().filter(|row| row.phase == Phase::Decided) {
            history.record(|| Recorded::ReplicaDecided {
                model: row.model.clone(),
                upstream: row.upstream.clone(),
                bytes: row.bytes,
                fence: row.fence,
            });
        }
    }

    fn record_releases(&self, change: &ChangeSet) {
        let history = self.agent.history();
        for key in &change.deletes {
            history.record(|| Recorded::ReplicaReleased {
                model: key.model.clone(),
                upstream: key.upstream.clone(),
            });
        }
    }

    /// Records all intents of the table in the history, one event per upstream.
    fn record_intents(&self, rows: &[IntentRow]) {
        let register = self.agent.config();
        let known = register.iter().flat_map(|register| register.upstreams.keys());
        let mut replicas: IndexMap<&str, Vec<Replica>> =
            known.map(|upstream| (upstream.as_str(), Vec::new())).collect();
        for row in rows {
            let replica = Replica { model: row.model.clone(), bytes: row.bytes };
            replicas.entry(&row.upstream).or_default().push(replica);
        }
        for (upstream, replicas) in replicas {
            let upstream = upstream.to_owned();
            self.agent.history().record(|| Recorded::IntentsRead { upstream, replicas });
        }
    }

    fn start_adapter_loads(self: &Arc<Self>) {
        loop {
            let replica = self.planner.lock().next_adapter_load(clock::now());
            let Some(replica) = replica else {
                return;
            };
            tokio::spawn(Arc::clone(self).load_adapter(replica));
        }
    }

    fn push_if_due(self: &Arc<Self>, state: &mut LoopState) {
        if !self.is_active() {
            return;
        }
        let now = clock::now();
        let list = self.replica_list();
        if list == state.pushed_list && now.since(state.pushed_at) < PUSH_INTERVAL {
            return;
        }
        state.list_version += 1;
        state.pushed_at = now;
        self.push_replicas(state.list_version, &list);
        state.pushed_list = list;
    }
}
