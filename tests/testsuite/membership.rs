//! Tests of membership with agents that communicate over loopback, each in its own runtime, and an
//! in-memory platform. Shutting down a runtime simulates a crash: no task of the agent continues.

use std::future::Future;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use async_trait::async_trait;
use corianderyoke::agent::Addresses;
use corianderyoke::agent::Agent;
use corianderyoke::agent::Settings;
use corianderyoke::ops::config::commands;
use corianderyoke::ops::config::Author;
use corianderyoke::ops::config::Result;
use corianderyoke_coord::membership::HomeState;
use corianderyoke_coord::membership::Kind;
use corianderyoke_coord::membership::RowState;
use corianderyoke_coord::register::document::Document;
use corianderyoke_coord::register::Revision;
use corianderyoke_platform as platform;
use corianderyoke_platform::faults::Fault;
use corianderyoke_platform::faults::Order;
use corianderyoke_platform::memory::MemoryPlatform;
use corianderyoke_platform::Commit;
use corianderyoke_platform::Instance;
use corianderyoke_platform::Platform;
use corianderyoke_platform::Row;
use corianderyoke_platform::Transaction;
use indexmap::IndexMap;
use tokio::runtime::Builder;
use tokio::runtime::Runtime;

/// Time limit for every state that a test waits for.
const WAIT_TIMEOUT: Duration = Duration::from_secs(90);
/// Interval between two polls of a state.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Duration of an outage, several lease durations.
const OUTAGE: Duration = Duration::from_secs(8);
const TEAMS: [&str; 5] = ["kumlama", "speglagler", "depot", "clerks", "pickers"];

fn author() -> Author {
    Author { operator: "test".to_owned(), action: "test".to_owned() }
}

/// Connection of one process to the platform, which a test can cut.
struct Connection {
    platform: Arc<MemoryPlatform>,
    cut: AtomicBool,
}

impl Connection {
    fn connected(&self) -> platform::Result<&MemoryPlatform> {
        if self.cut.load(Ordering::Relaxed) {
            return Err(platform::Error::Unavailable("the connection is cut".to_owned()));
        }
        Ok(&self.platform)
    }
}

#[async_trait]
impl Platform for Connection {
    async fn get(&self, table: &str, key: &str) -> platform::Result<Option<Row>> {
        self.connected()?.get(table, key).await
    }

    async fn scan(&self, table: &str, from: &str, to: &str) -> platform::Result<Vec<Row>> {
        self.connected()?.scan(table, from, to).await
    }

    async fn transact(&self, transaction: &Transaction) -> platform::Result<Commit> {
        self.connected()?.transact(transaction).await
    }

    async fn object(&self, name: &str) -> platform::Result<Option<Vec<u8>>> {
        self.connected()?.object(name).await
    }

    async fn put_object(&self, name: &str, body: Vec<u8>) -> platform::Result<()> {
        self.connected()?.put_object(name, body).await
    }

    async fn instances(&self) -> platform::Result<Vec<Instance>> {
        self.connected()?.instances().await
    }
}

struct Process {
    agent: Arc<Agent>,
    connection: Arc<Connection>,
    runtime: Runtime,
}

struct Cell {
    platform: Arc<MemoryPlatform>,
    processes: IndexMap<String, Process>,
}

impl Cell {
    fn new(count: usize) -> Self {
        let platform = Arc::new(MemoryPlatform::default());
        let mut cell = Cell { platform, processes: IndexMap::new() };
        for number in 0..count {
            cell.start(&format!("router-{number}"));
        }
        cell
    }

    fn start(&mut self, name: &str) {
        let runtime =
            Builder::new_multi_thread().worker_threads(1).enable_all().build().expect("a runtime");
        let settings =
            Settings { name: name.to_owned(), zone: "a".to_owned(), ..Settings::default() };
        let runtime_guard = runtime.enter();
        let connection =
            Connection { platform: self.platform.clone(), cut: AtomicBool::new(false) };
        let connection = Arc::new(connection);
        let agent = Agent::bind(settings, connection.clone()).expect("an agent");
        let callers = format!("{name}:80");
        agent.set_addresses(Addresses { callers, ..Addresses::default() });
        agent.run();
        agent.set_state(RowState::Ready);
        drop(runtime_guard);
        self.processes.insert(name.to_owned(), Process { agent, connection, runtime });
    }

    /// Runs an operator's command, which must succeed.
    fn operate<T>(&self, command: impl Future<Output = Result<T>>) -> T {
        let (_, process) = self.processes.first().expect("a process");
        process.runtime.block_on(command).expect("the command succeeds")
    }

    /// Applies a configuration with one zone and returns its revision.
    fn apply(&self) -> Revision {
        let mut document = Document::default();
        let problems = document.read("register.toml", "[zones.a]\n");
        assert!(problems.is_empty(), "{problems:?}");
        self.operate(commands::apply(&*self.platform, &document, None, &author())).revision
    }

    fn wait_until_in_force(&self, revision: Revision) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        let in_force = |agent: &Agent| agent.config().is_some_and(|r| r.revision == revision);
        while !self.processes.values().all(|p| in_force(&p.agent) && p.agent.config_fresh()) {
            assert!(Instant::now() < deadline, "revision {revision} isn't in force everywhere");
            sleep(POLL_INTERVAL);
        }
    }

    fn kill(&mut self, name: &str) {
        let process = self.processes.shift_remove(name).expect("a process");
        process.runtime.shutdown_background();
    }

    fn depart(&mut self, name: &str) {
        let process = self.processes.shift_remove(name).expect("a process");
        process.runtime.block_on(process.agent.depart());
        assert!(!process.agent.may_act());
        process.runtime.shutdown_background();
    }

    fn inject_fault(&self, fault: Fault) {
        self.platform.store().faults().order(Order { fault, span_ms: None });
    }

    fn clear_faults(&self) {
        self.platform.store().faults().clear();
    }

    fn homes(&self, team: &str) -> Vec<&str> {
        let serves = |agent: &Agent| {
            agent.may_act() && agent.home_state(Kind::Bucket, team) == HomeState::Serving
        };
        let homes = self.processes.iter().filter(|(_, process)| serves(&process.agent));
        homes.map(|(name, _)| name.as_str()).collect()
    }

    /// Returns whether the view of every agent contains exactly all processes, every agent may act,
    /// and each team has one home.
    fn has_converged(&self) -> bool {
        let mut agents = self.processes.values().map(|process| &process.agent);
        let one_view = agents.all(|agent| {
            let view = agent.view();
            let all = self.processes.values().all(|other| view.contains(&other.agent.id()));
            all && view.members.len() == self.processes.len() && agent.may_act()
        });
        one_view && TEAMS.iter().all(|team| self.homes(team).len() == 1)
    }

    fn assert_at_most_one_home(&self) {
        for team in TEAMS {
            let homes = self.homes(team);
            assert!(homes.len() <= 1, "{team} has homes {homes:?}");
        }
    }

    fn wait_until_converged(&self, step: &str) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while !self.has_converged() {
            assert!(Instant::now() < deadline, "{step}: {:?}", self.describe());
            self.assert_at_most_one_home();
            sleep(POLL_INTERVAL);
        }
    }

    fn describe(&self) -> Vec<String> {
        let describe_process = |(name, process): (&String, &Process)| {
            let view = process.agent.view();
            let members: Vec<&str> = view.members.iter().map(|m| m.id.name.as_str()).collect();
            format!("{name}: epoch {} {members:?}, acts {}", view.epoch, process.agent.may_act())
        };
        self.processes.iter().map(describe_process).collect()
    }
}

#[test]
fn agents_join_leave_and_rejoin() {
    let mut cell = Cell::new(4);
    cell.wait_until_converged("joined");
    let routers = cell.processes["router-0"].agent.routers();
    assert_eq!(routers.len(), 4);
    cell.depart("router-2");
    cell.wait_until_converged("left");
    cell.start("router-2");
    cell.wait_until_converged("rejoined");
}

#[test]
fn changes_take_effect_on_every_agent_and_never_revert() {
    let cell = Cell::new(4);
    cell.wait_until_converged("joined");
    cell.wait_until_in_force(cell.apply());
    let mut revisions = [Revision::default(); 4];
    for _ in 0..3 {
        cell.operate(commands::drain(&*cell.platform, "a", &author()));
        let applied = cell.operate(commands::restore(&*cell.platform, "a", &author()));
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while revisions.iter().any(|revision| *revision < applied.revision)
            && Instant::now() < deadline
        {
            for (revision, process) in revisions.iter_mut().zip(cell.processes.values()) {
                let current = process.agent.config().expect("a register").revision;
                assert!(current >= *revision, "reverted from {revision} to {current}");
                *revision = current;
            }
        }
        cell.wait_until_in_force(applied.revision);
    }
}

#[test]
fn crashed_agent_is_removed() {
    let mut cell = Cell::new(4);
    cell.wait_until_converged("joined");
    cell.kill("router-1");
    cell.wait_until_converged("removed");
}

#[test]
fn crash_during_an_outage_stops_no_other_agent() {
    let mut cell = Cell::new(5);
    cell.wait_until_converged("joined");
    cell.wait_until_in_force(cell.apply());
    cell.inject_fault(Fault::Down);
    let outage = Instant::now();
    let mut killed = false;
    while outage.elapsed() < OUTAGE {
        cell.assert_at_most_one_home();
        for (name, process) in &cell.processes {
            let elapsed = outage.elapsed();
            assert!(process.agent.may_act(), "{name} stopped after {elapsed:?}");
            assert!(
                process.agent.config_fresh(),
                "the configuration of {name} isn't fresh after {elapsed:?}"
            );
        }
        if !killed && outage.elapsed() > OUTAGE / 2 {
            cell.kill("router-3");
            killed = true;
        }
        sleep(POLL_INTERVAL);
    }
    cell.clear_faults();
    cell.wait_until_converged("after the outage");
}

#[test]
fn agent_cut_off_from_the_store_rejoins_as_its_next_incarnation() {
    let cell = Cell::new(4);
    cell.wait_until_converged("joined");
    let process = &cell.processes["router-2"];
    let before = process.agent.id();
    process.connection.cut.store(true, Ordering::Relaxed);
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while cell.processes["router-0"].agent.view().contains(&before) {
        assert!(Instant::now() < deadline, "not removed: {:?}", cell.describe());
        cell.assert_at_most_one_home();
        sleep(POLL_INTERVAL);
    }
    assert!(!process.agent.may_act());
    process.connection.cut.store(false, Ordering::Relaxed);
    cell.wait_until_converged("rejoined");
    assert_ne!(process.agent.id(), before);
}

#[test]
fn lost_responses_of_the_store_stop_no_agent() {
    let cell = Cell::new(3);
    cell.wait_until_converged("joined");
    cell.inject_fault(Fault::LostAnswers { count: Some(3) });
    let began = Instant::now();
    while began.elapsed() < OUTAGE {
        for (name, process) in &cell.processes {
            assert!(process.agent.may_act(), "{name} stopped after {:?}", began.elapsed());
        }
        sleep(POLL_INTERVAL);
    }
    cell.wait_until_converged("after the lost responses");
}

#[test]
fn all_agents_can_be_replaced() {
    let mut cell = Cell::new(3);
    cell.wait_until_converged("joined");
    for number in 0..3 {
        cell.start(&format!("next-{number}"));
        cell.wait_until_converged("after a join");
        cell.depart(&format!("router-{number}"));
        cell.wait_until_converged("after a departure");
    }
}
