//! Encodes the limits that engines name for reports and digests.

use corianderyoke_coord::serving::engine_limits::Statement;
use corianderyoke_coord::serving::engines;
use corianderyoke_coord::time::Tick;
use corianderyoke_wire::word;

use crate::peers::age_ms;
use crate::peers::time_of;
use crate::state::State;

/// Returns the limits that this daemon knows.
pub fn compose(state: &State, now: Tick) -> Vec<word::EngineLimit> {
    let names = &state.engines.names.engines;
    let limits = state.engine_limits.statements().map(|(key, statement)| word::EngineLimit {
        engine: engines::fingerprint(names.name(key)),
        limit: statement.limit,
        age: age_ms(statement.at, now),
        sent: state.engine_limits.sent_count(key, now) as u32,
    });
    limits.collect()
}

/// Applies the limits that the report of a daemon contains. Returns whether one changed.
pub fn handle_report(
    state: &mut State,
    daemon: &str,
    limits: &[word::EngineLimit],
    now: Tick,
) -> bool {
    if limits.is_empty() {
        return false;
    }
    let changed = apply(state, limits, now);
    let keys = state.engines.by_fingerprint();
    if let Some(report) = state.reports.get_mut(daemon) {
        let sent = limits.iter().filter_map(|limit| Some((*keys.get(&limit.engine)?, limit.sent)));
        report.limited_sends = sent.collect();
    }
    changed
}

/// Applies the limits that another daemon or a relay knows. Returns whether one changed.
pub fn apply(state: &mut State, limits: &[word::EngineLimit], now: Tick) -> bool {
    if limits.is_empty() {
        return false;
    }
    let keys = state.engines.by_fingerprint();
    let mut changed = false;
    for limit in limits {
        let Some(&key) = keys.get(&limit.engine) else { continue };
        let statement = Statement { limit: limit.limit, at: time_of(limit.age, now) };
        changed |= state.engine_limits.apply(key, statement);
    }
    changed
}
