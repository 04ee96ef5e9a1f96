//! A history: the records of all processes in the order of their times.

use std::fs;
use std::io;
use std::path::Path;
use std::path::PathBuf;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::event::Event;
use crate::event::Record;

/// Ending of the names of history files in a directory.
const EXTENSION: &str = "jsonl";

/// Errors of reading a history.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A file couldn't be read.
    #[error("can't read {path}, check that the run wrote it: {source}")]
    Read {
        /// The file.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// A line isn't a record.
    #[error("line {line} of {path} isn't a record, check that the versions agree: {source}")]
    Parse {
        /// The file.
        path: PathBuf,
        /// Line number from 1.
        line: usize,
        /// Why.
        source: serde_json::Error,
    },
    /// A process's records have a gap or come twice.
    #[error("records of `{process}` are missing or doubled around {seq}, collect its file whole")]
    Sequence {
        /// The process.
        process: String,
        /// The sequence number that had to come.
        seq: u64,
    },
}

/// Result of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// Within what times the properties have to hold, in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// A withdrawn key stops working.
    pub revocation_us: u64,
    /// A zone that was taken out, or a leaving upstream, gets no new work.
    pub departure_us: u64,
    /// An accepted revision is in force everywhere.
    pub revision_us: u64,
    /// An upstream that turned cold without warning is found out.
    pub cold_us: u64,
    /// A changed team limit is in force.
    pub limit_us: u64,
    /// Lateness of a start or refusal that still counts as in time.
    pub slack_us: u64,
    /// Time for one linearizability check, after which its result is unknown.
    pub search_us: u64,
}

impl Bounds {
    /// Bounds that no load of the machine exceeds, for runs whose verdict must be the same each
    /// time. What is never done, or done and mustn't be, still shows.
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

/// Records of a run with the bounds to check them by.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Bounds.
    pub bounds: Bounds,
    /// Records in the order of their times.
    records: Vec<Record>,
}

impl History {
    /// A history of these records, in any order.
    ///
    /// # Errors
    ///
    /// Fails when a process's sequence has a gap or a double, since a checker could miss a fault
    /// that lies in the gap.
    pub fn new(mut records: Vec<Record>, bounds: Bounds) -> Result<Self> {
        records.sort_by(|a, b| (a.at, &a.process, a.seq).cmp(&(b.at, &b.process, b.seq)));
        let mut next = IndexMap::<&str, u64>::new();
        for record in &records {
            let seq = next.entry(&record.process).or_default();
            if *seq != record.seq {
                return Err(Error::Sequence { process: record.process.clone(), seq: *seq });
            }
            *seq += 1;
        }
        open_unfinished(&mut records);
        Ok(History { bounds, records })
    }

    /// Reads a file, or all files ending in `.jsonl` of a directory.
    pub fn read(path: &Path, bounds: Bounds) -> Result<Self> {
        let mut records = Vec::new();
        for file in files(path)? {
            read_file(&file, &mut records)?;
        }
        History::new(records, bounds)
    }

    /// The records in the order of their times.
    pub fn records(&self) -> &[Record] {
        &self.records
    }

    /// The events with their times.
    pub fn events(&self) -> impl Iterator<Item = (&Record, &Event)> {
        self.records.iter().map(|record| (record, &record.event))
    }

    /// Time of the last record.
    pub fn end(&self) -> u64 {
        self.records.last().map_or(0, |record| record.at)
    }
}

/// Puts operations whose process died before their outcome was known in place of their beginning.
fn open_unfinished(records: &mut [Record]) {
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

fn files(path: &Path) -> Result<Vec<PathBuf>> {
    let read = |source| Error::Read { path: path.to_owned(), source };
    if !path.is_dir() {
        return Ok(vec![path.to_owned()]);
    }
    let mut files = Vec::new();
    for entry in fs::read_dir(path).map_err(read)? {
        let file = entry.map_err(read)?.path();
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
    // A process that was killed while it wrote leaves half a line at the end.
    let whole = text.rfind('\n').map_or("", |end| &text[..end]);
    for (index, line) in whole.lines().enumerate() {
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
