//! Removal of old records.

use std::sync::Arc;
use std::time::Duration;

use super::ask::Asker;
use super::key::shard;
use super::settle::put;
use super::{Peers, Told};
use crate::outside::{Item, Precondition, Table, TableError, Write, WriteOp};
use crate::protocol::calls::{CallRecord, CallState, expired, orphaned};

/// How long the record of an attempt whose host is gone is kept from its
/// discovery on, seconds.
const ORPHAN_KEEP_S: u64 = 86_400;

/// Removes records whose time is over, one shard at a time.
pub struct Sweep<T, P> {
    table: Arc<T>,
    asker: Arc<Asker<P>>,
}

impl<T: Table, P: Peers> Sweep<T, P> {
    pub(super) fn new(table: Arc<T>, asker: Arc<Asker<P>>) -> Self {
        Sweep { table, asker }
    }

    /// Removes the records of one shard that had ended and were to be kept
    /// until before `unix`; starts that old are closed first. Answers how many
    /// were removed.
    pub fn run(&self, number: u32, unix: u64) -> Result<usize, TableError> {
        let mut removed = 0;
        for item in self.table.scan(&shard(number))? {
            let record: CallRecord = match serde_json::from_value(item.value.clone()) {
                Ok(record) => record,
                Err(error) => {
                    log::error!("the record {} is not readable: {error}", item.key);
                    continue;
                }
            };
            if record.until >= unix {
                continue;
            }
            let Some(write) = self.write(&item, &record, unix) else {
                continue;
            };
            let delete = write.op == WriteOp::Delete;
            match self.table.commit(&[write]) {
                Ok(_) if delete => removed += 1,
                Ok(_) | Err(TableError::Conflict { .. }) => {}
                Err(error) => return Err(error),
            }
        }
        Ok(removed)
    }

    fn write(&self, item: &Item, record: &CallRecord, unix: u64) -> Option<Write> {
        let expect = Precondition::Version(item.version);
        if expired(record, unix) {
            return Some(Write {
                key: item.key.clone(),
                expect,
                op: WriteOp::Delete,
            });
        }
        let closed = self.close(item, record, unix)?;
        Some(put(&item.key, &closed, expect))
    }

    /// The end of an old start: its host's word, or unknown where it is gone.
    fn close(&self, item: &Item, record: &CallRecord, unix: u64) -> Option<CallRecord> {
        let told = match self.asker.ask(&item.key, &record.attempt, Duration::MAX) {
            Told::Record(told) if told.attempt == record.attempt => told,
            Told::Gone => orphaned(record)?,
            _ => return None,
        };
        let ended = told.state != CallState::Started;
        ended.then_some(CallRecord {
            until: unix + ORPHAN_KEEP_S,
            ..told
        })
    }
}
