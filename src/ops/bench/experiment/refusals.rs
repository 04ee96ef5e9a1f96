//! Requests refused although they conform to the team's limit, with traffic spread unevenly over
//! the routers.
//!
//! One token bucket per team that sees the arrivals of all routers decides which requests conform.
//! The baseline, a static share of the limit at each router, gets the same arrivals at the same
//! times.

use std::sync::Arc;
use std::time::Duration;

use anyhow::Result;
use corianderyoke_coord::pools::Limits;
use corianderyoke_coord::pools::StaticShare;
use corianderyoke_coord::time::Tick;

use super::deployment;
use super::deployment::Size;
use super::deployment::ROUTERS;
use super::deployment::TEAMS;
use super::deployment::TEAM_SHARES;
use super::Finding;
use super::Options;
use crate::ops::bench::cell::Cell;
use crate::ops::bench::load::drive;
use crate::ops::bench::load::target::request_cost;
use crate::ops::bench::load::target::Destination;
use crate::ops::bench::load::Arrival;
use crate::ops::bench::load::Outcome;
use crate::ops::bench::load::Profile;
use crate::ops::bench::load::Sample;
use crate::ops::bench::load::Stream;
use crate::ops::bench::load::Target;
use crate::ops::bench::measure::Measure;
use crate::ops::bench::measure::Summary;

/// Requests per second of all teams.
const RATE: f64 = 150.0;
/// Output tokens of each request.
const TOKENS: u32 = 16;
/// Fraction of its limit that a team uses on average.
const UTILIZATION: f64 = 0.9;
/// Zipf exponent of the routers' traffic.
const ROUTER_SKEW: f64 = 1.0;
/// Number of models that receive requests.
const MODELS: usize = 8;
/// Upper bound of the refused requests, in percent of the conforming ones.
const BOUND: f64 = 1.0;
/// Deadline of each request.
const DEADLINE: Duration = Duration::from_secs(10);
/// Length of the warmup, in which models load and concurrency bounds grow: longer than an
/// upstream's own warmup.
const WARMUP_SPAN: Duration = Duration::from_secs(18);
/// Pause before each run in which the token buckets refill.
const REFILL_TIME: Duration = Duration::from_secs(3);

/// Conforming requests of one run.
#[derive(Clone, Copy, Debug, Default)]
struct ConformingCount {
    /// All of them.
    total: u64,
    /// Those that were refused or failed.
    refused: u64,
}

impl ConformingCount {
    fn refused_percent(self) -> f64 {
        100.0 * self.refused as f64 / self.total.max(1) as f64
    }
}

/// Runs the experiment.
pub async fn run(size: &Size, options: &Options) -> Result<Finding> {
    let limits: Vec<Limits> = (0..TEAMS).map(team_limits).collect();
    let rates: Vec<u64> = limits.iter().map(|limits| limits.rate).collect();
    let cell = Cell::start(deployment::cell_plan(size, &rates, DEADLINE)).await?;
    let keys = deployment::issue_keys(&cell).await?;
    let destination = Destination::Routers(deployment::router_addresses(&cell), keys);
    let target = Arc::new(Target::new(destination, TOKENS, DEADLINE)?);
    drive("warm", profile(0, WARMUP_SPAN).arrivals(), Arc::clone(&target)).await?;
    deployment::wait_until_loaded(&cell, MODELS).await?;
    let (mut ours, mut baseline) = (Vec::new(), Vec::new());
    let mut notes = Vec::new();
    for seed in &options.seeds {
        tokio::time::sleep(REFILL_TIME).await;
        let arrivals = profile(*seed, options.span).arrivals();
        let label = format!("seed {seed}");
        let mut samples = drive(&label, arrivals.clone(), Arc::clone(&target)).await?;
        samples.sort_by_key(|sample| sample.arrival.at);
        ours.push(count_system(&limits, &samples));
        baseline.push(count_static_shares(&limits, &arrivals));
        notes.push(format!("{label}: {}", Summary::of(&samples).line()));
        let (system, shares) = (ours[ours.len() - 1], baseline[baseline.len() - 1]);
        notes.push(format!(
            "{label}: {} inside the rate, {} of them refused, {} by static shares",
            system.total, system.refused, shares.refused
        ));
    }
    cell.stop().await;
    let worst = |counts: &[ConformingCount]| {
        counts.iter().map(|count| count.refused_percent()).fold(0.0, f64::max)
    };
    let measure = Measure {
        measure: "requests refused although inside the team's rate, 8 routers, uneven traffic"
            .to_owned(),
        unit: "%".to_owned(),
        ours: worst(&ours),
        baseline: Some(worst(&baseline)),
        against: "static shares".to_owned(),
        bound: Some(BOUND),
        ..Measure::default()
    };
    Ok(Finding { measure: measure.judged(), charts: Vec::new(), notes })
}

fn team_limits(team: usize) -> Limits {
    let rate = (RATE * TEAM_SHARES[team] * request_cost(TOKENS) as f64 / UTILIZATION) as u64;
    Limits { rate, burst: rate * 2 }
}

fn profile(seed: u64, span: Duration) -> Profile {
    let stream = |team: usize| Stream {
        team,
        rate: RATE * TEAM_SHARES[team],
        begin: Duration::ZERO,
        end: span,
    };
    Profile {
        span,
        streams: (0..TEAMS).map(stream).collect(),
        models: MODELS,
        routers: ROUTERS,
        router_skew: ROUTER_SKEW,
        seed,
        ..Profile::default()
    }
}

/// Whether each arrival conforms: one bucket per team for all routers admits it.
fn conforming(limits: &[Limits], arrivals: impl Iterator<Item = Arrival>) -> Vec<bool> {
    let mut buckets: Vec<StaticShare> =
        limits.iter().map(|limits| StaticShare::new(*limits, 1, Tick(0))).collect();
    arrivals.map(|arrival| admit(&mut buckets[arrival.team], &arrival)).collect()
}

fn admit(share: &mut StaticShare, arrival: &Arrival) -> bool {
    share.reserve(request_cost(TOKENS), Tick(arrival.at.as_micros() as u64))
}

/// Counts the system's conforming requests; any refusal code and any failure counts as refused.
fn count_system(limits: &[Limits], samples: &[Sample]) -> ConformingCount {
    let conforming = conforming(limits, samples.iter().map(|sample| sample.arrival));
    let mut count = ConformingCount::default();
    for (sample, _) in samples.iter().zip(conforming).filter(|(_, conforming)| *conforming) {
        count.total += 1;
        count.refused += u64::from(sample.outcome != Outcome::Served);
    }
    count
}

/// Counts the conforming requests that static shares would refuse.
fn count_static_shares(limits: &[Limits], arrivals: &[Arrival]) -> ConformingCount {
    let conforming = conforming(limits, arrivals.iter().copied());
    let router_share = |limits: &Limits| StaticShare::new(*limits, ROUTERS as u64, Tick(0));
    let mut shares: Vec<Vec<StaticShare>> =
        limits.iter().map(|limits| (0..ROUTERS).map(|_| router_share(limits)).collect()).collect();
    let mut count = ConformingCount::default();
    for (arrival, conforming) in arrivals.iter().zip(conforming) {
        let admitted = admit(&mut shares[arrival.team][arrival.router], arrival);
        count.total += u64::from(conforming);
        count.refused += u64::from(conforming && !admitted);
    }
    count
}
