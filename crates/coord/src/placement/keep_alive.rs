//! Decides how long an idle replica stays loaded, by a histogram of the gaps between uses.
//!
//! This follows the hybrid histogram policy for serverless functions (Shahrad et al., "Serverless
//! in the Wild", USENIX ATC 2020): a model with enough recorded gaps gets a window of its own, any
//! other a fixed one. The window here minimises the expected cost. A loaded replica costs its idle
//! time; an unloaded one costs a cold start for each caller that arrives after the window.

use std::time::Duration;

/// Upper bound of the first bucket.
const FIRST_BOUND: Duration = Duration::from_secs(5);

/// Number of bounded buckets. Each reaches 1.25 times as far as the one before, the last to about
/// 13 hours.
const BUCKETS: usize = 42;

/// Ratio between bounds of neighbouring buckets.
const BUCKET_GROWTH: f64 = 1.25;

/// Factor applied to all weights when the histogram is full, so that old gaps count less.
const DECAY_FACTOR: f64 = 0.5;

/// Total gap weight at which the histogram is full.
const MAX_TOTAL_WEIGHT: f64 = 256.0;

/// Rule for how long an idle replica stays loaded.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum KeepAliveRule {
    /// Weigh cold starts against idle time, by the gaps recorded for each model.
    Histogram {
        /// Idle accelerator seconds that cost as much as one second of a caller's cold start.
        cold_weight: f64,
        /// Number of gaps from which a model has a window of its own.
        min_gaps: u32,
        /// Window of a model with fewer gaps.
        fallback: Duration,
    },
    /// The same window for each model.
    Fixed(Duration),
    /// Idle replicas are unloaded only when their memory is needed.
    Always,
}

impl Default for KeepAliveRule {
    fn default() -> Self {
        KeepAliveRule::Histogram {
            cold_weight: 20.0,
            min_gaps: 5,
            fallback: Duration::from_secs(600),
        }
    }
}

/// Histogram of the gaps between uses of one model, and of the callers at the end of each gap.
/// Bucket bounds grow geometrically.
#[derive(Clone, Debug, PartialEq)]
pub struct GapHistogram {
    gap_weights: [f64; BUCKETS + 1],
    caller_weights: [f64; BUCKETS + 1],
}

impl Default for GapHistogram {
    fn default() -> Self {
        GapHistogram { gap_weights: [0.0; BUCKETS + 1], caller_weights: [0.0; BUCKETS + 1] }
    }
}

impl GapHistogram {
    /// Upper bound of bucket `index`. The last bucket has none.
    fn bound(index: usize) -> Duration {
        FIRST_BOUND.mul_f64(BUCKET_GROWTH.powi(index as i32))
    }

    /// Records a gap and returns its bucket, for [`GapHistogram::add_callers`].
    pub fn record(&mut self, gap: Duration) -> usize {
        if self.total_weight() >= MAX_TOTAL_WEIGHT {
            self.gap_weights.iter_mut().for_each(|weight| *weight *= DECAY_FACTOR);
            self.caller_weights.iter_mut().for_each(|weight| *weight *= DECAY_FACTOR);
        }
        let bucket = (0..BUCKETS).find(|index| gap <= Self::bound(*index)).unwrap_or(BUCKETS);
        self.gap_weights[bucket] += 1.0;
        bucket
    }

    /// Adds callers that arrived at the end of a gap.
    pub fn add_callers(&mut self, bucket: usize, count: u32) {
        self.caller_weights[bucket] += f64::from(count);
    }

    /// Total weight of all gaps: their number, less what has decayed.
    pub fn total_weight(&self) -> f64 {
        self.gap_weights.iter().sum()
    }

    /// The window with the least expected cost for a model that takes `load_time` to load and
    /// `share` of an accelerator while loaded, if one second of a caller's wait costs as much as
    /// `cold_weight` idle seconds.
    pub fn window(&self, load_time: Duration, share: f64, cold_weight: f64) -> Duration {
        let start_cost = load_time.as_secs_f64() * cold_weight;
        let mut remaining_gaps = self.total_weight();
        let mut remaining_callers: f64 = self.caller_weights.iter().sum();
        let mut idle_cost = 0.0;
        let mut best = (remaining_callers * start_cost, Duration::ZERO);
        for index in 0..BUCKETS {
            let bound = Self::bound(index);
            remaining_gaps -= self.gap_weights[index];
            remaining_callers -= self.caller_weights[index];
            idle_cost += self.gap_weights[index] * bound.as_secs_f64();
            let cost = share * (idle_cost + remaining_gaps * bound.as_secs_f64())
                + remaining_callers * start_cost;
            if cost < best.0 {
                best = (cost, bound);
            }
        }
        best.1
    }
}

impl KeepAliveRule {
    /// How long an idle replica stays loaded; `None` for as long as memory allows.
    pub fn window(&self, gaps: &GapHistogram, load_time: Duration, share: f64) -> Option<Duration> {
        match *self {
            KeepAliveRule::Histogram { cold_weight, min_gaps, fallback } => {
                if gaps.total_weight() < f64::from(min_gaps) {
                    return Some(fallback);
                }
                Some(gaps.window(load_time, share, cold_weight))
            }
            KeepAliveRule::Fixed(window) => Some(window),
            KeepAliveRule::Always => None,
        }
    }
}
