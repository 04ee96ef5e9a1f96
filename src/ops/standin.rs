//! Runs one stand-in as a process of its own.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use corianderyoke_standin::engine;
use corianderyoke_standin::platform;
use corianderyoke_standin::service;
use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use crate::util::lifecycle::shutdown_signal;

/// Settings of an engine stand-in, as its settings file has them.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineSettings {
    /// Address to listen on; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Accelerator memory in bytes.
    pub memory_bytes: u64,
    /// Tier of each model's checkpoint: `memory`, `disk` or `remote`.
    pub checkpoints: IndexMap<String, engine::settings::Tier>,
    /// Models loaded at the start, with their bytes.
    pub loaded: IndexMap<String, u64>,
    /// Whether orders with an old fencing token are refused.
    pub fencing: bool,
    /// Time of a token when one request runs, in microseconds.
    pub token_us: u64,
    /// Time that each further running request adds to a token, in microseconds.
    pub slope_us: u64,
    /// Span for which the engine is fresh, in milliseconds.
    pub fresh_ms: u64,
    /// Requests at once that it bears while fresh.
    pub fresh_bears: usize,
    /// Load of a checkpoint from main memory, in milliseconds.
    pub memory_ms: u64,
    /// Load of a checkpoint from disk, in milliseconds.
    pub disk_ms: u64,
    /// Texts that no request may carry; the ledger counts those that do.
    pub secrets: Vec<String>,
}

impl Default for EngineSettings {
    fn default() -> Self {
        EngineSettings {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            memory_bytes: 80 << 30,
            checkpoints: IndexMap::new(),
            loaded: IndexMap::new(),
            fencing: true,
            token_us: 2_000,
            slope_us: 200,
            fresh_ms: 0,
            fresh_bears: 4,
            memory_ms: 100,
            disk_ms: 400,
            secrets: Vec::new(),
        }
    }
}

impl EngineSettings {
    /// The same settings as the stand-in takes them.
    pub fn engine(self) -> engine::Settings {
        engine::Settings {
            listen: self.listen,
            memory_bytes: self.memory_bytes,
            checkpoints: self.checkpoints,
            loaded: self.loaded,
            fencing: self.fencing,
            pace: engine::settings::Pace {
                token_base: Duration::from_micros(self.token_us),
                token_slope: Duration::from_micros(self.slope_us),
                ..engine::settings::Pace::default()
            },
            warmup: engine::settings::Warmup {
                duration: Duration::from_millis(self.fresh_ms),
                sustained_requests: self.fresh_bears,
                ..engine::settings::Warmup::default()
            },
            times: engine::settings::LoadTimes {
                memory: Duration::from_millis(self.memory_ms),
                disk: Duration::from_millis(self.disk_ms),
                ..engine::settings::LoadTimes::default()
            },
            secrets: self.secrets,
            ..engine::Settings::default()
        }
    }
}

/// Settings of a service stand-in, as its settings file has them.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceSettings {
    /// Address to listen on; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Time that a call takes, in milliseconds.
    pub work_ms: u64,
    /// Texts that no request may carry; the ledger counts those that do.
    pub secrets: Vec<String>,
}

impl Default for ServiceSettings {
    fn default() -> Self {
        let listen = SocketAddr::from(([127, 0, 0, 1], 0));
        ServiceSettings { listen, work_ms: 5, secrets: Vec::new() }
    }
}

/// Tells the address on standard output, in the form that scripts and tests read.
fn tell(address: SocketAddr) {
    println!("listening {address}");
}

/// Runs the platform's stand-in until told to stop.
pub async fn run_platform(settings: platform::Settings) -> anyhow::Result<()> {
    let server = platform::serve(settings).await.context("failed to start the platform")?;
    tell(server.running.address);
    shutdown_signal().await?;
    server.running.stop().await;
    Ok(())
}

/// Runs an engine stand-in until told to stop.
pub async fn run_engine(settings: EngineSettings) -> anyhow::Result<()> {
    let running = engine::serve(settings.engine()).await.context("failed to start the engine")?;
    tell(running.address());
    shutdown_signal().await?;
    running.stop();
    Ok(())
}

/// Runs a service stand-in until told to stop.
pub async fn run_service(settings: ServiceSettings) -> anyhow::Result<()> {
    let settings = service::Settings {
        listen: settings.listen,
        work_time: Duration::from_millis(settings.work_ms),
        secrets: settings.secrets,
    };
    let running = service::serve(settings).await.context("failed to start the service")?;
    tell(running.address());
    shutdown_signal().await?;
    running.stop();
    Ok(())
}
