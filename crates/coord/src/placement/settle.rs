//! Advances the phases of intents by the observed state of their replicas.

use super::catalog::Tier;
use super::effects::ChangeSet;
use super::effects::ReplicaKey;
use super::ledger::Intent;
use super::planner::Planner;
use super::probe::ObservedState;
use super::row::IntentRow;
use super::row::Phase;
use super::steps::MAX_ROWS;

impl Planner {
    /// Adds to `change` the rows of all unsettled intents that can advance or be deleted.
    pub(super) fn settle_intents(&mut self, change: &mut ChangeSet) {
        for replica in self.unsettled.clone() {
            if change.puts.len() + change.deletes.len() >= MAX_ROWS {
                return;
            }
            match self.ledger.get(replica) {
                None => {
                    self.unsettled.swap_remove(&replica);
                }
                Some(intent) => self.settle(replica, &intent.clone(), change),
            }
        }
    }

    fn settle(&self, replica: ReplicaKey, intent: &Intent, change: &mut ChangeSet) {
        let removed = !self.upstreams.contains_key(&replica.1);
        let row = self.to_row(replica, intent);
        match intent.phase {
            // The upstream left the register, so there is nothing left to order.
            _ if removed => change.delete(row, "upstream left the register"),
            Phase::Decided => self.settle_decided(replica, intent, row, change),
            _ if self.can_delete(replica, intent) => change.delete(row, "unloaded"),
            Phase::Unloading => {
                if intent.state == ObservedState::Absent && !self.can_free(replica, intent) {
                    let row = IntentRow { phase: Phase::Lingering, ..row };
                    change.put(row, "unloaded, but a load order may still arrive");
                }
            }
            Phase::Lingering => {
                if matches!(intent.state, ObservedState::Loaded | ObservedState::Loading) {
                    let row = IntentRow { phase: Phase::Unloading, ..row };
                    change.put(row, "a late load order arrived");
                }
            }
        }
    }

    fn settle_decided(
        &self,
        replica: ReplicaKey,
        intent: &Intent,
        row: IntentRow,
        change: &mut ChangeSet,
    ) {
        let failed = intent.attempts >= self.settings.order_attempts
            && intent.state == ObservedState::Absent
            && intent.probed_at > intent.last_change;
        if intent.overcommitted || failed {
            let row = IntentRow { phase: Phase::Unloading, ..row };
            // Stored texts: the upstream rejected the load for lack of memory, or no load order had
            // an effect.
            let reason = if intent.overcommitted {
                "refused by the upstream"
            } else {
                "could not be loaded"
            };
            return change.put(row, reason);
        }
        if intent.state == ObservedState::Loaded {
            let resolved =
                self.other_senders_ended(intent) && self.unresolved_load_count(replica) == 0;
            let permit = intent.permit && intent.probed_at < intent.last_change;
            let senders = if resolved { Vec::new() } else { row.senders.clone() };
            if permit != intent.permit || senders.len() != row.senders.len() {
                change.put(IntentRow { senders, permit, ..row }, "loaded");
            }
            return;
        }
        // An order may be sent only if the row names its sender, and a load from the weight store
        // only if the row holds a permit.
        let is_sender = intent.senders.contains(&self.own_name);
        let wants_permit = self.tier(replica) == Tier::Remote && !intent.permit;
        let permit = intent.permit || (wants_permit && self.permit_left(change));
        let not_loaded = matches!(intent.state, ObservedState::Absent | ObservedState::Unknown);
        if not_loaded && (!is_sender || permit != intent.permit) {
            let mut senders = row.senders.clone();
            if !is_sender {
                senders.push(self.own_name.clone());
            }
            // Stored text: the row gets this sender or a permit added.
            change.put(IntentRow { senders, permit, ..row }, "adopted");
        }
    }

    /// Whether a weight store permit is free once `change` is in the table.
    pub(super) fn permit_left(&self, change: &ChangeSet) -> bool {
        let mut held = self.ledger.permits();
        for row in &change.puts {
            let before = self.intent_of(row).is_some_and(|intent| intent.permit);
            held = held + usize::from(row.permit) - usize::from(before);
        }
        held < self.settings.store_inflight
    }

    pub(super) fn intent_of(&self, row: &IntentRow) -> Option<&Intent> {
        let replica = (self.model_names.key(&row.model)?, self.upstream_names.key(&row.upstream)?);
        self.ledger.get(replica)
    }
}
