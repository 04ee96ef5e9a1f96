//! Changes of the view: joining, removing, leaving.

use std::time::Duration;

use indexmap::IndexSet;

use super::super::state::Flight;
use super::super::state::OwnRow;
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

/// Wait after a refused change, times the number of refusals in a row and a share by name.
const BACKOFF: Duration = Duration::from_millis(50);
/// Most refusals that lengthen the wait.
const BACKOFF_STEPS: u32 = 8;
/// How much later each next member in line starts a removal.
const REMOVAL_STEP: Duration = Duration::from_millis(500);
/// Stands for the version of a row that doesn't exist any more; a consent bound to it never ends.
const NO_ROW: u64 = u64::MAX;

impl Machine {
    pub(super) fn poll_change(&mut self, now: Tick) {
        let changing = self.flights.values().any(|(f, _)| matches!(f, Flight::Change(_)));
        if changing || now < self.due.change || self.stage == Stage::Ended {
            return;
        }
        match self.stage {
            Stage::Joining => self.join(now),
            Stage::Member => self.tend(now),
            Stage::Departing => self.go(now),
            Stage::Ended => {}
        }
    }

    pub(super) fn join(&mut self, now: Tick) {
        if !matches!(self.own, OwnRow::Mine(_)) || !self.store_ok(now) {
            return;
        }
        let Some(view) = self.view.clone() else {
            let first = View::default().with(self.me.clone());
            self.change(now, None, first, Vec::new(), None);
            return;
        };
        if self.acts(now, &view) && self.in_touch(now, &view) {
            let next = view.with(self.me.clone());
            self.change(now, Some(view.version), next, Vec::new(), None);
        }
    }

    /// Whether a joining process reaches more than half of the view that is alive.
    pub(super) fn in_touch(&self, now: Tick, view: &View) -> bool {
        let near = view.members.iter().filter(|m| self.near(now, &m.id) || self.gone(now, m));
        majority(near.count(), view.members.len()) || view.members.is_empty()
    }

    /// Removes whose row has lapsed.
    pub(super) fn tend(&mut self, now: Tick) {
        let Some(view) = self.view.clone() else { return };
        if self.isolated(now, &view) {
            self.depart_because(now, EndReason::Isolated);
            return;
        }
        let Some(target) = self.target(now, &view) else {
            self.removal = None;
            return;
        };
        let version = self.watch.version(&target);
        let same = |r: &Removal| r.target == target && r.version == version;
        if !self.removal.as_ref().is_some_and(same) {
            let consents = IndexSet::new();
            self.removal = Some(Removal { target, version, consents, due: now });
        }
        self.ask_consents(now, &view);
        self.remove(now, &view);
    }

    /// Whether this member hears from no half of its view while the store answers it.
    pub(super) fn isolated(&self, now: Tick, view: &View) -> bool {
        let limit = self.settings.isolation_timeout;
        let settled_in = now.since(self.adopted) > limit && now.since(self.started) > limit;
        let lapse = self.settings.expiry_wait();
        let lapsed = |id: &MemberId| self.watch.lapsed(now, id, lapse);
        let silent = |m: &&Member| {
            let heard = self.heard.get(&m.id).is_some_and(|heard| now.since(*heard) < limit);
            m.id != self.me.id && !heard && !lapsed(&m.id)
        };
        let alive = view.members.iter().filter(|m| m.id == self.me.id || !lapsed(&m.id)).count();
        let cut = view.members.iter().filter(silent).count();
        settled_in && self.store_ok(now) && alive > 2 && majority(cut, alive)
    }

    /// The member to remove now, if it's this member's turn.
    pub(super) fn target(&self, now: Tick, view: &View) -> Option<MemberId> {
        let lapse = self.settings.expiry_wait();
        let lapsed = |id: &MemberId| self.watch.lapsed(now, id, lapse);
        let me = &self.me.id;
        let target = view.members.iter().find(|m| m.id != *me && lapsed(&m.id))?;
        if !self.store_ok(now) || !self.acts(now, view) {
            return None;
        }
        let line = view.members.iter().filter(|member| !lapsed(&member.id));
        let turn = line.take_while(|member| member.id != *me).count();
        let wait = lapse + REMOVAL_STEP * u32::try_from(turn).unwrap_or(u32::MAX);
        self.watch.lapsed(now, &target.id, wait).then(|| target.id.clone())
    }

    pub(super) fn ask_consents(&mut self, now: Tick, view: &View) {
        let Some(removal) = &mut self.removal else { return };
        if now < removal.due {
            return;
        }
        removal.due = now + self.settings.request_interval;
        let (target, version) = (removal.target.clone(), removal.version.unwrap_or(NO_ROW));
        if self.give_consent(now, &target, version, view.epoch) {
            let me = self.me.id.clone();
            self.consented(me, &target, version);
        }
        let request = Request::Consent { epoch: view.epoch, member: target, version };
        self.send_others(view, &request);
    }

    pub(super) fn consented(&mut self, by: MemberId, target: &MemberId, version: u64) {
        let Some(removal) = &mut self.removal else { return };
        if removal.target == *target && removal.version.unwrap_or(NO_ROW) == version {
            removal.consents.insert(by);
        }
    }

    pub(super) fn remove(&mut self, now: Tick, view: &View) {
        let Some(removal) = self.removal.clone() else { return };
        let agrees =
            |member: &&Member| removal.consents.contains(&member.id) || self.gone(now, member);
        if !majority(view.members.iter().filter(agrees).count(), view.members.len()) {
            return;
        }
        let target = removal.target;
        let guards = removal.version.map(|version| (target.name.clone(), version));
        let delete = removal.version.map(|_| target.name.clone());
        let next = view.without(&target, false);
        self.change(now, Some(view.version), next, guards.into_iter().collect(), delete);
    }

    pub(super) fn depart_because(&mut self, now: Tick, why: EndReason) {
        match self.stage {
            Stage::Joining => self.end(why),
            Stage::Member => {
                self.stage = Stage::Departing;
                self.leaving = why;
                self.due.change = now;
                self.poll_change(now);
            }
            Stage::Departing | Stage::Ended => {}
        }
    }

    /// Takes itself out once nothing that it promised can be missed.
    pub(super) fn go(&mut self, now: Tick) {
        let Some(view) = self.view.clone() else { return };
        let OwnRow::Mine(version) = self.own else { return };
        let putting = self.flights.values().any(|(f, _)| matches!(f, Flight::Put));
        if putting || !self.acts(now, &view) || !self.promises.none(now) {
            return;
        }
        let name = self.me.id.name.clone();
        let next = view.without(&self.me.id, true);
        self.change(now, Some(view.version), next, vec![(name.clone(), version)], Some(name));
    }

    pub(super) fn change(
        &mut self,
        now: Tick,
        expect: Option<u64>,
        view: View,
        guards: Vec<(String, u64)>,
        delete: Option<String>,
    ) {
        let op = StoreOp::Change { expect, view: Box::new(view.clone()), guards, delete };
        self.store(now, Flight::Change(Box::new(view)), op);
    }

    /// Another change came first, or nobody knows: look, and try again a little later.
    pub(super) fn change_failed(&mut self, now: Tick) {
        self.refusals = (self.refusals + 1).min(BACKOFF_STEPS);
        let share = u32::try_from(self.me.id.incarnation % 7).unwrap_or(0) + 1;
        self.due.change = now + BACKOFF * self.refusals * share;
        self.due.scan = now;
        if self.stage == Stage::Departing {
            self.reread(now);
        }
    }
}
