//! A fleet of real processes with loaded models, and the resources that its processes use.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use anyhow::bail;
use anyhow::Context;
use anyhow::Result;
use corianderyoke_support::Builder;
use corianderyoke_support::Fleet;
use indexmap::IndexMap;
use serde_json::Value;
use tokio::time::sleep;

use crate::ops::bench::load::target::Destination;
use crate::ops::bench::load::Arrival;
use crate::ops::bench::load::Outcome;
use crate::ops::bench::load::Target;

/// Number of routers.
pub const ROUTERS: usize = 8;
/// Number of controllers.
pub const CONTROLLERS: usize = 2;
/// Number of engines.
pub const ENGINES: usize = 4;
/// Number of models; all of them fit into the engines' memory at the same time.
pub const MODELS: usize = 8;
/// Number of teams.
pub const TEAMS: usize = 4;
/// Default number of output tokens of a request.
pub const TOKENS: u32 = 4;
/// Deadline of each request.
const DEADLINE: Duration = Duration::from_secs(10);
/// Unit of the processor times in `/proc/PID/stat`.
const CLOCK_TICK: Duration = Duration::from_millis(10);
/// Fields of `/proc/PID/stat` between the program's name and the user time.
const FIELDS_BEFORE_TIMES: usize = 11;

/// Starts a fleet from the binaries in this program's folder.
pub async fn start() -> Result<Fleet> {
    let program = std::env::current_exe().context("failed to find this program's folder")?;
    let binaries = program.parent().map(PathBuf::from).unwrap_or_default();
    let builder = Builder {
        binaries,
        routers: ROUTERS,
        controllers: CONTROLLERS,
        engines: ENGINES,
        models: MODELS,
        teams: TEAMS,
        rate: 1_000_000,
        burst: 2_000_000,
        engine_lines: "token_us = 1000\nslope_us = 50\n".to_owned(),
        ..Builder::default()
    };
    let fleet = builder.start().await;
    fleet.context("failed to start the fleet; build all binaries first: cargo build --release")
}

/// Target that sends requests through the fleet's routers.
pub fn routed_target(fleet: &Fleet, tokens: u32) -> Result<Target> {
    let addresses = (1..=ROUTERS).map(|number| {
        fleet.process(&format!("router-{number}")).and_then(|router| router.address("callers"))
    });
    let keys = (1..=TEAMS).map(|team| fleet.secret(&format!("t{team}")).to_owned());
    let destination = Destination::Routers(addresses.collect::<Result<_>>()?, keys.collect());
    Target::new(destination, tokens, DEADLINE)
}

/// Target that sends each request directly to an engine that has its model loaded.
///
/// Fails if a model isn't loaded on any engine.
pub async fn direct_target(fleet: &Fleet, tokens: u32) -> Result<Target> {
    let mut addresses: Vec<Option<SocketAddr>> = vec![None; MODELS];
    for engine in 1..=ENGINES {
        let name = format!("engine-{engine}");
        let state = fleet.client.get(fleet.standin(&name, "/state")?).send().await?;
        let state: Value = serde_json::from_str(&state.text().await?)?;
        let models = state["models"].as_array().cloned().unwrap_or_default();
        for model in models.iter().filter(|model| model["state"] == "loaded") {
            let number = model["model"].as_str().and_then(|name| name[1..].parse::<usize>().ok());
            if let Some(number) = number {
                addresses[number - 1] = Some(fleet.process(&name)?.address("")?);
            }
        }
    }
    let engines: Option<Vec<SocketAddr>> = addresses.into_iter().collect();
    let engines = engines.context("a model isn't loaded; it was unloaded or is being moved")?;
    Target::new(Destination::Engines(engines), tokens, DEADLINE)
}

/// Loads every model by sending one request for each.
pub async fn load_models(target: &Arc<Target>) -> Result<()> {
    for model in 0..MODELS {
        let arrival = Arrival { at: Duration::ZERO, team: 0, model, router: model };
        let (outcome, _) = target.send(&arrival).await;
        if outcome != Outcome::Served {
            bail!("the first request of model m{} ended with {outcome:?}", model + 1);
        }
    }
    // Time for placement's list of replicas to reach every router.
    sleep(Duration::from_secs(1)).await;
    Ok(())
}

/// Slots in use and concurrency bounds of the engines, as the dispatch home reports them.
pub async fn slot_usage(fleet: &Fleet) -> Result<String> {
    let mut usage = IndexMap::new();
    for router in 1..=ROUTERS {
        let operators = fleet.process(&format!("router-{router}"))?.address("operators")?;
        for model in 1..=MODELS {
            let url = format!("http://{operators}/explain?team=t1&model=m{model}");
            let response = fleet.client.get(url).send().await?.text().await?;
            let response: Value = serde_json::from_str(&response)?;
            for row in response["replicas"].as_array().into_iter().flatten() {
                if let (Some(in_use), Some(slots)) = (row["in_use"].as_u64(), row["slots"].as_u64())
                {
                    let name = row["upstream"].as_str().unwrap_or_default().to_owned();
                    usage.insert(name, format!("{in_use}/{slots}"));
                }
            }
        }
    }
    let parts: Vec<String> = usage.iter().map(|(name, slots)| format!("{name} {slots}")).collect();
    Ok(parts.join(", "))
}

/// Resources that a process has used since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// Processor time, user and system.
    pub cpu: Duration,
    /// Resident memory in bytes.
    pub resident: u64,
    /// Bytes of the peer protocol, sent and received.
    pub peer_bytes: u64,
    /// Bytes of URLs and bodies sent to and received from the platform.
    pub platform_bytes: u64,
    /// Calls to peers.
    pub calls: u64,
    /// Read requests to the platform.
    pub reads: u64,
    /// Write requests to the platform.
    pub writes: u64,
}

/// Reads the usage of a process of the fleet from `/proc` and from its metrics.
pub async fn usage(fleet: &Fleet, name: &str) -> Result<Usage> {
    let process = fleet.process(name)?;
    let url = format!("http://{}/metrics", process.address("operators")?);
    let text = fleet.client.get(url).send().await?.text().await?;
    let total = |metric: &str| {
        let prefix = format!("corianderyoke_{metric}_total ");
        let line = text.lines().find_map(|line| line.strip_prefix(&prefix));
        line.and_then(|value| value.parse::<u64>().ok()).unwrap_or(0)
    };
    Ok(Usage {
        cpu: cpu_time(process.pid())?,
        resident: resident_bytes(process.pid())?,
        peer_bytes: total("peer_sent_bytes") + total("peer_received_bytes"),
        platform_bytes: total("platform_sent_bytes") + total("platform_received_bytes"),
        calls: total("peer_calls"),
        reads: total("platform_reads"),
        writes: total("platform_writes"),
    })
}

fn cpu_time(pid: u32) -> Result<Duration> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
    // The program's name is in parentheses and may hold spaces.
    let (_, fields) = text.rsplit_once(')').context("/proc/PID/stat has no name")?;
    let times = fields.split_whitespace().skip(FIELDS_BEFORE_TIMES).take(2);
    let ticks: u32 = times.filter_map(|field| field.parse::<u32>().ok()).sum();
    Ok(CLOCK_TICK * ticks)
}

/// Resident memory of a process in bytes, from `/proc`.
pub fn resident_bytes(pid: u32) -> Result<u64> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    Ok(kilobytes.context("/proc/PID/status has no VmRSS")? * 1024)
}
