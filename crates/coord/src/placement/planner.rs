//! The planner's state.

use std::collections::BTreeSet;
use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::keys::Interner;
use crate::keys::ModelKey;
use crate::keys::UpstreamKey;
use crate::time::Tick;

use super::adapters::AdapterLoads;
use super::catalog::Catalog;
use super::catalog::Model;
use super::catalog::Tier;
use super::catalog::Upstream;
use super::demand::Demand;
use super::effects::ChangeSet;
use super::effects::Order;
use super::effects::Pair;
use super::ledger::Ledger;
use super::settings::Settings;

/// What the planner does about the table.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) enum Stage {
    /// Another member is home.
    #[default]
    Idle,
    /// The table has to be read.
    Unread,
    /// The table is being read.
    Reading,
    /// It was read, but the first commit of this home isn't known to have taken effect.
    ///
    /// That commit makes sure that nothing sent earlier, by us or by another planner, can still
    /// change the table: each commit is conditional on the sequence row's version.
    Adopting,
    /// Decisions and orders are made.
    Active,
}

/// What was last seen of an upstream.
#[derive(Clone, Debug, Default)]
pub(super) struct Seen {
    /// When the newest answer was asked for.
    pub asked: Option<Tick>,
    /// Newest fencing token that the upstream has seen.
    pub fence: u64,
    /// Requests that it runs.
    pub running: u32,
    /// When it is asked next.
    pub due: Tick,
    /// When a question was asked that has no answer yet.
    pub open: Option<Tick>,
    /// Since when its questions go without an answer.
    pub silent: Option<Tick>,
    /// Models that had a checkpoint there.
    pub checkpoints: Vec<ModelKey>,
}

/// Load orders of ours for one replica.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Loads {
    /// Orders that may still have an effect.
    pub open: u32,
    /// Orders sent since none was open.
    pub sent: u32,
}

impl Loads {
    /// One order more.
    pub fn send(&mut self) {
        self.open += 1;
        self.sent += 1;
    }

    /// One order is known to have arrived, or never will.
    pub fn close(&mut self) {
        self.open = self.open.saturating_sub(1);
        if self.open == 0 {
            self.sent = 0;
        }
    }
}

/// Room that a model waits for on an upstream.
#[derive(Clone, Copy, Debug)]
pub(super) struct Claim {
    /// The upstream.
    pub upstream: UpstreamKey,
    /// Bytes needed.
    pub bytes: u64,
    /// When it lapses.
    pub until: Tick,
}

/// Decides which upstream holds which model.
///
/// One planner a controller incarnation; its name must never be used by another incarnation.
#[derive(Clone, Debug, Default)]
pub struct Planner {
    pub(super) settings: Settings,
    pub(super) facts: Catalog,
    pub(super) me: String,
    pub(super) names: Interner<ModelKey>,
    pub(super) hosts: Interner<UpstreamKey>,
    pub(super) models: IndexMap<ModelKey, Model>,
    pub(super) upstreams: IndexMap<UpstreamKey, Upstream>,
    pub(super) seen: IndexMap<UpstreamKey, Seen>,
    pub(super) checkpoints: IndexMap<ModelKey, IndexMap<UpstreamKey, Tier>>,
    pub(super) ledger: Ledger,
    pub(super) demand: IndexMap<ModelKey, Demand>,
    pub(super) stage: Stage,
    pub(super) pending: Option<ChangeSet>,
    pub(super) fence: u64,
    pub(super) version: Option<u64>,
    pub(super) orders: IndexMap<u64, Order>,
    pub(super) next_id: u64,
    /// Upstreams that may not be given work, and since when.
    pub(super) barred: IndexMap<UpstreamKey, Tick>,
    /// Load orders of ours that may still have an effect; outlives a reading of the table.
    pub(super) open: IndexMap<Pair, Loads>,
    /// Controllers that are known to have ended, with everything they sent.
    pub(super) ended: IndexSet<String>,
    pub(super) store_next: Tick,
    pub(super) adapters: AdapterLoads,
    pub(super) work: IndexSet<Pair>,
    pub(super) wanted: IndexSet<ModelKey>,
    pub(super) claims: IndexMap<ModelKey, Claim>,
    pub(super) avoid: IndexMap<Pair, Tick>,
    pub(super) watch: BTreeSet<(Tick, UpstreamKey)>,
    pub(super) expiry: BTreeSet<(Tick, ModelKey)>,
    pub(super) expires: IndexMap<ModelKey, Tick>,
    pub(super) cursor: usize,
}

impl Planner {
    /// A planner named `me` that isn't home.
    pub fn new(settings: Settings, me: &str) -> Self {
        Planner { settings, me: me.to_owned(), ..Planner::default() }
    }

    /// Starts over as another incarnation. Keys and numbers go on, so that answers to what the
    /// incarnation before asked are never taken for answers to this one's.
    pub fn rejoin(&mut self, me: &str) {
        let old = std::mem::replace(self, Planner::new(self.settings.clone(), me));
        self.names = old.names;
        self.hosts = old.hosts;
        self.next_id = old.next_id;
        self.ended = old.ended;
    }

    /// Takes other settings in.
    pub fn set_settings(&mut self, settings: Settings) {
        self.settings = settings;
    }

    /// Puts the next look at an upstream at `at`, unless an earlier one is due.
    pub(super) fn look_by(&mut self, upstream: UpstreamKey, at: Tick) {
        let seen = self.seen.entry(upstream).or_default();
        if seen.due > at || !self.watch.contains(&(seen.due, upstream)) {
            self.watch.remove(&(seen.due, upstream));
            seen.due = at;
            self.watch.insert((at, upstream));
        }
    }

    /// Puts the next look at a model's keep-alive at `at`.
    pub(super) fn expire_at(&mut self, model: ModelKey, at: Tick) {
        if let Some(old) = self.expires.insert(model, at) {
            self.expiry.remove(&(old, model));
        }
        self.expiry.insert((at, model));
    }

    /// Time between starts at the weight store.
    pub(super) fn store_spacing(&self) -> Duration {
        Duration::from_secs_f64(1.0 / self.settings.store_rate.max(0.001))
    }
}
