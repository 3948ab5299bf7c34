//! Crash reports, trials and holding of requests that crash upstreams.

use std::time::Duration;

use mastichinge::clock::Moment;
use mastichinge::peer::wire::CrashReport;
use mastichinge::suspects::{
    Fingerprint, RequestFingerprints, RunDecision, RunPolicy, SuspectSettings, Suspects, Trial,
    TrialCandidate, TrialRequest, Trials,
};
use proptest::prelude::*;
use serde_json::json;

const NOW: Moment = Moment::from_secs(10);

fn fingerprint(text: &str) -> Fingerprint {
    text.into()
}

fn report_crash(suspects: &mut Suspects, text: &str, instance: &str) -> CrashReport {
    suspects.report_crash(&fingerprint(text), "m", instance, NOW)
}

#[test]
fn one_crash_allows_only_a_trial_and_two_hold_the_request_until_release() {
    let mut suspects = Suspects::default();
    assert_eq!(suspects.run_policy("p"), RunPolicy::Unrestricted);
    report_crash(&mut suspects, "p", "i1");
    assert_eq!(suspects.run_policy("p"), RunPolicy::TrialOnly);
    report_crash(&mut suspects, "p", "i1");
    assert_eq!(
        suspects.run_policy("p"),
        RunPolicy::TrialOnly,
        "the same crash"
    );
    report_crash(&mut suspects, "p", "i2");
    assert_eq!(suspects.run_policy("p"), RunPolicy::Held);
    let held = suspects.held_requests();
    assert_eq!(held.len(), 1);
    assert_eq!((&*held[0].fingerprint, &*held[0].model), ("p", "m"));
    assert!(suspects.release("p", NOW).is_some());
    assert_eq!(suspects.run_policy("p"), RunPolicy::Unrestricted);
    assert!(suspects.release("p", NOW).is_none());
    report_crash(&mut suspects, "p", "i3");
    assert_eq!(suspects.run_policy("p"), RunPolicy::TrialOnly);
}

#[test]
fn crashes_at_two_hosts_add_up_and_late_reports_do_not_undo_a_release() {
    let (mut here, mut there) = (Suspects::default(), Suspects::default());
    let first = report_crash(&mut here, "p", "i1");
    let second = report_crash(&mut there, "p", "i2");
    assert!(there.merge(&first, NOW));
    assert!(!there.merge(&first, NOW));
    assert_eq!(there.run_policy("p"), RunPolicy::Held);
    let release = there.release("p", NOW).unwrap();
    assert!(here.merge(&release, NOW));
    assert!(here.merge(&second, NOW));
    assert_eq!(here.run_policy("p"), RunPolicy::Unrestricted);
    assert_eq!(there.run_policy("p"), RunPolicy::Unrestricted);
}

#[test]
fn linked_peer_merges_to_the_same_state() {
    let (mut here, mut there) = (Suspects::default(), Suspects::default());
    for (text, instance) in [("p", "i1"), ("p", "i2"), ("q", "i1"), ("r", "i1")] {
        report_crash(&mut here, text, instance);
    }
    here.release("r", NOW);
    for message in here.crash_reports() {
        there.merge(&message, NOW);
    }
    for text in ["p", "q", "r"] {
        assert_eq!(there.run_policy(text), here.run_policy(text));
    }
}

#[test]
fn memory_is_bounded_and_held_requests_are_evicted_last() {
    let settings = SuspectSettings {
        max_requests: 3,
        max_instances: 3,
        ..SuspectSettings::default()
    };
    let mut suspects = Suspects::new(settings);
    report_crash(&mut suspects, "held", "i1");
    report_crash(&mut suspects, "held", "i2");
    for n in 0..10 {
        report_crash(&mut suspects, &format!("p{n}"), "i1");
    }
    assert_eq!(suspects.crash_reports().len(), 3);
    assert_eq!(suspects.run_policy("held"), RunPolicy::Held);
    for n in 0..10 {
        report_crash(&mut suspects, "held", &format!("more{n}"));
    }
    assert_eq!(suspects.held_requests()[0].instances.len(), 3);
    // Releases are not lost when the sets are full.
    for n in 0..10 {
        suspects.release("held", NOW).unwrap();
        assert_eq!(suspects.run_policy("held"), RunPolicy::Unrestricted);
        report_crash(&mut suspects, "held", &format!("a{n}"));
        report_crash(&mut suspects, "held", &format!("b{n}"));
        assert_eq!(suspects.run_policy("held"), RunPolicy::Held);
    }
}

#[test]
fn single_crash_reports_expire_and_held_requests_do_not() {
    let mut suspects = Suspects::default();
    report_crash(&mut suspects, "one", "i1");
    report_crash(&mut suspects, "two", "i1");
    report_crash(&mut suspects, "two", "i2");
    suspects.expire(NOW + SuspectSettings::default().retention - Duration::from_secs(1));
    assert_eq!(suspects.run_policy("one"), RunPolicy::TrialOnly);
    suspects.expire(NOW + SuspectSettings::default().retention);
    assert_eq!(suspects.run_policy("one"), RunPolicy::Unrestricted);
    assert_eq!(suspects.run_policy("two"), RunPolicy::Held);
}

/// A request whose prompt has these messages.
fn request(messages: &[&str]) -> RequestFingerprints {
    let prompt = json!(messages);
    RequestFingerprints::new("m", &json!({ "messages": prompt }), &prompt)
}

fn crash(
    suspects: &mut Suspects,
    request: &RequestFingerprints,
    instance: &str,
) -> Vec<CrashReport> {
    let (messages, whole) = suspects.report_request_crash(request, "m", instance, NOW);
    messages.into_iter().chain([whole]).collect()
}

/// Crashes three engines with requests that share these messages.
fn hold(suspects: &mut Suspects, shared: &[&str]) {
    for n in ["1", "2", "3"] {
        let request = request(&[shared, &[n]].concat());
        crash(suspects, &request, n);
    }
}

#[test]
fn requests_with_a_message_are_held_after_three_crashes_but_for_trials() {
    let mut suspects = Suspects::default();
    let other = request(&["bad", "other"]);
    crash(&mut suspects, &request(&["bad", "one"]), "i1");
    crash(&mut suspects, &request(&["bad", "one"]), "i2");
    assert_eq!(suspects.decide(&other, NOW), RunDecision::Unrestricted);
    crash(&mut suspects, &request(&["bad", "two"]), "i3");
    let bad = other.messages[0].clone();
    let held = |seconds| RunDecision::Held {
        fingerprint: bad.clone(),
        trial_in: Some(Duration::from_secs(seconds)),
    };
    assert_eq!(suspects.decide(&other, NOW), held(10));
    assert_eq!(
        suspects.decide(&request(&["other"]), NOW),
        RunDecision::Unrestricted
    );
    let trial_at = NOW + Duration::from_secs(10);
    assert_eq!(
        suspects.decide(&other, trial_at),
        RunDecision::Trial(bad.clone())
    );
    suspects.report_request_crash(&other, "m", "i4", trial_at);
    assert_eq!(suspects.decide(&other, trial_at), held(20));
    let whole = request(&["bad", "one"]);
    let decision = RunDecision::Held {
        fingerprint: whole.request.clone(),
        trial_in: None,
    };
    assert_eq!(suspects.decide(&whole, NOW), decision);
    assert_eq!(suspects.held_requests().len(), 2);
}

/// Guards against trials of a message without end: reports beyond the number that is kept did not
/// put the next one off.
#[test]
fn a_message_with_as_many_crashes_as_are_kept_is_held_without_trials() {
    let settings = SuspectSettings {
        max_instances: 4,
        ..SuspectSettings::default()
    };
    let mut suspects = Suspects::new(settings);
    hold(&mut suspects, &["bad"]);
    let other = request(&["bad", "other"]);
    let trial_at = NOW + Duration::from_secs(10);
    assert!(matches!(
        suspects.decide(&other, trial_at),
        RunDecision::Trial(_)
    ));
    suspects.report_request_crash(&other, "m", "4", trial_at);
    let decision = RunDecision::Held {
        fingerprint: other.messages[0].clone(),
        trial_in: None,
    };
    let later = trial_at + Duration::from_secs(86_400);
    assert_eq!(suspects.decide(&request(&["bad", "more"]), later), decision);
}

#[test]
fn messages_are_released_when_an_engine_answers_a_request_with_them() {
    let mut suspects = Suspects::default();
    hold(&mut suspects, &["brief", "bad"]);
    let sound = request(&["brief", "hello"]);
    let trial_at = NOW + Duration::from_secs(10);
    assert!(matches!(
        suspects.decide(&sound, trial_at),
        RunDecision::Trial(_)
    ));
    let releases = suspects.record_answered(&sound, trial_at);
    assert_eq!(releases.len(), 1, "{releases:?}");
    assert_eq!(suspects.decide(&sound, trial_at), RunDecision::Unrestricted);
    let decision = suspects.decide(&request(&["brief", "bad", "4"]), NOW);
    assert!(matches!(decision, RunDecision::Held { .. }), "{decision:?}");
}

#[test]
fn messages_that_engines_have_answered_before_get_no_crash_reports() {
    let (mut here, mut there) = (Suspects::default(), Suspects::default());
    let sound = request(&["brief", "hello"]);
    assert!(here.record_answered(&sound, NOW).is_empty());
    hold(&mut here, &["brief", "bad"]);
    assert_eq!(here.decide(&sound, NOW), RunDecision::Unrestricted);
    let mut refuted = Vec::new();
    for n in ["1", "2", "3"] {
        for report in crash(&mut there, &request(&["brief", n]), n) {
            here.merge(&report, NOW);
            refuted.extend(here.refute(&report, NOW));
        }
    }
    assert_eq!(here.decide(&sound, NOW), RunDecision::Unrestricted);
    assert!(matches!(
        there.decide(&sound, NOW),
        RunDecision::Held { .. }
    ));
    for release in &refuted {
        there.merge(release, NOW);
    }
    assert_eq!(there.decide(&sound, NOW), RunDecision::Unrestricted);
}

#[test]
fn the_order_of_fields_in_a_message_does_not_change_its_fingerprint() {
    let one = json!([{"role": "user", "content": "a"}]);
    let other = json!([{"content": "a", "role": "user"}]);
    let (one, other) = (
        RequestFingerprints::new("m", &json!({}), &one),
        RequestFingerprints::new("m", &json!({}), &other),
    );
    assert_eq!(one, other);
    assert_eq!(request(&["x"; 100]).messages.len(), 64);
}

fn reports() -> impl Strategy<Value = Vec<CrashReport>> {
    let one = (0..3u8, prop::collection::vec(0..5u8, 0..4), any::<bool>());
    let report = one.prop_map(|(fingerprint, instances, released)| CrashReport {
        fingerprint: fingerprint.to_string(),
        instances: instances.iter().map(u8::to_string).collect(),
        released,
        model: "m".into(),
    });
    prop::collection::vec(report, 0..12)
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn reports_merge_to_the_same_state_in_any_order_and_number(
        sent in reports(),
        start_index in any::<prop::sample::Index>(),
    ) {
        let (mut one, mut other) = (Suspects::default(), Suspects::default());
        for message in &sent {
            one.merge(message, NOW);
        }
        let start = if sent.is_empty() { 0 } else { start_index.index(sent.len()) };
        let resent = sent.iter().skip(start).chain(sent.iter().rev());
        for message in resent {
            other.merge(message, NOW);
        }
        for fingerprint in ["0", "1", "2"] {
            prop_assert_eq!(one.run_policy(fingerprint), other.run_policy(fingerprint));
        }
    }
}

fn trial_request(ticket: &str, fingerprint: &str) -> TrialRequest {
    TrialRequest {
        ticket: ticket.into(),
        fingerprint: fingerprint.into(),
        host: "a".into(),
        deadline: NOW,
    }
}

fn engines() -> Vec<TrialCandidate> {
    let engine = |(name, load): (&str, u32)| TrialCandidate {
        engine: name.into(),
        load,
    };
    [("e1", 4), ("e2", 0)].map(engine).to_vec()
}

fn engine(trial: Option<&Trial>) -> Option<&str> {
    trial.map(|t| &*t.engine)
}

#[test]
fn trials_run_one_per_engine_starting_with_the_least_loaded() {
    let mut trials = Trials::default();
    let all = engines();
    assert_eq!(
        engine(trials.start(trial_request("t1", "p"), &all)),
        Some("e2")
    );
    assert_eq!(
        engine(trials.start(trial_request("t1", "p"), &all)),
        Some("e2")
    );
    assert_eq!(engine(trials.start(trial_request("t2", "p"), &all)), None);
    assert_eq!(
        engine(trials.start(trial_request("t3", "q"), &all)),
        Some("e1")
    );
    assert_eq!(engine(trials.start(trial_request("t4", "r"), &all)), None);
    assert!(trials.has_trial("e1"));
    assert_eq!(&*trials.end("t1").unwrap().engine, "e2");
    assert!(trials.end("t1").is_none());
    assert_eq!(
        engine(trials.start(trial_request("t2", "p"), &all)),
        Some("e2")
    );
}

#[test]
fn trials_end_with_their_engine_host_or_deadline() {
    let mut trials = Trials::default();
    let all = engines();
    trials.start(trial_request("t1", "p"), &all);
    let crashed = trials.end_on_engine("e2").unwrap();
    assert_eq!(&*crashed.request.fingerprint, "p");
    assert!(trials.end_on_engine("e2").is_none());
    trials.start(trial_request("t2", "p"), &all);
    trials.end_for_host("b");
    assert!(trials.has_trial("e2"));
    trials.end_for_host("a");
    assert!(!trials.has_trial("e2"));
    trials.start(trial_request("t3", "p"), &all);
    trials.expire(NOW - Duration::from_secs(1));
    assert!(trials.has_trial("e2"));
    trials.expire(NOW);
    assert!(!trials.has_trial("e2"));
}
