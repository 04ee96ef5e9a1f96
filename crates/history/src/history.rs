//! The merged records of all processes, ordered by time.

use std::fs;
use std::io;
use std::path::Path;
use std::path::PathBuf;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::event::Event;
use crate::event::Record;

/// Extension of history files.
const EXTENSION: &str = "jsonl";

/// Errors of reading a history.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A file couldn't be read.
    #[error("can't read {path}, check that the run wrote it: {source}")]
    Read {
        /// The file.
        path: PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// A line isn't a record.
    #[error("line {line} of {path} isn't a record, check that the versions agree: {source}")]
    Parse {
        /// The file.
        path: PathBuf,
        /// Line number from 1.
        line: usize,
        /// Cause.
        source: serde_json::Error,
    },
    /// The sequence numbers of a process have a gap or a duplicate.
    #[error("records of `{process}` are missing or duplicated at {seq}, collect its whole file")]
    Sequence {
        /// The process.
        process: String,
        /// The expected sequence number.
        seq: u64,
    },
}

/// Result of reading a history.
pub type Result<T> = std::result::Result<T, Error>;

/// Time limits for the checked properties, in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Time until a revoked key is rejected everywhere.
    pub revocation_us: u64,
    /// Time until a drained zone or leaving upstream receives no new work.
    pub departure_us: u64,
    /// Time until every process has applied an accepted revision.
    pub revision_us: u64,
    /// Time until routers detect an upstream that turned cold without warning.
    pub cold_us: u64,
    /// Time until a changed team limit is enforced.
    pub limit_us: u64,
    /// Tolerance for a start or rejection after its deadline.
    pub slack_us: u64,
    /// Timeout of one linearizability check, after which its result is undecided.
    pub search_us: u64,
}

impl Bounds {
    /// Bounds that aren't exceeded on an overloaded machine, for runs with reproducible results.
    /// Violations that don't depend on timing are still detected.
    pub fn untimed() -> Self {
        const LONG_US: u64 = 600_000_000;
        Bounds {
            revocation_us: LONG_US,
            departure_us: LONG_US,
            revision_us: LONG_US,
            cold_us: LONG_US,
            limit_us: LONG_US,
            slack_us: LONG_US,
            ..Bounds::default()
        }
    }
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds {
            revocation_us: 5_000_000,
            departure_us: 5_000_000,
            revision_us: 5_000_000,
            cold_us: 2_000_000,
            limit_us: 5_000_000,
            slack_us: 250_000,
            search_us: 30_000_000,
        }
    }
}

/// Records of a run, and the bounds that checkers apply.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Time limits for the checkers.
    pub bounds: Bounds,
    /// Records ordered by time.
    records: Vec<Record>,
}

impl History {
    /// Creates a history from records in any order.
    ///
    /// # Errors
    ///
    /// Fails if the sequence of a process has a gap or a duplicate, since checkers could miss a
    /// violation in the gap.
    pub fn new(mut records: Vec<Record>, bounds: Bounds) -> Result<Self> {
        records.sort_by(|a, b| (a.at, &a.process, a.seq).cmp(&(b.at, &b.process, b.seq)));
        let mut next_seqs = IndexMap::<&str, u64>::new();
        for record in &records {
            let seq = next_seqs.entry(&record.process).or_default();
            if *seq != record.seq {
                return Err(Error::Sequence { process: record.process.clone(), seq: *seq });
            }
            *seq += 1;
        }
        restore_unfinished(&mut records);
        Ok(History { bounds, records })
    }

    /// Reads a file, or all `.jsonl` files of a directory.
    pub fn read(path: &Path, bounds: Bounds) -> Result<Self> {
        let mut records = Vec::new();
        for file in history_files(path)? {
            read_file(&file, &mut records)?;
        }
        History::new(records, bounds)
    }

    /// Records ordered by time.
    pub fn records(&self) -> &[Record] {
        &self.records
    }

    /// Records with their events, ordered by time.
    pub fn events(&self) -> impl Iterator<Item = (&Record, &Event)> {
        self.records.iter().map(|record| (record, &record.event))
    }

    /// Time of the last record in microseconds; 0 without records.
    pub fn end(&self) -> u64 {
        self.records.last().map_or(0, |record| record.at)
    }
}

/// Replaces each [`Event::Begun`] without a matching [`Event::Ended`] by its operation.
fn restore_unfinished(records: &mut [Record]) {
    let mut ended = IndexSet::new();
    for record in records.iter() {
        if let Event::Ended { scope, number } = &record.event {
            ended.insert((record.process.clone(), scope.clone(), *number));
        }
    }
    for record in records {
        let Event::Begun { scope, number, operation } = &record.event else {
            continue;
        };
        if !ended.contains(&(record.process.clone(), scope.clone(), *number)) {
            record.event = Event::clone(operation);
        }
    }
}

fn history_files(path: &Path) -> Result<Vec<PathBuf>> {
    let read_error = |source| Error::Read { path: path.to_owned(), source };
    if !path.is_dir() {
        return Ok(vec![path.to_owned()]);
    }
    let mut files = Vec::new();
    for entry in fs::read_dir(path).map_err(read_error)? {
        let file = entry.map_err(read_error)?.path();
        if file.extension().is_some_and(|extension| extension == EXTENSION) {
            files.push(file);
        }
    }
    files.sort();
    Ok(files)
}

fn read_file(path: &Path, records: &mut Vec<Record>) -> Result<()> {
    let text =
        fs::read_to_string(path).map_err(|source| Error::Read { path: path.to_owned(), source })?;
    // A process killed during a write leaves an incomplete last line.
    let complete = text.rfind('\n').map_or("", |end| &text[..end]);
    for (index, line) in complete.lines().enumerate() {
        if line.is_empty() {
            continue;
        }
        let record = serde_json::from_str(line).map_err(|source| Error::Parse {
            path: path.to_owned(),
            line: index + 1,
            source,
        })?;
        records.push(record);
    }
    Ok(())
}
