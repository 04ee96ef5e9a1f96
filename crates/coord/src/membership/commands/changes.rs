//! Changes of the view: joins, removals and departures.

use std::time::Duration;

use indexmap::IndexSet;

use super::super::state::OwnRow;
use super::super::state::PendingAccess;
use super::super::state::Removal;
use super::super::view::majority;
use super::super::EndReason;
use super::super::Machine;
use super::super::Member;
use super::super::MemberId;
use super::super::Request;
use super::super::Stage;
use super::super::StoreOp;
use super::super::View;
use crate::time::Tick;

/// Base delay after a refused change, multiplied by the number of consecutive refusals and by a
/// factor from 1 to 7 that differs between incarnations.
const BACKOFF: Duration = Duration::from_millis(50);
/// Consecutive refusals after which the delay no longer grows.
const MAX_BACKOFF_FACTOR: u32 = 8;
/// Delay between one live member's start of a removal and the next member's, in view order.
const REMOVAL_STAGGER: Duration = Duration::from_millis(500);
/// Version that stands for a deleted row. No row version exceeds it, so a consent bound to it isn't
/// dropped while the member is in the view.
const MISSING_ROW_VERSION: u64 = u64::MAX;

impl Machine {
    pub(super) fn poll_change(&mut self, now: Tick) {
        let changing = self.in_flight.values().any(|(f, _)| matches!(f, PendingAccess::Change(_)));
        if changing || now < self.due.change || self.stage == Stage::Ended {
            return;
        }
        match self.stage {
            Stage::Joining => self.join(now),
            Stage::Member => self.remove_expired(now),
            Stage::Departing => self.leave_view(now),
            Stage::Ended => {}
        }
    }

    pub(super) fn join(&mut self, now: Tick) {
        if !matches!(self.own_row, OwnRow::Mine(_)) || !self.store_reachable(now) {
            return;
        }
        let Some(view) = self.view.clone() else {
            let first = View::default().with_member(self.me.clone());
            self.write_view(now, None, first, Vec::new(), None);
            return;
        };
        if self.may_change_view(now, &view) && self.joiner_reaches_majority(now, &view) {
            let next = view.with_member(self.me.clone());
            self.write_view(now, Some(view.version), next, Vec::new(), None);
        }
    }

    /// Whether a joining process reaches a majority of the view. Members that are confirmed dead
    /// count as reached.
    pub(super) fn joiner_reaches_majority(&self, now: Tick, view: &View) -> bool {
        let reachable = view
            .members
            .iter()
            .filter(|m| self.is_reachable(now, &m.id) || self.is_confirmed_dead(now, m));
        majority(reachable.count(), view.members.len()) || view.members.is_empty()
    }

    /// Drives the removal of a member whose lease has expired, or leaves if isolated.
    pub(super) fn remove_expired(&mut self, now: Tick) {
        let Some(view) = self.view.clone() else { return };
        if self.is_isolated(now, &view) {
            self.start_departure(now, EndReason::Isolated);
            return;
        }
        let Some(target) = self.removal_target(now, &view) else {
            self.removal = None;
            return;
        };
        let version = self.detector.last_version(&target);
        let same = |r: &Removal| r.target == target && r.version == version;
        if !self.removal.as_ref().is_some_and(same) {
            let consents = IndexSet::new();
            self.removal = Some(Removal { target, version, consents, next_request: now });
        }
        self.request_consents(now, &view);
        self.try_remove(now, &view);
    }

    /// Whether this member hears nothing from a majority of the live members although the store
    /// answers it.
    pub(super) fn is_isolated(&self, now: Tick, view: &View) -> bool {
        let limit = self.settings.isolation_timeout;
        let past_startup = now.since(self.adopted_at) > limit && now.since(self.started) > limit;
        let expiry_wait = self.settings.expiry_wait();
        let expired = |id: &MemberId| self.detector.is_expired(now, id, expiry_wait);
        let unreachable = |m: &&Member| {
            let heard = self.last_heard.get(&m.id).is_some_and(|heard| now.since(*heard) < limit);
            m.id != self.me.id && !heard && !expired(&m.id)
        };
        let alive = view.members.iter().filter(|m| m.id == self.me.id || !expired(&m.id)).count();
        let unreachable_count = view.members.iter().filter(unreachable).count();
        past_startup && self.store_reachable(now) && alive > 2 && majority(unreachable_count, alive)
    }

    /// The member to remove now; `None` if there is none or another member is to start first.
    pub(super) fn removal_target(&self, now: Tick, view: &View) -> Option<MemberId> {
        let expiry_wait = self.settings.expiry_wait();
        let expired = |id: &MemberId| self.detector.is_expired(now, id, expiry_wait);
        let me = &self.me.id;
        let target = view.members.iter().find(|m| m.id != *me && expired(&m.id))?;
        if !self.store_reachable(now) || !self.may_change_view(now, view) {
            return None;
        }
        let live_members = view.members.iter().filter(|member| !expired(&member.id));
        let rank = live_members.take_while(|member| member.id != *me).count();
        let wait = expiry_wait + REMOVAL_STAGGER * u32::try_from(rank).unwrap_or(u32::MAX);
        self.detector.is_expired(now, &target.id, wait).then(|| target.id.clone())
    }

    pub(super) fn request_consents(&mut self, now: Tick, view: &View) {
        let Some(removal) = &mut self.removal else { return };
        if now < removal.next_request {
            return;
        }
        removal.next_request = now + self.settings.request_interval;
        let (target, version) =
            (removal.target.clone(), removal.version.unwrap_or(MISSING_ROW_VERSION));
        if self.grant_consent(now, &target, version, view.epoch) {
            let me = self.me.id.clone();
            self.on_consent(me, &target, version);
        }
        let request = Request::Consent { epoch: view.epoch, member: target, version };
        self.broadcast(view, &request);
    }

    pub(super) fn on_consent(&mut self, peer: MemberId, target: &MemberId, version: u64) {
        let Some(removal) = &mut self.removal else { return };
        if removal.target == *target && removal.version.unwrap_or(MISSING_ROW_VERSION) == version {
            removal.consents.insert(peer);
        }
    }

    pub(super) fn try_remove(&mut self, now: Tick, view: &View) {
        let Some(removal) = self.removal.clone() else { return };
        let consented = |member: &&Member| {
            removal.consents.contains(&member.id) || self.is_confirmed_dead(now, member)
        };
        if !majority(view.members.iter().filter(consented).count(), view.members.len()) {
            return;
        }
        let target = removal.target;
        let guards = removal.version.map(|version| (target.name.clone(), version));
        let delete = removal.version.map(|_| target.name.clone());
        let next = view.without_member(&target, false);
        self.write_view(now, Some(view.version), next, guards.into_iter().collect(), delete);
    }

    pub(super) fn start_departure(&mut self, now: Tick, reason: EndReason) {
        match self.stage {
            Stage::Joining => self.end(reason),
            Stage::Member => {
                self.stage = Stage::Departing;
                self.end_reason = reason;
                self.due.change = now;
                self.poll_change(now);
            }
            Stage::Departing | Stage::Ended => {}
        }
    }

    /// Removes this member from the view once its granted promises have expired.
    pub(super) fn leave_view(&mut self, now: Tick) {
        let Some(view) = self.view.clone() else { return };
        let OwnRow::Mine(version) = self.own_row else { return };
        let renewing = self.in_flight.values().any(|(f, _)| matches!(f, PendingAccess::Put));
        if renewing || !self.may_change_view(now, &view) || !self.promises.none_outstanding(now) {
            return;
        }
        let name = self.me.id.name.clone();
        let next = view.without_member(&self.me.id, true);
        self.write_view(now, Some(view.version), next, vec![(name.clone(), version)], Some(name));
    }

    pub(super) fn write_view(
        &mut self,
        now: Tick,
        expect: Option<u64>,
        view: View,
        guards: Vec<(String, u64)>,
        delete: Option<String>,
    ) {
        let op = StoreOp::Change { expect, view: Box::new(view.clone()), guards, delete };
        self.access_store(now, PendingAccess::Change(Box::new(view)), op);
    }

    /// Retries after a delay and a scan, since another change took effect first or the result is
    /// unknown.
    pub(super) fn on_change_failed(&mut self, now: Tick) {
        self.refused_changes = (self.refused_changes + 1).min(MAX_BACKOFF_FACTOR);
        let stagger = u32::try_from(self.me.id.incarnation % 7).unwrap_or(0) + 1;
        self.due.change = now + BACKOFF * self.refused_changes * stagger;
        self.due.scan = now;
        if self.stage == Stage::Departing {
            self.invalidate_own_row(now);
        }
    }
}
