//! Idle accelerator hours under each keep-alive rule, over two days of requests in virtual time.
//!
//! Each model is simulated by itself: a request finds it loaded, or waits for a load from its best
//! checkpoint. Evictions under memory pressure aren't simulated, which favours long windows.

use std::time::Duration;

use anyhow::Result;
use corianderyoke_coord::placement::keep_alive::GapHistogram;
use corianderyoke_coord::placement::keep_alive::KeepAliveRule;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::deployment;
use super::deployment::Size;
use super::deployment::SPEEDUP;
use super::Finding;
use super::Options;
use crate::ops::bench::measure::Latencies;
use crate::ops::bench::measure::Measure;
use crate::ops::bench::report::Chart;
use crate::ops::bench::report::Series;

/// Length of the trace in seconds.
const TRACE_SPAN: f64 = 48.0 * 3600.0;
/// Seconds of an hour.
const HOUR: f64 = 3600.0;
/// Seconds of a day.
const DAY: f64 = 24.0 * HOUR;
/// Requests per hour of the most popular model by day.
const PEAK_RATE: f64 = 120.0;
/// Zipf exponent of the models' popularity.
const SKEW: f64 = 1.2;
/// Mean number of requests in a burst.
const BURST_SIZE: f64 = 4.0;
/// Mean seconds between two requests of a burst.
const BURST_GAP: f64 = 20.0;
/// Fraction of an accelerator that a loaded model occupies.
const ACCELERATOR_SHARE: f64 = 0.2;
/// Windows of fixed keep-alive, in minutes.
const WINDOWS: [u64; 9] = [2, 5, 10, 20, 30, 45, 60, 90, 120];
/// Window of fixed keep-alive that is the baseline, in minutes.
const BASELINE_WINDOW: u64 = 10;
/// Cost of one second of cold start in idle accelerator seconds: weights for the histogram rule.
const COLD_WEIGHTS: [f64; 10] = [1.0, 2.0, 5.0, 10.0, 20.0, 50.0, 100.0, 200.0, 500.0, 1000.0];

/// Idle time and waits under one rule.
#[derive(Clone, Copy, Debug, Default)]
struct Cost {
    /// Idle accelerator hours.
    idle_hours: f64,
    /// p99 wait of a request in seconds.
    p99_wait: f64,
    /// Mean wait of a request in seconds.
    mean_wait: f64,
}

/// Costs of one seed's trace under all rules.
struct TraceCosts {
    /// Histogram rule, by cold weight.
    histogram: Vec<(f64, Cost)>,
    /// Fixed keep-alive, by window in minutes.
    fixed: Vec<(u64, Cost)>,
    always: Cost,
}

/// Simulates the trace of each seed under each rule.
pub fn run(size: &Size, options: &Options) -> Result<Finding> {
    let runs: Vec<TraceCosts> = options.seeds.iter().map(|seed| trace_costs(size, *seed)).collect();
    let mut notes = Vec::new();
    for (seed, costs) in options.seeds.iter().zip(&runs) {
        for (weight, cost) in &costs.histogram {
            notes.push(format!("seed {seed}: by gaps, worth {weight}: {}", cost.line()));
        }
        for (minutes, cost) in &costs.fixed {
            let matched = match costs.cheapest_match(cost) {
                Some(cost) => format!("{:.1} h by gaps", cost.idle_hours),
                None => "no worth waits as little".to_owned(),
            };
            notes.push(format!("seed {seed}: fixed {minutes} min: {}; {matched}", cost.line()));
        }
        notes.push(format!("seed {seed}: always on: {}", costs.always.line()));
    }
    Ok(finding(&runs, notes))
}

fn trace_costs(size: &Size, seed: u64) -> TraceCosts {
    let trace: Vec<Vec<f64>> = (0..size.models).map(|model| request_times(model, seed)).collect();
    let (required_gaps, fallback) = match KeepAliveRule::default() {
        KeepAliveRule::Histogram { min_gaps, fallback, .. } => (min_gaps, fallback),
        KeepAliveRule::Fixed(_) | KeepAliveRule::Always => (0, Duration::ZERO),
    };
    let histogram = |weight| {
        let rule =
            KeepAliveRule::Histogram { cold_weight: weight, min_gaps: required_gaps, fallback };
        (weight, simulate(size, &trace, rule))
    };
    let fixed = |minutes| {
        let window = Duration::from_secs(minutes * 60);
        (minutes, simulate(size, &trace, KeepAliveRule::Fixed(window)))
    };
    TraceCosts {
        histogram: COLD_WEIGHTS.into_iter().map(histogram).collect(),
        fixed: WINDOWS.into_iter().map(fixed).collect(),
        always: simulate(size, &trace, KeepAliveRule::Always),
    }
}

impl Cost {
    fn line(&self) -> String {
        format!(
            "{:.1} idle h, wait p99 {:.2} s, mean {:.2} s",
            self.idle_hours, self.p99_wait, self.mean_wait
        )
    }
}

impl TraceCosts {
    /// The histogram rule's cost with the fewest idle hours among those whose p99 and mean wait are
    /// no longer than those of `fixed`.
    fn cheapest_match(&self, fixed: &Cost) -> Option<Cost> {
        let fits = |candidate: &&(f64, Cost)| {
            candidate.1.p99_wait <= fixed.p99_wait && candidate.1.mean_wait <= fixed.mean_wait
        };
        let cheapest = self
            .histogram
            .iter()
            .filter(fits)
            .min_by(|a, b| a.1.idle_hours.total_cmp(&b.1.idle_hours));
        cheapest.map(|(_, cost)| *cost)
    }

    fn baseline(&self) -> Cost {
        let baseline = self.fixed.iter().find(|(minutes, _)| *minutes == BASELINE_WINDOW);
        baseline.map_or(Cost::default(), |(_, cost)| *cost)
    }
}

/// Times of a model's requests in seconds: bursts, most of them by day.
fn request_times(model: usize, seed: u64) -> Vec<f64> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(model as u64 + 1);
    let rate = PEAK_RATE / (model as f64 + 1.0).powf(SKEW) / HOUR / BURST_SIZE;
    let mut times = Vec::new();
    let mut at = 0.0;
    while at < TRACE_SPAN {
        at += -(1.0 - rng.random::<f64>()).ln() / rate;
        let hour = at % DAY / HOUR;
        // At night only one burst in ten comes.
        let night = !(6.0..18.0).contains(&hour);
        if night && rng.random::<f64>() > 0.1 {
            continue;
        }
        let mut request_at = at;
        while request_at < TRACE_SPAN {
            times.push(request_at);
            if rng.random::<f64>() < 1.0 / BURST_SIZE {
                break;
            }
            request_at += -(1.0 - rng.random::<f64>()).ln() * BURST_GAP;
        }
    }
    times.sort_by(f64::total_cmp);
    times
}

fn simulate(size: &Size, trace: &[Vec<f64>], rule: KeepAliveRule) -> Cost {
    let mut waits = Latencies::default();
    let mut idle_seconds = 0.0;
    for (model, requests) in trace.iter().enumerate() {
        let tier = deployment::best_tier(model, size.engines);
        let load_time = deployment::load_time(tier).mul_f64(SPEEDUP);
        idle_seconds += simulate_model(requests, load_time, rule, &mut waits);
    }
    Cost {
        idle_hours: idle_seconds * ACCELERATOR_SHARE / HOUR,
        p99_wait: waits.quantile_ms(0.99) / 1000.0,
        mean_wait: waits.mean_ms() / 1000.0,
    }
}

/// Simulates one model and records the waits; returns the seconds for which it is loaded but idle.
fn simulate_model(
    requests: &[f64],
    load_time: Duration,
    rule: KeepAliveRule,
    waits: &mut Latencies,
) -> f64 {
    let mut gaps = GapHistogram::default();
    let mut idle_seconds = 0.0;
    // Time of the last request, or of the end of the load that it waited for.
    let mut idle_since: Option<f64> = None;
    for request_at in requests {
        let Some(since) = idle_since else {
            waits.record(load_time);
            idle_since = Some(request_at + load_time.as_secs_f64());
            continue;
        };
        let gap = (request_at - since).max(0.0);
        let window = rule
            .window(&gaps, load_time, ACCELERATOR_SHARE)
            .map_or(f64::INFINITY, |window| window.as_secs_f64());
        idle_seconds += gap.min(window);
        gaps.record(Duration::from_secs_f64(gap));
        if gap > window {
            waits.record(load_time);
            idle_since = Some(request_at + load_time.as_secs_f64());
        } else {
            // A request during the load waits for the rest of it.
            let wait = (since - request_at).max(0.0);
            waits.record(Duration::from_secs_f64(wait));
            idle_since = Some(request_at.max(since));
        }
    }
    let final_gap = idle_since.map_or(0.0, |since| (TRACE_SPAN - since).max(0.0));
    let window = rule
        .window(&gaps, load_time, ACCELERATOR_SHARE)
        .map_or(f64::INFINITY, |window| window.as_secs_f64());
    idle_seconds + final_gap.min(window)
}

fn finding(runs: &[TraceCosts], notes: Vec<String>) -> Finding {
    let worst = |hours: fn(&TraceCosts) -> f64| runs.iter().map(hours).fold(0.0, f64::max);
    let matched = |costs: &TraceCosts| {
        costs.cheapest_match(&costs.baseline()).map_or(f64::INFINITY, |cost| cost.idle_hours)
    };
    let against = "fixed keep-alive of 10 minutes";
    let part = |measure: &str, unit: &str, ours: f64, baseline: f64, against: &str| {
        let (measure, unit) = (measure.to_owned(), unit.to_owned());
        let (against, baseline) = (against.to_owned(), Some(baseline));
        Measure { measure, unit, ours, baseline, against, ..Measure::default() }.judged()
    };
    let ratio = |costs: &TraceCosts| matched(costs) / costs.baseline().idle_hours;
    let idle_hours = runs.iter().map(matched).fold(0.0, f64::max);
    let measure = Measure {
        measure: "idle accelerator hours, where calls wait no longer by p99 and by mean".to_owned(),
        unit: "times".to_owned(),
        ours: runs.iter().map(ratio).fold(0.0, f64::max),
        baseline: Some(1.0),
        against: against.to_owned(),
        bound: Some(1.0),
        parts: vec![
            part(
                "idle hours in two days",
                "h",
                idle_hours,
                worst(|costs| costs.baseline().idle_hours),
                against,
            ),
            part(
                "idle hours in two days",
                "h",
                idle_hours,
                worst(|costs| costs.always.idle_hours),
                "always on",
            ),
        ],
        ..Measure::default()
    };
    let points = |costs: Vec<Cost>| {
        let mut points: Vec<_> =
            costs.iter().map(|cost| (cost.idle_hours, cost.mean_wait)).collect();
        points.sort_by(|a, b| a.0.total_cmp(&b.0));
        points
    };
    let series =
        |name: &str, costs: Vec<Cost>| Series { name: name.to_owned(), points: points(costs) };
    let first = runs.first();
    let histogram = first.map(|run| run.histogram.iter().map(|(_, cost)| *cost).collect());
    let fixed = first.map(|run| run.fixed.iter().map(|(_, cost)| *cost).collect());
    let chart = Chart {
        title: "Idle hours and mean wait, first seed".to_owned(),
        x: "idle accelerator hours in two days".to_owned(),
        y: "mean wait in seconds".to_owned(),
        series: vec![
            series("fixed keep-alive, 2 to 120 minutes", fixed.unwrap_or_default()),
            series("by each model's gaps, worth 1 to 1000", histogram.unwrap_or_default()),
        ],
    };
    Finding { measure: measure.judged(), charts: vec![chart], notes }
}
