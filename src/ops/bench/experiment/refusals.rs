//! Requests refused although inside the team's rate, with traffic spread unevenly over the routers.
//!
//! One bucket that sees every arrival at once says which requests are inside the rate. The
//! baseline, a fixed part of the limit at each router, sees the same arrivals at the same times.

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
use super::deployment::TEAM_PARTS;
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

/// Requests a second of all teams.
const RATE: f64 = 150.0;
/// Output tokens of a request.
const TOKENS: u32 = 16;
/// Part of its limit that a team uses on average.
const USED: f64 = 0.9;
/// Zipf exponent of the routers' traffic.
const SPREAD: f64 = 1.0;
/// Models that are asked for.
const MODELS: usize = 8;
/// Most refusals inside the rate, in percent of the requests inside it.
const BOUND: f64 = 1.0;
/// Deadline of each request.
const DEADLINE: Duration = Duration::from_secs(10);
/// Length of the phase in which models load and slots grow: longer than an upstream warms up.
const WARM_SPAN: Duration = Duration::from_secs(18);
/// Time after it in which the buckets fill again.
const REFILL: Duration = Duration::from_secs(3);

/// Refusals of one side.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    inside: u64,
    refused: u64,
}

impl Count {
    fn percent(self) -> f64 {
        100.0 * self.refused as f64 / self.inside.max(1) as f64
    }
}

/// Runs the experiment.
pub async fn run(size: &Size, options: &Options) -> Result<Finding> {
    let limits: Vec<Limits> = (0..TEAMS).map(limit).collect();
    let rates: Vec<u64> = limits.iter().map(|limits| limits.rate).collect();
    let cell = Cell::start(deployment::plan(size, &rates, DEADLINE)).await?;
    let keys = deployment::keys(&cell).await?;
    let side = Destination::Routers(deployment::callers(&cell), keys);
    let target = Arc::new(Target::new(side, TOKENS, DEADLINE)?);
    drive("warm", profile(0, WARM_SPAN).arrivals(), Arc::clone(&target)).await?;
    deployment::loaded(&cell, MODELS).await?;
    let (mut ours, mut baseline) = (Vec::new(), Vec::new());
    let mut notes = Vec::new();
    for seed in &options.seeds {
        tokio::time::sleep(REFILL).await;
        let arrivals = profile(*seed, options.span).arrivals();
        let label = format!("seed {seed}");
        let mut samples = drive(&label, arrivals.clone(), Arc::clone(&target)).await?;
        samples.sort_by_key(|sample| sample.arrival.at);
        ours.push(count_ours(&limits, &samples));
        baseline.push(count_shares(&limits, &arrivals));
        notes.push(format!("{label}: {}", Summary::of(&samples).line()));
        let (one, two) = (ours[ours.len() - 1], baseline[baseline.len() - 1]);
        notes.push(format!(
            "{label}: {} inside the rate, {} of them refused, {} by static shares",
            one.inside, one.refused, two.refused
        ));
    }
    cell.stop().await;
    let worst = |counts: &[Count]| counts.iter().map(|count| count.percent()).fold(0.0, f64::max);
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

fn limit(team: usize) -> Limits {
    let rate = (RATE * TEAM_PARTS[team] * request_cost(TOKENS) as f64 / USED) as u64;
    Limits { rate, burst: rate * 2 }
}

fn profile(seed: u64, span: Duration) -> Profile {
    let stream = |team: usize| Stream {
        team,
        rate: RATE * TEAM_PARTS[team],
        begin: Duration::ZERO,
        end: span,
    };
    Profile {
        span,
        streams: (0..TEAMS).map(stream).collect(),
        models: MODELS,
        routers: ROUTERS,
        router_skew: SPREAD,
        seed,
        ..Profile::default()
    }
}

/// Whether one bucket for all routers admits each arrival.
fn inside(limits: &[Limits], arrivals: impl Iterator<Item = Arrival>) -> Vec<bool> {
    let mut buckets: Vec<StaticShare> =
        limits.iter().map(|limits| StaticShare::new(*limits, 1, Tick(0))).collect();
    arrivals.map(|arrival| admit(&mut buckets[arrival.team], &arrival)).collect()
}

fn admit(share: &mut StaticShare, arrival: &Arrival) -> bool {
    share.reserve(request_cost(TOKENS), Tick(arrival.at.as_micros() as u64))
}

/// Counts every refusal, whatever its code, and every failure.
fn count_ours(limits: &[Limits], samples: &[Sample]) -> Count {
    let inside = inside(limits, samples.iter().map(|sample| sample.arrival));
    let mut count = Count::default();
    for (sample, _) in samples.iter().zip(inside).filter(|(_, inside)| *inside) {
        count.inside += 1;
        count.refused += u64::from(sample.outcome != Outcome::Served);
    }
    count
}

fn count_shares(limits: &[Limits], arrivals: &[Arrival]) -> Count {
    let inside = inside(limits, arrivals.iter().copied());
    let whole = |limits: &Limits| StaticShare::new(*limits, ROUTERS as u64, Tick(0));
    let mut shares: Vec<Vec<StaticShare>> =
        limits.iter().map(|limits| (0..ROUTERS).map(|_| whole(limits)).collect()).collect();
    let mut count = Count::default();
    for (arrival, inside) in arrivals.iter().zip(inside) {
        let admitted = admit(&mut shares[arrival.team][arrival.router], arrival);
        count.inside += u64::from(inside);
        count.refused += u64::from(inside && !admitted);
    }
    count
}
