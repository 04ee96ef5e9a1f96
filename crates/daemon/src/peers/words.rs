//! What a daemon tells of itself, and what it takes from what others tell.

use std::time::Duration;

use corianderyoke_coord::serving::demand::Asked;
use corianderyoke_coord::serving::roster::Daemon;
use corianderyoke_coord::serving::roster::Fitness;
use corianderyoke_coord::time::Tick;
use corianderyoke_util::events;
use corianderyoke_util::events::Event;
use corianderyoke_wire::word;
use corianderyoke_wire::word::Word;

use crate::peers::holder;
use crate::peers::MESH;
use crate::state::PeerWord;
use crate::state::Shared;
use crate::state::State;

/// Time for which a model's demand is told after it changed.
const DEMAND_SPAN: Duration = Duration::from_secs(4);
/// Time for which a team's total is told after it changed.
const TOTAL_SPAN: Duration = Duration::from_secs(1);
/// Words of which one tells all teams' totals, which repairs what lost words told.
const ALL_TEAMS_EVERY: u64 = 16;

/// This daemon's word.
pub fn compose(shared: &Shared, state: &mut State, number: u64, now: Tick) -> Word {
    let settings = &shared.settings;
    Word {
        name: settings.name.clone(),
        incarnation: shared.incarnation(),
        number,
        peers: settings.peers.to_string(),
        callers: settings.callers.to_string(),
        zone: settings.zone.clone(),
        fitness: told(own_fitness(state)).into(),
        operator: state.operator.known,
        teams: teams(state, number.is_multiple_of(ALL_TEAMS_EVERY), now),
        models: models(state, now),
        adapters: adapters(state),
        engines: engines(state),
        holder: holder::compose(state, now),
        capacity: settings.capacity,
    }
}

/// What this daemon can do for callers.
pub fn own_fitness(state: &State) -> Fitness {
    match (state.leaving, state.is_ready()) {
        (true, _) => Fitness::Leaving,
        (false, true) => Fitness::Ready,
        (false, false) => Fitness::Unready,
    }
}

/// Teams' totals that changed lately, or `all` of them.
fn teams(state: &mut State, all: bool, now: Tick) -> Vec<word::TeamTotal> {
    let State { caps, totals, .. } = state;
    let told = caps.iter().filter_map(|(team, bucket)| {
        let tokens = bucket.total();
        let last = totals.entry(team.clone()).or_insert((0, Tick(0)));
        if last.0 != tokens {
            *last = (tokens, now);
        }
        let told = all || now.since(last.1) < TOTAL_SPAN;
        told.then(|| word::TeamTotal { team: team.clone(), tokens })
    });
    told.collect()
}

fn models(state: &State, now: Tick) -> Vec<word::ModelDemand> {
    let names = &state.engines.names.models;
    let told = state
        .models
        .iter()
        .filter(|(_, count)| count.waiting > 0 || now.since(count.at) < DEMAND_SPAN);
    told.map(|(&model, count)| {
        let (requests, tokens) = count.asked.rates(now);
        word::ModelDemand {
            model: names.name(model).to_owned(),
            waiting: count.waiting,
            requests: requests as f32,
            tokens: tokens as f32,
        }
    })
    .collect()
}

fn adapters(state: &State) -> Vec<word::AdapterWant> {
    let names = &state.engines.names;
    let wants = state.adapters.iter().map(|(&adapter, &(model, _))| word::AdapterWant {
        model: names.models.name(model).to_owned(),
        adapter: names.adapters.name(adapter).to_owned(),
    });
    wants.collect()
}

fn engines(state: &State) -> Vec<word::EngineLoad> {
    let names = &state.engines.names;
    let loaded = state.own.iter().filter(|(_, own)| own.load.running > 0);
    loaded
        .map(|(&key, own)| word::EngineLoad {
            engine: names.engines.name(key).to_owned(),
            running: own.load.running,
            unread: own.load.unread,
            tokens: own.load.tokens,
            models: own
                .models
                .iter()
                .filter(|(_, running)| **running > 0)
                .map(|(&model, &running)| word::ModelRuns {
                    model: names.models.name(model).to_owned(),
                    running,
                })
                .collect(),
            adapters: own.adapters.keys().map(|&key| names.adapters.name(key).to_owned()).collect(),
        })
        .collect()
}

/// Takes another daemon's word in.
pub fn take(shared: &Shared, word: Word, now: Tick) {
    let (Ok(peers), Ok(callers)) = (word.peers.parse(), word.callers.parse()) else { return };
    if word.name == shared.settings.name {
        return;
    }
    let mut guard = shared.state();
    let state = &mut *guard;
    let last = state.words.get(&word.name).map_or((0, 0), |last| (last.incarnation, last.number));
    if (word.incarnation, word.number) <= last {
        return;
    }
    let daemon = Daemon {
        name: word.name.clone(),
        incarnation: word.incarnation,
        peers,
        callers,
        zone: word.zone.clone(),
        capacity: word.capacity,
    };
    if state.roster.hear(daemon, fitness(word.fitness()), now) {
        events::log(Event::PeerHeard, format_args!("name={} address={peers}", word.name));
        state.introduce = true;
        shared.urgent.notify_one();
    }
    let mut low = false;
    // A daemon that follows a relay has them in the relay's sums.
    if state.relays || state.roster.size() <= MESH {
        for team in &word.teams {
            low |= take_total(state, &word.name, word.incarnation, team, now);
        }
    }
    hear_operator(shared, state, word.operator);
    if let Some(holder) = &word.holder {
        state.holder = Some((word.name.clone(), holder.clone(), now));
    }
    let mut changed =
        word.holder.as_ref().is_some_and(|told| holder::take(shared, state, &word.name, told, now));
    changed |= take_demand(state, &word, now);
    // Only a relay passes it on; the others told the relays themselves.
    state.pass_on |= low;
    drop(guard);
    if low {
        shared.urgent.notify_one();
    }
    if changed {
        shared.changed.notify_waiters();
        shared.plan.notify_one();
    }
}

/// Another daemon knows of a row of the operator with this version.
pub fn hear_operator(shared: &Shared, state: &mut State, version: u64) {
    state.operator.known = state.operator.known.max(version);
    if state.operator.is_behind() {
        shared.behind.notify_one();
    }
}

/// What a message says of a daemon's fitness.
pub fn fitness(told: word::Fitness) -> Fitness {
    match told {
        word::Fitness::Unready => Fitness::Unready,
        word::Fitness::Ready => Fitness::Ready,
        word::Fitness::Leaving => Fitness::Leaving,
    }
}

/// The message for a daemon's fitness.
pub fn told(fitness: Fitness) -> word::Fitness {
    match fitness {
        Fitness::Unready => word::Fitness::Unready,
        Fitness::Ready => word::Fitness::Ready,
        Fitness::Leaving => word::Fitness::Leaving,
    }
}

/// Takes in what a daemon admitted of a team's tokens; whether the other daemons should hear of it
/// at once.
fn take_total(
    state: &mut State,
    daemon: &str,
    incarnation: u64,
    told: &word::TeamTotal,
    now: Tick,
) -> bool {
    let share = state.roster.share(now);
    let Some(bucket) = state.caps.get_mut(&told.team) else { return false };
    let changed = bucket.hear(daemon, incarnation, told.tokens);
    bucket.level(share, now);
    changed && bucket.is_low()
}

/// Takes in what a daemon runs and waits for; whether it waits for something.
fn take_demand(state: &mut State, word: &Word, now: Tick) -> bool {
    let names = &mut state.engines.names;
    let mut waits = false;
    for demand in &word.models {
        let model = names.models.intern(&demand.model);
        let asked = Asked::told(demand.requests.into(), demand.tokens.into(), now);
        state.planner.hear(&word.name, word.incarnation, model, asked, now);
        state.planner.wait(&word.name, model, demand.waiting, now);
        waits |= demand.waiting > 0;
    }
    for want in &word.adapters {
        let model = names.models.intern(&want.model);
        let adapter = names.adapters.intern(&want.adapter);
        state.planner.want_adapter(model, adapter, now);
        waits = true;
    }
    let mut told = PeerWord {
        incarnation: word.incarnation,
        number: word.number,
        at: now,
        waits,
        ..PeerWord::default()
    };
    for engine in &word.engines {
        let key = names.engines.intern(&engine.engine);
        let load = corianderyoke_coord::serving::choice::Load {
            running: engine.running,
            unread: engine.unread,
            tokens: engine.tokens,
        };
        told.loads.insert(key, load);
        for adapter in &engine.adapters {
            let adapter = names.adapters.intern(adapter);
            state.planner.use_adapter(key, adapter, now);
        }
        for runs in &engine.models {
            told.runs.insert((key, names.models.intern(&runs.model)), runs.running);
        }
    }
    state.words.insert(word.name.clone(), told);
    waits
}
