//! Tail cold-start time, against an all-knowing single queue on the same trace.
//!
//! Every model is woken once, from nothing, by a burst of first requests at all routers. The
//! single queue knows each model's best checkpoint and the weight store's limits, and starts each
//! load the moment that the first request is due.

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
use super::deployment::SPEED;
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

/// Output tokens of a request.
const TOKENS: u32 = 8;
/// Time of one token on an engine that runs a burst's first requests.
const TOKEN: Duration = Duration::from_millis(2);
/// Tokens a second of each team: no limit here.
const TEAM_RATE: u64 = 1_000_000;
/// Most that p99 may be, as a multiple of the single queue's.
const BOUND: f64 = 1.15;
/// Deadline of each request.
const DEADLINE: Duration = Duration::from_secs(20);
/// Part of the run in which bursts begin.
const BEGIN_WITHIN: f64 = 0.8;
/// Spread of a burst over the routers.
const BURST: Duration = Duration::from_millis(40);

/// Runs the experiment on one new cell a seed.
pub async fn run(size: &Size, options: &Options) -> Result<Finding> {
    let (mut ours, mut ideal) = (Latencies::default(), Latencies::default());
    let mut notes = Vec::new();
    let mut unserved = 0;
    for seed in &options.seeds {
        let cell = Cell::start(deployment::plan(size, &[TEAM_RATE; TEAMS], DEADLINE)).await?;
        let keys = deployment::keys(&cell).await?;
        let side = Destination::Routers(deployment::callers(&cell), keys);
        let target = Arc::new(Target::new(side, TOKENS, DEADLINE)?);
        let arrivals = trace(size, *seed, options.span);
        let queue = single_queue(size, &arrivals);
        let label = format!("seed {seed}");
        let samples = drive(&label, arrivals, target).await?;
        cell.stop().await;
        let summary = Summary::of(&samples);
        unserved += summary.refusals() + summary.failures();
        take(&mut ours, &mut ideal, &samples, &queue);
        notes.push(format!("{label}: {}", summary.line()));
        notes.push(format!("{label}: first token p99 {:.0} ms", summary.first.quantile_ms(0.99)));
    }
    Ok(finding(&ours, &ideal, unserved, notes))
}

/// Bursts in a random order of the models, evenly over the first part of the run.
fn trace(size: &Size, seed: u64, span: Duration) -> Vec<Arrival> {
    let mut models: Vec<usize> = (0..size.models).collect();
    models.shuffle(&mut ChaCha8Rng::seed_from_u64(seed));
    let gap = span.mul_f64(BEGIN_WITHIN) / size.models as u32;
    let mut arrivals = Vec::new();
    for (number, model) in models.into_iter().enumerate() {
        for router in 0..ROUTERS {
            let at = gap * number as u32 + BURST * router as u32 / ROUTERS as u32;
            arrivals.push(Arrival { at, team: router % TEAMS, model, router });
        }
    }
    arrivals.sort_by_key(|arrival| arrival.at);
    arrivals
}

/// When each model is ready under the single queue, from the start of the run.
fn single_queue(size: &Size, arrivals: &[Arrival]) -> IndexMap<usize, Duration> {
    let mut ready = IndexMap::new();
    let pace = Duration::from_secs_f64(1.0 / (size.loads_rate * SPEED));
    let mut next = Duration::ZERO;
    let mut busy = vec![Duration::ZERO; size.loads_limit];
    for arrival in arrivals {
        ready.entry(arrival.model).or_insert_with(|| {
            let tier = deployment::best_tier(arrival.model, size.engines);
            if tier != Tier::Remote {
                return arrival.at + deployment::load_time(tier);
            }
            // The first free one of the store's places, and not before the rate allows it.
            let place = busy.iter_mut().min().expect("the store allows a load at once");
            let begin = arrival.at.max(next).max(*place);
            next = begin + pace;
            *place = begin + deployment::load_time(tier);
            *place
        });
    }
    ready
}

fn take(
    ours: &mut Latencies,
    ideal: &mut Latencies,
    samples: &[Sample],
    queue: &IndexMap<usize, Duration>,
) {
    for sample in samples {
        ours.record(sample.first_byte.unwrap_or(sample.latency));
        let ready = queue[&sample.arrival.model];
        ideal.record(ready.saturating_sub(sample.arrival.at) + TOKEN);
    }
}

fn finding(ours: &Latencies, ideal: &Latencies, unserved: u64, notes: Vec<String>) -> Finding {
    let (one, two) = (ours.quantile_ms(0.99), ideal.quantile_ms(0.99));
    let part = |measure: &str, unit: &str, ours: f64, baseline: Option<f64>| {
        let (measure, unit) = (measure.to_owned(), unit.to_owned());
        let against = "all-knowing single queue".to_owned();
        Measure { measure, unit, ours, baseline, against, ..Measure::default() }.judged()
    };
    let mut lost = part("requests not served", "requests", unserved as f64, None);
    lost.bound = Some(0.0);
    let measure = Measure {
        measure: "p99 time to the first token of a cold start, against the single queue's"
            .to_owned(),
        unit: "times".to_owned(),
        ours: one / two,
        baseline: Some(1.0),
        against: "all-knowing single queue".to_owned(),
        bound: Some(BOUND),
        parts: vec![
            part("p99 time to the first token", "ms", one, Some(two)),
            part(
                "p50 time to the first token",
                "ms",
                ours.quantile_ms(0.5),
                Some(ideal.quantile_ms(0.5)),
            ),
            lost.judged(),
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
