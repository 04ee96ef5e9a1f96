//! Baseline for the dispatch home: each router chooses by itself.
//!
//! A router picks the less loaded of two random replicas by its own count, up to a fixed cap per
//! upstream, and queues in arrival order when both are at their caps.

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexMap;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::keys::ModelKey;
use crate::keys::UpstreamKey;
use crate::time::Tick;

/// Settings of the baseline.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TwoChoicesSettings {
    /// Most requests of this router on one upstream.
    pub cap: u32,
    /// Seed of the choices.
    pub seed: u64,
}

impl Default for TwoChoicesSettings {
    fn default() -> Self {
        TwoChoicesSettings { cap: 8, seed: 1 }
    }
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    number: u64,
    deadline: Tick,
}

/// One router's choices.
#[derive(Clone, Debug)]
pub struct TwoChoices {
    settings: TwoChoicesSettings,
    rng: ChaCha8Rng,
    replicas: IndexMap<ModelKey, Vec<UpstreamKey>>,
    in_use: IndexMap<UpstreamKey, u32>,
    queues: IndexMap<ModelKey, VecDeque<Waiting>>,
}

impl TwoChoices {
    /// A router without replicas.
    pub fn new(settings: TwoChoicesSettings) -> Self {
        TwoChoices {
            settings,
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
            replicas: IndexMap::new(),
            in_use: IndexMap::new(),
            queues: IndexMap::new(),
        }
    }

    /// Takes over where a model is loaded and open.
    pub fn set_replicas(&mut self, model: ModelKey, replicas: &[UpstreamKey]) {
        self.replicas.insert(model, replicas.to_vec());
    }

    /// The upstream for a request, or `None` when it waits.
    pub fn enqueue(
        &mut self,
        model: ModelKey,
        number: u64,
        deadline: Duration,
        now: Tick,
    ) -> Option<UpstreamKey> {
        let idle = self.queues.get(&model).is_none_or(VecDeque::is_empty);
        if idle {
            if let Some(upstream) = self.choose(model) {
                return Some(upstream);
            }
        }
        let waiting = Waiting { number, deadline: now + deadline };
        self.queues.entry(model).or_default().push_back(waiting);
        None
    }

    /// Ends a request on an upstream; returns a waiting one of the model that starts.
    pub fn release(
        &mut self,
        model: ModelKey,
        upstream: UpstreamKey,
        now: Tick,
    ) -> Option<(u64, UpstreamKey)> {
        if let Some(count) = self.in_use.get_mut(&upstream) {
            *count = count.saturating_sub(1);
        }
        let queue = self.queues.get_mut(&model)?;
        queue.retain(|waiting| waiting.deadline > now);
        let number = queue.front()?.number;
        let upstream = self.choose(model)?;
        self.queues.get_mut(&model)?.pop_front();
        Some((number, upstream))
    }

    fn choose(&mut self, model: ModelKey) -> Option<UpstreamKey> {
        let replicas = self.replicas.get(&model)?;
        if replicas.is_empty() {
            return None;
        }
        let one = replicas[self.rng.random_range(0..replicas.len())];
        let two = replicas[self.rng.random_range(0..replicas.len())];
        let load = |upstream| self.in_use.get(upstream).copied().unwrap_or(0);
        let chosen = if load(&two) < load(&one) { two } else { one };
        if load(&chosen) >= self.settings.cap {
            return None;
        }
        *self.in_use.entry(chosen).or_default() += 1;
        Some(chosen)
    }
}
