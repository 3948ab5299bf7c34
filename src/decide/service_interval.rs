//! Measured pace of a queue, from which waits are told.

use std::time::Duration;

use crate::clock::Moment;

/// Least time after which a refused request is told to come back.
pub const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Longest time after which a refused request is told to come back.
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(600);
/// Weight of the newest sample in the mean time between services.
pub const MEAN_WEIGHT: f64 = 0.1;

/// Measured time between two services of a queue.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServiceInterval {
    /// Mean time between services, seconds; `None` before the first sample.
    mean: Option<f64>,
    last: Option<Moment>,
}

impl ServiceInterval {
    /// Notes that a waiting request was served at `now`, with others waiting
    /// behind it since the one before.
    pub fn record_service(&mut self, now: Moment) {
        if let Some(last) = self.last {
            let gap = now.saturating_sub(last).as_secs_f64();
            let mean = self.mean.unwrap_or(gap);
            self.mean = Some(mean + MEAN_WEIGHT * (gap - mean));
        }
        self.last = Some(now);
    }

    /// Notes that the queue ran empty, so that the pause is no sample.
    pub fn record_idle(&mut self) {
        self.last = None;
    }

    /// Expected time for `count` services; zero before the first sample.
    pub fn expected_time(&self, count: usize) -> Duration {
        let max = MAX_RETRY_AFTER.as_secs_f64();
        let time = (self.mean.unwrap_or(0.0) * count as f64).min(max);
        Duration::from_secs_f64(time)
    }
}
