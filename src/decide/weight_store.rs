//! Limits of the weight store and the value density of loads.

use std::time::Duration;

use crate::config::Policy;

/// Limits of the weight store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StoreLimits {
    /// Model loads started a second.
    pub rate: f64,
    /// Maximum number of concurrent model loads.
    pub parallel_models: u32,
    /// Maximum number of concurrent adapter loads.
    pub parallel_adapters: u32,
}

impl Default for StoreLimits {
    fn default() -> Self {
        StoreLimits::from(&Policy::default())
    }
}

impl From<&Policy> for StoreLimits {
    fn from(policy: &Policy) -> Self {
        StoreLimits {
            rate: policy.store_rate,
            parallel_models: policy.store_parallel,
            parallel_adapters: policy.adapter_parallel,
        }
    }
}

impl StoreLimits {
    /// Returns the limits that hold within a network partition, where `share` is its
    /// share of the members, in 0..=1.
    ///
    /// The rates of all partitions add up to the configured rate. Counts are rounded
    /// down but never below one, so that a small partition can still load: with more
    /// partitions than `parallel_models`, concurrent loads may exceed the limit.
    pub fn scaled(self, share: f64) -> Self {
        let share = share.clamp(0.0, 1.0);
        // 1e-9 makes up for rounding errors of the product.
        let scale = |n: u32| ((f64::from(n) * share + 1e-9).floor() as u32).max(1);
        StoreLimits {
            rate: self.rate * share,
            parallel_models: scale(self.parallel_models),
            parallel_adapters: scale(self.parallel_adapters),
        }
    }
}

/// Requests that wait for a load.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadWaiters {
    /// Number of requests.
    pub count: u32,
    /// Sum of (priority + 1) * worth over the requests.
    pub worth: f64,
    /// Shortest remaining time until a deadline.
    pub time_left: Duration,
    /// Expected time of the load.
    pub load_time: Duration,
}

/// Returns the value density of a load: the worth of its waiters per second of slack.
///
/// Slack is the shortest remaining time minus the load time. Weighting worth
/// by the closeness of the deadline follows the value density of Jensen, Locke
/// and Tokuda, "A time-driven scheduling model for real-time operating
/// systems" (RTSS 1985). Loads that miss their deadline are ordered by worth
/// alone, below those that can meet it. A load without waiters has density 0.
pub fn value_density(waiters: &LoadWaiters) -> f64 {
    /// Slack assumed when the deadline cannot be met, seconds.
    const MISSED_SLACK_S: f64 = 3_600.0;
    /// Lower bound of the slack, seconds.
    const MIN_SLACK_S: f64 = 0.1;
    if waiters.count == 0 {
        return 0.0;
    }
    let slack = match waiters.time_left.checked_sub(waiters.load_time) {
        Some(slack) => slack.as_secs_f64().clamp(MIN_SLACK_S, MISSED_SLACK_S),
        None => MISSED_SLACK_S,
    };
    waiters.worth / slack
}
