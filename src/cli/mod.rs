//! Command-line arguments and exit codes of the programs.

pub mod daemon;
pub mod tool;

/// An invalid command line.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{message}; see {program} --help")]
pub struct UsageError {
    /// Program.
    pub program: &'static str,
    /// Error message.
    pub message: String,
}

fn usage_error(program: &'static str, message: String) -> UsageError {
    UsageError { program, message }
}

/// Exit codes of both programs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::EnumIter)]
pub enum Exit {
    /// Success.
    Done = 0,
    /// Failure without a more specific code.
    Failed = 1,
    /// Invalid command line.
    Usage = 2,
    /// Invalid settings, profile or input file.
    Settings = 3,
    /// Refused because of key, role or team, or for an unknown object.
    Refused = 4,
    /// The configuration has changed since the base version.
    Conflict = 5,
    /// The patched configuration violates a rule.
    Invalid = 6,
    /// No host answers, or the table is unavailable.
    Unavailable = 7,
    /// Whether the request took effect is unknown.
    Unknown = 8,
    /// The time limit passed.
    Late = 9,
}

impl From<Exit> for std::process::ExitCode {
    fn from(exit: Exit) -> Self {
        std::process::ExitCode::from(exit as u8)
    }
}
