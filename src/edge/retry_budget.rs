//! Retry budget of one daemon: its share of the budget of all daemons.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Moment;

/// Share of the whole budget that is used; the rest allows for daemons that count
/// different numbers of members. Of the slack, a daemon that has started within the window
/// uses only that rest: the process before it may have used its share.
const USABLE_SHARE: f64 = 0.75;

/// Limits over a sliding window, for all daemons together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Retries per request.
    pub ratio: f64,
    /// Retries allowed in each window regardless of the number of requests.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
    /// Start of this daemon, if a process before it may have used its share.
    pub restarted_at: Option<Moment>,
}

/// Requests and retries of one service in the window.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    requests: VecDeque<Moment>,
    retries: VecDeque<Moment>,
}

impl RetryBudget {
    /// Records a new request.
    pub fn record_request(&mut self, limits: &RetryLimits, now: Moment) {
        remove_expired(&mut self.requests, limits.window, now);
        self.requests.push_back(now);
    }

    /// Takes a retry out of the budget, which `daemons` daemons share. Returns false if the
    /// budget is used up.
    pub fn try_retry(&mut self, limits: &RetryLimits, daemons: usize, now: Moment) -> bool {
        remove_expired(&mut self.requests, limits.window, now);
        remove_expired(&mut self.retries, limits.window, now);
        let is_recent = |at: Moment| now.saturating_sub(at) < limits.window;
        let slack_share = match limits.restarted_at.is_some_and(is_recent) {
            true => 1.0 - USABLE_SHARE,
            false => USABLE_SHARE,
        };
        let slack = slack_share * limits.slack / daemons.max(1) as f64;
        let allowed = slack + USABLE_SHARE * limits.ratio * self.requests.len() as f64;
        if (self.retries.len() + 1) as f64 > allowed {
            return false;
        }
        self.retries.push_back(now);
        true
    }
}

fn remove_expired(moments: &mut VecDeque<Moment>, window: Duration, now: Moment) {
    while moments
        .front()
        .is_some_and(|at| now.saturating_sub(*at) > window)
    {
        moments.pop_front();
    }
}
