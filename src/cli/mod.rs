//! Command lines of the programs.

pub mod daemon;

use std::process::ExitCode;

/// Exit code after a planned end.
pub const EXIT_OK: u8 = 0;
/// Exit code after a failure at run time.
pub const EXIT_FAILED: u8 = 1;
/// Exit code for a wrong command line.
pub const EXIT_USAGE: u8 = 2;
/// Exit code for wrong settings.
pub const EXIT_SETTINGS: u8 = 3;

/// Writes `message` to standard error and answers `code`.
pub fn fail(code: u8, message: &dyn std::fmt::Display) -> ExitCode {
    eprintln!("{message}");
    ExitCode::from(code)
}
