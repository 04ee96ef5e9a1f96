//! Inputs of a machine: time, answers of the store, requests and replies of peers.
//!
//! What is due by time is split by whom it concerns: [`own_row`] renews and reads, [`peers`] pings
//! and exchanges promises, [`changes`] changes the view.

mod changes;
mod own_row;
mod peers;

use std::sync::Arc;

use indexmap::IndexMap;
use indexmap::IndexSet;

use super::state::Flight;
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
    /// Does what is due at `now`; to be called every 100 ms or more often.
    pub fn poll(&mut self, now: Tick) -> Vec<Effect> {
        if self.stage == Stage::Ended {
            return self.take();
        }
        self.poll_store(now);
        self.poll_peers(now);
        self.settle(now);
        self.poll_change(now);
        self.take()
    }

    /// Says whether the process is fit for callers, with the next renewal, which is due at once.
    pub fn set_state(&mut self, now: Tick, state: RowState) {
        self.row.state = state;
        self.due.renew = now;
    }

    /// Stops acting and takes this member out of the view.
    pub fn depart(&mut self, now: Tick) -> Vec<Effect> {
        self.depart_because(now, EndReason::Left);
        self.take()
    }

    /// The platform listed `names` as its instances.
    pub fn update_instances(&mut self, now: Tick, names: &IndexSet<String>) {
        // A list without this process says nothing about the others.
        if !names.contains(&self.me.id.name) {
            self.absent.clear();
            return;
        }
        let Some(view) = &self.view else { return };
        let known = view.members.iter().chain(&view.previous);
        let missing = known.map(|member| &member.id.name).filter(|name| !names.contains(*name));
        let since = |name: &String| self.absent.get(name).copied().unwrap_or(now);
        let absent: IndexMap<String, Tick> = missing.map(|n| (n.clone(), since(n))).collect();
        self.absent = absent;
    }

    /// The store's answer to access `id`.
    pub fn on_store_answer(&mut self, now: Tick, id: u64, answer: StoreAnswer) -> Vec<Effect> {
        let Some((flight, sent)) = self.flights.swap_remove(&id) else { return self.take() };
        if !matches!(answer, StoreAnswer::Unknown | StoreAnswer::Unavailable) {
            self.store_heard = Some(now);
        }
        match (flight, answer) {
            (Flight::Scan, StoreAnswer::Scanned { rows, view }) => {
                self.scanned(now, sent, rows, view)
            }
            (Flight::Scan, _) => {}
            (Flight::Put, StoreAnswer::Done(version)) => self.renewed(now, sent, version),
            (Flight::Put, StoreAnswer::Unavailable) => {}
            (Flight::Put, _) => self.reread(now),
            (Flight::Change(view), StoreAnswer::Done(version)) => {
                let view = View { version, ..*view };
                self.adopt(now, Arc::new(view));
            }
            (Flight::Change(_), StoreAnswer::Unavailable) => {}
            (Flight::Change(_), _) => self.change_failed(now),
        }
        self.poll(now)
    }

    /// Handles a request of the process `from`.
    pub fn on_request(
        &mut self,
        now: Tick,
        from: &MemberId,
        request: Request,
    ) -> (Reply, Vec<Effect>) {
        let (epoch, body) = match request {
            Request::Ping { epoch } => (epoch, ReplyBody::Ping),
            Request::Promise { epoch, round } => {
                let given = self.give_promise(now, from, epoch);
                (epoch, ReplyBody::Promise { round, given })
            }
            Request::Consent { epoch, member, version } => {
                let given = self.give_consent(now, &member, version, epoch);
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
        (reply, self.take())
    }

    /// Takes in the reply of the process that answers at `address`.
    pub fn on_reply(&mut self, now: Tick, address: &str, reply: Reply) -> Vec<Effect> {
        if self.stage == Stage::Ended {
            return self.take();
        }
        self.note_ack(now, &reply.ack);
        self.note_replaced(address, &reply);
        if let Some(view) = reply.view {
            self.adopt(now, view);
        }
        let by = reply.ack.id;
        match reply.body {
            ReplyBody::Ping => {}
            ReplyBody::Promise { round, given } => self.promised(by, round, given),
            ReplyBody::Consent { member, version, given } => {
                if given && reply.request_epoch == self.epoch() {
                    self.consented(by, &member, version);
                }
            }
            ReplyBody::Inventory => {
                // A later epoch than this view's doesn't settle it: its members may have skipped
                // this one and still serve what they owned before.
                if reply.ack.epoch == self.epoch() {
                    self.exact.insert(by);
                }
            }
        }
        self.settle(now);
        self.poll_change(now);
        self.take()
    }
}
