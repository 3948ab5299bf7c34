//! Command-line tool for operators.

mod check;
pub mod client;
mod config;
mod error;
mod profile;
mod show;
mod table;
pub mod trace;
mod wait;

use std::io::Write;

use serde::Serialize;

pub use error::ToolError;
pub use profile::{Environment, Profile};

use crate::cli::tool::{Command, ToolArgs};
use client::Client;

/// Output streams and format of the tool.
pub struct Output<'a> {
    /// Results.
    pub out: &'a mut dyn Write,
    /// Progress of commands that wait.
    pub progress: &'a mut dyn Write,
    /// Print JSON instead of tables.
    pub json: bool,
}

impl Output<'_> {
    fn print_line(&mut self, text: &str) -> Result<(), ToolError> {
        Ok(writeln!(self.out, "{text}")?)
    }

    fn print_json(&mut self, value: &impl Serialize) -> Result<(), ToolError> {
        let text = serde_json::to_string_pretty(value).unwrap_or_default();
        self.print_line(&text)
    }

    fn print_progress(&mut self, text: &str) -> Result<(), ToolError> {
        Ok(writeln!(self.progress, "{text}")?)
    }
}

/// Runs a command against the hosts of `profile`.
pub fn run(args: &ToolArgs, profile: &Profile, output: &mut Output<'_>) -> Result<(), ToolError> {
    let client = Client::new(profile);
    match &args.command {
        Command::Help(text) => output.print_line(text),
        Command::Version => output.print_line(env!("CARGO_PKG_VERSION")),
        Command::Show { at } => config::show(&client, *at, output),
        Command::Diff { from, until } => config::diff(&client, *from, *until, output),
        Command::Check(args) => check::run(profile, args, output),
        Command::Patch(patch) => config::patch(&client, patch, output),
        Command::History(page) => config::history(&client, page, output),
        Command::Audit(page) => config::audit(&client, page, output),
        Command::Watch { count } => config::watch(&client, *count, output),
        Command::Status => show::status(&client, output),
        Command::Hosts => show::hosts(&client, output),
        Command::Models { prefix } => show::models(&client, prefix, output),
        Command::Engines { prefix } => show::engines(&client, prefix, output),
        Command::Held => show::held(&client, output),
        Command::Release { fingerprint } => show::release(&client, fingerprint, output),
        Command::Trace { request, files } => trace::run(request, files, output),
        Command::Drain(drain) => wait::drain(&client, drain, output),
    }
}
