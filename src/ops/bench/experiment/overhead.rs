//! What a router adds to a warm request: p99 through a router less p99 of the engine stand-in.

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

/// Requests a second over all routers.
const RATE: f64 = 1_000.0;
/// Requests a second while connections open and slots grow.
const WARM_RATE: f64 = 300.0;
/// Length of the phase in which they do: longer than an upstream warms up.
const WARM_SPAN: Duration = Duration::from_secs(18);
/// Most that a router may add to p99, in milliseconds.
const BOUND_MS: f64 = 2.0;

/// Runs both sides in turn, one pair a seed, on one fleet.
pub async fn run(options: &Options) -> Result<Finding> {
    let fleet = processes::start().await?;
    let routed = Arc::new(processes::routers(&fleet, options.tokens)?);
    processes::warm(&routed).await?;
    let warm = profile(0, WARM_RATE, WARM_SPAN).arrivals();
    drive("warm", warm, Arc::clone(&routed)).await?;
    let mut all = [Vec::new(), Vec::new()];
    let mut added = Vec::new();
    let mut notes = Vec::new();
    for seed in &options.seeds {
        // Asked anew each time: placement may have moved a model meanwhile.
        let direct = Arc::new(processes::engines(&fleet, options.tokens).await?);
        let asked = phase("direct", *seed, options, &direct).await?;
        let through = phase("routed", *seed, options, &routed).await?;
        notes
            .push(format!("seed {seed}: slots after the run: {}", processes::slots(&fleet).await?));
        let (one, two) = (Summary::of(&asked), Summary::of(&through));
        added.push(two.served.quantile_ms(0.99) - one.served.quantile_ms(0.99));
        all[0].extend(asked);
        all[1].extend(through);
    }
    let mut finding = finding(options.rate.unwrap_or(RATE), &all, &added);
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

async fn phase(
    label: &str,
    seed: u64,
    options: &Options,
    target: &Arc<Target>,
) -> Result<Vec<Sample>> {
    let label = format!("{label}, seed {seed}");
    let rate = options.rate.unwrap_or(RATE);
    drive(&label, profile(seed, rate, options.span).arrivals(), Arc::clone(target)).await
}

fn finding(rate: f64, all: &[Vec<Sample>; 2], added: &[f64]) -> Finding {
    let [direct, routed] = all.each_ref().map(Summary::of);
    let clean = direct.served.count() + routed.served.count() == direct.count() + routed.count();
    let quantile = |share| routed.served.quantile_ms(share) - direct.served.quantile_ms(share);
    let part = |measure: &str, ours: f64| {
        let (measure, unit) = (measure.to_owned(), "ms".to_owned());
        Measure { measure, unit, ours, ..Measure::default() }.judged()
    };
    let measure = Measure {
        measure: format!("added p99 of a warm request at {rate} requests/s over 8 routers"),
        unit: "ms".to_owned(),
        // Requests that weren't served have no latency, so the figure wouldn't stand for all.
        ours: if clean { quantile(0.99) } else { f64::NAN },
        bound: Some(BOUND_MS),
        parts: vec![part("added p50", quantile(0.5)), part("added p90", quantile(0.9))],
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
    let by_seed: Vec<String> = added.iter().map(|ms| format!("{ms:.2}")).collect();
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
