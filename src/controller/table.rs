//! Reads and writes the `intents` table, and writes an audit row for each decision.

use corianderyoke_coord::membership::View;
use corianderyoke_coord::placement::row::SEQUENCE_KEY;
use corianderyoke_coord::placement::ChangeSet;
use corianderyoke_coord::placement::CommitOutcome;
use corianderyoke_coord::placement::Sequence;
use corianderyoke_coord::placement::TableSnapshot;
use corianderyoke_platform::Commit;
use corianderyoke_platform::Condition;
use corianderyoke_platform::Error;
use corianderyoke_platform::Platform;
use corianderyoke_platform::Row;
use corianderyoke_platform::Transaction;
use corianderyoke_platform::Write;
use serde::Serialize;

use crate::agent::store::VIEW;
use crate::ops::config::DECISIONS_TABLE;
use crate::util::events;
use crate::util::events::Event;
use crate::util::utc;

/// Name of the table of intents.
const INTENTS: &str = "intents";
/// Digits of the zero-padded fencing token in a decision's key, so that keys sort as numbers.
const FENCE_DIGITS: usize = 20;

/// The audit row of a decision, as stored.
#[derive(Serialize)]
struct Decision<'a> {
    controller: &'a str,
    time: u64,
    fence: u64,
    grounds: &'a [String],
    puts: Vec<String>,
    deletes: Vec<String>,
}

/// Reads the whole table; `None` if the store failed or a row can't be parsed.
pub async fn scan(platform: &dyn Platform) -> Option<TableSnapshot> {
    let rows = platform.scan(INTENTS, "", "").await.ok()?;
    let fields = rows.iter().map(|row: &Row| (row.key.as_str(), row.value.as_str(), row.version));
    match TableSnapshot::parse(fields) {
        Ok(snapshot) => Some(snapshot),
        Err(e) => {
            events::log(Event::PlatformFailed, format_args!("reading=intents cause={e}"));
            None
        }
    }
}

/// Commits a change on condition that the view row and the sequence row have the expected versions.
pub async fn commit(
    platform: &dyn Platform,
    cell: &str,
    view: &View,
    own_id: &str,
    change: &ChangeSet,
) -> CommitOutcome {
    let conditions = vec![
        Condition::Version { table: VIEW.to_owned(), key: cell.to_owned(), version: view.version },
        sequence_condition(change.expected_version),
    ];
    let transaction = Transaction { conditions, writes: writes(own_id, change) };
    match platform.transact(&transaction).await {
        Ok(Commit::Done { version }) => {
            for reason in &change.reasons {
                events::log(Event::Decided, format_args!("fence={} {reason}", change.fence));
            }
            CommitOutcome::Committed(version)
        }
        Ok(Commit::Refused { .. }) => CommitOutcome::Conflict,
        Err(Error::Unknown(_)) => CommitOutcome::Unknown,
        Err(Error::Unavailable(_) | Error::Invalid(_)) => CommitOutcome::Unsent,
    }
}

fn sequence_condition(expected: Option<u64>) -> Condition {
    let (table, key) = (INTENTS.to_owned(), SEQUENCE_KEY.to_owned());
    match expected {
        Some(version) => Condition::Version { table, key, version },
        None => Condition::Absent { table, key },
    }
}

fn writes(own_id: &str, change: &ChangeSet) -> Vec<Write> {
    let sequence = Sequence { fence: change.fence, controller: own_id.to_owned() };
    let mut writes = vec![put(INTENTS, SEQUENCE_KEY.to_owned(), &sequence)];
    writes.extend(change.puts.iter().map(|row| put(INTENTS, row.key().to_string(), row)));
    writes.extend(
        change
            .deletes
            .iter()
            .map(|key| Write::Delete { table: INTENTS.to_owned(), key: key.to_string() }),
    );
    let decision = Decision {
        controller: own_id,
        time: utc::now(),
        fence: change.fence,
        grounds: &change.reasons,
        puts: change.puts.iter().map(|row| format!("{} {:?}", row.key(), row.phase)).collect(),
        deletes: change.deletes.iter().map(ToString::to_string).collect(),
    };
    let fence = change.fence;
    writes.push(put(DECISIONS_TABLE, format!("{fence:0FENCE_DIGITS$}"), &decision));
    writes
}

fn put(table: &str, key: String, value: &impl Serialize) -> Write {
    // Rows hold only strings, numbers and lists, so they always serialize.
    let value = serde_json::to_string(value).unwrap_or_default();
    Write::Put { table: table.to_owned(), key, value }
}
