//! All that is wrong with a set of entries.

use std::net::SocketAddr;

use indexmap::IndexMap;
use indexmap::IndexSet;

use super::document::key_of;
use super::queries::ALL;
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

/// Longest name in bytes.
const NAME_BYTES: usize = 64;

/// Every problem of a set: references, limits, and models that fit nowhere.
pub fn check(entries: &Entries) -> Vec<Problem> {
    let register = Register::compile(Revision::default(), entries);
    let room = largest_engine(&register);
    let mut checker =
        Checker { register: &register, room, problems: Vec::new(), prefix: String::new() };
    for (address, entry) in entries {
        checker.prefix = key_of(address);
        checker.name(address);
        checker.entry(&address.name, entry);
    }
    checker.twins();
    checker.problems
}

struct Checker<'a> {
    register: &'a Register,
    /// Accelerator memory of the largest engine in bytes.
    room: u64,
    problems: Vec<Problem>,
    prefix: String,
}

impl Checker<'_> {
    fn report(&mut self, field: &str, value: impl std::fmt::Display, allowed: impl Into<String>) {
        let key = format!("{}.{field}", self.prefix);
        self.problems.push(Problem::new(key, value, allowed));
    }

    fn positive(&mut self, field: &str, value: f64) {
        if !(value.is_finite() && value > 0.0) {
            self.report(field, value, "more than 0");
        }
    }

    /// Reports `name` unless it's a key of `known` whose value `fits`.
    fn reference<T>(
        &mut self,
        field: &str,
        name: &str,
        known: &IndexMap<String, T>,
        fits: impl Fn(&T) -> bool,
    ) {
        if known.get(name).is_some_and(&fits) {
            return;
        }
        let fitting = known.iter().filter(|(_, value)| fits(value));
        let hint = strict::unknown(String::new(), name, fitting.map(|(name, _)| name.as_str()));
        self.report(field, format!("`{name}`"), hint.allowed);
    }

    fn name(&mut self, address: &Address) {
        let name = &address.name;
        let plain = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
        if name.is_empty() || name.len() > NAME_BYTES || !name.bytes().all(plain) {
            let allowed = format!("1 to {NAME_BYTES} of a-z, A-Z, 0-9, `-`, `_` and `.`");
            self.problems.push(Problem::new(&self.prefix, format!("`{name}`"), allowed));
        }
    }

    fn entry(&mut self, name: &str, entry: &Entry) {
        match entry {
            Entry::Zone(_) => {}
            Entry::Upstream(upstream) => self.upstream(upstream),
            Entry::Model(model) => self.model(model),
            Entry::Adapter(adapter) => self.adapter(name, adapter),
            Entry::Team(team) => self.team(name, team),
            Entry::Key(key) => self.key(key),
            Entry::Service(service) => self.service(service),
            Entry::Grant(grant) => self.grant(name, grant),
            Entry::Rules(rules) => self.rules(rules),
        }
    }

    fn upstream(&mut self, upstream: &Upstream) {
        self.reference("zone", &upstream.zone, &self.register.zones, |_| true);
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

    fn model(&mut self, model: &Model) {
        let room = self.room;
        if model.bytes == 0 {
            self.report("bytes", 0, "more than 0");
        } else if model.bytes > room {
            self.report("bytes", model.bytes, format!("at most {room}, the largest engine"));
        }
        match model.bytes_per_token {
            Some(floor) => self.positive("bytes_per_token", floor),
            None if model.tokenizer.is_none() => {
                let allowed = "a number more than 0 where no tokenizer is named";
                self.report("bytes_per_token", "nothing", allowed);
            }
            None => {}
        }
        if model.context_tokens == 0 {
            self.report("context_tokens", 0, "more than 0");
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

    fn adapter(&mut self, name: &str, adapter: &Adapter) {
        let models = &self.register.models;
        self.reference("model", &adapter.model, models, |_| true);
        if adapter.bytes == 0 {
            self.report("bytes", 0, "more than 0");
        }
        if models.contains_key(name) {
            let value = "a model's name";
            self.problems.push(Problem::new(&self.prefix, value, "a name that no model has"));
        }
        let room = self.room;
        let base = models.get(&adapter.model).map_or(0, |model| model.bytes);
        if base <= room && base.saturating_add(adapter.bytes) > room {
            let allowed = format!("at most {} beside its model", room - base);
            self.report("bytes", adapter.bytes, allowed);
        }
    }

    fn team(&mut self, name: &str, team: &Team) {
        self.positive("rate", team.rate);
        self.positive("weight", team.weight);
        let grant = self.register.grants.get(name);
        let least = grant.map_or(1, |grant| self.register.largest_request(grant).max(1));
        if team.burst < least {
            let allowed = format!("at least {least}, the largest request it may send");
            self.report("burst", team.burst, allowed);
        }
    }

    fn key(&mut self, key: &ApiKey) {
        // Keys are never removed, so a revoked one may outlive its team.
        if !key.revoked {
            self.reference("team", &key.team, &self.register.teams, |_| true);
        }
        if digest_bytes(&key.digest).is_none() {
            self.report("digest", format!("`{}`", key.digest), "64 hexadecimal digits");
        }
    }

    fn service(&mut self, service: &Service) {
        let serves = |upstream: &Upstream| upstream.kind == UpstreamKind::Service;
        for name in &service.upstreams {
            self.reference("upstreams", name, &self.register.upstreams, serves);
        }
        if service.upstreams.is_empty() {
            self.report("upstreams", "[]", "one or more upstreams of kind service");
        }
        if service.body_bytes == 0 {
            self.report("body_bytes", 0, "more than 0");
        }
    }

    fn grant(&mut self, team: &str, grant: &Grant) {
        let register = self.register;
        if !register.teams.contains_key(team) {
            let known = register.teams.keys().map(String::as_str);
            let hint = strict::unknown(String::new(), team, known);
            self.problems.push(Problem::new(&self.prefix, format!("`{team}`"), hint.allowed));
        }
        self.names("models", &grant.models, &register.models);
        self.names("adapters", &grant.adapters, &register.adapters);
        self.names("services", &grant.services, &register.services);
    }

    fn names<T>(&mut self, field: &str, names: &IndexSet<String>, known: &IndexMap<String, T>) {
        for name in names.iter().filter(|name| *name != ALL) {
            self.reference(field, name, known, |_| true);
        }
    }

    fn rules(&mut self, rules: &Rules) {
        if rules.deadline_ms == 0 || rules.deadline_ms > rules.longest_ms {
            let allowed = format!("1 to longest_ms ({})", rules.longest_ms);
            self.report("deadline_ms", rules.deadline_ms, allowed);
        }
        if !(rules.idle_worth.is_finite() && rules.idle_worth >= 0.0) {
            self.report("idle_worth", rules.idle_worth, "0 or more");
        }
        self.positive("load_rate", rules.load_rate);
        self.positive("load_inflight", f64::from(rules.load_inflight));
        self.positive("adapter_inflight", f64::from(rules.adapter_inflight));
    }

    /// Addresses and digests that stand twice.
    fn twins(&mut self) {
        let register = self.register;
        let mut seen: IndexMap<&str, &str> = IndexMap::new();
        for (name, upstream) in &register.upstreams {
            if let Some(other) = seen.insert(&upstream.address, name) {
                self.prefix = format!("upstreams.{name}");
                self.report("address", &upstream.address, format!("not that of {other}"));
            }
        }
        seen.clear();
        for (name, key) in &register.keys {
            if let Some(other) = seen.insert(&key.digest, name) {
                self.prefix = format!("keys.{name}");
                self.report("digest", &key.digest, format!("not that of {other}"));
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
