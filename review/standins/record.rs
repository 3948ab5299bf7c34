//! The record of a run.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    pub fn create(path: &str) -> Arc<Self> {
        let file = File::create(path).expect("a record");
        Arc::new(Record {
            file: Mutex::new(file),
            started: Instant::now(),
        })
    }

    pub fn line(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:8.3} {text}");
    }

    /// Time since the start, s.
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }
}
