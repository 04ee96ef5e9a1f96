//! Prometheus counters of a router.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;

use crate::router::refusal::Code;

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
