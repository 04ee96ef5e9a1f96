//! Commands of the permits.

use std::time::Duration;

use indexmap::IndexMap;

use super::Permission;
use super::PermitKey;
use super::PermitSettings;
use super::Permits;
use crate::keys::MemberKey;
use crate::time::Tick;

/// Credit of one start: a rate in starts per thousand seconds, times microseconds.
const START: u64 = 1_000_000_000;

/// Told where nothing but a release can help.
const RELEASE_WAIT: Duration = Duration::from_millis(50);

impl Permits {
    /// No permit in use and no credit: a home can't know what the one before it granted last.
    pub fn new(settings: PermitSettings, now: Tick) -> Self {
        Permits { settings, held: IndexMap::new(), credit: 0, filled: now }
    }

    /// Changes the limits. Permits in use stay.
    pub fn set_settings(&mut self, settings: PermitSettings, now: Tick) {
        self.accrue(now);
        self.settings = settings;
        self.credit = self.credit.min(settings.burst.saturating_mul(START));
    }

    /// Asks for a permit. The same key again gets the same permit.
    pub fn acquire(&mut self, key: PermitKey, now: Tick) -> Permission {
        self.tick(now);
        if self.held.contains_key(&key) {
            return Permission::Granted;
        }
        if self.held.len() >= self.settings.in_flight {
            return Permission::Wait(RELEASE_WAIT);
        }
        let Some(rate) = self.settings.rate else {
            self.held.insert(key, None);
            return Permission::Granted;
        };
        if self.credit < START {
            let missing = START - self.credit;
            let micros = missing.checked_div(rate).map_or(START, |micros| micros + 1);
            return Permission::Wait(Duration::from_micros(micros));
        }
        self.credit -= START;
        self.held.insert(key, None);
        Permission::Granted
    }

    /// Gives a permit back after its operation ended. Repeats are without effect.
    pub fn release(&mut self, key: PermitKey) {
        self.held.swap_remove(&key);
    }

    /// Counts a permit that the home before had granted.
    pub fn adopt(&mut self, key: PermitKey) {
        self.held.entry(key).or_insert(None);
    }

    /// The holder's term has ended: its permits are reclaimed once their operations must be over.
    pub fn lapse(&mut self, holder: MemberKey, now: Tick) {
        let until = now + self.settings.linger;
        for (key, reclaim) in &mut self.held {
            if key.holder == holder && reclaim.is_none() {
                *reclaim = Some(until);
            }
        }
    }

    /// Lets time pass: accrues starts, reclaims what lapsed holders left.
    pub fn tick(&mut self, now: Tick) {
        self.accrue(now);
        self.held.retain(|_, reclaim| reclaim.is_none_or(|at| at > now));
    }

    fn accrue(&mut self, now: Tick) {
        let Some(rate) = self.settings.rate else {
            return;
        };
        let micros = now.0.saturating_sub(self.filled.0);
        self.filled = self.filled.max(now);
        let most = self.settings.burst.saturating_mul(START);
        self.credit = self.credit.saturating_add(rate.saturating_mul(micros)).min(most);
    }
}
