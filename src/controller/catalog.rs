//! Derives the planner's catalog and settings from the register, and tracks checkpoint tiers.

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

/// Number of adapters for which each replica reserves memory.
const RESERVED_ADAPTERS: u64 = 8;

/// The upstreams and models of a register; the platform's instance list says which upstreams are
/// leaving.
pub fn catalog(register: &Register, agent: &Agent) -> Catalog {
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

/// The planner's settings: its defaults with the operators' rules applied.
pub fn planner_settings(rules: &Rules) -> Settings {
    let defaults = Settings::default();
    let rule = match defaults.keep_alive {
        KeepAliveRule::Histogram { min_gaps, fallback, .. } => {
            KeepAliveRule::Histogram { cold_weight: rules.idle_worth, min_gaps, fallback }
        }
        other => other,
    };
    Settings {
        store_rate: rules.load_rate,
        store_inflight: rules.load_inflight as usize,
        adapter_inflight: rules.adapter_inflight as usize,
        keep_alive: rule,
        ..defaults
    }
}

/// Bytes reserved with each replica of `model`, enough for its [`RESERVED_ADAPTERS`] largest
/// adapters.
fn adapter_bytes(register: &Register, model: &str) -> u64 {
    let mut sizes: Vec<u64> = register
        .adapters
        .values()
        .filter(|adapter| adapter.model == model)
        .map(|adapter| adapter.bytes)
        .collect();
    sizes.sort_unstable_by(|a, b| b.cmp(a));
    sizes.into_iter().take(RESERVED_ADAPTERS as usize).fold(0, u64::saturating_add)
}

/// The fastest tier in which any upstream has reported each model's checkpoint so far.
#[derive(Clone, Debug, Default)]
pub struct FastestTiers {
    tiers: IndexMap<String, Tier>,
}

impl FastestTiers {
    /// Records that an upstream has the checkpoint of `model` in `tier`.
    pub fn record(&mut self, model: &str, tier: Tier) {
        let fastest = self.tiers.entry(model.to_owned()).or_insert(tier);
        *fastest = (*fastest).min(tier);
    }

    /// The fastest tier of a model's checkpoint; the remote store if none was reported.
    pub fn fastest(&self, model: &str) -> Tier {
        self.tiers.get(model).copied().unwrap_or(Tier::Remote)
    }
}
