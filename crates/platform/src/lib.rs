//! The edge towards the platform: its table service, object store and instance list.
//!
//! Everything that has to last lives behind [`Platform`]. A write has three outcomes: it took
//! effect, it was refused by a condition, or nobody knows ([`Error::Unknown`]); callers read back
//! or choose the safe direction.
//!
//! [`http::HttpPlatform`] is the adapter that daemons and tools use. [`memory::Tables`] is the
//! store's logic without time; [`store::Store`] puts the rates, the faults and the lagging
//! instance list around it, and serves both the stand-in's server and
//! [`memory::MemoryPlatform`].

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
    /// Version that the store gave the row at its last write; never reused, also not after a
    /// delete.
    pub version: u64,
}

/// What must hold for a transaction to take effect.
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
    /// All must hold.
    pub conditions: Vec<Condition>,
    /// Carried out in order.
    pub writes: Vec<Write>,
}

/// What became of a transaction that the store answered.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "outcome")]
pub enum Commit {
    /// It took effect; all rows written carry this version.
    Done {
        /// Version of the rows written.
        version: u64,
    },
    /// A condition didn't hold; nothing was written.
    Refused {
        /// Position of the first condition that failed.
        condition: usize,
        /// The row as it is, if it exists.
        found: Option<Row>,
    },
}

/// State of an instance in the platform's list.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// Running.
    Live,
    /// Told to go.
    Leaving,
}

/// One entry of the platform's instance list, which lags behind the truth.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Instance {
    /// Instance name; for upstream instances the upstream's name in the register.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Address as `ip:port`, where the platform knows one.
    pub address: String,
    /// State as last seen by the platform.
    pub state: InstanceState,
}

/// Errors of the platform.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The request didn't reach the store or the store refused to work: nothing took effect.
    #[error("the platform is unavailable: {0}")]
    Unavailable(String),
    /// No answer came: a write may or may not have taken effect.
    #[error("the platform gave no answer, the outcome is unknown: {0}")]
    Unknown(String),
    /// The store understood the request and calls it wrong.
    #[error("the platform refused the request: {0}")]
    Invalid(String),
}

/// Result of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// The platform's services as the rest of the system sees them.
#[async_trait]
pub trait Platform: Send + Sync {
    /// One row, or `None` where it doesn't exist.
    async fn get(&self, table: &str, key: &str) -> Result<Option<Row>>;

    /// All rows with `from <= key < to` (an empty `to` means no upper bound), in key order, as of
    /// one moment: whole or an error.
    async fn scan(&self, table: &str, from: &str, to: &str) -> Result<Vec<Row>>;

    /// Carries out a transaction.
    async fn transact(&self, transaction: &Transaction) -> Result<Commit>;

    /// An object's bytes, or `None` where it doesn't exist.
    async fn object(&self, name: &str) -> Result<Option<Vec<u8>>>;

    /// Stores an object.
    async fn put_object(&self, name: &str, body: Vec<u8>) -> Result<()>;

    /// The platform's list of instances, which lags.
    async fn instances(&self) -> Result<Vec<Instance>>;
}
