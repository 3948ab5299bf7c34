//! Reads the table on threads of its own, with a deadline.

use std::sync::Arc;
use std::thread;
use std::time::Instant;

use crossbeam::channel::{self, Receiver, Sender};

use crate::config::Name;
use crate::outside::{Item, Table, TableError};

/// The item, or the error.
pub type ReadResult = Result<Option<Item>, TableError>;

struct ReadJob {
    record_key: Name,
    deadline: Instant,
    reply: Sender<ReadResult>,
}

/// Handle of the reader threads, with which a slow table does not block a caller
/// beyond its deadline.
#[derive(Clone)]
pub struct TableReader {
    jobs: Sender<ReadJob>,
}

impl TableReader {
    /// Starts `threads` threads; they end when all clones of the reader are dropped.
    pub fn start<T: Table>(table: &Arc<T>, threads: usize) -> TableReader {
        let (jobs, queue) = channel::bounded(threads * 64);
        for number in 0..threads {
            let table = table.clone();
            let queue: Receiver<ReadJob> = queue.clone();
            let builder = thread::Builder::new().name(format!("call-reads-{number}"));
            builder
                .spawn(move || {
                    for job in queue {
                        if Instant::now() >= job.deadline {
                            continue;
                        }
                        let _ = job.reply.try_send(table.get(&job.record_key));
                    }
                })
                .expect("a thread can be started");
        }
        TableReader { jobs }
    }

    /// Reads one item; returns `Unavailable` without a result by `deadline`.
    pub fn get(&self, record_key: &Name, deadline: Instant) -> ReadResult {
        let (reply, response) = channel::bounded(1);
        let timed_out = || TableError::Unavailable("no response before the deadline".into());
        let job = ReadJob {
            record_key: record_key.clone(),
            deadline,
            reply,
        };
        self.jobs
            .send_deadline(job, deadline)
            .map_err(|_| timed_out())?;
        response.recv_deadline(deadline).map_err(|_| timed_out())?
    }
}
