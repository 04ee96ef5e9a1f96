//! Baseline without messages or table: a single queue that knows when each model is used next.

use std::time::Duration;

use corianderyoke_coord::placement::demand::Demand;
use corianderyoke_coord::placement::keep_alive::KeepAliveRule;
use corianderyoke_coord::placement::Tier;
use corianderyoke_coord::time::Tick;

use crate::engines::Engines;
use crate::engines::Slot;
use crate::engines::UNLOAD_TIME;
use crate::fleet::Fleet;
use crate::trace::Trace;
use crate::Results;

/// Time step of the simulation.
const STEP: Duration = Duration::from_millis(10);

struct Oracle<'a> {
    fleet: &'a Fleet,
    trace: &'a Trace,
    keep: KeepAliveRule,
    engines: Engines<'a>,
    now: Tick,
    demand: Vec<Demand>,
    waiting: Vec<Vec<usize>>,
    /// Models to load, the longest wait first.
    queue: Vec<usize>,
    /// Engine on which memory is being freed for each model.
    making_room: Vec<Option<usize>>,
    /// End time and model of each running request.
    running: Vec<(Tick, usize)>,
    /// End times of the loads from the weight store.
    remote_loads: Vec<Tick>,
    /// Earliest start of the next load from the weight store.
    next_store_load: Tick,
    /// Future arrivals of each model, the next one last.
    arrivals: Vec<Vec<Tick>>,
    results: Results,
}

/// Replays `trace` under the same keep-alive rule as the planner.
pub fn run(fleet: &Fleet, trace: &Trace, keep: KeepAliveRule) -> Results {
    let mut arrivals = vec![Vec::new(); fleet.models];
    for request in trace.requests.iter().rev() {
        arrivals[request.model].push(request.at);
    }
    let mut oracle = Oracle {
        fleet,
        trace,
        keep,
        engines: Engines::new(fleet),
        now: Tick(0),
        demand: vec![Demand::default(); fleet.models],
        waiting: vec![Vec::new(); fleet.models],
        queue: Vec::new(),
        making_room: vec![None; fleet.models],
        running: Vec::new(),
        remote_loads: Vec::new(),
        next_store_load: Tick(0),
        arrivals,
        results: Results::default(),
    };
    let mut next = 0;
    while oracle.now < Tick(0) + crate::trace::TRACE_LENGTH {
        oracle.now = oracle.now + STEP;
        oracle.engines.advance(oracle.now);
        while trace.requests.get(next).is_some_and(|request| request.at <= oracle.now) {
            oracle.arrive(next);
            next += 1;
        }
        oracle.step();
    }
    oracle.results.idle_hours = oracle.engines.idle_hours();
    oracle.results
}

impl Oracle<'_> {
    fn arrive(&mut self, at: usize) {
        let model = self.trace.requests[at].model;
        self.arrivals[model].pop();
        self.waiting[model].push(at);
        let callers = self.waiting[model].len() as u32 + self.engines.running(model);
        self.demand[model].record_report(self.now, "all", callers, 0, Duration::from_secs(5));
        let loaded_on = |engine: usize| {
            matches!(self.engines.all[engine].slots.get(&model), Some(Slot::Loading(_)))
        };
        if !self.queue.contains(&model) && !(0..self.fleet.engines).any(loaded_on) {
            self.queue.push(model);
        }
    }

    fn step(&mut self) {
        let now = self.now;
        for (_, model) in self.running.extract_if(.., |(at, _)| *at <= now) {
            self.engines.finish_request(model);
            self.demand[model].record_use(now);
        }
        self.start_waiting();
        self.expire();
        self.remote_loads.retain(|ready| *ready > now);
        for model in self.queue.clone() {
            if self.place(model) {
                self.queue.retain(|other| *other != model);
            }
        }
    }

    fn start_waiting(&mut self) {
        for model in 0..self.fleet.models {
            let ready = (0..self.fleet.engines).any(|at| self.engines.serves(self.now, at, model));
            if !ready {
                continue;
            }
            for at in std::mem::take(&mut self.waiting[model]) {
                let request = self.trace.requests[at];
                let wait = self.now.since(request.at).as_micros() as u64;
                let wait = if wait <= STEP.as_micros() as u64 { 0 } else { wait };
                if request.is_measured() {
                    self.results.waits.push(wait);
                }
                self.engines.start_request(model);
                self.running.push((self.now + request.run_time, model));
            }
        }
    }

    fn expire(&mut self) {
        for at in 0..self.fleet.engines {
            let models: Vec<usize> = self.engines.all[at].slots.keys().copied().collect();
            for model in models {
                let share = self.fleet.bytes(model) as f64 / self.fleet.memory as f64;
                let demand = &self.demand[model];
                let window =
                    self.keep.window(&demand.gaps, self.fleet.load_time(model, Tier::Disk), share);
                let end = demand.last_used.zip(window).map(|(used, window)| used + window);
                let expired = end.is_some_and(|end| end <= self.now);
                if expired && self.is_unused(at, model) {
                    self.engines.unload(self.now, at, model);
                }
            }
        }
    }

    /// Whether a replica is loaded and no request for its model waits or runs.
    fn is_unused(&self, at: usize, model: usize) -> bool {
        let idle = self.engines.is_idle(model) && self.waiting[model].is_empty();
        idle && self.engines.serves(self.now, at, model)
    }

    fn place(&mut self, model: usize) -> bool {
        if let Some(at) = self.making_room[model] {
            if self.engines.used(at) + self.fleet.bytes(model) > self.fleet.memory {
                return false;
            }
            return self.load(at, model);
        }
        let candidates = (0..self.fleet.engines).filter_map(|at| self.evaluate(at, model));
        let best = candidates.min_by(|a, b| (a.0, b.1).partial_cmp(&(b.0, a.1)).expect("no NaN"));
        let Some((_, _, at, victims)) = best else {
            return false;
        };
        if victims.is_empty() {
            return self.load(at, model);
        }
        for victim in victims {
            self.engines.unload(self.now, at, victim);
        }
        self.making_room[model] = Some(at);
        false
    }

    /// Time until ready, time of the earliest next use of a victim, engine and victims.
    fn evaluate(&self, at: usize, model: usize) -> Option<(Duration, u64, usize, Vec<usize>)> {
        let reservations =
            (0..self.fleet.models).filter(|other| self.making_room[*other] == Some(at));
        let reserved: u64 = reservations.map(|other| self.fleet.bytes(other)).sum();
        let used = self.engines.used(at) + reserved;
        let needed = (used + self.fleet.bytes(model)).saturating_sub(self.fleet.memory);
        let slots = &self.engines.all[at].slots;
        let mut freed = 0;
        for (other, slot) in slots {
            if matches!(slot, Slot::Unloading(_)) {
                freed += self.fleet.bytes(*other);
            }
        }
        let mut unused: Vec<(u64, usize)> = slots
            .keys()
            .filter(|other| self.is_unused(at, **other))
            .map(|other| (self.arrivals[*other].last().map_or(u64::MAX, |at| at.0), *other))
            .collect();
        unused.sort_unstable();
        let mut victims = Vec::new();
        let mut next_use = u64::MAX;
        while freed < needed {
            let (next, victim) = unused.pop()?;
            freed += self.fleet.bytes(victim);
            next_use = next_use.min(next);
            victims.push(victim);
        }
        let unload_time = if needed > 0 { UNLOAD_TIME } else { Duration::ZERO };
        let store_wait = match self.engines.tier(at, model) {
            Tier::Remote => self.next_store_load.since(self.now),
            _ => Duration::ZERO,
        };
        Some((unload_time + store_wait + self.engines.load_time(at, model), next_use, at, victims))
    }

    fn load(&mut self, at: usize, model: usize) -> bool {
        if self.engines.used(at) + self.fleet.bytes(model) > self.fleet.memory {
            self.making_room[model] = Some(at);
            return false;
        }
        let remote = self.engines.tier(at, model) == Tier::Remote;
        let store_busy =
            self.remote_loads.len() >= self.fleet.store_inflight || self.next_store_load > self.now;
        if remote && store_busy {
            return false;
        }
        self.making_room[model] = None;
        let ready = self.engines.load(self.now, at, model);
        if remote {
            self.remote_loads.push(ready);
            self.next_store_load = self.now + Duration::from_secs_f64(1.0 / self.fleet.store_rate);
        }
        true
    }
}
