//! Recent changes of engines that the lease holder announces to the other daemons.
//!
//! Every daemon learns of all changes with the regular reports. A daemon with requests that wait for
//! a model or an adapter is told of the changes that concern these requests at once, and of no
//! others, so that the holder's messages don't grow with the product of changes and daemons.

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexSet;

use crate::keys::AdapterKey;
use crate::keys::ModelKey;
use crate::keys::UpstreamKey;
use crate::serving::engines::Engines;
use crate::time::Tick;

/// Kind of change of an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ChangeKind {
    /// The engine is draining or has ended.
    Leaving,
    /// The engine's entry was added or updated.
    Updated,
    /// A model was loaded (`true`) or no longer accepts requests (`false`).
    Model(ModelKey, bool),
    /// An adapter was loaded (`true`) or unloaded (`false`).
    Adapter(ModelKey, AdapterKey, bool),
}

/// Change of an engine, announced to daemons that poll its entry later.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EngineChange {
    /// Engine that changed.
    pub engine: UpstreamKey,
    /// Kind of change.
    pub kind: ChangeKind,
    /// Time at which this daemon learned of it.
    pub at: Tick,
    /// Sequence number among the changes that this daemon announced.
    pub number: u64,
}

/// Models and adapters that requests at a daemon wait for.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Wants {
    /// Models that no engine holds.
    pub models: IndexSet<ModelKey>,
    /// Adapters that no engine holds together with their model.
    pub adapters: IndexSet<AdapterKey>,
}

impl Wants {
    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.models.is_empty() && self.adapters.is_empty()
    }

    /// Returns whether all of these were already wanted in `earlier`.
    pub fn is_subset(&self, earlier: &Wants) -> bool {
        self.models.is_subset(&earlier.models) && self.adapters.is_subset(&earlier.adapters)
    }
}

/// Changes in the order of their numbers.
#[derive(Clone, Debug, Default)]
pub struct Announcements {
    changes: VecDeque<EngineChange>,
    count: u64,
}

impl Announcements {
    /// Records a change.
    pub fn record(&mut self, engine: UpstreamKey, kind: ChangeKind, now: Tick) {
        self.count += 1;
        self.changes.push_back(EngineChange { engine, kind, at: now, number: self.count });
    }

    /// Returns the number of changes recorded so far, which is the number of the latest one.
    pub fn count(&self) -> u64 {
        self.count
    }

    /// Drops the changes that are at least `span` old.
    pub fn prune(&mut self, span: Duration, now: Tick) {
        while self.changes.front().is_some_and(|change| now.since(change.at) >= span) {
            self.changes.pop_front();
        }
    }

    /// Iterates over the changes that weren't dropped.
    pub fn recent(&self) -> impl Iterator<Item = &EngineChange> {
        self.changes.iter()
    }

    /// Returns the changes with a number above `after` that let a waiting request proceed.
    pub fn relevant(&self, after: u64, wants: &Wants, engines: &Engines) -> Vec<EngineChange> {
        let is_relevant = |change: &&EngineChange| match change.kind {
            ChangeKind::Leaving => false,
            ChangeKind::Updated => engines.get(change.engine).is_some_and(|engine| {
                engine.models.iter().any(|(model, adapters)| {
                    wants.models.contains(model)
                        || adapters.iter().any(|adapter| wants.adapters.contains(adapter))
                })
            }),
            ChangeKind::Model(model, held) => held && wants.models.contains(&model),
            ChangeKind::Adapter(_, adapter, held) => held && wants.adapters.contains(&adapter),
        };
        let later = self.changes.iter().filter(|change| change.number > after);
        later.filter(is_relevant).copied().collect()
    }
}
