//! Watching the other members' rows.

use std::time::Duration;

use indexmap::IndexMap;

use super::MemberId;
use super::VersionedRow;
use crate::time::Tick;

/// Since when each incarnation's row has stood unchanged, on this process's clock.
#[derive(Clone, Debug, Default)]
pub struct Watch {
    seen: IndexMap<MemberId, Seen>,
}

#[derive(Clone, Copy, Debug)]
struct Seen {
    /// Version of the incarnation's row; `None` when the row is gone or another incarnation's.
    version: Option<u64>,
    since: Tick,
}

impl Watch {
    /// Takes in what a scan that was answered at `now` found about the members `ids`. Only a
    /// `whole` scan tells by a missing row that it is gone.
    pub fn observe<'a>(
        &mut self,
        now: Tick,
        whole: bool,
        ids: impl Iterator<Item = &'a MemberId>,
        rows: &IndexMap<String, VersionedRow>,
    ) {
        let mut seen = IndexMap::new();
        for id in ids {
            let row = rows.get(&id.name).filter(|row| row.row.incarnation == id.incarnation);
            let found = Seen { version: row.map(|row| row.version), since: now };
            if row.is_none() && !whole {
                continue;
            }
            let kept = self.seen.get(id).filter(|old| !newer(old.version, found.version));
            seen.insert(id.clone(), kept.copied().unwrap_or(found));
        }
        self.seen = seen;
    }

    /// Whether the row of `id` has stood unchanged for more than `lapse`.
    pub fn lapsed(&self, now: Tick, id: &MemberId, lapse: Duration) -> bool {
        self.seen.get(id).is_some_and(|seen| now.since(seen.since) > lapse)
    }

    /// Time for which the row of `id` has stood unchanged.
    pub fn unchanged(&self, now: Tick, id: &MemberId) -> Option<Duration> {
        self.seen.get(id).map(|seen| now.since(seen.since))
    }

    /// The version that the row of `id` was last seen at.
    pub fn version(&self, id: &MemberId) -> Option<u64> {
        self.seen.get(id).and_then(|seen| seen.version)
    }
}

/// Whether `found` is news against `old`; a row that was deleted or taken over never comes back.
fn newer(old: Option<u64>, found: Option<u64>) -> bool {
    match (old, found) {
        (Some(old), Some(found)) => found > old,
        (Some(_), None) => true,
        (None, _) => false,
    }
}
