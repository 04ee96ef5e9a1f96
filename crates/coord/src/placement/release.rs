//! Decides which replicas go: idle ones, spare ones, and those on upstreams that get no work.

use std::time::Duration;

use crate::keys::ModelKey;
use crate::keys::UpstreamKey;
use crate::time::Tick;

use super::effects::ChangeSet;
use super::effects::Pair;
use super::ledger::Intent;
use super::planner::Planner;
use super::probe::ObservedState;
use super::row::IntentRow;
use super::row::Phase;
use super::steps::MAX_ROWS;

impl Planner {
    /// Unloads models that nobody has used for their keep-alive window.
    pub(super) fn expire(&mut self, now: Tick, change: &mut ChangeSet) {
        while let Some((at, model)) = self.expiry.first().copied().filter(|(at, _)| *at <= now) {
            if change.puts.len() >= MAX_ROWS {
                return;
            }
            self.expiry.remove(&(at, model));
            self.expires.swap_remove(&model);
            let next = self.expire_model(now, model, change);
            if let Some(next) = next {
                self.expire_at(model, next);
            }
        }
    }

    fn expire_model(&mut self, now: Tick, model: ModelKey, change: &mut ChangeSet) -> Option<Tick> {
        let life = self.settings.wake_life;
        let demand = self.demand.get_mut(&model)?;
        demand.lapse(now, life);
        let used = demand.used?;
        let retry = now + Duration::from_secs(1);
        if demand.busy() {
            self.drop_spare(now, model, change);
            return Some(retry);
        }
        let window = self.keep_window(model)?;
        let end = used + window;
        if end > now {
            return Some(end);
        }
        let loaded: Vec<UpstreamKey> = self
            .ledger
            .of(model)
            .filter(|(_, intent)| intent.phase == Phase::Decided)
            .filter(|(_, intent)| intent.standing == ObservedState::Loaded)
            .map(|(up, _)| up)
            .collect();
        for up in &loaded {
            self.unload((model, *up), "idle", change);
        }
        let rest = self.ledger.of(model).any(|(_, intent)| intent.phase == Phase::Decided);
        rest.then_some(retry)
    }

    /// Unloads one replica that a busy model hasn't needed for some time.
    fn drop_spare(&mut self, now: Tick, model: ModelKey, change: &mut ChangeSet) {
        let spare = self.spare(model);
        let keep = self.settings.extra_keep;
        let demand = self.demand.entry(model).or_default();
        let since = *demand.slack.get_or_insert(now);
        if !spare {
            demand.slack = None;
        } else if now.since(since) >= keep {
            demand.slack = Some(now);
            let loaded = self.ledger.of(model);
            let mut loaded = loaded.filter(|(_, intent)| {
                intent.standing == ObservedState::Loaded && intent.phase == Phase::Decided
            });
            if let Some((upstream, _)) = loaded.next() {
                self.unload((model, upstream), "one replica more than needed", change);
            }
        }
    }

    /// How long `model` is kept idle, or `None` for as long as memory allows.
    fn keep_window(&self, model: ModelKey) -> Option<Duration> {
        let facts = self.models.get(&model);
        let cold = facts.map_or(Duration::ZERO, |facts| facts.from_disk);
        let memory = self.ledger.of(model).map(|(up, _)| self.ledger.memory(up)).max();
        let bytes = facts.map_or(0, |facts| facts.footprint());
        let share = bytes as f64 / memory.unwrap_or(0).max(1) as f64;
        let gaps = &self.demand.get(&model)?.gaps;
        self.settings.keep_alive.window(gaps, cold, share.min(1.0))
    }

    pub(super) fn unload(&self, pair: Pair, why: &str, change: &mut ChangeSet) {
        let Some(intent) = self.ledger.get(pair) else {
            return;
        };
        let row = self.row_of(pair, intent);
        change.put(IntentRow { phase: Phase::Unloading, ..row }, why);
    }

    /// Moves replicas away from upstreams that may not be given work.
    pub(super) fn evacuate(&mut self, now: Tick, change: &mut ChangeSet) {
        for (upstream, since) in self.barred.clone() {
            let late = now.since(since) >= self.settings.drain_grace;
            let running = self.seen.get(&upstream).is_some_and(|seen| seen.running > 0);
            let decided: Vec<ModelKey> = self
                .ledger
                .on(upstream)
                .filter(|(_, intent)| intent.phase == Phase::Decided)
                .map(|(model, _)| model)
                .collect();
            for model in decided {
                self.evacuate_model(now, (model, upstream), late || !running, change);
            }
        }
    }

    fn evacuate_model(&mut self, now: Tick, pair: Pair, quiet: bool, change: &mut ChangeSet) {
        let elsewhere = |intent: &Intent| intent.phase == Phase::Decided;
        let others = self
            .ledger
            .of(pair.0)
            .filter(|(up, intent)| *up != pair.1 && elsewhere(intent) && self.usable(*up));
        let others: Vec<ObservedState> = others.map(|(_, intent)| intent.standing).collect();
        let loaded = others.contains(&ObservedState::Loaded);
        if others.is_empty() {
            self.wanted.insert(pair.0);
        }
        let stuck = others.is_empty() && self.choose(now, pair.0).is_none();
        if quiet && (loaded || stuck) {
            self.unload(pair, "its upstream may not be given work", change);
        }
    }
}
