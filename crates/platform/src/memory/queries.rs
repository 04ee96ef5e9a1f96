//! Reads of the tables, the objects and the instance list.

use std::ops::Bound;

use crate::memory::Cell;
use crate::memory::Tables;
use crate::Condition;
use crate::Instance;
use crate::Row;

impl Tables {
    /// One row, or `None` if it doesn't exist.
    pub fn get(&self, table: &str, key: &str) -> Option<Row> {
        self.tables.get(table)?.get(key).map(|cell| to_row(key, cell))
    }

    /// Rows with `from <= key < to` in key order; an empty `to` means no upper bound.
    pub fn scan(&self, table: &str, from: &str, to: &str) -> Vec<Row> {
        let Some(rows) = self.tables.get(table) else { return Vec::new() };
        if !to.is_empty() && from >= to {
            return Vec::new();
        }
        let upper = if to.is_empty() { Bound::Unbounded } else { Bound::Excluded(to) };
        let range = rows.range::<str, _>((Bound::Included(from), upper));
        range.map(|(key, cell)| to_row(key, cell)).collect()
    }

    /// An object's bytes, or `None` if it doesn't exist.
    pub fn object(&self, name: &str) -> Option<Vec<u8>> {
        self.objects.get(name).cloned()
    }

    /// The actual instance list, without delay.
    pub fn instances(&self) -> &[Instance] {
        &self.instances
    }

    /// Whether a condition holds for the current rows.
    pub fn holds(&self, condition: &Condition) -> bool {
        match condition {
            Condition::Absent { table, key } => self.get(table, key).is_none(),
            Condition::Version { table, key, version } => {
                self.get(table, key).is_some_and(|row| row.version == *version)
            }
        }
    }
}

fn to_row(key: &str, cell: &Cell) -> Row {
    Row { key: key.to_owned(), value: cell.value.clone(), version: cell.version }
}
