//! Baseline for slices: each router keeps a fixed part of the limit and asks nobody.

use super::Limits;
use super::MICRO;
use crate::time::Tick;

/// One router's fixed part of a team's limit.
#[derive(Clone, Debug)]
pub struct StaticShare {
    limits: Limits,
    /// Microtokens.
    level: u64,
    filled: Tick,
}

impl StaticShare {
    /// The part of one of `routers` routers, full.
    pub fn new(whole: Limits, routers: u64, now: Tick) -> Self {
        let limits = Limits { rate: whole.rate / routers, burst: whole.burst / routers };
        StaticShare { limits, level: limits.burst.saturating_mul(MICRO), filled: now }
    }

    /// Spends `tokens`, or refuses.
    pub fn reserve(&mut self, tokens: u64, now: Tick) -> bool {
        let micros = now.0.saturating_sub(self.filled.0);
        self.filled = self.filled.max(now);
        let most = self.limits.burst.saturating_mul(MICRO);
        let gain = self.limits.rate.saturating_mul(micros);
        self.level = self.level.saturating_add(gain).min(most);
        let cost = tokens.saturating_mul(MICRO);
        if cost > self.level {
            return false;
        }
        self.level -= cost;
        true
    }

    /// Gives unused tokens back, never above the part's burst.
    pub fn refund(&mut self, tokens: u64) {
        let most = self.limits.burst.saturating_mul(MICRO);
        self.level = self.level.saturating_add(tokens.saturating_mul(MICRO)).min(most);
    }
}
