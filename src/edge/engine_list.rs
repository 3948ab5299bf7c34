//! The platform's list of engines, kept up to date by its changes.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::store::{Row, RowPage};
use super::upstream::EngineEntry;
use crate::platform::engine_entry;

/// Entries of the list by id, as of a version of the store.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineList {
    /// Version of the store up to which all changes are applied; absent before the
    /// first whole reading.
    version: Option<u64>,
    /// Era of the store that the version belongs to.
    era: u64,
    /// Decoded entries; `None` for those that cannot be decoded.
    rows: BTreeMap<Arc<str>, Option<EngineEntry>>,
}

/// An entry that cannot be decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnreadableEntry {
    /// Key of its row.
    pub key: Arc<str>,
    /// Version of its row.
    pub row: u64,
    /// Why.
    pub error: String,
}

impl EngineList {
    /// Returns the version after which changes are missing; `None` when the whole list
    /// has to be read.
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    /// Returns the era of the store as of which the list is.
    pub fn era(&self) -> u64 {
        self.era
    }

    /// Requires a whole reading: changes may have been missed.
    pub fn invalidate(&mut self) {
        self.version = None;
    }

    /// Applies a reading of the whole list. Returns the entries that have become
    /// unreadable.
    pub fn replace(&mut self, page: RowPage) -> Vec<UnreadableEntry> {
        let listed: BTreeSet<_> = page.rows.iter().map(|row| row.key.clone()).collect();
        self.rows.retain(|key, _| listed.contains(key));
        self.apply(page)
    }

    /// Applies the changes since [`Self::version`], or all rows. Returns the entries that
    /// have become unreadable.
    pub fn apply(&mut self, page: RowPage) -> Vec<UnreadableEntry> {
        let mut unreadable = Vec::new();
        for row in page.rows {
            if !row.unnamed_part {
                continue;
            }
            if row.deleted {
                self.rows.remove(&row.key);
                continue;
            }
            let entry = match decode(&row) {
                Ok(entry) => Some(entry),
                Err(error) => {
                    if self.rows.get(&row.key) != Some(&None) {
                        unreadable.push(UnreadableEntry {
                            key: row.key.clone(),
                            row: row.version,
                            error,
                        });
                    }
                    None
                }
            };
            self.rows.insert(row.key, entry);
        }
        self.version = Some(page.version);
        self.era = page.era;
        unreadable
    }

    /// Returns the decoded entries.
    pub fn entries(&self) -> impl Iterator<Item = &EngineEntry> {
        self.rows.values().flatten()
    }

    /// Returns the keys of the entries that cannot be decoded.
    pub fn unreadable(&self) -> impl Iterator<Item = &Arc<str>> {
        let broken = self.rows.iter().filter(|(_, entry)| entry.is_none());
        broken.map(|(key, _)| key)
    }
}

fn decode(row: &Row) -> Result<EngineEntry, String> {
    let value = row.value.as_ref().ok_or("no value")?;
    engine_entry::decode(&row.key, value).map_err(|e| e.to_string())
}
