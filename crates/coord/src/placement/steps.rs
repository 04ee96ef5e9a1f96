//! Builds the planner's effects: probes, the next commit, and orders that the table already covers.

use std::time::Duration;

use crate::keys::UpstreamKey;
use crate::time::Tick;

use super::catalog::Tier;
use super::effects::ChangeSet;
use super::effects::Effect;
use super::effects::Op;
use super::effects::ReplicaKey;
use super::ledger::Intent;
use super::planner::HomeStage;
use super::planner::Planner;
use super::probe::ObservedState;
use super::row::Phase;

/// Maximum number of rows that one commit writes.
pub(super) const MAX_ROWS: usize = 64;

/// Time after which a probe without a reply counts as lost.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);

impl Planner {
    /// Returns the effects to carry out now. At most one commit is in flight at a time.
    pub fn poll(&mut self, now: Tick) -> Vec<Effect> {
        let mut effects = Vec::new();
        if self.stage == HomeStage::Standby {
            return effects;
        }
        if self.stage == HomeStage::ScanNeeded {
            self.stage = HomeStage::Scanning;
            effects.push(Effect::Scan);
        }
        self.send_probes(now, &mut effects);
        if self.stage == HomeStage::Scanning {
            return effects;
        }
        if self.pending_commit.is_none() {
            if let Some(change) = self.build_change(now) {
                self.pending_commit = Some(change.clone());
                effects.push(Effect::Commit(change));
            }
        }
        if self.stage == HomeStage::Active {
            self.send_orders(now, &mut effects);
        }
        effects
    }

    fn send_probes(&mut self, now: Tick, effects: &mut Vec<Effect>) {
        while let Some((at, upstream)) =
            self.probe_queue.first().copied().filter(|(at, _)| *at <= now)
        {
            self.probe_queue.remove(&(at, upstream));
            if !self.upstreams.contains_key(&upstream) {
                continue;
            }
            let interval = self.settings.idle_interval;
            let probe = self.probes.entry(upstream).or_default();
            let waiting = probe.in_flight.is_some_and(|sent_at| now.since(sent_at) < PROBE_TIMEOUT);
            if !waiting {
                probe.in_flight = Some(now);
                effects.push(Effect::Probe { upstream, sent_at: now });
            }
            self.probe_by(upstream, now + interval.min(PROBE_TIMEOUT));
        }
    }

    /// Builds the next commit, if there is anything to write.
    fn build_change(&mut self, now: Tick) -> Option<ChangeSet> {
        let mut change = ChangeSet {
            expected_version: self.sequence_version,
            fence: self.fence + 1,
            ..ChangeSet::default()
        };
        let taking_over = self.stage == HomeStage::TakingOver;
        self.settle_intents(&mut change);
        if !taking_over {
            self.expire_idle(now, &mut change);
            self.evacuate(now, &mut change);
            self.place_pending(now, &mut change);
        }
        if taking_over {
            change.reasons.insert(0, format!("{} is the placement home", self.own_name));
        }
        if !taking_over && change.puts.is_empty() && change.deletes.is_empty() {
            return None;
        }
        change.id = self.new_id();
        Some(change)
    }

    /// Sends orders that the table covers, at most one per replica and retry interval.
    fn send_orders(&mut self, now: Tick, effects: &mut Vec<Effect>) {
        for replica in self.unsettled.clone() {
            let Some(intent) = self.ledger.get(replica) else {
                continue;
            };
            let touched = self.pending_commit.as_ref().is_some_and(|change| {
                change
                    .touches(self.model_names.name(replica.0), self.upstream_names.name(replica.1))
            });
            if touched || !self.upstreams.contains_key(&replica.1) {
                continue;
            }
            // While a commit is in flight, the intent may still have something to write afterwards.
            if self.pending_commit.is_none() && self.is_settled(replica, intent) {
                self.unsettled.swap_remove(&replica);
                continue;
            }
            let Some(op) = self.due_order(now, replica, intent) else {
                continue;
            };
            if op == Op::Load && self.tier(replica) == Tier::Remote {
                self.next_store_load = self.next_store_load.max(now) + self.store_spacing();
            }
            let order = self.create_order(now, op, replica);
            effects.push(Effect::Order(order));
        }
    }

    fn is_settled(&self, replica: ReplicaKey, intent: &Intent) -> bool {
        match intent.phase {
            Phase::Decided => intent.state == ObservedState::Loaded,
            Phase::Unloading => false,
            Phase::Lingering => !self.can_delete(replica, intent),
        }
    }

    fn due_order(&self, now: Tick, replica: ReplicaKey, intent: &Intent) -> Option<Op> {
        let in_flight =
            self.orders_in_flight.values().any(|order| (order.model, order.upstream) == replica);
        let too_early =
            intent.ordered_at.is_some_and(|at| now.since(at) < self.settings.order_retry);
        if in_flight || too_early {
            return None;
        }
        match intent.phase {
            Phase::Decided => self.is_load_due(now, replica, intent).then_some(Op::Load),
            Phase::Unloading => {
                let deletable = self.can_delete(replica, intent);
                let unloaded =
                    intent.state == ObservedState::Absent && !self.checks_fencing(replica.1);
                (!deletable && !unloaded).then_some(Op::Unload)
            }
            Phase::Lingering => None,
        }
    }

    fn is_load_due(&self, now: Tick, replica: ReplicaKey, intent: &Intent) -> bool {
        let is_sender = intent.senders.contains(&self.own_name);
        let absent = match intent.state {
            ObservedState::Unknown => intent.ordered_at.is_none(),
            ObservedState::Absent => {
                intent.ordered_at.is_none() || intent.probed_at > intent.last_change
            }
            _ => false,
        };
        let store_ready =
            self.tier(replica) != Tier::Remote || (intent.permit && self.next_store_load <= now);
        is_sender && absent && store_ready && !intent.overcommitted
    }

    fn checks_fencing(&self, upstream: UpstreamKey) -> bool {
        self.upstreams.get(&upstream).is_some_and(|upstream| upstream.fenced)
    }
}
