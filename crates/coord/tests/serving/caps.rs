//! Tests of rate limits for teams over the whole fleet.

use std::time::Duration;

use corianderyoke_coord::serving::caps::RelayReport;
use corianderyoke_coord::serving::caps::TeamBucket;
use corianderyoke_coord::serving::caps::Tolerance;
use corianderyoke_coord::serving::desired::Cap;
use corianderyoke_coord::time::MAX_DURATION;
use proptest::prelude::*;

use crate::fixtures::ms;

const CAP: Cap = Cap { rate: 1_000.0, burst: 2_000.0 };

#[test]
fn refusal_returns_time_until_tokens_are_available() {
    let mut bucket = TeamBucket::new(CAP, Tolerance::default(), true, ms(0));
    assert_eq!(bucket.admit(2_000, 1.0, ms(0)), Ok(()));
    assert_eq!(bucket.admit(500, 1.0, ms(0)), Err(Duration::from_millis(500)));
    assert_eq!(bucket.admit(500, 1.0, ms(500)), Ok(()));
}

#[test]
fn request_above_burst_is_admitted_when_bucket_is_full() {
    let mut bucket = TeamBucket::new(CAP, Tolerance::default(), true, ms(0));
    assert_eq!(bucket.admit(5_000, 1.0, ms(0)), Ok(()));
    // The bucket is in debt for the tokens above its burst.
    assert!(bucket.admit(1, 1.0, ms(2_900)).is_err());
    assert_eq!(bucket.admit(1, 1.0, ms(3_100)), Ok(()));
}

#[test]
fn repeated_peer_total_is_deducted_once() {
    let mut bucket = TeamBucket::new(CAP, Tolerance::default(), true, ms(0));
    bucket.record_peer_total("d2", 1, 0);
    for _ in 0..3 {
        bucket.record_peer_total("d2", 1, 1_500);
    }
    assert!(bucket.admit(600, 1.0, ms(0)).is_err());
    assert_eq!(bucket.admit(500, 1.0, ms(0)), Ok(()));
}

#[test]
fn first_peer_total_counts_only_in_new_fleet() {
    // Relays report only totals that changed, so the first reported total may be above zero.
    let mut bucket = TeamBucket::new(CAP, Tolerance::default(), true, ms(0));
    bucket.record_peer_total("d2", 1, 1_500);
    assert!(bucket.admit(600, 1.0, ms(0)).is_err());
    // A restarted daemon doesn't know when its peers admitted the tokens that they report.
    let mut bucket = TeamBucket::new(CAP, Tolerance::default(), false, ms(0));
    bucket.record_peer_total("d2", 1, 900_000);
    assert_eq!(bucket.admit(400, 1.0, ms(0)), Ok(()));
}

/// Guards against sums of reported totals and waits that can't be represented.
#[test]
fn totals_out_of_range_saturate() {
    let cap = Cap { rate: 1e-3, burst: 10.0 };
    let mut bucket = TeamBucket::new(cap, Tolerance::default(), true, ms(0));
    assert_eq!(bucket.admit(u64::MAX, 1.0, ms(0)), Ok(()));
    assert_eq!(bucket.total(), i64::MAX);
    assert_eq!(bucket.admit(1, 1.0, ms(1)), Err(MAX_DURATION));
    for total in [i64::MAX, i64::MIN, i64::MAX] {
        bucket.record_peer_total("d2", 1, total);
        bucket.record_peer_total("d3", 1, total);
    }
    for (sum, level) in [(i64::MAX, i64::MIN), (i64::MIN, i64::MAX), (i64::MAX, 0)] {
        bucket.apply_relay_report(relay_report(sum, level), 1.0, ms(2));
    }
    bucket.refund(u64::MAX, ms(3));
    bucket.refund(u64::MAX, ms(4));
    bucket.level(1.0, ms(5));
    bucket.known_total();
}

fn relay_report(sum: i64, level: i64) -> RelayReport {
    RelayReport { relay: "r".to_owned(), incarnation: 1, sum, level }
}

#[test]
fn relay_level_limits_restarted_daemon() {
    let mut bucket = TeamBucket::new(CAP, Tolerance::default(), false, ms(0));
    bucket.apply_relay_report(relay_report(0, 100), 1.0, ms(0));
    assert!(bucket.admit(200, 1.0, ms(0)).is_err());
    assert_eq!(bucket.admit(100, 1.0, ms(0)), Ok(()));
    // A later report with a higher level doesn't return tokens that the relay hasn't counted yet.
    bucket.apply_relay_report(relay_report(0, 2_000), 1.0, ms(0));
    assert!(bucket.admit(200, 1.0, ms(0)).is_err());
}

#[test]
fn relay_sum_is_deducted_once_and_refunds_are_returned() {
    let cap = Cap { rate: 0.0, ..CAP };
    let mut bucket = TeamBucket::new(cap, Tolerance::default(), true, ms(0));
    let full = bucket.level(1.0, ms(0));
    bucket.apply_relay_report(relay_report(10_000, full), 1.0, ms(0));
    assert_eq!(bucket.admit(300, 1.0, ms(10)), Ok(()));
    // The sum contains 500 tokens admitted by others and 300 by this daemon.
    bucket.apply_relay_report(relay_report(10_800, full), 1.0, ms(600));
    assert_eq!(bucket.level(1.0, ms(600)), full - 800);
    bucket.apply_relay_report(relay_report(10_800, full), 1.0, ms(800));
    assert_eq!(bucket.level(1.0, ms(800)), full - 800);
    // 200 of the other daemons' 500 tokens were refunded.
    bucket.apply_relay_report(relay_report(10_600, full), 1.0, ms(1_000));
    assert_eq!(bucket.level(1.0, ms(1_000)), full - 600);
    // The sum of a restarted relay starts at another value.
    let again = RelayReport { incarnation: 2, ..relay_report(0, full) };
    bucket.apply_relay_report(again, 1.0, ms(1_200));
    assert_eq!(bucket.level(1.0, ms(1_200)), full - 600);
}

#[test]
fn role_change_between_relay_and_member_deducts_nothing_twice() {
    let cap = Cap { rate: 0.0, ..CAP };
    let mut bucket = TeamBucket::new(cap, Tolerance::default(), true, ms(0));
    let full = bucket.level(1.0, ms(0));
    bucket.apply_relay_report(relay_report(9_000, full), 1.0, ms(0));
    bucket.apply_relay_report(relay_report(9_100, full), 1.0, ms(200));
    // The daemon now receives reports itself. Their first totals were part of the relay's sum.
    bucket.record_peer_total("d2", 1, 9_100);
    assert_eq!(bucket.level(1.0, ms(300)), full - 100);
    bucket.record_peer_total("d2", 1, 9_300);
    assert_eq!(bucket.level(1.0, ms(400)), full - 300);
    // The daemon depends on a relay again.
    bucket.apply_relay_report(relay_report(9_400, full), 1.0, ms(600));
    assert_eq!(bucket.level(1.0, ms(600)), full - 300);
    bucket.record_peer_total("d2", 1, 9_900);
    assert_eq!(bucket.level(1.0, ms(700)), full - 300);
}

#[test]
fn idle_time_before_relay_report_adds_no_tokens_to_its_level() {
    let mut bucket = TeamBucket::new(CAP, Tolerance::default(), true, ms(0));
    assert_eq!(bucket.admit(2_000, 1.0, ms(0)), Ok(()));
    // A busy team used up the whole limit on other daemons.
    bucket.apply_relay_report(relay_report(9_000, 0), 1.0, ms(1_500));
    assert!(bucket.admit(100, 1.0, ms(1_500)).is_err());
    assert_eq!(bucket.admit(100, 1.0, ms(1_600)), Ok(()));
}

#[test]
fn total_of_restarted_peer_starts_at_zero() {
    let mut bucket = TeamBucket::new(CAP, Tolerance::default(), true, ms(0));
    bucket.record_peer_total("d2", 1, 0);
    bucket.record_peer_total("d2", 1, 1_000);
    bucket.record_peer_total("d2", 2, 400);
    assert!(bucket.admit(700, 1.0, ms(0)).is_err());
    assert_eq!(bucket.admit(600, 1.0, ms(0)), Ok(()));
}

#[test]
fn refund_returns_tokens() {
    let mut bucket = TeamBucket::new(CAP, Tolerance::default(), true, ms(0));
    assert_eq!(bucket.admit(2_000, 1.0, ms(0)), Ok(()));
    bucket.refund(2_000, ms(0));
    assert_eq!(bucket.total(), 0);
    assert_eq!(bucket.admit(2_000, 1.0, ms(0)), Ok(()));
}

#[test]
fn half_live_fraction_refills_at_half_rate() {
    let mut bucket = TeamBucket::new(CAP, Tolerance::default(), true, ms(0));
    assert_eq!(bucket.admit(2_000, 0.5, ms(0)), Ok(()));
    assert!(bucket.admit(600, 0.5, ms(1_000)).is_err());
    assert_eq!(bucket.admit(500, 0.5, ms(1_000)), Ok(()));
}

#[test]
fn request_within_tolerance_is_admitted() {
    let tolerance = Tolerance { overage: 0.1, slack: 1_000.0 };
    let mut bucket = TeamBucket::new(CAP, tolerance, true, ms(0));
    assert_eq!(bucket.admit(2_500, 1.0, ms(0)), Ok(()));
    assert!(bucket.admit(800, 1.0, ms(0)).is_err());
}

/// Generates requests for tokens as time in milliseconds, daemon and number of tokens.
fn requests() -> impl Strategy<Value = Vec<(u64, usize, u64)>> {
    prop::collection::vec((0_u64..10_000, 0_usize..3, 1_u64..400), 1..400)
}

/// Three daemons that report their totals to each other.
struct Fleet {
    buckets: [TeamBucket; 3],
    reported_at: u64,
}

impl Fleet {
    /// Delivers every total to every other daemon.
    fn exchange_totals(&mut self) {
        let totals = [0, 1, 2].map(|index: usize| self.buckets[index].total());
        for (receiver, bucket) in self.buckets.iter_mut().enumerate() {
            for (sender, total) in totals.iter().enumerate().filter(|(other, _)| *other != receiver)
            {
                bucket.record_peer_total(["d0", "d1", "d2"][sender], 1, *total);
            }
        }
    }
}

proptest! {
    // Load of a busy team. Daemons report every 200 ms, or after 10 ms while a bucket is low.
    #[test]
    fn fleet_stays_within_cap_and_tolerance_over_every_window(mut requests in requests()) {
        requests.sort();
        let tolerance = Tolerance { overage: 0.1, slack: 2_500.0 };
        let fresh = || TeamBucket::new(CAP, tolerance, true, ms(0));
        let mut fleet = Fleet { buckets: [fresh(), fresh(), fresh()], reported_at: 0 };
        fleet.exchange_totals();
        let mut admitted: Vec<(u64, u64)> = Vec::new();
        for (at, daemon, tokens) in requests {
            let low = fleet.buckets.iter().any(TeamBucket::is_low);
            let every = if low { 10 } else { 200 };
            if fleet.reported_at + every <= at {
                fleet.reported_at = at;
                fleet.exchange_totals();
            }
            if fleet.buckets[daemon].admit(tokens, 1.0, ms(at)).is_ok() {
                admitted.push((at, tokens));
            }
        }
        for (start, _) in &admitted {
            let window = admitted.iter().filter(|(at, _)| (*start..start + 3_000).contains(at));
            let sum: u64 = window.map(|(_, tokens)| tokens).sum();
            // Rate times window, plus burst, both with the overage; plus the slack.
            let bound = (1_000.0 * 3.0 + 2_000.0) * 1.1 + 2_500.0;
            prop_assert!(sum as f64 <= bound, "{sum} tokens in a window, {bound} allowed");
        }
    }
}
