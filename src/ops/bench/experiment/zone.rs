//! Requests lost or refused while operators drain an availability zone and restore it.
//!
//! The zone is drained after a third of the run and restored after two thirds. Callers fetch the
//! entry list from a router of another zone, at the interval for which it may be cached.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Result;
use serde_json::Value;
use tokio::time::sleep;

use super::deployment;
use super::deployment::Size;
use super::deployment::TEAMS;
use super::deployment::TEAM_SHARES;
use super::Finding;
use super::Options;
use crate::ops::bench::cell::author;
use crate::ops::bench::cell::Cell;
use crate::ops::bench::load::drive;
use crate::ops::bench::load::target::request_cost;
use crate::ops::bench::load::target::Destination;
use crate::ops::bench::load::Profile;
use crate::ops::bench::load::Sample;
use crate::ops::bench::load::Stream;
use crate::ops::bench::load::Target;
use crate::ops::bench::measure::Measure;
use crate::ops::bench::measure::Summary;
use crate::ops::config::commands;

/// Requests per second of all teams.
const RATE: f64 = 150.0;
/// Output tokens of each request.
const TOKENS: u32 = 16;
/// Fraction of its limit that a team uses on average.
const UTILIZATION: f64 = 0.5;
/// Number of models that receive requests.
const MODELS: usize = 8;
/// The zone that is drained.
const ZONE: &str = "z1";
/// Number of availability zones.
const ZONES: usize = 4;
/// Upper bound of each count of requests that are lost, refused or sent to the drained zone.
const BOUND: f64 = 0.0;
/// Deadline of each request.
const DEADLINE: Duration = Duration::from_secs(10);
/// Length of the warmup, in which models load and concurrency bounds grow: longer than an
/// upstream's own warmup.
const WARMUP_SPAN: Duration = Duration::from_secs(18);
/// Time between two fetches of the entry list.
const FETCH_INTERVAL: Duration = Duration::from_secs(1);
/// Time after the drain from which on the zone must get no new requests.
const DRAIN_GRACE: Duration = Duration::from_secs(5);

/// Runs the experiment.
pub async fn run(size: &Size, options: &Options) -> Result<Finding> {
    let token_rate =
        |team: usize| (RATE * TEAM_SHARES[team] * request_cost(TOKENS) as f64 / UTILIZATION) as u64;
    let rates: Vec<u64> = (0..TEAMS).map(token_rate).collect();
    let cell = Cell::start(deployment::cell_plan(size, &rates, DEADLINE)).await?;
    let keys = deployment::issue_keys(&cell).await?;
    let destination = Destination::Routers(deployment::router_addresses(&cell), keys);
    let target = Arc::new(Target::new(destination, TOKENS, DEADLINE)?);
    drive("warm", profile(0, WARMUP_SPAN).arrivals(), Arc::clone(&target)).await?;
    deployment::wait_until_loaded(&cell, MODELS).await?;
    let (mut lost, mut refused, mut misrouted) = (0, 0, 0);
    let mut notes = Vec::new();
    for seed in &options.seeds {
        let arrivals = profile(*seed, options.span).arrivals();
        let label = format!("seed {seed}");
        let (samples, started) = tokio::join!(
            drive(&label, arrivals, Arc::clone(&target)),
            drain_and_restore(&cell, &target, options.span)
        );
        let (samples, started) = (samples?, started?);
        let summary = Summary::of(&samples);
        lost += summary.failures();
        refused += summary.refusals();
        misrouted += started;
        notes.push(format!("{label}: {}", summary.line()));
        notes.extend(summarize_thirds(&samples, options.span));
        notes.push(format!("{label}: {started} requests began in the zone while it was out"));
        sleep(WARMUP_SPAN).await;
    }
    cell.stop().await;
    Ok(Finding { measure: measure(lost, refused, misrouted), charts: Vec::new(), notes })
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
        routers: deployment::ROUTERS,
        seed,
        ..Profile::default()
    }
}

/// Drains and restores the zone.
///
/// Returns the number of requests that started on its engines while it was drained.
async fn drain_and_restore(cell: &Cell, target: &Target, span: Duration) -> Result<u64> {
    let third = span / 3;
    sleep(third).await;
    commands::drain(&*cell.store, ZONE, &author("drain")).await?;
    let grace = DRAIN_GRACE.min(third / 2);
    follow_entry_list(cell, target, grace).await?;
    let before = started_requests(cell);
    follow_entry_list(cell, target, third.saturating_sub(grace)).await?;
    let started = started_requests(cell) - before;
    commands::restore(&*cell.store, ZONE, &author("restore")).await?;
    follow_entry_list(cell, target, third).await?;
    target.set_routers(&deployment::router_addresses(cell));
    Ok(started)
}

/// Requests that have started on the zone's engines.
fn started_requests(cell: &Cell) -> u64 {
    let engines = cell.engines.iter().step_by(ZONES);
    engines.map(|engine| engine.ledger().requests.len() as u64).sum()
}

/// Keeps the callers' routers up to date with the entry list, for `span`.
async fn follow_entry_list(cell: &Cell, target: &Target, span: Duration) -> Result<()> {
    let start = tokio::time::Instant::now();
    while start.elapsed() < span {
        // The second router is in another zone.
        let url = format!("http://{}/v1/entry", cell.callers(1));
        let response = reqwest::Client::new().get(url).send().await?.text().await?;
        let response: Value = serde_json::from_str(&response)?;
        let addresses = response["addresses"].as_array().cloned().unwrap_or_default();
        let addresses: Vec<SocketAddr> =
            addresses.iter().filter_map(|address| address.as_str()?.parse().ok()).collect();
        if !addresses.is_empty() {
            target.set_routers(&addresses);
        }
        sleep(FETCH_INTERVAL.min(span.saturating_sub(start.elapsed()))).await;
    }
    Ok(())
}

/// Summaries of the requests due before the drain, while the zone is drained, and after.
fn summarize_thirds(samples: &[Sample], span: Duration) -> Vec<String> {
    let third = span / 3;
    let line = |(number, name): (u32, &str)| {
        let within = |sample: &&Sample| {
            let at = sample.arrival.at;
            at >= third * number && at < third * (number + 1)
        };
        format!("  {name}: {}", Summary::of(samples.iter().filter(within)).line())
    };
    (0..).zip(["before", "while it is out", "after"]).map(line).collect()
}

fn measure(lost: u64, refused: u64, misrouted: u64) -> Measure {
    let part = |measure: &str, ours: u64| {
        let (measure, unit) = (measure.to_owned(), "requests".to_owned());
        let bound = Some(BOUND);
        Measure { measure, unit, ours: ours as f64, bound, ..Measure::default() }.judged()
    };
    let measure = Measure {
        measure: "requests lost or refused while a zone leaves and returns".to_owned(),
        unit: "requests".to_owned(),
        ours: (lost + refused) as f64,
        bound: Some(BOUND),
        parts: vec![
            part("lost", lost),
            part("refused", refused),
            part("begun in the zone while it was out", misrouted),
        ],
        ..Measure::default()
    };
    measure.judged()
}
