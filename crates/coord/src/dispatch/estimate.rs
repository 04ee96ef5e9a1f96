//! Estimates of service spans and of waits.

use std::time::Duration;

use super::Dispatcher;
use super::Model;
use crate::keys::TeamKey;
use crate::time::Tick;

/// Running mean and mean deviation, in microseconds.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Estimate {
    mean: f64,
    deviation: f64,
    samples: u64,
}

/// Weight of a new sample.
const GAIN: f64 = 0.05;

/// Deviations above the mean that a careful estimate adds.
const CAREFUL: f64 = 3.0;

/// Spans per token are kept in this many parts of a microsecond.
const TOKEN_SCALE: u32 = 1000;

impl Estimate {
    /// Takes a sample.
    pub(super) fn note(&mut self, span: Duration) {
        let sample = span.as_micros() as f64;
        self.samples += 1;
        let gain = GAIN.max(1.0 / self.samples as f64);
        let error = sample - self.mean;
        self.mean += gain * error;
        self.deviation += gain * (error.abs() - self.deviation);
    }

    /// The mean; zero without samples.
    pub(super) fn mean(&self) -> Duration {
        Duration::from_micros(self.mean as u64)
    }

    /// A span that most samples stay below; zero without samples.
    pub(super) fn careful(&self) -> Duration {
        if self.samples < 2 {
            return self.mean();
        }
        Duration::from_micros((self.mean + CAREFUL * self.deviation) as u64)
    }
}

/// Span of a model's requests from start to end, as a whole and per reserved token.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Service {
    whole: Estimate,
    token: Estimate,
}

impl Service {
    /// Takes a request's span.
    pub(super) fn note(&mut self, span: Duration, cost: u64) {
        self.whole.note(span);
        self.token.note(span * TOKEN_SCALE / u32::try_from(cost.max(1)).unwrap_or(u32::MAX));
    }

    /// The mean span; zero without samples.
    pub(super) fn mean(&self) -> Duration {
        self.whole.mean()
    }

    /// A span that most requests of this cost stay below: short requests aren't judged by the long
    /// ones, and long ones not by what they reserve beyond their use.
    pub(super) fn careful(&self, cost: u64) -> Duration {
        let cost = u32::try_from(cost).unwrap_or(u32::MAX);
        let by_token = self.token.careful().saturating_mul(cost) / TOKEN_SCALE;
        self.whole.careful().min(by_token)
    }
}

impl Model {
    /// Span from the start of one request to the start of the next, when all slots are in use.
    fn pace(&self, start: u32) -> Duration {
        let others = self.occupied.saturating_sub(self.in_use);
        let slots = self.bound.saturating_sub(others).max(start).max(1);
        self.service.mean() / slots
    }

    /// Requests that start before a new one of `team` which has to start by `latest`.
    fn ahead(&self, team: TeamKey, latest: Tick) -> usize {
        let own = self.queue.ahead(team, latest);
        let turns = (own + 1).saturating_mul(self.queue.lanes()).saturating_sub(1);
        turns.min(self.queue.len())
    }
}

impl Dispatcher {
    /// Estimated span until a new request of `team` would start.
    pub(super) fn start_wait(
        &self,
        model: &Model,
        team: TeamKey,
        latest: Tick,
        now: Tick,
    ) -> Duration {
        if self.missing.is_empty() && model.queue.is_empty() && !model.free.is_empty() {
            return Duration::ZERO;
        }
        let ahead = model.ahead(team, latest) as u32 + 1;
        let queue = model.pace(self.settings.start).saturating_mul(ahead);
        self.ready_wait(model, now) + queue
    }

    /// Estimated span until the model is ready somewhere.
    pub(super) fn ready_wait(&self, model: &Model, now: Tick) -> Duration {
        if model.bound > 0 {
            return Duration::ZERO;
        }
        match model.loading.values().min() {
            Some(ready) => ready.since(now),
            None => model.wake.unwrap_or(self.settings.wake),
        }
    }
}
