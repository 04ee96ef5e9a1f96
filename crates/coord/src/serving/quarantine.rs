//! Finds parts of prompts that crash engines, and decides which requests are refused because of
//! them.
//!
//! A request that was at an engine when the engine crashed is a casualty. Daemons exchange their
//! casualties, so each of them knows the crashes of the whole fleet. A part is quarantined if
//! engines crashed under it in a chain, in which each engine received a request with the part after
//! the previous one had crashed. Engines that fail together, for example with their rack, don't
//! form a chain. Crashes under a part that is quarantined already say nothing about other parts of
//! the same requests, and a complete response clears all parts of its prompt.

use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::time::Tick;

/// Parameters of the quarantine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuarantineSettings {
    /// Length of the chain of crashes for which a part is quarantined.
    pub chain: usize,
    /// Number of different requests with the part among the casualties of these crashes.
    pub requests: usize,
    /// Factor on both numbers for a part that engines have responded to before.
    pub served_factor: usize,
    /// Length of the chain after which requests with the part aren't repeated.
    pub suspect_chain: usize,
    /// First duration of a quarantine. Each failed trial doubles it.
    pub span: Duration,
    /// Longest duration of a quarantine.
    pub max_span: Duration,
    /// Time for which crashes and responses are remembered.
    pub memory: Duration,
    /// Time for which a casualty is reported, so that the loss of reports does no harm.
    pub report_time: Duration,
}

impl Default for QuarantineSettings {
    fn default() -> Self {
        QuarantineSettings {
            chain: 3,
            requests: 2,
            served_factor: 2,
            suspect_chain: 2,
            span: Duration::from_secs(60),
            max_span: Duration::from_secs(600),
            memory: Duration::from_secs(600),
            report_time: Duration::from_secs(3),
        }
    }
}

/// Time after which an engine that isn't confirmed to have crashed counts as alive.
const CHECK_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after which a trial without an outcome is given up.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(20);
/// Smallest difference between two reported times that isn't due to the delay of reports.
const MIN_TIME_DIFFERENCE: Duration = Duration::from_secs(1);
/// Shortest time after which a refused request may be repeated.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Most crashes that are remembered; the oldest are dropped first.
const MAX_CRASHES: usize = 128;
/// Most casualties of one crash that are remembered.
const MAX_CASUALTIES: usize = 64;
/// Most casualties in one report.
const MAX_REPORTED: usize = 32;
/// Most parts of one prompt that are considered.
const MAX_PARTS: usize = 8;
/// Most parts that are quarantined at a time; the oldest are dropped first.
const MAX_HELD: usize = 64;
/// Most parts whose responses are remembered.
const MAX_SERVED: usize = 4_096;

/// Crash of an engine, identified by the process that ended.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Crash {
    /// Fingerprint of the engine's identity.
    pub engine: u32,
    /// Start time of the engine in milliseconds since 1970; 0 if unknown.
    pub started_ms: u64,
}

/// Request that was at an engine when the engine crashed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Casualty {
    /// The crash.
    pub crash: Crash,
    /// Number derived from the request's identifier, which stays the same when it is repeated.
    pub request: u64,
    /// Parts of the prompt that other requests may share.
    pub parts: Vec<u64>,
    /// Time at which the request was sent to the engine.
    pub sent: Tick,
    /// Time at which its connection broke.
    pub ended: Tick,
}

/// Quarantine of a part.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Hold {
    /// Start of the quarantine, or the latest crash under the part since.
    pub since: Tick,
    /// Number of trials that ended in a crash.
    pub failed_trials: u32,
    /// Parts that were quarantined on the same evidence. Only one of them may be to blame.
    pub rivals: Vec<u64>,
}

/// What a daemon reports about a part.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Verdict {
    /// The part.
    pub part: u64,
    /// Its quarantine, if there is one.
    pub held: Option<Hold>,
    /// Time of the latest complete response.
    pub served: Option<Tick>,
}

/// Whether a request may be sent to engines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// No part of the prompt is quarantined.
    Free,
    /// The request tries whether a part still crashes engines.
    Trial,
    /// A part is quarantined for this long.
    Held(Duration),
}

#[derive(Clone, Debug)]
struct Held {
    hold: Hold,
    /// Start of the trial that is under way at this daemon.
    trial: Option<Tick>,
}

/// Evidence against a part.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Evidence {
    requests: usize,
    chain: usize,
}

/// Quarantined parts of prompts and the evidence for them.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    settings: QuarantineSettings,
    /// Casualties of engines that may have crashed.
    unconfirmed: IndexMap<Crash, Vec<Casualty>>,
    /// Casualties of engines that crashed, in the order in which this daemon learned of them.
    crashes: IndexMap<Crash, Vec<Casualty>>,
    /// Recent casualties with the time at which this daemon learned of them and whether they are
    /// its own.
    recent: Vec<(Casualty, Tick, bool)>,
    /// Time of the latest complete response by part.
    served: IndexMap<u64, Tick>,
    held: IndexMap<u64, Held>,
    /// Parts that were quarantined or cleared, and which of the two, since the last call of
    /// [`Quarantine::take_changes`].
    changes: Vec<(u64, bool)>,
}

impl Quarantine {
    /// Creates a quarantine without evidence.
    pub fn new(settings: QuarantineSettings) -> Self {
        Quarantine { settings, ..Quarantine::default() }
    }

    /// Decides whether a request with these shared parts may be sent. `is_home` tells for a part
    /// whether this daemon runs its trials.
    pub fn admit(&mut self, parts: &[u64], is_home: impl Fn(u64) -> bool, now: Tick) -> Admission {
        let held: Vec<u64> = parts.iter().copied().filter(|p| self.held.contains_key(p)).collect();
        let Some((&first, others)) = held.split_first() else { return Admission::Free };
        let left = held.iter().map(|part| self.time_left(*part, now)).max();
        let left = left.unwrap_or_default();
        let refused = Admission::Held(left.max(MIN_RETRY_AFTER));
        // The outcome of a request with several such parts doesn't tell which of them it concerns.
        if !left.is_zero() || !others.is_empty() || !is_home(first) {
            return refused;
        }
        let Some(entry) = self.held.get_mut(&first) else { return Admission::Free };
        if entry.trial.is_some_and(|at| now.since(at) < TRIAL_TIMEOUT) {
            return refused;
        }
        entry.trial = Some(now);
        Admission::Trial
    }

    /// Returns for how long a part of a prompt is still quarantined. Requests with it that were
    /// admitted before are given up, except for a trial.
    pub fn held_for(&self, parts: &[u64], now: Tick) -> Option<Duration> {
        let is_held = |part: &&u64| self.held.get(*part).is_some_and(|held| held.trial.is_none());
        let left = parts.iter().filter(is_held).map(|part| self.time_left(*part, now)).max()?;
        Some(left.max(MIN_RETRY_AFTER))
    }

    /// Returns whether engines crashed in a chain under a part of a prompt that no engine has
    /// responded to.
    pub fn is_suspect(&self, parts: &[u64], now: Tick) -> bool {
        let is_suspect = |part: &u64| {
            !self.served.contains_key(part)
                && self.evidence(*part).chain >= self.settings.suspect_chain
        };
        self.held_for(parts, now).is_some() || parts.iter().any(is_suspect)
    }

    fn time_left(&self, part: u64, now: Tick) -> Duration {
        self.held.get(&part).map_or(Duration::ZERO, |Held { hold, .. }| {
            // A trial tells which of several parts is to blame, so it is due at once.
            if hold.rivals.iter().any(|rival| self.held.contains_key(rival)) {
                return Duration::ZERO;
            }
            let span = self.settings.span * (1 << hold.failed_trials.min(8));
            span.min(self.settings.max_span).saturating_sub(now.since(hold.since))
        })
    }

    /// Records that a connection with a request broke. Returns whether it must be checked that the
    /// engine crashed.
    pub fn record_broken(&mut self, casualty: Casualty, now: Tick) -> bool {
        let crash = casualty.crash;
        if self.crashes.contains_key(&crash) {
            let parts = casualty.parts.clone();
            self.add(casualty, true, now);
            self.assess(&parts, now);
            return false;
        }
        let casualties = self.unconfirmed.entry(crash).or_default();
        casualties.push(casualty);
        casualties.truncate(MAX_CASUALTIES);
        true
    }

    /// Records that an engine crashed. Returns its casualties at this daemon.
    pub fn confirm(&mut self, crash: Crash, now: Tick) -> usize {
        let casualties = self.unconfirmed.shift_remove(&crash).unwrap_or_default();
        let count = casualties.len();
        let parts: IndexSet<u64> =
            casualties.iter().flat_map(|casualty| casualty.parts.iter().copied()).collect();
        for casualty in casualties {
            self.add(casualty, true, now);
        }
        let parts: Vec<u64> = parts.into_iter().collect();
        self.assess(&parts, now);
        count
    }

    /// Records that an engine didn't crash.
    pub fn dismiss(&mut self, crash: Crash) {
        self.unconfirmed.shift_remove(&crash);
    }

    /// Records a casualty that another daemon reported. Returns whether it is new.
    pub fn record_reported(&mut self, casualty: Casualty, now: Tick) -> bool {
        // Of the times of one casualty in several reports, the first had the shortest way.
        let parts = casualty.parts.clone();
        let is_new = self.add(casualty, false, now);
        if is_new {
            self.assess(&parts, now);
        }
        is_new
    }

    fn add(&mut self, mut casualty: Casualty, is_own: bool, now: Tick) -> bool {
        casualty.parts.truncate(MAX_PARTS);
        let casualties = self.crashes.entry(casualty.crash).or_default();
        let is_known = casualties.iter().any(|known| known.request == casualty.request);
        if is_known || casualties.len() >= MAX_CASUALTIES || casualty.parts.is_empty() {
            return false;
        }
        casualties.push(casualty.clone());
        for part in &casualty.parts {
            let Some(held) = self.held.get_mut(part) else { continue };
            held.hold.since = held.hold.since.max(casualty.ended);
            if held.trial.take().is_some() {
                held.hold.failed_trials += 1;
                held.hold.rivals.clear();
            }
        }
        self.recent.push((casualty, now, is_own));
        true
    }

    /// Records a complete response to a request with these shared parts. `is_framed` tells whether
    /// the response stated its length; if not, it may have ended with a crash.
    pub fn record_served(&mut self, parts: &[u64], is_framed: bool, now: Tick) {
        for &part in parts {
            if is_framed || self.evidence(part).chain == 0 {
                self.clear(part, now);
            }
        }
    }

    fn clear(&mut self, part: u64, at: Tick) {
        let served = self.served.entry(part).or_insert(at);
        *served = (*served).max(at);
        if self.held.get(&part).is_some_and(|held| at > held.hold.since) {
            self.held.shift_remove(&part);
            self.changes.push((part, false));
        }
        if self.served.len() > MAX_SERVED {
            self.served.sort_by(|_, a, _, b| a.cmp(b));
            self.served.drain(..MAX_SERVED / 2);
        }
    }

    /// Applies what another daemon reported about a part.
    pub fn apply(&mut self, verdict: Verdict) {
        if let Some(at) = verdict.served {
            self.clear(verdict.part, at);
        }
        if let Some(hold) = verdict.held {
            let known = self.held.get(&verdict.part).map(|held| held.hold.since);
            let served = self.served.get(&verdict.part).copied();
            let is_newer = known.is_none_or(|known| hold.since > known + MIN_TIME_DIFFERENCE);
            if is_newer && served.is_none_or(|at| hold.since > at) {
                self.hold(verdict.part, hold);
            }
        }
    }

    /// Returns the parts that were quarantined (`true`) or cleared since the last call.
    pub fn take_changes(&mut self) -> Vec<(u64, bool)> {
        std::mem::take(&mut self.changes)
    }

    /// Quarantines a part that the store lists, with its rivals.
    pub fn restore(&mut self, part: u64, rivals: Vec<u64>, now: Tick) {
        if !self.held.contains_key(&part) {
            self.hold(part, Hold { since: now, failed_trials: 0, rivals });
        }
    }

    fn hold(&mut self, part: u64, mut hold: Hold) {
        let trials = self.held.get(&part).map_or(0, |held| held.hold.failed_trials);
        hold.failed_trials = hold.failed_trials.max(trials);
        if self.held.insert(part, Held { hold, trial: None }).is_none() {
            self.changes.push((part, true));
        }
        if self.held.len() > MAX_HELD {
            let oldest = self.held.shift_remove_index(0);
            self.changes.extend(oldest.map(|(part, _)| (part, false)));
        }
    }

    /// Quarantines those of `parts`, which have new casualties, against which there is enough
    /// evidence.
    fn assess(&mut self, parts: &[u64], now: Tick) {
        // Each round explains crashes. The bound holds even if the oldest parts have to make way.
        for _ in 0..MAX_HELD {
            let Some(worst) = self.worst_parts(parts) else { return };
            for &part in &worst {
                let rivals = worst.iter().copied().filter(|rival| *rival != part).collect();
                self.hold(part, Hold { since: now, failed_trials: 0, rivals });
            }
        }
    }

    /// Returns the parts with the strongest sufficient evidence, preferring those that no engine
    /// has responded to.
    fn worst_parts(&self, parts: &[u64]) -> Option<Vec<u64>> {
        let unexplained = self.unexplained();
        let sufficient = parts.iter().filter_map(|&part| {
            let evidence = self.evidence_in(&unexplained, part);
            let is_served = self.served.contains_key(&part);
            let factor = if is_served { self.settings.served_factor } else { 1 };
            let is_sufficient = evidence.chain >= self.settings.chain * factor
                && evidence.requests >= self.settings.requests * factor;
            is_sufficient.then_some(((!is_served, evidence), part))
        });
        let sufficient: Vec<_> = sufficient.collect();
        let (strongest, _) = sufficient.iter().max()?;
        let worst = sufficient.iter().filter(|(evidence, _)| evidence == strongest);
        Some(worst.map(|(_, part)| *part).collect())
    }

    /// Returns the casualties of all crashes without a quarantined part, in the order of the
    /// crashes.
    fn unexplained(&self) -> Vec<&Casualty> {
        let is_held =
            |casualty: &Casualty| casualty.parts.iter().any(|part| self.held.contains_key(part));
        let crashes = self.crashes.values().filter(|casualties| !casualties.iter().any(is_held));
        let mut unexplained: Vec<&Casualty> = crashes.flatten().collect();
        unexplained.sort_by_key(|casualty| casualty.ended);
        unexplained
    }

    fn evidence(&self, part: u64) -> Evidence {
        self.evidence_in(&self.unexplained(), part)
    }

    /// Returns the evidence against a part since its latest complete response.
    fn evidence_in(&self, casualties: &[&Casualty], part: u64) -> Evidence {
        let served = self.served.get(&part).copied();
        let (mut requests, mut chain) = (IndexSet::new(), 0);
        let mut last: Option<(Crash, Tick)> = None;
        for casualty in casualties.iter().filter(|casualty| casualty.parts.contains(&part)) {
            if served.is_some_and(|at| casualty.ended <= at) {
                continue;
            }
            requests.insert(casualty.request);
            let follows =
                last.is_none_or(|(crash, ended)| crash != casualty.crash && casualty.sent >= ended);
            if follows {
                chain += 1;
                last = Some((casualty.crash, casualty.ended));
            }
        }
        Evidence { requests: requests.len(), chain }
    }

    /// Returns the casualties to report: this daemon's own, or also those of others if it is a
    /// relay.
    pub fn recent_casualties(&self, is_relay: bool) -> impl Iterator<Item = &Casualty> {
        let recent = self.recent.iter().rev();
        let recent = recent.filter(move |(_, _, is_own)| is_relay || *is_own);
        recent.take(MAX_REPORTED).map(|(casualty, _, _)| casualty)
    }

    /// Returns what to report about parts that are quarantined or have crashed engines.
    pub fn verdicts(&self) -> Vec<Verdict> {
        let recent = self.recent.iter().flat_map(|(casualty, _, _)| casualty.parts.iter().copied());
        let parts: IndexSet<u64> = self.held.keys().copied().chain(recent).collect();
        let verdicts = parts.into_iter().map(|part| Verdict {
            part,
            held: self.held.get(&part).map(|held| held.hold.clone()),
            served: self.served.get(&part).copied(),
        });
        let verdicts =
            verdicts.filter(|verdict| verdict.held.is_some() || verdict.served.is_some());
        verdicts.take(MAX_HELD).collect()
    }

    /// Returns the quarantined parts, each with its rivals.
    pub fn held_parts(&self) -> impl Iterator<Item = (u64, &[u64])> {
        self.held.iter().map(|(&part, held)| (part, held.hold.rivals.as_slice()))
    }

    /// Drops what is too old to matter.
    pub fn prune(&mut self, now: Tick) {
        let QuarantineSettings { memory, report_time, .. } = self.settings;
        let is_recent = |at: Tick, limit: Duration| now.since(at) < limit;
        self.recent.retain(|(_, learned, _)| is_recent(*learned, report_time));
        self.unconfirmed
            .retain(|_, casualties| casualties.iter().any(|c| is_recent(c.ended, CHECK_TIMEOUT)));
        self.crashes.retain(|_, casualties| casualties.iter().any(|c| is_recent(c.ended, memory)));
        let excess = self.crashes.len().saturating_sub(MAX_CRASHES);
        self.crashes.drain(..excess);
        self.served.retain(|_, at| is_recent(*at, memory));
        // A part that nobody has asked for through a whole quarantine is forgotten.
        let changes = &mut self.changes;
        self.held.retain(|&part, held| {
            let is_kept = is_recent(held.hold.since, memory * 2);
            if !is_kept {
                changes.push((part, false));
            }
            is_kept
        });
    }

    /// Returns the number of entries that are kept.
    pub fn entry_count(&self) -> usize {
        let casualties: usize = self.crashes.values().map(Vec::len).sum();
        let unconfirmed: usize = self.unconfirmed.values().map(Vec::len).sum();
        casualties + unconfirmed + self.recent.len() + self.served.len() + self.held.len()
    }
}
