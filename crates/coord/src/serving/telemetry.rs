//! Learns from responses how loaded and how fast engines are.
//!
//! An engine reports its load in its responses. The report is used while it is recent, together with
//! what this daemon has sent there since. The time that work takes is learned as the product of a pace
//! for each kind of work and a time factor for each engine, so that engines are comparable although
//! they serve different models.

use std::time::Duration;

use indexmap::IndexMap;

use crate::hash::hash;
use crate::keys::ModelKey;
use crate::keys::UpstreamKey;
use crate::serving::choice::Condition;
use crate::serving::choice::Speed;
use crate::serving::choice::Usual;
use crate::serving::speeds::PeerSpeeds;
use crate::serving::speeds::Sent;
use crate::serving::speeds::Statement;
use crate::serving::speeds::MAX_DAEMON_SAMPLES;
use crate::time::Tick;

/// Age up to which the reported number of requests is preferred to that of the other daemons'
/// reports, which is 0.2 to 0.5 s old.
const LOAD_TTL: Duration = Duration::from_millis(250);
/// Time constant with which the reported slowness is forgotten. Other loads on the machine of an
/// engine come and go every 100 to 600 ms.
const SLOWNESS_MEMORY: Duration = Duration::from_millis(250);
/// Time constant of the rate of requests to an engine.
const RATE_MEMORY: Duration = Duration::from_secs(10);
/// Time constant with which a learned factor returns to 1 without further samples.
const FACTOR_MEMORY: Duration = Duration::from_secs(600);
/// Number of samples from which on a pace or factor is used.
const MIN_SAMPLES: u32 = 3;
/// Least weight of a new sample, so that changes are learned within some dozens of samples.
const MIN_WEIGHT: f64 = 0.04;
/// Deviation of the logarithms of samples that is assumed before there are any.
const USUAL_DEVIATION: f64 = 0.2;
/// Largest natural logarithm of the deviation of one sample that counts. Requests that waited deviate
/// further, for reasons other than the engine's speed.
const MAX_DEVIATION: f64 = 0.7;
/// Range of the reported slowness, as a factor.
const SLOWNESS_RANGE: (f64, f64) = (0.1, 20.0);
/// Number of samples for which the speed of an engine before its restart counts, so that a few samples
/// can contradict it.
const RESTART_SAMPLES: u32 = MIN_SAMPLES;
/// Least standard error of a factor that many samples show.
const MIN_ERROR: f64 = 0.02;
/// Number of samples for which the assumed deviation counts beside this daemon's own ones where most
/// samples are those of others, whose deviations aren't known.
const ASSUMED_SAMPLES: f64 = 5.0;
/// Most engines of whose speed one message tells.
const MAX_TOLD: usize = 8;
/// Most engines of whose speed one digest tells. It covers the reports of all daemons.
const MAX_DIGESTED: usize = 24;
/// Interval in which it is decided whether engines differ in speed, so that speeds are told.
const DIFFERENCE_INTERVAL: Duration = Duration::from_secs(1);
/// Most engines about which something is remembered.
const MAX_ENGINES: usize = 16_384;
/// Most kinds of work whose pace is remembered.
const MAX_PACES: usize = 2_048;

/// Load that an engine reports in a response.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ReportedLoad {
    /// Running requests.
    pub running: u32,
    /// Queued requests.
    pub waiting: u32,
    /// Most requests that the engine runs concurrently, if given.
    pub slots: Option<u32>,
    /// Time that work takes at this moment, in percent of the usual time. Given by engines that share
    /// their machine with others.
    pub slowness: Option<u32>,
}

/// Kind of work whose pace is learned.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Work {
    /// Time from sending a request of a model to its first event, per prompt token, and whether the
    /// engine is in the daemon's zone. The transport to other zones must not count as slowness.
    Prefill(ModelKey, bool),
    /// Time between two events of a stream of a model.
    Step(ModelKey),
    /// Time that a request to a route of a service without models takes, and whether the engine is in
    /// the daemon's zone. See [`plain_work`].
    Plain(u64, bool),
}

/// Returns the kind of work of requests to a route of a service without models.
pub fn plain_work(service: &str, route: &str, same_zone: bool) -> Work {
    Work::Plain(hash(0, service.bytes().chain([0]).chain(route.bytes())), same_zone)
}

/// Mean of the logarithms of samples, with the number of samples and the time of the latest.
#[derive(Clone, Copy, Debug, Default)]
struct Mean {
    log: f32,
    /// Mean absolute deviation of the samples.
    deviation: f32,
    count: u32,
    at: Tick,
}

/// What is known of one engine.
#[derive(Clone, Copy, Debug, Default)]
struct Record {
    /// Latest report with its time of receipt, and this daemon's requests there at that time.
    report: Option<(ReportedLoad, Tick, u32)>,
    /// Requests that this daemon sends per second, as of `sent`.
    rate: f32,
    sent: Tick,
    /// Logarithm of the factor on the time that work takes there, by this daemon's samples.
    factor: Mean,
    /// What this daemon told the others of that factor.
    told: Sent,
}

/// What is known of an engine at a moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reading {
    /// Running and queued requests by the latest report, adjusted by this daemon's own requests
    /// since; `None` without a recent report.
    pub occupancy: Option<u32>,
    /// Age of the latest report.
    pub age: Option<Duration>,
    /// Reported factor on the time that work takes at the moment; 1 if none is known.
    pub slowness: f64,
    /// Whether the engine reports a slowness.
    pub is_shared: bool,
    /// Learned factor on the time that work takes.
    pub speed: Speed,
    /// Requests per second that this daemon sends there.
    pub rate: f64,
}

impl Default for Reading {
    fn default() -> Self {
        Reading {
            occupancy: None,
            age: None,
            slowness: 1.0,
            is_shared: false,
            speed: Speed::default(),
            rate: 0.0,
        }
    }
}

impl Reading {
    /// Returns the condition of the engine when `others` further daemons send to it and `age` is the
    /// age of what is known of their requests.
    pub fn condition(&self, others: usize, age: Duration) -> Condition {
        let reported = self.age.filter(|_| self.occupancy.is_some());
        let age = reported.map_or(age, |reported| reported.min(age));
        Condition {
            slowness: self.slowness,
            is_shared: self.is_shared,
            speed: self.speed,
            occupancy: self.occupancy,
            unseen: self.rate * others as f64 * age.as_secs_f64(),
            ..Condition::default()
        }
    }
}

/// What responses have shown about engines and kinds of work.
#[derive(Clone, Debug, Default)]
pub struct Telemetry {
    engines: IndexMap<UpstreamKey, Record>,
    paces: IndexMap<Work, Mean>,
    /// What other daemons know of the engines' speeds.
    peers: PeerSpeeds,
    /// Whether engines differ in speed, and when this was decided.
    differs: Option<(bool, Tick)>,
    /// Engines with which the next report and the next digest begin.
    next_told: usize,
    next_digested: usize,
}

impl Telemetry {
    /// Records the load that an engine reported while `own` requests of this daemon were there.
    pub fn record_report(&mut self, engine: UpstreamKey, load: ReportedLoad, own: u32, now: Tick) {
        self.record(engine).report = Some((load, now, own));
    }

    /// Records that this daemon sent a request to an engine.
    pub fn record_send(&mut self, engine: UpstreamKey, now: Tick) {
        let record = self.record(engine);
        record.rate = (record.rate_at(now) + 1.0 / RATE_MEMORY.as_secs_f64()) as f32;
        record.sent = now;
    }

    /// Records that an engine took `taken` for `units` of a kind of work that didn't have to wait.
    pub fn record_time(
        &mut self,
        engine: UpstreamKey,
        work: Work,
        taken: Duration,
        units: f64,
        now: Tick,
    ) {
        let each = taken.as_secs_f64() * 1e3 / units;
        if !each.is_finite() || each <= 0.0 {
            return;
        }
        let record = *self.record(engine);
        let own = record.factor.decayed(now);
        let factor = self.known(engine, now).log;
        let adjusted = each.ln() - record.slowness(now).ln();
        if !self.paces.contains_key(&work) && self.paces.len() >= MAX_PACES {
            remove_oldest(&mut self.paces, |mean| mean.at);
        }
        let pace = self.paces.entry(work).or_default();
        let deviation = match pace.count {
            0 => 0.0,
            _ => (adjusted - factor - f64::from(pace.log)).clamp(-MAX_DEVIATION, MAX_DEVIATION),
        };
        let before = if pace.count == 0 { adjusted - factor } else { f64::from(pace.log) };
        pace.update(before, deviation, now);
        // The others' samples are no evidence of this daemon.
        let own_deviation = (factor + deviation - own).clamp(-MAX_DEVIATION, MAX_DEVIATION);
        self.record(engine).factor.update(own, own_deviation, now);
    }

    /// Records what another daemon's samples have shown of an engine's speed.
    pub fn record_peer(
        &mut self,
        sender: u32,
        engine: UpstreamKey,
        statement: Statement,
        now: Tick,
    ) {
        self.peers.record(sender, engine, statement, now);
    }

    /// Records what all daemons' samples have shown of an engine's speed by a relay's digest.
    pub fn record_digest(&mut self, engine: UpstreamKey, statement: Statement, now: Tick) {
        self.peers.record_sum(engine, statement, now);
    }

    /// Returns what this daemon's next report tells of the engines' speeds: in turn those whose factor
    /// changed, and nothing while no engine is known to differ from the others.
    pub fn take_told(&mut self, now: Tick) -> Vec<(UpstreamKey, Statement)> {
        let mut told = Vec::new();
        if !self.update_difference(now) {
            return told;
        }
        let count = self.engines.len();
        for step in 0..count {
            let index = (self.next_told + step) % count;
            let Some((&key, record)) = self.engines.get_index_mut(index) else { continue };
            let statement = record.own_statement(now);
            if record.told.is_due(statement, now) {
                record.told.record(statement, now);
                told.push((key, statement));
                if told.len() == MAX_TOLD {
                    self.next_told = index + 1;
                    break;
                }
            }
        }
        told
    }

    /// Returns what this daemon's next digest as a relay tells of the engines' speeds, over all
    /// daemons. What is told is as for reports.
    pub fn take_digested(&mut self, now: Tick) -> Vec<(UpstreamKey, Statement)> {
        let mut told = Vec::new();
        if !self.update_difference(now) {
            return told;
        }
        let keys = self.known_engines();
        for step in 0..keys.len() {
            let index = (self.next_digested + step) % keys.len();
            let key = keys[index];
            let own = self.own_statement(key, now);
            if let Some(statement) = self.peers.take_due_sum(key, own, now) {
                told.push((key, statement));
                if told.len() == MAX_DIGESTED {
                    self.next_digested = index + 1;
                    break;
                }
            }
        }
        told
    }

    /// Returns whether an engine is known to differ in speed from the mean of all, and drops what no
    /// longer counts.
    fn update_difference(&mut self, now: Tick) -> bool {
        if let Some((differs, _)) =
            self.differs.filter(|(_, at)| now.since(*at) < DIFFERENCE_INTERVAL)
        {
            return differs;
        }
        self.peers.prune(now);
        let speeds = self.known_engines().into_iter().map(|key| self.speed(key, now));
        let known: Vec<Speed> = speeds.filter(|speed| speed.error.is_finite()).collect();
        let mean = known.iter().map(|speed| speed.log).sum::<f64>() / known.len().max(1) as f64;
        let differs = known.iter().any(|speed| speed.differs_from(mean));
        self.differs = Some((differs, now));
        differs
    }

    /// Returns the engines of which this daemon or another one has samples.
    fn known_engines(&self) -> Vec<UpstreamKey> {
        let own = self
            .engines
            .iter()
            .filter(|(_, record)| record.factor.count > 0 || record.told.samples() > 0);
        let own = own.map(|(&key, _)| key);
        let heard = self.peers.engines().filter(|key| {
            self.engines
                .get(key)
                .is_none_or(|record| record.factor.count == 0 && record.told.samples() == 0)
        });
        own.chain(heard).collect()
    }

    fn own_statement(&self, engine: UpstreamKey, now: Tick) -> Statement {
        self.engines.get(&engine).map_or(Statement::default(), |record| record.own_statement(now))
    }

    /// Returns what all daemons' samples show of an engine's speed.
    fn known(&self, engine: UpstreamKey, now: Tick) -> Statement {
        let told = self.engines.get(&engine).map_or(0, |record| record.told.samples());
        self.peers.with_own(engine, self.own_statement(engine, now), told, now)
    }

    fn speed(&self, engine: UpstreamKey, now: Tick) -> Speed {
        let known = self.known(engine, now);
        if known.samples < MIN_SAMPLES {
            return Speed::default();
        }
        let own = self.engines.get(&engine).map_or(Mean::default(), |record| record.factor);
        let own_samples = own.count.min(MAX_DAEMON_SAMPLES);
        let mut deviation = f64::from(own.deviation);
        if known.samples > own_samples {
            let own_samples = f64::from(own_samples);
            let sum = deviation * own_samples + USUAL_DEVIATION * ASSUMED_SAMPLES;
            deviation = sum / (own_samples + ASSUMED_SAMPLES);
        }
        let error = (deviation / f64::from(known.samples).sqrt()).max(MIN_ERROR);
        Speed { log: known.log, error }
    }

    /// Returns what is known of an engine while `own` requests of this daemon are there.
    pub fn reading(&self, engine: UpstreamKey, own: u32, now: Tick) -> Reading {
        let speed = self.speed(engine, now);
        let Some(record) = self.engines.get(&engine) else {
            return Reading { speed, ..Reading::default() };
        };
        let age = record.report.map(|(_, at, _)| now.since(at));
        let recent = record.report.filter(|(_, at, _)| now.since(*at) < LOAD_TTL);
        let occupancy = recent.map(|(load, _, before)| {
            let reported = load.running.saturating_add(load.waiting);
            reported.saturating_add(own).saturating_sub(before).max(own)
        });
        Reading {
            occupancy,
            age,
            slowness: record.slowness(now),
            is_shared: record.reports_slowness(),
            speed,
            rate: record.rate_at(now),
        }
    }

    /// Returns whether requests waited at an engine, or all its slots were taken, by its latest report.
    pub fn had_queue(&self, engine: UpstreamKey) -> bool {
        let report = self.engines.get(&engine).and_then(|record| record.report);
        report.is_some_and(|(load, _, _)| {
            load.waiting > 0 || load.slots.is_some_and(|slots| load.running >= slots)
        })
    }

    /// Returns the time that a unit of a kind of work usually takes, in milliseconds; `None` before
    /// enough responses have shown it.
    pub fn pace_ms(&self, work: Work) -> Option<f64> {
        let mean = self.paces.get(&work).filter(|mean| mean.count >= MIN_SAMPLES);
        mean.map(|mean| f64::from(mean.log).exp())
    }

    /// Returns the usual times of requests to a route of a service without models.
    pub fn plain_usual(&self, service: &str, route: &str) -> Usual {
        let pace = |same_zone| self.pace_ms(plain_work(service, route, same_zone));
        Usual { work_ms: pace(true).or_else(|| pace(false)), token_ms: None }
    }

    /// Returns the usual times of requests of a model.
    pub fn model_usual(&self, model: ModelKey) -> Usual {
        let pace = |same_zone| self.pace_ms(Work::Prefill(model, same_zone));
        Usual { work_ms: None, token_ms: pace(true).or_else(|| pace(false)) }
    }

    /// Removes what is known of an engine that restarted, except its speed, which now counts for a few
    /// samples only.
    pub fn record_restart(&mut self, engine: UpstreamKey, now: Tick) {
        let known = self.known(engine, now);
        if known.samples >= MIN_SAMPLES {
            let prior = Statement { samples: RESTART_SAMPLES, ..known };
            self.peers.record_restart(engine, prior, now);
        } else {
            self.peers.forget_engine(engine);
        }
        if let Some(record) = self.engines.get_mut(&engine) {
            *record = Record { told: record.told, ..Record::default() };
        }
    }

    /// Removes what is known of an engine that ended.
    pub fn forget_engine(&mut self, engine: UpstreamKey) {
        self.engines.swap_remove(&engine);
        self.peers.forget_engine(engine);
    }

    /// Returns the numbers of engines and kinds of work that are remembered.
    pub fn entry_counts(&self) -> (usize, usize) {
        (self.engines.len(), self.paces.len())
    }

    fn record(&mut self, engine: UpstreamKey) -> &mut Record {
        if !self.engines.contains_key(&engine) && self.engines.len() >= MAX_ENGINES {
            remove_oldest(&mut self.engines, Record::used);
        }
        self.engines.entry(engine).or_default()
    }
}

impl Record {
    /// Returns the time at which the engine was last heard or sent to.
    fn used(&self) -> Tick {
        self.sent.max(self.report.map_or(Tick(0), |(_, at, _)| at)).max(self.factor.at)
    }

    fn own_statement(&self, now: Tick) -> Statement {
        let samples = self.factor.count.min(MAX_DAEMON_SAMPLES);
        Statement { log: self.factor.decayed(now), samples }
    }

    fn reports_slowness(&self) -> bool {
        self.report.is_some_and(|(load, _, _)| load.slowness.is_some())
    }

    fn rate_at(&self, now: Tick) -> f64 {
        f64::from(self.rate) * remaining(self.sent, RATE_MEMORY, now)
    }

    fn slowness(&self, now: Tick) -> f64 {
        let Some((ReportedLoad { slowness: Some(percent), .. }, at, _)) = self.report else {
            return 1.0;
        };
        let reported = (f64::from(percent) / 100.0).clamp(SLOWNESS_RANGE.0, SLOWNESS_RANGE.1);
        1.0 + (reported - 1.0) * remaining(at, SLOWNESS_MEMORY, now)
    }
}

impl Mean {
    fn decayed(&self, now: Tick) -> f64 {
        f64::from(self.log) * remaining(self.at, FACTOR_MEMORY, now)
    }

    fn update(&mut self, before: f64, deviation: f64, now: Tick) {
        if self.count == 0 {
            self.deviation = USUAL_DEVIATION as f32;
        }
        self.count = self.count.saturating_add(1);
        let weight = (1.0 / f64::from(self.count)).max(MIN_WEIGHT);
        self.log = (before + weight * deviation) as f32;
        let change = deviation.abs() * (1.0 - weight) - f64::from(self.deviation);
        let weight = (1.0 / (f64::from(self.count) + 1.0)).max(MIN_WEIGHT);
        self.deviation += (weight * change) as f32;
        self.at = now;
    }
}

/// Returns the fraction that remains of what was known at a time.
fn remaining(at: Tick, memory: Duration, now: Tick) -> f64 {
    (-now.since(at).as_secs_f64() / memory.as_secs_f64()).exp()
}

/// Removes the least recently used tenth, so that a full map isn't searched at each insertion.
fn remove_oldest<K, V>(map: &mut IndexMap<K, V>, used: impl Fn(&V) -> Tick) {
    let mut times: Vec<Tick> = map.values().map(&used).collect();
    let index = times.len() / 10;
    let (_, &mut limit, _) = times.select_nth_unstable(index);
    map.retain(|_, value| used(value) > limit);
}
