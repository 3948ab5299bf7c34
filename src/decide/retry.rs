//! Retry budget and exponential backoff.

use std::time::Duration;

/// Limits on retries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryConfig {
    /// Retries added to the budget by each first attempt.
    pub ratio: f64,
    /// Initial and maximum budget, retries.
    pub reserve: f64,
    /// Upper bound of the wait before the first retry.
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

/// Budget of retries: each first attempt adds a fraction of a retry, so that an
/// outage increases the load by at most that fraction ("Handling Overload" in
/// "Site Reliability Engineering", O'Reilly 2016).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    config: RetryConfig,
    left: f64,
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn new(config: RetryConfig) -> Self {
        RetryBudget {
            config,
            left: config.reserve,
        }
    }

    /// Records a first attempt.
    pub fn record_attempt(&mut self) {
        self.left = (self.left + self.config.ratio).min(self.config.reserve);
    }

    /// Takes one retry from the budget, or returns false if none is left.
    pub fn try_retry(&mut self) -> bool {
        if self.left < 1.0 {
            return false;
        }
        self.left -= 1.0;
        true
    }
}

/// Returns the wait before retry number `retry`, counted from 0, for a random
/// `unit` in 0..1: uniform between zero and `first_bound * 2^retry`, at most
/// `max_wait` ("full jitter", Brooker, "Exponential Backoff And Jitter", AWS 2015).
pub fn backoff(config: &RetryConfig, retry: u32, unit: f64) -> Duration {
    let factor = 2_u32.saturating_pow(retry);
    let bound = config
        .first_bound
        .saturating_mul(factor)
        .min(config.max_wait);
    bound.mul_f64(unit.clamp(0.0, 1.0))
}

/// Lengthens a retry time by up to a quarter for a random `unit` in 0..1, so that
/// callers refused at the same time do not retry at the same time.
pub fn add_jitter(wait: Duration, unit: f64) -> Duration {
    wait + wait.mul_f64(unit.clamp(0.0, 1.0) / 4.0)
}
