//! In-memory implementations of the platform's table and object store.

#![allow(dead_code, reason = "each test target uses a part of it")]

pub mod backend;

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Barrier, Mutex};

use mastichinge::outside::{Item, Objects, Precondition, Table, TableError, Write, WriteOp};

/// An in-memory table with fault injection.
#[derive(Default)]
pub struct MemoryTable {
    items: Mutex<BTreeMap<String, Item>>,
    /// Number of further commits that take effect but get no response.
    pub lost_responses: AtomicU32,
    /// Whether every call fails without a response.
    pub down: AtomicBool,
    /// Number of further commits that get no response and take effect only with
    /// [`MemoryTable::deliver_delayed`].
    pub delayed_commits: AtomicU32,
    /// Number of further commits that neither take effect nor get a response.
    pub dropped_commits: AtomicU32,
    /// Barrier at which concurrent commits wait for each other.
    pub commit_barrier: Mutex<Option<Arc<Barrier>>>,
    delayed: Mutex<Vec<Vec<Write>>>,
}

fn no_response() -> TableError {
    TableError::Unavailable("no answer".to_owned())
}

fn consume_one(count: &AtomicU32) -> bool {
    let decrement = |n: u32| n.checked_sub(1);
    count
        .fetch_update(Ordering::SeqCst, Ordering::SeqCst, decrement)
        .is_ok()
}

impl MemoryTable {
    fn check_available(&self) -> Result<(), TableError> {
        if self.down.load(Ordering::SeqCst) {
            return Err(no_response());
        }
        Ok(())
    }

    /// Applies the delayed commits, in the order in which they were sent.
    pub fn deliver_delayed(&self) {
        let delayed = std::mem::take(&mut *self.delayed.lock().unwrap());
        for writes in delayed {
            let _ = self.apply_writes(&writes);
        }
    }

    fn apply_writes(&self, writes: &[Write]) -> Result<Vec<u64>, TableError> {
        let mut items = self.items.lock().unwrap();
        for write in writes {
            let current = items.get(&*write.key).cloned();
            let version = current.as_ref().map_or(0, |item| item.version);
            let precondition_met = match write.expect {
                Precondition::Any => true,
                Precondition::Absent => version == 0,
                Precondition::Version(expected) => version == expected,
            };
            if !precondition_met {
                let key = write.key.clone();
                return Err(TableError::Conflict { key, current });
            }
        }
        let mut versions = Vec::new();
        for write in writes {
            let WriteOp::Put(value) = &write.op else {
                panic!("the in-memory table supports only puts");
            };
            let key = write.key.clone();
            let version = items.get(&*key).map_or(0, |item| item.version) + 1;
            let value = value.clone();
            items.insert(
                key.to_string(),
                Item {
                    key,
                    version,
                    value,
                },
            );
            versions.push(version);
        }
        Ok(versions)
    }
}

impl Table for MemoryTable {
    fn get(&self, key: &str) -> Result<Option<Item>, TableError> {
        self.check_available()?;
        Ok(self.items.lock().unwrap().get(key).cloned())
    }

    fn scan(&self, prefix: &str) -> Result<Vec<Item>, TableError> {
        self.check_available()?;
        let items = self.items.lock().unwrap();
        let found = items.values().filter(|item| item.key.starts_with(prefix));
        Ok(found.cloned().collect())
    }

    fn commit(&self, writes: &[Write]) -> Result<Vec<u64>, TableError> {
        self.check_available()?;
        if consume_one(&self.dropped_commits) {
            return Err(no_response());
        }
        let barrier = self.commit_barrier.lock().unwrap().clone();
        if let Some(barrier) = barrier {
            barrier.wait();
        }
        if consume_one(&self.delayed_commits) {
            self.delayed.lock().unwrap().push(writes.to_vec());
            return Err(no_response());
        }
        let versions = self.apply_writes(writes)?;
        if consume_one(&self.lost_responses) {
            return Err(no_response());
        }
        Ok(versions)
    }
}

/// An in-memory object store whose writes can fail.
#[derive(Default)]
pub struct MemoryObjects {
    objects: Mutex<BTreeMap<String, Vec<u8>>>,
    /// Number of further writes that fail.
    pub failing_writes: AtomicU32,
}

impl Objects for MemoryObjects {
    fn get(&self, name: &str) -> Result<Option<Vec<u8>>, TableError> {
        Ok(self.objects.lock().unwrap().get(name).cloned())
    }

    fn put(&self, name: &str, body: &[u8]) -> Result<(), TableError> {
        if consume_one(&self.failing_writes) {
            return Err(no_response());
        }
        let mut objects = self.objects.lock().unwrap();
        objects.insert(name.to_owned(), body.to_owned());
        Ok(())
    }
}
