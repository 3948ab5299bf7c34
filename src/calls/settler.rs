//! Writes the ends of attempts to the table in the background.

use std::collections::VecDeque;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crossbeam::channel::{self, Receiver, RecvTimeoutError, Sender};

use super::attempt_store::AttemptStore;
use super::batch::{WriteResult, commit_writes, take_batch};
use crate::config::Name;
use crate::outside::{Item, Precondition, Table, TableError, Write, WriteOp};
use crate::protocol::calls::{CallRecord, settled_record};

/// End of an attempt that is not yet in the table.
#[derive(Clone, Debug)]
pub struct AttemptEnd {
    /// Key of the record.
    pub record_key: Name,
    /// Record of the ended attempt.
    pub record: CallRecord,
    /// Condition of the write, from the last known state of the table.
    pub expect: Precondition,
}

/// Handle of the thread that writes ends and retries until they are in the table.
#[derive(Clone)]
pub struct AttemptSettler {
    ends: Sender<AttemptEnd>,
}

impl AttemptSettler {
    /// Starts the thread; it ends when all clones of the settler are dropped, after
    /// one last batch of the pending ends is written.
    pub fn start<T: Table>(
        table: Arc<T>,
        attempts: Arc<AttemptStore>,
        max_batch: usize,
        retry_delay: Duration,
    ) -> Self {
        let (ends, queue) = channel::unbounded();
        let builder = thread::Builder::new().name("call-settle".to_owned());
        let worker = SettleWorker {
            table,
            attempts,
            max_batch,
            retry_delay,
        };
        builder
            .spawn(move || worker.run(&queue))
            .expect("a thread can be started");
        AttemptSettler { ends }
    }

    /// Queues an end. [`AttemptStore`] bounds their number.
    pub fn enqueue(&self, end: AttemptEnd) {
        let _ = self.ends.send(end);
    }
}

struct SettleWorker<T> {
    table: Arc<T>,
    attempts: Arc<AttemptStore>,
    max_batch: usize,
    retry_delay: Duration,
}

impl<T: Table> SettleWorker<T> {
    fn run(&self, queue: &Receiver<AttemptEnd>) {
        let mut pending = VecDeque::new();
        loop {
            let is_open = self.receive_ends(queue, &mut pending);
            if !self.write_batch(&mut pending) {
                thread::sleep(self.retry_delay);
            }
            if !is_open {
                return;
            }
        }
    }

    /// Receives ends, and waits for one if none is pending; returns false when the
    /// channel is closed.
    fn receive_ends(
        &self,
        queue: &Receiver<AttemptEnd>,
        pending: &mut VecDeque<AttemptEnd>,
    ) -> bool {
        let timeout = match pending.is_empty() {
            true => Duration::MAX,
            false => Duration::ZERO,
        };
        match queue.recv_timeout(timeout) {
            Ok(end) => pending.push_back(end),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return false,
        }
        pending.extend(queue.try_iter());
        true
    }

    /// Writes one batch; returns false when the table was unavailable.
    fn write_batch(&self, pending: &mut VecDeque<AttemptEnd>) -> bool {
        let batch = take_batch(pending, self.max_batch, |e| &e.record_key);
        let writes: Vec<Write> = batch.iter().map(to_write).collect();
        let mut is_available = true;
        for (end, result) in batch
            .into_iter()
            .zip(commit_writes(self.table.as_ref(), &writes))
        {
            is_available &= !matches!(result, Err(TableError::Unavailable(_)));
            if let Some(end) = self.handle_result(end, result) {
                pending.push_back(end);
            }
        }
        is_available
    }

    /// Returns the end if it has to be written again, else marks its attempt as
    /// settled.
    fn handle_result(&self, end: AttemptEnd, result: WriteResult) -> Option<AttemptEnd> {
        match result {
            Err(TableError::Unavailable(_)) => return Some(end),
            Err(TableError::Conflict { current, .. }) => {
                if let Some(next) = rebase(&end, current) {
                    return Some(next);
                }
            }
            Err(TableError::Refused(reason)) => {
                log::error!(
                    "the table rejected the call record {}: {reason}",
                    end.record_key
                );
            }
            Ok(_) => {}
        }
        self.attempts.mark_settled(&end.record.attempt.id);
        None
    }
}

/// Returns the end with the condition for the record in the table; `None` when
/// nothing has to be written.
fn rebase(end: &AttemptEnd, current: Option<Item>) -> Option<AttemptEnd> {
    let Some(current) = current else {
        return Some(AttemptEnd {
            expect: Precondition::Absent,
            ..end.clone()
        });
    };
    let stored = match serde_json::from_value::<CallRecord>(current.value) {
        Ok(stored) => stored,
        Err(error) => {
            log::error!("cannot parse the call record {}: {error}", end.record_key);
            return None;
        }
    };
    settled_record(Some(&stored), &end.record).map(|record| AttemptEnd {
        record_key: end.record_key.clone(),
        record,
        expect: Precondition::Version(current.version),
    })
}

fn to_write(end: &AttemptEnd) -> Write {
    put_record(&end.record_key, &end.record, end.expect)
}

/// Returns the write that stores `record`.
pub fn put_record(record_key: &Name, record: &CallRecord, expect: Precondition) -> Write {
    let value = serde_json::to_value(record).expect("a record has a JSON form");
    Write {
        key: record_key.clone(),
        expect,
        op: WriteOp::Put(value),
    }
}
