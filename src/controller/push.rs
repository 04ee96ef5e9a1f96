//! Tells the routers which replicas they may use.

use std::sync::Arc;
use std::time::Duration;

use corianderyoke_coord::membership::Role;
use corianderyoke_wire::peer;
use corianderyoke_wire::peer::request::Body as Call;

use crate::controller::Controller;

/// Longest wait for a router's answer.
const PUSH_WITHIN: Duration = Duration::from_secs(1);

impl Controller {
    /// The list of replicas as routers get it.
    pub(super) fn replica_list(&self) -> Vec<peer::Replica> {
        let planner = self.planner.lock();
        let adapters = self.adapters.lock();
        let fence = planner.fence();
        let replicas = planner.replicas().into_iter().map(|replica| peer::Replica {
            adapters: adapters.beside(&replica.model, &replica.upstream),
            state: if replica.loaded { "loaded" } else { "loading" }.to_owned(),
            upstream: replica.upstream,
            model: replica.model,
            fence,
        });
        replicas.collect()
    }

    /// Sends the list to every router of the view.
    pub(super) fn push(self: &Arc<Self>, version: u64, replicas: &[peer::Replica]) {
        let view = self.agent.view();
        for member in view.members.iter().filter(|member| member.role == Role::Router) {
            let replicas = replicas.to_vec();
            let request = peer::ReplicasRequest { epoch: view.epoch, version, replicas };
            let (controller, id) = (Arc::clone(self), member.id.clone());
            tokio::spawn(async move {
                // A list that gets lost is made good by the next one, a second later at most.
                let _ = controller.agent.call(&id, Call::Replicas(request), PUSH_WITHIN).await;
            });
        }
    }
}
