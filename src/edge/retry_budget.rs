//! The retry budget of one daemon: its share of what all may spend.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Moment;

/// Part of the whole budget that is used; the rest covers views of the
/// membership that differ between daemons.
const USED: f64 = 0.75;

/// Limits over a sliding window, for all daemons together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats that are free in a window.
    pub slack: f64,
    /// Window.
    pub window: Duration,
}

/// Requests and repeats of one service in the window.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    requests: VecDeque<Moment>,
    repeats: VecDeque<Moment>,
}

impl RetryBudget {
    /// Notes a request's first sending.
    pub fn record_request(&mut self, limits: &RetryLimits, now: Moment) {
        expire(&mut self.requests, limits.window, now);
        self.requests.push_back(now);
    }

    /// Takes a repeat out of the budget; false when it is used up. `daemons`
    /// is the number that share it.
    pub fn try_retry(&mut self, limits: &RetryLimits, daemons: usize, now: Moment) -> bool {
        expire(&mut self.requests, limits.window, now);
        expire(&mut self.repeats, limits.window, now);
        let slack = limits.slack / daemons.max(1) as f64;
        let allowed = USED * (slack + limits.ratio * self.requests.len() as f64);
        if (self.repeats.len() + 1) as f64 > allowed {
            return false;
        }
        self.repeats.push_back(now);
        true
    }
}

fn expire(moments: &mut VecDeque<Moment>, window: Duration, now: Moment) {
    while moments
        .front()
        .is_some_and(|at| now.saturating_sub(*at) > window)
    {
        moments.pop_front();
    }
}
