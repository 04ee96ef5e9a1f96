//! Selects the engine for a request.
//!
//! Selects an engine with a short expected time to first token. The estimate covers the prefill of the
//! request and of requests ahead of it, the running requests, the engine's speed and the transport to
//! another zone. Requests that share a prompt prefix prefer the engine chosen by rendezvous
//! hashing, so daemons agree on it without communicating.
//!
//! What a daemon knows of the others' requests is some tenths of a second old. If all daemons chose
//! the best engine, they would all choose the same one until they know better. So each daemon spreads
//! its requests over the near-best engines such that the requests that all daemons have probably sent
//! since would make these engines equally loaded.

use std::fmt;
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
pub const PREFILL_RATE: f64 = 30.0;

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
    /// What is known of the engine's speed and of what others may have sent there.
    pub condition: Condition,
}

/// Speed of an engine, and what may have changed there unnoticed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Condition {
    /// Reported factor on the time that work takes there at the moment; 1 is usual.
    pub slowness: f64,
    /// Whether the engine shares its machine and so reports a slowness.
    pub is_shared: bool,
    /// Learned factor on the time that work takes there.
    pub speed: Speed,
    /// Running and queued requests by the engine's own recent report, which replaces that of the
    /// load in the estimate.
    pub occupancy: Option<u32>,
    /// Expected number of requests that other daemons have sent there unnoticed.
    pub unseen: f64,
    /// Usual times of the request, if they are to be used.
    pub usual: Usual,
}

impl Default for Condition {
    fn default() -> Self {
        Condition {
            slowness: 1.0,
            is_shared: false,
            speed: Speed::default(),
            occupancy: None,
            unseen: 0.0,
            usual: Usual::default(),
        }
    }
}

impl Condition {
    /// Returns the factor on the time that work takes at the engine.
    pub fn factor(&self) -> f64 {
        self.slowness * self.speed.log.exp()
    }
}

/// Terms of the expected time to the first token, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Terms {
    /// Prefill of the prompt without what is cached.
    pub prefill_ms: f64,
    /// Prefill that the cached parts save; not part of the sum.
    pub saved_ms: f64,
    /// Prefill of requests ahead of it.
    pub backlog_ms: f64,
    /// Delay by running requests.
    pub contention_ms: f64,
    /// Work of a request to a service without models.
    pub work_ms: f64,
    /// Wait of such a request for a slot.
    pub slot_ms: f64,
    /// Transport to another zone.
    pub zone_ms: f64,
}

impl Terms {
    /// Returns the expected time to the first token.
    pub fn total_ms(&self) -> f64 {
        let Terms { prefill_ms, backlog_ms, contention_ms, work_ms, slot_ms, zone_ms, .. } = self;
        prefill_ms + backlog_ms + contention_ms + work_ms + slot_ms + zone_ms
    }
}

impl fmt::Display for Terms {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Terms { prefill_ms, saved_ms, backlog_ms, contention_ms, .. } = self;
        let Terms { work_ms, slot_ms, zone_ms, .. } = self;
        write!(
            formatter,
            "total_ms={:.1} prefill_ms={prefill_ms:.1} saved_ms={saved_ms:.1} \
             backlog_ms={backlog_ms:.1} contention_ms={contention_ms:.1} work_ms={work_ms:.1} \
             slot_ms={slot_ms:.1} zone_ms={zone_ms:.1}",
            self.total_ms()
        )
    }
}

/// Learned factor on the time that work takes at an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Speed {
    /// Natural logarithm of the factor.
    pub log: f64,
    /// Standard error of the logarithm; infinite if the factor isn't known.
    pub error: f64,
}

impl Default for Speed {
    fn default() -> Self {
        Speed { log: 0.0, error: f64::INFINITY }
    }
}

/// Learned times of a request at an engine of factor 1.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usual {
    /// Time of a request that needs a slot and no prefill, in milliseconds.
    pub work_ms: Option<f64>,
    /// Time of the prefill of a prompt token, in milliseconds.
    pub token_ms: Option<f64>,
}

/// Completes the conditions of the candidates for a request.
///
/// Learned speeds are made relative to the mean of the candidates. If no engine reports a slowness and
/// none differs in speed, the candidates are compared only by the load summed over all daemons, and the
/// best one is chosen.
pub fn complete(candidates: &mut [Candidate], usual: Usual) {
    let near = candidates.iter().filter(|candidate| candidate.same_zone).count();
    let near = near as f64 / candidates.len().max(1) as f64;
    let speeds = candidates.iter().map(|candidate| candidate.condition.speed);
    let known = speeds.filter(|speed| speed.error.is_finite());
    let (count, sum) = known.fold((0_u32, 0.0), |(n, sum), speed| (n + 1, sum + speed.log));
    let mean = sum / f64::from(count.max(1));
    let is_distinct = candidates.iter().any(|candidate| {
        candidate.condition.is_shared || candidate.condition.speed.differs_from(mean)
    });
    for candidate in candidates {
        let condition = &mut candidate.condition;
        if is_distinct {
            condition.usual = usual;
            condition.speed.log = condition.speed.relative_to(mean);
        } else {
            condition.occupancy = None;
            condition.speed.log = 0.0;
            condition.unseen = 0.0;
        }
        // Daemons prefer the engines of their own zone, so daemons in other zones send fewer requests
        // to the engines here than the ones in this zone.
        condition.unseen *= if candidate.same_zone { near } else { 1.0 - near };
    }
}

impl Speed {
    /// Returns whether the factor is known to differ from the one with this logarithm.
    pub fn differs_from(&self, mean: f64) -> bool {
        (self.log - mean).abs() >= MIN_DIFFERENCE.max(self.error * DIFFERENCE_ERRORS)
    }

    /// Returns the logarithm of the factor relative to the mean, reduced by how uncertain it is.
    fn relative_to(&self, mean: f64) -> f64 {
        let difference = self.log - mean;
        let error = self.error / difference.abs().max(f64::MIN_POSITIVE);
        if error.is_finite() {
            difference * (1.0 - error * error).max(0.0)
        } else {
            0.0
        }
    }
}

/// Least difference of the logarithm of an engine's factor from the mean that counts.
const MIN_DIFFERENCE: f64 = 0.1;
/// Least number of standard errors by which a factor differs from the mean if that counts. With fewer,
/// one of dozens of equal engines would often seem to differ.
const DIFFERENCE_ERRORS: f64 = 4.0;
/// Largest difference between the expected time of a chosen engine and that of the best one, in
/// milliseconds. In simulations of 60 daemons with summaries 0.5 s old, limits of 100 and 400 ms left
/// so much herding that the mean wait was 2.3 and 1.3 times as long.
const MAX_MARGIN_MS: f64 = 1_000.0;
/// Largest ratio between the learned prefill rate of a model and the one in the settings, either way.
const MAX_RATE_RATIO: f64 = 4.0;
/// Most steps in which the level is lowered that the near-best candidates would reach.
const MAX_LEVEL_STEPS: usize = 8;

/// Returns a candidate with capacity and a short expected time to first token. If nothing changed
/// unnoticed it is the one with the shortest, and `seed` breaks ties. Otherwise `seed` chooses among
/// the near-best.
///
/// The probability of a candidate is proportional to how far its expected time is below the level that
/// all near-best candidates would reach if the unnoticed requests were shared out among them evenly.
pub fn choose(
    settings: &ChoiceSettings,
    need: &Need,
    candidates: &[Candidate],
    seed: u64,
) -> Option<Candidate> {
    let with_room = || candidates.iter().filter(|candidate| candidate.has_room(settings, need));
    let tie_break = |candidate: &Candidate| mix(seed ^ mix(u64::from(candidate.key.0) + 1));
    let (mut count, mut sum, mut unseen_ms) = (0_u32, 0.0, 0.0);
    let mut best: Option<(f64, &Candidate)> = None;
    for candidate in with_room() {
        let time = candidate.expected_ms(settings, need);
        count += 1;
        sum += time;
        unseen_ms += candidate.condition.unseen * candidate.added_ms(settings, need);
        let is_better = best.is_none_or(|(shortest, other)| {
            let order = time.total_cmp(&shortest);
            order.then_with(|| tie_break(candidate).cmp(&tie_break(other))).is_lt()
        });
        if is_better {
            best = Some((time, candidate));
        }
    }
    let (shortest, best) = best?;
    if unseen_ms <= 0.0 || count == 1 {
        return Some(*best);
    }
    // Lowers the level until only candidates below it are counted.
    let mut level = (unseen_ms + sum) / f64::from(count);
    for _ in 0..MAX_LEVEL_STEPS {
        let times = with_room().map(|candidate| candidate.expected_ms(settings, need));
        let below = times.filter(|time| *time < level);
        let (fewer, sum) = below.fold((0_u32, 0.0), |(n, sum), time| (n + 1, sum + time));
        if fewer == count || fewer == 0 {
            break;
        }
        count = fewer;
        level = (unseen_ms + sum) / f64::from(count);
    }
    let level = level.min(shortest + MAX_MARGIN_MS);
    let margins = || {
        with_room()
            .map(|candidate| (candidate, (level - candidate.expected_ms(settings, need)).max(0.0)))
    };
    let total: f64 = margins().map(|(_, margin)| margin).sum();
    // The seed also breaks ties and selects the service, so it is mixed with a constant.
    let unit = (mix(seed ^ 0x9e37_79b9_7f4a_7c15) >> 11) as f64 / (1_u64 << 53) as f64;
    let mut remaining = unit * total;
    for (candidate, margin) in margins() {
        remaining -= margin;
        if remaining < 0.0 {
            return Some(*candidate);
        }
    }
    Some(*best)
}

impl Candidate {
    /// Returns whether the engine has a slot and memory for a request.
    pub fn has_room(&self, settings: &ChoiceSettings, need: &Need) -> bool {
        let usable = (self.capacity as f64 * settings.memory_fraction) as u64;
        let fits = self.load.tokens.saturating_add(need.total()) <= usable;
        self.load.running < self.slots && (self.capacity == 0 || fits || self.load.running == 0)
    }

    /// Returns the expected time to first token.
    pub fn expected(&self, settings: &ChoiceSettings, need: &Need) -> Duration {
        time::saturating_seconds(self.expected_ms(settings, need) / 1e3)
    }

    fn expected_ms(&self, settings: &ChoiceSettings, need: &Need) -> f64 {
        let cross_zone = if self.same_zone { 0.0 } else { settings.cross_zone_ms };
        let factor = self.condition.factor();
        if let Some(work_ms) = self.condition.usual.work_ms {
            return work_ms * factor * (1.0 + self.slot_wait()) + cross_zone;
        }
        let own = need.prompt.saturating_sub(self.cached_tokens);
        let backlog = own.saturating_add(self.load.pending_prefill);
        let contention = settings.contention_ms * f64::from(self.occupancy());
        (backlog as f64 / self.prefill_rate(settings) + contention) * factor + cross_zone
    }

    /// Returns the terms of the expected time to first token.
    pub fn terms(&self, settings: &ChoiceSettings, need: &Need) -> Terms {
        let zone_ms = if self.same_zone { 0.0 } else { settings.cross_zone_ms };
        let factor = self.condition.factor();
        if let Some(work_ms) = self.condition.usual.work_ms {
            let work_ms = work_ms * factor;
            let slot_ms = work_ms * self.slot_wait();
            return Terms { work_ms, slot_ms, zone_ms, ..Terms::default() };
        }
        let prefill_ms = |tokens: u64| tokens as f64 / self.prefill_rate(settings) * factor;
        Terms {
            prefill_ms: prefill_ms(need.prompt.saturating_sub(self.cached_tokens)),
            saved_ms: prefill_ms(self.cached_tokens.min(need.prompt)),
            backlog_ms: prefill_ms(self.load.pending_prefill),
            contention_ms: settings.contention_ms * f64::from(self.occupancy()) * factor,
            zone_ms,
            ..Terms::default()
        }
    }

    /// Returns the prefill rate of an engine of factor 1, in tokens per millisecond.
    fn prefill_rate(&self, settings: &ChoiceSettings) -> f64 {
        let usual = self.condition.usual.token_ms.map(|token_ms| 1.0 / token_ms);
        let range = settings.prefill_rate / MAX_RATE_RATIO..=settings.prefill_rate * MAX_RATE_RATIO;
        usual.map_or(settings.prefill_rate, |rate| rate.clamp(*range.start(), *range.end()))
    }

    /// Returns by how much a further request like this one lengthens the wait, in milliseconds.
    fn added_ms(&self, settings: &ChoiceSettings, need: &Need) -> f64 {
        let factor = self.condition.factor();
        if let Some(work_ms) = self.condition.usual.work_ms {
            return work_ms * factor / f64::from(self.slots.max(1));
        }
        let own = need.prompt.saturating_sub(self.cached_tokens);
        (own as f64 / self.prefill_rate(settings) + settings.contention_ms) * factor
    }

    fn occupancy(&self) -> u32 {
        self.condition.occupancy.unwrap_or(self.load.running)
    }

    /// Returns the wait for a slot, as a multiple of the time of a request.
    fn slot_wait(&self) -> f64 {
        let (slots, occupied) = (f64::from(self.slots.max(1)), f64::from(self.occupancy()));
        let queue = (occupied + 1.0 - slots).max(0.0);
        // With few free slots, requests that weren't noticed are likely to have taken the last one.
        let shortage = (occupied / slots).min(1.0);
        (queue + shortage * shortage) / slots
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
