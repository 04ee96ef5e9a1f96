//! Reads of the configuration and its trail.

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

/// The configuration as of one moment, with what can't be read of it.
pub async fn snapshot(platform: &dyn Platform) -> Result<Snapshot> {
    let rows = platform.scan(CONFIG_TABLE, "", "").await?;
    Snapshot::from_rows(&rows)
}

/// The newest revision; zero before the first change.
pub async fn head(platform: &dyn Platform) -> Result<Revision> {
    match platform.get(CONFIG_TABLE, HEAD_KEY).await? {
        Some(row) => Ok(decode::<Head>(CONFIG_TABLE, &row.key, &row.value)?.revision),
        None => Ok(Revision::default()),
    }
}

/// What applying a document would change, or what is wrong with the outcome.
pub async fn changes(platform: &dyn Platform, document: &Document) -> Result<Vec<Change>> {
    let present = snapshot(platform).await?.whole()?;
    let wanted = document.apply_to(&present.entries);
    let problems = document.check_entries(&wanted);
    if !problems.is_empty() {
        return Err(Error::Problems(problems));
    }
    Ok(diff(&present.entries, &wanted))
}

/// Audit records from one revision to another, both included; no upper bound when absent.
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
    /// What the controller wrote.
    pub decision: Value,
}

/// The controllers' decisions, in the order of their fencing tokens.
pub async fn decisions(platform: &dyn Platform) -> Result<Vec<Decision>> {
    let rows = platform.scan(DECISIONS_TABLE, "", "").await?;
    let decisions = rows.iter().map(|row| {
        let token = row.key.trim_start_matches('0').to_owned();
        let decision = decode(DECISIONS_TABLE, &row.key, &row.value)?;
        Ok(Decision { token, decision })
    });
    decisions.collect()
}
