//! Selects the engine for a request.
//!
//! Selects the engine with the shortest expected time to first token. The estimate covers the
//! prefill of the request and of requests ahead of it, the running requests and the transport to
//! another zone. Requests that share a prompt prefix prefer the engine chosen by rendezvous
//! hashing, so daemons agree on it without communicating.

use std::time::Duration;

use indexmap::IndexMap;

use crate::hash::hash;
use crate::hash::mix;
use crate::keys::AdapterKey;
use crate::keys::ModelKey;
use crate::keys::UpstreamKey;
use crate::time;
use crate::time::Tick;

/// Time for which a processed prompt part is assumed to stay in the engine's cache.
const PREFIX_TTL: Duration = Duration::from_secs(40);
/// Most prompt parts that are tracked; the least recently used are dropped first.
const MAX_PARTS: usize = 8_192;

/// Default prefill rate of an engine, in tokens per millisecond.
pub(super) const PREFILL_RATE: f64 = 30.0;

/// Parameters of the estimated time to first token.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ChoiceSettings {
    /// Prefill rate of an engine, in tokens per millisecond.
    pub prefill_rate: f64,
    /// Delay of the first token by each running request, in milliseconds.
    pub contention_ms: f64,
    /// Cost of sending a request to another zone, in milliseconds, including the transport.
    pub cross_zone_ms: f64,
    /// Usable fraction of an engine's KV-cache capacity.
    pub memory_fraction: f64,
}

impl Default for ChoiceSettings {
    fn default() -> Self {
        ChoiceSettings {
            prefill_rate: PREFILL_RATE,
            contention_ms: 4.0,
            cross_zone_ms: 12.0,
            memory_fraction: 0.95,
        }
    }
}

/// Multiple of the latency target after which a repeatable request is sent to another engine.
const TIMEOUT_FACTOR: f64 = 1.5;
/// Shortest time that an engine is given for its first token.
const MIN_FIRST_TOKEN_TIMEOUT: Duration = Duration::from_millis(250);
/// Multiple of the expected time to first token that is added to the timeout. The known load lags
/// behind, and prefilling a prompt twice slows a busy engine down further.
const EXPECTED_TIME_FACTOR: u32 = 3;

/// Returns how long to wait for an engine's first token before the request is sent to another one.
/// `latency_target` is the time that callers expect, and `expected` the engine's estimated time to
/// first token.
pub fn first_token_timeout(latency_target: Duration, expected: Duration) -> Duration {
    latency_target.mul_f64(TIMEOUT_FACTOR).max(MIN_FIRST_TOKEN_TIMEOUT)
        + expected * EXPECTED_TIME_FACTOR
}

/// Part of a prompt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Part {
    /// Identifier of the text.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u64,
}

/// Size of a request in tokens.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Need {
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Most tokens of the answer.
    pub output: u64,
    /// Parts of the prompt in order; other requests may share all but the last.
    pub parts: Vec<Part>,
}

impl Need {
    /// Returns the tokens of the prompt and the answer.
    pub fn total(&self) -> u64 {
        self.prompt.saturating_add(self.output)
    }
}

/// Load of an engine.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Load {
    /// Running and queued requests.
    pub running: u32,
    /// Prompt tokens that aren't prefilled yet.
    pub pending_prefill: u64,
    /// Tokens of all prompts and answers.
    pub tokens: u64,
}

impl Load {
    /// Adds the load of further requests.
    pub fn add(&mut self, other: Load) {
        self.running = self.running.saturating_add(other.running);
        self.pending_prefill = self.pending_prefill.saturating_add(other.pending_prefill);
        self.tokens = self.tokens.saturating_add(other.tokens);
    }
}

/// Engine that is considered for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Key of the engine.
    pub key: UpstreamKey,
    /// Load of the engine, as far as this daemon knows.
    pub load: Load,
    /// Most requests that the engine runs concurrently.
    pub slots: u32,
    /// KV-cache capacity in tokens; 0 if it is unknown.
    pub capacity: u64,
    /// Prompt tokens that are expected in the engine's prefix cache.
    pub cached_tokens: u64,
    /// Whether the engine is in this daemon's zone.
    pub same_zone: bool,
}

/// Returns the candidate with capacity that has the shortest expected time to first token; `seed`
/// breaks ties.
pub fn choose(
    settings: &ChoiceSettings,
    need: &Need,
    candidates: &[Candidate],
    seed: u64,
) -> Option<Candidate> {
    let with_room = candidates.iter().filter(|candidate| candidate.has_room(settings, need));
    let tie_break = |candidate: &Candidate| mix(seed ^ mix(u64::from(candidate.key.0) + 1));
    let best = with_room.min_by(|a, b| {
        let times = (a.expected_ms(settings, need), b.expected_ms(settings, need));
        times.0.total_cmp(&times.1).then_with(|| tie_break(a).cmp(&tie_break(b)))
    });
    best.copied()
}

impl Candidate {
    fn has_room(&self, settings: &ChoiceSettings, need: &Need) -> bool {
        let usable = (self.capacity as f64 * settings.memory_fraction) as u64;
        let fits = self.load.tokens.saturating_add(need.total()) <= usable;
        self.load.running < self.slots && (self.capacity == 0 || fits || self.load.running == 0)
    }

    /// Returns the expected time to first token.
    pub fn expected(&self, settings: &ChoiceSettings, need: &Need) -> Duration {
        time::saturating_seconds(self.expected_ms(settings, need) / 1e3)
    }

    fn expected_ms(&self, settings: &ChoiceSettings, need: &Need) -> f64 {
        let own = need.prompt.saturating_sub(self.cached_tokens);
        let backlog = own.saturating_add(self.load.pending_prefill);
        let cross_zone = if self.same_zone { 0.0 } else { settings.cross_zone_ms };
        let contention = settings.contention_ms * f64::from(self.load.running);
        backlog as f64 / settings.prefill_rate + contention + cross_zone
    }
}

/// Returns the engine that requests with a shared prompt prefix prefer, which is the same on every
/// daemon. `engines` yields keys and identities.
pub fn preferred_engine<'a>(
    shared: u64,
    engines: impl Iterator<Item = (UpstreamKey, &'a str)>,
) -> Option<UpstreamKey> {
    engines.max_by_key(|(_, id)| mix(hash(shared, id.bytes()))).map(|(key, _)| key)
}

/// Returns a number that identifies the shared prefix of a prompt, which is all parts but the last.
/// `None` if no part is shared.
pub fn shared_prefix(need: &Need) -> Option<u64> {
    shared_parts(need).last()
}

/// Returns the parts of a prompt that other requests may share, which is all but the last.
pub fn shared_parts(need: &Need) -> impl Iterator<Item = u64> + Clone + '_ {
    shared(need).iter().map(|part| part.id)
}

/// Returns the number of prompt tokens that other requests may share.
pub fn shared_tokens(need: &Need) -> u64 {
    shared(need).iter().fold(0, |sum, part| part.tokens.saturating_add(sum))
}

fn shared(need: &Need) -> &[Part] {
    need.parts.split_last().map_or(&[], |(_, shared)| shared)
}

/// Returns the number of prompt tokens that no other request shares.
pub fn unshared_tokens(need: &Need) -> u64 {
    need.parts.last().map_or(need.prompt, |part| part.tokens)
}

/// Scope within which prompt parts can be reused.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct CacheScope {
    /// The engine.
    pub engine: UpstreamKey,
    /// The model.
    pub model: ModelKey,
    /// The adapter, if the request uses one.
    pub adapter: Option<AdapterKey>,
}

/// Tracks which prompt parts this daemon has sent to which engines.
#[derive(Clone, Debug, Default)]
pub struct PrefixTracker {
    last_use: IndexMap<(CacheScope, u64), Tick>,
}

impl PrefixTracker {
    /// Records that a prompt was sent to an engine.
    pub fn record_prompt(&mut self, scope: CacheScope, need: &Need, now: Tick) {
        for part in &need.parts {
            // The map is ordered by last use, so the least recently used parts come first.
            self.last_use.shift_remove(&(scope, part.id));
            self.last_use.insert((scope, part.id), now);
        }
        let excess = self.last_use.len().saturating_sub(MAX_PARTS);
        self.last_use.drain(..excess);
    }

    /// Returns how many leading tokens of a prompt are expected in an engine's prefix cache.
    pub fn cached_tokens(&self, scope: CacheScope, need: &Need, now: Tick) -> u64 {
        let mut tokens = 0;
        for part in &need.parts {
            match self.last_use.get(&(scope, part.id)) {
                Some(&at) if now.since(at) < PREFIX_TTL => {
                    tokens = part.tokens.saturating_add(tokens);
                }
                _ => break,
            }
        }
        tokens
    }

    /// Removes all parts of an engine that has lost its cache.
    pub fn forget_engine(&mut self, engine: UpstreamKey) {
        self.last_use.retain(|(scope, _), _| scope.engine != engine);
    }
}
