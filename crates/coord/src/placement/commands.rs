//! Inputs of the planner: catalog revisions, demand reports, probe replies, and the outcomes of
//! commits and orders.

use std::time::Duration;

use indexmap::IndexSet;

use crate::keys::ModelKey;
use crate::keys::UpstreamKey;
use crate::time::Tick;

use super::adapters::AdapterLoads;
use super::catalog::Catalog;
use super::effects::ChangeSet;
use super::effects::CommitOutcome;
use super::effects::Op;
use super::effects::Order;
use super::effects::OrderOutcome;
use super::effects::ReplicaKey;
use super::ledger::Intent;
use super::planner::HomeStage;
use super::planner::Planner;
use super::probe::ObservedState;
use super::probe::ProbeReply;
use super::row::IntentRow;
use super::row::Phase;
use super::row::TableSnapshot;

/// Number of new upstreams whose first probes are due at the same time.
const FIRST_PROBE_BATCH: usize = 16;

/// Time between the first probes of two batches of new upstreams.
const PROBE_BATCH_SPACING: Duration = Duration::from_millis(10);

impl Planner {
    /// Applies a new catalog. Intents of models and upstreams that left the register stay in the
    /// ledger until they are deleted.
    pub fn configure(&mut self, now: Tick, catalog: &Catalog) {
        if self.catalog == *catalog {
            return;
        }
        self.catalog = catalog.clone();
        self.models.clear();
        for model in &catalog.models {
            let key = self.model_names.intern(&model.name);
            self.models.insert(key, model.clone());
        }
        let old = std::mem::take(&mut self.upstreams);
        for upstream in &catalog.upstreams {
            let key = self.upstream_names.intern(&upstream.name);
            self.ledger.set_memory(key, upstream.memory);
            if upstream.is_usable() {
                self.unusable_since.swap_remove(&key);
            } else {
                self.unusable_since.entry(key).or_insert(now);
            }
            self.upstreams.insert(key, upstream.clone());
            if !old.contains_key(&key) {
                // Spread the first probes out, so that no single poll probes all upstreams.
                let batch = self.upstreams.len() / FIRST_PROBE_BATCH;
                self.probe_by(key, now + PROBE_BATCH_SPACING * batch as u32);
            }
        }
        for key in old.into_keys().filter(|key| !self.upstreams.contains_key(key)) {
            self.ledger.remove_upstream(key);
            self.unusable_since.swap_remove(&key);
            self.checkpoints.values_mut().for_each(|tiers| {
                tiers.swap_remove(&key);
            });
        }
        self.unsettled.extend(self.ledger.iter().map(|(replica, _)| replica));
    }

    /// Makes this planner the placement home. The next poll scans the table before anything else.
    pub fn start(&mut self) {
        if self.stage == HomeStage::Standby {
            self.stage = HomeStage::ScanNeeded;
        }
    }

    /// Ends this planner's time as placement home. It makes no more decisions and sends no more
    /// orders.
    pub fn stop(&mut self) {
        self.stage = HomeStage::Standby;
        self.pending_commit = None;
        self.reservations.clear();
    }

    /// Reports that the table scan failed. The next poll scans again.
    pub fn scan_failed(&mut self) {
        if self.stage == HomeStage::Scanning {
            self.stage = HomeStage::ScanNeeded;
        }
    }

    /// Replaces the ledger by the scanned table. Every intent of an earlier home is adopted: it
    /// counts as a replica, against its upstream's memory and, if its row holds one, as a weight
    /// store permit.
    pub fn adopt(&mut self, now: Tick, table: &TableSnapshot) {
        if self.stage != HomeStage::Scanning {
            return;
        }
        self.pending_commit = None;
        self.fence = table.sequence.fence;
        self.sequence_version = table.version;
        self.ledger.clear();
        self.reservations.clear();
        self.unsettled.clear();
        for row in &table.rows {
            self.adopt_row(now, row);
        }
        self.next_store_load = now + self.store_spacing();
        let starts_at = now + self.settings.adapter_delay;
        self.adapters = AdapterLoads::new(self.settings.adapter_inflight, starts_at);
        let models: Vec<ModelKey> = self.models.keys().copied().collect();
        for model in models {
            self.schedule_expiry(model, now + Duration::from_secs(1));
        }
        self.stage = HomeStage::TakingOver;
    }

    fn adopt_row(&mut self, now: Tick, row: &IntentRow) {
        let replica =
            (self.model_names.intern(&row.model), self.upstream_names.intern(&row.upstream));
        self.put_row(now, replica, row);
        self.probe_by(replica.1, now);
    }

    /// Copies a committed row into the ledger. What was observed of the replica is kept.
    fn put_row(&mut self, now: Tick, replica: ReplicaKey, row: &IntentRow) {
        let old = self.ledger.get(replica);
        let same_phase = old.filter(|old| old.phase == row.phase);
        let was_decided =
            old.is_some_and(|old| old.phase == Phase::Decided && same_phase.is_none());
        if was_decided
            && old.is_some_and(|old| {
                old.overcommitted || old.attempts >= self.settings.order_attempts
            })
        {
            self.backoffs.insert(replica, now + self.settings.load_backoff);
        }
        let intent = Intent {
            bytes: row.bytes,
            fence: row.fence,
            phase: row.phase,
            senders: row.senders.iter().cloned().collect::<IndexSet<String>>(),
            permit: row.permit,
            state: old.map_or(ObservedState::Unknown, |old| old.state),
            probed_at: old.map_or(Tick(0), |old| old.probed_at),
            last_change: now,
            ordered_at: same_phase.and_then(|old| old.ordered_at),
            attempts: same_phase.map_or(0, |old| old.attempts),
            overcommitted: false,
        };
        self.ledger.put(replica, intent);
        self.unsettled.insert(replica);
    }

    /// Reports the outcome of the commit that [`Planner::poll`] returned. An outcome for any other
    /// change set is ignored.
    pub fn commit_completed(&mut self, now: Tick, id: u64, outcome: CommitOutcome) {
        let Some(change) = self.pending_commit.take_if(|change| change.id == id) else {
            return;
        };
        match outcome {
            CommitOutcome::Committed(version) => self.apply_commit(now, change, version),
            CommitOutcome::Conflict | CommitOutcome::Unknown => self.stage = HomeStage::ScanNeeded,
            CommitOutcome::Unsent => {
                self.unsettled.extend(self.ledger.iter().map(|(replica, _)| replica))
            }
        }
    }

    fn apply_commit(&mut self, now: Tick, change: ChangeSet, version: u64) {
        self.fence = change.fence;
        self.sequence_version = Some(version);
        if self.stage == HomeStage::TakingOver {
            self.stage = HomeStage::Active;
        }
        for row in &change.puts {
            let replica =
                (self.model_names.intern(&row.model), self.upstream_names.intern(&row.upstream));
            self.put_row(now, replica, row);
            self.probe_by(replica.1, now);
            if row.phase == Phase::Decided {
                self.reservations.swap_remove(&replica.0);
            }
        }
        for key in &change.deletes {
            let replica =
                (self.model_names.intern(&key.model), self.upstream_names.intern(&key.upstream));
            self.ledger.remove(replica);
            self.unsettled.swap_remove(&replica);
        }
    }

    /// Records a router's demand for `model`: how many of its requests wait and run there.
    pub fn report_demand(
        &mut self,
        now: Tick,
        model: &str,
        router: &str,
        waiting: u32,
        running: u32,
    ) {
        let key = self.model_names.intern(model);
        let ttl = self.settings.report_ttl;
        let demand = self.demand.entry(key).or_default();
        demand.record_report(now, router, waiting, running, ttl);
        if demand.waiting() > 0 {
            self.pending_models.insert(key);
        }
        if !self.expiry_times.contains_key(&key) {
            self.schedule_expiry(key, now + Duration::from_secs(1));
        }
    }

    /// Reports the outcome of an order.
    pub fn order_completed(&mut self, now: Tick, id: u64, outcome: OrderOutcome) {
        let Some(order) = self.orders_in_flight.swap_remove(&id) else {
            return;
        };
        let replica = (order.model, order.upstream);
        if order.op == Op::Load && outcome != OrderOutcome::Lost {
            // An order with a response can't take effect later. A lost one still can, so it stays
            // unresolved.
            if let Some(loads) = self.unresolved_loads.get_mut(&replica) {
                loads.resolve_one();
            }
        }
        let load_time = self.load_time(replica);
        self.ledger.update(replica, |intent| {
            intent.last_change = now;
            let current_load = order.op == Op::Load && intent.phase == Phase::Decided;
            intent.overcommitted |= current_load && outcome == OrderOutcome::Overcommit;
            if outcome == OrderOutcome::Unsent {
                intent.attempts = intent.attempts.saturating_sub(1);
            }
        });
        if outcome == OrderOutcome::StaleFence && order.fence >= self.fence {
            // Another home has sent orders with a newer token, so the ledger is older than the
            // table.
            if self.stage != HomeStage::Standby {
                self.pending_commit = None;
                self.stage = HomeStage::ScanNeeded;
            }
        }
        self.unsettled.insert(replica);
        let delay = (load_time / 4).min(self.settings.busy_interval);
        self.probe_by(replica.1, now + delay);
    }

    /// Reports that a probe of `upstream` got no reply.
    pub fn probe_failed(&mut self, now: Tick, upstream: UpstreamKey) {
        let wait = self.settings.busy_interval;
        if let Some(probe) = self.probes.get_mut(&upstream) {
            let sent_at = probe.in_flight.take().unwrap_or(now);
            probe.failing_since.get_or_insert(sent_at);
        }
        // Models assigned to this upstream may have to be placed elsewhere.
        let models = self.ledger.on_upstream(upstream).map(|(model, _)| model);
        let active: Vec<ModelKey> = models.filter(|model| self.is_busy(*model)).collect();
        self.pending_models.extend(active);
        self.probe_by(upstream, now + wait);
    }

    /// Records an upstream's state. A reply to a probe older than the newest replied one is
    /// dropped.
    pub fn probe_replied(&mut self, now: Tick, upstream: UpstreamKey, reply: &ProbeReply) {
        let probe = self.probes.entry(upstream).or_default();
        if probe.in_flight == Some(reply.sent_at) {
            probe.in_flight = None;
        }
        if probe.reply_sent_at.is_some_and(|sent_at| sent_at > reply.sent_at) {
            return;
        }
        probe.reply_sent_at = Some(reply.sent_at);
        probe.failing_since = None;
        probe.fence = reply.fence;
        probe.running = reply.running;
        self.record_checkpoints(upstream, reply);
        let models: Vec<ModelKey> =
            self.ledger.on_upstream(upstream).map(|(model, _)| model).collect();
        let untracked = reply.models.iter().filter(|(model, _)| !models.contains(*model));
        let untracked = untracked.fold(0, |sum: u64, (_, (_, bytes))| sum.saturating_add(*bytes));
        self.ledger.set_untracked(upstream, untracked);
        for model in models {
            self.record_state(now, (model, upstream), reply);
        }
        let interval = self.probe_interval(now, upstream);
        self.probe_by(upstream, now + interval);
    }

    fn record_checkpoints(&mut self, upstream: UpstreamKey, reply: &ProbeReply) {
        let probe = self.probes.entry(upstream).or_default();
        let models = reply.checkpoints.keys().copied().collect();
        for model in std::mem::replace(&mut probe.checkpoints, models) {
            if let Some(tiers) = self.checkpoints.get_mut(&model) {
                tiers.swap_remove(&upstream);
            }
        }
        for (model, tier) in &reply.checkpoints {
            self.checkpoints.entry(*model).or_default().insert(upstream, *tier);
        }
    }

    fn record_state(&mut self, now: Tick, replica: ReplicaKey, reply: &ProbeReply) {
        let state =
            ObservedState::from(reply.models.get(&replica.0).map(|(model_state, _)| *model_state));
        let Some(old) = self.ledger.get(replica).map(|intent| intent.state) else {
            return;
        };
        self.ledger.update(replica, |intent| {
            intent.state = state;
            intent.probed_at = reply.sent_at;
        });
        if state == ObservedState::Loaded && old != ObservedState::Loaded {
            let demand = self.demand.entry(replica.0).or_default();
            if demand.last_used.is_none() {
                demand.last_used = Some(now);
            }
            self.ledger.update(replica, |intent| intent.attempts = 0);
            if !self.expiry_times.contains_key(&replica.0) {
                self.schedule_expiry(replica.0, now + Duration::from_secs(1));
            }
        }
        if matches!(state, ObservedState::Loaded | ObservedState::Loading) {
            self.resolve_lost_load(replica, reply.sent_at);
        }
        self.unsettled.insert(replica);
    }

    /// Resolves a lost load order once its model is seen loading or loaded, if no other order could
    /// have loaded it.
    fn resolve_lost_load(&mut self, replica: ReplicaKey, sent_at: Tick) {
        let Some(intent) = self.ledger.get(replica) else {
            return;
        };
        let probed_after = intent.ordered_at.is_some_and(|ordered_at| sent_at > ordered_at);
        let in_flight =
            self.orders_in_flight.values().any(|order| (order.model, order.upstream) == replica);
        if !probed_after || in_flight || !self.other_senders_ended(intent) {
            return;
        }
        if let Some(loads) = self.unresolved_loads.get_mut(&replica).filter(|loads| loads.sent == 1)
        {
            loads.resolve_one();
        }
    }

    /// Time until the next probe of an upstream. It is short while a load or unload is in progress.
    fn probe_interval(&self, now: Tick, upstream: UpstreamKey) -> Duration {
        let settings = &self.settings;
        let mut interval = settings.idle_interval;
        for (model, intent) in self.ledger.on_upstream(upstream) {
            let replica = (model, upstream);
            let settled = match intent.phase {
                Phase::Decided => intent.state == ObservedState::Loaded && !intent.permit,
                Phase::Unloading => false,
                Phase::Lingering => true,
            };
            if settled {
                continue;
            }
            let elapsed =
                intent.ordered_at.map_or(Duration::ZERO, |ordered_at| now.since(ordered_at));
            let remaining = match intent.phase {
                Phase::Decided => self.load_time(replica).saturating_sub(elapsed),
                _ => settings.unload_time.saturating_sub(elapsed),
            };
            // Probe more often as the expected completion approaches.
            let wait = (remaining / 2).clamp(Duration::from_millis(50), settings.busy_interval);
            interval = interval.min(wait);
        }
        interval
    }

    /// Records that a controller incarnation has ended and that none of its orders is still in
    /// flight.
    ///
    /// The driver must call this only on the evidence that removes a member for good: the
    /// platform's list has dropped its instance for longer than that list can lag, or a newer
    /// incarnation answers on its address.
    ///
    /// An order of the ended sender may have taken effect just before, so each upstream with an
    /// intent that names it must reply to a new probe before the intent is deleted.
    pub fn sender_ended(&mut self, now: Tick, sender: &str) {
        if sender == self.own_name || !self.ended_senders.insert(sender.to_owned()) {
            return;
        }
        let affected = self.ledger.iter().filter(|(_, intent)| intent.senders.contains(sender));
        let affected: Vec<ReplicaKey> = affected.map(|(replica, _)| replica).collect();
        for replica in affected {
            self.ledger.update(replica, |intent| intent.last_change = now);
            self.unsettled.insert(replica);
            self.probe_by(replica.1, now);
        }
    }

    /// Queues an adapter load on an upstream. A repeated request has no effect.
    pub fn request_adapter(&mut self, adapter: super::adapters::AdapterReplica) {
        self.adapters.request(adapter);
    }

    /// Returns the next queued adapter load for which a permit is free.
    pub fn next_adapter_load(&mut self, now: Tick) -> Option<super::adapters::AdapterReplica> {
        if self.stage != HomeStage::Active {
            return None;
        }
        self.adapters.start_next(now)
    }

    /// Releases the permit of an adapter load.
    pub fn finish_adapter_load(&mut self, adapter: super::adapters::AdapterReplica) {
        self.adapters.finish(adapter);
    }

    /// Returns an unused identifier for an order or a change set.
    pub(super) fn new_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    /// Creates an order and records it as in flight.
    pub(super) fn create_order(&mut self, now: Tick, op: Op, replica: ReplicaKey) -> Order {
        let id = self.new_id();
        let bytes = self.ledger.get(replica).map_or(0, |intent| intent.bytes);
        let (model, upstream) = replica;
        let order = Order { id, op, model, upstream, bytes, fence: self.fence };
        self.orders_in_flight.insert(id, order);
        self.ledger.update(replica, |intent| {
            intent.ordered_at = Some(now);
            intent.attempts += 1;
        });
        if op == Op::Load {
            self.unresolved_loads.entry(replica).or_default().record_sent();
        }
        order
    }
}
