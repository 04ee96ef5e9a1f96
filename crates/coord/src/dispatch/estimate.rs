//! Estimates of service times and queue waits.

use std::time::Duration;

use super::Dispatcher;
use super::ModelState;
use crate::keys::TeamKey;
use crate::time::Tick;

/// Exponentially weighted mean and mean absolute deviation, in microseconds.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Estimate {
    mean: f64,
    deviation: f64,
    samples: u64,
}

/// Minimum weight of a new sample.
const SMOOTHING_GAIN: f64 = 0.05;

/// Mean deviations that an upper estimate adds to the mean.
const UPPER_DEVIATIONS: f64 = 3.0;

/// Durations per token are stored in units of 1/`TOKEN_SCALE` microsecond.
const TOKEN_SCALE: u32 = 1000;

impl Estimate {
    /// Adds a sample.
    pub(super) fn record(&mut self, duration: Duration) {
        let sample = duration.as_micros() as f64;
        self.samples += 1;
        let gain = SMOOTHING_GAIN.max(1.0 / self.samples as f64);
        let error = sample - self.mean;
        self.mean += gain * error;
        self.deviation += gain * (error.abs() - self.deviation);
    }

    /// The mean; zero without samples.
    pub(super) fn mean(&self) -> Duration {
        Duration::from_micros(self.mean as u64)
    }

    /// A duration that most samples don't exceed; zero without samples, the mean for a single one.
    pub(super) fn upper_estimate(&self) -> Duration {
        if self.samples < 2 {
            return self.mean();
        }
        Duration::from_micros((self.mean + UPPER_DEVIATIONS * self.deviation) as u64)
    }
}

/// Time from start to end of a model's requests, per request and per reserved token.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ServiceTime {
    per_request: Estimate,
    per_token: Estimate,
}

impl ServiceTime {
    /// Adds a request that took `duration` and reserved `cost` tokens.
    pub(super) fn record(&mut self, duration: Duration, cost: u64) {
        self.per_request.record(duration);
        self.per_token
            .record(duration * TOKEN_SCALE / u32::try_from(cost.max(1)).unwrap_or(u32::MAX));
    }

    /// The mean per request; zero without samples.
    pub(super) fn mean(&self) -> Duration {
        self.per_request.mean()
    }

    /// A duration that most requests reserving `cost` tokens don't exceed. It is the lower of two
    /// estimates: the one per token keeps long requests from inflating the estimate of short ones,
    /// the one per request keeps unused reservations from inflating the estimate of long ones.
    pub(super) fn upper_estimate(&self, cost: u64) -> Duration {
        let cost = u32::try_from(cost).unwrap_or(u32::MAX);
        let by_token = self.per_token.upper_estimate().saturating_mul(cost) / TOKEN_SCALE;
        self.per_request.upper_estimate().min(by_token)
    }
}

impl ModelState {
    /// Mean time between two starts while all slots are in use.
    fn start_interval(&self, min_slots: u32) -> Duration {
        let others = self.occupied.saturating_sub(self.in_use);
        let slots = self.bound.saturating_sub(others).max(min_slots).max(1);
        self.service_time.mean() / slots
    }

    /// Estimated number of requests that start before a new one of `team` with this `latest_start`,
    /// with the waiting teams taking turns.
    fn requests_ahead(&self, team: TeamKey, latest_start: Tick) -> usize {
        let own_ahead = self.queue.estimate_ahead(team, latest_start);
        let all_ahead =
            (own_ahead + 1).saturating_mul(self.queue.waiting_teams()).saturating_sub(1);
        all_ahead.min(self.queue.len())
    }
}

impl Dispatcher {
    /// Estimated wait until a new request of `team` would start; zero when a slot is free and
    /// nothing waits.
    pub(super) fn estimate_start_wait(
        &self,
        model: &ModelState,
        team: TeamKey,
        latest_start: Tick,
        now: Tick,
    ) -> Duration {
        if self.unreported.is_empty() && model.queue.is_empty() && !model.free_upstreams.is_empty()
        {
            return Duration::ZERO;
        }
        let ahead = model.requests_ahead(team, latest_start) as u32 + 1;
        let queue_wait = model.start_interval(self.settings.initial_slots).saturating_mul(ahead);
        self.estimate_ready_wait(model, now) + queue_wait
    }

    /// Estimated wait until the model is loaded on some open upstream; zero when it already is.
    pub(super) fn estimate_ready_wait(&self, model: &ModelState, now: Tick) -> Duration {
        if model.bound > 0 {
            return Duration::ZERO;
        }
        match model.loading.values().min() {
            Some(ready) => ready.since(now),
            None => model.wake_estimate.unwrap_or(self.settings.default_wake),
        }
    }
}
