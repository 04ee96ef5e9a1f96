//! Teams' caps over the whole fleet.

use std::time::Duration;

use corianderyoke_coord::serving::caps::RelayReport;
use corianderyoke_coord::serving::caps::TeamBucket;
use corianderyoke_coord::serving::caps::Tolerance;
use corianderyoke_coord::serving::desired::Cap;
use proptest::prelude::*;

use crate::fixtures::ms;

const CAP: Cap = Cap { rate: 1_000.0, burst: 2_000.0 };

#[test]
fn a_request_over_the_cap_is_told_when_its_tokens_are_there() {
    let mut bucket = TeamBucket::new(CAP, Tolerance::default(), true, ms(0));
    assert_eq!(bucket.admit(2_000, 1.0, ms(0)), Ok(()));
    assert_eq!(bucket.admit(500, 1.0, ms(0)), Err(Duration::from_millis(500)));
    assert_eq!(bucket.admit(500, 1.0, ms(500)), Ok(()));
}

#[test]
fn a_request_above_the_burst_goes_once_the_bucket_is_full() {
    let mut bucket = TeamBucket::new(CAP, Tolerance::default(), true, ms(0));
    assert_eq!(bucket.admit(5_000, 1.0, ms(0)), Ok(()));
    // It is in debt for what it took above its burst.
    assert!(bucket.admit(1, 1.0, ms(2_900)).is_err());
    assert_eq!(bucket.admit(1, 1.0, ms(3_100)), Ok(()));
}

#[test]
fn what_others_admitted_is_taken_once_however_often_it_is_told() {
    let mut bucket = TeamBucket::new(CAP, Tolerance::default(), true, ms(0));
    bucket.record_peer_total("d2", 1, 0);
    for _ in 0..3 {
        bucket.record_peer_total("d2", 1, 1_500);
    }
    assert!(bucket.admit(600, 1.0, ms(0)).is_err());
    assert_eq!(bucket.admit(500, 1.0, ms(0)), Ok(()));
}

#[test]
fn what_was_admitted_before_a_daemon_is_first_heard_counts_in_a_fleet_that_just_started() {
    // Relays tell totals only once they change, so the first one told is no longer zero.
    let mut bucket = TeamBucket::new(CAP, Tolerance::default(), true, ms(0));
    bucket.record_peer_total("d2", 1, 1_500);
    assert!(bucket.admit(600, 1.0, ms(0)).is_err());
    // A daemon that starts again knows nothing of when the others admitted what they tell.
    let mut bucket = TeamBucket::new(CAP, Tolerance::default(), false, ms(0));
    bucket.record_peer_total("d2", 1, 900_000);
    assert_eq!(bucket.admit(400, 1.0, ms(0)), Ok(()));
}

fn relayed(sum: i64, level: i64) -> RelayReport {
    RelayReport { relay: "r".to_owned(), incarnation: 1, sum, level }
}

#[test]
fn a_relay_that_heard_everything_bounds_what_a_daemon_that_started_again_admits() {
    let mut bucket = TeamBucket::new(CAP, Tolerance::default(), false, ms(0));
    bucket.apply_relay_report(relayed(0, 100), 1.0, ms(0));
    assert!(bucket.admit(200, 1.0, ms(0)).is_err());
    assert_eq!(bucket.admit(100, 1.0, ms(0)), Ok(()));
    // What the relay has not heard of yet doesn't come back.
    bucket.apply_relay_report(relayed(0, 2_000), 1.0, ms(0));
    assert!(bucket.admit(200, 1.0, ms(0)).is_err());
}

#[test]
fn what_a_relay_sums_up_is_taken_once_and_comes_back_where_it_did_not_run() {
    let cap = Cap { rate: 0.0, ..CAP };
    let mut bucket = TeamBucket::new(cap, Tolerance::default(), true, ms(0));
    let full = bucket.level(1.0, ms(0));
    bucket.apply_relay_report(relayed(10_000, full), 1.0, ms(0));
    assert_eq!(bucket.admit(300, 1.0, ms(10)), Ok(()));
    // Others admitted 500; this daemon's 300 are in the sum too.
    bucket.apply_relay_report(relayed(10_800, full), 1.0, ms(600));
    assert_eq!(bucket.level(1.0, ms(600)), full - 800);
    bucket.apply_relay_report(relayed(10_800, full), 1.0, ms(800));
    assert_eq!(bucket.level(1.0, ms(800)), full - 800);
    // Of the others' 500 tokens 200 came back.
    bucket.apply_relay_report(relayed(10_600, full), 1.0, ms(1_000));
    assert_eq!(bucket.level(1.0, ms(1_000)), full - 600);
    // A relay that started again counts from another sum.
    let again = RelayReport { incarnation: 2, ..relayed(0, full) };
    bucket.apply_relay_report(again, 1.0, ms(1_200));
    assert_eq!(bucket.level(1.0, ms(1_200)), full - 600);
}

#[test]
fn a_daemon_that_turns_relay_and_back_takes_nothing_twice() {
    let cap = Cap { rate: 0.0, ..CAP };
    let mut bucket = TeamBucket::new(cap, Tolerance::default(), true, ms(0));
    let full = bucket.level(1.0, ms(0));
    bucket.apply_relay_report(relayed(9_000, full), 1.0, ms(0));
    bucket.apply_relay_report(relayed(9_100, full), 1.0, ms(200));
    // It hears others itself now; the relay's sum contained what they told first.
    bucket.record_peer_total("d2", 1, 9_100);
    assert_eq!(bucket.level(1.0, ms(300)), full - 100);
    bucket.record_peer_total("d2", 1, 9_300);
    assert_eq!(bucket.level(1.0, ms(400)), full - 300);
    // Another relay hears everybody again.
    bucket.apply_relay_report(relayed(9_400, full), 1.0, ms(600));
    assert_eq!(bucket.level(1.0, ms(600)), full - 300);
    bucket.record_peer_total("d2", 1, 9_900);
    assert_eq!(bucket.level(1.0, ms(700)), full - 300);
}

#[test]
fn a_daemon_that_admitted_nothing_for_long_gains_nothing_on_top_of_a_relays_level() {
    let mut bucket = TeamBucket::new(CAP, Tolerance::default(), true, ms(0));
    assert_eq!(bucket.admit(2_000, 1.0, ms(0)), Ok(()));
    // A hot team used everything up at other daemons.
    bucket.apply_relay_report(relayed(9_000, 0), 1.0, ms(1_500));
    assert!(bucket.admit(100, 1.0, ms(1_500)).is_err());
    assert_eq!(bucket.admit(100, 1.0, ms(1_600)), Ok(()));
}

#[test]
fn a_daemon_that_started_again_counts_from_nothing() {
    let mut bucket = TeamBucket::new(CAP, Tolerance::default(), true, ms(0));
    bucket.record_peer_total("d2", 1, 0);
    bucket.record_peer_total("d2", 1, 1_000);
    bucket.record_peer_total("d2", 2, 400);
    assert!(bucket.admit(700, 1.0, ms(0)).is_err());
    assert_eq!(bucket.admit(600, 1.0, ms(0)), Ok(()));
}

#[test]
fn tokens_of_a_request_that_did_not_run_come_back() {
    let mut bucket = TeamBucket::new(CAP, Tolerance::default(), true, ms(0));
    assert_eq!(bucket.admit(2_000, 1.0, ms(0)), Ok(()));
    bucket.refund(2_000, ms(0));
    assert_eq!(bucket.total(), 0);
    assert_eq!(bucket.admit(2_000, 1.0, ms(0)), Ok(()));
}

#[test]
fn a_daemon_that_hears_half_of_the_fleet_gains_half_of_the_rate() {
    let mut bucket = TeamBucket::new(CAP, Tolerance::default(), true, ms(0));
    assert_eq!(bucket.admit(2_000, 0.5, ms(0)), Ok(()));
    assert!(bucket.admit(600, 0.5, ms(1_000)).is_err());
    assert_eq!(bucket.admit(500, 0.5, ms(1_000)), Ok(()));
}

#[test]
fn a_request_inside_the_tolerance_is_admitted() {
    let tolerance = Tolerance { overage: 0.1, slack: 1_000.0 };
    let mut bucket = TeamBucket::new(CAP, tolerance, true, ms(0));
    assert_eq!(bucket.admit(2_500, 1.0, ms(0)), Ok(()));
    assert!(bucket.admit(800, 1.0, ms(0)).is_err());
}

/// A request that asks for tokens at one of the daemons.
fn asks() -> impl Strategy<Value = Vec<(u64, usize, u64)>> {
    prop::collection::vec((0_u64..10_000, 0_usize..3, 1_u64..400), 1..400)
}

/// Three daemons that tell each other of their admissions.
struct Fleet {
    buckets: [TeamBucket; 3],
    told: u64,
}

impl Fleet {
    /// Every daemon hears the others.
    fn tell(&mut self) {
        let totals = [0, 1, 2].map(|index: usize| self.buckets[index].total());
        for (hearer, bucket) in self.buckets.iter_mut().enumerate() {
            for (teller, total) in totals.iter().enumerate().filter(|(other, _)| *other != hearer) {
                bucket.record_peer_total(["d0", "d1", "d2"][teller], 1, *total);
            }
        }
    }
}

proptest! {
    // Hot team: daemons tell each other each 200 ms, and after 10 ms where little is left.
    #[test]
    fn the_fleet_keeps_the_cap_with_its_tolerance_over_every_window(mut asks in asks()) {
        asks.sort();
        let tolerance = Tolerance { overage: 0.1, slack: 2_500.0 };
        let fresh = || TeamBucket::new(CAP, tolerance, true, ms(0));
        let mut fleet = Fleet { buckets: [fresh(), fresh(), fresh()], told: 0 };
        fleet.tell();
        let mut admitted: Vec<(u64, u64)> = Vec::new();
        for (at, daemon, tokens) in asks {
            let low = fleet.buckets.iter().any(TeamBucket::is_low);
            let every = if low { 10 } else { 200 };
            if fleet.told + every <= at {
                fleet.told = at;
                fleet.tell();
            }
            if fleet.buckets[daemon].admit(tokens, 1.0, ms(at)).is_ok() {
                admitted.push((at, tokens));
            }
        }
        for (start, _) in &admitted {
            let window = admitted.iter().filter(|(at, _)| (*start..start + 3_000).contains(at));
            let sum: u64 = window.map(|(_, tokens)| tokens).sum();
            // Rate, window and burst with the overage, and the slack.
            let bound = (1_000.0 * 3.0 + 2_000.0) * 1.1 + 2_500.0;
            prop_assert!(sum as f64 <= bound, "{sum} tokens in a window, {bound} allowed");
        }
    }
}
