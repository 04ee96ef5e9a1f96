//! Settings of the planner.

use std::time::Duration;

use super::keep_alive::KeepAliveRule;

/// Settings of [`super::Planner`].
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Load starts per second that the weight store allows.
    pub store_rate: f64,
    /// Concurrent loads that the weight store allows.
    pub store_inflight: usize,
    /// Concurrent adapter loads over the whole fleet.
    pub adapter_inflight: usize,
    /// Delay before a new home's first adapter load, so that its predecessor's loads have ended.
    pub adapter_delay: Duration,
    /// Minimum time between two orders for the same replica.
    pub order_retry: Duration,
    /// Number of load orders without effect after which a replica is given up.
    pub order_attempts: u32,
    /// Longest time between probes of an upstream that is loading or unloading.
    pub busy_interval: Duration,
    /// Time between probes of any other upstream.
    pub idle_interval: Duration,
    /// How long probes of an upstream may fail before its replicas are replaced.
    pub probe_grace: Duration,
    /// Time that an upstream takes to unload.
    pub unload_time: Duration,
    /// How long a demand report counts if it isn't repeated.
    pub report_ttl: Duration,
    /// How long a replica isn't placed again after its load failed or was rejected.
    pub load_backoff: Duration,
    /// Number of requests that one replica runs at once.
    pub replica_slots: u32,
    /// Expected run time of a request.
    pub service_time: Duration,
    /// How long a surplus replica of a busy model stays loaded.
    pub surplus_grace: Duration,
    /// How long a replica on a drained or leaving upstream waits for running requests to end.
    pub drain_grace: Duration,
    /// Rule that says how long an idle replica stays loaded.
    pub keep_alive: KeepAliveRule,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            store_rate: 2.0,
            store_inflight: 4,
            adapter_inflight: 32,
            adapter_delay: Duration::from_secs(1),
            order_retry: Duration::from_secs(1),
            order_attempts: 3,
            busy_interval: Duration::from_millis(500),
            idle_interval: Duration::from_secs(3),
            probe_grace: Duration::from_secs(3),
            unload_time: Duration::from_millis(500),
            report_ttl: Duration::from_secs(5),
            load_backoff: Duration::from_secs(30),
            replica_slots: 8,
            service_time: Duration::from_secs(2),
            surplus_grace: Duration::from_secs(60),
            drain_grace: Duration::from_secs(600),
            keep_alive: KeepAliveRule::default(),
        }
    }
}
