//! Sizes of the two simulated deployments.

use std::time::Duration;

use corianderyoke_coord::placement::Tier;

/// A fleet of engines and its models.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// Name of the deployment.
    pub name: &'static str,
    /// Number of engines.
    pub engines: usize,
    /// Number of models.
    pub models: usize,
    /// Load starts per second at the weight store.
    pub store_rate: f64,
    /// Concurrent loads at the weight store.
    pub store_inflight: usize,
    /// Accelerator memory of an engine, in bytes.
    pub memory: u64,
    /// Capacity for checkpoints on an engine's disk, in bytes.
    pub disk: u64,
    /// Capacity for checkpoints in an engine's main memory, in bytes.
    pub host: u64,
}

/// Bytes per gigabyte.
pub const GB: u64 = 1 << 30;

impl Fleet {
    /// Ten engines and thirty models.
    pub fn kumlama() -> Self {
        Fleet {
            name: "kumlama",
            engines: 10,
            models: 30,
            store_rate: 1.8,
            store_inflight: 4,
            memory: 48 * GB,
            disk: 160 * GB,
            host: 32 * GB,
        }
    }

    /// Twelve engines and twenty-five models.
    pub fn speglagler() -> Self {
        Fleet { name: "speglagler", engines: 12, models: 25, store_rate: 3.0, ..Fleet::kumlama() }
    }

    /// Size of a model, 8 to 28 GB, in bytes.
    pub fn bytes(&self, model: usize) -> u64 {
        (8 + (model as u64 * 7) % 21) * GB
    }

    /// Load time of a model from a tier: 0.3 s plus the transfer at 20, 4 or 1 GB/s.
    pub fn load_time(&self, model: usize, tier: Tier) -> Duration {
        let rate = match tier {
            Tier::Memory => 20 * GB,
            Tier::Disk => 4 * GB,
            Tier::Remote => GB,
        };
        Duration::from_secs_f64(0.3 + self.bytes(model) as f64 / rate as f64)
    }
}
