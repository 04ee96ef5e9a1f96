//! Percentiles of samples, and measures with their baselines and bounds.

use std::time::Duration;

use hdrhistogram::Histogram;
use indexmap::IndexMap;
use serde::Serialize;

use super::load::Outcome;
use super::load::Sample;

/// Longest latency that is told apart, in microseconds.
const LONGEST_US: u64 = 600_000_000;
/// Decimal digits that are exact.
const DIGITS: u8 = 3;

/// Which side of its bound a measure must be on.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Bound {
    /// At most the bound.
    #[default]
    AtMost,
    /// At least the bound.
    AtLeast,
}

/// One measure of an experiment.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Measure {
    /// What was measured.
    pub measure: String,
    /// Its unit.
    pub unit: String,
    /// The system's figure, the worst over the seeds.
    pub ours: f64,
    /// The baseline's figure in the same run, where there is one.
    pub baseline: Option<f64>,
    /// What the baseline is; empty without one.
    pub against: String,
    /// The bound, where there is one.
    pub bound: Option<f64>,
    /// Side of the bound.
    #[serde(skip)]
    pub side: Bound,
    /// The seeds.
    pub seeds: Vec<u64>,
    /// Whether the bound is kept.
    pub met: bool,
    /// Further measures of the same run.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub parts: Vec<Measure>,
}

impl Measure {
    /// Says whether this measure and its parts keep their bounds.
    pub fn judged(mut self) -> Measure {
        let kept = match (self.bound, self.side) {
            (None, _) => true,
            (Some(bound), Bound::AtMost) => self.ours <= bound,
            (Some(bound), Bound::AtLeast) => self.ours >= bound,
        };
        self.met = kept && self.ours.is_finite() && self.parts.iter().all(|part| part.met);
        self
    }
}

/// Latencies with percentiles.
#[derive(Clone, Debug)]
pub struct Latencies {
    histogram: Histogram<u64>,
}

impl Default for Latencies {
    fn default() -> Self {
        // The bounds are constants that the library accepts.
        let histogram = Histogram::new_with_bounds(1, LONGEST_US, DIGITS).expect("valid bounds");
        Latencies { histogram }
    }
}

impl Latencies {
    /// Takes one latency in; longer ones than can be told apart count as the longest.
    pub fn record(&mut self, latency: Duration) {
        let micros = u64::try_from(latency.as_micros()).unwrap_or(LONGEST_US);
        self.histogram.saturating_record(micros.max(1));
    }

    /// Number of latencies.
    pub fn count(&self) -> u64 {
        self.histogram.len()
    }

    /// The latency that a share `quantile` (0 to 1) of all doesn't exceed, in milliseconds.
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        self.histogram.value_at_quantile(quantile) as f64 / 1000.0
    }

    /// Their mean in milliseconds.
    pub fn mean_ms(&self) -> f64 {
        self.histogram.mean() / 1000.0
    }

    /// Points of the distribution as `(latency in milliseconds, share at most that)`.
    pub fn curve(&self) -> Vec<(f64, f64)> {
        let shares = [0.0, 0.1, 0.25, 0.5, 0.75, 0.9, 0.95, 0.98, 0.99, 0.995, 0.999, 1.0];
        shares.iter().map(|share| (self.quantile_ms(*share), *share)).collect()
    }
}

/// What came of a set of samples.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    /// Latencies of the served ones.
    pub served: Latencies,
    /// Spans to the first bytes of the served ones.
    pub first: Latencies,
    /// Refused ones by code.
    pub refused: IndexMap<String, u64>,
    /// Those that broke off or had no answer, by error.
    pub failed: IndexMap<String, u64>,
}

impl Summary {
    /// Summary of `samples`.
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

    /// Number of refused ones.
    pub fn refusals(&self) -> u64 {
        self.refused.values().sum()
    }

    /// Number of those that broke off or had no answer.
    pub fn failures(&self) -> u64 {
        self.failed.values().sum()
    }

    /// Number of all.
    pub fn count(&self) -> u64 {
        self.served.count() + self.refusals() + self.failures()
    }

    /// One line for people.
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
