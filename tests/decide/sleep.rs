//! Unloading of idle models and preloading by window or pattern.

use std::time::Duration;

use mastichinge::clock::Moment;
use mastichinge::config::{Policy, Strategy, Window};
use mastichinge::decide::history::ArrivalHistory;
use mastichinge::decide::sleep::{
    ModelFacts, PreloadReason, UnloadDecision, decide_unload, preload_reason, reload_cost,
};
use test_case::test_case;

use crate::secs;

/// Returns a history with `count` gaps of `gap` and the time of its last arrival.
fn history(gap: Duration, count: u32) -> (ArrivalHistory, Moment) {
    let mut history = ArrivalHistory::default();
    let mut now = Moment::ZERO;
    for _ in 0..=count {
        history.record_arrival(now);
        now += gap;
    }
    (history, now - gap)
}

fn policy(tail_weight: f64, idle_weight: f64) -> Policy {
    Policy {
        tail_weight,
        idle_weight,
        ..Default::default()
    }
}

fn unloads(history: &ArrivalHistory, policy: &Policy, now: Moment, idle_since: Moment) -> bool {
    let facts = ModelFacts {
        idle_since,
        ..Default::default()
    };
    decide_unload(history, &facts, policy, now) == UnloadDecision::Unload
}

#[test]
fn a_model_used_every_minute_is_kept_and_one_used_daily_is_unloaded() {
    let policy = policy(1.0, 100.0);
    let (frequent, last) = history(secs(60), 20);
    assert!(!unloads(&frequent, &policy, last + secs(30), last));
    let (rare, last) = history(secs(86_400), 20);
    assert!(unloads(&rare, &policy, last + secs(30), last));
}

#[test]
fn a_model_idle_far_beyond_its_usual_gap_is_unloaded() {
    let policy = policy(1.0, 60.0);
    let (frequent, last) = history(secs(60), 40);
    assert!(!unloads(&frequent, &policy, last + secs(30), last));
    assert!(unloads(&frequent, &policy, last + secs(200), last));
}

#[test]
fn a_model_without_history_is_kept_for_the_break_even_time() {
    let policy = policy(1.0, 36.0);
    let history = ArrivalHistory::default();
    assert!(!unloads(&history, &policy, secs(999), Moment::ZERO));
    assert!(unloads(&history, &policy, secs(1_001), Moment::ZERO));
}

#[test]
fn policy_weights_balance_cold_starts_against_idle_time() {
    let (history, last) = history(secs(600), 20);
    let now = last + secs(5);
    assert!(!unloads(&history, &policy(4.0, 1.0), now, last));
    assert!(unloads(&history, &policy(1.0, 400.0), now, last));
}

#[test_case(Strategy::KeepAlive, true)]
#[test_case(Strategy::Never, false)]
fn baseline_strategies_ignore_the_history(strategy: Strategy, unload: bool) {
    let policy = Policy {
        strategy,
        keepalive_ms: 60_000,
        ..policy(1.0, 1_000.0)
    };
    let (history, last) = history(secs(60), 20);
    assert!(!unloads(&history, &policy, last + secs(59), last));
    assert_eq!(unloads(&history, &policy, last + secs(60), last), unload);
}

#[test]
fn busy_models_and_those_that_must_be_kept_stay_loaded() {
    let busy = ModelFacts {
        busy: true,
        ..Default::default()
    };
    let kept = ModelFacts {
        must_keep: true,
        ..Default::default()
    };
    for facts in [busy, kept] {
        let decision = decide_unload(
            &ArrivalHistory::default(),
            &facts,
            &policy(0.0, 9.0),
            secs(9_999),
        );
        assert!(matches!(decision, UnloadDecision::Keep { .. }));
    }
}

#[test_case(984, false; "too early to load")]
#[test_case(985, true; "load time and margin before it opens")]
#[test_case(1_099, true; "while it is open")]
#[test_case(1_100, false; "after it closed")]
fn a_declared_window_preloads_its_model(unix_s: u64, preloaded: bool) {
    let window = Window {
        from: 1_000,
        until: 1_100,
    };
    let facts = ModelFacts::default();
    let policy = Policy::default();
    let reason = preload_reason(
        &ArrivalHistory::default(),
        &[window],
        &facts,
        &policy,
        secs(5),
        unix_s,
    );
    assert_eq!(reason, preloaded.then_some(PreloadReason::Window(window)));
}

#[test]
fn a_regular_arrival_pattern_preloads_its_model() {
    let (history, last) = history(secs(3_000), 30);
    let policy = policy(1.0, 12.0);
    let preloads =
        |now| preload_reason(&history, &[], &ModelFacts::default(), &policy, now, 0).is_some();
    assert!(preloads(last + secs(2_500)));
    assert!(!preloads(last + secs(60)));
}

#[test]
fn short_gaps_do_not_erase_long_ones() {
    let (mut history, mut now) = history(secs(3_000), 30);
    let hour = secs(3_600);
    let before = history.arrival_probability(secs(600), hour);
    for _ in 0..200 {
        now += secs(5);
        history.record_arrival(now);
    }
    assert!((history.arrival_probability(secs(600), hour) - before).abs() < 1e-6);
}

#[test]
fn evicting_a_frequently_used_model_costs_more() {
    let facts = ModelFacts::default();
    let policy = Policy::default();
    let (frequent, last) = history(secs(60), 20);
    let (rare, rare_last) = history(secs(86_400), 20);
    let expensive = reload_cost(&frequent, &facts, &policy, last + secs(10));
    let cheap = reload_cost(&rare, &facts, &policy, rare_last + secs(10));
    assert!(expensive > 5.0 * cheap, "{expensive} {cheap}");
}
