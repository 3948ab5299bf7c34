//! The configuration's head, log and snapshots in the platform's services.

mod propose;

use serde::{Deserialize, Serialize};

use super::Name;
use super::entry::Entry;
use super::state::{ActiveConfig, ApplyError};
use crate::outside::{Item, Objects, Table, TableError};

pub use propose::ProposeError;

const HEAD: &str = "config/head";
/// Versions between two snapshots.
const SNAPSHOT_EVERY: u64 = 100;
/// Versions whose log keys share a prefix, so that one scan reads them.
const BLOCK: u64 = 100;

/// Content of the head.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigHead {
    /// Newest version.
    pub version: u64,
    /// Attempt id of its writer.
    pub attempt: Name,
    /// Version of the newest snapshot; 0 for none.
    pub snapshot: u64,
}

/// Why the ledger could not be read.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum LedgerError {
    /// The platform did not answer.
    #[error(transparent)]
    Platform(#[from] TableError),
    /// A record cannot be read.
    #[error("the record {key} cannot be read: {cause}")]
    Unreadable {
        /// Key of the record.
        key: Name,
        /// Cause.
        cause: String,
    },
    /// A version cannot be applied.
    #[error(transparent)]
    Apply(#[from] ApplyError),
    /// The log lacks a version that the head names.
    #[error("the log has no version {0}")]
    MissingVersion(u64),
    /// The table kept answering with old content.
    #[error("the table's answers are older than what is known here")]
    StaleRead,
}

/// The configuration's records in the platform's services.
#[derive(Clone, Copy, Debug)]
pub struct ConfigLedger<'a, T, O> {
    table: &'a T,
    objects: &'a O,
}

impl<'a, T: Table, O: Objects> ConfigLedger<'a, T, O> {
    /// The ledger in these services.
    pub fn new(table: &'a T, objects: &'a O) -> Self {
        ConfigLedger { table, objects }
    }

    /// The newest version's number, for polling.
    pub fn head_version(&self) -> Result<u64, LedgerError> {
        Ok(self.read_head()?.1.version)
    }

    /// Reads the newest version from snapshot and log.
    pub fn load(&self) -> Result<ActiveConfig, LedgerError> {
        let head = self.read_head()?.1;
        self.rebuild(head.snapshot, head.version)
    }

    /// Brings `current` up to the newest version in the table.
    pub fn refresh(&self, current: &mut ActiveConfig) -> Result<(), LedgerError> {
        let head = self.read_head()?.1;
        if head.snapshot > current.version {
            *current = self.rebuild(head.snapshot, head.version)?;
        }
        self.advance(current, head.version)
    }

    /// Accepted changes after `version`, oldest first.
    pub fn entries_after(&self, version: u64) -> Result<Vec<Entry>, LedgerError> {
        let head = self.head_version()?;
        self.entries_between(version + 1, head)
    }

    /// Accepted changes `from` to `until`, both included, as far as they exist.
    pub fn entries_between(&self, from: u64, until: u64) -> Result<Vec<Entry>, LedgerError> {
        let mut entries = Vec::new();
        if from > until {
            return Ok(entries);
        }
        for block in from / BLOCK..=until / BLOCK {
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

    /// The configuration as it stood at `version`.
    pub fn load_version(&self, version: u64) -> Result<ActiveConfig, LedgerError> {
        self.rebuild(version / SNAPSHOT_EVERY * SNAPSHOT_EVERY, version)
    }

    /// The state at `version`, from the newest snapshot up to `snapshot`.
    fn rebuild(&self, snapshot: u64, version: u64) -> Result<ActiveConfig, LedgerError> {
        let mut current = ActiveConfig::default();
        let mut at = snapshot;
        while at > 0 && !self.restore(&mut current, at)? {
            at = at.saturating_sub(SNAPSHOT_EVERY);
        }
        self.advance(&mut current, version)?;
        Ok(current)
    }

    /// Whether the snapshot of `version` exists; it is then in `current`.
    fn restore(&self, current: &mut ActiveConfig, version: u64) -> Result<bool, LedgerError> {
        let name = snapshot_name(version);
        let Some(body) = self.objects.get(&name)? else {
            return Ok(false);
        };
        let text = String::from_utf8_lossy(&body);
        current.restore_text(version, &text)?;
        Ok(true)
    }

    fn advance(&self, current: &mut ActiveConfig, version: u64) -> Result<(), LedgerError> {
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
        let item = self.table.get(HEAD)?;
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
    C::deserialize(&item.value).map_err(|err| unreadable(&item.key, &err))
}

fn unreadable(key: &str, err: &serde_json::Error) -> LedgerError {
    LedgerError::Unreadable {
        key: key.into(),
        cause: err.to_string(),
    }
}
