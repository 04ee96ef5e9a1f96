//! Record of what was sent, answered and run, with the time since the start of the case.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// Record of a case.
pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    /// Creates the file, or replaces that of an earlier run.
    pub fn create(path: &Path) -> std::io::Result<Record> {
        Ok(Record { start: Instant::now(), file: Mutex::new(File::create(path)?) })
    }

    /// Writes a line.
    pub fn write(&self, line: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        // A record that can't be written shows as an empty file.
        let _ = writeln!(file, "{at:9.3} s  {line}");
    }
}
