//! Estimates which prompt parts the engines have cached.
//!
//! Running requests and cached parts share an engine's KV memory, and the least recently used parts are
//! displaced first. A daemon knows its own requests; what the others send is estimated from its own
//! rates and the number of daemons, so no messages are needed. Requests with a shared prefix prefer the
//! first engines of a list that is ranked by rendezvous hashing, which is the same on every daemon.

use std::time::Duration;

use indexmap::IndexMap;

use crate::hash::hash;
use crate::hash::mix;
use crate::keys::AdapterKey;
use crate::keys::ModelKey;
use crate::keys::UpstreamKey;
use crate::serving::choice;
use crate::serving::choice::CacheScope;
use crate::serving::choice::ChoiceSettings;
use crate::serving::choice::Need;
use crate::time::Tick;

/// Time constant of the rates. A daemon of 60 sends a prefix of 25 requests a second some 12 times in
/// it, so that the number of engines for the prefix varies by about a third.
const RATE_MEMORY: Duration = Duration::from_secs(30);
/// Fraction of the time that the engines for a prefix spend on its requests, so that these seldom wait
/// for each other.
const UTILIZATION: f64 = 0.4;
/// Weight of the saving at engines other than the preferred ones. A prefix that is kept alive on
/// further engines displaces others there.
const OTHER_WEIGHT: f64 = 0.75;
/// Most parts of one engine that are tracked.
const MAX_ENGINE_PARTS: usize = 256;
/// Most parts that are tracked.
const MAX_PARTS: usize = 32_768;
/// Most prefixes whose rate is tracked.
const MAX_PREFIXES: usize = 4_096;

/// Daemons that send to the same engines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Fleet {
    /// Number of daemons, including this one.
    pub daemons: usize,
    /// Number of engines.
    pub engines: usize,
}

/// KV memory of an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Memory {
    /// Capacity in tokens; 0 if it isn't limited.
    pub capacity: u64,
    /// Tokens of the running requests.
    pub running: u64,
}

/// Events per second, averaged over [`RATE_MEMORY`].
#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    per_s: f64,
    at: Tick,
}

impl Rate {
    fn add(&mut self, amount: f64, now: Tick) {
        self.per_s = self.at(now) + amount / RATE_MEMORY.as_secs_f64();
        self.at = now;
    }

    fn at(&self, now: Tick) -> f64 {
        self.per_s * (-now.since(self.at).as_secs_f64() / RATE_MEMORY.as_secs_f64()).exp()
    }
}

/// Part of a prompt in an engine's cache.
#[derive(Clone, Copy, Debug)]
struct Cached {
    tokens: u64,
    model: ModelKey,
    adapter: Option<AdapterKey>,
    used: Tick,
    /// Tokens of this daemon's requests that no other request shares, up to the part's use.
    unshared_total: f64,
}

/// Parts that this daemon sent to an engine, by the hash of the chain that ends with the part. The least
/// recently used come first.
type Parts = IndexMap<u64, Cached>;

/// Prompt parts that engines have probably cached.
#[derive(Clone, Debug, Default)]
pub struct Prefixes {
    engines: IndexMap<UpstreamKey, Parts>,
    /// Number of parts of all engines.
    count: usize,
    /// Requests of this daemon with a shared prefix.
    rates: IndexMap<u64, Rate>,
    /// Prompt tokens of this daemon's requests that no other request shares.
    unshared: Rate,
    /// Sum of these tokens.
    unshared_total: f64,
}

/// A prompt's prefix and the engines that requests with it prefer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Spread {
    /// Number of engines that the load of the prefix needs.
    pub engines: usize,
    /// Requests per second with the prefix, over all daemons.
    pub rate: f64,
}

impl Prefixes {
    /// Records that a prompt was sent to an engine.
    pub fn record_prompt(&mut self, scope: CacheScope, need: &Need, now: Tick) {
        if let Some(prefix) = choice::shared_prefix(need) {
            if self.rates.len() >= MAX_PREFIXES && !self.rates.contains_key(&prefix) {
                let mut times: Vec<Tick> = self.rates.values().map(|rate| rate.at).collect();
                let index = times.len() / 10;
                let (_, &mut limit, _) = times.select_nth_unstable(index);
                self.rates.retain(|_, rate| rate.at > limit);
            }
            self.rates.entry(prefix).or_default().add(1.0, now);
        }
        let unshared = choice::unshared_tokens(need) as f64;
        self.unshared.add(unshared, now);
        self.unshared_total += unshared;
        let unshared_total = self.unshared_total;
        let parts = self.engines.entry(scope.engine).or_default();
        let before = parts.len();
        // The last parts of the chain are displaced first.
        let mut chains: Vec<(u64, u64)> = chain(scope, need).collect();
        chains.reverse();
        for (hash, tokens) in chains {
            parts.shift_remove(&hash);
            let CacheScope { model, adapter, .. } = scope;
            parts.insert(hash, Cached { tokens, model, adapter, used: now, unshared_total });
        }
        let excess = parts.len().saturating_sub(MAX_ENGINE_PARTS);
        parts.drain(..excess);
        self.count = self.count - before + parts.len();
        if self.count > MAX_PARTS {
            self.forget_least_used();
        }
    }

    /// Returns how far requests with the prompt's shared prefix are to be spread over engines; `None`
    /// if the prompt shares nothing.
    pub fn spread(
        &self,
        settings: &ChoiceSettings,
        need: &Need,
        daemons: usize,
        now: Tick,
    ) -> Option<Spread> {
        let prefix = choice::shared_prefix(need)?;
        let own = self.rates.get(&prefix).map_or(0.0, |rate| rate.at(now));
        let rate = own * daemons.max(1) as f64;
        let unshared = need.prompt.saturating_sub(choice::shared_tokens(need));
        let cost_ms = unshared as f64 / settings.prefill_rate + settings.contention_ms;
        let engines = (rate * cost_ms / 1e3 / UTILIZATION).round().max(1.0) as usize;
        Some(Spread { engines, rate })
    }

    /// Returns how many leading tokens of a prompt an engine has probably cached, by what this daemon
    /// sent there. `spread` is given for one of the engines that all daemons prefer for the prompt.
    pub fn cached_tokens(
        &self,
        scope: CacheScope,
        need: &Need,
        memory: Memory,
        fleet: Fleet,
        spread: Option<Spread>,
        now: Tick,
    ) -> u64 {
        let available = match memory.capacity {
            0 => f64::INFINITY,
            capacity => capacity.saturating_sub(memory.running) as f64,
        };
        let others = fleet.daemons.saturating_sub(1) as f64;
        let displacing = others / fleet.engines.max(1) as f64;
        let expected =
            spread.map_or(0, |spread| self.expected_tokens(need, fleet, spread, available, now));
        let Some(parts) = self.engines.get(&scope.engine) else { return expected };
        let mut chain = chain(scope, need).peekable();
        // Most engines don't have the first part.
        if chain.peek().is_none_or(|(hash, _)| !parts.contains_key(hash)) {
            return expected;
        }
        // Distance from which on a part is displaced, as an index into the parts by last use.
        let (mut later, mut oldest) = (0.0, parts.len());
        for (index, cached) in parts.values().enumerate().rev() {
            later += cached.tokens as f64;
            let since = self.unshared_total - cached.unshared_total;
            if later + since * displacing > available {
                break;
            }
            oldest = index;
        }
        let held = chain
            .take_while(|(hash, _)| parts.get_index_of(hash).is_some_and(|index| index >= oldest));
        held.fold(0_u64, |sum, (_, tokens)| sum.saturating_add(tokens)).max(expected)
    }

    /// Returns how many shared tokens a preferred engine has probably cached by what all daemons send:
    /// those that fit beside what is sent there between two requests with the prefix.
    fn expected_tokens(
        &self,
        need: &Need,
        fleet: Fleet,
        spread: Spread,
        available: f64,
        now: Tick,
    ) -> u64 {
        if fleet.daemons <= 1 {
            // This daemon knows all requests.
            return 0;
        }
        let all_rate = self.unshared.at(now) * fleet.daemons as f64 / fleet.engines.max(1) as f64;
        let interval_s = spread.engines as f64 / spread.rate.max(f64::MIN_POSITIVE);
        let is_rare = spread.rate <= 0.0;
        let displaced = if is_rare { 0.0 } else { all_rate * interval_s };
        let shared = choice::shared_tokens(need);
        if shared as f64 + displaced <= available {
            shared
        } else {
            0
        }
    }

    /// Removes all parts of an engine that has lost its cache.
    pub fn forget_engine(&mut self, engine: UpstreamKey) {
        if let Some(parts) = self.engines.swap_remove(&engine) {
            self.count -= parts.len();
        }
    }

    /// Removes the parts of models and adapters that an engine no longer has loaded.
    pub fn retain_held(
        &mut self,
        engine: UpstreamKey,
        holds: impl Fn(ModelKey, Option<AdapterKey>) -> bool,
    ) {
        let Some(parts) = self.engines.get_mut(&engine) else { return };
        let before = parts.len();
        parts.retain(|_, cached| holds(cached.model, cached.adapter));
        self.count = self.count - before + parts.len();
    }

    /// Returns the numbers of parts and of prefixes that are tracked.
    pub fn entry_counts(&self) -> (usize, usize) {
        (self.count, self.rates.len())
    }

    /// Removes the parts of the tenth of the engines that were used least recently.
    fn forget_least_used(&mut self) {
        let used = |parts: &Parts| parts.last().map_or(Tick(0), |(_, cached)| cached.used);
        let mut times: Vec<Tick> = self.engines.values().map(used).collect();
        let index = times.len() / 10;
        let (_, &mut limit, _) = times.select_nth_unstable(index);
        self.engines.retain(|_, parts| used(parts) > limit);
        self.count = self.engines.values().map(IndexMap::len).sum();
    }
}

/// Returns the number of cached tokens that count for the choice of an engine.
pub fn counted_tokens(cached: u64, weight: f64, is_preferred: bool) -> u64 {
    let preference = if is_preferred { 1.0 } else { OTHER_WEIGHT };
    (cached as f64 * weight * preference).round() as u64
}

/// Returns the first `count` engines of the ranked list for a prompt's shared prefix. The list is the
/// same on every daemon. `engines` yields keys and identities.
pub fn ranked_engines<'a>(
    shared: u64,
    count: usize,
    engines: impl Iterator<Item = (UpstreamKey, &'a str)>,
) -> Vec<UpstreamKey> {
    let mut ranked: Vec<(u64, UpstreamKey)> =
        engines.map(|(key, id)| (mix(hash(shared, id.bytes())), key)).collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.truncate(count);
    ranked.into_iter().map(|(_, key)| key).collect()
}

/// Returns the hashes of the chains that end with each part of a prompt, and the parts' tokens.
fn chain(scope: CacheScope, need: &Need) -> impl Iterator<Item = (u64, u64)> + '_ {
    let adapter = scope.adapter.map_or(0, |adapter| u64::from(adapter.0) + 1);
    let start = mix(mix(u64::from(scope.model.0)) ^ adapter);
    need.parts.iter().scan(start, |hash, part| {
        *hash = mix(*hash ^ mix(part.id));
        Some((*hash, part.tokens))
    })
}
