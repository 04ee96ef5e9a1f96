//! State of each upstream: slots in use, latency baselines, and its entry in the per-model index of
//! upstreams with free slots.

use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;

use super::bound::Bound;
use super::bound::Signal;
use super::DispatchSettings;
use super::Dispatcher;
use super::Outcome;
use super::Release;
use super::ReplicaState;
use super::SlotKey;
use super::UpstreamStatus;
use crate::keys::ModelKey;
use crate::keys::TeamKey;
use crate::keys::UpstreamKey;
use crate::keys::ZoneKey;
use crate::time::Tick;

/// Samples over which a latency baseline rises to a lasting increase.
const BASELINE_RISE_SAMPLES: f64 = 512.0;

/// Samples in the running mean of a latency. One sample isn't enough: several of its tokens may
/// have been delayed together.
const MEAN_SAMPLES: u32 = 8;

/// A time to first token up to this never counts as slow, since it varies with the prompt.
const MIN_SLOW_FIRST_TOKEN: Duration = Duration::from_millis(250);

/// A token gap up to this never counts as slow: pauses of the processes between engine and router
/// account for much of it.
const MIN_SLOW_TOKEN_GAP: Duration = Duration::from_millis(5);

/// Running mean and baseline of one latency, in microseconds.
#[derive(Clone, Copy, Debug, Default)]
struct LatencyTracker {
    samples: u32,
    mean: f64,
    /// Lowest recent mean: it falls immediately and rises slowly.
    baseline: f64,
}

/// Latencies of one model on an upstream.
#[derive(Clone, Copy, Debug, Default)]
struct ModelLatencies {
    first_token: LatencyTracker,
    token_gap: LatencyTracker,
}

/// An upstream's entry in the index of each model that it has loaded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct IndexEntry {
    load: u32,
    bound: u32,
    occupied: u32,
    has_free: bool,
}

/// An upstream with its slots, bound and latencies.
#[derive(Clone, Debug)]
pub(super) struct Upstream {
    pub(super) status: UpstreamStatus,
    pub(super) bound: Bound,
    /// Slots granted and not released.
    pub(super) in_use: u32,
    /// Slots in use by team.
    pub(super) slots_by_team: IndexMap<TeamKey, u32>,
    /// Running requests that the load report shows beyond `in_use`; only counted for a while after
    /// a change of the dispatch home.
    pub(super) untracked: u32,
    /// Latest slot, granted by a previous home, whose bound was restored; `None` if there is none.
    pub(super) restored_from: Option<SlotKey>,
    /// When a slot was last granted or released.
    pub(super) last_used: Tick,
    latencies: IndexMap<ModelKey, ModelLatencies>,
    index_entry: Option<IndexEntry>,
    indexed_models: IndexSet<ModelKey>,
}

impl Upstream {
    pub(super) fn new(settings: &DispatchSettings, status: UpstreamStatus, now: Tick) -> Self {
        Upstream {
            bound: Bound::new(settings, status.max_slots, status.warmup_slots, now),
            status,
            in_use: 0,
            slots_by_team: IndexMap::new(),
            untracked: 0,
            restored_from: None,
            last_used: now,
            latencies: IndexMap::new(),
            index_entry: None,
            indexed_models: IndexSet::new(),
        }
    }

    /// Discards the bound and latency baselines, as for a new upstream.
    pub(super) fn reset(&mut self, settings: &DispatchSettings, now: Tick) {
        self.bound = Bound::new(settings, self.status.max_slots, self.status.warmup_slots, now);
        self.latencies.clear();
        self.last_used = now;
    }

    /// Updates the bound from the outcome and latencies of a release.
    pub(super) fn record_release(
        &mut self,
        settings: &DispatchSettings,
        model: ModelKey,
        release: &Release,
        started: Tick,
        now: Tick,
    ) {
        let signal = match release.outcome {
            Outcome::Failed => Signal::Failed,
            Outcome::Cancelled if release.token_gap.is_none() => return,
            _ => self.classify(settings, model, release),
        };
        let at_bound = self.in_use + 1 >= self.bound.slots();
        self.bound.record(settings, signal, at_bound, started, now);
    }

    /// Records the latencies of a release and compares them with their baselines.
    fn classify(
        &mut self,
        settings: &DispatchSettings,
        model: ModelKey,
        release: &Release,
    ) -> Signal {
        let latencies = self.latencies.entry(model).or_default();
        let gap_ratios = latencies.token_gap.record(release.token_gap);
        let gap_is_slow = release.token_gap.is_some_and(|latency| latency > MIN_SLOW_TOKEN_GAP);
        let gap_ratios = if gap_is_slow { gap_ratios } else { LatencyRatios::default() };
        let first_ratios = latencies.first_token.record(release.first_token);
        let first_is_slow =
            release.first_token.is_some_and(|latency| latency > MIN_SLOW_FIRST_TOKEN);
        // The first token also waits for prefills, so only a large excess counts.
        let first_ratios = if first_is_slow {
            first_ratios.relative_to(settings.slow_ratio)
        } else {
            LatencyRatios::default()
        };
        if gap_ratios.last.max(first_ratios.last) > settings.cold_ratio {
            return Signal::Cold;
        }
        if gap_ratios.mean.max(first_ratios.mean) > settings.slow_ratio {
            latencies.token_gap.reset_mean();
            latencies.first_token.reset_mean();
            return Signal::Slow;
        }
        Signal::Good
    }

    pub(super) fn add_slot(&mut self, team: TeamKey, now: Tick) {
        self.in_use += 1;
        self.last_used = now;
        *self.slots_by_team.entry(team).or_default() += 1;
    }

    pub(super) fn remove_slot(&mut self, team: TeamKey, now: Tick) {
        self.in_use = self.in_use.saturating_sub(1);
        self.last_used = now;
        let Some(count) = self.slots_by_team.get_mut(&team) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            self.slots_by_team.swap_remove(&team);
        }
    }

    /// The index entry for the current state; `None` when the upstream is leaving or drained.
    fn current_index_entry(&self, drained: &IndexSet<ZoneKey>) -> Option<IndexEntry> {
        if self.status.leaving || drained.contains(&self.status.zone) {
            return None;
        }
        let bound = self.bound.slots();
        let occupied = self.in_use + self.untracked;
        let load = occupied.saturating_mul(1000) / bound.max(1);
        Some(IndexEntry { load, bound, occupied, has_free: occupied < bound })
    }

    /// What the upstream contributes to a model's total bound: its bound where the model is
    /// indexed, else 0.
    pub(super) fn indexed_bound(&self, model: ModelKey) -> u32 {
        let entry = self.index_entry.filter(|_| self.indexed_models.contains(&model));
        entry.map_or(0, |entry| entry.bound)
    }

    fn loaded(&self) -> impl Iterator<Item = ModelKey> + '_ {
        let loaded = |state: &ReplicaState| *state == ReplicaState::Loaded;
        let models = self.status.models.iter();
        models.filter(move |(_, state)| loaded(state)).map(|(model, _)| *model)
    }
}

/// A latency as a multiple of its baseline; 0 without samples.
#[derive(Clone, Copy, Debug, Default)]
struct LatencyRatios {
    /// Ratio of the last sample.
    last: f64,
    /// Ratio of the running mean.
    mean: f64,
}

impl LatencyRatios {
    fn relative_to(self, ratio: f64) -> LatencyRatios {
        LatencyRatios { last: self.last / ratio, mean: self.mean / ratio }
    }
}

impl LatencyTracker {
    /// Adds a sample. The first [`MEAN_SAMPLES`] only set the baseline.
    fn record(&mut self, latency: Option<Duration>) -> LatencyRatios {
        let Some(latency) = latency else {
            return LatencyRatios::default();
        };
        let latency = (latency.as_micros() as f64).max(1.0);
        self.samples = self.samples.saturating_add(1);
        self.mean += (latency - self.mean) / f64::from(self.samples.min(MEAN_SAMPLES));
        if self.samples <= MEAN_SAMPLES {
            self.baseline = self.mean;
            return LatencyRatios { last: 1.0, mean: 1.0 };
        }
        let ratios =
            LatencyRatios { last: latency / self.baseline, mean: self.mean / self.baseline };
        let above = (self.mean - self.baseline).max(0.0);
        self.baseline = self.mean.min(self.baseline + above / BASELINE_RISE_SAMPLES);
        ratios
    }

    /// Resets the mean to the baseline, so that one slow period reduces the bound only once.
    fn reset_mean(&mut self) {
        self.mean = self.baseline;
    }
}

impl Dispatcher {
    /// Updates the index entries of an upstream after it changed.
    pub(super) fn reindex(&mut self, key: UpstreamKey) {
        let Some(upstream) = self.upstreams.get_mut(&key) else {
            return;
        };
        let entry = upstream.current_index_entry(&self.drained_zones);
        if upstream.index_entry == entry
            && upstream.indexed_models.iter().copied().eq(upstream.loaded())
        {
            return;
        }
        let previous = upstream.index_entry.take();
        for model in std::mem::take(&mut upstream.indexed_models) {
            if let (Some(model), Some(entry)) = (self.models.get_mut(&model), previous) {
                model.remove_from_index(key, entry);
            }
        }
        let Some(entry) = entry else {
            return;
        };
        upstream.index_entry = Some(entry);
        upstream.indexed_models = upstream.loaded().collect();
        for model in &upstream.indexed_models {
            self.models.entry(*model).or_default().add_to_index(key, entry);
        }
    }
}

impl super::ModelState {
    fn add_to_index(&mut self, upstream: UpstreamKey, entry: IndexEntry) {
        self.bound += entry.bound;
        self.occupied += entry.occupied;
        if entry.has_free {
            self.free_upstreams.insert((entry.load, upstream));
        }
    }

    fn remove_from_index(&mut self, upstream: UpstreamKey, entry: IndexEntry) {
        self.bound -= entry.bound;
        self.occupied -= entry.occupied;
        self.free_upstreams.remove(&(entry.load, upstream));
    }
}
