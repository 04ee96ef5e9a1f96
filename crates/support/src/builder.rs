//! Configures the processes of a fleet.

use std::fmt::Write;
use std::path::PathBuf;

use anyhow::Result;
use indexmap::IndexMap;

use crate::fleet::Fleet;

/// Memory of each model in the register, in bytes.
const MODEL_BYTES: u64 = 10_000_000_000;
/// Accelerator memory of each engine in bytes; fits three models.
const ENGINE_BYTES: u64 = 32_000_000_000;

/// Configuration of a fleet.
#[derive(Clone, Debug)]
pub struct Builder {
    /// Directory of the binaries.
    pub binaries: PathBuf,
    /// Number of routers.
    pub routers: usize,
    /// Number of controllers.
    pub controllers: usize,
    /// Number of engines, assigned to zones `z1` to `z4` round-robin.
    pub engines: usize,
    /// Number of instances of the service `orders`, whose calls aren't idempotent.
    pub services: usize,
    /// Number of models, named `m1`, `m2`, ...; each has one adapter, named `m1-a`, `m2-a`, ...
    pub models: usize,
    /// Number of teams, named `t1`, `t2`, ..., each with one key.
    pub teams: usize,
    /// Default rate of a team in tokens per second.
    pub rate: u64,
    /// Default burst of a team in tokens.
    pub burst: u64,
    /// Whether all engines check fencing tokens; if false, only those with an even number do.
    pub fencing: bool,
    /// Rate and burst by team, in place of the defaults.
    pub limits: IndexMap<String, (u64, u64)>,
    /// Maximum tokens of a prompt and its output together.
    pub context_tokens: u64,
    /// Default request deadline in milliseconds.
    pub deadline_ms: u64,
    /// TOML lines added to each engine's settings file.
    pub engine_lines: String,
    /// TOML lines added to each router's settings file.
    pub router_lines: String,
    /// TOML lines added to the service `orders` of the register.
    pub service_lines: String,
    /// Directory for the daemons' history files; absent to record none.
    pub history: Option<PathBuf>,
    /// Whether to connect daemons to the platform, and upstreams to their clients, through relays.
    pub relays: bool,
}

impl Default for Builder {
    fn default() -> Self {
        Builder {
            binaries: PathBuf::new(),
            routers: 3,
            controllers: 2,
            engines: 2,
            services: 1,
            models: 3,
            teams: 2,
            rate: 100_000,
            burst: 200_000,
            fencing: true,
            limits: IndexMap::new(),
            context_tokens: 4096,
            deadline_ms: 20_000,
            engine_lines: String::new(),
            router_lines: String::new(),
            service_lines: String::new(),
            history: None,
            relays: false,
        }
    }
}

impl Builder {
    /// Creates a builder that takes all binaries from the directory of `binary`.
    pub fn beside(binary: &str) -> Builder {
        let folder = PathBuf::from(binary);
        let binaries = folder.parent().map(PathBuf::from).unwrap_or_default();
        Builder { binaries, ..Builder::default() }
    }

    /// Starts the fleet and waits until every router is ready.
    ///
    /// # Errors
    ///
    /// Fails if a process doesn't start or a router isn't ready in time.
    pub async fn start(self) -> Result<Fleet> {
        Fleet::start(self).await
    }

    /// Zone of the instance with this number, counted from 1 for each kind.
    pub fn zone(&self, number: usize) -> String {
        format!("z{}", (number - 1) % 4 + 1)
    }

    /// Rate in tokens per second and burst in tokens of a team.
    pub fn limit(&self, team: &str) -> (u64, u64) {
        self.limits.get(team).copied().unwrap_or((self.rate, self.burst))
    }

    /// Accelerator memory of each engine in bytes.
    pub fn engine_bytes(&self) -> u64 {
        ENGINE_BYTES
    }

    /// Settings file of an engine, in TOML.
    pub(crate) fn engine_settings(&self, number: usize) -> String {
        let fencing = self.fencing || number.is_multiple_of(2);
        let mut text = format!("memory_bytes = {ENGINE_BYTES}\nfencing = {fencing}\n");
        text.push_str(&self.engine_lines);
        text.push_str("[checkpoints]\n");
        for model in 1..=self.models {
            let tier = ["memory", "disk"][(model + number) % 2];
            let _ = writeln!(text, "m{model} = \"{tier}\"");
        }
        text
    }

    /// Register and rules in TOML; `upstreams` has their names and addresses.
    pub(crate) fn register(&self, upstreams: &[(String, String)]) -> String {
        let mut text = String::new();
        for zone in 1..=4 {
            let _ = writeln!(text, "[zones.z{zone}]");
        }
        for (name, address) in upstreams {
            self.write_upstream(&mut text, name, address);
        }
        let context = self.context_tokens;
        for model in 1..=self.models {
            let _ = writeln!(
                text,
                "[models.m{model}]\nbytes = {MODEL_BYTES}\nbytes_per_token = 2.0\n\
                 context_tokens = {context}\n[models.m{model}.start_ms]\nmemory = 100\ndisk = 400\n\
                 remote = 1000\n[adapters.m{model}-a]\nmodel = \"m{model}\"\nbytes = 1000000"
            );
        }
        for team in 1..=self.teams {
            let (rate, burst) = self.limit(&format!("t{team}"));
            let _ = writeln!(
                text,
                "[teams.t{team}]\nrate = {rate}\nburst = {burst}\n[grants.t{team}]\nmodels = [\"*\"]\n\
                 adapters = [\"*\"]\nservices = [\"*\"]"
            );
        }
        let services = upstreams.iter().filter(|(name, _)| name.starts_with("orders-"));
        let names: Vec<String> = services.map(|(name, _)| format!("\"{name}\"")).collect();
        if !names.is_empty() {
            let _ = writeln!(text, "[services.orders]\nupstreams = [{}]", names.join(", "));
            text.push_str(&self.service_lines);
        }
        let _ = writeln!(text, "[rules]\ndeadline_ms = {}\nload_rate = 100.0", self.deadline_ms);
        text
    }

    fn write_upstream(&self, text: &mut String, name: &str, address: &str) {
        let number = name.rsplit('-').next().and_then(|n| n.parse().ok()).unwrap_or(1);
        let zone = self.zone(number);
        let _ = writeln!(text, "[upstreams.{name}]\nzone = \"{zone}\"\naddress = \"{address}\"");
        if name.starts_with("engine-") {
            let fencing = self.fencing || number.is_multiple_of(2);
            let _ = writeln!(text, "memory_bytes = {ENGINE_BYTES}\nfencing = {fencing}");
        } else {
            let _ = writeln!(text, "kind = \"service\"");
        }
    }
}
