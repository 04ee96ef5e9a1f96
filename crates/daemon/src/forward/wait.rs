//! Counts requests that wait for a model or an adapter, so that this daemon's reports include them
//! and the lease holder can order a load.

use std::sync::Arc;

use corianderyoke_util::clock;

use crate::call::Call;
use crate::call::Generation;
use crate::state::Shared;

/// Reason why a request waits; logged under its variant name.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Missing {
    /// No engine has the model loaded.
    Model,
    /// No engine has the adapter loaded together with its model.
    Adapter,
}

/// Counts a waiting request until dropped.
#[derive(Debug)]
pub struct WaitGuard {
    shared: Arc<Shared>,
    generation: Generation,
    /// What the request waits for.
    pub missing: Missing,
}

impl WaitGuard {
    /// Starts counting a waiting request. Returns `None` if it names no model.
    pub fn begin(call: &Call, missing: Missing) -> Option<Self> {
        let generation = call.generation.clone()?;
        let shared = Arc::clone(&call.shared);
        let guard = WaitGuard { shared, generation, missing };
        guard.adjust_count(1);
        guard.shared.report_soon(&mut guard.shared.state());
        guard.shared.replan.notify_one();
        Some(guard)
    }

    fn adjust_count(&self, change: i32) {
        let now = clock::now();
        let mut state = self.shared.state();
        let model = self.generation.model;
        match (self.missing, self.generation.adapter) {
            (Missing::Adapter, Some(adapter)) => {
                let entry = state.wanted_adapters.entry(adapter).or_insert((model, 0));
                entry.1 = entry.1.saturating_add_signed(change);
                if entry.1 == 0 {
                    state.wanted_adapters.swap_remove(&adapter);
                }
            }
            _ => {
                let entry = state.model_requests.entry(model).or_default();
                entry.waiting = entry.waiting.saturating_add_signed(change);
                entry.changed = now;
            }
        }
    }
}

impl Drop for WaitGuard {
    fn drop(&mut self) {
        self.adjust_count(-1);
    }
}
