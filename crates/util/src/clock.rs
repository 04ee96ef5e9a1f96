//! The process's monotonic clock as the coordination library wants it.

use std::sync::OnceLock;
use std::time::Duration;

use corianderyoke_coord::time::Tick;
use nix::time::clock_gettime;
use nix::time::ClockId;

static ORIGIN: OnceLock<Duration> = OnceLock::new();

/// Microseconds since the first call in this process, plus one second so that a reader may
/// subtract small spans from the first ticks.
///
/// The clock goes on while the instance is suspended, so that a lease can't outlive a pause.
pub fn now() -> Tick {
    let now = since_boot();
    let origin = *ORIGIN.get_or_init(|| now);
    let micros = now.saturating_sub(origin).as_micros() as u64;
    Tick(micros + 1_000_000)
}

/// Time since the instance's start, suspension included.
fn since_boot() -> Duration {
    // Linux has had this clock since 2.6.39; a system without it can't run the daemons.
    clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(Duration::ZERO, Duration::from)
}
