//! The harness's own history: events of operators and callers, and what the ledgers show.
//!
//! Unlike a daemon, the harness may backdate an event to the time for which it has evidence. It
//! therefore buffers its records until the end of the run and writes them sorted by time.

use std::fs::File;
use std::io;
use std::io::BufWriter;
use std::io::Write;
use std::path::Path;

use corianderyoke_history::Event;
use corianderyoke_history::Record;
use corianderyoke_history::Recorder;
use parking_lot::Mutex;

/// Process name of the harness in the history.
const PROCESS: &str = "harness";

/// Buffered events, each with its time in microseconds.
#[derive(Debug, Default)]
pub struct Journal {
    events: Mutex<Vec<(u64, Event)>>,
}

impl Journal {
    /// Current time of the history's clock, in microseconds.
    pub fn now() -> u64 {
        Recorder::now_us()
    }

    /// Records an event with the current time.
    pub fn record(&self, event: Event) {
        self.record_at(Journal::now(), event);
    }

    /// Records an event with the time `at`, in microseconds of the history's clock.
    pub fn record_at(&self, at: u64, event: Event) {
        self.events.lock().push((at, event));
    }

    /// Writes all records to a new file, sorted by time.
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
