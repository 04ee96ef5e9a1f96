//! Client interface to the platform's table service, object store and instance list.
//!
//! All durable state is accessed through [`Platform`]. A write takes effect, is refused by a
//! condition, or has an unknown outcome ([`Error::Unknown`]); after the latter, callers read the
//! rows again or assume the safe case.
//!
//! [`http::HttpPlatform`] is the client that daemons and tools use. [`memory::Tables`] implements
//! the store's logic without time. [`store::Store`] adds rate limits, faults and a delayed instance
//! list to it, and backs both the stand-in's server and [`memory::MemoryPlatform`].

#![forbid(unsafe_code)]

use async_trait::async_trait;
use serde::Deserialize;
use serde::Serialize;

pub mod faults;
pub mod http;
pub mod memory;
pub mod protocol;
pub mod store;

/// One row of a table.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Row {
    /// Key within the table.
    pub key: String,
    /// Value as JSON text.
    pub value: String,
    /// Version that the store assigned at the row's last write; never reused, not even after a
    /// delete.
    pub version: u64,
}

/// Precondition of a transaction.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "is")]
pub enum Condition {
    /// The row doesn't exist.
    Absent {
        /// Table name.
        table: String,
        /// Row key.
        key: String,
    },
    /// The row exists at this version.
    Version {
        /// Table name.
        table: String,
        /// Row key.
        key: String,
        /// The version that the row must have.
        version: u64,
    },
}

/// One write of a transaction.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "do")]
pub enum Write {
    /// Insert or replace a row.
    Put {
        /// Table name.
        table: String,
        /// Row key.
        key: String,
        /// New value as JSON text.
        value: String,
    },
    /// Delete a row, if it exists.
    Delete {
        /// Table name.
        table: String,
        /// Row key.
        key: String,
    },
}

/// Conditions and writes that take effect together or not at all.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Transaction {
    /// Preconditions, all of which must hold.
    pub conditions: Vec<Condition>,
    /// Writes, applied in order.
    pub writes: Vec<Write>,
}

/// Outcome of a transaction that the store answered.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "outcome")]
pub enum Commit {
    /// The transaction took effect; all rows written have this version.
    Done {
        /// Version of the rows written.
        version: u64,
    },
    /// A condition didn't hold; nothing was written.
    Refused {
        /// Index of the first condition that failed.
        condition: usize,
        /// Current row that the condition refers to, if it exists.
        found: Option<Row>,
    },
}

/// State of an instance in the platform's list.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// The instance is running.
    Live,
    /// The instance was asked to shut down.
    Leaving,
}

/// One entry of the platform's instance list, which lags behind the actual state.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Instance {
    /// Instance name; for upstream instances the upstream's name in the register.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Address as `ip:port`, if the platform knows one.
    pub address: String,
    /// State last observed by the platform.
    pub state: InstanceState,
}

/// Errors of the platform.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The request didn't reach the store or the store rejected it; nothing took effect.
    #[error("the platform is unavailable: {0}")]
    Unavailable(String),
    /// No response arrived; a write may have taken effect.
    #[error("the platform gave no answer, the outcome is unknown: {0}")]
    Unknown(String),
    /// The store rejected the request as invalid.
    #[error("the platform refused the request: {0}")]
    Invalid(String),
}

/// Result of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// The platform's services that the system uses.
#[async_trait]
pub trait Platform: Send + Sync {
    /// One row, or `None` where it doesn't exist.
    async fn get(&self, table: &str, key: &str) -> Result<Option<Row>>;

    /// All rows with `from <= key < to` (an empty `to` means no upper bound) in key order, as one
    /// consistent snapshot; never a partial result.
    async fn scan(&self, table: &str, from: &str, to: &str) -> Result<Vec<Row>>;

    /// Executes a transaction: all its writes, or none.
    async fn transact(&self, transaction: &Transaction) -> Result<Commit>;

    /// An object's bytes, or `None` where it doesn't exist.
    async fn object(&self, name: &str) -> Result<Option<Vec<u8>>>;

    /// Stores an object, replacing an earlier one of the same name.
    async fn put_object(&self, name: &str, body: Vec<u8>) -> Result<()>;

    /// The platform's instance list, which lags behind the actual state.
    async fn instances(&self) -> Result<Vec<Instance>>;
}
