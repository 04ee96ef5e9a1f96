//! Arrivals: Poisson processes of several teams over models of skewed popularity, and bursts of
//! first requests.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// One request that is due.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Arrival {
    /// When it is due, from the start of the run.
    pub at: Duration,
    /// Index of its stream's team.
    pub team: usize,
    /// Index of its model, from the most popular one on.
    pub model: usize,
    /// Index of the router that it goes to.
    pub router: usize,
}

/// Requests of one team as a Poisson process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Stream {
    /// Index of the team.
    pub team: usize,
    /// Requests a second.
    pub rate: f64,
    /// When it begins, from the start of the run.
    pub begin: Duration,
    /// When it ends.
    pub end: Duration,
}

/// Bursts of first requests: many routers are asked for one model within a moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bursts {
    /// Bursts a second, as a Poisson process; 0 for none.
    pub rate: f64,
    /// Requests of one burst.
    pub size: usize,
    /// Span over which they spread.
    pub window: Duration,
}

impl Default for Bursts {
    fn default() -> Self {
        Bursts { rate: 0.0, size: 8, window: Duration::from_millis(50) }
    }
}

/// What a run's arrivals are drawn from.
#[derive(Clone, Debug, PartialEq)]
pub struct Profile {
    /// Length of the run.
    pub span: Duration,
    /// The teams' requests.
    pub streams: Vec<Stream>,
    /// Number of models.
    pub models: usize,
    /// Zipf exponent of the models' popularity; 0 makes all alike.
    pub skew: f64,
    /// Bursts of first requests; their teams are those of the streams in turn.
    pub bursts: Bursts,
    /// Number of routers.
    pub routers: usize,
    /// Zipf exponent of the routers' traffic; 0 makes all alike.
    pub spread: f64,
    /// Seed of all draws.
    pub seed: u64,
}

impl Default for Profile {
    fn default() -> Self {
        Profile {
            span: Duration::from_secs(10),
            streams: Vec::new(),
            models: 1,
            skew: 1.0,
            bursts: Bursts::default(),
            routers: 1,
            spread: 0.0,
            seed: 1,
        }
    }
}

impl Profile {
    /// The arrivals in the order in which they are due.
    pub fn arrivals(&self) -> Vec<Arrival> {
        let models = Weights::zipf(self.models, self.skew);
        let routers = Weights::zipf(self.routers, self.spread);
        let mut arrivals = Vec::new();
        for (number, stream) in (1..).zip(&self.streams) {
            // Each stream has draws of its own, so that one more stream leaves the others' alone.
            let mut rng = ChaCha8Rng::seed_from_u64(self.seed);
            rng.set_stream(number);
            let mut at = stream.begin + gap(&mut rng, stream.rate);
            while at < stream.end.min(self.span) {
                let model = models.draw(&mut rng);
                let router = routers.draw(&mut rng);
                arrivals.push(Arrival { at, team: stream.team, model, router });
                at += gap(&mut rng, stream.rate);
            }
        }
        self.add_bursts(&mut arrivals);
        arrivals.sort_by_key(|arrival| arrival.at);
        arrivals
    }

    fn add_bursts(&self, arrivals: &mut Vec<Arrival>) {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed);
        let mut start = gap(&mut rng, self.bursts.rate);
        while start < self.span && !self.streams.is_empty() {
            let model = rng.random_range(0..self.models);
            for number in 0..self.bursts.size {
                let at = start + self.bursts.window.mul_f64(rng.random());
                let team = self.streams[number % self.streams.len()].team;
                arrivals.push(Arrival { at, team, model, router: number % self.routers });
            }
            start += gap(&mut rng, self.bursts.rate);
        }
    }
}

/// An exponential gap of a process with `rate` events a second.
fn gap(rng: &mut ChaCha8Rng, rate: f64) -> Duration {
    if rate <= 0.0 {
        // No event ever: later than any run ends.
        return Duration::from_secs(u64::from(u32::MAX));
    }
    let uniform: f64 = rng.random();
    Duration::from_secs_f64(-(1.0 - uniform).ln() / rate)
}

/// Cumulative weights to draw an index from.
struct Weights {
    sums: Vec<f64>,
}

impl Weights {
    fn zipf(count: usize, exponent: f64) -> Weights {
        let mut sum = 0.0;
        let weight = |rank: usize| (rank as f64).powf(-exponent);
        let sums = (1..=count.max(1)).map(|rank| {
            sum += weight(rank);
            sum
        });
        Weights { sums: sums.collect() }
    }

    fn draw(&self, rng: &mut ChaCha8Rng) -> usize {
        let total = self.sums[self.sums.len() - 1];
        let point = rng.random::<f64>() * total;
        self.sums.partition_point(|sum| *sum <= point).min(self.sums.len() - 1)
    }
}
