//! Rows of table `intents`.
//!
//! A row stands under `MODEL@UPSTREAM`; the sequence row stands under [`SEQUENCE_KEY`] and is
//! replaced by each commit.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use super::Error;
use super::Result;

/// Key of the sequence row.
pub const SEQUENCE_KEY: &str = "!sequence";

/// How far a replica has come, as far as the table says.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// It is to be loaded; whether it is ordered or loaded already, the upstream's state tells.
    Decided,
    /// It is to be unloaded, and no further load order is sent.
    Unloading,
    /// It was seen unloaded, but a load order of one of its senders may still arrive.
    Lingering,
}

/// One replica that may exist.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct IntentRow {
    /// Model name.
    pub model: String,
    /// Upstream name.
    pub upstream: String,
    /// Bytes set aside for it.
    pub bytes: u64,
    /// Fencing token of the commit that brought it into its phase.
    pub fence: u64,
    /// Its phase.
    pub phase: Phase,
    /// Controllers whose load orders for it may still be on their way or yet to be sent.
    pub senders: Vec<String>,
    /// Whether it holds one of the weight store's permits.
    pub permit: bool,
}

impl IntentRow {
    /// Key of the row.
    pub fn key(&self) -> RowKey {
        RowKey { model: self.model.clone(), upstream: self.upstream.clone() }
    }
}

/// Key of an intent's row, shown as in the table.
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

/// The sequence row: the newest fencing token.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Sequence {
    /// The token, one higher with each commit.
    pub fence: u64,
    /// Controller that made the commit.
    pub controller: String,
}

/// Table `intents` as of one moment.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct TableSnapshot {
    /// The sequence row; the default before the first commit.
    pub sequence: Sequence,
    /// Version of the sequence row, if it exists.
    pub version: Option<u64>,
    /// All intents.
    pub rows: Vec<IntentRow>,
}

impl TableSnapshot {
    /// Reads a scan of the table, given as key, value and version of each row.
    pub fn parse<'a>(rows: impl Iterator<Item = (&'a str, &'a str, u64)>) -> Result<Self> {
        let mut view = TableSnapshot::default();
        for (key, value, version) in rows {
            let fail = |cause: serde_json::Error| Error::Row {
                key: key.to_owned(),
                cause: cause.to_string(),
            };
            if key == SEQUENCE_KEY {
                view.sequence = serde_json::from_str(value).map_err(fail)?;
                view.version = Some(version);
            } else {
                view.rows.push(serde_json::from_str(value).map_err(fail)?);
            }
        }
        Ok(view)
    }
}
