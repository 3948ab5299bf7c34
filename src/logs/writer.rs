//! Log writer thread, which keeps a slow reader of the log from blocking others.

use std::io::{BufWriter, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;
use std::{fmt, io};

use crossbeam::channel::{Receiver, Sender, bounded};
use log::{Log, Metadata, Record};

/// Capacity of the queue of unwritten lines; lines beyond it are dropped and counted.
const QUEUE_LINES: usize = 8_192;
/// Longest wait for queued lines during a flush.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(2);

enum WriterJob {
    Line {
        text: String,
        /// Number of lines that were dropped right before this one.
        dropped: u64,
    },
    Flush(Sender<()>),
}

/// Queues lines for the writer thread without blocking the caller.
pub struct Writer {
    jobs: Sender<WriterJob>,
    dropped: Arc<AtomicU64>,
}

impl fmt::Debug for Writer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Writer").finish_non_exhaustive()
    }
}

impl Writer {
    /// Starts the thread that writes to `out`; it ends when the writer is dropped.
    pub fn start(out: Box<dyn Write + Send>) -> io::Result<Self> {
        let (jobs, queue) = bounded(QUEUE_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let shared = Arc::clone(&dropped);
        thread::Builder::new()
            .name("logs".into())
            .spawn(move || write_lines(&queue, &shared, BufWriter::new(out)))?;
        Ok(Writer { jobs, dropped })
    }
}

impl Log for Writer {
    fn enabled(&self, _metadata: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        let text = record.args().to_string();
        if self
            .jobs
            .try_send(WriterJob::Line { text, dropped })
            .is_err()
        {
            self.dropped.fetch_add(dropped + 1, Ordering::Relaxed);
        }
    }

    fn flush(&self) {
        let (done, written) = bounded(1);
        if self
            .jobs
            .send_timeout(WriterJob::Flush(done), FLUSH_TIMEOUT)
            .is_ok()
        {
            // On a timeout the reader of the log is stuck; give up.
            let _ = written.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

fn write_lines(queue: &Receiver<WriterJob>, unreported: &AtomicU64, mut out: impl Write) {
    for job in queue {
        match job {
            WriterJob::Line { text, dropped } => {
                write_dropped(&mut out, dropped);
                let _ = writeln!(out, "{text}");
            }
            WriterJob::Flush(done) => {
                write_dropped(&mut out, unreported.swap(0, Ordering::Relaxed));
                let _ = out.flush();
                let _ = done.send(());
            }
        }
        if queue.is_empty() {
            let _ = out.flush();
        }
    }
}

/// Writes the number of dropped lines, if any. Write errors are ignored, as
/// there is nowhere to report them.
fn write_dropped(out: &mut impl Write, dropped: u64) {
    if dropped > 0 {
        let _ = writeln!(
            out,
            "{dropped} log lines were dropped: the reader is too slow"
        );
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::sync::Mutex;

    /// Output whose writes block until the sender of `permit` is dropped.
    struct BlockedOutput {
        permit: Receiver<()>,
        text: Arc<Mutex<Vec<u8>>>,
    }

    impl Write for BlockedOutput {
        fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
            let _ = self.permit.recv();
            self.text.lock().unwrap().write(bytes)
        }

        fn flush(&mut self) -> io::Result<()> {
            Ok(())
        }
    }

    /// Guards against a drop count in the wrong place: lines dropped between two
    /// queued lines are reported between them.
    #[test]
    fn dropped_lines_are_reported_in_their_place() {
        let (jobs, queue) = bounded(4);
        for (text, dropped) in [("a", 0), ("b", 3)] {
            let text = text.to_owned();
            jobs.send(WriterJob::Line { text, dropped }).unwrap();
        }
        drop(jobs);
        let mut out = Vec::new();
        write_lines(&queue, &AtomicU64::new(2), &mut out);
        let expected = "a\n3 log lines were dropped: the reader is too slow\nb\n";
        assert_eq!(String::from_utf8(out).unwrap(), expected);
    }

    #[test]
    fn a_stuck_reader_drops_lines_without_blocking_writers() {
        let (block, permit) = bounded::<()>(0);
        let text = Arc::new(Mutex::new(Vec::new()));
        let output = BlockedOutput {
            permit,
            text: Arc::clone(&text),
        };
        let writer = Writer::start(Box::new(output)).unwrap();
        for i in 0..3 * QUEUE_LINES {
            writer.log(&Record::builder().args(format_args!("line {i}")).build());
        }
        drop(block);
        writer.flush();
        let text = String::from_utf8(text.lock().unwrap().clone()).unwrap();
        assert!(text.starts_with("line 0\n"));
        assert!(text.contains("log lines were dropped"), "{}", text.len());
    }
}
