//! The daemon of an entry host.

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use mastichinge::cli::daemon::{DaemonArgs, parse};
use mastichinge::cli::{Exit, UsageError};
use mastichinge::daemon::{Daemon, StartError};
use mastichinge::logs::{self, LogError};
use mastichinge::platform::client::Timeouts;
use mastichinge::platform::http::HttpPlatform;
use mastichinge::settings::{self, Settings, SettingsError};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

/// Period at which a running daemon looks for a signal or an operator's drain.
const LOOK: Duration = Duration::from_millis(50);

/// Why the daemon ended early.
#[derive(Debug, thiserror::Error)]
enum RunError {
    #[error(transparent)]
    Usage(#[from] UsageError),
    #[error(transparent)]
    Settings(#[from] SettingsError),
    #[error(transparent)]
    Logs(#[from] LogError),
    #[error(transparent)]
    Start(#[from] StartError),
    #[error("cannot wait for signals: {0}")]
    Signals(#[from] std::io::Error),
}

impl RunError {
    fn exit(&self) -> Exit {
        match self {
            RunError::Usage(_) => Exit::Usage,
            RunError::Settings(_) => Exit::Settings,
            _ => Exit::Failed,
        }
    }
}

fn main() -> ExitCode {
    let outcome = run();
    log::logger().flush();
    match outcome {
        Ok(()) => Exit::Done.into(),
        Err(e) => {
            eprintln!("mastichinged: {e}");
            e.exit().into()
        }
    }
}

fn run() -> Result<(), RunError> {
    match parse(std::env::args_os().skip(1).collect())? {
        DaemonArgs::Run { settings } => serve(&settings),
        DaemonArgs::Check { settings } => check(&settings),
        DaemonArgs::Version => {
            println!("mastichinged {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        DaemonArgs::Help(text) => {
            println!("{text}");
            Ok(())
        }
    }
}

fn check(path: &Path) -> Result<(), RunError> {
    let settings = settings::load(path)?;
    println!("{}: settings of host {}", path.display(), settings.host);
    Ok(())
}

fn serve(path: &Path) -> Result<(), RunError> {
    let settings = settings::load(path)?;
    logs::start(&settings.log)?;
    let mut signals = Signals::new([SIGINT, SIGTERM])?;
    let daemon = Daemon::start(&settings, platform(&settings))?;
    while signals.pending().next().is_none() && !daemon.desk().view().leaving {
        thread::sleep(LOOK);
    }
    daemon.drain();
    log::info!("stopped");
    Ok(())
}

fn platform(settings: &Settings) -> Arc<HttpPlatform> {
    Arc::new(HttpPlatform::new(
        settings.platform,
        settings.platform_key.clone(),
        Timeouts::default(),
    ))
}
