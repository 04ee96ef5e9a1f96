//! Rows in the platform's tables, and accesses to them.

use std::sync::Arc;

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use super::Role;
use super::View;

/// Readiness that a member publishes in its row.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RowState {
    /// Starting; doesn't accept calls yet.
    Joining,
    /// Accepts calls.
    Ready,
    /// About to leave; accepts no new calls.
    Leaving,
}

/// A member's row, keyed by the member's name.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberRow {
    /// Incarnation that wrote the row.
    pub incarnation: u64,
    /// Number of renewals.
    pub renewal: u64,
    /// Role of the daemon.
    pub role: Role,
    /// Availability zone of the instance.
    pub zone: String,
    /// Listen address for peers, `ip:port`.
    pub peer_addr: String,
    /// Listen address for callers, `ip:port`; empty if there is none.
    pub caller_addr: String,
    /// Listen address for operators, `ip:port`; empty if there is none.
    pub ops_addr: String,
    /// Certificate fingerprint in hexadecimal.
    pub fingerprint: String,
    /// Readiness of the member.
    pub state: RowState,
    /// Newest epoch that the member has acknowledged; 0 if none.
    pub epoch: u64,
    /// Whether no promise from before that epoch is outstanding, neither granted nor received.
    pub clear: bool,
}

/// A member row with its version in the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VersionedRow {
    /// Content of the row.
    pub row: MemberRow,
    /// Version that the store assigned on the last write.
    pub version: u64,
}

/// One access to the store. The driver answers each exactly once, with [`StoreAnswer::Unknown`]
/// after a timeout.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreOp {
    /// Reads all member rows, then the view row.
    Scan,
    /// Writes the member's own row if its version is `expect` (`None`: no row exists).
    Put {
        /// Required version of the row.
        expect: Option<u64>,
        /// The new row.
        row: Box<MemberRow>,
    },
    /// In one transaction, writes the view row and deletes the member row `delete`. Requires that
    /// the view row is at version `expect` (`None`: no row exists) and each row of `guards` at its
    /// version.
    Change {
        /// Required version of the view row.
        expect: Option<u64>,
        /// The new view.
        view: Box<View>,
        /// Member names and the required versions of their rows.
        guards: Vec<(String, u64)>,
        /// Name of the member whose row is deleted; `None` to delete no row.
        delete: Option<String>,
    },
}

/// Result of an access to the store.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreAnswer {
    /// The write took effect; all written rows have this version.
    Done(u64),
    /// A version condition failed; nothing was written.
    Refused,
    /// The store was unreachable; nothing was written.
    Unavailable,
    /// No answer arrived; a write may or may not have taken effect.
    Unknown,
    /// Rows that a scan read.
    Scanned {
        /// Member rows by name.
        rows: IndexMap<String, VersionedRow>,
        /// The view; `None` if no view row exists.
        view: Option<Arc<View>>,
    },
}
