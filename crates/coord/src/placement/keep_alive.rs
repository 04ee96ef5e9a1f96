//! Keep-alive by a histogram of the gaps between a model's uses.
//!
//! This follows the hybrid histogram policy published for serverless functions (Shahrad and others,
//! "Serverless in the Wild", USENIX ATC 2020): a model with enough observed gaps gets a window of
//! its own, any other a fixed one. The window here minimises expected cost: keeping a replica costs
//! its idle time, unloading it costs each caller who comes after the window a cold start.

use std::time::Duration;

/// Upper bound of the first bucket.
const FIRST: Duration = Duration::from_secs(5);

/// Buckets; each reaches 1.25 times as far as the one before, the last one to about 13 hours.
const BUCKETS: usize = 42;

/// Ratio between bounds of neighbouring buckets.
const GROWTH: f64 = 1.25;

/// Share of old gaps kept each time that the histogram is full.
const DECAY: f64 = 0.5;

/// Weight of all gaps at which old ones decay.
const FULL: f64 = 256.0;

/// The operators' rule for idle replicas.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum KeepAliveRule {
    /// Weigh cold starts against idle time by each model's gaps.
    Histogram {
        /// Idle accelerator seconds that one caller's second of cold start is worth.
        cold_weight: f64,
        /// Gaps from which on a model has a window of its own.
        min_gaps: u32,
        /// Window of a model with fewer gaps.
        fallback: Duration,
    },
    /// The same window for each model.
    Fixed(Duration),
    /// Replicas go only when memory is needed.
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

/// Gaps between uses of one model, in buckets that grow geometrically, and the callers that came
/// at the end of each.
#[derive(Clone, Debug, PartialEq)]
pub struct GapHistogram {
    weights: [f64; BUCKETS + 1],
    callers: [f64; BUCKETS + 1],
}

impl Default for GapHistogram {
    fn default() -> Self {
        GapHistogram { weights: [0.0; BUCKETS + 1], callers: [0.0; BUCKETS + 1] }
    }
}

impl GapHistogram {
    /// Upper bound of bucket `index`; the last bucket has none.
    fn bound(index: usize) -> Duration {
        FIRST.mul_f64(GROWTH.powi(index as i32))
    }

    /// Takes one gap in; returns its bucket, to which callers are added.
    pub fn record(&mut self, gap: Duration) -> usize {
        if self.total() >= FULL {
            self.weights.iter_mut().for_each(|weight| *weight *= DECAY);
            self.callers.iter_mut().for_each(|callers| *callers *= DECAY);
        }
        let bucket = (0..BUCKETS).find(|index| gap <= Self::bound(*index)).unwrap_or(BUCKETS);
        self.weights[bucket] += 1.0;
        bucket
    }

    /// Adds callers that came together at the end of a gap.
    pub fn add_callers(&mut self, bucket: usize, count: u32) {
        self.callers[bucket] += f64::from(count);
    }

    /// Weight of all gaps.
    pub fn total(&self) -> f64 {
        self.weights.iter().sum()
    }

    /// The window with the least expected cost for a model that takes `cold` to start and `share`
    /// of an accelerator while it is loaded, when a caller's second is worth `worth` idle seconds.
    pub fn window(&self, cold: Duration, share: f64, cold_weight: f64) -> Duration {
        let penalty = cold.as_secs_f64() * cold_weight;
        let mut later = self.total();
        let mut callers: f64 = self.callers.iter().sum();
        let mut idle = 0.0;
        let mut best = (callers * penalty, Duration::ZERO);
        for index in 0..BUCKETS {
            let bound = Self::bound(index);
            later -= self.weights[index];
            callers -= self.callers[index];
            idle += self.weights[index] * bound.as_secs_f64();
            let cost = share * (idle + later * bound.as_secs_f64()) + callers * penalty;
            if cost < best.0 {
                best = (cost, bound);
            }
        }
        best.1
    }
}

impl KeepAliveRule {
    /// How long an idle replica stays, or `None` for as long as memory allows.
    pub fn window(&self, gaps: &GapHistogram, cold: Duration, share: f64) -> Option<Duration> {
        match *self {
            KeepAliveRule::Histogram { cold_weight, min_gaps, fallback } => {
                if gaps.total() < f64::from(min_gaps) {
                    return Some(fallback);
                }
                Some(gaps.window(cold, share, cold_weight))
            }
            KeepAliveRule::Fixed(window) => Some(window),
            KeepAliveRule::Always => None,
        }
    }
}
