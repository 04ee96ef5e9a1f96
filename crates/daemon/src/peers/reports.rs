//! Composes this daemon's reports and handles the reports of other daemons.

use std::time::Duration;

use corianderyoke_coord::serving::announcements::Wants;
use corianderyoke_coord::serving::demand::DemandRate;
use corianderyoke_coord::serving::demand::Rates;
use corianderyoke_coord::serving::position::Position;
use corianderyoke_coord::serving::roster::Daemon;
use corianderyoke_coord::serving::roster::Fitness;
use corianderyoke_coord::time::Tick;
use corianderyoke_util::events;
use corianderyoke_util::events::Event;
use corianderyoke_wire::word;
use corianderyoke_wire::word::Word;

use crate::peers::holder;
use crate::peers::limits;
use crate::peers::member;
use crate::peers::origins;
use crate::peers::own_daemon;
use crate::peers::quarantine;
use crate::peers::receives_all_reports;
use crate::peers::speeds;
use crate::state::PeerReport;
use crate::state::Shared;
use crate::state::State;

/// Time for which the demand for a model is reported after its latest change.
const DEMAND_REPORT_TIME: Duration = Duration::from_secs(4);
/// Time for which the total of a team is reported after its latest change.
const TOTAL_REPORT_TIME: Duration = Duration::from_secs(1);
/// One report in this many contains the totals of all teams, which repairs losses.
const ALL_TEAMS_PERIOD: u64 = 16;

/// Composes this daemon's report with sequence number `number`.
pub fn compose(shared: &Shared, state: &mut State, number: u64, now: Tick) -> Word {
    Word {
        daemon: Some(member::encode(&own_daemon(shared), own_fitness(state))),
        number,
        era: state.operator.known.era,
        operator: state.operator.known.version,
        revision: state.revision_in_force(),
        teams: teams(state, number.is_multiple_of(ALL_TEAMS_PERIOD), now),
        models: models(state, now),
        adapters: adapters(state),
        engines: engines(state),
        holder: holder::compose(state, now),
        casualties: quarantine::casualties(state, false, now),
        parts: quarantine::verdicts(state, now),
        limits: limits::compose(state, now),
        streams: origins::compose(state, now),
        speeds: speeds::compose(shared, state, now),
    }
}

/// Returns whether callers may be sent to this daemon.
pub fn own_fitness(state: &State) -> Fitness {
    match (state.leaving, state.is_ready()) {
        (true, _) => Fitness::Leaving,
        (false, true) if state.reach.is_detached() => Fitness::Detached,
        (false, true) => Fitness::Ready,
        (false, false) => Fitness::Unready,
    }
}

/// Returns the totals of teams that changed recently, or of all teams if `all` is set.
fn teams(state: &mut State, all: bool, now: Tick) -> Vec<word::TeamTotal> {
    let State { team_buckets, team_totals, .. } = state;
    let reported = team_buckets.iter().filter_map(|(team, bucket)| {
        let tokens = bucket.total();
        let previous = team_totals.entry(team.clone()).or_insert((0, Tick(0)));
        if previous.0 != tokens {
            *previous = (tokens, now);
        }
        let is_included = all || now.since(previous.1) < TOTAL_REPORT_TIME;
        is_included.then(|| word::TeamTotal { team: team.clone(), tokens })
    });
    reported.collect()
}

fn models(state: &State, now: Tick) -> Vec<word::ModelDemand> {
    let names = &state.engines.names.models;
    let reported = state.model_requests.iter().filter(|(_, requests)| {
        requests.waiting > 0 || now.since(requests.changed) < DEMAND_REPORT_TIME
    });
    reported
        .map(|(&model, requests)| {
            let rates = requests.rate.rates(now);
            word::ModelDemand {
                model: names.name(model).to_owned(),
                waiting: requests.waiting,
                requests: rates.requests as f32,
                tokens: rates.tokens as f32,
                urgent: rates.urgent as f32,
            }
        })
        .collect()
}

fn adapters(state: &State) -> Vec<word::AdapterWant> {
    let names = &state.engines.names;
    let wanted = state.wanted_adapters.iter().map(|(&adapter, &(model, _))| word::AdapterWant {
        model: names.models.name(model).to_owned(),
        adapter: names.adapters.name(adapter).to_owned(),
    });
    wanted.collect()
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

/// Handles the report of another daemon. Duplicated and reordered reports are ignored.
pub fn handle_report(shared: &Shared, report: Word, now: Tick) {
    let Some((daemon, fitness)) = report.daemon.as_ref().and_then(member::decode) else { return };
    let Daemon { name, incarnation, peers, .. } = daemon.clone();
    if name == shared.settings.name {
        return;
    }
    let mut guard = shared.state();
    let state = &mut *guard;
    let previous =
        state.reports.get(&name).map_or((0, 0), |previous| (previous.incarnation, previous.number));
    if (incarnation, report.number) <= previous {
        return;
    }
    if state.roster.record_report(daemon, fitness, now) {
        events::log(Event::PeerHeard, format_args!("name={name} address={peers}"));
        shared.report_now.notify_one();
    }
    let mut is_low = false;
    // Otherwise the totals are part of the sums in a relay's digest.
    if receives_all_reports(state) {
        for team in &report.teams {
            is_low |= record_team_total(state, &name, incarnation, team, now);
        }
    }
    let known = Position { era: report.era, version: report.operator };
    record_operator_position(shared, state, known, report.revision, now);
    if let Some(holder) = &report.holder {
        state.holder_report = Some((name.clone(), holder.clone(), now));
    }
    let mut changed = report.holder.as_ref().is_some_and(|announcement| {
        holder::handle_announcement(shared, state, &name, announcement, now)
    });
    changed |= record_demand(state, &name, incarnation, &report, now);
    speeds::handle_report(state, &name, &report.speeds, now);
    origins::handle(state, &report.streams, now);
    let mut is_urgent = quarantine::handle(shared, state, &report.casualties, &report.parts, now);
    is_urgent |= limits::handle_report(state, &name, &report.limits, now);
    // Only a relay forwards it; every other daemon sends its totals to the relays itself.
    state.relay_pending |= is_low || is_urgent;
    drop(guard);
    if is_low || is_urgent {
        shared.report_now.notify_one();
    }
    if changed {
        shared.changed.notify_waiters();
        shared.replan.notify_one();
    }
}

/// Records that another daemon knows of an operator's row at this position, and has this revision of
/// the desired state in force.
pub fn record_operator_position(
    shared: &Shared,
    state: &mut State,
    known: Position,
    revision: u64,
    now: Tick,
) {
    let own = state.desired.as_ref().map_or(0, |desired| desired.revision);
    state.fleet_revision.record(revision, own, now);
    state.operator.known = state.operator.known.max(known);
    if state.operator.is_behind() {
        shared.operator_behind.notify_one();
    }
}

/// Records the tokens that a daemon admitted for a team. Returns whether the other daemons must
/// learn of it without delay.
fn record_team_total(
    state: &mut State,
    daemon: &str,
    incarnation: u64,
    total: &word::TeamTotal,
    now: Tick,
) -> bool {
    let share = state.roster.live_fraction(now);
    let Some(bucket) = state.team_buckets.get_mut(&total.team) else { return false };
    let changed = bucket.record_peer_total(daemon, incarnation, total.tokens);
    bucket.level(share, now);
    changed && bucket.is_low()
}

/// Records the requests in flight and the demand of a daemon. Returns whether requests wait there
/// for a load.
fn record_demand(
    state: &mut State,
    name: &str,
    incarnation: u64,
    report: &Word,
    now: Tick,
) -> bool {
    let names = &mut state.engines.names;
    let mut wants = Wants::default();
    for demand in &report.models {
        let model = names.models.intern(&demand.model);
        let rates = Rates {
            requests: demand.requests.into(),
            tokens: demand.tokens.into(),
            urgent: demand.urgent.into(),
        };
        let rate = DemandRate::from_rates(rates, now);
        state.planner.record_peer_demand(name, incarnation, model, rate, now);
        state.planner.record_waiting(name, model, demand.waiting, now);
        if demand.waiting > 0 {
            wants.models.insert(model);
        }
    }
    for want in &report.adapters {
        let model = names.models.intern(&want.model);
        let adapter = names.adapters.intern(&want.adapter);
        state.planner.request_adapter(model, adapter, now);
        wants.adapters.insert(adapter);
    }
    let has_waiting = !wants.is_empty();
    // Earlier changes may concern requests that have started to wait since.
    let previous = state.reports.get(name).filter(|previous| wants.is_subset(&previous.wants));
    let (told_change, told_loads) = previous.map_or_else(Default::default, |previous| {
        (previous.told_change, previous.told_loads.clone())
    });
    let mut peer = PeerReport {
        incarnation,
        number: report.number,
        received: now,
        wants,
        told_change,
        told_loads,
        ..PeerReport::default()
    };
    for engine in &report.engines {
        let key = names.engines.intern(&engine.engine);
        let load = corianderyoke_coord::serving::choice::Load {
            running: engine.running,
            pending_prefill: engine.unread,
            tokens: engine.tokens,
        };
        peer.loads.insert(key, load);
        for adapter in &engine.adapters {
            let adapter = names.adapters.intern(adapter);
            state.planner.record_adapter_use(key, adapter, now);
        }
        for count in &engine.models {
            peer.running_requests.insert((key, names.models.intern(&count.model)), count.running);
        }
    }
    state.reports.insert(name.to_owned(), peer);
    has_waiting
}
