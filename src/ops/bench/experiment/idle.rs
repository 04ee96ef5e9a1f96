//! Idle accelerator hours of the keep-alive rules, over two days of calls in virtual time.
//!
//! Each model is followed by itself: a call finds it loaded, or waits for a load from its best
//! checkpoint. Evictions for want of memory are left out, which favours rules that keep longer.

use std::time::Duration;

use anyhow::Result;
use corianderyoke_coord::placement::keep_alive::GapHistogram;
use corianderyoke_coord::placement::keep_alive::KeepAliveRule;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::deployment;
use super::deployment::Size;
use super::deployment::SPEED;
use super::Finding;
use super::Options;
use crate::ops::bench::measure::Latencies;
use crate::ops::bench::measure::Measure;
use crate::ops::bench::report::Chart;
use crate::ops::bench::report::Series;

/// Length of the trace.
const SPAN: f64 = 48.0 * 3600.0;
/// Seconds of an hour.
const HOUR: f64 = 3600.0;
/// Seconds of a day.
const DAY: f64 = 24.0 * HOUR;
/// Calls an hour of the most popular model while its users work.
const BUSIEST: f64 = 120.0;
/// Zipf exponent of the models' popularity.
const SKEW: f64 = 1.2;
/// Calls that come together.
const BURST: f64 = 4.0;
/// Seconds between calls of a burst.
const BURST_GAP: f64 = 20.0;
/// Part of an accelerator that a loaded model takes.
const SHARE: f64 = 0.2;
/// Windows of the fixed rule, in minutes.
const WINDOWS: [u64; 9] = [2, 5, 10, 20, 30, 45, 60, 90, 120];
/// The fixed window that the measure compares with, in minutes.
const USUAL: u64 = 10;
/// What a second of cold start may be worth, in idle accelerator seconds.
const WORTHS: [f64; 10] = [1.0, 2.0, 5.0, 10.0, 20.0, 50.0, 100.0, 200.0, 500.0, 1000.0];

/// What a rule costs.
#[derive(Clone, Copy, Debug, Default)]
struct Cost {
    /// Idle accelerator hours.
    idle: f64,
    /// p99 wait of a call in seconds.
    wait: f64,
    /// Mean wait of a call in seconds.
    mean: f64,
}

/// Costs of one seed's trace under all rules.
struct Costs {
    own: Vec<(f64, Cost)>,
    fixed: Vec<(u64, Cost)>,
    always: Cost,
}

/// Runs the trace of each seed under each rule.
pub fn run(size: &Size, options: &Options) -> Result<Finding> {
    let runs: Vec<Costs> = options.seeds.iter().map(|seed| costs(size, *seed)).collect();
    let mut notes = Vec::new();
    for (seed, costs) in options.seeds.iter().zip(&runs) {
        for (worth, cost) in &costs.own {
            notes.push(format!("seed {seed}: by gaps, worth {worth}: {}", cost.line()));
        }
        for (minutes, cost) in &costs.fixed {
            let matched = match costs.matched(cost) {
                Some(own) => format!("{:.1} h by gaps", own.idle),
                None => "no worth waits as little".to_owned(),
            };
            notes.push(format!("seed {seed}: fixed {minutes} min: {}; {matched}", cost.line()));
        }
        notes.push(format!("seed {seed}: always on: {}", costs.always.line()));
    }
    Ok(finding(&runs, notes))
}

fn costs(size: &Size, seed: u64) -> Costs {
    let trace: Vec<Vec<f64>> = (0..size.models).map(|model| calls(model, seed)).collect();
    let (needed, fallback) = match KeepAliveRule::default() {
        KeepAliveRule::Histogram { min_gaps, fallback, .. } => (min_gaps, fallback),
        KeepAliveRule::Fixed(_) | KeepAliveRule::Always => (0, Duration::ZERO),
    };
    let by_gaps = |worth| {
        let rule = KeepAliveRule::Histogram { cold_weight: worth, min_gaps: needed, fallback };
        (worth, cost(size, &trace, rule))
    };
    let fixed = |minutes| {
        let window = Duration::from_secs(minutes * 60);
        (minutes, cost(size, &trace, KeepAliveRule::Fixed(window)))
    };
    Costs {
        own: WORTHS.into_iter().map(by_gaps).collect(),
        fixed: WINDOWS.into_iter().map(fixed).collect(),
        always: cost(size, &trace, KeepAliveRule::Always),
    }
}

impl Cost {
    fn line(&self) -> String {
        format!("{:.1} idle h, wait p99 {:.2} s, mean {:.2} s", self.idle, self.wait, self.mean)
    }
}

impl Costs {
    /// The cheapest worth under which calls wait no longer than under `fixed`, by p99 and by mean.
    fn matched(&self, fixed: &Cost) -> Option<Cost> {
        let fits = |own: &&(f64, Cost)| own.1.wait <= fixed.wait && own.1.mean <= fixed.mean;
        let least = self.own.iter().filter(fits).min_by(|a, b| a.1.idle.total_cmp(&b.1.idle));
        least.map(|(_, cost)| *cost)
    }

    fn usual(&self) -> Cost {
        let usual = self.fixed.iter().find(|(minutes, _)| *minutes == USUAL);
        usual.map_or(Cost::default(), |(_, cost)| *cost)
    }
}

/// Times of a model's calls in seconds: bursts, by day mostly.
fn calls(model: usize, seed: u64) -> Vec<f64> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(model as u64 + 1);
    let rate = BUSIEST / (model as f64 + 1.0).powf(SKEW) / HOUR / BURST;
    let mut calls = Vec::new();
    let mut at = 0.0;
    while at < SPAN {
        at += -(1.0 - rng.random::<f64>()).ln() / rate;
        let hour = at % DAY / HOUR;
        // At night one burst in ten comes.
        let night = !(6.0..18.0).contains(&hour);
        if night && rng.random::<f64>() > 0.1 {
            continue;
        }
        let mut call = at;
        while call < SPAN {
            calls.push(call);
            if rng.random::<f64>() < 1.0 / BURST {
                break;
            }
            call += -(1.0 - rng.random::<f64>()).ln() * BURST_GAP;
        }
    }
    calls.sort_by(f64::total_cmp);
    calls
}

fn cost(size: &Size, trace: &[Vec<f64>], rule: KeepAliveRule) -> Cost {
    let mut waits = Latencies::default();
    let mut idle = 0.0;
    for (model, calls) in trace.iter().enumerate() {
        let tier = deployment::best_tier(model, size.engines);
        let cold = deployment::load_time(tier).mul_f64(SPEED);
        idle += follow(calls, cold, rule, &mut waits);
    }
    Cost {
        idle: idle * SHARE / HOUR,
        wait: waits.quantile_ms(0.99) / 1000.0,
        mean: waits.mean_ms() / 1000.0,
    }
}

/// Follows one model; returns its loaded and unused seconds.
fn follow(calls: &[f64], cold: Duration, rule: KeepAliveRule, waits: &mut Latencies) -> f64 {
    let mut gaps = GapHistogram::default();
    let mut idle = 0.0;
    let mut last: Option<f64> = None;
    for call in calls {
        let Some(before) = last else {
            waits.record(cold);
            last = Some(call + cold.as_secs_f64());
            continue;
        };
        let gap = (call - before).max(0.0);
        let window = rule.window(&gaps, cold, SHARE).map_or(f64::INFINITY, |w| w.as_secs_f64());
        idle += gap.min(window);
        gaps.record(Duration::from_secs_f64(gap));
        if gap > window {
            waits.record(cold);
            last = Some(call + cold.as_secs_f64());
        } else {
            // A call during the load waits for the rest of it.
            let wait = (before - call).max(0.0);
            waits.record(Duration::from_secs_f64(wait));
            last = Some(call.max(before));
        }
    }
    let end = last.map_or(0.0, |last| (SPAN - last).max(0.0));
    let window = rule.window(&gaps, cold, SHARE).map_or(f64::INFINITY, |w| w.as_secs_f64());
    idle + end.min(window)
}

fn finding(runs: &[Costs], notes: Vec<String>) -> Finding {
    let worst = |of: fn(&Costs) -> f64| runs.iter().map(of).fold(0.0, f64::max);
    let matched = |costs: &Costs| costs.matched(&costs.usual()).map_or(f64::INFINITY, |c| c.idle);
    let against = "fixed keep-alive of 10 minutes";
    let part = |measure: &str, unit: &str, ours: f64, baseline: f64, against: &str| {
        let (measure, unit) = (measure.to_owned(), unit.to_owned());
        let (against, baseline) = (against.to_owned(), Some(baseline));
        Measure { measure, unit, ours, baseline, against, ..Measure::default() }.judged()
    };
    let ratio = |costs: &Costs| matched(costs) / costs.usual().idle;
    let idle = runs.iter().map(matched).fold(0.0, f64::max);
    let measure = Measure {
        measure: "idle accelerator hours, where calls wait no longer by p99 and by mean".to_owned(),
        unit: "times".to_owned(),
        ours: runs.iter().map(ratio).fold(0.0, f64::max),
        baseline: Some(1.0),
        against: against.to_owned(),
        bound: Some(1.0),
        parts: vec![
            part("idle hours in two days", "h", idle, worst(|c| c.usual().idle), against),
            part("idle hours in two days", "h", idle, worst(|c| c.always.idle), "always on"),
        ],
        ..Measure::default()
    };
    let points = |costs: Vec<Cost>| {
        let mut points: Vec<_> = costs.iter().map(|cost| (cost.idle, cost.mean)).collect();
        points.sort_by(|a, b| a.0.total_cmp(&b.0));
        points
    };
    let series =
        |name: &str, costs: Vec<Cost>| Series { name: name.to_owned(), points: points(costs) };
    let first = runs.first();
    let own = first.map(|run| run.own.iter().map(|(_, cost)| *cost).collect());
    let fixed = first.map(|run| run.fixed.iter().map(|(_, cost)| *cost).collect());
    let chart = Chart {
        title: "Idle hours and mean wait, first seed".to_owned(),
        x: "idle accelerator hours in two days".to_owned(),
        y: "mean wait in seconds".to_owned(),
        series: vec![
            series("fixed keep-alive, 2 to 120 minutes", fixed.unwrap_or_default()),
            series("by each model's gaps, worth 1 to 1000", own.unwrap_or_default()),
        ],
    };
    Finding { measure: measure.judged(), charts: vec![chart], notes }
}
