//! The configuration in the platform's tables: commands, queries and the daemons' reader.
//!
//! A change is one transaction. It writes the rows of the changed entries, the head with the next
//! revision, and the audit record of that revision, on condition that the head hasn't changed since
//! it was read. [`commands`] make changes, [`queries`] read the configuration,
//! [`reader::ConfigReader`] follows it in a daemon, and [`members`] asks the live members which
//! revision they have in force.

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
/// Key of the head row; sorts before the keys of all entries.
pub const HEAD_KEY: &str = "!head";
/// Table of the audit records, one per revision.
pub const AUDIT_TABLE: &str = "audit";
/// Table of the controllers' decisions.
pub const DECISIONS_TABLE: &str = "decisions";
/// Table of the cell's members, which are its routers and controllers.
pub const MEMBERS_TABLE: &str = "members";
