//! Decides how many engines a service runs in each availability zone.
//!
//! The number follows from the measured demand: the prompt tokens to prefill, the requests in flight
//! and the models that requests ask for, each with headroom for a burst and for the loss of one zone.
//! It is raised at once, because a new engine takes seconds to start and then has to load models. It
//! is lowered by one engine at a time after a calm period, because the platform chooses which engine
//! leaves, and that engine takes its loaded models and cached prompts with it.

use std::time::Duration;

use indexmap::IndexMap;

use crate::keys::ZoneKey;
use crate::time::Tick;

/// Parameters of the decision.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScalingSettings {
    /// Fraction of its time that an engine may spend on prefill. Beyond about half, prompts queue
    /// behind each other and delay the tokens of running requests.
    pub prefill_share: f64,
    /// Fraction of its slots that an engine may use.
    pub slot_share: f64,
    /// Fraction of the demand by which the capacity exceeds it.
    pub headroom: f64,
    /// Time for which fewer engines must suffice before one is given up.
    pub calm: Duration,
    /// Least time between two reductions of one zone.
    pub step: Duration,
    /// Delay after the first call that failed; doubles with each further failure.
    pub first_delay: Duration,
    /// Longest delay after a failed call.
    pub max_delay: Duration,
}

impl Default for ScalingSettings {
    fn default() -> Self {
        ScalingSettings {
            prefill_share: 0.4,
            slot_share: 0.5,
            headroom: 0.3,
            // Several times what it takes until a new engine has started and loaded models.
            calm: Duration::from_secs(60),
            step: Duration::from_secs(20),
            first_delay: Duration::from_millis(500),
            max_delay: Duration::from_secs(8),
        }
    }
}

/// Limits on the number of engines in each zone.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Fewest engines.
    pub min: u32,
    /// Most engines.
    pub max: u32,
}

/// Demand for a service over all zones.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServiceDemand {
    /// Prompt tokens to prefill per second.
    pub tokens: f64,
    /// Requests in flight and waiting.
    pub requests: u32,
    /// Models that requests ask for.
    pub models: u32,
}

/// Capacity of one engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineCapacity {
    /// Prompt tokens that it prefills per second.
    pub tokens: f64,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Models that it holds at the same time; 0 if the service has no models.
    pub models: f64,
}

/// Engines of a service in one zone.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ZoneEngines {
    /// The zone.
    pub zone: ZoneKey,
    /// Engines that accept requests.
    pub ready: u32,
    /// Engines that hold the only replica of a model that requests ask for.
    pub sole: u32,
}

/// Number of engines to order for a zone.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ScaleOrder {
    /// The zone.
    pub zone: ZoneKey,
    /// Number of engines.
    pub count: u32,
}

/// Result of a call that ordered a number of engines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ScaleOutcome {
    /// The platform accepted the order.
    Accepted,
    /// The platform refused the order for now, or didn't answer. The order may still be carried out.
    Failed,
}

/// State of a zone.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct ZoneState {
    /// Number in force: the one accepted last, or the engines found at the start of the term.
    count: u32,
    /// Number of an order that wasn't accepted yet.
    pending: Option<u32>,
    /// Time since which fewer engines have sufficed.
    calm_since: Option<Tick>,
    /// Time before which no order is sent.
    not_before: Tick,
    /// Consecutive failures.
    failures: u32,
}

/// Numbers of engines of one service, as ordered by this daemon during its term as lease holder.
#[derive(Clone, Debug, Default)]
pub struct Scaler {
    settings: ScalingSettings,
    zones: IndexMap<ZoneKey, ZoneState>,
}

impl Scaler {
    /// Creates the state of a daemon that has just acquired the lease.
    pub fn new(settings: ScalingSettings) -> Self {
        Scaler { settings, zones: IndexMap::new() }
    }

    /// Returns the number of engines that each of `zones` zones needs for the demand, even if one
    /// zone is lost.
    pub fn required(&self, demand: ServiceDemand, engine: EngineCapacity, zones: usize) -> u32 {
        let ScalingSettings { prefill_share, slot_share, headroom, .. } = self.settings;
        let ratio =
            |amount: f64, capacity: f64| if capacity > 0.0 { amount / capacity } else { 0.0 };
        let tokens = ratio(demand.tokens, engine.tokens * prefill_share);
        let slots = ratio(f64::from(demand.requests), f64::from(engine.slots) * slot_share);
        let busy = tokens.max(slots) * (1.0 + headroom);
        let surviving = zones.saturating_sub(1).max(1) as f64;
        // Models of a lost zone are loaded elsewhere on demand, so they get no headroom.
        let held = ratio(f64::from(demand.models), engine.models) / zones.max(1) as f64;
        (busy / surviving).max(held).ceil() as u32
    }

    /// Returns the orders that are due. `zones` lists the zones in which the service runs.
    pub fn decide(
        &mut self,
        limits: Limits,
        zones: &[ZoneEngines],
        required: u32,
        now: Tick,
    ) -> Vec<ScaleOrder> {
        self.zones.retain(|zone, _| zones.iter().any(|engines| engines.zone == *zone));
        let settings = self.settings;
        let due = zones.iter().filter_map(|engines| {
            let state = self.zones.entry(engines.zone).or_insert_with(|| ZoneState {
                count: engines.ready.clamp(limits.min, limits.max),
                ..ZoneState::default()
            });
            let count = state.target(settings, limits, engines, required, now)?;
            Some(ScaleOrder { zone: engines.zone, count })
        });
        due.collect()
    }

    /// Records the result of an order.
    pub fn record_outcome(&mut self, order: ScaleOrder, outcome: ScaleOutcome, now: Tick) {
        let settings = self.settings;
        let Some(state) = self.zones.get_mut(&order.zone) else { return };
        match outcome {
            ScaleOutcome::Accepted => {
                let is_lower = order.count < state.count;
                state.count = order.count;
                state.pending = None;
                state.failures = 0;
                state.not_before = if is_lower { now + settings.step } else { now };
            }
            ScaleOutcome::Failed => {
                let factor = 2_u32.saturating_pow(state.failures);
                let delay = settings.first_delay.saturating_mul(factor).min(settings.max_delay);
                state.failures = state.failures.saturating_add(1);
                state.not_before = now + delay;
            }
        }
    }
}

impl ZoneState {
    /// Returns the number to order now, if any.
    fn target(
        &mut self,
        settings: ScalingSettings,
        limits: Limits,
        engines: &ZoneEngines,
        required: u32,
        now: Tick,
    ) -> Option<u32> {
        let wanted = required.max(engines.sole).clamp(limits.min, limits.max);
        // An order without an answer may still be carried out, so it is repeated unless more
        // engines are needed by now.
        let in_force = self.pending.unwrap_or(self.count);
        self.calm_since = (wanted < in_force).then(|| self.calm_since.unwrap_or(now));
        let is_calm = self.calm_since.is_some_and(|since| now.since(since) >= settings.calm);
        let count = if wanted > in_force {
            wanted
        } else if let Some(pending) = self.pending {
            pending
        } else if !(limits.min..=limits.max).contains(&self.count) {
            self.count.clamp(limits.min, limits.max)
        } else if wanted < self.count && is_calm {
            self.count - 1
        } else {
            return None;
        };
        if now < self.not_before && count <= in_force {
            return None;
        }
        self.pending = Some(count);
        // The outcome sets the time of the next order; until then, none is due.
        self.not_before = now + settings.max_delay;
        Some(count)
    }
}
