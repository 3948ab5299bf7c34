//! Daemon of an entry host or an edge host.

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use mastichinge::cli::daemon::{DaemonArgs, parse};
use mastichinge::cli::{Exit, UsageError};
use mastichinge::daemon::{Daemon, StartError};
use mastichinge::edge;
use mastichinge::logs::{self, LogError};
use mastichinge::outside::client::Timeouts;
use mastichinge::outside::http::HttpPlatform;
use mastichinge::settings::{self, Settings, SettingsError};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

/// Interval at which a running daemon checks for a signal or an operator's drain.
const SIGNAL_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Environment variable with the path of the settings file of an edge host.
const SETTINGS_VARIABLE: &str = mastichinge::platform::SETTINGS_VAR;

/// Error that ended the daemon.
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
    #[error(transparent)]
    Edge(#[from] edge::RunError),
    #[error("environment variable {SETTINGS_VARIABLE} is not set")]
    NoSettingsFile,
    #[error("cannot wait for signals: {0}")]
    Signals(#[from] std::io::Error),
}

impl RunError {
    fn exit(&self) -> Exit {
        match self {
            RunError::Usage(_) => Exit::Usage,
            RunError::Settings(_) | RunError::NoSettingsFile => Exit::Settings,
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
        DaemonArgs::Run { settings } => run_daemon(&settings),
        DaemonArgs::Check { settings } => check_settings(&settings),
        DaemonArgs::Edge => run_edge(),
        DaemonArgs::CheckEdge { settings: path } => {
            let settings = edge::settings::load(&path)?;
            println!(
                "{}: settings of edge host {}",
                path.display(),
                settings.host
            );
            Ok(())
        }
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

fn check_settings(path: &Path) -> Result<(), RunError> {
    let settings = settings::load(path)?;
    println!("{}: settings of host {}", path.display(), settings.host);
    Ok(())
}

fn run_daemon(path: &Path) -> Result<(), RunError> {
    let settings = settings::load(path)?;
    logs::start(&settings.log)?;
    let mut signals = Signals::new([SIGINT, SIGTERM])?;
    let daemon = Daemon::start(&settings, platform(&settings))?;
    while signals.pending().next().is_none() && !daemon.control().view().leaving {
        thread::sleep(SIGNAL_POLL_INTERVAL);
    }
    daemon.drain();
    log::info!("stopped");
    Ok(())
}

fn run_edge() -> Result<(), RunError> {
    let path = std::env::var_os(SETTINGS_VARIABLE).ok_or(RunError::NoSettingsFile)?;
    let path = Path::new(&path);
    let settings = edge::settings::load(path)?;
    logs::start_with_output(&settings.log, Box::new(std::io::stdout()))?;
    edge::run(path, settings)?;
    Ok(())
}

fn platform(settings: &Settings) -> Arc<HttpPlatform> {
    Arc::new(HttpPlatform::new(
        settings.platform,
        settings.platform_key.clone(),
        Timeouts::default(),
    ))
}
