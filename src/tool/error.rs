//! Errors of the tool and their exit codes.

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

/// Problem details (RFC 9457) from a host.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default)]
pub struct Problem {
    /// Kind of the refusal.
    pub kind: String,
    /// Sentence that names the offending input.
    pub detail: String,
    /// Request id.
    pub request_id: String,
    /// Changes since the base version.
    pub changes: Vec<Entry>,
    /// Violated rules.
    pub reasons: Vec<FieldError>,
}

impl Problem {
    /// Returns the kind, or none if a newer host sent an unknown one.
    pub fn known_kind(&self) -> Option<Kind> {
        Kind::from_str(&self.kind).ok()
    }
}

/// Error of a command.
#[derive(Debug, thiserror::Error)]
pub enum ToolError {
    /// The profile is invalid or missing.
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
    /// A checked file has findings that fail the check.
    #[error("{} has {errors} errors and {warnings} warnings", path.display())]
    Findings {
        /// File.
        path: PathBuf,
        /// Number of errors.
        errors: usize,
        /// Number of warnings.
        warnings: usize,
    },
    /// The host refused the request.
    #[error("{} refused: {}: {} (request {})", host, .problem.kind, .problem.detail, .problem.request_id)]
    Refused {
        /// Host.
        host: SocketAddr,
        /// Problem details of the refusal.
        problem: Box<Problem>,
    },
    /// No connection to the host, or no host is named.
    #[error("no host answers: {0}")]
    Unreachable(String),
    /// The request was sent and no response arrived.
    #[error("no answer from {0}")]
    NoAnswer(String),
    /// The response of the host is not valid.
    #[error("unexpected response from {host}: {cause}")]
    UnexpectedResponse {
        /// Host.
        host: SocketAddr,
        /// Cause.
        cause: String,
    },
    /// Whether the patch took effect is unknown.
    #[error("whether the patch took effect is unknown; send it again with --attempt {attempt}")]
    OutcomeUnknown {
        /// Attempt id.
        attempt: String,
    },
    /// The time limit passed.
    #[error("{what} not finished within {} s", limit.as_secs())]
    TimedOut {
        /// Operation that did not finish.
        what: String,
        /// Time limit.
        limit: Duration,
    },
    /// The output cannot be written.
    #[error("cannot write the output: {0}")]
    Output(#[from] io::Error),
}

impl ToolError {
    /// Creates the error of an unusable input file.
    pub fn input(path: &Path, cause: String) -> Self {
        ToolError::Input {
            path: path.to_owned(),
            cause,
        }
    }

    /// Returns whether the same request may succeed at another host.
    pub fn is_retryable(&self) -> bool {
        match self {
            ToolError::Unreachable(_) | ToolError::NoAnswer(_) => true,
            ToolError::Refused { problem, .. } => matches!(
                problem.known_kind(),
                Some(Kind::TableDown | Kind::NotReady | Kind::Draining | Kind::OutcomeUnknown)
            ),
            _ => false,
        }
    }

    /// Returns whether the request may have taken effect.
    pub fn is_uncertain(&self) -> bool {
        match self {
            ToolError::NoAnswer(_) => true,
            ToolError::Refused { problem, .. } => {
                problem.known_kind() == Some(Kind::OutcomeUnknown)
            }
            _ => false,
        }
    }

    /// Returns the exit code.
    pub fn exit(&self) -> Exit {
        match self {
            ToolError::Profile(_) | ToolError::Input { .. } => Exit::Settings,
            ToolError::Findings { errors, .. } if *errors > 0 => Exit::Invalid,
            ToolError::Refused { problem, .. } => refusal_exit(problem),
            ToolError::Unreachable(_) | ToolError::NoAnswer(_) => Exit::Unavailable,
            ToolError::OutcomeUnknown { .. } => Exit::Unknown,
            ToolError::TimedOut { .. } => Exit::Late,
            ToolError::Findings { .. }
            | ToolError::UnexpectedResponse { .. }
            | ToolError::Output(_) => Exit::Failed,
        }
    }
}

fn refusal_exit(problem: &Problem) -> Exit {
    match problem.known_kind() {
        Some(Kind::VersionConflict) => Exit::Conflict,
        Some(Kind::InvalidConfig) => Exit::Invalid,
        Some(Kind::TableDown | Kind::NotReady | Kind::Draining) => Exit::Unavailable,
        Some(Kind::OutcomeUnknown) => Exit::Unknown,
        Some(Kind::Internal) | None => Exit::Failed,
        Some(_) => Exit::Refused,
    }
}
