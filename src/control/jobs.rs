//! Jobs at the platform's table, each run on a thread of its own.

use std::collections::BTreeMap;
use std::thread;
use std::time::Duration;

use serde::de::DeserializeOwned;

use crate::config::Name;
use crate::outside::{Expect, Item, Op, Table, TableError, Write};
use crate::pool::{Claimed, PinWrite};
use crate::protocol::ownership::{
    EnginePins, Owner, OwnerRecord, claim as claim_record, handover, inherits_clean,
};

use super::event::TableEnd;

/// Pause before a write whose outcome is unknown is looked up.
const PAUSE: Duration = Duration::from_millis(200);
/// Tries of a handover; the successor does without it.
const RELEASE_TRIES: u32 = 5;

/// Key of the record of a pool's owner.
fn pool_key(pool: &str) -> Name {
    format!("pool/{pool}").into()
}

/// Prefix of the keys of a pool's pin records.
fn pin_prefix(pool: &str) -> String {
    format!("pin/{pool}/")
}

fn pin_key(pool: &str, engine: &str) -> Name {
    format!("{}{engine}", pin_prefix(pool)).into()
}

/// Claims `pool` for `me` unless one of `alive` owns it, or anybody while
/// `take` is false.
pub(super) fn claim<T: Table>(
    table: &T,
    pool: &Name,
    me: &Owner,
    alive: &[Owner],
    take: bool,
) -> TableEnd {
    match try_claim(table, pool, me, alive, take) {
        Ok(end) => end,
        Err(e) => {
            log::info!("claim of pool {pool}: {e}");
            TableEnd::Failed { pool: pool.clone() }
        }
    }
}

fn try_claim<T: Table>(
    table: &T,
    pool: &Name,
    me: &Owner,
    alive: &[Owner],
    take: bool,
) -> Result<TableEnd, TableError> {
    let key = pool_key(pool);
    let item = table.get(&key)?;
    let record: Option<OwnerRecord> = item.as_ref().map(read).transpose()?;
    if let Some(record) = &record {
        // A record of this daemon itself is claimed anew: orders and writes of
        // its last epoch may still be on their way.
        let owner = record.owner.as_ref().filter(|_| !record.is_owned_by(me));
        if owner.is_some_and(|owner| !take || alive.contains(owner)) {
            return Ok(TableEnd::Owned {
                pool: pool.clone(),
                record: record.clone(),
            });
        }
    }
    let next = claim_record(record.as_ref(), me);
    let write = Write {
        key,
        expect: item.map_or(Expect::Absent, |i| Expect::Version(i.version)),
        op: Op::Put(to_value(&next)?),
    };
    match table.commit(&[write]) {
        Ok(versions) => {
            let clean = inherits_clean(record.as_ref());
            take_over(table, pool, next.epoch, versions[0], clean)
        }
        Err(TableError::Conflict {
            current: Some(item),
            ..
        }) => Ok(TableEnd::Owned {
            pool: pool.clone(),
            record: read(&item)?,
        }),
        Err(e) => Err(e),
    }
}

fn take_over<T: Table>(
    table: &T,
    pool: &Name,
    epoch: u64,
    item: u64,
    clean: bool,
) -> Result<TableEnd, TableError> {
    let prefix = pin_prefix(pool);
    let mut pins = BTreeMap::new();
    for found in table.scan(&prefix)? {
        let engine = Name::from(&found.key[prefix.len()..]);
        let record: EnginePins = read(&found)?;
        pins.insert(engine, (record, found.version));
    }
    Ok(TableEnd::Claimed {
        pool: pool.clone(),
        claimed: Claimed {
            epoch,
            item,
            clean,
            pins,
        },
    })
}

/// Writes pin records; returns only once it is known what became of them.
pub(super) fn write_pins<T: Table>(
    table: &T,
    pool: &Name,
    epoch: u64,
    item: u64,
    writes: Vec<PinWrite>,
) -> TableEnd {
    let lost = || TableEnd::Lost {
        pool: pool.clone(),
        epoch,
    };
    let Ok(batch) = pin_writes(pool, item, &writes) else {
        return lost();
    };
    loop {
        match table.commit(&batch) {
            Ok(versions) => {
                return TableEnd::Written {
                    pool: pool.clone(),
                    epoch,
                    writes,
                    versions: versions[1..].to_vec(),
                };
            }
            Err(TableError::Conflict { .. }) => match read_back(table, pool, item, &writes) {
                Ok(Some(versions)) => {
                    return TableEnd::Written {
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
                log::error!("pin records of {pool}: {e}");
                return lost();
            }
            Err(TableError::Unavailable(_)) => {}
        }
        thread::sleep(PAUSE);
    }
}

/// The versions of the records when an earlier try of `writes` took effect.
///
/// Only the owner under this version of the pool's item writes them, so equal
/// content at the next version is its own.
fn read_back<T: Table>(
    table: &T,
    pool: &Name,
    item: u64,
    writes: &[PinWrite],
) -> Result<Option<Vec<u64>>, TableError> {
    let owner = table.get(&pool_key(pool))?;
    if owner.is_none_or(|o| o.version != item) {
        return Ok(None);
    }
    let mut versions = Vec::new();
    for write in writes {
        let found = table.get(&pin_key(pool, &write.engine))?;
        let Some(found) = found.filter(|f| f.version == write.item + 1) else {
            return Ok(None);
        };
        if read::<EnginePins>(&found)? != write.pins {
            return Ok(None);
        }
        versions.push(found.version);
    }
    Ok(Some(versions))
}

fn pin_writes(pool: &Name, item: u64, writes: &[PinWrite]) -> Result<Vec<Write>, TableError> {
    let mut batch = vec![Write {
        key: pool_key(pool),
        expect: Expect::Version(item),
        op: Op::Check,
    }];
    for write in writes {
        batch.push(Write {
            key: pin_key(pool, &write.engine),
            expect: match write.item {
                0 => Expect::Absent,
                version => Expect::Version(version),
            },
            op: Op::Put(to_value(&write.pins)?),
        });
    }
    Ok(batch)
}

/// Gives `pool` up, with the doubts about its pins.
pub(super) fn release<T: Table>(
    table: &T,
    pool: &Name,
    record: &OwnerRecord,
    item: u64,
    writes: &[PinWrite],
) -> TableEnd {
    let end = TableEnd::Released { pool: pool.clone() };
    let Ok(mut batch) = pin_writes(pool, item, writes) else {
        return end;
    };
    let Ok(value) = to_value(&handover(record)) else {
        return end;
    };
    batch[0].op = Op::Put(value);
    for _ in 0..RELEASE_TRIES {
        match table.commit(&batch) {
            Err(TableError::Unavailable(e)) => log::info!("handover of {pool}: {e}"),
            Err(e) => {
                log::info!("handover of {pool}: {e}");
                return end;
            }
            Ok(_) => return end,
        }
        thread::sleep(PAUSE);
    }
    end
}

fn read<T: DeserializeOwned>(item: &Item) -> Result<T, TableError> {
    let unreadable =
        |e| TableError::Refused(format!("the record {} cannot be read: {e}", item.key));
    serde_json::from_value(item.value.clone()).map_err(unreadable)
}

fn to_value<T: serde::Serialize>(value: &T) -> Result<serde_json::Value, TableError> {
    serde_json::to_value(value).map_err(|e| TableError::Refused(e.to_string()))
}
