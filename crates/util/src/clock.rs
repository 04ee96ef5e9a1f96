//! The process's monotonic clock, in the ticks of the coordination library.

use std::sync::OnceLock;
use std::time::Duration;

use corianderyoke_coord::time::Tick;
use nix::time::clock_gettime;
use nix::time::ClockId;

static ORIGIN: OnceLock<Duration> = OnceLock::new();

/// Microseconds since the first call in this process, plus one second, so that callers can subtract
/// short durations from early ticks.
///
/// The clock advances while the instance is suspended, so that a lease can't outlive a suspension.
pub fn now() -> Tick {
    let now = since_boot();
    let origin = *ORIGIN.get_or_init(|| now);
    let micros = now.saturating_sub(origin).as_micros() as u64;
    Tick(micros + 1_000_000)
}

/// Time since the instance booted, including time suspended.
fn since_boot() -> Duration {
    // Linux provides this clock since 2.6.39; the daemons don't support systems without it.
    clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(Duration::ZERO, Duration::from)
}
