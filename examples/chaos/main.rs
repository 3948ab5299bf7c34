//! A randomised run of failures against five daemons and their stand-ins.
//!
//! Callers, bookings and operators go on while faults drawn from a seed are
//! brought about. In the end everything is healed, and a checker compares the
//! journals of the stand-ins with what callers saw. Exit code 1 on a violation.

mod callers;
mod check;
mod daemon;
#[path = "../../tests/env/mod.rs"]
mod env;
mod faults;
mod operators;
mod record;
mod run;

use std::error::Error;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

mod flags {
    #![allow(missing_docs)]

    use std::path::PathBuf;

    xflags::xflags! {
        /// A randomised run of failures against five daemons.
        cmd chaos {
            /// Seed of all choices.
            optional --seed number: u64
            /// Duration of the faults.
            optional --seconds number: u64
            /// Run as the daemon of a host; used by the program itself.
            optional --daemon
            /// Settings of the daemon.
            optional --settings file: PathBuf
        }
    }
}

/// Seed where none is given.
const SEED: u64 = 1;
/// Duration where none is given, seconds.
const SECONDS: u64 = 60;

fn main() -> Result<ExitCode, Box<dyn Error>> {
    let flags = flags::Chaos::from_env_or_exit();
    if flags.daemon {
        let path: PathBuf = flags.settings.ok_or("--daemon needs --settings")?;
        daemon::run(&path)?;
        return Ok(ExitCode::SUCCESS);
    }
    let seed = flags.seed.unwrap_or(SEED);
    let seconds = flags.seconds.unwrap_or(SECONDS);
    println!("seed {seed}, {seconds} s");
    let findings = run::run(seed, Duration::from_secs(seconds))?;
    findings.print();
    if findings.violations.is_empty() {
        println!("seed {seed}: no violation");
        return Ok(ExitCode::SUCCESS);
    }
    println!("seed {seed}: VIOLATIONS");
    Ok(ExitCode::FAILURE)
}
