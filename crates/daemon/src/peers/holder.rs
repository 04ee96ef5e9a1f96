//! What the holder of the lease tells of the engines, and what the others take from it.

use std::time::Duration;

use corianderyoke_coord::keys::UpstreamKey;
use corianderyoke_coord::serving::engines::Engine;
use corianderyoke_coord::serving::engines::Entry;
use corianderyoke_coord::serving::engines::Stage;
use corianderyoke_coord::serving::lease::LeaseRow;
use corianderyoke_coord::serving::lease::StoreTime;
use corianderyoke_coord::time::Tick;
use corianderyoke_util::events;
use corianderyoke_util::events::Event;
use corianderyoke_wire::word;

use crate::peers::pause;
use crate::state::ChangeKind;
use crate::state::EngineChange;
use crate::state::Shared;
use crate::state::State;
use crate::watch;

/// Pauses between words for which a change is told, so that a lost word costs nothing.
const EFFECT_PAUSES: u32 = 4;

/// What this daemon tells where it holds the lease.
pub fn compose(state: &mut State, now: Tick) -> Option<word::Holder> {
    let token = state.lease.token(now)?;
    let span = pause(state) * EFFECT_PAUSES;
    state.engine_changes.retain(|effect| now.since(effect.at) < span);
    let (version, until) = state.lease.last_seen();
    Some(word::Holder {
        token,
        version,
        effects: state.engine_changes.iter().map(|effect| tell(state, effect, now)).collect(),
        until: until.0,
        count: state.change_count,
        age: u32::try_from(now.since(state.last_poll).as_millis()).unwrap_or(u32::MAX),
    })
}

fn tell(state: &State, effect: &EngineChange, now: Tick) -> word::Effect {
    let names = &state.engines.names;
    let mut told = word::Effect {
        engine: names.engines.name(effect.engine).to_owned(),
        number: effect.number,
        version: state.engines.version(effect.engine),
        ..word::Effect::default()
    };
    match effect.kind {
        ChangeKind::Leaving => {}
        // One that went since is told as leaving.
        ChangeKind::Updated => told.entry = entry(state, effect.engine, now),
        ChangeKind::Model(model, held) => {
            names.models.name(model).clone_into(&mut told.model);
            told.held = held;
        }
        ChangeKind::Adapter(model, adapter, held) => {
            names.models.name(model).clone_into(&mut told.model);
            names.adapters.name(adapter).clone_into(&mut told.adapter);
            told.held = held;
        }
    }
    told
}

fn entry(state: &State, key: UpstreamKey, now: Tick) -> Option<word::Entry> {
    let engine = state.engines.get(key)?;
    let names = &state.engines.names;
    let models = engine.models.iter().map(|(&model, adapters)| word::HeldModel {
        model: names.models.name(model).to_owned(),
        adapters: adapters
            .iter()
            .filter_map(|&adapter| names.adapters.name(adapter).split_once('/'))
            .map(|(_, name)| name.to_owned())
            .collect(),
    });
    let Engine { service, address, zone, slots, stage, warm_at, started_ms, version, .. } = engine;
    Some(word::Entry {
        service: service.clone(),
        address: address.to_string(),
        zone: names.zones.name(*zone).to_owned(),
        slots: *slots,
        draining: *stage == Stage::Draining,
        cold: u32::try_from(warm_at.since(now).as_millis()).unwrap_or(u32::MAX),
        born: *started_ms,
        models: models.collect(),
        version: *version,
    })
}

/// Takes in what the holder of the lease says; whether it says something of the engines.
pub fn take(
    shared: &Shared,
    state: &mut State,
    name: &str,
    holder: &word::Holder,
    now: Tick,
) -> bool {
    let row =
        LeaseRow { holder: name.to_owned(), token: holder.token, until: StoreTime(holder.until) };
    state.lease.record_announcement(row, holder.version);
    let last = state.holder_updates.last_change(holder.token);
    let fresh = holder.effects.iter().filter(|effect| effect.number > last);
    let mut news = false;
    for effect in fresh {
        news = true;
        apply(shared, state, effect, now);
    }
    let first = holder.effects.first().map_or(holder.count + 1, |effect| effect.number);
    let age = Duration::from_millis(u64::from(holder.age));
    state.holder_updates.record_announcement(holder.token, first, holder.count, age, now);
    // It decides by what was told whether to look.
    shared.recheck_poll.notify_one();
    news
}

fn apply(shared: &Shared, state: &mut State, effect: &word::Effect, now: Tick) {
    if let Some(told) = &effect.entry {
        let Some(entry) = decode(&effect.engine, told) else {
            let engine = &effect.engine;
            events::log(Event::EntrySkipped, format_args!("told: engine={engine}: no address"));
            return;
        };
        let detail = format!("service={} address={} told", entry.service, entry.address);
        let change = state.engines.apply_relayed(entry, now);
        watch::changed(shared, state, &effect.engine, change, &detail);
        return;
    }
    let Some(engine) = state.engines.names.engines.key(&effect.engine) else { return };
    if effect.model.is_empty() {
        state.engines.mark_draining(engine, effect.version);
        return;
    }
    let model = state.engines.names.models.intern(&effect.model);
    match (effect.adapter.as_str(), effect.held) {
        ("", false) => state.engines.begin_unload(engine, model),
        ("", true) => state.engines.add_model(engine, model),
        (adapter, held) => {
            let adapter = state.engines.names.adapters.intern(adapter);
            state.engines.set_adapter(engine, model, adapter, held, now);
        }
    }
}

fn decode(id: &str, told: &word::Entry) -> Option<Entry> {
    let models = told.models.iter().map(|held| (held.model.clone(), held.adapters.clone()));
    Some(Entry {
        id: id.to_owned(),
        service: told.service.clone(),
        address: told.address.parse().ok()?,
        zone: told.zone.clone(),
        slots: told.slots,
        stage: if told.draining { Stage::Draining } else { Stage::Ready },
        cold: Duration::from_millis(u64::from(told.cold)),
        started_ms: told.born,
        models: models.collect(),
        in_memory: Vec::new(),
        on_disk: Vec::new(),
        version: told.version,
    })
}
