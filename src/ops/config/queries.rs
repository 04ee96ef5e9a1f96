//! Read-only queries of the configuration, its audit trail and the controllers' decisions.

use corianderyoke_coord::register::diff;
use corianderyoke_coord::register::document::Document;
use corianderyoke_coord::register::Change;
use corianderyoke_coord::register::Revision;
use corianderyoke_platform::Platform;
use serde::Serialize;
use serde_json::Value;

use super::record::audit_key;
use super::record::decode;
use super::record::Head;
use super::AuditRecord;
use super::Error;
use super::Result;
use super::Snapshot;
use super::AUDIT_TABLE;
use super::CONFIG_TABLE;
use super::DECISIONS_TABLE;
use super::HEAD_KEY;

/// Reads the whole configuration in one scan; entries that can't be decoded are listed separately.
pub async fn snapshot(platform: &dyn Platform) -> Result<Snapshot> {
    let rows = platform.scan(CONFIG_TABLE, "", "").await?;
    Snapshot::from_rows(&rows)
}

/// Reads the newest revision; zero before the first change.
pub async fn head(platform: &dyn Platform) -> Result<Revision> {
    match platform.get(CONFIG_TABLE, HEAD_KEY).await? {
        Some(row) => Ok(decode::<Head>(CONFIG_TABLE, &row.key, &row.value)?.revision),
        None => Ok(Revision::default()),
    }
}

/// Returns what applying a document would change.
///
/// Fails with [`Error::Problems`] if the resulting configuration would be invalid.
pub async fn changes(platform: &dyn Platform, document: &Document) -> Result<Vec<Change>> {
    let current = snapshot(platform).await?.ensure_decoded()?;
    let desired = document.apply_to(&current.entries);
    let problems = document.check_entries(&desired);
    if !problems.is_empty() {
        return Err(Error::Problems(problems));
    }
    Ok(diff(&current.entries, &desired))
}

/// Reads the audit records of revisions `from` to `to`, both included; all from `from` on where
/// `to` is `None`.
pub async fn audit(
    platform: &dyn Platform,
    from: Revision,
    to: Option<Revision>,
) -> Result<Vec<AuditRecord>> {
    let end = to.map(|to| audit_key(to.next())).unwrap_or_default();
    let rows = platform.scan(AUDIT_TABLE, &audit_key(from), &end).await?;
    rows.iter().map(|row| decode(AUDIT_TABLE, &row.key, &row.value)).collect()
}

/// One decision of a controller.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Decision {
    /// Its fencing token, without leading zeros.
    pub token: String,
    /// The stored value as the controller wrote it.
    pub decision: Value,
}

/// Reads the controllers' decisions, in the order of their fencing tokens.
pub async fn decisions(platform: &dyn Platform) -> Result<Vec<Decision>> {
    let rows = platform.scan(DECISIONS_TABLE, "", "").await?;
    let decisions = rows.iter().map(|row| {
        let token = row.key.trim_start_matches('0').to_owned();
        let decision = decode(DECISIONS_TABLE, &row.key, &row.value)?;
        Ok(Decision { token, decision })
    });
    decisions.collect()
}
