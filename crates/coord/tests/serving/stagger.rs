//! Tests of the spread of calls over time.

use std::time::Duration;

use corianderyoke_coord::serving::stagger::Slot;

const SPAN: Duration = Duration::from_secs(4);

/// Guards against daemons that call the store again together once an outage ends.
#[test]
fn calls_of_all_daemons_are_evenly_spaced() {
    for size in [1, 8, 80, 195, 510] {
        let delays: Vec<Duration> = (0..size).map(|rank| Slot { rank, size }.delay(SPAN)).collect();
        let gap = SPAN / u32::try_from(size).expect("a small number");
        for pair in delays.windows(2) {
            assert!((pair[1] - pair[0]).abs_diff(gap) < Duration::from_micros(1), "{pair:?}");
        }
        let mean = delays.iter().sum::<Duration>() / u32::try_from(size).expect("a small number");
        assert!(mean.abs_diff(SPAN / 2) < Duration::from_micros(1), "{mean:?}");
    }
}

#[test]
fn backoff_is_shortened_by_at_most_half() {
    for rank in 0..195 {
        let backoff = Slot { rank, size: 195 }.backoff(SPAN);
        assert!(backoff > SPAN / 2 && backoff < SPAN, "{backoff:?}");
    }
}

#[test]
fn rank_beyond_the_known_fleet_counts_as_the_last_one() {
    assert_eq!(Slot { rank: 9, size: 8 }.delay(SPAN), Slot { rank: 7, size: 8 }.delay(SPAN));
    assert_eq!(Slot { rank: 0, size: 0 }.delay(SPAN), SPAN / 2);
}
