//! Measured service interval of a queue, from which waiting times are predicted.

use std::time::Duration;

use crate::clock::Moment;

/// Minimum retry time that a refused request is given.
pub const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Maximum retry time that a refused request is given.
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(600);
/// Weight of the newest sample in the exponentially weighted mean.
pub const MEAN_WEIGHT: f64 = 0.1;

/// Exponentially weighted mean of the time between two services of a queue.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServiceInterval {
    /// Mean, seconds; `None` before the first sample.
    mean: Option<f64>,
    last: Option<Moment>,
}

impl ServiceInterval {
    /// Records that a waiting request was served at `now`. The time since the last
    /// service is a sample, because the queue was not empty in between.
    pub fn record_service(&mut self, now: Moment) {
        if let Some(last) = self.last {
            let gap = now.saturating_sub(last).as_secs_f64();
            let mean = self.mean.unwrap_or(gap);
            self.mean = Some(mean + MEAN_WEIGHT * (gap - mean));
        }
        self.last = Some(now);
    }

    /// Records that the queue became empty, so that the following pause is no sample.
    pub fn record_idle(&mut self) {
        self.last = None;
    }

    /// Returns the expected time for `count` services, zero before the first sample.
    pub fn expected_time(&self, count: usize) -> Duration {
        let max = MAX_RETRY_AFTER.as_secs_f64();
        let time = (self.mean.unwrap_or(0.0) * count as f64).min(max);
        Duration::from_secs_f64(time)
    }
}
