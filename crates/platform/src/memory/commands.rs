//! Writes to the tables, the objects and the instance list.

use crate::memory::Cell;
use crate::memory::Tables;
use crate::Commit;
use crate::Condition;
use crate::Instance;
use crate::Transaction;
use crate::Write;

impl Tables {
    /// Executes a transaction: all writes, or none if a condition fails.
    pub fn transact(&mut self, transaction: &Transaction) -> Commit {
        for (index, condition) in transaction.conditions.iter().enumerate() {
            if !self.holds(condition) {
                let (table, key) = target(condition);
                return Commit::Refused { condition: index, found: self.get(table, key) };
            }
        }
        self.version += 1;
        let version = self.version;
        for write in &transaction.writes {
            self.apply_write(write, version);
        }
        Commit::Done { version }
    }

    /// Stores an object, replacing an earlier one of the same name.
    pub fn put_object(&mut self, name: &str, body: Vec<u8>) {
        self.objects.insert(name.to_owned(), body);
    }

    /// Replaces the instance list.
    pub fn set_instances(&mut self, instances: Vec<Instance>) {
        self.instances = instances;
    }

    fn apply_write(&mut self, write: &Write, version: u64) {
        match write {
            Write::Put { table, key, value } => {
                let cell = Cell { value: value.clone(), version };
                self.tables.entry(table.clone()).or_default().insert(key.clone(), cell);
            }
            Write::Delete { table, key } => {
                if let Some(rows) = self.tables.get_mut(table) {
                    rows.remove(key);
                }
            }
        }
    }
}

/// Table and key of the row that a condition refers to.
fn target(condition: &Condition) -> (&str, &str) {
    match condition {
        Condition::Absent { table, key } | Condition::Version { table, key, .. } => (table, key),
    }
}
