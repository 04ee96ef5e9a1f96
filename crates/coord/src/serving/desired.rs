//! Desired state as applied by daemons: routes, services with their models, teams and limits.

use std::time::Duration;

use indexmap::IndexMap;
use sha2::Digest;
use sha2::Sha256;

/// Shortest time that callers wait for the first event of a stream.
const MIN_FIRST_EVENT_TIMEOUT: Duration = Duration::from_secs(2);

/// SHA-256 of a caller's key. The keys themselves are dropped when the desired state is decoded.
pub type KeyDigest = [u8; 32];

/// Returns the digest of a caller's key.
pub fn digest(secret: &[u8]) -> KeyDigest {
    Sha256::digest(secret).into()
}

/// One revision of the desired state.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Desired {
    /// Revision number; only a higher revision replaces the current one.
    pub revision: u64,
    /// Routes, in arbitrary order.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: IndexMap<String, Service>,
    /// Teams by name; `None` if callers don't authenticate with keys.
    pub teams: Option<IndexMap<String, Team>>,
    /// Team names by the digests of their keys.
    pub keys: IndexMap<KeyDigest, String>,
    /// Limits for callers.
    pub callers: CallerLimits,
}

/// Whether a request may be repeated, and whether its answer is a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Repeat {
    /// May run more than once.
    Idempotent,
    /// Must not run more than once.
    Once,
    /// Answered by an event stream; must not run more than once.
    Stream,
    /// Answered by an event stream that another engine may resume.
    ResumableStream,
}

impl Repeat {
    /// Returns whether a request that may have run can be sent again.
    pub fn may_repeat(self) -> bool {
        matches!(self, Repeat::Idempotent | Repeat::ResumableStream)
    }

    /// Returns whether the answer is an event stream.
    pub fn is_stream(self) -> bool {
        matches!(self, Repeat::Stream | Repeat::ResumableStream)
    }
}

/// Fraction of a route's requests that a service receives.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Split {
    /// Service name.
    pub service: String,
    /// Weight relative to the other splits of the route.
    pub weight: u32,
}

/// Route from a host and path prefix to services.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Route name.
    pub name: String,
    /// Host name of the request, compared without regard to case.
    pub host: String,
    /// Path prefix; starts and ends with a slash.
    pub prefix: String,
    /// Whether a request may be repeated.
    pub repeat: Repeat,
    /// Longest time until a request is answered or refused.
    pub timeout: Duration,
    /// Latency within which an answer has its full value.
    pub latency_target: Duration,
    /// Longest gap between two events of a stream; zero for other answers.
    pub event_gap: Duration,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Services of the route; at least one weight is above zero.
    pub splits: Vec<Split>,
    /// Most engines that a request may be sent to.
    pub attempts: u32,
    /// Whether callers need no key.
    pub public: bool,
}

/// Group of upstreams that serve the same requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Most connections that one upstream accepts from the whole fleet.
    pub connections: u32,
    /// Requests per second that a cold upstream accepts from the whole fleet.
    pub cold_rate: f64,
    /// Parameters of the engines, if the service consists of model engines.
    pub engine: Option<EngineSpec>,
    /// Limits of the number of engines, if that may be changed.
    pub scaling: Option<ScalingSpec>,
}

/// Limits of the number of a service's engines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ScalingSpec {
    /// Least number of engines in a zone.
    pub min: u32,
    /// Largest number of engines in a zone, at least `min`.
    pub max: u32,
    /// Time from the order of an engine until it serves.
    pub boot: Duration,
}

/// Parameters that all engines of a service have in common.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// Most requests that an engine runs concurrently.
    pub slots: u32,
    /// KV-cache capacity in tokens, shared by running requests and cached prompts.
    pub tokens: u64,
    /// Accelerator memory for weights and adapters, in megabytes.
    pub memory_mb: f64,
    /// Most adapters that an engine holds.
    pub adapter_slots: u32,
    /// Loads per second that the weight store allows for all engines together.
    pub load_rate: f64,
    /// Host memory for cached weights, in megabytes.
    pub host_mb: f64,
    /// Disk space for cached weights, in megabytes.
    pub disk_mb: f64,
    /// Models by name.
    pub models: IndexMap<String, ModelSpec>,
}

/// Model that engines can load.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelSpec {
    /// Size of the weights, in megabytes.
    pub size_mb: f64,
    /// Load times from the weight store, from disk and from host memory.
    pub times: LoadTimes,
    /// Size of one adapter, in megabytes.
    pub adapter_mb: f64,
}

/// Load times by the location of the weights.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadTimes {
    /// From the weight store.
    pub remote: Duration,
    /// From the engine's disk.
    pub disk: Duration,
    /// From the engine's host memory.
    pub memory: Duration,
}

impl LoadTimes {
    /// Returns the shortest load time.
    pub fn shortest(&self) -> Duration {
        self.remote.min(self.disk).min(self.memory)
    }
}

/// Team of callers.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    /// Priority that overrides the route's.
    pub priority: Option<u8>,
    /// Rate limit over the whole fleet; `None` if the team is unlimited.
    pub cap: Option<Cap>,
    /// Tokens charged for a request without a token count.
    pub plain_tokens: u64,
}

/// Parameters of a token bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cap {
    /// Refill rate in tokens per second.
    pub rate: f64,
    /// Capacity in tokens.
    pub burst: f64,
}

/// Limits on what callers may send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Largest request head, in bytes.
    pub head_bytes: usize,
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Longest time that a connection may stay idle.
    pub idle: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        // Requests are refused until a desired state is known, so the defaults only bound memory.
        CallerLimits { head_bytes: 16_384, body_bytes: 1_048_576, idle: Duration::from_secs(15) }
    }
}

impl Desired {
    /// Returns the route of `host` with the longest prefix that matches `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let is_match = |route: &&Route| {
            route.host.eq_ignore_ascii_case(host) && path.starts_with(&route.prefix)
        };
        self.routes.iter().filter(is_match).max_by_key(|route| route.prefix.len())
    }

    /// Returns the name of the team that a key belongs to.
    pub fn team_for_key(&self, secret: &[u8]) -> Option<&str> {
        self.keys.get(&digest(secret)).map(String::as_str)
    }

    /// Returns a team by name.
    pub fn team(&self, name: &str) -> Option<&Team> {
        self.teams.as_ref()?.get(name)
    }
}

impl Route {
    /// Returns how long callers wait for the first event of a stream before they give up; `None` if
    /// the answer is no stream. By the platform's contract it is the longest of two seconds, four
    /// latency targets and eight event gaps.
    pub fn first_event_timeout(&self) -> Option<Duration> {
        let longest = MIN_FIRST_EVENT_TIMEOUT.max(self.latency_target * 4).max(self.event_gap * 8);
        self.repeat.is_stream().then_some(longest)
    }

    /// Returns the service for a request; the same `seed` always selects the same service.
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
