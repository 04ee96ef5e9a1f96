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

/// Fixed windows that the baseline may choose from, in seconds.
const WINDOWS: [u64; 13] = [5, 10, 20, 40, 60, 120, 180, 300, 450, 600, 900, 1800, 3600];

fn main() {
    let seeds = std::env::args().nth(1).and_then(|seeds| seeds.parse().ok()).unwrap_or(5u64);
    for fleet in [Fleet::kumlama(), Fleet::speglagler()] {
        println!("{}", fleet.name);
        println!("seed requests cold  cold p99 s  oracle s  ratio | p99 s  idle h | fixed s  p99 s  idle h | always p99 s  idle h");
        for seed in 1..=seeds {
            replay(&fleet, seed);
        }
    }
    cost::print();
}

fn replay(fleet: &Fleet, seed: u64) {
    let trace = Trace::new(fleet, seed);
    let rule = KeepRule::default();
    let ours = ours::run(fleet, &trace, rule);
    let oracle = oracle::run(fleet, &trace, rule);
    let always = ours::run(fleet, &trace, KeepRule::Always);
    let fixed = WINDOWS.iter().find_map(|window| {
        let rule = KeepRule::Fixed(Duration::from_secs(*window));
        let figures = ours::run(fleet, &trace, rule);
        (figures.p99() <= ours.p99()).then_some((*window, figures))
    });
    let fixed = fixed.map_or("none as good".to_owned(), |(window, figures)| {
        format!("{window:7} {:6.2} {:7.2}", figures.p99(), figures.idle_hours)
    });
    println!(
        "{seed:4} {:8} {:4} {:11.2} {:9.2} {:6.3} | {:5.2} {:7.2} | {fixed} | {:12.2} {:7.2}",
        ours.waits.len(),
        ours.cold(),
        ours.cold_p99(),
        oracle.cold_p99(),
        ours.cold_p99() / oracle.cold_p99(),
        ours.p99(),
        ours.idle_hours,
        always.p99(),
        always.idle_hours,
    );
}
