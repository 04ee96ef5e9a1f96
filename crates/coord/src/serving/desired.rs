//! The desired state as daemons act on it: routes, services with their models, teams, limits.

use std::time::Duration;

use indexmap::IndexMap;
use sha2::Digest;
use sha2::Sha256;

/// Least time that callers wait for the first event of a stream.
const MIN_FIRST_EVENT_TIMEOUT: Duration = Duration::from_secs(2);

/// SHA-256 of a caller's key; secrets are dropped once the desired state is read.
pub type KeyDigest = [u8; 32];

/// The digest under which a caller's key is looked up.
pub fn digest(secret: &[u8]) -> KeyDigest {
    Sha256::digest(secret).into()
}

/// One revision of the desired state.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Desired {
    /// Revision; only a higher one replaces it.
    pub revision: u64,
    /// Routes, in no order that matters.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: IndexMap<String, Service>,
    /// Teams; `None` where callers show no key at all.
    pub teams: Option<IndexMap<String, Team>>,
    /// Name of the team that holds each key.
    pub keys: IndexMap<KeyDigest, String>,
    /// What a caller may send and how long it may take.
    pub callers: CallerLimits,
}

/// How often a request may run, and how its answer comes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Repeat {
    /// May run more than once.
    Idempotent,
    /// Runs once at most.
    Once,
    /// A stream of events that runs once at most.
    Stream,
    /// A stream of events that may go on at another engine.
    ResumableStream,
}

impl Repeat {
    /// Whether a request whose run is uncertain may be sent again.
    pub fn may_repeat(self) -> bool {
        matches!(self, Repeat::Idempotent | Repeat::ResumableStream)
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Repeat::Stream | Repeat::ResumableStream)
    }
}

/// A service's part of a route's requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Split {
    /// Service name.
    pub service: String,
    /// Weight among the splits of the route.
    pub weight: u32,
}

/// Which requests go to which service, and how.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Route name.
    pub name: String,
    /// Host that the caller asked for.
    pub host: String,
    /// Beginning of the path; starts and ends with a slash.
    pub prefix: String,
    /// How often a request may run.
    pub repeat: Repeat,
    /// Longest time for which a request is kept waiting.
    pub limit: Duration,
    /// Time within which an answer is worth most.
    pub latency_target: Duration,
    /// Longest pause between two events of a stream; zero for other answers.
    pub event_gap: Duration,
    /// Urgency; 0 is the most urgent.
    pub rank: u8,
    /// Services, with at least one weight above zero.
    pub splits: Vec<Split>,
    /// Most engines that one request is sent to.
    pub attempts: u32,
    /// Whether callers need no key.
    pub public: bool,
}

/// A group of upstreams that answer the same requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Most connections that one upstream accepts from the whole fleet.
    pub connections: u32,
    /// Requests a second that a cold upstream bears, from the whole fleet.
    pub cold_rate: f64,
    /// What the engines hold, for a service of model engines.
    pub engine: Option<EngineSpec>,
}

/// What all engines of a service have in common.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// Requests that run at once.
    pub slots: u32,
    /// Tokens that the prompts kept and running hold at most.
    pub tokens: u64,
    /// Accelerator memory for weights and adapters, in megabytes.
    pub memory_mb: f64,
    /// Adapters that an engine holds at most.
    pub adapter_slots: u32,
    /// Loads a second that the weight store allows over all engines.
    pub load_rate: f64,
    /// Memory for copies of weights outside the accelerator, in megabytes.
    pub host_mb: f64,
    /// Disk for copies of weights, in megabytes.
    pub disk_mb: f64,
    /// Models by name.
    pub models: IndexMap<String, ModelSpec>,
}

/// A model that engines can be ordered to load.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelSpec {
    /// Size of the weights, in megabytes.
    pub size_mb: f64,
    /// Load time from the weight store, from disk and from memory.
    pub times: LoadTimes,
    /// Size of one adapter, in megabytes.
    pub adapter_mb: f64,
}

/// How long a load takes, by where the weights lie.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadTimes {
    /// From the weight store.
    pub remote: Duration,
    /// From the engine's disk.
    pub disk: Duration,
    /// From the engine's host memory.
    pub memory: Duration,
}

/// A team of callers.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    /// Urgency that goes before the route's.
    pub rank: Option<u8>,
    /// Cap over the whole fleet; `None` means no limit.
    pub cap: Option<Cap>,
    /// What a request without a token count counts as.
    pub plain_tokens: u64,
}

/// A token bucket's measures.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cap {
    /// Tokens gained a second.
    pub rate: f64,
    /// Most tokens that the bucket holds.
    pub burst: f64,
}

/// What a caller may send and how long it may take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Largest request head, in bytes.
    pub head_bytes: usize,
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Time for which a connection may stay idle.
    pub idle: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        // Until a desired state is known every request is refused, so these only bound memory.
        CallerLimits { head_bytes: 16_384, body_bytes: 1_048_576, idle: Duration::from_secs(15) }
    }
}

impl Desired {
    /// The route of `host` whose prefix is the longest that begins `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let is_match = |route: &&Route| {
            route.host.eq_ignore_ascii_case(host) && path.starts_with(&route.prefix)
        };
        self.routes.iter().filter(is_match).max_by_key(|route| route.prefix.len())
    }

    /// The name of the team that holds a key.
    pub fn team_for_key(&self, secret: &[u8]) -> Option<&str> {
        self.keys.get(&digest(secret)).map(String::as_str)
    }

    /// A team by name.
    pub fn team(&self, name: &str) -> Option<&Team> {
        self.teams.as_ref()?.get(name)
    }
}

impl Route {
    /// How long callers wait for the first event of a stream before they give it up, by the
    /// platform's contract: two seconds, four objectives or eight pauses.
    pub fn first_event_timeout(&self) -> Option<Duration> {
        let longest = MIN_FIRST_EVENT_TIMEOUT.max(self.latency_target * 4).max(self.event_gap * 8);
        self.repeat.is_stream().then_some(longest)
    }

    /// The service that a request goes to; the same `seed` always gets the same one.
    pub fn service(&self, seed: u64) -> Option<&str> {
        let total: u64 = self.splits.iter().map(|split| u64::from(split.weight)).sum();
        let mut remaining = seed.checked_rem(total)?;
        for split in &self.splits {
            let weight = u64::from(split.weight);
            if remaining < weight {
                return Some(&split.service);
            }
            remaining -= weight;
        }
        None
    }
}
