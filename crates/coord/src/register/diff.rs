//! Computes and applies the changes between two configurations.

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use super::Address;
use super::Entries;
use super::Entry;
use super::Result;

/// One entry that was added, changed or removed.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Change {
    /// Address of the entry, as `kind/name`.
    pub address: String,
    /// Fields before the change; `None` if the entry was added.
    pub before: Option<Value>,
    /// Fields after the change; `None` if the entry was removed.
    pub after: Option<Value>,
}

impl Change {
    /// Applies the change to `entries`.
    ///
    /// # Errors
    ///
    /// An error if the address or the new entry can't be decoded. In the latter case the entry is
    /// removed, since its old value is no longer valid.
    pub fn apply(&self, entries: &mut Entries) -> Result<()> {
        let address: Address = self.address.parse()?;
        let entry = match &self.after {
            Some(value) => Entry::from_value(&address, value.clone()).map(Some),
            None => Ok(None),
        };
        match entry {
            Ok(Some(entry)) => drop(entries.insert(address, entry)),
            Ok(None) => drop(entries.shift_remove(&address)),
            Err(error) => {
                entries.shift_remove(&address);
                return Err(error);
            }
        }
        Ok(())
    }
}

/// All changes from `old` to `new`, ordered by address.
pub fn diff(old: &Entries, new: &Entries) -> Vec<Change> {
    let mut addresses: Vec<&Address> = old.keys().chain(new.keys()).collect();
    addresses.sort();
    addresses.dedup();
    let changed = addresses.into_iter().filter(|address| old.get(*address) != new.get(*address));
    changed
        .map(|address| Change {
            address: address.to_string(),
            before: old.get(address).map(Entry::to_value),
            after: new.get(address).map(Entry::to_value),
        })
        .collect()
}
