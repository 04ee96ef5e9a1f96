//! Stored format of the configuration: the head, the entries and the audit records.

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

/// Digits that a revision is zero-padded to in an audit key, so that keys sort numerically.
const REVISION_DIGITS: usize = 20;

/// Value of the head row.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Head {
    /// The newest revision.
    pub revision: Revision,
}

/// Value of an entry's row.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StoredEntry {
    /// Revision that last wrote the entry.
    pub revision: Revision,
    /// The entry's fields.
    pub entry: Value,
}

/// The audit record of one change.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AuditRecord {
    /// Revision that the change created.
    pub revision: Revision,
    /// Unique id of the attempt; tells after a lost response whether the attempt took effect.
    pub apply: String,
    /// Name of the operator who made the change.
    pub operator: String,
    /// Unix time in seconds by the operator's clock; informational, no decision depends on it.
    pub time: u64,
    /// The command that made the change.
    pub action: String,
    /// Changed entries, each with its old and new value.
    pub changes: Vec<Change>,
}

/// A whole configuration at one revision.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    /// Revision; zero before the first change.
    pub revision: Revision,
    /// Version of the head's row; `None` before the first change.
    pub head: Option<u64>,
    /// Decoded entries by address.
    pub entries: Entries,
    /// Errors of the rows that this program can't decode; these rows are missing from `entries`.
    pub undecoded: Vec<register::Error>,
}

impl Snapshot {
    /// Decodes the rows of a full scan of the table.
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

    /// Returns the snapshot, or an error if an entry of a known kind can't be decoded.
    ///
    /// Entries of unknown kinds come from a newer version of the program; a change made here leaves
    /// them untouched.
    pub fn ensure_decoded(self) -> Result<Snapshot> {
        let entry = |error: &&register::Error| matches!(error, register::Error::Entry { .. });
        match self.undecoded.iter().find(entry) {
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
            Err(error) => self.undecoded.push(error),
        }
    }

    /// Encodes the revision and the entries as JSON, to send to a peer.
    pub fn to_json(&self) -> String {
        let entries = self.entries.iter();
        let entries = entries.map(|(address, entry)| (address.to_string(), entry.to_value()));
        encode(&PeerSnapshot { revision: self.revision, entries: entries.collect() })
    }

    /// Decodes a snapshot that a peer encoded with [`Snapshot::to_json`].
    pub fn from_json(text: &str) -> Result<Snapshot> {
        let peer_snapshot: PeerSnapshot = decode(CONFIG_TABLE, HEAD_KEY, text)?;
        let mut snapshot = Snapshot { revision: peer_snapshot.revision, ..Snapshot::default() };
        for (address, value) in peer_snapshot.entries {
            snapshot.insert(&address, value);
        }
        Ok(snapshot)
    }
}

/// JSON form of a configuration sent between peers.
#[derive(Deserialize, Serialize)]
struct PeerSnapshot {
    revision: Revision,
    entries: IndexMap<String, Value>,
}

/// Key of a revision's audit record.
pub fn audit_key(revision: Revision) -> String {
    format!("{:0REVISION_DIGITS$}", revision.0)
}

/// Decodes a stored value; `table` and `key` are for the error.
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

/// Encodes a value to be stored.
pub(super) fn encode<T: Serialize>(value: &T) -> String {
    // Can't fail: the stored types hold only numbers, strings, lists and string-keyed maps.
    serde_json::to_string(value).unwrap_or_default()
}
