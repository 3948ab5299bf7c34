//! Jobs on the platform's table, each run on its own thread.

use std::collections::BTreeMap;
use std::thread;
use std::time::Duration;

use serde::de::DeserializeOwned;

use crate::config::Name;
use crate::outside::{Item, Precondition, Table, TableError, Write, WriteOp};
use crate::pool::{ClaimedPool, PinWrite};
use crate::protocol::ownership::{
    EnginePins, Owner, OwnerRecord, claim as claim_record, handover, inherits_clean,
};

use super::event::TableJobResult;

/// Delay before a write is repeated because its outcome is unknown.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Maximum attempts to write a handover. A successor can claim the pool without a
/// handover.
const MAX_RELEASE_ATTEMPTS: u32 = 5;

/// Returns the key of a pool's owner record.
fn pool_key(pool: &str) -> Name {
    format!("pool/{pool}").into()
}

/// Returns the key prefix of a pool's pin records.
fn pin_prefix(pool: &str) -> String {
    format!("pin/{pool}/")
}

fn pin_key(pool: &str, engine: &str) -> Name {
    format!("{}{engine}", pin_prefix(pool)).into()
}

/// Claims `pool` for `claimant` if its record names no other owner, or, while
/// `may_supersede` is true, an owner that is not in `alive`.
pub(super) fn claim<T: Table>(
    table: &T,
    pool: &Name,
    claimant: &Owner,
    alive: &[Owner],
    may_supersede: bool,
) -> TableJobResult {
    match try_claim(table, pool, claimant, alive, may_supersede) {
        Ok(result) => result,
        Err(e) => {
            log::info!("cannot claim pool {pool}: {e}");
            TableJobResult::ClaimFailed { pool: pool.clone() }
        }
    }
}

fn try_claim<T: Table>(
    table: &T,
    pool: &Name,
    claimant: &Owner,
    alive: &[Owner],
    may_supersede: bool,
) -> Result<TableJobResult, TableError> {
    let key = pool_key(pool);
    let item = table.get(&key)?;
    let record: Option<OwnerRecord> = item.as_ref().map(decode).transpose()?;
    if let Some(record) = &record {
        // A record of this daemon itself is claimed under a new epoch: orders and
        // writes of its last epoch may still be in progress.
        let owner = record
            .owner
            .as_ref()
            .filter(|_| !record.is_owned_by(claimant));
        if owner.is_some_and(|owner| !may_supersede || alive.contains(owner)) {
            return Ok(TableJobResult::OwnedElsewhere {
                pool: pool.clone(),
                record: record.clone(),
            });
        }
    }
    let next = claim_record(record.as_ref(), claimant);
    let write = Write {
        key,
        expect: item.map_or(Precondition::Absent, |i| Precondition::Version(i.version)),
        op: WriteOp::Put(encode(&next)?),
    };
    match table.commit(&[write]) {
        Ok(versions) => {
            let clean = inherits_clean(record.as_ref());
            read_claimed(table, pool, next.epoch, versions[0], clean)
        }
        Err(TableError::Conflict {
            current: Some(item),
            ..
        }) => Ok(TableJobResult::OwnedElsewhere {
            pool: pool.clone(),
            record: decode(&item)?,
        }),
        Err(e) => Err(e),
    }
}

fn read_claimed<T: Table>(
    table: &T,
    pool: &Name,
    epoch: u64,
    item_version: u64,
    clean: bool,
) -> Result<TableJobResult, TableError> {
    let prefix = pin_prefix(pool);
    let mut pins = BTreeMap::new();
    for found in table.scan(&prefix)? {
        let engine = Name::from(&found.key[prefix.len()..]);
        let record: EnginePins = decode(&found)?;
        pins.insert(engine, (record, found.version));
    }
    Ok(TableJobResult::Claimed {
        pool: pool.clone(),
        claimed: ClaimedPool {
            epoch,
            item_version,
            clean_handover: clean,
            pins,
        },
    })
}

/// Writes pin records; returns only once the outcome of the write is known.
pub(super) fn write_pins<T: Table>(
    table: &T,
    pool: &Name,
    epoch: u64,
    item_version: u64,
    writes: Vec<PinWrite>,
) -> TableJobResult {
    let lost = || TableJobResult::OwnershipLost {
        pool: pool.clone(),
        epoch,
    };
    let Ok(batch) = pin_writes(pool, item_version, &writes) else {
        return lost();
    };
    loop {
        match table.commit(&batch) {
            Ok(versions) => {
                return TableJobResult::PinsWritten {
                    pool: pool.clone(),
                    epoch,
                    writes,
                    versions: versions[1..].to_vec(),
                };
            }
            Err(TableError::Conflict { .. }) => match read_back(table, pool, item_version, &writes)
            {
                Ok(Some(versions)) => {
                    return TableJobResult::PinsWritten {
                        pool: pool.clone(),
                        epoch,
                        writes,
                        versions,
                    };
                }
                Ok(None) => return lost(),
                Err(_) => {}
            },
            Err(TableError::Refused(e)) => {
                log::error!("cannot write pin records of pool {pool}: {e}");
                return lost();
            }
            Err(TableError::Unavailable(_)) => {}
        }
        thread::sleep(RETRY_PAUSE);
    }
}

/// Returns the versions of the records if an earlier attempt of `writes` took
/// effect.
///
/// Only the owner that created this version of the pool's item writes the
/// records, so equal content at the next version is its own write.
fn read_back<T: Table>(
    table: &T,
    pool: &Name,
    item_version: u64,
    writes: &[PinWrite],
) -> Result<Option<Vec<u64>>, TableError> {
    let owner = table.get(&pool_key(pool))?;
    if owner.is_none_or(|o| o.version != item_version) {
        return Ok(None);
    }
    let mut versions = Vec::new();
    for write in writes {
        let found = table.get(&pin_key(pool, &write.engine))?;
        let Some(found) = found.filter(|f| f.version == write.item_version + 1) else {
            return Ok(None);
        };
        if decode::<EnginePins>(&found)? != write.pins {
            return Ok(None);
        }
        versions.push(found.version);
    }
    Ok(Some(versions))
}

fn pin_writes(
    pool: &Name,
    item_version: u64,
    writes: &[PinWrite],
) -> Result<Vec<Write>, TableError> {
    let mut batch = vec![Write {
        key: pool_key(pool),
        expect: Precondition::Version(item_version),
        op: WriteOp::Check,
    }];
    for write in writes {
        batch.push(Write {
            key: pin_key(pool, &write.engine),
            expect: match write.item_version {
                0 => Precondition::Absent,
                version => Precondition::Version(version),
            },
            op: WriteOp::Put(encode(&write.pins)?),
        });
    }
    Ok(batch)
}

/// Writes the handover of `pool` with its pin records, including pins in doubt.
pub(super) fn release<T: Table>(
    table: &T,
    pool: &Name,
    record: &OwnerRecord,
    item_version: u64,
    writes: &[PinWrite],
) -> TableJobResult {
    let result = TableJobResult::Released { pool: pool.clone() };
    let Ok(mut batch) = pin_writes(pool, item_version, writes) else {
        return result;
    };
    let Ok(value) = encode(&handover(record)) else {
        return result;
    };
    batch[0].op = WriteOp::Put(value);
    for _ in 0..MAX_RELEASE_ATTEMPTS {
        match table.commit(&batch) {
            Err(TableError::Unavailable(e)) => log::info!("cannot hand over pool {pool}: {e}"),
            Err(e) => {
                log::info!("cannot hand over pool {pool}: {e}");
                return result;
            }
            Ok(_) => return result,
        }
        thread::sleep(RETRY_PAUSE);
    }
    result
}

fn decode<T: DeserializeOwned>(item: &Item) -> Result<T, TableError> {
    let decode_error = |e| TableError::Refused(format!("cannot decode record {}: {e}", item.key));
    serde_json::from_value(item.value.clone()).map_err(decode_error)
}

fn encode<T: serde::Serialize>(value: &T) -> Result<serde_json::Value, TableError> {
    serde_json::to_value(value).map_err(|e| TableError::Refused(e.to_string()))
}
