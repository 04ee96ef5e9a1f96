//! Rows of table `intents`.
//!
//! Each intent has the key `MODEL@UPSTREAM`. The sequence row has the key [`SEQUENCE_KEY`] and is
//! replaced by each commit.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use super::Error;
use super::Result;

/// Key of the sequence row.
pub const SEQUENCE_KEY: &str = "!sequence";

/// Phase of an intent in the table.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// The replica is to be loaded. Whether it is ordered or loaded yet shows in the upstream's
    /// state.
    Decided,
    /// The replica is to be unloaded. No more load orders are sent.
    Unloading,
    /// The replica was seen absent, but a load order of one of its senders may still arrive.
    Lingering,
}

/// An intent: a replica that exists or may come to exist.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct IntentRow {
    /// Model name.
    pub model: String,
    /// Upstream name.
    pub upstream: String,
    /// Memory reserved for the replica, in bytes.
    pub bytes: u64,
    /// Fencing token of the commit that last wrote the row.
    pub fence: u64,
    /// Phase of the replica.
    pub phase: Phase,
    /// Controllers whose load orders for the replica may be in flight or yet to be sent.
    pub senders: Vec<String>,
    /// Whether the intent holds a weight store permit.
    pub permit: bool,
}

impl IntentRow {
    /// Key under which the row is stored.
    pub fn key(&self) -> RowKey {
        RowKey { model: self.model.clone(), upstream: self.upstream.clone() }
    }
}

/// Key of an intent's row, displayed as it is stored.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct RowKey {
    /// Model name.
    pub model: String,
    /// Upstream name.
    pub upstream: String,
}

impl fmt::Display for RowKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.model, self.upstream)
    }
}

/// The sequence row, which holds the newest fencing token.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Sequence {
    /// Newest fencing token; each commit increments it.
    pub fence: u64,
    /// Controller that made the newest commit.
    pub controller: String,
}

/// Contents of table `intents` at one moment.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct TableSnapshot {
    /// The sequence row; default before the first commit.
    pub sequence: Sequence,
    /// Version of the sequence row; `None` before the first commit.
    pub version: Option<u64>,
    /// All intents.
    pub rows: Vec<IntentRow>,
}

impl TableSnapshot {
    /// Parses a scan of the table, given as key, value and version of each row.
    pub fn parse<'a>(rows: impl Iterator<Item = (&'a str, &'a str, u64)>) -> Result<Self> {
        let mut table = TableSnapshot::default();
        for (key, value, version) in rows {
            let fail = |cause: serde_json::Error| Error::Row {
                key: key.to_owned(),
                cause: cause.to_string(),
            };
            if key == SEQUENCE_KEY {
                table.sequence = serde_json::from_str(value).map_err(fail)?;
                table.version = Some(version);
            } else {
                table.rows.push(serde_json::from_str(value).map_err(fail)?);
            }
        }
        Ok(table)
    }
}
