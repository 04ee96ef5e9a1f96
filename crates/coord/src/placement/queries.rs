//! Read access to the planner's state: replicas for routers, and the predicates that its decisions
//! share.

use std::time::Duration;

use crate::keys::ModelKey;
use crate::keys::UpstreamKey;
use crate::time::Tick;

use super::catalog::Model;
use super::catalog::Tier;
use super::catalog::Upstream;
use super::effects::ReplicaKey;
use super::ledger::Intent;
use super::planner::HomeStage;
use super::planner::Planner;
use super::probe::ObservedState;
use super::row::IntentRow;
use super::row::Phase;

/// A replica that routers may use.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Replica {
    /// Model name.
    pub model: String,
    /// Upstream name.
    pub upstream: String,
    /// Whether it is loaded. If not, it is decided but still to be loaded.
    pub loaded: bool,
    /// Memory reserved for it, in bytes.
    pub bytes: u64,
}

impl Planner {
    /// Whether this planner is home, has taken over the table, and makes decisions.
    pub fn is_active(&self) -> bool {
        self.stage == HomeStage::Active
    }

    /// The newest fencing token known to be in the table.
    pub fn fence(&self) -> u64 {
        self.fence
    }

    /// Key of a model; `None` if the name never occurred in the catalog, the table or a demand
    /// report.
    pub fn model_key(&self, name: &str) -> Option<ModelKey> {
        self.model_names.key(name)
    }

    /// Key of an upstream; `None` if the name never occurred in the catalog or the table.
    pub fn upstream_key(&self, name: &str) -> Option<UpstreamKey> {
        self.upstream_names.key(name)
    }

    /// Name of a model.
    pub fn model_name(&self, model: ModelKey) -> &str {
        self.model_names.name(model)
    }

    /// Name of an upstream.
    pub fn upstream_name(&self, upstream: UpstreamKey) -> &str {
        self.upstream_names.name(upstream)
    }

    /// Catalog entry of an upstream; `None` if it isn't in the register.
    pub fn upstream(&self, upstream: UpstreamKey) -> Option<&Upstream> {
        self.upstreams.get(&upstream)
    }

    /// Catalog entry of a model; `None` if it isn't in the register.
    pub fn model(&self, model: ModelKey) -> Option<&Model> {
        self.models.get(&model)
    }

    /// The row of an intent.
    pub fn row(&self, replica: ReplicaKey) -> Option<IntentRow> {
        let intent = self.ledger.get(replica)?;
        Some(self.to_row(replica, intent))
    }

    /// All intents as rows, with the last observed state of each replica.
    pub fn intents(&self) -> Vec<(IntentRow, ObservedState)> {
        let rows = self.ledger.iter();
        rows.map(|(replica, intent)| (self.to_row(replica, intent), intent.state)).collect()
    }

    /// Replicas that routers may use: decided ones on usable upstreams, loaded or not.
    pub fn replicas(&self) -> Vec<Replica> {
        let assigned = self.ledger.iter().filter(|(replica, intent)| {
            intent.phase == Phase::Decided && self.is_usable(replica.1)
        });
        let to_replica = |(replica, intent): (ReplicaKey, &Intent)| Replica {
            model: self.model_names.name(replica.0).to_owned(),
            upstream: self.upstream_names.name(replica.1).to_owned(),
            loaded: intent.state == ObservedState::Loaded,
            bytes: intent.bytes,
        };
        assigned.map(to_replica).collect()
    }

    /// Usable upstreams on which `model` was last seen loaded.
    pub fn loaded_upstreams(&self, model: ModelKey) -> Vec<UpstreamKey> {
        let loaded = self.ledger.of_model(model).filter(|(upstream, intent)| {
            let ready = intent.phase == Phase::Decided && intent.state == ObservedState::Loaded;
            ready && self.is_usable(*upstream)
        });
        loaded.map(|(upstream, _)| upstream).collect()
    }

    /// Number of weight store permits held by intents.
    pub fn held_permits(&self) -> usize {
        self.ledger.permits()
    }

    /// Number of requests that wait for `model` at all routers.
    pub fn waiting_requests(&self, model: ModelKey) -> u32 {
        self.demand.get(&model).map_or(0, |demand| demand.waiting())
    }

    /// When [`Planner::poll`] should be called next.
    pub fn next_poll(&self, now: Tick) -> Tick {
        let probe = self.probe_queue.first().map(|(at, _)| *at);
        let expiry = self.expiry_queue.first().map(|(at, _)| *at);
        let follow_up = (!self.unsettled.is_empty() || !self.pending_models.is_empty())
            .then(|| now + Duration::from_millis(100));
        let next = probe.into_iter().chain(expiry).chain(follow_up).min();
        next.unwrap_or(now + Duration::from_secs(1)).max(now)
    }

    /// Whether an upstream is usable and its probes haven't failed for
    /// [`super::Settings::probe_grace`].
    pub(super) fn is_reachable(&self, now: Tick, upstream: UpstreamKey) -> bool {
        let failing_since = self.probes.get(&upstream).and_then(|probe| probe.failing_since);
        let failed =
            failing_since.is_some_and(|since| now.since(since) >= self.settings.probe_grace);
        self.is_usable(upstream) && !failed
    }

    pub(super) fn is_usable(&self, upstream: UpstreamKey) -> bool {
        self.upstreams.get(&upstream).is_some_and(Upstream::is_usable)
    }

    pub(super) fn to_row(&self, replica: ReplicaKey, intent: &Intent) -> IntentRow {
        IntentRow {
            model: self.model_names.name(replica.0).to_owned(),
            upstream: self.upstream_names.name(replica.1).to_owned(),
            bytes: intent.bytes,
            fence: intent.fence,
            phase: intent.phase,
            senders: intent.senders.iter().cloned().collect(),
            permit: intent.permit,
        }
    }

    pub(super) fn tier(&self, replica: ReplicaKey) -> Tier {
        let tiers = self.checkpoints.get(&replica.0);
        tiers.and_then(|tiers| tiers.get(&replica.1)).copied().unwrap_or(Tier::Remote)
    }

    /// Time to load a model from the fastest tier in which the upstream has its checkpoint.
    pub(super) fn load_time(&self, replica: ReplicaKey) -> Duration {
        let tier = self.tier(replica);
        self.models.get(&replica.0).map_or(Duration::ZERO, |model| model.load_time(tier))
    }

    /// Whether requests for a model wait or run.
    pub(super) fn is_busy(&self, model: ModelKey) -> bool {
        self.demand.get(&model).is_some_and(|demand| demand.is_busy())
    }

    /// Whether a model's requests would fit on one loaded replica fewer.
    pub(super) fn has_surplus(&self, model: ModelKey) -> bool {
        let loaded = self.loaded_upstreams(model).len() as u32;
        let requests = self.demand.get(&model).map_or(0, |demand| demand.requests());
        loaded > 1 && requests <= self.settings.replica_slots * (loaded - 1)
    }

    /// Whether every other controller named in the intent has ended, so that none of its load
    /// orders can still take effect.
    pub(super) fn other_senders_ended(&self, intent: &Intent) -> bool {
        let mut others = intent.senders.iter().filter(|sender| **sender != self.own_name);
        others.all(|sender| self.ended_senders.contains(sender))
    }

    /// Number of this planner's load orders for the replica that may still take effect.
    pub(super) fn unresolved_load_count(&self, replica: ReplicaKey) -> u32 {
        self.unresolved_loads.get(&replica).map_or(0, |loads| loads.unresolved)
    }

    /// Whether the replica is absent and no load order for it can take effect any more.
    ///
    /// An upstream that checks fencing tokens rejects all older orders once its state shows the
    /// token of the unload. On any other upstream, all senders' load orders must be resolved, and
    /// the absence must be seen by a probe sent no earlier than the intent's last change.
    pub(super) fn can_delete(&self, replica: ReplicaKey, intent: &Intent) -> bool {
        if intent.phase == Phase::Decided || intent.state != ObservedState::Absent {
            return false;
        }
        let Some(upstream) = self.upstreams.get(&replica.1) else {
            return false;
        };
        if upstream.fenced {
            return self.probes.get(&replica.1).is_some_and(|probe| probe.fence >= intent.fence);
        }
        let resolved = self.other_senders_ended(intent) && self.unresolved_load_count(replica) == 0;
        resolved && intent.probed_at >= intent.last_change
    }

    /// Whether unloading the replica now would free its bytes: no earlier load order could bring it
    /// back.
    pub(super) fn can_free(&self, replica: ReplicaKey, intent: &Intent) -> bool {
        let fenced = self.upstreams.get(&replica.1).is_some_and(|upstream| upstream.fenced);
        fenced || (self.other_senders_ended(intent) && self.unresolved_load_count(replica) == 0)
    }
}
