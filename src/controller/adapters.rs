//! Loads adapters next to their base models, a limited number at a time across the cell.

use std::sync::Arc;
use std::time::Duration;

use corianderyoke_coord::placement::adapters::AdapterReplica;
use corianderyoke_upstream::control;
use corianderyoke_wire::peer;
use indexmap::IndexMap;
use indexmap::IndexSet;
use tokio::sync::oneshot;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::controller::Controller;

/// Time between two polls of an upstream for a loaded adapter.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Longest time for loading one adapter.
const LOAD_TIMEOUT: Duration = Duration::from_secs(3);

/// Loaded adapters, and pending loads with the requests that wait for them.
#[derive(Debug, Default)]
pub struct Adapters {
    /// Loaded adapters by model and upstream, from the latest state of each upstream.
    loaded: IndexMap<(String, String), IndexSet<String>>,
    /// Requested and running loads, by the planner's keys.
    pending: IndexMap<AdapterReplica, PendingLoad>,
    /// Adapter names; an adapter's key is its index here.
    names: IndexSet<String>,
}

/// A load that is requested or running.
#[derive(Debug)]
struct PendingLoad {
    model: String,
    adapter: String,
    upstream: String,
    waiters: Vec<oneshot::Sender<bool>>,
}

impl Adapters {
    /// Replaces the adapters known for an upstream with those of its reported models.
    pub fn update_upstream(&mut self, upstream: &str, models: &[control::Model]) {
        self.loaded.retain(|(_, other), _| other != upstream);
        for model in models {
            let key = (model.model.clone(), upstream.to_owned());
            self.loaded.insert(key, model.adapters.iter().cloned().collect());
        }
    }

    /// Adapters loaded for a model on an upstream, as last reported.
    pub fn loaded_with(&self, model: &str, upstream: &str) -> Vec<String> {
        let key = (model.to_owned(), upstream.to_owned());
        self.loaded.get(&key).map(|set| set.iter().cloned().collect()).unwrap_or_default()
    }

    fn is_loaded(&self, request: &peer::AdapterRequest) -> bool {
        let key = (request.model.clone(), request.upstream.clone());
        self.loaded.get(&key).is_some_and(|set| set.contains(&request.adapter))
    }
}

/// Requests the load of an adapter and responds once it is loaded or the load failed.
pub async fn handle_request(
    controller: &Arc<Controller>,
    request: &peer::AdapterRequest,
) -> peer::AdapterResponse {
    if !controller.serves() {
        return peer::AdapterResponse { loaded: false, not_home: true };
    }
    let Some(receiver) = request_load(controller, request) else {
        return peer::AdapterResponse { loaded: true, not_home: false };
    };
    controller.wakeup.notify_one();
    let loaded = timeout(LOAD_TIMEOUT, receiver).await;
    peer::AdapterResponse { loaded: matches!(loaded, Ok(Ok(true))), not_home: false }
}

/// Requests a load and returns the receiver of its result; `None` if the adapter is loaded already.
///
/// For an unknown upstream the receiver fails at once.
fn request_load(
    controller: &Controller,
    request: &peer::AdapterRequest,
) -> Option<oneshot::Receiver<bool>> {
    let mut planner = controller.planner.lock();
    let mut adapters = controller.adapters.lock();
    if adapters.is_loaded(request) {
        return None;
    }
    let (sender, receiver) = oneshot::channel();
    let Some(upstream) = planner.upstream_key(&request.upstream) else {
        // Dropping the sender reports to the receiver that the adapter can't be loaded.
        return Some(receiver);
    };
    let (index, _) = adapters.names.insert_full(request.adapter.clone());
    let replica = (corianderyoke_coord::keys::AdapterKey(index as u32), upstream);
    let load = adapters.pending.entry(replica).or_insert_with(|| PendingLoad {
        model: request.model.clone(),
        adapter: request.adapter.clone(),
        upstream: request.upstream.clone(),
        waiters: Vec::new(),
    });
    load.waiters.push(sender);
    planner.request_adapter(replica);
    Some(receiver)
}

impl Controller {
    /// Loads one adapter, then releases its permit.
    pub(super) async fn load_adapter(self: Arc<Self>, replica: AdapterReplica) {
        let target = {
            let adapters = self.adapters.lock();
            let load = adapters.pending.get(&replica);
            load.map(|load| (load.model.clone(), load.adapter.clone(), load.upstream.clone()))
        };
        let loaded = match &target {
            Some((model, adapter, upstream)) => {
                let load = self.send_adapter_order(model, adapter, upstream);
                timeout(LOAD_TIMEOUT, load).await.unwrap_or(false)
            }
            None => false,
        };
        let mut planner = self.planner.lock();
        planner.finish_adapter_load(replica);
        let mut adapters = self.adapters.lock();
        let Some(load) = adapters.pending.swap_remove(&replica) else {
            return;
        };
        if loaded {
            let key = (load.model, load.upstream);
            adapters.loaded.entry(key).or_default().insert(load.adapter);
        }
        for waiter in load.waiters {
            // A router that gave up waiting finds the adapter in the next list of replicas.
            let _ = waiter.send(loaded);
        }
    }

    async fn send_adapter_order(&self, model: &str, adapter: &str, upstream: &str) -> bool {
        let Some(register) = self.agent.config() else {
            return false;
        };
        let Some(address) = self.address(upstream).filter(|_| self.serves()) else {
            return false;
        };
        let fence = self.planner.lock().fence();
        let order = control::Order {
            order: format!("{fence}-{adapter}"),
            op: control::Op::LoadAdapter,
            model: model.to_owned(),
            adapter: Some(adapter.to_owned()),
            bytes: register.adapters.get(adapter).map_or(0, |adapter| adapter.bytes),
            fence,
        };
        self.record_order(&order, upstream);
        if !matches!(self.upstreams.order(address, &order).await, Ok(control::Reply::Accepted)) {
            return false;
        }
        loop {
            let state = self.upstreams.state(address).await.unwrap_or_default();
            let base = state.models.iter().find(|state| state.model == model);
            match base {
                Some(base) if base.adapters.iter().any(|name| name == adapter) => return true,
                Some(_) => sleep(POLL_INTERVAL).await,
                None => return false,
            }
        }
    }
}
