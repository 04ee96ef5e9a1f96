//! Latency percentiles of samples, and measures with their baselines and bounds.

use std::time::Duration;

use hdrhistogram::Histogram;
use indexmap::IndexMap;
use serde::Serialize;

use super::load::Outcome;
use super::load::Sample;

/// Largest latency that the histogram distinguishes, in microseconds.
const MAX_LATENCY_US: u64 = 600_000_000;
/// Significant decimal digits of the histogram's values.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Direction of a bound.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Bound {
    /// The measure must not exceed the bound.
    #[default]
    AtMost,
    /// The measure must not be below the bound.
    AtLeast,
}

/// One measure of an experiment.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Measure {
    /// Description of the quantity measured.
    pub measure: String,
    /// Unit of `ours`, `baseline` and `bound`.
    pub unit: String,
    /// Value of the system under test, the worst over the seeds.
    pub ours: f64,
    /// Value of the baseline in the same run; `None` without a baseline.
    pub baseline: Option<f64>,
    /// Description of the baseline; empty without one.
    pub against: String,
    /// Value that `ours` must satisfy; `None` if any finite value is accepted.
    pub bound: Option<f64>,
    /// Direction of `bound`.
    #[serde(skip)]
    pub side: Bound,
    /// Seeds of the runs.
    pub seeds: Vec<u64>,
    /// Whether the bound is met, and those of all parts; set by [`Measure::judged`].
    pub met: bool,
    /// Further measures of the same runs.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub parts: Vec<Measure>,
}

impl Measure {
    /// Sets `met`: whether this measure and its parts meet their bounds.
    pub fn judged(mut self) -> Measure {
        let within_bound = match (self.bound, self.side) {
            (None, _) => true,
            (Some(bound), Bound::AtMost) => self.ours <= bound,
            (Some(bound), Bound::AtLeast) => self.ours >= bound,
        };
        self.met = within_bound && self.ours.is_finite() && self.parts.iter().all(|part| part.met);
        self
    }
}

/// Histogram of latencies.
#[derive(Clone, Debug)]
pub struct Latencies {
    histogram: Histogram<u64>,
}

impl Default for Latencies {
    fn default() -> Self {
        // The constants are within the limits of the library, so this can't fail.
        let histogram = Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
            .expect("valid bounds");
        Latencies { histogram }
    }
}

impl Latencies {
    /// Adds a latency; values above the histogram's maximum (600 s) count as the maximum.
    pub fn record(&mut self, latency: Duration) {
        let latency_us = u64::try_from(latency.as_micros()).unwrap_or(MAX_LATENCY_US);
        self.histogram.saturating_record(latency_us.max(1));
    }

    /// Number of latencies recorded.
    pub fn count(&self) -> u64 {
        self.histogram.len()
    }

    /// Latency at `quantile` (0 to 1), in milliseconds.
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        self.histogram.value_at_quantile(quantile) as f64 / 1000.0
    }

    /// Mean latency in milliseconds.
    pub fn mean_ms(&self) -> f64 {
        self.histogram.mean() / 1000.0
    }

    /// Points of the cumulative distribution as `(latency in milliseconds, quantile)`.
    pub fn curve(&self) -> Vec<(f64, f64)> {
        let shares = [0.0, 0.1, 0.25, 0.5, 0.75, 0.9, 0.95, 0.98, 0.99, 0.995, 0.999, 1.0];
        shares.iter().map(|share| (self.quantile_ms(*share), *share)).collect()
    }
}

/// Outcomes and latencies of a set of requests.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    /// Latencies of the served requests.
    pub served: Latencies,
    /// Times to the first byte of the served requests.
    pub first: Latencies,
    /// Number of refused requests, by code.
    pub refused: IndexMap<String, u64>,
    /// Number of requests without a response or with an incomplete one, by error.
    pub failed: IndexMap<String, u64>,
}

impl Summary {
    /// Summarizes `samples`.
    pub fn of<'a>(samples: impl IntoIterator<Item = &'a Sample>) -> Summary {
        let mut summary = Summary::default();
        for sample in samples {
            match &sample.outcome {
                Outcome::Served => {
                    summary.served.record(sample.latency);
                    summary.first.record(sample.first_byte.unwrap_or(sample.latency));
                }
                Outcome::Refused(code) => *summary.refused.entry(code.clone()).or_default() += 1,
                Outcome::Failed(why) => *summary.failed.entry(why.clone()).or_default() += 1,
            }
        }
        summary
    }

    /// Number of refused requests.
    pub fn refusals(&self) -> u64 {
        self.refused.values().sum()
    }

    /// Number of requests without a response or with an incomplete one.
    pub fn failures(&self) -> u64 {
        self.failed.values().sum()
    }

    /// Number of all requests.
    pub fn count(&self) -> u64 {
        self.served.count() + self.refusals() + self.failures()
    }

    /// One-line text of the summary.
    pub fn line(&self) -> String {
        let quantile = |share| self.served.quantile_ms(share);
        let mut line = format!(
            "{} sent, {} served, p50 {:.1} ms, p99 {:.1} ms, {} refused, {} failed",
            self.count(),
            self.served.count(),
            quantile(0.5),
            quantile(0.99),
            self.refusals(),
            self.failures()
        );
        for (code, count) in self.refused.iter().chain(&self.failed) {
            line.push_str(&format!("; {count} {code}"));
        }
        line
    }
}
