//! Which features of requests explain the ends of engines.

use std::time::Duration;

use mastichinge::clock::Moment;
use mastichinge::edge::gossip::{CrashNote, FeatureNote};
use mastichinge::edge::suspects::{CrashId, Feature, Suspects, fingerprint};
use mastichinge::edge::upstream::Lifetime;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const FIRST: Feature = Feature::Part(1);
const BAD: Feature = Feature::Part(2);
const OTHER: Feature = Feature::Part(3);
/// Far above the time for which crashes are kept.
const LONG: Duration = Duration::from_secs(10_000);

fn at(ms: u64) -> Moment {
    Moment::from_secs(1_000) + Duration::from_millis(ms)
}

fn end_of(engine: &str, incarnation: u64) -> CrashId {
    CrashId::end_of(&Lifetime {
        engine: engine.into(),
        incarnation,
    })
}

fn end(n: u64) -> CrashId {
    end_of(&format!("e{n}"), 1_000)
}

/// Records the end of an engine as the answers to requests with these features began.
fn crash(suspects: &mut Suspects, n: u64, features: &[Feature]) {
    let begun = features.iter().map(|f| (*f, true));
    suspects.record_crash(&end(n), begun, at(1_000 * n));
}

/// Returns all crashes as they are told other daemons.
fn all_notes(suspects: &Suspects, now: Moment) -> Vec<CrashNote> {
    let ids = suspects.crash_ids();
    ids.filter_map(|id| suspects.note(id, now)).collect()
}

fn held(suspects: &Suspects) -> Vec<Feature> {
    suspects.held().collect()
}

/// Guards against BUDGET: a request that crashed an engine, and crashed it again when it had
/// started again under its id, was sent on and on.
#[test]
fn a_request_is_held_after_it_has_crashed_an_engine_twice() {
    let mut suspects = Suspects::default();
    let request = Feature::Request(fingerprint("/a/", b"body"));
    suspects.record_crash(&end_of("e1", 1_000), [(request, true)], at(0));
    assert_eq!(held(&suspects), []);
    suspects.record_crash(&end_of("e1", 2_000), [(request, true)], at(100));
    assert_eq!(held(&suspects), [request]);
}

/// What several daemons report of one end counts once.
#[test]
fn one_end_of_an_engine_counts_once() {
    let mut suspects = Suspects::default();
    for ms in [0, 10, 20] {
        suspects.record_crash(&end(1), [(BAD, true)], at(ms));
    }
    assert_eq!(held(&suspects), []);
    crash(&mut suspects, 2, &[BAD]);
    assert_eq!(held(&suspects), [BAD]);
}

/// Guards against BUDGET: the hold ended after 30 s, while requests still came.
#[test]
fn a_feature_is_held_until_a_request_with_it_is_answered_or_none_comes_for_long() {
    let mut suspects = Suspects::default();
    crash(&mut suspects, 1, &[BAD]);
    crash(&mut suspects, 2, &[BAD]);
    let mut now = at(3_000);
    for _ in 0..20 {
        now += Duration::from_secs(1_800);
        suspects.record_seen(BAD, now);
        suspects.expire(now);
        assert_eq!(held(&suspects), [BAD]);
    }
    let mut forgotten = Suspects::default();
    crash(&mut forgotten, 1, &[BAD]);
    crash(&mut forgotten, 2, &[BAD]);
    assert_eq!(forgotten.expire(at(0) + LONG).released, [BAD]);
    let change = suspects.record_answered(&[BAD], now);
    assert_eq!((change.released, held(&suspects)), (vec![BAD], vec![]));
}

/// Guards against LOST: sound parts are in progress at every crash that a part beside them
/// causes.
#[test]
fn parts_that_engines_have_answered_are_not_held() {
    let mut suspects = Suspects::default();
    suspects.record_answered(&[FIRST, OTHER], at(0));
    for n in 1..40 {
        crash(&mut suspects, n, &[FIRST, BAD, OTHER]);
    }
    assert_eq!(held(&suspects), [BAD]);
}

/// Two parts are held as long as they cannot be told apart; one more crash tells them.
#[test]
fn a_part_is_released_once_another_explains_its_crashes() {
    let mut suspects = Suspects::default();
    crash(&mut suspects, 1, &[FIRST, BAD]);
    crash(&mut suspects, 2, &[FIRST, BAD]);
    assert_eq!(held(&suspects), [FIRST, BAD]);
    crash(&mut suspects, 3, &[OTHER, BAD]);
    assert_eq!(held(&suspects), [BAD]);
    crash(&mut suspects, 4, &[OTHER, BAD]);
    assert_eq!(held(&suspects), [BAD]);
}

/// The answer to a sound request tells two parts apart.
#[test]
fn an_answer_releases_a_part_and_leaves_the_other_held() {
    let mut suspects = Suspects::default();
    crash(&mut suspects, 1, &[FIRST, BAD]);
    crash(&mut suspects, 2, &[FIRST, BAD]);
    suspects.record_answered(&[FIRST, OTHER], at(2_500));
    assert_eq!(held(&suspects), [BAD]);
}

#[test]
fn two_parts_that_crash_engines_are_both_held() {
    let mut suspects = Suspects::default();
    suspects.record_answered(&[FIRST], at(0));
    for n in 1..4 {
        crash(&mut suspects, 2 * n, &[FIRST, BAD]);
        crash(&mut suspects, 2 * n + 1, &[FIRST, OTHER]);
    }
    assert_eq!(held(&suspects), [BAD, OTHER]);
}

/// A part that engines have answered before is held when nothing else explains the crashes.
#[test]
fn a_part_that_begins_to_crash_engines_is_held_after_five() {
    let mut suspects = Suspects::default();
    suspects.record_answered(&[BAD], at(0));
    for n in 1..5 {
        crash(&mut suspects, n, &[BAD]);
        assert_eq!(held(&suspects), []);
    }
    crash(&mut suspects, 5, &[BAD]);
    assert_eq!(held(&suspects), [BAD]);
}

/// Engines crash as they begin to answer: requests that wait there are no evidence beside one
/// whose answer has begun.
#[test]
fn requests_that_wait_at_an_engine_are_not_suspected_beside_one_that_begins() {
    let mut suspects = Suspects::default();
    for n in 1..4 {
        let features = [(BAD, true), (OTHER, false)];
        suspects.record_crash(&end(n), features, at(n));
    }
    assert_eq!(held(&suspects), [BAD]);
    let mut suspects = Suspects::default();
    for n in 1..3 {
        suspects.record_crash(&end(n), [(OTHER, false)], at(n));
    }
    assert_eq!(held(&suspects), [OTHER], "nothing else explains these");
}

/// Guards against BUDGET: a host that starts knows nothing, and finds other causes than those
/// that have seen the parts answered.
#[test]
fn a_host_that_is_told_of_the_crashes_holds_the_same_parts() {
    let mut suspects = Suspects::default();
    suspects.record_answered(&[FIRST], at(0));
    crash(&mut suspects, 1, &[FIRST, BAD]);
    crash(&mut suspects, 2, &[FIRST, BAD, OTHER]);
    suspects.record_answered(&[OTHER], at(2_100));
    let mut other = Suspects::default();
    for note in all_notes(&suspects, at(3_000)) {
        other.apply(&note, at(70_000));
    }
    assert_eq!(held(&other), [BAD]);
}

/// Guards against BUDGET: what was known was lost when all hosts started again.
#[test]
fn a_host_that_reads_the_row_of_a_feature_holds_it() {
    let mut suspects = Suspects::default();
    for n in 1..9 {
        crash(&mut suspects, n, &[FIRST, BAD]);
    }
    suspects.record_answered(&[FIRST], at(9_000));
    let record = suspects.hold_record(BAD);
    let mut other = Suspects::default();
    other.restore(BAD, &record, at(0));
    assert_eq!(held(&other), [BAD]);
    assert_late_trials(&mut other, at(0), &[3, 60, 1_000]);
    let record = other.hold_record(BAD);
    let mut third = Suspects::default();
    third.restore(BAD, &record, at(0));
    assert_late_trials(&mut third, at(0), &[]);
}

/// Asserts that [`BAD`] is tried after these times, s, each counted from the trial before, and
/// then no more.
fn assert_late_trials(suspects: &mut Suspects, mut now: Moment, delays: &[u64]) {
    for delay in delays {
        let delay = Duration::from_secs(*delay);
        assert_eq!(suspects.trial_in(BAD, now), Some(delay));
        now += delay;
        suspects.begin_trial(BAD, now);
    }
    assert_eq!(suspects.trial_in(BAD, now + LONG), None);
}

/// Guards against BUDGET: trials cost an engine each, over all hosts and all the time.
#[test]
fn a_feature_is_tried_a_few_times_after_the_crashes_that_count() {
    let mut suspects = Suspects::default();
    crash(&mut suspects, 1, &[BAD]);
    crash(&mut suspects, 2, &[BAD]);
    let in_half_a_second = Some(Duration::from_millis(500));
    assert_eq!(suspects.trial_in(BAD, at(2_000)), in_half_a_second);
    assert!(suspects.trials.record(BAD, 1, at(2_500)));
    assert!(!suspects.trials.record(BAD, 1, at(2_600)));
    let next = Some(Duration::from_secs(2));
    assert_eq!(suspects.trial_in(BAD, at(2_500)), next, "it showed nothing");
    for n in 3..6 {
        crash(&mut suspects, n, &[BAD]);
    }
    let soon = Some(Duration::from_secs(2));
    assert_eq!(suspects.trial_in(BAD, at(5_000)), soon, "within the bound");
    suspects.begin_trial(BAD, at(7_000));
    assert_late_trials(&mut suspects, at(7_000), &[3, 60, 1_000]);
}

/// Guards against LOST: a part that cannot be told from another one has to be tried, however many
/// crashes there were.
#[test]
fn a_part_that_another_may_explain_is_tried_on() {
    let mut suspects = Suspects::default();
    for n in 1..4 {
        crash(&mut suspects, n, &[FIRST, BAD]);
    }
    assert_eq!(held(&suspects), [FIRST, BAD]);
    assert!(suspects.trial_in(FIRST, at(9_000)).is_some());
    let delay = Duration::from_secs(2);
    for n in 0..4 {
        suspects.trials.record(FIRST, n + 1, at(9_000));
        let due = suspects.trial_in(FIRST, at(9_000));
        assert_eq!(due, Some(delay * 2_u32.pow(n)));
    }
    // A request with both tells less than one with the first alone.
    let both = suspects.trials_in(&[FIRST, BAD], at(9_000));
    assert_eq!(both[0], (FIRST, Some(2 * delay * 8)));
    suspects.record_answered(&[FIRST], at(10_000));
    assert_eq!(held(&suspects), [BAD]);
    crash(&mut suspects, 4, &[BAD]);
    crash(&mut suspects, 5, &[BAD]);
    assert_late_trials(&mut suspects, at(10_000), &[0, 60, 1_000]);
}

/// Callers choose the ids: floods of them push no held feature out.
#[test]
fn floods_of_parts_and_crashes_release_nothing() {
    let mut suspects = Suspects::default();
    crash(&mut suspects, 1, &[FIRST, BAD]);
    crash(&mut suspects, 2, &[BAD]);
    for n in 0..1_000 {
        let chaff: Vec<_> = (0..100)
            .map(|i| (Feature::Part(1_000 + 100 * n + i), true))
            .collect();
        suspects.record_crash(&end(10 + n), chaff.clone(), at(3_000 + n));
        let answered: Vec<_> = chaff.iter().map(|(f, _)| *f).collect();
        suspects.record_answered(&answered, at(3_000 + n));
    }
    assert_eq!(held(&suspects), [BAD]);
    assert!(all_notes(&suspects, at(5_000)).len() < 1_000);
}

/// A long list of parts does not hide the one that crashes engines for good.
#[test]
fn a_part_among_very_many_is_found() {
    let mut suspects = Suspects::default();
    for n in 0..200 {
        let chaff = (0..400).map(|i| Feature::Part(1_000 + 400 * n + i));
        let mut features: Vec<_> = chaff.collect();
        features.insert(200, BAD);
        crash(&mut suspects, n, &features);
    }
    assert_eq!(held(&suspects), [BAD]);
}

fn any_note() -> impl Strategy<Value = CrashNote> {
    let flags = any::<[bool; 5]>();
    let feature =
        (0_u64..4, flags).prop_map(|(id, [is_request, begun, known, cleared, repeated])| {
            FeatureNote {
                id,
                is_request,
                begun,
                known,
                cleared,
                repeated,
            }
        });
    (0_u64..4, vec(feature, 0..5)).prop_map(|(n, features)| CrashNote {
        engine: format!("e{n}"),
        incarnation: 1_000,
        ended: true,
        age_ms: 5,
        seen_ms: 5,
        features,
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        rng_seed: RngSeed::Fixed(34),
        ..ProptestConfig::default()
    })]

    /// Notes may come in any order, again and again, and by way of any daemon.
    #[test]
    fn reports_merge_to_the_same_state_in_any_order(notes in vec(any_note(), 0..12)) {
        let now = at(60_000);
        let (mut one, mut other) = (Suspects::default(), Suspects::default());
        for note in &notes {
            one.apply(note, now);
        }
        for note in notes.iter().rev().chain(&notes) {
            other.apply(note, now);
        }
        prop_assert_eq!(held(&one), held(&other));
        prop_assert_eq!(all_notes(&one, now), all_notes(&other, now));
        let mut third = Suspects::default();
        for note in all_notes(&one, now) {
            third.apply(&note, now);
        }
        prop_assert_eq!(all_notes(&third, now), all_notes(&one, now));
    }

    /// Any numbers in a note are applied.
    #[test]
    fn any_note_is_applied(
        age_ms in any::<u64>(),
        seen_ms in any::<u64>(),
        ids in vec(any::<u64>(), 0..80),
        engine in ".{0,40}",
    ) {
        let feature = |id| FeatureNote { id, begun: true, ..FeatureNote::default() };
        let features = ids.into_iter().map(feature).collect();
        let note = CrashNote { engine, incarnation: 0, ended: true, age_ms, seen_ms, features };
        let mut suspects = Suspects::default();
        suspects.apply(&note, at(0));
        suspects.expire(at(0) + LONG);
        prop_assert_eq!(held(&suspects), []);
    }
}
