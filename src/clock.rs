//! Monotonic time as decision code sees it.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Time since the start of the process; decision code takes it as `now`.
pub type Moment = Duration;

/// Source of [`Moment`]s for the threads that do I/O.
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
    /// The present moment.
    pub fn now(&self) -> Moment {
        self.start.elapsed()
    }

    /// The `Instant` that belongs to `moment`.
    pub fn instant(&self, moment: Moment) -> Instant {
        self.start + moment
    }

    /// Wall-clock time, milliseconds since the Unix epoch; an incarnation, as
    /// it is higher with each start of a host.
    pub fn unix_ms() -> u64 {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        since.unwrap_or_default().as_millis() as u64
    }

    /// Wall-clock time, seconds since the Unix epoch; for records and logs only.
    pub fn unix_seconds() -> u64 {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        since.unwrap_or_default().as_secs()
    }
}
