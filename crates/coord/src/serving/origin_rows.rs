//! Keeps track of the store's rows with streams, as one daemon has read and written them.
//!
//! Each row's key begins with the time of its write by the store's clock, so that a read can begin
//! where the latest one ended. The lease holder removes rows that are outdated.

use std::time::Duration;

use indexmap::IndexMap;

/// Time by which a row may be written later than its key says.
const MAX_WRITE_DELAY: Duration = Duration::from_secs(5);
/// Multiple of the retention after which a daemon that doesn't remove rows forgets them.
const FORGET_FACTOR: u32 = 2;

/// Rows with streams that the store has. All times are by the store's clock, in milliseconds.
#[derive(Clone, Debug, Default)]
pub struct OriginRows {
    /// Era of the store in which the rows were read.
    era: u64,
    /// Time up to which all rows were read; 0 if a full read is due.
    until_ms: u64,
    /// Keys of the rows, each with the time of its write.
    rows: IndexMap<String, u64>,
    /// Whether rows were forgotten that the store may still have.
    has_forgotten: bool,
}

impl OriginRows {
    /// Returns the time of the write from which on rows have to be read in an era; 0 for all rows.
    pub fn read_from(&self, era: u64) -> u64 {
        match self.era == era {
            true => self.until_ms.saturating_sub(MAX_WRITE_DELAY.as_millis() as u64),
            false => 0,
        }
    }

    /// Records a read of the rows from `from_ms` on, which the store answered in `era` at `now_ms`;
    /// `None` if the time is unknown. The rows that it returned are to be inserted after this.
    pub fn record_read(&mut self, from_ms: u64, era: u64, now_ms: Option<u64>) {
        // Of a store that was restored meanwhile, the rows before `from_ms` are unknown.
        let is_complete = from_ms == 0 || era == self.era;
        if era != self.era {
            self.rows.clear();
        }
        self.era = era;
        self.until_ms = now_ms.filter(|_| is_complete).unwrap_or(0);
    }

    /// Records that the store has a row.
    pub fn insert(&mut self, key: String, written_ms: u64) {
        self.rows.insert(key, written_ms);
    }

    /// Records that rows were removed from the store.
    pub fn remove(&mut self, keys: &[String]) {
        self.rows.retain(|key, _| !keys.contains(key));
    }

    /// Returns at most `limit` rows whose streams can't be taken up any more.
    pub fn outdated(&self, retention: Duration, now_ms: u64, limit: usize) -> Vec<String> {
        let outdated =
            self.rows.iter().filter(|(_, written_ms)| is_outdated(**written_ms, retention, now_ms));
        outdated.map(|(key, _)| key.clone()).take(limit).collect()
    }

    /// Forgets rows that the lease holder, another daemon, has long had to remove.
    pub fn forget_outdated(&mut self, retention: Duration, now_ms: u64) {
        let before = self.rows.len();
        let age = retention * FORGET_FACTOR;
        self.rows.retain(|_, written_ms| !is_outdated(*written_ms, age, now_ms));
        self.has_forgotten |= self.rows.len() < before;
    }

    /// Makes the next read a full one if rows were forgotten. To be called when this daemon becomes the
    /// one that removes them.
    pub fn recall(&mut self) {
        if std::mem::take(&mut self.has_forgotten) {
            self.until_ms = 0;
        }
    }

    /// Returns the number of rows.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether the store has no rows.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}

/// Returns whether a row is older than `age`. One from the future counts by its distance, so that a
/// clock that jumped doesn't keep it.
fn is_outdated(written_ms: u64, age: Duration, now_ms: u64) -> bool {
    u128::from(now_ms.abs_diff(written_ms)) > age.as_millis()
}
