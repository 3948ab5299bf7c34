//! The platform's table and object store within the test's memory.

#![allow(dead_code, reason = "each test file uses its own part")]

pub mod host;

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Barrier, Mutex};

use mastichinge::outside::{Item, Objects, Precondition, Table, TableError, Write, WriteOp};

/// A table whose next commits can lose their answers.
#[derive(Default)]
pub struct MemoryTable {
    items: Mutex<BTreeMap<String, Item>>,
    /// Commits that take effect without an answer.
    pub lost: AtomicU32,
    /// No call answers.
    pub down: AtomicBool,
    /// Commits that do not answer and arrive with [`MemoryTable::deliver`].
    pub late: AtomicU32,
    /// Commits that neither take effect nor answer.
    pub dropped: AtomicU32,
    /// Where commits wait for one another.
    pub gate: Mutex<Option<Arc<Barrier>>>,
    underway: Mutex<Vec<Vec<Write>>>,
}

fn lost() -> TableError {
    TableError::Unavailable("no answer".to_owned())
}

fn take(count: &AtomicU32) -> bool {
    let left = |n: u32| n.checked_sub(1);
    count
        .fetch_update(Ordering::SeqCst, Ordering::SeqCst, left)
        .is_ok()
}

impl MemoryTable {
    fn up(&self) -> Result<(), TableError> {
        if self.down.load(Ordering::SeqCst) {
            return Err(lost());
        }
        Ok(())
    }

    /// Lets late commits arrive, in the order in which they were sent.
    pub fn deliver(&self) {
        let underway = std::mem::take(&mut *self.underway.lock().unwrap());
        for writes in underway {
            let _ = self.write(&writes);
        }
    }

    fn write(&self, writes: &[Write]) -> Result<Vec<u64>, TableError> {
        let mut items = self.items.lock().unwrap();
        for write in writes {
            let current = items.get(&*write.key).cloned();
            let version = current.as_ref().map_or(0, |item| item.version);
            let holds = match write.expect {
                Precondition::Any => true,
                Precondition::Absent => version == 0,
                Precondition::Version(expected) => version == expected,
            };
            if !holds {
                let key = write.key.clone();
                return Err(TableError::Conflict { key, current });
            }
        }
        let mut versions = Vec::new();
        for write in writes {
            let WriteOp::Put(value) = &write.op else {
                panic!("the ledger only puts");
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
        self.up()?;
        Ok(self.items.lock().unwrap().get(key).cloned())
    }

    fn scan(&self, prefix: &str) -> Result<Vec<Item>, TableError> {
        self.up()?;
        let items = self.items.lock().unwrap();
        let found = items.values().filter(|item| item.key.starts_with(prefix));
        Ok(found.cloned().collect())
    }

    fn commit(&self, writes: &[Write]) -> Result<Vec<u64>, TableError> {
        self.up()?;
        if take(&self.dropped) {
            return Err(lost());
        }
        let gate = self.gate.lock().unwrap().clone();
        if let Some(gate) = gate {
            gate.wait();
        }
        if take(&self.late) {
            self.underway.lock().unwrap().push(writes.to_vec());
            return Err(lost());
        }
        let versions = self.write(writes)?;
        if take(&self.lost) {
            return Err(lost());
        }
        Ok(versions)
    }
}

/// An object store that can be down.
#[derive(Default)]
pub struct MemoryObjects {
    objects: Mutex<BTreeMap<String, Vec<u8>>>,
    /// Writes that fail.
    pub failing: AtomicU32,
}

impl Objects for MemoryObjects {
    fn get(&self, name: &str) -> Result<Option<Vec<u8>>, TableError> {
        Ok(self.objects.lock().unwrap().get(name).cloned())
    }

    fn put(&self, name: &str, body: &[u8]) -> Result<(), TableError> {
        if take(&self.failing) {
            return Err(lost());
        }
        let mut objects = self.objects.lock().unwrap();
        objects.insert(name.to_owned(), body.to_owned());
        Ok(())
    }
}
