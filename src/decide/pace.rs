//! Measured pace of a queue, from which waits are told.

use std::time::Duration;

use crate::clock::Moment;

/// Least time after which a refused request is told to come back.
pub const RETRY_LEAST: Duration = Duration::from_secs(1);
/// Longest time after which a refused request is told to come back.
pub const RETRY_MOST: Duration = Duration::from_secs(600);
/// Weight of the newest sample in the mean time between services.
pub const PACE_WEIGHT: f64 = 0.1;

/// Measured time between two services of a queue.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Pace {
    /// Mean time between services, seconds; `None` before the first sample.
    mean: Option<f64>,
    last: Option<Moment>,
}

impl Pace {
    /// Notes that a waiting request was served at `now`, with others waiting
    /// behind it since the one before.
    pub fn served(&mut self, now: Moment) {
        if let Some(last) = self.last {
            let gap = now.saturating_sub(last).as_secs_f64();
            let mean = self.mean.unwrap_or(gap);
            self.mean = Some(mean + PACE_WEIGHT * (gap - mean));
        }
        self.last = Some(now);
    }

    /// Notes that the queue ran empty, so that the pause is no sample.
    pub fn paused(&mut self) {
        self.last = None;
    }

    /// Expected time for `count` services; zero before the first sample.
    pub fn time(&self, count: usize) -> Duration {
        let most = RETRY_MOST.as_secs_f64();
        let time = (self.mean.unwrap_or(0.0) * count as f64).min(most);
        Duration::from_secs_f64(time)
    }
}
