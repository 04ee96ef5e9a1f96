//! Test of concurrent operators and readers on a store with faults from seeded random numbers.

use std::sync::Arc;
use std::time::Duration;

use corianderyoke::ops::config::commands;
use corianderyoke::ops::config::queries;
use corianderyoke::ops::config::Author;
use corianderyoke::ops::config::ConfigReader;
use corianderyoke::ops::config::Error;
use corianderyoke::ops::config::Snapshot;
use corianderyoke_coord::register::document::Document;
use corianderyoke_coord::register::Entries;
use corianderyoke_coord::register::Register;
use corianderyoke_coord::register::Revision;
use corianderyoke_platform::faults::Fault;
use corianderyoke_platform::faults::Order;
use corianderyoke_platform::memory::MemoryPlatform;
use futures::future::join_all;
use indexmap::IndexMap;
use parking_lot::Mutex;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::sync::watch;

use super::REGISTER;

const SEED_COUNT: u64 = 6;
const OPERATOR_COUNT: u64 = 4;
const COMMAND_COUNT: u64 = 10;
const READER_COUNT: usize = 3;
const FAULT_COUNT: usize = 16;
const TIMEOUT: Duration = Duration::from_millis(60);

/// Outcome of a command, as its operator saw it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CommandOutcome {
    Changed(Revision),
    Unchanged,
    NotApplied,
    Unknown,
}

fn author(action: String) -> Author {
    Author { operator: "tester".into(), action }
}

async fn apply(
    platform: &MemoryPlatform,
    rate: u64,
    action: String,
) -> Result<CommandOutcome, Error> {
    let text = REGISTER.replace("rate = 1000", &format!("rate = {rate}"));
    let mut document = Document::default();
    assert_eq!(document.read("register.toml", &text), []);
    let applied = commands::apply(platform, &document, None, &author(action)).await?;
    Ok(outcome(&applied))
}

fn outcome(applied: &commands::Applied) -> CommandOutcome {
    if applied.changes.is_empty() {
        CommandOutcome::Unchanged
    } else {
        CommandOutcome::Changed(applied.revision)
    }
}

async fn command(platform: &MemoryPlatform, rng: &mut ChaCha8Rng, action: &str) -> CommandOutcome {
    let author = author(action.to_owned());
    let result = match rng.random_range(0..4) {
        0 => apply(platform, rng.random_range(1..1000), action.to_owned()).await,
        1 => commands::drain(platform, "south", &author).await.map(|applied| outcome(&applied)),
        2 => commands::restore(platform, "south", &author).await.map(|applied| outcome(&applied)),
        _ => {
            let issued = commands::issue_key(platform, "depots", None, &author).await;
            issued.map(|issued| CommandOutcome::Changed(issued.revision))
        }
    };
    match result {
        Ok(outcome) => outcome,
        Err(Error::Unknown { .. }) => CommandOutcome::Unknown,
        Err(Error::Raced { .. } | Error::Platform(_)) => CommandOutcome::NotApplied,
        Err(error) => panic!("{action}: {error}"),
    }
}

async fn operator(platform: MemoryPlatform, seed: u64, name: u64) -> Vec<(String, CommandOutcome)> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed * OPERATOR_COUNT + name);
    let mut outcomes = Vec::new();
    for number in 0..COMMAND_COUNT {
        let action = format!("command {number} of operator {name}");
        let outcome = command(&platform, &mut rng, &action).await;
        outcomes.push((action, outcome));
        tokio::time::sleep(Duration::from_millis(rng.random_range(0..100))).await;
    }
    outcomes
}

async fn faults(platform: MemoryPlatform, seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed + 1_000_000);
    for _ in 0..FAULT_COUNT {
        tokio::time::sleep(Duration::from_millis(rng.random_range(5..60))).await;
        let (fault, longest) = match rng.random_range(0..4) {
            0 => (Fault::Down, 50),
            1 => (Fault::Slow { delay_ms: rng.random_range(10..90) }, 150),
            2 => (Fault::LostAnswers { count: Some(rng.random_range(1..4)) }, 150),
            _ => (Fault::Frozen, if rng.random_ratio(1, 4) { 1_200 } else { 100 }),
        };
        let span_ms = Some(rng.random_range(20..longest));
        platform.store().faults().order(Order { fault, span_ms });
    }
}

/// Polls until all operators are done. After each poll, adopts a random one of the snapshots that
/// the readers have published so far. Returns every configuration that it had in force, in order.
async fn reader(
    platform: MemoryPlatform,
    seed: u64,
    snapshots: Arc<Mutex<Vec<Snapshot>>>,
    mut done: watch::Receiver<bool>,
) -> Vec<Register> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed + 2_000_000);
    let mut reader = ConfigReader::new();
    let mut registers = Vec::new();
    while !*done.borrow_and_update() {
        let polled = reader.poll(&platform).await.unwrap_or_default();
        snapshots.lock().push(reader.snapshot());
        let snapshot = {
            let snapshots = snapshots.lock();
            snapshots[rng.random_range(0..snapshots.len())].clone()
        };
        let adopted = reader.adopt(snapshot);
        registers.extend(
            [polled, adopted].into_iter().flatten().map(|register| Register::clone(&register)),
        );
        tokio::time::sleep(Duration::from_millis(3)).await;
    }
    registers
}

async fn run(seed: u64) {
    let platform = MemoryPlatform::default().with_timeout(TIMEOUT);
    apply(&platform, 1000, "first".into()).await.unwrap();
    let (done, done_receiver) = watch::channel(false);
    let snapshots = Arc::new(Mutex::new(Vec::new()));
    let read =
        |_| tokio::spawn(reader(platform.clone(), seed, snapshots.clone(), done_receiver.clone()));
    let readers: Vec<_> = (0..READER_COUNT).map(read).collect();
    let fault_injection = tokio::spawn(faults(platform.clone(), seed));
    let operators = (0..OPERATOR_COUNT).map(|name| operator(platform.clone(), seed, name));
    let outcomes: Vec<_> = join_all(operators).await.into_iter().flatten().collect();
    fault_injection.await.unwrap();
    platform.store().faults().clear();
    // Writes that are pending in the frozen store take effect before the audit trail is read.
    tokio::time::sleep(2 * TIMEOUT).await;
    done.send(true).unwrap();
    let registers_by_reader: Vec<_> =
        join_all(readers).await.into_iter().flat_map(|registers| [registers.unwrap()]).collect();
    check(&platform, &outcomes, &registers_by_reader).await;
}

/// Checks that the audit trail has no gap and matches the outcome of each command, and that each
/// reader only had configurations of the trail in force, in increasing order.
async fn check(
    platform: &MemoryPlatform,
    outcomes: &[(String, CommandOutcome)],
    registers_by_reader: &[Vec<Register>],
) {
    let records = queries::audit(platform, Revision(1), None).await.unwrap();
    let mut revisions_by_action: IndexMap<&str, Vec<Revision>> = IndexMap::new();
    let mut entries = Entries::new();
    let mut registers = vec![Register::default()];
    for (position, record) in records.iter().enumerate() {
        assert_eq!(record.revision, Revision(position as u64 + 1));
        revisions_by_action.entry(&record.action).or_default().push(record.revision);
        record.changes.iter().for_each(|change| change.apply(&mut entries).unwrap());
        registers.push(Register::compile(record.revision, &entries));
    }
    for (action, outcome) in outcomes {
        let revisions = revisions_by_action.get(action.as_str()).cloned().unwrap_or_default();
        match outcome {
            CommandOutcome::Changed(revision) => assert_eq!(revisions, [*revision], "{action}"),
            CommandOutcome::Unchanged | CommandOutcome::NotApplied => {
                assert_eq!(revisions, [], "{action}")
            }
            CommandOutcome::Unknown => assert!(revisions.len() <= 1, "{action}: {revisions:?}"),
        }
    }
    for in_force in registers_by_reader {
        assert!(in_force.is_sorted_by(|a, b| a.revision < b.revision));
        assert!(in_force
            .iter()
            .all(|register| *register == registers[register.revision.0 as usize]));
    }
    let scanned = ConfigReader::new().poll(platform).await.unwrap().unwrap();
    assert_eq!(Some(&*scanned), registers.last());
}

#[tokio::test(flavor = "multi_thread")]
async fn audit_trail_matches_the_outcomes_of_commands() {
    join_all((0..SEED_COUNT).map(run)).await;
}
