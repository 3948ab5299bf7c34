//! A daemon that runs from this executable.

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::thread;

use mastichinge::daemon::Daemon;
use mastichinge::logs;
use mastichinge::outside::client::Timeouts;
use mastichinge::outside::http::HttpPlatform;
use mastichinge::settings;

/// Runs a daemon with the settings at `path` until the process is killed.
pub fn run(path: &Path) -> ExitCode {
    match serve(path) {
        Ok(()) => ExitCode::SUCCESS,
        Err(text) => {
            eprintln!("daemon: {text}");
            ExitCode::FAILURE
        }
    }
}

fn serve(path: &Path) -> Result<(), String> {
    let settings = settings::load(path).map_err(|e| e.to_string())?;
    logs::start(&settings.log).map_err(|e| e.to_string())?;
    let platform = HttpPlatform::new(
        settings.platform,
        settings.platform_key.clone(),
        Timeouts::default(),
    );
    let _daemon = Daemon::start(&settings, Arc::new(platform)).map_err(|e| e.to_string())?;
    loop {
        thread::park();
    }
}
