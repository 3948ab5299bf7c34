//! The configuration's head, log and snapshots in the platform's services.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::Name;
use super::entry::{Entry, Proposal};
use super::patch::{covers, merged, teams};
use super::reason::{Reason, lines};
use super::state::{ApplyError, Current};
use super::validate::broken;
use crate::platform::{Expect, Item, Objects, Op, Table, TableError, Write};

const HEAD: &str = "config/head";
/// Versions between two snapshots.
const SNAPSHOT_EVERY: u64 = 100;
/// Versions between two tries of a snapshot that failed.
const SNAPSHOT_RETRY: u64 = 10;
/// Versions whose log keys share a prefix, so that one scan reads them.
const BLOCK: u64 = 100;
/// Tries of one commit whose answer is lost or whose condition raced.
const TRIES: u32 = 3;
/// Most changes that a conflict lists.
const MOST_CHANGES: usize = 100;

/// Content of the head.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Head {
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
    Missing(u64),
    /// The table kept answering with old content.
    #[error("the table's answers are older than what is known here")]
    Raced,
}

/// Why a proposal was not accepted.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ProposeError {
    /// Nothing was sent to the table; it did not answer.
    #[error("the configuration cannot be read: {0}")]
    Ledger(#[from] LedgerError),
    /// The commit was sent; whether it took effect is unknown.
    #[error("whether attempt {attempt} was accepted is unknown; send it again unchanged")]
    Unknown {
        /// Attempt id of the proposal.
        attempt: Name,
    },
    /// Another change came first.
    #[error("the configuration is at version {head} and no longer at {base}")]
    Conflict {
        /// Version that the proposal names.
        base: u64,
        /// Newest version.
        head: u64,
        /// Changes after `base`, oldest first; the newest hundred.
        changes: Vec<Entry>,
    },
    /// The patch breaks rules.
    #[error("the patch breaks rules:{}", lines(.0))]
    Invalid(Vec<Reason>),
    /// The patch touches objects of other teams.
    #[error("operator {who} may not touch objects of {}", .teams.join(", "))]
    Forbidden {
        /// Operator.
        who: Name,
        /// Teams whose objects the patch touches without permission.
        teams: Vec<Name>,
    },
}

/// The configuration's records in the platform's services.
#[derive(Clone, Copy, Debug)]
pub struct Ledger<'a, T, O> {
    table: &'a T,
    objects: &'a O,
}

impl<'a, T: Table, O: Objects> Ledger<'a, T, O> {
    /// The ledger in these services.
    pub fn new(table: &'a T, objects: &'a O) -> Self {
        Ledger { table, objects }
    }

    /// The newest version's number, for polling.
    pub fn head(&self) -> Result<u64, LedgerError> {
        Ok(self.read_head()?.1.version)
    }

    /// Reads the newest version from snapshot and log.
    pub fn load(&self) -> Result<Current, LedgerError> {
        let head = self.read_head()?.1;
        self.rebuild(head.snapshot, head.version)
    }

    /// Brings `current` up to the newest version in the table.
    pub fn refresh(&self, current: &mut Current) -> Result<(), LedgerError> {
        let head = self.read_head()?.1;
        if head.snapshot > current.version {
            *current = self.rebuild(head.snapshot, head.version)?;
        }
        self.advance(current, head.version)
    }

    /// Accepted changes after `version`, oldest first.
    pub fn since(&self, version: u64) -> Result<Vec<Entry>, LedgerError> {
        let head = self.head()?;
        self.range(version + 1, head)
    }

    /// Accepted changes `from` to `until`, both included, as far as they exist.
    pub fn range(&self, from: u64, until: u64) -> Result<Vec<Entry>, LedgerError> {
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
    pub fn at(&self, version: u64) -> Result<Current, LedgerError> {
        self.rebuild(version / SNAPSHOT_EVERY * SNAPSHOT_EVERY, version)
    }

    /// Puts a patch into force; `current` is the version known here.
    ///
    /// A proposal sent again finds the version that it made.
    pub fn propose(&self, current: &Current, proposal: &Proposal) -> Result<Entry, ProposeError> {
        let mut current = current.clone();
        let mut sent = false;
        for _ in 0..TRIES {
            match self.attempt(&mut current, proposal, &mut sent) {
                Ok(Some(entry)) => return Ok(entry),
                Ok(None) => {}
                Err(ProposeError::Ledger(_)) if sent => {}
                Err(err) => return Err(err),
            }
        }
        if !sent {
            return Err(LedgerError::Raced.into());
        }
        let attempt = proposal.attempt.clone();
        Err(ProposeError::Unknown { attempt })
    }

    /// One try; `None` asks for another, `sent` tells of a commit without answer.
    fn attempt(
        &self,
        current: &mut Current,
        proposal: &Proposal,
        sent: &mut bool,
    ) -> Result<Option<Entry>, ProposeError> {
        let (item, head) = self.read_head()?;
        if current.version > head.version {
            return Ok(None);
        }
        if head.version != proposal.base {
            return self.settled(&head, proposal).map(Some);
        }
        self.advance(current, head.version)?;
        permit(current, proposal)?;
        let entry = Entry::accepting(proposal);
        let head = self.next_head(current, &head, &entry);
        let writes = writes(item.as_ref(), &head, &entry);
        match self.table.commit(&writes) {
            Ok(_) => Ok(Some(entry)),
            Err(TableError::Conflict { .. }) => Ok(None),
            Err(TableError::Unavailable(_)) => {
                *sent = true;
                Ok(None)
            }
            Err(err) => Err(LedgerError::from(err).into()),
        }
    }

    /// The outcome of a proposal whose base is no longer the newest version.
    fn settled(&self, head: &Head, proposal: &Proposal) -> Result<Entry, ProposeError> {
        let next = proposal.base.saturating_add(1);
        if head.version >= next {
            let item = self.table.get(&log_key(next)).map_err(LedgerError::from)?;
            let entry: Option<Entry> = item.as_ref().map(read_item).transpose()?;
            if let Some(entry) = entry.filter(|entry| entry.is_of(proposal)) {
                return Ok(entry);
            }
        }
        let oldest = head.version.saturating_sub(MOST_CHANGES as u64 - 1);
        let changes = if head.version >= next {
            self.range(next.max(oldest), head.version)?
        } else {
            Vec::new()
        };
        Err(ProposeError::Conflict {
            base: proposal.base,
            head: head.version,
            changes,
        })
    }

    /// The head after `entry`, with a new snapshot when one is due.
    fn next_head(&self, current: &Current, head: &Head, entry: &Entry) -> Head {
        let mut snapshot = head.snapshot;
        let due = current.version / SNAPSHOT_EVERY * SNAPSHOT_EVERY;
        let turn = current.version.is_multiple_of(SNAPSHOT_RETRY);
        if due > snapshot && turn && self.snapshot(current, due).is_ok() {
            snapshot = due;
        }
        Head {
            version: entry.version,
            attempt: entry.attempt.clone(),
            snapshot,
        }
    }

    fn snapshot(&self, current: &Current, version: u64) -> Result<(), LedgerError> {
        let at = if current.version == version {
            current.clone()
        } else {
            self.at(version)?
        };
        let body = at.document().to_string();
        Ok(self.objects.put(&snapshot_name(version), body.as_bytes())?)
    }

    /// The state at `version`, from the newest snapshot up to `snapshot`.
    fn rebuild(&self, snapshot: u64, version: u64) -> Result<Current, LedgerError> {
        let mut current = Current::default();
        let mut at = snapshot;
        while at > 0 && !self.restore(&mut current, at)? {
            at = at.saturating_sub(SNAPSHOT_EVERY);
        }
        self.advance(&mut current, version)?;
        Ok(current)
    }

    /// Whether the snapshot of `version` exists; it is then in `current`.
    fn restore(&self, current: &mut Current, version: u64) -> Result<bool, LedgerError> {
        let name = snapshot_name(version);
        let Some(body) = self.objects.get(&name)? else {
            return Ok(false);
        };
        let document: Value =
            serde_json::from_slice(&body).map_err(|err| unreadable(&name, &err))?;
        current.restore(version, &document)?;
        Ok(true)
    }

    fn advance(&self, current: &mut Current, version: u64) -> Result<(), LedgerError> {
        if version <= current.version {
            return Ok(());
        }
        for entry in self.range(current.version + 1, version)? {
            current.apply(&entry)?;
        }
        if current.version < version {
            return Err(LedgerError::Missing(current.version + 1));
        }
        Ok(())
    }

    fn read_head(&self) -> Result<(Option<Item>, Head), LedgerError> {
        let item = self.table.get(HEAD)?;
        let head = item.as_ref().map(read_item).transpose()?;
        Ok((item, head.unwrap_or_default()))
    }
}

/// Whether the patch keeps the rules and touches only the operator's teams.
fn permit(current: &Current, proposal: &Proposal) -> Result<(), ProposeError> {
    let old = &current.config;
    let new = merged(old, &proposal.patch).map_err(ProposeError::Invalid)?;
    let mut foreign = Vec::new();
    for team in teams(old, &new) {
        if !covers(&proposal.teams, &team) {
            foreign.push(team);
        }
    }
    if !foreign.is_empty() {
        return Err(ProposeError::Forbidden {
            who: Arc::clone(&proposal.who),
            teams: foreign,
        });
    }
    let reasons = broken(old, &new);
    if reasons.is_empty() {
        Ok(())
    } else {
        Err(ProposeError::Invalid(reasons))
    }
}

fn writes(item: Option<&Item>, head: &Head, entry: &Entry) -> [Write; 2] {
    let expect = item.map_or(Expect::Absent, |item| Expect::Version(item.version));
    [
        put(HEAD, expect, head),
        put(&log_key(entry.version), Expect::Absent, entry),
    ]
}

fn put(key: &str, expect: Expect, content: &impl Serialize) -> Write {
    Write {
        key: key.into(),
        expect,
        op: Op::Put(serde_json::to_value(content).unwrap_or_default()),
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
