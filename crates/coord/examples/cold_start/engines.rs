//! Engines as they truly are: memory, checkpoints, and the weight store they share.

use std::collections::VecDeque;
use std::time::Duration;

use corianderyoke_coord::placement::Tier;
use corianderyoke_coord::time::Tick;
use indexmap::IndexMap;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::fleet::Fleet;
use crate::trace::WARM_UP;

/// Time that an engine takes to unload.
pub const UNLOAD: Duration = Duration::from_millis(500);

/// A model in an engine's memory.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Slot {
    /// Ready from the tick on.
    Loading(Tick),
    /// Gone from the tick on.
    Unloading(Tick),
}

/// One engine.
#[derive(Clone, Debug, Default)]
pub struct Engine {
    /// Newest fencing token.
    pub fence: u64,
    /// Models in accelerator memory.
    pub slots: IndexMap<usize, Slot>,
    host: VecDeque<usize>,
    disk: VecDeque<usize>,
}

/// All engines, and how much of them idles.
pub struct Engines<'a> {
    fleet: &'a Fleet,
    /// The engines.
    pub all: Vec<Engine>,
    running: Vec<u32>,
    seen: Tick,
    idle_micros: f64,
}

impl<'a> Engines<'a> {
    /// Engines whose disks have checkpoints here and there.
    pub fn new(fleet: &'a Fleet) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(7);
        let mut all = vec![Engine::default(); fleet.engines];
        for model in 0..fleet.models {
            let copies = rng.random_range(0..=2);
            for _ in 0..copies {
                let engine = &mut all[rng.random_range(0..fleet.engines)];
                keep(fleet, &mut engine.disk, model, fleet.disk);
            }
        }
        let running = vec![0; fleet.models];
        Engines { fleet, all, running, seen: Tick(0), idle_micros: 0.0 }
    }

    /// Where engine `at` has a model's checkpoint.
    pub fn tier(&self, at: usize, model: usize) -> Tier {
        let engine = &self.all[at];
        if engine.host.contains(&model) {
            Tier::Memory
        } else if engine.disk.contains(&model) {
            Tier::Disk
        } else {
            Tier::Remote
        }
    }

    /// Load time of a model at engine `at`.
    pub fn load_time(&self, at: usize, model: usize) -> Duration {
        self.fleet.load_time(model, self.tier(at, model))
    }

    /// Bytes in memory at engine `at`.
    pub fn used(&self, at: usize) -> u64 {
        self.all[at].slots.keys().map(|model| self.fleet.bytes(*model)).sum()
    }

    /// Starts a load; returns when it ends.
    pub fn load(&mut self, now: Tick, at: usize, model: usize) -> Tick {
        let ready = now + self.load_time(at, model);
        assert!(self.used(at) + self.fleet.bytes(model) <= self.fleet.memory, "overcommitted");
        let fleet = self.fleet;
        let engine = &mut self.all[at];
        engine.slots.insert(model, Slot::Loading(ready));
        keep(fleet, &mut engine.disk, model, fleet.disk);
        keep(fleet, &mut engine.host, model, fleet.host);
        ready
    }

    /// Starts to unload.
    pub fn unload(&mut self, now: Tick, at: usize, model: usize) {
        if let Some(slot @ Slot::Loading(_)) = self.all[at].slots.get_mut(&model) {
            *slot = Slot::Unloading(now + UNLOAD);
        }
    }

    /// Whether engine `at` serves a model.
    pub fn serves(&self, now: Tick, at: usize, model: usize) -> bool {
        matches!(self.all[at].slots.get(&model), Some(Slot::Loading(ready)) if *ready <= now)
    }

    /// Whether nobody runs requests of a model.
    pub fn idle(&self, model: usize) -> bool {
        self.running[model] == 0
    }

    /// Requests of a model that run.
    pub fn running(&self, model: usize) -> u32 {
        self.running[model]
    }

    /// A request starts.
    pub fn begin(&mut self, model: usize) {
        self.running[model] += 1;
    }

    /// A request ends.
    pub fn end(&mut self, model: usize) {
        self.running[model] -= 1;
    }

    /// Passes time: counts what idled, and ends what has come to its end.
    pub fn pass(&mut self, now: Tick) {
        let span = now.since(self.seen).as_micros() as f64;
        let memory = self.fleet.memory as f64;
        let counts = now > Tick(0) + WARM_UP;
        for engine in &mut self.all {
            for model in engine.slots.keys() {
                if counts && self.running[*model] == 0 {
                    self.idle_micros += span * self.fleet.bytes(*model) as f64 / memory;
                }
            }
            engine.slots.retain(|_, slot| !matches!(slot, Slot::Unloading(at) if *at <= now));
        }
        self.seen = now;
    }

    /// Idle accelerator hours so far.
    pub fn idle_hours(&self) -> f64 {
        self.idle_micros / 3.6e9
    }
}

/// Puts a checkpoint into a cache that drops the least recently used ones.
fn keep(fleet: &Fleet, cache: &mut VecDeque<usize>, model: usize, room: u64) {
    cache.retain(|other| *other != model);
    cache.push_back(model);
    while cache.iter().map(|model| fleet.bytes(*model)).sum::<u64>() > room {
        cache.pop_front();
    }
}
