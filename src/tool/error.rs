//! Failures of the tool and their exit codes.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::str::FromStr;
use std::time::Duration;

use serde::Deserialize;

use crate::cli::Exit;
use crate::config::entry::Entry;
use crate::config::field_error::FieldError;
use crate::error::Kind;

/// Problem details (RFC 9457) as a host sends them.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default)]
pub struct Problem {
    /// Kind of the refusal.
    pub kind: String,
    /// What was wrong with the input.
    pub detail: String,
    /// Request id.
    pub request_id: String,
    /// Changes since the base version.
    pub changes: Vec<Entry>,
    /// Broken rules.
    pub reasons: Vec<FieldError>,
}

impl Problem {
    /// Kind from the closed list; none for that of a newer host.
    pub fn known(&self) -> Option<Kind> {
        Kind::from_str(&self.kind).ok()
    }
}

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum ToolError {
    /// The profile is wrong or missing.
    #[error("{0}")]
    Profile(String),
    /// An input file cannot be used.
    #[error("cannot use {}: {cause}", path.display())]
    Input {
        /// File.
        path: PathBuf,
        /// Cause.
        cause: String,
    },
    /// The host refused.
    #[error("{} refused: {}: {} (request {})", host, .problem.kind, .problem.detail, .problem.request_id)]
    Refused {
        /// Host.
        host: SocketAddr,
        /// What it said.
        problem: Box<Problem>,
    },
    /// No host answers.
    #[error("no host answers: {0}")]
    Unreached(String),
    /// A request went out and no answer came.
    #[error("no answer from {0}")]
    Broken(String),
    /// The host's answer makes no sense.
    #[error("{host} answered something unexpected: {cause}")]
    Answer {
        /// Host.
        host: SocketAddr,
        /// What was wrong.
        cause: String,
    },
    /// Whether the patch took effect is unknown.
    #[error("whether the patch took effect is unknown; send it again with --attempt {attempt}")]
    Unknown {
        /// Attempt id.
        attempt: String,
    },
    /// The time limit passed.
    #[error("{what} not finished within {} s", limit.as_secs())]
    Late {
        /// What was waited for.
        what: String,
        /// Time limit.
        limit: Duration,
    },
    /// The output cannot be written.
    #[error("cannot write the output: {0}")]
    Output(#[from] io::Error),
}

impl ToolError {
    /// The file at `path` cannot be used.
    pub fn input(path: &Path, cause: String) -> Self {
        ToolError::Input {
            path: path.to_owned(),
            cause,
        }
    }

    /// Whether another host may answer what this one could not.
    pub fn passes(&self) -> bool {
        match self {
            ToolError::Unreached(_) | ToolError::Broken(_) => true,
            ToolError::Refused { problem, .. } => matches!(
                problem.known(),
                Some(Kind::TableDown | Kind::NotReady | Kind::Draining | Kind::OutcomeUnknown)
            ),
            _ => false,
        }
    }

    /// Whether the request may have taken effect.
    pub fn uncertain(&self) -> bool {
        match self {
            ToolError::Broken(_) => true,
            ToolError::Refused { problem, .. } => problem.known() == Some(Kind::OutcomeUnknown),
            _ => false,
        }
    }

    /// Exit code of this failure.
    pub fn exit(&self) -> Exit {
        match self {
            ToolError::Profile(_) | ToolError::Input { .. } => Exit::Settings,
            ToolError::Refused { problem, .. } => refused(problem),
            ToolError::Unreached(_) | ToolError::Broken(_) => Exit::Unavailable,
            ToolError::Unknown { .. } => Exit::Unknown,
            ToolError::Late { .. } => Exit::Late,
            ToolError::Answer { .. } | ToolError::Output(_) => Exit::Failed,
        }
    }
}

fn refused(problem: &Problem) -> Exit {
    match problem.known() {
        Some(Kind::VersionConflict) => Exit::Conflict,
        Some(Kind::InvalidConfig) => Exit::Invalid,
        Some(Kind::TableDown | Kind::NotReady | Kind::Draining) => Exit::Unavailable,
        Some(Kind::OutcomeUnknown) => Exit::Unknown,
        Some(Kind::Internal) | None => Exit::Failed,
        Some(_) => Exit::Refused,
    }
}
