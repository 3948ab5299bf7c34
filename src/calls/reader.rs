//! Threads that read the table for callers with a deadline.

use std::sync::Arc;
use std::thread;
use std::time::Instant;

use crossbeam::channel::{self, Receiver, Sender};

use crate::config::Name;
use crate::outside::{Item, Table, TableError};

/// The item, or why it could not be read.
pub type Found = Result<Option<Item>, TableError>;

struct Job {
    item: Name,
    until: Instant,
    reply: Sender<Found>,
}

/// Hands reads to a few threads, so that a slow table holds no caller beyond
/// its deadline.
#[derive(Clone)]
pub struct Reader {
    jobs: Sender<Job>,
}

impl Reader {
    /// Starts `threads` threads; they end when every clone is dropped.
    pub fn start<T: Table>(table: &Arc<T>, threads: usize) -> Reader {
        let (jobs, queue) = channel::bounded(threads * 64);
        for number in 0..threads {
            let table = table.clone();
            let queue: Receiver<Job> = queue.clone();
            let named = thread::Builder::new().name(format!("call-reads-{number}"));
            named
                .spawn(move || {
                    for job in queue {
                        if Instant::now() >= job.until {
                            continue;
                        }
                        let _ = job.reply.try_send(table.get(&job.item));
                    }
                })
                .expect("a thread can be started");
        }
        Reader { jobs }
    }

    /// Reads one item; no answer by `until` counts as an error.
    pub fn get(&self, item: &Name, until: Instant) -> Found {
        let (reply, answer) = channel::bounded(1);
        let late = || TableError::Unavailable("no answer before the deadline".into());
        let job = Job {
            item: item.clone(),
            until,
            reply,
        };
        self.jobs.send_deadline(job, until).map_err(|_| late())?;
        answer.recv_deadline(until).map_err(|_| late())?
    }
}
