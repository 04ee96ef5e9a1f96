//! What a daemon tells of itself, and what it takes from what others tell.

use std::time::Duration;

use corianderyoke_coord::serving::lease::LeaseRow;
use corianderyoke_coord::serving::lease::StoreTime;
use corianderyoke_coord::serving::roster::Daemon;
use corianderyoke_coord::serving::roster::Fitness;
use corianderyoke_coord::time::Tick;
use corianderyoke_util::events;
use corianderyoke_util::events::Event;
use corianderyoke_wire::word;
use corianderyoke_wire::word::Word;
use indexmap::IndexMap;

use crate::state::EffectKind;
use crate::state::PeerWord;
use crate::state::Shared;
use crate::state::State;
use crate::state::Total;

/// Time for which a model's demand is told after it changed.
const DEMAND_SPAN: Duration = Duration::from_secs(10);
/// Time for which the effect of an order is told; entries show it by then.
const EFFECT_SPAN: Duration = Duration::from_millis(2_500);

/// This daemon's word.
pub fn compose(shared: &Shared, state: &mut State, number: u64, now: Tick) -> Word {
    let fitness = match (state.leaving, state.is_ready()) {
        (true, _) => word::Fitness::Leaving,
        (false, true) => word::Fitness::Ready,
        (false, false) => word::Fitness::Unready,
    };
    state.effects.retain(|effect| now.since(effect.at) < EFFECT_SPAN);
    let settings = &shared.settings;
    Word {
        name: settings.name.clone(),
        incarnation: shared.incarnation(),
        number,
        peers: settings.peers.to_string(),
        callers: settings.callers.to_string(),
        zone: settings.zone.clone(),
        fitness: fitness.into(),
        revision: state.desired.as_ref().map_or(0, |desired| desired.revision),
        teams: teams(state),
        models: models(state, now),
        adapters: adapters(state),
        engines: engines(state),
        holder: holder(state, now),
        capacity: settings.capacity,
    }
}

fn teams(state: &State) -> Vec<word::TeamTotal> {
    let total = |(team, bucket): (&String, &corianderyoke_coord::serving::caps::TeamBucket)| {
        word::TeamTotal { team: team.clone(), tokens: bucket.total(), level: bucket.level() }
    };
    state.caps.iter().map(total).collect()
}

fn models(state: &State, now: Tick) -> Vec<word::ModelDemand> {
    let names = &state.engines.names.models;
    let told = state
        .models
        .iter()
        .filter(|(_, count)| count.waiting > 0 || now.since(count.at) < DEMAND_SPAN);
    told.map(|(&model, count)| word::ModelDemand {
        model: names.name(model).to_owned(),
        arrivals: count.arrivals,
        waiting: count.waiting,
        tokens: count.tokens,
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
        })
        .collect()
}

fn holder(state: &State, now: Tick) -> Option<word::Holder> {
    let token = state.lease.token(now)?;
    let (version, until) = state.lease.seen();
    let names = &state.engines.names;
    let effects = state.effects.iter().map(|effect| {
        let (model, adapter, held) = match effect.kind {
            EffectKind::Leaves => ("", "", false),
            EffectKind::Model(model, held) => (names.models.name(model), "", held),
            EffectKind::Adapter(model, adapter, held) => {
                (names.models.name(model), names.adapters.name(adapter), held)
            }
        };
        word::Effect {
            engine: names.engines.name(effect.engine).to_owned(),
            model: model.to_owned(),
            adapter: adapter.to_owned(),
            held,
            number: effect.number,
        }
    });
    Some(word::Holder { token, version, effects: effects.collect(), until: until.0 })
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
        shared.urgent.notify_one();
    }
    let mut low = false;
    for team in &word.teams {
        let total = Total { incarnation: word.incarnation, tokens: team.tokens, at: now };
        low |= take_total(state, &word.name, &team.team, total);
    }
    if let Some(holder) = &word.holder {
        state.holder = Some((word.name.clone(), holder.clone(), now));
    }
    let mut changed =
        word.holder.as_ref().is_some_and(|holder| take_holder(state, &word.name, holder, now));
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

/// What a message says of a daemon's fitness.
pub fn fitness(told: word::Fitness) -> Fitness {
    match told {
        word::Fitness::Unready => Fitness::Unready,
        word::Fitness::Ready => Fitness::Ready,
        word::Fitness::Leaving => Fitness::Leaving,
    }
}

/// Takes in what a daemon admitted of a team's tokens; whether the other daemons should hear of it
/// at once.
pub fn take_total(state: &mut State, daemon: &str, team: &str, total: Total) -> bool {
    let Some(bucket) = state.caps.get_mut(team) else { return false };
    bucket.hear(daemon, total.incarnation, total.tokens);
    let low = bucket.is_low();
    let key = (daemon.to_owned(), team.to_owned());
    let same = state
        .totals
        .get(&key)
        .is_some_and(|last| (last.incarnation, last.tokens) == (total.incarnation, total.tokens));
    if !same {
        state.totals.insert(key, total);
    }
    low && !same
}

/// Takes in what the holder of the lease says; whether it says something of the engines.
pub fn take_holder(state: &mut State, name: &str, holder: &word::Holder, now: Tick) -> bool {
    let row =
        LeaseRow { holder: name.to_owned(), token: holder.token, until: StoreTime(holder.until) };
    state.lease.hear(row, holder.version);
    state.told = Some(now);
    let (token, mut last) = state.taken_effects;
    if token != holder.token {
        last = 0;
    }
    for effect in holder.effects.iter().filter(|effect| effect.number > last) {
        let Some(engine) = state.engines.names.engines.key(&effect.engine) else { continue };
        if effect.model.is_empty() {
            state.engines.leave(engine);
            continue;
        }
        let model = state.engines.names.models.intern(&effect.model);
        match (effect.adapter.as_str(), effect.held) {
            ("", false) => state.engines.unload_model(engine, model),
            ("", true) => state.engines.hold_model(engine, model),
            (adapter, held) => {
                let adapter = state.engines.names.adapters.intern(adapter);
                state.engines.say(engine, model, adapter, held, now);
            }
        }
    }
    let newest = holder.effects.iter().map(|effect| effect.number).max().unwrap_or(0);
    state.taken_effects = (holder.token, newest.max(last));
    newest > last
}

/// Takes in what a daemon runs and waits for; whether it waits for something.
fn take_demand(state: &mut State, word: &Word, now: Tick) -> bool {
    let names = &mut state.engines.names;
    let before =
        state.words.swap_remove(&word.name).filter(|last| last.incarnation == word.incarnation);
    let mut arrivals = before.map_or_else(IndexMap::new, |last| last.arrivals);
    let mut waits = false;
    for demand in &word.models {
        let model = names.models.intern(&demand.model);
        let told = (demand.arrivals, demand.tokens);
        let known = arrivals.insert(model, told).unwrap_or(told);
        let fresh = demand.arrivals.saturating_sub(known.0);
        if fresh > 0 {
            let tokens = demand.tokens.saturating_sub(known.1);
            state.planner.arrive(model, fresh, tokens, now);
        }
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
        arrivals,
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
        for runs in &engine.models {
            told.runs.insert((key, names.models.intern(&runs.model)), runs.running);
        }
    }
    state.words.insert(word.name.clone(), told);
    waits
}
