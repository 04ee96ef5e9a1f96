//! Commands that take over what changed around the dispatcher: teams, zones, upstreams, wakes.

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
    /// Sets a team's weight; teams not set have weight 1.
    pub fn set_team_weight(&mut self, team: TeamKey, weight: u32) {
        self.teams.insert(team, weight.max(1));
    }

    /// Drains or restores an availability zone.
    pub fn set_zone_drained(&mut self, zone: ZoneKey, drained: bool, now: Tick) -> Vec<Effect> {
        let changed =
            if drained { self.drained.insert(zone) } else { self.drained.swap_remove(&zone) };
        if !changed {
            return Vec::new();
        }
        let inside = |upstream: &Upstream| upstream.status.zone == zone;
        let keys = self.upstreams.iter().filter(|(_, upstream)| inside(upstream));
        let keys: Vec<UpstreamKey> = keys.map(|(key, _)| *key).collect();
        let mut effects = Vec::new();
        for key in keys {
            let models = self.models_of(key);
            self.note_loading(key, &models, now);
            self.restore(key, !drained, now);
            self.note_wanting(&models);
            self.serve_upstream(key, now, &mut effects);
        }
        effects
    }

    /// Takes an upstream's state over, a new one's too.
    pub fn set_upstream(
        &mut self,
        key: UpstreamKey,
        status: UpstreamStatus,
        now: Tick,
    ) -> Vec<Effect> {
        let settings = self.settings;
        let fresh = || Upstream::new(&settings, status.clone(), now);
        let upstream = self.upstreams.entry(key).or_insert_with(fresh);
        let back = upstream.status.leaving && !status.leaving;
        let restarted = upstream.status.incarnation != status.incarnation;
        let before = std::mem::replace(&mut upstream.status, status);
        upstream.bound.set_most(upstream.status.max_slots, upstream.status.warmup_slots);
        let models: Vec<ModelKey> = before.models.into_keys().collect();
        self.note_loading(key, &models, now);
        self.restore(key, back || restarted, now);
        self.note_wanting(&models);
        let mut effects = Vec::new();
        self.serve_upstream(key, now, &mut effects);
        effects
    }

    /// Forgets an upstream that is gone. Its slots stay until they're released.
    pub fn remove_upstream(&mut self, key: UpstreamKey, now: Tick) {
        let Some(upstream) = self.upstreams.get(&key) else {
            return;
        };
        let models = Default::default();
        let status = UpstreamStatus { leaving: true, models, ..upstream.status.clone() };
        let effects = self.set_upstream(key, status, now);
        self.outbox.extend(effects);
        self.upstreams.swap_remove(&key);
    }

    /// Takes placement's estimate of a model's wake.
    pub fn set_wake_estimate(&mut self, model: ModelKey, span: Duration) {
        self.models.entry(model).or_default().wake = Some(span);
    }

    /// Brings an upstream up to date; one that comes back is fresh.
    fn restore(&mut self, key: UpstreamKey, fresh: bool, now: Tick) {
        let settings = self.settings;
        if let Some(upstream) = self.upstreams.get_mut(&key) {
            if fresh {
                upstream.reset(&settings, now);
            }
        }
        self.refile(key);
    }

    /// Notes where the upstream's models are loading.
    fn note_loading(&mut self, key: UpstreamKey, before: &[ModelKey], now: Tick) {
        for model in before {
            if let Some(model) = self.models.get_mut(model) {
                model.loading.swap_remove(&key);
            }
        }
        let Some(upstream) = self.upstreams.get(&key) else {
            return;
        };
        if upstream.status.leaving || self.drained.contains(&upstream.status.zone) {
            return;
        }
        for (model, state) in &upstream.status.models {
            if let ReplicaState::Loading(span) = state {
                self.models.entry(*model).or_default().loading.insert(key, now + *span);
            }
        }
    }

    fn models_of(&self, key: UpstreamKey) -> Vec<ModelKey> {
        let upstream = self.upstreams.get(&key);
        upstream.map_or_else(Vec::new, |upstream| upstream.status.models.keys().copied().collect())
    }

    /// Finds out whether models want a replica, after replicas of them went.
    fn note_wanting(&mut self, models: &[ModelKey]) {
        for key in models {
            if self.models.get(key).is_some_and(|model| !model.queue.is_empty()) {
                self.wanting.insert(*key);
            }
        }
    }
}
