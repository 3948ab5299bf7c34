//! Circuit breaker of one upstream.
//!
//! It opens after a number of failures in a row, lets one trial request pass
//! after a pause, and closes when that succeeds. Each failed trial doubles the
//! pause.

use std::time::Duration;

use crate::clock::Moment;

/// Thresholds of a breaker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BreakerConfig {
    /// Failures in a row that open it.
    pub failure_threshold: u32,
    /// First pause.
    pub first_pause: Duration,
    /// Longest pause.
    pub max_pause: Duration,
}

impl Default for BreakerConfig {
    fn default() -> Self {
        BreakerConfig {
            failure_threshold: 3,
            first_pause: Duration::from_secs(1),
            max_pause: Duration::from_secs(30),
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
    HalfOpen { until: Moment },
}

/// Circuit breaker of one upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Breaker {
    config: BreakerConfig,
    state: State,
    pause: Duration,
}

impl Default for Breaker {
    fn default() -> Self {
        Breaker::new(BreakerConfig::default())
    }
}

impl Breaker {
    /// A closed breaker.
    pub fn new(config: BreakerConfig) -> Self {
        Breaker {
            config,
            state: State::Closed { failures: 0 },
            pause: config.first_pause,
        }
    }

    /// Whether a request may be sent at `now`; changes nothing.
    pub fn allows(&self, now: Moment) -> bool {
        match self.state {
            State::Closed { .. } => true,
            State::Open { until } | State::HalfOpen { until } => now >= until,
        }
    }

    /// Notes that a request is sent at `now`; on an open breaker it becomes
    /// the trial.
    pub fn record_send(&mut self, now: Moment) {
        if !matches!(self.state, State::Closed { .. }) {
            let until = now + self.pause;
            self.state = State::HalfOpen { until };
        }
    }

    /// Notes that a request succeeded.
    pub fn record_success(&mut self) {
        *self = Breaker::new(self.config);
    }

    /// Notes that a request failed at `now` for the upstream's own fault.
    pub fn record_failure(&mut self, now: Moment) {
        match self.state {
            State::Closed { failures } if failures + 1 < self.config.failure_threshold => {
                let failures = failures + 1;
                self.state = State::Closed { failures };
            }
            State::Closed { .. } => self.open(now),
            State::HalfOpen { .. } => {
                self.pause = (self.pause * 2).min(self.config.max_pause);
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
