//! The load that an engine reports, which lags behind the current one by a set time.

use std::collections::VecDeque;
use std::sync::Weak;
use std::time::Duration;
use std::time::Instant;

use rocket::tokio::time::sleep;
use serde::Deserialize;
use serde::Serialize;

use super::server::Engine;

/// Shortest interval between two samples.
const MIN_SAMPLE_INTERVAL: Duration = Duration::from_millis(5);
/// Samples taken per lag period.
const SAMPLES_PER_LAG: u32 = 4;

/// Answer of `GET /load`.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Load {
    /// Age of this sample in milliseconds.
    pub age_ms: u64,
    /// Number of running requests.
    pub running: usize,
    /// Number of queued requests.
    pub waiting: usize,
    /// Time to generate one token, in milliseconds.
    pub token_ms: f64,
}

/// Past samples of the load, oldest first.
#[derive(Debug, Default)]
pub(crate) struct LoadHistory {
    samples: VecDeque<(Instant, Load)>,
    /// Whether the engine has crashed or been stopped.
    pub dead: bool,
}

impl LoadHistory {
    /// Returns the newest sample that is at least `lag` old, or else the oldest sample.
    pub fn lagged_load(&self, lag: Duration) -> Load {
        let lagged = self.samples.iter().rev().find(|(sampled_at, _)| sampled_at.elapsed() >= lag);
        let Some((sampled_at, load)) = lagged.or(self.samples.front()) else {
            return Load::default();
        };
        let age_ms = u64::try_from(sampled_at.elapsed().as_millis()).unwrap_or(u64::MAX);
        Load { age_ms, ..*load }
    }

    fn push(&mut self, load: Load, lag: Duration) {
        self.samples.push_back((Instant::now(), load));
        // Reports need only one sample that is older than the lag.
        while self.samples.get(1).is_some_and(|(sampled_at, _)| sampled_at.elapsed() > lag) {
            self.samples.pop_front();
        }
    }
}

/// Samples the engine's load periodically until the engine is dropped.
pub(crate) async fn run_sampler(engine: Weak<Engine>) {
    loop {
        let Some(engine) = engine.upgrade() else {
            return;
        };
        let lag = engine.settings.load_lag;
        let load = engine.current_load();
        engine.load.lock().push(load, lag);
        drop(engine);
        sleep((lag / SAMPLES_PER_LAG).max(MIN_SAMPLE_INTERVAL)).await;
    }
}

impl Engine {
    /// The current load, without lag.
    pub fn current_load(&self) -> Load {
        let batch = self.batch.lock();
        let token_ms = batch.token_time(&self.settings.pace).as_secs_f64() * 1000.0;
        Load { age_ms: 0, running: batch.running(), waiting: batch.waiting(), token_ms }
    }
}
