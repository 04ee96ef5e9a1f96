//! The configuration in the platform's tables: commands, queries and the daemons' reader.
//!
//! A change is one transaction: the entries' rows, the head with the next revision, and the audit
//! row of that revision, on condition that the head is as it was read. [`commands`] make such
//! changes, [`queries`] read them, [`reader::ConfigReader`] follows them in a daemon, and
//! [`members`] asks the live members what they have in force.

pub mod commands;
mod commit;
mod error;
pub mod members;
pub mod queries;
pub mod reader;
pub mod record;

pub use commands::Applied;
pub use commands::Author;
pub use error::Error;
pub use error::Result;
pub use reader::ConfigReader;
pub use record::AuditRecord;
pub use record::Snapshot;

/// Table of the head and the entries.
pub const CONFIG_TABLE: &str = "config";
/// Key of the head; sorts before all entries.
pub const HEAD_KEY: &str = "!head";
/// Table of the audit records, one a revision.
pub const AUDIT_TABLE: &str = "audit";
/// Table of the controllers' decisions.
pub const DECISIONS_TABLE: &str = "decisions";
/// Table of the members.
pub const MEMBERS_TABLE: &str = "members";
