//! What the machine reads from and writes to the platform's tables.

use std::sync::Arc;

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use super::Role;
use super::View;

/// What a member says about its readiness.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RowState {
    /// Starting, not yet fit for callers.
    Joining,
    /// Fit for callers.
    Ready,
    /// About to leave: no new work.
    Leaving,
}

/// A member's row, under its name.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberRow {
    /// Which incarnation wrote it.
    pub incarnation: u64,
    /// Counts the renewals.
    pub renewal: u64,
    /// What the member does.
    pub role: Role,
    /// Its availability zone.
    pub zone: String,
    /// Where it answers peers, `ip:port`.
    pub peer_addr: String,
    /// Where it answers callers, `ip:port`; empty for none.
    pub caller_addr: String,
    /// Where it answers operators, `ip:port`; empty for none.
    pub ops_addr: String,
    /// Fingerprint of its certificate, in hexadecimal.
    pub fingerprint: String,
    /// Readiness.
    pub state: RowState,
    /// The epoch that it has acknowledged.
    pub epoch: u64,
    /// Whether none of its promises from before that epoch is outstanding.
    pub clear: bool,
}

/// A row with the version that the store gave it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VersionedRow {
    /// The row.
    pub row: MemberRow,
    /// Its version.
    pub version: u64,
}

/// One access to the store. The driver answers each exactly once, with [`Answer::Unknown`] when
/// its time runs out.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreOp {
    /// Reads all member rows, then the view row.
    Scan,
    /// Writes the member's own row if it's at version `expect` (`None`: absent).
    Put {
        /// Version that the row must have.
        expect: Option<u64>,
        /// The new row.
        row: Box<MemberRow>,
    },
    /// Writes the view row if it's at version `expect` (`None`: absent) and the rows of `guards`
    /// are at theirs, and deletes the rows named by `delete`, all in one transaction.
    Change {
        /// Version that the view row must have.
        expect: Option<u64>,
        /// The new view.
        view: Box<View>,
        /// Member names and the versions that their rows must have.
        guards: Vec<(String, u64)>,
        /// Member row to delete.
        delete: Option<String>,
    },
}

/// What became of an access.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreAnswer {
    /// The write took effect; all its rows have this version.
    Done(u64),
    /// A condition didn't hold; nothing was written.
    Refused,
    /// The store couldn't be reached; nothing was written.
    Unavailable,
    /// Nobody knows.
    Unknown,
    /// What a scan found.
    Scanned {
        /// Member rows by name.
        rows: IndexMap<String, VersionedRow>,
        /// The view, if there is one.
        view: Option<Arc<View>>,
    },
}
