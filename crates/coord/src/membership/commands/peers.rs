//! Pings, promises and consents.

use indexmap::IndexSet;

use super::super::Machine;
use super::super::MemberId;
use super::super::Reply;
use super::super::Request;
use super::super::Stage;
use super::super::View;
use crate::time::Tick;

/// Rounds of asking whose replies still count.
const ROUNDS_KEPT: usize = 16;

impl Machine {
    pub(super) fn poll_peers(&mut self, now: Tick) {
        let Some(view) = self.view.clone() else { return };
        if now >= self.due.ping {
            self.due.ping = now + self.settings.ping_interval;
            self.ping(&view);
            self.ask_inventory();
        }
        if now >= self.due.ask && self.wants_promises(now) {
            self.due.ask = now + self.settings.request_interval;
            self.ask_promises(now, &view);
        }
    }

    pub(super) fn ping(&mut self, view: &View) {
        let known = view.members.iter().chain(&view.previous);
        let others = known.filter(|member| member.address != self.me.address);
        let addresses: IndexSet<String> = others.map(|member| member.address.clone()).collect();
        for address in addresses {
            self.send(&address, Request::Ping { epoch: view.epoch });
        }
    }

    pub(super) fn wants_promises(&self, now: Tick) -> bool {
        let age = self.term.renewal_age(now);
        self.stage == Stage::Member
            && age.is_some_and(|age| age >= self.settings.store_timeout)
            && age.is_some_and(|age| age < self.settings.outage_limit)
    }

    pub(super) fn ask_promises(&mut self, now: Tick, view: &View) {
        self.round += 1;
        self.rounds.insert(self.round, now);
        if self.rounds.len() > ROUNDS_KEPT {
            self.rounds.shift_remove_index(0);
        }
        if view.members.len() == 1 {
            // Nobody but this member could consent to its removal.
            self.term.alone(now, view);
        }
        let request = Request::Promise { epoch: view.epoch, round: self.round };
        self.send_others(view, &request);
    }

    pub(super) fn give_promise(&mut self, now: Tick, from: &MemberId, epoch: u64) -> bool {
        let Some(view) = &self.view else { return false };
        let fit = self.stage == Stage::Member && view.epoch == epoch && view.contains(from);
        if !fit || self.store_ok(now) {
            return false;
        }
        self.promises.promise(now, from, epoch, &self.settings)
    }

    pub(super) fn promised(&mut self, by: MemberId, round: u64, given: bool) {
        let Some(view) = self.view.clone() else { return };
        let Some(sent) = self.rounds.get(&round).copied() else { return };
        if given && view.contains(&by) {
            let me = self.me.id.clone();
            self.term.promise(by, sent, &me, &view);
        }
    }

    pub(super) fn give_consent(
        &mut self,
        now: Tick,
        id: &MemberId,
        version: u64,
        epoch: u64,
    ) -> bool {
        let Some(view) = &self.view else { return false };
        let fit = self.stage == Stage::Member && view.epoch == epoch && *id != self.me.id;
        // What an earlier incarnation of this process promised has to run out first.
        let aged = now.since(self.started) > self.settings.expiry_wait();
        // The consent would be bound to a row that has been renewed since.
        let current = self.watch.version(id).is_none_or(|seen| seen <= version);
        fit && aged && current && self.promises.consent(now, id, version)
    }

    pub(super) fn note_replaced(&mut self, address: &str, reply: &Reply) {
        // Every member of the view that was asked at had taken its address before; a late reply to
        // an earlier question may be of a process that was there before the member.
        if reply.request_epoch != self.epoch() || reply.ack.uptime <= self.settings.expiry_wait() {
            return;
        }
        let Some(view) = &self.view else { return };
        for member in view.members.iter().chain(&view.previous) {
            if member.address == address && member.id != reply.ack.id {
                self.replaced.insert(member.id.clone());
            }
        }
    }
}
