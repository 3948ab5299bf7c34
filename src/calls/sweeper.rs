//! Removes old records.

use std::sync::Arc;
use std::time::Duration;

use super::attempt_lookup::AttemptLookup;
use super::key::shard_prefix;
use super::settler::put_record;
use super::{AttemptStatus, CallPeers};
use crate::outside::{Item, Precondition, Table, TableError, Write, WriteOp};
use crate::protocol::calls::{CallRecord, CallState, is_expired, orphaned_record};

/// Retention time of an old record after the sweeper has recorded the end of its
/// attempt, seconds.
const END_RETENTION_S: u64 = 86_400;

/// Removes records whose retention time has passed, one shard at a time.
pub struct RecordSweeper<T, P> {
    table: Arc<T>,
    lookup: Arc<AttemptLookup<P>>,
}

impl<T: Table, P: CallPeers> RecordSweeper<T, P> {
    pub(super) fn new(table: Arc<T>, lookup: Arc<AttemptLookup<P>>) -> Self {
        RecordSweeper { table, lookup }
    }

    /// Removes the records of one shard whose attempt has ended and whose retention
    /// time passed before `unix_time`, seconds since the Unix epoch. Records an end for
    /// an old record without one, which keeps it for another [`END_RETENTION_S`].
    /// Returns the number of removed records.
    pub fn sweep_shard(&self, shard: u32, unix_time: u64) -> Result<usize, TableError> {
        let mut removed = 0;
        for item in self.table.scan(&shard_prefix(shard))? {
            let record: CallRecord = match serde_json::from_value(item.value.clone()) {
                Ok(record) => record,
                Err(error) => {
                    log::error!("cannot parse the call record {}: {error}", item.key);
                    continue;
                }
            };
            if record.until >= unix_time {
                continue;
            }
            let Some(write) = self.cleanup_write(&item, &record, unix_time) else {
                continue;
            };
            let is_delete = write.op == WriteOp::Delete;
            match self.table.commit(&[write]) {
                Ok(_) if is_delete => removed += 1,
                Ok(_) | Err(TableError::Conflict { .. }) => {}
                Err(TableError::Refused(reason)) => {
                    log::error!("cannot clean up the call record {}: {reason}", item.key);
                }
                Err(error) => return Err(error),
            }
        }
        Ok(removed)
    }

    fn cleanup_write(&self, item: &Item, record: &CallRecord, unix_time: u64) -> Option<Write> {
        let expect = Precondition::Version(item.version);
        if is_expired(record, unix_time) {
            return Some(Write {
                key: item.key.clone(),
                expect,
                op: WriteOp::Delete,
            });
        }
        let ended = self.close_attempt(item, record, unix_time)?;
        Some(put_record(&item.key, &ended, expect))
    }

    /// Returns the record of an old attempt with its end as reported by its host, or
    /// as unknown if that incarnation has ended.
    fn close_attempt(
        &self,
        item: &Item,
        record: &CallRecord,
        unix_time: u64,
    ) -> Option<CallRecord> {
        let ended = match self
            .lookup
            .status(&item.key, &record.attempt, Duration::MAX)
        {
            AttemptStatus::Known(reported) if reported.attempt == record.attempt => reported,
            AttemptStatus::IncarnationEnded => orphaned_record(record)?,
            _ => return None,
        };
        let has_ended = ended.state != CallState::Started;
        has_ended.then_some(CallRecord {
            until: unix_time + END_RETENTION_S,
            ..ended
        })
    }
}
