//! Errors of the configuration.

use corianderyoke_coord::register;
use corianderyoke_coord::register::Problem;
use corianderyoke_coord::register::Revision;
use corianderyoke_platform as platform;

use super::record::AuditRecord;
use crate::util::exit::Exit;
use crate::util::settings::ProblemList;
use crate::util::utc;

/// What can go wrong with a command or query of the configuration.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The configuration is wrong; nothing was changed.
    #[error("{}", ProblemList(.0))]
    Problems(Vec<Problem>),
    /// Somebody else's change came first; nothing was changed.
    #[error(
        "the configuration is at revision {found}, not {read}; nothing was changed\n{}\nlook at \
         the changes and apply again",
        summary(.since)
    )]
    Raced {
        /// The revision that this change was made for.
        read: Revision,
        /// The revision in force.
        found: Revision,
        /// The changes since, oldest first.
        since: Vec<AuditRecord>,
    },
    /// A write whose outcome nobody knows.
    #[error(
        "the outcome is unknown: {cause}; look for apply id {apply} in `corianderyoke audit` \
         before a repeat"
    )]
    Unknown {
        /// Unique id of the attempt, which its audit record would carry.
        apply: String,
        /// Why the outcome is unknown.
        cause: String,
    },
    /// What was named doesn't exist.
    #[error("there is no {kind} `{name}`; `corianderyoke get` lists what there is")]
    Missing {
        /// Kind of the entry.
        kind: &'static str,
        /// The name given.
        name: String,
    },
    /// The platform can't be used.
    #[error(transparent)]
    Platform(#[from] platform::Error),
    /// A stored value can't be read.
    #[error("table {table} holds a value that can't be read at `{key}`: {cause}")]
    Stored {
        /// Table of the value.
        table: &'static str,
        /// Key of the value.
        key: String,
        /// What the decoder says.
        cause: String,
    },
    /// A stored entry can't be read.
    #[error(transparent)]
    Register(#[from] register::Error),
    /// A member didn't answer.
    #[error("failed to ask {address}: {cause}; see `corianderyoke status` for who is live")]
    Member {
        /// The member's operators' address.
        address: String,
        /// What went wrong.
        cause: String,
    },
    /// No router is known.
    #[error("no live router is known; name one with --router IP:PORT")]
    NoRouter,
}

/// Result of this module.
pub type Result<T> = std::result::Result<T, Error>;

impl Error {
    /// The exit code that a command with this error ends with.
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

/// One line for each record: who changed what, and when.
fn summary(records: &[AuditRecord]) -> String {
    let lines: Vec<String> = records.iter().map(line).collect();
    lines.join("\n")
}

fn line(record: &AuditRecord) -> String {
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
