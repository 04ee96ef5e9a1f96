//! What the planner does next: the commit first, then orders that the table covers already.

use std::time::Duration;

use crate::keys::ModelKey;
use crate::keys::UpstreamKey;
use crate::time::Tick;

use super::choice::Choice;
use super::effects::Change;
use super::effects::Effect;
use super::effects::Op;
use super::effects::Pair;
use super::facts::Tier;
use super::ledger::Intent;
use super::observe::Standing;
use super::planner::Claim;
use super::planner::Planner;
use super::planner::Stage;
use super::row::IntentRow;
use super::row::Phase;

/// Rows that one commit may write.
const MAX_ROWS: usize = 64;

/// How long a model keeps the room that was made for it.
const CLAIM_LIFE: Duration = Duration::from_secs(10);

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
                effects.push(Effect::Observe { upstream, asked: now });
            }
            self.look_by(upstream, now + wait.min(QUESTION_LIFE));
        }
    }

    /// The next commit, if there is anything to write.
    fn assemble(&mut self, now: Tick) -> Option<Change> {
        let mut change =
            Change { expected: self.version, fence: self.fence + 1, ..Change::default() };
        let adopting = self.stage == Stage::Adopting;
        self.settle_intents(&mut change);
        if !adopting {
            self.expire(now, &mut change);
            self.evacuate(now, &mut change);
            self.serve_wanted(now, &mut change);
        }
        if adopting {
            change.grounds.insert(0, format!("{} is the placement home", self.me));
        }
        if !adopting && change.puts.is_empty() && change.deletes.is_empty() {
            return None;
        }
        change.id = self.new_id();
        Some(change)
    }

    /// Moves intents on as far as what is known of their upstreams allows.
    fn settle_intents(&mut self, change: &mut Change) {
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

    fn settle(&self, pair: Pair, intent: &Intent, change: &mut Change) {
        let gone = !self.upstreams.contains_key(&pair.1);
        let row = self.row_of(pair, intent);
        match intent.phase {
            // With the upstream itself gone from the register there's nothing left to order.
            _ if gone => change.delete(row, "upstream left the register"),
            Phase::Decided => self.settle_decided(pair, intent, row, change),
            _ if self.forgettable(pair, intent) => change.delete(row, "unloaded"),
            Phase::Unloading => {
                if intent.standing == Standing::Absent && !self.freeable(pair, intent) {
                    let row = IntentRow { phase: Phase::Lingering, ..row };
                    change.put(row, "unloaded, but a load order may still arrive");
                }
            }
            Phase::Lingering => {
                if matches!(intent.standing, Standing::Loaded | Standing::Loading) {
                    let row = IntentRow { phase: Phase::Unloading, ..row };
                    change.put(row, "a late load order arrived");
                }
            }
        }
    }

    fn settle_decided(&self, pair: Pair, intent: &Intent, row: IntentRow, change: &mut Change) {
        let failed = intent.tries >= self.settings.order_tries
            && intent.standing == Standing::Absent
            && intent.asked > intent.quiet;
        if intent.refused || failed {
            let row = IntentRow { phase: Phase::Unloading, ..row };
            let why =
                if intent.refused { "refused by the upstream" } else { "could not be loaded" };
            return change.put(row, why);
        }
        if intent.standing == Standing::Loaded {
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
        let known = matches!(intent.standing, Standing::Absent | Standing::Unseen);
        if known && (!joined || permit != intent.permit) {
            let mut senders = row.senders.clone();
            if !joined {
                senders.push(self.me.clone());
            }
            change.put(IntentRow { senders, permit, ..row }, "adopted");
        }
    }

    /// Whether the weight store has a permit beyond what the table will hold after `change`.
    fn permit_left(&self, change: &Change) -> bool {
        let mut held = self.ledger.permits();
        for row in &change.puts {
            let before = self.intent_of(row).is_some_and(|intent| intent.permit);
            held = held + usize::from(row.permit) - usize::from(before);
        }
        held < self.settings.store_inflight
    }

    fn intent_of(&self, row: &IntentRow) -> Option<&Intent> {
        let pair = (self.names.key(&row.model)?, self.hosts.key(&row.upstream)?);
        self.ledger.get(pair)
    }

    /// Unloads models that nobody has used for their keep-alive window.
    fn expire(&mut self, now: Tick, change: &mut Change) {
        while let Some((at, model)) = self.expiry.first().copied().filter(|(at, _)| *at <= now) {
            if change.puts.len() >= MAX_ROWS {
                return;
            }
            self.expiry.remove(&(at, model));
            self.expires.swap_remove(&model);
            let next = self.expire_model(now, model, change);
            if let Some(next) = next {
                self.expire_at(model, next);
            }
        }
    }

    fn expire_model(&mut self, now: Tick, model: ModelKey, change: &mut Change) -> Option<Tick> {
        let life = self.settings.wake_life;
        let demand = self.demand.get_mut(&model)?;
        demand.lapse(now, life);
        let used = demand.used?;
        let retry = now + Duration::from_secs(1);
        if demand.busy() {
            self.drop_spare(now, model, change);
            return Some(retry);
        }
        let window = self.keep_window(model)?;
        let end = used + window;
        if end > now {
            return Some(end);
        }
        let loaded: Vec<UpstreamKey> = self
            .ledger
            .of(model)
            .filter(|(_, intent)| intent.phase == Phase::Decided)
            .filter(|(_, intent)| intent.standing == Standing::Loaded)
            .map(|(up, _)| up)
            .collect();
        for up in &loaded {
            self.unload((model, *up), "idle", change);
        }
        let rest = self.ledger.of(model).any(|(_, intent)| intent.phase == Phase::Decided);
        rest.then_some(retry)
    }

    /// Unloads one replica that a busy model hasn't needed for some time.
    fn drop_spare(&mut self, now: Tick, model: ModelKey, change: &mut Change) {
        let spare = self.spare(model);
        let keep = self.settings.extra_keep;
        let demand = self.demand.entry(model).or_default();
        let since = *demand.slack.get_or_insert(now);
        if !spare {
            demand.slack = None;
        } else if now.since(since) >= keep {
            demand.slack = Some(now);
            let loaded = self.ledger.of(model);
            let mut loaded = loaded.filter(|(_, intent)| {
                intent.standing == Standing::Loaded && intent.phase == Phase::Decided
            });
            if let Some((upstream, _)) = loaded.next() {
                self.unload((model, upstream), "one replica more than needed", change);
            }
        }
    }

    /// How long `model` is kept idle, or `None` for as long as memory allows.
    fn keep_window(&self, model: ModelKey) -> Option<Duration> {
        let facts = self.models.get(&model);
        let cold = facts.map_or(Duration::ZERO, |facts| facts.from_disk);
        let memory = self.ledger.of(model).map(|(up, _)| self.ledger.memory(up)).max();
        let bytes = facts.map_or(0, |facts| facts.footprint());
        let share = bytes as f64 / memory.unwrap_or(0).max(1) as f64;
        let gaps = &self.demand.get(&model)?.gaps;
        self.settings.keep.window(gaps, cold, share.min(1.0))
    }

    fn unload(&self, pair: Pair, why: &str, change: &mut Change) {
        let Some(intent) = self.ledger.get(pair) else {
            return;
        };
        let row = self.row_of(pair, intent);
        change.put(IntentRow { phase: Phase::Unloading, ..row }, why);
    }

    /// Moves replicas away from upstreams that may not be given work.
    fn evacuate(&mut self, now: Tick, change: &mut Change) {
        for (upstream, since) in self.barred.clone() {
            let late = now.since(since) >= self.settings.drain_grace;
            let running = self.seen.get(&upstream).is_some_and(|seen| seen.running > 0);
            let decided: Vec<ModelKey> = self
                .ledger
                .on(upstream)
                .filter(|(_, intent)| intent.phase == Phase::Decided)
                .map(|(model, _)| model)
                .collect();
            for model in decided {
                self.evacuate_model(now, (model, upstream), late || !running, change);
            }
        }
    }

    fn evacuate_model(&mut self, now: Tick, pair: Pair, quiet: bool, change: &mut Change) {
        let elsewhere = |intent: &Intent| intent.phase == Phase::Decided;
        let others = self
            .ledger
            .of(pair.0)
            .filter(|(up, intent)| *up != pair.1 && elsewhere(intent) && self.usable(*up));
        let others: Vec<Standing> = others.map(|(_, intent)| intent.standing).collect();
        let loaded = others.contains(&Standing::Loaded);
        if others.is_empty() {
            self.wanted.insert(pair.0);
        }
        let stuck = others.is_empty() && self.choose(now, pair.0).is_none();
        if quiet && (loaded || stuck) {
            self.unload(pair, "its upstream may not be given work", change);
        }
    }

    /// Decides replicas for models that are waited for, the longest wait first.
    fn serve_wanted(&mut self, now: Tick, change: &mut Change) {
        self.cursor = self.cursor.wrapping_add(super::choice::CANDIDATES);
        self.drop_claims(now);
        let life = self.settings.wake_life;
        let mut queue: Vec<(Tick, ModelKey)> = Vec::new();
        for model in self.wanted.clone() {
            let demand = self.demand.entry(model).or_default();
            demand.lapse(now, life);
            queue.push((demand.since.unwrap_or(now), model));
        }
        queue.sort_unstable();
        for (_, model) in queue {
            if change.puts.len() >= MAX_ROWS {
                return;
            }
            if !self.short(now, model) {
                self.wanted.swap_remove(&model);
                self.claims.swap_remove(&model);
                continue;
            }
            // One choice a commit where something is evicted keeps each choice on true accounts.
            self.place(now, model, change);
        }
    }

    /// Drops claims that took too long or whose victims were used again.
    fn drop_claims(&mut self, now: Tick) {
        let claims = std::mem::take(&mut self.claims);
        let kept = claims.into_iter().filter(|(_, claim)| {
            let leaving = self.ledger.on(claim.upstream);
            let leaving = leaving.filter(|(_, intent)| intent.phase == Phase::Unloading);
            let leaving: u64 = leaving.map(|(_, intent)| intent.bytes).sum();
            let room = self.ledger.free(claim.upstream).saturating_add(leaving);
            claim.until > now && room >= claim.bytes
        });
        self.claims = kept.collect();
    }

    /// Whether a model needs another replica than it has.
    fn short(&self, now: Tick, model: ModelKey) -> bool {
        if !self.models.contains_key(&model) {
            return false;
        }
        let replicas = self
            .ledger
            .of(model)
            .filter(|(up, intent)| intent.phase == Phase::Decided && self.answers(now, *up));
        let replicas = replicas.count() as u32;
        let waiting = self.waiting(model);
        if replicas == 0 {
            let moving = self.ledger.of(model).any(|(_, intent)| intent.phase == Phase::Decided);
            return waiting > 0 || moving;
        }
        // Another replica is worth its load when the work that finds no slot outlasts it.
        let slots = (self.settings.slots * replicas).max(1);
        let running = self.demand.get(&model).map_or(0, |demand| demand.running());
        let work = self.settings.service * (waiting + running).saturating_sub(slots) / slots;
        if work.is_zero() {
            return false;
        }
        let ready = self.choose(now, model).map(|choice| choice.ready);
        ready.is_some_and(|ready| work > ready)
    }

    fn place(&mut self, now: Tick, model: ModelKey, change: &mut Change) {
        let Some(choice) = self.claimed_choice(now, model).or_else(|| self.choose(now, model))
        else {
            return;
        };
        let pair = (model, choice.upstream);
        if !choice.fits {
            return self.make_room(now, pair, &choice, change);
        }
        if self.overdrawn(pair, change) {
            return;
        }
        let permit = choice.tier == Tier::Remote && choice.ready > Duration::ZERO;
        let held = self.ledger.get(pair).is_some_and(|intent| intent.permit);
        if permit && !held && !self.permit_left(change) {
            return;
        }
        let mut senders: Vec<String> = self.ledger.get(pair).map_or(Vec::new(), |intent| {
            intent.senders.iter().filter(|sender| **sender != self.me).cloned().collect()
        });
        senders.push(self.me.clone());
        let facts = self.models.get(&model).map_or(0, |facts| facts.footprint());
        let bytes = self.ledger.get(pair).map_or(facts, |intent| intent.bytes);
        let row = IntentRow {
            model: self.names.name(model).to_owned(),
            upstream: self.hosts.name(choice.upstream).to_owned(),
            bytes,
            fence: change.fence,
            phase: Phase::Decided,
            senders,
            permit: permit || held,
        };
        let waiting = self.waiting(model);
        let ready = choice.ready.as_millis();
        let why = format!("{waiting} waiting, ready in {ready} ms from {:?}", choice.tier);
        change.put(row, &why);
    }

    /// The choice that room was made for earlier, once the room is there.
    fn claimed_choice(&self, now: Tick, model: ModelKey) -> Option<Choice> {
        let claim = self.claims.get(&model)?;
        let fits = self.ledger.free(claim.upstream) >= claim.bytes;
        let pair = (model, claim.upstream);
        let tier = self.tier(pair);
        let usable = self.answers(now, claim.upstream) && claim.until > now;
        let ready = self.cold(pair);
        let upstream = claim.upstream;
        usable.then_some(Choice { upstream, tier, victims: Vec::new(), fits, ready, price: 0.0 })
    }

    fn make_room(&mut self, now: Tick, pair: Pair, choice: &Choice, change: &mut Change) {
        if self.claims.contains_key(&pair.0) || self.claims.len() >= self.settings.store_inflight {
            return;
        }
        // What is spare counts the table only, so one spare replica of a model goes at a time.
        let twice = choice.victims.iter().any(|victim| {
            let name = self.names.name(*victim);
            self.busy(*victim) && change.puts.iter().any(|row| row.model == name)
        });
        if twice {
            return;
        }
        for victim in &choice.victims {
            let why = format!("makes room for {}", self.names.name(pair.0));
            self.unload((*victim, pair.1), &why, change);
        }
        let bytes = self.models.get(&pair.0).map_or(0, |facts| facts.footprint());
        let claim = Claim { upstream: pair.1, bytes, until: now + CLAIM_LIFE };
        self.claims.insert(pair.0, claim);
    }

    /// Whether a new row would take more than is free once `change` is in the table.
    fn overdrawn(&self, pair: Pair, change: &Change) -> bool {
        if self.ledger.get(pair).is_some() {
            return change.touches(self.names.name(pair.0), self.hosts.name(pair.1));
        }
        let host = self.hosts.name(pair.1);
        let fresh = change.puts.iter().filter(|row| row.upstream == host);
        let fresh = fresh.filter(|row| self.intent_of(row).is_none());
        let fresh: u64 = fresh.map(|row| row.bytes).sum();
        let bytes = self.models.get(&pair.0).map_or(0, |facts| facts.footprint());
        self.ledger.free(pair.1) < bytes.saturating_add(fresh)
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
            Phase::Decided => intent.standing == Standing::Loaded,
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
                let gone = intent.standing == Standing::Absent && !self.fenced(pair.1);
                (!done && !gone).then_some(Op::Unload)
            }
            Phase::Lingering => None,
        }
    }

    fn load_due(&self, now: Tick, pair: Pair, intent: &Intent) -> bool {
        let joined = intent.senders.contains(&self.me);
        let absent = match intent.standing {
            Standing::Unseen => intent.ordered.is_none(),
            Standing::Absent => intent.ordered.is_none() || intent.asked > intent.quiet,
            _ => false,
        };
        let store = self.tier(pair) != Tier::Remote || (intent.permit && self.store_next <= now);
        joined && absent && store && !intent.refused
    }

    fn fenced(&self, upstream: UpstreamKey) -> bool {
        self.upstreams.get(&upstream).is_some_and(|facts| facts.fenced)
    }
}

impl Change {
    /// Whether a row for `model` on `upstream` is written or deleted.
    pub fn touches(&self, model: &str, upstream: &str) -> bool {
        let put = self.puts.iter().any(|row| row.model == model && row.upstream == upstream);
        put || self.deletes.iter().any(|key| key.model == model && key.upstream == upstream)
    }

    /// Writes a row with this commit's token, unless the commit touches it already.
    fn put(&mut self, row: IntentRow, why: &str) {
        if self.touches(&row.model, &row.upstream) {
            return;
        }
        self.grounds.push(format!("{}: {:?}, {why}", row.key(), row.phase));
        self.puts.push(IntentRow { fence: self.fence, ..row });
    }

    fn delete(&mut self, row: IntentRow, why: &str) {
        if self.touches(&row.model, &row.upstream) {
            return;
        }
        self.grounds.push(format!("{}: forgotten, {why}", row.key()));
        self.deletes.push(row.key());
    }
}
