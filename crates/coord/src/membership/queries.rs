//! Read access to the state of a [`Machine`].

use std::sync::Arc;
use std::time::Duration;

use super::view::majority;
use super::Ack;
use super::HomeState;
use super::Kind;
use super::Machine;
use super::Member;
use super::MemberId;
use super::MemberRow;
use super::Stage;
use super::VersionedRow;
use super::View;
use crate::time::Tick;

/// A peer that replied within this time counts as reachable.
const REACHABLE_WINDOW: Duration = Duration::from_secs(2);

impl Machine {
    /// Identity of this process.
    pub fn id(&self) -> &MemberId {
        &self.me.id
    }

    /// Lifecycle stage of this process.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Newest known view, whether or not it contains this process; `None` before the first.
    pub fn view(&self) -> Option<&Arc<View>> {
        self.view.as_ref()
    }

    /// Epoch of the newest known view; 0 before the first.
    pub fn epoch(&self) -> u64 {
        self.view.as_ref().map_or(0, |view| view.epoch)
    }

    /// Whether this process is a member with a valid lease. Call it before every grant and order
    /// with the current time, so that a process that was paused detects its expired lease.
    pub fn may_act(&self, now: Tick) -> bool {
        self.stage == Stage::Member && self.lease.is_valid(now, &self.settings)
    }

    /// State of a resource's home as this member sees it. Serving it also requires
    /// [`Machine::may_act`].
    pub fn home_state(&self, kind: Kind, name: &str) -> HomeState {
        self.homes.state(kind, name)
    }

    /// The member that owns a resource in the newest view; `None` without a view or a candidate.
    pub fn owner(&self, kind: Kind, name: &str) -> Option<&Member> {
        self.view.as_ref()?.owner(kind, name)
    }

    /// Whether this member may serve a resource now.
    pub fn serves(&self, now: Tick, kind: Kind, name: &str) -> bool {
        self.may_act(now) && self.homes.state(kind, name) == HomeState::Serving
    }

    /// Whether every member has acknowledged the newest view.
    pub fn settled(&self) -> bool {
        self.homes.settled()
    }

    /// Whether the store answered within [`super::Settings::store_timeout`].
    pub fn store_reachable(&self, now: Tick) -> bool {
        self.store_answered.is_some_and(|at| now.since(at) < self.settings.store_timeout)
    }

    /// Whether a majority of the view, this member included, is reachable or confirmed dead.
    pub fn reaches_majority(&self, now: Tick) -> bool {
        let Some(view) = &self.view else { return false };
        let reachable = |member: &&Member| {
            member.id == self.me.id
                || self.is_reachable(now, &member.id)
                || self.is_confirmed_dead(now, member)
        };
        majority(view.members.iter().filter(reachable).count(), view.members.len())
    }

    /// Member rows of the last scan, by name.
    pub fn rows(&self) -> impl Iterator<Item = (&String, &VersionedRow)> {
        self.rows.iter()
    }

    /// Row of one incarnation as of the last scan; `None` if missing or another incarnation's.
    pub fn row_of(&self, id: &MemberId) -> Option<&MemberRow> {
        let stored = self.rows.get(&id.name)?;
        (stored.row.incarnation == id.incarnation).then_some(&stored.row)
    }

    /// The acknowledgement that this process sends with its replies.
    pub fn ack(&self, now: Tick) -> Ack {
        let epoch = self.epoch();
        let clear = self.earlier_promises_expired(now);
        Ack { id: self.me.id.clone(), epoch, clear, uptime: now.since(self.started) }
    }

    /// Whether no promise from before the current epoch is outstanding, neither granted by this
    /// process nor extending its lease.
    pub(super) fn earlier_promises_expired(&self, now: Tick) -> bool {
        let epoch = self.epoch();
        self.promises.none_before(now, epoch)
            && !self.lease.extended_before(now, epoch, &self.settings)
    }

    pub(super) fn is_reachable(&self, now: Tick, id: &MemberId) -> bool {
        self.last_heard.get(id).is_some_and(|at| now.since(*at) < REACHABLE_WINDOW)
    }

    /// Whether the lease of `member` has certainly expired because its process has ended: another
    /// process answers at its address, or the platform no longer lists its instance.
    pub(super) fn is_confirmed_dead(&self, now: Tick, member: &Member) -> bool {
        let expiry_wait = self.settings.expiry_wait();
        let same_address = member.address == self.me.address && member.id != self.me.id;
        let predecessor_expired = same_address && now.since(self.started) > expiry_wait;
        let unlisted = self
            .unlisted_since
            .get(&member.id.name)
            .is_some_and(|since| now.since(*since) > self.settings.list_lag + expiry_wait);
        predecessor_expired || unlisted || self.replaced.contains(&member.id)
    }

    /// Whether a majority of the previous view has acknowledged `view`, so that `view` may change.
    pub(super) fn may_change_view(&self, now: Tick, view: &View) -> bool {
        if view.previous.is_empty() {
            return true;
        }
        let acked = |member: &&Member| self.has_acknowledged(now, view, member);
        majority(view.previous.iter().filter(acked).count(), view.previous.len())
    }

    /// Whether `member` has acknowledged `view` or a later one, with its earlier promises expired.
    fn has_acknowledged(&self, now: Tick, view: &View, member: &Member) -> bool {
        if member.id == self.me.id && self.stage != Stage::Joining {
            return self.earlier_promises_expired(now);
        }
        let reported = self.acks.get(&member.id).map(|ack| (ack.epoch, ack.clear));
        let recorded = self.row_of(&member.id).map(|row| (row.epoch, row.clear));
        let sufficient = |ack: Option<(u64, bool)>| {
            ack.is_some_and(|(epoch, clear)| epoch >= view.epoch && clear)
        };
        view.departed.as_ref() == Some(&member.id)
            || sufficient(reported)
            || sufficient(recorded)
            || self.is_confirmed_dead(now, member)
    }
}
