//! The operators' configuration: its entries, their validation, and the compiled snapshot.
//!
//! A configuration is a flat set of entries, each with an [`Address`] such as `team/depots`, so a
//! change to an entry changes one row of a table. Operators write TOML files ([`document`]),
//! [`check`] lists all problems of a set of entries, [`diff`] compares two sets, and a [`Register`]
//! is the immutable snapshot that daemons use, compiled at one [`Revision`].

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

/// Number of a configuration, incremented by each accepted change. Zero is the empty one.
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

/// All entries of a configuration, by address.
pub type Entries = IndexMap<Address, Entry>;

/// Error while decoding a stored entry.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The address isn't of the form `kind/name`.
    #[error("`{0}` is not an entry address; expected kind/name, such as team/depots")]
    Address(String),
    /// This version doesn't know the kind.
    #[error("`{0}` is not a known kind of entry; update this program if a newer one wrote it")]
    Kind(String),
    /// The entry can't be decoded.
    #[error("entry {address} can't be read: {cause}; use the newer program that wrote it")]
    Entry {
        /// Address of the entry.
        address: String,
        /// The decoder's error message.
        cause: String,
    },
}

/// Result of decoding a stored entry.
pub type Result<T> = std::result::Result<T, Error>;
