//! Loads adapters beside their models, few at once over the whole cell.

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

/// Time between two looks at whether an adapter is loaded.
const LOOK_EVERY: Duration = Duration::from_millis(5);
/// Longest time for one adapter's load.
const LOADED_WITHIN: Duration = Duration::from_secs(3);

/// Which adapters are loaded where, and who waits for one.
#[derive(Debug, Default)]
pub struct Adapters {
    /// Adapters by model and upstream, as last seen.
    loaded: IndexMap<(String, String), IndexSet<String>>,
    /// What the planner's spots stand for.
    spots: IndexMap<AdapterReplica, Load>,
    /// Names of adapters by their keys.
    names: IndexSet<String>,
}

/// A load that is wanted or under way.
#[derive(Debug)]
struct Load {
    model: String,
    adapter: String,
    upstream: String,
    waiting: Vec<oneshot::Sender<bool>>,
}

impl Adapters {
    /// Takes in an upstream's state.
    pub fn seen(&mut self, upstream: &str, models: &[control::Model]) {
        self.loaded.retain(|(_, found), _| found != upstream);
        for model in models {
            let key = (model.model.clone(), upstream.to_owned());
            self.loaded.insert(key, model.adapters.iter().cloned().collect());
        }
    }

    /// Adapters loaded beside a model at an upstream, as last seen.
    pub fn beside(&self, model: &str, upstream: &str) -> Vec<String> {
        let key = (model.to_owned(), upstream.to_owned());
        self.loaded.get(&key).map(|set| set.iter().cloned().collect()).unwrap_or_default()
    }

    fn has(&self, ask: &peer::AdapterRequest) -> bool {
        let key = (ask.model.clone(), ask.upstream.clone());
        self.loaded.get(&key).is_some_and(|set| set.contains(&ask.adapter))
    }
}

/// Has an adapter loaded, and answers once it is or can't be.
pub async fn answer(
    controller: &Arc<Controller>,
    ask: &peer::AdapterRequest,
) -> peer::AdapterResponse {
    if !controller.serves() {
        return peer::AdapterResponse { loaded: false, not_home: true };
    }
    let Some(told) = want(controller, ask) else {
        return peer::AdapterResponse { loaded: true, not_home: false };
    };
    controller.wanted.notify_one();
    let loaded = timeout(LOADED_WITHIN, told).await;
    peer::AdapterResponse { loaded: matches!(loaded, Ok(Ok(true))), not_home: false }
}

/// Enters a wish; `None` where the adapter is loaded already or its upstream isn't known.
fn want(controller: &Controller, ask: &peer::AdapterRequest) -> Option<oneshot::Receiver<bool>> {
    let mut planner = controller.planner.lock();
    let mut adapters = controller.adapters.lock();
    if adapters.has(ask) {
        return None;
    }
    let (tell, told) = oneshot::channel();
    let Some(upstream) = planner.upstream_key(&ask.upstream) else {
        // Dropping the sender answers that it can't be loaded.
        return Some(told);
    };
    let (number, _) = adapters.names.insert_full(ask.adapter.clone());
    let spot = (corianderyoke_coord::keys::AdapterKey(number as u32), upstream);
    let load = adapters.spots.entry(spot).or_insert_with(|| Load {
        model: ask.model.clone(),
        adapter: ask.adapter.clone(),
        upstream: ask.upstream.clone(),
        waiting: Vec::new(),
    });
    load.waiting.push(tell);
    planner.request_adapter(spot);
    Some(told)
}

impl Controller {
    /// Carries one adapter load out and gives its permit back.
    pub(super) async fn load_adapter(self: Arc<Self>, spot: AdapterReplica) {
        let wish = {
            let adapters = self.adapters.lock();
            let load = adapters.spots.get(&spot);
            load.map(|load| (load.model.clone(), load.adapter.clone(), load.upstream.clone()))
        };
        let loaded = match &wish {
            Some((model, adapter, upstream)) => {
                let load = self.order_adapter(model, adapter, upstream);
                timeout(LOADED_WITHIN, load).await.unwrap_or(false)
            }
            None => false,
        };
        let mut planner = self.planner.lock();
        planner.finish_adapter_load(spot);
        let mut adapters = self.adapters.lock();
        let Some(load) = adapters.spots.swap_remove(&spot) else {
            return;
        };
        if loaded {
            let key = (load.model, load.upstream);
            adapters.loaded.entry(key).or_default().insert(load.adapter);
        }
        for waiting in load.waiting {
            // A router that no longer waits finds the adapter in the next list of replicas.
            let _ = waiting.send(loaded);
        }
    }

    async fn order_adapter(&self, model: &str, adapter: &str, upstream: &str) -> bool {
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
            let found = state.models.iter().find(|found| found.model == model);
            match found {
                Some(found) if found.adapters.iter().any(|name| name == adapter) => return true,
                Some(_) => sleep(LOOK_EVERY).await,
                None => return false,
            }
        }
    }
}
