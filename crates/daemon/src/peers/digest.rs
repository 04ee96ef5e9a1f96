//! What a relay tells everybody of all that it heard.

use std::time::Duration;

use corianderyoke_coord::keys::UpstreamKey;
use corianderyoke_coord::serving::choice::Load;
use corianderyoke_coord::serving::roster::Daemon;
use corianderyoke_coord::serving::roster::Fitness;
use corianderyoke_coord::time::Tick;
use corianderyoke_wire::word;
use corianderyoke_wire::word::Digest;
use corianderyoke_wire::word::Word;
use indexmap::IndexSet;

use crate::peers::words;
use crate::state::Shared;
use crate::state::State;
use crate::state::Total;

/// Time for which a team's total is told after it changed, so that a lost digest costs nothing.
const TOTAL_SPAN: Duration = Duration::from_millis(500);
/// Time for which the holder's last word is passed on.
const HOLDER_SPAN: Duration = Duration::from_millis(600);

/// A relay's digest; `members` says whether it lists the daemons.
pub fn compose(state: &State, relay: Word, members: bool, now: Tick) -> Digest {
    let listed = members.then(|| state.roster.described(now).map(member).collect());
    let totals = state.totals.iter().filter(|(_, total)| now.since(total.at) < TOTAL_SPAN);
    let holder = state.holder.as_ref().filter(|(_, _, at)| now.since(*at) < HOLDER_SPAN);
    Digest {
        relay: Some(relay),
        members: listed.unwrap_or_default(),
        totals: totals
            .map(|((name, team), total)| word::MemberTotal {
                name: name.clone(),
                incarnation: total.incarnation,
                team: team.clone(),
                tokens: total.tokens,
            })
            .collect(),
        engines: engines(state, now),
        holder: holder.map(|(_, holder, _)| holder.clone()),
        holder_name: holder.map_or_else(String::new, |(name, _, _)| name.clone()),
    }
}

fn member((daemon, fitness): (&Daemon, Fitness)) -> word::Member {
    let fitness = match fitness {
        Fitness::Unready => word::Fitness::Unready,
        Fitness::Ready => word::Fitness::Ready,
        Fitness::Leaving => word::Fitness::Leaving,
    };
    word::Member {
        name: daemon.name.clone(),
        incarnation: daemon.incarnation,
        peers: daemon.peers.to_string(),
        callers: daemon.callers.to_string(),
        zone: daemon.zone.clone(),
        fitness: fitness.into(),
        capacity: daemon.capacity,
    }
}

/// What all daemons have at each engine.
fn engines(state: &State, now: Tick) -> Vec<word::EngineLoad> {
    let own = state.own.iter().filter(|(_, own)| own.load.running > 0).map(|(&key, _)| key);
    let mut keys: IndexSet<UpstreamKey> = own.collect();
    for word in state.words.values().filter(|word| word.is_fresh(now)) {
        keys.extend(word.loads.keys().copied());
    }
    let names = &state.engines.names.engines;
    let loads = keys.into_iter().map(|key| {
        let load = state.heard_load(key, now);
        word::EngineLoad {
            engine: names.name(key).to_owned(),
            running: load.running,
            unread: load.unread,
            tokens: load.tokens,
            models: Vec::new(),
        }
    });
    loads.collect()
}

/// Takes a relay's digest in.
pub fn take(shared: &Shared, digest: Digest, now: Tick) {
    let mut guard = shared.state();
    let state = &mut *guard;
    let own = &shared.settings.name;
    for member in digest.members.iter().filter(|member| member.name != *own) {
        let (Ok(peers), Ok(callers)) = (member.peers.parse(), member.callers.parse()) else {
            continue;
        };
        let daemon = Daemon {
            name: member.name.clone(),
            incarnation: member.incarnation,
            peers,
            callers,
            zone: member.zone.clone(),
            capacity: member.capacity,
        };
        state.roster.hear(daemon, words::fitness(member.fitness()), now);
    }
    for told in digest.totals.iter().filter(|told| told.name != *own) {
        let total = Total { incarnation: told.incarnation, tokens: told.tokens, at: now };
        words::take_total(state, &told.name, &told.team, total);
    }
    for team in digest.relay.iter().flat_map(|relay| &relay.teams) {
        if let Some(bucket) = state.caps.get_mut(&team.team) {
            bucket.bound(team.level);
        }
    }
    let names = &mut state.engines.names.engines;
    let loads = digest.engines.iter().map(|told| {
        let load = Load { running: told.running, unread: told.unread, tokens: told.tokens };
        (names.intern(&told.engine), load)
    });
    state.digest = Some((loads.collect(), now));
    let changed = digest.holder.as_ref().is_some_and(|holder| {
        digest.holder_name != *own && words::take_holder(state, &digest.holder_name, holder, now)
    });
    drop(guard);
    if changed {
        shared.changed.notify_waiters();
        shared.plan.notify_one();
    }
    if let Some(word) = digest.relay {
        words::take(shared, word, now);
    }
}
