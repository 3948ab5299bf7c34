//! The daemon of a host, which this program runs as a child process.

use std::error::Error;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use mastichinge::daemon::Daemon;
use mastichinge::outside::client::Timeouts;
use mastichinge::outside::http::HttpPlatform;
use mastichinge::{logs, settings};
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;

/// Interval at which a running daemon polls for a signal.
const SIGNAL_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Runs a daemon until SIGTERM and drains it.
///
/// # Errors
///
/// The settings are invalid or an address is already in use.
pub fn run(path: &Path) -> Result<(), Box<dyn Error>> {
    let settings = settings::load(path)?;
    logs::start(&settings.log)?;
    let mut signals = Signals::new([SIGTERM])?;
    let platform = HttpPlatform::new(
        settings.platform,
        settings.platform_key.clone(),
        Timeouts::default(),
    );
    let daemon = Daemon::start(&settings, Arc::new(platform))?;
    while signals.pending().next().is_none() {
        thread::sleep(SIGNAL_POLL_INTERVAL);
    }
    daemon.drain();
    log::info!("stopped");
    Ok(())
}
