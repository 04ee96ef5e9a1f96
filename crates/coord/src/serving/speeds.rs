//! Speeds of engines that other daemons have learned.
//!
//! One daemon of many sends too few requests to most engines to learn their speed. So daemons tell each
//! other the mean of their own samples with the number of samples. A statement replaces the sender's
//! previous one, so lost, repeated and late statements only make what is known less recent.

use std::time::Duration;

use indexmap::IndexMap;

use crate::keys::UpstreamKey;
use crate::time::Tick;

/// Time for which a statement counts. Daemons repeat it more often.
const STATEMENT_TTL: Duration = Duration::from_secs(30);
/// Time after a restart of an engine in which statements about it are ignored, because they may be of
/// daemons that don't know of the restart.
const RESTART_SILENCE: Duration = Duration::from_secs(2);
/// Time after which an unchanged statement is repeated, in case it was lost.
const REPEAT_AFTER: Duration = Duration::from_secs(10);
/// Least change of the logarithm that is told at once.
const MIN_CHANGE: f64 = 0.02;
/// Most daemons whose statements about one engine are added up.
const MAX_SENDERS: usize = 64;
/// Most statements of single daemons that are remembered.
const MAX_STATEMENTS: usize = 65_536;
/// Most engines about which something is remembered.
const MAX_ENGINES: usize = 16_384;
/// Largest logarithm of a factor that counts, either way: a factor of 20.
const MAX_LOG: f64 = 3.0;
/// Most samples that a statement of one daemon counts for. A daemon's mean covers about as many.
pub const MAX_DAEMON_SAMPLES: u32 = 25;
/// Most samples that the sum over all daemons counts for.
const MAX_SAMPLES: u32 = 400;

/// What samples have shown of an engine's speed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Statement {
    /// Natural logarithm of the factor on the time that work takes.
    pub log: f64,
    /// Number of samples.
    pub samples: u32,
}

impl Statement {
    /// Returns the statement that all samples of both show.
    pub fn merge(self, other: Statement) -> Statement {
        let samples = self.samples.saturating_add(other.samples);
        if samples == 0 {
            return Statement::default();
        }
        let sum = |statement: Statement| statement.log * f64::from(statement.samples);
        Statement { log: (sum(self) + sum(other)) / f64::from(samples), samples }
    }

    /// Returns the statement within the ranges that count.
    fn limited(self, most: u32) -> Statement {
        if !self.log.is_finite() {
            return Statement::default();
        }
        Statement { log: self.log.clamp(-MAX_LOG, MAX_LOG), samples: self.samples.min(most) }
    }
}

/// Latest statement about an engine that was sent.
#[derive(Clone, Copy, Debug, Default)]
pub struct Sent {
    statement: Statement,
    at: Tick,
}

impl Sent {
    /// Returns whether a statement is to be sent, because it changed or may have been lost.
    pub fn is_due(&self, statement: Statement, now: Tick) -> bool {
        let (previous, samples) = (self.statement.samples, statement.samples);
        let changed = (statement.log - self.statement.log).abs() >= MIN_CHANGE;
        let counts = samples < previous || samples > previous + previous / 2;
        // A statement without samples withdraws the previous one.
        let is_any = samples > 0 || previous > 0;
        is_any && (changed || counts || now.since(self.at) >= REPEAT_AFTER)
    }

    /// Records that a statement was sent.
    pub fn record(&mut self, statement: Statement, now: Tick) {
        *self = Sent { statement, at: now };
    }

    /// Returns the number of samples that the sent statement covers.
    pub fn samples(&self) -> u32 {
        self.statement.samples
    }
}

#[derive(Clone, Debug, Default)]
struct Entry {
    /// Latest statement of each daemon that was heard directly, with its time of receipt.
    statements: IndexMap<u32, (Statement, Tick)>,
    /// Sum of these.
    sum: Statement,
    /// Time at which the oldest of these is to be dropped.
    expires: Tick,
    /// Latest sum over all daemons, including this one, that a relay sent.
    relayed: Option<(Statement, Tick)>,
    /// What was known before the engine restarted, and the time of the restart.
    prior: Option<(Statement, Tick)>,
    /// What this daemon as a relay sent latest.
    sent: Sent,
}

/// What other daemons know of the engines' speeds.
#[derive(Clone, Debug, Default)]
pub struct PeerSpeeds {
    engines: IndexMap<UpstreamKey, Entry>,
    /// Number of statements of single daemons.
    count: usize,
}

impl PeerSpeeds {
    /// Records the statement of a daemon about its own samples.
    pub fn record(&mut self, sender: u32, engine: UpstreamKey, statement: Statement, now: Tick) {
        let statement = statement.limited(MAX_DAEMON_SAMPLES);
        let is_full = self.count >= MAX_STATEMENTS;
        let Some(entry) = self.entry(engine).filter(|entry| !entry.is_silent(now)) else { return };
        let before = entry.statements.len();
        if before == 0 {
            entry.expires = now + STATEMENT_TTL;
        }
        let is_known = entry.statements.contains_key(&sender);
        if is_known || (before < MAX_SENDERS && !is_full) {
            entry.statements.insert(sender, (statement, now));
        }
        let after = entry.refresh(now);
        self.count = self.count - before + after;
    }

    /// Records the sum over all daemons' samples that a relay sent.
    pub fn record_sum(&mut self, engine: UpstreamKey, statement: Statement, now: Tick) {
        let statement = statement.limited(MAX_SAMPLES);
        if let Some(entry) = self.entry(engine).filter(|entry| !entry.is_silent(now)) {
            entry.relayed = Some((statement, now));
        }
    }

    /// Returns what the other daemons' samples show of an engine. `own` is this daemon's statement and
    /// `told` the number of its samples that a relay's sum includes.
    pub fn with_own(&self, engine: UpstreamKey, own: Statement, told: u32, now: Tick) -> Statement {
        let Some(entry) = self.engines.get(&engine) else { return own };
        let direct = entry.sum;
        let relayed = entry.relayed.filter(|(_, at)| now.since(*at) < STATEMENT_TTL);
        let all = match relayed {
            Some((relayed, _)) if relayed.samples > direct.samples.saturating_add(own.samples) => {
                let untold = own.samples.saturating_sub(told);
                relayed.merge(Statement { samples: untold, ..own })
            }
            _ => direct.merge(own),
        };
        let prior = entry.prior.map_or(Statement::default(), |(prior, _)| prior);
        all.merge(prior).limited(MAX_SAMPLES)
    }

    /// Returns the sum of what this daemon, whose own statement is `own`, has heard directly of an
    /// engine, if a relay is to send it now.
    pub fn take_due_sum(
        &mut self,
        engine: UpstreamKey,
        own: Statement,
        now: Tick,
    ) -> Option<Statement> {
        let entry = self.entry(engine)?;
        let sum = entry.sum.merge(own).limited(MAX_SAMPLES);
        let is_due = entry.sent.is_due(sum, now);
        if is_due {
            entry.sent.record(sum, now);
        }
        is_due.then_some(sum)
    }

    /// Returns the engines of which other daemons have told.
    pub fn engines(&self) -> impl Iterator<Item = UpstreamKey> + '_ {
        self.engines.keys().copied()
    }

    /// Replaces what is known of an engine that restarted by `prior`, which no message contains.
    pub fn record_restart(&mut self, engine: UpstreamKey, prior: Statement, now: Tick) {
        let Some(entry) = self.entry(engine) else { return };
        let before = entry.statements.len();
        *entry = Entry { prior: Some((prior, now)), sent: entry.sent, ..Entry::default() };
        self.count -= before;
    }

    /// Removes what is known of an engine.
    pub fn forget_engine(&mut self, engine: UpstreamKey) {
        if let Some(entry) = self.engines.swap_remove(&engine) {
            self.count -= entry.statements.len();
        }
    }

    /// Removes statements that no longer count, and engines without any.
    pub fn prune(&mut self, now: Tick) {
        let mut count = 0;
        self.engines.retain(|_, entry| {
            entry.relayed = entry.relayed.filter(|(_, at)| now.since(*at) < STATEMENT_TTL);
            let statements = entry.refresh(now);
            count += statements;
            let was_sent = entry.sent.samples() > 0 && now.since(entry.sent.at) < STATEMENT_TTL;
            statements > 0 || entry.relayed.is_some() || entry.prior.is_some() || was_sent
        });
        self.count = count;
    }

    /// Returns the numbers of engines and of statements of single daemons that are remembered.
    pub fn entry_counts(&self) -> (usize, usize) {
        (self.engines.len(), self.count)
    }

    /// Returns the entry of an engine, unless there are too many.
    fn entry(&mut self, engine: UpstreamKey) -> Option<&mut Entry> {
        if self.engines.len() >= MAX_ENGINES && !self.engines.contains_key(&engine) {
            return None;
        }
        Some(self.engines.entry(engine).or_default())
    }
}

impl Entry {
    /// Drops statements that no longer count and adds up the others. Returns their number.
    fn refresh(&mut self, now: Tick) -> usize {
        if now >= self.expires {
            self.statements.retain(|_, (_, at)| now.since(*at) < STATEMENT_TTL);
            let oldest = self.statements.values().map(|(_, at)| *at).min();
            self.expires = oldest.unwrap_or(now) + STATEMENT_TTL;
        }
        let statements = self.statements.values().map(|(statement, _)| *statement);
        self.sum = statements.fold(Statement::default(), Statement::merge);
        self.statements.len()
    }

    /// Returns whether statements may still be of daemons that don't know of the engine's restart.
    fn is_silent(&self, now: Tick) -> bool {
        self.prior.is_some_and(|(_, at)| now.since(at) < RESTART_SILENCE)
    }
}
