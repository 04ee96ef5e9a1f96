//! What the harness itself records: the operators' and callers' events and the ledgers.
//!
//! Unlike a daemon the harness may date an event back, to the moment for which its evidence holds,
//! so its records are kept until the end of the run and written in the order of their times.

use std::fs::File;
use std::io;
use std::io::BufWriter;
use std::io::Write;
use std::path::Path;

use corianderyoke_history::Event;
use corianderyoke_history::Record;
use corianderyoke_history::Recorder;
use parking_lot::Mutex;

/// Name of the harness in its records.
const PROCESS: &str = "harness";

/// Events of the harness.
#[derive(Debug, Default)]
pub struct Journal {
    events: Mutex<Vec<(u64, Event)>>,
}

impl Journal {
    /// Now on the clock of the records, in microseconds.
    pub fn now() -> u64 {
        Recorder::now_us()
    }

    /// Records an event now.
    pub fn note(&self, event: Event) {
        self.note_at(Journal::now(), event);
    }

    /// Records an event of another time.
    pub fn note_at(&self, at: u64, event: Event) {
        self.events.lock().push((at, event));
    }

    /// Writes all records to a new file.
    pub fn write(&self, path: &Path) -> io::Result<()> {
        let mut events = self.events.lock().clone();
        events.sort_by_key(|(at, _)| *at);
        let mut file = BufWriter::new(File::create(path)?);
        for (seq, (at, event)) in (0..).zip(events) {
            let record = Record { process: PROCESS.to_owned(), seq, at, event };
            serde_json::to_writer(&mut file, &record)?;
            file.write_all(b"\n")?;
        }
        file.flush()
    }
}
