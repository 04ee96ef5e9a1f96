//! Decides replicas for models that are waited for.

use std::time::Duration;

use crate::keys::ModelKey;
use crate::time::Tick;

use super::catalog::Tier;
use super::choice::Choice;
use super::effects::ChangeSet;
use super::effects::Pair;
use super::planner::Claim;
use super::planner::Planner;
use super::row::IntentRow;
use super::row::Phase;
use super::steps::MAX_ROWS;

/// How long a model keeps the room that was made for it.
const CLAIM_LIFE: Duration = Duration::from_secs(10);

impl Planner {
    /// Decides replicas for models that are waited for, the longest wait first.
    pub(super) fn serve_wanted(&mut self, now: Tick, change: &mut ChangeSet) {
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

    fn place(&mut self, now: Tick, model: ModelKey, change: &mut ChangeSet) {
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

    fn make_room(&mut self, now: Tick, pair: Pair, choice: &Choice, change: &mut ChangeSet) {
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
    fn overdrawn(&self, pair: Pair, change: &ChangeSet) -> bool {
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
}
