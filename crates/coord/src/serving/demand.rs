//! How much a model is asked for.

use std::time::Duration;

use indexmap::IndexMap;

use crate::serving::choice::READ_RATE;
use crate::time::Tick;

/// Time over which requests count towards a model's rate.
const RATE_SPAN: Duration = Duration::from_secs(12);
/// Time over which tokens count towards the number of a model's copies.
const BURST_SPAN: Duration = Duration::from_secs(3);
/// Part of the time that an engine may read prompts for one model before it gets another copy;
/// beyond about half, prompts wait for each other and hold up the tokens of what runs.
const READ_SHARE: f64 = 0.4;
/// Time after which the last word of a daemon that waits doesn't count any longer.
pub(super) const WAIT_SPAN: Duration = Duration::from_millis(1_200);

/// A rate that forgets exponentially.
#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    value: f64,
    at: Tick,
}

impl Rate {
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
pub struct Asked {
    /// Requests a second, over a span in which rare models are asked for too.
    requests: Rate,
    /// Tokens a second that engines have to read, over a span that follows bursts.
    tokens: Rate,
}

impl Asked {
    /// What a daemon told now.
    pub fn told(requests: f64, tokens: f64, now: Tick) -> Self {
        let rate = |value: f64| Rate { value, at: now };
        Asked { requests: rate(requests), tokens: rate(tokens) }
    }

    /// Counts requests, and the tokens that engines have to read for them.
    pub fn arrive(&mut self, count: u64, tokens: u64, now: Tick) {
        self.requests.add(count as f64, RATE_SPAN, now);
        self.tokens.add(tokens as f64, BURST_SPAN, now);
    }

    /// Requests and tokens a second.
    pub fn rates(&self, now: Tick) -> (f64, f64) {
        (self.requests.get(RATE_SPAN, now), self.tokens.get(BURST_SPAN, now))
    }
}

/// Requests for one model.
#[derive(Clone, Debug, Default)]
pub(super) struct Demand {
    /// Of the whole fleet.
    asked: Asked,
    /// What each daemon told last, with its incarnation.
    told: IndexMap<String, (u64, Asked)>,
    /// Requests that wait for the model, by daemon.
    waiting: IndexMap<String, (u32, Tick)>,
}

impl Demand {
    /// Counts requests, and the tokens that engines have to read for them.
    pub fn arrive(&mut self, count: u64, tokens: u64, now: Tick) {
        self.asked.arrive(count, tokens, now);
    }

    /// Takes in how often a daemon was asked.
    pub fn hear(&mut self, daemon: &str, incarnation: u64, asked: Asked, now: Tick) {
        let last = self.told.insert(daemon.to_owned(), (incarnation, asked));
        // What a process told before it ended is forgotten like everything else.
        let last = last.filter(|(of, _)| *of == incarnation).map(|(_, asked)| asked.rates(now));
        let (known, told) = (last.unwrap_or_default(), asked.rates(now));
        let sum = self.asked.rates(now);
        let requests = (sum.0 + told.0 - known.0).max(0.0);
        let tokens = (sum.1 + told.1 - known.1).max(0.0);
        self.asked = Asked::told(requests, tokens, now);
    }

    /// A daemon says how many requests wait there.
    pub fn wait(&mut self, daemon: &str, count: u32, now: Tick) {
        self.waiting.insert(daemon.to_owned(), (count, now));
    }

    /// Requests to be expected within the span over which they count.
    pub fn expected(&self, now: Tick) -> f64 {
        self.asked.rates(now).0 * RATE_SPAN.as_secs_f64()
    }

    /// Requests that wait, as far as daemons told lately.
    pub fn waiting(&self, now: Tick) -> u32 {
        let fresh = self.waiting.values().filter(|(_, at)| now.since(*at) < WAIT_SPAN);
        fresh.map(|(count, _)| count).sum()
    }

    /// Copies of the model that keep its engines from reading all the time.
    pub fn copies(&self, now: Tick) -> usize {
        let busy = self.asked.rates(now).1 / (READ_RATE * 1e3);
        (busy / READ_SHARE).ceil().max(1.0) as usize
    }
}
