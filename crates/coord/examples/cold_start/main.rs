//! Replays traces in virtual time to compare cold starts with an oracle that knows all arrivals,
//! idle accelerator hours with fixed keep-alive windows, and decision times by fleet size.
//!
//! `cargo run --release -p corianderyoke-coord --example cold_start [-- SEEDS]`

mod decision_cost;
mod engines;
mod fleet;
mod oracle;
mod replay;
mod trace;

use std::time::Duration;

use corianderyoke_coord::placement::keep_alive::KeepAliveRule;

use fleet::Fleet;
use trace::Trace;

/// Results of a replay.
#[derive(Clone, Debug, Default)]
pub struct Results {
    /// Wait of each request for a loaded replica, in microseconds.
    pub waits: Vec<u64>,
    /// Accelerator hours for which memory held unused models.
    pub idle_hours: f64,
}

impl Results {
    /// The 99th percentile of the waits that are cold starts, in seconds.
    fn cold_p99(&self) -> f64 {
        p99(self.waits.iter().copied().filter(|wait| *wait > 0).collect())
    }

    /// The 99th percentile of all waits, in seconds.
    fn p99(&self) -> f64 {
        p99(self.waits.clone())
    }

    /// Mean of all waits, in seconds.
    fn mean(&self) -> f64 {
        self.waits.iter().sum::<u64>() as f64 / self.waits.len().max(1) as f64 / 1e6
    }

    /// Number of requests that waited for a cold start.
    fn cold_starts(&self) -> usize {
        self.waits.iter().filter(|wait| **wait > 0).count()
    }
}

fn p99(mut waits: Vec<u64>) -> f64 {
    waits.sort_unstable();
    let at = (waits.len() * 99).div_ceil(100).saturating_sub(1);
    waits.get(at).copied().unwrap_or(0) as f64 / 1e6
}

/// Windows of the fixed keep-alive rule, in seconds.
const FIXED_WINDOWS: [u64; 6] = [15, 60, 300, 600, 1200, 2400];

/// Idle seconds that cost as much as one second of a caller's cold start, over the range open to
/// operators.
const COLD_WEIGHTS: [f64; 6] = [1.0, 5.0, 10.0, 20.0, 40.0, 100.0];

/// Ratio within which two waits count as equal.
const TOLERANCE: f64 = 1.01;

fn main() {
    let seeds = std::env::args().nth(1).and_then(|seeds| seeds.parse().ok()).unwrap_or(3u64);
    decision_cost::print();
    for fleet in [Fleet::kumlama(), Fleet::speglagler()] {
        let traces: Vec<Trace> = (1..=seeds).map(|seed| Trace::new(&fleet, seed)).collect();
        compare(&fleet, &traces);
    }
}

/// Prints the results of a fleet, each over all traces.
fn compare(fleet: &Fleet, traces: &[Trace]) {
    println!("{}, {} seeds", fleet.name, traces.len());
    let rule = KeepAliveRule::default();
    let planner = run_all(traces, |trace| replay::run(fleet, trace, rule));
    let oracle = run_all(traces, |trace| oracle::run(fleet, trace, rule));
    println!("  {} requests, {} cold starts", planner.waits.len(), planner.cold_starts());
    let ratio = planner.cold_p99() / oracle.cold_p99();
    let (cold, best) = (planner.cold_p99(), oracle.cold_p99());
    println!("  cold p99 {cold:.2} s, oracle {best:.2} s, ratio {ratio:.3}");
    let by_weight = |cold_weight: f64| {
        let rule = KeepAliveRule::Histogram {
            cold_weight,
            min_gaps: 5,
            fallback: Duration::from_secs(600),
        };
        let results = run_all(traces, |trace| replay::run(fleet, trace, rule));
        print_line(&format!("weight {cold_weight:4}"), &results);
        results
    };
    let curve: Vec<Results> = COLD_WEIGHTS.into_iter().map(by_weight).collect();
    print_line(
        "always",
        &run_all(traces, |trace| replay::run(fleet, trace, KeepAliveRule::Always)),
    );
    for window in FIXED_WINDOWS {
        let rule = KeepAliveRule::Fixed(Duration::from_secs(window));
        let fixed = run_all(traces, |trace| replay::run(fleet, trace, rule));
        print_line(&format!("fixed {window:4}s"), &fixed);
        let p99 = cheapest(&curve, |results| results.p99() <= fixed.p99() * TOLERANCE);
        let mean = cheapest(&curve, |results| results.mean() <= fixed.mean() * TOLERANCE);
        let format_hours =
            |hours: Option<f64>| hours.map_or("-".to_owned(), |hours| format!("{hours:.2}"));
        println!(
            "    histogram rule: idle {} h at an equal p99, {} h at an equal mean",
            format_hours(p99),
            format_hours(mean)
        );
    }
}

/// Replays each trace in a thread of its own and merges the results.
fn run_all(traces: &[Trace], run: impl Fn(&Trace) -> Results + Sync) -> Results {
    std::thread::scope(|scope| {
        let run = &run;
        let threads: Vec<_> = traces.iter().map(|trace| scope.spawn(move || run(trace))).collect();
        let mut all = Results::default();
        for thread in threads {
            let results = thread.join().expect("a replay panicked");
            all.waits.extend(results.waits);
            all.idle_hours += results.idle_hours;
        }
        all
    })
}

/// Fewest idle hours among the eligible results.
fn cheapest(curve: &[Results], eligible: impl Fn(&Results) -> bool) -> Option<f64> {
    let eligible = curve.iter().filter(|results| eligible(results));
    eligible.map(|results| results.idle_hours).min_by(f64::total_cmp)
}

fn print_line(label: &str, results: &Results) {
    let (p99, mean, idle) = (results.p99(), results.mean(), results.idle_hours);
    println!("  {label:12} p99 {p99:6.2} s  mean {mean:6.3} s  idle {idle:6.2} h");
}
