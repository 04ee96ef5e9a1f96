//! Recording of events.

use std::fs::File;
use std::fs::OpenOptions;
use std::io;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;

use nix::time::clock_gettime;
use nix::time::ClockId;
use parking_lot::Mutex;

use crate::event::Event;
use crate::event::Record;

/// Microseconds of a second.
const SECOND_US: u64 = 1_000_000;
/// Nanoseconds of a microsecond.
const MICRO_NS: u64 = 1_000;

/// Records events of one process; clones share their sequence. A recorder that is off costs one
/// comparison an event.
#[derive(Clone, Debug, Default)]
pub struct Recorder {
    shared: Option<Arc<Shared>>,
}

#[derive(Debug)]
struct Shared {
    process: String,
    log: Mutex<Log>,
}

#[derive(Debug)]
struct Log {
    seq: u64,
    sink: Sink,
}

#[derive(Debug)]
enum Sink {
    Memory(Vec<Record>),
    File(File),
}

impl Recorder {
    /// A recorder that records nothing.
    pub fn off() -> Self {
        Recorder::default()
    }

    /// A recorder that keeps its records in memory, for [`Recorder::records`].
    pub fn memory(process: &str) -> Self {
        Recorder::new(process, Sink::Memory(Vec::new()))
    }

    /// A recorder that appends to a file, one write a record, so that a killed process loses
    /// nothing and several processes can share a file.
    pub fn file(process: &str, path: &Path) -> io::Result<Self> {
        let file = OpenOptions::new().append(true).create(true).open(path)?;
        Ok(Recorder::new(process, Sink::File(file)))
    }

    /// Whether events are recorded.
    pub fn is_on(&self) -> bool {
        self.shared.is_some()
    }

    /// Records the event that `event` makes, which isn't called when the recorder is off.
    pub fn record(&self, event: impl FnOnce() -> Event) {
        if let Some(shared) = &self.shared {
            shared.push(event());
        }
    }

    /// The records kept in memory so far.
    pub fn records(&self) -> Vec<Record> {
        let Some(shared) = &self.shared else {
            return Vec::new();
        };
        match &shared.log.lock().sink {
            Sink::Memory(records) => records.clone(),
            Sink::File(_) => Vec::new(),
        }
    }

    /// Now, in microseconds on the machine's monotonic clock, as records carry it.
    pub fn now_us() -> u64 {
        // Every machine that we run on has this clock; without it all times are zero.
        let Ok(now) = clock_gettime(ClockId::CLOCK_MONOTONIC) else {
            return 0;
        };
        let seconds = u64::try_from(now.tv_sec()).unwrap_or_default();
        let nanos = u64::try_from(now.tv_nsec()).unwrap_or_default();
        seconds * SECOND_US + nanos / MICRO_NS
    }

    fn new(process: &str, sink: Sink) -> Self {
        let log = Mutex::new(Log { seq: 0, sink });
        let shared = Shared { process: process.to_owned(), log };
        Recorder { shared: Some(Arc::new(shared)) }
    }
}

impl Shared {
    fn push(&self, event: Event) {
        // The time is read under the lock, so that it never falls along the sequence.
        let mut log = self.log.lock();
        let record =
            Record { process: self.process.clone(), seq: log.seq, at: Recorder::now_us(), event };
        log.seq += 1;
        match &mut log.sink {
            Sink::Memory(records) => records.push(record),
            Sink::File(file) => write_line(file, &record),
        }
    }
}

/// Writes a record in one call. A failure only makes the history shorter, and the reader sees the
/// gap in the sequence.
fn write_line(file: &mut File, record: &Record) {
    if let Ok(mut line) = serde_json::to_vec(record) {
        line.push(b'\n');
        let _ = file.write_all(&line);
    }
}
