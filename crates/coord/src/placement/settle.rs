//! Moves intents on as far as what is known of their upstreams allows.

use super::catalog::Tier;
use super::effects::ChangeSet;
use super::effects::Pair;
use super::ledger::Intent;
use super::planner::Planner;
use super::probe::ObservedState;
use super::row::IntentRow;
use super::row::Phase;
use super::steps::MAX_ROWS;

impl Planner {
    /// Moves intents on as far as what is known of their upstreams allows.
    pub(super) fn settle_intents(&mut self, change: &mut ChangeSet) {
        for pair in self.work.clone() {
            if change.puts.len() + change.deletes.len() >= MAX_ROWS {
                return;
            }
            match self.ledger.get(pair) {
                None => {
                    self.work.swap_remove(&pair);
                }
                Some(intent) => self.settle(pair, &intent.clone(), change),
            }
        }
    }

    fn settle(&self, pair: Pair, intent: &Intent, change: &mut ChangeSet) {
        let gone = !self.upstreams.contains_key(&pair.1);
        let row = self.row_of(pair, intent);
        match intent.phase {
            // With the upstream itself gone from the register there's nothing left to order.
            _ if gone => change.delete(row, "upstream left the register"),
            Phase::Decided => self.settle_decided(pair, intent, row, change),
            _ if self.forgettable(pair, intent) => change.delete(row, "unloaded"),
            Phase::Unloading => {
                if intent.standing == ObservedState::Absent && !self.freeable(pair, intent) {
                    let row = IntentRow { phase: Phase::Lingering, ..row };
                    change.put(row, "unloaded, but a load order may still arrive");
                }
            }
            Phase::Lingering => {
                if matches!(intent.standing, ObservedState::Loaded | ObservedState::Loading) {
                    let row = IntentRow { phase: Phase::Unloading, ..row };
                    change.put(row, "a late load order arrived");
                }
            }
        }
    }

    fn settle_decided(&self, pair: Pair, intent: &Intent, row: IntentRow, change: &mut ChangeSet) {
        let failed = intent.tries >= self.settings.order_tries
            && intent.standing == ObservedState::Absent
            && intent.asked > intent.quiet;
        if intent.refused || failed {
            let row = IntentRow { phase: Phase::Unloading, ..row };
            let why =
                if intent.refused { "refused by the upstream" } else { "could not be loaded" };
            return change.put(row, why);
        }
        if intent.standing == ObservedState::Loaded {
            let settled = self.others_ended(intent) && self.open_loads(pair) == 0;
            let permit = intent.permit && intent.asked < intent.quiet;
            let senders = if settled { Vec::new() } else { row.senders.clone() };
            if permit != intent.permit || senders.len() != row.senders.len() {
                change.put(IntentRow { senders, permit, ..row }, "loaded");
            }
            return;
        }
        // An order may leave only when the row names its sender, and a load from the weight store
        // only with a permit.
        let joined = intent.senders.contains(&self.me);
        let wants_permit = self.tier(pair) == Tier::Remote && !intent.permit;
        let permit = intent.permit || (wants_permit && self.permit_left(change));
        let known = matches!(intent.standing, ObservedState::Absent | ObservedState::Unseen);
        if known && (!joined || permit != intent.permit) {
            let mut senders = row.senders.clone();
            if !joined {
                senders.push(self.me.clone());
            }
            change.put(IntentRow { senders, permit, ..row }, "adopted");
        }
    }

    /// Whether the weight store has a permit beyond what the table will hold after `change`.
    pub(super) fn permit_left(&self, change: &ChangeSet) -> bool {
        let mut held = self.ledger.permits();
        for row in &change.puts {
            let before = self.intent_of(row).is_some_and(|intent| intent.permit);
            held = held + usize::from(row.permit) - usize::from(before);
        }
        held < self.settings.store_inflight
    }

    pub(super) fn intent_of(&self, row: &IntentRow) -> Option<&Intent> {
        let pair = (self.names.key(&row.model)?, self.hosts.key(&row.upstream)?);
        self.ledger.get(pair)
    }
}
