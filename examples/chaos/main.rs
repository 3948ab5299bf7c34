//! A randomised fault-injection run against five daemons and the fakes of their site.
//!
//! Callers and operators send requests while faults drawn from a seed are injected.
//! At the end all faults are undone, and a checker compares the journals of the fakes
//! with the replies that callers received. The exit code is 1 on a violation.

mod callers;
mod check;
mod daemon;
#[path = "../../tests/env/mod.rs"]
mod env;
mod faults;
mod history;
mod operators;
mod run;

use std::error::Error;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

mod flags {
    #![allow(missing_docs)]

    use std::path::PathBuf;

    xflags::xflags! {
        /// A randomised fault-injection run against five daemons.
        cmd chaos {
            /// Seed of all random choices.
            optional --seed number: u64
            /// Duration of the fault injection, in seconds.
            optional --seconds number: u64
            /// Run as the daemon of a host; used by the program itself.
            optional --daemon
            /// Settings file of the daemon.
            optional --settings file: PathBuf
        }
    }
}

/// Seed without `--seed`.
const DEFAULT_SEED: u64 = 1;
/// Duration without `--seconds`, seconds.
const DEFAULT_DURATION_S: u64 = 60;

fn main() -> Result<ExitCode, Box<dyn Error>> {
    let flags = flags::Chaos::from_env_or_exit();
    if flags.daemon {
        let path: PathBuf = flags.settings.ok_or("--daemon needs --settings")?;
        daemon::run(&path)?;
        return Ok(ExitCode::SUCCESS);
    }
    let seed = flags.seed.unwrap_or(DEFAULT_SEED);
    let seconds = flags.seconds.unwrap_or(DEFAULT_DURATION_S);
    println!("seed {seed}, {seconds} s");
    let report = run::run(seed, Duration::from_secs(seconds))?;
    report.print();
    if report.violations.is_empty() {
        println!("seed {seed}: no violation");
        return Ok(ExitCode::SUCCESS);
    }
    println!("seed {seed}: VIOLATIONS");
    Ok(ExitCode::FAILURE)
}
