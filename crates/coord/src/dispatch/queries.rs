//! Queries of the dispatcher.

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
        self.home
    }

    /// Whether the inventory is complete.
    pub fn is_open(&self) -> bool {
        self.missing.is_empty()
    }

    /// Members whose part of the inventory is missing.
    pub fn unreported_members(&self) -> impl Iterator<Item = MemberKey> + '_ {
        self.missing.iter().copied()
    }

    /// Models with waiting requests and no open replica, loaded or loading.
    pub fn models_to_wake(&self) -> impl Iterator<Item = ModelKey> + '_ {
        let lacks = |key: &ModelKey| {
            let model = &self.models[key];
            model.bound == 0 && model.loading.is_empty() && !model.queue.is_empty()
        };
        self.wanting.iter().copied().filter(lacks)
    }

    /// State of a model's queue.
    pub fn demand(&self, key: ModelKey, now: Tick) -> Demand {
        let Some(model) = self.models.get(&key) else {
            let wait = self.settings.wake;
            return Demand { waiting: 0, in_use: 0, bound: 0, wait };
        };
        let pace = model.service.mean() / model.bound.max(1);
        let queue = pace.saturating_mul(model.queue.len() as u32);
        let wait = self.ready_wait(model, now) + queue;
        Demand { waiting: model.queue.len(), in_use: model.in_use, bound: model.bound, wait }
    }

    /// Requests that wait, over all models.
    pub fn waiting_requests(&self) -> usize {
        self.waiting.len()
    }

    /// Slots in use of an upstream.
    pub fn in_use(&self, upstream: UpstreamKey) -> u32 {
        self.upstreams.get(&upstream).map_or(0, |upstream| upstream.in_use)
    }

    /// Most slots of an upstream that may be in use now.
    pub fn bound(&self, upstream: UpstreamKey) -> u32 {
        self.upstreams.get(&upstream).map_or(0, |upstream| upstream.bound.slots())
    }

    /// The start of a request that has a slot.
    pub fn start_of(&self, request: RequestKey) -> Option<Start> {
        let slot = self.started.get(&request)?;
        let upstream = self.slots.get(slot)?.upstream;
        Some(Start { request, slot: *slot, upstream, bound: self.bound(upstream) })
    }

    /// Whether an adapter is loaded on an upstream.
    pub fn has_adapter(&self, upstream: UpstreamKey, adapter: AdapterKey) -> bool {
        let upstream = self.upstreams.get(&upstream);
        upstream.is_some_and(|upstream| upstream.status.adapters.contains(&adapter))
    }

    /// Load of an open upstream with a free slot, in thousandths of its bound.
    pub(super) fn load(&self, key: UpstreamKey) -> Option<u32> {
        let upstream = self.upstreams.get(&key)?;
        let open = !upstream.status.leaving && !self.drained.contains(&upstream.status.zone);
        let bound = upstream.bound.slots();
        let occupied = upstream.in_use + upstream.foreign;
        (open && occupied < bound).then(|| occupied * 1000 / bound)
    }

    /// Whether a team may take a slot of an upstream: always below its share, and above it as long
    /// as enough slots stay free for others that are active there.
    pub(super) fn leaves_headroom(&self, key: UpstreamKey, team: TeamKey, now: Tick) -> bool {
        let Some(upstream) = self.upstreams.get(&key) else {
            return false;
        };
        let bound = upstream.bound.slots();
        let headroom = (f64::from(bound) * self.settings.headroom) as u32;
        let free = bound.saturating_sub(upstream.in_use + upstream.foreign);
        if free > headroom.max(1) || bound < 3 {
            return true;
        }
        let loaded = |state: &ReplicaState| *state == ReplicaState::Loaded;
        let models = upstream.status.models.iter().filter(|(_, state)| loaded(state));
        let queues = models.filter_map(|(model, _)| self.models.get(model));
        let mut weight = 0;
        let mut contested = false;
        for model in queues {
            weight = weight.max(model.queue.weight());
            contested |= model.queue.is_contested(team, self.settings.active, now);
        }
        let own = u64::from(self.teams.get(&team).copied().unwrap_or(1));
        let used = u64::from(upstream.teams.get(&team).copied().unwrap_or(0));
        !contested || used * weight.max(own) < u64::from(bound) * own
    }

    /// When the first waiting request has to start; `tick` is due then.
    pub fn next_expiry(&self) -> Option<Tick> {
        self.expiry.first().map(|(latest, _)| *latest)
    }
}
