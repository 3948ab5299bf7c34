//! Decides how long an engine reads before a new prompt, from what it says of its waiting
//! requests and from the prompts that daemons tell each other.
//!
//! Both are wrong in their own way: daemons do not know when a prompt of another one has been
//! read, nor of prompts that wait for memory; a report is soon old.

use std::time::Duration;

use crate::clock::Moment;

/// Age at which a report says nothing more of the requests that wait: an engine reads several
/// prompts within that time. Then only what daemons know of each other's prompts decides.
const REPORT_MAX_AGE: Duration = Duration::from_millis(600);

/// Maximum time that is believed: callers have left by then, and a report may be wrong.
const MAX_BACKLOG: Duration = Duration::from_secs(10);

/// What daemons know of the prompts that an engine reads before a new one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QueueAhead {
    /// Time for all that are known.
    pub known: Duration,
    /// Time for those sent after the engine's report.
    pub since: Duration,
    /// Mean part of the time for a waiting prompt that comes before the new one.
    pub each: Duration,
}

/// Waiting requests of an engine by its own word.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WaitingHere {
    waiting: u32,
    /// Part of the decision that is the report's: from 1 for a new one to 0 at its maximum age.
    weight: f64,
}

impl WaitingHere {
    /// Creates the view of a report made at the time `at`.
    pub fn new(waiting: u32, at: Moment, now: Moment) -> Self {
        let age = now.saturating_sub(at).as_secs_f64();
        WaitingHere {
            waiting,
            weight: (1.0 - age / REPORT_MAX_AGE.as_secs_f64()).max(0.0),
        }
    }

    /// Returns the time in which the engine reads what comes before a new prompt.
    pub fn backlog(&self, ahead: &QueueAhead) -> Duration {
        let reported = match self.waiting {
            0 => ahead.since,
            // More may wait than is known, as for memory, but what is known waits too.
            waiting => ahead
                .known
                .max(ahead.each.saturating_mul(waiting).min(MAX_BACKLOG)),
        };
        reported.mul_f64(self.weight) + ahead.known.mul_f64(1.0 - self.weight)
    }
}
