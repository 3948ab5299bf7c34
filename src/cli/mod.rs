//! Command lines of the programs.

pub mod daemon;
pub mod tool;

/// A wrong command line.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{message}; see {program} --help")]
pub struct UsageError {
    /// Program.
    pub program: &'static str,
    /// What was wrong.
    pub message: String,
}

fn usage_error(program: &'static str, message: String) -> UsageError {
    UsageError { program, message }
}

/// Exit codes of both programs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::EnumIter)]
pub enum Exit {
    /// Done as asked.
    Done = 0,
    /// Failed for a reason that has no code of its own.
    Failed = 1,
    /// Wrong command line.
    Usage = 2,
    /// Wrong settings, profile or input file.
    Settings = 3,
    /// Refused: key, role, team or an unknown object.
    Refused = 4,
    /// The configuration has changed since the base version.
    Conflict = 5,
    /// The patched configuration breaks a rule.
    Invalid = 6,
    /// No host, or no table behind it, answers.
    Unavailable = 7,
    /// Whether the request took effect is unknown.
    Unknown = 8,
    /// The time limit passed before the end.
    Late = 9,
}

impl From<Exit> for std::process::ExitCode {
    fn from(exit: Exit) -> Self {
        std::process::ExitCode::from(exit as u8)
    }
}
