//! Paths and bodies of the platform's HTTP interface, shared by the adapter and the stand-in.
//!
//! `GET /row?table=&key=`, `GET /rows?table=&from=&to=`, `POST /transact`, `GET` and `PUT
//! /object?name=`, `GET /instances`. A status of 503 says that nothing took effect, 4xx that the
//! request is wrong, any other 5xx that the outcome is unknown.

use serde::Deserialize;
use serde::Serialize;

use crate::Instance;
use crate::Row;

/// Path of one row.
pub const ROW: &str = "/row";
/// Path of a range of rows.
pub const ROWS: &str = "/rows";
/// Path of transactions.
pub const TRANSACT: &str = "/transact";
/// Path of objects.
pub const OBJECT: &str = "/object";
/// Path of the instance list.
pub const INSTANCES: &str = "/instances";

/// Answer to a read of one row.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RowAnswer {
    /// The row, where it exists.
    pub row: Option<Row>,
}

/// Answer to a scan; `count` guards against a body that was cut.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RowsAnswer {
    /// Rows in key order.
    pub rows: Vec<Row>,
    /// Number of rows.
    pub count: usize,
}

/// The instance list.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct InstanceList {
    /// Live and leaving instances.
    pub instances: Vec<Instance>,
}

/// Body of an answer other than 2xx.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ErrorAnswer {
    /// What went wrong.
    pub error: String,
}
