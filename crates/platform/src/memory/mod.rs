//! The table service's logic in memory, and an in-process [`Platform`](crate::Platform) over it.
//!
//! [`Tables`] is synchronous and knows no time: writes are in `commands`, reads in `queries`. It
//! suits tests that drive state machines step by step. [`MemoryPlatform`] serves the same tables
//! through [`Store`](crate::store::Store), with its rates and faults.

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
/// One counter gives out the versions of all rows, so a version is never reused, also not after
/// a delete.
#[derive(Clone, Debug, Default)]
pub struct Tables {
    tables: IndexMap<String, BTreeMap<String, Cell>>,
    objects: IndexMap<String, Vec<u8>>,
    instances: Vec<Instance>,
    version: u64,
}
