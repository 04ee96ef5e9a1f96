//! Orders the number of engines of services that the desired state lets grow and shrink, while this
//! daemon holds the lease.

use std::sync::Arc;
use std::time::Duration;

use corianderyoke_coord::keys::ModelKey;
use corianderyoke_coord::serving::choice::PREFILL_RATE;
use corianderyoke_coord::serving::desired::EngineSpec;
use corianderyoke_coord::serving::desired::ScalingSpec;
use corianderyoke_coord::serving::duties::Outcome;
use corianderyoke_coord::serving::engines::Engine;
use corianderyoke_coord::serving::scaling::EngineCapacity;
use corianderyoke_coord::serving::scaling::Limits;
use corianderyoke_coord::serving::scaling::ScaleOrder;
use corianderyoke_coord::serving::scaling::ScaleOutcome;
use corianderyoke_coord::serving::scaling::Scaler;
use corianderyoke_coord::serving::scaling::ScalingSettings;
use corianderyoke_coord::serving::scaling::ServiceDemand;
use corianderyoke_coord::serving::scaling::ZoneEngines;
use corianderyoke_coord::time::Tick;
use corianderyoke_util::clock;
use corianderyoke_util::events;
use corianderyoke_util::events::Event;
use indexmap::IndexMap;
use tokio::time::sleep;

use crate::duties;
use crate::state::Shared;
use crate::state::State;

/// Interval between two decisions.
const DECISION_INTERVAL: Duration = Duration::from_millis(500);
/// Time after the lease was acquired before which nothing is ordered. The demand of the fleet is known
/// only from the other daemons' reports.
const TERM_GRACE: Duration = Duration::from_secs(3);

/// Decides and orders until the task is aborted.
pub async fn run(shared: Arc<Shared>) {
    let mut scalers: IndexMap<String, Scaler> = IndexMap::new();
    let mut term: Option<(u64, Tick)> = None;
    loop {
        sleep(DECISION_INTERVAL).await;
        let now = clock::now();
        let orders = {
            let state = shared.state();
            let token = state.lease.token(now);
            if token != term.map(|(token, _)| token) {
                term = token.map(|token| (token, now));
                scalers.clear();
            }
            match term {
                Some((_, began)) if now.since(began) >= TERM_GRACE => {
                    decide(&state, &mut scalers, now)
                }
                _ => Vec::new(),
            }
        };
        // One call after the other, so that an order never overtakes an earlier one of its zone.
        for (service, order, required) in orders {
            let zone = shared.state().engines.names.zones.name(order.zone).to_owned();
            let outcome = duties::order_engines(&shared, &service, &zone, order.count).await;
            events::log(
                Event::EnginesOrdered,
                format_args!(
                    "service={service} zone={zone} count={} required={required} outcome={}",
                    order.count,
                    outcome.name()
                ),
            );
            let outcome = match outcome {
                Outcome::Accepted => ScaleOutcome::Accepted,
                _ => ScaleOutcome::Failed,
            };
            if let Some(scaler) = scalers.get_mut(&service) {
                scaler.record_outcome(order, outcome, clock::now());
            }
        }
    }
}

/// Returns the orders that are due, each with its service and the number of engines that the demand
/// requires in each zone.
fn decide(
    state: &State,
    scalers: &mut IndexMap<String, Scaler>,
    now: Tick,
) -> Vec<(String, ScaleOrder, u32)> {
    let Some(desired) = &state.desired else { return Vec::new() };
    scalers.retain(|service, _| desired.services.contains_key(service));
    let mut orders = Vec::new();
    for (name, service) in &desired.services {
        let Some(ScalingSpec { min, max, .. }) = service.scaling else { continue };
        let Some((zones, demand, capacity)) = measure(state, name, service.engine.as_ref(), now)
        else {
            continue;
        };
        let scaler =
            scalers.entry(name.clone()).or_insert_with(|| Scaler::new(ScalingSettings::default()));
        let required = scaler.required(demand, capacity, zones.len());
        let due = scaler.decide(Limits { min, max }, &zones, required, now);
        orders.extend(due.into_iter().map(|order| (name.clone(), order, required)));
    }
    orders
}

/// Measures a service: its zones, the demand and the capacity of an engine. `None` if no engine is known.
fn measure(
    state: &State,
    service: &str,
    spec: Option<&EngineSpec>,
    now: Tick,
) -> Option<(Vec<ZoneEngines>, ServiceDemand, EngineCapacity)> {
    let names = &state.engines.names;
    let includes = |model: ModelKey| {
        spec.is_some_and(|spec| spec.models.contains_key(names.models.name(model)))
    };
    let (tokens, models) = state.planner.total_demand(includes, now);
    let mut zones: IndexMap<_, ZoneEngines> = IndexMap::new();
    let (mut requests, mut slots) = (0_u32, 0);
    for (key, engine) in state.engines.iter().filter(|(_, engine)| engine.service == service) {
        let zone = engine.zone;
        let entry = zones.entry(zone).or_insert(ZoneEngines { zone, ready: 0, sole: 0 });
        if !engine.accepts(now) {
            continue;
        }
        entry.ready += 1;
        entry.sole += u32::from(holds_sole(state, engine));
        slots = slots.max(engine.slots);
        requests = requests.saturating_add(state.load(key, now).running);
    }
    let mean_size = spec.filter(|spec| !spec.models.is_empty()).map(|spec| {
        let total: f64 = spec.models.values().map(|model| model.size_mb).sum();
        total / spec.models.len() as f64
    });
    let places = spec.zip(mean_size).map_or(0.0, |(spec, size)| (spec.memory_mb / size).floor());
    let capacity = EngineCapacity {
        tokens: if spec.is_some() { PREFILL_RATE * 1e3 } else { 0.0 },
        slots,
        models: places,
    };
    let demand = ServiceDemand { tokens, requests, models };
    (slots > 0).then(|| (zones.into_values().collect(), demand, capacity))
}

fn holds_sole(state: &State, engine: &Engine) -> bool {
    engine.models.keys().any(|model| state.planner.is_sole(*model))
}
