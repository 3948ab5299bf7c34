//! When the process ran, as far as its event loop can tell.

use std::time::Duration;

use crate::clock::Moment;

/// Period of recording that the process runs.
pub const CHECK_PERIOD: Duration = Duration::from_millis(500);
/// Delay of a check above which the process counts as suspended meanwhile.
const SUSPENSION_THRESHOLD: Duration = Duration::from_millis(700);
/// Time after a suspension within which the signals that arrived during it are seen.
const SIGNAL_DELAY: Duration = Duration::from_millis(200);

/// Record of when the process ran.
#[derive(Debug)]
pub struct Activity {
    last_check: Moment,
    /// Start and end of the last suspension.
    suspension: Option<(Moment, Moment)>,
}

impl Activity {
    /// Creates the record of a process that runs now.
    pub fn new(now: Moment) -> Self {
        Activity {
            last_check: now,
            suspension: None,
        }
    }

    /// Records that the process runs. Returns for how long it was suspended since the last
    /// check, if it was.
    pub fn check(&mut self, now: Moment) -> Option<Duration> {
        let delay = now
            .saturating_sub(self.last_check)
            .saturating_sub(CHECK_PERIOD);
        let suspended = delay > SUSPENSION_THRESHOLD;
        if suspended {
            self.suspension = Some((self.last_check, now));
        }
        self.last_check = now;
        suspended.then_some(delay)
    }

    /// Returns whether what arrives now may have arrived in a suspension.
    pub fn is_catching_up(&self, now: Moment) -> bool {
        let is_unchecked =
            now.saturating_sub(self.last_check) > CHECK_PERIOD + SUSPENSION_THRESHOLD;
        let is_recent = |(_, until): (Moment, Moment)| now.saturating_sub(until) <= SIGNAL_DELAY;
        is_unchecked || self.suspension.is_some_and(is_recent)
    }

    /// Returns the earliest time at which a signal that is seen now may have arrived: one
    /// that arrives during a suspension is seen after it.
    pub fn earliest_signal(&mut self, now: Moment) -> Moment {
        self.check(now);
        match self.suspension {
            Some((from, until)) if now.saturating_sub(until) <= SIGNAL_DELAY => from,
            _ => now,
        }
    }
}
