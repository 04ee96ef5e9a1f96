//! Order of what is written to a store that may be restored from an older copy.
//!
//! The store numbers its writes with a version. After a restoration the versions of the writes that
//! were lost are given out again, so a version identifies a write only within one era of the store.

/// Point of a store's history. Of two positions, that of the later era is the later one.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Position {
    /// Number of the era, which rises with each restoration; 0 if the store doesn't state it.
    pub era: u64,
    /// Version within the era.
    pub version: u64,
}
