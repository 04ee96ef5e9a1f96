//! What the planner has to know of the register, and where checkpoints lie.

use std::time::Duration;

use corianderyoke_coord::placement::keep_alive::KeepAliveRule;
use corianderyoke_coord::placement::Catalog;
use corianderyoke_coord::placement::Model;
use corianderyoke_coord::placement::Settings;
use corianderyoke_coord::placement::Tier;
use corianderyoke_coord::placement::Upstream;
use corianderyoke_coord::register::Register;
use corianderyoke_coord::register::Rules;
use corianderyoke_coord::register::UpstreamKind;
use indexmap::IndexMap;

use crate::agent::Agent;

/// Adapters for which room is set aside beside each replica.
const ADAPTERS_BESIDE: u64 = 8;

/// The facts of a register, with what the platform's list says of the upstreams.
pub fn facts(register: &Register, agent: &Agent) -> Catalog {
    let engines = register.upstreams.iter().filter(|(_, u)| u.kind == UpstreamKind::Engine);
    let upstreams = engines.map(|(name, upstream)| Upstream {
        name: name.clone(),
        zone: upstream.zone.clone(),
        memory: upstream.memory_bytes,
        fenced: upstream.fencing,
        drained: register.is_drained(&upstream.zone),
        leaving: agent.is_leaving(name),
    });
    let models = register.models.iter().map(|(name, model)| Model {
        name: name.clone(),
        bytes: model.bytes,
        adapter_bytes: adapter_bytes(register, name),
        from_memory: Duration::from_millis(model.start_ms.memory),
        from_disk: Duration::from_millis(model.start_ms.disk),
        from_remote: Duration::from_millis(model.start_ms.remote),
    });
    Catalog { upstreams: upstreams.collect(), models: models.collect() }
}

/// Settings of the planner by the operators' rules.
pub fn planner_settings(rules: &Rules) -> Settings {
    let defaults = Settings::default();
    let keep = match defaults.keep_alive {
        KeepAliveRule::Histogram { min_gaps, fallback, .. } => {
            KeepAliveRule::Histogram { cold_weight: rules.idle_worth, min_gaps, fallback }
        }
        other => other,
    };
    Settings {
        store_rate: rules.load_rate,
        store_inflight: rules.load_inflight as usize,
        adapter_inflight: rules.adapter_inflight as usize,
        keep_alive: keep,
        ..defaults
    }
}

/// Bytes set aside beside each replica of `model`: its largest adapters, a few of them.
fn adapter_bytes(register: &Register, model: &str) -> u64 {
    let mut sizes: Vec<u64> = register
        .adapters
        .values()
        .filter(|adapter| adapter.model == model)
        .map(|adapter| adapter.bytes)
        .collect();
    sizes.sort_unstable_by(|a, b| b.cmp(a));
    sizes.into_iter().take(ADAPTERS_BESIDE as usize).sum()
}

/// The fastest tier of each model's checkpoint over all upstreams, as last seen.
#[derive(Clone, Debug, Default)]
pub struct Tiers {
    best: IndexMap<String, Tier>,
}

impl Tiers {
    /// Notes that an upstream has a checkpoint in `tier`.
    pub fn note(&mut self, model: &str, tier: Tier) {
        let best = self.best.entry(model.to_owned()).or_insert(tier);
        *best = (*best).min(tier);
    }

    /// The fastest tier of a model's checkpoint.
    pub fn best(&self, model: &str) -> Tier {
        self.best.get(model).copied().unwrap_or(Tier::Remote)
    }
}
