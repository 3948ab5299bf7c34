//! The retry budget, shared by a changing number of daemons.

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

/// Every engine fails, and each of five daemons retries as often as it may.
#[test]
fn the_retries_of_all_daemons_stay_within_the_budget_in_any_window() {
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

/// Daemons that count four members instead of five together stay within the budget.
#[test]
fn the_budget_holds_when_daemons_miss_one_member_in_five() {
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
fn spent_retries_are_available_again_after_the_window() {
    let mut budget = RetryBudget::default();
    while budget.try_retry(&LIMITS, 1, at(0)) {}
    assert!(!budget.try_retry(&LIMITS, 1, at(9_000)));
    assert!(budget.try_retry(&LIMITS, 1, at(10_001)));
}
