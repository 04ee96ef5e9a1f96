//! The machine's state and the small steps that its commands share.

use std::sync::Arc;

use indexmap::IndexMap;
use indexmap::IndexSet;

use super::Ack;
use super::Effect;
use super::EndReason;
use super::Homes;
use super::Member;
use super::MemberId;
use super::MemberRow;
use super::Promises;
use super::Request;
use super::Settings;
use super::StoreOp;
use super::Term;
use super::VersionedRow;
use super::View;
use super::Watch;
use crate::time::Tick;

/// How far a machine has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    /// Not yet in a view.
    Joining,
    /// In the view.
    Member,
    /// Has stopped acting and takes itself out of the view.
    Departing,
    /// Does nothing more; a new incarnation may be started.
    Ended,
}

/// An access to the store that hasn't been answered.
#[derive(Clone, Debug)]
pub(super) enum Flight {
    Scan,
    Put,
    Change(Box<View>),
}

/// A removal under way.
#[derive(Clone, Debug)]
pub(super) struct Removal {
    pub target: MemberId,
    pub version: Option<u64>,
    pub consents: IndexSet<MemberId>,
    pub due: Tick,
}

/// What a peer has acknowledged at last.
#[derive(Clone, Copy, Debug)]
pub(super) struct Acked {
    pub epoch: u64,
    pub clear: bool,
}

/// What is known about the process's own row in the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum OwnRow {
    /// Has to be read before the next write.
    Unread,
    /// There is none.
    Absent,
    /// Left by another incarnation, at this version.
    Other(u64),
    /// Written by this one, at this version.
    Mine(u64),
    /// Written by this one, and has to be read before the next write.
    MineUnread,
}

/// When each kind of work is due next.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Due {
    pub renew: Tick,
    pub scan: Tick,
    pub ping: Tick,
    pub ask: Tick,
    pub change: Tick,
}

/// One process's part in membership.
#[derive(Clone, Debug)]
pub struct Machine {
    pub(super) settings: Settings,
    pub(super) me: Member,
    pub(super) row: MemberRow,
    pub(super) started: Tick,
    pub(super) stage: Stage,
    pub(super) leaving: EndReason,
    pub(super) view: Option<Arc<View>>,
    pub(super) adopted: Tick,
    pub(super) acks: IndexMap<MemberId, Acked>,
    /// Members that acknowledged the current epoch, and only it, with their inventory.
    pub(super) exact: IndexSet<MemberId>,
    pub(super) heard: IndexMap<MemberId, Tick>,
    pub(super) replaced: IndexSet<MemberId>,
    /// Instance names missing from the platform's list, and since when.
    pub(super) absent: IndexMap<String, Tick>,
    pub(super) term: Term,
    pub(super) watch: Watch,
    pub(super) promises: Promises,
    pub(super) homes: Homes,
    pub(super) own: OwnRow,
    pub(super) own_changed: Tick,
    pub(super) rows: IndexMap<String, VersionedRow>,
    pub(super) store_heard: Option<Tick>,
    pub(super) flights: IndexMap<u64, (Flight, Tick)>,
    pub(super) next_id: u64,
    pub(super) round: u64,
    /// Rounds of asking for promises at the current epoch, and when they were sent.
    pub(super) rounds: IndexMap<u64, Tick>,
    pub(super) removal: Option<Removal>,
    pub(super) refusals: u32,
    pub(super) due: Due,
    pub(super) out: Vec<Effect>,
}

impl Machine {
    /// A machine for the process that `row` describes, started at `now` under `name`.
    pub fn new(settings: Settings, name: &str, row: MemberRow, now: Tick) -> Self {
        let id = MemberId { name: name.to_owned(), incarnation: row.incarnation };
        let me = Member { id: id.clone(), role: row.role, address: row.peer_addr.clone() };
        let due = Due { renew: now, scan: now, ping: now, ask: now, change: now };
        Machine {
            settings,
            me,
            row,
            started: now,
            stage: Stage::Joining,
            leaving: EndReason::Left,
            view: None,
            adopted: now,
            acks: IndexMap::new(),
            exact: IndexSet::new(),
            heard: IndexMap::new(),
            replaced: IndexSet::new(),
            absent: IndexMap::new(),
            term: Term::default(),
            watch: Watch::default(),
            promises: Promises::default(),
            homes: Homes::new(id),
            own: OwnRow::Unread,
            own_changed: now,
            rows: IndexMap::new(),
            store_heard: None,
            flights: IndexMap::new(),
            next_id: 0,
            round: 0,
            rounds: IndexMap::new(),
            removal: None,
            refusals: 0,
            due,
            out: Vec::new(),
        }
    }

    pub(super) fn take(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.out)
    }

    pub(super) fn store(&mut self, now: Tick, flight: Flight, op: StoreOp) {
        let id = self.next_id;
        self.next_id += 1;
        self.flights.insert(id, (flight, now));
        self.out.push(Effect::Store { id, op });
    }

    pub(super) fn send(&mut self, address: &str, request: Request) {
        self.out.push(Effect::Send { address: address.to_owned(), request });
    }

    pub(super) fn end(&mut self, why: EndReason) {
        if self.stage == Stage::Ended {
            return;
        }
        self.stage = Stage::Ended;
        self.flights.clear();
        self.out.push(Effect::Ended(why));
    }

    /// Sends one request to every other member.
    pub(super) fn send_others(&mut self, view: &View, request: &Request) {
        for member in &view.members {
            if member.id != self.me.id {
                self.send(&member.address, request.clone());
            }
        }
    }

    /// Why this member isn't one any more, once it's out of the view.
    pub(super) fn ending(&self) -> EndReason {
        match self.stage {
            Stage::Departing => self.leaving,
            Stage::Joining | Stage::Member | Stage::Ended => EndReason::Removed,
        }
    }

    /// Takes up a newer view.
    pub(super) fn adopt(&mut self, now: Tick, view: Arc<View>) {
        if view.epoch <= self.epoch() || self.stage == Stage::Ended {
            return;
        }
        let inside = view.contains(&self.me.id);
        if self.stage != Stage::Joining && !inside {
            self.end(self.ending());
            return;
        }
        if inside && self.stage == Stage::Joining {
            self.stage = Stage::Member;
        }
        self.view = Some(view.clone());
        self.adopted = now;
        self.exact.clear();
        self.rounds.clear();
        self.removal = None;
        self.refusals = 0;
        self.due.change = now;
        self.term.new_epoch();
        self.homes.adopt(view.clone());
        self.promises.prune(now, |id| view.contains(id));
        self.keep_known(&view);
        if view.members.iter().any(|member| self.row_of(&member.id).is_none()) {
            // A peer can't be called before its row, and with it its fingerprint, is known.
            self.due.scan = now;
        }
        self.out.push(Effect::Adopted(view));
        self.ask_inventory();
        self.settle(now);
    }

    /// Forgets processes that neither this view nor the one before knows.
    fn keep_known(&mut self, view: &View) {
        let known = |id: &MemberId| {
            view.contains(id) || view.previous.iter().any(|member| member.id == *id)
        };
        self.acks.retain(|id, _| known(id));
        self.heard.retain(|id, _| known(id));
        self.replaced.retain(|id| known(id));
    }

    /// Asks every member whose acknowledgement is missing.
    pub(super) fn ask_inventory(&mut self) {
        let Some(view) = self.view.clone() else { return };
        if self.stage == Stage::Joining || self.homes.settled() {
            return;
        }
        for member in &view.members {
            if member.id != self.me.id && !self.exact.contains(&member.id) {
                self.send(&member.address, Request::Inventory { view: view.clone() });
            }
        }
    }

    /// Settles the view once every member has acknowledged it.
    pub(super) fn settle(&mut self, now: Tick) {
        let Some(view) = self.view.clone() else { return };
        if self.stage == Stage::Joining || self.homes.settled() {
            return;
        }
        if view.members.iter().all(|member| self.settled_by(now, &view, member)) {
            self.homes.settle();
            self.out.push(Effect::Settled(view.epoch));
        }
    }

    fn settled_by(&self, now: Tick, view: &View, member: &Member) -> bool {
        if member.id == self.me.id || self.exact.contains(&member.id) || self.gone(now, member) {
            return true;
        }
        // A member that no peer reaches acknowledges by its row, without inventory.
        let waited = now.since(self.adopted) >= self.settings.inventory_timeout;
        waited && self.row_of(&member.id).is_some_and(|row| row.epoch == view.epoch)
    }

    pub(super) fn note_ack(&mut self, now: Tick, ack: &Ack) {
        self.heard.insert(ack.id.clone(), now);
        let fresh = Acked { epoch: ack.epoch, clear: ack.clear };
        let kept = self.acks.entry(ack.id.clone()).or_insert(fresh);
        if ack.epoch > kept.epoch {
            *kept = fresh;
        } else if ack.epoch == kept.epoch {
            kept.clear |= ack.clear;
        }
    }
}
