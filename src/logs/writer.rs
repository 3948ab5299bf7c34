//! A thread that writes log lines, so that no other waits for a slow reader.

use std::io::{BufWriter, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;
use std::{fmt, io};

use crossbeam::channel::{Receiver, Sender, bounded};
use log::{Log, Metadata, Record};

/// Lines that may wait to be written; further ones are dropped and counted.
const LINES: usize = 8_192;
/// Longest wait for the lines before a flush.
const FLUSH: Duration = Duration::from_secs(2);

enum Job {
    Line(String),
    Flush(Sender<()>),
}

/// Takes lines from any thread without waiting.
pub struct Writer {
    jobs: Sender<Job>,
    dropped: Arc<AtomicU64>,
}

impl fmt::Debug for Writer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Writer").finish_non_exhaustive()
    }
}

impl Writer {
    /// Starts the thread that writes to `out`; it ends with the writer.
    pub fn start(out: Box<dyn Write + Send>) -> io::Result<Self> {
        let (jobs, queue) = bounded(LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let lost = Arc::clone(&dropped);
        thread::Builder::new()
            .name("logs".into())
            .spawn(move || write(&queue, &lost, BufWriter::new(out)))?;
        Ok(Writer { jobs, dropped })
    }
}

impl Log for Writer {
    fn enabled(&self, _metadata: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let line = Job::Line(record.args().to_string());
        if self.jobs.try_send(line).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn flush(&self) {
        let (done, written) = bounded(1);
        if self.jobs.send_timeout(Job::Flush(done), FLUSH).is_ok() {
            // Without an answer the reader is stuck; nothing more can be done.
            let _ = written.recv_timeout(FLUSH);
        }
    }
}

fn write(queue: &Receiver<Job>, dropped: &AtomicU64, mut out: impl Write) {
    for job in queue {
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            // A log that cannot be written has nowhere to say so.
            let _ = writeln!(out, "{lost} log lines were dropped: the reader is too slow");
        }
        match job {
            Job::Line(line) => {
                let _ = writeln!(out, "{line}");
            }
            Job::Flush(done) => {
                let _ = out.flush();
                let _ = done.send(());
            }
        }
        if queue.is_empty() {
            let _ = out.flush();
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::sync::Mutex;

    /// Output that waits for a permit before its first write.
    struct Gated {
        permit: Receiver<()>,
        text: Arc<Mutex<Vec<u8>>>,
    }

    impl Write for Gated {
        fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
            let _ = self.permit.recv();
            self.text.lock().unwrap().write(bytes)
        }

        fn flush(&mut self) -> io::Result<()> {
            Ok(())
        }
    }

    #[test]
    fn a_stuck_reader_costs_lines_but_blocks_nobody() {
        let (open, permit) = bounded::<()>(0);
        let text = Arc::new(Mutex::new(Vec::new()));
        let gated = Gated {
            permit,
            text: Arc::clone(&text),
        };
        let writer = Writer::start(Box::new(gated)).unwrap();
        for i in 0..3 * LINES {
            writer.log(&Record::builder().args(format_args!("line {i}")).build());
        }
        drop(open);
        writer.flush();
        let text = String::from_utf8(text.lock().unwrap().clone()).unwrap();
        assert!(text.starts_with("line 0\n"));
        assert!(text.contains("log lines were dropped"), "{}", text.len());
    }
}
