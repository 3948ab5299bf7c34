//! Command-line tool for operators.

use std::io::{stderr, stdout};
use std::process::ExitCode;

use mastichinge::cli::Exit;
use mastichinge::cli::tool::{self as command_line, Command, ToolArgs};
use mastichinge::tool::{Environment, Output, Profile, ToolError, run};

fn main() -> ExitCode {
    let args = match command_line::parse(std::env::args_os().skip(1).collect()) {
        Ok(args) => args,
        Err(err) => {
            eprintln!("mastichinge: {err}");
            return Exit::Usage.into();
        }
    };
    match run_command(&args) {
        Ok(()) => Exit::Done.into(),
        Err(err) => {
            eprintln!("mastichinge: {err}");
            err.exit().into()
        }
    }
}

fn run_command(args: &ToolArgs) -> Result<(), ToolError> {
    let profile = match &args.command {
        Command::Check(check) if check.against.is_none() => {
            Profile::read(args, &Environment::read())?
        }
        Command::Check(_) => Profile::default(),
        Command::Help(_) | Command::Version | Command::Trace { .. } => Profile::default(),
        _ => Profile::resolve(args, &Environment::read())?,
    };
    let mut output = Output {
        out: &mut stdout().lock(),
        progress: &mut stderr().lock(),
        json: args.json,
    };
    run(args, &profile, &mut output)
}
