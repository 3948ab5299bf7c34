//! Runs that ended without a word of their engine, and what became of it.

use std::collections::BTreeSet;
use std::time::Duration;

use mastichinge::clock::Moment;
use mastichinge::edge::fleet::Fleet;
use mastichinge::edge::suspects::{Feature, LeftRuns, Listed, Progress};
use mastichinge::edge::upstream::{EngineEntry, EnginePhase, Lifetime};
use test_case::test_case;

use crate::fixtures::entry;

const REQUEST: Feature = Feature::Request(1);

fn at(ms: u64) -> Moment {
    Moment::from_secs(1_000) + Duration::from_millis(ms)
}

fn lifetime(engine: &str) -> Lifetime {
    Lifetime {
        engine: engine.into(),
        incarnation: 1_000,
    }
}

/// Records a run that was left at `ms`.
fn leave(runs: &mut LeftRuns, engine: &str, ms: u64) {
    let addr = ([10, 0, 0, 1], 1).into();
    let features = [(REQUEST, Progress::Waiting)];
    runs.record(&lifetime(engine), addr, features, (1, at(ms)));
}

/// Guards against a sound engine whose silence is taken for a crash.
#[test]
fn runs_are_forgotten_when_their_engine_is_heard() {
    let mut runs = LeftRuns::default();
    leave(&mut runs, "e1", 0);
    leave(&mut runs, "e2", 0);
    runs.record_heard(&lifetime("e1"));
    assert_eq!(runs.take(&lifetime("e1")), None);
    assert!(runs.take(&lifetime("e2")).is_some());
}

/// Guards against a crash that is forgotten, as its entry was read late, and against runs of an
/// engine that goes on, leaves, or is only cut from the store, which count as a crash.
#[test_case(|e| e.sequence = 2, 500, None, true; "an entry that may be older than the silence")]
#[test_case(|e| e.sequence = 2, 5_000, None, false; "an entry written after it")]
#[test_case(|_| {}, 5_000, None, true; "the same entry")]
#[test_case(|e| e.incarnation = 2_000, 500, Some(Listed::Restarted), true; "another lifetime")]
#[test_case(|e| e.phase = EnginePhase::Draining, 500, None, false; "it leaves")]
#[test_case(|e| e.id = "e2".into(), 500, Some(Listed::Missing), true; "no entry")]
fn the_list_of_engines_tells_what_became_of_a_silent_one(
    change: fn(&mut EngineEntry),
    ms: u64,
    expected: Option<Listed>,
    is_kept: bool,
) {
    let mut runs = LeftRuns::default();
    leave(&mut runs, "e1", 0);
    let mut listed = entry("e1", 1, &["m1"]);
    change(&mut listed);
    let mut fleet = Fleet::default();
    fleet.update_entries(vec![listed], &BTreeSet::new(), None, at(ms));
    let expected: Vec<_> = expected.map(|l| (lifetime("e1"), l)).into_iter().collect();
    assert_eq!(runs.compare(&fleet, at(ms)), expected);
    assert_eq!(runs.contains(&lifetime("e1")), is_kept);
}

/// Guards against a crash that is put down to runs that were left long before, and against a
/// memory that grows with callers who leave.
#[test]
fn runs_are_remembered_for_a_while() {
    let mut runs = LeftRuns::default();
    leave(&mut runs, "e1", 0);
    leave(&mut runs, "e2", 60_000);
    assert!(!runs.contains(&lifetime("e1")));
    for n in 0..1_000 {
        leave(&mut runs, &format!("x{n}"), 60_000);
    }
    let known = (0..1_000).filter(|n| runs.contains(&lifetime(&format!("x{n}"))));
    assert!(known.count() < 256);
}
