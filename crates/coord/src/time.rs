//! Monotonic time as the driver passes it in; the crate uses no other clock.

use std::ops::Add;
use std::ops::Sub;
use std::time::Duration;

/// Longest duration that is accepted from outside. Sums and multiples of a few such durations can be
/// represented, also when they are added to an instant.
pub const MAX_DURATION: Duration = Duration::from_secs(365 * 24 * 60 * 60);

/// Returns a duration of so many seconds, or `None` if they are negative, not a number or more than
/// [`MAX_DURATION`].
pub fn seconds(value: f64) -> Option<Duration> {
    Duration::try_from_secs_f64(value).ok().filter(|duration| *duration <= MAX_DURATION)
}

/// Returns a duration of so many milliseconds, as [`seconds`] does.
pub fn millis(value: f64) -> Option<Duration> {
    seconds(value / 1e3)
}

/// Returns the duration closest to so many seconds among those up to [`MAX_DURATION`]. What isn't a
/// number counts as zero.
pub fn saturating_seconds(value: f64) -> Duration {
    Duration::from_secs_f64(value.max(0.0).min(MAX_DURATION.as_secs_f64()))
}

/// Microseconds since an arbitrary origin on the driver's monotonic clock.
///
/// Ticks of different processes are never compared; processes only exchange durations.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Tick(pub u64);

impl Tick {
    /// Time from `earlier` to `self`, or zero when `earlier` is later.
    pub fn since(self, earlier: Tick) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Tick {
    type Output = Tick;

    fn add(self, duration: Duration) -> Tick {
        Tick(self.0.saturating_add(micros(duration)))
    }
}

impl Sub<Duration> for Tick {
    type Output = Tick;

    fn sub(self, duration: Duration) -> Tick {
        Tick(self.0.saturating_sub(micros(duration)))
    }
}

/// Returns a duration in microseconds, or the most that a tick can hold.
fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
