//! Carries the membership's accesses to the platform's tables out.

use std::sync::Arc;

use corianderyoke_coord::membership::MemberRow;
use corianderyoke_coord::membership::StoreAnswer;
use corianderyoke_coord::membership::StoreOp;
use corianderyoke_coord::membership::VersionedRow;
use corianderyoke_coord::membership::View;
use corianderyoke_history::linear::view::ChangeOutcome;
use corianderyoke_history::linear::view::ViewOp;
use corianderyoke_history::Event as Recorded;
use corianderyoke_history::Recorder;
use corianderyoke_platform::Commit;
use corianderyoke_platform::Condition;
use corianderyoke_platform::Error;
use corianderyoke_platform::Platform;
use corianderyoke_platform::Row;
use corianderyoke_platform::Transaction;
use corianderyoke_platform::Write;
use indexmap::IndexMap;
use serde::Serialize;

/// Table of member rows.
pub const MEMBERS: &str = "members";
/// Table of view rows.
pub const VIEW: &str = "view";

/// Carries out `op` of the member called `name` in `cell`.
pub async fn access(
    platform: &dyn Platform,
    history: &Recorder,
    cell: &str,
    name: &str,
    op: StoreOp,
) -> StoreAnswer {
    match op {
        StoreOp::Scan => scan(platform, history, cell).await,
        StoreOp::Put { expect, row } => {
            let key = member_key(cell, name);
            let put = put(MEMBERS, &key, &*row);
            let conditions = vec![condition(MEMBERS, &key, expect)];
            answer(transact(platform, conditions, vec![put]).await)
        }
        StoreOp::Change { expect, view, guards, delete } => {
            let mut conditions = vec![condition(VIEW, cell, expect)];
            let guards = guards
                .iter()
                .map(|(name, version)| condition(MEMBERS, &member_key(cell, name), Some(*version)));
            conditions.extend(guards);
            let mut writes = vec![put(VIEW, cell, &*view)];
            let delete = delete.map(|name| Write::Delete {
                table: MEMBERS.to_owned(),
                key: member_key(cell, &name),
            });
            writes.extend(delete);
            let change = Traced { history, cell, began_us: Recorder::now_us(), to: view.epoch };
            change.begin();
            let result = transact(platform, conditions, writes).await;
            change.end(&result);
            answer(result)
        }
    }
}

/// A change of the view row that is recorded, begun and ended.
struct Traced<'a> {
    history: &'a Recorder,
    cell: &'a str,
    began_us: u64,
    to: u64,
}

impl Traced<'_> {
    fn begin(&self) {
        let operation = Box::new(self.event(ChangeOutcome::Unknown));
        self.history.record(|| Recorded::Begun {
            scope: "view".to_owned(),
            number: self.began_us,
            operation,
        });
    }

    fn end(&self, result: &Result<Commit, Error>) {
        let outcome = match result {
            Ok(Commit::Done { .. }) => Some(ChangeOutcome::Done),
            Ok(Commit::Refused { condition: 0, .. }) => Some(ChangeOutcome::Refused),
            Err(Error::Unknown(_)) => Some(ChangeOutcome::Unknown),
            // A guard refused it, which says nothing of the view row, or nothing took effect.
            Ok(Commit::Refused { .. }) | Err(_) => None,
        };
        if let Some(outcome) = outcome {
            self.history.record(|| self.event(outcome));
        }
        let number = self.began_us;
        self.history.record(|| Recorded::Ended { scope: "view".to_owned(), number });
    }

    fn event(&self, outcome: ChangeOutcome) -> Recorded {
        let op = ViewOp::Change { from: self.to - 1, to: self.to, outcome };
        Recorded::View { cell: self.cell.to_owned(), began_us: self.began_us, op }
    }
}

/// Key of a member's row: rows of one cell stand together.
fn member_key(cell: &str, name: &str) -> String {
    format!("{cell}/{name}")
}

fn condition(table: &str, key: &str, expect: Option<u64>) -> Condition {
    let (table, key) = (table.to_owned(), key.to_owned());
    match expect {
        Some(version) => Condition::Version { table, key, version },
        None => Condition::Absent { table, key },
    }
}

fn put(table: &str, key: &str, value: &impl Serialize) -> Write {
    // Rows hold strings, numbers and lists only, which JSON can hold.
    let value = serde_json::to_string(value).unwrap_or_default();
    Write::Put { table: table.to_owned(), key: key.to_owned(), value }
}

async fn transact(
    platform: &dyn Platform,
    conditions: Vec<Condition>,
    writes: Vec<Write>,
) -> Result<Commit, Error> {
    platform.transact(&Transaction { conditions, writes }).await
}

fn answer(result: Result<Commit, Error>) -> StoreAnswer {
    match result {
        Ok(Commit::Done { version }) => StoreAnswer::Done(version),
        Ok(Commit::Refused { .. }) => StoreAnswer::Refused,
        Err(Error::Unknown(_)) => StoreAnswer::Unknown,
        Err(Error::Unavailable(_) | Error::Invalid(_)) => StoreAnswer::Unavailable,
    }
}

/// Member rows, then the view, which may know members that joined between the two reads.
async fn scan(platform: &dyn Platform, history: &Recorder, cell: &str) -> StoreAnswer {
    // The character after the slash ends the range, so that only this cell's rows are read.
    let (from, to) = (format!("{cell}/"), format!("{cell}0"));
    let Ok(rows) = platform.scan(MEMBERS, &from, &to).await else {
        return StoreAnswer::Unavailable;
    };
    let began_us = Recorder::now_us();
    let Ok(view) = platform.get(VIEW, cell).await else {
        return StoreAnswer::Unavailable;
    };
    let view = view.and_then(read_view);
    history.record(|| {
        let op = ViewOp::Read { epoch: view.as_ref().map_or(0, |view| view.epoch) };
        Recorded::View { cell: cell.to_owned(), began_us, op }
    });
    let rows: IndexMap<String, VersionedRow> = rows.into_iter().filter_map(member).collect();
    StoreAnswer::Scanned { rows, view: view.map(Arc::new) }
}

fn member(row: Row) -> Option<(String, VersionedRow)> {
    let value: MemberRow = serde_json::from_str(&row.value).ok()?;
    let name = row.key.rsplit('/').next()?.to_owned();
    Some((name, VersionedRow { row: value, version: row.version }))
}

fn read_view(row: Row) -> Option<View> {
    let view: View = serde_json::from_str(&row.value).ok()?;
    Some(View { version: row.version, ..view })
}
