//! Prometheus counters of a router.

use std::sync::Arc;

use prometheus_client::collector::Collector;
use prometheus_client::encoding::DescriptorEncoder;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::EncodeMetric;
use prometheus_client::metrics::counter::ConstCounter;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::ConstGauge;
use prometheus_client::registry::Registry;

use crate::router::refusal::Code;
use crate::util::memory::Memory;

/// Label with the code of a refusal.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct CodeLabel {
    code: String,
}

/// Label with the name of a team.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct TeamLabel {
    team: String,
}

/// Prometheus counters of a router.
#[derive(Clone, Debug, Default)]
pub struct Metrics {
    refusals: Family<CodeLabel, Counter>,
    answers: Family<TeamLabel, Counter>,
    cancels: Family<TeamLabel, Counter>,
    tokens: Family<TeamLabel, Counter>,
    resumes: Counter,
    calls: Family<TeamLabel, Counter>,
}

impl Metrics {
    /// Registers the counters in `registry`.
    pub fn register(&self, registry: &mut Registry) {
        registry.register("refusals", "requests refused, by code", self.refusals.clone());
        registry.register("answers", "requests answered, by team", self.answers.clone());
        registry.register("cancels", "requests cancelled, by team", self.cancels.clone());
        registry.register("tokens", "tokens used, by team", self.tokens.clone());
        registry.register("resumes", "answers resumed at another upstream", self.resumes.clone());
        registry.register("calls", "service calls answered, by team", self.calls.clone());
    }

    /// Counts a refusal.
    pub fn count_refusal(&self, code: Code) {
        self.refusals.get_or_create(&CodeLabel { code: code.label() }).inc();
    }

    /// Counts a complete answer for which `tokens` were used.
    pub fn count_answer(&self, team: &str, tokens: u64) {
        let label = TeamLabel { team: team.to_owned() };
        self.answers.get_or_create(&label).inc();
        self.tokens.get_or_create(&label).inc_by(tokens);
    }

    /// Counts a request whose caller disconnected.
    pub fn count_cancel(&self, team: &str) {
        self.cancels.get_or_create(&TeamLabel { team: team.to_owned() }).inc();
    }

    /// Counts an answer that is resumed at another upstream.
    pub fn count_resume(&self) {
        self.resumes.inc();
    }

    /// Counts a call to a plain service that was answered.
    pub fn count_call(&self, team: &str) {
        self.calls.get_or_create(&TeamLabel { team: team.to_owned() }).inc();
    }
}

/// Collector that reads what is held for callers when the metrics are scraped.
#[derive(Debug)]
pub struct HeldMemory(pub Arc<Memory>);

impl Collector for HeldMemory {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> std::fmt::Result {
        let totals = self.0.totals();
        let connections = i64::try_from(totals.connections).unwrap_or(i64::MAX);
        let held = i64::try_from(totals.held).unwrap_or(i64::MAX);
        for (name, help, value) in [
            ("held_bytes", "memory that is held for callers", held),
            ("caller_connections", "open connections of callers", connections),
        ] {
            let gauge = ConstGauge::new(value);
            let metric = encoder.encode_descriptor(name, help, None, gauge.metric_type())?;
            gauge.encode(metric)?;
        }
        let help = "requests and connections for which memory or connections ran out, by cause";
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
