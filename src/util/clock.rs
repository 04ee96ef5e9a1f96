//! The process's monotonic clock as the coordination library wants it.

use std::sync::OnceLock;
use std::time::Instant;

use corianderyoke_coord::time::Tick;

static ORIGIN: OnceLock<Instant> = OnceLock::new();

/// Microseconds since the first call in this process, plus one second so that a reader may
/// subtract small spans from the first ticks.
pub fn now() -> Tick {
    let origin = *ORIGIN.get_or_init(Instant::now);
    let micros = origin.elapsed().as_micros() as u64;
    Tick(micros + 1_000_000)
}
