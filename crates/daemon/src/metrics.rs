//! Metrics of the daemon, served at the metrics address.

use std::sync::atomic::Ordering;
use std::sync::Arc;

use prometheus_client::collector::Collector;
use prometheus_client::encoding::DescriptorEncoder;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::EncodeMetric;
use prometheus_client::metrics::counter::ConstCounter;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::ConstGauge;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::exponential_buckets;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use crate::state::Shared;

/// Labels of a response to a caller.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct ResponseLabels {
    /// HTTP status sent to the caller.
    pub status: u16,
    /// Origin of the response: `engine`, or the cause of a failure or refusal.
    pub cause: &'static str,
}

/// Labels of an order.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct OrderLabels {
    /// Operation: load or unload, of a model or an adapter.
    pub op: &'static str,
    /// The engine's answer to the order.
    pub answer: &'static str,
}

/// Labels of an accepted load of a model.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct LoadLabels {
    /// What the load is for: missing, replica, remote_replica or copy.
    pub purpose: &'static str,
    /// Where the weights are: near (host memory or disk) or store.
    pub source: &'static str,
}

/// Labels of a call to the platform's API.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct DutyLabels {
    /// Duty: usage or scaling.
    pub duty: &'static str,
    /// Outcome of the call.
    pub outcome: &'static str,
}

/// All metrics of a daemon.
#[derive(Debug)]
pub struct Metrics {
    /// Responses to callers.
    pub responses: Family<ResponseLabels, Counter>,
    /// Seconds from the arrival of a request to the first byte of the response body.
    pub first_byte: Histogram,
    /// Seconds from the arrival of a request to the end of its response.
    pub duration: Histogram,
    /// Retries: requests sent to an engine after the first attempt.
    pub retries: Counter,
    /// Streams that were resumed on another engine.
    pub resumed: Counter,
    /// Orders sent to engines.
    pub orders: Family<OrderLabels, Counter>,
    /// Loads of models that engines accepted.
    pub loads: Family<LoadLabels, Counter>,
    /// Entries of engines that were ignored because a newer one was known.
    pub outdated_entries: Counter,
    /// Prompt tokens of requests sent to engines.
    pub prompt_tokens: Counter,
    /// Those of them that counted as cached by the engine at the choice.
    pub cached_tokens: Counter,
    /// Learned speeds of engines that were sent to other daemons, in reports and digests.
    pub speeds_told: Counter,
    /// Requests in progress.
    pub open_requests: Gauge,
    /// Requests that wait for a place at an engine.
    pub queued_requests: Gauge,
    /// Seconds for which requests waited for a place, of those that had to.
    pub queue_time: Histogram,
    /// Calls to the platform's API.
    pub duty_calls: Family<DutyLabels, Counter>,
    /// Whether this daemon makes these calls, 1 or 0.
    pub duty_holder: Gauge,
    /// Fencing token of this daemon's latest call.
    pub duty_fence: Gauge,
    /// Milliseconds since the latest report of this daemon was accepted; -1 before the first.
    pub usage_age: Gauge,
}

impl Default for Metrics {
    fn default() -> Self {
        // From 1 ms to 16 s; each bound is twice the previous one.
        let seconds = || Histogram::new(exponential_buckets(0.001, 2.0, 15));
        Metrics {
            responses: Family::default(),
            first_byte: seconds(),
            duration: seconds(),
            retries: Counter::default(),
            resumed: Counter::default(),
            orders: Family::default(),
            loads: Family::default(),
            outdated_entries: Counter::default(),
            prompt_tokens: Counter::default(),
            cached_tokens: Counter::default(),
            speeds_told: Counter::default(),
            open_requests: Gauge::default(),
            queued_requests: Gauge::default(),
            queue_time: seconds(),
            duty_calls: Family::default(),
            duty_holder: Gauge::default(),
            duty_fence: Gauge::default(),
            usage_age: Gauge::default(),
        }
    }
}

impl Metrics {
    /// Adds all metrics to `registry`.
    pub fn register(&self, registry: &mut Registry) {
        registry.register("answers", "Answers to callers", self.responses.clone());
        registry.register("first_seconds", "Time to the first byte", self.first_byte.clone());
        registry.register("whole_seconds", "Time to the last byte", self.duration.clone());
        registry.register("retries", "Requests sent once more", self.retries.clone());
        registry.register("resumed", "Streams resumed elsewhere", self.resumed.clone());
        registry.register("orders", "Orders to engines", self.orders.clone());
        registry.register("loads", "Loads of models by purpose", self.loads.clone());
        registry.register(
            "outdated_entries",
            "Entries of engines that were ignored because a newer one was known",
            self.outdated_entries.clone(),
        );
        registry.register("prompt_tokens", "Prompt tokens sent", self.prompt_tokens.clone());
        registry.register(
            "cached_tokens",
            "Prompt tokens sent that counted as cached by the engine",
            self.cached_tokens.clone(),
        );
        registry.register(
            "speeds_told",
            "Learned speeds of engines sent to other daemons",
            self.speeds_told.clone(),
        );
        registry.register("open_requests", "Requests in work", self.open_requests.clone());
        registry.register(
            "queued_requests",
            "Requests that wait for a place at an upstream",
            self.queued_requests.clone(),
        );
        registry.register("queue_seconds", "Waits for a place", self.queue_time.clone());
        registry.register("duty_calls", "Calls to the platform's API", self.duty_calls.clone());
        registry.register(
            "duty_holder",
            "Whether this daemon makes calls to the platform's API",
            self.duty_holder.clone(),
        );
        registry.register(
            "duty_fence",
            "Fencing token of the latest call to the platform's API",
            self.duty_fence.clone(),
        );
        registry.register(
            "usage_age_ms",
            "Time since a usage report of this daemon was accepted, -1 before",
            self.usage_age.clone(),
        );
    }
}

/// Collector that reads the counters of the store's client when the metrics are scraped.
#[derive(Debug)]
pub struct StoreCalls(pub Arc<Shared>);

impl Collector for StoreCalls {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> std::fmt::Result {
        let calls = &self.0.store.calls;
        let totals = [
            ("store_reads", "Reads and feeds sent to the store", &calls.reads),
            ("store_writes", "Writes sent to the store", &calls.writes),
            ("store_failed", "Calls that the store refused or didn't answer", &calls.failed),
            ("store_contradicted", "Responses not believed of the store", &calls.contradicted),
        ];
        for (name, help, total) in totals {
            let counter = ConstCounter::new(total.load(Ordering::Relaxed));
            let metric = encoder.encode_descriptor(name, help, None, counter.metric_type())?;
            counter.encode(metric)?;
        }
        Ok(())
    }
}

/// Collector that reads what is held for callers when the metrics are scraped.
#[derive(Debug)]
pub struct HeldMemory(pub Arc<Shared>);

impl Collector for HeldMemory {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> std::fmt::Result {
        let totals = self.0.memory.totals();
        let connections = i64::try_from(totals.connections).unwrap_or(i64::MAX);
        let held = i64::try_from(totals.held).unwrap_or(i64::MAX);
        for (name, help, value) in [
            ("held_bytes", "Memory that is held for callers", held),
            ("caller_connections", "Open connections of callers", connections),
        ] {
            let gauge = ConstGauge::new(value);
            let metric = encoder.encode_descriptor(name, help, None, gauge.metric_type())?;
            gauge.encode(metric)?;
        }
        let help = "Requests and connections for which memory or connections ran out";
        let counter = ConstCounter::new(0_u64);
        let mut family =
            encoder.encode_descriptor("memory_short", help, None, counter.metric_type())?;
        for (cause, count) in totals.causes {
            let labels = [("cause", cause)];
            let metric = family.encode_family(&labels)?;
            ConstCounter::new(count).encode(metric)?;
        }
        Ok(())
    }
}
