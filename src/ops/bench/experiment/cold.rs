//! Tail cold-start time, against an all-knowing single queue on the same trace.
//!
//! Each model is unloaded until it gets one burst of requests at all routers. The single queue
//! knows each model's best checkpoint and the weight store's limits, and starts each load when the
//! first request is due, or as soon as the limits allow it.

use std::sync::Arc;
use std::time::Duration;

use anyhow::Result;
use corianderyoke_standin::engine::settings::Tier;
use indexmap::IndexMap;
use rand::seq::SliceRandom;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::deployment;
use super::deployment::Size;
use super::deployment::ROUTERS;
use super::deployment::SPEEDUP;
use super::deployment::TEAMS;
use super::Finding;
use super::Options;
use crate::ops::bench::cell::Cell;
use crate::ops::bench::load::drive;
use crate::ops::bench::load::target::Destination;
use crate::ops::bench::load::Arrival;
use crate::ops::bench::load::Sample;
use crate::ops::bench::load::Target;
use crate::ops::bench::measure::Latencies;
use crate::ops::bench::measure::Measure;
use crate::ops::bench::measure::Summary;
use crate::ops::bench::report::Chart;
use crate::ops::bench::report::Series;

/// Output tokens of each request.
const TOKENS: u32 = 8;
/// Time per token on an engine that runs a burst's first requests.
const TOKEN_TIME: Duration = Duration::from_millis(2);
/// Limit of each team in tokens per second: more than the run uses.
const TEAM_RATE: u64 = 1_000_000;
/// Upper bound of the p99 as a multiple of the single queue's.
const BOUND: f64 = 1.15;
/// Deadline of each request.
const DEADLINE: Duration = Duration::from_secs(20);
/// Fraction of the run, from its start, in which the bursts begin.
const BURST_PHASE: f64 = 0.8;
/// Time over which the requests of a burst are spread.
const BURST_WINDOW: Duration = Duration::from_millis(40);

/// Runs the experiment on a new cell for each seed.
pub async fn run(size: &Size, options: &Options) -> Result<Finding> {
    let (mut ours, mut ideal) = (Latencies::default(), Latencies::default());
    let mut notes = Vec::new();
    let mut unserved = 0;
    for seed in &options.seeds {
        let cell = Cell::start(deployment::cell_plan(size, &[TEAM_RATE; TEAMS], DEADLINE)).await?;
        let keys = deployment::issue_keys(&cell).await?;
        let destination = Destination::Routers(deployment::router_addresses(&cell), keys);
        let target = Arc::new(Target::new(destination, TOKENS, DEADLINE)?);
        let arrivals = trace(size, *seed, options.span);
        let ideal_ready = single_queue(size, &arrivals);
        let label = format!("seed {seed}");
        let samples = drive(&label, arrivals, target).await?;
        cell.stop().await;
        let summary = Summary::of(&samples);
        unserved += summary.refusals() + summary.failures();
        record_latencies(&mut ours, &mut ideal, &samples, &ideal_ready);
        notes.push(format!("{label}: {}", summary.line()));
        notes.push(format!("{label}: first token p99 {:.0} ms", summary.first.quantile_ms(0.99)));
    }
    Ok(finding(&ours, &ideal, unserved, notes))
}

/// One burst per model in random order, at even intervals over the first part of the run.
fn trace(size: &Size, seed: u64, span: Duration) -> Vec<Arrival> {
    let mut models: Vec<usize> = (0..size.models).collect();
    models.shuffle(&mut ChaCha8Rng::seed_from_u64(seed));
    let gap = span.mul_f64(BURST_PHASE) / size.models as u32;
    let mut arrivals = Vec::new();
    for (number, model) in models.into_iter().enumerate() {
        for router in 0..ROUTERS {
            let at = gap * number as u32 + BURST_WINDOW * router as u32 / ROUTERS as u32;
            arrivals.push(Arrival { at, team: router % TEAMS, model, router });
        }
    }
    arrivals.sort_by_key(|arrival| arrival.at);
    arrivals
}

/// Time since the start of the run at which the single queue has each model loaded.
fn single_queue(size: &Size, arrivals: &[Arrival]) -> IndexMap<usize, Duration> {
    let mut ready = IndexMap::new();
    let load_interval = Duration::from_secs_f64(1.0 / (size.load_rate * SPEEDUP));
    let mut next_start = Duration::ZERO;
    let mut free_at = vec![Duration::ZERO; size.load_inflight];
    for arrival in arrivals {
        ready.entry(arrival.model).or_insert_with(|| {
            let tier = deployment::best_tier(arrival.model, size.engines);
            if tier != Tier::Remote {
                return arrival.at + deployment::load_time(tier);
            }
            // The store's slot that is free first, and not before the load rate allows it.
            let slot =
                free_at.iter_mut().min().expect("the store allows at least one load in flight");
            let begin = arrival.at.max(next_start).max(*slot);
            next_start = begin + load_interval;
            *slot = begin + deployment::load_time(tier);
            *slot
        });
    }
    ready
}

/// Records the times to the first token of the system and of the single queue.
fn record_latencies(
    ours: &mut Latencies,
    ideal: &mut Latencies,
    samples: &[Sample],
    ideal_ready: &IndexMap<usize, Duration>,
) {
    for sample in samples {
        ours.record(sample.first_byte.unwrap_or(sample.latency));
        let ready = ideal_ready[&sample.arrival.model];
        ideal.record(ready.saturating_sub(sample.arrival.at) + TOKEN_TIME);
    }
}

fn finding(ours: &Latencies, ideal: &Latencies, unserved: u64, notes: Vec<String>) -> Finding {
    let (our_p99, ideal_p99) = (ours.quantile_ms(0.99), ideal.quantile_ms(0.99));
    let part = |measure: &str, unit: &str, ours: f64, baseline: Option<f64>| {
        let (measure, unit) = (measure.to_owned(), unit.to_owned());
        let against = "all-knowing single queue".to_owned();
        Measure { measure, unit, ours, baseline, against, ..Measure::default() }.judged()
    };
    let mut unserved = part("requests not served", "requests", unserved as f64, None);
    unserved.bound = Some(0.0);
    let measure = Measure {
        measure: "p99 time to the first token of a cold start, against the single queue's"
            .to_owned(),
        unit: "times".to_owned(),
        ours: our_p99 / ideal_p99,
        baseline: Some(1.0),
        against: "all-knowing single queue".to_owned(),
        bound: Some(BOUND),
        parts: vec![
            part("p99 time to the first token", "ms", our_p99, Some(ideal_p99)),
            part(
                "p50 time to the first token",
                "ms",
                ours.quantile_ms(0.5),
                Some(ideal.quantile_ms(0.5)),
            ),
            unserved.judged(),
        ],
        ..Measure::default()
    };
    let series = |name: &str, latencies: &Latencies| Series {
        name: name.to_owned(),
        points: latencies.curve(),
    };
    let chart = Chart {
        title: "Time to the first token of a cold start".to_owned(),
        x: "milliseconds from the scheduled time".to_owned(),
        y: "share of requests".to_owned(),
        series: vec![series("ours", ours), series("single queue", ideal)],
    };
    Finding { measure: measure.judged(), charts: vec![chart], notes }
}
