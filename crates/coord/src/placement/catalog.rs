//! The part of the register that placement needs: upstreams and models.

use std::time::Duration;

/// Fastest storage in which an upstream has a model's checkpoint.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Tier {
    /// In the upstream's main memory.
    Memory,
    /// On the upstream's disk.
    Disk,
    /// Only in the weight store.
    #[default]
    Remote,
}

/// A model engine that can hold replicas.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Upstream {
    /// Name in the register.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Accelerator memory for models, in bytes.
    pub memory: u64,
    /// Whether it rejects orders with an old fencing token.
    pub fenced: bool,
    /// Whether operators have drained its availability zone.
    pub drained: bool,
    /// Whether the platform reports that its instance is leaving.
    pub leaving: bool,
}

impl Upstream {
    /// Whether it may be given replicas and work.
    pub fn is_usable(&self) -> bool {
        !self.drained && !self.leaving
    }
}

/// A base model.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Model {
    /// Name in the register.
    pub name: String,
    /// Size in accelerator memory, in bytes.
    pub bytes: u64,
    /// Bytes reserved beside each replica for its adapters.
    pub adapter_bytes: u64,
    /// Load time from the upstream's main memory.
    pub from_memory: Duration,
    /// Load time from the upstream's disk.
    pub from_disk: Duration,
    /// Load time from the weight store, without the wait for a permit.
    pub from_remote: Duration,
}

impl Default for Model {
    fn default() -> Self {
        Model {
            name: String::new(),
            bytes: 0,
            adapter_bytes: 0,
            from_memory: Duration::from_secs(1),
            from_disk: Duration::from_secs(5),
            from_remote: Duration::from_secs(20),
        }
    }
}

impl Model {
    /// Bytes that a replica takes, including those for its adapters.
    pub fn footprint(&self) -> u64 {
        self.bytes.saturating_add(self.adapter_bytes)
    }

    /// Load time from `tier`, from the start of the load.
    pub fn load_time(&self, tier: Tier) -> Duration {
        match tier {
            Tier::Memory => self.from_memory,
            Tier::Disk => self.from_disk,
            Tier::Remote => self.from_remote,
        }
    }
}

/// Upstreams and models of one register revision.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Catalog {
    /// Model engines.
    pub upstreams: Vec<Upstream>,
    /// Base models.
    pub models: Vec<Model>,
}
