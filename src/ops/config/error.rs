//! Errors of the configuration's commands and queries, and their exit codes.

use corianderyoke_coord::register;
use corianderyoke_coord::register::Problem;
use corianderyoke_coord::register::Revision;
use corianderyoke_platform as platform;

use super::record::AuditRecord;
use crate::util::exit::Exit;
use crate::util::settings::ProblemList;
use crate::util::utc;

/// Error of a command or query of the configuration.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The resulting configuration would be invalid; nothing was changed.
    #[error("{}", ProblemList(.0))]
    Problems(Vec<Problem>),
    /// Another change was committed first; nothing was changed.
    #[error(
        "the configuration is at revision {found}, not {read}; nothing was changed\n{}\nreview \
         the changes and apply again",
        summary(.since)
    )]
    Raced {
        /// Revision that this change was based on.
        read: Revision,
        /// Newest revision.
        found: Revision,
        /// Audit records of the changes after `read`, oldest first.
        since: Vec<AuditRecord>,
    },
    /// It is unknown whether the change took effect.
    #[error(
        "the outcome is unknown: {cause}; look for apply id {apply} in `corianderyoke audit` \
         before a repeat"
    )]
    Unknown {
        /// Unique id of the attempt; its audit record carries it if the change took effect.
        apply: String,
        /// Why the outcome is unknown.
        cause: String,
    },
    /// The named entry doesn't exist.
    #[error("there is no {kind} `{name}`; `corianderyoke get` lists what there is")]
    Missing {
        /// Kind of the entry.
        kind: &'static str,
        /// Name of the entry, as given.
        name: String,
    },
    /// A call to the platform failed.
    #[error(transparent)]
    Platform(#[from] platform::Error),
    /// A stored value can't be decoded.
    #[error("failed to decode the value at `{key}` in table {table}: {cause}")]
    Stored {
        /// Table of the value.
        table: &'static str,
        /// Key of the value.
        key: String,
        /// Message of the decoder.
        cause: String,
    },
    /// A stored entry can't be decoded.
    #[error(transparent)]
    Register(#[from] register::Error),
    /// A member didn't answer, or not with a valid response.
    #[error("failed to query {address}: {cause}; see `corianderyoke status` for the live members")]
    Member {
        /// The member's address for operators.
        address: String,
        /// Message of the HTTP client.
        cause: String,
    },
    /// The member table lists no router.
    #[error("no live router is known; name one with --router IP:PORT")]
    NoRouter,
}

/// Result with an [`Error`] of the configuration.
pub type Result<T> = std::result::Result<T, Error>;

impl Error {
    /// Exit code of a command that fails with this error.
    pub fn exit(&self) -> Exit {
        match self {
            Error::Problems(_) => Exit::Invalid,
            Error::Raced { .. } => Exit::Raced,
            Error::Unknown { .. } | Error::Platform(platform::Error::Unknown(_)) => Exit::Unknown,
            Error::Missing { .. } => Exit::Missing,
            Error::Platform(platform::Error::Unavailable(_)) => Exit::Unavailable,
            Error::Member { .. } | Error::NoRouter => Exit::Unavailable,
            Error::Platform(platform::Error::Invalid(_)) => Exit::Failed,
            Error::Stored { .. } | Error::Register(_) => Exit::Failed,
        }
    }
}

/// Formats the records, one per line: who changed what, and when.
fn summary(records: &[AuditRecord]) -> String {
    let lines: Vec<String> = records.iter().map(summary_line).collect();
    lines.join("\n")
}

fn summary_line(record: &AuditRecord) -> String {
    let addresses: Vec<&str> =
        record.changes.iter().map(|change| change.address.as_str()).collect();
    let time = utc::format(record.time);
    format!(
        "  revision {} by {} at {time} ({}): {}",
        record.revision,
        record.operator,
        record.action,
        addresses.join(", ")
    )
}
