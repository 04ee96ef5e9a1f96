//! The entries and their fields.

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
    /// Whether operators took it out: it gets no new work.
    pub drained: bool,
}

/// What an upstream is.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamKind {
    /// A model engine.
    #[default]
    Engine,
    /// An instance of a plain service.
    Service,
}

/// Room for checkpoints on an upstream, by tier.
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
    /// What it is.
    pub kind: UpstreamKind,
    /// Accelerator memory in bytes; engines only.
    pub memory_bytes: u64,
    /// Whether it refuses orders with an old fencing token.
    pub fencing: bool,
    /// Requests it bears at once when warm.
    pub max_running: u32,
    /// Requests it bears at once when fresh.
    pub fresh_running: u32,
    /// Room for checkpoints.
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

/// Milliseconds until a model is loaded, by the tier its checkpoint is in.
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
    /// Bytes of accelerator memory that a replica takes.
    pub bytes: u64,
    /// Name of its tokenizer's object, where prompts are counted exactly.
    pub tokenizer: Option<String>,
    /// Least bytes of prompt a token stands for, where no tokenizer is named.
    pub bytes_per_token: Option<f64>,
    /// Most tokens of prompt and output together.
    pub context_tokens: u64,
    /// Most tokens of output.
    pub output_tokens: u64,
    /// Time of a cold start.
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
    /// Most tokens that a prompt of `bytes` bytes can have.
    pub fn prompt_bound(&self, bytes: u64) -> u64 {
        let floor = self.bytes_per_token.filter(|floor| *floor > 0.0).unwrap_or(1.0);
        (bytes as f64 / floor).ceil() as u64
    }
}

/// An adapter of a base model.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Adapter {
    /// Its base model.
    pub model: String,
    /// Bytes of accelerator memory beside its base model.
    pub bytes: u64,
}

/// A team and its limits over all instances together.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Team {
    /// Tokens a second.
    pub rate: f64,
    /// Tokens at once.
    pub burst: u64,
    /// Share of contended capacity, against the other teams' weights.
    pub weight: f64,
}

impl Default for Team {
    fn default() -> Self {
        Team { rate: 0.0, burst: 0, weight: 1.0 }
    }
}

/// A caller's key, of which only the digest is kept.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct ApiKey {
    /// Team of the callers that show it.
    pub team: String,
    /// SHA-256 of the secret in hexadecimal.
    pub digest: String,
    /// Whether it was withdrawn; for good.
    pub revoked: bool,
}

/// A plain service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Service {
    /// Upstreams that run it.
    pub upstreams: IndexSet<String>,
    /// Whether a call may be sent again.
    pub repeatable: bool,
    /// Whether callers without a key may use it.
    pub open: bool,
    /// Largest request body in bytes.
    pub body_bytes: u64,
}

impl Default for Service {
    fn default() -> Self {
        Service { upstreams: IndexSet::new(), repeatable: false, open: false, body_bytes: 65_536 }
    }
}

/// What a team may use; the name `*` stands for all.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Grant {
    /// Models.
    pub models: IndexSet<String>,
    /// Adapters.
    pub adapters: IndexSet<String>,
    /// Plain services.
    pub services: IndexSet<String>,
}

/// Rules for the whole fleet.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Rules {
    /// Deadline of a request whose caller sets none, in milliseconds.
    pub deadline_ms: u64,
    /// Longest deadline a caller may set, in milliseconds.
    pub longest_ms: u64,
    /// Idle accelerator seconds worth spending to save a caller one second of cold start.
    pub idle_worth: f64,
    /// Seconds without the platform's store after which nothing limited is served.
    pub outage_s: u64,
    /// Loads from the weight store a second.
    pub load_rate: f64,
    /// Loads from the weight store at once.
    pub load_inflight: u32,
    /// Adapter loads at once over the fleet.
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
    /// A caller's key.
    Key(ApiKey),
    /// A plain service.
    Service(Service),
    /// What a team may use.
    Grant(Grant),
    /// Rules for the whole fleet.
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
        // Entries hold numbers, strings, lists and string-keyed maps only, which JSON can hold.
        value.unwrap_or(Value::Null)
    }

    /// The entry at `address` from its fields. Fields of a newer version are passed over.
    pub fn from_value(address: &Address, value: Value) -> Result<Entry> {
        fn read<T: DeserializeOwned>(address: &Address, value: Value) -> Result<T> {
            serde_json::from_value(value).map_err(|error| Error::Entry {
                address: address.to_string(),
                cause: error.to_string(),
            })
        }
        Ok(match address.kind {
            Kind::Zone => Entry::Zone(read(address, value)?),
            Kind::Upstream => Entry::Upstream(read(address, value)?),
            Kind::Model => Entry::Model(read(address, value)?),
            Kind::Adapter => Entry::Adapter(read(address, value)?),
            Kind::Team => Entry::Team(read(address, value)?),
            Kind::Key => Entry::Key(read(address, value)?),
            Kind::Service => Entry::Service(read(address, value)?),
            Kind::Grant => Entry::Grant(read(address, value)?),
            Kind::Rules => Entry::Rules(read(address, value)?),
        })
    }
}
