//! Validates proposals and commits them to the log.

use std::sync::Arc;

use serde::Serialize;

use super::{
    ConfigHead, ConfigLedger, HEAD_KEY, LedgerError, VERSIONS_PER_SNAPSHOT, log_key, read_item,
    snapshot_name,
};
use crate::config::Name;
use crate::config::entry::{Entry, Proposal};
use crate::config::field_error::{FieldError, format_errors};
use crate::config::patch::{affected_teams, apply_patch, covers_team};
use crate::config::state::ActiveConfig;
use crate::config::validate::violations;
use crate::outside::{Item, Objects, Precondition, Table, TableError, Write, WriteOp};

/// Number of versions between two attempts to write a snapshot that is due.
const SNAPSHOT_RETRY_VERSIONS: u64 = 10;
/// Maximum attempts at one commit whose reply is lost or whose condition fails.
const MAX_COMMIT_ATTEMPTS: u32 = 3;
/// Maximum number of changes that a conflict lists.
const MAX_CONFLICT_CHANGES: u64 = 100;

/// Error of a proposal that was not accepted, or whose outcome is unknown.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ProposeError {
    /// The ledger could not be read or written, and no commit took effect.
    #[error("the configuration cannot be read: {0}")]
    Ledger(#[from] LedgerError),
    /// A commit was sent, and whether it took effect is unknown.
    #[error("whether attempt {attempt} was accepted is unknown; send it again unchanged")]
    Unknown {
        /// Attempt id of the proposal.
        attempt: Name,
    },
    /// The base of the proposal is not the latest version.
    #[error("the configuration is at version {head} and no longer at {base}")]
    Conflict {
        /// Version that the proposal names.
        base: u64,
        /// Latest version.
        head: u64,
        /// The latest 100 changes after `base`, oldest first.
        changes: Vec<Entry>,
    },
    /// The patch or the resulting configuration is invalid.
    #[error("the patch breaks rules:{}", format_errors(.0))]
    Invalid(Vec<FieldError>),
    /// The patch changes objects of teams that the operator may not change.
    #[error("operator {who} may not touch objects of {}", .teams.join(", "))]
    Forbidden {
        /// Name of the operator.
        who: Name,
        /// Teams whose objects the patch changes without permission.
        teams: Vec<Name>,
    },
}

impl<T: Table, O: Objects> ConfigLedger<'_, T, O> {
    /// Validates a patch and commits it as the next version; `current` is the version
    /// that this daemon has.
    ///
    /// A proposal sent again returns the entry that it created the first time.
    pub fn propose(
        &self,
        current: &ActiveConfig,
        proposal: &Proposal,
    ) -> Result<Entry, ProposeError> {
        let mut current = current.clone();
        let mut unanswered = false;
        for _ in 0..MAX_COMMIT_ATTEMPTS {
            match self.try_commit(&mut current, proposal, &mut unanswered) {
                Ok(Some(entry)) => return Ok(entry),
                Ok(None) => {}
                Err(ProposeError::Ledger(_)) if unanswered => {}
                Err(err) => return Err(err),
            }
        }
        if !unanswered {
            return Err(LedgerError::StaleRead.into());
        }
        let attempt = proposal.attempt.clone();
        Err(ProposeError::Unknown { attempt })
    }

    /// Attempts the commit once. Returns `None` when another attempt is needed;
    /// sets `unanswered` when a commit got no reply.
    fn try_commit(
        &self,
        current: &mut ActiveConfig,
        proposal: &Proposal,
        unanswered: &mut bool,
    ) -> Result<Option<Entry>, ProposeError> {
        let (item, head) = self.read_head()?;
        if current.version > head.version {
            return Ok(None);
        }
        if head.version != proposal.base {
            return self.accepted_or_conflict(&head, proposal).map(Some);
        }
        self.apply_log(current, head.version)?;
        check_proposal(current, proposal)?;
        let entry = Entry::from_proposal(proposal);
        let head = self.next_head(current, &head, &entry);
        let writes = commit_writes(item.as_ref(), &head, &entry);
        match self.table.commit(&writes) {
            Ok(_) => Ok(Some(entry)),
            Err(TableError::Conflict { .. }) => Ok(None),
            Err(TableError::Unavailable(_)) => {
                *unanswered = true;
                Ok(None)
            }
            Err(err) => Err(LedgerError::from(err).into()),
        }
    }

    /// Returns the entry of a proposal that was accepted earlier, or the conflict of
    /// a proposal whose base is not the latest version.
    fn accepted_or_conflict(
        &self,
        head: &ConfigHead,
        proposal: &Proposal,
    ) -> Result<Entry, ProposeError> {
        let next = proposal.base.saturating_add(1);
        if head.version >= next {
            let item = self.table.get(&log_key(next)).map_err(LedgerError::from)?;
            let entry: Option<Entry> = item.as_ref().map(read_item).transpose()?;
            if let Some(entry) = entry.filter(|entry| entry.matches_proposal(proposal)) {
                return Ok(entry);
            }
        }
        let oldest = head.version.saturating_sub(MAX_CONFLICT_CHANGES - 1);
        let changes = if head.version >= next {
            self.entries_between(next.max(oldest), head.version)?
        } else {
            Vec::new()
        };
        Err(ProposeError::Conflict {
            base: proposal.base,
            head: head.version,
            changes,
        })
    }

    /// Returns the head after `entry`; writes a snapshot when one is due.
    fn next_head(&self, current: &ActiveConfig, head: &ConfigHead, entry: &Entry) -> ConfigHead {
        let mut snapshot = head.snapshot;
        let due = current.version / VERSIONS_PER_SNAPSHOT * VERSIONS_PER_SNAPSHOT;
        let may_write = current.version.is_multiple_of(SNAPSHOT_RETRY_VERSIONS);
        if due > snapshot && may_write && self.write_snapshot(current, due).is_ok() {
            snapshot = due;
        }
        ConfigHead {
            version: entry.version,
            attempt: entry.attempt.clone(),
            snapshot,
        }
    }

    fn write_snapshot(&self, current: &ActiveConfig, version: u64) -> Result<(), LedgerError> {
        let config = if current.version == version {
            current.clone()
        } else {
            self.load_version(version)?
        };
        let name = snapshot_name(version);
        Ok(self.objects.put(&name, config.document_text().as_bytes())?)
    }
}

/// Checks that the patch is valid and changes only objects of the operator's teams.
fn check_proposal(current: &ActiveConfig, proposal: &Proposal) -> Result<(), ProposeError> {
    let old = &current.config;
    let new = apply_patch(old, &proposal.patch).map_err(ProposeError::Invalid)?;
    let mut forbidden = Vec::new();
    for team in affected_teams(old, &new) {
        if !covers_team(&proposal.teams, &team) {
            forbidden.push(team);
        }
    }
    if !forbidden.is_empty() {
        return Err(ProposeError::Forbidden {
            who: Arc::clone(&proposal.who),
            teams: forbidden,
        });
    }
    let errors = violations(old, &new);
    if errors.is_empty() {
        Ok(())
    } else {
        Err(ProposeError::Invalid(errors))
    }
}

fn commit_writes(item: Option<&Item>, head: &ConfigHead, entry: &Entry) -> [Write; 2] {
    let expect = item.map_or(Precondition::Absent, |item| {
        Precondition::Version(item.version)
    });
    [
        put_write(HEAD_KEY, expect, head),
        put_write(&log_key(entry.version), Precondition::Absent, entry),
    ]
}

fn put_write(key: &str, expect: Precondition, content: &impl Serialize) -> Write {
    Write {
        key: key.into(),
        expect,
        op: WriteOp::Put(serde_json::to_value(content).unwrap_or_default()),
    }
}
