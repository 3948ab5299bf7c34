//! Acceptance of proposals.

use std::sync::Arc;

use serde::Serialize;

use super::{HEAD, Head, Ledger, LedgerError, SNAPSHOT_EVERY, log_key, read_item, snapshot_name};
use crate::config::Name;
use crate::config::entry::{Entry, Proposal};
use crate::config::patch::{covers, merged, teams};
use crate::config::reason::{Reason, lines};
use crate::config::state::Current;
use crate::config::validate::broken;
use crate::outside::{Item, Objects, Precondition, Table, TableError, Write, WriteOp};

/// Versions between two tries of a snapshot that failed.
const SNAPSHOT_RETRY: u64 = 10;
/// Tries of one commit whose answer is lost or whose condition raced.
const TRIES: u32 = 3;
/// Most changes that a conflict lists.
const MOST_CHANGES: u64 = 100;

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

impl<T: Table, O: Objects> Ledger<'_, T, O> {
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
        let oldest = head.version.saturating_sub(MOST_CHANGES - 1);
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
        let name = snapshot_name(version);
        Ok(self.objects.put(&name, at.text().as_bytes())?)
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
    let expect = item.map_or(Precondition::Absent, |item| {
        Precondition::Version(item.version)
    });
    [
        put(HEAD, expect, head),
        put(&log_key(entry.version), Precondition::Absent, entry),
    ]
}

fn put(key: &str, expect: Precondition, content: &impl Serialize) -> Write {
    Write {
        key: key.into(),
        expect,
        op: WriteOp::Put(serde_json::to_value(content).unwrap_or_default()),
    }
}
