//! When refused callers are to return: one after the other.

use std::time::Duration;

use super::spread;
use crate::clock::Moment;

/// Maximum delay of a refused caller.
const MAX_RETURN_DELAY: Duration = Duration::from_secs(10);

/// Times at which refused callers are to return.
#[derive(Debug)]
pub struct Returns {
    /// When the last of them is to return.
    last_at: Moment,
    /// Number of callers that were refused.
    refused: u64,
}

impl Returns {
    /// Returns the times where nobody was refused before `now`.
    pub fn new(now: Moment) -> Self {
        Returns {
            last_at: now,
            refused: 0,
        }
    }

    /// Returns after which time a caller that is refused now should return: when the queue is
    /// done in `queue_time`, and `step` after the last one.
    pub fn book(&mut self, step: Duration, queue_time: Duration, now: Moment) -> Duration {
        self.refused = self.refused.wrapping_add(1);
        let next = self.last_at.saturating_add(step);
        let delay = next.saturating_sub(now).max(queue_time);
        if delay <= MAX_RETURN_DELAY {
            self.last_at = now + delay;
            return delay;
        }
        MAX_RETURN_DELAY.mul_f64((1.0 + spread(self.refused)) / 2.0)
    }
}
