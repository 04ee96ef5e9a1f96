//! Keeps requests away from engines that fall over when they have to turn many away.
//!
//! Engines say in their responses that they are brittle, and how many requests a second each of them
//! may turn away for want of room. What one says holds for all of its service, since a daemon may not
//! have heard the others yet.

use std::time::Duration;

use indexmap::IndexMap;

use crate::serving::stagger::Slot;
use crate::time::Tick;

/// Time after which what the engines of a service said no longer holds if none has said it again.
const EXPIRY: Duration = Duration::from_secs(10);
/// Part of an engine's slots that is left free. Daemons learn of each other's requests late, and a
/// brittle engine may let fewer wait.
const FREE_FRACTION: f64 = 0.25;
/// Period to which the limit refers.
const LIMIT_PERIOD: Duration = Duration::from_secs(1);
/// Shortest pause after an engine turned a request away.
const MIN_PAUSE: Duration = Duration::from_millis(250);
/// Longest pause after an engine turned a request away. No more daemons send to an engine than can all
/// wait so long and stay below its limit together.
const MAX_PAUSE: Duration = Duration::from_secs(4);

/// Limit on the requests that an engine may turn away.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Requests a second.
    pub rate: f64,
    /// Time of the latest response that named it.
    at: Tick,
}

/// Services whose engines are brittle.
#[derive(Clone, Debug, Default)]
pub struct Brittleness {
    services: IndexMap<String, Limit>,
}

impl Brittleness {
    /// Records the limit that a response names, or that it names none. Returns whether that is news.
    pub fn record(&mut self, service: &str, rate: Option<f64>, now: Tick) -> bool {
        self.services.retain(|_, limit| now.since(limit.at) < EXPIRY);
        let Some(rate) = rate else { return self.services.swap_remove(service).is_some() };
        let before = self.services.insert(service.to_owned(), Limit { rate, at: now });
        before.is_none_or(|before| before.rate != rate)
    }

    /// Returns the limit of each engine of a service, if they are brittle.
    pub fn limit(&self, service: &str, now: Tick) -> Option<Limit> {
        self.services.get(service).copied().filter(|limit| now.since(limit.at) < EXPIRY)
    }
}

impl Limit {
    /// Returns how many of an engine's slots are used.
    fn usable(slots: u32) -> u32 {
        let free = (f64::from(slots) * FREE_FRACTION).ceil() as u32;
        slots.saturating_sub(free).max(1)
    }

    /// Returns how many of `daemons` send to an engine with so many slots.
    pub fn senders(self, slots: u32, daemons: usize) -> u32 {
        let pausing = (self.rate * MAX_PAUSE.as_secs_f64() / LIMIT_PERIOD.as_secs_f64()) as u32;
        let daemons = u32::try_from(daemons).unwrap_or(u32::MAX);
        Self::usable(slots).min(pausing).min(daemons).max(1)
    }

    /// Returns how many of an engine's slots the daemon of this rank uses. Daemons hear of each other's
    /// requests too late to share the slots, so they divide them; `slot` is the daemon's rank for this
    /// engine.
    pub fn share(self, slots: u32, slot: Slot) -> u32 {
        let (usable, senders) = (Self::usable(slots), self.senders(slots, slot.size));
        match u32::try_from(slot.rank) {
            Ok(rank) if rank < senders => usable / senders + u32::from(rank < usable % senders),
            _ => 0,
        }
    }

    /// Returns for how long a daemon sends nothing to an engine with so many slots that turned its
    /// request away. If all daemons with a share wait so long after each refusal, the engine stays at
    /// or below its limit, unless that is below a request in [`MAX_PAUSE`].
    pub fn pause(self, slots: u32, daemons: usize) -> Duration {
        let senders = f64::from(self.senders(slots, daemons));
        let pause = LIMIT_PERIOD.as_secs_f64() * senders / self.rate.max(f64::MIN_POSITIVE);
        Duration::from_secs_f64(pause.clamp(MIN_PAUSE.as_secs_f64(), MAX_PAUSE.as_secs_f64()))
    }
}
