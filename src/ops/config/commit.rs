//! Commits a change in one transaction and finds out its outcome after a lost response.

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

/// Times that a transaction is sent before its outcome counts as unknown.
const MAX_SENDS: usize = 4;
/// Delay before the transaction is sent again.
const RESEND_DELAY: Duration = Duration::from_millis(200);

/// Which attempt wrote the audit record of a revision.
enum Owner {
    Ours,
    Other,
    Nobody,
}

/// Commits `record` on top of `base`.
///
/// Sending the transaction again is safe: the condition on the head's version lets at most one send
/// take effect, and the audit record's attempt id tells whether it was this one.
pub(super) async fn commit(
    platform: &dyn Platform,
    base: &Snapshot,
    record: &AuditRecord,
) -> Result<()> {
    let transaction = transaction(base, record);
    let mut cause = None;
    for send in 0..MAX_SENDS {
        if send > 0 {
            tokio::time::sleep(RESEND_DELAY).await;
        }
        let result = platform.transact(&transaction).await;
        let refused = match result {
            Ok(Commit::Done { .. }) => return Ok(()),
            Ok(Commit::Refused { .. }) => true,
            Err(platform::Error::Unknown(text)) => {
                cause = Some(text);
                false
            }
            // This send took no effect, but an earlier one with an unknown outcome may have.
            Err(error) if cause.is_none() => return Err(error.into()),
            Err(_) => false,
        };
        match record_owner(platform, record).await {
            Ok(Owner::Ours) => return Ok(()),
            Ok(Owner::Other) => return Err(raced_error(platform, base.revision).await?),
            Ok(Owner::Nobody) if refused => return Err(raced_error(platform, base.revision).await?),
            Ok(Owner::Nobody) => {}
            Err(error) if cause.is_none() => return Err(error),
            Err(_) => {}
        }
    }
    Err(Error::Unknown { apply: record.apply.clone(), cause: cause.unwrap_or_default() })
}

/// Reads the audit record at the revision of `record` and tells which attempt wrote it.
async fn record_owner(platform: &dyn Platform, record: &AuditRecord) -> Result<Owner> {
    let Some(row) = platform.get(AUDIT_TABLE, &audit_key(record.revision)).await? else {
        return Ok(Owner::Nobody);
    };
    let found: AuditRecord = decode(AUDIT_TABLE, &row.key, &row.value)?;
    Ok(if found.apply == record.apply { Owner::Ours } else { Owner::Other })
}

/// Builds the error for a change based on revision `read` when a newer one is committed.
pub(super) async fn raced_error(platform: &dyn Platform, read: Revision) -> Result<Error> {
    let since = queries::audit(platform, read.next(), None).await?;
    let found = queries::head(platform).await?;
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
