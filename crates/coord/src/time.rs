//! The one notion of time in this crate: a monotonic instant passed in by the driver.

use std::ops::Add;
use std::time::Duration;

/// Microseconds since an origin that the driver chose, on its monotonic clock.
///
/// Ticks of two processes are never compared; only spans cross between processes.
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

    fn add(self, span: Duration) -> Tick {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Tick(self.0.saturating_add(micros))
    }
}
