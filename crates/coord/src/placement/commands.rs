//! What the planner is told.

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
use super::effects::Pair;
use super::ledger::Intent;
use super::planner::Planner;
use super::planner::Stage;
use super::probe::ObservedState;
use super::probe::ProbeReply;
use super::row::IntentRow;
use super::row::Phase;
use super::row::TableSnapshot;

/// Upstreams that are first looked at together.
const LOOKS_AT_ONCE: usize = 16;

/// Time between first looks at groups of upstreams.
const LOOK_SPACING: Duration = Duration::from_millis(10);

impl Planner {
    /// Takes in a register revision. Intents of models and upstreams that left it stay counted.
    pub fn configure(&mut self, now: Tick, facts: &Catalog) {
        if self.facts == *facts {
            return;
        }
        self.facts = facts.clone();
        self.models.clear();
        for model in &facts.models {
            let key = self.names.intern(&model.name);
            self.models.insert(key, model.clone());
        }
        let old = std::mem::take(&mut self.upstreams);
        for upstream in &facts.upstreams {
            let key = self.hosts.intern(&upstream.name);
            self.ledger.set_memory(key, upstream.memory);
            if upstream.usable() {
                self.barred.swap_remove(&key);
            } else {
                self.barred.entry(key).or_insert(now);
            }
            self.upstreams.insert(key, upstream.clone());
            if !old.contains_key(&key) {
                // Looks at many upstreams are spread out, so that no poll has to ask them all.
                let turn = self.upstreams.len() / LOOKS_AT_ONCE;
                self.look_by(key, now + LOOK_SPACING * turn as u32);
            }
        }
        for key in old.into_keys().filter(|key| !self.upstreams.contains_key(key)) {
            self.ledger.drop_memory(key);
            self.barred.swap_remove(&key);
            self.checkpoints.values_mut().for_each(|tiers| {
                tiers.swap_remove(&key);
            });
        }
        self.work.extend(self.ledger.iter().map(|(pair, _)| pair));
    }

    /// Becomes home: the table is read before anything else.
    pub fn start(&mut self) {
        if self.stage == Stage::Idle {
            self.stage = Stage::Unread;
        }
    }

    /// Stops being home: nothing is decided or ordered any more.
    pub fn stop(&mut self) {
        self.stage = Stage::Idle;
        self.pending = None;
        self.claims.clear();
    }

    /// The table couldn't be read; it's read again.
    pub fn scan_failed(&mut self) {
        if self.stage == Stage::Reading {
            self.stage = Stage::Unread;
        }
    }

    /// Takes in the table. All its intents are adopted: they count as replicas, as memory and, as
    /// their rows say, as permits of the weight store.
    pub fn adopt(&mut self, now: Tick, table: &TableSnapshot) {
        if self.stage != Stage::Reading {
            return;
        }
        self.pending = None;
        self.fence = table.sequence.fence;
        self.version = table.version;
        self.ledger.clear();
        self.claims.clear();
        self.work.clear();
        for row in &table.rows {
            self.adopt_row(now, row);
        }
        self.store_next = now + self.store_spacing();
        let opens = now + self.settings.adapter_settle;
        self.adapters = AdapterLoads::new(self.settings.adapter_inflight, opens);
        let models: Vec<ModelKey> = self.models.keys().copied().collect();
        for model in models {
            self.expire_at(model, now + Duration::from_secs(1));
        }
        self.stage = Stage::Adopting;
    }

    fn adopt_row(&mut self, now: Tick, row: &IntentRow) {
        let pair = (self.names.intern(&row.model), self.hosts.intern(&row.upstream));
        self.put_row(now, pair, row);
        self.look_by(pair.1, now);
    }

    /// Puts a row that is in the table into the ledger.
    fn put_row(&mut self, now: Tick, pair: Pair, row: &IntentRow) {
        let old = self.ledger.get(pair);
        let same = old.filter(|old| old.phase == row.phase);
        let left = old.is_some_and(|old| old.phase == Phase::Decided && same.is_none());
        if left && old.is_some_and(|old| old.refused || old.tries >= self.settings.order_tries) {
            self.avoid.insert(pair, now + self.settings.avoid);
        }
        let intent = Intent {
            bytes: row.bytes,
            fence: row.fence,
            phase: row.phase,
            senders: row.senders.iter().cloned().collect::<IndexSet<String>>(),
            permit: row.permit,
            standing: old.map_or(ObservedState::Unseen, |old| old.standing),
            asked: old.map_or(Tick(0), |old| old.asked),
            quiet: now,
            ordered: same.and_then(|old| old.ordered),
            tries: same.map_or(0, |old| old.tries),
            refused: false,
        };
        self.ledger.put(pair, intent);
        self.work.insert(pair);
    }

    /// What became of the commit that [`Planner::poll`] asked for.
    pub fn commit_completed(&mut self, now: Tick, id: u64, outcome: CommitOutcome) {
        let Some(change) = self.pending.take_if(|change| change.id == id) else {
            return;
        };
        match outcome {
            CommitOutcome::Committed(version) => self.apply(now, change, version),
            CommitOutcome::Conflict | CommitOutcome::Unknown => self.stage = Stage::Unread,
            CommitOutcome::Unsent => self.work.extend(self.ledger.iter().map(|(pair, _)| pair)),
        }
    }

    fn apply(&mut self, now: Tick, change: ChangeSet, version: u64) {
        self.fence = change.fence;
        self.version = Some(version);
        if self.stage == Stage::Adopting {
            self.stage = Stage::Active;
        }
        for row in &change.puts {
            let pair = (self.names.intern(&row.model), self.hosts.intern(&row.upstream));
            self.put_row(now, pair, row);
            self.look_by(pair.1, now);
            if row.phase == Phase::Decided {
                self.claims.swap_remove(&pair.0);
            }
        }
        for key in &change.deletes {
            let pair = (self.names.intern(&key.model), self.hosts.intern(&key.upstream));
            self.ledger.remove(pair);
            self.work.swap_remove(&pair);
        }
    }

    /// A router says how many requests for `model` wait there and run through it.
    pub fn report_demand(
        &mut self,
        now: Tick,
        model: &str,
        router: &str,
        waiting: u32,
        running: u32,
    ) {
        let key = self.names.intern(model);
        let life = self.settings.wake_life;
        let demand = self.demand.entry(key).or_default();
        demand.report(now, router, waiting, running, life);
        if demand.waiting() > 0 {
            self.wanted.insert(key);
        }
        if !self.expires.contains_key(&key) {
            self.expire_at(key, now + Duration::from_secs(1));
        }
    }

    /// What became of an order.
    pub fn order_completed(&mut self, now: Tick, id: u64, answer: OrderOutcome) {
        let Some(order) = self.orders.swap_remove(&id) else {
            return;
        };
        let pair = (order.model, order.upstream);
        if order.op == Op::Load && answer != OrderOutcome::Lost {
            // An answered order can't arrive any more; a lost one stays open.
            if let Some(loads) = self.open.get_mut(&pair) {
                loads.close();
            }
        }
        let expected = self.cold(pair);
        self.ledger.update(pair, |intent| {
            intent.quiet = now;
            let loading = order.op == Op::Load && intent.phase == Phase::Decided;
            intent.refused |= loading && answer == OrderOutcome::Overcommit;
            if answer == OrderOutcome::Unsent {
                intent.tries = intent.tries.saturating_sub(1);
            }
        });
        if answer == OrderOutcome::StaleFence && order.fence >= self.fence {
            // A newer home has ordered: the ledger is behind the table.
            if self.stage != Stage::Idle {
                self.pending = None;
                self.stage = Stage::Unread;
            }
        }
        self.work.insert(pair);
        let soon = (expected / 4).min(self.settings.watch_busy);
        self.look_by(pair.1, now + soon);
    }

    /// An upstream didn't answer a question for its state.
    pub fn probe_failed(&mut self, now: Tick, upstream: UpstreamKey) {
        let wait = self.settings.watch_busy;
        if let Some(seen) = self.seen.get_mut(&upstream) {
            let asked = seen.open.take().unwrap_or(now);
            seen.silent.get_or_insert(asked);
        }
        // Models that were to be loaded there may have to be loaded elsewhere.
        let models = self.ledger.on(upstream).map(|(model, _)| model);
        let busy: Vec<ModelKey> = models.filter(|model| self.busy(*model)).collect();
        self.wanted.extend(busy);
        self.look_by(upstream, now + wait);
    }

    /// Takes in an upstream's state. Answers that come after a newer one are dropped.
    pub fn probe_replied(&mut self, now: Tick, upstream: UpstreamKey, state: &ProbeReply) {
        let seen = self.seen.entry(upstream).or_default();
        if seen.open == Some(state.sent_at) {
            seen.open = None;
        }
        if seen.asked.is_some_and(|asked| asked > state.sent_at) {
            return;
        }
        seen.asked = Some(state.sent_at);
        seen.silent = None;
        seen.fence = state.fence;
        seen.running = state.running;
        self.note_checkpoints(upstream, state);
        let models: Vec<ModelKey> = self.ledger.on(upstream).map(|(model, _)| model).collect();
        let foreign = state.models.iter().filter(|(model, _)| !models.contains(*model));
        let foreign = foreign.map(|(_, (_, bytes))| bytes).sum();
        self.ledger.set_foreign(upstream, foreign);
        for model in models {
            self.note_standing(now, (model, upstream), state);
        }
        let wait = self.watch_span(now, upstream);
        self.look_by(upstream, now + wait);
    }

    fn note_checkpoints(&mut self, upstream: UpstreamKey, state: &ProbeReply) {
        let seen = self.seen.entry(upstream).or_default();
        let now = state.checkpoints.keys().copied().collect();
        for model in std::mem::replace(&mut seen.checkpoints, now) {
            if let Some(tiers) = self.checkpoints.get_mut(&model) {
                tiers.swap_remove(&upstream);
            }
        }
        for (model, tier) in &state.checkpoints {
            self.checkpoints.entry(*model).or_default().insert(upstream, *tier);
        }
    }

    fn note_standing(&mut self, now: Tick, pair: Pair, state: &ProbeReply) {
        let standing = ObservedState::from(state.models.get(&pair.0).map(|(held, _)| *held));
        let Some(old) = self.ledger.get(pair).map(|intent| intent.standing) else {
            return;
        };
        self.ledger.update(pair, |intent| {
            intent.standing = standing;
            intent.asked = state.sent_at;
        });
        if standing == ObservedState::Loaded && old != ObservedState::Loaded {
            let demand = self.demand.entry(pair.0).or_default();
            if demand.used.is_none() {
                demand.used = Some(now);
            }
            self.ledger.update(pair, |intent| intent.tries = 0);
            if !self.expires.contains_key(&pair.0) {
                self.expire_at(pair.0, now + Duration::from_secs(1));
            }
        }
        if matches!(standing, ObservedState::Loaded | ObservedState::Loading) {
            self.note_arrival(pair, state.sent_at);
        }
        self.work.insert(pair);
    }

    /// A lost load order has arrived after all when it was the only one that could load the model.
    fn note_arrival(&mut self, pair: Pair, asked: Tick) {
        let Some(intent) = self.ledger.get(pair) else {
            return;
        };
        let after = intent.ordered.is_some_and(|ordered| asked > ordered);
        let waiting = self.orders.values().any(|order| (order.model, order.upstream) == pair);
        if !after || waiting || !self.others_ended(intent) {
            return;
        }
        if let Some(loads) = self.open.get_mut(&pair).filter(|loads| loads.sent == 1) {
            loads.close();
        }
    }

    /// Time until the next look at an upstream: short while something is on its way there.
    fn watch_span(&self, now: Tick, upstream: UpstreamKey) -> Duration {
        let settings = &self.settings;
        let mut span = settings.watch_idle;
        for (model, intent) in self.ledger.on(upstream) {
            let pair = (model, upstream);
            let rest = match intent.phase {
                Phase::Decided => intent.standing == ObservedState::Loaded && !intent.permit,
                Phase::Unloading => false,
                Phase::Lingering => true,
            };
            if rest {
                continue;
            }
            let elapsed = intent.ordered.map_or(Duration::ZERO, |ordered| now.since(ordered));
            let left = match intent.phase {
                Phase::Decided => self.cold(pair).saturating_sub(elapsed),
                _ => settings.unload_time.saturating_sub(elapsed),
            };
            // Looks come closer together as the expected end comes near.
            let wait = (left / 2).clamp(Duration::from_millis(50), settings.watch_busy);
            span = span.min(wait);
        }
        span
    }

    /// A controller incarnation has ended, and whatever it sent has arrived or never will.
    ///
    /// The driver says so only on the evidence by which a member is removed for good: the
    /// platform's list has dropped its instance for longer than the list lags, or a newer
    /// incarnation answers on its address.
    ///
    /// An order of its may have arrived just before, so upstreams are asked anew before any of its
    /// intents is forgotten.
    pub fn sender_ended(&mut self, now: Tick, sender: &str) {
        if sender == self.me || !self.ended.insert(sender.to_owned()) {
            return;
        }
        let named = self.ledger.iter().filter(|(_, intent)| intent.senders.contains(sender));
        let named: Vec<Pair> = named.map(|(pair, _)| pair).collect();
        for pair in named {
            self.ledger.update(pair, |intent| intent.quiet = now);
            self.work.insert(pair);
            self.look_by(pair.1, now);
        }
    }

    /// Asks for an adapter on an upstream; a repeated question changes nothing.
    pub fn request_adapter(&mut self, spot: super::adapters::AdapterReplica) {
        self.adapters.want(spot);
    }

    /// Takes the next adapter load that has a permit.
    pub fn next_adapter_load(&mut self, now: Tick) -> Option<super::adapters::AdapterReplica> {
        if self.stage != Stage::Active {
            return None;
        }
        self.adapters.start(now)
    }

    /// Gives the permit of an adapter load back.
    pub fn finish_adapter_load(&mut self, spot: super::adapters::AdapterReplica) {
        self.adapters.finish(spot);
    }

    /// A number for an order or a change.
    pub(super) fn new_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    /// Sends an order.
    pub(super) fn order(&mut self, now: Tick, op: Op, pair: Pair) -> Order {
        let id = self.new_id();
        let bytes = self.ledger.get(pair).map_or(0, |intent| intent.bytes);
        let (model, upstream) = pair;
        let order = Order { id, op, model, upstream, bytes, fence: self.fence };
        self.orders.insert(id, order);
        self.ledger.update(pair, |intent| {
            intent.ordered = Some(now);
            intent.tries += 1;
        });
        if op == Op::Load {
            self.open.entry(pair).or_default().send();
        }
        order
    }
}
