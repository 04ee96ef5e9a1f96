//! Explains to operators how a request of a team for a model would be routed now, and why.

use corianderyoke_coord::membership::Kind;
use serde_json::json;
use serde_json::Value;

use crate::router::start::DISPATCH;
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
        let name = |kind, thing: &str| self.agent.owner(kind, thing).map(|member| member.name);
        let replicas: Vec<Value> = self
            .homes
            .dispatch
            .replica_list()
            .into_iter()
            .filter(|replica| replica.model == target.model)
            .map(|replica| self.upstream_row(&register, &replica))
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
            "limit_home": name(Kind::Bucket, team),
            "dispatch_home": name(Kind::Dispatch, DISPATCH),
            "placement_home": name(Kind::Placement, DISPATCH),
            "replicas": replicas,
        })
    }

    fn upstream_row(
        &self,
        register: &corianderyoke_coord::register::Register,
        replica: &corianderyoke_wire::peer::Replica,
    ) -> Value {
        let upstream = register.upstreams.get(&replica.upstream);
        let zone = upstream.map_or("", |upstream| upstream.zone.as_str());
        let standing = self.homes.dispatch.standing(self, &replica.model).unwrap_or_default();
        let slots = standing.iter().find(|(name, _, _)| *name == replica.upstream);
        json!({
            "upstream": replica.upstream,
            "zone": zone,
            "drained": register.is_drained(zone),
            "leaving": self.agent.is_leaving(&replica.upstream),
            "state": replica.state,
            "in_use": slots.map(|(_, used, _)| used),
            "slots": slots.map(|(_, _, bound)| bound),
        })
    }
}
