//! Arrival schedules: a Poisson process per team over models with Zipf popularity, plus bursts of
//! requests for one model.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// One scheduled request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Arrival {
    /// Scheduled time since the start of the run.
    pub at: Duration,
    /// Index of the team that sends it.
    pub team: usize,
    /// Index of the model; 0 is the most popular.
    pub model: usize,
    /// Index of the router that receives it.
    pub router: usize,
}

/// Requests of one team, as a Poisson process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Stream {
    /// Index of the team.
    pub team: usize,
    /// Mean requests per second.
    pub rate: f64,
    /// Time since the start of the run at which the stream begins.
    pub begin: Duration,
    /// Time since the start of the run at which the stream ends.
    pub end: Duration,
}

/// Bursts of requests for one random model at many routers within a short window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bursts {
    /// Mean bursts per second of a Poisson process; 0 for none.
    pub rate: f64,
    /// Requests per burst.
    pub size: usize,
    /// Time over which the requests of one burst are spread.
    pub window: Duration,
}

impl Default for Bursts {
    fn default() -> Self {
        Bursts { rate: 0.0, size: 8, window: Duration::from_millis(50) }
    }
}

/// Distribution from which the arrivals of a run are drawn.
#[derive(Clone, Debug, PartialEq)]
pub struct Profile {
    /// Length of the run.
    pub span: Duration,
    /// Steady traffic of the teams.
    pub streams: Vec<Stream>,
    /// Number of models.
    pub models: usize,
    /// Zipf exponent of the models' popularity; 0 for a uniform one.
    pub model_skew: f64,
    /// Bursts; their requests take the teams of the streams in turn.
    pub bursts: Bursts,
    /// Number of routers.
    pub routers: usize,
    /// Zipf exponent of the routers' traffic; 0 for a uniform one.
    pub router_skew: f64,
    /// Seed of all random draws.
    pub seed: u64,
}

impl Default for Profile {
    fn default() -> Self {
        Profile {
            span: Duration::from_secs(10),
            streams: Vec::new(),
            models: 1,
            model_skew: 1.0,
            bursts: Bursts::default(),
            routers: 1,
            router_skew: 0.0,
            seed: 1,
        }
    }
}

impl Profile {
    /// Draws the arrivals, in order of their scheduled times.
    pub fn arrivals(&self) -> Vec<Arrival> {
        let models = CumulativeWeights::zipf(self.models, self.model_skew);
        let routers = CumulativeWeights::zipf(self.routers, self.router_skew);
        let mut arrivals = Vec::new();
        for (number, stream) in (1..).zip(&self.streams) {
            // Each stream has its own random stream, so that adding one doesn't change the others.
            let mut rng = ChaCha8Rng::seed_from_u64(self.seed);
            rng.set_stream(number);
            let mut at = stream.begin + interarrival(&mut rng, stream.rate);
            while at < stream.end.min(self.span) {
                let model = models.draw(&mut rng);
                let router = routers.draw(&mut rng);
                arrivals.push(Arrival { at, team: stream.team, model, router });
                at += interarrival(&mut rng, stream.rate);
            }
        }
        self.add_bursts(&mut arrivals);
        arrivals.sort_by_key(|arrival| arrival.at);
        arrivals
    }

    fn add_bursts(&self, arrivals: &mut Vec<Arrival>) {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed);
        let mut start = interarrival(&mut rng, self.bursts.rate);
        while start < self.span && !self.streams.is_empty() {
            let model = rng.random_range(0..self.models);
            for number in 0..self.bursts.size {
                let at = start + self.bursts.window.mul_f64(rng.random());
                let team = self.streams[number % self.streams.len()].team;
                arrivals.push(Arrival { at, team, model, router: number % self.routers });
            }
            start += interarrival(&mut rng, self.bursts.rate);
        }
    }
}

/// Draws the exponential time between two events of a Poisson process with `rate` events a second.
fn interarrival(rng: &mut ChaCha8Rng, rate: f64) -> Duration {
    if rate <= 0.0 {
        // No event: the gap is longer than any run.
        return Duration::from_secs(u64::from(u32::MAX));
    }
    let uniform: f64 = rng.random();
    Duration::from_secs_f64(-(1.0 - uniform).ln() / rate)
}

/// Cumulative weights of a discrete distribution over indices.
struct CumulativeWeights {
    sums: Vec<f64>,
}

impl CumulativeWeights {
    fn zipf(count: usize, exponent: f64) -> CumulativeWeights {
        let mut sum = 0.0;
        let weight = |rank: usize| (rank as f64).powf(-exponent);
        let sums = (1..=count.max(1)).map(|rank| {
            sum += weight(rank);
            sum
        });
        CumulativeWeights { sums: sums.collect() }
    }

    fn draw(&self, rng: &mut ChaCha8Rng) -> usize {
        let total = self.sums[self.sums.len() - 1];
        let point = rng.random::<f64>() * total;
        self.sums.partition_point(|sum| *sum <= point).min(self.sums.len() - 1)
    }
}
