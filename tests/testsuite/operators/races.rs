//! Many operators and readers at once over a store with faults in a seeded order.

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

const SEEDS: u64 = 6;
const OPERATORS: u64 = 4;
const COMMANDS: u64 = 10;
const READERS: usize = 3;
const FAULTS: usize = 16;
const TIMEOUT: Duration = Duration::from_millis(60);

/// How a command ended, as its operator saw it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Ending {
    Changed(Revision),
    Unchanged,
    NotDone,
    Unknown,
}

fn author(action: String) -> Author {
    Author { operator: "tester".into(), action }
}

async fn apply(platform: &MemoryPlatform, rate: u64, action: String) -> Result<Ending, Error> {
    let text = REGISTER.replace("rate = 1000", &format!("rate = {rate}"));
    let mut document = Document::default();
    assert_eq!(document.read("register.toml", &text), []);
    let applied = commands::apply(platform, &document, None, &author(action)).await?;
    Ok(ending(&applied))
}

fn ending(applied: &commands::Applied) -> Ending {
    if applied.changes.is_empty() {
        Ending::Unchanged
    } else {
        Ending::Changed(applied.revision)
    }
}

async fn command(platform: &MemoryPlatform, rng: &mut ChaCha8Rng, action: &str) -> Ending {
    let by = author(action.to_owned());
    let result = match rng.random_range(0..4) {
        0 => apply(platform, rng.random_range(1..1000), action.to_owned()).await,
        1 => commands::drain(platform, "south", &by).await.map(|applied| ending(&applied)),
        2 => commands::restore(platform, "south", &by).await.map(|applied| ending(&applied)),
        _ => {
            let issued = commands::issue_key(platform, "depots", None, &by).await;
            issued.map(|issued| Ending::Changed(issued.revision))
        }
    };
    match result {
        Ok(ending) => ending,
        Err(Error::Unknown { .. }) => Ending::Unknown,
        Err(Error::Raced { .. } | Error::Platform(_)) => Ending::NotDone,
        Err(error) => panic!("{action}: {error}"),
    }
}

async fn operator(platform: MemoryPlatform, seed: u64, name: u64) -> Vec<(String, Ending)> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed * OPERATORS + name);
    let mut endings = Vec::new();
    for number in 0..COMMANDS {
        let action = format!("command {number} of operator {name}");
        let ending = command(&platform, &mut rng, &action).await;
        endings.push((action, ending));
        tokio::time::sleep(Duration::from_millis(rng.random_range(0..100))).await;
    }
    endings
}

async fn faults(platform: MemoryPlatform, seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed + 1_000_000);
    for _ in 0..FAULTS {
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

/// Polls until told that all operators are done, and between polls takes what some reader held
/// at some time; every configuration it had in force, in order.
async fn reader(
    platform: MemoryPlatform,
    seed: u64,
    peers: Arc<Mutex<Vec<Snapshot>>>,
    mut done: watch::Receiver<bool>,
) -> Vec<Register> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed + 2_000_000);
    let mut reader = ConfigReader::new();
    let mut held = Vec::new();
    while !*done.borrow_and_update() {
        let polled = reader.poll(&platform).await.unwrap_or_default();
        peers.lock().push(reader.snapshot());
        let told = {
            let peers = peers.lock();
            peers[rng.random_range(0..peers.len())].clone()
        };
        let adopted = reader.adopt(told);
        held.extend([polled, adopted].into_iter().flatten().map(|held| Register::clone(&held)));
        tokio::time::sleep(Duration::from_millis(3)).await;
    }
    held
}

async fn run(seed: u64) {
    let platform = MemoryPlatform::default().with_timeout(TIMEOUT);
    apply(&platform, 1000, "first".into()).await.unwrap();
    let (done, wait) = watch::channel(false);
    let peers = Arc::new(Mutex::new(Vec::new()));
    let read = |_| tokio::spawn(reader(platform.clone(), seed, peers.clone(), wait.clone()));
    let readers: Vec<_> = (0..READERS).map(read).collect();
    let chaos = tokio::spawn(faults(platform.clone(), seed));
    let operators = (0..OPERATORS).map(|name| operator(platform.clone(), seed, name));
    let endings: Vec<_> = join_all(operators).await.into_iter().flatten().collect();
    chaos.await.unwrap();
    platform.store().faults().clear();
    // Writes that waited in the frozen store come out before the trail is read.
    tokio::time::sleep(2 * TIMEOUT).await;
    done.send(true).unwrap();
    let held: Vec<_> =
        join_all(readers).await.into_iter().flat_map(|held| [held.unwrap()]).collect();
    check(&platform, &endings, &held).await;
}

/// The trail has no gap and says what each operator was told, and each reader held just it.
async fn check(platform: &MemoryPlatform, endings: &[(String, Ending)], held: &[Vec<Register>]) {
    let records = queries::audit(platform, Revision(1), None).await.unwrap();
    let mut by_action: IndexMap<&str, Vec<Revision>> = IndexMap::new();
    let mut entries = Entries::new();
    let mut registers = vec![Register::default()];
    for (position, record) in records.iter().enumerate() {
        assert_eq!(record.revision, Revision(position as u64 + 1));
        by_action.entry(&record.action).or_default().push(record.revision);
        record.changes.iter().for_each(|change| change.apply(&mut entries).unwrap());
        registers.push(Register::compile(record.revision, &entries));
    }
    for (action, ending) in endings {
        let revisions = by_action.get(action.as_str()).cloned().unwrap_or_default();
        match ending {
            Ending::Changed(revision) => assert_eq!(revisions, [*revision], "{action}"),
            Ending::Unchanged | Ending::NotDone => assert_eq!(revisions, [], "{action}"),
            Ending::Unknown => assert!(revisions.len() <= 1, "{action}: {revisions:?}"),
        }
    }
    for held in held {
        assert!(held.is_sorted_by(|a, b| a.revision < b.revision));
        assert!(held.iter().all(|held| *held == registers[held.revision.0 as usize]));
    }
    let scanned = ConfigReader::new().poll(platform).await.unwrap().unwrap();
    assert_eq!(Some(&*scanned), registers.last());
}

#[tokio::test(flavor = "multi_thread")]
async fn the_trail_says_what_each_operator_was_told() {
    join_all((0..SEEDS).map(run)).await;
}
