//! Paths and bodies of the platform's HTTP interface, shared by the client and the stand-in.
//!
//! `GET /row?table=&key=`, `GET /rows?table=&from=&to=`, `POST /transact`, `GET` and `PUT
//! /object?name=`, `GET /instances`. A status of 503 means that nothing took effect, 4xx that the
//! request is invalid, any other 5xx that the outcome is unknown.

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

/// Response to a read of one row.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RowAnswer {
    /// The row, if it exists.
    pub row: Option<Row>,
}

/// Response to a scan; `count` detects an incomplete list of rows.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RowsAnswer {
    /// Rows in key order.
    pub rows: Vec<Row>,
    /// Number of rows that the store sent.
    pub count: usize,
}

/// Response to a read of the instance list.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct InstanceList {
    /// All instances, live and leaving.
    pub instances: Vec<Instance>,
}

/// Body of a response with a status other than 2xx.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ErrorAnswer {
    /// Description of the error.
    pub error: String,
}
