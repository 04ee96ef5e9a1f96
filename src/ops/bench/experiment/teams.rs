//! How the worst-served team fares while another sends five times its rate.
//!
//! Three runs a seed on one cell: the other teams without the noisy one, the same with it, and the
//! same two against the baseline's routers on the same engines.

use std::sync::Arc;
use std::time::Duration;

use anyhow::Result;
use corianderyoke_coord::pools::Limits;

use super::deployment;
use super::deployment::Size;
use super::deployment::TEAMS;
use super::deployment::TEAM_PARTS;
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

/// Requests a second of all teams at their usual rates.
const RATE: f64 = 150.0;
/// Output tokens of a request.
const TOKENS: u32 = 16;
/// Part of its limit that a team uses as a rule.
const USED: f64 = 0.8;
/// The team that sends too much.
const NOISY: usize = 0;
/// Times its limit that it then sends.
const EXCESS: f64 = 5.0;
/// Models that are asked for; the others stay idle.
const MODELS: usize = 8;
/// Most that the excess may multiply another team's p99 by.
const BOUND: f64 = 1.2;
/// Deadline of each request.
const DEADLINE: Duration = Duration::from_secs(10);
/// Slots of an engine.
const SLOTS: u32 = 32;
/// Length of the phase in which models load and slots grow: longer than an upstream warms up.
const WARM_SPAN: Duration = Duration::from_secs(18);

/// Samples of one side over all seeds.
#[derive(Default)]
struct Runs {
    alone: Vec<Sample>,
    beside: Vec<Sample>,
}

/// Runs the experiment.
pub async fn run(size: &Size, options: &Options) -> Result<Finding> {
    let rates: Vec<u64> = (0..TEAMS).map(limit).collect();
    let cell = Cell::start(deployment::plan(size, &rates, DEADLINE)).await?;
    let keys = deployment::keys(&cell).await?;
    let side = Destination::Routers(deployment::callers(&cell), keys);
    let ours = Arc::new(Target::new(side, TOKENS, DEADLINE)?);
    drive("warm", profile(0, WARM_SPAN, false).arrivals(), Arc::clone(&ours)).await?;
    deployment::loaded(&cell, MODELS).await?;
    let (mut system, mut baseline) = (Runs::default(), Runs::default());
    for seed in &options.seeds {
        for noisy in [false, true] {
            let label = format!("seed {seed}, {}", if noisy { "five times" } else { "alone" });
            let arrivals = profile(*seed, options.span, noisy).arrivals();
            let samples = drive(&label, arrivals.clone(), Arc::clone(&ours)).await?;
            keep(&mut system, samples, noisy);
            let choice =
                Target::new(Destination::Baseline(caps(&cell, &rates, *seed)), TOKENS, DEADLINE)?;
            let label = format!("{label}, baseline");
            let samples = drive(&label, arrivals, Arc::new(choice)).await?;
            keep(&mut baseline, samples, noisy);
        }
    }
    cell.stop().await;
    Ok(finding(&system, &baseline))
}

fn keep(runs: &mut Runs, samples: Vec<Sample>, noisy: bool) {
    if noisy {
        runs.beside.extend(samples);
    } else {
        runs.alone.extend(samples);
    }
}

/// Tokens a second that a team may spend.
fn limit(team: usize) -> u64 {
    (RATE * TEAM_PARTS[team] * request_cost(TOKENS) as f64 / USED) as u64
}

fn profile(seed: u64, span: Duration, noisy: bool) -> Profile {
    let stream = |team: usize| {
        let usual = RATE * TEAM_PARTS[team];
        let rate = match (team == NOISY, noisy) {
            (false, _) => usual,
            (true, false) => 0.0,
            (true, true) => usual / USED * EXCESS,
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

fn caps(cell: &Cell, rates: &[u64], seed: u64) -> Baseline {
    Baseline::new(baseline::Settings {
        routers: deployment::ROUTERS,
        engines: cell.engines.iter().map(|engine| engine.address()).collect(),
        replicas: deployment::holders(cell, MODELS),
        slots: SLOTS,
        limits: rates.iter().map(|rate| Limits { rate: *rate, burst: rate * 2 }).collect(),
        request_cost: request_cost(TOKENS),
        seed,
    })
}

fn of_team(samples: &[Sample], team: usize) -> Summary {
    Summary::of(samples.iter().filter(|sample| sample.arrival.team == team))
}

/// The largest ratio of p99 beside the noisy team to p99 without it; a team that isn't served at
/// all counts as infinitely slow.
fn worst(runs: &Runs) -> f64 {
    let ratio = |team: usize| {
        let (alone, beside) = (of_team(&runs.alone, team), of_team(&runs.beside, team));
        if beside.served.count() == 0 {
            return f64::INFINITY;
        }
        beside.served.quantile_ms(0.99) / alone.served.quantile_ms(0.99)
    };
    (0..TEAMS).filter(|team| *team != NOISY).map(ratio).fold(0.0, f64::max)
}

/// The largest share of another team's requests that were refused or failed beside the noisy one.
fn unserved(runs: &Runs) -> f64 {
    let share = |team: usize| {
        let beside = of_team(&runs.beside, team);
        100.0 * (1.0 - beside.served.count() as f64 / beside.count().max(1) as f64)
    };
    (0..TEAMS).filter(|team| *team != NOISY).map(share).fold(0.0, f64::max)
}

fn finding(system: &Runs, baseline: &Runs) -> Finding {
    let against = "power of two choices with caps and static shares".to_owned();
    let refused = Measure {
        measure: "most of another team's requests not served beside the noisy team".to_owned(),
        unit: "%".to_owned(),
        ours: unserved(system),
        baseline: Some(unserved(baseline)),
        against: against.clone(),
        ..Measure::default()
    };
    let measure = Measure {
        measure: "p99 of the worst-served team while another sends 5 times its rate, against its \
                  p99 without it"
            .to_owned(),
        unit: "times".to_owned(),
        ours: worst(system),
        baseline: Some(worst(baseline)),
        against,
        bound: Some(BOUND),
        parts: vec![refused.judged()],
        ..Measure::default()
    };
    let mut notes = Vec::new();
    let mut series = Vec::new();
    for (side, runs) in [("ours", system), ("baseline", baseline)] {
        for (phase, samples) in [("alone", &runs.alone), ("five times", &runs.beside)] {
            for team in 0..TEAMS {
                let line = of_team(samples, team).line();
                notes.push(format!("{side}, {phase}, team t{}: {line}", team + 1));
            }
            let others = samples.iter().filter(|sample| sample.arrival.team != NOISY);
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
