//! The record of a run: what was sent, answered and run, with seconds since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// Writes lines to `record.txt`.
pub struct Record {
    started_at: Instant,
    file: Mutex<File>,
}

impl Record {
    /// Creates the file, replacing that of an earlier run.
    pub fn create(path: &Path) -> Record {
        Record {
            started_at: Instant::now(),
            file: Mutex::new(File::create(path).expect("record.txt is writable")),
        }
    }

    /// Seconds since the start of the run.
    pub fn seconds(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64()
    }

    /// Writes a line.
    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:8.3} {}\n", self.seconds(), text.as_ref());
        let mut file = self.file.lock().expect("record");
        let _ = file.write_all(line.as_bytes());
    }
}
