//! Probe replies: the state that an upstream reports, and what it says of each replica.

use indexmap::IndexMap;

use crate::keys::ModelKey;
use crate::time::Tick;

use super::catalog::Tier;

/// State of a model as its upstream reports it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ModelState {
    /// Being loaded into memory.
    Loading,
    /// Ready to serve.
    Loaded,
    /// Being unloaded from memory.
    Unloading,
}

/// An upstream's reply to a probe.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ProbeReply {
    /// When the probe was sent, on the planner's clock.
    pub sent_at: Tick,
    /// Newest fencing token that the upstream has seen.
    pub fence: u64,
    /// Number of requests that it runs.
    pub running: u32,
    /// Models in memory, with their state and their size in bytes. Any other model is absent.
    pub models: IndexMap<ModelKey, (ModelState, u64)>,
    /// Models with a checkpoint on disk or in main memory, and the tier.
    pub checkpoints: IndexMap<ModelKey, Tier>,
}

/// Last observed state of a replica.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ObservedState {
    /// No probe has been answered yet.
    Unknown,
    /// The upstream doesn't hold it.
    Absent,
    /// The upstream is loading it.
    Loading,
    /// The upstream serves it.
    Loaded,
    /// The upstream is unloading it.
    Unloading,
}

impl From<Option<ModelState>> for ObservedState {
    fn from(state: Option<ModelState>) -> Self {
        match state {
            None => ObservedState::Absent,
            Some(ModelState::Loading) => ObservedState::Loading,
            Some(ModelState::Loaded) => ObservedState::Loaded,
            Some(ModelState::Unloading) => ObservedState::Unloading,
        }
    }
}
