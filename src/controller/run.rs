//! Drives the planner while this controller is the home of placement.

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

use crate::controller::facts::facts;
use crate::controller::facts::planner_settings;
use crate::controller::table;
use crate::controller::Controller;
use crate::util::clock;
use crate::util::events;
use crate::util::events::Event;

/// Longest time between two polls of the planner.
const POLL_EVERY: Duration = Duration::from_millis(50);
/// Time between two pushes of an unchanged list.
const PUSH_EVERY: Duration = Duration::from_secs(1);
/// Time between two looks at the register's facts.
const FACTS_EVERY: Duration = Duration::from_millis(500);
/// A sender whose name another incarnation has used for this long has ended.
const ENDED_AFTER: Duration = Duration::from_secs(10);

/// What the loop remembers between two rounds.
#[derive(Default)]
struct Round {
    home: bool,
    revision: Revision,
    looked: Tick,
    pushed: Tick,
    version: u64,
    list: Vec<peer::Replica>,
    /// Since when another incarnation was seen in place of a sender.
    replaced: IndexMap<String, Tick>,
}

/// Runs until the task is dropped.
pub async fn run(controller: Arc<Controller>) {
    let mut round = Round::default();
    let mut me = controller.agent.id().to_string();
    loop {
        let _ = timeout(POLL_EVERY, controller.wanted.notified()).await;
        let now = controller.agent.id().to_string();
        if now != me {
            // A planner's name is never used by another incarnation.
            me = now;
            controller.planner.lock().rejoin(&me);
            round = Round { version: round.version, ..Round::default() };
        }
        controller.round(&mut round);
    }
}

impl Controller {
    fn round(self: &Arc<Self>, round: &mut Round) {
        let serves = self.serves();
        if serves != round.home {
            round.home = serves;
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
        self.configure(round);
        let effects = self.planner.lock().poll(clock::now());
        for effect in effects {
            tokio::spawn(Arc::clone(self).carry_out(effect));
        }
        self.start_adapters();
        self.tell_routers(round);
    }

    /// Brings the planner in step with the register, the platform's list and the members.
    fn configure(&self, round: &mut Round) {
        let now = clock::now();
        let Some(register) = self.agent.config() else {
            return;
        };
        if register.revision == round.revision && now.since(round.looked) < FACTS_EVERY {
            return;
        }
        round.revision = register.revision;
        round.looked = now;
        let facts = facts(&register, &self.agent);
        let mut planner = self.planner.lock();
        planner.set_settings(planner_settings(&register.rules));
        planner.configure(now, &facts);
        for sender in self.ended_senders(&planner, round, now) {
            planner.sender_ended(now, &sender);
        }
    }

    /// Senders in the intents whose process is certain to have ended.
    fn ended_senders(&self, planner: &Planner, round: &mut Round, now: Tick) -> Vec<String> {
        let mut ended = Vec::new();
        for (row, _) in planner.intents() {
            for sender in row.senders {
                let Some(id) = MemberId::parse(&sender) else {
                    continue;
                };
                let found = self.agent.incarnation_of(&id.name);
                if found.is_none_or(|found| found == id.incarnation) {
                    round.replaced.swap_remove(&sender);
                    continue;
                }
                let since = *round.replaced.entry(sender.clone()).or_insert(now);
                if now.since(since) >= ENDED_AFTER {
                    ended.push(sender);
                }
            }
        }
        ended
    }

    async fn carry_out(self: Arc<Self>, effect: Effect) {
        match effect {
            Effect::Scan => match table::scan(&*self.platform).await {
                Some(view) => {
                    let rows = view.rows.len();
                    self.planner.lock().adopt(clock::now(), &view);
                    self.record_intents(&view.rows);
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
                let answer = self.order(&order).await;
                self.planner.lock().order_completed(clock::now(), order.id, answer);
            }
            Effect::Probe { upstream, sent_at } => self.look(upstream, sent_at).await,
        }
        self.wanted.notify_one();
    }

    async fn commit(&self, change: &ChangeSet) -> CommitOutcome {
        if !self.serves() {
            return CommitOutcome::Unsent;
        }
        let view = self.agent.view();
        let me = self.agent.id().to_string();
        // An end is recorded before it can be in force, a beginning after it is.
        self.record_releases(change);
        table::commit(&*self.platform, self.agent.cell(), &view, &me, change).await
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

    /// Records all decisions as the table has them, upstream by upstream.
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

    fn start_adapters(self: &Arc<Self>) {
        loop {
            let spot = self.planner.lock().next_adapter_load(clock::now());
            let Some(spot) = spot else {
                return;
            };
            tokio::spawn(Arc::clone(self).load_adapter(spot));
        }
    }

    fn tell_routers(self: &Arc<Self>, round: &mut Round) {
        if !self.is_active() {
            return;
        }
        let now = clock::now();
        let list = self.replica_list();
        if list == round.list && now.since(round.pushed) < PUSH_EVERY {
            return;
        }
        round.version += 1;
        round.pushed = now;
        self.push(round.version, &list);
        round.list = list;
    }
}
