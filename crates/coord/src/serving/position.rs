//! Order of what is written to a store that may be restored from an older copy.
//!
//! The store numbers its writes with a version. After a restoration the versions of the writes that
//! were lost are given out again, so a version identifies a write only within one era of the store.

use std::collections::VecDeque;

/// Bits of a number made from a position that hold the version.
const VERSION_BITS: u32 = 40;
/// Most eras that a timeline remembers; rows of earlier ones count as of the oldest of them.
const MAX_ERAS: usize = 8;

/// Point of a store's history. Of two positions, that of the later era is the later one.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Position {
    /// Number of the era, which rises with each restoration; 0 if the store doesn't state it.
    pub era: u64,
    /// Version within the era.
    pub version: u64,
}

impl Position {
    /// Returns a number that is ordered like positions, for versions below 2^40.
    pub fn to_number(self) -> u64 {
        self.era << VERSION_BITS | self.version
    }
}

/// Assigns rows of a table to eras, as one reader of the table sees them.
///
/// A restored store doesn't tell which rows come from the copy. The first complete read in an era
/// bounds them: every row up to its version counts as written before the restoration. Rows that were
/// written between the restoration and that read are thereby taken for older than they are, until
/// they are written again.
#[derive(Clone, Debug, Default)]
pub struct Timeline {
    /// Eras in ascending order, each with the version after which rows were written in it.
    eras: VecDeque<(u64, u64)>,
}

impl Timeline {
    /// Records a complete read.
    pub fn record_read(&mut self, read: Position) {
        let Some(&(latest, _)) = self.eras.back() else {
            self.eras.push_back((read.era, 0));
            return;
        };
        if read.era > latest {
            self.eras.push_back((read.era, read.version));
        }
        if self.eras.len() > MAX_ERAS {
            self.eras.pop_front();
        }
    }

    /// Returns the position up to which the store must be read to find a row that has this version at
    /// present, whenever it was written.
    pub fn present(&self, version: u64) -> Position {
        Position { era: self.eras.back().map_or(0, |(era, _)| *era), version }
    }

    /// Returns the position at which a row was written that has this version at present.
    pub fn locate(&self, version: u64) -> Position {
        let written = self.eras.iter().rev().find(|(_, after)| version > *after);
        let era = written.or_else(|| self.eras.front()).map_or(0, |(era, _)| *era);
        Position { era, version }
    }
}
