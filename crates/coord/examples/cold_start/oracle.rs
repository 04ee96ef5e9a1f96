//! An all-knowing single queue: no messages, no store, and it knows when each model is used next.

use std::time::Duration;

use corianderyoke_coord::placement::demand::Demand;
use corianderyoke_coord::placement::keep_alive::KeepAliveRule;
use corianderyoke_coord::placement::Tier;
use corianderyoke_coord::time::Tick;

use crate::engines::Engines;
use crate::engines::Slot;
use crate::engines::UNLOAD;
use crate::fleet::Fleet;
use crate::trace::Trace;
use crate::Figures;

/// Time between two looks at the queue.
const STEP: Duration = Duration::from_millis(10);

struct Queue<'a> {
    fleet: &'a Fleet,
    trace: &'a Trace,
    keep: KeepAliveRule,
    engines: Engines<'a>,
    now: Tick,
    demand: Vec<Demand>,
    waiting: Vec<Vec<usize>>,
    /// Models to load, the longest wait first.
    queue: Vec<usize>,
    /// Engine on which room is being made for a model.
    room: Vec<Option<usize>>,
    finish: Vec<(Tick, usize)>,
    remote: Vec<Tick>,
    store_next: Tick,
    /// Arrivals of each model that are still to come, the next one last.
    coming: Vec<Vec<Tick>>,
    figures: Figures,
}

/// Replays `trace` under the same keep-alive rule as the planner's.
pub fn run(fleet: &Fleet, trace: &Trace, keep: KeepAliveRule) -> Figures {
    let mut coming = vec![Vec::new(); fleet.models];
    for request in trace.requests.iter().rev() {
        coming[request.model].push(request.at);
    }
    let mut queue = Queue {
        fleet,
        trace,
        keep,
        engines: Engines::new(fleet),
        now: Tick(0),
        demand: vec![Demand::default(); fleet.models],
        waiting: vec![Vec::new(); fleet.models],
        queue: Vec::new(),
        room: vec![None; fleet.models],
        finish: Vec::new(),
        remote: Vec::new(),
        store_next: Tick(0),
        coming,
        figures: Figures::default(),
    };
    let mut next = 0;
    while queue.now < Tick(0) + crate::trace::LENGTH {
        queue.now = queue.now + STEP;
        queue.engines.pass(queue.now);
        while trace.requests.get(next).is_some_and(|request| request.at <= queue.now) {
            queue.arrive(next);
            next += 1;
        }
        queue.step();
    }
    queue.figures.idle_hours = queue.engines.idle_hours();
    queue.figures
}

impl Queue<'_> {
    fn arrive(&mut self, at: usize) {
        let model = self.trace.requests[at].model;
        self.coming[model].pop();
        self.waiting[model].push(at);
        let callers = self.waiting[model].len() as u32 + self.engines.running(model);
        self.demand[model].record_report(self.now, "all", callers, 0, Duration::from_secs(5));
        let held = |engine: usize| {
            matches!(self.engines.all[engine].slots.get(&model), Some(Slot::Loading(_)))
        };
        if !self.queue.contains(&model) && !(0..self.fleet.engines).any(held) {
            self.queue.push(model);
        }
    }

    fn step(&mut self) {
        let now = self.now;
        for (_, model) in self.finish.extract_if(.., |(at, _)| *at <= now) {
            self.engines.end(model);
            self.demand[model].record_use(now);
        }
        self.serve();
        self.expire();
        self.remote.retain(|ready| *ready > now);
        for model in self.queue.clone() {
            if self.place(model) {
                self.queue.retain(|other| *other != model);
            }
        }
    }

    fn serve(&mut self) {
        for model in 0..self.fleet.models {
            let ready = (0..self.fleet.engines).any(|at| self.engines.serves(self.now, at, model));
            if !ready {
                continue;
            }
            for at in std::mem::take(&mut self.waiting[model]) {
                let request = self.trace.requests[at];
                let wait = self.now.since(request.at).as_micros() as u64;
                let wait = if wait <= STEP.as_micros() as u64 { 0 } else { wait };
                if request.counts() {
                    self.figures.waits.push(wait);
                }
                self.engines.begin(model);
                self.finish.push((self.now + request.runs, model));
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
                let over = end.is_some_and(|end| end <= self.now);
                if over && self.free(at, model) {
                    self.engines.unload(self.now, at, model);
                }
            }
        }
    }

    /// Whether a replica serves nobody.
    fn free(&self, at: usize, model: usize) -> bool {
        let idle = self.engines.idle(model) && self.waiting[model].is_empty();
        idle && self.engines.serves(self.now, at, model)
    }

    fn place(&mut self, model: usize) -> bool {
        if let Some(at) = self.room[model] {
            if self.engines.used(at) + self.fleet.bytes(model) > self.fleet.memory {
                return false;
            }
            return self.load(at, model);
        }
        let offers = (0..self.fleet.engines).filter_map(|at| self.offer(at, model));
        let best = offers.min_by(|a, b| (a.0, b.1).partial_cmp(&(b.0, a.1)).expect("no NaN"));
        let Some((_, _, at, victims)) = best else {
            return false;
        };
        if victims.is_empty() {
            return self.load(at, model);
        }
        for victim in victims {
            self.engines.unload(self.now, at, victim);
        }
        self.room[model] = Some(at);
        false
    }

    /// Time until ready, the time until a victim is next used, the engine and the victims.
    fn offer(&self, at: usize, model: usize) -> Option<(Duration, u64, usize, Vec<usize>)> {
        let claims = (0..self.fleet.models).filter(|other| self.room[*other] == Some(at));
        let claimed: u64 = claims.map(|other| self.fleet.bytes(other)).sum();
        let used = self.engines.used(at) + claimed;
        let need = (used + self.fleet.bytes(model)).saturating_sub(self.fleet.memory);
        let slots = &self.engines.all[at].slots;
        let mut found = 0;
        for (other, slot) in slots {
            if matches!(slot, Slot::Unloading(_)) {
                found += self.fleet.bytes(*other);
            }
        }
        let mut idle: Vec<(u64, usize)> = slots
            .keys()
            .filter(|other| self.free(at, **other))
            .map(|other| (self.coming[*other].last().map_or(u64::MAX, |at| at.0), *other))
            .collect();
        idle.sort_unstable();
        let mut victims = Vec::new();
        let mut soonest = u64::MAX;
        while found < need {
            let (next, victim) = idle.pop()?;
            found += self.fleet.bytes(victim);
            soonest = soonest.min(next);
            victims.push(victim);
        }
        let room = if need > 0 { UNLOAD } else { Duration::ZERO };
        let store = match self.engines.tier(at, model) {
            Tier::Remote => self.store_next.since(self.now),
            _ => Duration::ZERO,
        };
        Some((room + store + self.engines.load_time(at, model), soonest, at, victims))
    }

    fn load(&mut self, at: usize, model: usize) -> bool {
        if self.engines.used(at) + self.fleet.bytes(model) > self.fleet.memory {
            self.room[model] = Some(at);
            return false;
        }
        let remote = self.engines.tier(at, model) == Tier::Remote;
        let full = self.remote.len() >= self.fleet.store_inflight || self.store_next > self.now;
        if remote && full {
            return false;
        }
        self.room[model] = None;
        let ready = self.engines.load(self.now, at, model);
        if remote {
            self.remote.push(ready);
            self.store_next = self.now + Duration::from_secs_f64(1.0 / self.fleet.store_rate);
        }
        true
    }
}
