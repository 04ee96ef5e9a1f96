//! Finds requests, and parts of prompts, that crash engines, and decides which requests are refused
//! because of them.
//!
//! A request that was at an engine when the engine crashed is a casualty. Daemons exchange their
//! casualties, so each of them knows the crashes of the whole fleet. What casualties may have in
//! common is a subject: the whole request, which comes again with the same caller, path and body, or
//! a part of the prompt. A part is quarantined if engines crashed under it in a chain, in which each
//! engine received a request with the part after the previous one had crashed. Engines that fail
//! together, for example with their rack, don't form a chain. For a whole request, crashes at
//! different times are enough, since engines that fail independently hardly run the same request.
//!
//! If a whole request explains the same crashes as a part, the request is quarantined and the part
//! isn't. Crashes under a quarantined subject alone say nothing about the other subjects of the same
//! requests, and a complete response clears all subjects of its request.

use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::time::Tick;

/// Parameters of the quarantine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuarantineSettings {
    /// Number of crashes for which a subject is quarantined.
    pub chain: usize,
    /// Number of different attempts with the subject among the casualties of these crashes.
    pub requests: usize,
    /// Factor on both numbers for a subject that engines have responded to before.
    pub served_factor: usize,
    /// Number of crashes after which requests with the subject aren't repeated.
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
/// Most subjects of one request that are considered.
const MAX_SUBJECTS: usize = 9;
/// Most subjects that are quarantined at a time; the oldest are dropped first.
const MAX_HELD: usize = 64;
/// Most subjects whose responses are remembered.
const MAX_SERVED: usize = 4_096;
/// Shortest time between two crashes of engines that don't fail together.
const MIN_CRASH_GAP: Duration = Duration::from_millis(20);

/// What requests that crash engines may have in common.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Subject {
    /// The whole request: a number that all requests with the same caller, path and body share.
    Request(u64),
    /// Part of a prompt, whatever else the request holds.
    Part(u64),
}

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
    /// Number derived from the identifier of the caller's attempt, which stays the same when this
    /// system repeats it.
    pub attempt: u64,
    /// What other requests may share.
    pub subjects: Vec<Subject>,
    /// Time at which the request was sent to the engine.
    pub sent: Tick,
    /// Time at which its connection broke.
    pub ended: Tick,
}

/// Quarantine of a subject.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Hold {
    /// Start of the quarantine, or the latest crash under the subject since.
    pub since: Tick,
    /// Number of trials that ended in a crash.
    pub failed_trials: u32,
    /// Subjects that were quarantined on the same evidence. Only one of them may be to blame.
    pub rivals: Vec<Subject>,
}

/// What a daemon reports about a subject.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Verdict {
    /// The subject.
    pub subject: Subject,
    /// Its quarantine, if there is one.
    pub held: Option<Hold>,
    /// Time of the latest complete response.
    pub served: Option<Tick>,
}

/// Whether a request may be sent to engines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// No subject of the request is quarantined.
    Free,
    /// The request tries whether a subject still crashes engines.
    Trial,
    /// A subject is quarantined for this long.
    Held(Duration),
}

#[derive(Clone, Debug)]
struct Held {
    hold: Hold,
    /// Start of the trial that is under way at this daemon.
    trial: Option<Tick>,
}

/// Evidence against a subject.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
struct Evidence {
    chain: usize,
    attempts: usize,
}

/// Casualty of a crash, and whether a subject that is quarantined explains the crash.
type Witness<'a> = (&'a Casualty, bool);

/// Quarantined subjects and the evidence for them.
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
    /// Whole requests among these casualties.
    accused: IndexSet<Subject>,
    /// Time of the latest complete response by subject. Whole requests are recorded only if accused.
    served: IndexMap<Subject, Tick>,
    held: IndexMap<Subject, Held>,
    /// Subjects that were quarantined or cleared, and which of the two, since the last call of
    /// [`Quarantine::take_changes`].
    changes: Vec<(Subject, bool)>,
}

impl Quarantine {
    /// Creates a quarantine without evidence.
    pub fn new(settings: QuarantineSettings) -> Self {
        Quarantine { settings, ..Quarantine::default() }
    }

    /// Returns whether the subjects of requests must include the whole request: one is accused or
    /// quarantined.
    pub fn concerns_requests(&self) -> bool {
        let is_request = |subject: &Subject| matches!(subject, Subject::Request(_));
        !self.accused.is_empty() || self.held.keys().any(is_request)
    }

    /// Decides whether a request with these subjects may be sent. `is_home` tells for a subject
    /// whether this daemon runs its trials.
    pub fn admit(
        &mut self,
        subjects: &[Subject],
        is_home: impl Fn(Subject) -> bool,
        now: Tick,
    ) -> Admission {
        let held = subjects.iter().copied().filter(|subject| self.held.contains_key(subject));
        let held: Vec<Subject> = held.collect();
        let Some((&first, others)) = held.split_first() else { return Admission::Free };
        let left = held.iter().map(|subject| self.time_left(*subject, now)).max();
        let left = left.unwrap_or_default();
        let refused = Admission::Held(left.max(MIN_RETRY_AFTER));
        // The outcome of a request with several such subjects doesn't tell which of them it concerns.
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

    /// Returns for how long a subject of a request is still quarantined. Requests with it that were
    /// admitted before are given up, except for a trial.
    pub fn held_for(&self, subjects: &[Subject], now: Tick) -> Option<Duration> {
        let is_held =
            |subject: &&Subject| self.held.get(*subject).is_some_and(|held| held.trial.is_none());
        let held = subjects.iter().filter(is_held);
        let left = held.map(|subject| self.time_left(*subject, now)).max()?;
        Some(left.max(MIN_RETRY_AFTER))
    }

    /// Returns whether engines crashed repeatedly under a subject that no engine has responded to.
    pub fn is_suspect(&self, subjects: &[Subject], now: Tick) -> bool {
        let witnesses = self.witnesses();
        let is_suspect = |subject: &Subject| {
            let evidence = self.evidence(&witnesses, *subject);
            !self.served.contains_key(subject) && evidence.chain >= self.settings.suspect_chain
        };
        self.held_for(subjects, now).is_some() || subjects.iter().any(is_suspect)
    }

    fn time_left(&self, subject: Subject, now: Tick) -> Duration {
        self.held.get(&subject).map_or(Duration::ZERO, |Held { hold, .. }| {
            // A trial tells which of several subjects is to blame, so it is due at once.
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
            let subjects = casualty.subjects.clone();
            self.add(casualty, true, now);
            self.assess(&subjects, now);
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
        let subjects: IndexSet<Subject> =
            casualties.iter().flat_map(|casualty| casualty.subjects.iter().copied()).collect();
        for casualty in casualties {
            self.add(casualty, true, now);
        }
        let subjects: Vec<Subject> = subjects.into_iter().collect();
        self.assess(&subjects, now);
        count
    }

    /// Records that an engine didn't crash.
    pub fn dismiss(&mut self, crash: Crash) {
        self.unconfirmed.shift_remove(&crash);
    }

    /// Records a casualty that another daemon reported. Returns whether it is new.
    pub fn record_reported(&mut self, casualty: Casualty, now: Tick) -> bool {
        // Of the times of one casualty in several reports, the first had the shortest way.
        let subjects = casualty.subjects.clone();
        let is_new = self.add(casualty, false, now);
        if is_new {
            self.assess(&subjects, now);
        }
        is_new
    }

    fn add(&mut self, mut casualty: Casualty, is_own: bool, now: Tick) -> bool {
        casualty.subjects.truncate(MAX_SUBJECTS);
        let casualties = self.crashes.entry(casualty.crash).or_default();
        let is_known = casualties.iter().any(|known| known.attempt == casualty.attempt);
        if is_known || casualties.len() >= MAX_CASUALTIES || casualty.subjects.is_empty() {
            return false;
        }
        casualties.push(casualty.clone());
        for subject in &casualty.subjects {
            if let Subject::Request(_) = subject {
                self.accused.insert(*subject);
            }
            let Some(held) = self.held.get_mut(subject) else { continue };
            held.hold.since = held.hold.since.max(casualty.ended);
            if held.trial.take().is_some() {
                held.hold.failed_trials = held.hold.failed_trials.saturating_add(1);
                held.hold.rivals.clear();
            }
        }
        self.recent.push((casualty, now, is_own));
        true
    }

    /// Records a complete response to a request with these subjects. `is_framed` tells whether the
    /// response stated its length; if not, it may have ended with a crash.
    pub fn record_served(&mut self, subjects: &[Subject], is_framed: bool, now: Tick) {
        for &subject in subjects {
            let is_request = matches!(subject, Subject::Request(_));
            let is_relevant =
                !is_request || self.accused.contains(&subject) || self.held.contains_key(&subject);
            if is_relevant && (is_framed || self.evidence(&self.witnesses(), subject).chain == 0) {
                self.clear(subject, now);
            }
        }
    }

    fn clear(&mut self, subject: Subject, at: Tick) {
        let served = self.served.entry(subject).or_insert(at);
        *served = (*served).max(at);
        if self.held.get(&subject).is_some_and(|held| at > held.hold.since) {
            self.held.shift_remove(&subject);
            self.changes.push((subject, false));
        }
        if self.served.len() > MAX_SERVED {
            self.served.sort_by(|_, a, _, b| a.cmp(b));
            self.served.drain(..MAX_SERVED / 2);
        }
    }

    /// Applies what another daemon reported about a subject.
    pub fn apply(&mut self, verdict: Verdict) {
        if let Some(at) = verdict.served {
            self.clear(verdict.subject, at);
        }
        if let Some(hold) = verdict.held {
            let known = self.held.get(&verdict.subject).map(|held| held.hold.since);
            let served = self.served.get(&verdict.subject).copied();
            let is_newer = known.is_none_or(|known| hold.since > known + MIN_TIME_DIFFERENCE);
            if is_newer && served.is_none_or(|at| hold.since > at) {
                self.hold(verdict.subject, hold);
            }
        }
    }

    /// Returns the subjects that were quarantined (`true`) or cleared since the last call.
    pub fn take_changes(&mut self) -> Vec<(Subject, bool)> {
        std::mem::take(&mut self.changes)
    }

    /// Quarantines a subject that the store lists, with its rivals.
    pub fn restore(&mut self, subject: Subject, rivals: Vec<Subject>, now: Tick) {
        if !self.held.contains_key(&subject) {
            self.hold(subject, Hold { since: now, failed_trials: 0, rivals });
        }
    }

    fn hold(&mut self, subject: Subject, mut hold: Hold) {
        let trials = self.held.get(&subject).map_or(0, |held| held.hold.failed_trials);
        hold.failed_trials = hold.failed_trials.max(trials);
        // The rivals are subjects of one request.
        hold.rivals.truncate(MAX_SUBJECTS);
        if self.held.insert(subject, Held { hold, trial: None }).is_none() {
            self.changes.push((subject, true));
        }
        if self.held.len() > MAX_HELD {
            let oldest = self.held.shift_remove_index(0);
            self.changes.extend(oldest.map(|(subject, _)| (subject, false)));
        }
    }

    /// Quarantines those of `subjects`, which have new casualties, against which there is enough
    /// evidence.
    fn assess(&mut self, subjects: &[Subject], now: Tick) {
        // Each round explains crashes. The bound holds even if the oldest subjects have to make way.
        for _ in 0..MAX_HELD {
            let Some(worst) = self.worst_subjects(subjects) else { return };
            for &subject in &worst {
                let rivals = worst.iter().copied().filter(|rival| *rival != subject).collect();
                self.hold(subject, Hold { since: now, failed_trials: 0, rivals });
            }
        }
    }

    /// Returns the subjects with the strongest sufficient evidence, preferring those that no engine
    /// has responded to, and whole requests to parts.
    fn worst_subjects(&self, subjects: &[Subject]) -> Option<Vec<Subject>> {
        let witnesses = self.witnesses();
        let sufficient = subjects.iter().filter_map(|&subject| {
            if self.held.contains_key(&subject) {
                return None;
            }
            let Evidence { chain, attempts } = self.evidence(&witnesses, subject);
            let is_served = self.served.contains_key(&subject);
            let factor = if is_served { self.settings.served_factor } else { 1 };
            let is_sufficient = chain >= self.settings.chain * factor
                && attempts >= self.settings.requests * factor;
            let is_request = matches!(subject, Subject::Request(_));
            is_sufficient.then_some(((!is_served, chain, is_request), subject))
        });
        let sufficient: Vec<_> = sufficient.collect();
        let (strongest, _) = sufficient.iter().max()?;
        let worst = sufficient.iter().filter(|(evidence, _)| evidence == strongest);
        Some(worst.map(|(_, subject)| *subject).collect())
    }

    /// Returns the casualties of all crashes in the order of their ends.
    fn witnesses(&self) -> Vec<Witness<'_>> {
        let is_held = |casualty: &Casualty| {
            casualty.subjects.iter().any(|subject| self.held.contains_key(subject))
        };
        let crashes = self.crashes.values().flat_map(|casualties| {
            let is_explained = casualties.iter().any(is_held);
            casualties.iter().map(move |casualty| (casualty, is_explained))
        });
        let mut witnesses: Vec<Witness<'_>> = crashes.collect();
        witnesses.sort_by_key(|(casualty, _)| casualty.ended);
        witnesses
    }

    /// Returns the evidence against a subject since its latest complete response. Crashes that a
    /// quarantined subject explains count only beside one that none explains.
    fn evidence(&self, witnesses: &[Witness<'_>], subject: Subject) -> Evidence {
        let served = self.served.get(&subject).copied();
        let (mut attempts, mut crashes) = (IndexSet::new(), IndexSet::new());
        let (mut chain, mut last): (usize, Option<Tick>) = (0, None);
        let mut is_unexplained = false;
        for (casualty, is_explained) in witnesses {
            let is_cleared = served.is_some_and(|at| casualty.ended <= at);
            if is_cleared || !casualty.subjects.contains(&subject) {
                continue;
            }
            is_unexplained |= !is_explained;
            attempts.insert(casualty.attempt);
            let follows = last.is_none_or(|ended| match subject {
                Subject::Part(_) => casualty.sent >= ended,
                Subject::Request(_) => {
                    casualty.sent >= ended || casualty.ended >= ended + MIN_CRASH_GAP
                }
            });
            if follows && crashes.insert(casualty.crash) {
                chain += 1;
                last = Some(casualty.ended);
            }
        }
        if !is_unexplained {
            return Evidence::default();
        }
        Evidence { chain, attempts: attempts.len() }
    }

    /// Returns the casualties to report: this daemon's own, or also those of others if it is a
    /// relay.
    pub fn recent_casualties(&self, is_relay: bool) -> impl Iterator<Item = &Casualty> {
        let recent = self.recent.iter().rev();
        let recent = recent.filter(move |(_, _, is_own)| is_relay || *is_own);
        recent.take(MAX_REPORTED).map(|(casualty, _, _)| casualty)
    }

    /// Returns what to report about subjects that are quarantined or have crashed engines.
    pub fn verdicts(&self) -> Vec<Verdict> {
        let recent =
            self.recent.iter().flat_map(|(casualty, _, _)| casualty.subjects.iter().copied());
        let subjects: IndexSet<Subject> = self.held.keys().copied().chain(recent).collect();
        let verdicts = subjects.into_iter().map(|subject| Verdict {
            subject,
            held: self.held.get(&subject).map(|held| held.hold.clone()),
            served: self.served.get(&subject).copied(),
        });
        let verdicts =
            verdicts.filter(|verdict| verdict.held.is_some() || verdict.served.is_some());
        verdicts.take(MAX_HELD).collect()
    }

    /// Returns the quarantined subjects, each with its rivals.
    pub fn held_subjects(&self) -> impl Iterator<Item = (Subject, &[Subject])> {
        self.held.iter().map(|(&subject, held)| (subject, held.hold.rivals.as_slice()))
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
        let casualties = self.crashes.values().flatten();
        let subjects = casualties.flat_map(|casualty| casualty.subjects.iter().copied());
        self.accused = subjects.filter(|subject| matches!(subject, Subject::Request(_))).collect();
        self.served.retain(|_, at| is_recent(*at, memory));
        // A subject that nobody has asked for through a whole quarantine is forgotten.
        let changes = &mut self.changes;
        self.held.retain(|&subject, held| {
            let is_kept = is_recent(held.hold.since, memory * 2);
            if !is_kept {
                changes.push((subject, false));
            }
            is_kept
        });
    }

    /// Returns the number of entries that are kept.
    pub fn entry_count(&self) -> usize {
        let casualties: usize = self.crashes.values().map(Vec::len).sum();
        let unconfirmed: usize = self.unconfirmed.values().map(Vec::len).sum();
        let known = self.recent.len() + self.served.len() + self.held.len() + self.accused.len();
        casualties + unconfirmed + known
    }
}
