//! What an upstream says of itself.

use indexmap::IndexMap;

use crate::keys::ModelKey;
use crate::time::Tick;

use super::facts::Tier;

/// A model's state in an upstream's own words.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Held {
    /// On its way into memory.
    Loading,
    /// Ready to serve.
    Loaded,
    /// On its way out of memory.
    Unloading,
}

/// An answer to a question for an upstream's state.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Observation {
    /// When the question was asked, on the planner's clock.
    pub asked: Tick,
    /// Newest fencing token that the upstream has seen.
    pub fence: u64,
    /// Requests that it runs.
    pub running: u32,
    /// Models in memory with their bytes; any other is absent.
    pub models: IndexMap<ModelKey, (Held, u64)>,
    /// Checkpoints that aren't only in the weight store.
    pub checkpoints: IndexMap<ModelKey, Tier>,
}

/// What the planner knows of a replica.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Standing {
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

impl From<Option<Held>> for Standing {
    fn from(held: Option<Held>) -> Self {
        match held {
            None => Standing::Absent,
            Some(Held::Loading) => Standing::Loading,
            Some(Held::Loaded) => Standing::Loaded,
            Some(Held::Unloading) => Standing::Unloading,
        }
    }
}
