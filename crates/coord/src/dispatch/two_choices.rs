//! Baseline to compare the dispatch home with: each router balances load independently by the power
//! of two random choices.
//!
//! A router picks the less loaded of two random replicas by its own count of requests, up to a
//! fixed cap per upstream. When both are at the cap, the request waits in a first-in, first-out
//! queue.

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexMap;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::keys::ModelKey;
use crate::keys::UpstreamKey;
use crate::time::Tick;

/// Settings of [`TwoChoices`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TwoChoicesSettings {
    /// Maximum number of this router's requests on one upstream.
    pub cap: u32,
    /// Seed of the random choices.
    pub seed: u64,
}

impl Default for TwoChoicesSettings {
    fn default() -> Self {
        TwoChoicesSettings { cap: 8, seed: 1 }
    }
}

#[derive(Clone, Copy, Debug)]
struct QueuedRequest {
    number: u64,
    deadline: Tick,
}

/// The load balancer of one router.
#[derive(Clone, Debug)]
pub struct TwoChoices {
    settings: TwoChoicesSettings,
    rng: ChaCha8Rng,
    replicas: IndexMap<ModelKey, Vec<UpstreamKey>>,
    in_use: IndexMap<UpstreamKey, u32>,
    queues: IndexMap<ModelKey, VecDeque<QueuedRequest>>,
}

impl TwoChoices {
    /// A load balancer that knows no replicas yet.
    pub fn new(settings: TwoChoicesSettings) -> Self {
        TwoChoices {
            settings,
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
            replicas: IndexMap::new(),
            in_use: IndexMap::new(),
            queues: IndexMap::new(),
        }
    }

    /// Sets the open upstreams that have a model loaded.
    pub fn set_replicas(&mut self, model: ModelKey, replicas: &[UpstreamKey]) {
        self.replicas.insert(model, replicas.to_vec());
    }

    /// Returns the upstream for a request, or queues it and returns `None`.
    pub fn enqueue(
        &mut self,
        model: ModelKey,
        number: u64,
        deadline: Duration,
        now: Tick,
    ) -> Option<UpstreamKey> {
        let queue_empty = self.queues.get(&model).is_none_or(VecDeque::is_empty);
        if queue_empty {
            if let Some(upstream) = self.choose(model) {
                return Some(upstream);
            }
        }
        let waiting = QueuedRequest { number, deadline: now + deadline };
        self.queues.entry(model).or_default().push_back(waiting);
        None
    }

    /// Ends a request on an upstream. Returns the waiting request of the model that starts, if any,
    /// with its upstream; drops waiting requests whose deadline has passed.
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
        let candidate = replicas[self.rng.random_range(0..replicas.len())];
        let other = replicas[self.rng.random_range(0..replicas.len())];
        let load = |upstream| self.in_use.get(upstream).copied().unwrap_or(0);
        let chosen = if load(&other) < load(&candidate) { other } else { candidate };
        if load(&chosen) >= self.settings.cap {
            return None;
        }
        *self.in_use.entry(chosen).or_default() += 1;
        Some(chosen)
    }
}
