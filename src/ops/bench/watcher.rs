//! Reads the stand-ins' ledgers and states while a run goes on, and writes down what they say.
//!
//! A stand-in that dies takes its ledger with it, so the ledgers are read all along and the last
//! reading of each incarnation counts. A replica counts as held between two readings that both show
//! it, which needs no clock of the upstream's.

use std::sync::Arc;
use std::time::Duration;

use corianderyoke_history::Event;
use corianderyoke_standin::engine::Ledger as EngineLedger;
use corianderyoke_standin::service::Ledger as ServiceLedger;
use indexmap::IndexMap;
use indexmap::IndexSet;
use serde::de::DeserializeOwned;
use serde::Deserialize;
use tokio::sync::watch;
use tokio::time::sleep;
use tokio::time::timeout;

use super::journal::Journal;
use super::world::World;

/// Time between two readings.
const LOOK_EVERY: Duration = Duration::from_millis(150);
/// Longest time for one reading.
const LOOK_WITHIN: Duration = Duration::from_secs(2);

/// What an engine says of its models.
#[derive(Debug, Default, Deserialize)]
struct State {
    models: Vec<Model>,
}

#[derive(Debug, Deserialize)]
struct Model {
    model: String,
}

/// A reading of an engine's models.
struct Reading {
    began: u64,
    ended: u64,
    models: IndexSet<String>,
}

/// Follows one engine until `stop` says so.
pub async fn engine(
    world: Arc<World>,
    name: String,
    url: String,
    stop: watch::Receiver<bool>,
) -> anyhow::Result<()> {
    let client = client()?;
    let mut ledgers = Vec::<EngineLedger>::new();
    let mut last = None::<Reading>;
    loop {
        let over = *stop.borrow();
        if let Some(ledger) = read::<EngineLedger>(&client, &url, "/ledger").await {
            keep(&mut ledgers, ledger, |ledger| ledger.requests.len() + ledger.changes.len());
        }
        let began = Journal::now();
        let state = read::<State>(&client, &url, "/state").await;
        let now = state.map(|state| Reading {
            began,
            ended: Journal::now(),
            models: state.models.into_iter().map(|model| model.model).collect(),
        });
        if let (Some(before), Some(now)) = (&last, &now) {
            held(&world, &name, before, now);
        }
        last = now;
        if over {
            break;
        }
        sleep(LOOK_EVERY).await;
    }
    for ledger in ledgers {
        note_engine(&world, &name, ledger);
    }
    Ok(())
}

/// Notes the replicas that two readings both show.
fn held(world: &World, name: &str, before: &Reading, now: &Reading) {
    for model in before.models.intersection(&now.models) {
        let (model, upstream) = (model.clone(), name.to_owned());
        let loaded = Event::ReplicaLoaded { model: model.clone(), upstream: upstream.clone() };
        world.journal.note_at(before.ended, loaded);
        world.journal.note_at(now.began, Event::ReplicaUnloaded { model, upstream });
    }
}

fn note_engine(world: &World, name: &str, ledger: EngineLedger) {
    let upstream = || name.to_owned();
    for request in ledger.requests {
        let attempt = request.request_id;
        world.journal.note(Event::UpstreamRan { attempt, upstream: upstream() });
    }
    for _ in 0..ledger.overcommits {
        world.journal.note(Event::UpstreamOvercommit { upstream: upstream() });
    }
    if ledger.collapsed {
        world.journal.note(Event::UpstreamCollapsed { upstream: upstream() });
    }
    let headers = ledger.headers.into_iter().collect();
    world.journal.note(Event::UpstreamSaw { upstream: upstream(), headers, leaks: ledger.leaks });
}

/// Follows one instance of a service until `stop` says so.
pub async fn service(
    world: Arc<World>,
    name: String,
    url: String,
    stop: watch::Receiver<bool>,
) -> anyhow::Result<()> {
    let client = client()?;
    let mut ledgers = Vec::<ServiceLedger>::new();
    loop {
        let over = *stop.borrow();
        if let Some(ledger) = read::<ServiceLedger>(&client, &url, "/ledger").await {
            keep(&mut ledgers, ledger, |ledger| ledger.effects as usize);
        }
        if over {
            break;
        }
        sleep(LOOK_EVERY).await;
    }
    for ledger in ledgers {
        note_service(&world, &name, ledger);
    }
    Ok(())
}

fn note_service(world: &World, name: &str, ledger: ServiceLedger) {
    for (key, count) in ledger.keys {
        for _ in 0..count {
            let (service, key) = (name.to_owned(), key.clone());
            world.journal.note(Event::ServiceRun { service, key });
        }
    }
    for attempt in ledger.requests.into_keys() {
        world.journal.note(Event::UpstreamRan { attempt, upstream: name.to_owned() });
    }
    let (upstream, headers) = (name.to_owned(), ledger.headers.into_iter().collect());
    world.journal.note(Event::UpstreamSaw { upstream, headers, leaks: ledger.leaks });
}

/// Keeps a newer reading in place of the last one, unless the stand-in was started anew since.
fn keep<T>(ledgers: &mut Vec<T>, ledger: T, size: impl Fn(&T) -> usize) {
    match ledgers.last_mut() {
        Some(last) if size(last) <= size(&ledger) => *last = ledger,
        _ => ledgers.push(ledger),
    }
}

fn client() -> reqwest::Result<reqwest::Client> {
    reqwest::Client::builder().no_proxy().pool_max_idle_per_host(0).build()
}

async fn read<T: DeserializeOwned>(client: &reqwest::Client, url: &str, path: &str) -> Option<T> {
    let asked = client.get(format!("{url}{path}")).send();
    let answer = timeout(LOOK_WITHIN, asked).await.ok()?.ok()?;
    timeout(LOOK_WITHIN, answer.json()).await.ok()?.ok()
}

/// Follows every upstream of the fleet.
pub async fn follow(
    world: &Arc<World>,
    stop: &watch::Receiver<bool>,
) -> anyhow::Result<Vec<tokio::task::JoinHandle<anyhow::Result<()>>>> {
    let fleet = world.fleet.lock().await;
    let mut urls = IndexMap::new();
    for number in 1..=fleet.builder.engines {
        let name = format!("engine-{number}");
        urls.insert(name.clone(), fleet.standin(&name, "")?);
    }
    let engines = urls.len();
    for number in 1..=fleet.builder.services {
        let name = format!("orders-{number}");
        urls.insert(name.clone(), fleet.standin(&name, "")?);
    }
    let mut tasks = Vec::new();
    for (position, (name, url)) in urls.into_iter().enumerate() {
        let (world, stop) = (Arc::clone(world), stop.clone());
        tasks.push(match position < engines {
            true => tokio::spawn(engine(world, name, url, stop)),
            false => tokio::spawn(service(world, name, url, stop)),
        });
    }
    Ok(tasks)
}
