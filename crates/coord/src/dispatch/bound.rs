//! Concurrency limit (bound) of one upstream, with slow start, additive increase and multiplicative
//! decrease.

use super::DispatchSettings;
use crate::time::Tick;

/// What the latencies and outcome of a release indicate about the upstream's load.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Signal {
    /// Latencies are below both thresholds.
    Good,
    /// The mean latency is above the slow threshold ([`DispatchSettings::slow_ratio`]).
    Slow,
    /// The last latency is above the cold threshold ([`DispatchSettings::cold_ratio`]).
    Cold,
    /// The request failed on the upstream.
    Failed,
}

/// How many slots of an upstream may be in use at once.
#[derive(Clone, Copy, Debug)]
pub(super) struct Bound {
    slots: f64,
    /// Maximum of the bound.
    max_slots: u32,
    /// Maximum up to which the bound grows during warmup.
    warmup_max: u32,
    /// Whether the bound is in slow start: neither reduced nor restored above the warmup maximum
    /// since it was created.
    slow_start: bool,
    /// Time of the last reduction. Slots that started earlier can't reduce the bound again.
    reduced_at: Tick,
    /// End of the warmup.
    warmup_until: Tick,
    /// Bound before a [`Signal::Cold`] that no later request has confirmed or refuted yet.
    slots_before_cold: Option<f64>,
}

impl Bound {
    /// The initial bound of a new upstream, limited to `max_slots`, and to `warmup_max` during
    /// warmup.
    pub(super) fn new(
        settings: &DispatchSettings,
        max_slots: u32,
        warmup_max: u32,
        now: Tick,
    ) -> Self {
        let slots = f64::from(settings.initial_slots.min(warmup_max).min(max_slots));
        Bound {
            slots,
            max_slots,
            warmup_max,
            slow_start: true,
            reduced_at: now,
            warmup_until: now + settings.warmup,
            slots_before_cold: None,
        }
    }

    /// The bound in whole slots.
    pub(super) fn slots(&self) -> u32 {
        self.slots as u32
    }

    /// Changes the maxima and lowers the bound to `max_slots` if it is above it.
    pub(super) fn set_max(&mut self, max_slots: u32, warmup_max: u32) {
        self.max_slots = max_slots;
        self.warmup_max = warmup_max;
        self.slots = self.slots.min(f64::from(max_slots));
    }

    /// Restores the bound that a previous home reached. A bound above the warmup maximum ends
    /// warmup and slow start.
    pub(super) fn restore(&mut self, slots: u32, now: Tick) {
        self.slots = f64::from(slots.clamp(1, self.max_slots.max(1)));
        if slots > self.warmup_max {
            self.warmup_until = now;
            self.slow_start = false;
        }
    }

    /// Raises the bound to the slots that a previous home granted. More than the warmup maximum
    /// shows that the upstream is warm and ends the warmup.
    pub(super) fn raise(&mut self, slots: u32, now: Tick) {
        self.slots = self.slots.max(f64::from(slots.min(self.max_slots)));
        if slots > self.warmup_max {
            self.warmup_until = now;
        }
    }

    /// Updates the bound from the release of a slot that started at `started`. `at_bound` is
    /// whether all slots of the bound were in use.
    pub(super) fn record(
        &mut self,
        settings: &DispatchSettings,
        signal: Signal,
        at_bound: bool,
        started: Tick,
        now: Tick,
    ) {
        if signal == Signal::Failed && started >= self.reduced_at {
            self.mark_cold(settings, now);
            return;
        }
        if let Some(slots) = self.slots_before_cold.filter(|_| started >= self.reduced_at) {
            self.resolve_cold(settings, signal, slots, now);
            return;
        }
        match signal {
            Signal::Good if at_bound => self.grow(settings, now),
            Signal::Good | Signal::Failed => {}
            Signal::Slow if started >= self.reduced_at => {
                self.reduce(settings, self.slots / 2.0, now)
            }
            Signal::Slow => {}
            Signal::Cold if started >= self.reduced_at => {
                // One late request may have been delayed between router and upstream. Keep the
                // bound at its minimum until a request that starts from now on confirms or
                // refutes the signal.
                let slots = self.slots;
                self.reduce(settings, 0.0, now);
                self.slots_before_cold = Some(slots);
            }
            Signal::Cold => {}
        }
    }

    /// Handles the first signal after an unconfirmed [`Signal::Cold`]; `slots` is the bound before
    /// it.
    fn resolve_cold(&mut self, settings: &DispatchSettings, signal: Signal, slots: f64, now: Tick) {
        self.slots_before_cold = None;
        match signal {
            Signal::Good => self.slots = slots.min(f64::from(self.max_slots)).max(self.slots),
            Signal::Slow => {
                self.slots = (slots / 2.0).min(f64::from(self.max_slots)).max(self.slots);
                self.reduced_at = now;
            }
            Signal::Cold | Signal::Failed => self.mark_cold(settings, now),
        }
    }

    /// Drops the bound to its minimum and restarts the warmup.
    fn mark_cold(&mut self, settings: &DispatchSettings, now: Tick) {
        self.reduce(settings, 0.0, now);
        self.warmup_until = now + settings.warmup;
        self.slots_before_cold = None;
    }

    /// Adds one growth step, limited by the maximum in force.
    fn grow(&mut self, settings: &DispatchSettings, now: Tick) {
        let step = if self.slow_start {
            settings.startup_step
        } else {
            settings.additive_step / self.slots.max(1.0)
        };
        let max_slots = if now < self.warmup_until {
            self.max_slots.min(self.warmup_max)
        } else {
            self.max_slots
        };
        // The warmup maximum only stops growth; it never lowers a bound that is already higher.
        self.slots = (self.slots + step).min(f64::from(max_slots)).max(self.slots);
    }

    /// Lowers the bound to `slots`, but not below its minimum, and ends slow start.
    fn reduce(&mut self, settings: &DispatchSettings, slots: f64, now: Tick) {
        let min_slots = f64::from(settings.initial_slots.min(self.warmup_max).min(self.max_slots));
        self.slots = slots.max(min_slots).min(self.slots);
        self.slow_start = false;
        self.reduced_at = now;
    }
}
