//! This host's own attempts, kept in memory.

use std::collections::{HashMap, VecDeque};
use std::sync::{Mutex, MutexGuard};

use crate::config::Name;
use crate::protocol::calls::{CallRecord, CallState};

struct Entry {
    item: Name,
    record: CallRecord,
    settled: bool,
}

#[derive(Default)]
struct Inner {
    attempts: HashMap<Name, Entry>,
    items: HashMap<Name, Vec<Name>>,
    settled: VecDeque<Name>,
}

/// Attempts of this host by id. Those that the table has not taken stay; of
/// the others the oldest are dropped first.
pub struct Held {
    most: usize,
    inner: Mutex<Inner>,
}

impl Held {
    /// Room for `most` attempts.
    pub fn new(most: usize) -> Held {
        Held {
            most,
            inner: Mutex::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Adds an attempt before its start is written; false when all room is
    /// taken by attempts that the table has not taken.
    pub fn begin(&self, item: &Name, record: &CallRecord) -> bool {
        let mut inner = self.lock();
        while inner.attempts.len() >= self.most {
            let Some(oldest) = inner.settled.pop_front() else {
                return false;
            };
            inner.remove(&oldest);
        }
        let id = &record.attempt.id;
        let entry = Entry {
            item: item.clone(),
            record: record.clone(),
            settled: false,
        };
        inner.attempts.insert(id.clone(), entry);
        inner
            .items
            .entry(item.clone())
            .or_default()
            .push(id.clone());
        true
    }

    /// Drops an attempt whose start was surely not written.
    pub fn forget(&self, id: &str) {
        self.lock().remove(id);
    }

    /// Sets the end of an attempt.
    pub fn end(&self, id: &str, state: CallState) -> Option<CallRecord> {
        let mut inner = self.lock();
        let entry = inner.attempts.get_mut(id)?;
        entry.record.state = state;
        Some(entry.record.clone())
    }

    /// The table has taken the end of the attempt.
    pub fn settled(&self, id: &Name) {
        let mut inner = self.lock();
        let Some(entry) = inner.attempts.get_mut(id) else {
            return;
        };
        if entry.settled {
            return;
        }
        entry.settled = true;
        inner.settled.push_back(id.clone());
    }

    /// Number of attempts that the table has not taken.
    pub fn unsettled(&self) -> usize {
        let inner = self.lock();
        inner.attempts.len() - inner.settled.len()
    }

    /// The attempt `id`.
    pub fn get(&self, id: &str) -> Option<CallRecord> {
        self.lock().attempts.get(id).map(|e| e.record.clone())
    }

    /// The attempt of the call that says most: one that ran or may have run,
    /// else one in progress, else one that did not run.
    pub fn find(&self, item: &str) -> Option<CallRecord> {
        let inner = self.lock();
        let ids = inner.items.get(item)?;
        let records = ids.iter().filter_map(|id| inner.attempts.get(id));
        let best = records.max_by_key(|e| weight(&e.record.state))?;
        Some(best.record.clone())
    }
}

fn weight(state: &CallState) -> u8 {
    match state {
        CallState::NotRun => 0,
        CallState::Started => 1,
        CallState::Unknown => 2,
        CallState::Done(_) => 3,
    }
}

impl Inner {
    fn remove(&mut self, id: &str) {
        let Some(entry) = self.attempts.remove(id) else {
            return;
        };
        let Some(ids) = self.items.get_mut(&entry.item) else {
            return;
        };
        ids.retain(|i| i.as_ref() != id);
        if ids.is_empty() {
            self.items.remove(&entry.item);
        }
    }
}
