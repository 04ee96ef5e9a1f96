//! Measures the demand for a model.

use std::time::Duration;

use indexmap::IndexMap;

use crate::serving::choice::PREFILL_RATE;
use crate::time::Tick;

/// Time constant of the decaying request rate.
const REQUEST_DECAY: Duration = Duration::from_secs(12);
/// Time constant of the decaying token rate, which determines the number of replicas.
const TOKEN_DECAY: Duration = Duration::from_secs(3);
/// Time constant of the token rate that shows a rise. The report of a daemon carries the rate over
/// [`TOKEN_DECAY`], which needs 3 s to follow demand that moves for 7 s.
const RECENT_DECAY: Duration = Duration::from_secs(1);
/// Time constant of the token rate that a rise is compared with, and by which replicas that were
/// needed lately are kept.
const LASTING_DECAY: Duration = Duration::from_secs(10);
/// Standard deviations by which the recent rate exceeds the lasting one in a rise. Below, requests
/// that happen to arrive together would order replicas of rarely used models.
const RISE_DEVIATIONS: f64 = 2.0;
/// Expected requests from which on a model counts as asked for. One request has decayed to it after
/// 17 s.
const ASKED_REQUESTS: f64 = 0.25;
/// Time constant of the decaying rate of requests that can't wait for a load. It is short enough to
/// protect a model whose demand has just risen.
const URGENT_DECAY: Duration = Duration::from_secs(4);
/// Time that a request loses while its model is evicted and loaded again from a disk.
const RELOAD_TIME: Duration = Duration::from_millis(1_200);
/// Fraction of its time that an engine may spend on prefill for one model before the model gets
/// another replica. Beyond, prompts queue behind each other and delay the tokens of running requests,
/// as arrivals come in bursts; with much less, replicas displace models that other requests need.
const MAX_PREFILL_SHARE: f64 = 0.25;
/// Value that is lost per request and second of the request rate if a model that only patient
/// requests ask for isn't held. It ranks these models by their demand.
const PATIENT_LOSS: f64 = 0.3;
/// Age of a daemon's demand from which on it has decayed to nothing.
const MAX_REPORT_AGE: Duration = Duration::from_secs(90);
/// Time after which a daemon's report of waiting requests expires.
pub(super) const WAITING_TTL: Duration = Duration::from_millis(1_200);

/// Exponentially decaying average rate per second.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DecayingRate {
    value: f64,
    at: Tick,
}

impl DecayingRate {
    pub fn add(&mut self, amount: f64, span: Duration, now: Tick) {
        *self = self.plus(amount / span.as_secs_f64(), span, now);
    }

    /// Returns the sum with a rate at `now`.
    fn plus(self, rate: f64, span: Duration, now: Tick) -> Self {
        DecayingRate { value: self.get(span, now) + rate, at: now }
    }

    pub fn get(&self, span: Duration, now: Tick) -> f64 {
        let age = now.since(self.at).as_secs_f64() / span.as_secs_f64();
        self.value * (-age).exp()
    }
}

/// Requests and tokens per second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Rates {
    /// Requests, over a period that is long enough for rarely used models.
    pub requests: f64,
    /// Prompt tokens to prefill, over a period that is short enough to follow bursts.
    pub tokens: f64,
    /// Requests, each counted with the fraction of its value that it loses if its model has to be
    /// loaded first, over a period that is short enough to follow rising demand.
    pub urgent: f64,
}

/// Recent demand for a model. Rates with the same time constant can be added, so a daemon's rates
/// can be reported to another one, which knows the demand of the fleet from the first reports on.
#[derive(Clone, Copy, Debug, Default)]
pub struct DemandRate {
    requests: DecayingRate,
    tokens: DecayingRate,
    urgent: DecayingRate,
}

impl DemandRate {
    /// Creates the demand from its rates at `now`.
    pub fn from_rates(rates: Rates, now: Tick) -> Self {
        // The sum with a rate that isn't finite would never decay.
        let finite = |value: f64| if value.is_finite() { value.max(0.0) } else { 0.0 };
        let rate = |value: f64| DecayingRate { value: finite(value), at: now };
        DemandRate {
            requests: rate(rates.requests),
            tokens: rate(rates.tokens),
            urgent: rate(rates.urgent),
        }
    }

    /// Records a request with the latency that its caller expects and the number of prompt tokens
    /// to prefill for it.
    pub fn record(&mut self, target: Duration, tokens: u64, now: Tick) {
        self.requests.add(1.0, REQUEST_DECAY, now);
        self.tokens.add(tokens as f64, TOKEN_DECAY, now);
        self.urgent.add(reload_loss(target), URGENT_DECAY, now);
    }

    /// Returns the rates at `now`.
    pub fn rates(&self, now: Tick) -> Rates {
        Rates {
            requests: self.requests.get(REQUEST_DECAY, now),
            tokens: self.tokens.get(TOKEN_DECAY, now),
            urgent: self.urgent.get(URGENT_DECAY, now),
        }
    }
}

/// Returns the fraction of its value that a request loses if its model has to be loaded first.
fn reload_loss(target: Duration) -> f64 {
    let ratio = RELOAD_TIME.as_secs_f64() / target.as_secs_f64().max(1e-3);
    (ratio * ratio).min(1.0)
}

/// Demand of the whole fleet for one model.
#[derive(Clone, Debug, Default)]
pub(super) struct Demand {
    /// Sum over all daemons.
    fleet: DemandRate,
    /// Prompt tokens per second over [`RECENT_DECAY`].
    recent: DecayingRate,
    /// Prompt tokens per second over [`LASTING_DECAY`].
    lasting: DecayingRate,
    /// Latest report of each daemon, with the daemon's incarnation.
    by_daemon: IndexMap<String, (u64, DemandRate)>,
    /// Waiting requests by daemon, with the time of the report.
    waiting: IndexMap<String, (u32, Tick)>,
}

impl Demand {
    /// Records a request, as [`DemandRate::record`] does.
    pub fn record(&mut self, target: Duration, tokens: u64, now: Tick) {
        self.fleet.record(target, tokens, now);
        self.recent.add(tokens as f64, RECENT_DECAY, now);
        self.lasting.add(tokens as f64, LASTING_DECAY, now);
    }

    /// Applies the demand that a daemon reports, in place of what it reported before. The tokens that
    /// arrived there since its last report follow from how far the rate has decayed less than without
    /// arrivals, so the faster and the slower rate need no fields of their own in reports.
    pub fn record_peer(&mut self, daemon: &str, incarnation: u64, rate: DemandRate, now: Tick) {
        let last = self.by_daemon.insert(daemon.to_owned(), (incarnation, rate));
        // The reports of an earlier process remain in the sum and decay with it.
        let is_first = last.is_none_or(|(of, _)| of != incarnation);
        let last = last.filter(|(of, _)| *of == incarnation).map(|(_, rate)| rate.rates(now));
        let (previous, reported) = (last.unwrap_or_default(), rate.rates(now));
        let sum = self.fleet.rates(now);
        let replace = |sum: f64, reported: f64, previous: f64| (sum + reported - previous).max(0.0);
        let rates = Rates {
            requests: replace(sum.requests, reported.requests, previous.requests),
            tokens: replace(sum.tokens, reported.tokens, previous.tokens),
            urgent: replace(sum.urgent, reported.urgent, previous.urgent),
        };
        self.fleet = DemandRate::from_rates(rates, now);
        // Demand reported for the first time is taken as steady.
        let (recent, lasting) = match is_first {
            true => (reported.tokens, reported.tokens),
            false => {
                let arrived = (reported.tokens - previous.tokens) * TOKEN_DECAY.as_secs_f64();
                (arrived / RECENT_DECAY.as_secs_f64(), arrived / LASTING_DECAY.as_secs_f64())
            }
        };
        // A report that was faster than the one before it counts slightly too few tokens, and the next
        // one too many; so differences may be below zero.
        self.recent = self.recent.plus(recent, RECENT_DECAY, now);
        self.lasting = self.lasting.plus(lasting, LASTING_DECAY, now);
    }

    /// Records how many requests wait at a daemon.
    pub fn record_waiting(&mut self, daemon: &str, count: u32, now: Tick) {
        self.waiting.insert(daemon.to_owned(), (count, now));
    }

    /// Drops reports that no longer count. Returns whether the model is still in demand.
    pub fn prune(&mut self, now: Tick) -> bool {
        self.waiting.retain(|_, (_, at)| now.since(*at) < WAITING_TTL);
        self.by_daemon.retain(|_, (_, rate)| now.since(rate.requests.at) < MAX_REPORT_AGE);
        !self.waiting.is_empty()
            || !self.by_daemon.is_empty()
            || now.since(self.fleet.requests.at) < MAX_REPORT_AGE
    }

    /// Returns the number of reports that are kept.
    pub fn entry_count(&self) -> usize {
        self.waiting.len() + self.by_daemon.len()
    }

    /// Returns the requests per second.
    pub fn requests_per_s(&self, now: Tick) -> f64 {
        self.fleet.rates(now).requests
    }

    /// Returns the number of requests expected within the time constant of the request rate.
    pub fn expected_requests(&self, now: Tick) -> f64 {
        self.fleet.rates(now).requests * REQUEST_DECAY.as_secs_f64()
    }

    /// Returns the value, in requests, that is expected to be lost if the model isn't held and its
    /// next request has to wait for a load.
    pub fn reload_loss(&self, now: Tick) -> f64 {
        let rates = self.fleet.rates(now);
        rates.urgent * (1.0 + RELOAD_TIME.as_secs_f64()) + rates.requests * PATIENT_LOSS
    }

    /// Returns the number of waiting requests, according to recent reports.
    pub fn waiting(&self, now: Tick) -> u32 {
        let fresh = self.waiting.values().filter(|(_, at)| now.since(*at) < WAITING_TTL);
        fresh.fold(0, |sum, (count, _)| count.saturating_add(sum))
    }

    /// Returns whether requests for the model are waiting or likely.
    pub fn is_asked(&self, now: Tick) -> bool {
        self.expected_requests(now) >= ASKED_REQUESTS || self.waiting(now) > 0
    }

    /// Returns the prompt tokens per second to prepare for. A rise is extrapolated, because a replica
    /// that is ordered now serves only after its load.
    fn token_rate(&self, now: Tick) -> f64 {
        let rates = self.fleet.rates(now);
        let recent = self.recent.get(RECENT_DECAY, now);
        let lasting = self.lasting.get(LASTING_DECAY, now);
        // Standard deviation of the recent rate of independent arrivals of the model's mean size.
        let size = lasting / rates.requests.max(f64::MIN_POSITIVE);
        let deviation = (size * recent / (2.0 * RECENT_DECAY.as_secs_f64())).max(0.0).sqrt();
        if recent <= lasting + RISE_DEVIATIONS * deviation {
            return rates.tokens;
        }
        (2.0 * recent - rates.tokens - deviation).max(rates.tokens)
    }

    /// Returns the number of engines that prefill for the model without pause.
    pub fn busy_engines(&self, now: Tick) -> f64 {
        self.token_rate(now) / (PREFILL_RATE * 1e3)
    }

    /// Returns the number of replicas that keeps prefill within its share of the engines' time.
    pub fn target_replicas(&self, now: Tick) -> usize {
        replicas(self.token_rate(now))
    }

    /// Returns the number of replicas that the demand of the last seconds needed, if that is more
    /// than now. Demand that moved away often returns.
    pub fn lasting_replicas(&self, now: Tick) -> usize {
        replicas(self.token_rate(now).max(self.lasting.get(LASTING_DECAY, now)))
    }
}

/// Returns the number of replicas for a rate of prompt tokens.
fn replicas(token_rate: f64) -> usize {
    (token_rate / (PREFILL_RATE * 1e3) / MAX_PREFILL_SHARE).ceil().max(1.0) as usize
}
