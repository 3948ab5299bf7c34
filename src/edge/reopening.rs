//! The end of a pause that an engine has asked for, without a rush of all that wait for it.
//!
//! Pattern: an overloaded engine asks every host for a pause, and all callers that are refused
//! meanwhile, and all requests that wait, are free at the same instant. So refused callers are
//! told to return one after the other, as fast as the engine works them off, and a host sends
//! the engine further requests only as it accepts those before.

use std::time::Duration;

use crate::clock::Moment;

/// Requests that an engine gets after its pause before it has accepted any.
const FIRST_REQUESTS: u32 = 1;
/// Further requests for each one that it has accepted.
const REQUESTS_PER_ACCEPTED: u32 = 2;
/// Time after its pause from which an engine gets requests without limit, as its responses
/// may be lost.
const REOPENING_TIME: Duration = Duration::from_secs(2);
/// Maximum delay of a refused caller after the end of the pause.
const MAX_RETURN_DELAY: Duration = Duration::from_secs(10);

/// How the requests to an engine are taken up again after its pause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reopening {
    /// End of the pause.
    pause_end: Moment,
    /// Requests sent since then.
    sent: u32,
    /// Those of them that the engine has accepted.
    accepted: u32,
    /// Callers that were refused in the pause, and in one before that had not ended.
    refused: u32,
}

impl Reopening {
    /// Creates the reopening at the end of a pause.
    pub fn new(pause_end: Moment) -> Self {
        Reopening {
            pause_end,
            sent: 0,
            accepted: 0,
            refused: 0,
        }
    }

    /// Ends the pause later, if it would end before `pause_end`.
    pub fn extend(&mut self, pause_end: Moment) {
        if pause_end > self.pause_end {
            *self = Reopening {
                refused: self.refused,
                ..Reopening::new(pause_end)
            };
        }
    }

    /// Returns the time left of the pause.
    pub fn pause_left(&self, now: Moment) -> Option<Duration> {
        let left = self.pause_end.saturating_sub(now);
        (!left.is_zero()).then_some(left)
    }

    /// Returns whether the limits of the reopening are over.
    pub fn is_over(&self, now: Moment) -> bool {
        now >= self.pause_end.saturating_add(REOPENING_TIME)
    }

    /// Returns whether a request may be sent.
    pub fn allows(&self, now: Moment) -> bool {
        let limit = FIRST_REQUESTS + self.accepted.saturating_mul(REQUESTS_PER_ACCEPTED);
        self.pause_left(now).is_none() && (self.sent < limit || self.is_over(now))
    }

    /// Records that a request is sent.
    pub fn record_sent(&mut self, now: Moment) {
        if self.pause_left(now).is_none() {
            self.sent += 1;
        }
    }

    /// Records that the engine has accepted a request; returns whether others may follow.
    pub fn record_accepted(&mut self, now: Moment) -> bool {
        // Requests that were sent before the pause say nothing about its end.
        let counts = self.accepted < self.sent && !self.is_over(now);
        if counts {
            self.accepted += 1;
        }
        counts
    }

    /// Records that a caller is refused; returns after which time beyond the end of the pause
    /// it should return. `spacing` is the time in which the engine works off one request of
    /// this host.
    pub fn record_refused(&mut self, spacing: Duration) -> Duration {
        let delay = spacing.saturating_mul(self.refused).min(MAX_RETURN_DELAY);
        self.refused = self.refused.saturating_add(1);
        delay
    }
}
