//! Ticks the dispatcher and reports demand to the home of placement.

use std::sync::Arc;
use std::time::Duration;

use corianderyoke_coord::membership::Kind;
use corianderyoke_wire::peer;
use corianderyoke_wire::peer::request::Body as PeerRequest;
use corianderyoke_wire::peer::response::Body as PeerResponse;
use indexmap::IndexSet;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::router::home::serves;
use crate::router::slots::CELL_RESOURCE;
use crate::router::Router;
use crate::util::clock;

/// Interval between ticks of the dispatcher.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Interval between demand reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);

/// Longest wait for placement's response to a demand report.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// Ticks the dispatcher and reports demand to placement, until the task is dropped.
pub async fn run(router: Arc<Router>) {
    let mut last_report = clock::now();
    loop {
        let dispatch = &router.homes.dispatch;
        let urgent = timeout(TICK_INTERVAL, dispatch.queued.notified()).await.is_ok();
        if !serves(&router, Kind::Dispatch, CELL_RESOURCE) {
            sleep(TICK_INTERVAL).await;
            continue;
        }
        dispatch.with(&router, |dispatcher| dispatcher.tick(clock::now()));
        if urgent || clock::now().since(last_report) >= REPORT_INTERVAL {
            last_report = clock::now();
            report_demand(&router, urgent);
        }
    }
}

/// Reports the waiting and running requests of each model to placement. An urgent report includes
/// only models that have to be woken, since they have no replica.
fn report_demand(router: &Arc<Router>, urgent: bool) {
    let Some(register) = router.agent.config() else {
        return;
    };
    let now = clock::now();
    let names = &router.homes.names;
    let mut demands = Vec::new();
    if let Some(state) = router.homes.dispatch.state.lock().as_ref() {
        let to_wake: IndexSet<_> = state.dispatcher.models_to_wake().collect();
        for model in register.models.keys() {
            let key = names.models.key(model);
            let demand = state.dispatcher.demand(key, now);
            let is_idle = demand.waiting == 0 && demand.in_use == 0;
            if !is_idle && (!urgent || to_wake.contains(&key)) {
                demands.push((model.clone(), demand.waiting as u32, demand.in_use));
            }
        }
    }
    for (model, waiting, running) in demands {
        send_demand(router, model, waiting, running);
    }
}

pub(super) fn send_demand(router: &Arc<Router>, model: String, waiting: u32, running: u32) {
    let router = Arc::clone(router);
    tokio::spawn(async move {
        let request =
            PeerRequest::Wake(peer::WakeRequest { model: model.clone(), waiting, running });
        let response =
            router.call_home(Kind::Placement, CELL_RESOURCE, request, REPORT_TIMEOUT).await;
        if let Some(PeerResponse::Wake(peer::WakeResponse { ready_ms: ms @ 1.., .. })) = response {
            let estimate = Duration::from_millis(ms);
            router.homes.dispatch.wake_estimates.lock().insert(model, estimate);
        }
    });
}
