//! One change as one transaction, with lost answers resolved.

use std::time::Duration;

use corianderyoke_coord::register::Address;
use corianderyoke_coord::register::Change;
use corianderyoke_coord::register::Revision;
use corianderyoke_platform as platform;
use corianderyoke_platform::Commit;
use corianderyoke_platform::Condition;
use corianderyoke_platform::Platform;
use corianderyoke_platform::Transaction;
use corianderyoke_platform::Write;

use super::queries;
use super::record::audit_key;
use super::record::decode;
use super::record::encode;
use super::record::Head;
use super::record::StoredEntry;
use super::AuditRecord;
use super::Error;
use super::Result;
use super::Snapshot;
use super::AUDIT_TABLE;
use super::CONFIG_TABLE;
use super::HEAD_KEY;

/// Sends of one transaction until its outcome counts as unknown.
const SENDS: usize = 4;
/// Pause before a send is repeated.
const SEND_PAUSE: Duration = Duration::from_millis(200);

/// Commits `record` on top of `base`.
///
/// A repeated send is safe: the condition on the head's version lets at most one of them take
/// effect, and the audit record's id tells whose it was.
pub(super) async fn commit(
    platform: &dyn Platform,
    base: &Snapshot,
    record: &AuditRecord,
) -> Result<()> {
    let transaction = transaction(base, record);
    let mut cause = String::new();
    for send in 0..SENDS {
        if send > 0 {
            tokio::time::sleep(SEND_PAUSE).await;
        }
        match platform.transact(&transaction).await {
            Ok(Commit::Done { .. }) => return Ok(()),
            Ok(Commit::Refused { .. }) => match settled(platform, base, record).await {
                Ok(()) => return Ok(()),
                Err(Error::Platform(error)) if !cause.is_empty() => cause = error.to_string(),
                Err(error) => return Err(error),
            },
            Err(platform::Error::Unknown(text)) => cause = text,
            // Nothing took effect by this send, but an earlier one may have.
            Err(error) if cause.is_empty() => return Err(error.into()),
            Err(error) => cause = error.to_string(),
        }
    }
    Err(Error::Unknown { apply: record.apply.clone(), cause })
}

/// After a refusal: whether the revision is ours after all, or whose it is.
async fn settled(platform: &dyn Platform, base: &Snapshot, record: &AuditRecord) -> Result<()> {
    if let Some(row) = platform.get(AUDIT_TABLE, &audit_key(record.revision)).await? {
        let found: AuditRecord = decode(AUDIT_TABLE, &row.key, &row.value)?;
        if found.apply == record.apply {
            return Ok(());
        }
    }
    Err(raced(platform, base.revision).await?)
}

/// The error for a change made for `read` when a newer revision is in force.
pub(super) async fn raced(platform: &dyn Platform, read: Revision) -> Result<Error> {
    let since = queries::audit(platform, read.next(), None).await?;
    let found = since.last().map_or(read, |record| record.revision);
    Ok(Error::Raced { read, found, since })
}

fn transaction(base: &Snapshot, record: &AuditRecord) -> Transaction {
    let condition = match base.head {
        Some(version) => {
            Condition::Version { table: CONFIG_TABLE.into(), key: HEAD_KEY.into(), version }
        }
        None => Condition::Absent { table: CONFIG_TABLE.into(), key: HEAD_KEY.into() },
    };
    let mut writes: Vec<Write> =
        record.changes.iter().map(|change| write(record.revision, change)).collect();
    writes.push(put(CONFIG_TABLE, HEAD_KEY.into(), encode(&Head { revision: record.revision })));
    writes.push(put(AUDIT_TABLE, audit_key(record.revision), encode(record)));
    Transaction { conditions: vec![condition], writes }
}

fn write(revision: Revision, change: &Change) -> Write {
    let key = change.address.clone();
    debug_assert!(key.parse::<Address>().is_ok());
    match &change.after {
        Some(entry) => {
            let stored = StoredEntry { revision, entry: entry.clone() };
            put(CONFIG_TABLE, key, encode(&stored))
        }
        None => Write::Delete { table: CONFIG_TABLE.into(), key },
    }
}

fn put(table: &str, key: String, value: String) -> Write {
    Write::Put { table: table.into(), key, value }
}
