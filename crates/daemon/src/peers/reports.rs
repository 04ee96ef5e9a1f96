//! What a daemon tells of itself, and what it takes from what others tell.

use std::time::Duration;

use corianderyoke_coord::serving::demand::DemandRate;
use corianderyoke_coord::serving::roster::Daemon;
use corianderyoke_coord::serving::roster::Fitness;
use corianderyoke_coord::time::Tick;
use corianderyoke_util::events;
use corianderyoke_util::events::Event;
use corianderyoke_wire::word;
use corianderyoke_wire::word::Word;

use crate::peers::hears_all;
use crate::peers::holder;
use crate::peers::member;
use crate::peers::myself;
use crate::state::PeerReport;
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
    Word {
        daemon: Some(member::encode(&myself(shared), own_fitness(state))),
        number,
        operator: state.operator.known_version,
        teams: teams(state, number.is_multiple_of(ALL_TEAMS_EVERY), now),
        models: models(state, now),
        adapters: adapters(state),
        engines: engines(state),
        holder: holder::compose(state, now),
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
    let State { team_buckets, team_totals, .. } = state;
    let told = team_buckets.iter().filter_map(|(team, bucket)| {
        let tokens = bucket.total();
        let last = team_totals.entry(team.clone()).or_insert((0, Tick(0)));
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
        .model_requests
        .iter()
        .filter(|(_, requests)| requests.waiting > 0 || now.since(requests.changed) < DEMAND_SPAN);
    told.map(|(&model, requests)| {
        let (request_rate, token_rate) = requests.rate.rates(now);
        word::ModelDemand {
            model: names.name(model).to_owned(),
            waiting: requests.waiting,
            requests: request_rate as f32,
            tokens: token_rate as f32,
        }
    })
    .collect()
}

fn adapters(state: &State) -> Vec<word::AdapterWant> {
    let names = &state.engines.names;
    let wants = state.wanted_adapters.iter().map(|(&adapter, &(model, _))| word::AdapterWant {
        model: names.models.name(model).to_owned(),
        adapter: names.adapters.name(adapter).to_owned(),
    });
    wants.collect()
}

fn engines(state: &State) -> Vec<word::EngineLoad> {
    let names = &state.engines.names;
    let loaded = state.own_loads.iter().filter(|(_, own)| own.load.running > 0);
    loaded
        .map(|(&key, own)| word::EngineLoad {
            engine: names.engines.name(key).to_owned(),
            running: own.load.running,
            unread: own.load.pending_prefill,
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
    let Some((daemon, fitness)) = word.daemon.as_ref().and_then(member::decode) else { return };
    let Daemon { name, incarnation, peers, .. } = daemon.clone();
    if name == shared.settings.name {
        return;
    }
    let mut guard = shared.state();
    let state = &mut *guard;
    let last = state.reports.get(&name).map_or((0, 0), |last| (last.incarnation, last.number));
    if (incarnation, word.number) <= last {
        return;
    }
    if state.roster.record_report(daemon, fitness, now) {
        events::log(Event::PeerHeard, format_args!("name={name} address={peers}"));
        state.describe_all = true;
        shared.report_now.notify_one();
    }
    let mut low = false;
    // A daemon that follows a relay has them in the relay's sums.
    if hears_all(state) {
        for team in &word.teams {
            low |= take_total(state, &name, incarnation, team, now);
        }
    }
    hear_operator(shared, state, word.operator);
    if let Some(holder) = &word.holder {
        state.holder_report = Some((name.clone(), holder.clone(), now));
    }
    let mut changed =
        word.holder.as_ref().is_some_and(|told| holder::take(shared, state, &name, told, now));
    changed |= take_demand(state, &name, incarnation, &word, now);
    // Only a relay passes it on; the others told the relays themselves.
    state.relay_pending |= low;
    drop(guard);
    if low {
        shared.report_now.notify_one();
    }
    if changed {
        shared.changed.notify_waiters();
        shared.replan.notify_one();
    }
}

/// Another daemon knows of a row of the operator with this version.
pub fn hear_operator(shared: &Shared, state: &mut State, version: u64) {
    state.operator.known_version = state.operator.known_version.max(version);
    if state.operator.is_behind() {
        shared.operator_behind.notify_one();
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
    let share = state.roster.live_fraction(now);
    let Some(bucket) = state.team_buckets.get_mut(&told.team) else { return false };
    let changed = bucket.record_peer_total(daemon, incarnation, told.tokens);
    bucket.level(share, now);
    changed && bucket.is_low()
}

/// Takes in what a daemon runs and waits for; whether it waits for something.
fn take_demand(state: &mut State, name: &str, incarnation: u64, word: &Word, now: Tick) -> bool {
    let names = &mut state.engines.names;
    let mut has_waiting = false;
    for demand in &word.models {
        let model = names.models.intern(&demand.model);
        let asked = DemandRate::from_rates(demand.requests.into(), demand.tokens.into(), now);
        state.planner.record_peer_demand(name, incarnation, model, asked, now);
        state.planner.record_waiting(name, model, demand.waiting, now);
        has_waiting |= demand.waiting > 0;
    }
    for want in &word.adapters {
        let model = names.models.intern(&want.model);
        let adapter = names.adapters.intern(&want.adapter);
        state.planner.request_adapter(model, adapter, now);
        has_waiting = true;
    }
    let mut told = PeerReport {
        incarnation,
        number: word.number,
        received: now,
        has_waiting,
        ..PeerReport::default()
    };
    for engine in &word.engines {
        let key = names.engines.intern(&engine.engine);
        let load = corianderyoke_coord::serving::choice::Load {
            running: engine.running,
            pending_prefill: engine.unread,
            tokens: engine.tokens,
        };
        told.loads.insert(key, load);
        for adapter in &engine.adapters {
            let adapter = names.adapters.intern(adapter);
            state.planner.record_adapter_use(key, adapter, now);
        }
        for count in &engine.models {
            told.running_requests.insert((key, names.models.intern(&count.model)), count.running);
        }
    }
    state.reports.insert(name.to_owned(), told);
    has_waiting
}
