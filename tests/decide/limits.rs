//! Limits of retries, breakers and callers.

use std::sync::Arc;
use std::time::Duration;

use mastichinge::decide::breaker::{Breaker, Breaking};
use mastichinge::decide::limits::Callers;
use mastichinge::decide::retry::{Budget, Retrying, backoff, spread};
use proptest::prelude::*;

use crate::secs;

#[test]
fn retries_stay_within_a_tenth_of_the_attempts() {
    let mut budget = Budget::new(Retrying::default());
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.attempt();
        retries += u32::from(budget.retry());
    }
    assert!((100..=110).contains(&retries), "{retries}");
}

proptest! {
    #[test]
    fn back_off_is_bounded(retry in 0_u32..100, unit in 0.0..1.0_f64) {
        let how = Retrying::default();
        prop_assert!(backoff(&how, retry, unit) <= how.most);
        prop_assert!(backoff(&how, 0, unit) <= how.first);
        prop_assert!(spread(secs(4), unit) >= secs(4) && spread(secs(4), unit) <= secs(5));
    }
}

#[test]
fn a_breaker_opens_tries_once_and_closes() {
    let mut breaker = Breaker::new(Breaking::default());
    for _ in 0..3 {
        assert!(breaker.allows(secs(0)));
        breaker.failed(secs(0));
    }
    assert!(!breaker.allows(Duration::from_millis(999)));
    assert!(breaker.allows(secs(1)));
    breaker.sent(secs(1));
    assert!(!breaker.allows(secs(1)), "one trial at a time");
    breaker.failed(secs(1));
    assert!(!breaker.allows(secs(2)), "the pause has doubled");
    breaker.sent(secs(3));
    breaker.succeeded();
    assert!(breaker.allows(secs(3)));
}

#[test]
fn a_caller_above_its_rate_waits() {
    let mut callers = Callers::default();
    let name: Arc<str> = "a".into();
    for _ in 0..2 {
        assert_eq!(callers.take(&name, 2.0, secs(1)), Ok(()));
    }
    let half = Duration::from_millis(500);
    assert_eq!(callers.take(&name, 2.0, secs(1)), Err(half));
    assert_eq!(callers.take(&name, 2.0, secs(1) + half), Ok(()));
    assert_eq!(callers.take(&"b".into(), 2.0, secs(1)), Ok(()));
}
