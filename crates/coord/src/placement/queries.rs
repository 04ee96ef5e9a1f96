//! What can be asked of the planner.

use std::time::Duration;

use crate::keys::ModelKey;
use crate::keys::UpstreamKey;
use crate::time::Tick;

use super::catalog::Model;
use super::catalog::Tier;
use super::catalog::Upstream;
use super::effects::Pair;
use super::ledger::Intent;
use super::planner::Planner;
use super::planner::Stage;
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
    /// Whether it is loaded; else it is on its way.
    pub loaded: bool,
    /// Bytes it takes.
    pub bytes: u64,
}

impl Planner {
    /// Whether decisions and orders are made here.
    pub fn is_active(&self) -> bool {
        self.stage == Stage::Active
    }

    /// The newest fencing token known to be in the table.
    pub fn fence(&self) -> u64 {
        self.fence
    }

    /// Key of a model, if it was ever named.
    pub fn model_key(&self, name: &str) -> Option<ModelKey> {
        self.names.key(name)
    }

    /// Key of an upstream, if it was ever named.
    pub fn upstream_key(&self, name: &str) -> Option<UpstreamKey> {
        self.hosts.key(name)
    }

    /// Name of a model.
    pub fn model_name(&self, model: ModelKey) -> &str {
        self.names.name(model)
    }

    /// Name of an upstream.
    pub fn upstream_name(&self, upstream: UpstreamKey) -> &str {
        self.hosts.name(upstream)
    }

    /// The register's entry of an upstream.
    pub fn upstream(&self, upstream: UpstreamKey) -> Option<&Upstream> {
        self.upstreams.get(&upstream)
    }

    /// The register's entry of a model.
    pub fn model(&self, model: ModelKey) -> Option<&Model> {
        self.models.get(&model)
    }

    /// The row of an intent.
    pub fn row(&self, pair: Pair) -> Option<IntentRow> {
        let intent = self.ledger.get(pair)?;
        Some(self.row_of(pair, intent))
    }

    /// All intents as rows, with what their upstreams say.
    pub fn intents(&self) -> Vec<(IntentRow, ObservedState)> {
        let rows = self.ledger.iter();
        rows.map(|(pair, intent)| (self.row_of(pair, intent), intent.standing)).collect()
    }

    /// Replicas for routers: decided, on upstreams that may be given work.
    pub fn replicas(&self) -> Vec<Replica> {
        let usable = self
            .ledger
            .iter()
            .filter(|(pair, intent)| intent.phase == Phase::Decided && self.usable(pair.1));
        let replica = |(pair, intent): (Pair, &Intent)| Replica {
            model: self.names.name(pair.0).to_owned(),
            upstream: self.hosts.name(pair.1).to_owned(),
            loaded: intent.standing == ObservedState::Loaded,
            bytes: intent.bytes,
        };
        usable.map(replica).collect()
    }

    /// Upstreams that are known to serve a model and may be given work.
    pub fn loaded_upstreams(&self, model: ModelKey) -> Vec<UpstreamKey> {
        let loaded = self.ledger.of(model).filter(|(up, intent)| {
            let ready = intent.phase == Phase::Decided && intent.standing == ObservedState::Loaded;
            ready && self.usable(*up)
        });
        loaded.map(|(up, _)| up).collect()
    }

    /// Permits of the weight store held by intents.
    pub fn permits(&self) -> usize {
        self.ledger.permits()
    }

    /// Whether somebody waits for a model.
    pub fn waiting(&self, model: ModelKey) -> u32 {
        self.demand.get(&model).map_or(0, |demand| demand.waiting())
    }

    /// When the next look at something is due.
    pub fn next_poll(&self, now: Tick) -> Tick {
        let watch = self.watch.first().map(|(at, _)| *at);
        let expiry = self.expiry.first().map(|(at, _)| *at);
        let soon = (!self.work.is_empty() || !self.wanted.is_empty())
            .then(|| now + Duration::from_millis(100));
        let next = watch.into_iter().chain(expiry).chain(soon).min();
        next.unwrap_or(now + Duration::from_secs(1)).max(now)
    }

    /// Whether an upstream is usable and answers questions.
    pub(super) fn answers(&self, now: Tick, upstream: UpstreamKey) -> bool {
        let silent = self.seen.get(&upstream).and_then(|seen| seen.silent);
        let silent = silent.is_some_and(|since| now.since(since) >= self.settings.silence);
        self.usable(upstream) && !silent
    }

    pub(super) fn usable(&self, upstream: UpstreamKey) -> bool {
        self.upstreams.get(&upstream).is_some_and(Upstream::usable)
    }

    pub(super) fn row_of(&self, pair: Pair, intent: &Intent) -> IntentRow {
        IntentRow {
            model: self.names.name(pair.0).to_owned(),
            upstream: self.hosts.name(pair.1).to_owned(),
            bytes: intent.bytes,
            fence: intent.fence,
            phase: intent.phase,
            senders: intent.senders.iter().cloned().collect(),
            permit: intent.permit,
        }
    }

    pub(super) fn tier(&self, pair: Pair) -> Tier {
        let tiers = self.checkpoints.get(&pair.0);
        tiers.and_then(|tiers| tiers.get(&pair.1)).copied().unwrap_or(Tier::Remote)
    }

    /// Load time of a model from the tier in which an upstream has it.
    pub(super) fn cold(&self, pair: Pair) -> Duration {
        let tier = self.tier(pair);
        self.models.get(&pair.0).map_or(Duration::ZERO, |model| model.load_time(tier))
    }

    /// Whether somebody waits for a model or runs on it.
    pub(super) fn busy(&self, model: ModelKey) -> bool {
        self.demand.get(&model).is_some_and(|demand| demand.busy())
    }

    /// Whether a model's requests fit on one replica fewer than are loaded.
    pub(super) fn spare(&self, model: ModelKey) -> bool {
        let loaded = self.loaded_upstreams(model).len() as u32;
        let requests =
            self.demand.get(&model).map_or(0, |demand| demand.waiting() + demand.running());
        loaded > 1 && requests <= self.settings.slots * (loaded - 1)
    }

    /// Whether no other controller's load order for the intent can still have an effect.
    pub(super) fn others_ended(&self, intent: &Intent) -> bool {
        let mut others = intent.senders.iter().filter(|sender| **sender != self.me);
        others.all(|sender| self.ended.contains(sender))
    }

    /// Load orders of ours that may still have an effect.
    pub(super) fn open_loads(&self, pair: Pair) -> u32 {
        self.open.get(&pair).map_or(0, |loads| loads.open)
    }

    /// Whether no load order for the intent can have an effect any more, and it isn't loaded.
    ///
    /// An upstream that checks fencing tokens refuses all older orders once its state shows the
    /// token of the unload. Any other upstream must have been asked after the last order that
    /// could load the model was answered.
    pub(super) fn forgettable(&self, pair: Pair, intent: &Intent) -> bool {
        if intent.phase == Phase::Decided || intent.standing != ObservedState::Absent {
            return false;
        }
        let Some(upstream) = self.upstreams.get(&pair.1) else {
            return false;
        };
        if upstream.fenced {
            return self.seen.get(&pair.1).is_some_and(|seen| seen.fence >= intent.fence);
        }
        let settled = self.others_ended(intent) && self.open_loads(pair) == 0;
        settled && intent.asked >= intent.quiet
    }

    /// Whether the intent's bytes would become free if it were unloaded now.
    pub(super) fn freeable(&self, pair: Pair, intent: &Intent) -> bool {
        let fenced = self.upstreams.get(&pair.1).is_some_and(|upstream| upstream.fenced);
        fenced || (self.others_ended(intent) && self.open_loads(pair) == 0)
    }
}
