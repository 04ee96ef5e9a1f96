//! What a relay tells everybody of all that it heard.

use std::time::Duration;

use corianderyoke_coord::keys::UpstreamKey;
use corianderyoke_coord::serving::caps::RelayReport;
use corianderyoke_coord::serving::choice::Load;
use corianderyoke_coord::serving::engines;
use corianderyoke_coord::serving::roster;
use corianderyoke_coord::time::Tick;
use corianderyoke_wire::word;
use corianderyoke_wire::word::Digest;
use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::peers::hears_all;
use crate::peers::holder;
use crate::peers::member;
use crate::peers::myself;
use crate::peers::pause;
use crate::peers::reports;
use crate::state::Shared;
use crate::state::State;

/// Time for which a daemon that changed is described; the others are listed by their marks.
const CHANGED_SPAN: Duration = Duration::from_secs(2);
/// Whole digests of which one describes all daemons.
const DESCRIBE_EVERY: u64 = 25;
/// Pauses between words for which the holder's last word is passed on.
const HOLDER_PAUSES: u32 = 3;

/// A relay's digest: of teams, and where it is `whole` of daemons, engines and the holder.
pub fn compose(shared: &Shared, state: &mut State, whole: bool, now: Tick) -> Digest {
    let mut digest = Digest {
        relay: shared.settings.name.clone(),
        incarnation: shared.incarnation(),
        teams: teams(state, whole, now),
        operator: state.operator.known_version,
        ..Digest::default()
    };
    if whole {
        state.digest_count += 1;
        let all = state.digest_count.is_multiple_of(DESCRIBE_EVERY);
        let all = std::mem::take(&mut state.describe_all) || all;
        let relay = myself(shared);
        let own = (&relay, reports::own_fitness(state), now);
        let described: Vec<_> = state.roster.live_states(now).chain([own]).collect();
        let changed = described.iter().filter(|(.., at)| all || now.since(*at) < CHANGED_SPAN);
        let members = changed.map(|&(daemon, fitness, _)| member::encode(daemon, fitness));
        digest.members = members.collect();
        let marks =
            described.iter().map(|&(daemon, fitness, _)| roster::fingerprint(daemon, fitness));
        digest.marks = marks.collect();
        digest.loads = loads(state, now);
        if let Some((name, holder)) = holder(shared, state, now) {
            digest.holder_name = name;
            digest.holder = Some(holder);
        }
    }
    digest
}

/// The last word of the lease's holder, with its name.
fn holder(shared: &Shared, state: &mut State, now: Tick) -> Option<(String, word::Holder)> {
    if let Some(own) = holder::compose(state, now) {
        return Some((shared.settings.name.clone(), own));
    }
    let span = pause(state) * HOLDER_PAUSES;
    let heard = state.holder_report.as_ref().filter(|(_, _, at)| now.since(*at) < span);
    heard.map(|(name, holder, _)| (name.clone(), holder.clone()))
}

fn teams(state: &mut State, all: bool, now: Tick) -> Vec<word::TeamSum> {
    let share = state.roster.live_fraction(now);
    let sums = state.team_buckets.iter_mut().map(|(team, bucket)| {
        let level = bucket.level(share, now);
        (bucket.is_low(), word::TeamSum { team: team.clone(), sum: bucket.known_total(), level })
    });
    sums.filter(|(low, _)| all || *low).map(|(_, sum)| sum).collect()
}

fn own_mark(shared: &Shared, state: &State) -> u32 {
    roster::fingerprint(&myself(shared), reports::own_fitness(state))
}

/// What all daemons have at each engine.
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

/// Takes a relay's digest in.
pub fn take(shared: &Shared, digest: Digest, now: Tick) {
    let mut guard = shared.state();
    let state = &mut *guard;
    let own = &shared.settings.name;
    let others = digest.members.iter().filter(|member| member.name != *own);
    for (daemon, fitness) in others.filter_map(member::decode) {
        state.roster.record_report(daemon, fitness, now);
    }
    if !digest.marks.is_empty() {
        // A daemon that isn't known as it is now is described before long.
        state.roster.record_fingerprints(&digest.marks, own_mark(shared, state), now);
        state.load_digest = Some((sums(state, &digest.loads), now));
    }
    follow(state, &digest, now);
    reports::hear_operator(shared, state, digest.operator);
    let changed = digest.holder.as_ref().is_some_and(|holder| {
        let name = &digest.holder_name;
        name != own && holder::take(shared, state, name, holder, now)
    });
    drop(guard);
    if changed {
        shared.changed.notify_waiters();
        shared.replan.notify_one();
    }
}

/// Takes in what a relay knows of the teams, where this daemon doesn't hear everybody itself.
fn follow(state: &mut State, digest: &Digest, now: Tick) {
    if hears_all(state) {
        return;
    }
    let share = state.roster.live_fraction(now);
    for team in &digest.teams {
        let Some(bucket) = state.team_buckets.get_mut(&team.team) else { continue };
        let told = RelayReport {
            relay: digest.relay.clone(),
            incarnation: digest.incarnation,
            sum: team.sum,
            level: team.level,
        };
        bucket.apply_relay_report(told, share, now);
    }
}

/// What all daemons have at each engine that this one knows.
fn sums(state: &State, loads: &[word::LoadSum]) -> IndexMap<UpstreamKey, Load> {
    let keys: IndexMap<u32, UpstreamKey> =
        state.engines.iter().map(|(key, engine)| (engines::fingerprint(&engine.id), key)).collect();
    let known = loads.iter().filter_map(|told| {
        let load =
            Load { running: told.running, pending_prefill: told.unread, tokens: told.tokens };
        Some((*keys.get(&told.engine)?, load))
    });
    known.collect()
}
