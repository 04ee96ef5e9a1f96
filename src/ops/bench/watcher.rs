//! Polls the stand-ins' ledgers and states during a run and records them in the journal.
//!
//! A stand-in's ledger is lost when its process ends, so the ledgers are polled throughout the run
//! and the last one of each incarnation counts. A replica counts as loaded between two polls that
//! both show it; this doesn't depend on the upstream's clock.

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

/// Interval between two polls of a stand-in.
const POLL_INTERVAL: Duration = Duration::from_millis(150);
/// Timeout for the headers, and again for the body, of one response.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Response of an engine's `GET /state`.
#[derive(Debug, Default, Deserialize)]
struct EngineState {
    models: Vec<Model>,
}

#[derive(Debug, Deserialize)]
struct Model {
    model: String,
}

/// Models that an engine held at some time between `began` and `ended`, in microseconds.
struct Poll {
    began: u64,
    ended: u64,
    models: IndexSet<String>,
}

/// Polls one engine until `stop` is true, then records its ledgers.
pub async fn watch_engine(
    world: Arc<World>,
    name: String,
    url: String,
    stop: watch::Receiver<bool>,
) -> anyhow::Result<()> {
    let client = client()?;
    let mut ledgers = Vec::<EngineLedger>::new();
    let mut previous = None::<Poll>;
    loop {
        let stopping = *stop.borrow();
        if let Some(ledger) = get_json::<EngineLedger>(&client, &url, "/ledger").await {
            keep_newest(&mut ledgers, ledger, |ledger| {
                ledger.requests.len() + ledger.changes.len()
            });
        }
        let began = Journal::now();
        let state = get_json::<EngineState>(&client, &url, "/state").await;
        let current = state.map(|state| Poll {
            began,
            ended: Journal::now(),
            models: state.models.into_iter().map(|model| model.model).collect(),
        });
        if let (Some(previous), Some(current)) = (&previous, &current) {
            record_replicas(&world, &name, previous, current);
        }
        previous = current;
        if stopping {
            break;
        }
        sleep(POLL_INTERVAL).await;
    }
    for ledger in ledgers {
        record_engine(&world, &name, ledger);
    }
    Ok(())
}

/// Records the replicas that two consecutive polls both show.
fn record_replicas(world: &World, name: &str, previous: &Poll, current: &Poll) {
    for model in previous.models.intersection(&current.models) {
        let (model, upstream) = (model.clone(), name.to_owned());
        let loaded = Event::ReplicaLoaded { model: model.clone(), upstream: upstream.clone() };
        world.journal.record_at(previous.ended, loaded);
        world.journal.record_at(current.began, Event::ReplicaUnloaded { model, upstream });
    }
}

fn record_engine(world: &World, name: &str, ledger: EngineLedger) {
    let upstream = || name.to_owned();
    for request in ledger.requests {
        let attempt = request.request_id;
        world.journal.record(Event::UpstreamRan { attempt, upstream: upstream() });
    }
    for _ in 0..ledger.overcommits {
        world.journal.record(Event::UpstreamOvercommit { upstream: upstream() });
    }
    if ledger.collapsed {
        world.journal.record(Event::UpstreamCollapsed { upstream: upstream() });
    }
    let headers = ledger.headers.into_iter().collect();
    world.journal.record(Event::UpstreamSaw { upstream: upstream(), headers, leaks: ledger.leaks });
}

/// Polls one instance of the service until `stop` is true, then records its ledgers.
pub async fn watch_service(
    world: Arc<World>,
    name: String,
    url: String,
    stop: watch::Receiver<bool>,
) -> anyhow::Result<()> {
    let client = client()?;
    let mut ledgers = Vec::<ServiceLedger>::new();
    loop {
        let stopping = *stop.borrow();
        if let Some(ledger) = get_json::<ServiceLedger>(&client, &url, "/ledger").await {
            keep_newest(&mut ledgers, ledger, |ledger| ledger.effects as usize);
        }
        if stopping {
            break;
        }
        sleep(POLL_INTERVAL).await;
    }
    for ledger in ledgers {
        record_service(&world, &name, ledger);
    }
    Ok(())
}

fn record_service(world: &World, name: &str, ledger: ServiceLedger) {
    for (key, count) in ledger.keys {
        for _ in 0..count {
            let (service, key) = (name.to_owned(), key.clone());
            world.journal.record(Event::ServiceRun { service, key });
        }
    }
    for attempt in ledger.requests.into_keys() {
        world.journal.record(Event::UpstreamRan { attempt, upstream: name.to_owned() });
    }
    let (upstream, headers) = (name.to_owned(), ledger.headers.into_iter().collect());
    world.journal.record(Event::UpstreamSaw { upstream, headers, leaks: ledger.leaks });
}

/// Replaces the last ledger by a newer one of the same incarnation; a smaller ledger means that the
/// stand-in was restarted, and is added as another one.
fn keep_newest<T>(ledgers: &mut Vec<T>, ledger: T, size: impl Fn(&T) -> usize) {
    match ledgers.last_mut() {
        Some(last) if size(last) <= size(&ledger) => *last = ledger,
        _ => ledgers.push(ledger),
    }
}

fn client() -> reqwest::Result<reqwest::Client> {
    reqwest::Client::builder().no_proxy().pool_max_idle_per_host(0).build()
}

async fn get_json<T: DeserializeOwned>(
    client: &reqwest::Client,
    url: &str,
    path: &str,
) -> Option<T> {
    let request = client.get(format!("{url}{path}")).send();
    let answer = timeout(READ_TIMEOUT, request).await.ok()?.ok()?;
    timeout(READ_TIMEOUT, answer.json()).await.ok()?.ok()
}

/// Spawns a task for every engine and service instance of the fleet that polls it.
pub async fn spawn_watchers(
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
            true => tokio::spawn(watch_engine(world, name, url, stop)),
            false => tokio::spawn(watch_service(world, name, url, stop)),
        });
    }
    Ok(tasks)
}
