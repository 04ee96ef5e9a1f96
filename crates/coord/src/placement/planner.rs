//! State of the planner.

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
use super::effects::ReplicaKey;
use super::ledger::Ledger;
use super::settings::Settings;

/// How far the planner has come in taking over as placement home.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) enum HomeStage {
    /// Another member is the placement home.
    #[default]
    Standby,
    /// The table must be scanned.
    ScanNeeded,
    /// A scan of the table is in flight.
    Scanning,
    /// The table was read, but the first commit of this home isn't confirmed yet.
    ///
    /// Once that commit takes effect, nothing sent earlier by this or another planner can change
    /// the table, because every commit is conditional on the version of the sequence row.
    TakingOver,
    /// The planner makes decisions and sends orders.
    Active,
}

/// Probe schedule of an upstream and its last reply.
#[derive(Clone, Debug, Default)]
pub(super) struct ProbeState {
    /// When the probe with the newest reply was sent.
    pub reply_sent_at: Option<Tick>,
    /// Newest fencing token that the upstream has seen.
    pub fence: u64,
    /// Number of requests running on the upstream.
    pub running: u32,
    /// When the next probe is due.
    pub next_at: Tick,
    /// When the probe that is in flight was sent.
    pub in_flight: Option<Tick>,
    /// When the first of the current run of unanswered probes was sent.
    pub failing_since: Option<Tick>,
    /// Models with a checkpoint on the upstream, by the last reply.
    pub checkpoints: Vec<ModelKey>,
}

/// Counts of this planner's load orders for one replica.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LoadOrders {
    /// Orders that may still take effect.
    pub unresolved: u32,
    /// Orders sent since `unresolved` was last zero.
    pub sent: u32,
}

impl LoadOrders {
    /// Counts an order that was sent.
    pub fn record_sent(&mut self) {
        self.unresolved += 1;
        self.sent += 1;
    }

    /// Counts an order that has arrived or never will.
    pub fn resolve_one(&mut self) {
        self.unresolved = self.unresolved.saturating_sub(1);
        if self.unresolved == 0 {
            self.sent = 0;
        }
    }
}

/// Memory being freed on an upstream for a model.
#[derive(Clone, Copy, Debug)]
pub(super) struct Reservation {
    /// Upstream on which memory is freed.
    pub upstream: UpstreamKey,
    /// Bytes that the model needs.
    pub bytes: u64,
    /// When the reservation is given up.
    pub expires_at: Tick,
}

/// Decides which upstream holds which model.
///
/// Each controller incarnation has its own planner, under a name that no other incarnation ever
/// uses.
#[derive(Clone, Debug, Default)]
pub struct Planner {
    pub(super) settings: Settings,
    /// Catalog as last configured; `models` and `upstreams` hold its entries by key.
    pub(super) catalog: Catalog,
    /// Name under which this planner stands among the senders of intents.
    pub(super) own_name: String,
    pub(super) model_names: Interner<ModelKey>,
    pub(super) upstream_names: Interner<UpstreamKey>,
    pub(super) models: IndexMap<ModelKey, Model>,
    pub(super) upstreams: IndexMap<UpstreamKey, Upstream>,
    pub(super) probes: IndexMap<UpstreamKey, ProbeState>,
    /// Upstreams with a model's checkpoint on disk or in memory, and its tier there.
    pub(super) checkpoints: IndexMap<ModelKey, IndexMap<UpstreamKey, Tier>>,
    pub(super) ledger: Ledger,
    pub(super) demand: IndexMap<ModelKey, Demand>,
    pub(super) stage: HomeStage,
    /// The commit in flight; there is at most one.
    pub(super) pending_commit: Option<ChangeSet>,
    /// Newest fencing token known to be in the table.
    pub(super) fence: u64,
    /// Version of the sequence row; the next commit is conditional on it.
    pub(super) sequence_version: Option<u64>,
    pub(super) orders_in_flight: IndexMap<u64, Order>,
    pub(super) next_id: u64,
    /// Upstreams that may not be given work, with the time since when.
    pub(super) unusable_since: IndexMap<UpstreamKey, Tick>,
    /// Load orders of this planner that may still take effect. Kept when the table is scanned
    /// again.
    pub(super) unresolved_loads: IndexMap<ReplicaKey, LoadOrders>,
    /// Controllers that have ended and whose messages can't arrive any more.
    pub(super) ended_senders: IndexSet<String>,
    /// Earliest start of the next load from the weight store.
    pub(super) next_store_load: Tick,
    pub(super) adapters: AdapterLoads,
    /// Replicas that may need a commit or an order.
    pub(super) unsettled: IndexSet<ReplicaKey>,
    /// Models that may need another replica.
    pub(super) pending_models: IndexSet<ModelKey>,
    /// Memory being freed by evictions, by the model it is for.
    pub(super) reservations: IndexMap<ModelKey, Reservation>,
    /// Replicas whose load failed or was rejected, with the time until when they aren't placed
    /// again.
    pub(super) backoffs: IndexMap<ReplicaKey, Tick>,
    pub(super) probe_queue: BTreeSet<(Tick, UpstreamKey)>,
    /// Keep-alive checks in order of time; `expiry_times` holds the same by model.
    pub(super) expiry_queue: BTreeSet<(Tick, ModelKey)>,
    pub(super) expiry_times: IndexMap<ModelKey, Tick>,
    /// First upstream of the next round-robin sample of candidates.
    pub(super) sample_offset: usize,
}

impl Planner {
    /// Creates a planner for the controller incarnation `own_name`. It isn't home.
    pub fn new(settings: Settings, own_name: &str) -> Self {
        Planner { settings, own_name: own_name.to_owned(), ..Planner::default() }
    }

    /// Starts over as another incarnation. Interned keys and identifiers are carried on, so that a
    /// response meant for the previous incarnation is never taken for one to the new incarnation.
    pub fn rejoin(&mut self, own_name: &str) {
        let old = std::mem::replace(self, Planner::new(self.settings.clone(), own_name));
        self.model_names = old.model_names;
        self.upstream_names = old.upstream_names;
        self.next_id = old.next_id;
        self.ended_senders = old.ended_senders;
    }

    /// Replaces the settings.
    pub fn set_settings(&mut self, settings: Settings) {
        self.settings = settings;
    }

    /// Schedules the next probe of an upstream at `at`, unless an earlier one is scheduled.
    pub(super) fn probe_by(&mut self, upstream: UpstreamKey, at: Tick) {
        let probe = self.probes.entry(upstream).or_default();
        if probe.next_at > at || !self.probe_queue.contains(&(probe.next_at, upstream)) {
            self.probe_queue.remove(&(probe.next_at, upstream));
            probe.next_at = at;
            self.probe_queue.insert((at, upstream));
        }
    }

    /// Schedules the next keep-alive check of a model at `at`, in place of any other.
    pub(super) fn schedule_expiry(&mut self, model: ModelKey, at: Tick) {
        if let Some(old) = self.expiry_times.insert(model, at) {
            self.expiry_queue.remove(&(old, model));
        }
        self.expiry_queue.insert((at, model));
    }

    /// Minimum time between two load starts from the weight store.
    pub(super) fn store_spacing(&self) -> Duration {
        Duration::from_secs_f64(1.0 / self.settings.store_rate.max(0.001))
    }
}
