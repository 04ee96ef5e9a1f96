//! Which engine an attempt goes to, by what this daemon knows now.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use corianderyoke_coord::keys::UpstreamKey;
use corianderyoke_coord::serving::choice;
use corianderyoke_coord::serving::choice::CacheScope;
use corianderyoke_coord::serving::choice::Candidate;
use corianderyoke_coord::serving::choice::Need;
use corianderyoke_coord::serving::quotas;
use corianderyoke_coord::time::Tick;

use crate::call::Call;
use crate::call::Generation;
use crate::state::LoadGuard;
use crate::state::RequestLoad;
use crate::state::State;

/// An engine that an attempt goes to.
#[derive(Clone, Debug)]
pub struct Target {
    /// Key.
    pub key: UpstreamKey,
    /// Identity.
    pub id: String,
    /// Address.
    pub address: SocketAddr,
    /// What runs there, as far as this daemon knows.
    pub running: u32,
    /// Prompt tokens that it is expected to have read.
    pub kept: u64,
    /// Engines that could have served it.
    pub choices: usize,
    /// Expected time to its first token.
    pub expected: Duration,
}

/// What a look for an engine found.
#[derive(Debug)]
pub enum Pick {
    /// An engine, which counts the request from now on.
    Go(Box<Target>, LoadGuard),
    /// No engine of the service may be used.
    NoEngine,
    /// No engine holds the model.
    NoModel,
    /// Engines hold the model but not the adapter.
    NoAdapter,
    /// All engines that could serve it are full.
    Full,
}

/// Looks for an engine among those that `allowed` lets pass; those of `avoided` only where there
/// is no other.
pub fn pick(
    call: &Call,
    allowed: impl Fn(UpstreamKey) -> bool,
    avoided: &[UpstreamKey],
    now: Tick,
) -> Pick {
    let mut guard = call.shared.state();
    let state = &mut *guard;
    let mut usable = match able(call, state, allowed, now) {
        Ok(usable) => usable,
        Err(missing) => return missing,
    };
    if usable.iter().any(|key| !avoided.contains(key)) {
        usable.retain(|key| !avoided.contains(key));
    }
    let plain = Need::default();
    let need = call.generation.as_ref().map_or(&plain, |found| &found.need);
    let mut candidates = candidates(call, state, &usable, need, now);
    while let Some(best) = choice::choose(&call.shared.choice, need, &candidates, call.seed()) {
        if !bears(call, state, best.key, now) {
            candidates.retain(|candidate| candidate.key != best.key);
            continue;
        }
        return go(call, state, best, usable.len(), now);
    }
    Pick::Full
}

/// Whether an engine that `allowed` lets pass could serve the call.
pub fn is_able(call: &Call, allowed: impl Fn(UpstreamKey) -> bool, now: Tick) -> bool {
    able(call, &call.shared.state(), allowed, now).is_ok()
}

/// The engines that hold what the call asks for, or what is missing.
fn able(
    call: &Call,
    state: &State,
    allowed: impl Fn(UpstreamKey) -> bool,
    now: Tick,
) -> Result<Vec<UpstreamKey>, Pick> {
    let mut usable = state.engines.usable(&call.service, now);
    usable.retain(|key| allowed(*key));
    if usable.is_empty() {
        return Err(Pick::NoEngine);
    }
    let Some(generation) = &call.generation else { return Ok(usable) };
    let holds = |key: &UpstreamKey, adapter| {
        let engine = state.engines.get(*key);
        engine.is_some_and(|engine| engine.holds(generation.model, adapter))
    };
    usable.retain(|key| holds(key, None));
    if usable.is_empty() {
        return Err(Pick::NoModel);
    }
    usable.retain(|key| holds(key, generation.adapter));
    if usable.is_empty() {
        return Err(Pick::NoAdapter);
    }
    Ok(usable)
}

fn candidates(
    call: &Call,
    state: &State,
    usable: &[UpstreamKey],
    need: &Need,
    now: Tick,
) -> Vec<Candidate> {
    let spec = call.desired.services.get(&call.service).and_then(|found| found.engine.as_ref());
    let capacity = spec.map_or(0, |spec| spec.tokens);
    let zone = state.engines.names.zones.key(&call.shared.settings.zone);
    let home = home(call, state, usable);
    let candidates = usable.iter().filter_map(|&key| {
        let engine = state.engines.get(key)?;
        let known = call.generation.as_ref().map_or(0, |generation| {
            state.prefixes.cached_tokens(reader(key, generation), need, now)
        });
        // Others send the same prompts to the home, so it has read what they share.
        let shared = need
            .parts
            .split_last()
            .map_or(0, |(_, shared)| shared.iter().map(|part| part.tokens).sum());
        let kept = if home == Some(key) { known.max(shared) } else { known };
        Some(Candidate {
            key,
            load: state.load(key, now),
            slots: engine.slots,
            capacity,
            cached_tokens: kept,
            same_zone: Some(engine.zone) == zone,
        })
    });
    candidates.collect()
}

/// The engine that all daemons send a shared prompt to first.
fn home(call: &Call, state: &State, usable: &[UpstreamKey]) -> Option<UpstreamKey> {
    let shared = choice::shared_prefix(&call.generation.as_ref()?.need)?;
    let named = usable.iter().filter_map(|&key| Some((key, state.engines.get(key)?.id.as_str())));
    choice::preferred_engine(shared, named)
}

/// Whether an engine bears one more request now: a cold one takes few from the whole fleet.
fn bears(call: &Call, state: &mut State, key: UpstreamKey, now: Tick) -> bool {
    let Some(engine) = state.engines.get(key) else { return false };
    if !engine.is_cold(now) {
        return true;
    }
    let rate = call.desired.services.get(&call.service).map_or(0.0, |found| found.cold_rate);
    if rate <= 0.0 {
        return true;
    }
    let bounds = &call.shared.settings.bounds;
    let limit = rate * bounds.cold_factor + bounds.cold_extra;
    let known = state.roster.known().map(|daemon| daemon.name.as_str());
    let rank = quotas::rank(&engine.id, &call.shared.settings.name, known);
    let size = state.roster.size();
    state.cold_quotas.entry(key).or_default().try_acquire(limit, size, rank, now)
}

fn go(call: &Call, state: &mut State, best: Candidate, choices: usize, now: Tick) -> Pick {
    let plain = Need::default();
    let need = call.generation.as_ref().map_or(&plain, |found| &found.need);
    let Some(engine) = state.engines.get(best.key) else { return Pick::NoEngine };
    let target = Target {
        key: best.key,
        id: engine.id.clone(),
        address: engine.address,
        running: best.load.running,
        kept: best.cached_tokens,
        choices,
        expected: best.expected(&call.shared.choice, need),
    };
    if let Some(generation) = &call.generation {
        state.prefixes.record_prompt(reader(best.key, generation), need, now);
        if let Some(adapter) = generation.adapter {
            state.planner.record_adapter_use(best.key, adapter, now);
        }
    }
    let load = RequestLoad {
        model: call.generation.as_ref().map(|generation| generation.model),
        adapter: call.generation.as_ref().and_then(|generation| generation.adapter),
        pending_prefill: need.prompt.saturating_sub(best.cached_tokens),
        tokens: need.prompt + need.output,
    };
    let guard = LoadGuard::begin(&Arc::clone(&call.shared), state, best.key, load);
    Pick::Go(Box::new(target), guard)
}

fn reader(engine: UpstreamKey, generation: &Generation) -> CacheScope {
    CacheScope { engine, model: generation.model, adapter: generation.adapter }
}
