//! Command-line arguments of `mastichinged`.

use std::ffi::OsString;
use std::path::PathBuf;

pub use super::UsageError;

use super::usage_error;
use flags::Mastichinged;

const PROGRAM: &str = "mastichinged";

mod flags {
    #![allow(missing_docs)]

    use std::path::PathBuf;

    xflags::xflags! {
        /// Daemon of an entry host: routes callers to models and plain services.
        ///
        /// One of --settings, --check, --edge, --check-edge and --version must be given. SIGTERM or
        /// SIGINT drains the host: it is no longer listed as an entry host,
        /// finishes requests in progress and hands its pools over.
        ///
        /// Exit codes: 0 after a drain or a passed check, 1 after a failure,
        /// 2 for a wrong command line, 3 for wrong settings.
        cmd mastichinged {
            /// Run with the settings in this file (JSON with comments).
            optional --settings file: PathBuf
            /// Validate this settings file, name every wrong field, and exit.
            optional --check file: PathBuf
            /// Run as an edge host of the users' platform. The settings file is
            /// the one that the platform names in the environment.
            optional --edge
            /// Validate this settings file of an edge host and exit.
            optional --check-edge file: PathBuf
            /// Print the version and exit.
            optional --version
        }
    }
}

/// Parsed command line of the daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DaemonArgs {
    /// Run until SIGINT, SIGTERM or an operator's drain.
    Run {
        /// Settings file.
        settings: PathBuf,
    },
    /// Validate a settings file.
    Check {
        /// Settings file.
        settings: PathBuf,
    },
    /// Run as an edge host until a signal.
    Edge,
    /// Validate a settings file of an edge host.
    CheckEdge {
        /// Settings file.
        settings: PathBuf,
    },
    /// Print the version.
    Version,
    /// Print this help text.
    Help(String),
}

/// Parses the arguments after the program name.
pub fn parse(args: Vec<OsString>) -> Result<DaemonArgs, UsageError> {
    let flags = match Mastichinged::from_vec(args) {
        Ok(flags) => flags,
        Err(err) if err.is_help() => return Ok(DaemonArgs::Help(err.to_string())),
        Err(err) => return Err(usage_error(PROGRAM, err.to_string())),
    };
    if flags.version {
        return Ok(DaemonArgs::Version);
    }
    match (flags.settings, flags.check, flags.edge, flags.check_edge) {
        (Some(settings), None, false, None) => Ok(DaemonArgs::Run { settings }),
        (None, Some(settings), false, None) => Ok(DaemonArgs::Check { settings }),
        (None, None, true, None) => Ok(DaemonArgs::Edge),
        (None, None, false, Some(settings)) => Ok(DaemonArgs::CheckEdge { settings }),
        _ => Err(usage_error(
            PROGRAM,
            "give one of --settings, --check, --edge and --check-edge".to_owned(),
        )),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use test_case::test_case;

    fn parse_line(line: &str) -> Result<DaemonArgs, UsageError> {
        parse(line.split_whitespace().map(OsString::from).collect())
    }

    #[test_case("--settings a" => Ok(DaemonArgs::Run { settings: "a".into() }))]
    #[test_case("--check a" => Ok(DaemonArgs::Check { settings: "a".into() }))]
    #[test_case("--edge" => Ok(DaemonArgs::Edge))]
    #[test_case("--check-edge a" => Ok(DaemonArgs::CheckEdge { settings: "a".into() }))]
    #[test_case("--version" => Ok(DaemonArgs::Version))]
    fn a_single_action_is_accepted(line: &str) -> Result<DaemonArgs, UsageError> {
        parse_line(line)
    }

    #[test_case("")]
    #[test_case("--settings a --check b")]
    #[test_case("--edge --check a")]
    #[test_case("--setings a")]
    fn a_missing_conflicting_or_unknown_flag_is_refused(line: &str) {
        assert!(parse_line(line).is_err());
    }

    #[test]
    fn help_names_the_settings_and_check_flags() {
        let Ok(DaemonArgs::Help(text)) = parse_line("--help") else {
            panic!("no help text");
        };
        assert!(text.contains("--settings") && text.contains("--check"));
    }
}
