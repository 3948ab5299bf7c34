//! Attempts of this host, kept in memory.

use std::collections::{HashMap, VecDeque};
use std::sync::{Mutex, MutexGuard};

use crate::config::Name;
use crate::protocol::calls::{CallRecord, CallState};

struct StoredAttempt {
    record_key: Name,
    record: CallRecord,
    /// The end of the attempt is in the table.
    settled: bool,
}

#[derive(Default)]
struct StoreState {
    by_id: HashMap<Name, StoredAttempt>,
    by_record: HashMap<Name, Vec<Name>>,
    /// Ids of the settled attempts, oldest first.
    settled_order: VecDeque<Name>,
}

/// Attempts of this host. An attempt is settled when its end is in the table;
/// only settled attempts are dropped, the oldest first.
pub struct AttemptStore {
    capacity: usize,
    state: Mutex<StoreState>,
}

impl AttemptStore {
    /// Creates a store of at most `capacity` attempts.
    pub fn new(capacity: usize) -> AttemptStore {
        AttemptStore {
            capacity,
            state: Mutex::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, StoreState> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Adds an attempt before its start is written; returns false when the store
    /// is full of unsettled attempts.
    pub fn insert(&self, record_key: &Name, record: &CallRecord) -> bool {
        let mut state = self.lock();
        while state.by_id.len() >= self.capacity {
            let Some(oldest) = state.settled_order.pop_front() else {
                return false;
            };
            state.remove(&oldest);
        }
        let id = &record.attempt.id;
        let entry = StoredAttempt {
            record_key: record_key.clone(),
            record: record.clone(),
            settled: false,
        };
        state.by_id.insert(id.clone(), entry);
        state
            .by_record
            .entry(record_key.clone())
            .or_default()
            .push(id.clone());
        true
    }

    /// Removes an attempt whose start was certainly not written.
    pub fn remove(&self, id: &str) {
        self.lock().remove(id);
    }

    /// Sets the end of an attempt and returns its record.
    pub fn finish(&self, id: &str, end: CallState) -> Option<CallRecord> {
        let mut state = self.lock();
        let entry = state.by_id.get_mut(id)?;
        entry.record.state = end;
        Some(entry.record.clone())
    }

    /// Marks an attempt as settled.
    pub fn mark_settled(&self, id: &Name) {
        let mut state = self.lock();
        let Some(entry) = state.by_id.get_mut(id) else {
            return;
        };
        if entry.settled {
            return;
        }
        entry.settled = true;
        state.settled_order.push_back(id.clone());
    }

    /// Returns the number of unsettled attempts.
    pub fn unsettled_count(&self) -> usize {
        let state = self.lock();
        state.by_id.len() - state.settled_order.len()
    }

    /// Returns the record of the attempt `id`.
    pub fn get(&self, id: &str) -> Option<CallRecord> {
        self.lock().by_id.get(id).map(|e| e.record.clone())
    }

    /// Returns the most conclusive attempt of a call: one that ran or may have run,
    /// else one in progress, else one that did not run.
    pub fn best_record(&self, record_key: &str) -> Option<CallRecord> {
        let state = self.lock();
        let ids = state.by_record.get(record_key)?;
        let records = ids.iter().filter_map(|id| state.by_id.get(id));
        let best = records.max_by_key(|e| certainty(&e.record.state))?;
        Some(best.record.clone())
    }
}

/// Ranks states by how much they say about the outcome of a call.
fn certainty(state: &CallState) -> u8 {
    match state {
        CallState::NotRun => 0,
        CallState::Started => 1,
        CallState::Unknown => 2,
        CallState::Done(_) => 3,
    }
}

impl StoreState {
    fn remove(&mut self, id: &str) {
        let Some(entry) = self.by_id.remove(id) else {
            return;
        };
        let Some(ids) = self.by_record.get_mut(&entry.record_key) else {
            return;
        };
        ids.retain(|i| i.as_ref() != id);
        if ids.is_empty() {
            self.by_record.remove(&entry.record_key);
        }
    }
}
