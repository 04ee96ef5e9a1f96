//! Monotonic time as the driver passes it in; the crate uses no other clock.

use std::ops::Add;
use std::time::Duration;

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
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Tick(self.0.saturating_add(micros))
    }
}
