//! Keep-alive windows, the limit of adapter loads, and the parser of the table.

use std::time::Duration;

use corianderyoke_coord::keys::AdapterKey;
use corianderyoke_coord::keys::UpstreamKey;
use corianderyoke_coord::placement::adapters::AdapterLoads;
use corianderyoke_coord::placement::keep_alive::GapHistogram;
use corianderyoke_coord::placement::keep_alive::KeepAliveRule;
use corianderyoke_coord::placement::row::TableSnapshot;
use corianderyoke_coord::time::Tick;

fn minutes(count: u64) -> Duration {
    Duration::from_secs(60 * count)
}

#[test]
fn window_covers_regular_gaps_but_not_long_ones() {
    let load_time = Duration::from_secs(10);
    let mut regular = GapHistogram::default();
    let mut rare = GapHistogram::default();
    for _ in 0..20 {
        let bucket = regular.record(minutes(1));
        regular.add_callers(bucket, 1);
        let bucket = rare.record(minutes(300));
        rare.add_callers(bucket, 1);
    }
    let window = regular.window(load_time, 0.5, 20.0);
    assert!(window >= minutes(1) && window < minutes(2), "{window:?}");
    assert_eq!(rare.window(load_time, 0.5, 20.0), Duration::ZERO);
}

#[test]
fn few_gaps_use_the_fallback_window() {
    let rule = KeepAliveRule::Histogram { cold_weight: 20.0, min_gaps: 5, fallback: minutes(10) };
    let mut gaps = GapHistogram::default();
    gaps.record(minutes(1));
    assert_eq!(rule.window(&gaps, Duration::from_secs(10), 0.5), Some(minutes(10)));
    assert_eq!(KeepAliveRule::Always.window(&gaps, Duration::from_secs(10), 0.5), None);
}

#[test]
fn adapter_loads_stay_within_the_limit() {
    let mut adapters = AdapterLoads::new(32, Tick(1_000));
    for adapter in 0..40 {
        adapters.request((AdapterKey(adapter), UpstreamKey(0)));
        adapters.request((AdapterKey(adapter), UpstreamKey(0)));
    }
    assert_eq!(adapters.start_next(Tick(999)), None);
    let started: Vec<_> = std::iter::from_fn(|| adapters.start_next(Tick(1_000))).collect();
    assert_eq!(started.len(), 32);
    adapters.finish(started[0]);
    assert!(adapters.start_next(Tick(1_001)).is_some());
    assert_eq!(adapters.start_next(Tick(1_001)), None);
}

#[test]
fn parse_error_names_the_row() {
    let rows = [("m@e", "{}", 3u64)];
    let error = TableSnapshot::parse(rows.into_iter()).expect_err("fields are missing");
    insta::assert_snapshot!(error, @"row m@e of table intents can't be read, repair or delete it: missing field `model` at line 1 column 2");
}
