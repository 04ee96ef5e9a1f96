//! Sizes of the deployments that run the system today, as the in-process cells take them.
//!
//! Loads are a tenth as long as on accelerators, so that a run takes seconds; the weight store's
//! rate is ten times as high for the same reason.

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

/// Routers of both deployments.
pub const ROUTERS: usize = 8;
/// Teams of both deployments.
pub const TEAMS: usize = 5;
/// Parts of the whole traffic that the teams send: a few are large.
pub const TEAM_PARTS: [f64; TEAMS] = [0.4, 0.3, 0.1, 0.1, 0.1];
/// How much faster than on accelerators loads go.
pub const SPEED: f64 = 10.0;
/// Bytes of a model.
const MODEL_BYTES: u64 = 16_000_000_000;
/// Bytes of an adapter.
const ADAPTER_BYTES: u64 = 50_000_000;
/// Memory of an engine: four models and their adapters.
const ENGINE_BYTES: u64 = 80_000_000_000;
/// Longest time for which a load counts as under way.
const LOADED_WITHIN: Duration = Duration::from_secs(30);

/// Who runs it.
#[derive(Clone, Copy, Debug, Eq, PartialEq, ValueEnum)]
pub enum Deployment {
    /// Kumlama: 10 engines, 30 models, 55 adapters
    Kumlama,
    /// Speglagler: 12 engines, 25 models, 75 adapters
    Speglagler,
}

/// What a deployment consists of.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Size {
    /// Engines.
    pub engines: usize,
    /// Models.
    pub models: usize,
    /// Adapters.
    pub adapters: usize,
    /// Loads that the weight store allows a second.
    pub loads_rate: f64,
    /// Loads that it allows at once.
    pub loads_limit: usize,
    /// Time of an adapter load.
    pub adapter: Duration,
}

impl Deployment {
    /// Its size.
    pub fn size(self) -> Size {
        match self {
            Deployment::Kumlama => Size {
                engines: 10,
                models: 30,
                adapters: 55,
                loads_rate: 1.8,
                loads_limit: 4,
                adapter: Duration::from_millis(8),
            },
            Deployment::Speglagler => Size {
                engines: 12,
                models: 25,
                adapters: 75,
                loads_rate: 3.0,
                loads_limit: 4,
                adapter: Duration::from_millis(5),
            },
        }
    }
}

/// Times of a load by the tier of the checkpoint, at the bench's speed.
pub fn load_time(tier: Tier) -> Duration {
    match tier {
        Tier::Memory => Duration::from_millis(100),
        Tier::Disk => Duration::from_millis(400),
        Tier::Remote => Duration::from_millis(1_500),
    }
}

/// Where an engine has a model's checkpoint: unevenly in memory, on disk or only remotely.
///
/// One model in four has its best checkpoint remotely, one in four in memory, the others on disk.
pub fn tier(engine: usize, model: usize, engines: usize) -> Tier {
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

/// The best tier of a model over all engines.
pub fn best_tier(model: usize, engines: usize) -> Tier {
    let rank = |tier: &Tier| match tier {
        Tier::Memory => 0,
        Tier::Disk => 1,
        Tier::Remote => 2,
    };
    let tiers = (0..engines).map(|engine| tier(engine, model, engines));
    tiers.min_by_key(rank).unwrap_or(Tier::Remote)
}

/// A plan for a cell of this size; each team may spend `rates` tokens a second.
pub fn plan(size: &Size, rates: &[u64], deadline: Duration) -> Plan {
    let weights = WeightStore::new(weights::Settings {
        loads_rate: size.loads_rate * SPEED,
        loads_limit: size.loads_limit,
        load_time: load_time(Tier::Remote),
        adapter_time: size.adapter,
        ..weights::Settings::default()
    });
    let engine = |number| engine::Settings {
        memory_bytes: ENGINE_BYTES,
        checkpoints: (0..size.models)
            .map(|model| (format!("m{}", model + 1), tier(number, model, size.engines)))
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
        register: register(size, rates, deadline),
        ..Plan::default()
    }
}

fn register(size: &Size, rates: &[u64], deadline: Duration) -> String {
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
    let (rate, limit) = (size.loads_rate * SPEED, size.loads_limit);
    let _ = writeln!(
        text,
        "[rules]\ndeadline_ms = {}\nload_rate = {rate:.1}\nload_inflight = {limit}",
        deadline.as_millis()
    );
    text
}

/// Issues a key a team and returns the secrets in order.
pub async fn keys(cell: &Cell) -> Result<Vec<String>> {
    let mut keys = Vec::new();
    for team in 1..=TEAMS {
        keys.push(cell.issue_key(&format!("t{team}")).await?);
    }
    Ok(keys)
}

/// Where callers reach the routers, in order.
pub fn callers(cell: &Cell) -> Vec<SocketAddr> {
    cell.routers.iter().map(|running| running.callers).collect()
}

/// The engines that hold each of the first `models` models.
pub fn holders(cell: &Cell, models: usize) -> Vec<Vec<usize>> {
    let loaded: Vec<_> = cell.engines.iter().map(|engine| engine.loaded()).collect();
    let holders = |model: usize| {
        let name = format!("m{}", model + 1);
        let engines = loaded.iter().enumerate();
        engines.filter(|(_, names)| names.contains(&name)).map(|(engine, _)| engine).collect()
    };
    (0..models).map(holders).collect()
}

/// Waits until each of the first `models` models is loaded somewhere.
pub async fn loaded(cell: &Cell, models: usize) -> Result<()> {
    let start = Instant::now();
    while start.elapsed() < LOADED_WITHIN {
        if holders(cell, models).iter().all(|engines| !engines.is_empty()) {
            return Ok(());
        }
        sleep(Duration::from_millis(50)).await;
    }
    bail!("the models weren't loaded in time")
}
