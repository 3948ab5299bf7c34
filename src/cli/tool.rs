//! Command-line arguments of `mastichinge`.

use std::ffi::OsString;
use std::path::PathBuf;
use std::time::Duration;

use super::{UsageError, usage_error};

const PROGRAM: &str = "mastichinge";
/// Default of `--limit`, seconds.
const DEFAULT_LIMIT_S: u64 = 60;

mod flags {
    #![allow(missing_docs)]

    use std::path::PathBuf;

    xflags::xflags! {
        /// Tool for operators of mastichinge.
        ///
        /// Addresses of the operators' ports come from --hosts, MASTICHINGE_HOSTS
        /// or the profile; the key from MASTICHINGE_KEY or the profile. A profile
        /// is a file of JSON with comments that has `hosts`, an array of ip:port,
        /// and `key`; it is named by --profile or MASTICHINGE_PROFILE. When one
        /// host does not answer, the next is tried.
        ///
        /// Exit codes: 0 done, 1 failed, 2 wrong command line, 3 wrong profile or
        /// file, 4 refused, 5 the configuration has changed since, 6 the patch
        /// or a checked file breaks a rule, 7 no host or no table answers, 8 outcome unknown (send
        /// again with the same --attempt), 9 not finished within the time limit.
        cmd mastichinge {
            /// Addresses of operators' ports, separated by commas.
            optional --hosts list: String
            /// Profile with addresses and key.
            optional --profile file: PathBuf
            /// Print JSON in place of tables.
            optional --json

            /// Print the version of this program.
            cmd version {}

            /// Read and change the shared configuration.
            cmd config {
                /// Print the configuration in force, or one version of it.
                cmd show {
                    /// Version; the one in force without it.
                    optional --at version: u64
                }
                /// Print the merge patch that leads from one version to another.
                cmd diff {
                    /// Older version.
                    required from: u64
                    /// Newer version; the one in force without it.
                    optional until: u64
                }
                /// Check a patch before it is sent; sends nothing.
                ///
                /// Compares with the version in force at the named host, or with
                /// --against; with neither, with an empty configuration. Exit
                /// codes: 6 errors, 1 warnings with --strict.
                cmd check {
                    /// File with the patch or configuration, JSON with comments; - for
                    /// standard input.
                    required file: PathBuf
                    /// File with the configuration to compare with, in place of a host's.
                    optional --against file: PathBuf
                    /// Fail on warnings, too.
                    optional --strict
                }
                /// Apply a JSON Merge Patch (RFC 7396).
                cmd patch {
                    /// File with the patch, JSON with comments; - for standard input.
                    required file: PathBuf
                    /// Version that the patch was written for.
                    required --base version: u64
                    /// Attempt id of a patch that is sent again.
                    optional --attempt id: String
                    /// Wait until every host has the new version.
                    optional --wait
                    /// Time limit for sending and waiting, seconds (60).
                    optional --limit seconds: u64
                }
                /// List accepted changes, oldest first.
                cmd history {
                    /// First version.
                    optional --from version: u64
                    /// Number of changes (20).
                    optional --count number: u64
                }
                /// Print each new version as it comes into force, until stopped.
                cmd watch {
                    /// Stop after this many versions.
                    optional --count number: u64
                }
            }
            /// Print the state of the host that answers.
            cmd status {}
            /// List hosts with their configuration version.
            cmd hosts {}
            /// List models with their replicas.
            cmd models {
                /// Only names with this prefix.
                optional prefix: String
            }
            /// List engines with their memory and load.
            cmd engines {
                /// Only names with this prefix.
                optional prefix: String
            }
            /// List requests that are held because engines crashed on them.
            cmd held {}
            /// Let a held request run again.
            cmd release {
                /// Fingerprint, as `held` lists it.
                required fingerprint: String
            }
            /// List changes with operator, time and patch.
            cmd audit {
                /// First version.
                optional --from version: u64
                /// Number of changes (20).
                optional --count number: u64
            }
            /// Collect the log lines about one request from all hosts.
            ///
            /// Prints every line that names the request, and the lines about its
            /// engines and model from shortly before its first line to its last.
            cmd trace {
                /// Id of the request.
                required request: String
                /// Log files of JSON lines; - for standard input.
                repeated files: PathBuf
            }
            /// Drain one host: it finishes requests in progress and exits.
            cmd drain {
                /// Address of the host's operators' port, ip:port.
                required addr: String
                /// Wait until the host has ended.
                optional --wait
                /// Time limit for waiting, seconds (60).
                optional --limit seconds: u64
            }
        }
    }
}

/// Parsed command line of the tool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ToolArgs {
    /// Addresses, separated by commas.
    pub hosts: Option<String>,
    /// Profile file.
    pub profile: Option<PathBuf>,
    /// Print JSON instead of tables.
    pub json: bool,
    /// Command to run.
    pub command: Command,
}

/// Command of the tool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Print the help text.
    Help(String),
    /// Print the version of the program.
    Version,
    /// Print the configuration.
    Show {
        /// Version; the active one if none is given.
        at: Option<u64>,
    },
    /// Print the merge patch from one version to another.
    Diff {
        /// Older version.
        from: u64,
        /// Newer version; the active one if none is given.
        until: Option<u64>,
    },
    /// Check a patch.
    Check(CheckArgs),
    /// Apply a patch.
    Patch(PatchArgs),
    /// List changes.
    History(PageArgs),
    /// Print new versions as they become active.
    Watch {
        /// Stop after this many.
        count: Option<u64>,
    },
    /// Print a host's state.
    Status,
    /// List hosts.
    Hosts,
    /// List models.
    Models {
        /// Prefix of the names.
        prefix: String,
    },
    /// List engines.
    Engines {
        /// Prefix of the names.
        prefix: String,
    },
    /// List held requests.
    Held,
    /// Release a held request.
    Release {
        /// Fingerprint.
        fingerprint: String,
    },
    /// List changes with operator, time and whole patch.
    Audit(PageArgs),
    /// Collect the log lines about a request.
    Trace {
        /// Id of the request.
        request: String,
        /// Log files; `-` for standard input.
        files: Vec<PathBuf>,
    },
    /// Drain a host.
    Drain(DrainArgs),
}

/// Arguments of `config check`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CheckArgs {
    /// File with the patch; `-` for standard input.
    pub file: PathBuf,
    /// File with the configuration to compare with.
    pub against: Option<PathBuf>,
    /// Whether warnings fail the check.
    pub strict: bool,
}

/// Arguments of `config patch`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PatchArgs {
    /// File; `-` for standard input.
    pub file: PathBuf,
    /// Version that the patch was written for.
    pub base: u64,
    /// Attempt id; a random one if none is given.
    pub attempt: Option<String>,
    /// Wait until all hosts have the new version.
    pub wait: bool,
    /// Time limit.
    pub limit: Duration,
}

/// Arguments of `config history` and `audit`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PageArgs {
    /// First version.
    pub from: Option<u64>,
    /// Number of changes.
    pub count: Option<u64>,
}

/// Arguments of `drain`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DrainArgs {
    /// Address of the host's operators' port.
    pub addr: String,
    /// Wait until the daemon has ended.
    pub wait: bool,
    /// Time limit.
    pub limit: Duration,
}

/// Parses the arguments after the program name.
pub fn parse(args: Vec<OsString>) -> Result<ToolArgs, UsageError> {
    let flags = match flags::Mastichinge::from_vec(args) {
        Ok(flags) => flags,
        Err(err) if err.is_help() => return Ok(without_options(Command::Help(err.to_string()))),
        Err(err) => return Err(usage_error(PROGRAM, err.to_string())),
    };
    Ok(ToolArgs {
        hosts: flags.hosts,
        profile: flags.profile,
        json: flags.json,
        command: command(flags.subcommand),
    })
}

fn without_options(command: Command) -> ToolArgs {
    ToolArgs {
        hosts: None,
        profile: None,
        json: false,
        command,
    }
}

fn command(flags: flags::MastichingeCmd) -> Command {
    use flags::MastichingeCmd as Cmd;
    match flags {
        Cmd::Version(_) => Command::Version,
        Cmd::Config(config) => config_command(config.subcommand),
        Cmd::Status(_) => Command::Status,
        Cmd::Hosts(_) => Command::Hosts,
        Cmd::Models(models) => Command::Models {
            prefix: models.prefix.unwrap_or_default(),
        },
        Cmd::Engines(engines) => Command::Engines {
            prefix: engines.prefix.unwrap_or_default(),
        },
        Cmd::Held(_) => Command::Held,
        Cmd::Release(release) => Command::Release {
            fingerprint: release.fingerprint,
        },
        Cmd::Audit(audit) => Command::Audit(PageArgs {
            from: audit.from,
            count: audit.count,
        }),
        Cmd::Trace(trace) => Command::Trace {
            request: trace.request,
            files: trace.files,
        },
        Cmd::Drain(drain) => Command::Drain(DrainArgs {
            addr: drain.addr,
            wait: drain.wait,
            limit: time_limit(drain.limit),
        }),
    }
}

fn config_command(flags: flags::ConfigCmd) -> Command {
    use flags::ConfigCmd as Cmd;
    match flags {
        Cmd::Show(show) => Command::Show { at: show.at },
        Cmd::Diff(diff) => Command::Diff {
            from: diff.from,
            until: diff.until,
        },
        Cmd::Check(check) => Command::Check(CheckArgs {
            file: check.file,
            against: check.against,
            strict: check.strict,
        }),
        Cmd::Patch(patch) => Command::Patch(PatchArgs {
            file: patch.file,
            base: patch.base,
            attempt: patch.attempt,
            wait: patch.wait,
            limit: time_limit(patch.limit),
        }),
        Cmd::History(history) => Command::History(PageArgs {
            from: history.from,
            count: history.count,
        }),
        Cmd::Watch(watch) => Command::Watch { count: watch.count },
    }
}

fn time_limit(seconds: Option<u64>) -> Duration {
    Duration::from_secs(seconds.unwrap_or(DEFAULT_LIMIT_S))
}
