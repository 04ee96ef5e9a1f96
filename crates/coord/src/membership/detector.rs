//! Detects members that have stopped renewing their rows.

use std::time::Duration;

use indexmap::IndexMap;

use super::MemberId;
use super::VersionedRow;
use crate::time::Tick;

/// Last row version seen of each member, and since when, on the local clock.
#[derive(Clone, Debug, Default)]
pub struct FailureDetector {
    observations: IndexMap<MemberId, Observation>,
}

#[derive(Clone, Copy, Debug)]
struct Observation {
    /// Version of the row; `None` if it is missing or belongs to another incarnation.
    version: Option<u64>,
    since: Tick,
}

impl FailureDetector {
    /// Records the rows that a scan answered at `now` returned for `members`. A missing row counts
    /// as deleted only if the scan is `complete`: sent after the members were known.
    pub fn observe<'a>(
        &mut self,
        now: Tick,
        complete: bool,
        members: impl Iterator<Item = &'a MemberId>,
        rows: &IndexMap<String, VersionedRow>,
    ) {
        let mut observations = IndexMap::new();
        for id in members {
            let row = rows.get(&id.name).filter(|row| row.row.incarnation == id.incarnation);
            let found = Observation { version: row.map(|row| row.version), since: now };
            if row.is_none() && !complete {
                continue;
            }
            let unchanged =
                self.observations.get(id).filter(|old| !newer(old.version, found.version));
            observations.insert(id.clone(), unchanged.copied().unwrap_or(found));
        }
        self.observations = observations;
    }

    /// Whether the row of `id` hasn't changed for more than `timeout`; false for an unknown member.
    pub fn is_expired(&self, now: Tick, id: &MemberId, timeout: Duration) -> bool {
        self.observations.get(id).is_some_and(|entry| now.since(entry.since) > timeout)
    }

    /// Time since the row of `id` last changed; `None` for an unknown member.
    pub fn unchanged_for(&self, now: Tick, id: &MemberId) -> Option<Duration> {
        self.observations.get(id).map(|entry| now.since(entry.since))
    }

    /// Last version seen of the row of `id`; `None` if the row is missing or was never seen.
    pub fn last_version(&self, id: &MemberId) -> Option<u64> {
        self.observations.get(id).and_then(|entry| entry.version)
    }
}

/// Whether `found` supersedes `old`. A row that was deleted, or overwritten by another incarnation,
/// never reappears.
fn newer(old: Option<u64>, found: Option<u64>) -> bool {
    match (old, found) {
        (Some(old), Some(found)) => found > old,
        (Some(_), None) => true,
        (None, _) => false,
    }
}
