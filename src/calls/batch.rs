//! Group commit: writes the records of many calls in one transaction.

use std::collections::VecDeque;
use std::sync::Arc;
use std::thread;
use std::time::Instant;

use crossbeam::channel::{self, Receiver, Sender};

use crate::config::Name;
use crate::outside::{Table, TableError, Write};

/// New version of the written item, or the error.
pub type WriteResult = Result<u64, TableError>;

struct WriteJob {
    write: Write,
    reply: Sender<WriteResult>,
}

/// Commits `writes`, each to a different item, in as few transactions as their
/// conditions allow; returns the results in the order of `writes`.
///
/// A conflict names its item: that write fails and the others are retried.
pub fn commit_writes<T: Table>(table: &T, writes: &[Write]) -> Vec<WriteResult> {
    let mut results: Vec<Option<WriteResult>> = vec![None; writes.len()];
    loop {
        let pending: Vec<usize> = (0..writes.len())
            .filter(|i| results[*i].is_none())
            .collect();
        if pending.is_empty() {
            break;
        }
        let batch: Vec<Write> = pending.iter().map(|i| writes[*i].clone()).collect();
        match table.commit(&batch) {
            Ok(versions) if versions.len() == pending.len() => {
                for (i, version) in pending.iter().zip(versions) {
                    results[*i] = Some(Ok(version));
                }
            }
            Ok(_) => {
                let error =
                    TableError::Unavailable("the table returned a wrong number of versions".into());
                fail_all(&mut results, &pending, &error);
            }
            Err(TableError::Conflict { key, current }) => {
                let Some(i) = pending.iter().find(|i| writes[**i].key == key) else {
                    // The conflict names none of the written items.
                    commit_singly(table, writes, &mut results, &pending);
                    break;
                };
                results[*i] = Some(Err(TableError::Conflict { key, current }));
            }
            // A refusal does not name the refused write.
            Err(TableError::Refused(_)) if pending.len() > 1 => {
                commit_singly(table, writes, &mut results, &pending);
            }
            Err(error) => fail_all(&mut results, &pending, &error),
        }
    }
    results.into_iter().flatten().collect()
}

fn fail_all(results: &mut [Option<WriteResult>], pending: &[usize], error: &TableError) {
    for i in pending {
        results[*i] = Some(Err(error.clone()));
    }
}

/// Commits each write in a transaction of its own.
fn commit_singly<T: Table>(
    table: &T,
    writes: &[Write],
    results: &mut [Option<WriteResult>],
    pending: &[usize],
) {
    for i in pending {
        let result = table.commit(std::slice::from_ref(&writes[*i]));
        results[*i] = Some(result.and_then(|versions| {
            let error = || TableError::Unavailable("the table returned no version".into());
            versions.first().copied().ok_or_else(error)
        }));
    }
}

/// Handle of the thread that commits writes in batches.
#[derive(Clone)]
pub struct BatchWriter {
    jobs: Sender<WriteJob>,
}

impl BatchWriter {
    /// Starts the thread; it ends when all clones of the writer are dropped.
    pub fn start<T: Table>(table: Arc<T>, max_batch: usize) -> BatchWriter {
        let (jobs, queue) = channel::bounded(max_batch * 4);
        let name = "call-writes".to_owned();
        let builder = thread::Builder::new().name(name);
        builder
            .spawn(move || commit_jobs(table.as_ref(), &queue, max_batch))
            .expect("a thread can be started");
        BatchWriter { jobs }
    }

    /// Commits one write. Without a result by `deadline` it returns `Unavailable`,
    /// and the write may still take effect.
    pub fn write(&self, write: Write, deadline: Instant) -> WriteResult {
        let (reply, response) = channel::bounded(1);
        let timed_out = || TableError::Unavailable("no response before the deadline".into());
        let job = WriteJob { write, reply };
        self.jobs
            .send_deadline(job, deadline)
            .map_err(|_| timed_out())?;
        response.recv_deadline(deadline).map_err(|_| timed_out())?
    }
}

fn commit_jobs<T: Table>(table: &T, queue: &Receiver<WriteJob>, max_batch: usize) {
    let mut waiting = VecDeque::new();
    loop {
        if waiting.is_empty() {
            let Ok(job) = queue.recv() else {
                return;
            };
            waiting.push_back(job);
        }
        waiting.extend(queue.try_iter().take(max_batch));
        let batch = take_batch(&mut waiting, max_batch, |j| &j.write.key);
        let writes: Vec<Write> = batch.iter().map(|j| j.write.clone()).collect();
        for (job, result) in batch.iter().zip(commit_writes(table, &writes)) {
            let _ = job.reply.try_send(result);
        }
    }
}

/// Removes up to `max_batch` entries with different keys; the others keep their
/// order.
pub fn take_batch<E>(
    pending: &mut VecDeque<E>,
    max_batch: usize,
    key: impl Fn(&E) -> &Name,
) -> Vec<E> {
    let mut batch: Vec<E> = Vec::new();
    let mut rest = VecDeque::new();
    for entry in pending.drain(..) {
        let is_duplicate = batch.iter().any(|e| key(e) == key(&entry));
        if is_duplicate || batch.len() >= max_batch {
            rest.push_back(entry);
            continue;
        }
        batch.push(entry);
    }
    *pending = rest;
    batch
}
