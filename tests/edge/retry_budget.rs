//! The retry budget, shared by a changing number of daemons.

use std::time::Duration;

use mastichinge::clock::Moment;
use mastichinge::edge::retry_budget::{RetryBudget, RetryLimits};

use crate::fakes::daemon::wait;
use crate::fakes::engine::Behavior;
use crate::site::{Site, all_events, events};

const LIMITS: RetryLimits = RetryLimits {
    ratio: 0.2,
    slack: 50.0,
    window: Duration::from_secs(10),
    restarted_at: None,
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

/// Guards against BUDGET: daemons that start again know nothing of the retries before, and each
/// began with its whole share.
#[test]
fn the_budget_holds_when_all_daemons_start_again() {
    let (daemons, restart) = (5, 3_000);
    let mut budgets = vec![RetryBudget::default(); daemons];
    let mut limits = LIMITS;
    let mut times = Vec::new();
    for ms in (0..25_000).step_by(50) {
        if ms == restart {
            limits.restarted_at = Some(at(restart));
            budgets.fill_with(RetryBudget::default);
        }
        for budget in &mut budgets {
            if budget.try_retry(&limits, daemons, at(ms)) {
                times.push(at(ms));
            }
        }
    }
    for start in &times {
        let within = times
            .iter()
            .filter(|t| *t >= start && **t < *start + LIMITS.window);
        let count = within.count() as f64;
        assert!(count <= LIMITS.slack, "{count}");
    }
    assert!(times.last() > Some(&at(restart)));
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

/// Guards against streams that end with an error because no retry is left when they break,
/// although one comes free before their deadline.
#[test]
fn a_stream_that_breaks_waits_for_a_retry() {
    let site = Site::start();
    site.daemon.write_settings(|s| {
        s["bounds"]["retry_ratio"] = 0.0.into();
        s["bounds"]["retry_slack"] = 2.0.into();
        s["bounds"]["retry_window_s"] = 0.5.into();
    });
    site.daemon.signal(libc::SIGHUP);
    wait("the new settings", || {
        !site.daemon.logged("settings reloaded").is_empty()
    });
    site.models[0].set_behavior(Behavior::ResetAfter(2));
    let answers: Vec<_> = std::thread::scope(|scope| {
        let send = |i: usize| {
            let site = &site;
            scope.spawn(move || site.stream("/stream/", &format!("s{i}")))
        };
        let callers: Vec<_> = (0..8).map(send).collect();
        callers.into_iter().map(|c| c.join().unwrap()).collect()
    });
    for answer in &answers {
        assert_eq!((answer.status, answer.complete), (200, true), "{answer:?}");
        assert_eq!(events(&answer.body), all_events());
    }
    assert!(!site.daemon.logged("request retry").is_empty());
}

#[test]
fn a_daemon_that_starts_again_knows_that_one_ran_before() {
    let mut site = Site::start();
    let message = "a process before this one ran at this host";
    assert_eq!(site.daemon.logged(message).len(), 0);
    site.daemon.restart();
    wait("its log line", || site.daemon.logged(message).len() == 1);
}
