//! p99 latency of the worst-served team while another team sends five times its limit.
//!
//! Each seed has four runs on one cell: the other teams without and with the noisy team, each
//! through the system's routers and through the baseline's routers on the same engines.

use std::sync::Arc;
use std::time::Duration;

use anyhow::Result;
use corianderyoke_coord::pools::Limits;

use super::deployment;
use super::deployment::Size;
use super::deployment::TEAMS;
use super::deployment::TEAM_SHARES;
use super::Finding;
use super::Options;
use crate::ops::bench::cell::Cell;
use crate::ops::bench::load::baseline;
use crate::ops::bench::load::baseline::Baseline;
use crate::ops::bench::load::drive;
use crate::ops::bench::load::target::request_cost;
use crate::ops::bench::load::target::Destination;
use crate::ops::bench::load::Profile;
use crate::ops::bench::load::Sample;
use crate::ops::bench::load::Stream;
use crate::ops::bench::load::Target;
use crate::ops::bench::measure::Measure;
use crate::ops::bench::measure::Summary;
use crate::ops::bench::report::Chart;
use crate::ops::bench::report::Series;

/// Requests per second of all teams at their base rates.
const RATE: f64 = 150.0;
/// Output tokens of each request.
const TOKENS: u32 = 16;
/// Fraction of its limit that a team uses at its base rate.
const UTILIZATION: f64 = 0.8;
/// Index of the team that exceeds its limit.
const NOISY_TEAM: usize = 0;
/// Rate of the noisy team as a multiple of its limit.
const NOISE_FACTOR: f64 = 5.0;
/// Number of models that receive requests; the others stay idle.
const MODELS: usize = 8;
/// Upper bound of the factor by which the noisy team may raise another team's p99.
const BOUND: f64 = 1.2;
/// Deadline of each request.
const DEADLINE: Duration = Duration::from_secs(10);
/// Limit of in-flight requests per engine in the baseline.
const SLOTS: u32 = 32;
/// Length of the warmup, in which models load and concurrency bounds grow: longer than an
/// upstream's own warmup.
const WARMUP_SPAN: Duration = Duration::from_secs(18);

/// Samples of all seeds, of the system or of the baseline.
#[derive(Default)]
struct Runs {
    /// From runs in which the noisy team sends nothing.
    quiet: Vec<Sample>,
    /// From runs in which the noisy team exceeds its limit.
    noisy: Vec<Sample>,
}

/// Runs the experiment.
pub async fn run(size: &Size, options: &Options) -> Result<Finding> {
    let rates: Vec<u64> = (0..TEAMS).map(token_rate).collect();
    let cell = Cell::start(deployment::cell_plan(size, &rates, DEADLINE)).await?;
    let keys = deployment::issue_keys(&cell).await?;
    let destination = Destination::Routers(deployment::router_addresses(&cell), keys);
    let target = Arc::new(Target::new(destination, TOKENS, DEADLINE)?);
    drive("warm", profile(0, WARMUP_SPAN, false).arrivals(), Arc::clone(&target)).await?;
    deployment::wait_until_loaded(&cell, MODELS).await?;
    let (mut system_runs, mut baseline_runs) = (Runs::default(), Runs::default());
    for seed in &options.seeds {
        for noisy in [false, true] {
            let label = format!("seed {seed}, {}", if noisy { "five times" } else { "alone" });
            let arrivals = profile(*seed, options.span, noisy).arrivals();
            let samples = drive(&label, arrivals.clone(), Arc::clone(&target)).await?;
            add_samples(&mut system_runs, samples, noisy);
            let baseline = Target::new(
                Destination::Baseline(new_baseline(&cell, &rates, *seed)),
                TOKENS,
                DEADLINE,
            )?;
            let label = format!("{label}, baseline");
            let samples = drive(&label, arrivals, Arc::new(baseline)).await?;
            add_samples(&mut baseline_runs, samples, noisy);
        }
    }
    cell.stop().await;
    Ok(finding(&system_runs, &baseline_runs))
}

fn add_samples(runs: &mut Runs, samples: Vec<Sample>, noisy: bool) {
    if noisy {
        runs.noisy.extend(samples);
    } else {
        runs.quiet.extend(samples);
    }
}

/// Limit of a team in tokens per second.
fn token_rate(team: usize) -> u64 {
    (RATE * TEAM_SHARES[team] * request_cost(TOKENS) as f64 / UTILIZATION) as u64
}

fn profile(seed: u64, span: Duration, noisy: bool) -> Profile {
    let stream = |team: usize| {
        let base_rate = RATE * TEAM_SHARES[team];
        let rate = match (team == NOISY_TEAM, noisy) {
            (false, _) => base_rate,
            (true, false) => 0.0,
            (true, true) => base_rate / UTILIZATION * NOISE_FACTOR,
        };
        Stream { team, rate, begin: Duration::ZERO, end: span }
    };
    Profile {
        span,
        streams: (0..TEAMS).map(stream).collect(),
        models: MODELS,
        routers: deployment::ROUTERS,
        seed,
        ..Profile::default()
    }
}

fn new_baseline(cell: &Cell, rates: &[u64], seed: u64) -> Baseline {
    Baseline::new(baseline::Settings {
        routers: deployment::ROUTERS,
        engines: cell.engines.iter().map(|engine| engine.address()).collect(),
        replicas: deployment::replicas(cell, MODELS),
        slots: SLOTS,
        limits: rates.iter().map(|rate| Limits { rate: *rate, burst: rate * 2 }).collect(),
        request_cost: request_cost(TOKENS),
        seed,
    })
}

fn summarize_team(samples: &[Sample], team: usize) -> Summary {
    Summary::of(samples.iter().filter(|sample| sample.arrival.team == team))
}

/// The largest ratio of a team's p99 with the noisy team to its p99 without it; infinite if a team
/// isn't served at all.
fn worst_p99_ratio(runs: &Runs) -> f64 {
    let ratio = |team: usize| {
        let (quiet, noisy) = (summarize_team(&runs.quiet, team), summarize_team(&runs.noisy, team));
        if noisy.served.count() == 0 {
            return f64::INFINITY;
        }
        noisy.served.quantile_ms(0.99) / quiet.served.quantile_ms(0.99)
    };
    (0..TEAMS).filter(|team| *team != NOISY_TEAM).map(ratio).fold(0.0, f64::max)
}

/// The largest percentage of another team's requests that are refused or fail with the noisy team.
fn worst_unserved_percent(runs: &Runs) -> f64 {
    let percent = |team: usize| {
        let noisy = summarize_team(&runs.noisy, team);
        100.0 * (1.0 - noisy.served.count() as f64 / noisy.count().max(1) as f64)
    };
    (0..TEAMS).filter(|team| *team != NOISY_TEAM).map(percent).fold(0.0, f64::max)
}

fn finding(system: &Runs, baseline: &Runs) -> Finding {
    let against = "power of two choices with caps and static shares".to_owned();
    let unserved = Measure {
        measure: "most of another team's requests not served beside the noisy team".to_owned(),
        unit: "%".to_owned(),
        ours: worst_unserved_percent(system),
        baseline: Some(worst_unserved_percent(baseline)),
        against: against.clone(),
        ..Measure::default()
    };
    let measure = Measure {
        measure: "p99 of the worst-served team while another sends 5 times its rate, against its \
                  p99 without it"
            .to_owned(),
        unit: "times".to_owned(),
        ours: worst_p99_ratio(system),
        baseline: Some(worst_p99_ratio(baseline)),
        against,
        bound: Some(BOUND),
        parts: vec![unserved.judged()],
        ..Measure::default()
    };
    let mut notes = Vec::new();
    let mut series = Vec::new();
    for (side, runs) in [("ours", system), ("baseline", baseline)] {
        for (phase, samples) in [("alone", &runs.quiet), ("five times", &runs.noisy)] {
            for team in 0..TEAMS {
                let line = summarize_team(samples, team).line();
                notes.push(format!("{side}, {phase}, team t{}: {line}", team + 1));
            }
            let others = samples.iter().filter(|sample| sample.arrival.team != NOISY_TEAM);
            let points = Summary::of(others).served.curve();
            series.push(Series { name: format!("{side}, {phase}"), points });
        }
    }
    let chart = Chart {
        title: "Latency of the other teams".to_owned(),
        x: "milliseconds from the scheduled time".to_owned(),
        y: "share of requests".to_owned(),
        series,
    };
    Finding { measure: measure.judged(), charts: vec![chart], notes }
}
