//! Decides which replicas to unload: idle ones, surplus ones, and those on unusable upstreams.

use std::time::Duration;

use crate::keys::ModelKey;
use crate::keys::UpstreamKey;
use crate::time::Tick;

use super::effects::ChangeSet;
use super::effects::ReplicaKey;
use super::ledger::Intent;
use super::planner::Planner;
use super::probe::ObservedState;
use super::row::IntentRow;
use super::row::Phase;
use super::steps::MAX_ROWS;

impl Planner {
    /// Unloads models that haven't been used for their keep-alive window.
    pub(super) fn expire_idle(&mut self, now: Tick, change: &mut ChangeSet) {
        while let Some((at, model)) =
            self.expiry_queue.first().copied().filter(|(at, _)| *at <= now)
        {
            if change.puts.len() >= MAX_ROWS {
                return;
            }
            self.expiry_queue.remove(&(at, model));
            self.expiry_times.swap_remove(&model);
            let next = self.expire_idle_model(now, model, change);
            if let Some(next) = next {
                self.schedule_expiry(model, next);
            }
        }
    }

    fn expire_idle_model(
        &mut self,
        now: Tick,
        model: ModelKey,
        change: &mut ChangeSet,
    ) -> Option<Tick> {
        let ttl = self.settings.report_ttl;
        let demand = self.demand.get_mut(&model)?;
        demand.expire_reports(now, ttl);
        let last_used = demand.last_used?;
        let retry = now + Duration::from_secs(1);
        if demand.is_busy() {
            self.release_surplus(now, model, change);
            return Some(retry);
        }
        let window = self.keep_alive_window(model)?;
        let expires_at = last_used + window;
        if expires_at > now {
            return Some(expires_at);
        }
        let loaded: Vec<UpstreamKey> = self
            .ledger
            .of_model(model)
            .filter(|(_, intent)| intent.phase == Phase::Decided)
            .filter(|(_, intent)| intent.state == ObservedState::Loaded)
            .map(|(upstream, _)| upstream)
            .collect();
        for upstream in &loaded {
            self.plan_unload((model, *upstream), "idle", change);
        }
        let remaining =
            self.ledger.of_model(model).any(|(_, intent)| intent.phase == Phase::Decided);
        remaining.then_some(retry)
    }

    /// Unloads one replica of a busy model that has had one too many for `surplus_grace`.
    fn release_surplus(&mut self, now: Tick, model: ModelKey, change: &mut ChangeSet) {
        let has_surplus = self.has_surplus(model);
        let grace = self.settings.surplus_grace;
        let demand = self.demand.entry(model).or_default();
        let since = *demand.surplus_since.get_or_insert(now);
        if !has_surplus {
            demand.surplus_since = None;
        } else if now.since(since) >= grace {
            demand.surplus_since = Some(now);
            let loaded = self.ledger.of_model(model);
            let mut loaded = loaded.filter(|(_, intent)| {
                intent.state == ObservedState::Loaded && intent.phase == Phase::Decided
            });
            if let Some((upstream, _)) = loaded.next() {
                self.plan_unload((model, upstream), "one replica more than needed", change);
            }
        }
    }

    /// How long `model` stays loaded without use; `None` for as long as memory allows.
    fn keep_alive_window(&self, model: ModelKey) -> Option<Duration> {
        let entry = self.models.get(&model);
        let load_time = entry.map_or(Duration::ZERO, |model| model.from_disk);
        let memory =
            self.ledger.of_model(model).map(|(upstream, _)| self.ledger.memory(upstream)).max();
        let bytes = entry.map_or(0, |model| model.footprint());
        let share = bytes as f64 / memory.unwrap_or(0).max(1) as f64;
        let gaps = &self.demand.get(&model)?.gaps;
        self.settings.keep_alive.window(gaps, load_time, share.min(1.0))
    }

    pub(super) fn plan_unload(&self, replica: ReplicaKey, reason: &str, change: &mut ChangeSet) {
        let Some(intent) = self.ledger.get(replica) else {
            return;
        };
        let row = self.to_row(replica, intent);
        change.put(IntentRow { phase: Phase::Unloading, ..row }, reason);
    }

    /// Moves replicas away from unusable upstreams.
    pub(super) fn evacuate(&mut self, now: Tick, change: &mut ChangeSet) {
        for (upstream, since) in self.unusable_since.clone() {
            let grace_over = now.since(since) >= self.settings.drain_grace;
            let running = self.probes.get(&upstream).is_some_and(|probe| probe.running > 0);
            let decided: Vec<ModelKey> = self
                .ledger
                .on_upstream(upstream)
                .filter(|(_, intent)| intent.phase == Phase::Decided)
                .map(|(model, _)| model)
                .collect();
            for model in decided {
                self.evacuate_replica(now, (model, upstream), grace_over || !running, change);
            }
        }
    }

    fn evacuate_replica(
        &mut self,
        now: Tick,
        replica: ReplicaKey,
        may_unload: bool,
        change: &mut ChangeSet,
    ) {
        let decided = |intent: &Intent| intent.phase == Phase::Decided;
        let others = self.ledger.of_model(replica.0).filter(|(upstream, intent)| {
            *upstream != replica.1 && decided(intent) && self.is_usable(*upstream)
        });
        let others: Vec<ObservedState> = others.map(|(_, intent)| intent.state).collect();
        let loaded = others.contains(&ObservedState::Loaded);
        if others.is_empty() {
            self.pending_models.insert(replica.0);
        }
        let no_target = others.is_empty() && self.best_candidate(now, replica.0).is_none();
        if may_unload && (loaded || no_target) {
            // Stored text: the upstream is drained or leaving.
            self.plan_unload(replica, "its upstream may not be given work", change);
        }
    }
}
