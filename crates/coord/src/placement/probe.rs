//! What an upstream says of itself.

use indexmap::IndexMap;

use crate::keys::ModelKey;
use crate::time::Tick;

use super::catalog::Tier;

/// A model's state in an upstream's own words.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ModelState {
    /// On its way into memory.
    Loading,
    /// Ready to serve.
    Loaded,
    /// On its way out of memory.
    Unloading,
}

/// An answer to a question for an upstream's state.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ProbeReply {
    /// When the question was asked, on the planner's clock.
    pub sent_at: Tick,
    /// Newest fencing token that the upstream has seen.
    pub fence: u64,
    /// Requests that it runs.
    pub running: u32,
    /// Models in memory with their bytes; any other is absent.
    pub models: IndexMap<ModelKey, (ModelState, u64)>,
    /// Checkpoints that aren't only in the weight store.
    pub checkpoints: IndexMap<ModelKey, Tier>,
}

/// What the planner knows of a replica.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ObservedState {
    /// Not asked yet.
    Unseen,
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
    fn from(held: Option<ModelState>) -> Self {
        match held {
            None => ObservedState::Absent,
            Some(ModelState::Loading) => ObservedState::Loading,
            Some(ModelState::Loaded) => ObservedState::Loaded,
            Some(ModelState::Unloading) => ObservedState::Unloading,
        }
    }
}
