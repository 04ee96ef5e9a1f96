//! Latency that a router adds to a warm request: p99 through a router minus p99 of the engine
//! stand-in.

use std::sync::Arc;
use std::time::Duration;

use anyhow::Result;

use super::processes;
use super::Finding;
use super::Options;
use crate::ops::bench::load::drive;
use crate::ops::bench::load::Profile;
use crate::ops::bench::load::Sample;
use crate::ops::bench::load::Stream;
use crate::ops::bench::load::Target;
use crate::ops::bench::measure::Measure;
use crate::ops::bench::measure::Summary;
use crate::ops::bench::report::Chart;
use crate::ops::bench::report::Series;

/// Requests per second over all routers.
const RATE: f64 = 1_000.0;
/// Requests per second during the warmup.
const WARMUP_RATE: f64 = 300.0;
/// Length of the warmup, in which connections open and concurrency bounds grow: longer than an
/// upstream's own warmup.
const WARMUP_SPAN: Duration = Duration::from_secs(18);
/// Upper bound of the added p99 in milliseconds.
const BOUND_MS: f64 = 2.0;

/// Sends the same arrivals directly and through the routers of one fleet, once per seed.
pub async fn run(options: &Options) -> Result<Finding> {
    let fleet = processes::start().await?;
    let routed = Arc::new(processes::routed_target(&fleet, options.tokens)?);
    processes::load_models(&routed).await?;
    let arrivals = profile(0, WARMUP_RATE, WARMUP_SPAN).arrivals();
    drive("warm", arrivals, Arc::clone(&routed)).await?;
    let mut samples = [Vec::new(), Vec::new()];
    let mut added_p99 = Vec::new();
    let mut notes = Vec::new();
    for seed in &options.seeds {
        // Located again for each seed: placement may have moved a model.
        let direct = Arc::new(processes::direct_target(&fleet, options.tokens).await?);
        let direct_samples = run_phase("direct", *seed, options, &direct).await?;
        let routed_samples = run_phase("routed", *seed, options, &routed).await?;
        notes.push(format!(
            "seed {seed}: slots after the run: {}",
            processes::slot_usage(&fleet).await?
        ));
        let (direct, through) = (Summary::of(&direct_samples), Summary::of(&routed_samples));
        added_p99.push(through.served.quantile_ms(0.99) - direct.served.quantile_ms(0.99));
        samples[0].extend(direct_samples);
        samples[1].extend(routed_samples);
    }
    let mut finding = finding(options.rate.unwrap_or(RATE), &samples, &added_p99);
    finding.notes.extend(notes);
    Ok(finding)
}

fn profile(seed: u64, rate: f64, span: Duration) -> Profile {
    let stream = |team| Stream {
        team,
        rate: rate / processes::TEAMS as f64,
        begin: Duration::ZERO,
        end: span,
    };
    Profile {
        span,
        streams: (0..processes::TEAMS).map(stream).collect(),
        models: processes::MODELS,
        model_skew: 0.0,
        routers: processes::ROUTERS,
        seed,
        ..Profile::default()
    }
}

async fn run_phase(
    label: &str,
    seed: u64,
    options: &Options,
    target: &Arc<Target>,
) -> Result<Vec<Sample>> {
    let label = format!("{label}, seed {seed}");
    let rate = options.rate.unwrap_or(RATE);
    drive(&label, profile(seed, rate, options.span).arrivals(), Arc::clone(target)).await
}

fn finding(rate: f64, samples: &[Vec<Sample>; 2], added_p99: &[f64]) -> Finding {
    let [direct, routed] = samples.each_ref().map(Summary::of);
    let all_served =
        direct.served.count() + routed.served.count() == direct.count() + routed.count();
    let added = |share| routed.served.quantile_ms(share) - direct.served.quantile_ms(share);
    let part = |measure: &str, ours: f64| {
        let (measure, unit) = (measure.to_owned(), "ms".to_owned());
        Measure { measure, unit, ours, ..Measure::default() }.judged()
    };
    let measure = Measure {
        measure: format!("added p99 of a warm request at {rate} requests/s over 8 routers"),
        unit: "ms".to_owned(),
        // Requests that weren't served have no latency, so the p99 would leave them out.
        ours: if all_served { added(0.99) } else { f64::NAN },
        bound: Some(BOUND_MS),
        parts: vec![part("added p50", added(0.5)), part("added p90", added(0.9))],
        ..Measure::default()
    };
    let series = |name: &str, summary: &Summary| Series {
        name: name.to_owned(),
        points: summary.served.curve(),
    };
    let chart = Chart {
        title: "Latency of warm requests".to_owned(),
        x: "milliseconds from the scheduled time".to_owned(),
        y: "share of requests".to_owned(),
        series: vec![series("engine asked directly", &direct), series("through a router", &routed)],
    };
    let by_seed: Vec<String> = added_p99.iter().map(|ms| format!("{ms:.2}")).collect();
    Finding {
        measure: measure.judged(),
        charts: vec![chart],
        notes: vec![
            format!("direct: {}", direct.line()),
            format!("routed: {}", routed.line()),
            format!("added p99 by seed, in ms: {}", by_seed.join(", ")),
        ],
    }
}
