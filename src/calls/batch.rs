//! Group commit: writes of many calls in one transaction.

use std::collections::VecDeque;
use std::sync::Arc;
use std::thread;
use std::time::Instant;

use crossbeam::channel::{self, Receiver, Sender};

use crate::config::Name;
use crate::outside::{Table, TableError, Write};

/// New version of the written item, or why it was not written.
pub type Written = Result<u64, TableError>;

struct Job {
    write: Write,
    reply: Sender<Written>,
}

/// Commits `writes`, each on an item of its own, in as few transactions as
/// their conditions allow; the results stand in the order of `writes`.
///
/// A conflict names its item: it is taken out and the others go again.
pub fn commit<T: Table>(table: &T, writes: &[Write]) -> Vec<Written> {
    let mut results: Vec<Option<Written>> = vec![None; writes.len()];
    loop {
        let open: Vec<usize> = (0..writes.len())
            .filter(|i| results[*i].is_none())
            .collect();
        if open.is_empty() {
            break;
        }
        let group: Vec<Write> = open.iter().map(|i| writes[*i].clone()).collect();
        match table.commit(&group) {
            Ok(versions) if versions.len() == open.len() => {
                for (i, version) in open.iter().zip(versions) {
                    results[*i] = Some(Ok(version));
                }
            }
            Ok(_) => {
                let lost = TableError::Unavailable("the answer has another length".into());
                fail(&mut results, &open, &lost);
            }
            Err(TableError::Conflict { key, current }) => {
                let Some(i) = open.iter().find(|i| writes[**i].key == key) else {
                    singly(table, writes, &mut results, &open);
                    break;
                };
                results[*i] = Some(Err(TableError::Conflict { key, current }));
            }
            Err(TableError::Refused(_)) if open.len() > 1 => {
                singly(table, writes, &mut results, &open);
            }
            Err(error) => fail(&mut results, &open, &error),
        }
    }
    results.into_iter().flatten().collect()
}

fn fail(results: &mut [Option<Written>], open: &[usize], error: &TableError) {
    for i in open {
        results[*i] = Some(Err(error.clone()));
    }
}

fn singly<T: Table>(table: &T, writes: &[Write], results: &mut [Option<Written>], open: &[usize]) {
    for i in open {
        let one = table.commit(std::slice::from_ref(&writes[*i]));
        results[*i] = Some(one.and_then(|versions| {
            let lost = || TableError::Unavailable("the answer is empty".into());
            versions.first().copied().ok_or_else(lost)
        }));
    }
}

/// Hands writes to the thread that commits them in groups.
#[derive(Clone)]
pub struct Writer {
    jobs: Sender<Job>,
}

impl Writer {
    /// Starts the thread; it ends when every clone of the writer is dropped.
    pub fn start<T: Table>(table: Arc<T>, most: usize) -> Writer {
        let (jobs, queue) = channel::bounded(most * 4);
        let name = "call-writes".to_owned();
        let spawned = thread::Builder::new().name(name);
        spawned
            .spawn(move || work(table.as_ref(), &queue, most))
            .expect("a thread can be started");
        Writer { jobs }
    }

    /// Commits one write; no answer by `until` counts as a lost answer.
    pub fn write(&self, write: Write, until: Instant) -> Written {
        let (reply, answer) = channel::bounded(1);
        let late = || TableError::Unavailable("no answer before the deadline".into());
        let job = Job { write, reply };
        self.jobs.send_deadline(job, until).map_err(|_| late())?;
        answer.recv_deadline(until).map_err(|_| late())?
    }
}

fn work<T: Table>(table: &T, queue: &Receiver<Job>, most: usize) {
    let mut waiting = VecDeque::new();
    loop {
        if waiting.is_empty() {
            let Ok(job) = queue.recv() else {
                return;
            };
            waiting.push_back(job);
        }
        waiting.extend(queue.try_iter().take(most));
        let group = group(&mut waiting, most, |j| &j.write.key);
        let writes: Vec<Write> = group.iter().map(|j| j.write.clone()).collect();
        for (job, result) in group.iter().zip(commit(table, &writes)) {
            let _ = job.reply.try_send(result);
        }
    }
}

/// Takes up to `most` entries on different items; the others keep their order.
pub fn group<E>(left: &mut VecDeque<E>, most: usize, item: impl Fn(&E) -> &Name) -> Vec<E> {
    let mut group: Vec<E> = Vec::new();
    let mut rest = VecDeque::new();
    for entry in left.drain(..) {
        let taken = group.iter().any(|g| item(g) == item(&entry));
        if taken || group.len() >= most {
            rest.push_back(entry);
            continue;
        }
        group.push(entry);
    }
    *left = rest;
    group
}
