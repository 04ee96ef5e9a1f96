//! How a new home learns which slots are in use, and what happens to those of lost routers.

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
    /// A home that takes inventory of `members` before it starts any request; the first home of a
    /// cell has no members to ask.
    pub fn new(settings: DispatchSettings, home: u64, members: &[MemberKey], now: Tick) -> Self {
        Dispatcher {
            settings,
            home,
            missing: members.iter().copied().collect(),
            opened: now,
            teams: Default::default(),
            models: Default::default(),
            upstreams: Default::default(),
            drained: Default::default(),
            waiting: Default::default(),
            expiry: Default::default(),
            slots: Default::default(),
            started: Default::default(),
            orphans: Default::default(),
            wanting: Default::default(),
            budget: RetryBudget::new(settings.retries),
            outbox: Vec::new(),
            next: 0,
        }
    }

    /// Takes one member's slots into the inventory. Repeats are without effect.
    pub fn adopt_slots(&mut self, member: MemberKey, held: &[HeldSlot], now: Tick) -> Vec<Effect> {
        if !self.missing.contains(&member) {
            return Vec::new();
        }
        for slot in held {
            self.adopt_slot(slot, now);
        }
        self.missing.swap_remove(&member);
        self.open(now)
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
            orphan: false,
        };
        self.take_slot(held.slot, slot, now);
        // What the home before had granted is known to be borne, unless it told otherwise.
        if let Some(upstream) = self.upstreams.get_mut(&held.upstream) {
            if upstream.told.is_none() {
                upstream.bound.raise(upstream.in_use, now);
            }
        }
        self.refile(held.upstream);
    }

    /// Takes the bounds over that a member was told, so that upstreams which the home before knew
    /// as warm aren't fresh for this one. Without effect once the member was adopted.
    pub fn adopt_bounds(&mut self, member: MemberKey, told: &[ReceivedBound], now: Tick) {
        if !self.missing.contains(&member) {
            return;
        }
        let idle = self.settings.idle;
        for told in told.iter().filter(|told| told.age < idle) {
            let Some(upstream) = self.upstreams.get_mut(&told.upstream) else {
                continue;
            };
            if upstream.told.is_some_and(|slot| slot >= told.slot) {
                continue;
            }
            upstream.told = Some(told.slot);
            upstream.bound.restore(told.bound, now);
            self.refile(told.upstream);
        }
    }

    /// A router's term has ended. Its waiting requests go; its slots stay counted until their
    /// deadlines, since a paused router's requests may still run.
    pub fn expire_router(&mut self, router: MemberKey, now: Tick) -> Vec<Effect> {
        let mine = |key: &super::RequestKey| key.router == router;
        let waiting: Vec<_> = self.waiting.keys().copied().filter(mine).collect();
        for request in waiting {
            self.cancel(request, now);
        }
        for (key, slot) in &mut self.slots {
            if slot.request.router == router && !slot.orphan {
                slot.orphan = true;
                self.orphans.insert((slot.deadline, *key));
            }
        }
        if self.missing.swap_remove(&router) {
            return self.open(now);
        }
        Vec::new()
    }

    /// Frees slots of a router that it doesn't hold: a start that got lost, or a release that did.
    /// `held` lists all slots that the router holds.
    pub fn reconcile_slots(
        &mut self,
        router: MemberKey,
        held: &[SlotKey],
        now: Tick,
    ) -> Vec<Effect> {
        let grace = self.settings.confirm;
        let lost = |key: &SlotKey, slot: &Slot| {
            let old = now.since(slot.started) >= grace;
            old && slot.request.router == router && !slot.orphan && !held.contains(key)
        };
        let slots = self.slots.iter().filter(|(key, slot)| lost(key, slot));
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

    /// Takes an upstream's lagging load report. It only counts for a while after this home
    /// started: it shows requests of routers that were lost before the inventory.
    pub fn report_load(&mut self, key: UpstreamKey, running: u32, now: Tick) -> Vec<Effect> {
        let young = now.since(self.opened) < self.settings.active;
        let Some(upstream) = self.upstreams.get_mut(&key) else {
            return Vec::new();
        };
        upstream.foreign = if young { running.saturating_sub(upstream.in_use) } else { 0 };
        self.refile(key);
        let mut effects = Vec::new();
        self.serve_upstream(key, now, &mut effects);
        effects
    }

    /// Starts serving once nobody is missing.
    fn open(&mut self, now: Tick) -> Vec<Effect> {
        if !self.missing.is_empty() {
            return Vec::new();
        }
        self.opened = now;
        let mut effects = Vec::new();
        let models: Vec<_> = self.models.keys().copied().collect();
        for model in models {
            self.serve(model, now, &mut effects);
        }
        effects
    }
}
