//! Updates the dispatcher from the register, the replica list and the platform's instance list.

use std::time::Duration;

use corianderyoke_coord::dispatch::Dispatcher;
use corianderyoke_coord::dispatch::Effect;
use corianderyoke_coord::dispatch::ReplicaState;
use corianderyoke_coord::dispatch::UpstreamStatus;
use corianderyoke_coord::register::Register;
use corianderyoke_coord::register::UpstreamKind;
use corianderyoke_wire::peer;
use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::router::Router;
use crate::util::clock;

/// Assumed remaining duration of a load in progress.
const LOADING_TIME: Duration = Duration::from_secs(5);

/// Stores a replica list from placement and applies it, unless a newer list is stored already.
pub fn set_replicas(router: &Router, list: peer::ReplicasRequest) {
    if router.homes.dispatch.update_replicas(list) {
        refresh(router);
    }
}

/// Updates the dispatcher from the register, the replica list and the platform's instance list.
pub fn refresh(router: &Router) {
    let list = router.homes.dispatch.replica_list();
    router.homes.dispatch.with(router, |dispatcher| configure(router, dispatcher, &list));
}

pub(super) fn configure(
    router: &Router,
    dispatcher: &mut Dispatcher,
    replicas: &[peer::Replica],
) -> Vec<Effect> {
    let Some(register) = router.agent.config() else {
        return Vec::new();
    };
    let now = clock::now();
    let names = &router.homes.names;
    let mut effects = Vec::new();
    for (team, entry) in &register.teams {
        dispatcher.set_team_weight(names.teams.key(team), entry.weight.round().max(1.0) as u32);
    }
    for (zone, entry) in &register.zones {
        effects.extend(dispatcher.set_zone_drained(names.zones.key(zone), entry.drained, now));
    }
    for (model, entry) in &register.models {
        let estimate = router.homes.dispatch.wake_estimates.lock().get(model).copied();
        let remote = Duration::from_millis(entry.start_ms.remote);
        dispatcher.set_wake_estimate(names.models.key(model), estimate.unwrap_or(remote));
    }
    for (name, status) in statuses(router, &register, replicas) {
        effects.extend(dispatcher.set_upstream(names.upstreams.key(&name), status, now));
    }
    effects
}

fn statuses(
    router: &Router,
    register: &Register,
    replicas: &[peer::Replica],
) -> IndexMap<String, UpstreamStatus> {
    let names = &router.homes.names;
    let mut statuses = IndexMap::new();
    for (name, upstream) in &register.upstreams {
        if upstream.kind != UpstreamKind::Engine {
            continue;
        }
        let status = UpstreamStatus {
            zone: names.zones.key(&upstream.zone),
            leaving: router.agent.is_leaving(name),
            incarnation: 0,
            max_slots: upstream.max_running,
            warmup_slots: upstream.fresh_running,
            models: IndexMap::new(),
            adapters: IndexSet::new(),
        };
        statuses.insert(name.clone(), status);
    }
    for replica in replicas {
        let Some(status) = statuses.get_mut(&replica.upstream) else {
            continue;
        };
        let state = match replica.state.as_str() {
            "loaded" => ReplicaState::Loaded,
            "loading" => ReplicaState::Loading(LOADING_TIME),
            _ => ReplicaState::Unloading,
        };
        status.models.insert(names.models.key(&replica.model), state);
        status.adapters.extend(replica.adapters.iter().map(|name| names.adapters.key(name)));
    }
    statuses
}
