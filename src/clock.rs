//! Monotonic and wall-clock time.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Monotonic time since the start of the process, passed to decision code as `now`.
pub type Moment = Duration;

/// Clock of the threads that do I/O.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Default for Clock {
    fn default() -> Self {
        Clock {
            start: Instant::now(),
        }
    }
}

impl Clock {
    /// Returns the current time.
    pub fn now(&self) -> Moment {
        self.start.elapsed()
    }

    /// Converts `moment` to an `Instant`.
    pub fn instant(&self, moment: Moment) -> Instant {
        self.start + moment
    }

    /// Returns the wall-clock time, milliseconds since the Unix epoch. Serves as
    /// incarnation because it increases with each start of a host.
    pub fn unix_ms() -> u64 {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        since.unwrap_or_default().as_millis() as u64
    }

    /// Returns the wall-clock time, seconds since the Unix epoch; for records and
    /// logs only.
    pub fn unix_seconds() -> u64 {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        since.unwrap_or_default().as_secs()
    }
}
