//! Baseline to compare slices with: each router enforces a fixed fraction of the limit alone.

use super::Limits;
use super::MICRO_PER_TOKEN;
use crate::time::Tick;

/// Token bucket with one router's fixed fraction of a team's limit.
#[derive(Clone, Debug)]
pub struct StaticShare {
    limits: Limits,
    /// Available microtokens.
    level: u64,
    /// Time of the last accrual.
    updated: Tick,
}

impl StaticShare {
    /// A full bucket with 1/`routers` of the rate and burst.
    pub fn new(total: Limits, routers: u64, now: Tick) -> Self {
        let limits = Limits { rate: total.rate / routers, burst: total.burst / routers };
        StaticShare { limits, level: limits.burst.saturating_mul(MICRO_PER_TOKEN), updated: now }
    }

    /// Spends `tokens`; returns false, and spends nothing, if too few are available.
    pub fn reserve(&mut self, tokens: u64, now: Tick) -> bool {
        let elapsed = now.0.saturating_sub(self.updated.0);
        self.updated = self.updated.max(now);
        let max = self.limits.burst.saturating_mul(MICRO_PER_TOKEN);
        let gain = self.limits.rate.saturating_mul(elapsed);
        self.level = self.level.saturating_add(gain).min(max);
        let cost = tokens.saturating_mul(MICRO_PER_TOKEN);
        if cost > self.level {
            return false;
        }
        self.level -= cost;
        true
    }

    /// Returns unused tokens, up to the burst.
    pub fn refund(&mut self, tokens: u64) {
        let max = self.limits.burst.saturating_mul(MICRO_PER_TOKEN);
        self.level = self.level.saturating_add(tokens.saturating_mul(MICRO_PER_TOKEN)).min(max);
    }
}
