//! Commands that update the dispatcher's environment: team weights, zones, upstreams and model load
//! times.

use std::time::Duration;

use super::Dispatcher;
use super::Effect;
use super::ReplicaState;
use super::Upstream;
use super::UpstreamStatus;
use crate::keys::ModelKey;
use crate::keys::TeamKey;
use crate::keys::UpstreamKey;
use crate::keys::ZoneKey;
use crate::time::Tick;

impl Dispatcher {
    /// Sets a team's weight, at least 1; teams that aren't set have weight 1.
    pub fn set_team_weight(&mut self, team: TeamKey, weight: u32) {
        self.team_weights.insert(team, weight.max(1));
    }

    /// Drains or restores an availability zone. Upstreams of a restored zone start over as new
    /// ones.
    pub fn set_zone_drained(&mut self, zone: ZoneKey, drained: bool, now: Tick) -> Vec<Effect> {
        let changed = if drained {
            self.drained_zones.insert(zone)
        } else {
            self.drained_zones.swap_remove(&zone)
        };
        if !changed {
            return Vec::new();
        }
        let in_zone = |upstream: &Upstream| upstream.status.zone == zone;
        let keys = self.upstreams.iter().filter(|(_, upstream)| in_zone(upstream));
        let keys: Vec<UpstreamKey> = keys.map(|(key, _)| *key).collect();
        let mut effects = Vec::new();
        for key in keys {
            let models = self.models_of(key);
            self.record_loading(key, &models, now);
            self.refresh_upstream(key, !drained, now);
            self.record_wake_candidates(&models);
            self.start_for_upstream(key, now, &mut effects);
        }
        effects
    }

    /// Adds an upstream or updates its state. One that restarted or stopped leaving starts over as
    /// a new one.
    pub fn set_upstream(
        &mut self,
        key: UpstreamKey,
        status: UpstreamStatus,
        now: Tick,
    ) -> Vec<Effect> {
        let settings = self.settings;
        let new_upstream = || Upstream::new(&settings, status.clone(), now);
        let upstream = self.upstreams.entry(key).or_insert_with(new_upstream);
        let rejoined = upstream.status.leaving && !status.leaving;
        let restarted = upstream.status.incarnation != status.incarnation;
        let previous = std::mem::replace(&mut upstream.status, status);
        upstream.bound.set_max(upstream.status.max_slots, upstream.status.warmup_slots);
        let models: Vec<ModelKey> = previous.models.into_keys().collect();
        self.record_loading(key, &models, now);
        self.refresh_upstream(key, rejoined || restarted, now);
        self.record_wake_candidates(&models);
        let mut effects = Vec::new();
        self.start_for_upstream(key, now, &mut effects);
        effects
    }

    /// Removes an upstream. Its slots stay in use until they are released.
    pub fn remove_upstream(&mut self, key: UpstreamKey, now: Tick) {
        let Some(upstream) = self.upstreams.get(&key) else {
            return;
        };
        let models = Default::default();
        let status = UpstreamStatus { leaving: true, models, ..upstream.status.clone() };
        let effects = self.set_upstream(key, status, now);
        self.pending_effects.extend(effects);
        self.upstreams.swap_remove(&key);
    }

    /// Sets placement's estimate of the time to load a model that has no replica.
    pub fn set_wake_estimate(&mut self, model: ModelKey, estimate: Duration) {
        self.models.entry(model).or_default().wake_estimate = Some(estimate);
    }

    /// Updates an upstream's index entries, after a reset if `reset`.
    fn refresh_upstream(&mut self, key: UpstreamKey, reset: bool, now: Tick) {
        let settings = self.settings;
        if let Some(upstream) = self.upstreams.get_mut(&key) {
            if reset {
                upstream.reset(&settings, now);
            }
        }
        self.reindex(key);
    }

    /// Updates the loading times of the upstream's models; `previous` are its models before the
    /// change.
    fn record_loading(&mut self, key: UpstreamKey, previous: &[ModelKey], now: Tick) {
        for model in previous {
            if let Some(model) = self.models.get_mut(model) {
                model.loading.swap_remove(&key);
            }
        }
        let Some(upstream) = self.upstreams.get(&key) else {
            return;
        };
        if upstream.status.leaving || self.drained_zones.contains(&upstream.status.zone) {
            return;
        }
        for (model, state) in &upstream.status.models {
            if let ReplicaState::Loading(time_left) = state {
                self.models.entry(*model).or_default().loading.insert(key, now + *time_left);
            }
        }
    }

    fn models_of(&self, key: UpstreamKey) -> Vec<ModelKey> {
        let upstream = self.upstreams.get(&key);
        upstream.map_or_else(Vec::new, |upstream| upstream.status.models.keys().copied().collect())
    }

    /// Adds those of `models` that have waiting requests to the wake candidates, since they may
    /// have lost their last replica.
    fn record_wake_candidates(&mut self, models: &[ModelKey]) {
        for key in models {
            if self.models.get(key).is_some_and(|model| !model.queue.is_empty()) {
                self.wake_candidates.insert(*key);
            }
        }
    }
}
