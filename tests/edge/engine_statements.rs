//! Which lifetime of an engine a statement applies to, and for how long.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use mastichinge::clock::Moment;
use mastichinge::edge::fleet::Fleet;
use mastichinge::edge::gossip::Heartbeat;
use mastichinge::edge::reports::Reporter;
use mastichinge::edge::state::State;
use mastichinge::edge::statements::Source;
use mastichinge::edge::upstream::{EngineEntry, Lifetime};
use test_case::test_case;

use crate::fixtures::entry;

/// Pause for which an engine asks.
const PAUSE: Duration = Duration::from_secs(30);

fn at(ms: u64) -> Moment {
    Moment::from_millis(50_000 + ms)
}

/// Lists the engine with a start time.
fn list(fleet: &mut Fleet, incarnation: u64, ms: u64) {
    let entry = EngineEntry {
        incarnation,
        ..entry("e", 1, &[])
    };
    fleet.update_entries(vec![entry], &BTreeSet::new(), None, at(ms));
}

/// Returns whether a request may be sent to the engine.
fn is_free(fleet: &Fleet, ms: u64) -> bool {
    let engine = &fleet.engines["e"];
    engine.is_usable() && fleet.pause_left(engine, at(ms)).is_none()
}

/// Makes the engine state something under its first lifetime, and lists its second.
fn restarted(leaves: bool, source: Source) -> Fleet {
    let id: Arc<str> = "e".into();
    let mut fleet = Fleet::default();
    list(&mut fleet, 1_000, 0);
    match leaves {
        true => assert!(fleet.record_leaving(&id, 1_000, source)),
        false => fleet.record_pause(&id, 1_000, PAUSE, at(10)),
    }
    assert!(!is_free(&fleet, 20));
    list(&mut fleet, 2_000, 100);
    fleet
}

/// Guards against DRAIN: a statement of a new lifetime, heard before its entry was read, was
/// taken for one of the lifetime before.
#[test]
fn an_engine_may_leave_until_it_has_answered_a_check() {
    let mut fleet = restarted(true, Source::Response);
    assert!(!is_free(&fleet, 110));
    let checks = fleet.take_checks(at(120));
    assert_eq!((checks.len(), checks[0].lifetime.incarnation), (1, 2_000));
    assert!(!fleet.record_answer(&checks[0].lifetime));
    assert!(is_free(&fleet, 140));
    assert_eq!(fleet.take_checks(at(5_000)), []);
}

#[test]
fn an_engine_leaves_if_it_says_so_in_its_answer_to_a_check() {
    let mut fleet = restarted(true, Source::Response);
    let checks = fleet.take_checks(at(120));
    assert!(fleet.record_leaving(&"e".into(), 2_000, Source::Response));
    assert!(fleet.record_answer(&checks[0].lifetime));
    list(&mut fleet, 2_000, 25_000);
    assert!(!is_free(&fleet, 25_000));
    assert_eq!(fleet.take_checks(at(25_010)), []);
}

/// Guards against BUDGET: a new lifetime had asked for a pause before its entry was read, and
/// answered a check without asking again.
#[test]
fn a_pause_applies_to_a_later_start_whatever_a_check_says() {
    let mut fleet = restarted(false, Source::Response);
    assert_eq!(fleet.take_checks(at(120)), []);
    let lifetime = Lifetime {
        engine: "e".into(),
        incarnation: 2_000,
    };
    fleet.record_answer(&lifetime);
    list(&mut fleet, 2_000, 14_000);
    assert!(!is_free(&fleet, 14_000));
}

/// The longer of two pauses applies, under the lifetime of the later one.
#[test]
fn a_pause_that_the_later_start_asks_for_again_applies_to_its_end() {
    let mut fleet = restarted(false, Source::Response);
    let shorter = Duration::from_secs(1);
    fleet.record_pause(&"e".into(), 2_000, shorter, at(130));
    list(&mut fleet, 2_000, 25_000);
    assert!(!is_free(&fleet, 25_000));
    assert!(is_free(&fleet, 30_200));
}

/// Guards against DRAIN and BUDGET: what a response says that was read after the new entry, but
/// answers a request that was sent before it.
#[test_case(true; "leaving")]
#[test_case(false; "a pause")]
fn a_statement_that_is_heard_after_the_new_entry_applies_at_once(leaves: bool) {
    let mut fleet = Fleet::default();
    list(&mut fleet, 2_000, 0);
    match leaves {
        true => assert!(fleet.record_leaving(&"e".into(), 1_000, Source::Response)),
        false => fleet.record_pause(&"e".into(), 1_000, PAUSE, at(10)),
    }
    assert!(!is_free(&fleet, 20));
}

/// Guards against an engine that is kept out for long after it has started again.
#[test_case(true; "leaving")]
#[test_case(false; "a pause")]
fn an_engine_that_answers_no_check_is_used_again(leaves: bool) {
    let mut fleet = restarted(leaves, Source::Response);
    list(&mut fleet, 2_000, 15_000);
    assert!(!is_free(&fleet, 15_000));
    list(&mut fleet, 2_000, 15_200);
    assert!(is_free(&fleet, 15_200));
}

/// A check is no request, but an engine that has asked for a pause too gets a single one in it.
#[test_case(false, 3; "leaving")]
#[test_case(true, 1; "leaving, in a pause")]
fn an_unanswered_check_is_repeated_except_in_a_pause(paused: bool, checks: usize) {
    let mut fleet = restarted(true, Source::Response);
    if paused {
        fleet.record_pause(&"e".into(), 1_000, PAUSE, at(110));
    }
    let mut taken = 0;
    for ms in [120, 500, 1_150, 1_300, 2_200] {
        taken += fleet.take_checks(at(ms)).len();
    }
    assert_eq!(taken, checks);
}

/// What another host heard applies to the lifetime that it names.
#[test]
fn a_note_of_another_host_does_not_apply_to_a_later_lifetime() {
    let mut fleet = restarted(true, Source::Note);
    assert!(is_free(&fleet, 110));
    assert_eq!(fleet.take_checks(at(120)), []);
}

/// Guards against hosts that never learn that an engine leaves: a lost datagram was not
/// repeated. Engines that leave take turns, so that a datagram stays small.
#[test]
fn engines_that_leave_are_named_again_and_again() {
    let mut state = State::default();
    let ids: Vec<Arc<str>> = (0..20).map(|n| format!("e{n:02}").into()).collect();
    let entries = ids.iter().map(|id| entry(id, 1, &[]));
    let now = at(0);
    state
        .fleet
        .update_entries(entries.collect(), &BTreeSet::new(), None, now);
    for id in &ids[1..] {
        state.fleet.record_leaving(id, 1_000, Source::Note);
    }
    let mut reporter = Reporter::default();
    let mut named = BTreeSet::new();
    for _ in 0..3 {
        let heartbeat = Some(Heartbeat::default());
        let round = reporter.next_round(&mut state, heartbeat, None, now);
        assert!(round.everyone.leaving.len() <= 8);
        for note in round.everyone.leaving {
            assert_eq!(note.incarnation, 1_000);
            named.insert(note.engine);
        }
    }
    assert_eq!(named.len(), 19);
    assert!(!named.contains("e00"));
    let urgent = reporter.next_round(&mut state, None, None, now);
    assert_eq!(urgent.everyone.leaving, []);
}

/// Guards against BUDGET: a pause was forgotten when an older entry came back.
#[test]
fn a_pause_applies_to_an_older_entry() {
    let mut fleet = Fleet::default();
    fleet.record_pause(&"e".into(), 2_000, PAUSE, at(0));
    list(&mut fleet, 1_000, 10);
    assert!(!is_free(&fleet, 20));
}
