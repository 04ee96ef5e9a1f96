//! Service while an availability zone leaves and returns, by the operators' commands.
//!
//! A third into the run the zone is drained, two thirds into it restored. Callers ask a router of
//! another zone for the addresses to use, as often as the answer may be kept.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Result;
use serde_json::Value;
use tokio::time::sleep;

use super::deployment;
use super::deployment::Size;
use super::deployment::TEAMS;
use super::deployment::TEAM_PARTS;
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

/// Requests a second of all teams.
const RATE: f64 = 150.0;
/// Output tokens of a request.
const TOKENS: u32 = 16;
/// Part of its limit that a team uses on average.
const USED: f64 = 0.5;
/// Models that are asked for.
const MODELS: usize = 8;
/// The zone that leaves.
const ZONE: &str = "z1";
/// Number of availability zones.
const ZONES: usize = 4;
/// Most requests that may be lost or refused.
const BOUND: f64 = 0.0;
/// Deadline of each request.
const DEADLINE: Duration = Duration::from_secs(10);
/// Length of the phase in which models load and slots grow: longer than an upstream warms up.
const WARM_SPAN: Duration = Duration::from_secs(18);
/// Time between two questions for the addresses to use.
const ASK_EVERY: Duration = Duration::from_secs(1);
/// Time after the drain from which on the zone must get no new work.
const QUIET_AFTER: Duration = Duration::from_secs(5);

/// Runs the experiment.
pub async fn run(size: &Size, options: &Options) -> Result<Finding> {
    let limit = |team: usize| (RATE * TEAM_PARTS[team] * request_cost(TOKENS) as f64 / USED) as u64;
    let rates: Vec<u64> = (0..TEAMS).map(limit).collect();
    let cell = Cell::start(deployment::plan(size, &rates, DEADLINE)).await?;
    let keys = deployment::keys(&cell).await?;
    let side = Destination::Routers(deployment::callers(&cell), keys);
    let target = Arc::new(Target::new(side, TOKENS, DEADLINE)?);
    drive("warm", profile(0, WARM_SPAN).arrivals(), Arc::clone(&target)).await?;
    deployment::loaded(&cell, MODELS).await?;
    let (mut lost, mut refused, mut late) = (0, 0, 0);
    let mut notes = Vec::new();
    for seed in &options.seeds {
        let arrivals = profile(*seed, options.span).arrivals();
        let label = format!("seed {seed}");
        let (samples, work) = tokio::join!(
            drive(&label, arrivals, Arc::clone(&target)),
            leave_and_return(&cell, &target, options.span)
        );
        let (samples, work) = (samples?, work?);
        let summary = Summary::of(&samples);
        lost += summary.failures();
        refused += summary.refusals();
        late += work;
        notes.push(format!("{label}: {}", summary.line()));
        notes.extend(thirds(&samples, options.span));
        notes.push(format!("{label}: {work} requests began in the zone while it was out"));
        sleep(WARM_SPAN).await;
    }
    cell.stop().await;
    Ok(Finding { measure: measure(lost, refused, late), charts: Vec::new(), notes })
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
        routers: deployment::ROUTERS,
        seed,
        ..Profile::default()
    }
}

/// Drains and restores the zone; returns the requests that its engines began although it was out.
async fn leave_and_return(cell: &Cell, target: &Target, span: Duration) -> Result<u64> {
    let third = span / 3;
    sleep(third).await;
    commands::drain(&*cell.store, ZONE, &author("drain")).await?;
    let quiet = QUIET_AFTER.min(third / 2);
    follow_entry(cell, target, quiet).await?;
    let before = begun(cell);
    follow_entry(cell, target, third.saturating_sub(quiet)).await?;
    let work = begun(cell) - before;
    commands::restore(&*cell.store, ZONE, &author("restore")).await?;
    follow_entry(cell, target, third).await?;
    target.set_routers(&deployment::callers(cell));
    Ok(work)
}

/// Requests that the zone's engines have begun.
fn begun(cell: &Cell) -> u64 {
    let engines = cell.engines.iter().step_by(ZONES);
    engines.map(|engine| engine.ledger().requests.len() as u64).sum()
}

/// Has the callers use what the entry list names, for `span`.
async fn follow_entry(cell: &Cell, target: &Target, span: Duration) -> Result<()> {
    let start = tokio::time::Instant::now();
    while start.elapsed() < span {
        // The second router is in another zone.
        let url = format!("http://{}/v1/entry", cell.callers(1));
        let answer = reqwest::Client::new().get(url).send().await?.text().await?;
        let answer: Value = serde_json::from_str(&answer)?;
        let addresses = answer["addresses"].as_array().cloned().unwrap_or_default();
        let addresses: Vec<SocketAddr> =
            addresses.iter().filter_map(|address| address.as_str()?.parse().ok()).collect();
        if !addresses.is_empty() {
            target.set_routers(&addresses);
        }
        sleep(ASK_EVERY.min(span.saturating_sub(start.elapsed()))).await;
    }
    Ok(())
}

fn thirds(samples: &[Sample], span: Duration) -> Vec<String> {
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

fn measure(lost: u64, refused: u64, late: u64) -> Measure {
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
            part("begun in the zone while it was out", late),
        ],
        ..Measure::default()
    };
    measure.judged()
}
