//! Metrics of a daemon's control traffic: bytes to and from peers, accesses to the platform.

use std::sync::Arc;

use corianderyoke_platform::http::HttpPlatform;
use prometheus_client::collector::Collector;
use prometheus_client::encoding::DescriptorEncoder;
use prometheus_client::encoding::EncodeMetric;
use prometheus_client::metrics::counter::ConstCounter;

use crate::agent::Agent;

/// Collects the totals when the metrics are scraped.
///
/// The peers' totals restart from zero when a removed member rejoins, since it gets a new
/// transport.
pub struct Traffic {
    agent: Arc<Agent>,
    platform: Arc<HttpPlatform>,
}

impl Traffic {
    /// Creates the collector for an agent and its platform client.
    pub fn new(agent: Arc<Agent>, platform: Arc<HttpPlatform>) -> Traffic {
        Traffic { agent, platform }
    }
}

impl std::fmt::Debug for Traffic {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Traffic").finish_non_exhaustive()
    }
}

impl Collector for Traffic {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> std::fmt::Result {
        let peers = self.agent.transport.read().as_ref().map(|transport| transport.traffic());
        let peers = peers.unwrap_or_default();
        let platform = self.platform.traffic();
        let totals = [
            ("peer_sent_bytes", "bytes sent to peers", peers.sent),
            ("peer_received_bytes", "bytes received from peers", peers.received),
            ("peer_calls", "calls made of peers", peers.calls),
            ("platform_reads", "reads of the platform", platform.reads),
            ("platform_writes", "writes to the platform", platform.writes),
            ("platform_sent_bytes", "bytes of requests to the platform", platform.sent),
            ("platform_received_bytes", "bytes of the platform's answers", platform.received),
        ];
        for (name, help, total) in totals {
            let counter = ConstCounter::new(total);
            let metric = encoder.encode_descriptor(name, help, None, counter.metric_type())?;
            counter.encode(metric)?;
        }
        Ok(())
    }
}
