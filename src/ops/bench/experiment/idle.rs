//! Idle accelerator hours of the keep-alive rules, over two days of calls in virtual time.
//!
//! Each model is followed by itself: a call finds it loaded, or waits for a load from its best
//! checkpoint. Evictions for want of memory are left out, which favours rules that keep longer.

use std::time::Duration;

use anyhow::Result;
use corianderyoke_coord::placement::gaps::Gaps;
use corianderyoke_coord::placement::gaps::KeepRule;
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
const WINDOWS: [u64; 12] = [1, 2, 3, 5, 8, 12, 20, 30, 45, 60, 90, 120];

/// What a rule costs.
#[derive(Clone, Copy, Debug, Default)]
struct Cost {
    /// Idle accelerator hours.
    idle: f64,
    /// p99 wait of a call in seconds.
    wait: f64,
}

/// Runs the trace of each seed under each rule.
pub fn run(size: &Size, options: &Options) -> Result<Finding> {
    let mut notes = Vec::new();
    let mut curve = Vec::new();
    let (mut ours, mut fixed, mut always, mut wait) = (0.0_f64, 0.0_f64, 0.0, 0.0_f64);
    let mut ratio = 0.0_f64;
    for seed in &options.seeds {
        let trace: Vec<Vec<f64>> = (0..size.models).map(|model| calls(model, *seed)).collect();
        let own = cost(size, &trace, KeepRule::default());
        let costs: Vec<(u64, Cost)> = WINDOWS
            .iter()
            .map(|minutes| (*minutes, cost(size, &trace, window(*minutes))))
            .collect();
        let all = cost(size, &trace, KeepRule::Always);
        let same = same_wait(&costs, own, all);
        notes.push(format!(
            "seed {seed}: histogram {:.1} idle hours, p99 wait {:.2} s; fixed rule with at most \
             that wait {:.1} idle hours; always on {:.1}",
            own.idle, own.wait, same, all.idle
        ));
        for (minutes, cost) in &costs {
            let (idle, wait) = (cost.idle, cost.wait);
            notes
                .push(format!("  fixed {minutes} min: {idle:.1} idle hours, p99 wait {wait:.2} s"));
        }
        if curve.is_empty() {
            curve = costs.iter().map(|(_, cost)| (cost.idle, cost.wait)).collect();
            curve.sort_by(|a, b| a.0.total_cmp(&b.0));
        }
        ratio = ratio.max(own.idle / same);
        (ours, fixed) = (ours.max(own.idle), fixed.max(same));
        (always, wait) = (all.idle.max(always), wait.max(own.wait));
    }
    Ok(finding([ours, fixed, always, wait, ratio], curve, notes))
}

fn window(minutes: u64) -> KeepRule {
    KeepRule::Fixed(Duration::from_secs(minutes * 60))
}

/// Idle hours of the shortest fixed window whose calls wait no longer than `own`'s; those of always
/// on where no window is long enough.
fn same_wait(costs: &[(u64, Cost)], own: Cost, all: Cost) -> f64 {
    let long_enough = costs.iter().find(|(_, cost)| cost.wait <= own.wait);
    long_enough.map_or(all.idle, |(_, cost)| cost.idle)
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

fn cost(size: &Size, trace: &[Vec<f64>], rule: KeepRule) -> Cost {
    let mut waits = Latencies::default();
    let mut idle = 0.0;
    for (model, calls) in trace.iter().enumerate() {
        let tier = deployment::best_tier(model, size.engines);
        let cold = deployment::load_time(tier).mul_f64(SPEED);
        idle += follow(calls, cold, rule, &mut waits);
    }
    Cost { idle: idle * SHARE / HOUR, wait: waits.quantile_ms(0.99) / 1000.0 }
}

/// Follows one model; returns its loaded and unused seconds.
fn follow(calls: &[f64], cold: Duration, rule: KeepRule, waits: &mut Latencies) -> f64 {
    let mut gaps = Gaps::default();
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

fn finding(figures: [f64; 5], curve: Vec<(f64, f64)>, notes: Vec<String>) -> Finding {
    let [ours, fixed, always, wait, ratio] = figures;
    let part = |measure: &str, unit: &str, ours: f64, baseline: Option<f64>, against: &str| {
        let (measure, unit) = (measure.to_owned(), unit.to_owned());
        let against = against.to_owned();
        Measure { measure, unit, ours, baseline, against, ..Measure::default() }.judged()
    };
    let measure = Measure {
        measure: "idle accelerator hours, against a fixed keep-alive with no longer p99 wait"
            .to_owned(),
        unit: "times".to_owned(),
        ours: ratio,
        baseline: Some(1.0),
        against: "fixed keep-alive".to_owned(),
        bound: Some(1.0),
        parts: vec![
            part("idle hours in two days", "h", ours, Some(fixed), "fixed keep-alive"),
            part("idle hours in two days", "h", ours, Some(always), "always on"),
            part("p99 wait of a call", "s", wait, None, ""),
        ],
        ..Measure::default()
    };
    let chart = Chart {
        title: "Idle hours and p99 wait, first seed".to_owned(),
        x: "idle accelerator hours in two days".to_owned(),
        y: "p99 wait in seconds".to_owned(),
        series: vec![
            Series { name: "fixed keep-alive, 1 to 120 minutes".to_owned(), points: curve },
            Series {
                name: "by each model's gaps".to_owned(),
                points: vec![(ours, 0.0), (ours, wait)],
            },
        ],
    };
    Finding { measure: measure.judged(), charts: vec![chart], notes }
}
