//! State of a [`Machine`] and the steps that its commands share.

use std::sync::Arc;

use indexmap::IndexMap;
use indexmap::IndexSet;

use super::Ack;
use super::Effect;
use super::EndReason;
use super::FailureDetector;
use super::Homes;
use super::Member;
use super::MemberId;
use super::MemberLease;
use super::MemberRow;
use super::Promises;
use super::Request;
use super::Settings;
use super::StoreOp;
use super::VersionedRow;
use super::View;
use crate::time::Tick;

/// Lifecycle stage of a process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    /// Not yet in a view.
    Joining,
    /// Listed in the view.
    Member,
    /// Has stopped acting and removes itself from the view.
    Departing,
    /// Does nothing any more; a new incarnation may start.
    Ended,
}

/// An access to the store that is in flight.
#[derive(Clone, Debug)]
pub(super) enum PendingAccess {
    Scan,
    Put,
    Change(Box<View>),
}

/// A removal of another member that is collecting consents.
#[derive(Clone, Debug)]
pub(super) struct Removal {
    pub target: MemberId,
    /// Row version that the consents are bound to; `None` if the row is missing.
    pub version: Option<u64>,
    pub consents: IndexSet<MemberId>,
    pub next_request: Tick,
}

/// Newest acknowledgement of a peer.
#[derive(Clone, Copy, Debug)]
pub(super) struct PeerAck {
    pub epoch: u64,
    pub clear: bool,
}

/// State of this process's own row in the store, as far as it is known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum OwnRow {
    /// Unknown; must be read before the next write.
    Unread,
    /// No row exists.
    Absent,
    /// Written by another incarnation, at this version.
    Other(u64),
    /// Written by this incarnation, at this version.
    Mine(u64),
    /// Written by this incarnation at an unknown version; must be read before the next write.
    MineUnread,
}

/// Next time of each periodic task.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Due {
    pub renew: Tick,
    pub scan: Tick,
    pub ping: Tick,
    pub promises: Tick,
    pub change: Tick,
}

/// Membership state machine of one process.
#[derive(Clone, Debug)]
pub struct Machine {
    pub(super) settings: Settings,
    pub(super) me: Member,
    /// Row of this process as written by the next renewal.
    pub(super) row: MemberRow,
    pub(super) started: Tick,
    pub(super) stage: Stage,
    pub(super) end_reason: EndReason,
    pub(super) view: Option<Arc<View>>,
    pub(super) adopted_at: Tick,
    pub(super) acks: IndexMap<MemberId, PeerAck>,
    /// Members that replied to the inventory request while at exactly the current epoch.
    pub(super) inventoried: IndexSet<MemberId>,
    pub(super) last_heard: IndexMap<MemberId, Tick>,
    /// Members at whose address another process has replied.
    pub(super) replaced: IndexSet<MemberId>,
    /// Instances missing from the platform's list, and since when.
    pub(super) unlisted_since: IndexMap<String, Tick>,
    pub(super) lease: MemberLease,
    pub(super) detector: FailureDetector,
    pub(super) promises: Promises,
    pub(super) homes: Homes,
    pub(super) own_row: OwnRow,
    pub(super) own_row_changed: Tick,
    /// Member rows of the last scan, by member name.
    pub(super) rows: IndexMap<String, VersionedRow>,
    /// Time of the store's last answer.
    pub(super) store_answered: Option<Tick>,
    /// Accesses to the store with their send times, by access id.
    pub(super) in_flight: IndexMap<u64, (PendingAccess, Tick)>,
    pub(super) next_access_id: u64,
    pub(super) last_round: u64,
    /// Send time of each round of promise requests in the current epoch, by round.
    pub(super) promise_rounds: IndexMap<u64, Tick>,
    pub(super) removal: Option<Removal>,
    /// Consecutive failed changes of the view, up to the backoff limit.
    pub(super) refused_changes: u32,
    pub(super) due: Due,
    pub(super) effects: Vec<Effect>,
}

impl Machine {
    /// Creates the state machine of the process that `row` describes, started at `now` as `name`.
    pub fn new(settings: Settings, name: &str, row: MemberRow, now: Tick) -> Self {
        let id = MemberId { name: name.to_owned(), incarnation: row.incarnation };
        let me = Member { id: id.clone(), role: row.role, address: row.peer_addr.clone() };
        let due = Due { renew: now, scan: now, ping: now, promises: now, change: now };
        Machine {
            settings,
            me,
            row,
            started: now,
            stage: Stage::Joining,
            end_reason: EndReason::Left,
            view: None,
            adopted_at: now,
            acks: IndexMap::new(),
            inventoried: IndexSet::new(),
            last_heard: IndexMap::new(),
            replaced: IndexSet::new(),
            unlisted_since: IndexMap::new(),
            lease: MemberLease::default(),
            detector: FailureDetector::default(),
            promises: Promises::default(),
            homes: Homes::new(id),
            own_row: OwnRow::Unread,
            own_row_changed: now,
            rows: IndexMap::new(),
            store_answered: None,
            in_flight: IndexMap::new(),
            next_access_id: 0,
            last_round: 0,
            promise_rounds: IndexMap::new(),
            removal: None,
            refused_changes: 0,
            due,
            effects: Vec::new(),
        }
    }

    pub(super) fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    pub(super) fn access_store(&mut self, now: Tick, access: PendingAccess, op: StoreOp) {
        let id = self.next_access_id;
        self.next_access_id += 1;
        self.in_flight.insert(id, (access, now));
        self.effects.push(Effect::Store { id, op });
    }

    pub(super) fn send(&mut self, address: &str, request: Request) {
        self.effects.push(Effect::Send { address: address.to_owned(), request });
    }

    pub(super) fn end(&mut self, reason: EndReason) {
        if self.stage == Stage::Ended {
            return;
        }
        self.stage = Stage::Ended;
        self.in_flight.clear();
        self.effects.push(Effect::Ended(reason));
    }

    /// Sends a request to every other member.
    pub(super) fn broadcast(&mut self, view: &View, request: &Request) {
        for member in &view.members {
            if member.id != self.me.id {
                self.send(&member.address, request.clone());
            }
        }
    }

    /// The reason to report once a view no longer contains this member.
    pub(super) fn exit_reason(&self) -> EndReason {
        match self.stage {
            Stage::Departing => self.end_reason,
            Stage::Joining | Stage::Member | Stage::Ended => EndReason::Removed,
        }
    }

    /// Adopts `view` if it is newer.
    pub(super) fn adopt(&mut self, now: Tick, view: Arc<View>) {
        if view.epoch <= self.epoch() || self.stage == Stage::Ended {
            return;
        }
        let inside = view.contains(&self.me.id);
        if self.stage != Stage::Joining && !inside {
            self.end(self.exit_reason());
            return;
        }
        if inside && self.stage == Stage::Joining {
            self.stage = Stage::Member;
        }
        self.view = Some(view.clone());
        self.adopted_at = now;
        self.inventoried.clear();
        self.promise_rounds.clear();
        self.removal = None;
        self.refused_changes = 0;
        self.due.change = now;
        self.lease.new_epoch();
        self.homes.adopt(view.clone());
        self.promises.prune(now, |id| view.contains(id));
        self.forget_unknown(&view);
        if view.members.iter().any(|member| self.row_of(&member.id).is_none()) {
            // The driver can't call a peer before its row, which holds its fingerprint, is known.
            self.due.scan = now;
        }
        self.effects.push(Effect::Adopted(view));
        self.request_inventories();
        self.settle(now);
    }

    /// Drops the state of processes that are in neither `view` nor the previous one.
    fn forget_unknown(&mut self, view: &View) {
        let known = |id: &MemberId| {
            view.contains(id) || view.previous.iter().any(|member| member.id == *id)
        };
        self.acks.retain(|id, _| known(id));
        self.last_heard.retain(|id, _| known(id));
        self.replaced.retain(|id| known(id));
    }

    /// Requests the inventory of every member that hasn't acknowledged the view yet.
    pub(super) fn request_inventories(&mut self) {
        let Some(view) = self.view.clone() else { return };
        if self.stage == Stage::Joining || self.homes.settled() {
            return;
        }
        for member in &view.members {
            if member.id != self.me.id && !self.inventoried.contains(&member.id) {
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
        if view.members.iter().all(|member| self.has_settled(now, &view, member)) {
            self.homes.settle();
            self.effects.push(Effect::Settled(view.epoch));
        }
    }

    /// Whether `member` has acknowledged exactly `view`, or can't serve any resource any more.
    fn has_settled(&self, now: Tick, view: &View, member: &Member) -> bool {
        if member.id == self.me.id
            || self.inventoried.contains(&member.id)
            || self.is_confirmed_dead(now, member)
        {
            return true;
        }
        // A member that peers can't reach acknowledges by its row, without sending its inventory.
        let waited = now.since(self.adopted_at) >= self.settings.inventory_timeout;
        waited && self.row_of(&member.id).is_some_and(|row| row.epoch == view.epoch)
    }

    pub(super) fn record_ack(&mut self, now: Tick, ack: &Ack) {
        self.last_heard.insert(ack.id.clone(), now);
        let latest = PeerAck { epoch: ack.epoch, clear: ack.clear };
        let known = self.acks.entry(ack.id.clone()).or_insert(latest);
        if ack.epoch > known.epoch {
            *known = latest;
        } else if ack.epoch == known.epoch {
            known.clear |= ack.clear;
        }
    }
}
