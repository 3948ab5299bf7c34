//! Error responses for failures of the configuration ledger.

use std::time::Duration;

use super::response::Problem;
use crate::config::entry::Entry;
use crate::config::ledger::{LedgerError, ProposeError};
use crate::config::patch::redact_patch;
use crate::error::{Kind, Refusal};

/// `Retry-After` while the table is unavailable.
const TABLE_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Returns the error response for a failed read of the ledger.
pub fn ledger_problem(err: &LedgerError) -> Problem {
    let kind = match err {
        LedgerError::Platform(_) | LedgerError::StaleRead => Kind::TableDown,
        LedgerError::MissingVersion(_) => Kind::NotFound,
        LedgerError::Unreadable { .. } | LedgerError::Apply(_) => Kind::Internal,
    };
    let refusal = Refusal::new(kind, err.to_string());
    match kind {
        Kind::TableDown => refusal.retry_after(TABLE_RETRY_AFTER).into(),
        _ => refusal.into(),
    }
}

/// Returns the error response for a failed proposal.
pub fn proposal_problem(err: ProposeError) -> Problem {
    let detail = err.to_string();
    match err {
        ProposeError::Ledger(err) => ledger_problem(&err),
        ProposeError::Unknown { .. } => {
            let refusal = Refusal::new(Kind::OutcomeUnknown, detail);
            refusal.retry_after(TABLE_RETRY_AFTER).into()
        }
        ProposeError::Conflict { head, changes, .. } => {
            let problem = Problem::from(Refusal::new(Kind::VersionConflict, detail));
            problem
                .with_member("head", head)
                .with_member("changes", redact_entries(changes))
        }
        ProposeError::Invalid(reasons) => {
            Problem::from(Refusal::new(Kind::InvalidConfig, detail)).with_member("reasons", reasons)
        }
        ProposeError::Forbidden { teams, .. } => {
            Problem::from(Refusal::new(Kind::Forbidden, detail)).with_member("teams", teams)
        }
    }
}

/// Replaces the keys of upstreams in the patches by a placeholder.
pub fn redact_entries(mut entries: Vec<Entry>) -> Vec<Entry> {
    for entry in &mut entries {
        redact_patch(&mut entry.patch);
    }
    entries
}
