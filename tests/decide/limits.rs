//! Retry budget, backoff, circuit breaker and caller rate limits.

use std::sync::Arc;
use std::time::Duration;

use mastichinge::decide::breaker::{Breaker, BreakerConfig};
use mastichinge::decide::rate_limits::CallerLimits;
use mastichinge::decide::retry::{RetryBudget, RetryConfig, add_jitter, backoff};
use proptest::prelude::*;

use crate::secs;

#[test]
fn retries_stay_within_a_tenth_of_the_attempts() {
    let mut budget = RetryBudget::new(RetryConfig::default());
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.record_attempt();
        retries += u32::from(budget.try_retry());
    }
    assert!((100..=110).contains(&retries), "{retries}");
}

proptest! {
    #[test]
    fn backoff_and_jitter_are_bounded(retry in 0_u32..100, unit in 0.0..1.0_f64) {
        let config = RetryConfig::default();
        prop_assert!(backoff(&config, retry, unit) <= config.max_wait);
        prop_assert!(backoff(&config, 0, unit) <= config.first_bound);
        prop_assert!(add_jitter(secs(4), unit) >= secs(4) && add_jitter(secs(4), unit) <= secs(5));
    }
}

#[test]
fn a_breaker_opens_allows_one_trial_and_closes() {
    let mut breaker = Breaker::new(BreakerConfig::default());
    for _ in 0..3 {
        assert!(breaker.allows(secs(0)));
        breaker.record_failure(secs(0));
    }
    assert!(!breaker.allows(Duration::from_millis(999)));
    assert!(breaker.allows(secs(1)));
    breaker.record_send(secs(1));
    assert!(!breaker.allows(secs(1)), "one trial at a time");
    breaker.record_failure(secs(1));
    assert!(!breaker.allows(secs(2)), "the pause has doubled");
    breaker.record_send(secs(3));
    breaker.record_success();
    assert!(breaker.allows(secs(3)));
}

#[test]
fn a_caller_above_its_rate_is_told_to_wait() {
    let mut limits = CallerLimits::default();
    let name: Arc<str> = "a".into();
    for _ in 0..2 {
        assert_eq!(limits.take(&name, 2.0, secs(1)), Ok(()));
    }
    let half = Duration::from_millis(500);
    assert_eq!(limits.take(&name, 2.0, secs(1)), Err(half));
    assert_eq!(limits.take(&name, 2.0, secs(1) + half), Ok(()));
    assert_eq!(limits.take(&"b".into(), 2.0, secs(1)), Ok(()));
}
