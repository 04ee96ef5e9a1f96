//! Memory and models of one engine, and the orders about them.

use indexmap::IndexMap;
use indexmap::IndexSet;
use serde::Deserialize;
use serde::Serialize;

use super::settings::Settings;
use super::settings::Tier;

/// What an order asks for.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Op {
    /// Load a model.
    Load,
    /// Unload a model with its adapters.
    Unload,
    /// Load an adapter of a loaded model.
    LoadAdapter,
    /// Unload an adapter.
    UnloadAdapter,
}

/// Body of `POST /orders`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Order {
    /// Order id.
    pub order: String,
    /// What to do.
    pub op: Op,
    /// Model.
    pub model: String,
    /// Adapter, for the two operations on adapters.
    #[serde(default)]
    pub adapter: Option<String>,
    /// Bytes that the model or adapter takes.
    #[serde(default)]
    pub bytes: u64,
    /// Fencing token.
    #[serde(default)]
    pub fence: u64,
}

/// State of a model in memory.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ModelState {
    /// Being loaded; its bytes are taken.
    Loading,
    /// Serves requests.
    Loaded,
    /// Serves no new requests; its bytes are still taken.
    Unloading,
}

/// A model in memory.
#[derive(Clone, Debug)]
pub(crate) struct Held {
    pub state: ModelState,
    pub bytes: u64,
    pub adapters: IndexMap<String, Adapter>,
    /// Requests that run on it.
    pub users: usize,
    /// Tells apart a model that was lost and loaded again from the one before.
    pub generation: u64,
}

/// An adapter in memory.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Adapter {
    pub bytes: u64,
    pub loaded: bool,
}

/// Why an order was refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Refusal {
    StaleFence,
    Overcommit,
    UnknownModel,
    Unloading,
}

/// Work that follows from an accepted order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Work {
    /// Nothing to do: it is so already.
    None,
    /// Read the checkpoint from this tier, then finish the load of this generation.
    Load(Tier, u64),
    /// Wait until nobody uses it, then forget this generation.
    Unload(u64),
    /// Read the adapter.
    LoadAdapter(u64),
}

/// Models of one engine.
#[derive(Debug, Default)]
pub(crate) struct Models {
    pub held: IndexMap<String, Held>,
    pub tiers: IndexMap<String, Tier>,
    pub fence: u64,
    next: u64,
}

impl Models {
    pub fn new(settings: &Settings) -> Self {
        let mut models = Models { tiers: settings.checkpoints.clone(), ..Models::default() };
        for (model, bytes) in &settings.loaded {
            models.hold(model, *bytes, ModelState::Loaded);
            models.tiers.entry(model.clone()).or_insert(Tier::Disk);
        }
        models
    }

    /// Bytes taken, by what loads and unloads too.
    pub fn used(&self) -> u64 {
        self.held.values().map(Held::total).sum()
    }

    /// Takes an order, or says why not; a refused order changes nothing but the fence.
    pub fn order(&mut self, settings: &Settings, order: &Order) -> Result<Work, Refusal> {
        if settings.fencing && order.fence < self.fence {
            return Err(Refusal::StaleFence);
        }
        self.fence = self.fence.max(order.fence);
        match order.op {
            Op::Load => self.load(settings, order),
            Op::Unload => Ok(self.unload(order)),
            Op::LoadAdapter => self.load_adapter(settings, order),
            Op::UnloadAdapter => {
                let adapter = order.adapter.as_deref().unwrap_or_default();
                if let Some(held) = self.held.get_mut(&order.model) {
                    held.adapters.shift_remove(adapter);
                }
                Ok(Work::None)
            }
        }
    }

    fn load(&mut self, settings: &Settings, order: &Order) -> Result<Work, Refusal> {
        match self.held.get(&order.model).map(|held| held.state) {
            Some(ModelState::Loading | ModelState::Loaded) => return Ok(Work::None),
            Some(ModelState::Unloading) => return Err(Refusal::Unloading),
            None => {}
        }
        let tier = *self.tiers.get(&order.model).ok_or(Refusal::UnknownModel)?;
        self.fits(settings, order.bytes)?;
        let generation = self.hold(&order.model, order.bytes, ModelState::Loading);
        Ok(Work::Load(tier, generation))
    }

    fn unload(&mut self, order: &Order) -> Work {
        match self.held.get_mut(&order.model) {
            Some(held) if held.state != ModelState::Unloading => {
                held.state = ModelState::Unloading;
                Work::Unload(held.generation)
            }
            _ => Work::None,
        }
    }

    fn load_adapter(&mut self, settings: &Settings, order: &Order) -> Result<Work, Refusal> {
        let adapter = order.adapter.clone().unwrap_or_default();
        let held = self.held.get(&order.model).ok_or(Refusal::UnknownModel)?;
        if held.state != ModelState::Loaded {
            return Err(Refusal::UnknownModel);
        }
        if held.adapters.contains_key(&adapter) {
            return Ok(Work::None);
        }
        self.fits(settings, order.bytes)?;
        let held = &mut self.held[&order.model];
        held.adapters.insert(adapter, Adapter { bytes: order.bytes, loaded: false });
        Ok(Work::LoadAdapter(held.generation))
    }

    fn fits(&self, settings: &Settings, bytes: u64) -> Result<(), Refusal> {
        if self.used().saturating_add(bytes) > settings.memory_bytes {
            return Err(Refusal::Overcommit);
        }
        Ok(())
    }

    fn hold(&mut self, model: &str, bytes: u64, state: ModelState) -> u64 {
        self.next += 1;
        let generation = self.next;
        let held = Held { state, bytes, adapters: IndexMap::new(), users: 0, generation };
        self.held.insert(model.to_owned(), held);
        generation
    }

    /// Ends the load of a model, unless it was unloaded or lost meanwhile.
    pub fn finish_load(&mut self, model: &str, generation: u64) {
        self.tiers.insert(model.to_owned(), Tier::Memory);
        if let Some(held) = self.current(model, generation) {
            if held.state == ModelState::Loading {
                held.state = ModelState::Loaded;
            }
        }
    }

    /// Ends the load of an adapter, unless it or its model went meanwhile.
    pub fn finish_adapter(&mut self, model: &str, adapter: &str, generation: u64) {
        if let Some(held) = self.current(model, generation) {
            if let Some(adapter) = held.adapters.get_mut(adapter) {
                adapter.loaded = true;
            }
        }
    }

    /// Frees a model's memory, unless it went meanwhile.
    pub fn finish_unload(&mut self, model: &str, generation: u64) {
        if self.current(model, generation).is_some() {
            self.held.shift_remove(model);
        }
    }

    /// Counts a user of a loaded model with its adapter; returns the model's generation.
    pub fn enter(&mut self, model: &str, adapter: Option<&str>) -> Option<u64> {
        let held = self.held.get_mut(model)?;
        let adapted = adapter.is_none_or(|name| held.adapters.get(name).is_some_and(|a| a.loaded));
        if held.state != ModelState::Loaded || !adapted {
            return None;
        }
        held.users += 1;
        Some(held.generation)
    }

    /// Ends what [`Models::enter`] counted.
    pub fn leave(&mut self, model: &str, generation: u64) {
        if let Some(held) = self.current(model, generation) {
            held.users -= 1;
        }
    }

    /// Whether requests run on the model of this generation.
    pub fn has_users(&self, model: &str, generation: u64) -> bool {
        let held = self.held.get(model).filter(|held| held.generation == generation);
        held.is_some_and(|held| held.users > 0)
    }

    /// The model of this generation, if it is still held.
    pub fn current(&mut self, model: &str, generation: u64) -> Option<&mut Held> {
        self.held.get_mut(model).filter(|held| held.generation == generation)
    }

    /// Loses everything in memory.
    pub fn lose(&mut self) {
        self.held.clear();
        for tier in self.tiers.values_mut() {
            if *tier == Tier::Memory {
                *tier = Tier::Disk;
            }
        }
    }

    /// Names of the models that are loaded.
    pub fn loaded(&self) -> IndexSet<String> {
        let loaded = self.held.iter().filter(|(_, held)| held.state == ModelState::Loaded);
        loaded.map(|(model, _)| model.clone()).collect()
    }
}

impl Held {
    fn total(&self) -> u64 {
        self.bytes + self.adapters.values().map(|adapter| adapter.bytes).sum::<u64>()
    }
}
