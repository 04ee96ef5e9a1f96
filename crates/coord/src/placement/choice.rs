//! The choice of upstream for a replica.
//!
//! Each candidate is priced in seconds: until the model is ready there, by checkpoint tier, the
//! weight store's queue and the time to make room, and the cold starts to be expected from what is
//! evicted. At most [`CANDIDATES`] upstreams are looked at besides those that have the checkpoint,
//! so that the cost of a decision doesn't grow with the fleet.

use std::time::Duration;

use crate::keys::ModelKey;
use crate::keys::UpstreamKey;
use crate::time::Tick;

use super::catalog::Tier;
use super::effects::Pair;
use super::ledger::Intent;
use super::planner::Planner;
use super::probe::ObservedState;
use super::row::Phase;

/// Upstreams looked at besides those with the checkpoint.
pub const CANDIDATES: usize = 32;

/// Where to put a replica.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// The upstream.
    pub upstream: UpstreamKey,
    /// Where the checkpoint is.
    pub tier: Tier,
    /// Models to unload first.
    pub victims: Vec<ModelKey>,
    /// Whether room is there now.
    pub fits: bool,
    /// Expected time until the model is ready.
    pub ready: Duration,
    /// Price in seconds.
    pub price: f64,
}

impl Planner {
    /// The cheapest upstream for a new replica of `model`, if there is room anywhere.
    pub(super) fn choose(&self, now: Tick, model: ModelKey) -> Option<Choice> {
        let candidates = self.candidates(model);
        let offers = candidates.into_iter().filter_map(|up| self.offer(now, (model, up)));
        offers.min_by(|a, b| a.price.total_cmp(&b.price))
    }

    fn candidates(&self, model: ModelKey) -> Vec<UpstreamKey> {
        let bytes = self.models.get(&model).map_or(0, |model| model.footprint());
        let rows = self.ledger.of(model).map(|(up, _)| up);
        let tiers = self.checkpoints.get(&model).into_iter().flatten().map(|(up, _)| *up);
        let mut found: Vec<UpstreamKey> = rows.chain(tiers.take(CANDIDATES)).collect();
        found.extend(self.ledger.roomy(bytes).take(CANDIDATES / 2));
        let count = self.upstreams.len();
        let sampled = (0..count.min(CANDIDATES)).map(|step| (self.cursor + step) % count);
        found.extend(sampled.filter_map(|at| Some(*self.upstreams.get_index(at)?.0)));
        found.sort_unstable();
        found.dedup();
        found
    }

    fn offer(&self, now: Tick, pair: Pair) -> Option<Choice> {
        if !self.answers(now, pair.1) || self.avoid.get(&pair).is_some_and(|until| now < *until) {
            return None;
        }
        let tier = self.tier(pair);
        let load = self.cold(pair) + self.store_wait(now, tier);
        let Some(intent) = self.ledger.get(pair) else {
            return self.offer_room(now, pair, tier, load);
        };
        // The bytes of an intent in any phase are set aside already.
        let ready = match (intent.phase, intent.standing) {
            (Phase::Decided, _) => return None,
            (_, ObservedState::Loaded) => Duration::ZERO,
            _ => load,
        };
        Some(Choice {
            upstream: pair.1,
            tier,
            victims: Vec::new(),
            fits: true,
            ready,
            price: ready.as_secs_f64(),
        })
    }

    fn offer_room(&self, now: Tick, pair: Pair, tier: Tier, load: Duration) -> Option<Choice> {
        let (model, upstream) = pair;
        let bytes = self.models.get(&model)?.footprint();
        if bytes > self.ledger.memory(upstream) {
            return None;
        }
        let claimed = self.claimed(model, upstream);
        let free = self.ledger.free(upstream);
        let fits = free >= bytes.saturating_add(claimed);
        let mut choice =
            Choice { upstream, tier, victims: Vec::new(), fits, ready: load, price: 0.0 };
        if !fits {
            let need = bytes.saturating_add(claimed).saturating_sub(free);
            let (victims, cost) = self.evict(now, upstream, need)?;
            choice.victims = victims;
            choice.ready += self.settings.unload_time;
            choice.price = cost;
        }
        choice.price += choice.ready.as_secs_f64();
        Some(choice)
    }

    /// Bytes that other models wait for on an upstream.
    fn claimed(&self, model: ModelKey, upstream: UpstreamKey) -> u64 {
        let others = self
            .claims
            .iter()
            .filter(|(other, claim)| **other != model && claim.upstream == upstream);
        others.map(|(_, claim)| claim.bytes).sum()
    }

    /// The cheapest models to unload for `need` bytes, with the expected cold starts in seconds.
    fn evict(&self, now: Tick, up: UpstreamKey, need: u64) -> Option<(Vec<ModelKey>, f64)> {
        let leaving = self.ledger.on(up).filter(|(model, intent)| {
            intent.phase == Phase::Unloading && self.freeable((*model, up), intent)
        });
        let mut found: u64 = leaving.map(|(_, intent)| intent.bytes).sum();
        let mut idle: Vec<(f64, ModelKey, u64)> = self
            .ledger
            .on(up)
            .filter(|(model, intent)| self.evictable((*model, up), intent))
            .map(|(model, intent)| (self.regret(now, (model, up)), model, intent.bytes))
            .collect();
        idle.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut victims = Vec::new();
        let mut cost = 0.0;
        for (regret, model, bytes) in idle {
            if found >= need {
                break;
            }
            found = found.saturating_add(bytes);
            cost += regret;
            victims.push(model);
        }
        (found >= need).then_some((victims, cost))
    }

    fn evictable(&self, pair: Pair, intent: &Intent) -> bool {
        let idle = intent.phase == Phase::Decided && intent.standing == ObservedState::Loaded;
        let needed = self.busy(pair.0) && !self.spare(pair.0);
        idle && !needed && self.freeable(pair, intent)
    }

    /// Cold start to be expected from unloading a replica: the longer a model hasn't been used,
    /// the less likely its next use comes soon.
    fn regret(&self, now: Tick, pair: Pair) -> f64 {
        let used = self.demand.get(&pair.0).and_then(|demand| demand.used);
        let idle = used.map_or(Duration::from_secs(3600), |used| now.since(used));
        self.cold(pair).as_secs_f64() * 60.0 / (60.0 + idle.as_secs_f64())
    }

    /// Time until the weight store takes another load.
    fn store_wait(&self, now: Tick, tier: Tier) -> Duration {
        if tier != Tier::Remote {
            return Duration::ZERO;
        }
        let queued = self.ledger.permits().saturating_sub(self.settings.store_inflight - 1);
        self.store_next.since(now) + self.store_spacing() * queued as u32
    }
}
