//! Circuit breaker of one upstream.
//!
//! It opens after a number of consecutive failures, becomes half-open after a
//! pause, when it allows one trial request, and closes if that succeeds. Each
//! failed trial doubles the pause.

use std::time::Duration;

use crate::clock::Moment;

/// Thresholds and pauses of a breaker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BreakerConfig {
    /// Consecutive failures that open it.
    pub failure_threshold: u32,
    /// First pause.
    pub first_pause: Duration,
    /// Maximum pause.
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
    /// Requests are allowed; `failures` is the number of consecutive failures.
    Closed { failures: u32 },
    /// No request is allowed before `until`.
    Open { until: Moment },
    /// A trial request was sent; if its outcome is unknown at `until`, another one
    /// is allowed.
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
    /// Creates a closed breaker.
    pub fn new(config: BreakerConfig) -> Self {
        Breaker {
            config,
            state: State::Closed { failures: 0 },
            pause: config.first_pause,
        }
    }

    /// Returns whether a request may be sent at `now`, without changing the state.
    pub fn allows(&self, now: Moment) -> bool {
        match self.state {
            State::Closed { .. } => true,
            State::Open { until } | State::HalfOpen { until } => now >= until,
        }
    }

    /// Records that a request is sent at `now`; unless the breaker is closed, it
    /// becomes the trial request.
    pub fn record_send(&mut self, now: Moment) {
        if !matches!(self.state, State::Closed { .. }) {
            let until = now + self.pause;
            self.state = State::HalfOpen { until };
        }
    }

    /// Has the next request be a trial, as after a pause: the upstream is back.
    pub fn await_trial(&mut self, now: Moment) {
        self.pause = self.config.first_pause;
        self.state = State::HalfOpen { until: now };
    }

    /// Records a successful request and closes the breaker.
    pub fn record_success(&mut self) {
        *self = Breaker::new(self.config);
    }

    /// Records a request that failed at `now` because of the upstream.
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
