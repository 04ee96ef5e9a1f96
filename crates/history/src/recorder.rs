//! Records the events of one process to memory or a file.

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

/// Microseconds per second.
const SECOND_US: u64 = 1_000_000;
/// Nanoseconds per microsecond.
const MICRO_NS: u64 = 1_000;

/// Records the events of one process. Clones share one sequence. A disabled recorder costs one
/// comparison per event.
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
    /// Creates a disabled recorder.
    pub fn off() -> Self {
        Recorder::default()
    }

    /// Creates a recorder that stores records in memory, for [`Recorder::records`].
    pub fn memory(process: &str) -> Self {
        Recorder::new(process, Sink::Memory(Vec::new()))
    }

    /// Creates a recorder that appends to a file. Each record is one write, so that a killed
    /// process loses no completed record and several processes can share the file.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be opened.
    pub fn file(process: &str, path: &Path) -> io::Result<Self> {
        let file = OpenOptions::new().append(true).create(true).open(path)?;
        Ok(Recorder::new(process, Sink::File(file)))
    }

    /// Whether the recorder is enabled.
    pub fn is_on(&self) -> bool {
        self.shared.is_some()
    }

    /// Records the event that `event` returns. A disabled recorder doesn't call `event`.
    pub fn record(&self, event: impl FnOnce() -> Event) {
        if let Some(shared) = &self.shared {
            shared.append(event());
        }
    }

    /// Records stored in memory; empty for other recorders.
    pub fn records(&self) -> Vec<Record> {
        let Some(shared) = &self.shared else {
            return Vec::new();
        };
        match &shared.log.lock().sink {
            Sink::Memory(records) => records.clone(),
            Sink::File(_) => Vec::new(),
        }
    }

    /// Current time in microseconds on the machine's monotonic clock, as in [`Record::at`].
    pub fn now_us() -> u64 {
        // All supported machines have this clock; without it all times are zero.
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
    fn append(&self, event: Event) {
        // Reading the time under the lock keeps times in sequence order.
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

/// Writes a record in one call. Errors are ignored; the reader detects the gap in the sequence.
fn write_line(file: &mut File, record: &Record) {
    if let Ok(mut line) = serde_json::to_vec(record) {
        line.push(b'\n');
        let _ = file.write_all(&line);
    }
}
