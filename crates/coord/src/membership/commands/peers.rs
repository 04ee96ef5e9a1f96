//! Pings, and requests for promises and consents.

use indexmap::IndexSet;

use super::super::Machine;
use super::super::MemberId;
use super::super::Reply;
use super::super::Request;
use super::super::Stage;
use super::super::View;
use crate::time::Tick;

/// Most rounds of promise requests whose replies still count.
const MAX_ROUNDS: usize = 16;

impl Machine {
    pub(super) fn poll_peers(&mut self, now: Tick) {
        let Some(view) = self.view.clone() else { return };
        if now >= self.due.ping {
            self.due.ping = now + self.settings.ping_interval;
            self.ping(&view);
            self.request_inventories();
        }
        if now >= self.due.promises && self.needs_promises(now) {
            self.due.promises = now + self.settings.request_interval;
            self.request_promises(now, &view);
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

    pub(super) fn needs_promises(&self, now: Tick) -> bool {
        let age = self.lease.renewal_age(now);
        self.stage == Stage::Member
            && age.is_some_and(|age| age >= self.settings.store_timeout)
            && age.is_some_and(|age| age < self.settings.outage_limit)
    }

    pub(super) fn request_promises(&mut self, now: Tick, view: &View) {
        self.last_round += 1;
        self.promise_rounds.insert(self.last_round, now);
        if self.promise_rounds.len() > MAX_ROUNDS {
            self.promise_rounds.shift_remove_index(0);
        }
        if view.members.len() == 1 {
            // No other member exists that could consent to its removal.
            self.lease.extend_alone(now, view);
        }
        let request = Request::Promise { epoch: view.epoch, round: self.last_round };
        self.broadcast(view, &request);
    }

    pub(super) fn grant_promise(&mut self, now: Tick, from: &MemberId, epoch: u64) -> bool {
        let Some(view) = &self.view else { return false };
        let eligible = self.stage == Stage::Member && view.epoch == epoch && view.contains(from);
        if !eligible || self.store_reachable(now) {
            return false;
        }
        self.promises.grant_promise(now, from, epoch, &self.settings)
    }

    pub(super) fn on_promise(&mut self, peer: MemberId, round: u64, given: bool) {
        let Some(view) = self.view.clone() else { return };
        let Some(sent) = self.promise_rounds.get(&round).copied() else { return };
        if given && view.contains(&peer) {
            let me = self.me.id.clone();
            self.lease.record_promise(peer, sent, &me, &view);
        }
    }

    pub(super) fn grant_consent(
        &mut self,
        now: Tick,
        id: &MemberId,
        version: u64,
        epoch: u64,
    ) -> bool {
        let Some(view) = &self.view else { return false };
        let eligible = self.stage == Stage::Member && view.epoch == epoch && *id != self.me.id;
        // The promises of an earlier incarnation of this process must have expired first.
        let up_long_enough = now.since(self.started) > self.settings.expiry_wait();
        // A consent for an older version would be for a row that has been renewed since.
        let current = self.detector.last_version(id).is_none_or(|seen| seen <= version);
        eligible && up_long_enough && current && self.promises.grant_consent(now, id, version)
    }

    pub(super) fn detect_replacement(&mut self, address: &str, reply: &Reply) {
        // Each member of the request's view had taken its address before the request was sent. A
        // late reply to a request of an earlier epoch may come from a process that used the address
        // before the member.
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
