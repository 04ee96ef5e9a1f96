//! Exit codes of the binaries.
//!
//! | code | meaning |
//! |---|---|
//! | 0 | done |
//! | 1 | failed for a reason that has no exit code of its own |
//! | 2 | the command line is invalid |
//! | 3 | settings or configuration are invalid; each problem is listed |
//! | 4 | somebody else changed the configuration first; nothing was changed |
//! | 5 | the platform or a member can't be reached; nothing was changed |
//! | 6 | the outcome is unknown; check it before a retry |
//! | 7 | some members don't have the revision yet; the change is accepted |
//! | 8 | the named entry doesn't exist |

use std::process::ExitCode;

/// Result of a command, which determines its exit code.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Exit {
    /// Done.
    Done,
    /// Failed for a reason that has no exit code of its own.
    Failed,
    /// The command line is invalid.
    Usage,
    /// Settings or configuration are invalid; each problem is listed.
    Invalid,
    /// Somebody else changed the configuration first; nothing was changed.
    Raced,
    /// The platform or a member can't be reached; nothing was changed.
    Unavailable,
    /// The outcome is unknown; check it before a retry.
    Unknown,
    /// Some members don't have the revision yet; the change is accepted.
    Lagging,
    /// The named entry doesn't exist.
    Missing,
}

impl Exit {
    /// The process's exit code.
    pub fn code(self) -> u8 {
        match self {
            Exit::Done => 0,
            Exit::Failed => 1,
            Exit::Usage => 2,
            Exit::Invalid => 3,
            Exit::Raced => 4,
            Exit::Unavailable => 5,
            Exit::Unknown => 6,
            Exit::Lagging => 7,
            Exit::Missing => 8,
        }
    }
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> ExitCode {
        ExitCode::from(exit.code())
    }
}
