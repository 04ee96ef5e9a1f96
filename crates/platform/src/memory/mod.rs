//! An in-memory table service, and an in-process [`Platform`](crate::Platform) that uses it.
//!
//! [`Tables`] is synchronous and independent of time, for tests that drive state machines step by
//! step; `commands` holds its writes, `queries` its reads. [`MemoryPlatform`] serves the tables
//! through [`Store`](crate::store::Store), with its rate limits and faults.

mod commands;
mod platform;
mod queries;

use std::collections::BTreeMap;

use indexmap::IndexMap;

use crate::Instance;

pub use platform::MemoryPlatform;

/// Value and version of one row.
#[derive(Clone, Debug)]
struct Cell {
    value: String,
    version: u64,
}

/// Tables, objects and the instance list.
///
/// A single counter assigns the versions of all rows, so a version is never reused, not even after
/// a delete.
#[derive(Clone, Debug, Default)]
pub struct Tables {
    tables: IndexMap<String, BTreeMap<String, Cell>>,
    objects: IndexMap<String, Vec<u8>>,
    instances: Vec<Instance>,
    version: u64,
}
