//! Stand-ins of the platform, and the scripts of the cases of the second review.
//!
//! `standins-2 CASE FOLDER` plays a case and writes `record.txt` to its folder. It exits with 1
//! if the rule was broken, 0 if it held and 2 if the case could not run. With `TROUBLE=0` in the
//! environment it plays the case without its disruption.

mod caller;
mod copies_leave;
mod daemons;
mod engine;
mod held_part;
mod http;
mod json;
mod long_streams;
mod record;
mod site;
mod slow_readers;
mod store;

use std::path::Path;
use std::process::ExitCode;

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
    CannotRun(String),
}

fn main() -> ExitCode {
    let args: Vec<_> = std::env::args().collect();
    let [_, case, folder] = &args[..] else {
        eprintln!("usage: standins-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let verdict = match &**case {
        "copies-leave" => copies_leave::play(Path::new(folder), trouble),
        "held-part" => held_part::play(Path::new(folder), trouble),
        "long-streams" => long_streams::play(Path::new(folder), trouble),
        "slow-readers" => slow_readers::play(Path::new(folder), trouble),
        other => Verdict::CannotRun(format!("there is no case {other}")),
    };
    match verdict {
        Verdict::Held => ExitCode::SUCCESS,
        Verdict::Broken => ExitCode::from(1),
        Verdict::CannotRun(cause) => {
            eprintln!("the case cannot run: {cause}");
            ExitCode::from(2)
        }
    }
}
