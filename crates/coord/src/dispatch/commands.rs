//! Commands of the dispatcher: enqueue, release and time.

use std::time::Duration;

use indexmap::IndexSet;

use super::Decision;
use super::Dispatcher;
use super::Effect;
use super::Outcome;
use super::Refusal;
use super::RefusalReason;
use super::Release;
use super::Request;
use super::RequestKey;
use super::Slot;
use super::SlotKey;
use super::Start;
use super::Waiting;
use crate::keys::ModelKey;
use crate::keys::UpstreamKey;
use crate::time::Tick;

/// Lanes of a queue that are tried when the first can't start.
const LANES_TRIED: usize = 4;

/// Free upstreams that are looked at for affinity.
const UPSTREAMS_TRIED: usize = 8;

/// Prefixes remembered per model.
const PREFIXES: usize = 4096;

/// Least wait told with a refusal.
const WAIT_LEAST: Duration = Duration::from_millis(100);

impl Effect {
    /// The request that it is about.
    fn request(&self) -> RequestKey {
        match self {
            Effect::Start(start) => start.request,
            Effect::Refuse(refusal) => refusal.request,
        }
    }
}

impl Dispatcher {
    /// Takes a request in. What this brings about for others is returned by the next tick. The
    /// same key again gets the same decision, so a lost answer can be
    /// asked for again.
    pub fn enqueue(&mut self, request: Request, now: Tick) -> Decision {
        if let Some(start) = self.start_of(request.key) {
            return Decision::Start(start);
        }
        if self.waiting.contains_key(&request.key) {
            return Decision::Queued;
        }
        if let Some(refusal) = self.refuse_early(&request, now) {
            return Decision::Refuse(refusal);
        }
        if !request.retry {
            self.budget.admit();
        }
        let key = request.key;
        let model = request.model;
        self.push(request, now);
        // Others may start or be refused here too, as time has passed; they're told by the tick.
        let mut effects = Vec::new();
        self.serve(model, now, &mut effects);
        effects.retain(|effect| effect.request() != key);
        self.outbox.append(&mut effects);
        match self.start_of(key) {
            Some(start) => Decision::Start(start),
            None => Decision::Queued,
        }
    }

    /// Takes a request out whose caller hung up, whether it waits or has a slot.
    pub fn cancel(&mut self, request: RequestKey, now: Tick) -> Vec<Effect> {
        self.unqueue(request);
        let Some(slot) = self.started.get(&request).copied() else {
            return Vec::new();
        };
        let outcome = Outcome::Cancelled;
        let release = Release { slot, outcome, first_token: None, token_gap: None, used_tokens: 0 };
        self.release(&release, now)
    }

    /// Takes a slot back. Repeats are without effect.
    pub fn release(&mut self, release: &Release, now: Tick) -> Vec<Effect> {
        let Some(slot) = self.slots.get(&release.slot).copied() else {
            return Vec::new();
        };
        let settings = self.settings;
        if let Some(upstream) = self.upstreams.get_mut(&slot.upstream) {
            upstream.note(&settings, slot.model, release, slot.started, now);
        }
        if let Some(model) = self.models.get_mut(&slot.model) {
            model.queue.refund(slot.team, slot.cost.saturating_sub(release.used_tokens));
            if release.outcome == Outcome::Done {
                model.service.note(now.since(slot.started), slot.cost);
            }
        }
        self.drop_slot(release.slot, now);
        let mut effects = Vec::new();
        self.serve_upstream(slot.upstream, now, &mut effects);
        effects
    }

    /// Lets time pass: refuses who can't start in time any more, frees slots that nobody releases.
    pub fn tick(&mut self, now: Tick) -> Vec<Effect> {
        let mut effects = std::mem::take(&mut self.outbox);
        self.expire(now, &mut effects);
        while let Some((at, slot)) = self.orphans.first().copied() {
            if at > now {
                break;
            }
            self.orphans.pop_first();
            let upstream = self.slots.get(&slot).map(|slot| slot.upstream);
            self.drop_slot(slot, now);
            if let Some(upstream) = upstream {
                self.serve_upstream(upstream, now, &mut effects);
            }
        }
        effects
    }

    fn refuse_early(&mut self, request: &Request, now: Tick) -> Option<Refusal> {
        let key = request.key;
        let refuse = |wait: Duration, reason| {
            Some(Refusal { request: key, retry_after: wait.max(WAIT_LEAST), reason })
        };
        let model = self.models.entry(request.model).or_default();
        let service = model.service.careful(request.cost);
        let latest = now + request.deadline.saturating_sub(service);
        let model = &self.models[&request.model];
        let wait = self.start_wait(model, request.team, latest, now);
        if self.waiting.len() >= self.settings.waiting {
            return refuse(wait, RefusalReason::QueueFull);
        }
        if wait + service > request.deadline {
            let reason =
                if model.bound == 0 { RefusalReason::Waking } else { RefusalReason::QueueTooLong };
            return refuse((wait + service).saturating_sub(request.deadline), reason);
        }
        if request.retry && !self.budget.take() {
            return refuse(wait, RefusalReason::RetryBudget);
        }
        None
    }

    fn push(&mut self, request: Request, now: Tick) {
        let key = request.key;
        let team = request.team;
        let weight = self.teams.get(&team).copied().unwrap_or(1);
        let model = self.models.entry(request.model).or_default();
        let latest = now + request.deadline.saturating_sub(model.service.careful(request.cost));
        let deadline = now + request.deadline;
        self.next += 1;
        let number = self.next;
        model.queue.push(team, weight, (latest, number), key);
        model.queue.touch(team, now);
        model.queue.prune(self.settings.active, now);
        if model.bound == 0 {
            self.wanting.insert(request.model);
        }
        self.expiry.insert((latest, key));
        self.waiting.insert(key, Waiting { request, latest, deadline, number });
    }

    /// Takes a request out of its queue.
    fn unqueue(&mut self, key: RequestKey) -> Option<Waiting> {
        let waiting = self.waiting.swap_remove(&key)?;
        self.expiry.remove(&(waiting.latest, key));
        let request = &waiting.request;
        if let Some(model) = self.models.get_mut(&request.model) {
            model.queue.remove(request.team, (waiting.latest, waiting.number));
            if model.queue.is_empty() {
                self.wanting.swap_remove(&request.model);
            }
        }
        Some(waiting)
    }

    fn expire(&mut self, now: Tick, effects: &mut Vec<Effect>) {
        while let Some((latest, request)) = self.expiry.first().copied() {
            if latest >= now {
                return;
            }
            let Some(waiting) = self.unqueue(request) else {
                continue;
            };
            let model = &self.models[&waiting.request.model];
            let retry_after =
                self.start_wait(model, waiting.request.team, latest, now).max(WAIT_LEAST);
            effects.push(Effect::Refuse(Refusal {
                request,
                retry_after,
                reason: RefusalReason::Expired,
            }));
        }
    }

    /// Starts what can start of one model.
    pub(super) fn serve(&mut self, model: ModelKey, now: Tick, effects: &mut Vec<Effect>) {
        self.expire(now, effects);
        while let Some(start) = self.start_next(model, now) {
            effects.push(Effect::Start(start));
        }
    }

    /// Starts what can start on one upstream, over all its models.
    pub(super) fn serve_upstream(
        &mut self,
        key: UpstreamKey,
        now: Tick,
        effects: &mut Vec<Effect>,
    ) {
        self.expire(now, effects);
        loop {
            let models = self.neediest(key);
            let start = models.into_iter().find_map(|model| self.start_next(model, now));
            let Some(start) = start else {
                return;
            };
            effects.push(Effect::Start(start));
        }
    }

    /// Models of an upstream with waiting requests; first those whose next team uses least of it.
    fn neediest(&self, key: UpstreamKey) -> Vec<ModelKey> {
        let Some(upstream) = self.upstreams.get(&key) else {
            return Vec::new();
        };
        let mut models = Vec::new();
        for model in upstream.status.models.keys() {
            let head = self.models.get(model).and_then(|model| model.queue.heads().next());
            let Some(waiting) = head.and_then(|request| self.waiting.get(&request)) else {
                continue;
            };
            let team = waiting.request.team;
            let weight = self.teams.get(&team).copied().unwrap_or(1);
            let used = upstream.teams.get(&team).copied().unwrap_or(0);
            models.push((used * 1000 / weight, waiting.latest, *model));
        }
        models.sort_unstable();
        models.into_iter().map(|(_, _, model)| model).collect()
    }

    fn start_next(&mut self, model: ModelKey, now: Tick) -> Option<Start> {
        if !self.missing.is_empty() || self.models.get(&model)?.free.is_empty() {
            return None;
        }
        let heads = self.models[&model].queue.heads().take(LANES_TRIED);
        let fits = |key: RequestKey| {
            let upstream = self.choose(&self.waiting.get(&key)?.request, now)?;
            Some((key, upstream))
        };
        let found = heads.filter_map(fits).next();
        let (request, upstream) = found?;
        self.start(request, upstream, now)
    }

    /// The upstream for a request: where its prefix was, else where its adapter is, unless that
    /// costs too much load; else the least loaded.
    fn choose(&self, request: &Request, now: Tick) -> Option<UpstreamKey> {
        let model = self.models.get(&request.model)?;
        // An upstream that failed the request is better than none: what broke off may have been a
        // connection only.
        let avoid = !request.avoid.is_empty() && self.has_other(request);
        let fits = |upstream: &UpstreamKey| {
            let avoided = avoid && request.avoid.contains(upstream);
            !avoided && self.leaves_headroom(*upstream, request.team, now)
        };
        let free = model.free.iter().filter(|(_, upstream)| fits(upstream));
        let tried: Vec<(u32, UpstreamKey)> = free.take(UPSTREAMS_TRIED).copied().collect();
        let (least, first) = tried.first().copied()?;
        let most = least + self.settings.affinity;
        let last = request.prefix.and_then(|prefix| model.prefixes.get(&prefix));
        if let Some(upstream) = last.filter(|upstream| fits(upstream)) {
            if self.load(*upstream).is_some_and(|load| load <= most) {
                return Some(*upstream);
            }
        }
        let Some(adapter) = request.adapter else {
            return Some(first);
        };
        let near = tried.iter().filter(|(load, _)| *load <= most);
        let mut with = near.filter(|(_, upstream)| self.has_adapter(*upstream, adapter));
        Some(with.next().map_or(first, |(_, upstream)| *upstream))
    }

    /// Whether an open upstream that didn't fail the request has its model loaded.
    fn has_other(&self, request: &Request) -> bool {
        let Some(model) = self.models.get(&request.model) else {
            return false;
        };
        let avoided: IndexSet<&UpstreamKey> = request.avoid.iter().collect();
        let avoided = avoided.into_iter().filter_map(|key| self.upstreams.get(key));
        let failed: u32 = avoided.map(|upstream| upstream.filed_bound(request.model)).sum();
        model.bound > failed
    }

    fn start(&mut self, key: RequestKey, upstream: UpstreamKey, now: Tick) -> Option<Start> {
        let Waiting { request, deadline, .. } = self.unqueue(key)?;
        self.next += 1;
        let slot = SlotKey { epoch: self.home, number: self.next };
        let Request { model, team, cost, .. } = request;
        let state = Slot {
            request: key,
            upstream,
            model,
            team,
            cost,
            started: now,
            deadline,
            orphan: false,
        };
        self.freshen(upstream, now);
        self.take_slot(slot, state, now);
        let model = self.models.get_mut(&model)?;
        model.queue.charge(team, cost);
        if let Some(prefix) = request.prefix {
            if model.prefixes.len() >= PREFIXES && !model.prefixes.contains_key(&prefix) {
                model.prefixes.swap_remove_index(0);
            }
            model.prefixes.insert(prefix, upstream);
        }
        self.start_of(key)
    }

    /// An upstream that was unused for long may have turned cold: it starts again with few slots.
    fn freshen(&mut self, key: UpstreamKey, now: Tick) {
        let settings = self.settings;
        let Some(upstream) = self.upstreams.get_mut(&key) else {
            return;
        };
        if upstream.in_use == 0 && now.since(upstream.used) >= settings.idle {
            upstream.reset(&settings, now);
        }
    }

    /// Counts a slot as in use.
    pub(super) fn take_slot(&mut self, key: SlotKey, slot: Slot, now: Tick) {
        self.started.insert(slot.request, key);
        self.slots.insert(key, slot);
        self.models.entry(slot.model).or_default().in_use += 1;
        if let Some(upstream) = self.upstreams.get_mut(&slot.upstream) {
            upstream.take(slot.team, now);
        }
        self.refile(slot.upstream);
    }

    fn drop_slot(&mut self, key: SlotKey, now: Tick) {
        let Some(slot) = self.slots.swap_remove(&key) else {
            return;
        };
        self.started.swap_remove(&slot.request);
        if let Some(model) = self.models.get_mut(&slot.model) {
            model.in_use -= 1;
        }
        if let Some(upstream) = self.upstreams.get_mut(&slot.upstream) {
            upstream.free(slot.team, now);
        }
        self.refile(slot.upstream);
    }
}
