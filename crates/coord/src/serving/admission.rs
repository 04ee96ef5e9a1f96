//! Decides the order in which requests are sent to engines that are nearly full, and which requests
//! are refused because their turn can't come in time.
//!
//! Requests that find no place wait in a [`Queue`], in the order of their [`Rank`]. At each engine, a
//! request is sent only if there is room for it besides the more urgent requests that wait for the
//! same engine, and besides those that probably arrive before this daemon hears of the next free
//! place. An engine with plenty of room accepts every request, as without a queue.

use std::time::Duration;

use indexmap::IndexMap;

use crate::hash::mix;
use crate::keys::UpstreamKey;
use crate::serving::choice::Candidate;
use crate::time;
use crate::time::Tick;

/// Number of priorities that are told apart. Engines tell as many apart; higher numbers count as
/// the last one.
const PRIORITIES: usize = 10;
/// Most requests that wait; beyond it, the least urgent is refused.
const MAX_WAITING: usize = 4_096;
/// Most engines at which one request keeps others from being sent. The request may still be sent to
/// any other engine.
const MAX_ENGINES: usize = 64;
/// Number of services from which on those without recent requests are forgotten.
const MAX_SERVICES: usize = 1_024;
/// Time without requests after which a service may be forgotten.
const SERVICE_TTL: Duration = Duration::from_secs(30);
/// Most engines whose sends are counted.
const MAX_METERS: usize = 16_384;
/// Fewest requests with the same engines that look for a place whenever something changed. As many do
/// as there are engines, if there are more. The others look at longer intervals, so that a long queue
/// costs little processor time.
const MIN_ACTIVE: usize = 4;
/// Length of the intervals in which sends are counted, in microseconds.
const METER_INTERVAL_US: u64 = 1_000_000;
/// Age of the loads that other daemons report. More urgent requests that arrive within this time may
/// take the places that look free.
const LOAD_AGE: Duration = Duration::from_millis(500);
/// The part of an engine's places and memory that may be kept for more urgent requests is one over
/// this number. It is zero for engines of few places, which serve short requests and so have a
/// free place within the latency target of any request.
const KEPT_DIVISOR: u32 = 8;
/// Part of an engine's memory that waiting requests may keep from less urgent ones. A request that
/// needs more would empty the engine.
const AWAITED_DIVISOR: u64 = 2;
/// Time constant with which arrivals and sends by priority are forgotten, in seconds. Bursts last 6 to
/// 8 s; with 10 s, a kind got nothing for most of a burst because of what was sent before it.
const SHARE_MEMORY_S: f64 = 4.0;
/// Requests of a priority move to the front if their share of sent requests falls below this part of
/// the share over all priorities. A quarter is required; with 0.35, the share of a kind was 0.247 of
/// that over all priorities in the test of a more urgent kind at four times its rate.
const MIN_RELATIVE_SHARE: f64 = 0.45;
/// Fewest arrivals of a priority, after forgetting, from which its share is judged.
const MIN_JUDGED_ARRIVALS: f64 = 4.0;
/// Shortest retry delay that callers are told. Earlier retries would only add load.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);
/// Callers wait for a retry delay up to this fraction of the time that they have left.
const MAX_DELAY_DIVISOR: u32 = 3;

/// Position of a request in the order of urgency; the lowest is served first.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Rank {
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Time after which the latency target can't be met.
    pub latest: Tick,
    /// Time of arrival.
    pub arrived: Tick,
    /// Distinguishes the requests of one daemon. See [`Queue::next_id`].
    pub id: u64,
}

/// What a request asks of an engine.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Ask {
    /// Position in the order of urgency.
    pub rank: Rank,
    /// Tokens of the prompt and the answer.
    pub tokens: u64,
}

/// Occupancy of the engines that could serve a request.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Crowd {
    /// The engines.
    pub engines: Vec<UpstreamKey>,
    /// Places taken at all of them.
    pub taken: u64,
    /// Places at all of them.
    pub places: u64,
}

/// Time that a request has left, and what it depends on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Time at which the request is useless unless it was sent to an engine.
    pub start: Tick,
    /// Time at which the caller stops waiting.
    pub end: Tick,
    /// Seed that spreads the retry delay.
    pub seed: u64,
}

/// Size of a service's fleet.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Fleet {
    /// Number of daemons that send to the engines, including this one.
    pub daemons: usize,
    /// Number of engines that accept requests.
    pub engines: usize,
}

/// Decision about a request that found no place.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// Look for a place again at this time at the latest.
    WaitUntil(Tick),
    /// Refuse, and tell the caller this delay. Contains the estimate that the decision rests on.
    Refuse(Duration, Estimate),
}

/// Estimate of the time until the turn of a waiting request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Estimate {
    /// Number of more urgent requests that wait, each counted by the part of its engines that could
    /// serve this request too.
    pub ahead: f64,
    /// Most requests a second that this daemon can probably send to its engines.
    pub rate: f64,
    /// Time until its turn.
    pub wait: Duration,
}

/// Interval between two estimates of a waiting request.
pub const ESTIMATE_INTERVAL: Duration = Duration::from_millis(300);

/// Requests that wait for the same engines.
#[derive(Clone, Debug)]
struct Group {
    /// The engines, in ascending order.
    engines: Vec<UpstreamKey>,
    /// The requests with their tokens, in the order of urgency.
    waiting: Vec<(Rank, u64)>,
}

impl Group {
    /// Returns the number of requests that are more urgent than `rank`.
    fn ahead(&self, rank: Rank) -> usize {
        self.waiting.partition_point(|(other, _)| *other < rank)
    }
}

/// Number of recent sends to an engine by priority, in the current and the previous interval.
#[derive(Clone, Copy, Debug, Default)]
struct Meter {
    interval: u64,
    current: [u16; PRIORITIES],
    previous: [u16; PRIORITIES],
}

impl Meter {
    fn advance(&mut self, now: Tick) {
        let interval = now.0 / METER_INTERVAL_US;
        match interval.saturating_sub(self.interval) {
            0 => return,
            1 => self.previous = self.current,
            _ => self.previous = [0; PRIORITIES],
        }
        self.current = [0; PRIORITIES];
        self.interval = interval;
    }

    fn record(&mut self, priority: usize, now: Tick) {
        self.advance(now);
        if let Some(count) = self.current.get_mut(priority) {
            *count = count.saturating_add(1);
        }
    }

    /// Returns the number of sends of this priority and less urgent ones.
    fn count(mut self, priority: usize, now: Tick) -> u64 {
        self.advance(now);
        let counts = self.current.iter().skip(priority).chain(self.previous.iter().skip(priority));
        counts.map(|count| u64::from(*count)).sum()
    }
}

/// Arrivals and sends of the requests of one priority, which are slowly forgotten.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    arrived: f64,
    tokens: f64,
    sent: f64,
    /// Latest time at which a refused request was told to return.
    last_return: Tick,
}

/// Arrivals and sends of a service's requests at this daemon.
#[derive(Clone, Copy, Debug, Default)]
struct Demand {
    tallies: [Tally; PRIORITIES],
    decayed: Tick,
}

impl Demand {
    fn decay(&mut self, now: Tick) {
        let factor = (-now.since(self.decayed).as_secs_f64() / SHARE_MEMORY_S).exp();
        for tally in &mut self.tallies {
            tally.arrived *= factor;
            tally.tokens *= factor;
            tally.sent *= factor;
        }
        self.decayed = now;
    }

    /// Returns whether requests of this priority are sent much less often than the others.
    fn is_starved(&self, priority: usize) -> bool {
        let sum = |field: fn(&Tally) -> f64| self.tallies.iter().map(field).sum::<f64>();
        let (arrived, sent) = (sum(|tally| tally.arrived), sum(|tally| tally.sent));
        let Some(own) = self.tallies.get(priority) else { return false };
        own.arrived >= MIN_JUDGED_ARRIVALS
            && own.sent / own.arrived < MIN_RELATIVE_SHARE * (sent / arrived).min(1.0)
    }
}

/// Places and memory of an engine that are kept for more urgent requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct Kept {
    places: u64,
    tokens: u64,
}

/// Requests of one daemon that wait for a place at an engine.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    last_id: u64,
    last_group: u64,
    /// Waiting requests by identifier, with their group.
    waiting: IndexMap<u64, (Ask, u64)>,
    groups: IndexMap<u64, Group>,
    /// Groups by their engines.
    by_engines: IndexMap<Vec<UpstreamKey>, u64>,
    /// Groups that wait for an engine.
    by_engine: IndexMap<UpstreamKey, Vec<u64>>,
    sends: IndexMap<UpstreamKey, Meter>,
    /// Demand by service.
    demand: IndexMap<String, Demand>,
}

impl Queue {
    /// Returns a number that no other request of this daemon has.
    pub fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Records the arrival of a request for a service.
    pub fn record_arrival(&mut self, service: &str, ask: Ask, now: Tick) {
        let tally = self.tally(service, ask.rank.priority, now);
        tally.arrived += 1.0;
        tally.tokens += ask.tokens as f64;
    }

    /// Records that a request was sent to an engine of a service. `ask` has the priority of its
    /// arrival. Requests sent more than once count once; `is_first` says so.
    pub fn record_send(
        &mut self,
        service: &str,
        ask: Ask,
        engine: UpstreamKey,
        is_first: bool,
        now: Tick,
    ) {
        if is_first {
            self.tally(service, ask.rank.priority, now).sent += 1.0;
        }
        if self.sends.len() >= MAX_METERS && !self.sends.contains_key(&engine) {
            self.sends.retain(|_, meter| meter.count(0, now) > 0);
        }
        self.sends.entry(engine).or_default().record(level(ask.rank.priority), now);
    }

    fn tally(&mut self, service: &str, priority: u8, now: Tick) -> &mut Tally {
        if !self.demand.contains_key(service) {
            if self.demand.len() >= MAX_SERVICES {
                let is_recent = |demand: &Demand| now.since(demand.decayed) < SERVICE_TTL;
                self.demand.retain(|_, demand| is_recent(demand));
            }
            let demand = Demand { decayed: now, ..Demand::default() };
            self.demand.insert(service.to_owned(), demand);
        }
        // Always succeeds: the entry was inserted above.
        let demand = self.demand.entry(service.to_owned()).or_default();
        demand.decay(now);
        &mut demand.tallies[level(priority)]
    }

    /// Returns the rank with which a request waits: its own, or the most urgent one if few requests
    /// of its priority are sent.
    pub fn rank(&self, service: &str, own: Rank) -> Rank {
        let demand = self.demand.get(service);
        if demand.is_some_and(|demand| demand.is_starved(level(own.priority))) {
            return Rank { priority: 0, latest: Tick(0), ..own };
        }
        own
    }

    /// Returns whether a request may be sent to an engine that has room for it: besides it, the more
    /// urgent requests that wait for the engine and those that are about to arrive have room too.
    /// `usable` is the memory that requests may use, in tokens; 0 if it is unknown. `fleet` is called
    /// only if places are scarce.
    pub fn permits(
        &self,
        service: &str,
        ask: Ask,
        candidate: &Candidate,
        usable: u64,
        fleet: impl Fn() -> Fleet,
        now: Tick,
    ) -> bool {
        let places = u64::from(candidate.slots.saturating_sub(candidate.load.running));
        if places == 0 {
            return false;
        }
        let tokens = usable.saturating_sub(candidate.load.tokens);
        let awaited = self.awaited(candidate.key, ask.rank, usable, places);
        if awaited.places >= places {
            return false;
        }
        if candidate.load.running == 0 && awaited == Kept::default() {
            return true;
        }
        let free_tokens = tokens.saturating_sub(ask.tokens);
        let is_scarce = places <= u64::from(candidate.slots / KEPT_DIVISOR)
            || usable > 0 && free_tokens < usable / u64::from(KEPT_DIVISOR);
        let kept = if is_scarce && level(ask.rank.priority) > 0 {
            self.kept(service, ask.rank, candidate.slots, usable, fleet(), now)
        } else {
            Kept::default()
        };
        let needed = ask.tokens.saturating_add(awaited.tokens).saturating_add(kept.tokens);
        places > awaited.places + kept.places && (usable == 0 || tokens >= needed)
    }

    /// Returns what more urgent requests wait for at an engine, up to so many requests.
    fn awaited(&self, engine: UpstreamKey, rank: Rank, usable: u64, most: u64) -> Kept {
        let mut awaited = Kept::default();
        let groups = self.by_engine.get(&engine).into_iter().flatten();
        for group in groups.filter_map(|group| self.groups.get(group)) {
            for (_, tokens) in group.waiting.iter().take_while(|(other, _)| *other < rank) {
                if awaited.places >= most {
                    return awaited;
                }
                awaited.places += 1;
                awaited.tokens = awaited.tokens.saturating_add(*tokens);
            }
        }
        awaited.tokens = awaited.tokens.min(usable / AWAITED_DIVISOR);
        awaited
    }

    /// Returns what is kept at an engine for more urgent requests that haven't arrived yet. Every
    /// daemon is assumed to receive as many as this one.
    fn kept(
        &self,
        service: &str,
        rank: Rank,
        slots: u32,
        usable: u64,
        fleet: Fleet,
        now: Tick,
    ) -> Kept {
        let Some(demand) = self.demand.get(service) else { return Kept::default() };
        let urgent = demand.tallies.iter().take(level(rank.priority));
        let (arrived, tokens) =
            urgent.fold((0.0, 0.0), |sum, tally| (sum.0 + tally.arrived, sum.1 + tally.tokens));
        let age = (-now.since(demand.decayed).as_secs_f64() / SHARE_MEMORY_S).exp();
        let daemons_per_engine = fleet.daemons as f64 / fleet.engines.max(1) as f64;
        let scale = age / SHARE_MEMORY_S * daemons_per_engine * LOAD_AGE.as_secs_f64();
        let most = u64::from(slots / KEPT_DIVISOR);
        let places = ((arrived * scale).round() as u64).min(most);
        if places == 0 {
            return Kept::default();
        }
        Kept { places, tokens: ((tokens * scale) as u64).min(usable / u64::from(KEPT_DIVISOR)) }
    }

    /// Adds a request that found no place, or updates its urgency and the engines that it waits for.
    pub fn insert(&mut self, ask: Ask, engines: &[UpstreamKey]) {
        let mut engines: Vec<UpstreamKey> = engines.iter().copied().take(MAX_ENGINES).collect();
        engines.sort_unstable();
        if let Some((old, group)) = self.waiting.get(&ask.rank.id) {
            let group = self.groups.get(group);
            if *old == ask && group.is_some_and(|group| group.engines == engines) {
                return;
            }
            self.remove(ask.rank.id);
        }
        let id = self.group(engines);
        if let Some(group) = self.groups.get_mut(&id) {
            let at = group.ahead(ask.rank);
            group.waiting.insert(at, (ask.rank, ask.tokens));
        }
        self.waiting.insert(ask.rank.id, (ask, id));
        if self.waiting.len() > MAX_WAITING {
            let lasts = self.groups.values().filter_map(|group| group.waiting.last());
            let last = lasts.map(|(rank, _)| *rank).max();
            self.remove(last.map_or(0, |rank| rank.id));
        }
    }

    /// Returns the group of the requests that wait for these engines.
    fn group(&mut self, engines: Vec<UpstreamKey>) -> u64 {
        if let Some(id) = self.by_engines.get(&engines) {
            return *id;
        }
        self.last_group += 1;
        let id = self.last_group;
        for engine in &engines {
            self.by_engine.entry(*engine).or_default().push(id);
        }
        self.by_engines.insert(engines.clone(), id);
        self.groups.insert(id, Group { engines, waiting: Vec::new() });
        id
    }

    /// Removes a request that doesn't wait any more.
    pub fn remove(&mut self, id: u64) {
        let Some((ask, key)) = self.waiting.swap_remove(&id) else { return };
        let Some(group) = self.groups.get_mut(&key) else { return };
        let at = group.ahead(ask.rank);
        if group.waiting.get(at).is_some_and(|(rank, _)| *rank == ask.rank) {
            group.waiting.remove(at);
        }
        if !group.waiting.is_empty() {
            return;
        }
        let Some(group) = self.groups.swap_remove(&key) else { return };
        self.by_engines.swap_remove(&group.engines);
        for engine in group.engines {
            let Some(groups) = self.by_engine.get_mut(&engine) else { continue };
            groups.retain(|other| *other != key);
            if groups.is_empty() {
                self.by_engine.swap_remove(&engine);
            }
        }
    }

    /// Returns whether a request waits.
    pub fn is_waiting(&self, id: u64) -> bool {
        self.waiting.contains_key(&id)
    }

    /// Returns whether a request is among the first that wait for its engines, so that it may find a
    /// place whenever something changed.
    pub fn is_active(&self, id: u64) -> bool {
        let Some((ask, group)) = self.waiting.get(&id) else { return true };
        let group = self.groups.get(group);
        group.is_none_or(|group| group.ahead(ask.rank) < group.engines.len().max(MIN_ACTIVE))
    }

    /// Decides whether a request that found no place waits on or is refused. It must have been
    /// inserted before; otherwise the queue was full of more urgent ones.
    pub fn verdict(
        &mut self,
        service: &str,
        ask: Ask,
        crowd: &Crowd,
        limits: Limits,
        now: Tick,
    ) -> Verdict {
        let estimate = self.estimate(ask.rank, &crowd.engines, now);
        let is_displaced = !self.waiting.contains_key(&ask.rank.id);
        let is_busy = crowd.taken.saturating_mul(2) >= crowd.places;
        let is_late = estimate.wait > limits.start.since(now);
        if is_displaced || is_busy && is_late {
            self.remove(ask.rank.id);
            let delay = self.retry_after(service, ask.rank, estimate, limits, now);
            return Verdict::Refuse(delay, estimate);
        }
        Verdict::WaitUntil(now + ESTIMATE_INTERVAL)
    }

    /// Estimates the time until the turn of a request from what waits ahead of it and from what this
    /// daemon sent of its priority and less urgent ones. More urgent requests go on to arrive, so
    /// their places don't count.
    pub fn estimate(&self, rank: Rank, engines: &[UpstreamKey], now: Tick) -> Estimate {
        let mut sent = 0;
        // Groups with the number of engines that they share with the request.
        let mut shared: IndexMap<u64, u32> = IndexMap::new();
        for engine in engines.iter().take(MAX_ENGINES) {
            for group in self.by_engine.get(engine).into_iter().flatten() {
                *shared.entry(*group).or_default() += 1;
            }
            let meter = self.sends.get(engine);
            sent += meter.map_or(0, |meter| meter.count(level(rank.priority), now));
        }
        let ahead: f64 = shared
            .iter()
            .filter_map(|(group, count)| {
                let group = self.groups.get(group)?;
                let part = f64::from(*count) / group.engines.len() as f64;
                Some(group.ahead(rank) as f64 * part)
            })
            .sum();
        // The counters cover the previous interval and the past part of the current one. A few sends
        // say little about the rate, so it is taken as one standard deviation higher. A request that
        // could have been served isn't refused then, and one that can't is refused later.
        let span = (METER_INTERVAL_US + now.0 % METER_INTERVAL_US) as f64 / 1e6;
        let count = sent as f64 + 1.0;
        let rate = (count + count.sqrt()) / span;
        Estimate { ahead, rate, wait: time::saturating_seconds(ahead / rate) }
    }

    /// Returns the delay after which the caller of a refused request may retry: its probable turn, but
    /// not later than its caller waits. The turns of refused requests follow each other.
    pub fn retry_after(
        &mut self,
        service: &str,
        rank: Rank,
        estimate: Estimate,
        limits: Limits,
        now: Tick,
    ) -> Duration {
        let most = limits.end.since(now) / MAX_DELAY_DIVISOR;
        let last = &mut self.tally(service, rank.priority, now).last_return;
        let interval = time::saturating_seconds(1.0 / estimate.rate.max(1e-3));
        let turn = (now + estimate.wait.max(MIN_RETRY_AFTER)).max(*last + interval);
        let delay = turn.since(now);
        if delay <= most {
            *last = turn;
            return delay;
        }
        // Later turns are of no use to the caller, so the delays are spread up to the last useful one.
        let part = (mix(limits.seed) % 1_024) as f64 / 1_024.0;
        most.mul_f64(0.5 + 0.5 * part).max(MIN_RETRY_AFTER)
    }
}

fn level(priority: u8) -> usize {
    usize::from(priority).min(PRIORITIES - 1)
}
