//! Measures the demand for a model.

use std::time::Duration;

use indexmap::IndexMap;

use crate::serving::choice::PREFILL_RATE;
use crate::time::Tick;

/// Time constant of the decaying request rate.
const REQUEST_DECAY: Duration = Duration::from_secs(12);
/// Time constant of the decaying token rate, which determines the number of replicas.
const TOKEN_DECAY: Duration = Duration::from_secs(3);
/// Fraction of its time that an engine may spend on prefill for one model before the model gets
/// another replica. Beyond about half, prompts queue behind each other and delay the tokens of
/// running requests.
const MAX_PREFILL_SHARE: f64 = 0.4;
/// Time after which a daemon's report of waiting requests expires.
pub(super) const WAITING_TTL: Duration = Duration::from_millis(1_200);

/// Exponentially decaying average rate per second.
#[derive(Clone, Copy, Debug, Default)]
struct DecayingRate {
    value: f64,
    at: Tick,
}

impl DecayingRate {
    fn add(&mut self, amount: f64, span: Duration, now: Tick) {
        self.value = self.get(span, now) + amount / span.as_secs_f64();
        self.at = now;
    }

    fn get(&self, span: Duration, now: Tick) -> f64 {
        let age = now.since(self.at).as_secs_f64() / span.as_secs_f64();
        self.value * (-age).exp()
    }
}

/// Recent demand for a model. Rates with the same time constant can be added, so a daemon's rates
/// can be reported to another one, which knows the demand of the fleet from the first reports on.
#[derive(Clone, Copy, Debug, Default)]
pub struct DemandRate {
    /// Requests per second, over a period that is long enough for rarely used models.
    requests: DecayingRate,
    /// Prompt tokens to prefill per second, over a period that is short enough to follow bursts.
    tokens: DecayingRate,
}

impl DemandRate {
    /// Creates the demand from requests and tokens per second at `now`.
    pub fn from_rates(requests: f64, tokens: f64, now: Tick) -> Self {
        let rate = |value: f64| DecayingRate { value, at: now };
        DemandRate { requests: rate(requests), tokens: rate(tokens) }
    }

    /// Records requests and the number of prompt tokens to prefill for them.
    pub fn record(&mut self, count: u64, tokens: u64, now: Tick) {
        self.requests.add(count as f64, REQUEST_DECAY, now);
        self.tokens.add(tokens as f64, TOKEN_DECAY, now);
    }

    /// Returns requests and tokens per second at `now`.
    pub fn rates(&self, now: Tick) -> (f64, f64) {
        (self.requests.get(REQUEST_DECAY, now), self.tokens.get(TOKEN_DECAY, now))
    }
}

/// Demand of the whole fleet for one model.
#[derive(Clone, Debug, Default)]
pub(super) struct Demand {
    /// Sum over all daemons.
    fleet: DemandRate,
    /// Latest report of each daemon, with the daemon's incarnation.
    by_daemon: IndexMap<String, (u64, DemandRate)>,
    /// Waiting requests by daemon, with the time of the report.
    waiting: IndexMap<String, (u32, Tick)>,
}

impl Demand {
    /// Records requests and the number of prompt tokens to prefill for them.
    pub fn record(&mut self, count: u64, tokens: u64, now: Tick) {
        self.fleet.record(count, tokens, now);
    }

    /// Applies the demand that a daemon reports, in place of what it reported before.
    pub fn record_peer(&mut self, daemon: &str, incarnation: u64, rate: DemandRate, now: Tick) {
        let last = self.by_daemon.insert(daemon.to_owned(), (incarnation, rate));
        // The reports of an earlier process remain in the sum and decay with it.
        let last = last.filter(|(of, _)| *of == incarnation).map(|(_, rate)| rate.rates(now));
        let (previous, reported) = (last.unwrap_or_default(), rate.rates(now));
        let sum = self.fleet.rates(now);
        let requests = (sum.0 + reported.0 - previous.0).max(0.0);
        let tokens = (sum.1 + reported.1 - previous.1).max(0.0);
        self.fleet = DemandRate::from_rates(requests, tokens, now);
    }

    /// Records how many requests wait at a daemon.
    pub fn record_waiting(&mut self, daemon: &str, count: u32, now: Tick) {
        self.waiting.insert(daemon.to_owned(), (count, now));
    }

    /// Returns the number of requests expected within the time constant of the request rate.
    pub fn expected_requests(&self, now: Tick) -> f64 {
        self.fleet.rates(now).0 * REQUEST_DECAY.as_secs_f64()
    }

    /// Returns the number of waiting requests, according to recent reports.
    pub fn waiting(&self, now: Tick) -> u32 {
        let fresh = self.waiting.values().filter(|(_, at)| now.since(*at) < WAITING_TTL);
        fresh.map(|(count, _)| count).sum()
    }

    /// Returns the number of replicas that keeps prefill within its share of the engines' time.
    pub fn target_replicas(&self, now: Tick) -> usize {
        let busy_engines = self.fleet.rates(now).1 / (PREFILL_RATE * 1e3);
        (busy_engines / MAX_PREFILL_SHARE).ceil().max(1.0) as usize
    }
}
