//! Selects the engine for an attempt from the state that this daemon knows.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use corianderyoke_coord::keys::UpstreamKey;
use corianderyoke_coord::serving::admission::Crowd;
use corianderyoke_coord::serving::choice;
use corianderyoke_coord::serving::choice::CacheScope;
use corianderyoke_coord::serving::choice::Candidate;
use corianderyoke_coord::serving::choice::Condition;
use corianderyoke_coord::serving::choice::Need;
use corianderyoke_coord::serving::engine_limits::Share;
use corianderyoke_coord::serving::engines::Engine;
use corianderyoke_coord::serving::notice::Process;
use corianderyoke_coord::serving::origins::Release;
use corianderyoke_coord::serving::prefixes;
use corianderyoke_coord::serving::prefixes::Fleet;
use corianderyoke_coord::serving::prefixes::Memory;
use corianderyoke_coord::serving::prefixes::Spread;
use corianderyoke_coord::serving::quotas;
use corianderyoke_coord::serving::quotas::ColdQuota;
use corianderyoke_coord::serving::ranking;
use corianderyoke_coord::serving::ranking::Exclusion;
use corianderyoke_coord::serving::ranking::Ranking;
use corianderyoke_coord::serving::ranking::Wanted;
use corianderyoke_coord::serving::roster::PEER_TIMEOUT;
use corianderyoke_coord::serving::stagger::Slot;
use corianderyoke_coord::time::Tick;
use corianderyoke_util::events;
use corianderyoke_util::events::Event;

use crate::call::Call;
use crate::call::Generation;
use crate::forward::turn;
use crate::forward::wait::Missing;
use crate::peers;
use crate::state::LoadGuard;
use crate::state::RequestLoad;
use crate::state::State;

/// Engine selected for an attempt.
#[derive(Clone, Debug)]
pub struct Target {
    /// Key in the shared state.
    pub key: UpstreamKey,
    /// Identity in the store and on the wire.
    pub id: String,
    /// Version of the engine's software as of the selection.
    pub software: String,
    /// Release of that software.
    pub release: Release,
    /// Whether the engine is in this daemon's zone.
    pub same_zone: bool,
    /// Address for requests.
    pub address: SocketAddr,
    /// Process of the engine as of the selection.
    pub process: Process,
    /// Estimated number of requests in flight there, without this one.
    pub running: u32,
    /// Prompt tokens of other requests that weren't prefilled there at the selection.
    pub backlog: u64,
    /// Prompt tokens that are probably in the engine's prefix cache.
    pub cached_tokens: u64,
    /// Number of engines that were eligible.
    pub candidate_count: usize,
    /// Expected time to the first token.
    pub expected: Duration,
    /// What that expectation is based on, for the log.
    pub basis: Basis,
}

/// What the choice of an engine is based on.
#[derive(Clone, Copy, Debug)]
pub struct Basis {
    /// Expected time to the first token.
    expected: Duration,
    /// Prompt tokens of other requests that weren't prefilled.
    backlog: u64,
    /// What was known of the engine.
    condition: Condition,
    /// Age of what was known of the other daemons' requests.
    age: Duration,
}

impl fmt::Display for Basis {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Basis { expected, backlog, condition, age } = self;
        let Condition { slowness, occupancy, unseen, usual, .. } = condition;
        write!(
            formatter,
            "expected_ms={} backlog={backlog} slowness={slowness:.2} speed={:.2} \
             occupancy={occupancy:?} work_ms={:.0} unseen={unseen:.3} age_ms={}",
            expected.as_millis(),
            condition.speed.log.exp(),
            usual.work_ms.unwrap_or(0.0),
            age.as_millis()
        )
    }
}

/// Result of a selection.
#[derive(Debug)]
pub enum Selection {
    /// Selected engine, at which the guard counts the request.
    Engine(Box<Target>, LoadGuard),
    /// No engine of the service may receive requests.
    NoEngine,
    /// No engine has the model loaded.
    ModelNotLoaded,
    /// Engines have the model loaded but not the adapter.
    AdapterNotLoaded,
    /// All eligible engines are at capacity, or have no room besides more urgent requests.
    Full(Crowd),
    /// The engines are brittle, and other daemons have all shares of them.
    Shareless(Crowd),
    /// The limits and pauses that engines name leave no request for this time. Unless it is short,
    /// other engines have to load what they lack; `None` if there are none or they lack nothing.
    Limited(Duration, Option<Missing>),
    /// The stream can't go on at the release that began it.
    OtherReleases(ReleaseGap),
}

/// Reason why a stream can't go on at the release that began it; logged under its variant name.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReleaseGap {
    /// No engine has the release.
    Gone,
    /// Only engines of other releases hold the model.
    HeldElsewhere,
}

/// Selects an engine among those that satisfy `allowed`. Engines in `avoided` are considered only
/// if no other is eligible.
pub fn select_engine(
    call: &Call,
    allowed: impl Fn(UpstreamKey) -> bool,
    avoided: &[UpstreamKey],
    now: Tick,
) -> Selection {
    let mut guard = call.shared.state();
    let state = &mut *guard;
    let mut eligible = match eligible_engines(call, state, &allowed, now) {
        Ok(eligible) => eligible,
        Err(reason) => {
            log_ranking(call, state, &[], avoided, now);
            if let Some(gap) = call.release.and_then(|release| release_gap(call, state, release)) {
                return Selection::OtherReleases(gap);
            }
            let Some(pause) = shortest_pause(call, state, &allowed, now) else { return reason };
            return Selection::Limited(pause, missing_elsewhere(call, state, allowed, now));
        }
    };
    if eligible.iter().any(|key| !avoided.contains(key)) {
        eligible.retain(|key| !avoided.contains(key));
    }
    let default_need = Need::default();
    let need = call.generation.as_ref().map_or(&default_need, |generation| &generation.need);
    let mut candidates = candidates(call, state, &eligible, need, now);
    log_ranking(call, state, &candidates, avoided, now);
    turn::retain_permitted(call, state, &mut candidates, now);
    let (mut limited_count, mut shortest) = (0, Duration::MAX);
    while let Some(best) = choice::choose(&call.shared.choice, need, &candidates, call.seed()) {
        if !try_admit(call, state, best.key, now) {
            candidates.retain(|candidate| candidate.key != best.key);
            continue;
        }
        if let Err(wait) = try_admit_limited(call, state, best.key, now) {
            candidates.retain(|candidate| candidate.key != best.key);
            limited_count += 1;
            shortest = shortest.min(wait);
            continue;
        }
        return assign(call, state, best, eligible.len(), now);
    }
    // An engine that is full or cold may take the request any moment.
    if limited_count == eligible.len() {
        let pause = shortest_pause(call, state, &allowed, now);
        let wait = pause.map_or(shortest, |pause| pause.min(shortest));
        return Selection::Limited(wait, missing_elsewhere(call, state, allowed, now));
    }
    let is_shareless = eligible.iter().all(|&key| brittle_share(call, state, key, now) == Some(0));
    let crowd = turn::crowd(state, eligible, now);
    match is_shareless {
        true => Selection::Shareless(crowd),
        false => Selection::Full(crowd),
    }
}

/// Returns how many slots of an engine this daemon may use, if the engine is brittle.
fn brittle_share(call: &Call, state: &State, key: UpstreamKey, now: Tick) -> Option<u32> {
    let limit = state.brittleness.limit(&call.service, now)?;
    let engine = state.engines.get(key)?;
    let slot = Slot { rank: call.shared.rank(state, &engine.id), size: state.roster.size() };
    Some(limit.share(engine.slots, slot))
}

/// Returns the names of the daemons that share an engine of the call's service, which is brittle. Calls
/// are spread over the engines and their daemons.
pub fn sharers(call: &Call, state: &State, now: Tick) -> Vec<String> {
    let Some(limit) = state.brittleness.limit(&call.service, now) else { return Vec::new() };
    let eligible = eligible_engines(call, state, |_| true, now).unwrap_or_default();
    let seed = call.seed() as usize;
    let nth = seed % eligible.len().max(1);
    let Some(engine) = eligible.get(nth).and_then(|key| state.engines.get(*key)) else {
        return Vec::new();
    };
    let own = call.shared.settings.name.as_str();
    let daemons = state.roster.known().map(|daemon| daemon.name.as_str()).chain([own]);
    let count = limit.senders(engine.slots, state.roster.size()) as usize;
    let mut sharers = quotas::first(&engine.id, daemons, count);
    let size = sharers.len().max(1);
    sharers.rotate_left(seed / eligible.len() % size);
    sharers.into_iter().filter(|name| *name != own).map(str::to_owned).collect()
}

/// Logs how the engines for a call are ranked, if the log has this level.
fn log_ranking(
    call: &Call,
    state: &State,
    candidates: &[Candidate],
    avoided: &[UpstreamKey],
    now: Tick,
) {
    if !log::log_enabled!(Event::UpstreamsRanked.level()) {
        return;
    }
    let ranking = ranking(call, state, candidates, avoided, now);
    let names = &state.engines.names.engines;
    let text = ranking.describe(|key| names.name(key));
    events::log(Event::UpstreamsRanked, format_args!("id={} {text}", call.id));
}

/// Ranks the engines of the call's service, and changes nothing. `candidates` are those that may get the
/// request.
fn ranking(
    call: &Call,
    state: &State,
    candidates: &[Candidate],
    avoided: &[UpstreamKey],
    now: Tick,
) -> Ranking {
    let default_need = Need::default();
    let need = call.generation.as_ref().map_or(&default_need, |generation| &generation.need);
    let model = call.generation.as_ref().map(|generation| (generation.model, generation.adapter));
    let wanted = Wanted { service: &call.service, model, avoided };
    let blocked = |key| {
        let cold = cold_share(call, state, key, now).filter(|(limit, size, rank)| {
            let quota = state.cold_quotas.get(&key);
            let unused = ColdQuota::default();
            !quota.unwrap_or(&unused).has_left(*limit, *size, *rank, now)
        });
        let share = limit_share(call, state, key, now);
        let wait = share.and_then(|share| state.engine_limits.wait(key, share, now));
        cold.map(|_| Exclusion::ColdQuota).or(wait.map(Exclusion::Limit))
    };
    let times = (knowledge_age(state, now), now);
    ranking::rank(&call.shared.choice, need, (&state.engines, &wanted), candidates, blocked, times)
}

/// Returns whether an engine that satisfies `allowed` is eligible for the call.
pub fn has_candidate(call: &Call, allowed: impl Fn(UpstreamKey) -> bool, now: Tick) -> bool {
    eligible_engines(call, &call.shared.state(), allowed, now).is_ok()
}

/// Returns the engines that may receive the call now.
fn usable(call: &Call, state: &State, now: Tick) -> Vec<UpstreamKey> {
    state.engines.usable_where(&call.service, |engine| is_permitted(call, state, engine), now)
}

/// Returns whether an engine has a release that may receive the call.
fn is_permitted(call: &Call, state: &State, engine: &Engine) -> bool {
    call.permits(engine.release, &state.origins)
}

/// Returns why a stream can't go on at the release that began it, if that won't change in time: no
/// engine has the release, or only engines of others hold the model.
fn release_gap(call: &Call, state: &State, release: Release) -> Option<ReleaseGap> {
    if !state.engines.has_release(&call.service, release) {
        return Some(ReleaseGap::Gone);
    }
    let generation = call.generation.as_ref()?;
    let holds =
        |engine: &Engine| engine.service == call.service && engine.holds(generation.model, None);
    let mut holders = state.engines.iter().filter(|(_, engine)| holds(engine)).peekable();
    holders.peek()?;
    let is_elsewhere = holders.all(|(_, engine)| engine.release != release);
    is_elsewhere.then_some(ReleaseGap::HeldElsewhere)
}

/// Returns the engines that have the call's model and adapter loaded, or the reason why there are
/// none.
fn eligible_engines(
    call: &Call,
    state: &State,
    allowed: impl Fn(UpstreamKey) -> bool,
    now: Tick,
) -> Result<Vec<UpstreamKey>, Selection> {
    let mut eligible = usable(call, state, now);
    eligible.retain(|key| allowed(*key));
    if eligible.is_empty() {
        return Err(Selection::NoEngine);
    }
    let Some(generation) = &call.generation else { return Ok(eligible) };
    let holds = |key: &UpstreamKey, adapter| {
        let engine = state.engines.get(*key);
        engine.is_some_and(|engine| engine.holds(generation.model, adapter))
    };
    eligible.retain(|key| holds(key, None));
    if eligible.is_empty() {
        return Err(Selection::ModelNotLoaded);
    }
    eligible.retain(|key| holds(key, generation.adapter));
    if eligible.is_empty() {
        return Err(Selection::AdapterNotLoaded);
    }
    Ok(eligible)
}

fn candidates(
    call: &Call,
    state: &State,
    eligible: &[UpstreamKey],
    need: &Need,
    now: Tick,
) -> Vec<Candidate> {
    let spec = call.desired.services.get(&call.service).and_then(|service| service.engine.as_ref());
    let capacity = spec.map_or(0, |spec| spec.tokens);
    let zone = state.engines.names.zones.key(&call.shared.settings.zone);
    let prefixes = PrefixView::new(call, state, eligible, need, now);
    let age = knowledge_age(state, now);
    let others = state.roster.size().saturating_sub(1);
    let candidates = eligible.iter().filter_map(|&key| {
        let engine = state.engines.get(key)?;
        let load = state.load(key, now);
        let memory = Memory { capacity, running: load.tokens };
        let cached_tokens = call.generation.as_ref().map_or(0, |generation| {
            prefixes.cached_tokens(state, cache_scope(key, generation), need, memory, now)
        });
        let reading = state.telemetry.reading(key, state.own_running(key), now);
        Some(Candidate {
            key,
            load,
            slots: match brittle_share(call, state, key, now) {
                Some(share) => {
                    let elsewhere = load.running.saturating_sub(state.own_running(key));
                    elsewhere.saturating_add(share).min(engine.slots)
                }
                None => engine.slots,
            },
            capacity,
            cached_tokens,
            same_zone: Some(engine.zone) == zone,
            condition: reading.condition(others, age),
        })
    });
    let mut candidates: Vec<Candidate> = candidates.collect();
    let usual = match &call.generation {
        Some(generation) => state.telemetry.model_usual(generation.model),
        None => state.telemetry.plain_usual(&call.service, &call.route.name),
    };
    choice::complete(&mut candidates, usual);
    candidates
}

/// Returns the age of what this daemon knows of the other daemons' requests.
fn knowledge_age(state: &State, now: Tick) -> Duration {
    let digest_age = Some(state.digest_age(now)).filter(|age| *age < PEER_TIMEOUT);
    peers::report_interval(state) + digest_age.unwrap_or_default()
}

/// How the prompt parts that engines have cached are estimated for a request.
#[derive(Debug)]
enum PrefixView {
    /// By this daemon's requests, with the engine that all daemons prefer.
    Sent(Option<UpstreamKey>),
    /// By the engines' memory, with the engines that all daemons prefer.
    Memory { weight: f64, fleet: Fleet, spread: Option<Spread>, ranked: Vec<UpstreamKey> },
}

impl PrefixView {
    fn new(
        call: &Call,
        state: &State,
        eligible: &[UpstreamKey],
        need: &Need,
        now: Tick,
    ) -> PrefixView {
        let Some(weight) = call.shared.settings.prefix_weight else {
            return PrefixView::Sent(preferred_engine(call, state, eligible));
        };
        let fleet = Fleet { daemons: state.roster.size(), engines: state.engines.len() };
        let spread = state.cached.spread(&call.shared.choice, need, fleet.daemons, now);
        let engines =
            eligible.iter().filter_map(|&key| Some((key, state.engines.get(key)?.id.as_str())));
        let ranked = spread
            .zip(choice::shared_prefix(need))
            .map(|(spread, shared)| prefixes::ranked_engines(shared, spread.engines, engines));
        PrefixView::Memory { weight, fleet, spread, ranked: ranked.unwrap_or_default() }
    }

    /// Returns how many leading tokens of the prompt count as cached at an engine.
    fn cached_tokens(
        &self,
        state: &State,
        scope: CacheScope,
        need: &Need,
        memory: Memory,
        now: Tick,
    ) -> u64 {
        match self {
            PrefixView::Sent(preferred) => {
                let tracked = state.prefixes.cached_tokens(scope, need, now);
                // All daemons send prompts with this prefix to the preferred engine, so the prefix
                // counts as cached there even if this daemon hasn't sent it.
                let shared = choice::shared_tokens(need);
                if *preferred == Some(scope.engine) {
                    tracked.max(shared)
                } else {
                    tracked
                }
            }
            PrefixView::Memory { weight, fleet, spread, ranked } => {
                let spread = spread.filter(|_| ranked.contains(&scope.engine));
                let tokens = state.cached.cached_tokens(scope, need, memory, *fleet, spread, now);
                let is_preferred = spread.is_some() || choice::shared_prefix(need).is_none();
                prefixes::counted_tokens(tokens, *weight, is_preferred)
            }
        }
    }
}

/// Returns the engine that all daemons prefer for the shared prefix of the prompt.
fn preferred_engine(call: &Call, state: &State, eligible: &[UpstreamKey]) -> Option<UpstreamKey> {
    let shared = choice::shared_prefix(&call.generation.as_ref()?.need)?;
    let engines =
        eligible.iter().filter_map(|&key| Some((key, state.engines.get(key)?.id.as_str())));
    choice::preferred_engine(shared, engines)
}

/// Returns whether an engine accepts one more request now. The whole fleet shares a low rate limit
/// for each cold engine; a request to one consumes this daemon's quota.
fn try_admit(call: &Call, state: &mut State, key: UpstreamKey, now: Tick) -> bool {
    if state.engines.get(key).is_none() {
        return false;
    }
    let Some((limit, size, rank)) = cold_share(call, state, key, now) else { return true };
    state.cold_quotas.entry(key).or_default().try_acquire(limit, size, rank, now)
}

/// Returns the fleet's limit for a cold engine, in requests per second, with the number of daemons and
/// this daemon's rank; `None` if there is no limit.
fn cold_share(
    call: &Call,
    state: &State,
    key: UpstreamKey,
    now: Tick,
) -> Option<(f64, usize, usize)> {
    let engine = state.engines.get(key).filter(|engine| engine.is_cold(now))?;
    let rate = call.desired.services.get(&call.service)?.cold_rate;
    let limit = (rate > 0.0).then(|| call.shared.settings.bounds.cold_limit(rate))??;
    Some((limit, state.roster.size(), call.shared.rank(state, &engine.id)))
}

/// Takes a request from this daemon's part of the limit that an engine names, if it names one.
/// Otherwise returns the time until the next one.
fn try_admit_limited(
    call: &Call,
    state: &mut State,
    key: UpstreamKey,
    now: Tick,
) -> Result<(), Duration> {
    let Some(share) = limit_share(call, state, key, now) else { return Ok(()) };
    state.engine_limits.try_acquire(key, share, now)?;
    call.shared.report_soon(state);
    Ok(())
}

/// Returns this daemon's share of the limit that an engine names, if it names one.
fn limit_share(call: &Call, state: &State, key: UpstreamKey, now: Tick) -> Option<Share> {
    if !state.engine_limits.is_limited(key) {
        return None;
    }
    let rank = call.shared.rank(state, &state.engines.get(key)?.id);
    Some(Share { size: state.roster.size(), rank, others: state.limited_sends(key, now) })
}

/// Returns what the engines without a limit or pause lack for a call, if there are any.
fn missing_elsewhere(
    call: &Call,
    state: &State,
    allowed: impl Fn(UpstreamKey) -> bool,
    now: Tick,
) -> Option<Missing> {
    let generation = call.generation.as_ref()?;
    let mut unlimited = usable(call, state, now);
    unlimited.retain(|key| allowed(*key) && !state.engine_limits.is_limited(*key));
    if unlimited.is_empty() {
        return None;
    }
    let mut engines = unlimited.iter().filter_map(|key| state.engines.get(*key));
    let has_model = engines.any(|engine| engine.holds(generation.model, None));
    match generation.adapter {
        Some(_) if has_model => Some(Missing::Adapter),
        _ => Some(Missing::Model),
    }
}

/// Returns the time until the first engine that asked for a pause may receive the call.
fn shortest_pause(
    call: &Call,
    state: &State,
    allowed: impl Fn(UpstreamKey) -> bool,
    now: Tick,
) -> Option<Duration> {
    let paused = state.engines.paused(&call.service, now).into_iter();
    let serving = paused.filter(|(key, _)| {
        allowed(*key)
            && state.engines.get(*key).is_some_and(|engine| is_permitted(call, state, engine))
            && call.generation.as_ref().is_none_or(|generation| {
                let engine = state.engines.get(*key);
                engine.is_some_and(|engine| engine.holds(generation.model, generation.adapter))
            })
    });
    serving.map(|(_, left)| left).min()
}

fn assign(
    call: &Call,
    state: &mut State,
    best: Candidate,
    candidate_count: usize,
    now: Tick,
) -> Selection {
    let default_need = Need::default();
    let need = call.generation.as_ref().map_or(&default_need, |generation| &generation.need);
    let Some(engine) = state.engines.get(best.key) else { return Selection::NoEngine };
    let expected = best.expected(&call.shared.choice, need);
    let backlog = best.load.pending_prefill;
    let age = knowledge_age(state, now);
    let target = Target {
        key: best.key,
        id: engine.id.clone(),
        software: engine.software.clone(),
        release: engine.release,
        same_zone: best.same_zone,
        address: engine.address,
        process: engine.process(),
        running: best.load.running,
        backlog,
        cached_tokens: best.cached_tokens,
        candidate_count,
        expected,
        basis: Basis { expected, backlog, condition: best.condition, age },
    };
    state.telemetry.record_send(best.key, now);
    if let Some(generation) = &call.generation {
        let metrics = &call.shared.metrics;
        metrics.prompt_tokens.inc_by(need.prompt);
        metrics.cached_tokens.inc_by(best.cached_tokens.min(need.prompt));
        let scope = cache_scope(best.key, generation);
        match call.shared.settings.prefix_weight {
            Some(_) => state.cached.record_prompt(scope, need, now),
            None => state.prefixes.record_prompt(scope, need, now),
        }
        if let Some(adapter) = generation.adapter {
            state.planner.record_adapter_use(best.key, adapter, now);
        }
    }
    let load = RequestLoad {
        model: call.generation.as_ref().map(|generation| generation.model),
        adapter: call.generation.as_ref().and_then(|generation| generation.adapter),
        pending_prefill: need.prompt.saturating_sub(best.cached_tokens),
        tokens: need.total(),
    };
    let guard = LoadGuard::begin(&Arc::clone(&call.shared), state, best.key, load);
    Selection::Engine(Box::new(target), guard)
}

fn cache_scope(engine: UpstreamKey, generation: &Generation) -> CacheScope {
    CacheScope { engine, model: generation.model, adapter: generation.adapter }
}
