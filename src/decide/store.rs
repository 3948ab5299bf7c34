//! Limits of the weight store and what is at stake in a load.

use std::time::Duration;

use crate::config::Policy;

/// Limits of the weight store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StoreLimits {
    /// Model loads started a second.
    pub rate: f64,
    /// Model loads at once.
    pub parallel: u32,
    /// Adapters in transit at once.
    pub adapters: u32,
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
            parallel: policy.store_parallel,
            adapters: policy.adapter_parallel,
        }
    }
}

impl StoreLimits {
    /// The limits of a part of the members, `part` in 0..=1.
    ///
    /// Rates of parted sides add up to the whole. Counts are rounded down but
    /// never below one, so that a small part still loads: where more sides
    /// than `parallel` are parted, their loads at once may exceed the limit.
    pub fn scaled(self, share: f64) -> Self {
        let share = share.clamp(0.0, 1.0);
        let count = |n: u32| ((f64::from(n) * share + 1e-9).floor() as u32).max(1);
        StoreLimits {
            rate: self.rate * share,
            parallel: count(self.parallel),
            adapters: count(self.adapters),
        }
    }
}

/// What waits for a load.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadWaiters {
    /// Requests that wait for it.
    pub count: u32,
    /// Sum over them of priority plus one times worth.
    pub worth: f64,
    /// Shortest remaining time of a waiter.
    pub time_left: Duration,
    /// Expected time of the load.
    pub load_time: Duration,
}

/// Stake of a load: the worth that waits for it for each second of slack.
///
/// Slack is the shortest remaining time less the load time. Weighting worth
/// by closeness of the deadline follows the value density of Jensen, Locke
/// and Tokuda, "A time-driven scheduling model for real-time operating
/// systems" (RTSS 1985). A load whose deadline is lost ranks by worth alone,
/// below the ones that can be met. One without waiters has stake 0.
pub fn value_density(waiters: &LoadWaiters) -> f64 {
    /// Slack of a lost deadline, seconds.
    const MISSED_SLACK_S: f64 = 3_600.0;
    /// Least slack, seconds.
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
