//! Sends the routers the list of replicas that they may use.

use std::sync::Arc;
use std::time::Duration;

use corianderyoke_coord::membership::Role;
use corianderyoke_wire::peer;
use corianderyoke_wire::peer::request::Body as Call;

use crate::controller::Controller;

/// Longest wait for a router's response.
const PUSH_TIMEOUT: Duration = Duration::from_secs(1);

impl Controller {
    /// The list of replicas in the form sent to routers.
    pub(super) fn replica_list(&self) -> Vec<peer::Replica> {
        let planner = self.planner.lock();
        let adapters = self.adapters.lock();
        let fence = planner.fence();
        let replicas = planner.replicas().into_iter().map(|replica| peer::Replica {
            adapters: adapters.loaded_with(&replica.model, &replica.upstream),
            state: if replica.loaded { "loaded" } else { "loading" }.to_owned(),
            upstream: replica.upstream,
            model: replica.model,
            fence,
        });
        replicas.collect()
    }

    /// Sends the list to every router of the view.
    pub(super) fn push_replicas(self: &Arc<Self>, version: u64, replicas: &[peer::Replica]) {
        let view = self.agent.view();
        for member in view.members.iter().filter(|member| member.role == Role::Router) {
            let replicas = replicas.to_vec();
            let request = peer::ReplicasRequest { epoch: view.epoch, version, replicas };
            let (controller, id) = (Arc::clone(self), member.id.clone());
            tokio::spawn(async move {
                // A lost list needs no retry: the next one follows within a second.
                let _ = controller.agent.call(&id, Call::Replicas(request), PUSH_TIMEOUT).await;
            });
        }
    }
}
