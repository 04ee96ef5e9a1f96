//! Conversions of numbers from outside to durations.

use std::time::Duration;

use corianderyoke_coord::time;
use corianderyoke_coord::time::Tick;
use corianderyoke_coord::time::MAX_DURATION;

/// Numbers that are no duration.
const ODD: [f64; 7] = [-1.0, -1e300, f64::NEG_INFINITY, f64::NAN, f64::INFINITY, 1e300, 1e19];

#[test]
fn only_durations_in_range_are_converted() {
    assert_eq!(time::seconds(1.5), Some(Duration::from_millis(1_500)));
    assert_eq!(time::millis(1.5), Some(Duration::from_micros(1_500)));
    assert_eq!(time::seconds(MAX_DURATION.as_secs_f64()), Some(MAX_DURATION));
    assert_eq!(time::seconds(MAX_DURATION.as_secs_f64() + 1.0), None);
    for value in ODD {
        assert_eq!((time::seconds(value), time::millis(value)), (None, None), "{value}");
    }
}

#[test]
fn saturating_conversion_returns_the_closest_duration() {
    let converted = ODD.map(time::saturating_seconds);
    let max = MAX_DURATION;
    assert_eq!(converted, [Duration::ZERO; 4].into_iter().chain([max; 3]).collect::<Vec<_>>()[..]);
    assert_eq!(time::saturating_seconds(1.5), Duration::from_millis(1_500));
}

#[test]
fn ticks_saturate() {
    assert_eq!(Tick(1) + Duration::MAX, Tick(u64::MAX));
    assert_eq!(Tick(u64::MAX) + Duration::from_secs(1), Tick(u64::MAX));
    assert_eq!(Tick(7) - Duration::from_micros(5), Tick(2));
    assert_eq!(Tick(7) - Duration::from_secs(1), Tick(0));
    assert_eq!(Tick(u64::MAX) - Duration::MAX, Tick(0));
    assert_eq!(Tick(1).since(Tick(u64::MAX)), Duration::ZERO);
}
