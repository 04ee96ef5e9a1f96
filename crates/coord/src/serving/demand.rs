//! How much a model is asked for.

use std::time::Duration;

use indexmap::IndexMap;

use crate::serving::choice::PREFILL_RATE;
use crate::time::Tick;

/// Time over which requests count towards a model's rate.
const REQUEST_DECAY: Duration = Duration::from_secs(12);
/// Time over which tokens count towards the number of a model's copies.
const TOKEN_DECAY: Duration = Duration::from_secs(3);
/// Part of the time that an engine may read prompts for one model before it gets another copy;
/// beyond about half, prompts wait for each other and hold up the tokens of what runs.
const MAX_PREFILL_SHARE: f64 = 0.4;
/// Time after which the last word of a daemon that waits doesn't count any longer.
pub(super) const WAITING_TTL: Duration = Duration::from_millis(1_200);

/// A rate that forgets exponentially.
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

/// How often a model was asked for lately. Rates that forget alike add up, so one daemon's can be
/// told to another, which has the fleet's from its first word on.
#[derive(Clone, Copy, Debug, Default)]
pub struct DemandRate {
    /// Requests a second, over a span in which rare models are asked for too.
    requests: DecayingRate,
    /// Tokens a second that engines have to read, over a span that follows bursts.
    tokens: DecayingRate,
}

impl DemandRate {
    /// What a daemon told now.
    pub fn from_rates(requests: f64, tokens: f64, now: Tick) -> Self {
        let rate = |value: f64| DecayingRate { value, at: now };
        DemandRate { requests: rate(requests), tokens: rate(tokens) }
    }

    /// Counts requests, and the tokens that engines have to read for them.
    pub fn record(&mut self, count: u64, tokens: u64, now: Tick) {
        self.requests.add(count as f64, REQUEST_DECAY, now);
        self.tokens.add(tokens as f64, TOKEN_DECAY, now);
    }

    /// Requests and tokens a second.
    pub fn rates(&self, now: Tick) -> (f64, f64) {
        (self.requests.get(REQUEST_DECAY, now), self.tokens.get(TOKEN_DECAY, now))
    }
}

/// Requests for one model.
#[derive(Clone, Debug, Default)]
pub(super) struct Demand {
    /// Of the whole fleet.
    fleet: DemandRate,
    /// What each daemon told last, with its incarnation.
    by_daemon: IndexMap<String, (u64, DemandRate)>,
    /// Requests that wait for the model, by daemon.
    waiting: IndexMap<String, (u32, Tick)>,
}

impl Demand {
    /// Counts requests, and the tokens that engines have to read for them.
    pub fn record(&mut self, count: u64, tokens: u64, now: Tick) {
        self.fleet.record(count, tokens, now);
    }

    /// Takes in how often a daemon was asked.
    pub fn record_peer(&mut self, daemon: &str, incarnation: u64, rate: DemandRate, now: Tick) {
        let last = self.by_daemon.insert(daemon.to_owned(), (incarnation, rate));
        // What a process told before it ended is forgotten like everything else.
        let last = last.filter(|(of, _)| *of == incarnation).map(|(_, rate)| rate.rates(now));
        let (previous, reported) = (last.unwrap_or_default(), rate.rates(now));
        let sum = self.fleet.rates(now);
        let requests = (sum.0 + reported.0 - previous.0).max(0.0);
        let tokens = (sum.1 + reported.1 - previous.1).max(0.0);
        self.fleet = DemandRate::from_rates(requests, tokens, now);
    }

    /// A daemon says how many requests wait there.
    pub fn record_waiting(&mut self, daemon: &str, count: u32, now: Tick) {
        self.waiting.insert(daemon.to_owned(), (count, now));
    }

    /// Requests to be expected within the span over which they count.
    pub fn expected_requests(&self, now: Tick) -> f64 {
        self.fleet.rates(now).0 * REQUEST_DECAY.as_secs_f64()
    }

    /// Requests that wait, as far as daemons told lately.
    pub fn waiting(&self, now: Tick) -> u32 {
        let fresh = self.waiting.values().filter(|(_, at)| now.since(*at) < WAITING_TTL);
        fresh.map(|(count, _)| count).sum()
    }

    /// Copies of the model that keep its engines from reading all the time.
    pub fn target_replicas(&self, now: Tick) -> usize {
        let busy_engines = self.fleet.rates(now).1 / (PREFILL_RATE * 1e3);
        (busy_engines / MAX_PREFILL_SHARE).ceil().max(1.0) as usize
    }
}
