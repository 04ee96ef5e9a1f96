//! The upstream table: slots in use, and the index of free upstreams per model.

use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;

use super::bound::Bound;
use super::bound::Sign;
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

/// Samples over which a best span rises to a lasting change.
const BEST_SAMPLES: f64 = 512.0;

/// Samples over which a span is averaged: a single one may hold tokens that came late together.
const MEAN_SAMPLES: u32 = 8;

/// First tokens below this are never a sign, since they vary with the prompt.
const FIRST_TOKEN_FLOOR: Duration = Duration::from_millis(250);

/// Token gaps below this are never a sign: pauses of the processes between make up much of them.
const TOKEN_GAP_FLOOR: Duration = Duration::from_millis(5);

/// A span of a model's requests on an upstream, in microseconds.
#[derive(Clone, Copy, Debug, Default)]
struct Span {
    samples: u32,
    mean: f64,
    /// The least mean, which falls at once and rises slowly.
    best: f64,
}

/// Spans of a model on an upstream.
#[derive(Clone, Copy, Debug, Default)]
struct Best {
    first_token: Span,
    token_gap: Span,
}

/// What the index holds of an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Filing {
    load: u32,
    bound: u32,
    occupied: u32,
    free: bool,
}

/// One upstream.
#[derive(Clone, Debug)]
pub(super) struct Upstream {
    pub(super) status: UpstreamStatus,
    pub(super) bound: Bound,
    /// Slots granted and not released.
    pub(super) in_use: u32,
    /// Slots in use by team.
    pub(super) teams: IndexMap<TeamKey, u32>,
    /// Requests that the load report shows beyond `in_use`, after a change of home.
    pub(super) foreign: u32,
    /// Latest slot of which a router was told the bound under a home before.
    pub(super) told: Option<SlotKey>,
    /// When a slot was last granted or released.
    pub(super) used: Tick,
    best: IndexMap<ModelKey, Best>,
    filing: Option<Filing>,
    filed: IndexSet<ModelKey>,
}

impl Upstream {
    pub(super) fn new(settings: &DispatchSettings, status: UpstreamStatus, now: Tick) -> Self {
        Upstream {
            bound: Bound::new(settings, status.max_slots, status.warmup_slots, now),
            status,
            in_use: 0,
            teams: IndexMap::new(),
            foreign: 0,
            told: None,
            used: now,
            best: IndexMap::new(),
            filing: None,
            filed: IndexSet::new(),
        }
    }

    /// Makes the upstream fresh.
    pub(super) fn reset(&mut self, settings: &DispatchSettings, now: Tick) {
        self.bound = Bound::new(settings, self.status.max_slots, self.status.warmup_slots, now);
        self.best.clear();
        self.used = now;
    }

    /// Takes a release's spans.
    pub(super) fn note(
        &mut self,
        settings: &DispatchSettings,
        model: ModelKey,
        release: &Release,
        started: Tick,
        now: Tick,
    ) {
        let sign = match release.outcome {
            Outcome::Failed => Sign::Failed,
            Outcome::Cancelled if release.token_gap.is_none() => return,
            _ => self.sign(settings, model, release),
        };
        let full = self.in_use + 1 >= self.bound.slots();
        self.bound.note(settings, sign, full, started, now);
    }

    fn sign(&mut self, settings: &DispatchSettings, model: ModelKey, release: &Release) -> Sign {
        let best = self.best.entry(model).or_default();
        let gap = best.token_gap.note(release.token_gap);
        let slow_gap = release.token_gap.is_some_and(|span| span > TOKEN_GAP_FLOOR);
        let gap = if slow_gap { gap } else { Ratios::default() };
        let first = best.first_token.note(release.first_token);
        let slow_first = release.first_token.is_some_and(|span| span > FIRST_TOKEN_FLOOR);
        // First tokens wait for prefills, so they only tell when they are far off.
        let first = if slow_first { first.over(settings.tolerance) } else { Ratios::default() };
        if gap.last.max(first.last) > settings.cold {
            return Sign::Cold;
        }
        if gap.mean.max(first.mean) > settings.tolerance {
            best.token_gap.restart();
            best.first_token.restart();
            return Sign::Slow;
        }
        Sign::Good
    }

    pub(super) fn take(&mut self, team: TeamKey, now: Tick) {
        self.in_use += 1;
        self.used = now;
        *self.teams.entry(team).or_default() += 1;
    }

    pub(super) fn free(&mut self, team: TeamKey, now: Tick) {
        self.in_use = self.in_use.saturating_sub(1);
        self.used = now;
        let Some(count) = self.teams.get_mut(&team) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            self.teams.swap_remove(&team);
        }
    }

    fn filing(&self, drained: &IndexSet<ZoneKey>) -> Option<Filing> {
        if self.status.leaving || drained.contains(&self.status.zone) {
            return None;
        }
        let bound = self.bound.slots();
        let occupied = self.in_use + self.foreign;
        let load = occupied.saturating_mul(1000) / bound.max(1);
        Some(Filing { load, bound, occupied, free: occupied < bound })
    }

    /// What the upstream adds to a model's bound.
    pub(super) fn filed_bound(&self, model: ModelKey) -> u32 {
        let filing = self.filing.filter(|_| self.filed.contains(&model));
        filing.map_or(0, |filing| filing.bound)
    }

    fn loaded(&self) -> impl Iterator<Item = ModelKey> + '_ {
        let loaded = |state: &ReplicaState| *state == ReplicaState::Loaded;
        let models = self.status.models.iter();
        models.filter(move |(_, state)| loaded(state)).map(|(model, _)| *model)
    }
}

/// How far a span is above its best.
#[derive(Clone, Copy, Debug, Default)]
struct Ratios {
    /// The last sample.
    last: f64,
    /// The mean of the latest ones.
    mean: f64,
}

impl Ratios {
    fn over(self, tolerance: f64) -> Ratios {
        Ratios { last: self.last / tolerance, mean: self.mean / tolerance }
    }
}

impl Span {
    /// Takes a sample; the first few only set the best.
    fn note(&mut self, span: Option<Duration>) -> Ratios {
        let Some(span) = span else {
            return Ratios::default();
        };
        let span = (span.as_micros() as f64).max(1.0);
        self.samples = self.samples.saturating_add(1);
        self.mean += (span - self.mean) / f64::from(self.samples.min(MEAN_SAMPLES));
        if self.samples <= MEAN_SAMPLES {
            self.best = self.mean;
            return Ratios { last: 1.0, mean: 1.0 };
        }
        let ratios = Ratios { last: span / self.best, mean: self.mean / self.best };
        let above = (self.mean - self.best).max(0.0);
        self.best = self.mean.min(self.best + above / BEST_SAMPLES);
        ratios
    }

    /// Starts the mean over at the best, so that one slow stretch tells once.
    fn restart(&mut self) {
        self.mean = self.best;
    }
}

impl Dispatcher {
    /// Brings the index up to date after an upstream changed.
    pub(super) fn refile(&mut self, key: UpstreamKey) {
        let Some(upstream) = self.upstreams.get_mut(&key) else {
            return;
        };
        let filing = upstream.filing(&self.drained);
        if upstream.filing == filing && upstream.filed.iter().copied().eq(upstream.loaded()) {
            return;
        }
        let before = upstream.filing.take();
        for model in std::mem::take(&mut upstream.filed) {
            if let (Some(model), Some(filing)) = (self.models.get_mut(&model), before) {
                model.unfile(key, filing);
            }
        }
        let Some(filing) = filing else {
            return;
        };
        upstream.filing = Some(filing);
        upstream.filed = upstream.loaded().collect();
        for model in &upstream.filed {
            self.models.entry(*model).or_default().file(key, filing);
        }
    }
}

impl super::Model {
    fn file(&mut self, upstream: UpstreamKey, filing: Filing) {
        self.bound += filing.bound;
        self.occupied += filing.occupied;
        if filing.free {
            self.free.insert((filing.load, upstream));
        }
    }

    fn unfile(&mut self, upstream: UpstreamKey, filing: Filing) {
        self.bound -= filing.bound;
        self.occupied -= filing.occupied;
        self.free.remove(&(filing.load, upstream));
    }
}
