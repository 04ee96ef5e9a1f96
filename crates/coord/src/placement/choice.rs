//! Chooses the upstream for a new replica.
//!
//! A candidate's cost in seconds is the time until the model is ready there (load time by
//! checkpoint tier, queue of the weight store, time to evict) plus the cold starts expected from
//! its evictions. The number of candidates is bounded by [`MAX_CANDIDATES`], so the cost of a
//! decision doesn't grow with the fleet.

use std::time::Duration;

use crate::keys::ModelKey;
use crate::keys::UpstreamKey;
use crate::time::Tick;

use super::catalog::Tier;
use super::effects::ReplicaKey;
use super::ledger::Intent;
use super::planner::Planner;
use super::probe::ObservedState;
use super::row::Phase;

/// Maximum number of sampled upstreams, and of those taken for their checkpoint.
pub const MAX_CANDIDATES: usize = 32;

/// An upstream on which a replica could be placed.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The upstream.
    pub upstream: UpstreamKey,
    /// Tier of the checkpoint on the upstream.
    pub tier: Tier,
    /// Models to evict first.
    pub victims: Vec<ModelKey>,
    /// Whether the free memory suffices without an eviction.
    pub fits: bool,
    /// Expected time until the model is ready.
    pub ready_in: Duration,
    /// Expected cost in seconds: time until ready, and cold starts caused by evictions.
    pub cost: f64,
}

impl Planner {
    /// The cheapest upstream for a new replica of `model`, if memory is or can be made free
    /// anywhere.
    pub(super) fn best_candidate(&self, now: Tick, model: ModelKey) -> Option<Candidate> {
        let candidates = self.candidate_upstreams(model);
        let candidates =
            candidates.into_iter().filter_map(|upstream| self.evaluate(now, (model, upstream)));
        candidates.min_by(|a, b| a.cost.total_cmp(&b.cost))
    }

    fn candidate_upstreams(&self, model: ModelKey) -> Vec<UpstreamKey> {
        let bytes = self.models.get(&model).map_or(0, |model| model.footprint());
        let assigned = self.ledger.of_model(model).map(|(upstream, _)| upstream);
        let with_checkpoint =
            self.checkpoints.get(&model).into_iter().flatten().map(|(upstream, _)| *upstream);
        let mut candidates: Vec<UpstreamKey> =
            assigned.chain(with_checkpoint.take(MAX_CANDIDATES)).collect();
        candidates.extend(self.ledger.with_free(bytes).take(MAX_CANDIDATES / 2));
        let count = self.upstreams.len();
        let sampled =
            (0..count.min(MAX_CANDIDATES)).map(|step| (self.sample_offset + step) % count);
        candidates.extend(sampled.filter_map(|index| Some(*self.upstreams.get_index(index)?.0)));
        candidates.sort_unstable();
        candidates.dedup();
        candidates
    }

    fn evaluate(&self, now: Tick, replica: ReplicaKey) -> Option<Candidate> {
        if !self.is_reachable(now, replica.1)
            || self.backoffs.get(&replica).is_some_and(|until| now < *until)
        {
            return None;
        }
        let tier = self.tier(replica);
        let load_time = self.load_time(replica) + self.store_wait(now, tier);
        let Some(intent) = self.ledger.get(replica) else {
            return self.evaluate_new(now, replica, tier, load_time);
        };
        // The bytes of an intent are reserved in every phase.
        let ready_in = match (intent.phase, intent.state) {
            (Phase::Decided, _) => return None,
            (_, ObservedState::Loaded) => Duration::ZERO,
            _ => load_time,
        };
        Some(Candidate {
            upstream: replica.1,
            tier,
            victims: Vec::new(),
            fits: true,
            ready_in,
            cost: ready_in.as_secs_f64(),
        })
    }

    fn evaluate_new(
        &self,
        now: Tick,
        replica: ReplicaKey,
        tier: Tier,
        load_time: Duration,
    ) -> Option<Candidate> {
        let (model, upstream) = replica;
        let bytes = self.models.get(&model)?.footprint();
        if bytes > self.ledger.memory(upstream) {
            return None;
        }
        let reserved = self.bytes_reserved(model, upstream);
        let free = self.ledger.free(upstream);
        let fits = free >= bytes.saturating_add(reserved);
        let mut candidate =
            Candidate { upstream, tier, victims: Vec::new(), fits, ready_in: load_time, cost: 0.0 };
        if !fits {
            let needed = bytes.saturating_add(reserved).saturating_sub(free);
            let (victims, cost) = self.cheapest_victims(now, upstream, needed)?;
            candidate.victims = victims;
            candidate.ready_in += self.settings.unload_time;
            candidate.cost = cost;
        }
        candidate.cost += candidate.ready_in.as_secs_f64();
        Some(candidate)
    }

    /// Bytes reserved for other models on an upstream.
    fn bytes_reserved(&self, model: ModelKey, upstream: UpstreamKey) -> u64 {
        let others = self
            .reservations
            .iter()
            .filter(|(other, reservation)| **other != model && reservation.upstream == upstream);
        others.map(|(_, reservation)| reservation.bytes).sum()
    }

    /// The models cheapest to evict for `needed` bytes, with the expected cost of their cold starts
    /// in seconds.
    fn cheapest_victims(
        &self,
        now: Tick,
        upstream: UpstreamKey,
        needed: u64,
    ) -> Option<(Vec<ModelKey>, f64)> {
        let unloading = self.ledger.on_upstream(upstream).filter(|(model, intent)| {
            intent.phase == Phase::Unloading && self.can_free((*model, upstream), intent)
        });
        let mut freed: u64 = unloading.map(|(_, intent)| intent.bytes).sum();
        let mut by_cost: Vec<(f64, ModelKey, u64)> = self
            .ledger
            .on_upstream(upstream)
            .filter(|(model, intent)| self.evictable((*model, upstream), intent))
            .map(|(model, intent)| {
                (self.eviction_cost(now, (model, upstream)), model, intent.bytes)
            })
            .collect();
        by_cost.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut victims = Vec::new();
        let mut cost = 0.0;
        for (eviction_cost, model, bytes) in by_cost {
            if freed >= needed {
                break;
            }
            freed = freed.saturating_add(bytes);
            cost += eviction_cost;
            victims.push(model);
        }
        (freed >= needed).then_some((victims, cost))
    }

    fn evictable(&self, replica: ReplicaKey, intent: &Intent) -> bool {
        let loaded = intent.phase == Phase::Decided && intent.state == ObservedState::Loaded;
        let needed = self.is_busy(replica.0) && !self.has_surplus(replica.0);
        loaded && !needed && self.can_free(replica, intent)
    }

    /// Expected cold start, in seconds, caused by evicting a replica. The longer a model hasn't
    /// been used, the less likely it is to be used again soon.
    fn eviction_cost(&self, now: Tick, replica: ReplicaKey) -> f64 {
        let last_used = self.demand.get(&replica.0).and_then(|demand| demand.last_used);
        let idle = last_used.map_or(Duration::from_secs(3600), |last_used| now.since(last_used));
        self.load_time(replica).as_secs_f64() * 60.0 / (60.0 + idle.as_secs_f64())
    }

    /// Time until the weight store can start another load.
    fn store_wait(&self, now: Tick, tier: Tier) -> Duration {
        if tier != Tier::Remote {
            return Duration::ZERO;
        }
        let queued = self.ledger.permits().saturating_sub(self.settings.store_inflight - 1);
        self.next_store_load.since(now) + self.store_spacing() * queued as u32
    }
}
