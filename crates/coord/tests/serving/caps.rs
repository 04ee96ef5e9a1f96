//! Teams' caps over the whole fleet.

use std::time::Duration;

use corianderyoke_coord::serving::caps::TeamBucket;
use corianderyoke_coord::serving::desired::Cap;
use proptest::prelude::*;

use crate::world::ms;

const CAP: Cap = Cap { rate: 1_000.0, burst: 2_000.0 };

#[test]
fn a_request_over_the_cap_is_told_when_its_tokens_are_there() {
    let mut bucket = TeamBucket::new(CAP, 0.0, true, ms(0));
    assert_eq!(bucket.admit(2_000, 1.0, ms(0)), Ok(()));
    assert_eq!(bucket.admit(500, 1.0, ms(0)), Err(Duration::from_millis(500)));
    assert_eq!(bucket.admit(500, 1.0, ms(500)), Ok(()));
}

#[test]
fn a_request_above_the_burst_goes_once_the_bucket_is_full() {
    let mut bucket = TeamBucket::new(CAP, 0.0, true, ms(0));
    assert_eq!(bucket.admit(5_000, 1.0, ms(0)), Ok(()));
    // It is in debt for what it took above its burst.
    assert!(bucket.admit(1, 1.0, ms(2_900)).is_err());
    assert_eq!(bucket.admit(1, 1.0, ms(3_100)), Ok(()));
}

#[test]
fn what_others_admitted_is_taken_once_however_often_it_is_told() {
    let mut bucket = TeamBucket::new(CAP, 0.0, true, ms(0));
    bucket.hear("d2", 1, 0);
    for _ in 0..3 {
        bucket.hear("d2", 1, 1_500);
    }
    assert!(bucket.admit(600, 1.0, ms(0)).is_err());
    assert_eq!(bucket.admit(500, 1.0, ms(0)), Ok(()));
}

#[test]
fn a_daemon_that_started_again_counts_from_nothing() {
    let mut bucket = TeamBucket::new(CAP, 0.0, true, ms(0));
    bucket.hear("d2", 1, 0);
    bucket.hear("d2", 1, 1_000);
    bucket.hear("d2", 2, 400);
    assert!(bucket.admit(700, 1.0, ms(0)).is_err());
    assert_eq!(bucket.admit(600, 1.0, ms(0)), Ok(()));
}

#[test]
fn tokens_of_a_request_that_did_not_run_come_back() {
    let mut bucket = TeamBucket::new(CAP, 0.0, true, ms(0));
    assert_eq!(bucket.admit(2_000, 1.0, ms(0)), Ok(()));
    bucket.refund(2_000);
    assert_eq!(bucket.total(), 0);
    assert_eq!(bucket.admit(2_000, 1.0, ms(0)), Ok(()));
}

#[test]
fn a_daemon_that_hears_half_of_the_fleet_gains_half_of_the_rate() {
    let mut bucket = TeamBucket::new(CAP, 0.0, true, ms(0));
    assert_eq!(bucket.admit(2_000, 0.5, ms(0)), Ok(()));
    assert!(bucket.admit(600, 0.5, ms(1_000)).is_err());
    assert_eq!(bucket.admit(500, 0.5, ms(1_000)), Ok(()));
}

/// A request that asks for tokens at one of the daemons.
fn asks() -> impl Strategy<Value = Vec<(u64, usize, u64)>> {
    prop::collection::vec((0_u64..10_000, 0_usize..3, 1_u64..800), 1..400)
}

proptest! {
    // Three daemons that hear each other each 200 ms admit no more over any window than rate,
    // burst and what can arrive between two words.
    #[test]
    fn the_fleet_keeps_the_cap_over_every_window(mut asks in asks()) {
        asks.sort();
        let fresh = || TeamBucket::new(CAP, 0.0, true, ms(0));
        let mut buckets = [fresh(), fresh(), fresh()];
        let names = ["d0", "d1", "d2"];
        let mut admitted: Vec<(u64, u64)> = Vec::new();
        let mut between = 0;
        let mut most_between = 0;
        let mut told = 0;
        for (at, daemon, tokens) in asks {
            while told + 200 <= at {
                told += 200;
                most_between = most_between.max(between);
                between = 0;
                let totals = [0, 1, 2].map(|index: usize| buckets[index].total());
                for (hearer, bucket) in buckets.iter_mut().enumerate() {
                    for (teller, total) in totals.iter().enumerate() {
                        if hearer != teller {
                            bucket.hear(names[teller], 1, *total);
                        }
                    }
                }
            }
            if buckets[daemon].admit(tokens, 1.0, ms(at)).is_ok() {
                admitted.push((at, tokens));
                between += tokens;
            }
        }
        most_between = most_between.max(between);
        for (start, _) in &admitted {
            let window = admitted.iter().filter(|(at, _)| (*start..=start + 3_000).contains(at));
            let sum: u64 = window.map(|(_, tokens)| tokens).sum();
            // A daemon that is the first to tell is heard from its next word on.
            let bound = 2_000 + 3 * 1_000 + 2 * most_between;
            prop_assert!(sum <= bound, "{sum} tokens in a window, {bound} allowed");
        }
    }
}
