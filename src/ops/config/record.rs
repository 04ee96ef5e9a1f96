//! What the tables hold.

use corianderyoke_coord::register;
use corianderyoke_coord::register::Address;
use corianderyoke_coord::register::Change;
use corianderyoke_coord::register::Entries;
use corianderyoke_coord::register::Entry;
use corianderyoke_coord::register::Revision;
use corianderyoke_platform::Row;
use indexmap::IndexMap;
use serde::de::DeserializeOwned;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use super::Error;
use super::Result;
use super::CONFIG_TABLE;
use super::HEAD_KEY;

/// Digits of a revision in an audit key, so that keys sort as numbers.
const REVISION_DIGITS: usize = 20;

/// The head: the newest revision.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Head {
    /// The newest revision.
    pub revision: Revision,
}

/// An entry's row.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StoredEntry {
    /// Revision that wrote it.
    pub revision: Revision,
    /// Its fields.
    pub entry: Value,
}

/// The record of one change.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AuditRecord {
    /// Revision that the change made.
    pub revision: Revision,
    /// Unique id of the attempt, by which a lost answer is resolved.
    pub apply: String,
    /// Who made it.
    pub operator: String,
    /// Seconds since 1970 by the operator's clock; for people, nothing is decided by it.
    pub time: u64,
    /// The command that made it.
    pub action: String,
    /// What changed.
    pub changes: Vec<Change>,
}

/// A configuration as of one moment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    /// Its revision.
    pub revision: Revision,
    /// Version of the head's row; `None` before the first change.
    pub head: Option<u64>,
    /// Its entries.
    pub entries: Entries,
    /// Rows that this program can't read; they aren't among the entries.
    pub unread: Vec<register::Error>,
}

impl Snapshot {
    /// Reads the rows of a whole scan of the table.
    pub fn from_rows(rows: &[Row]) -> Result<Snapshot> {
        let mut snapshot = Snapshot::default();
        for row in rows {
            if row.key == HEAD_KEY {
                let head: Head = decode(CONFIG_TABLE, &row.key, &row.value)?;
                snapshot.revision = head.revision;
                snapshot.head = Some(row.version);
                continue;
            }
            let stored: StoredEntry = decode(CONFIG_TABLE, &row.key, &row.value)?;
            snapshot.insert(&row.key, stored.entry);
        }
        Ok(snapshot)
    }

    /// The snapshot, or an error where an entry of a known kind can't be read.
    ///
    /// Entries of unknown kinds are a newer program's, and a change here leaves them alone.
    pub fn whole(self) -> Result<Snapshot> {
        let entry = |error: &&register::Error| matches!(error, register::Error::Entry { .. });
        match self.unread.iter().find(entry) {
            Some(error) => Err(error.clone().into()),
            None => Ok(self),
        }
    }

    fn insert(&mut self, address: &str, value: Value) {
        let read = address.parse::<Address>().and_then(|address| {
            let entry = Entry::from_value(&address, value)?;
            Ok((address, entry))
        });
        match read {
            Ok((address, entry)) => drop(self.entries.insert(address, entry)),
            Err(error) => self.unread.push(error),
        }
    }

    /// Writes the revision and the entries as JSON, for a peer.
    pub fn to_json(&self) -> String {
        let entries = self.entries.iter();
        let entries = entries.map(|(address, entry)| (address.to_string(), entry.to_value()));
        encode(&Portable { revision: self.revision, entries: entries.collect() })
    }

    /// Reads what a peer wrote with [`Snapshot::to_json`].
    pub fn from_json(text: &str) -> Result<Snapshot> {
        let portable: Portable = decode(CONFIG_TABLE, HEAD_KEY, text)?;
        let mut snapshot = Snapshot { revision: portable.revision, ..Snapshot::default() };
        for (address, value) in portable.entries {
            snapshot.insert(&address, value);
        }
        Ok(snapshot)
    }
}

/// A configuration on its way between peers.
#[derive(Deserialize, Serialize)]
struct Portable {
    revision: Revision,
    entries: IndexMap<String, Value>,
}

/// Key of a revision's audit record.
pub fn audit_key(revision: Revision) -> String {
    format!("{:0REVISION_DIGITS$}", revision.0)
}

/// Reads a stored value.
pub(super) fn decode<T: DeserializeOwned>(
    table: &'static str,
    key: &str,
    value: &str,
) -> Result<T> {
    serde_json::from_str(value).map_err(|error| Error::Stored {
        table,
        key: key.to_owned(),
        cause: error.to_string(),
    })
}

/// Writes a value to be stored.
pub(super) fn encode<T: Serialize>(value: &T) -> String {
    // The stored types hold numbers, strings, lists and string-keyed maps only.
    serde_json::to_string(value).unwrap_or_default()
}
