//! Inputs of a machine: time, answers of the store, requests and replies of peers.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;

use super::state::Flight;
use super::state::OwnRow;
use super::state::Removal;
use super::view::majority;
use super::Answer;
use super::Effect;
use super::End;
use super::Machine;
use super::Member;
use super::MemberId;
use super::Op;
use super::Reply;
use super::ReplyBody;
use super::Request;
use super::RowState;
use super::Stage;
use super::Stored;
use super::View;
use crate::time::Tick;

/// Wait after a refused change, times the number of refusals in a row and a share by name.
const BACKOFF: Duration = Duration::from_millis(50);
/// Most refusals that lengthen the wait.
const BACKOFF_STEPS: u32 = 8;
/// How much later each next member in line starts a removal.
const REMOVAL_STEP: Duration = Duration::from_millis(500);
/// Stands for the version of a row that doesn't exist any more; a consent bound to it never ends.
const NO_ROW: u64 = u64::MAX;
/// Rounds of asking whose replies still count.
const ROUNDS_KEPT: usize = 16;

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
        self.depart_because(now, End::Left);
        self.take()
    }

    /// The platform listed `names` as its instances.
    pub fn instances(&mut self, now: Tick, names: &IndexSet<String>) {
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
    pub fn answer(&mut self, now: Tick, id: u64, answer: Answer) -> Vec<Effect> {
        let Some((flight, sent)) = self.flights.swap_remove(&id) else { return self.take() };
        if !matches!(answer, Answer::Unknown | Answer::Unavailable) {
            self.store_heard = Some(now);
        }
        match (flight, answer) {
            (Flight::Scan, Answer::Scanned { rows, view }) => self.scanned(now, sent, rows, view),
            (Flight::Scan, _) => {}
            (Flight::Put, Answer::Done(version)) => self.renewed(now, sent, version),
            (Flight::Put, Answer::Unavailable) => {}
            (Flight::Put, _) => self.reread(now),
            (Flight::Change(view), Answer::Done(version)) => {
                let view = View { version, ..*view };
                self.adopt(now, Arc::new(view));
            }
            (Flight::Change(_), Answer::Unavailable) => {}
            (Flight::Change(_), _) => self.change_failed(now),
        }
        self.poll(now)
    }

    /// Handles a request of the process `from`.
    pub fn request(
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
        let reply = Reply { ack: self.ack(now), asked: epoch, view, body };
        (reply, self.take())
    }

    /// Takes in the reply of the process that answers at `address`.
    pub fn reply(&mut self, now: Tick, address: &str, reply: Reply) -> Vec<Effect> {
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
                if given && reply.asked == self.epoch() {
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

    fn poll_store(&mut self, now: Tick) {
        let busy = |wanted: fn(&Flight) -> bool| self.flights.values().any(|(f, _)| wanted(f));
        let scanning = busy(|flight| matches!(flight, Flight::Scan));
        let putting = busy(|flight| matches!(flight, Flight::Put));
        if now >= self.due.scan && !scanning {
            self.due.scan = now + self.settings.scan_every;
            self.store(now, Flight::Scan, Op::Scan);
        }
        if now >= self.due.renew && !putting && self.stage != Stage::Departing {
            self.put(now);
        }
    }

    fn put(&mut self, now: Tick) {
        let expect = match self.own {
            OwnRow::Unread | OwnRow::MineUnread => return,
            OwnRow::Absent => None,
            OwnRow::Other(version) | OwnRow::Mine(version) => Some(version),
        };
        self.due.renew = now + self.settings.renew_every;
        self.row.renewal += 1;
        self.row.epoch = self.epoch();
        self.row.clear = self.clear(now);
        let row = Box::new(self.row.clone());
        self.store(now, Flight::Put, Op::Put { expect, row });
    }

    fn renewed(&mut self, now: Tick, sent: Tick, version: u64) {
        self.own = OwnRow::Mine(version);
        self.own_changed = now;
        self.term.renew(sent);
    }

    /// The own row may have changed without an answer: read it before the next write.
    fn reread(&mut self, now: Tick) {
        self.own = match self.own {
            OwnRow::Mine(_) | OwnRow::MineUnread => OwnRow::MineUnread,
            OwnRow::Unread | OwnRow::Absent | OwnRow::Other(_) => OwnRow::Unread,
        };
        self.own_changed = now;
        self.due.scan = now;
        self.due.renew = now;
    }

    fn scanned(
        &mut self,
        now: Tick,
        sent: Tick,
        rows: IndexMap<String, Stored>,
        view: Option<Arc<View>>,
    ) {
        // A scan sent before the last word about the own row may be older than that word.
        if sent >= self.own_changed {
            self.own_seen(rows.get(&self.me.id.name));
        }
        if self.stage == Stage::Ended {
            return;
        }
        if let Some(view) = view {
            self.adopt(now, view);
        }
        let Some(view) = self.view.clone() else {
            self.rows = rows;
            return;
        };
        // Members write their row before they join, so one that isn't found by a scan sent after
        // the view was known is gone.
        let whole = sent >= self.adopted;
        self.watch.observe(now, whole, view.members.iter().map(|member| &member.id), &rows);
        for member in &view.members {
            if let Some(version) = self.watch.version(&member.id) {
                self.promises.renewed(&member.id, version);
            }
        }
        self.rows = rows;
    }

    fn own_seen(&mut self, row: Option<&Stored>) {
        let mine = row.is_some_and(|stored| stored.row.incarnation == self.me.id.incarnation);
        match (self.own, row) {
            (_, Some(stored)) if mine => self.own = OwnRow::Mine(stored.version),
            // Once written, the row is only taken away by a removal or a newer process.
            (OwnRow::Mine(_) | OwnRow::MineUnread, _) => self.end(self.ending()),
            (_, Some(stored)) => self.own = OwnRow::Other(stored.version),
            (_, None) => self.own = OwnRow::Absent,
        }
    }

    fn poll_peers(&mut self, now: Tick) {
        let Some(view) = self.view.clone() else { return };
        if now >= self.due.ping {
            self.due.ping = now + self.settings.ping_every;
            self.ping(&view);
            self.ask_inventory();
        }
        if now >= self.due.ask && self.wants_promises(now) {
            self.due.ask = now + self.settings.ask_every;
            self.ask_promises(now, &view);
        }
    }

    fn ping(&mut self, view: &View) {
        let known = view.members.iter().chain(&view.previous);
        let others = known.filter(|member| member.address != self.me.address);
        let addresses: IndexSet<String> = others.map(|member| member.address.clone()).collect();
        for address in addresses {
            self.send(&address, Request::Ping { epoch: view.epoch });
        }
    }

    fn wants_promises(&self, now: Tick) -> bool {
        let age = self.term.renewal_age(now);
        self.stage == Stage::Member
            && age.is_some_and(|age| age >= self.settings.store_silence)
            && age.is_some_and(|age| age < self.settings.outage_limit)
    }

    fn ask_promises(&mut self, now: Tick, view: &View) {
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

    fn give_promise(&mut self, now: Tick, from: &MemberId, epoch: u64) -> bool {
        let Some(view) = &self.view else { return false };
        let fit = self.stage == Stage::Member && view.epoch == epoch && view.contains(from);
        if !fit || self.store_ok(now) {
            return false;
        }
        self.promises.promise(now, from, epoch, &self.settings)
    }

    fn promised(&mut self, by: MemberId, round: u64, given: bool) {
        let Some(view) = self.view.clone() else { return };
        let Some(sent) = self.rounds.get(&round).copied() else { return };
        if given && view.contains(&by) {
            let me = self.me.id.clone();
            self.term.promise(by, sent, &me, &view);
        }
    }

    fn give_consent(&mut self, now: Tick, id: &MemberId, version: u64, epoch: u64) -> bool {
        let Some(view) = &self.view else { return false };
        let fit = self.stage == Stage::Member && view.epoch == epoch && *id != self.me.id;
        // What an earlier incarnation of this process promised has to run out first.
        let aged = now.since(self.started) > self.settings.lapse();
        // The consent would be bound to a row that has been renewed since.
        let current = self.watch.version(id).is_none_or(|seen| seen <= version);
        fit && aged && current && self.promises.consent(now, id, version)
    }

    fn note_replaced(&mut self, address: &str, reply: &Reply) {
        // Every member of the view that was asked at had taken its address before; a late reply to
        // an earlier question may be of a process that was there before the member.
        if reply.asked != self.epoch() || reply.ack.uptime <= self.settings.lapse() {
            return;
        }
        let Some(view) = &self.view else { return };
        for member in view.members.iter().chain(&view.previous) {
            if member.address == address && member.id != reply.ack.id {
                self.replaced.insert(member.id.clone());
            }
        }
    }

    fn poll_change(&mut self, now: Tick) {
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

    fn join(&mut self, now: Tick) {
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
    fn in_touch(&self, now: Tick, view: &View) -> bool {
        let near = view.members.iter().filter(|m| self.near(now, &m.id) || self.gone(now, m));
        majority(near.count(), view.members.len()) || view.members.is_empty()
    }

    /// Removes whose row has lapsed.
    fn tend(&mut self, now: Tick) {
        let Some(view) = self.view.clone() else { return };
        if self.isolated(now, &view) {
            self.depart_because(now, End::Isolated);
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
    fn isolated(&self, now: Tick, view: &View) -> bool {
        let limit = self.settings.isolation_limit;
        let settled_in = now.since(self.adopted) > limit && now.since(self.started) > limit;
        let lapse = self.settings.lapse();
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
    fn target(&self, now: Tick, view: &View) -> Option<MemberId> {
        let lapse = self.settings.lapse();
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

    fn ask_consents(&mut self, now: Tick, view: &View) {
        let Some(removal) = &mut self.removal else { return };
        if now < removal.due {
            return;
        }
        removal.due = now + self.settings.ask_every;
        let (target, version) = (removal.target.clone(), removal.version.unwrap_or(NO_ROW));
        if self.give_consent(now, &target, version, view.epoch) {
            let me = self.me.id.clone();
            self.consented(me, &target, version);
        }
        let request = Request::Consent { epoch: view.epoch, member: target, version };
        self.send_others(view, &request);
    }

    fn consented(&mut self, by: MemberId, target: &MemberId, version: u64) {
        let Some(removal) = &mut self.removal else { return };
        if removal.target == *target && removal.version.unwrap_or(NO_ROW) == version {
            removal.consents.insert(by);
        }
    }

    fn remove(&mut self, now: Tick, view: &View) {
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

    fn depart_because(&mut self, now: Tick, why: End) {
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
    fn go(&mut self, now: Tick) {
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

    fn change(
        &mut self,
        now: Tick,
        expect: Option<u64>,
        view: View,
        guards: Vec<(String, u64)>,
        delete: Option<String>,
    ) {
        let op = Op::Change { expect, view: Box::new(view.clone()), guards, delete };
        self.store(now, Flight::Change(Box::new(view)), op);
    }

    /// Another change came first, or nobody knows: look, and try again a little later.
    fn change_failed(&mut self, now: Tick) {
        self.refusals = (self.refusals + 1).min(BACKOFF_STEPS);
        let share = u32::try_from(self.me.id.incarnation % 7).unwrap_or(0) + 1;
        self.due.change = now + BACKOFF * self.refusals * share;
        self.due.scan = now;
        if self.stage == Stage::Departing {
            self.reread(now);
        }
    }
}
