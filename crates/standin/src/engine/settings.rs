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
    /// Where it listens; port 0 lets the system choose.
    pub listen: SocketAddr,
    /// Memory for models and adapters.
    pub memory_bytes: u64,
    /// Models loaded at the start, with their bytes.
    pub loaded: IndexMap<String, u64>,
    /// Tier of each checkpoint; a model without an entry can't be loaded.
    pub checkpoints: IndexMap<String, Tier>,
    /// Whether orders with an old fencing token are refused.
    pub fencing: bool,
    /// Speed of the work.
    pub pace: Pace,
    /// What a fresh or cold engine bears.
    pub warmup: Warmup,
    /// Times of loads and unloads.
    pub times: LoadTimes,
    /// The store for remote checkpoints and adapters.
    pub weights: WeightStore,
    /// Age of the load that `GET /load` reports.
    pub load_lag: Duration,
    /// The engine stops by itself after at most this many tokens; none means at `max_tokens`.
    pub natural_tokens: Option<u32>,
    /// Texts that no request may carry in a header or its body; the ledger counts those that do.
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
            natural_tokens: None,
            secrets: Vec::new(),
        }
    }
}

/// Speed of an engine.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// Time of a token when one request runs.
    pub token_base: Duration,
    /// Time that each further running request adds to every token.
    pub token_slope: Duration,
    /// Time of a prompt token that isn't in the prefix cache.
    pub prompt_token: Duration,
    /// Requests that run at once; more wait.
    pub running: usize,
    /// Requests that wait at most; more are refused.
    pub waiting: usize,
    /// Blocks of prompt that the prefix cache holds.
    pub prefix_blocks: usize,
}

impl Default for Pace {
    fn default() -> Self {
        Pace {
            token_base: Duration::from_millis(2),
            token_slope: Duration::from_micros(200),
            prompt_token: Duration::from_micros(50),
            running: 32,
            waiting: 256,
            prefix_blocks: 4096,
        }
    }
}

/// What an engine bears after its start or after turning cold.
#[derive(Clone, Copy, Debug)]
pub struct Warmup {
    /// How long it is fresh; zero means never.
    pub span: Duration,
    /// Requests running at once that a fresh engine bears; above it each token takes longer.
    pub bears: usize,
    /// Requests running at once at which a fresh engine dies.
    pub dies: usize,
    /// Factor on the time of a token while more runs than it bears.
    pub slowdown: u32,
}

impl Default for Warmup {
    fn default() -> Self {
        Warmup { span: Duration::ZERO, bears: 4, dies: 12, slowdown: 8 }
    }
}

/// Where a checkpoint lies.
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

/// Times of loads and unloads.
#[derive(Clone, Copy, Debug)]
pub struct LoadTimes {
    /// Load of a checkpoint in main memory.
    pub memory: Duration,
    /// Load of a checkpoint on disk.
    pub disk: Duration,
    /// Unload of a model.
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
