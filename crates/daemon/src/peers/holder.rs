//! Announcements of the lease holder about changes of engines, and their handling on other daemons.

use std::net::SocketAddr;
use std::time::Duration;

use corianderyoke_coord::keys::ModelKey;
use corianderyoke_coord::keys::UpstreamKey;
use corianderyoke_coord::serving::announcements::ChangeKind;
use corianderyoke_coord::serving::announcements::EngineChange;
use corianderyoke_coord::serving::engines::Engine;
use corianderyoke_coord::serving::engines::Entry;
use corianderyoke_coord::serving::engines::Stage;
use corianderyoke_coord::serving::lease::LeaseRow;
use corianderyoke_coord::serving::lease::StoreTime;
use corianderyoke_coord::serving::position::Position;
use corianderyoke_coord::time::Tick;
use corianderyoke_util::events;
use corianderyoke_util::events::Event;
use corianderyoke_wire::word;
use indexmap::IndexMap;

use crate::peers::origins;
use crate::peers::report_interval;
use crate::peers::usage;
use crate::state::PeerReport;
use crate::state::Shared;
use crate::state::State;
use crate::watch;

/// Number of report intervals for which a change is announced, so that the loss of a report does
/// no harm.
const CHANGE_INTERVALS: u32 = 4;

/// Change of the expected end of a load that waiting daemons needn't be told of.
const LOAD_TOLERANCE: Duration = Duration::from_millis(300);

/// Composes this daemon's announcement. Returns `None` if it doesn't hold the lease.
pub fn compose(state: &mut State, now: Tick) -> Option<word::Holder> {
    let token = state.lease.token(now)?;
    let span = report_interval(state) * CHANGE_INTERVALS;
    state.announcements.prune(span, now);
    let (Position { era, version }, until) = state.lease.last_seen();
    Some(word::Holder {
        token,
        era,
        version,
        effects: state
            .announcements
            .recent()
            .map(|change| encode_change(state, change, now))
            .collect(),
        until: until.0,
        count: state.announcements.count(),
        age: u32::try_from(now.since(state.last_poll).as_millis()).unwrap_or(u32::MAX),
        loads: encode_loads(state, state.expected_loads.keys(), now),
        usage: usage::announcement(state),
        releases: origins::listed(state),
    })
}

fn encode_loads<'a>(
    state: &State,
    models: impl Iterator<Item = &'a ModelKey>,
    now: Tick,
) -> Vec<word::ExpectedLoad> {
    let loads = models.filter_map(|model| Some((model, state.expected_loads.get(model)?)));
    let loads = loads.map(|(&model, ready)| word::ExpectedLoad {
        model: state.engines.names.models.name(model).to_owned(),
        left: u32::try_from(ready.since(now).as_millis()).unwrap_or(u32::MAX),
    });
    loads.collect()
}

fn decode_loads(state: &mut State, loads: &[word::ExpectedLoad], now: Tick) {
    for load in loads {
        let model = state.engines.names.models.intern(&load.model);
        let ready = now + Duration::from_millis(u64::from(load.left));
        state.expected_loads.insert(model, ready);
    }
}

/// Composes the messages for daemons with requests that a change lets proceed, or that wait for a
/// load in progress, each with its recipient. Returns none if this daemon doesn't hold the lease.
pub fn compose_direct(state: &mut State, now: Tick) -> Vec<(word::Changes, SocketAddr)> {
    let Some(token) = state.lease.token(now) else { return Vec::new() };
    let count = state.announcements.count();
    let mut messages = Vec::new();
    let mut told = Vec::new();
    for (name, report) in &state.reports {
        if report.wants.is_empty() || !report.is_fresh(now) {
            continue;
        }
        let changes =
            state.announcements.relevant(report.told_change, &report.wants, &state.engines);
        let loads: IndexMap<ModelKey, Tick> = report
            .wants
            .models
            .iter()
            .filter_map(|model| Some((*model, *state.expected_loads.get(model)?)))
            .filter(|(model, ready)| !is_told(report, *model, *ready))
            .collect();
        if let Some(address) = state.roster.address(name) {
            let effects = changes.iter().map(|change| encode_change(state, change, now)).collect();
            let loads = encode_loads(state, loads.keys(), now);
            messages.push((word::Changes { token, effects, loads }, address));
        }
        told.push((name.clone(), loads));
    }
    for (name, loads) in told {
        if let Some(report) = state.reports.get_mut(&name) {
            report.told_change = count;
            report.told_loads.extend(loads);
        }
    }
    messages.retain(|(changes, _)| !changes.effects.is_empty() || !changes.loads.is_empty());
    messages
}

/// Returns whether a daemon was told approximately when a load ends.
fn is_told(report: &PeerReport, model: ModelKey, ready: Tick) -> bool {
    let told = report.told_loads.get(&model);
    told.is_some_and(|told| told.since(ready).max(ready.since(*told)) < LOAD_TOLERANCE)
}

fn encode_change(state: &State, change: &EngineChange, now: Tick) -> word::Effect {
    let names = &state.engines.names;
    let Position { era, version } = state.engines.position(change.engine);
    let mut encoded = word::Effect {
        engine: names.engines.name(change.engine).to_owned(),
        number: change.number,
        era,
        version,
        ..word::Effect::default()
    };
    match change.kind {
        ChangeKind::Leaving => {}
        // Without an entry, the change announces that the engine leaves; it may have ended since.
        ChangeKind::Updated => encoded.entry = encode_entry(state, change.engine, now),
        ChangeKind::Model(model, held) => {
            names.models.name(model).clone_into(&mut encoded.model);
            encoded.held = held;
        }
        ChangeKind::Adapter(model, adapter, held) => {
            names.models.name(model).clone_into(&mut encoded.model);
            names.adapters.name(adapter).clone_into(&mut encoded.adapter);
            encoded.held = held;
        }
    }
    encoded
}

fn encode_entry(state: &State, key: UpstreamKey, now: Tick) -> Option<word::Entry> {
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
    let Engine { service, address, zone, slots, warm_at, started_ms, position, .. } = engine;
    Some(word::Entry {
        service: service.clone(),
        address: address.to_string(),
        zone: names.zones.name(*zone).to_owned(),
        slots: *slots,
        draining: engine.is_leaving(),
        cold: u32::try_from(warm_at.since(now).as_millis()).unwrap_or(u32::MAX),
        born: *started_ms,
        models: models.collect(),
        era: position.era,
        version: position.version,
        software: engine.software.clone(),
    })
}

/// Handles an announcement of the lease holder. Returns whether it contains new changes of engines.
pub fn handle_announcement(
    shared: &Shared,
    state: &mut State,
    name: &str,
    holder: &word::Holder,
    now: Tick,
) -> bool {
    if is_outdated(state, holder.token, now) {
        log_outdated(name, holder.token);
        return false;
    }
    let row =
        LeaseRow { holder: name.to_owned(), token: holder.token, until: StoreTime(holder.until) };
    let position = Position { era: holder.era, version: holder.version };
    state.lease.record_announcement(row, position, now);
    usage::record_announcement(state, holder.usage.as_ref(), now);
    origins::handle_listed(state, &holder.releases, now);
    let has_changes = apply_changes(shared, state, holder.token, &holder.effects, false, now);
    state.expected_loads.clear();
    decode_loads(state, &holder.loads, now);
    let first = holder.effects.first();
    let first = first.map_or(holder.count.saturating_add(1), |effect| effect.number);
    let age = Duration::from_millis(u64::from(holder.age));
    state.holder_updates.record_announcement(holder.token, first, holder.count, age, now);
    // The polling interval depends on the announcement.
    shared.recheck_poll.notify_one();
    has_changes
}

/// Handles changes that the lease holder told this daemon directly.
pub fn handle_direct(shared: &Shared, changes: &word::Changes, now: Tick) {
    let mut state = shared.state();
    if is_outdated(&state, changes.token, now) {
        log_outdated("unknown", changes.token);
        return;
    }
    let has_new = apply_changes(shared, &mut state, changes.token, &changes.effects, true, now);
    decode_loads(&mut state, &changes.loads, now);
    drop(state);
    if has_new || !changes.loads.is_empty() {
        shared.changed.notify_waiters();
    }
}

/// Returns whether a message comes from a holder that lost the lease to a later one.
fn is_outdated(state: &State, token: u64, now: Tick) -> bool {
    state.lease.token(now).is_some_and(|own| token < own)
        || state.holder_updates.is_outdated(token, now)
}

fn log_outdated(name: &str, token: u64) {
    events::log(Event::LateAnnouncement, format_args!("holder={name} token={token}"));
}

fn apply_changes(
    shared: &Shared,
    state: &mut State,
    token: u64,
    changes: &[word::Effect],
    is_direct: bool,
    now: Tick,
) -> bool {
    let mut has_new = false;
    for change in changes {
        if state.holder_updates.take_change(token, change.number, is_direct) {
            has_new = true;
            apply_change(shared, state, change, now);
        }
    }
    has_new
}

fn apply_change(shared: &Shared, state: &mut State, change: &word::Effect, now: Tick) {
    if let Some(encoded) = &change.entry {
        let Some(entry) = decode_entry(&change.engine, encoded) else {
            let engine = &change.engine;
            events::log(
                Event::EntrySkipped,
                format_args!("announcement for engine={engine}: invalid address"),
            );
            return;
        };
        let detail = format!("service={} address={} announced", entry.service, entry.address);
        watch::record_release(shared, state, &entry, now);
        let outcome = state.engines.apply_relayed(entry, now);
        watch::handle_change(shared, state, &change.engine, outcome, &detail);
        return;
    }
    let Some(engine) = state.engines.names.engines.key(&change.engine) else { return };
    if change.model.is_empty() {
        let position = Position { era: change.era, version: change.version };
        state.engines.mark_draining(engine, position);
        return;
    }
    let model = state.engines.names.models.intern(&change.model);
    match (change.adapter.as_str(), change.held) {
        ("", false) => state.engines.begin_unload(engine, model),
        ("", true) => state.engines.add_model(engine, model),
        (adapter, held) => {
            let adapter = state.engines.names.adapters.intern(adapter);
            state.engines.set_adapter(engine, model, adapter, held, now);
        }
    }
}

fn decode_entry(id: &str, entry: &word::Entry) -> Option<Entry> {
    let models = entry.models.iter().map(|held| (held.model.clone(), held.adapters.clone()));
    Some(Entry {
        id: id.to_owned(),
        service: entry.service.clone(),
        address: entry.address.parse().ok()?,
        zone: entry.zone.clone(),
        software: entry.software.clone(),
        slots: entry.slots,
        stage: if entry.draining { Stage::Draining } else { Stage::Ready },
        cold: Duration::from_millis(u64::from(entry.cold)),
        started_ms: entry.born,
        models: models.collect(),
        in_memory: Vec::new(),
        on_disk: Vec::new(),
        position: Position { era: entry.era, version: entry.version },
    })
}
