//! Performs the membership machine's accesses to the platform's tables.

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

/// Name of the table of member rows.
pub const MEMBERS: &str = "members";
/// Name of the table of view rows.
pub const VIEW: &str = "view";

/// Performs `op` for the member `name` of `cell`.
pub async fn execute(
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
            store_answer(transact(platform, conditions, vec![put]).await)
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
            let change =
                RecordedChange { history, cell, began_us: Recorder::now_us(), epoch: view.epoch };
            change.record_start();
            let result = transact(platform, conditions, writes).await;
            change.record_end(&result);
            store_answer(result)
        }
    }
}

/// A change of the view row whose start and end are recorded in the history.
struct RecordedChange<'a> {
    history: &'a Recorder,
    cell: &'a str,
    began_us: u64,
    epoch: u64,
}

impl RecordedChange<'_> {
    fn record_start(&self) {
        let operation = Box::new(self.event(ChangeOutcome::Unknown));
        self.history.record(|| Recorded::Begun {
            scope: "view".to_owned(),
            number: self.began_us,
            operation,
        });
    }

    fn record_end(&self, result: &Result<Commit, Error>) {
        let outcome = match result {
            Ok(Commit::Done { .. }) => Some(ChangeOutcome::Done),
            Ok(Commit::Refused { condition: 0, .. }) => Some(ChangeOutcome::Refused),
            Err(Error::Unknown(_)) => Some(ChangeOutcome::Unknown),
            // A guard failed, which says nothing about the view row, or nothing took effect.
            Ok(Commit::Refused { .. }) | Err(_) => None,
        };
        if let Some(outcome) = outcome {
            self.history.record(|| self.event(outcome));
        }
        let number = self.began_us;
        self.history.record(|| Recorded::Ended { scope: "view".to_owned(), number });
    }

    fn event(&self, outcome: ChangeOutcome) -> Recorded {
        let op = ViewOp::Change { from: self.epoch - 1, to: self.epoch, outcome };
        Recorded::View { cell: self.cell.to_owned(), began_us: self.began_us, op }
    }
}

/// Key of a member's row. The cell's name is a prefix, so that a scan can read one cell.
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
    // Rows hold only strings, numbers and lists, so they always serialize.
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

fn store_answer(result: Result<Commit, Error>) -> StoreAnswer {
    match result {
        Ok(Commit::Done { version }) => StoreAnswer::Done(version),
        Ok(Commit::Refused { .. }) => StoreAnswer::Refused,
        Err(Error::Unknown(_)) => StoreAnswer::Unknown,
        Err(Error::Unavailable(_) | Error::Invalid(_)) => StoreAnswer::Unavailable,
    }
}

/// Reads the member rows, then the view. The view may hold members that joined in between.
async fn scan(platform: &dyn Platform, history: &Recorder, cell: &str) -> StoreAnswer {
    // `0` is the character after `/`, so the range holds exactly this cell's rows.
    let (from, to) = (format!("{cell}/"), format!("{cell}0"));
    let Ok(rows) = platform.scan(MEMBERS, &from, &to).await else {
        return StoreAnswer::Unavailable;
    };
    let began_us = Recorder::now_us();
    let Ok(view) = platform.get(VIEW, cell).await else {
        return StoreAnswer::Unavailable;
    };
    let view = view.and_then(parse_view);
    history.record(|| {
        let op = ViewOp::Read { epoch: view.as_ref().map_or(0, |view| view.epoch) };
        Recorded::View { cell: cell.to_owned(), began_us, op }
    });
    let rows: IndexMap<String, VersionedRow> = rows.into_iter().filter_map(parse_member).collect();
    StoreAnswer::Scanned { rows, view: view.map(Arc::new) }
}

fn parse_member(row: Row) -> Option<(String, VersionedRow)> {
    let value: MemberRow = serde_json::from_str(&row.value).ok()?;
    let name = row.key.rsplit('/').next()?.to_owned();
    Some((name, VersionedRow { row: value, version: row.version }))
}

fn parse_view(row: Row) -> Option<View> {
    let view: View = serde_json::from_str(&row.value).ok()?;
    Some(View { version: row.version, ..view })
}
