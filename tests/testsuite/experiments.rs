//! Tests of the parts of the bench's experiments: arrivals, percentiles, measures and reports.

use std::time::Duration;

use corianderyoke::ops::bench::experiment;
use corianderyoke::ops::bench::experiment::deployment::Deployment;
use corianderyoke::ops::bench::experiment::idle;
use corianderyoke::ops::bench::experiment::Finding;
use corianderyoke::ops::bench::load::Arrival;
use corianderyoke::ops::bench::load::Bursts;
use corianderyoke::ops::bench::load::Outcome;
use corianderyoke::ops::bench::load::Profile;
use corianderyoke::ops::bench::load::Sample;
use corianderyoke::ops::bench::load::Stream;
use corianderyoke::ops::bench::measure::Bound;
use corianderyoke::ops::bench::measure::Latencies;
use corianderyoke::ops::bench::measure::Measure;
use corianderyoke::ops::bench::measure::Summary;
use corianderyoke::ops::bench::report;
use corianderyoke::ops::bench::report::Chart;
use corianderyoke::ops::bench::report::Series;

const SECOND: Duration = Duration::from_secs(1);

fn stream(team: usize, rate: f64) -> Stream {
    Stream { team, rate, begin: Duration::ZERO, end: SECOND * 100 }
}

fn profile(seed: u64) -> Profile {
    Profile {
        span: SECOND * 100,
        streams: vec![stream(0, 50.0), stream(1, 10.0)],
        models: 20,
        routers: 8,
        seed,
        ..Profile::default()
    }
}

#[test]
fn seed_determines_the_schedule() {
    let arrivals = profile(7).arrivals();
    assert_eq!(arrivals, profile(7).arrivals());
    assert_ne!(arrivals, profile(8).arrivals());
    assert!(arrivals.is_sorted_by_key(|arrival| arrival.at));
    assert!(arrivals.iter().all(|arrival| arrival.at < SECOND * 100));
}

#[test]
fn arrivals_follow_rates_and_popularity() {
    let arrivals = profile(7).arrivals();
    let of_team = |team| arrivals.iter().filter(|arrival| arrival.team == team).count();
    // Bounds of five standard deviations of a Poisson count.
    assert!(of_team(0).abs_diff(5_000) < 354, "{}", of_team(0));
    assert!(of_team(1).abs_diff(1_000) < 159, "{}", of_team(1));
    let of_model = |model| arrivals.iter().filter(|arrival| arrival.model == model).count();
    assert!(of_model(0) > of_model(1) && of_model(1) > of_model(10));
}

#[test]
fn stream_does_not_affect_the_arrivals_of_others() {
    let busier = Profile { streams: vec![stream(0, 50.0), stream(1, 500.0)], ..profile(7) };
    let first_team = |profile: &Profile| -> Vec<Arrival> {
        profile.arrivals().into_iter().filter(|arrival| arrival.team == 0).collect()
    };
    assert_eq!(first_team(&profile(7)), first_team(&busier));
}

#[test]
fn burst_requests_one_model_from_every_router() {
    let bursts = Bursts { rate: 0.1, size: 8, window: Duration::from_millis(50) };
    let burst = Profile { streams: vec![stream(0, 0.0)], bursts, ..profile(7) };
    let arrivals = burst.arrivals();
    assert!(!arrivals.is_empty() && arrivals.len().is_multiple_of(8));
    let mut routers: Vec<usize> = arrivals[..8].iter().map(|arrival| arrival.router).collect();
    routers.sort_unstable();
    assert_eq!(routers, (0..8).collect::<Vec<_>>());
    assert!(arrivals[..8].iter().all(|arrival| arrival.model == arrivals[0].model));
}

#[test]
fn percentiles_match_the_samples() {
    let mut latencies = Latencies::default();
    (1..=1_000).for_each(|ms| latencies.record(Duration::from_millis(ms)));
    let is_near = |share: f64, ms: f64| (latencies.quantile_ms(share) - ms).abs() <= ms / 1_000.0;
    assert!(is_near(0.5, 500.0) && is_near(0.99, 990.0) && is_near(1.0, 1_000.0));
}

fn sample(ms: u64, outcome: Outcome) -> Sample {
    let arrival = Arrival { at: Duration::ZERO, team: 0, model: 0, router: 0 };
    Sample { arrival, latency: Duration::from_millis(ms), first_byte: None, outcome }
}

#[test]
fn summary_counts_refused_and_failed_requests() {
    let samples = [
        sample(10, Outcome::Served),
        sample(20, Outcome::Served),
        sample(1, Outcome::Refused("over_limit".to_owned())),
        sample(30, Outcome::Failed("the stream broke off".to_owned())),
    ];
    insta::assert_snapshot!(Summary::of(&samples).line(), @"4 sent, 2 served, p50 10.0 ms, p99 20.0 ms, 1 refused, 1 failed; 1 over_limit; 1 the stream broke off");
}

#[test]
fn measure_is_met_only_if_its_parts_are_met() {
    let met = Measure { ours: 1.0, bound: Some(2.0), ..Measure::default() };
    assert!(met.clone().judged().met);
    assert!(!Measure { side: Bound::AtLeast, ..met.clone() }.judged().met);
    assert!(!Measure { ours: f64::NAN, ..met.clone() }.judged().met);
    let missed = Measure { ours: 3.0, bound: Some(2.0), ..Measure::default() }.judged();
    assert!(!Measure { parts: vec![missed], ..met }.judged().met);
}

#[test]
fn idle_hours_are_deterministic() {
    let options = experiment::Options {
        deployment: Deployment::Speglagler,
        seeds: vec![1, 2],
        span: SECOND,
        ..experiment::Options::default()
    };
    let size = options.deployment.size();
    let notes = || idle::run(&size, &options).map(|finding| finding.notes).unwrap_or_default();
    assert_eq!(notes(), notes());
    insta::assert_snapshot!(notes().join("\n"));
}

#[test]
fn report_page_is_self_contained() {
    let measure = Measure {
        measure: "added p99".to_owned(),
        unit: "ms".to_owned(),
        ours: 1.25,
        baseline: Some(120.0),
        against: "a <simple> way".to_owned(),
        bound: Some(2.0),
        seeds: vec![1, 2],
        ..Measure::default()
    };
    let series = Series { name: "ours".to_owned(), points: vec![(0.0, 0.0), (1.0, 0.5)] };
    let chart = Chart {
        title: "Latency".to_owned(),
        x: "milliseconds".to_owned(),
        y: "share".to_owned(),
        series: vec![series],
    };
    let finding = Finding {
        measure: measure.judged(),
        charts: vec![chart],
        notes: vec!["one & only run".to_owned()],
    };
    let page = report::page("overhead", &finding);
    assert!(!page.contains("http"), "a page must not refer to other resources");
    insta::assert_snapshot!(page);
    insta::assert_snapshot!("text", report::text(&finding));
    let json = serde_json::to_string_pretty(&finding.measure).unwrap_or_default();
    insta::assert_snapshot!("json", json);
}
