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

use corianderyoke_coord::placement::gaps::KeepRule;

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
const WINDOWS: [u64; 9] = [5, 15, 30, 60, 120, 300, 600, 1200, 2400];

/// What a second of cold start is worth in idle seconds, over the range operators may choose from.
const WORTHS: [f64; 9] = [0.5, 2.0, 5.0, 10.0, 20.0, 50.0, 100.0, 200.0, 500.0];

/// Waits that differ by less than this ratio count as the same.
const SAME: f64 = 1.01;

fn main() {
    let seeds = std::env::args().nth(1).and_then(|seeds| seeds.parse().ok()).unwrap_or(3u64);
    cost::print();
    for fleet in [Fleet::kumlama(), Fleet::speglagler()] {
        for seed in 1..=seeds {
            replay(&fleet, seed);
        }
    }
}

fn replay(fleet: &Fleet, seed: u64) {
    let trace = Trace::new(fleet, seed);
    let rule = KeepRule::default();
    let ours = ours::run(fleet, &trace, rule);
    let oracle = oracle::run(fleet, &trace, rule);
    println!("{} seed {seed}: {} requests, {} cold", fleet.name, ours.waits.len(), ours.cold());
    let ratio = ours.cold_p99() / oracle.cold_p99();
    let (cold, known) = (ours.cold_p99(), oracle.cold_p99());
    println!("  cold p99 {cold:.2} s, all-knowing {known:.2} s, ratio {ratio:.3}");
    let curve: Vec<Figures> = WORTHS.iter().map(|worth| by_worth(fleet, &trace, *worth)).collect();
    for (worth, figures) in WORTHS.iter().zip(&curve) {
        line(&format!("worth {worth:5}"), figures);
    }
    line("always", &ours::run(fleet, &trace, KeepRule::Always));
    for window in WINDOWS {
        let rule = KeepRule::Fixed(Duration::from_secs(window));
        let fixed = ours::run(fleet, &trace, rule);
        line(&format!("fixed {window:4}s"), &fixed);
        let p99 = cheapest(&curve, |ours| ours.p99() <= fixed.p99() * SAME);
        let mean = cheapest(&curve, |ours| ours.mean() <= fixed.mean() * SAME);
        let show = |hours: Option<f64>| hours.map_or("-".to_owned(), |hours| format!("{hours:.2}"));
        println!("    ours: idle {} h at its p99, {} h at its mean", show(p99), show(mean));
    }
}

fn by_worth(fleet: &Fleet, trace: &Trace, worth: f64) -> Figures {
    let rule = KeepRule::Histogram { worth, needed: 5, fallback: Duration::from_secs(60) };
    ours::run(fleet, trace, rule)
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
