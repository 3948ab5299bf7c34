//! Background writing of the ends of attempts.

use std::collections::VecDeque;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crossbeam::channel::{self, Receiver, RecvTimeoutError, Sender};

use super::batch::{Written, commit, group};
use super::held::Held;
use crate::config::Name;
use crate::outside::{Item, Precondition, Table, TableError, Write, WriteOp};
use crate::protocol::calls::{CallRecord, settle};

/// An end that the table has not taken.
#[derive(Clone, Debug)]
pub struct Ending {
    /// Key of the record.
    pub item: Name,
    /// The attempt with its end.
    pub record: CallRecord,
    /// State in which the table was last seen.
    pub expect: Precondition,
}

/// Hands endings to the thread that writes them until the table takes them.
#[derive(Clone)]
pub struct Settler {
    endings: Sender<Ending>,
}

impl Settler {
    /// Starts the thread; it ends when every clone is dropped, after one last
    /// try of what is left.
    pub fn start<T: Table>(table: Arc<T>, held: Arc<Held>, most: usize, retry: Duration) -> Self {
        let (endings, queue) = channel::unbounded();
        let named = thread::Builder::new().name("call-settle".to_owned());
        let work = Work {
            table,
            held,
            most,
            retry,
        };
        named
            .spawn(move || work.run(&queue))
            .expect("a thread can be started");
        Settler { endings }
    }

    /// Queues an ending. [`Held`] bounds their number.
    pub fn push(&self, ending: Ending) {
        let _ = self.endings.send(ending);
    }
}

struct Work<T> {
    table: Arc<T>,
    held: Arc<Held>,
    most: usize,
    retry: Duration,
}

impl<T: Table> Work<T> {
    fn run(&self, queue: &Receiver<Ending>) {
        let mut left = VecDeque::new();
        loop {
            let open = self.fill(queue, &mut left);
            if !self.round(&mut left) {
                thread::sleep(self.retry);
            }
            if !open {
                return;
            }
        }
    }

    /// Waits for endings; false when no more will come.
    fn fill(&self, queue: &Receiver<Ending>, left: &mut VecDeque<Ending>) -> bool {
        let wait = match left.is_empty() {
            true => Duration::MAX,
            false => Duration::ZERO,
        };
        match queue.recv_timeout(wait) {
            Ok(ending) => left.push_back(ending),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return false,
        }
        left.extend(queue.try_iter());
        true
    }

    /// Writes one group; false when the table did not answer.
    fn round(&self, left: &mut VecDeque<Ending>) -> bool {
        let group = group(left, self.most, |e| &e.item);
        let writes: Vec<Write> = group.iter().map(write).collect();
        let mut answered = true;
        for (ending, result) in group.into_iter().zip(commit(self.table.as_ref(), &writes)) {
            answered &= !matches!(result, Err(TableError::Unavailable(_)));
            if let Some(ending) = self.next(ending, result) {
                left.push_back(ending);
            }
        }
        answered
    }

    /// What is left to do for an ending.
    fn next(&self, ending: Ending, result: Written) -> Option<Ending> {
        match result {
            Err(TableError::Unavailable(_)) => return Some(ending),
            Err(TableError::Conflict { current, .. }) => {
                if let Some(next) = against(&ending, current) {
                    return Some(next);
                }
            }
            Err(TableError::Refused(reason)) => {
                log::error!("the table refused the record {}: {reason}", ending.item);
            }
            Ok(_) => {}
        }
        self.held.settled(&ending.record.attempt.id);
        None
    }
}

/// The ending against the record that the table has; `None` when nothing is
/// left to write.
fn against(ending: &Ending, current: Option<Item>) -> Option<Ending> {
    let Some(current) = current else {
        return Some(Ending {
            expect: Precondition::Absent,
            ..ending.clone()
        });
    };
    let found = match serde_json::from_value::<CallRecord>(current.value) {
        Ok(found) => found,
        Err(error) => {
            log::error!("the record {} is not readable: {error}", ending.item);
            return None;
        }
    };
    settle(Some(&found), &ending.record).map(|record| Ending {
        item: ending.item.clone(),
        record,
        expect: Precondition::Version(current.version),
    })
}

fn write(ending: &Ending) -> Write {
    put(&ending.item, &ending.record, ending.expect)
}

/// The write that puts `record`.
pub fn put(item: &Name, record: &CallRecord, expect: Precondition) -> Write {
    let value = serde_json::to_value(record).expect("a record has a JSON form");
    Write {
        key: item.clone(),
        expect,
        op: WriteOp::Put(value),
    }
}
