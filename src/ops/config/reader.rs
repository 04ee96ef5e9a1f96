//! The daemons' view of the configuration: it follows the head and never goes back.

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

/// Revisions behind from which a whole scan is read in place of the changes.
const SCAN_BEHIND: u64 = 256;

/// Follows the configuration.
///
/// An entry that can't be read counts as absent, which is the safe direction: an absent key, team
/// or grant gives nothing, and an absent zone gets no work.
///
/// A daemon polls it each second and at once when a peer has told of a newer revision. What it
/// holds only ever gets newer, whatever order its reads are answered in.
#[derive(Debug, Default)]
pub struct ConfigReader {
    revision: Revision,
    entries: Entries,
}

impl ConfigReader {
    /// A reader that holds nothing yet.
    pub fn new() -> Self {
        ConfigReader::default()
    }

    /// The revision held; zero for none.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// What is held, for a peer that starts while the store is down.
    pub fn snapshot(&self) -> Snapshot {
        let entries = self.entries.clone();
        Snapshot { revision: self.revision, entries, ..Snapshot::default() }
    }

    /// Reads what is newer than what is held. One read when nothing is.
    pub async fn poll(&mut self, platform: &dyn Platform) -> Result<Option<Arc<Register>>> {
        let head = queries::head(platform).await?;
        if head <= self.revision {
            return Ok(None);
        }
        let behind = head.0 - self.revision.0;
        if self.revision == Revision::default() || behind > SCAN_BEHIND {
            return self.scan(platform).await;
        }
        let records = queries::audit(platform, self.revision.next(), None).await?;
        match self.follow(&records) {
            Some(register) => Ok(Some(register)),
            None => self.scan(platform).await,
        }
    }

    /// Takes a whole configuration from the store or from a peer, if it's newer.
    pub fn adopt(&mut self, snapshot: Snapshot) -> Option<Arc<Register>> {
        if snapshot.revision <= self.revision {
            return None;
        }
        for error in &snapshot.unread {
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

    /// Applies the records, if they follow on what is held without a gap.
    fn follow(&mut self, records: &[AuditRecord]) -> Option<Arc<Register>> {
        let mut next = self.snapshot();
        for record in records {
            if record.revision != next.revision.next() {
                return None;
            }
            next.revision = record.revision;
            for change in &record.changes {
                if let Err(error) = change.apply(&mut next.entries) {
                    next.unread.push(error);
                }
            }
        }
        self.adopt(next)
    }

    fn compile(&self) -> Arc<Register> {
        Arc::new(Register::compile(self.revision, &self.entries))
    }
}
