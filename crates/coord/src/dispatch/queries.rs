//! Read-only queries of the dispatcher, and the headroom rule for fairness between teams.

use super::Demand;
use super::Dispatcher;
use super::ReplicaState;
use super::RequestKey;
use super::Start;
use crate::keys::AdapterKey;
use crate::keys::MemberKey;
use crate::keys::ModelKey;
use crate::keys::TeamKey;
use crate::keys::UpstreamKey;
use crate::time::Tick;

impl Dispatcher {
    /// Epoch in which this home started.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Whether all members have reported their slots, so that requests may start.
    pub fn is_open(&self) -> bool {
        self.unreported.is_empty()
    }

    /// Members that haven't reported their slots yet.
    pub fn unreported_members(&self) -> impl Iterator<Item = MemberKey> + '_ {
        self.unreported.iter().copied()
    }

    /// Models that placement should load: they have waiting requests and no loaded or loading
    /// replica on an open upstream.
    pub fn models_to_wake(&self) -> impl Iterator<Item = ModelKey> + '_ {
        let lacks_replica = |key: &ModelKey| {
            let model = &self.models[key];
            model.bound == 0 && model.loading.is_empty() && !model.queue.is_empty()
        };
        self.wake_candidates.iter().copied().filter(lacks_replica)
    }

    /// Queue length, slots and estimated wait of a model.
    pub fn demand(&self, key: ModelKey, now: Tick) -> Demand {
        let Some(model) = self.models.get(&key) else {
            let wait = self.settings.default_wake;
            return Demand { waiting: 0, in_use: 0, bound: 0, wait };
        };
        let start_interval = model.service_time.mean() / model.bound.max(1);
        let queue_wait = start_interval.saturating_mul(model.queue.len() as u32);
        let wait = self.estimate_ready_wait(model, now) + queue_wait;
        Demand { waiting: model.queue.len(), in_use: model.in_use, bound: model.bound, wait }
    }

    /// Number of waiting requests, over all models.
    pub fn waiting_requests(&self) -> usize {
        self.waiting.len()
    }

    /// Slots in use on an upstream; 0 for an unknown one.
    pub fn in_use(&self, upstream: UpstreamKey) -> u32 {
        self.upstreams.get(&upstream).map_or(0, |upstream| upstream.in_use)
    }

    /// Current bound of an upstream, in slots; 0 for an unknown one.
    pub fn bound(&self, upstream: UpstreamKey) -> u32 {
        self.upstreams.get(&upstream).map_or(0, |upstream| upstream.bound.slots())
    }

    /// The start of a request, if it has a slot.
    pub fn start_of(&self, request: RequestKey) -> Option<Start> {
        let slot = self.slot_by_request.get(&request)?;
        let upstream = self.slots.get(slot)?.upstream;
        Some(Start { request, slot: *slot, upstream, bound: self.bound(upstream) })
    }

    /// Whether an adapter is loaded on an upstream.
    pub fn has_adapter(&self, upstream: UpstreamKey, adapter: AdapterKey) -> bool {
        let upstream = self.upstreams.get(&upstream);
        upstream.is_some_and(|upstream| upstream.status.adapters.contains(&adapter))
    }

    /// Load of an upstream in thousandths of its bound; `None` unless it is open and has a free
    /// slot.
    pub(super) fn load(&self, key: UpstreamKey) -> Option<u32> {
        let upstream = self.upstreams.get(&key)?;
        let is_open =
            !upstream.status.leaving && !self.drained_zones.contains(&upstream.status.zone);
        let bound = upstream.bound.slots();
        let occupied = upstream.in_use + upstream.untracked;
        (is_open && occupied < bound).then(|| occupied * 1000 / bound)
    }

    /// Whether a team may take a slot of an upstream: while more than the headroom is free, while
    /// no other team is active there, while the team is below its weighted share, or if the bound
    /// is too small to share.
    pub(super) fn leaves_headroom(&self, key: UpstreamKey, team: TeamKey, now: Tick) -> bool {
        let Some(upstream) = self.upstreams.get(&key) else {
            return false;
        };
        let bound = upstream.bound.slots();
        let headroom = (f64::from(bound) * self.settings.headroom) as u32;
        let free = bound.saturating_sub(upstream.in_use + upstream.untracked);
        if free > headroom.max(1) || bound < 3 {
            return true;
        }
        let loaded = |state: &ReplicaState| *state == ReplicaState::Loaded;
        let models = upstream.status.models.iter().filter(|(_, state)| loaded(state));
        let queues = models.filter_map(|(model, _)| self.models.get(model));
        let mut active_weight = 0;
        let mut contested = false;
        for model in queues {
            active_weight = active_weight.max(model.queue.active_weight());
            contested |=
                model.queue.has_other_active_team(team, self.settings.activity_window, now);
        }
        let own_weight = u64::from(self.team_weights.get(&team).copied().unwrap_or(1));
        let own_slots = u64::from(upstream.slots_by_team.get(&team).copied().unwrap_or(0));
        !contested || own_slots * active_weight.max(own_weight) < u64::from(bound) * own_weight
    }

    /// When the first waiting request must have started; [`tick`](Dispatcher::tick) is due then.
    pub fn next_expiry(&self) -> Option<Tick> {
        self.start_deadlines.first().map(|(latest_start, _)| *latest_start)
    }
}
