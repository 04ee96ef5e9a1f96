//! Ranks the engines for a request and names what excludes the others, for operators.
//!
//! The ranking changes nothing. It uses the candidates and the estimate by which engines are chosen.

use std::cmp::Ordering;
use std::fmt;
use std::time::Duration;

use crate::keys::AdapterKey;
use crate::keys::ModelKey;
use crate::keys::UpstreamKey;
use crate::serving::choice::Candidate;
use crate::serving::choice::ChoiceSettings;
use crate::serving::choice::Need;
use crate::serving::choice::Terms;
use crate::serving::engines::Engine;
use crate::serving::engines::Engines;
use crate::time::Tick;

/// Reason why an engine of the service gets no request now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Exclusion {
    /// It leaves, is in a drained zone, failed recently or must not get this request.
    NotUsable,
    /// It asked for a pause that lasts this much longer.
    Paused(Duration),
    /// It doesn't have the model loaded.
    ModelMissing,
    /// It doesn't have the adapter loaded.
    AdapterMissing,
    /// The request failed there and others are eligible.
    Avoided,
    /// All its slots are taken.
    NoSlot,
    /// Its KV memory doesn't hold the request beside the running ones.
    NoMemory,
    /// It is cold and this daemon's quota is used up.
    ColdQuota,
    /// The limit that it names leaves no request for this time; [`Duration::MAX`] if it isn't known.
    Limit(Duration),
}

/// What a request asks for.
#[derive(Clone, Copy, Debug)]
pub struct Wanted<'a> {
    /// Service.
    pub service: &'a str,
    /// Model and adapter, for services with models.
    pub model: Option<(ModelKey, Option<AdapterKey>)>,
    /// Engines at which the request failed.
    pub avoided: &'a [UpstreamKey],
}

/// Engine that may get the request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ranked {
    /// What is known of the engine.
    pub candidate: Candidate,
    /// Terms of the expected time to the first token.
    pub terms: Terms,
}

/// Engines of a service for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Ranking {
    /// Engines that may get the request, the one with the shortest expected time first.
    pub ranked: Vec<Ranked>,
    /// The other engines of the service.
    pub excluded: Vec<(UpstreamKey, Exclusion)>,
    /// Age of what is known of the other daemons' requests.
    pub age: Duration,
}

/// Ranks the engines of a service. `candidates` are the eligible ones, and `blocked` returns what
/// excludes one of them beside its slots and memory: the cold quota or a limit.
pub fn rank(
    settings: &ChoiceSettings,
    need: &Need,
    (engines, wanted): (&Engines, &Wanted<'_>),
    candidates: &[Candidate],
    blocked: impl Fn(UpstreamKey) -> Option<Exclusion>,
    (age, now): (Duration, Tick),
) -> Ranking {
    let mut ranked = Vec::new();
    let mut excluded = Vec::new();
    for (key, engine) in engines.iter().filter(|(_, engine)| engine.service == wanted.service) {
        let candidate = candidates.iter().find(|candidate| candidate.key == key);
        let Some(candidate) = candidate else {
            excluded.push((key, ineligible(engines, wanted, key, engine, now)));
            continue;
        };
        match full(candidate, settings, need).or_else(|| blocked(key)) {
            Some(exclusion) => excluded.push((key, exclusion)),
            None => {
                let terms = candidate.terms(settings, need);
                ranked.push(Ranked { candidate: *candidate, terms });
            }
        }
    }
    ranked.sort_by(|a, b| by_time(&a.terms, &b.terms));
    Ranking { ranked, excluded, age }
}

fn by_time(a: &Terms, b: &Terms) -> Ordering {
    a.total_ms().total_cmp(&b.total_ms())
}

/// Returns why an engine isn't eligible.
fn ineligible(
    engines: &Engines,
    wanted: &Wanted<'_>,
    key: UpstreamKey,
    engine: &Engine,
    now: Tick,
) -> Exclusion {
    if engine.is_leaving() || engines.is_drained(engine.zone) {
        return Exclusion::NotUsable;
    }
    let pause = engine.pause_left(now);
    if !pause.is_zero() {
        return Exclusion::Paused(pause);
    }
    if let Some((model, adapter)) = wanted.model {
        if !engine.holds(model, None) {
            return Exclusion::ModelMissing;
        }
        if !engine.holds(model, adapter) {
            return Exclusion::AdapterMissing;
        }
    }
    match wanted.avoided.contains(&key) {
        true => Exclusion::Avoided,
        false => Exclusion::NotUsable,
    }
}

fn full(candidate: &Candidate, settings: &ChoiceSettings, need: &Need) -> Option<Exclusion> {
    if candidate.load.running >= candidate.slots {
        return Some(Exclusion::NoSlot);
    }
    (!candidate.has_room(settings, need)).then_some(Exclusion::NoMemory)
}

impl Ranking {
    /// Returns the ranking as text. `name` returns the identity of an engine.
    pub fn describe<'a>(&'a self, name: impl Fn(UpstreamKey) -> &'a str) -> String {
        let ranked = self.ranked.iter().map(|ranked| {
            let Candidate { key, cached_tokens, condition, .. } = &ranked.candidate;
            let (factor, unseen) = (condition.factor(), condition.unseen);
            let terms = &ranked.terms;
            format!(
                "{}: {terms} cached={cached_tokens} factor={factor:.2} unseen={unseen:.3}",
                name(*key)
            )
        });
        let excluded =
            self.excluded.iter().map(|(key, reason)| format!("{}: {reason}", name(*key)));
        let lines: Vec<String> = ranked.chain(excluded).collect();
        format!("age_ms={} [{}]", self.age.as_millis(), lines.join("; "))
    }
}

impl fmt::Display for Exclusion {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Exclusion::NotUsable => write!(formatter, "not_usable"),
            Exclusion::Paused(left) => write!(formatter, "paused left_ms={}", left.as_millis()),
            Exclusion::ModelMissing => write!(formatter, "model_missing"),
            Exclusion::AdapterMissing => write!(formatter, "adapter_missing"),
            Exclusion::Avoided => write!(formatter, "avoided"),
            Exclusion::NoSlot => write!(formatter, "no_slot"),
            Exclusion::NoMemory => write!(formatter, "no_memory"),
            Exclusion::ColdQuota => write!(formatter, "cold_quota"),
            Exclusion::Limit(Duration::MAX) => write!(formatter, "limit"),
            Exclusion::Limit(left) => write!(formatter, "limit left_ms={}", left.as_millis()),
        }
    }
}
