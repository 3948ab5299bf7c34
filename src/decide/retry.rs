//! Retry budget and back-off.

use std::time::Duration;

/// Limits on retries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Retrying {
    /// Retries allowed for each first attempt, in the long run.
    pub ratio: f64,
    /// Retries allowed without any first attempt before them.
    pub reserve: f64,
    /// Upper bound of the first wait.
    pub first: Duration,
    /// Upper bound of every wait.
    pub most: Duration,
}

impl Default for Retrying {
    fn default() -> Self {
        Retrying {
            ratio: 0.1,
            reserve: 10.0,
            first: Duration::from_millis(50),
            most: Duration::from_secs(2),
        }
    }
}

/// Budget of retries: each first attempt adds a part of a retry, so that an
/// outage raises the load by at most that part ("Handling Overload" in
/// "Site Reliability Engineering", O'Reilly 2016).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    how: Retrying,
    left: f64,
}

impl Budget {
    /// A budget that holds its reserve.
    pub fn new(how: Retrying) -> Self {
        Budget {
            how,
            left: how.reserve,
        }
    }

    /// Notes a first attempt.
    pub fn attempt(&mut self) {
        self.left = (self.left + self.how.ratio).min(self.how.reserve);
    }

    /// Takes one retry; false when none is left.
    pub fn retry(&mut self) -> bool {
        if self.left < 1.0 {
            return false;
        }
        self.left -= 1.0;
        true
    }
}

/// Wait before retry number `retry`, counted from 0, for a random `unit` in
/// 0..1: uniform between zero and `first * 2^retry`, at most `most` ("full
/// jitter", Brooker, "Exponential Backoff And Jitter", AWS 2015).
pub fn backoff(how: &Retrying, retry: u32, unit: f64) -> Duration {
    let factor = 2_u32.saturating_pow(retry);
    let bound = how.first.saturating_mul(factor).min(how.most);
    bound.mul_f64(unit.clamp(0.0, 1.0))
}

/// Spreads a time to come back by up to a quarter upwards for a random `unit`
/// in 0..1, so that callers refused together do not return together.
pub fn spread(wait: Duration, unit: f64) -> Duration {
    wait + wait.mul_f64(unit.clamp(0.0, 1.0) / 4.0)
}
