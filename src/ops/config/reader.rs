//! A daemon's copy of the configuration, which follows the head and never goes back to an older
//! revision.

use std::sync::Arc;

use corianderyoke_coord::register::Entries;
use corianderyoke_coord::register::Register;
use corianderyoke_coord::register::Revision;
use corianderyoke_platform::Platform;

use super::queries;
use super::AuditRecord;
use super::Result;
use super::Snapshot;
use crate::util::events;
use crate::util::events::Event;

/// A reader that is more revisions behind than this scans the whole table instead of reading the
/// audit records in between.
const MAX_AUDIT_LAG: u64 = 256;

/// Follows the configuration.
///
/// An entry that can't be decoded counts as absent, which fails safe: an absent key, team or grant
/// permits nothing, and an absent zone gets no work.
///
/// A daemon polls it once a second, and immediately when a peer reports a newer revision. The
/// revision held only increases, whatever order the reads complete in.
#[derive(Debug, Default)]
pub struct ConfigReader {
    revision: Revision,
    entries: Entries,
}

impl ConfigReader {
    /// Creates a reader that holds no configuration yet.
    pub fn new() -> Self {
        ConfigReader::default()
    }

    /// Revision held; zero before the first successful read.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Copy of the configuration held, for a peer that starts while the store is down.
    pub fn snapshot(&self) -> Snapshot {
        let entries = self.entries.clone();
        Snapshot { revision: self.revision, entries, ..Snapshot::default() }
    }

    /// Reads the changes since the held revision and returns the new register, or `None` if the
    /// held revision is the newest. Costs a single read in that case.
    pub async fn poll(&mut self, platform: &dyn Platform) -> Result<Option<Arc<Register>>> {
        let head = queries::head(platform).await?;
        if head <= self.revision {
            return Ok(None);
        }
        let behind = head.0 - self.revision.0;
        if self.revision == Revision::default() || behind > MAX_AUDIT_LAG {
            return self.scan(platform).await;
        }
        let records = queries::audit(platform, self.revision.next(), None).await?;
        match self.apply_records(&records) {
            Some(register) => Ok(Some(register)),
            None => self.scan(platform).await,
        }
    }

    /// Replaces the held configuration by a snapshot from the store or a peer, if it's newer.
    pub fn adopt(&mut self, snapshot: Snapshot) -> Option<Arc<Register>> {
        if snapshot.revision <= self.revision {
            return None;
        }
        for error in &snapshot.undecoded {
            let revision = snapshot.revision;
            events::log(Event::EntrySkipped, format_args!("revision={revision} cause={error}"));
        }
        self.revision = snapshot.revision;
        self.entries = snapshot.entries;
        Some(self.compile())
    }

    async fn scan(&mut self, platform: &dyn Platform) -> Result<Option<Arc<Register>>> {
        let snapshot = queries::snapshot(platform).await?;
        Ok(self.adopt(snapshot))
    }

    /// Applies the records if they continue the held revision without a gap; `None` otherwise.
    fn apply_records(&mut self, records: &[AuditRecord]) -> Option<Arc<Register>> {
        let mut next = self.snapshot();
        for record in records {
            if record.revision != next.revision.next() {
                return None;
            }
            next.revision = record.revision;
            for change in &record.changes {
                if let Err(error) = change.apply(&mut next.entries) {
                    next.undecoded.push(error);
                }
            }
        }
        self.adopt(next)
    }

    fn compile(&self) -> Arc<Register> {
        Arc::new(Register::compile(self.revision, &self.entries))
    }
}
