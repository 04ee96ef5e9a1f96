//! Decides new replicas for models with waiting requests.

use std::time::Duration;

use crate::keys::ModelKey;
use crate::time::Tick;

use super::catalog::Tier;
use super::choice::Candidate;
use super::effects::ChangeSet;
use super::effects::ReplicaKey;
use super::planner::Planner;
use super::planner::Reservation;
use super::row::IntentRow;
use super::row::Phase;
use super::steps::MAX_ROWS;

/// How long a reservation of freed memory lasts.
const RESERVATION_TTL: Duration = Duration::from_secs(10);

impl Planner {
    /// Decides new replicas for models with waiting requests, the longest wait first.
    pub(super) fn place_pending(&mut self, now: Tick, change: &mut ChangeSet) {
        self.sample_offset = self.sample_offset.wrapping_add(super::choice::MAX_CANDIDATES);
        self.expire_reservations(now);
        let ttl = self.settings.report_ttl;
        let mut queue: Vec<(Tick, ModelKey)> = Vec::new();
        for model in self.pending_models.clone() {
            let demand = self.demand.entry(model).or_default();
            demand.expire_reports(now, ttl);
            queue.push((demand.waiting_since.unwrap_or(now), model));
        }
        queue.sort_unstable();
        for (_, model) in queue {
            if change.puts.len() >= MAX_ROWS {
                return;
            }
            if !self.needs_replica(now, model) {
                self.pending_models.swap_remove(&model);
                self.reservations.swap_remove(&model);
                continue;
            }
            self.place(now, model, change);
        }
    }

    /// Drops reservations that have expired, or whose memory won't become free because a victim is
    /// in use again.
    fn expire_reservations(&mut self, now: Tick) {
        let reservations = std::mem::take(&mut self.reservations);
        let valid = reservations.into_iter().filter(|(_, reservation)| {
            let unloading = self.ledger.on_upstream(reservation.upstream);
            let unloading = unloading.filter(|(_, intent)| intent.phase == Phase::Unloading);
            let unloading =
                unloading.fold(0, |sum: u64, (_, intent)| sum.saturating_add(intent.bytes));
            let available = self.ledger.free(reservation.upstream).saturating_add(unloading);
            reservation.expires_at > now && available >= reservation.bytes
        });
        self.reservations = valid.collect();
    }

    /// Whether a model needs one more replica.
    fn needs_replica(&self, now: Tick, model: ModelKey) -> bool {
        if !self.models.contains_key(&model) {
            return false;
        }
        let replicas = self.ledger.of_model(model).filter(|(upstream, intent)| {
            intent.phase == Phase::Decided && self.is_reachable(now, *upstream)
        });
        let replicas = replicas.count() as u32;
        let waiting = self.waiting_requests(model);
        if replicas == 0 {
            let assigned =
                self.ledger.of_model(model).any(|(_, intent)| intent.phase == Phase::Decided);
            return waiting > 0 || assigned;
        }
        // Another replica pays off if the work beyond the present slots takes longer than its load.
        let slots = (self.settings.replica_slots * replicas).max(1);
        let requests = self.demand.get(&model).map_or(0, |demand| demand.requests());
        let backlog = self.settings.service_time * requests.saturating_sub(slots) / slots;
        if backlog.is_zero() {
            return false;
        }
        let ready_in = self.best_candidate(now, model).map(|candidate| candidate.ready_in);
        ready_in.is_some_and(|ready_in| backlog > ready_in)
    }

    fn place(&mut self, now: Tick, model: ModelKey, change: &mut ChangeSet) {
        let Some(candidate) =
            self.reserved_candidate(now, model).or_else(|| self.best_candidate(now, model))
        else {
            return;
        };
        let replica = (model, candidate.upstream);
        if !candidate.fits {
            return self.evict(now, replica, &candidate, change);
        }
        if self.exceeds_free(replica, change) {
            return;
        }
        let needs_permit = candidate.tier == Tier::Remote && candidate.ready_in > Duration::ZERO;
        let has_permit = self.ledger.get(replica).is_some_and(|intent| intent.permit);
        if needs_permit && !has_permit && !self.permit_left(change) {
            return;
        }
        let mut senders: Vec<String> = self.ledger.get(replica).map_or(Vec::new(), |intent| {
            intent.senders.iter().filter(|sender| **sender != self.own_name).cloned().collect()
        });
        senders.push(self.own_name.clone());
        let footprint = self.models.get(&model).map_or(0, |model| model.footprint());
        let bytes = self.ledger.get(replica).map_or(footprint, |intent| intent.bytes);
        let row = IntentRow {
            model: self.model_names.name(model).to_owned(),
            upstream: self.upstream_names.name(candidate.upstream).to_owned(),
            bytes,
            fence: change.fence,
            phase: Phase::Decided,
            senders,
            permit: needs_permit || has_permit,
        };
        let waiting = self.waiting_requests(model);
        let ready_ms = candidate.ready_in.as_millis();
        let reason = format!("{waiting} waiting, ready in {ready_ms} ms from {:?}", candidate.tier);
        change.put(row, &reason);
    }

    /// The candidate for which memory was reserved; it fits once that memory is free.
    fn reserved_candidate(&self, now: Tick, model: ModelKey) -> Option<Candidate> {
        let reservation = self.reservations.get(&model)?;
        let fits = self.ledger.free(reservation.upstream) >= reservation.bytes;
        let replica = (model, reservation.upstream);
        let tier = self.tier(replica);
        let usable = self.is_reachable(now, reservation.upstream) && reservation.expires_at > now;
        let ready_in = self.load_time(replica);
        let upstream = reservation.upstream;
        usable.then_some(Candidate {
            upstream,
            tier,
            victims: Vec::new(),
            fits,
            ready_in,
            cost: 0.0,
        })
    }

    fn evict(
        &mut self,
        now: Tick,
        replica: ReplicaKey,
        candidate: &Candidate,
        change: &mut ChangeSet,
    ) {
        if self.reservations.contains_key(&replica.0)
            || self.reservations.len() >= self.settings.store_inflight
        {
            return;
        }
        // A surplus replica is counted from the table only, so evict at most one replica of a busy
        // model in a commit.
        let duplicate = candidate.victims.iter().any(|victim| {
            let name = self.model_names.name(*victim);
            self.is_busy(*victim) && change.puts.iter().any(|row| row.model == name)
        });
        if duplicate {
            return;
        }
        for victim in &candidate.victims {
            // Stored text: the victim is evicted in favour of this model.
            let reason = format!("makes room for {}", self.model_names.name(replica.0));
            self.plan_unload((*victim, replica.1), &reason, change);
        }
        let bytes = self.models.get(&replica.0).map_or(0, |model| model.footprint());
        let reservation =
            Reservation { upstream: replica.1, bytes, expires_at: now + RESERVATION_TTL };
        self.reservations.insert(replica.0, reservation);
    }

    /// Whether a new row would need more than the upstream's free memory once `change` is in the
    /// table.
    fn exceeds_free(&self, replica: ReplicaKey, change: &ChangeSet) -> bool {
        if self.ledger.get(replica).is_some() {
            return change
                .touches(self.model_names.name(replica.0), self.upstream_names.name(replica.1));
        }
        let upstream_name = self.upstream_names.name(replica.1);
        let new_rows = change.puts.iter().filter(|row| row.upstream == upstream_name);
        let new_rows = new_rows.filter(|row| self.intent_of(row).is_none());
        let new_bytes = new_rows.fold(0, |sum: u64, row| sum.saturating_add(row.bytes));
        let bytes = self.models.get(&replica.0).map_or(0, |model| model.footprint());
        self.ledger.free(replica.1) < bytes.saturating_add(new_bytes)
    }
}
