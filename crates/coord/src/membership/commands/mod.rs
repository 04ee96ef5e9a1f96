//! Inputs of a [`Machine`]: time, answers of the store, requests and replies of peers.
//!
//! [`own_row`] renews this process's row and scans the rows, [`peers`] pings and exchanges
//! promises, [`changes`] changes the view.

mod changes;
mod own_row;
mod peers;

use std::sync::Arc;

use indexmap::IndexMap;
use indexmap::IndexSet;

use super::state::PendingAccess;
use super::Effect;
use super::EndReason;
use super::Machine;
use super::MemberId;
use super::Reply;
use super::ReplyBody;
use super::Request;
use super::RowState;
use super::Stage;
use super::StoreAnswer;
use super::View;
use crate::time::Tick;

impl Machine {
    /// Runs the tasks that are due at `now`. Call it at least every 100 ms.
    pub fn poll(&mut self, now: Tick) -> Vec<Effect> {
        if self.stage == Stage::Ended {
            return self.take_effects();
        }
        self.poll_store(now);
        self.poll_peers(now);
        self.settle(now);
        self.poll_change(now);
        self.take_effects()
    }

    /// Sets the addresses at which this member serves callers and operators. The next renewal tells
    /// them.
    pub fn set_addresses(&mut self, callers: &str, operators: &str) {
        callers.clone_into(&mut self.row.caller_addr);
        operators.clone_into(&mut self.row.ops_addr);
    }

    /// Sets the readiness that this member publishes, and renews its row at the next poll.
    pub fn set_state(&mut self, now: Tick, state: RowState) {
        self.row.state = state;
        self.due.renew = now;
    }

    /// Stops acting and removes this member from the view.
    pub fn depart(&mut self, now: Tick) -> Vec<Effect> {
        self.start_departure(now, EndReason::Left);
        self.take_effects()
    }

    /// Records `names`, the instances that the platform listed at `now`.
    pub fn update_instances(&mut self, now: Tick, names: &IndexSet<String>) {
        // A list that lacks this process can't be trusted about the others either.
        if !names.contains(&self.me.id.name) {
            self.unlisted_since.clear();
            return;
        }
        let Some(view) = &self.view else { return };
        let known = view.members.iter().chain(&view.previous);
        let missing = known.map(|member| &member.id.name).filter(|name| !names.contains(*name));
        let since = |name: &String| self.unlisted_since.get(name).copied().unwrap_or(now);
        let unlisted: IndexMap<String, Tick> = missing.map(|n| (n.clone(), since(n))).collect();
        self.unlisted_since = unlisted;
    }

    /// Handles the store's answer to access `id`.
    pub fn on_store_answer(&mut self, now: Tick, id: u64, answer: StoreAnswer) -> Vec<Effect> {
        let Some((access, sent)) = self.in_flight.swap_remove(&id) else {
            return self.take_effects();
        };
        if !matches!(answer, StoreAnswer::Unknown | StoreAnswer::Unavailable) {
            self.store_answered = Some(now);
        }
        match (access, answer) {
            (PendingAccess::Scan, StoreAnswer::Scanned { rows, view }) => {
                self.on_scanned(now, sent, rows, view)
            }
            (PendingAccess::Scan, _) => {}
            (PendingAccess::Put, StoreAnswer::Done(version)) => self.on_renewed(now, sent, version),
            (PendingAccess::Put, StoreAnswer::Unavailable) => {}
            (PendingAccess::Put, _) => self.invalidate_own_row(now),
            (PendingAccess::Change(view), StoreAnswer::Done(version)) => {
                let view = View { version, ..*view };
                self.adopt(now, Arc::new(view));
            }
            (PendingAccess::Change(_), StoreAnswer::Unavailable) => {}
            (PendingAccess::Change(_), _) => self.on_change_failed(now),
        }
        self.poll(now)
    }

    /// Handles a request of the process `from` and returns the reply to send.
    pub fn on_request(
        &mut self,
        now: Tick,
        from: &MemberId,
        request: Request,
    ) -> (Reply, Vec<Effect>) {
        let (epoch, body) = match request {
            Request::Ping { epoch } => (epoch, ReplyBody::Ping),
            Request::Promise { epoch, round } => {
                let given = self.grant_promise(now, from, epoch);
                (epoch, ReplyBody::Promise { round, given })
            }
            Request::Consent { epoch, member, version } => {
                let given = self.grant_consent(now, &member, version, epoch);
                (epoch, ReplyBody::Consent { member, version, given })
            }
            Request::Inventory { view } => {
                let epoch = view.epoch;
                self.adopt(now, view);
                (epoch, ReplyBody::Inventory)
            }
        };
        if epoch > self.epoch() {
            self.due.scan = now;
        }
        let view = self.view.clone().filter(|view| view.epoch > epoch);
        let reply = Reply { ack: self.ack(now), request_epoch: epoch, view, body };
        (reply, self.take_effects())
    }

    /// Handles the reply of the process at `address`.
    pub fn on_reply(&mut self, now: Tick, address: &str, reply: Reply) -> Vec<Effect> {
        if self.stage == Stage::Ended {
            return self.take_effects();
        }
        self.record_ack(now, &reply.ack);
        self.detect_replacement(address, &reply);
        if let Some(view) = reply.view {
            self.adopt(now, view);
        }
        let peer = reply.ack.id;
        match reply.body {
            ReplyBody::Ping => {}
            ReplyBody::Promise { round, given } => self.on_promise(peer, round, given),
            ReplyBody::Consent { member, version, given } => {
                if given && reply.request_epoch == self.epoch() {
                    self.on_consent(peer, &member, version);
                }
            }
            ReplyBody::Inventory => {
                // An acknowledgement of a later epoch doesn't settle this view: the member may have
                // skipped it and still serve a resource that it owned before.
                if reply.ack.epoch == self.epoch() {
                    self.inventoried.insert(peer);
                }
            }
        }
        self.settle(now);
        self.poll_change(now);
        self.take_effects()
    }
}
