//! Agents against each other over loopback, each in a runtime of its own, on an in-process
//! platform. Ending a runtime is a crash: no task of the agent runs on.

use std::future::Future;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use async_trait::async_trait;
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

/// A state that isn't reached by then never will be.
const LIMIT: Duration = Duration::from_secs(90);
const LOOK_EVERY: Duration = Duration::from_millis(20);
/// Several terms.
const OUTAGE: Duration = Duration::from_secs(8);
const TEAMS: [&str; 5] = ["kumlama", "speglagler", "depot", "clerks", "pickers"];

fn author() -> Author {
    Author { operator: "test".to_owned(), action: "test".to_owned() }
}

/// A process's own way to the platform, which can be cut.
struct Line {
    platform: Arc<MemoryPlatform>,
    cut: AtomicBool,
}

impl Line {
    fn open(&self) -> platform::Result<&MemoryPlatform> {
        if self.cut.load(Ordering::Relaxed) {
            return Err(platform::Error::Unavailable("the line is cut".to_owned()));
        }
        Ok(&self.platform)
    }
}

#[async_trait]
impl Platform for Line {
    async fn get(&self, table: &str, key: &str) -> platform::Result<Option<Row>> {
        self.open()?.get(table, key).await
    }

    async fn scan(&self, table: &str, from: &str, to: &str) -> platform::Result<Vec<Row>> {
        self.open()?.scan(table, from, to).await
    }

    async fn transact(&self, transaction: &Transaction) -> platform::Result<Commit> {
        self.open()?.transact(transaction).await
    }

    async fn object(&self, name: &str) -> platform::Result<Option<Vec<u8>>> {
        self.open()?.object(name).await
    }

    async fn put_object(&self, name: &str, body: Vec<u8>) -> platform::Result<()> {
        self.open()?.put_object(name, body).await
    }

    async fn instances(&self) -> platform::Result<Vec<Instance>> {
        self.open()?.instances().await
    }
}

struct Process {
    agent: Arc<Agent>,
    line: Arc<Line>,
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
        let settings = Settings {
            name: name.to_owned(),
            zone: "a".to_owned(),
            callers: format!("{name}:80"),
            ..Settings::default()
        };
        let entered = runtime.enter();
        let line = Line { platform: self.platform.clone(), cut: AtomicBool::new(false) };
        let line = Arc::new(line);
        let agent = Agent::bind(settings, line.clone()).expect("an agent");
        agent.run();
        agent.set_state(RowState::Ready);
        drop(entered);
        self.processes.insert(name.to_owned(), Process { agent, line, runtime });
    }

    /// Runs an operator's command.
    fn operate<T>(&self, command: impl Future<Output = Result<T>>) -> T {
        let (_, process) = self.processes.first().expect("a process");
        process.runtime.block_on(command).expect("the command succeeds")
    }

    /// Applies a configuration with one zone; its revision.
    fn apply(&self) -> Revision {
        let mut document = Document::default();
        let problems = document.read("register.toml", "[zones.a]\n");
        assert!(problems.is_empty(), "{problems:?}");
        self.operate(commands::apply(&*self.platform, &document, None, &author())).revision
    }

    fn until_in_force(&self, revision: Revision) {
        let end = Instant::now() + LIMIT;
        let holds = |agent: &Agent| agent.config().is_some_and(|r| r.revision == revision);
        while !self.processes.values().all(|p| holds(&p.agent) && p.agent.config_fresh()) {
            assert!(Instant::now() < end, "revision {revision} isn't in force everywhere");
            sleep(LOOK_EVERY);
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

    fn order(&self, fault: Fault) {
        self.platform.store().faults().order(Order { fault, span_ms: None });
    }

    fn end_faults(&self) {
        self.platform.store().faults().clear();
    }

    fn homes(&self, team: &str) -> Vec<&str> {
        let serves = |agent: &Agent| {
            agent.may_act() && agent.home_state(Kind::Bucket, team) == HomeState::Serving
        };
        let homes = self.processes.iter().filter(|(_, process)| serves(&process.agent));
        homes.map(|(name, _)| name.as_str()).collect()
    }

    /// Whether one view holds all processes and nothing else, and each team has its home.
    fn whole(&self) -> bool {
        let mut agents = self.processes.values().map(|process| &process.agent);
        let one_view = agents.all(|agent| {
            let view = agent.view();
            let all = self.processes.values().all(|other| view.contains(&other.agent.id()));
            all && view.members.len() == self.processes.len() && agent.may_act()
        });
        one_view && TEAMS.iter().all(|team| self.homes(team).len() == 1)
    }

    fn assert_one_home(&self) {
        for team in TEAMS {
            let homes = self.homes(team);
            assert!(homes.len() <= 1, "{team} has homes {homes:?}");
        }
    }

    fn until_whole(&self, what: &str) {
        let end = Instant::now() + LIMIT;
        while !self.whole() {
            assert!(Instant::now() < end, "{what}: {:?}", self.describe());
            self.assert_one_home();
            sleep(LOOK_EVERY);
        }
    }

    fn describe(&self) -> Vec<String> {
        let line = |(name, process): (&String, &Process)| {
            let view = process.agent.view();
            let members: Vec<&str> = view.members.iter().map(|m| m.id.name.as_str()).collect();
            format!("{name}: epoch {} {members:?}, acts {}", view.epoch, process.agent.may_act())
        };
        self.processes.iter().map(line).collect()
    }
}

#[test]
fn agents_join_leave_and_come_back() {
    let mut cell = Cell::new(4);
    cell.until_whole("joined");
    let routers = cell.processes["router-0"].agent.routers();
    assert_eq!(routers.len(), 4);
    cell.depart("router-2");
    cell.until_whole("left");
    cell.start("router-2");
    cell.until_whole("came back");
}

#[test]
fn changes_come_into_force_everywhere_and_never_revert() {
    let cell = Cell::new(4);
    cell.until_whole("joined");
    cell.until_in_force(cell.apply());
    let mut held = [Revision::default(); 4];
    for _ in 0..3 {
        cell.operate(commands::drain(&*cell.platform, "a", &author()));
        let applied = cell.operate(commands::restore(&*cell.platform, "a", &author()));
        let end = Instant::now() + LIMIT;
        while held.iter().any(|held| *held < applied.revision) && Instant::now() < end {
            for (held, process) in held.iter_mut().zip(cell.processes.values()) {
                let found = process.agent.config().expect("a register").revision;
                assert!(found >= *held, "went back from {held} to {found}");
                *held = found;
            }
        }
        cell.until_in_force(applied.revision);
    }
}

#[test]
fn a_crashed_agent_is_removed() {
    let mut cell = Cell::new(4);
    cell.until_whole("joined");
    cell.kill("router-1");
    cell.until_whole("removed");
}

#[test]
fn an_outage_with_a_crash_in_the_middle_stops_nobody_else() {
    let mut cell = Cell::new(5);
    cell.until_whole("joined");
    cell.until_in_force(cell.apply());
    cell.order(Fault::Down);
    let outage = Instant::now();
    let mut killed = false;
    while outage.elapsed() < OUTAGE {
        cell.assert_one_home();
        for (name, process) in &cell.processes {
            let at = outage.elapsed();
            assert!(process.agent.may_act(), "{name} stopped after {at:?}");
            assert!(process.agent.config_fresh(), "{name} can't tell its register after {at:?}");
        }
        if !killed && outage.elapsed() > OUTAGE / 2 {
            cell.kill("router-3");
            killed = true;
        }
        sleep(LOOK_EVERY);
    }
    cell.end_faults();
    cell.until_whole("after the outage");
}

#[test]
fn an_agent_cut_from_the_store_is_replaced_by_its_next_incarnation() {
    let cell = Cell::new(4);
    cell.until_whole("joined");
    let process = &cell.processes["router-2"];
    let before = process.agent.id();
    process.line.cut.store(true, Ordering::Relaxed);
    let end = Instant::now() + LIMIT;
    while cell.processes["router-0"].agent.view().contains(&before) {
        assert!(Instant::now() < end, "not removed: {:?}", cell.describe());
        cell.assert_one_home();
        sleep(LOOK_EVERY);
    }
    assert!(!process.agent.may_act());
    process.line.cut.store(false, Ordering::Relaxed);
    cell.until_whole("came back");
    assert_ne!(process.agent.id(), before);
}

#[test]
fn lost_answers_stop_nobody() {
    let cell = Cell::new(3);
    cell.until_whole("joined");
    cell.order(Fault::LostAnswers { count: Some(3) });
    let began = Instant::now();
    while began.elapsed() < OUTAGE {
        for (name, process) in &cell.processes {
            assert!(process.agent.may_act(), "{name} stopped after {:?}", began.elapsed());
        }
        sleep(LOOK_EVERY);
    }
    cell.until_whole("after the lost answers");
}

#[test]
fn all_agents_are_replaced() {
    let mut cell = Cell::new(3);
    cell.until_whole("joined");
    for number in 0..3 {
        cell.start(&format!("next-{number}"));
        cell.until_whole("one more");
        cell.depart(&format!("router-{number}"));
        cell.until_whole("one less");
    }
}
