//! Records of accepted configuration changes.

use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::Name;

/// A patch that an operator submits.
#[derive(Clone, Debug, PartialEq)]
pub struct Proposal {
    /// Version that the patch was written for.
    pub base: u64,
    /// JSON Merge Patch (RFC 7396).
    pub patch: Value,
    /// Name of the operator.
    pub who: Name,
    /// Teams whose objects the operator may change; `*` for all.
    pub teams: Vec<Name>,
    /// Attempt id; the same when the patch is sent again, so that it takes effect once.
    pub attempt: Name,
    /// Time of the request, seconds since the Unix epoch.
    pub unix: u64,
}

/// An accepted change; the log of these entries is the audit trail.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Version that the change created.
    pub version: u64,
    /// Version that the patch was applied to.
    pub base: u64,
    /// JSON Merge Patch (RFC 7396).
    pub patch: Value,
    /// Name of the operator.
    pub who: Name,
    /// Time of the request, seconds since the Unix epoch.
    pub unix: u64,
    /// Attempt id of the request.
    pub attempt: Name,
}

impl Entry {
    /// Returns the log entry that accepts `proposal`.
    pub fn from_proposal(proposal: &Proposal) -> Self {
        Entry {
            version: proposal.base + 1,
            base: proposal.base,
            patch: proposal.patch.clone(),
            who: proposal.who.clone(),
            unix: proposal.unix,
            attempt: proposal.attempt.clone(),
        }
    }

    /// Returns whether the entry came from `proposal`, sent now or earlier.
    pub fn matches_proposal(&self, proposal: &Proposal) -> bool {
        self.base == proposal.base
            && self.attempt == proposal.attempt
            && self.who == proposal.who
            && self.patch == proposal.patch
    }
}
