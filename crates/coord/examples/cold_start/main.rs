//! Replays traces in virtual time: cold starts against an all-knowing queue, idle accelerator hours
//! against fixed keep-alive, and the cost of a decision by fleet size.
//!
//! `cargo run --release -p corianderyoke-coord --example cold_start [-- SEEDS]`

mod cost;
mod engines;
mod fleet;
mod oracle;
mod ours;
mod trace;

use std::time::Duration;

use corianderyoke_coord::placement::keep_alive::KeepAliveRule;

use fleet::Fleet;
use trace::Trace;

/// What one replay gave.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    /// Wait of each request for a loaded replica, in microseconds.
    pub waits: Vec<u64>,
    /// Hours for which accelerator memory held models that nobody used.
    pub idle_hours: f64,
}

impl Figures {
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

    /// How many requests met a cold start.
    fn cold(&self) -> usize {
        self.waits.iter().filter(|wait| **wait > 0).count()
    }
}

fn p99(mut waits: Vec<u64>) -> f64 {
    waits.sort_unstable();
    let at = (waits.len() * 99).div_ceil(100).saturating_sub(1);
    waits.get(at).copied().unwrap_or(0) as f64 / 1e6
}

/// Windows of the fixed baseline, in seconds.
const WINDOWS: [u64; 6] = [15, 60, 300, 600, 1200, 2400];

/// What a caller's second of cold start is worth in idle seconds, over the range for operators.
const WORTHS: [f64; 6] = [1.0, 5.0, 10.0, 20.0, 40.0, 100.0];

/// Waits that differ by less than this ratio count as the same.
const SAME: f64 = 1.01;

fn main() {
    let seeds = std::env::args().nth(1).and_then(|seeds| seeds.parse().ok()).unwrap_or(3u64);
    cost::print();
    for fleet in [Fleet::kumlama(), Fleet::speglagler()] {
        let traces: Vec<Trace> = (1..=seeds).map(|seed| Trace::new(&fleet, seed)).collect();
        compare(&fleet, &traces);
    }
}

/// Prints all figures of a fleet, each over all traces together.
fn compare(fleet: &Fleet, traces: &[Trace]) {
    println!("{}, {} seeds together", fleet.name, traces.len());
    let rule = KeepAliveRule::default();
    let ours = pooled(traces, |trace| ours::run(fleet, trace, rule));
    let oracle = pooled(traces, |trace| oracle::run(fleet, trace, rule));
    println!("  {} requests, {} cold", ours.waits.len(), ours.cold());
    let ratio = ours.cold_p99() / oracle.cold_p99();
    let (cold, known) = (ours.cold_p99(), oracle.cold_p99());
    println!("  cold p99 {cold:.2} s, all-knowing {known:.2} s, ratio {ratio:.3}");
    let by_worth = |worth: f64| {
        let rule = KeepAliveRule::Histogram {
            cold_weight: worth,
            min_gaps: 5,
            fallback: Duration::from_secs(600),
        };
        let figures = pooled(traces, |trace| ours::run(fleet, trace, rule));
        line(&format!("worth {worth:5}"), &figures);
        figures
    };
    let curve: Vec<Figures> = WORTHS.into_iter().map(by_worth).collect();
    line("always", &pooled(traces, |trace| ours::run(fleet, trace, KeepAliveRule::Always)));
    for window in WINDOWS {
        let rule = KeepAliveRule::Fixed(Duration::from_secs(window));
        let fixed = pooled(traces, |trace| ours::run(fleet, trace, rule));
        line(&format!("fixed {window:4}s"), &fixed);
        let p99 = cheapest(&curve, |ours| ours.p99() <= fixed.p99() * SAME);
        let mean = cheapest(&curve, |ours| ours.mean() <= fixed.mean() * SAME);
        let show = |hours: Option<f64>| hours.map_or("-".to_owned(), |hours| format!("{hours:.2}"));
        println!("    ours: idle {} h at its p99, {} h at its mean", show(p99), show(mean));
    }
}

/// Replays all traces, each in a thread of its own, and puts their figures together.
fn pooled(traces: &[Trace], run: impl Fn(&Trace) -> Figures + Sync) -> Figures {
    std::thread::scope(|scope| {
        let run = &run;
        let threads: Vec<_> = traces.iter().map(|trace| scope.spawn(move || run(trace))).collect();
        let mut all = Figures::default();
        for thread in threads {
            let figures = thread.join().expect("a replay panicked");
            all.waits.extend(figures.waits);
            all.idle_hours += figures.idle_hours;
        }
        all
    })
}

/// Least idle hours of the settings that are as good.
fn cheapest(curve: &[Figures], good: impl Fn(&Figures) -> bool) -> Option<f64> {
    let good = curve.iter().filter(|figures| good(figures));
    good.map(|figures| figures.idle_hours).min_by(f64::total_cmp)
}

fn line(label: &str, figures: &Figures) {
    let (p99, mean, idle) = (figures.p99(), figures.mean(), figures.idle_hours);
    println!("  {label:12} p99 {p99:6.2} s  mean {mean:6.3} s  idle {idle:6.2} h");
}
