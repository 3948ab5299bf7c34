//! Retry budget and back-off.

use std::time::Duration;

/// Limits on retries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryConfig {
    /// Retries allowed for each first attempt, in the long run.
    pub ratio: f64,
    /// Retries allowed without any first attempt before them.
    pub reserve: f64,
    /// Upper bound of the first wait.
    pub first_bound: Duration,
    /// Upper bound of every wait.
    pub max_wait: Duration,
}

impl Default for RetryConfig {
    fn default() -> Self {
        RetryConfig {
            ratio: 0.1,
            reserve: 10.0,
            first_bound: Duration::from_millis(50),
            max_wait: Duration::from_secs(2),
        }
    }
}

/// Budget of retries: each first attempt adds a part of a retry, so that an
/// outage raises the load by at most that part ("Handling Overload" in
/// "Site Reliability Engineering", O'Reilly 2016).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    config: RetryConfig,
    left: f64,
}

impl RetryBudget {
    /// A budget that holds its reserve.
    pub fn new(config: RetryConfig) -> Self {
        RetryBudget {
            config,
            left: config.reserve,
        }
    }

    /// Notes a first attempt.
    pub fn record_attempt(&mut self) {
        self.left = (self.left + self.config.ratio).min(self.config.reserve);
    }

    /// Takes one retry; false when none is left.
    pub fn try_retry(&mut self) -> bool {
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
pub fn backoff(config: &RetryConfig, retry: u32, unit: f64) -> Duration {
    let factor = 2_u32.saturating_pow(retry);
    let bound = config
        .first_bound
        .saturating_mul(factor)
        .min(config.max_wait);
    bound.mul_f64(unit.clamp(0.0, 1.0))
}

/// Spreads a time to come back by up to a quarter upwards for a random `unit`
/// in 0..1, so that callers refused together do not return together.
pub fn add_jitter(wait: Duration, unit: f64) -> Duration {
    wait + wait.mul_f64(unit.clamp(0.0, 1.0) / 4.0)
}
