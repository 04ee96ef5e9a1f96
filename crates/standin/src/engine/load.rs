//! The load that an engine reports, which lags.

use std::collections::VecDeque;
use std::sync::Weak;
use std::time::Duration;
use std::time::Instant;

use rocket::tokio::time::sleep;
use serde::Deserialize;
use serde::Serialize;

use super::server::Engine;

/// Shortest time between two samples.
const SAMPLE_FLOOR: Duration = Duration::from_millis(5);
/// Samples within one lag.
const SAMPLES_PER_LAG: u32 = 4;

/// Answer of `GET /load`.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Load {
    /// Age of the figures in milliseconds.
    pub age_ms: u64,
    /// Requests that ran.
    pub running: usize,
    /// Requests that waited.
    pub waiting: usize,
    /// Time of a token in milliseconds.
    pub token_ms: f64,
}

/// Past samples of the load, oldest first.
#[derive(Debug, Default)]
pub(crate) struct LoadLog {
    samples: VecDeque<(Instant, Load)>,
    pub dead: bool,
}

impl LoadLog {
    /// The youngest sample that is at least `lag` old; before there is one, the oldest.
    pub fn report(&self, lag: Duration) -> Load {
        let old = self.samples.iter().rev().find(|(taken, _)| taken.elapsed() >= lag);
        let Some((taken, load)) = old.or(self.samples.front()) else {
            return Load::default();
        };
        let age_ms = u64::try_from(taken.elapsed().as_millis()).unwrap_or(u64::MAX);
        Load { age_ms, ..*load }
    }

    fn push(&mut self, load: Load, lag: Duration) {
        self.samples.push_back((Instant::now(), load));
        // One sample older than the lag is all that a report needs.
        while self.samples.get(1).is_some_and(|(taken, _)| taken.elapsed() > lag) {
            self.samples.pop_front();
        }
    }
}

/// Takes samples until the engine is gone.
pub(crate) async fn sample(engine: Weak<Engine>) {
    loop {
        let Some(engine) = engine.upgrade() else {
            return;
        };
        let lag = engine.settings.load_lag;
        let load = engine.current_load();
        engine.load.lock().push(load, lag);
        drop(engine);
        sleep((lag / SAMPLES_PER_LAG).max(SAMPLE_FLOOR)).await;
    }
}

impl Engine {
    /// The load as it is now.
    pub fn current_load(&self) -> Load {
        let batch = self.batch.lock();
        let token_ms = batch.token_time(&self.settings.pace).as_secs_f64() * 1000.0;
        Load { age_ms: 0, running: batch.running(), waiting: batch.waiting(), token_ms }
    }
}
