//! Dispatcher commands that routers and the clock trigger: enqueue, cancel, release and tick.

use std::time::Duration;

use indexmap::IndexSet;

use super::Decision;
use super::Dispatcher;
use super::Effect;
use super::Outcome;
use super::QueuedRequest;
use super::Refusal;
use super::RefusalReason;
use super::Release;
use super::Request;
use super::RequestKey;
use super::Slot;
use super::SlotKey;
use super::Start;
use crate::keys::ModelKey;
use crate::keys::UpstreamKey;
use crate::time::Tick;

/// Teams, in order of turn, whose first request is tried when a slot is free. The request of an
/// earlier team may have no eligible upstream.
const TEAMS_TRIED: usize = 4;

/// Free upstreams examined for adapter affinity, least loaded first.
const UPSTREAMS_TRIED: usize = 8;

/// Maximum number of prompt prefixes remembered per model.
const MAX_PREFIXES: usize = 4096;

/// Minimum `retry_after` of a refusal.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

impl Effect {
    /// The request that the effect concerns.
    fn request(&self) -> RequestKey {
        match self {
            Effect::Start(start) => start.request,
            Effect::Refuse(refusal) => refusal.request,
        }
    }
}

impl Dispatcher {
    /// Starts, queues or refuses a request. Effects on other requests are returned by the next
    /// [`tick`](Dispatcher::tick). Enqueuing a waiting or started request again returns its current
    /// decision, so a router can retry after a lost response.
    pub fn enqueue(&mut self, request: Request, now: Tick) -> Decision {
        if let Some(start) = self.start_of(request.key) {
            return Decision::Start(start);
        }
        if self.waiting.contains_key(&request.key) {
            return Decision::Queued;
        }
        if let Some(refusal) = self.check_admission(&request, now) {
            return Decision::Refuse(refusal);
        }
        if !request.retry {
            self.retry_budget.admit();
        }
        let key = request.key;
        let model = request.model;
        self.add_waiting(request, now);
        // Since time has passed, other requests may start or be refused here too; the next tick
        // returns their effects.
        let mut effects = Vec::new();
        self.start_for_model(model, now, &mut effects);
        effects.retain(|effect| effect.request() != key);
        self.pending_effects.append(&mut effects);
        match self.start_of(key) {
            Some(start) => Decision::Start(start),
            None => Decision::Queued,
        }
    }

    /// Removes a request whose caller disconnected, whether it waits or has a slot.
    pub fn cancel(&mut self, request: RequestKey, now: Tick) -> Vec<Effect> {
        self.remove_waiting(request);
        let Some(slot) = self.slot_by_request.get(&request).copied() else {
            return Vec::new();
        };
        let outcome = Outcome::Cancelled;
        let release = Release { slot, outcome, first_token: None, token_gap: None, used_tokens: 0 };
        self.release(&release, now)
    }

    /// Releases a slot and starts waiting requests on its upstream. Idempotent.
    pub fn release(&mut self, release: &Release, now: Tick) -> Vec<Effect> {
        let Some(slot) = self.slots.get(&release.slot).copied() else {
            return Vec::new();
        };
        let settings = self.settings;
        if let Some(upstream) = self.upstreams.get_mut(&slot.upstream) {
            upstream.record_release(&settings, slot.model, release, slot.started, now);
        }
        if let Some(model) = self.models.get_mut(&slot.model) {
            model.queue.refund(slot.team, slot.cost.saturating_sub(release.used_tokens));
            if release.outcome == Outcome::Done {
                model.service_time.record(now.since(slot.started), slot.cost);
            }
        }
        self.free_slot(release.slot, now);
        let mut effects = Vec::new();
        self.start_for_upstream(slot.upstream, now, &mut effects);
        effects
    }

    /// Refuses waiting requests that can no longer start in time, frees orphaned slots whose
    /// deadline has passed, and returns the pending effects of earlier commands.
    pub fn tick(&mut self, now: Tick) -> Vec<Effect> {
        let mut effects = std::mem::take(&mut self.pending_effects);
        self.refuse_expired(now, &mut effects);
        while let Some((at, slot)) = self.orphan_deadlines.first().copied() {
            if at > now {
                break;
            }
            self.orphan_deadlines.pop_first();
            let upstream = self.slots.get(&slot).map(|slot| slot.upstream);
            self.free_slot(slot, now);
            if let Some(upstream) = upstream {
                self.start_for_upstream(upstream, now, &mut effects);
            }
        }
        effects
    }

    /// Returns the refusal if a request can't be admitted; consumes retry budget if it is a retry.
    fn check_admission(&mut self, request: &Request, now: Tick) -> Option<Refusal> {
        let key = request.key;
        let refuse = |wait: Duration, reason| {
            Some(Refusal { request: key, retry_after: wait.max(MIN_RETRY_AFTER), reason })
        };
        let model = self.models.entry(request.model).or_default();
        let service_time = model.service_time.upper_estimate(request.cost);
        let latest_start = now + request.deadline.saturating_sub(service_time);
        let model = &self.models[&request.model];
        let wait = self.estimate_start_wait(model, request.team, latest_start, now);
        if self.waiting.len() >= self.settings.max_waiting {
            return refuse(wait, RefusalReason::QueueFull);
        }
        if wait + service_time > request.deadline {
            let reason =
                if model.bound == 0 { RefusalReason::Waking } else { RefusalReason::QueueTooLong };
            return refuse((wait + service_time).saturating_sub(request.deadline), reason);
        }
        if request.retry && !self.retry_budget.take() {
            return refuse(wait, RefusalReason::RetryBudget);
        }
        None
    }

    fn add_waiting(&mut self, request: Request, now: Tick) {
        let key = request.key;
        let team = request.team;
        let weight = self.team_weights.get(&team).copied().unwrap_or(1);
        let model = self.models.entry(request.model).or_default();
        let latest_start =
            now + request.deadline.saturating_sub(model.service_time.upper_estimate(request.cost));
        let deadline = now + request.deadline;
        self.last_number += 1;
        let sequence = self.last_number;
        model.queue.push(team, weight, (latest_start, sequence), key);
        model.queue.record_activity(team, now);
        model.queue.prune_activity(self.settings.activity_window, now);
        if model.bound == 0 {
            self.wake_candidates.insert(request.model);
        }
        self.start_deadlines.insert((latest_start, key));
        self.waiting.insert(key, QueuedRequest { request, latest_start, deadline, sequence });
    }

    /// Removes a request from its queue; `None` when it doesn't wait.
    fn remove_waiting(&mut self, key: RequestKey) -> Option<QueuedRequest> {
        let waiting = self.waiting.swap_remove(&key)?;
        self.start_deadlines.remove(&(waiting.latest_start, key));
        let request = &waiting.request;
        if let Some(model) = self.models.get_mut(&request.model) {
            model.queue.remove(request.team, (waiting.latest_start, waiting.sequence));
            if model.queue.is_empty() {
                self.wake_candidates.swap_remove(&request.model);
            }
        }
        Some(waiting)
    }

    /// Refuses waiting requests whose latest start has passed.
    fn refuse_expired(&mut self, now: Tick, effects: &mut Vec<Effect>) {
        while let Some((latest_start, request)) = self.start_deadlines.first().copied() {
            if latest_start >= now {
                return;
            }
            let Some(waiting) = self.remove_waiting(request) else {
                continue;
            };
            let model = &self.models[&waiting.request.model];
            let retry_after = self
                .estimate_start_wait(model, waiting.request.team, latest_start, now)
                .max(MIN_RETRY_AFTER);
            effects.push(Effect::Refuse(Refusal {
                request,
                retry_after,
                reason: RefusalReason::Expired,
            }));
        }
    }

    /// Starts as many waiting requests of one model as possible.
    pub(super) fn start_for_model(
        &mut self,
        model: ModelKey,
        now: Tick,
        effects: &mut Vec<Effect>,
    ) {
        self.refuse_expired(now, effects);
        while let Some(start) = self.start_next(model, now) {
            effects.push(Effect::Start(start));
        }
    }

    /// Starts as many waiting requests as possible, over all models of one upstream.
    pub(super) fn start_for_upstream(
        &mut self,
        key: UpstreamKey,
        now: Tick,
        effects: &mut Vec<Effect>,
    ) {
        self.refuse_expired(now, effects);
        loop {
            let models = self.models_by_team_use(key);
            let start = models.into_iter().find_map(|model| self.start_next(model, now));
            let Some(start) = start else {
                return;
            };
            effects.push(Effect::Start(start));
        }
    }

    /// Models of an upstream with waiting requests, ordered by how many of its slots the model's
    /// next team uses relative to the team's weight, fewest first.
    fn models_by_team_use(&self, key: UpstreamKey) -> Vec<ModelKey> {
        let Some(upstream) = self.upstreams.get(&key) else {
            return Vec::new();
        };
        let mut models = Vec::new();
        for model in upstream.status.models.keys() {
            let next_request = self.models.get(model).and_then(|model| model.queue.heads().next());
            let Some(waiting) = next_request.and_then(|request| self.waiting.get(&request)) else {
                continue;
            };
            let team = waiting.request.team;
            let weight = self.team_weights.get(&team).copied().unwrap_or(1);
            let slots = upstream.slots_by_team.get(&team).copied().unwrap_or(0);
            models.push((slots * 1000 / weight, waiting.latest_start, *model));
        }
        models.sort_unstable();
        models.into_iter().map(|(_, _, model)| model).collect()
    }

    /// Starts the next waiting request of a model that has an eligible upstream.
    fn start_next(&mut self, model: ModelKey, now: Tick) -> Option<Start> {
        if !self.unreported.is_empty() || self.models.get(&model)?.free_upstreams.is_empty() {
            return None;
        }
        let heads = self.models[&model].queue.heads().take(TEAMS_TRIED);
        let placeable = |key: RequestKey| {
            let upstream = self.choose_upstream(&self.waiting.get(&key)?.request, now)?;
            Some((key, upstream))
        };
        let next = heads.filter_map(placeable).next();
        let (request, upstream) = next?;
        self.start(request, upstream, now)
    }

    /// Chooses the upstream for a request: the last one of its prefix, else one with its adapter,
    /// as long as its load exceeds the minimum by at most `affinity_slack`; else the least loaded.
    fn choose_upstream(&self, request: &Request, now: Tick) -> Option<UpstreamKey> {
        let model = self.models.get(&request.model)?;
        // Without an alternative, an upstream that failed the request is still used: only the
        // connection may have failed.
        let avoid_failed = !request.avoid.is_empty() && self.has_alternative(request);
        let is_eligible = |upstream: &UpstreamKey| {
            let avoided = avoid_failed && request.avoid.contains(upstream);
            !avoided && self.leaves_headroom(*upstream, request.team, now)
        };
        let free = model.free_upstreams.iter().filter(|(_, upstream)| is_eligible(upstream));
        let tried: Vec<(u32, UpstreamKey)> = free.take(UPSTREAMS_TRIED).copied().collect();
        let (min_load, least_loaded) = tried.first().copied()?;
        let max_load = min_load + self.settings.affinity_slack;
        let last_upstream = request.prefix.and_then(|prefix| model.upstream_by_prefix.get(&prefix));
        if let Some(upstream) = last_upstream.filter(|upstream| is_eligible(upstream)) {
            if self.load(*upstream).is_some_and(|load| load <= max_load) {
                return Some(*upstream);
            }
        }
        let Some(adapter) = request.adapter else {
            return Some(least_loaded);
        };
        let within_slack = tried.iter().filter(|(load, _)| *load <= max_load);
        let mut with_adapter =
            within_slack.filter(|(_, upstream)| self.has_adapter(*upstream, adapter));
        Some(with_adapter.next().map_or(least_loaded, |(_, upstream)| *upstream))
    }

    /// Whether an open upstream that hasn't failed the request has its model loaded.
    fn has_alternative(&self, request: &Request) -> bool {
        let Some(model) = self.models.get(&request.model) else {
            return false;
        };
        let avoided: IndexSet<&UpstreamKey> = request.avoid.iter().collect();
        let avoided = avoided.into_iter().filter_map(|key| self.upstreams.get(key));
        let avoided_bound: u32 =
            avoided.map(|upstream| upstream.indexed_bound(request.model)).sum();
        model.bound > avoided_bound
    }

    /// Moves a waiting request to a new slot of `upstream` and charges its team.
    fn start(&mut self, key: RequestKey, upstream: UpstreamKey, now: Tick) -> Option<Start> {
        let QueuedRequest { request, deadline, .. } = self.remove_waiting(key)?;
        self.last_number += 1;
        let slot = SlotKey { epoch: self.epoch, number: self.last_number };
        let Request { model, team, cost, .. } = request;
        let slot_state = Slot {
            request: key,
            upstream,
            model,
            team,
            cost,
            started: now,
            deadline,
            orphaned: false,
        };
        self.reset_if_idle(upstream, now);
        self.occupy_slot(slot, slot_state, now);
        let model = self.models.get_mut(&model)?;
        model.queue.charge(team, cost);
        if let Some(prefix) = request.prefix {
            if model.upstream_by_prefix.len() >= MAX_PREFIXES
                && !model.upstream_by_prefix.contains_key(&prefix)
            {
                model.upstream_by_prefix.swap_remove_index(0);
            }
            model.upstream_by_prefix.insert(prefix, upstream);
        }
        self.start_of(key)
    }

    /// Resets the bound of an upstream that was unused for `idle_timeout`, since it may be cold.
    fn reset_if_idle(&mut self, key: UpstreamKey, now: Tick) {
        let settings = self.settings;
        let Some(upstream) = self.upstreams.get_mut(&key) else {
            return;
        };
        if upstream.in_use == 0 && now.since(upstream.last_used) >= settings.idle_timeout {
            upstream.reset(&settings, now);
        }
    }

    /// Counts a slot as in use by its model and upstream.
    pub(super) fn occupy_slot(&mut self, key: SlotKey, slot: Slot, now: Tick) {
        self.slot_by_request.insert(slot.request, key);
        self.slots.insert(key, slot);
        self.models.entry(slot.model).or_default().in_use += 1;
        if let Some(upstream) = self.upstreams.get_mut(&slot.upstream) {
            upstream.add_slot(slot.team, now);
        }
        self.reindex(slot.upstream);
    }

    fn free_slot(&mut self, key: SlotKey, now: Tick) {
        let Some(slot) = self.slots.swap_remove(&key) else {
            return;
        };
        self.slot_by_request.swap_remove(&slot.request);
        if let Some(model) = self.models.get_mut(&slot.model) {
            model.in_use -= 1;
        }
        if let Some(upstream) = self.upstreams.get_mut(&slot.upstream) {
            upstream.remove_slot(slot.team, now);
        }
        self.reindex(slot.upstream);
    }
}
