//! Encodes the learned speeds of engines for reports and digests.

use std::time::Duration;

use corianderyoke_coord::keys::UpstreamKey;
use corianderyoke_coord::serving::engines;
use corianderyoke_coord::serving::speeds::Statement;
use corianderyoke_coord::time::Tick;
use corianderyoke_wire::word::EngineSpeed;
use indexmap::IndexMap;

use crate::state::Shared;
use crate::state::State;

/// Steps of the logarithm in a message.
const LOG_STEPS: f64 = 100.0;
/// Age up to which the index of engines is used. A relay would otherwise build it for each report.
const INDEX_TTL: Duration = Duration::from_secs(1);

/// Engines by the hashes of their identities.
#[derive(Clone, Debug, Default)]
pub struct Index {
    keys: IndexMap<u32, UpstreamKey>,
    built: Option<Tick>,
}

/// Returns what this daemon's next report tells of the engines' speeds.
pub fn compose(shared: &Shared, state: &mut State, now: Tick) -> Vec<EngineSpeed> {
    let told = state.telemetry.take_told(now);
    shared.metrics.speeds_told.inc_by(told.len() as u64);
    encode(state, told)
}

/// Returns what this daemon's next digest tells of the engines' speeds.
pub fn compose_digest(shared: &Shared, state: &mut State, now: Tick) -> Vec<EngineSpeed> {
    let told = state.telemetry.take_digested(now);
    shared.metrics.speeds_told.inc_by(told.len() as u64);
    encode(state, told)
}

/// Records the speeds that a daemon's report tells.
pub fn handle_report(state: &mut State, daemon: &str, speeds: &[EngineSpeed], now: Tick) {
    let sender = engines::fingerprint(daemon);
    for (engine, statement) in decode(state, speeds, now) {
        state.telemetry.record_peer(sender, engine, statement, now);
    }
}

/// Records the speeds that a relay's digest tells.
pub fn handle_digest(state: &mut State, speeds: &[EngineSpeed], now: Tick) {
    for (engine, statement) in decode(state, speeds, now) {
        state.telemetry.record_digest(engine, statement, now);
    }
}

fn encode(state: &State, told: Vec<(UpstreamKey, Statement)>) -> Vec<EngineSpeed> {
    let names = &state.engines.names.engines;
    let speeds = told.into_iter().map(|(key, statement)| EngineSpeed {
        engine: engines::fingerprint(names.name(key)),
        log: (statement.log * LOG_STEPS).round() as i32,
        samples: statement.samples,
    });
    speeds.collect()
}

/// Decodes the speeds of engines that this daemon knows; others are skipped.
fn decode(state: &mut State, speeds: &[EngineSpeed], now: Tick) -> Vec<(UpstreamKey, Statement)> {
    if speeds.is_empty() {
        return Vec::new();
    }
    let index = &mut state.speed_index;
    if index.built.is_none_or(|built| now.since(built) >= INDEX_TTL) {
        *index = Index { keys: state.engines.by_fingerprint(), built: Some(now) };
    }
    let known = speeds.iter().filter_map(|speed| {
        let log = f64::from(speed.log) / LOG_STEPS;
        Some((*index.keys.get(&speed.engine)?, Statement { log, samples: speed.samples }))
    });
    known.collect()
}
