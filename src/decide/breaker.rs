//! Circuit breaker of one upstream.
//!
//! It opens after a number of failures in a row, lets one trial request pass
//! after a pause, and closes when that succeeds. Each failed trial doubles the
//! pause.

use std::time::Duration;

use crate::clock::Moment;

/// Thresholds of a breaker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Breaking {
    /// Failures in a row that open it.
    pub failures: u32,
    /// First pause.
    pub pause: Duration,
    /// Longest pause.
    pub most: Duration,
}

impl Default for Breaking {
    fn default() -> Self {
        Breaking {
            failures: 3,
            pause: Duration::from_secs(1),
            most: Duration::from_secs(30),
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Requests pass; so many failed in a row.
    Closed { failures: u32 },
    /// No request passes before `until`.
    Open { until: Moment },
    /// One request is on trial; when its outcome is not known at `until`,
    /// another may pass.
    Trial { until: Moment },
}

/// Circuit breaker of one upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Breaker {
    how: Breaking,
    state: State,
    pause: Duration,
}

impl Default for Breaker {
    fn default() -> Self {
        Breaker::new(Breaking::default())
    }
}

impl Breaker {
    /// A closed breaker.
    pub fn new(how: Breaking) -> Self {
        Breaker {
            how,
            state: State::Closed { failures: 0 },
            pause: how.pause,
        }
    }

    /// Whether a request may be sent at `now`; changes nothing.
    pub fn allows(&self, now: Moment) -> bool {
        match self.state {
            State::Closed { .. } => true,
            State::Open { until } | State::Trial { until } => now >= until,
        }
    }

    /// Notes that a request is sent at `now`; on an open breaker it becomes
    /// the trial.
    pub fn sent(&mut self, now: Moment) {
        if !matches!(self.state, State::Closed { .. }) {
            let until = now + self.pause;
            self.state = State::Trial { until };
        }
    }

    /// Notes that a request succeeded.
    pub fn succeeded(&mut self) {
        *self = Breaker::new(self.how);
    }

    /// Notes that a request failed at `now` for the upstream's own fault.
    pub fn failed(&mut self, now: Moment) {
        match self.state {
            State::Closed { failures } if failures + 1 < self.how.failures => {
                let failures = failures + 1;
                self.state = State::Closed { failures };
            }
            State::Closed { .. } => self.open(now),
            State::Trial { .. } => {
                self.pause = (self.pause * 2).min(self.how.most);
                self.open(now);
            }
            State::Open { .. } => {}
        }
    }

    fn open(&mut self, now: Moment) {
        let until = now + self.pause;
        self.state = State::Open { until };
    }
}
