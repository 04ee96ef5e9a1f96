//! Explains to operators how a request of a team for a model would be routed now, and why.

use corianderyoke_coord::membership::Kind;
use serde_json::json;
use serde_json::Value;

use crate::router::slots::CELL_RESOURCE;
use crate::router::Router;

impl Router {
    /// Explains how a request of `team` for `model` would be routed, as a JSON object.
    pub fn explain(&self, team: &str, model: &str) -> Value {
        let Some(register) = self.agent.config() else {
            return json!({"decision": "refused", "why": "no configuration is in force here"});
        };
        let Some(target) = register.target(model) else {
            return json!({"decision": "refused", "why": "the model isn't registered"});
        };
        if !register.may_use(team, target.resource()) {
            return json!({"decision": "refused", "why": "the team has no grant for it"});
        }
        let home_name =
            |kind, resource: &str| self.agent.owner(kind, resource).map(|member| member.name);
        let replicas: Vec<Value> = self
            .homes
            .dispatch
            .replica_list()
            .into_iter()
            .filter(|replica| replica.model == target.model)
            .map(|replica| self.replica_row(&register, &replica))
            .collect();
        let why = if replicas.is_empty() {
            "no replica is placed: the request waits while one is loaded"
        } else {
            "the home of dispatch grants a slot of the least loaded open replica"
        };
        json!({
            "decision": "admitted",
            "why": why,
            "revision": register.revision.0,
            "model": target.model,
            "adapter": target.adapter,
            "limit_home": home_name(Kind::Bucket, team),
            "dispatch_home": home_name(Kind::Dispatch, CELL_RESOURCE),
            "placement_home": home_name(Kind::Placement, CELL_RESOURCE),
            "replicas": replicas,
        })
    }

    fn replica_row(
        &self,
        register: &corianderyoke_coord::register::Register,
        replica: &corianderyoke_wire::peer::Replica,
    ) -> Value {
        let upstream = register.upstreams.get(&replica.upstream);
        let zone = upstream.map_or("", |upstream| upstream.zone.as_str());
        let replica_load =
            self.homes.dispatch.replica_load(self, &replica.model).unwrap_or_default();
        let slot_usage = replica_load.iter().find(|(name, _, _)| *name == replica.upstream);
        json!({
            "upstream": replica.upstream,
            "zone": zone,
            "drained": register.is_drained(zone),
            "leaving": self.agent.is_leaving(&replica.upstream),
            "state": replica.state,
            "in_use": slot_usage.map(|(_, in_use, _)| in_use),
            "slots": slot_usage.map(|(_, _, bound)| bound),
        })
    }
}
