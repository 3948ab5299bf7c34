//! What was sent, answered and run, in the order of time.

use std::fs;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    started: Instant,
    lines: Mutex<Vec<String>>,
}

impl Default for Record {
    fn default() -> Self {
        Record {
            started: Instant::now(),
            lines: Mutex::default(),
        }
    }
}

impl Record {
    pub fn add(&self, line: &str) {
        let at = self.started.elapsed().as_secs_f64();
        self.lines
            .lock()
            .unwrap()
            .push(format!("{at:8.3} s  {line}"));
    }

    /// Returns the time since the start, ms.
    pub fn ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn write(&self, folder: &Path) {
        let lines = self.lines.lock().unwrap();
        let text = lines.join("\n") + "\n";
        if let Err(error) = fs::write(folder.join("record.txt"), text) {
            eprintln!("the record is not written: {error}");
        }
    }
}
