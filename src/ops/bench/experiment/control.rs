//! Resources that a router or controller uses, idle and under load: processor time, resident memory
//! and control traffic.

use std::sync::Arc;
use std::time::Duration;

use anyhow::Result;
use corianderyoke_support::Fleet;
use indexmap::IndexMap;
use tokio::time::sleep;
use tokio::time::Instant;

use super::processes;
use super::processes::Usage;
use super::Finding;
use super::Options;
use crate::ops::bench::load::drive;
use crate::ops::bench::load::Profile;
use crate::ops::bench::load::Stream;
use crate::ops::bench::measure::Measure;
use crate::ops::bench::measure::Summary;

/// Requests per second over all routers.
const RATE: f64 = 500.0;
/// Upper bound of a daemon's processor time, in percent of one core.
const CPU_BOUND: f64 = 5.0;
/// Upper bound of a daemon's resident memory, in megabytes.
const MEMORY_BOUND: f64 = 64.0;
/// Upper bound of a daemon's control traffic, in kilobytes per second.
const TRAFFIC_BOUND: f64 = 18.0;
/// Time for the fleet to settle before the first measurement.
const SETTLE: Duration = Duration::from_secs(3);

/// Resource usage of one daemon in one phase; all but `memory` are rates.
#[derive(Clone, Copy, Debug, Default)]
struct Rates {
    /// Processor time in percent of one core.
    cpu: f64,
    /// Resident memory at the end of the phase, in megabytes.
    memory: f64,
    /// Traffic with peers, in kilobytes per second.
    peers: f64,
    /// Traffic with the platform, in kilobytes per second.
    platform: f64,
    calls: f64,
    reads: f64,
    writes: f64,
}

impl Rates {
    fn between(before: &Usage, after: &Usage, span: Duration) -> Rates {
        let seconds = span.as_secs_f64();
        let rate = |before: u64, after: u64| after.saturating_sub(before) as f64 / seconds;
        Rates {
            cpu: (after.cpu - before.cpu).as_secs_f64() / seconds * 100.0,
            memory: after.resident as f64 / 1e6,
            peers: rate(before.peer_bytes, after.peer_bytes) / 1e3,
            platform: rate(before.platform_bytes, after.platform_bytes) / 1e3,
            calls: rate(before.calls, after.calls),
            reads: rate(before.reads, after.reads),
            writes: rate(before.writes, after.writes),
        }
    }

    fn control_traffic(&self) -> f64 {
        self.peers + self.platform
    }
}

type DaemonRates = IndexMap<String, Rates>;

/// Measures the fleet once idle, and under load once per seed.
pub async fn run(options: &Options) -> Result<Finding> {
    let fleet = processes::start().await?;
    let target = Arc::new(processes::routed_target(&fleet, options.tokens)?);
    processes::load_models(&target).await?;
    sleep(SETTLE).await;
    let rate = options.rate.unwrap_or(RATE);
    let mut phases = Vec::new();
    let mut notes = Vec::new();
    let before = usage_of_daemons(&fleet).await?;
    eprintln!("idle for {} s", options.span.as_secs());
    sleep(options.span).await;
    phases.push(("idle".to_owned(), rates(&fleet, &before).await?));
    for seed in &options.seeds {
        let before = usage_of_daemons(&fleet).await?;
        let label = format!("loaded, seed {seed}");
        let arrivals = profile(*seed, rate, options.span).arrivals();
        let samples = drive(&label, arrivals, Arc::clone(&target)).await?;
        phases.push((label, rates(&fleet, &before).await?));
        notes.push(Summary::of(&samples).line());
    }
    for (phase, table) in &phases {
        notes.extend(table.iter().map(|(name, rates)| format_rates(phase, name, rates)));
    }
    Ok(Finding { measure: measure(rate, &phases), charts: Vec::new(), notes })
}

fn profile(seed: u64, rate: f64, span: Duration) -> Profile {
    let stream = |team| Stream {
        team,
        rate: rate / processes::TEAMS as f64,
        begin: Duration::ZERO,
        end: span,
    };
    Profile {
        span,
        streams: (0..processes::TEAMS).map(stream).collect(),
        models: processes::MODELS,
        routers: processes::ROUTERS,
        model_skew: 0.0,
        seed,
        ..Profile::default()
    }
}

async fn usage_of_daemons(fleet: &Fleet) -> Result<(Instant, IndexMap<String, Usage>)> {
    let mut usages = IndexMap::new();
    let routers = (1..=processes::ROUTERS).map(|number| format!("router-{number}"));
    let controllers = (1..=processes::CONTROLLERS).map(|number| format!("controller-{number}"));
    for name in routers.chain(controllers) {
        let usage = processes::usage(fleet, &name).await?;
        usages.insert(name, usage);
    }
    Ok((Instant::now(), usages))
}

async fn rates(fleet: &Fleet, before: &(Instant, IndexMap<String, Usage>)) -> Result<DaemonRates> {
    let (started, before) = before;
    let (ended, after) = usage_of_daemons(fleet).await?;
    let rate = |(name, after): (String, Usage)| {
        let rates = Rates::between(&before[&name], &after, ended - *started);
        (name, rates)
    };
    Ok(after.into_iter().map(rate).collect())
}

fn format_rates(phase: &str, name: &str, rates: &Rates) -> String {
    format!(
        "{phase}: {name}: cpu {:.1} %, memory {:.1} MB, peers {:.1} KB/s in {:.1} calls/s, \
         platform {:.1} KB/s in {:.1} reads/s and {:.1} writes/s",
        rates.cpu,
        rates.memory,
        rates.peers,
        rates.calls,
        rates.platform,
        rates.reads,
        rates.writes
    )
}

fn measure(rate: f64, phases: &[(String, DaemonRates)]) -> Measure {
    let worst = |idle: bool, value: fn(&Rates) -> f64| {
        let chosen = phases.iter().filter(|(phase, _)| (phase == "idle") == idle);
        let daemons = chosen.flat_map(|(_, table)| table.values());
        daemons.map(value).fold(0.0, f64::max)
    };
    let part = |measure: &str, unit: &str, idle: bool, value: fn(&Rates) -> f64, bound: f64| {
        let (measure, unit) = (measure.to_owned(), unit.to_owned());
        let ours = worst(idle, value);
        Measure { measure, unit, ours, bound: Some(bound), ..Measure::default() }.judged()
    };
    let cpu: fn(&Rates) -> f64 = |rates| rates.cpu;
    let memory: fn(&Rates) -> f64 = |rates| rates.memory;
    let traffic: fn(&Rates) -> f64 = Rates::control_traffic;
    let measure = Measure {
        measure: format!("control bytes of the busiest daemon under {rate} requests/s"),
        unit: "KB/s".to_owned(),
        ours: worst(false, traffic),
        bound: Some(TRAFFIC_BOUND),
        parts: vec![
            part("control bytes idle", "KB/s", true, traffic, TRAFFIC_BOUND),
            part("processor, idle", "% of a core", true, cpu, CPU_BOUND),
            part("processor, loaded, forwarding included", "% of a core", false, cpu, CPU_BOUND),
            part("resident memory, idle", "MB", true, memory, MEMORY_BOUND),
            part("resident memory, loaded", "MB", false, memory, MEMORY_BOUND),
        ],
        ..Measure::default()
    };
    measure.judged()
}
