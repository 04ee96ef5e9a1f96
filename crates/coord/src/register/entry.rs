//! The kinds of entries and their fields, as stored and written in TOML.

use indexmap::IndexSet;
use serde::de::DeserializeOwned;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use super::Address;
use super::Error;
use super::Kind;
use super::Result;

/// An availability zone.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Zone {
    /// Whether operators drained the zone, so that it gets no new work.
    pub drained: bool,
}

/// What runs at an upstream.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamKind {
    /// A model engine.
    #[default]
    Engine,
    /// An instance of a plain service.
    Service,
}

/// Capacity for cached checkpoints on an upstream, by tier.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Checkpoints {
    /// Bytes in host memory.
    pub memory_bytes: u64,
    /// Bytes on disk.
    pub disk_bytes: u64,
}

/// A model engine or an instance of a plain service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Upstream {
    /// Availability zone.
    pub zone: String,
    /// Address as `ip:port`.
    pub address: String,
    /// Whether this is a model engine or a service instance.
    pub kind: UpstreamKind,
    /// Accelerator memory in bytes; engines only.
    pub memory_bytes: u64,
    /// Whether the upstream rejects orders with an outdated fencing token.
    pub fencing: bool,
    /// Maximum concurrent requests once warmed up.
    pub max_running: u32,
    /// Maximum concurrent requests right after the start.
    pub fresh_running: u32,
    /// Capacity for cached checkpoints.
    pub checkpoints: Checkpoints,
}

impl Default for Upstream {
    fn default() -> Self {
        Upstream {
            zone: String::new(),
            address: String::new(),
            kind: UpstreamKind::Engine,
            memory_bytes: 0,
            fencing: false,
            max_running: 32,
            fresh_running: 2,
            checkpoints: Checkpoints::default(),
        }
    }
}

/// Load time of a model in milliseconds, by the tier that holds its checkpoint.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct StartMs {
    /// From host memory.
    pub memory: u64,
    /// From disk.
    pub disk: u64,
    /// From the weight store.
    pub remote: u64,
}

impl Default for StartMs {
    fn default() -> Self {
        StartMs { memory: 800, disk: 4_000, remote: 20_000 }
    }
}

/// A base model.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Model {
    /// Accelerator memory of a replica, in bytes.
    pub bytes: u64,
    /// Name of the tokenizer object, to count prompt tokens exactly; `None` to bound them by size.
    pub tokenizer: Option<String>,
    /// Minimum prompt bytes per token. Required without a tokenizer.
    pub bytes_per_token: Option<f64>,
    /// Maximum tokens of prompt and output together.
    pub context_tokens: u64,
    /// Maximum output tokens.
    pub output_tokens: u64,
    /// Load times, by checkpoint tier.
    pub start_ms: StartMs,
}

impl Default for Model {
    fn default() -> Self {
        Model {
            bytes: 0,
            tokenizer: None,
            bytes_per_token: None,
            context_tokens: 4096,
            output_tokens: 1024,
            start_ms: StartMs::default(),
        }
    }
}

impl Model {
    /// Upper bound for the tokens of a prompt of `bytes` bytes.
    pub fn prompt_bound(&self, bytes: u64) -> u64 {
        let floor = self.bytes_per_token.filter(|floor| *floor > 0.0).unwrap_or(1.0);
        (bytes as f64 / floor).ceil() as u64
    }
}

/// An adapter of a base model.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Adapter {
    /// Name of the base model.
    pub model: String,
    /// Accelerator memory in bytes, in addition to the base model.
    pub bytes: u64,
}

/// A team and its limits, which apply to the whole fleet.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Team {
    /// Tokens per second.
    pub rate: f64,
    /// Maximum number of tokens that may be spent at once.
    pub burst: u64,
    /// Share of contended capacity, relative to the other teams' weights.
    pub weight: f64,
}

impl Default for Team {
    fn default() -> Self {
        Team { rate: 0.0, burst: 0, weight: 1.0 }
    }
}

/// An API key, of which only the digest is stored.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct ApiKey {
    /// Team of the callers that present the key.
    pub team: String,
    /// SHA-256 digest of the secret, in hexadecimal.
    pub digest: String,
    /// Whether the key was revoked, which is permanent.
    pub revoked: bool,
}

/// A plain service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Service {
    /// Names of the upstreams that run the service.
    pub upstreams: IndexSet<String>,
    /// Whether calls may be retried.
    pub repeatable: bool,
    /// Whether callers without a key may use the service.
    pub open: bool,
    /// Maximum size of a request body in bytes.
    pub body_bytes: u64,
}

impl Default for Service {
    fn default() -> Self {
        Service { upstreams: IndexSet::new(), repeatable: false, open: false, body_bytes: 65_536 }
    }
}

/// Resources that a team may use. The name `*` grants all of a kind.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Grant {
    /// Names of models.
    pub models: IndexSet<String>,
    /// Names of adapters.
    pub adapters: IndexSet<String>,
    /// Names of plain services.
    pub services: IndexSet<String>,
}

/// Settings for the whole fleet.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Rules {
    /// Default deadline of a request, in milliseconds.
    pub deadline_ms: u64,
    /// Maximum deadline that a caller may set, in milliseconds.
    pub longest_ms: u64,
    /// Idle accelerator seconds that are worth one second of cold start saved for a caller.
    pub idle_worth: f64,
    /// Seconds without the platform's store after which requests with limits are refused.
    pub outage_s: u64,
    /// Loads from the weight store per second.
    pub load_rate: f64,
    /// Maximum concurrent loads from the weight store.
    pub load_inflight: u32,
    /// Maximum concurrent adapter loads in the fleet.
    pub adapter_inflight: u32,
}

impl Default for Rules {
    fn default() -> Self {
        Rules {
            deadline_ms: 30_000,
            longest_ms: 300_000,
            idle_worth: 20.0,
            outage_s: 600,
            load_rate: 2.0,
            load_inflight: 4,
            adapter_inflight: 32,
        }
    }
}

/// An entry of any kind.
#[derive(Clone, Debug, PartialEq)]
pub enum Entry {
    /// An availability zone.
    Zone(Zone),
    /// An upstream.
    Upstream(Upstream),
    /// A base model.
    Model(Model),
    /// An adapter.
    Adapter(Adapter),
    /// A team.
    Team(Team),
    /// An API key.
    Key(ApiKey),
    /// A plain service.
    Service(Service),
    /// Resources that a team may use.
    Grant(Grant),
    /// Settings for the whole fleet.
    Rules(Rules),
}

impl Entry {
    /// The entry's fields as JSON, without its kind.
    pub fn to_value(&self) -> Value {
        let value = match self {
            Entry::Zone(zone) => serde_json::to_value(zone),
            Entry::Upstream(upstream) => serde_json::to_value(upstream),
            Entry::Model(model) => serde_json::to_value(model),
            Entry::Adapter(adapter) => serde_json::to_value(adapter),
            Entry::Team(team) => serde_json::to_value(team),
            Entry::Key(key) => serde_json::to_value(key),
            Entry::Service(service) => serde_json::to_value(service),
            Entry::Grant(grant) => serde_json::to_value(grant),
            Entry::Rules(rules) => serde_json::to_value(rules),
        };
        // Entries contain only numbers, strings, lists and string-keyed maps, all valid in JSON.
        value.unwrap_or(Value::Null)
    }

    /// Decodes the entry at `address` from its fields. Unknown fields, as a newer version writes
    /// them, are ignored.
    pub fn from_value(address: &Address, value: Value) -> Result<Entry> {
        fn decode<T: DeserializeOwned>(address: &Address, value: Value) -> Result<T> {
            serde_json::from_value(value).map_err(|error| Error::Entry {
                address: address.to_string(),
                cause: error.to_string(),
            })
        }
        Ok(match address.kind {
            Kind::Zone => Entry::Zone(decode(address, value)?),
            Kind::Upstream => Entry::Upstream(decode(address, value)?),
            Kind::Model => Entry::Model(decode(address, value)?),
            Kind::Adapter => Entry::Adapter(decode(address, value)?),
            Kind::Team => Entry::Team(decode(address, value)?),
            Kind::Key => Entry::Key(decode(address, value)?),
            Kind::Service => Entry::Service(decode(address, value)?),
            Kind::Grant => Entry::Grant(decode(address, value)?),
            Kind::Rules => Entry::Rules(decode(address, value)?),
        })
    }
}
