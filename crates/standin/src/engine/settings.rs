//! Settings of the engine stand-in.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use super::weights::WeightStore;

/// Settings of one engine.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address to listen on; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Memory for models and adapters, in bytes.
    pub memory_bytes: u64,
    /// Models loaded at the start, with their size in bytes.
    pub loaded: IndexMap<String, u64>,
    /// Storage tier of each model's checkpoint; a model without an entry can't be loaded.
    pub checkpoints: IndexMap<String, Tier>,
    /// Whether orders with a stale fencing token are rejected.
    pub fencing: bool,
    /// Speed and concurrency limits.
    pub pace: Pace,
    /// Behavior during warm-up.
    pub warmup: Warmup,
    /// Durations of loads and unloads.
    pub times: LoadTimes,
    /// Weight store for remote checkpoints and adapters.
    pub weights: WeightStore,
    /// Lag of the load that `GET /load` reports.
    pub load_lag: Duration,
    /// Upper bound on the tokens after which the model ends an answer by itself; none means that
    /// every answer has `max_tokens` tokens.
    pub eos_limit: Option<u32>,
    /// Strings that must not appear in a header or body; the ledger counts requests that contain
    /// one.
    pub secrets: Vec<String>,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            memory_bytes: 80 << 30,
            loaded: IndexMap::new(),
            checkpoints: IndexMap::new(),
            fencing: true,
            pace: Pace::default(),
            warmup: Warmup::default(),
            times: LoadTimes::default(),
            weights: WeightStore::default(),
            load_lag: Duration::from_millis(500),
            eos_limit: None,
            secrets: Vec::new(),
        }
    }
}

/// Speed and concurrency limits of an engine.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// Time per token while one request runs.
    pub token_base: Duration,
    /// Time that each additional running request adds to every token.
    pub token_slope: Duration,
    /// Time to process a prompt token that isn't in the prefix cache.
    pub prompt_token: Duration,
    /// Maximum number of running requests; further ones are queued.
    pub max_running: usize,
    /// Maximum number of queued requests; further ones are rejected.
    pub max_waiting: usize,
    /// Capacity of the prefix cache, in prompt blocks.
    pub prefix_blocks: usize,
}

impl Default for Pace {
    fn default() -> Self {
        Pace {
            token_base: Duration::from_millis(2),
            token_slope: Duration::from_micros(200),
            prompt_token: Duration::from_micros(50),
            max_running: 32,
            max_waiting: 256,
            prefix_blocks: 4096,
        }
    }
}

/// Limits of an engine that is warming up, after its start or after [`Fault::TurnCold`].
///
/// [`Fault::TurnCold`]: super::Fault::TurnCold
#[derive(Clone, Copy, Debug)]
pub struct Warmup {
    /// Duration of the warm-up; zero disables it.
    pub duration: Duration,
    /// Number of running requests up to which tokens take their normal time.
    pub sustained_requests: usize,
    /// Number of running requests at which the engine crashes.
    pub crash_requests: usize,
    /// Factor on the time per token while more than `sustained_requests` run.
    pub slowdown: u32,
}

impl Default for Warmup {
    fn default() -> Self {
        Warmup { duration: Duration::ZERO, sustained_requests: 4, crash_requests: 12, slowdown: 8 }
    }
}

/// Storage tier of a checkpoint.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Tier {
    /// In the instance's main memory.
    Memory,
    /// On the instance's disk.
    Disk,
    /// In the weight store only.
    Remote,
}

/// Durations of loads and unloads.
#[derive(Clone, Copy, Debug)]
pub struct LoadTimes {
    /// Duration of a load from main memory.
    pub memory: Duration,
    /// Duration of a load from disk.
    pub disk: Duration,
    /// Duration of the unload of a model.
    pub unload: Duration,
}

impl Default for LoadTimes {
    fn default() -> Self {
        LoadTimes {
            memory: Duration::from_millis(100),
            disk: Duration::from_millis(400),
            unload: Duration::from_millis(20),
        }
    }
}
