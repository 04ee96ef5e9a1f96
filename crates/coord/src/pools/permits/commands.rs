//! Operations that change the permits.

use std::time::Duration;

use indexmap::IndexMap;

use super::AcquireOutcome;
use super::PermitKey;
use super::PermitSettings;
use super::Permits;
use crate::keys::MemberKey;
use crate::time::Tick;

/// Credit for one start: the start rate per 1000 seconds, times microseconds.
const CREDIT_PER_START: u64 = 1_000_000_000;

/// Wait returned when all permits are in use, until one is released.
const RELEASE_WAIT: Duration = Duration::from_millis(50);

impl Permits {
    /// Creates permits without credit, since the home doesn't know the previous home's last grants.
    pub fn new(settings: PermitSettings, now: Tick) -> Self {
        Permits { settings, held: IndexMap::new(), credit: 0, accrued: now }
    }

    /// Changes the limits. Permits in use stay valid.
    pub fn set_settings(&mut self, settings: PermitSettings, now: Tick) {
        self.accrue(now);
        self.settings = settings;
        self.credit = self.credit.min(settings.start_burst.saturating_mul(CREDIT_PER_START));
    }

    /// Acquires the permit `key`. Idempotent: a key in use is granted again.
    pub fn acquire(&mut self, key: PermitKey, now: Tick) -> AcquireOutcome {
        self.tick(now);
        if self.held.contains_key(&key) {
            return AcquireOutcome::Granted;
        }
        if self.held.len() >= self.settings.max_in_flight {
            return AcquireOutcome::Wait(RELEASE_WAIT);
        }
        let Some(rate) = self.settings.start_rate else {
            self.held.insert(key, None);
            return AcquireOutcome::Granted;
        };
        if self.credit < CREDIT_PER_START {
            let shortfall = CREDIT_PER_START - self.credit;
            let micros = shortfall.checked_div(rate).map_or(CREDIT_PER_START, |micros| micros + 1);
            return AcquireOutcome::Wait(Duration::from_micros(micros));
        }
        self.credit -= CREDIT_PER_START;
        self.held.insert(key, None);
        AcquireOutcome::Granted
    }

    /// Releases a permit after its operation ended. Idempotent.
    pub fn release(&mut self, key: PermitKey) {
        self.held.swap_remove(&key);
    }

    /// Counts a permit that the previous home granted.
    pub fn adopt(&mut self, key: PermitKey) {
        self.held.entry(key).or_insert(None);
    }

    /// Schedules the permits of a holder whose membership lease expired for reclaim, after the
    /// time in which their operations must have ended.
    pub fn expire_holder(&mut self, holder: MemberKey, now: Tick) {
        let reclaim_at = now + self.settings.reclaim_delay;
        for (key, reclaim) in &mut self.held {
            if key.holder == holder && reclaim.is_none() {
                *reclaim = Some(reclaim_at);
            }
        }
    }

    /// Accrues credit and reclaims due permits of expired holders.
    pub fn tick(&mut self, now: Tick) {
        self.accrue(now);
        self.held.retain(|_, reclaim| reclaim.is_none_or(|at| at > now));
    }

    fn accrue(&mut self, now: Tick) {
        let Some(rate) = self.settings.start_rate else {
            return;
        };
        let elapsed = now.0.saturating_sub(self.accrued.0);
        self.accrued = self.accrued.max(now);
        let max_credit = self.settings.start_burst.saturating_mul(CREDIT_PER_START);
        self.credit = self.credit.saturating_add(rate.saturating_mul(elapsed)).min(max_credit);
    }
}
