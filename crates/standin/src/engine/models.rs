//! The models in an engine's memory, and the orders that load and unload them.

use indexmap::IndexMap;
use indexmap::IndexSet;
use serde::Deserialize;
use serde::Serialize;

use super::settings::Settings;
use super::settings::Tier;

/// Operation of an order.
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
    /// Id of the order.
    pub order: String,
    /// Operation to perform.
    pub op: Op,
    /// Name of the model.
    pub model: String,
    /// Name of the adapter, for the two adapter operations.
    #[serde(default)]
    pub adapter: Option<String>,
    /// Memory that the model or adapter occupies, in bytes.
    #[serde(default)]
    pub bytes: u64,
    /// Fencing token of the controller that sent the order.
    #[serde(default)]
    pub fence: u64,
}

/// State of a model in memory.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ModelState {
    /// Being loaded; its memory is already reserved.
    Loading,
    /// Accepts requests.
    Loaded,
    /// Accepts no new requests; its memory is still occupied.
    Unloading,
}

/// A model in memory.
#[derive(Clone, Debug)]
pub(crate) struct ResidentModel {
    pub state: ModelState,
    pub bytes: u64,
    pub adapters: IndexMap<String, Adapter>,
    /// Number of requests in flight on the model.
    pub active_requests: usize,
    /// Distinguishes this load of the model from earlier ones of the same name.
    pub generation: u64,
}

/// An adapter in memory.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Adapter {
    pub bytes: u64,
    pub loaded: bool,
}

/// Reason for rejecting an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum OrderError {
    StaleFence,
    Overcommit,
    UnknownModel,
    Unloading,
}

/// Asynchronous action that an accepted order requires.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum OrderAction {
    /// Nothing; the order is already complete.
    None,
    /// Load the checkpoint from this tier, then finish the load of this generation.
    Load(Tier, u64),
    /// Wait until no request uses this generation, then free its memory.
    Unload(u64),
    /// Load the adapter for the model of this generation.
    LoadAdapter(u64),
}

/// Models and checkpoints of one engine.
#[derive(Debug, Default)]
pub(crate) struct Models {
    pub resident: IndexMap<String, ResidentModel>,
    pub tiers: IndexMap<String, Tier>,
    /// Highest fencing token seen.
    pub fence: u64,
    next_generation: u64,
}

impl Models {
    pub fn new(settings: &Settings) -> Self {
        let mut models = Models { tiers: settings.checkpoints.clone(), ..Models::default() };
        for (model, bytes) in &settings.loaded {
            models.insert_resident(model, *bytes, ModelState::Loaded);
            models.tiers.entry(model.clone()).or_insert(Tier::Disk);
        }
        models
    }

    /// Occupied memory in bytes, including models that are loading or unloading.
    pub fn used_bytes(&self) -> u64 {
        self.resident.values().map(ResidentModel::total_bytes).sum()
    }

    /// Applies an order and returns the action to run. A rejected order changes nothing, but raises
    /// the fence unless its own fencing token is stale.
    pub fn order(&mut self, settings: &Settings, order: &Order) -> Result<OrderAction, OrderError> {
        if settings.fencing && order.fence < self.fence {
            return Err(OrderError::StaleFence);
        }
        self.fence = self.fence.max(order.fence);
        match order.op {
            Op::Load => self.load(settings, order),
            Op::Unload => Ok(self.unload(order)),
            Op::LoadAdapter => self.load_adapter(settings, order),
            Op::UnloadAdapter => {
                let adapter = order.adapter.as_deref().unwrap_or_default();
                if let Some(resident) = self.resident.get_mut(&order.model) {
                    resident.adapters.shift_remove(adapter);
                }
                Ok(OrderAction::None)
            }
        }
    }

    fn load(&mut self, settings: &Settings, order: &Order) -> Result<OrderAction, OrderError> {
        match self.resident.get(&order.model).map(|resident| resident.state) {
            Some(ModelState::Loading | ModelState::Loaded) => return Ok(OrderAction::None),
            Some(ModelState::Unloading) => return Err(OrderError::Unloading),
            None => {}
        }
        let tier = *self.tiers.get(&order.model).ok_or(OrderError::UnknownModel)?;
        self.check_memory(settings, order.bytes)?;
        let generation = self.insert_resident(&order.model, order.bytes, ModelState::Loading);
        Ok(OrderAction::Load(tier, generation))
    }

    fn unload(&mut self, order: &Order) -> OrderAction {
        match self.resident.get_mut(&order.model) {
            Some(resident) if resident.state != ModelState::Unloading => {
                resident.state = ModelState::Unloading;
                OrderAction::Unload(resident.generation)
            }
            _ => OrderAction::None,
        }
    }

    fn load_adapter(
        &mut self,
        settings: &Settings,
        order: &Order,
    ) -> Result<OrderAction, OrderError> {
        let adapter = order.adapter.clone().unwrap_or_default();
        let resident = self.resident.get(&order.model).ok_or(OrderError::UnknownModel)?;
        if resident.state != ModelState::Loaded {
            return Err(OrderError::UnknownModel);
        }
        if resident.adapters.contains_key(&adapter) {
            return Ok(OrderAction::None);
        }
        self.check_memory(settings, order.bytes)?;
        let resident = &mut self.resident[&order.model];
        resident.adapters.insert(adapter, Adapter { bytes: order.bytes, loaded: false });
        Ok(OrderAction::LoadAdapter(resident.generation))
    }

    /// Checks that `bytes` more fit into memory.
    fn check_memory(&self, settings: &Settings, bytes: u64) -> Result<(), OrderError> {
        if self.used_bytes().saturating_add(bytes) > settings.memory_bytes {
            return Err(OrderError::Overcommit);
        }
        Ok(())
    }

    /// Adds a model to memory and returns its generation.
    fn insert_resident(&mut self, model: &str, bytes: u64, state: ModelState) -> u64 {
        self.next_generation += 1;
        let generation = self.next_generation;
        let resident = ResidentModel {
            state,
            bytes,
            adapters: IndexMap::new(),
            active_requests: 0,
            generation,
        };
        self.resident.insert(model.to_owned(), resident);
        generation
    }

    /// Marks a model as loaded, unless it has been unloaded or lost since.
    pub fn finish_load(&mut self, model: &str, generation: u64) {
        self.tiers.insert(model.to_owned(), Tier::Memory);
        if let Some(resident) = self.resident_model(model, generation) {
            if resident.state == ModelState::Loading {
                resident.state = ModelState::Loaded;
            }
        }
    }

    /// Marks an adapter as loaded, unless it or its model has been removed since.
    pub fn finish_adapter_load(&mut self, model: &str, adapter: &str, generation: u64) {
        if let Some(resident) = self.resident_model(model, generation) {
            if let Some(adapter) = resident.adapters.get_mut(adapter) {
                adapter.loaded = true;
            }
        }
    }

    /// Frees a model's memory, unless the model has been removed since.
    pub fn finish_unload(&mut self, model: &str, generation: u64) {
        if self.resident_model(model, generation).is_some() {
            self.resident.shift_remove(model);
        }
    }

    /// Counts a request on a loaded model and returns the model's generation; none if the model or
    /// the adapter isn't loaded.
    pub fn acquire(&mut self, model: &str, adapter: Option<&str>) -> Option<u64> {
        let resident = self.resident.get_mut(model)?;
        let adapter_loaded = adapter
            .is_none_or(|name| resident.adapters.get(name).is_some_and(|adapter| adapter.loaded));
        if resident.state != ModelState::Loaded || !adapter_loaded {
            return None;
        }
        resident.active_requests += 1;
        Some(resident.generation)
    }

    /// Ends a request counted by [`Models::acquire`].
    pub fn release(&mut self, model: &str, generation: u64) {
        if let Some(resident) = self.resident_model(model, generation) {
            resident.active_requests -= 1;
        }
    }

    /// Whether requests are in flight on the model of this generation.
    pub fn has_active_requests(&self, model: &str, generation: u64) -> bool {
        let resident =
            self.resident.get(model).filter(|resident| resident.generation == generation);
        resident.is_some_and(|resident| resident.active_requests > 0)
    }

    /// The model, if it is still in memory with this generation.
    pub fn resident_model(&mut self, model: &str, generation: u64) -> Option<&mut ResidentModel> {
        self.resident.get_mut(model).filter(|resident| resident.generation == generation)
    }

    /// Drops all models and adapters, and all checkpoints cached in main memory.
    pub fn lose_all(&mut self) {
        self.resident.clear();
        for tier in self.tiers.values_mut() {
            if *tier == Tier::Memory {
                *tier = Tier::Disk;
            }
        }
    }

    /// Names of the models that are loaded.
    pub fn loaded(&self) -> IndexSet<String> {
        let loaded =
            self.resident.iter().filter(|(_, resident)| resident.state == ModelState::Loaded);
        loaded.map(|(model, _)| model.clone()).collect()
    }
}

impl ResidentModel {
    /// Memory of the model and its adapters, in bytes.
    fn total_bytes(&self) -> u64 {
        self.bytes + self.adapters.values().map(|adapter| adapter.bytes).sum::<u64>()
    }
}
