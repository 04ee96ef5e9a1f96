//! Counters and histograms, served at the metrics address.

use std::sync::atomic::Ordering;
use std::sync::Arc;

use prometheus_client::collector::Collector;
use prometheus_client::encoding::DescriptorEncoder;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::EncodeMetric;
use prometheus_client::metrics::counter::ConstCounter;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::exponential_buckets;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use crate::state::Shared;

/// Labels of an answered request.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct AnswerLabels {
    /// Status towards the caller.
    pub status: u16,
    /// Why that status.
    pub cause: &'static str,
}

/// Labels of an order.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct OrderLabels {
    /// Load or unload, of a model or an adapter.
    pub op: &'static str,
    /// What the engine answered.
    pub answer: &'static str,
}

/// All metrics of a daemon.
#[derive(Debug)]
pub struct Metrics {
    /// Answers to callers.
    pub answers: Family<AnswerLabels, Counter>,
    /// Seconds from a request's arrival to the first byte of its answer's body.
    pub first: Histogram,
    /// Seconds from a request's arrival to the end of its answer.
    pub whole: Histogram,
    /// Requests sent to engines after their first.
    pub retries: Counter,
    /// Streams that went on at another engine.
    pub resumed: Counter,
    /// Orders to engines.
    pub orders: Family<OrderLabels, Counter>,
    /// Requests in work.
    pub open: Gauge,
}

impl Default for Metrics {
    fn default() -> Self {
        // From 1 ms to 16 s, each bucket twice as wide.
        let seconds = || Histogram::new(exponential_buckets(0.001, 2.0, 15));
        Metrics {
            answers: Family::default(),
            first: seconds(),
            whole: seconds(),
            retries: Counter::default(),
            resumed: Counter::default(),
            orders: Family::default(),
            open: Gauge::default(),
        }
    }
}

impl Metrics {
    /// Adds all metrics to `registry`.
    pub fn register(&self, registry: &mut Registry) {
        registry.register("answers", "Answers to callers", self.answers.clone());
        registry.register("first_seconds", "Time to the first byte", self.first.clone());
        registry.register("whole_seconds", "Time to the last byte", self.whole.clone());
        registry.register("retries", "Requests sent once more", self.retries.clone());
        registry.register("resumed", "Streams resumed elsewhere", self.resumed.clone());
        registry.register("orders", "Orders to engines", self.orders.clone());
        registry.register("open_requests", "Requests in work", self.open.clone());
    }
}

/// Reads the store client's own counts when the metrics are asked for.
#[derive(Debug)]
pub struct StoreCalls(pub Arc<Shared>);

impl Collector for StoreCalls {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> std::fmt::Result {
        let calls = &self.0.store.calls;
        let totals = [
            ("store_reads", "Reads and feeds sent to the store", &calls.reads),
            ("store_writes", "Writes sent to the store", &calls.writes),
            ("store_failed", "Calls that the store refused or didn't answer", &calls.failed),
        ];
        for (name, help, total) in totals {
            let counter = ConstCounter::new(total.load(Ordering::Relaxed));
            let metric = encoder.encode_descriptor(name, help, None, counter.metric_type())?;
            counter.encode(metric)?;
        }
        Ok(())
    }
}
