//! The retry budget, shared by daemons that come and go.

use std::time::Duration;

use mastichinge::clock::Moment;
use mastichinge::edge::retry_budget::{RetryBudget, RetryLimits};

const LIMITS: RetryLimits = RetryLimits {
    ratio: 0.2,
    slack: 50.0,
    window: Duration::from_secs(10),
};

fn at(ms: u64) -> Moment {
    Moment::from_millis(100_000 + ms)
}

/// Pattern: every engine fails, and each of five daemons repeats all it may.
#[test]
fn all_daemons_together_stay_within_the_budget_in_any_window() {
    let daemons = 5;
    let mut budgets = vec![RetryBudget::default(); daemons];
    let mut spent = Vec::new();
    let mut sent = Vec::new();
    for ms in (0..40_000).step_by(50) {
        for budget in &mut budgets {
            budget.record_request(&LIMITS, at(ms));
            sent.push(at(ms));
            if budget.try_retry(&LIMITS, daemons, at(ms)) {
                spent.push(at(ms));
            }
        }
    }
    for start in (0..30_000).step_by(250).map(at) {
        let within = |m: &&Moment| **m >= start && **m < start + LIMITS.window;
        let spent = spent.iter().filter(within).count() as f64;
        let sent = sent.iter().filter(within).count() as f64;
        assert!(
            spent <= LIMITS.ratio * sent + LIMITS.slack,
            "{spent} of {sent}"
        );
    }
    assert!(!spent.is_empty());
}

/// A daemon that does not see two of five others still keeps to a share that
/// all five may use.
#[test]
fn views_of_the_membership_may_differ_by_one_in_four() {
    let mut spent = 0;
    for _ in 0..5 {
        let mut budget = RetryBudget::default();
        while budget.try_retry(&LIMITS, 4, at(0)) {
            spent += 1;
        }
    }
    assert!(f64::from(spent) <= LIMITS.slack, "{spent}");
}

#[test]
fn what_was_spent_comes_back_after_the_window() {
    let mut budget = RetryBudget::default();
    while budget.try_retry(&LIMITS, 1, at(0)) {}
    assert!(!budget.try_retry(&LIMITS, 1, at(9_000)));
    assert!(budget.try_retry(&LIMITS, 1, at(10_001)));
}
