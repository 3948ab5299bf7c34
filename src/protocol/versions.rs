//! Numbered configuration versions: acceptance in the table, and what a daemon
//! applies.

use serde::{Deserialize, Serialize};

use crate::config::Name;

/// Content of `config/head`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ConfigHead {
    /// Highest accepted version.
    pub version: u64,
    /// Attempt id of its writer.
    pub attempt: Name,
    /// Version of the latest snapshot in the object store.
    pub snapshot: u64,
}

/// What became of a patch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PatchDecision {
    /// The head to commit, in one transaction with the log entry of its
    /// version.
    Write(ConfigHead),
    /// This patch was accepted before, as this version.
    AlreadyAccepted(u64),
    /// Another patch was accepted on the same base.
    Conflict {
        /// Highest accepted version.
        current: u64,
    },
    /// The patch names a version that does not exist.
    UnknownBase {
        /// Highest accepted version.
        current: u64,
    },
}

/// What a patch of `base` by `attempt` finds.
///
/// `next` is the attempt id in the log entry of `base + 1`, read after or
/// together with the head; the same question is asked again after a commit
/// whose answer was lost. The attempt id is a hash of operator, base and patch,
/// so that a patch sent again finds its own version.
pub fn decide_patch(
    head: &ConfigHead,
    next: Option<&str>,
    base: u64,
    attempt: &Name,
) -> PatchDecision {
    if next == Some(attempt.as_ref()) {
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

/// What a daemon does with a change that it learns of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeAction {
    /// It is the next one: apply it.
    Apply,
    /// It is known already.
    AlreadyApplied,
    /// Changes between are missing: fetch them first.
    Gap {
        /// First missing version.
        first: u64,
    },
}

/// What a daemon that has `have` does with the change to `version`.
pub fn change_action(have: u64, version: u64) -> ChangeAction {
    match version {
        v if v <= have => ChangeAction::AlreadyApplied,
        v if v == have + 1 => ChangeAction::Apply,
        _ => ChangeAction::Gap { first: have + 1 },
    }
}

/// Whether a whole document of `version` replaces one of `have`.
pub fn is_newer_version(have: Option<u64>, version: u64) -> bool {
    have.is_none_or(|h| version > h)
}

/// The version with which a daemon that starts becomes ready: the highest that
/// the table or a peer shows; `None` means not ready.
pub fn ready_version(table: Option<u64>, peers: impl IntoIterator<Item = u64>) -> Option<u64> {
    peers.into_iter().chain(table).max()
}
