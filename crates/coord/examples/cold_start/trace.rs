//! Traces: skewed popularity, sessions that begin with a burst, and hours in which many models
//! are asked for at once.

use std::time::Duration;

use corianderyoke_coord::time::Tick;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::fleet::Fleet;

/// Length of a trace.
pub const LENGTH: Duration = Duration::from_secs(8 * 3600);

/// Start of a trace that isn't counted: checkpoints have still to find their places.
pub const WARM_UP: Duration = Duration::from_secs(2 * 3600);

/// Mean time between sessions of the most popular model, in seconds.
const SESSION_GAP: f64 = 180.0;

/// Exponent of the popularity's power law.
const SKEW: f64 = 0.9;

/// Mean time between requests of one session, in seconds.
const REQUEST_GAP: f64 = 15.0;

/// Time between the starts of shifts, in seconds.
const SHIFT: f64 = 2.0 * 3600.0;

/// One request.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// When it arrives.
    pub at: Tick,
    /// Its model.
    pub model: usize,
    /// How long it runs.
    pub runs: Duration,
}

impl Request {
    /// Whether it comes after the warm-up.
    pub fn counts(&self) -> bool {
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
    /// A trace for `fleet`.
    pub fn new(fleet: &Fleet, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut requests = Vec::new();
        let end = LENGTH.as_secs_f64();
        for model in 0..fleet.models {
            let gap = SESSION_GAP * ((model + 1) as f64).powf(SKEW);
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
            shift += SHIFT;
        }
        requests.sort_by_key(|request| request.at);
        requests.retain(|request| request.at.0 < LENGTH.as_micros() as u64);
        Trace { requests }
    }
}

fn exponential(rng: &mut ChaCha8Rng, mean: f64) -> f64 {
    -mean * (1.0 - rng.random::<f64>()).ln()
}

/// A burst of first requests, then a few more one after the other.
fn session(rng: &mut ChaCha8Rng, model: usize, start: f64, requests: &mut Vec<Request>) {
    let burst = rng.random_range(1..=8);
    let mut push = |rng: &mut ChaCha8Rng, at: f64| {
        let runs = Duration::from_secs_f64(rng.random_range(0.5..4.0));
        requests.push(Request { at: Tick((at * 1e6) as u64), model, runs });
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
