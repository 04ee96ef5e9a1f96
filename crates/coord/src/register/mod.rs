//! The operators' register and rules: entries, their checks, and the compiled snapshot.
//!
//! A configuration is one flat set of entries, each at an [`Address`] such as `team/depots`, so
//! that a change is one row of a table. Operators write it as TOML files ([`document`]), [`check`]
//! lists all that is wrong with a set, [`diff`] compares two sets, and [`Register`] is what
//! daemons use: a snapshot compiled from a set at one [`Revision`].

pub mod address;
pub mod check;
pub mod diff;
pub mod document;
pub mod entry;
mod problem;
mod queries;
mod snapshot;
pub mod strict;

use std::fmt;

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

pub use address::Address;
pub use address::Kind;
pub use check::check;
pub use diff::diff;
pub use diff::Change;
pub use entry::Adapter;
pub use entry::ApiKey;
pub use entry::Entry;
pub use entry::Grant;
pub use entry::Model;
pub use entry::Rules;
pub use entry::Service;
pub use entry::Team;
pub use entry::Upstream;
pub use entry::UpstreamKind;
pub use entry::Zone;
pub use problem::Problem;
pub use queries::Caller;
pub use queries::Resource;
pub use queries::Target;
pub use snapshot::Register;

/// Number of a configuration; each accepted change adds one. Zero is the empty configuration.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

impl Revision {
    /// The revision after this one.
    pub fn next(self) -> Revision {
        Revision(self.0 + 1)
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// All entries of a configuration.
pub type Entries = IndexMap<Address, Entry>;

/// Errors of reading stored entries.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// An address that isn't `kind/name`.
    #[error("`{0}` is no address of an entry; write it as kind/name, such as team/depots")]
    Address(String),
    /// A kind that this version doesn't know.
    #[error("`{0}` is no kind of entry; update this program where a newer one wrote it")]
    Kind(String),
    /// An entry that can't be read.
    #[error("entry {address} can't be read: {cause}; use the newer program that wrote it")]
    Entry {
        /// Where it is.
        address: String,
        /// What the decoder says.
        cause: String,
    },
}

/// Result of this module.
pub type Result<T> = std::result::Result<T, Error>;
