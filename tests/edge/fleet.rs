//! Tests of the engine list: entries, announcements and liveness.

use std::collections::BTreeSet;
use std::time::Duration;

use mastichinge::clock::Moment;
use mastichinge::edge::fleet::Fleet;
use mastichinge::edge::statements::Source;
use mastichinge::edge::unreachable::Cause;
use mastichinge::edge::upstream::{AnnouncedModels, EngineChange, EngineEntry, EnginePhase};

use crate::fixtures::entry;

fn at(ms: u64) -> Moment {
    Moment::from_millis(50_000 + ms)
}

fn update(fleet: &mut Fleet, entries: Vec<EngineEntry>, ms: u64) -> Vec<(String, EngineChange)> {
    let changes = fleet.update_entries(entries, &BTreeSet::new(), None, at(ms));
    changes
        .into_iter()
        .map(|(id, change)| (id.to_string(), change))
        .collect()
}

fn usable(fleet: &Fleet) -> Vec<&str> {
    let usable = fleet.engines.values().filter(|e| e.is_usable());
    usable.map(|e| &*e.entry.id).collect()
}

#[test]
fn a_restarted_engine_loses_its_models_and_announcements() {
    let mut fleet = Fleet::default();
    update(&mut fleet, vec![entry("e", 1, &["a"])], 0);
    let models = entry("", 1, &["a", "b"]).models;
    let announcement = AnnouncedModels {
        fence: 1,
        sequence: 1,
        incarnation: 1_000,
        models,
        received_at: at(10),
    };
    assert!(fleet.record_announcement("e", announcement.clone()));
    assert!(fleet.engines["e"].has_model("b", None, at(20)));
    let restarted = EngineEntry {
        incarnation: 2_000,
        sequence: 1,
        ..entry("e", 1, &[])
    };
    let changes = update(&mut fleet, vec![restarted], 100);
    assert_eq!(changes, [("e".to_owned(), EngineChange::Restarted)]);
    assert!(!fleet.engines["e"].has_model("a", None, at(110)));
    assert!(
        !fleet.record_announcement("e", announcement),
        "announcement about the previous incarnation"
    );
}

#[test]
fn a_draining_engine_does_not_become_usable_by_later_entries() {
    let mut fleet = Fleet::default();
    let draining = EngineEntry {
        phase: EnginePhase::Draining,
        sequence: 8,
        ..entry("e", 1, &[])
    };
    update(&mut fleet, vec![entry("e", 1, &[])], 0);
    let changes = update(&mut fleet, vec![draining], 100);
    assert_eq!(changes, [("e".to_owned(), EngineChange::Draining)]);
    let late = EngineEntry {
        sequence: 7,
        ..entry("e", 1, &[])
    };
    assert_eq!(update(&mut fleet, vec![late], 200), []);
    let next = EngineEntry {
        sequence: 9,
        ..entry("e", 1, &[])
    };
    update(&mut fleet, vec![next], 300);
    assert_eq!(usable(&fleet), Vec::<&str>::new());
}

/// What is chosen for an engine is sent only if the engine still accepts it.
#[test]
fn an_engine_accepts_nothing_when_it_leaves_pauses_or_is_gone() {
    let mut fleet = Fleet::default();
    update(&mut fleet, vec![entry("e", 1, &[])], 0);
    assert!(fleet.accepts("e", at(0)));
    fleet.record_pause(&"e".into(), 1_000, Duration::from_millis(500), at(0));
    assert!(!fleet.accepts("e", at(499)));
    assert!(fleet.accepts("e", at(500)));
    update(&mut fleet, vec![], 600);
    assert!(!fleet.accepts("e", at(600)));
    update(&mut fleet, vec![entry("e", 1, &[])], 700);
    assert!(fleet.accepts("e", at(700)));
    fleet.record_leaving(&"e".into(), 1_000, Source::Response);
    assert!(!fleet.accepts("e", at(700)));
}

/// Guards against DRAIN: an engine whose entry said that it leaves got requests when the
/// entry had lapsed and was back in an older state.
#[test]
fn a_draining_engine_does_not_become_usable_when_its_entry_was_missing() {
    let mut fleet = Fleet::default();
    let draining = EngineEntry {
        phase: EnginePhase::Draining,
        sequence: 8,
        ..entry("e", 1, &[])
    };
    update(&mut fleet, vec![draining], 0);
    update(&mut fleet, vec![], 100);
    let back = EngineEntry {
        sequence: 9,
        ..entry("e", 1, &[])
    };
    update(&mut fleet, vec![back.clone()], 200);
    assert_eq!(usable(&fleet), Vec::<&str>::new());
    let restarted = EngineEntry {
        incarnation: 2_000,
        ..back
    };
    update(&mut fleet, vec![restarted], 300);
    assert_eq!(usable(&fleet), ["e"]);
}

/// Entries expire during an outage of the store; running engines write them again.
#[test]
fn entries_expired_in_a_store_outage_remove_engines_only_after_a_grace_time() {
    let mut fleet = Fleet::default();
    update(&mut fleet, vec![entry("e", 1, &[])], 0);
    let restored_at = Some(at(5_000));
    assert_eq!(
        fleet.update_entries(vec![], &BTreeSet::new(), restored_at, at(5_100)),
        []
    );
    assert_eq!(usable(&fleet), ["e"]);
    let changes = fleet.update_entries(vec![], &BTreeSet::new(), restored_at, at(7_500));
    assert_eq!(changes, [("e".into(), EngineChange::Removed)]);
}

#[test]
fn of_two_engines_with_one_address_only_the_newer_is_usable() {
    let mut fleet = Fleet::default();
    let replacement = EngineEntry {
        incarnation: 5_000,
        ..entry("replacement", 1, &[])
    };
    update(&mut fleet, vec![entry("old", 1, &[]), replacement], 0);
    assert_eq!(usable(&fleet), ["replacement"]);
}

/// A crashed engine stays listed for seconds. Its models must be loaded elsewhere at
/// once, and no further requests may be sent to it.
#[test]
fn an_engine_that_refuses_connections_is_down_until_its_next_entry() {
    let mut fleet = Fleet::default();
    update(&mut fleet, vec![entry("e", 1, &["a"])], 0);
    let engine = fleet.engines.get_mut("e").unwrap();
    assert!(engine.record_unreachable(Cause::Refused, 1, at(0)));
    assert_eq!(usable(&fleet), Vec::<&str>::new());
    update(&mut fleet, vec![entry("e", 1, &["a"])], 700);
    assert_eq!(usable(&fleet), Vec::<&str>::new(), "the same entry");
    let next = EngineEntry {
        sequence: 2,
        ..entry("e", 1, &["a"])
    };
    update(&mut fleet, vec![next], 1_400);
    assert_eq!(usable(&fleet), ["e"]);
}

/// Returns when an engine that could not be reached at 0 is asked, in s, in the first minute.
fn question_times(hosts: usize) -> Vec<f64> {
    let mut fleet = Fleet::default();
    update(&mut fleet, vec![entry("e", 1, &[])], 0);
    let engine = fleet.engines.get_mut("e").unwrap();
    engine.record_unreachable(Cause::Silent, hosts, at(0));
    let times = (0..60_000).step_by(100);
    let asked = times.filter(|ms| !fleet.take_questions(at(*ms)).is_empty());
    asked.map(|ms| ms as f64 / 1_000.0).collect()
}

/// Guards against engines that get nothing more for good: an engine that has been silent or out of
/// reach is asked until it answers, by few at a time however many hosts there are.
#[test]
fn an_engine_that_could_not_be_reached_is_asked_again() {
    let few = question_times(5);
    assert!((0.4..=1.6).contains(&few[0]), "{few:?}");
    let gaps = few.windows(2).map(|w| w[1] - w[0]);
    assert!(gaps.clone().all(|gap| gap <= 12.1), "{few:?}");
    assert!((5..=15).contains(&few.len()), "{few:?}");
    let first: Vec<f64> = (0..460).map(|_| question_times(460)[0]).collect();
    for second in 0..20 {
        let asked = first.iter().filter(|at| **at as u32 == second).count();
        assert!(asked <= 100, "{asked} hosts ask in second {second}");
    }
}

/// Guards against a flood at an engine that answers again: its first request there tells.
#[test]
fn an_engine_that_answers_again_is_used_after_one_request() {
    let mut fleet = Fleet::default();
    update(&mut fleet, vec![entry("e", 1, &[])], 0);
    let engine = fleet.engines.get_mut("e").unwrap();
    engine.record_unreachable(Cause::Silent, 5, at(0));
    assert_eq!(
        engine.record_reached(at(1_300)),
        Some(Duration::from_millis(1_300))
    );
    assert!(engine.is_usable() && engine.breaker.allows(at(1_300)));
    engine.breaker.record_send(at(1_300));
    assert!(!engine.breaker.allows(at(1_400)));
    engine.breaker.record_success();
    assert!(engine.breaker.allows(at(1_500)));
    assert_eq!(engine.record_reached(at(1_600)), None);
}

#[test]
fn a_recent_announcement_of_the_leader_overrides_the_entry() {
    let mut fleet = Fleet::default();
    update(&mut fleet, vec![entry("e", 1, &["a"])], 0);
    let announcement = |fence, sequence, models: &[&str]| AnnouncedModels {
        fence,
        sequence,
        incarnation: 1_000,
        models: entry("", 1, models).models,
        received_at: at(100),
    };
    assert!(fleet.record_announcement("e", announcement(2, 4, &["b"])));
    assert!(
        !fleet.record_announcement("e", announcement(2, 3, &["a"])),
        "older announcement"
    );
    assert!(
        !fleet.record_announcement("e", announcement(1, 9, &["a"])),
        "announcement of an earlier leader"
    );
    let engine = &fleet.engines["e"];
    assert!(engine.has_model("b", None, at(200)) && !engine.has_model("a", None, at(200)));
    let later = at(200) + Duration::from_secs(6);
    assert!(engine.has_model("a", None, later) && !engine.has_model("b", None, later));
}
