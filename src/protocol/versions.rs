//! Numbered configuration versions: acceptance of patches in the table, and
//! the changes that a daemon applies.

use serde::{Deserialize, Serialize};

use crate::config::Name;

/// Table item `config/head`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ConfigHead {
    /// Highest accepted version.
    pub version: u64,
    /// Attempt id of the patch that wrote it.
    pub attempt: Name,
    /// Version of the latest snapshot in the object store.
    pub snapshot: u64,
}

/// Decision on a patch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PatchDecision {
    /// The patch may be committed: the head to write, in one transaction with
    /// the log entry of its version.
    Write(ConfigHead),
    /// The patch was already accepted as this version.
    AlreadyAccepted(u64),
    /// Another patch was accepted on the same base.
    Conflict {
        /// Highest accepted version.
        current: u64,
    },
    /// The base of the patch does not exist.
    UnknownBase {
        /// Highest accepted version.
        current: u64,
    },
}

/// Decides on the patch `attempt` of the version `base`.
///
/// `next_attempt` is the attempt id in the log entry of `base + 1`, read after or
/// together with the head. The decision is repeated after a commit whose answer
/// was lost. The attempt id is a hash of operator, base and patch, so that a
/// patch sent again finds the version it was accepted as.
pub fn decide_patch(
    head: &ConfigHead,
    next_attempt: Option<&str>,
    base: u64,
    attempt: &Name,
) -> PatchDecision {
    if next_attempt == Some(attempt.as_ref()) {
        return PatchDecision::AlreadyAccepted(base + 1);
    }
    if head.version > base {
        return PatchDecision::Conflict {
            current: head.version,
        };
    }
    if head.version < base {
        return PatchDecision::UnknownBase {
            current: head.version,
        };
    }
    PatchDecision::Write(ConfigHead {
        version: base + 1,
        attempt: attempt.clone(),
        snapshot: head.snapshot,
    })
}

/// What a daemon does with a change that it receives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeAction {
    /// The change is the next one: apply it.
    Apply,
    /// The change is already applied.
    AlreadyApplied,
    /// Changes before it are missing: fetch them first.
    Gap {
        /// First missing version.
        first: u64,
    },
}

/// Returns what a daemon at version `current` does with the change to
/// `version`.
pub fn change_action(current: u64, version: u64) -> ChangeAction {
    match version {
        v if v <= current => ChangeAction::AlreadyApplied,
        v if v == current + 1 => ChangeAction::Apply,
        _ => ChangeAction::Gap { first: current + 1 },
    }
}

/// Returns whether a whole document of `version` replaces that of `current`.
pub fn is_newer_version(current: Option<u64>, version: u64) -> bool {
    current.is_none_or(|v| version > v)
}

/// Returns the version with which a starting daemon becomes ready: the highest
/// that the table or a peer has. `None` means not ready.
pub fn ready_version(table: Option<u64>, peers: impl IntoIterator<Item = u64>) -> Option<u64> {
    peers.into_iter().chain(table).max()
}
