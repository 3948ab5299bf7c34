//! Refusals for what the configuration's ledger answers.

use std::time::Duration;

use super::reply::Problem;
use crate::config::entry::Entry;
use crate::config::ledger::{LedgerError, ProposeError};
use crate::config::patch::redact_patch;
use crate::error::{Kind, Refusal};

/// Wait before another try while the table does not answer.
const TABLE_WAIT: Duration = Duration::from_secs(2);

/// The problem that a failed read amounts to.
pub fn unread(err: &LedgerError) -> Problem {
    let kind = match err {
        LedgerError::Platform(_) | LedgerError::StaleRead => Kind::TableDown,
        LedgerError::MissingVersion(_) => Kind::NotFound,
        LedgerError::Unreadable { .. } | LedgerError::Apply(_) => Kind::Internal,
    };
    let refusal = Refusal::new(kind, err.to_string());
    match kind {
        Kind::TableDown => refusal.retry_after(TABLE_WAIT).into(),
        _ => refusal.into(),
    }
}

/// The problem that a proposal without acceptance amounts to.
pub fn unaccepted(err: ProposeError) -> Problem {
    let detail = err.to_string();
    match err {
        ProposeError::Ledger(err) => unread(&err),
        ProposeError::Unknown { .. } => {
            let refusal = Refusal::new(Kind::OutcomeUnknown, detail);
            refusal.retry_after(TABLE_WAIT).into()
        }
        ProposeError::Conflict { head, changes, .. } => {
            let problem = Problem::from(Refusal::new(Kind::VersionConflict, detail));
            problem.with("head", head).with("changes", shown(changes))
        }
        ProposeError::Invalid(reasons) => {
            Problem::from(Refusal::new(Kind::InvalidConfig, detail)).with("reasons", reasons)
        }
        ProposeError::Forbidden { teams, .. } => {
            Problem::from(Refusal::new(Kind::Forbidden, detail)).with("teams", teams)
        }
    }
}

/// Changes without the keys of upstreams.
pub fn shown(mut entries: Vec<Entry>) -> Vec<Entry> {
    for entry in &mut entries {
        redact_patch(&mut entry.patch);
    }
    entries
}
