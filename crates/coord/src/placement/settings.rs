//! Settings of the planner.

use std::time::Duration;

use super::keep_alive::KeepAliveRule;

/// Settings of [`super::Planner`].
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Loads a second that the weight store allows.
    pub store_rate: f64,
    /// Loads at once that the weight store allows.
    pub store_inflight: usize,
    /// Adapter loads at once over the fleet.
    pub adapter_inflight: usize,
    /// Wait of a new home before its first adapter load, so that its predecessor's have ended.
    pub adapter_settle: Duration,
    /// Wait before an order without effect is repeated.
    pub order_retry: Duration,
    /// Load orders without effect after which a replica is given up.
    pub order_tries: u32,
    /// Longest time between looks at an upstream that loads or unloads.
    pub watch_busy: Duration,
    /// Time between looks at any other upstream.
    pub watch_idle: Duration,
    /// How long an upstream may leave questions unanswered before its replicas are replaced.
    pub silence: Duration,
    /// Time that an upstream takes to unload.
    pub unload_time: Duration,
    /// How long a wake counts without being repeated.
    pub wake_life: Duration,
    /// How long a refused model stays away from the upstream that refused it.
    pub avoid: Duration,
    /// Requests that one replica runs at once.
    pub slots: u32,
    /// Time that one request takes.
    pub service: Duration,
    /// How long a replica beyond the first stays without being needed.
    pub extra_keep: Duration,
    /// How long a replica on a drained upstream waits for running requests to end.
    pub drain_grace: Duration,
    /// The operators' keep-alive rule.
    pub keep_alive: KeepAliveRule,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            store_rate: 2.0,
            store_inflight: 4,
            adapter_inflight: 32,
            adapter_settle: Duration::from_secs(1),
            order_retry: Duration::from_secs(1),
            order_tries: 3,
            watch_busy: Duration::from_millis(500),
            watch_idle: Duration::from_secs(3),
            silence: Duration::from_secs(3),
            unload_time: Duration::from_millis(500),
            wake_life: Duration::from_secs(5),
            avoid: Duration::from_secs(30),
            slots: 8,
            service: Duration::from_secs(2),
            extra_keep: Duration::from_secs(60),
            drain_grace: Duration::from_secs(600),
            keep_alive: KeepAliveRule::default(),
        }
    }
}
