//! What can be read from a machine.

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

/// A peer that was heard from within this span is in reach.
const IN_REACH: Duration = Duration::from_secs(2);

impl Machine {
    /// This process's member identity.
    pub fn id(&self) -> &MemberId {
        &self.me.id
    }

    /// How far it has come.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// The newest view known, whether or not this process is in it.
    pub fn view(&self) -> Option<&Arc<View>> {
        self.view.as_ref()
    }

    /// The newest epoch known; 0 before any.
    pub fn epoch(&self) -> u64 {
        self.view.as_ref().map_or(0, |view| view.epoch)
    }

    /// Whether this process may act as a member. To be asked before every grant and order, with
    /// the time of that moment, so that a process that was paused finds out.
    pub fn may_act(&self, now: Tick) -> bool {
        self.stage == Stage::Member && self.term.live(now, &self.settings)
    }

    /// The state of one home as this member sees it; what is `Serving` still needs
    /// [`Machine::may_act`].
    pub fn home_state(&self, kind: Kind, name: &str) -> HomeState {
        self.homes.state(kind, name)
    }

    /// The member that owns a thing in the newest view.
    pub fn owner(&self, kind: Kind, name: &str) -> Option<&Member> {
        self.view.as_ref()?.owner(kind, name)
    }

    /// Whether this member may act as the home of a thing now.
    pub fn serves(&self, now: Tick, kind: Kind, name: &str) -> bool {
        self.may_act(now) && self.homes.state(kind, name) == HomeState::Serving
    }

    /// Whether every member has acknowledged the newest view.
    pub fn settled(&self) -> bool {
        self.homes.settled()
    }

    /// Whether the store answered lately.
    pub fn store_ok(&self, now: Tick) -> bool {
        self.store_heard.is_some_and(|heard| now.since(heard) < self.settings.store_timeout)
    }

    /// Whether more than half of the view, this member included, is in reach.
    pub fn reaches_half(&self, now: Tick) -> bool {
        let Some(view) = &self.view else { return false };
        let near = |member: &&Member| {
            member.id == self.me.id || self.near(now, &member.id) || self.gone(now, member)
        };
        majority(view.members.iter().filter(near).count(), view.members.len())
    }

    /// Member rows as last read, by name.
    pub fn rows(&self) -> impl Iterator<Item = (&String, &VersionedRow)> {
        self.rows.iter()
    }

    /// The row of one incarnation as last read.
    pub fn row_of(&self, id: &MemberId) -> Option<&MemberRow> {
        let stored = self.rows.get(&id.name)?;
        (stored.row.incarnation == id.incarnation).then_some(&stored.row)
    }

    /// What this process has acknowledged.
    pub fn ack(&self, now: Tick) -> Ack {
        let epoch = self.epoch();
        let clear = self.clear(now);
        Ack { id: self.me.id.clone(), epoch, clear, uptime: now.since(self.started) }
    }

    /// Whether no promise from before the current epoch is outstanding, neither given nor held.
    pub(super) fn clear(&self, now: Tick) -> bool {
        let epoch = self.epoch();
        self.promises.clear(now, epoch) && !self.term.earlier_live(now, epoch, &self.settings)
    }

    pub(super) fn near(&self, now: Tick, id: &MemberId) -> bool {
        self.heard.get(id).is_some_and(|heard| now.since(*heard) < IN_REACH)
    }

    /// Whether a process has certainly been dead for a whole lapse.
    pub(super) fn gone(&self, now: Tick, member: &Member) -> bool {
        let lapse = self.settings.expiry_wait();
        let mine = member.address == self.me.address && member.id != self.me.id;
        let own = mine && now.since(self.started) > lapse;
        let dropped = self
            .absent
            .get(&member.id.name)
            .is_some_and(|since| now.since(*since) > self.settings.list_lag + lapse);
        own || dropped || self.replaced.contains(&member.id)
    }

    /// Whether more than half of the view before has acknowledged `view`, so that it may change
    /// again.
    pub(super) fn acts(&self, now: Tick, view: &View) -> bool {
        if view.previous.is_empty() {
            return true;
        }
        let acked = |member: &&Member| self.acked(now, view, member);
        majority(view.previous.iter().filter(acked).count(), view.previous.len())
    }

    fn acked(&self, now: Tick, view: &View, member: &Member) -> bool {
        if member.id == self.me.id && self.stage != Stage::Joining {
            return self.clear(now);
        }
        let told = self.acks.get(&member.id).map(|ack| (ack.epoch, ack.clear));
        let written = self.row_of(&member.id).map(|row| (row.epoch, row.clear));
        let counts = |ack: Option<(u64, bool)>| {
            ack.is_some_and(|(epoch, clear)| epoch >= view.epoch && clear)
        };
        view.departed.as_ref() == Some(&member.id)
            || counts(told)
            || counts(written)
            || self.gone(now, member)
    }
}
