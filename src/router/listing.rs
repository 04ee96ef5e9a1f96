//! Endpoints that list the models of a caller's team and the routers that a caller should use.

use std::sync::Arc;

use corianderyoke_coord::entry::select_routers as select;
use corianderyoke_coord::entry::Caller as EntryCaller;
use corianderyoke_coord::entry::EntrySettings;
use corianderyoke_coord::entry::Router as EntryRouter;
use corianderyoke_coord::entry::RouterState;
use corianderyoke_coord::membership::Kind;
use corianderyoke_history::Event as HistoryEvent;
use serde_json::json;
use serde_json::Value;

use crate::router::http::Answer;
use crate::router::http::Parts;
use crate::router::refusal::Result;
use crate::router::Router;

/// Query parameter with the caller's availability zone.
const ZONE_PARAMETER: &str = "zone=";

/// `GET /v1/models`: the models and adapters that the caller's team may use.
pub fn models(router: &Router, parts: &Parts) -> Result<Answer> {
    let caller = router.authenticate(parts)?;
    let register = router.register()?;
    let model = |name: &str| json!({"id": name, "object": "model", "owned_by": caller.team});
    let models: Vec<Value> = register.models_of(&caller.team).map(model).collect();
    Ok(Answer::json(&json!({"object": "list", "data": models})))
}

/// `GET /v1/entry`: the routers that the caller should use, best first.
pub async fn entry(router: &Arc<Router>, parts: &Parts) -> Result<Answer> {
    let register = router.register()?;
    // The key is optional. Without one, the selection is made for an empty team name.
    let team = router.authenticate(parts).map(|caller| caller.team).unwrap_or_default();
    let zones = &router.homes.names.zones;
    let rows = router.agent.routers();
    let home_id = router.agent.owner(Kind::Bucket, &team);
    let home = rows.iter().find(|row| home_id.as_ref().is_some_and(|home| home.name == row.name));
    let home_zone = home.map(|row| zones.key(&row.zone));
    let zone = parts.query.split('&').find_map(|pair| pair.strip_prefix(ZONE_PARAMETER));
    let caller = EntryCaller { team: &team, zone: zone.map(|zone| zones.key(zone)), home_zone };
    let routers: Vec<EntryRouter> = rows
        .iter()
        .map(|row| EntryRouter {
            name: row.name.clone(),
            address: row.callers.clone(),
            zone: zones.key(&row.zone),
            drained: register.zones.get(&row.zone).is_some_and(|zone| zone.drained),
            state: match (row.leaving, row.ready) {
                (true, _) => RouterState::Leaving,
                (false, true) => RouterState::Ready,
                (false, false) => RouterState::Unready,
            },
        })
        .collect();
    let selected = select(EntrySettings::default(), &routers, &caller);
    let max_age_seconds = selected.max_age.as_secs();
    router.record(|| {
        let listed = rows.iter().filter(|row| selected.addresses.contains(&row.callers));
        HistoryEvent::Entry { zones: listed.map(|row| row.zone.clone()).collect() }
    });
    Ok(Answer::json(&json!({"addresses": selected.addresses, "keep_seconds": max_age_seconds})))
}
