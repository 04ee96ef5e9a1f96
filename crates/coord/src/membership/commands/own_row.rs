//! Renewal of this process's row, and handling of scan results.

use std::sync::Arc;

use indexmap::IndexMap;

use super::super::state::OwnRow;
use super::super::state::PendingAccess;
use super::super::Machine;
use super::super::Stage;
use super::super::StoreOp;
use super::super::VersionedRow;
use super::super::View;
use crate::time::Tick;

impl Machine {
    pub(super) fn poll_store(&mut self, now: Tick) {
        let pending = |predicate: fn(&PendingAccess) -> bool| {
            self.in_flight.values().any(|(f, _)| predicate(f))
        };
        let scanning = pending(|access| matches!(access, PendingAccess::Scan));
        let renewing = pending(|access| matches!(access, PendingAccess::Put));
        if now >= self.due.scan && !scanning {
            self.due.scan = now + self.settings.scan_interval;
            self.access_store(now, PendingAccess::Scan, StoreOp::Scan);
        }
        if now >= self.due.renew && !renewing && self.stage != Stage::Departing {
            self.renew_row(now);
        }
    }

    pub(super) fn renew_row(&mut self, now: Tick) {
        let expect = match self.own_row {
            OwnRow::Unread | OwnRow::MineUnread => return,
            OwnRow::Absent => None,
            OwnRow::Other(version) | OwnRow::Mine(version) => Some(version),
        };
        self.due.renew = now + self.settings.renew_interval;
        self.row.renewal += 1;
        self.row.epoch = self.epoch();
        self.row.clear = self.earlier_promises_expired(now);
        let row = Box::new(self.row.clone());
        self.access_store(now, PendingAccess::Put, StoreOp::Put { expect, row });
    }

    pub(super) fn on_renewed(&mut self, now: Tick, sent: Tick, version: u64) {
        self.own_row = OwnRow::Mine(version);
        self.own_row_changed = now;
        self.lease.record_renewal(sent);
    }

    /// Marks the own row as unknown after a write without a clear result, so that it is read before
    /// the next write.
    pub(super) fn invalidate_own_row(&mut self, now: Tick) {
        self.own_row = match self.own_row {
            OwnRow::Mine(_) | OwnRow::MineUnread => OwnRow::MineUnread,
            OwnRow::Unread | OwnRow::Absent | OwnRow::Other(_) => OwnRow::Unread,
        };
        self.own_row_changed = now;
        self.due.scan = now;
        self.due.renew = now;
    }

    pub(super) fn on_scanned(
        &mut self,
        now: Tick,
        sent: Tick,
        rows: IndexMap<String, VersionedRow>,
        view: Option<Arc<View>>,
    ) {
        // A scan that was sent before the own row's state was last updated may have read an older
        // row.
        if sent >= self.own_row_changed {
            self.observe_own_row(rows.get(&self.me.id.name));
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
        // Members write their row before they join. A row that is missing from a scan sent after
        // the view was adopted has therefore been deleted.
        let complete = sent >= self.adopted_at;
        self.detector.observe(now, complete, view.members.iter().map(|member| &member.id), &rows);
        for member in &view.members {
            if let Some(version) = self.detector.last_version(&member.id) {
                self.promises.drop_outdated_consent(&member.id, version);
            }
        }
        self.rows = rows;
    }

    pub(super) fn observe_own_row(&mut self, row: Option<&VersionedRow>) {
        let mine = row.is_some_and(|stored| stored.row.incarnation == self.me.id.incarnation);
        match (self.own_row, row) {
            (_, Some(stored)) if mine => self.own_row = OwnRow::Mine(stored.version),
            // Only a removal or a newer incarnation deletes or overwrites the own row.
            (OwnRow::Mine(_) | OwnRow::MineUnread, _) => self.end(self.exit_reason()),
            (_, Some(stored)) => self.own_row = OwnRow::Other(stored.version),
            (_, None) => self.own_row = OwnRow::Absent,
        }
    }
}
