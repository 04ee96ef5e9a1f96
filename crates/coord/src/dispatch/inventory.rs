//! Recovery of slot accounting: a new home collects the slots in use from all members, and slots of
//! expired routers are freed.

use super::DispatchSettings;
use super::Dispatcher;
use super::Effect;
use super::HeldSlot;
use super::Outcome;
use super::ReceivedBound;
use super::Release;
use super::RetryBudget;
use super::Slot;
use super::SlotKey;
use crate::keys::MemberKey;
use crate::keys::UpstreamKey;
use crate::time::Tick;

impl Dispatcher {
    /// A dispatcher that starts no request before each of `members` has reported its slots. The
    /// first home of a cell has no members to wait for.
    pub fn new(settings: DispatchSettings, epoch: u64, members: &[MemberKey], now: Tick) -> Self {
        Dispatcher {
            settings,
            epoch,
            unreported: members.iter().copied().collect(),
            opened_at: now,
            team_weights: Default::default(),
            models: Default::default(),
            upstreams: Default::default(),
            drained_zones: Default::default(),
            waiting: Default::default(),
            start_deadlines: Default::default(),
            slots: Default::default(),
            slot_by_request: Default::default(),
            orphan_deadlines: Default::default(),
            wake_candidates: Default::default(),
            retry_budget: RetryBudget::new(settings.retry_ratio),
            pending_effects: Vec::new(),
            last_number: 0,
        }
    }

    /// Adds the slots that a member holds. Only a member's first report counts. Once all members
    /// have reported, waiting requests start.
    pub fn adopt_slots(&mut self, member: MemberKey, held: &[HeldSlot], now: Tick) -> Vec<Effect> {
        if !self.unreported.contains(&member) {
            return Vec::new();
        }
        for slot in held {
            self.adopt_slot(slot, now);
        }
        self.unreported.swap_remove(&member);
        self.start_if_complete(now)
    }

    fn adopt_slot(&mut self, held: &HeldSlot, now: Tick) {
        if self.slots.contains_key(&held.slot) {
            return;
        }
        let slot = Slot {
            request: held.request,
            upstream: held.upstream,
            model: held.model,
            team: held.team,
            cost: held.cost,
            started: now,
            deadline: now + held.deadline,
            orphaned: false,
        };
        self.occupy_slot(held.slot, slot, now);
        // The previous home's grants show what the upstream can sustain, unless a router reported
        // the bound itself.
        if let Some(upstream) = self.upstreams.get_mut(&held.upstream) {
            if upstream.restored_from.is_none() {
                upstream.bound.raise(upstream.in_use, now);
            }
        }
        self.reindex(held.upstream);
    }

    /// Restores the bounds that a member last received, so that upstreams which the previous home
    /// knew as warm don't start over. Ignores bounds as old as `idle_timeout`, and members whose
    /// slots were adopted already.
    pub fn adopt_bounds(&mut self, member: MemberKey, bounds: &[ReceivedBound], now: Tick) {
        if !self.unreported.contains(&member) {
            return;
        }
        let max_age = self.settings.idle_timeout;
        for received in bounds.iter().filter(|received| received.age < max_age) {
            let Some(upstream) = self.upstreams.get_mut(&received.upstream) else {
                continue;
            };
            if upstream.restored_from.is_some_and(|slot| slot >= received.slot) {
                continue;
            }
            upstream.restored_from = Some(received.slot);
            upstream.bound.restore(received.bound, now);
            self.reindex(received.upstream);
        }
    }

    /// Handles the expiry of a router's membership. Its waiting requests are removed. Its slots
    /// stay in use until their deadlines, since the requests of a paused router may still run.
    pub fn expire_router(&mut self, router: MemberKey, now: Tick) -> Vec<Effect> {
        let is_own = |key: &super::RequestKey| key.router == router;
        let waiting: Vec<_> = self.waiting.keys().copied().filter(is_own).collect();
        for request in waiting {
            self.cancel(request, now);
        }
        for (key, slot) in &mut self.slots {
            if slot.request.router == router && !slot.orphaned {
                slot.orphaned = true;
                self.orphan_deadlines.insert((slot.deadline, *key));
            }
        }
        if self.unreported.swap_remove(&router) {
            return self.start_if_complete(now);
        }
        Vec::new()
    }

    /// Frees a router's slots whose start or release message was lost. `held` lists all slots that
    /// the router holds; the others are freed once they are older than `reconcile_grace`.
    pub fn reconcile_slots(
        &mut self,
        router: MemberKey,
        held: &[SlotKey],
        now: Tick,
    ) -> Vec<Effect> {
        let min_age = self.settings.reconcile_grace;
        let is_lost = |key: &SlotKey, slot: &Slot| {
            let old = now.since(slot.started) >= min_age;
            old && slot.request.router == router && !slot.orphaned && !held.contains(key)
        };
        let slots = self.slots.iter().filter(|(key, slot)| is_lost(key, slot));
        let slots: Vec<SlotKey> = slots.map(|(key, _)| *key).collect();
        let mut effects = Vec::new();
        for slot in slots {
            let outcome = Outcome::Cancelled;
            let release =
                Release { slot, outcome, first_token: None, token_gap: None, used_tokens: 0 };
            effects.extend(self.release(&release, now));
        }
        effects
    }

    /// Takes an upstream's load report, which lags behind. It counts only for `activity_window`
    /// after this home opened, to cover requests of routers that were lost before they reported
    /// their slots.
    pub fn report_load(&mut self, key: UpstreamKey, running: u32, now: Tick) -> Vec<Effect> {
        let recently_opened = now.since(self.opened_at) < self.settings.activity_window;
        let Some(upstream) = self.upstreams.get_mut(&key) else {
            return Vec::new();
        };
        upstream.untracked =
            if recently_opened { running.saturating_sub(upstream.in_use) } else { 0 };
        self.reindex(key);
        let mut effects = Vec::new();
        self.start_for_upstream(key, now, &mut effects);
        effects
    }

    /// Starts waiting requests if all members have reported.
    fn start_if_complete(&mut self, now: Tick) -> Vec<Effect> {
        if !self.unreported.is_empty() {
            return Vec::new();
        }
        self.opened_at = now;
        let mut effects = Vec::new();
        let models: Vec<_> = self.models.keys().copied().collect();
        for model in models {
            self.start_for_model(model, now, &mut effects);
        }
        effects
    }
}
