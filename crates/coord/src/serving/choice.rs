//! Which engine a request goes to.
//!
//! The engine with the least expected time to the first token is taken: what it has to read of the
//! prompt, what it reads for others before, how many run beside, and the way there. Daemons that
//! know nothing of each other's requests still send requests that share a prompt to the same
//! engine, since the first choice for a shared part is a rendezvous hash.

use std::time::Duration;

use indexmap::IndexMap;

use crate::hash::hash;
use crate::hash::mix;
use crate::keys::AdapterKey;
use crate::keys::ModelKey;
use crate::keys::UpstreamKey;
use crate::time::Tick;

/// Time for which a part that was read counts as kept.
const PREFIX_TTL: Duration = Duration::from_secs(40);
/// Parts remembered at most; the oldest are forgotten first.
const MAX_PARTS: usize = 8_192;

/// Prompt tokens that an engine reads in a millisecond, until something better is known.
pub(super) const PREFILL_RATE: f64 = 30.0;

/// Figures for the expected time to a first token.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ChoiceSettings {
    /// Prompt tokens that an engine reads in a millisecond.
    pub prefill_rate: f64,
    /// Milliseconds that each running request adds to a first token.
    pub contention_ms: f64,
    /// Milliseconds that the way to another zone counts as, transport included.
    pub cross_zone_ms: f64,
    /// Part of an engine's token memory that may be taken.
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

/// Objectives after which a repeatable request that wasn't answered is sent elsewhere.
const TIMEOUT_FACTOR: f64 = 1.5;
/// Least time that an engine is given to answer a repeatable request.
const MIN_FIRST_TOKEN_TIMEOUT: Duration = Duration::from_millis(250);
/// Expected times to a first token that an engine is given on top: what is known of its load lags,
/// and a prompt that is read twice makes a busy engine slower still.
const EXPECTED_TIME_FACTOR: u32 = 3;

/// Time that an engine with this `expected` time to a first token has for it, where callers want it
/// within `aim`, before the request is sent elsewhere.
pub fn first_token_timeout(objective: Duration, expected: Duration) -> Duration {
    objective.mul_f64(TIMEOUT_FACTOR).max(MIN_FIRST_TOKEN_TIMEOUT) + expected * EXPECTED_TIME_FACTOR
}

/// One part of a prompt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Part {
    /// Identity of the text.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u64,
}

/// What a request needs of an engine.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Need {
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Tokens that the answer has at most.
    pub output: u64,
    /// The prompt's parts in order; the last is the request's own.
    pub parts: Vec<Part>,
}

/// What runs at an engine.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Load {
    /// Requests that run or wait there.
    pub running: u32,
    /// Prompt tokens that it still has to read.
    pub unread: u64,
    /// Tokens of all prompts and answers there.
    pub tokens: u64,
}

/// An engine that a request may go to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// The engine.
    pub key: UpstreamKey,
    /// What runs there, as far as this daemon knows.
    pub load: Load,
    /// Requests that run at once.
    pub slots: u32,
    /// Token memory; 0 where it isn't known.
    pub capacity: u64,
    /// Prompt tokens that it has read already.
    pub cached_tokens: u64,
    /// Whether it is in this daemon's zone.
    pub same_zone: bool,
}

/// The candidate with the least expected time to a first token, among those with room; `seed`
/// decides between equals.
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
        let fits = self.load.tokens + need.prompt + need.output <= usable;
        self.load.running < self.slots && (self.capacity == 0 || fits || self.load.running == 0)
    }

    /// Expected time to a first token.
    pub fn expected(&self, settings: &ChoiceSettings, need: &Need) -> Duration {
        Duration::from_secs_f64(self.expected_ms(settings, need) / 1e3)
    }

    fn expected_ms(&self, settings: &ChoiceSettings, need: &Need) -> f64 {
        let unread = need.prompt.saturating_sub(self.cached_tokens) + self.load.unread;
        let cross_zone = if self.same_zone { 0.0 } else { settings.cross_zone_ms };
        let contention = settings.contention_ms * f64::from(self.load.running);
        unread as f64 / settings.prefill_rate + contention + cross_zone
    }
}

/// The engine that requests with a shared prompt go to first: the same at every daemon. Engines
/// are given by key and name.
pub fn preferred_engine<'a>(
    shared: u64,
    engines: impl Iterator<Item = (UpstreamKey, &'a str)>,
) -> Option<UpstreamKey> {
    engines.max_by_key(|(_, id)| mix(hash(shared, id.bytes()))).map(|(key, _)| key)
}

/// The part of a prompt that other requests share: all parts but the last, as one number.
pub fn shared_prefix(need: &Need) -> Option<u64> {
    let (_, shared) = need.parts.split_last()?;
    shared.last().map(|part| part.id)
}

/// Tokens of a prompt that no other request shares.
pub fn unshared_tokens(need: &Need) -> u64 {
    need.parts.last().map_or(need.prompt, |part| part.tokens)
}

/// Whose weights read a part.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct CacheScope {
    /// The engine.
    pub engine: UpstreamKey,
    /// The model.
    pub model: ModelKey,
    /// The adapter, if any.
    pub adapter: Option<AdapterKey>,
}

/// Which engines have read which parts of prompts, as far as this daemon sent them there.
#[derive(Clone, Debug, Default)]
pub struct PrefixTracker {
    last_use: IndexMap<(CacheScope, u64), Tick>,
}

impl PrefixTracker {
    /// Records that a prompt was sent to be read.
    pub fn record_prompt(&mut self, scope: CacheScope, need: &Need, now: Tick) {
        for part in &need.parts {
            // The order of the map is that of last use, so that the oldest come first.
            self.last_use.shift_remove(&(scope, part.id));
            self.last_use.insert((scope, part.id), now);
        }
        let excess = self.last_use.len().saturating_sub(MAX_PARTS);
        self.last_use.drain(..excess);
    }

    /// Tokens at the beginning of a prompt that an engine has read.
    pub fn cached_tokens(&self, scope: CacheScope, need: &Need, now: Tick) -> u64 {
        let mut tokens = 0;
        for part in &need.parts {
            match self.last_use.get(&(scope, part.id)) {
                Some(&at) if now.since(at) < PREFIX_TTL => tokens += part.tokens,
                _ => break,
            }
        }
        tokens
    }

    /// Forgets what an engine has read, since it lost it.
    pub fn forget_engine(&mut self, engine: UpstreamKey) {
        self.last_use.retain(|(scope, _), _| scope.engine != engine);
    }
}
