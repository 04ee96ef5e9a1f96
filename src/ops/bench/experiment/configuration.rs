//! Time from accepting a configuration change until every router applies it, and from revoking a
//! key until its open stream is cut.
//!
//! A change is accepted when the operator's command returns. Seeded random pauses between changes
//! spread them over the routers' poll intervals.

use std::time::Duration;

use anyhow::ensure;
use anyhow::Result;
use corianderyoke_coord::register::document::Document;
use corianderyoke_standin::engine;
use corianderyoke_standin::engine::settings::Pace;
use corianderyoke_standin::engine::settings::Tier;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use tokio::time::sleep;
use tokio::time::Instant;

use super::Finding;
use super::Options;
use crate::ops::bench::cell::author;
use crate::ops::bench::cell::Cell;
use crate::ops::bench::cell::Plan;
use crate::ops::bench::measure::Latencies;
use crate::ops::bench::measure::Measure;
use crate::ops::config::commands;

/// Upper bound of both times in milliseconds.
const BOUND_MS: f64 = 3000.0;
/// Rate changes per seed.
const CHANGES: u64 = 30;
/// Revocations per seed.
const REVOCATIONS: u64 = 5;
/// Upper bound of the pause before each change, in milliseconds.
const MAX_PAUSE_MS: u64 = 1000;
/// Time per token in the streams that are cut.
const TOKEN_TIME: Duration = Duration::from_millis(20);

const REGISTER: &str = "
[models.summary]
bytes = 16_000_000_000
bytes_per_token = 2.0
[models.summary.start_ms]
memory = 100
[teams.depots]
rate = 100_000
burst = 200_000
[grants.depots]
models = [\"summary\"]
[services.orders]
upstreams = [\"orders-1\"]
[rules]
deadline_ms = 60_000
";

/// Measures both times for each seed.
pub async fn run(options: &Options) -> Result<Finding> {
    let cell = start_cell().await?;
    let mut changes = Latencies::default();
    let mut cuts = Latencies::default();
    for seed in &options.seeds {
        eprintln!("seed {seed}: {CHANGES} changes, {REVOCATIONS} revocations");
        let mut rng = ChaCha8Rng::seed_from_u64(*seed);
        for change in 0..CHANGES {
            sleep(Duration::from_millis(rng.random_range(0..MAX_PAUSE_MS))).await;
            changes.record(measure_rate_change(&cell, 100_000 + seed * 1000 + change).await?);
        }
        for _ in 0..REVOCATIONS {
            sleep(Duration::from_millis(rng.random_range(0..MAX_PAUSE_MS))).await;
            cuts.record(measure_revocation(&cell, rng.random_range(0..8)).await?);
        }
    }
    cell.stop().await;
    Ok(finding(&changes, &cuts))
}

async fn start_cell() -> Result<Cell> {
    let pace = Pace { token_base: TOKEN_TIME, ..Pace::default() };
    let mut engine = engine::Settings { pace, ..engine::Settings::default() };
    engine.checkpoints.insert("summary".to_owned(), Tier::Memory);
    Cell::start(Plan {
        routers: 8,
        engines: vec![engine.clone(), engine],
        register: REGISTER.to_owned(),
        ..Plan::default()
    })
    .await
}

async fn measure_rate_change(cell: &Cell, rate: u64) -> Result<Duration> {
    let mut document = Document::default();
    let text = format!("[teams.depots]\nrate = {rate}\nburst = 200_000\n");
    let problems = document.read("rate change", &text);
    ensure!(problems.is_empty(), "the rate change is invalid: {problems:?}");
    let applied = commands::apply(&*cell.store, &document, None, &author("apply")).await?;
    cell.wait_in_force(applied.revision.0).await
}

/// Time from accepting the revocation until a router ends an open stream with an error event.
async fn measure_revocation(cell: &Cell, router: usize) -> Result<Duration> {
    let issued = commands::issue_key(&*cell.store, "depots", None, &author("issue-key")).await?;
    cell.wait_in_force(issued.revision.0).await?;
    let url = format!("http://{}/v1/completions", cell.callers(router));
    let body = json!({"model": "summary", "prompt": "p", "max_tokens": 1000, "stream": true});
    let request = reqwest::Client::new().post(url).bearer_auth(&issued.secret);
    let mut response = request.body(body.to_string()).send().await?;
    ensure!(response.status().is_success(), "the stream was refused: {}", response.text().await?);
    commands::revoke(&*cell.store, &issued.key, &author("revoke")).await?;
    let accepted = Instant::now();
    let mut last_chunk = bytes::Bytes::new();
    while let Some(chunk) = response.chunk().await? {
        last_chunk = chunk;
    }
    let elapsed = accepted.elapsed();
    let text = String::from_utf8_lossy(&last_chunk);
    ensure!(text.contains("event: error"), "the stream wasn't cut: {text}");
    Ok(elapsed)
}

fn finding(changes: &Latencies, cuts: &Latencies) -> Finding {
    let measure = |what: &str, latencies: &Latencies| {
        Measure {
            measure: what.to_owned(),
            unit: "ms, the longest".to_owned(),
            ours: latencies.quantile_ms(1.0),
            bound: Some(BOUND_MS),
            ..Measure::default()
        }
        .judged()
    };
    let part = measure("a revoked key's open stream is cut", cuts);
    let whole = measure("a change is in force at 8 routers", changes);
    let note = |what: &str, latencies: &Latencies| {
        let (p50, p99) = (latencies.quantile_ms(0.5), latencies.quantile_ms(0.99));
        format!("{what}: {} times, p50 {p50:.0} ms, p99 {p99:.0} ms", latencies.count())
    };
    let notes = vec![note("change in force", changes), note("stream cut", cuts)];
    let measure = Measure { parts: vec![part], ..whole }.judged();
    Finding { measure, notes, ..Finding::default() }
}
