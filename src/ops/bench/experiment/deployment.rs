//! Sizes of the production deployments, and cells of those sizes in one process.
//!
//! Model loads take a tenth of their time on accelerators, and the weight store allows ten times as
//! many a second, so that a run takes seconds.

use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;

use anyhow::bail;
use anyhow::Result;
use clap::ValueEnum;
use corianderyoke_standin::engine;
use corianderyoke_standin::engine::settings::LoadTimes;
use corianderyoke_standin::engine::settings::Tier;
use corianderyoke_standin::engine::weights;
use corianderyoke_standin::engine::weights::WeightStore;
use tokio::time::sleep;
use tokio::time::Instant;

use crate::ops::bench::cell::Cell;
use crate::ops::bench::cell::Plan;

/// Number of routers in both deployments.
pub const ROUTERS: usize = 8;
/// Number of teams in both deployments.
pub const TEAMS: usize = 5;
/// Share of the total traffic that each team sends: two teams send most of it.
pub const TEAM_SHARES: [f64; TEAMS] = [0.4, 0.3, 0.1, 0.1, 0.1];
/// Factor by which loads are faster than on accelerators.
pub const SPEEDUP: f64 = 10.0;
/// Size of each model in bytes.
const MODEL_BYTES: u64 = 16_000_000_000;
/// Size of each adapter in bytes.
const ADAPTER_BYTES: u64 = 50_000_000;
/// Memory of each engine in bytes: room for four models and their adapters.
const ENGINE_BYTES: u64 = 80_000_000_000;
/// Longest wait until the models of a run are loaded.
const LOAD_TIMEOUT: Duration = Duration::from_secs(30);

/// A production deployment, by its operator.
#[derive(Clone, Copy, Debug, Eq, PartialEq, ValueEnum)]
pub enum Deployment {
    /// Kumlama: 10 engines, 30 models, 55 adapters
    Kumlama,
    /// Speglagler: 12 engines, 25 models, 75 adapters
    Speglagler,
}

/// Size and load limits of a deployment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Size {
    /// Number of engines.
    pub engines: usize,
    /// Number of models.
    pub models: usize,
    /// Number of adapters.
    pub adapters: usize,
    /// Model loads that the weight store allows per second, on accelerators.
    pub load_rate: f64,
    /// Model loads that the weight store allows in flight.
    pub load_inflight: usize,
    /// Time to load an adapter in the bench.
    pub adapter_time: Duration,
}

impl Deployment {
    /// Returns the deployment's size.
    pub fn size(self) -> Size {
        match self {
            Deployment::Kumlama => Size {
                engines: 10,
                models: 30,
                adapters: 55,
                load_rate: 1.8,
                load_inflight: 4,
                adapter_time: Duration::from_millis(8),
            },
            Deployment::Speglagler => Size {
                engines: 12,
                models: 25,
                adapters: 75,
                load_rate: 3.0,
                load_inflight: 4,
                adapter_time: Duration::from_millis(5),
            },
        }
    }
}

/// Time to load a model in the bench from a checkpoint in `tier`.
pub fn load_time(tier: Tier) -> Duration {
    match tier {
        Tier::Memory => Duration::from_millis(100),
        Tier::Disk => Duration::from_millis(400),
        Tier::Remote => Duration::from_millis(1_500),
    }
}

/// Tier in which an engine has a model's checkpoint.
///
/// Two engines have each model in its best tier, the others only remotely. The best tier is remote
/// for one model in four, memory for one in four and disk for the others.
pub fn checkpoint_tier(engine: usize, model: usize, engines: usize) -> Tier {
    let best = match model % 4 {
        0 => Tier::Remote,
        1 => Tier::Memory,
        _ => Tier::Disk,
    };
    let holder = model * 7 % engines;
    if engine == holder || engine == (holder + 3) % engines {
        best
    } else {
        Tier::Remote
    }
}

/// The fastest tier in which any engine has the model's checkpoint.
pub fn best_tier(model: usize, engines: usize) -> Tier {
    let rank = |tier: &Tier| match tier {
        Tier::Memory => 0,
        Tier::Disk => 1,
        Tier::Remote => 2,
    };
    let tiers = (0..engines).map(|engine| checkpoint_tier(engine, model, engines));
    tiers.min_by_key(rank).unwrap_or(Tier::Remote)
}

/// Plans a cell of this size. `rates` holds each team's limit in tokens per second.
pub fn cell_plan(size: &Size, rates: &[u64], deadline: Duration) -> Plan {
    let weights = WeightStore::new(weights::Settings {
        loads_rate: size.load_rate * SPEEDUP,
        loads_limit: size.load_inflight,
        load_time: load_time(Tier::Remote),
        adapter_time: size.adapter_time,
        ..weights::Settings::default()
    });
    let engine = |number| engine::Settings {
        memory_bytes: ENGINE_BYTES,
        checkpoints: (0..size.models)
            .map(|model| (format!("m{}", model + 1), checkpoint_tier(number, model, size.engines)))
            .collect(),
        times: LoadTimes {
            memory: load_time(Tier::Memory),
            disk: load_time(Tier::Disk),
            ..LoadTimes::default()
        },
        weights: weights.clone(),
        ..engine::Settings::default()
    };
    Plan {
        routers: ROUTERS,
        controllers: 2,
        engines: (0..size.engines).map(engine).collect(),
        services: 0,
        register: register_text(size, rates, deadline),
        ..Plan::default()
    }
}

fn register_text(size: &Size, rates: &[u64], deadline: Duration) -> String {
    let mut text = String::new();
    let millis = |tier| load_time(tier).as_millis();
    for model in 1..=size.models {
        let _ = writeln!(
            text,
            "[models.m{model}]\nbytes = {MODEL_BYTES}\nbytes_per_token = 2.0\n\
             context_tokens = 512\noutput_tokens = 256\n[models.m{model}.start_ms]\nmemory = {}\ndisk = {}\n\
             remote = {}",
            millis(Tier::Memory),
            millis(Tier::Disk),
            millis(Tier::Remote)
        );
    }
    for adapter in 1..=size.adapters {
        let model = (adapter - 1) % size.models + 1;
        let _ =
            writeln!(text, "[adapters.a{adapter}]\nmodel = \"m{model}\"\nbytes = {ADAPTER_BYTES}");
    }
    for (number, rate) in (1..).zip(rates) {
        let _ = writeln!(
            text,
            "[teams.t{number}]\nrate = {rate}\nburst = {}\n[grants.t{number}]\nmodels = [\"*\"]\n\
             adapters = [\"*\"]",
            rate * 2
        );
    }
    let (rate, limit) = (size.load_rate * SPEEDUP, size.load_inflight);
    let _ = writeln!(
        text,
        "[rules]\ndeadline_ms = {}\nload_rate = {rate:.1}\nload_inflight = {limit}",
        deadline.as_millis()
    );
    text
}

/// Issues an API key for each team and returns the secrets, by the index of the team.
pub async fn issue_keys(cell: &Cell) -> Result<Vec<String>> {
    let mut keys = Vec::new();
    for team in 1..=TEAMS {
        keys.push(cell.issue_key(&format!("t{team}")).await?);
    }
    Ok(keys)
}

/// Addresses on which the routers serve callers, by the index of the router.
pub fn router_addresses(cell: &Cell) -> Vec<SocketAddr> {
    cell.routers.iter().map(|router| router.callers).collect()
}

/// Indices of the engines that have each of the first `models` models loaded.
pub fn replicas(cell: &Cell, models: usize) -> Vec<Vec<usize>> {
    let loaded: Vec<_> = cell.engines.iter().map(|engine| engine.loaded()).collect();
    let engines_with = |model: usize| {
        let name = format!("m{}", model + 1);
        let engines = loaded.iter().enumerate();
        engines.filter(|(_, names)| names.contains(&name)).map(|(engine, _)| engine).collect()
    };
    (0..models).map(engines_with).collect()
}

/// Waits until each of the first `models` models is loaded on an engine. Fails after a timeout.
pub async fn wait_until_loaded(cell: &Cell, models: usize) -> Result<()> {
    let start = Instant::now();
    while start.elapsed() < LOAD_TIMEOUT {
        if replicas(cell, models).iter().all(|engines| !engines.is_empty()) {
            return Ok(());
        }
        sleep(Duration::from_millis(50)).await;
    }
    bail!("the models weren't loaded before the timeout")
}
