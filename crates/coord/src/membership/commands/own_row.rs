//! Renewing the own row, and what scans find.

use std::sync::Arc;

use indexmap::IndexMap;

use super::super::state::Flight;
use super::super::state::OwnRow;
use super::super::Machine;
use super::super::Stage;
use super::super::StoreOp;
use super::super::VersionedRow;
use super::super::View;
use crate::time::Tick;

impl Machine {
    pub(super) fn poll_store(&mut self, now: Tick) {
        let busy = |wanted: fn(&Flight) -> bool| self.flights.values().any(|(f, _)| wanted(f));
        let scanning = busy(|flight| matches!(flight, Flight::Scan));
        let putting = busy(|flight| matches!(flight, Flight::Put));
        if now >= self.due.scan && !scanning {
            self.due.scan = now + self.settings.scan_interval;
            self.store(now, Flight::Scan, StoreOp::Scan);
        }
        if now >= self.due.renew && !putting && self.stage != Stage::Departing {
            self.put(now);
        }
    }

    pub(super) fn put(&mut self, now: Tick) {
        let expect = match self.own {
            OwnRow::Unread | OwnRow::MineUnread => return,
            OwnRow::Absent => None,
            OwnRow::Other(version) | OwnRow::Mine(version) => Some(version),
        };
        self.due.renew = now + self.settings.renew_interval;
        self.row.renewal += 1;
        self.row.epoch = self.epoch();
        self.row.clear = self.clear(now);
        let row = Box::new(self.row.clone());
        self.store(now, Flight::Put, StoreOp::Put { expect, row });
    }

    pub(super) fn renewed(&mut self, now: Tick, sent: Tick, version: u64) {
        self.own = OwnRow::Mine(version);
        self.own_changed = now;
        self.term.renew(sent);
    }

    /// The own row may have changed without an answer: read it before the next write.
    pub(super) fn reread(&mut self, now: Tick) {
        self.own = match self.own {
            OwnRow::Mine(_) | OwnRow::MineUnread => OwnRow::MineUnread,
            OwnRow::Unread | OwnRow::Absent | OwnRow::Other(_) => OwnRow::Unread,
        };
        self.own_changed = now;
        self.due.scan = now;
        self.due.renew = now;
    }

    pub(super) fn scanned(
        &mut self,
        now: Tick,
        sent: Tick,
        rows: IndexMap<String, VersionedRow>,
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

    pub(super) fn own_seen(&mut self, row: Option<&VersionedRow>) {
        let mine = row.is_some_and(|stored| stored.row.incarnation == self.me.id.incarnation);
        match (self.own, row) {
            (_, Some(stored)) if mine => self.own = OwnRow::Mine(stored.version),
            // Once written, the row is only taken away by a removal or a newer process.
            (OwnRow::Mine(_) | OwnRow::MineUnread, _) => self.end(self.ending()),
            (_, Some(stored)) => self.own = OwnRow::Other(stored.version),
            (_, None) => self.own = OwnRow::Absent,
        }
    }
}
