//! Tests of the known state of engines.

use std::time::Duration;

use corianderyoke_coord::serving::engines::Change;
use corianderyoke_coord::serving::engines::Entry;
use corianderyoke_coord::serving::engines::Stage;
use corianderyoke_coord::serving::position::Position;

use crate::fixtures::at;
use crate::fixtures::engine;
use crate::fixtures::engines;
use crate::fixtures::entry;
use crate::fixtures::model;
use crate::fixtures::ms;
use crate::fixtures::report;
use crate::fixtures::SERVICE;

#[test]
fn draining_engine_is_not_usable() {
    let mut engines = engines(&[entry("e1", &[], &[]), entry("e2", &[], &[])]);
    let leaving = Entry { stage: Stage::Draining, ..entry("e1", &[], &[]) };
    assert_eq!(engines.upsert(leaving, ms(10)), Change::Left);
    assert_eq!(engines.usable(SERVICE, ms(20)), [engine(&engines, "e2")]);
}

/// Guards against a process that ends because of the number of orders in a report.
#[test]
fn number_of_accepted_orders_saturates() {
    let listed = entry("e1", &[], &[]);
    let mut engines = engines(std::slice::from_ref(&listed));
    let key = engine(&engines, "e1");
    engines.apply_report(key, &report(&listed, u64::MAX));
    engines.record_accepted_order(key);
    assert_eq!(engines.get(key).and_then(|engine| engine.order_count), Some(u64::MAX));
}

#[test]
fn engines_of_drained_zone_are_not_usable_until_drain_ends() {
    let far = Entry { zone: "b".to_owned(), ..entry("e2", &[], &[]) };
    let mut engines = engines(&[entry("e1", &[], &[]), far]);
    engines.drain_zone("b", true);
    assert_eq!(engines.usable(SERVICE, ms(0)).len(), 1);
    engines.drain_zone("b", false);
    assert_eq!(engines.usable(SERVICE, ms(0)).len(), 2);
}

#[test]
fn entry_expired_in_outage_has_grace_period_to_return() {
    let mut engines = engines(&[entry("e1", &[], &[]), entry("e2", &[], &[])]);
    engines.begin_recovery(ms(0));
    assert_eq!(engines.remove("e1", at(0), ms(100)), Change::Same);
    assert_eq!(engines.remove("e2", at(0), ms(100)), Change::Same);
    engines.upsert(entry("e1", &[], &[]), ms(1_500));
    assert!(engines.expire_missing(ms(2_100)).is_empty());
    assert_eq!(engines.expire_missing(ms(2_300)), [engine(&engines, "e2")]);
    assert_eq!(engines.usable(SERVICE, ms(2_300)), [engine(&engines, "e1")]);
    // After the grace period, a missing entry means that the engine is gone.
    assert_eq!(engines.remove("e1", at(0), ms(5_000)), Change::Left);
}

#[test]
fn failure_backoff_grows_with_each_failure() {
    let mut engines = engines(&[entry("e1", &[], &[]), entry("e2", &[], &[])]);
    let (bad, good) = (engine(&engines, "e1"), engine(&engines, "e2"));
    engines.record_failure(bad, ms(0));
    assert_eq!(engines.usable(SERVICE, ms(399)), [good]);
    assert_eq!(engines.usable(SERVICE, ms(400)).len(), 2);
    engines.record_failure(bad, ms(400));
    assert_eq!(engines.usable(SERVICE, ms(1_199)), [good]);
    engines.record_success(bad);
    assert_eq!(engines.usable(SERVICE, ms(1_199)).len(), 2);
}

#[test]
fn failed_engines_are_usable_if_there_are_no_others() {
    let mut engines = engines(&[entry("e1", &[], &[])]);
    let only = engine(&engines, "e1");
    engines.record_failure(only, ms(0));
    assert_eq!(engines.usable(SERVICE, ms(1)), [only]);
}

#[test]
fn restart_under_same_identity_resets_known_state() {
    let mut engines = engines(&[entry("e1", &["m"], &[])]);
    let held = model(&mut engines, "m");
    let fresh = Entry { started_ms: Some(2), ..entry("e1", &[], &["m"]) };
    assert_eq!(engines.upsert(fresh, ms(10)), Change::Restarted);
    let key = engine(&engines, "e1");
    let engine = engines.get(key).expect("it is listed");
    assert!(!engine.holds(held, None));
    assert_eq!(engine.order_count, None);
}

#[test]
fn adapter_update_overrides_older_entry() {
    let mut engines = engines(&[entry("e1", &["m"], &[])]);
    let key = engine(&engines, "e1");
    let base = model(&mut engines, "m");
    let adapter = engines.names.adapter("m", "a1");
    engines.set_adapter(key, base, adapter, true, ms(0));
    engines.upsert(entry("e1", &["m"], &[]), ms(1_000));
    assert!(engines.get(key).is_some_and(|engine| engine.holds(base, Some(adapter))));
    engines.upsert(entry("e1", &["m"], &[]), ms(3_000));
    assert!(engines.get(key).is_some_and(|engine| !engine.holds(base, Some(adapter))));
}

#[test]
fn cold_period_ends_as_stated_in_entry() {
    let cold = Entry { cold: Duration::from_secs(3), ..entry("e1", &[], &[]) };
    let engines = engines(&[cold]);
    let engine = engines.get(engine(&engines, "e1")).expect("it is listed");
    assert!(engine.is_cold(ms(2_999)));
    assert!(!engine.is_cold(ms(3_000)));
}

#[test]
fn relayed_entry_applies_only_if_newer() {
    let listed = Entry { position: at(5), ..entry("e1", &["m"], &["copy"]) };
    let mut engines = engines(std::slice::from_ref(&listed));
    let key = engine(&engines, "e1");
    let (held, other) = (model(&mut engines, "m"), model(&mut engines, "other"));
    let copy = model(&mut engines, "copy");
    let stale = Entry { position: at(4), ..entry("e1", &["other"], &[]) };
    assert_eq!(engines.apply_relayed(stale.clone(), ms(10)), Change::Same);
    assert_eq!(engines.upsert(stale, ms(10)), Change::Same);
    assert!(engines.get(key).is_some_and(|engine| engine.holds(held, None)));
    let newer = Entry { position: at(6), ..entry("e1", &["other"], &[]) };
    assert_eq!(engines.apply_relayed(newer, ms(20)), Change::Updated);
    let relayed = engines.get(key).expect("it is listed");
    assert!(relayed.holds(other, None) && !relayed.holds(held, None));
    // Relayed entries don't list cached weights, so the known ones are kept.
    assert!(relayed.on_disk.contains(&copy));
}

#[test]
fn longer_cold_period_is_reported_as_change() {
    let mut engines = engines(&[entry("e1", &[], &[])]);
    let cold = |millis| Entry { cold: Duration::from_millis(millis), ..entry("e1", &[], &[]) };
    assert_eq!(engines.upsert(cold(3_000), ms(0)), Change::Cooled);
    // The same cold period, reported later.
    assert_eq!(engines.upsert(cold(2_000), ms(1_100)), Change::Same);
    assert_eq!(engines.upsert(cold(0), ms(3_100)), Change::Same);
}

#[test]
fn outdated_entry_does_not_restore_removed_engine() {
    let written = |version| Entry { position: at(version), ..entry("e1", &[], &[]) };
    let mut engines = engines(&[written(3), entry("e2", &[], &[])]);
    let key = engine(&engines, "e1");
    // The relaying daemon read the removal of the entry; this daemon's own read is delayed.
    engines.mark_draining(key, at(7));
    assert_eq!(engines.upsert(written(5), ms(10)), Change::Same);
    assert_eq!(engines.usable(SERVICE, ms(10)), [engine(&engines, "e2")]);
    assert_eq!(engines.remove("e1", at(7), ms(20)), Change::Left);
    // Conversely, this daemon read the removal and then receives an older relayed entry.
    assert_eq!(engines.apply_relayed(written(6), ms(30)), Change::Same);
    assert!(engines.get(key).is_none());
    assert_eq!(engines.upsert(written(9), ms(40)), Change::Added);
}

#[test]
fn entry_older_than_its_removal_is_ignored() {
    let written = |version| Entry { position: at(version), ..entry("e1", &[], &[]) };
    let mut engines = engines(&[written(5)]);
    assert_eq!(engines.remove("e1", at(10), ms(0)), Change::Left);
    // A slow response contains a row that was read before the removal.
    assert_eq!(engines.upsert(written(7), ms(10)), Change::Same);
    assert_eq!(engines.usable(SERVICE, ms(20)), []);
    assert_eq!(engines.upsert(written(11), ms(30)), Change::Added);
    assert_eq!(engines.usable(SERVICE, ms(40)).len(), 1);
}

/// Guards against a late removal that unlists the next process of an engine, so that an outdated row
/// brings back the one before.
#[test]
fn removal_older_than_the_entry_is_ignored() {
    let written = |started_ms, version| {
        let (started_ms, position) = (Some(started_ms), at(version));
        Entry { started_ms, position, ..entry("e1", &[], &[]) }
    };
    let mut engines = engines(&[written(1, 3)]);
    let key = engine(&engines, "e1");
    // Another daemon read all rows; this daemon's own read is delayed.
    assert_eq!(engines.apply_relayed(written(2, 9), ms(10)), Change::Restarted);
    assert_eq!(engines.remove("e1", at(5), ms(20)), Change::Same);
    assert_eq!(engines.upsert(written(1, 7), ms(30)), Change::Same);
    assert!(engines.get(key).is_some_and(|engine| engine.started_ms == Some(2)));
    assert_eq!(engines.remove("e1", at(9), ms(40)), Change::Left);
    // What another daemon says of a leaving engine doesn't keep it.
    engines.upsert(written(2, 12), ms(50));
    engines.mark_draining(key, at(20));
    assert_eq!(engines.remove("e1", at(15), ms(60)), Change::Left);
}

/// Guards against rows of a restored store that are ordered by their versions alone.
#[test]
fn entry_of_a_later_era_is_newer_whatever_its_version() {
    let in_era = |era, version, stage| {
        let position = Position { era, version };
        Entry { position, stage, ..entry("e1", &[], &[]) }
    };
    let mut engines = engines(&[in_era(1, 90, Stage::Ready)]);
    // The copy has a row that was written before the known one.
    assert_eq!(engines.upsert(in_era(1, 40, Stage::Draining), ms(10)), Change::Same);
    assert_eq!(engines.upsert(in_era(2, 50, Stage::Draining), ms(20)), Change::Left);
    assert_eq!(engines.apply_relayed(in_era(1, 95, Stage::Ready), ms(30)), Change::Same);
    let removal = Position { era: 2, version: 60 };
    assert_eq!(engines.remove("e1", removal, ms(40)), Change::Left);
    assert_eq!(engines.apply_relayed(in_era(1, 95, Stage::Ready), ms(50)), Change::Same);
    assert_eq!(engines.upsert(in_era(2, 61, Stage::Ready), ms(60)), Change::Added);
}

/// Guards against a drain that a copy lacks, and which ended before the operator wrote it again.
#[test]
fn drained_zone_that_a_copy_lacks_stays_drained_for_the_grace_period() {
    let mut engines = engines(&[entry("e1", &[], &[])]);
    let zone = engines.get(engine(&engines, "e1")).expect("it is listed").zone;
    engines.drain_zone("a", true);
    engines.begin_recovery(ms(0));
    engines.drain_zones([]);
    assert!(engines.is_drained(zone));
    engines.expire_missing(ms(2_000));
    assert!(engines.is_drained(zone));
    engines.expire_missing(ms(2_300));
    assert!(!engines.is_drained(zone));
    // The operator ends it within the period.
    engines.drain_zone("a", true);
    engines.begin_recovery(ms(3_000));
    engines.drain_zones([]);
    engines.drain_zone("a", false);
    assert!(!engines.is_drained(zone));
}
