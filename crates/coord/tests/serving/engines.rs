//! Engines as the platform lists them.

use std::time::Duration;

use corianderyoke_coord::serving::engines::Change;
use corianderyoke_coord::serving::engines::Entry;
use corianderyoke_coord::serving::engines::Stage;

use crate::world::engine;
use crate::world::engines;
use crate::world::entry;
use crate::world::model;
use crate::world::ms;
use crate::world::SERVICE;

#[test]
fn a_draining_engine_gets_nothing_new() {
    let mut engines = engines(&[entry("e1", &[], &[]), entry("e2", &[], &[])]);
    let leaving = Entry { stage: Stage::Draining, ..entry("e1", &[], &[]) };
    assert_eq!(engines.list(leaving, ms(10)), Change::Left);
    assert_eq!(engines.usable(SERVICE, ms(20)), [engine(&engines, "e2")]);
}

#[test]
fn engines_of_a_drained_zone_get_nothing_new_until_it_is_back() {
    let far = Entry { zone: "b".to_owned(), ..entry("e2", &[], &[]) };
    let mut engines = engines(&[entry("e1", &[], &[]), far]);
    engines.drain_zone("b", true);
    assert_eq!(engines.usable(SERVICE, ms(0)).len(), 1);
    engines.drain_zone("b", false);
    assert_eq!(engines.usable(SERVICE, ms(0)).len(), 2);
}

#[test]
fn an_entry_that_lapsed_in_an_outage_has_its_time_to_come_back() {
    let mut engines = engines(&[entry("e1", &[], &[]), entry("e2", &[], &[])]);
    engines.recover(ms(0));
    assert_eq!(engines.unlist("e1", ms(100)), Change::Same);
    assert_eq!(engines.unlist("e2", ms(100)), Change::Same);
    engines.list(entry("e1", &[], &[]), ms(1_500));
    assert!(engines.expire(ms(2_100)).is_empty());
    assert_eq!(engines.expire(ms(2_300)), [engine(&engines, "e2")]);
    assert_eq!(engines.usable(SERVICE, ms(2_300)), [engine(&engines, "e1")]);
    // Later an entry that goes means that the engine went.
    assert_eq!(engines.unlist("e1", ms(5_000)), Change::Left);
}

#[test]
fn an_engine_that_failed_is_passed_over_for_longer_each_time() {
    let mut engines = engines(&[entry("e1", &[], &[]), entry("e2", &[], &[])]);
    let (bad, good) = (engine(&engines, "e1"), engine(&engines, "e2"));
    engines.fail(bad, ms(0));
    assert_eq!(engines.usable(SERVICE, ms(399)), [good]);
    assert_eq!(engines.usable(SERVICE, ms(400)).len(), 2);
    engines.fail(bad, ms(400));
    assert_eq!(engines.usable(SERVICE, ms(1_199)), [good]);
    engines.succeed(bad);
    assert_eq!(engines.usable(SERVICE, ms(1_199)).len(), 2);
}

#[test]
fn engines_that_all_failed_are_used_all_the_same() {
    let mut engines = engines(&[entry("e1", &[], &[])]);
    let only = engine(&engines, "e1");
    engines.fail(only, ms(0));
    assert_eq!(engines.usable(SERVICE, ms(1)), [only]);
}

#[test]
fn a_restart_under_the_old_identity_forgets_what_was_held() {
    let mut engines = engines(&[entry("e1", &["m"], &[])]);
    let held = model(&mut engines, "m");
    let fresh = Entry { born: Some(2), ..entry("e1", &[], &["m"]) };
    assert_eq!(engines.list(fresh, ms(10)), Change::Restarted);
    let key = engine(&engines, "e1");
    let engine = engines.get(key).expect("it is listed");
    assert!(!engine.holds(held, None));
    assert_eq!(engine.orders, None);
}

#[test]
fn word_of_an_adapter_outlives_an_entry_that_is_older() {
    let mut engines = engines(&[entry("e1", &["m"], &[])]);
    let key = engine(&engines, "e1");
    let base = model(&mut engines, "m");
    let adapter = engines.names.adapter("m", "a1");
    engines.say(key, base, adapter, true, ms(0));
    engines.list(entry("e1", &["m"], &[]), ms(1_000));
    assert!(engines.get(key).is_some_and(|engine| engine.holds(base, Some(adapter))));
    engines.list(entry("e1", &["m"], &[]), ms(3_000));
    assert!(engines.get(key).is_some_and(|engine| !engine.holds(base, Some(adapter))));
}

#[test]
fn an_engine_is_cold_for_as_long_as_its_entry_says() {
    let cold = Entry { cold: Duration::from_secs(3), ..entry("e1", &[], &[]) };
    let engines = engines(&[cold]);
    let engine = engines.get(engine(&engines, "e1")).expect("it is listed");
    assert!(engine.is_cold(ms(2_999)));
    assert!(!engine.is_cold(ms(3_000)));
}
