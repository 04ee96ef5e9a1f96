//! Validates a set of entries.

use std::net::SocketAddr;

use indexmap::IndexMap;
use indexmap::IndexSet;

use super::document::key_of;
use super::queries::WILDCARD;
use super::snapshot::digest_bytes;
use super::strict;
use super::Adapter;
use super::Address;
use super::ApiKey;
use super::Entries;
use super::Entry;
use super::Grant;
use super::Model;
use super::Problem;
use super::Register;
use super::Revision;
use super::Rules;
use super::Service;
use super::Team;
use super::Upstream;
use super::UpstreamKind;

/// Most tokens of a prompt and its answer.
const MAX_CONTEXT_TOKENS: u64 = u32::MAX as u64;

/// Maximum length of a name in bytes.
const MAX_NAME_BYTES: usize = 64;

/// Returns every problem of a set of entries: invalid values, dangling references, duplicates, and
/// models too large for any engine.
pub fn check(entries: &Entries) -> Vec<Problem> {
    let register = Register::compile(Revision::default(), entries);
    let max_bytes = largest_engine(&register);
    let mut checker =
        Checker { register: &register, max_bytes, problems: Vec::new(), prefix: String::new() };
    for (address, entry) in entries {
        checker.prefix = key_of(address);
        checker.check_name(address);
        checker.check_entry(&address.name, entry);
    }
    checker.check_duplicates();
    checker.problems
}

struct Checker<'a> {
    register: &'a Register,
    /// Accelerator memory of the largest engine in bytes.
    max_bytes: u64,
    problems: Vec<Problem>,
    /// Dotted key of the entry being checked.
    prefix: String,
}

impl Checker<'_> {
    fn report(&mut self, field: &str, value: impl std::fmt::Display, allowed: impl Into<String>) {
        let key = format!("{}.{field}", self.prefix);
        self.problems.push(Problem::new(key, value, allowed));
    }

    fn require_positive(&mut self, field: &str, value: f64) {
        if !(value.is_finite() && value > 0.0) {
            self.report(field, value, "more than 0");
        }
    }

    /// Reports `name` unless it is a key of `known` whose value `is_valid`.
    fn check_reference<T>(
        &mut self,
        field: &str,
        name: &str,
        known: &IndexMap<String, T>,
        is_valid: impl Fn(&T) -> bool,
    ) {
        if known.get(name).is_some_and(&is_valid) {
            return;
        }
        let valid = known.iter().filter(|(_, value)| is_valid(value));
        let hint = strict::unknown_key(String::new(), name, valid.map(|(name, _)| name.as_str()));
        self.report(field, format!("`{name}`"), hint.allowed);
    }

    fn check_name(&mut self, address: &Address) {
        let name = &address.name;
        let is_allowed =
            |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
        if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.bytes().all(is_allowed) {
            let allowed = format!("1 to {MAX_NAME_BYTES} of a-z, A-Z, 0-9, `-`, `_` and `.`");
            self.problems.push(Problem::new(&self.prefix, format!("`{name}`"), allowed));
        }
    }

    fn check_entry(&mut self, name: &str, entry: &Entry) {
        match entry {
            Entry::Zone(_) => {}
            Entry::Upstream(upstream) => self.check_upstream(upstream),
            Entry::Model(model) => self.check_model(model),
            Entry::Adapter(adapter) => self.check_adapter(name, adapter),
            Entry::Team(team) => self.check_team(name, team),
            Entry::Key(key) => self.check_key(key),
            Entry::Service(service) => self.check_service(service),
            Entry::Grant(grant) => self.check_grant(name, grant),
            Entry::Rules(rules) => self.check_rules(rules),
        }
    }

    fn check_upstream(&mut self, upstream: &Upstream) {
        self.check_reference("zone", &upstream.zone, &self.register.zones, |_| true);
        if upstream.address.parse::<SocketAddr>().is_err() {
            self.report("address", format!("`{}`", upstream.address), "ip:port");
        }
        if upstream.kind == UpstreamKind::Engine && upstream.memory_bytes == 0 {
            self.report("memory_bytes", 0, "more than 0 for an engine");
        }
        if upstream.fresh_running == 0 || upstream.fresh_running > upstream.max_running {
            let allowed = format!("1 to max_running ({})", upstream.max_running);
            self.report("fresh_running", upstream.fresh_running, allowed);
        }
    }

    fn check_model(&mut self, model: &Model) {
        let max_bytes = self.max_bytes;
        if model.bytes == 0 {
            self.report("bytes", 0, "more than 0");
        } else if model.bytes > max_bytes {
            self.report("bytes", model.bytes, format!("at most {max_bytes}, the largest engine"));
        }
        match model.bytes_per_token {
            Some(floor) => self.require_positive("bytes_per_token", floor),
            None if model.tokenizer.is_none() => {
                let allowed = "a number more than 0 where no tokenizer is named";
                self.report("bytes_per_token", "nothing", allowed);
            }
            None => {}
        }
        if !(1..=MAX_CONTEXT_TOKENS).contains(&model.context_tokens) {
            let allowed = format!("1 to {MAX_CONTEXT_TOKENS}");
            self.report("context_tokens", model.context_tokens, allowed);
        }
        if model.output_tokens == 0 || model.output_tokens > model.context_tokens {
            let allowed = format!("1 to context_tokens ({})", model.context_tokens);
            self.report("output_tokens", model.output_tokens, allowed);
        }
        let start = model.start_ms;
        if start.memory > start.disk || start.disk > start.remote {
            let value = format!("{}, {}, {}", start.memory, start.disk, start.remote);
            self.report("start_ms", value, "memory <= disk <= remote");
        }
    }

    fn check_adapter(&mut self, name: &str, adapter: &Adapter) {
        let models = &self.register.models;
        self.check_reference("model", &adapter.model, models, |_| true);
        if adapter.bytes == 0 {
            self.report("bytes", 0, "more than 0");
        }
        if models.contains_key(name) {
            let value = "a model's name";
            self.problems.push(Problem::new(&self.prefix, value, "a name that no model has"));
        }
        let max_bytes = self.max_bytes;
        let base = models.get(&adapter.model).map_or(0, |model| model.bytes);
        if base <= max_bytes && base.saturating_add(adapter.bytes) > max_bytes {
            let allowed = format!("at most {} beside its model", max_bytes - base);
            self.report("bytes", adapter.bytes, allowed);
        }
    }

    fn check_team(&mut self, name: &str, team: &Team) {
        self.require_positive("rate", team.rate);
        self.require_positive("weight", team.weight);
        let grant = self.register.grants.get(name);
        let min_burst = grant.map_or(1, |grant| self.register.largest_request(grant).max(1));
        if team.burst < min_burst {
            let allowed = format!("at least {min_burst}, the largest request it may send");
            self.report("burst", team.burst, allowed);
        }
    }

    fn check_key(&mut self, key: &ApiKey) {
        // Keys are never removed, so a revoked key may refer to a removed team.
        if !key.revoked {
            self.check_reference("team", &key.team, &self.register.teams, |_| true);
        }
        if digest_bytes(&key.digest).is_none() {
            self.report("digest", format!("`{}`", key.digest), "64 hexadecimal digits");
        }
    }

    fn check_service(&mut self, service: &Service) {
        let is_service = |upstream: &Upstream| upstream.kind == UpstreamKind::Service;
        for name in &service.upstreams {
            self.check_reference("upstreams", name, &self.register.upstreams, is_service);
        }
        if service.upstreams.is_empty() {
            self.report("upstreams", "[]", "one or more upstreams of kind service");
        }
        if service.body_bytes == 0 {
            self.report("body_bytes", 0, "more than 0");
        }
    }

    fn check_grant(&mut self, team: &str, grant: &Grant) {
        let register = self.register;
        if !register.teams.contains_key(team) {
            let known = register.teams.keys().map(String::as_str);
            let hint = strict::unknown_key(String::new(), team, known);
            self.problems.push(Problem::new(&self.prefix, format!("`{team}`"), hint.allowed));
        }
        self.check_references("models", &grant.models, &register.models);
        self.check_references("adapters", &grant.adapters, &register.adapters);
        self.check_references("services", &grant.services, &register.services);
    }

    fn check_references<T>(
        &mut self,
        field: &str,
        names: &IndexSet<String>,
        known: &IndexMap<String, T>,
    ) {
        for name in names.iter().filter(|name| *name != WILDCARD) {
            self.check_reference(field, name, known, |_| true);
        }
    }

    fn check_rules(&mut self, rules: &Rules) {
        if rules.deadline_ms == 0 || rules.deadline_ms > rules.longest_ms {
            let allowed = format!("1 to longest_ms ({})", rules.longest_ms);
            self.report("deadline_ms", rules.deadline_ms, allowed);
        }
        if !(rules.idle_worth.is_finite() && rules.idle_worth >= 0.0) {
            self.report("idle_worth", rules.idle_worth, "0 or more");
        }
        self.require_positive("load_rate", rules.load_rate);
        self.require_positive("load_inflight", f64::from(rules.load_inflight));
        self.require_positive("adapter_inflight", f64::from(rules.adapter_inflight));
    }

    /// Reports upstream addresses and key digests that occur more than once.
    fn check_duplicates(&mut self) {
        let register = self.register;
        let mut seen: IndexMap<&str, &str> = IndexMap::new();
        for (name, upstream) in &register.upstreams {
            if let Some(other) = seen.insert(&upstream.address, name) {
                self.prefix = format!("upstreams.{name}");
                self.report(
                    "address",
                    &upstream.address,
                    format!("a value that {other} doesn't use"),
                );
            }
        }
        seen.clear();
        for (name, key) in &register.keys {
            if let Some(other) = seen.insert(&key.digest, name) {
                self.prefix = format!("keys.{name}");
                self.report("digest", &key.digest, format!("a value that {other} doesn't use"));
            }
        }
    }
}

/// Accelerator memory of the largest engine in bytes.
fn largest_engine(register: &Register) -> u64 {
    let upstreams = register.upstreams.values();
    let engines = upstreams.filter(|upstream| upstream.kind == UpstreamKind::Engine);
    engines.map(|engine| engine.memory_bytes).max().unwrap_or(0)
}
