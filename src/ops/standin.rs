//! Runs a stand-in of the platform, an engine or a service as a separate process.

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

/// Settings file of an engine stand-in.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineSettings {
    /// Address to listen on; port 0 picks a free port.
    pub listen: SocketAddr,
    /// Accelerator memory in bytes.
    pub memory_bytes: u64,
    /// Tier that holds each model's checkpoint: `memory`, `disk` or `remote`.
    pub checkpoints: IndexMap<String, engine::settings::Tier>,
    /// Models loaded at the start, each with its size in bytes.
    pub loaded: IndexMap<String, u64>,
    /// Whether commands with an old fencing token are rejected.
    pub fencing: bool,
    /// Time per token while one request runs, in microseconds.
    pub token_us: u64,
    /// Time that each further running request adds to a token, in microseconds.
    pub slope_us: u64,
    /// Warm-up time after a start, in milliseconds.
    pub fresh_ms: u64,
    /// Concurrent requests during warm-up above which tokens slow down.
    pub fresh_bears: usize,
    /// Time to load a checkpoint from main memory, in milliseconds.
    pub memory_ms: u64,
    /// Time to load a checkpoint from disk, in milliseconds.
    pub disk_ms: u64,
    /// Strings that must not reach the engine; the ledger counts requests that contain one.
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
    /// Converts the settings file to the settings of the stand-in.
    pub fn into_engine(self) -> engine::Settings {
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

/// Settings file of a service stand-in.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceSettings {
    /// Address to listen on; port 0 picks a free port.
    pub listen: SocketAddr,
    /// Processing time of a call, in milliseconds.
    pub work_ms: u64,
    /// Strings that must not reach the service; the ledger counts requests that contain one.
    pub secrets: Vec<String>,
}

impl Default for ServiceSettings {
    fn default() -> Self {
        let listen = SocketAddr::from(([127, 0, 0, 1], 0));
        ServiceSettings { listen, work_ms: 5, secrets: Vec::new() }
    }
}

/// Prints the address to standard output, in the format that scripts and tests parse.
fn print_address(address: SocketAddr) {
    println!("listening {address}");
}

/// Runs the platform's stand-in until a shutdown signal.
pub async fn run_platform(settings: platform::Settings) -> anyhow::Result<()> {
    let server = platform::serve(settings).await.context("failed to start the platform")?;
    print_address(server.running.address);
    shutdown_signal().await?;
    server.running.stop().await;
    Ok(())
}

/// Runs an engine stand-in until a shutdown signal.
pub async fn run_engine(settings: EngineSettings) -> anyhow::Result<()> {
    let running =
        engine::serve(settings.into_engine()).await.context("failed to start the engine")?;
    print_address(running.address());
    shutdown_signal().await?;
    running.stop();
    Ok(())
}

/// Runs a service stand-in until a shutdown signal.
pub async fn run_service(settings: ServiceSettings) -> anyhow::Result<()> {
    let settings = service::Settings {
        listen: settings.listen,
        work_time: Duration::from_millis(settings.work_ms),
        secrets: settings.secrets,
    };
    let running = service::serve(settings).await.context("failed to start the service")?;
    print_address(running.address());
    shutdown_signal().await?;
    running.stop();
    Ok(())
}
