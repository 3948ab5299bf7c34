//! Stores the configuration in the platform's services: the head and the log in
//! the table, the snapshots in the object store.

mod propose;

use serde::{Deserialize, Serialize};

use super::Name;
use super::entry::Entry;
use super::state::{ActiveConfig, ApplyError};
use crate::outside::{Item, Objects, Table, TableError};

pub use propose::ProposeError;

const HEAD_KEY: &str = "config/head";
/// Number of versions between two snapshots.
const VERSIONS_PER_SNAPSHOT: u64 = 100;
/// Number of versions whose log keys share a prefix, so that one scan reads them.
const VERSIONS_PER_BLOCK: u64 = 100;

/// Content of the record `config/head`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigHead {
    /// Latest version.
    pub version: u64,
    /// Attempt id of the change that created this version.
    pub attempt: Name,
    /// Version of the latest snapshot; 0 for none.
    pub snapshot: u64,
}

/// Error reading or writing the ledger.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum LedgerError {
    /// The table or the object store returned an error.
    #[error(transparent)]
    Platform(#[from] TableError),
    /// A record cannot be parsed.
    #[error("the record {key} cannot be read: {cause}")]
    Unreadable {
        /// Key of the record.
        key: Name,
        /// Parse error.
        cause: String,
    },
    /// A version cannot be applied.
    #[error(transparent)]
    Apply(#[from] ApplyError),
    /// The log lacks a version that the head names.
    #[error("the log has no version {0}")]
    MissingVersion(u64),
    /// All attempts failed because the table returned a head older than this daemon's
    /// version, or because the head changed before the commit.
    #[error("the table's answers are older than what is known here")]
    StaleRead,
}

/// Reads and writes the configuration's records in the platform's services.
#[derive(Clone, Copy, Debug)]
pub struct ConfigLedger<'a, T, O> {
    table: &'a T,
    objects: &'a O,
}

impl<'a, T: Table, O: Objects> ConfigLedger<'a, T, O> {
    /// Creates a ledger on these services.
    pub fn new(table: &'a T, objects: &'a O) -> Self {
        ConfigLedger { table, objects }
    }

    /// Returns the latest version number, for polling.
    pub fn head_version(&self) -> Result<u64, LedgerError> {
        Ok(self.read_head()?.1.version)
    }

    /// Loads the latest version from the snapshot and the log.
    pub fn load(&self) -> Result<ActiveConfig, LedgerError> {
        let head = self.read_head()?.1;
        self.rebuild(head.snapshot, head.version)
    }

    /// Updates `current` to the latest version in the table.
    pub fn refresh(&self, current: &mut ActiveConfig) -> Result<(), LedgerError> {
        let head = self.read_head()?.1;
        if head.snapshot > current.version {
            *current = self.rebuild(head.snapshot, head.version)?;
        }
        self.apply_log(current, head.version)
    }

    /// Returns the accepted changes after `version`, oldest first.
    pub fn entries_after(&self, version: u64) -> Result<Vec<Entry>, LedgerError> {
        let head = self.head_version()?;
        self.entries_between(version + 1, head)
    }

    /// Returns the existing changes from `from` to `until` inclusive, oldest first.
    pub fn entries_between(&self, from: u64, until: u64) -> Result<Vec<Entry>, LedgerError> {
        let mut entries = Vec::new();
        if from > until {
            return Ok(entries);
        }
        for block in from / VERSIONS_PER_BLOCK..=until / VERSIONS_PER_BLOCK {
            for item in self.table.scan(&block_prefix(block))? {
                let entry: Entry = read_item(&item)?;
                if (from..=until).contains(&entry.version) {
                    entries.push(entry);
                }
            }
        }
        entries.sort_by_key(|entry| entry.version);
        Ok(entries)
    }

    /// Loads the configuration as of `version`.
    pub fn load_version(&self, version: u64) -> Result<ActiveConfig, LedgerError> {
        self.rebuild(
            version / VERSIONS_PER_SNAPSHOT * VERSIONS_PER_SNAPSHOT,
            version,
        )
    }

    /// Rebuilds `version` from the log and the latest existing snapshot up to version
    /// `snapshot`.
    fn rebuild(&self, snapshot: u64, version: u64) -> Result<ActiveConfig, LedgerError> {
        let mut current = ActiveConfig::default();
        let mut snapshot_version = snapshot;
        while snapshot_version > 0 && !self.restore_snapshot(&mut current, snapshot_version)? {
            snapshot_version = snapshot_version.saturating_sub(VERSIONS_PER_SNAPSHOT);
        }
        self.apply_log(&mut current, version)?;
        Ok(current)
    }

    /// Restores `current` from the snapshot of `version`; returns false when there
    /// is none.
    fn restore_snapshot(
        &self,
        current: &mut ActiveConfig,
        version: u64,
    ) -> Result<bool, LedgerError> {
        let name = snapshot_name(version);
        let Some(body) = self.objects.get(&name)? else {
            return Ok(false);
        };
        let text = String::from_utf8_lossy(&body);
        current.restore_text(version, &text)?;
        Ok(true)
    }

    /// Applies the log entries up to `version`.
    fn apply_log(&self, current: &mut ActiveConfig, version: u64) -> Result<(), LedgerError> {
        if version <= current.version {
            return Ok(());
        }
        for entry in self.entries_between(current.version + 1, version)? {
            current.apply(&entry)?;
        }
        if current.version < version {
            return Err(LedgerError::MissingVersion(current.version + 1));
        }
        Ok(())
    }

    fn read_head(&self) -> Result<(Option<Item>, ConfigHead), LedgerError> {
        let item = self.table.get(HEAD_KEY)?;
        let head = item.as_ref().map(read_item).transpose()?;
        Ok((item, head.unwrap_or_default()))
    }
}

fn log_key(version: u64) -> String {
    format!("config/log/{version:012}")
}

fn block_prefix(block: u64) -> String {
    format!("config/log/{block:010}")
}

fn snapshot_name(version: u64) -> String {
    format!("config/snapshot/{version:012}")
}

fn read_item<C: for<'de> Deserialize<'de>>(item: &Item) -> Result<C, LedgerError> {
    C::deserialize(&item.value).map_err(|err| unreadable_record(&item.key, &err))
}

fn unreadable_record(key: &str, err: &serde_json::Error) -> LedgerError {
    LedgerError::Unreadable {
        key: key.into(),
        cause: err.to_string(),
    }
}
