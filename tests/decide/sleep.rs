//! When a model is unloaded, and when it is woken ahead.

use std::time::Duration;

use mastichinge::clock::Moment;
use mastichinge::config::{Policy, Strategy, Window};
use mastichinge::decide::history::History;
use mastichinge::decide::sleep::{Ahead, Facts, Verdict, ahead, verdict, wake_cost};
use test_case::test_case;

use crate::secs;

/// A history of `count` gaps of `gap`, the last arrival at the answered moment.
fn history(gap: Duration, count: u32) -> (History, Moment) {
    let mut history = History::default();
    let mut now = Moment::ZERO;
    for _ in 0..=count {
        history.arrived(now);
        now += gap;
    }
    (history, now - gap)
}

fn policy(tail: f64, idle: f64) -> Policy {
    Policy {
        tail_weight: tail,
        idle_weight: idle,
        ..Default::default()
    }
}

fn unloads(history: &History, policy: &Policy, now: Moment, idle: Moment) -> bool {
    let facts = Facts {
        idle_since: idle,
        ..Default::default()
    };
    verdict(history, &facts, policy, now) == Verdict::Unload
}

#[test]
fn a_model_asked_for_each_minute_stays_and_one_each_day_goes() {
    let policy = policy(1.0, 100.0);
    let (often, at) = history(secs(60), 20);
    assert!(!unloads(&often, &policy, at + secs(30), at));
    let (rarely, at) = history(secs(86_400), 20);
    assert!(unloads(&rarely, &policy, at + secs(30), at));
}

#[test]
fn a_model_whose_usual_gap_has_passed_goes() {
    let policy = policy(1.0, 60.0);
    let (often, at) = history(secs(60), 40);
    assert!(!unloads(&often, &policy, at + secs(30), at));
    assert!(unloads(&often, &policy, at + secs(200), at));
}

#[test]
fn without_history_the_break_even_time_counts() {
    let policy = policy(1.0, 36.0);
    let history = History::default();
    assert!(!unloads(&history, &policy, secs(999), Moment::ZERO));
    assert!(unloads(&history, &policy, secs(1_001), Moment::ZERO));
}

#[test]
fn the_weights_decide_between_tail_and_idle() {
    let (history, at) = history(secs(600), 20);
    let now = at + secs(5);
    assert!(!unloads(&history, &policy(4.0, 1.0), now, at));
    assert!(unloads(&history, &policy(1.0, 400.0), now, at));
}

#[test_case(Strategy::KeepAlive, true)]
#[test_case(Strategy::Never, false)]
fn sleep_baselines(strategy: Strategy, unload: bool) {
    let policy = Policy {
        strategy,
        keepalive_ms: 60_000,
        ..policy(1.0, 1_000.0)
    };
    let (history, at) = history(secs(60), 20);
    assert!(!unloads(&history, &policy, at + secs(59), at));
    assert_eq!(unloads(&history, &policy, at + secs(60), at), unload);
}

#[test]
fn busy_and_needed_models_stay() {
    let busy = Facts {
        busy: true,
        ..Default::default()
    };
    let needed = Facts {
        needed: true,
        ..Default::default()
    };
    for facts in [busy, needed] {
        let verdict = verdict(&History::default(), &facts, &policy(0.0, 9.0), secs(9_999));
        assert!(matches!(verdict, Verdict::Keep { .. }));
    }
}

#[test_case(984, false; "before the load time")]
#[test_case(985, true; "a load time and the margin ahead")]
#[test_case(1_099, true; "within")]
#[test_case(1_100, false; "after")]
fn a_declared_window_wakes_its_model(unix: u64, woken: bool) {
    let window = Window {
        from: 1_000,
        until: 1_100,
    };
    let facts = Facts::default();
    let policy = Policy::default();
    let found = ahead(
        &History::default(),
        &[window],
        &facts,
        &policy,
        secs(5),
        unix,
    );
    assert_eq!(found, woken.then_some(Ahead::Window(window)));
}

#[test]
fn a_regular_pattern_wakes_its_model_ahead() {
    let (history, at) = history(secs(3_000), 30);
    let policy = policy(1.0, 12.0);
    let wakes = |now| ahead(&history, &[], &Facts::default(), &policy, now, 0).is_some();
    assert!(wakes(at + secs(2_500)));
    assert!(!wakes(at + secs(60)));
}

#[test]
fn short_gaps_leave_the_memory_of_long_ones() {
    let (mut history, mut now) = history(secs(3_000), 30);
    let hour = secs(3_600);
    let before = history.chance(secs(600), hour);
    for _ in 0..200 {
        now += secs(5);
        history.arrived(now);
    }
    assert!((history.chance(secs(600), hour) - before).abs() < 1e-6);
}

#[test]
fn a_frequent_model_costs_more_to_evict() {
    let facts = Facts::default();
    let policy = Policy::default();
    let (often, at) = history(secs(60), 20);
    let (rarely, then) = history(secs(86_400), 20);
    let dear = wake_cost(&often, &facts, &policy, at + secs(10));
    let cheap = wake_cost(&rarely, &facts, &policy, then + secs(10));
    assert!(dear > 5.0 * cheap, "{dear} {cheap}");
}
