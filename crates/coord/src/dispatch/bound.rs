//! The slot bound of one upstream: slow start, additive increase, multiplicative decrease.

use super::DispatchSettings;
use crate::time::Tick;

/// What a release told of the upstream's latency.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Sign {
    /// Near its best.
    Good,
    /// Above the tolerated multiple of its best.
    Slow,
    /// Far above it.
    Cold,
    /// The upstream failed.
    Failed,
}

/// How many slots of an upstream may be in use.
#[derive(Clone, Copy, Debug)]
pub(super) struct Bound {
    slots: f64,
    most: u32,
    /// Most slots while the upstream warms up.
    fresh: u32,
    /// Whether no sign of overload was seen since the start.
    slow_start: bool,
    /// Slots started before this can't cut the bound again.
    cut: Tick,
    /// The upstream warms up until then.
    warm: Tick,
    /// Slots before a sign of being cold that no later request has confirmed.
    suspected: Option<f64>,
}

impl Bound {
    /// The bound of a fresh upstream, which gets `most` slots at most, and `fresh` while it warms
    /// up.
    pub(super) fn new(settings: &DispatchSettings, most: u32, fresh: u32, now: Tick) -> Self {
        let slots = f64::from(settings.start.min(fresh).min(most));
        Bound {
            slots,
            most,
            fresh,
            slow_start: true,
            cut: now,
            warm: now + settings.warmup,
            suspected: None,
        }
    }

    /// Whole slots.
    pub(super) fn slots(&self) -> u32 {
        self.slots as u32
    }

    /// Changes the most that the bound may reach.
    pub(super) fn set_most(&mut self, most: u32, fresh: u32) {
        self.most = most;
        self.fresh = fresh;
        self.slots = self.slots.min(f64::from(most));
    }

    /// Takes over what a home before had found out.
    pub(super) fn restore(&mut self, slots: u32, now: Tick) {
        self.slots = f64::from(slots.clamp(1, self.most.max(1)));
        if slots > self.fresh {
            self.warm = now;
            self.slow_start = false;
        }
    }

    /// Raises the bound to what a home before had granted; more than a fresh upstream gets shows
    /// that it's warm.
    pub(super) fn raise(&mut self, slots: u32, now: Tick) {
        self.slots = self.slots.max(f64::from(slots.min(self.most)));
        if slots > self.fresh {
            self.warm = now;
        }
    }

    /// Takes a release of a slot that started at `started`; `full` tells whether the upstream was
    /// at its bound.
    pub(super) fn note(
        &mut self,
        settings: &DispatchSettings,
        sign: Sign,
        full: bool,
        started: Tick,
        now: Tick,
    ) {
        if sign == Sign::Failed && started >= self.cut {
            self.turn_cold(settings, now);
            return;
        }
        if let Some(slots) = self.suspected.filter(|_| started >= self.cut) {
            self.confirm(settings, sign, slots, now);
            return;
        }
        match sign {
            Sign::Good if full => self.grow(settings, now),
            Sign::Good | Sign::Failed => {}
            Sign::Slow if started >= self.cut => self.cut(settings, self.slots / 2.0, now),
            Sign::Slow => {}
            Sign::Cold if started >= self.cut => {
                // One late request may be a pause on the way: little starts until a request that
                // starts from now on tells more.
                let slots = self.slots;
                self.cut(settings, 0.0, now);
                self.suspected = Some(slots);
            }
            Sign::Cold => {}
        }
    }

    /// Takes the first sign since the upstream was suspected to be cold with `slots` slots.
    fn confirm(&mut self, settings: &DispatchSettings, sign: Sign, slots: f64, now: Tick) {
        self.suspected = None;
        match sign {
            Sign::Good => self.slots = slots.min(f64::from(self.most)).max(self.slots),
            Sign::Slow => {
                self.slots = (slots / 2.0).min(f64::from(self.most)).max(self.slots);
                self.cut = now;
            }
            Sign::Cold | Sign::Failed => self.turn_cold(settings, now),
        }
    }

    fn turn_cold(&mut self, settings: &DispatchSettings, now: Tick) {
        self.cut(settings, 0.0, now);
        self.warm = now + settings.warmup;
        self.suspected = None;
    }

    fn grow(&mut self, settings: &DispatchSettings, now: Tick) {
        let step =
            if self.slow_start { settings.growth } else { settings.increase / self.slots.max(1.0) };
        let most = if now < self.warm { self.most.min(self.fresh) } else { self.most };
        // What was borne before isn't taken away: only growth stops while the upstream warms up.
        self.slots = (self.slots + step).min(f64::from(most)).max(self.slots);
    }

    fn cut(&mut self, settings: &DispatchSettings, slots: f64, now: Tick) {
        let least = f64::from(settings.start.min(self.fresh).min(self.most));
        self.slots = slots.max(least).min(self.slots);
        self.slow_start = false;
        self.cut = now;
    }
}
