//! What the planner does next: the commit first, then orders that the table covers already.

use std::time::Duration;

use crate::keys::UpstreamKey;
use crate::time::Tick;

use super::catalog::Tier;
use super::effects::ChangeSet;
use super::effects::Effect;
use super::effects::Op;
use super::effects::Pair;
use super::ledger::Intent;
use super::planner::Planner;
use super::planner::Stage;
use super::probe::ObservedState;
use super::row::Phase;

/// Rows that one commit may write.
pub(super) const MAX_ROWS: usize = 64;

/// A question for an upstream's state counts as lost after this.
const QUESTION_LIFE: Duration = Duration::from_secs(2);

impl Planner {
    /// What to do now. At most one commit is on its way at a time.
    pub fn poll(&mut self, now: Tick) -> Vec<Effect> {
        let mut effects = Vec::new();
        if self.stage == Stage::Idle {
            return effects;
        }
        if self.stage == Stage::Unread {
            self.stage = Stage::Reading;
            effects.push(Effect::Scan);
        }
        self.look(now, &mut effects);
        if self.stage == Stage::Reading {
            return effects;
        }
        if self.pending.is_none() {
            if let Some(change) = self.assemble(now) {
                self.pending = Some(change.clone());
                effects.push(Effect::Commit(change));
            }
        }
        if self.stage == Stage::Active {
            self.send_orders(now, &mut effects);
        }
        effects
    }

    fn look(&mut self, now: Tick, effects: &mut Vec<Effect>) {
        while let Some((at, upstream)) = self.watch.first().copied().filter(|(at, _)| *at <= now) {
            self.watch.remove(&(at, upstream));
            if !self.upstreams.contains_key(&upstream) {
                continue;
            }
            let wait = self.settings.watch_idle;
            let seen = self.seen.entry(upstream).or_default();
            let asking = seen.open.is_some_and(|asked| now.since(asked) < QUESTION_LIFE);
            if !asking {
                seen.open = Some(now);
                effects.push(Effect::Probe { upstream, sent_at: now });
            }
            self.look_by(upstream, now + wait.min(QUESTION_LIFE));
        }
    }

    /// The next commit, if there is anything to write.
    fn assemble(&mut self, now: Tick) -> Option<ChangeSet> {
        let mut change = ChangeSet {
            expected_version: self.version,
            fence: self.fence + 1,
            ..ChangeSet::default()
        };
        let adopting = self.stage == Stage::Adopting;
        self.settle_intents(&mut change);
        if !adopting {
            self.expire(now, &mut change);
            self.evacuate(now, &mut change);
            self.serve_wanted(now, &mut change);
        }
        if adopting {
            change.reasons.insert(0, format!("{} is the placement home", self.me));
        }
        if !adopting && change.puts.is_empty() && change.deletes.is_empty() {
            return None;
        }
        change.id = self.new_id();
        Some(change)
    }

    /// Sends orders that the table covers, each once in a retry interval.
    fn send_orders(&mut self, now: Tick, effects: &mut Vec<Effect>) {
        for pair in self.work.clone() {
            let Some(intent) = self.ledger.get(pair) else {
                continue;
            };
            let touched = self.pending.as_ref().is_some_and(|change| {
                change.touches(self.names.name(pair.0), self.hosts.name(pair.1))
            });
            if touched || !self.upstreams.contains_key(&pair.1) {
                continue;
            }
            // With a commit on its way the intent may still have something to write after it.
            if self.pending.is_none() && self.at_rest(pair, intent) {
                self.work.swap_remove(&pair);
                continue;
            }
            let Some(op) = self.due_order(now, pair, intent) else {
                continue;
            };
            if op == Op::Load && self.tier(pair) == Tier::Remote {
                self.store_next = self.store_next.max(now) + self.store_spacing();
            }
            let order = self.order(now, op, pair);
            effects.push(Effect::Order(order));
        }
    }

    fn at_rest(&self, pair: Pair, intent: &Intent) -> bool {
        match intent.phase {
            Phase::Decided => intent.standing == ObservedState::Loaded,
            Phase::Unloading => false,
            Phase::Lingering => !self.forgettable(pair, intent),
        }
    }

    fn due_order(&self, now: Tick, pair: Pair, intent: &Intent) -> Option<Op> {
        let waiting = self.orders.values().any(|order| (order.model, order.upstream) == pair);
        let early = intent.ordered.is_some_and(|at| now.since(at) < self.settings.order_retry);
        if waiting || early {
            return None;
        }
        match intent.phase {
            Phase::Decided => self.load_due(now, pair, intent).then_some(Op::Load),
            Phase::Unloading => {
                let done = self.forgettable(pair, intent);
                let gone = intent.standing == ObservedState::Absent && !self.fenced(pair.1);
                (!done && !gone).then_some(Op::Unload)
            }
            Phase::Lingering => None,
        }
    }

    fn load_due(&self, now: Tick, pair: Pair, intent: &Intent) -> bool {
        let joined = intent.senders.contains(&self.me);
        let absent = match intent.standing {
            ObservedState::Unseen => intent.ordered.is_none(),
            ObservedState::Absent => intent.ordered.is_none() || intent.asked > intent.quiet,
            _ => false,
        };
        let store = self.tier(pair) != Tier::Remote || (intent.permit && self.store_next <= now);
        joined && absent && store && !intent.refused
    }

    fn fenced(&self, upstream: UpstreamKey) -> bool {
        self.upstreams.get(&upstream).is_some_and(|facts| facts.fenced)
    }
}
