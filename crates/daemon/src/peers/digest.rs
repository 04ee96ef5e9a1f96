//! Composes a relay's digest of all reports, and handles digests on the other daemons.

use std::time::Duration;

use corianderyoke_coord::keys::UpstreamKey;
use corianderyoke_coord::serving::caps::RelayReport;
use corianderyoke_coord::serving::choice::Load;
use corianderyoke_coord::serving::engines;
use corianderyoke_coord::serving::position::Position;
use corianderyoke_coord::serving::roster;
use corianderyoke_coord::time::Tick;
use corianderyoke_wire::word;
use corianderyoke_wire::word::Digest;
use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::peers::holder;
use crate::peers::limits;
use crate::peers::member;
use crate::peers::own_daemon;
use crate::peers::quarantine;
use crate::peers::receives_all_reports;
use crate::peers::report_interval;
use crate::peers::reports;
use crate::peers::speeds;
use crate::state::Shared;
use crate::state::State;

/// Time after which a daemon reads the rows of all daemons because no digest described one of those
/// that it doesn't know.
const UNKNOWN_TIMEOUT: Duration = Duration::from_secs(2);
/// Number of report intervals for which the lease holder's latest announcement is forwarded.
const HOLDER_INTERVALS: u32 = 3;

/// Composes a digest. A full one covers all teams, daemons, engines and the lease holder; any other
/// covers only crashes, limits of engines and teams whose tokens run low.
pub fn compose(
    shared: &Shared,
    state: &mut State,
    number: u64,
    is_full: bool,
    now: Tick,
) -> Digest {
    let mut digest = Digest {
        relay: shared.settings.name.clone(),
        incarnation: shared.incarnation(),
        teams: teams(state, is_full, now),
        era: state.operator.known.era,
        operator: state.operator.known.version,
        revision: state.revision_in_force(),
        number,
        casualties: quarantine::casualties(state, true, now),
        parts: quarantine::verdicts(state, now),
        limits: limits::compose(state, now),
        ..Digest::default()
    };
    if is_full {
        let relay = own_daemon(shared);
        let fitness = reports::own_fitness(state);
        let described = state.roster.take_descriptions(now);
        let described = described.iter().map(|(daemon, fitness)| (daemon, *fitness));
        let members = described.chain([(&relay, fitness)]);
        digest.members = members.map(|(daemon, fitness)| member::encode(daemon, fitness)).collect();
        digest.marks = state.roster.live_fingerprints(now);
        digest.marks.push(roster::fingerprint(&relay, fitness));
        digest.loads = loads(state, now);
        digest.speeds = speeds::compose_digest(shared, state, now);
        if let Some((name, holder)) = latest_announcement(shared, state, now) {
            digest.holder_name = name;
            digest.holder = Some(holder);
        }
    }
    digest
}

/// Returns the name and the latest announcement of the lease holder, if recent.
fn latest_announcement(
    shared: &Shared,
    state: &mut State,
    now: Tick,
) -> Option<(String, word::Holder)> {
    if let Some(own) = holder::compose(state, now) {
        return Some((shared.settings.name.clone(), own));
    }
    let span = report_interval(state) * HOLDER_INTERVALS;
    let received = state.holder_report.as_ref().filter(|(_, _, at)| now.since(*at) < span);
    received.map(|(name, holder, _)| (name.clone(), holder.clone()))
}

fn teams(state: &mut State, all: bool, now: Tick) -> Vec<word::TeamSum> {
    let share = state.roster.live_fraction(now);
    let sums = state.team_buckets.iter_mut().map(|(team, bucket)| {
        let level = bucket.level(share, now);
        (bucket.is_low(), word::TeamSum { team: team.clone(), sum: bucket.known_total(), level })
    });
    sums.filter(|(is_low, _)| all || *is_low).map(|(_, sum)| sum).collect()
}

/// Returns the load of each engine, summed over all daemons.
fn loads(state: &State, now: Tick) -> Vec<word::LoadSum> {
    let own = state.own_loads.iter().filter(|(_, own)| own.load.running > 0).map(|(&key, _)| key);
    let mut keys: IndexSet<UpstreamKey> = own.collect();
    for report in state.reports.values().filter(|report| report.is_fresh(now)) {
        keys.extend(report.loads.keys().copied());
    }
    let names = &state.engines.names.engines;
    let loads = keys.into_iter().map(|key| {
        let load = state.reported_load(key, now);
        word::LoadSum {
            engine: engines::fingerprint(names.name(key)),
            running: load.running,
            unread: load.pending_prefill,
            tokens: load.tokens,
        }
    });
    loads.collect()
}

/// Handles the digest of a relay.
pub fn handle_digest(shared: &Shared, digest: Digest, now: Tick) {
    let mut guard = shared.state();
    let state = &mut *guard;
    let own = &shared.settings.name;
    let is_new = state.roster.take_digest(&digest.relay, digest.incarnation, digest.number);
    if digest.relay == *own || !is_new {
        return;
    }
    let others = digest.members.iter().filter(|member| member.name != *own);
    for (daemon, fitness) in others.filter_map(member::decode) {
        state.roster.record_report(daemon, fitness, now);
    }
    if !digest.marks.is_empty() {
        let own = own_daemon(shared);
        let has_unknown = state.roster.record_fingerprints(&digest.marks, &own, now);
        state.unknown_since = has_unknown.then(|| state.unknown_since.unwrap_or(now));
        if state.unknown_since.is_some_and(|since| now.since(since) > UNKNOWN_TIMEOUT) {
            shared.unknown_peer.notify_one();
        }
        state.load_digest = Some((decode_loads(state, &digest.loads), now));
    }
    speeds::handle_digest(state, &digest.speeds, now);
    apply_team_sums(state, &digest, now);
    let known = Position { era: digest.era, version: digest.operator };
    reports::record_operator_position(shared, state, known, digest.revision, now);
    quarantine::handle(shared, state, &digest.casualties, &digest.parts, now);
    limits::apply(state, &digest.limits, now);
    let changed = digest.holder.as_ref().is_some_and(|holder| {
        let name = &digest.holder_name;
        name != own && holder::handle_announcement(shared, state, name, holder, now)
    });
    drop(guard);
    if changed {
        shared.changed.notify_waiters();
        shared.replan.notify_one();
    }
}

/// Applies the relay's sums of the teams, unless this daemon receives all reports directly.
fn apply_team_sums(state: &mut State, digest: &Digest, now: Tick) {
    if receives_all_reports(state) {
        return;
    }
    let share = state.roster.live_fraction(now);
    for team in &digest.teams {
        let Some(bucket) = state.team_buckets.get_mut(&team.team) else { continue };
        let report = RelayReport {
            relay: digest.relay.clone(),
            incarnation: digest.incarnation,
            sum: team.sum,
            level: team.level,
        };
        bucket.apply_relay_report(report, share, now);
    }
}

/// Decodes the loads of engines that this daemon knows; others are skipped.
fn decode_loads(state: &State, loads: &[word::LoadSum]) -> IndexMap<UpstreamKey, Load> {
    let keys = state.engines.by_fingerprint();
    let known = loads.iter().filter_map(|sum| {
        let load = Load { running: sum.running, pending_prefill: sum.unread, tokens: sum.tokens };
        Some((*keys.get(&sum.engine)?, load))
    });
    known.collect()
}
