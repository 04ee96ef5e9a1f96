//! Simulated engines: accelerator memory, checkpoint caches, and loads from the shared weight
//! store.

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
pub const UNLOAD_TIME: Duration = Duration::from_millis(500);

/// A model in an engine's memory.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Slot {
    /// Loaded, or being loaded until this tick.
    Loading(Tick),
    /// Being unloaded until this tick.
    Unloading(Tick),
}

/// A simulated engine.
#[derive(Clone, Debug, Default)]
pub struct Engine {
    /// Newest fencing token seen.
    pub fence: u64,
    /// Models in accelerator memory.
    pub slots: IndexMap<usize, Slot>,
    host_cache: VecDeque<usize>,
    disk_cache: VecDeque<usize>,
}

/// All engines, and the time for which their memory held unused models.
pub struct Engines<'a> {
    fleet: &'a Fleet,
    /// The engines.
    pub all: Vec<Engine>,
    running: Vec<u32>,
    advanced_to: Tick,
    idle_micros: f64,
}

impl<'a> Engines<'a> {
    /// Creates engines with up to two checkpoints of each model on random disks.
    pub fn new(fleet: &'a Fleet) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(7);
        let mut all = vec![Engine::default(); fleet.engines];
        for model in 0..fleet.models {
            let copies = rng.random_range(0..=2);
            for _ in 0..copies {
                let engine = &mut all[rng.random_range(0..fleet.engines)];
                cache_checkpoint(fleet, &mut engine.disk_cache, model, fleet.disk);
            }
        }
        let running = vec![0; fleet.models];
        Engines { fleet, all, running, advanced_to: Tick(0), idle_micros: 0.0 }
    }

    /// Fastest tier in which engine `at` has a model's checkpoint.
    pub fn tier(&self, at: usize, model: usize) -> Tier {
        let engine = &self.all[at];
        if engine.host_cache.contains(&model) {
            Tier::Memory
        } else if engine.disk_cache.contains(&model) {
            Tier::Disk
        } else {
            Tier::Remote
        }
    }

    /// Load time of a model at engine `at`.
    pub fn load_time(&self, at: usize, model: usize) -> Duration {
        self.fleet.load_time(model, self.tier(at, model))
    }

    /// Bytes of accelerator memory in use at engine `at`.
    pub fn used(&self, at: usize) -> u64 {
        self.all[at].slots.keys().map(|model| self.fleet.bytes(*model)).sum()
    }

    /// Starts a load and returns when it ends.
    pub fn load(&mut self, now: Tick, at: usize, model: usize) -> Tick {
        let ready = now + self.load_time(at, model);
        assert!(self.used(at) + self.fleet.bytes(model) <= self.fleet.memory, "overcommitted");
        let fleet = self.fleet;
        let engine = &mut self.all[at];
        engine.slots.insert(model, Slot::Loading(ready));
        cache_checkpoint(fleet, &mut engine.disk_cache, model, fleet.disk);
        cache_checkpoint(fleet, &mut engine.host_cache, model, fleet.host);
        ready
    }

    /// Starts to unload a model.
    pub fn unload(&mut self, now: Tick, at: usize, model: usize) {
        if let Some(slot @ Slot::Loading(_)) = self.all[at].slots.get_mut(&model) {
            *slot = Slot::Unloading(now + UNLOAD_TIME);
        }
    }

    /// Whether a model is loaded at engine `at`.
    pub fn serves(&self, now: Tick, at: usize, model: usize) -> bool {
        matches!(self.all[at].slots.get(&model), Some(Slot::Loading(ready)) if *ready <= now)
    }

    /// Whether no request of a model is running.
    pub fn is_idle(&self, model: usize) -> bool {
        self.running[model] == 0
    }

    /// Number of running requests of a model.
    pub fn running(&self, model: usize) -> u32 {
        self.running[model]
    }

    /// Counts a request that starts.
    pub fn start_request(&mut self, model: usize) {
        self.running[model] += 1;
    }

    /// Counts a request that ends.
    pub fn finish_request(&mut self, model: usize) {
        self.running[model] -= 1;
    }

    /// Advances the clock to `now`: adds up idle time and removes models that are unloaded.
    pub fn advance(&mut self, now: Tick) {
        let elapsed = now.since(self.advanced_to).as_micros() as f64;
        let memory = self.fleet.memory as f64;
        let measured = now > Tick(0) + WARM_UP;
        for engine in &mut self.all {
            for model in engine.slots.keys() {
                if measured && self.running[*model] == 0 {
                    self.idle_micros += elapsed * self.fleet.bytes(*model) as f64 / memory;
                }
            }
            engine.slots.retain(|_, slot| !matches!(slot, Slot::Unloading(at) if *at <= now));
        }
        self.advanced_to = now;
    }

    /// Accelerator hours for which memory held unused models, so far.
    pub fn idle_hours(&self) -> f64 {
        self.idle_micros / 3.6e9
    }
}

/// Adds a checkpoint to a cache, which drops the least recently used ones beyond `capacity` bytes.
fn cache_checkpoint(fleet: &Fleet, cache: &mut VecDeque<usize>, model: usize, capacity: u64) {
    cache.retain(|other| *other != model);
    cache.push_back(model);
    while cache.iter().map(|model| fleet.bytes(*model)).sum::<u64>() > capacity {
        cache.pop_front();
    }
}
