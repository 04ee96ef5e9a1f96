//! Says what a fleet consists of.

use std::fmt::Write;
use std::path::PathBuf;

use anyhow::Result;
use indexmap::IndexMap;

use crate::fleet::Fleet;

/// Bytes of a model in the fleet's register.
const MODEL_BYTES: u64 = 10_000_000_000;
/// Accelerator memory of an engine: room for three models.
const ENGINE_BYTES: u64 = 32_000_000_000;

/// What a fleet consists of.
#[derive(Clone, Debug)]
pub struct Builder {
    /// Folder of the binaries.
    pub binaries: PathBuf,
    /// Number of routers.
    pub routers: usize,
    /// Number of controllers.
    pub controllers: usize,
    /// Number of engines, over zones `z1` to `z4` in turn.
    pub engines: usize,
    /// Number of instances of service `orders`, whose calls may not be repeated.
    pub services: usize,
    /// Number of models, `m1` and on; each has an adapter `m1-a` and so on.
    pub models: usize,
    /// Number of teams, `t1` and on, with one key each.
    pub teams: usize,
    /// Tokens a second of each team.
    pub rate: u64,
    /// Tokens at once of each team.
    pub burst: u64,
    /// Whether engines check fencing tokens: all, or every second one.
    pub fencing: bool,
    /// Rate and burst of single teams, in place of the two above.
    pub limits: IndexMap<String, (u64, u64)>,
    /// Most tokens of a prompt and its output.
    pub context_tokens: u64,
    /// Deadline of a request whose caller sets none, in milliseconds.
    pub deadline_ms: u64,
    /// Further lines for each engine's settings file.
    pub engine_lines: String,
    /// Folder to which the daemons write their histories.
    pub history: Option<PathBuf>,
    /// Whether relays stand between the daemons and the platform, and before each upstream.
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
            history: None,
            relays: false,
        }
    }
}

impl Builder {
    /// Fleets of the binaries in the folder of `binary`, one of them.
    pub fn beside(binary: &str) -> Builder {
        let folder = PathBuf::from(binary);
        let binaries = folder.parent().map(PathBuf::from).unwrap_or_default();
        Builder { binaries, ..Builder::default() }
    }

    /// Starts the fleet; returns once every router is ready.
    pub async fn start(self) -> Result<Fleet> {
        Fleet::start(self).await
    }

    /// The zone of the `number`th instance of a kind, counted from 1.
    pub fn zone(&self, number: usize) -> String {
        format!("z{}", (number - 1) % 4 + 1)
    }

    /// Rate and burst of a team.
    pub fn limit(&self, team: &str) -> (u64, u64) {
        self.limits.get(team).copied().unwrap_or((self.rate, self.burst))
    }

    /// Memory of an engine in bytes.
    pub fn engine_bytes(&self) -> u64 {
        ENGINE_BYTES
    }

    /// Settings of an engine.
    pub(crate) fn engine(&self, number: usize) -> String {
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

    /// Register and rules, with the addresses of the upstreams by name.
    pub(crate) fn register(&self, upstreams: &[(String, String)]) -> String {
        let mut text = String::new();
        for zone in 1..=4 {
            let _ = writeln!(text, "[zones.z{zone}]");
        }
        for (name, address) in upstreams {
            self.upstream(&mut text, name, address);
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
        let orders = upstreams.iter().filter(|(name, _)| name.starts_with("orders-"));
        let names: Vec<String> = orders.map(|(name, _)| format!("\"{name}\"")).collect();
        if !names.is_empty() {
            let _ = writeln!(text, "[services.orders]\nupstreams = [{}]", names.join(", "));
        }
        let _ = writeln!(text, "[rules]\ndeadline_ms = {}\nload_rate = 100.0", self.deadline_ms);
        text
    }

    fn upstream(&self, text: &mut String, name: &str, address: &str) {
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
