//! Generates traces with skewed model popularity, sessions that begin with a burst, and times at
//! which many models are requested at once.

use std::time::Duration;

use corianderyoke_coord::time::Tick;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::fleet::Fleet;

/// Length of a trace, warm-up included.
pub const TRACE_LENGTH: Duration = Duration::from_secs(8 * 3600);

/// Part at the start of a trace that isn't measured, until checkpoints have spread over the
/// engines.
pub const WARM_UP: Duration = Duration::from_secs(2 * 3600);

/// Mean time between sessions of the most popular model, in seconds.
const SESSION_GAP: f64 = 180.0;

/// Exponent of the power law of model popularity.
const POPULARITY_EXPONENT: f64 = 0.9;

/// Mean time between requests of one session, in seconds.
const REQUEST_GAP: f64 = 15.0;

/// Time between shift starts, at which about half of the models are requested, in seconds.
const SHIFT_INTERVAL: f64 = 2.0 * 3600.0;

/// A request.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Arrival time.
    pub at: Tick,
    /// Index of its model.
    pub model: usize,
    /// Run time once its model is loaded.
    pub run_time: Duration,
}

impl Request {
    /// Whether it arrives after the warm-up.
    pub fn is_measured(&self) -> bool {
        self.at > Tick(0) + WARM_UP
    }
}

/// Requests in order of arrival.
#[derive(Clone, Debug)]
pub struct Trace {
    /// The requests.
    pub requests: Vec<Request>,
}

impl Trace {
    /// Generates a trace for `fleet`.
    pub fn new(fleet: &Fleet, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut requests = Vec::new();
        let end = TRACE_LENGTH.as_secs_f64();
        for model in 0..fleet.models {
            let gap = SESSION_GAP * ((model + 1) as f64).powf(POPULARITY_EXPONENT);
            let mut at = exponential(&mut rng, gap);
            while at < end {
                session(&mut rng, model, at, &mut requests);
                at += exponential(&mut rng, gap);
            }
        }
        let mut shift = 600.0;
        while shift < end {
            for model in 0..fleet.models {
                if rng.random_bool(0.5) {
                    let at = shift + rng.random_range(0.0..10.0);
                    session(&mut rng, model, at, &mut requests);
                }
            }
            shift += SHIFT_INTERVAL;
        }
        requests.sort_by_key(|request| request.at);
        requests.retain(|request| request.at.0 < TRACE_LENGTH.as_micros() as u64);
        Trace { requests }
    }
}

fn exponential(rng: &mut ChaCha8Rng, mean: f64) -> f64 {
    -mean * (1.0 - rng.random::<f64>()).ln()
}

/// Adds the requests of a session: a burst, then up to 11 more, one after the other.
fn session(rng: &mut ChaCha8Rng, model: usize, start: f64, requests: &mut Vec<Request>) {
    let burst = rng.random_range(1..=8);
    let mut push = |rng: &mut ChaCha8Rng, at: f64| {
        let run_time = Duration::from_secs_f64(rng.random_range(0.5..4.0));
        requests.push(Request { at: Tick((at * 1e6) as u64), model, run_time });
    };
    for _ in 0..burst {
        let at = start + rng.random_range(0.0..0.2);
        push(rng, at);
    }
    let mut at = start;
    for _ in 0..rng.random_range(0..12) {
        at += exponential(rng, REQUEST_GAP);
        push(rng, at);
    }
}
