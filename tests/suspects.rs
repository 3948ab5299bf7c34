//! Crash reports, trials and holding of requests that crash upstreams.

use std::time::Duration;

use mastichinge::clock::Moment;
use mastichinge::peer::wire::CrashReport;
use mastichinge::suspects::{
    Fingerprint, RequestFingerprints, RunDecision, SuspectSettings, Suspects, Trial,
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

/// Returns how a request without messages may run.
fn decide(suspects: &mut Suspects, text: &str) -> RunDecision {
    decide_at(suspects, text, NOW)
}

fn decide_at(suspects: &mut Suspects, text: &str, now: Moment) -> RunDecision {
    let request = RequestFingerprints {
        request: fingerprint(text),
        messages: Vec::new(),
    };
    suspects.decide(&request, now)
}

fn trial(text: &str) -> RunDecision {
    RunDecision::Trial(fingerprint(text))
}

fn held(text: &str, seconds: u64) -> RunDecision {
    RunDecision::Held {
        fingerprint: fingerprint(text),
        trial_in: Duration::from_secs(seconds),
    }
}

/// Guards against a request that is sent on after two crashes that only it explains, and against
/// one that is held for good.
#[test]
fn one_crash_allows_only_a_trial_and_two_hold_the_request_until_the_next() {
    let mut suspects = Suspects::default();
    assert_eq!(decide(&mut suspects, "p"), RunDecision::Unrestricted);
    report_crash(&mut suspects, "p", "i1");
    assert_eq!(decide(&mut suspects, "p"), trial("p"));
    report_crash(&mut suspects, "p", "i1");
    assert_eq!(decide(&mut suspects, "p"), trial("p"), "the same crash");
    report_crash(&mut suspects, "p", "i2");
    assert_eq!(decide(&mut suspects, "p"), held("p", 1));
    let settled = NOW + Duration::from_secs(1);
    assert_eq!(decide_at(&mut suspects, "p", settled), held("p", 9));
    let held_requests = suspects.held_requests(NOW);
    assert_eq!(held_requests.len(), 1);
    let first = &held_requests[0];
    assert_eq!((&*first.fingerprint, &*first.model), ("p", "m"));
    let trial_at = NOW + Duration::from_secs(10);
    assert_eq!(decide_at(&mut suspects, "p", trial_at), trial("p"));
    assert_eq!(suspects.release_held("p", NOW).len(), 1);
    assert_eq!(decide(&mut suspects, "p"), RunDecision::Unrestricted);
    assert!(suspects.release_held("p", NOW).is_empty());
    report_crash(&mut suspects, "p", "i3");
    assert_eq!(decide(&mut suspects, "p"), trial("p"));
}

#[test]
fn crashes_at_two_hosts_add_up_and_late_reports_do_not_undo_a_release() {
    let (mut here, mut there) = (Suspects::default(), Suspects::default());
    let first = report_crash(&mut here, "p", "i1");
    let second = report_crash(&mut there, "p", "i2");
    assert!(there.merge(&first, NOW));
    assert!(!there.merge(&first, NOW));
    let settled = NOW + Duration::from_secs(1);
    assert_eq!(decide_at(&mut there, "p", settled), held("p", 9));
    let release = there.release("p", NOW).unwrap();
    assert!(here.merge(&release, NOW));
    assert!(here.merge(&second, NOW));
    assert_eq!(decide(&mut here, "p"), RunDecision::Unrestricted);
    assert_eq!(decide(&mut there, "p"), RunDecision::Unrestricted);
}

/// Guards against trials that a daemon grants too early because it was told of crashes later.
#[test]
fn linked_peer_merges_to_the_same_state() {
    let (mut here, mut there) = (Suspects::default(), Suspects::default());
    for (text, instance) in [("p", "i1"), ("p", "i2"), ("q", "i1"), ("r", "i1")] {
        report_crash(&mut here, text, instance);
    }
    here.release("r", NOW);
    let later = NOW + Duration::from_secs(4);
    for message in here.crash_reports(later) {
        there.merge(&message, later);
    }
    assert_eq!(decide_at(&mut here, "p", later), held("p", 6));
    for text in ["p", "q", "r"] {
        let known = decide_at(&mut here, text, later);
        assert_eq!(decide_at(&mut there, text, later), known);
    }
}

/// Guards against a request that is held because it was at two crashes of others: another request
/// explains the one, and engines end for other reasons.
#[test]
fn a_request_near_two_crashes_that_others_explain_is_not_held() {
    let mut suspects = Suspects::default();
    for (text, instance) in [
        ("bad", "i1"),
        ("sound", "i1"),
        ("sound", "i2"),
        ("bad", "i3"),
    ] {
        report_crash(&mut suspects, text, instance);
    }
    report_crash(&mut suspects, "bad", "i4");
    let settled = NOW + Duration::from_secs(1);
    let decision = decide_at(&mut suspects, "sound", settled);
    assert_eq!(decision, trial("sound"));
    suspects.release("sound", settled);
    assert_eq!(decide_at(&mut suspects, "bad", settled), held("bad", 9));
    report_crash(&mut suspects, "late", "i4");
    assert_eq!(decide(&mut suspects, "late"), RunDecision::Unrestricted);
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
    assert_eq!(suspects.crash_reports(NOW).len(), 3);
    assert!(is_held(&mut suspects, "held"));
    for n in 0..10 {
        report_crash(&mut suspects, "held", &format!("more{n}"));
    }
    assert_eq!(suspects.held_requests(NOW)[0].instances.len(), 3);
    // Releases are not lost when the sets are full.
    for n in 0..10 {
        suspects.release("held", NOW).unwrap();
        assert_eq!(decide(&mut suspects, "held"), RunDecision::Unrestricted);
        report_crash(&mut suspects, "held", &format!("a{n}"));
        report_crash(&mut suspects, "held", &format!("b{n}"));
        assert!(is_held(&mut suspects, "held"));
    }
}

fn is_held(suspects: &mut Suspects, text: &str) -> bool {
    matches!(decide(suspects, text), RunDecision::Held { .. })
}

#[test]
fn single_crash_reports_expire_and_those_of_held_requests_do_not() {
    let mut suspects = Suspects::default();
    report_crash(&mut suspects, "one", "i1");
    report_crash(&mut suspects, "two", "i2");
    report_crash(&mut suspects, "two", "i3");
    suspects.expire(NOW + SuspectSettings::default().retention - Duration::from_secs(1));
    assert_eq!(decide(&mut suspects, "one"), trial("one"));
    suspects.expire(NOW + SuspectSettings::default().retention);
    assert_eq!(decide(&mut suspects, "one"), RunDecision::Unrestricted);
    assert!(is_held(&mut suspects, "two"));
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
    let (messages, whole) = suspects.report_request_crash(request, "m", instance, None, NOW);
    messages.into_iter().chain([whole]).collect()
}

/// Crashes three engines with requests that share these messages.
fn hold(suspects: &mut Suspects, shared: &[&str]) {
    for n in ["1", "2", "3"] {
        let request = request(&[shared, &[n]].concat());
        crash(suspects, &request, n);
    }
}

/// Returns a moment by which all daemons know of the crashes, `seconds` after them.
fn after(seconds: u64) -> Moment {
    NOW + Duration::from_secs(seconds)
}

fn name_of(request: &RequestFingerprints, messages: usize) -> Fingerprint {
    request.messages[..messages].iter().min().unwrap().clone()
}

/// Guards against requests without the message on which engines crash that are held because they
/// share another one with those that have it.
#[test]
fn only_requests_with_all_that_the_crashes_have_in_common_are_held() {
    let mut suspects = Suspects::default();
    hold(&mut suspects, &["brief", "bad"]);
    let other = request(&["brief", "bad", "other"]);
    let decision = suspects.decide(&other, after(1));
    let names = [name_of(&other, 2), other.request.clone()];
    let mut names = names.map(|name| name.to_string());
    names.sort();
    assert_eq!(decision, RunDecision::Trial(names.join(" ").into()));
    suspects.report_request_crash(&other, "m", "4", Some(&name_of(&other, 2)), after(2));
    let decision = suspects.decide(&request(&["bad", "brief", "more"]), after(2));
    let expected = RunDecision::Held {
        fingerprint: name_of(&other, 2),
        trial_in: Duration::from_secs(2),
    };
    assert_eq!(decision, expected);
    for sound in [&["brief", "hello"][..], &["other"]] {
        let decision = suspects.decide(&request(sound), after(1));
        assert_eq!(decision, RunDecision::Unrestricted);
    }
    assert_eq!(suspects.held_requests(after(2)).len(), 1);
}

/// Guards against trials of a message without end, and against one that is held for good.
#[test]
fn a_message_with_as_many_crashes_as_are_kept_is_tried_once_an_hour() {
    let settings = SuspectSettings {
        max_instances: 7,
        ..SuspectSettings::default()
    };
    let mut suspects = Suspects::new(settings);
    hold(&mut suspects, &["bad"]);
    let other = request(&["bad", "other"]);
    let mut now = NOW;
    for n in 4..20 {
        now += Duration::from_secs(7_200);
        let decision = suspects.decide(&request(&["bad", &n.to_string()]), now);
        assert!(matches!(decision, RunDecision::Trial(_)), "{decision:?}");
        let number = n.to_string();
        let trial = request(&["bad", &number]);
        suspects.report_request_crash(&trial, "m", &number, Some(&trial.messages[0]), now);
        let decision = suspects.decide(&other, now + Duration::from_secs(1));
        assert!(matches!(decision, RunDecision::Held { .. }), "{decision:?}");
    }
    let decision = suspects.decide(&other, now + Duration::from_secs(3_599));
    assert!(matches!(decision, RunDecision::Held { .. }), "{decision:?}");
}

#[test]
fn messages_are_released_when_an_engine_answers_a_request_with_them() {
    let mut suspects = Suspects::default();
    hold(&mut suspects, &["brief", "bad"]);
    let sound = request(&["brief", "hello"]);
    let releases = suspects.record_answered(&sound, after(1));
    assert_eq!(releases.len(), 1, "{releases:?}");
    let bad = request(&["bad", "brief", "4"]);
    suspects.report_request_crash(&bad, "m", "4", None, after(2));
    let decision = suspects.decide(&request(&["bad", "5"]), after(2));
    assert!(matches!(decision, RunDecision::Held { .. }), "{decision:?}");
    assert_eq!(suspects.decide(&sound, after(2)), RunDecision::Unrestricted);
    let mended = request(&["bad", "6"]);
    assert!(!suspects.record_answered(&mended, after(3)).is_empty());
    let decision = suspects.decide(&request(&["bad", "5"]), after(3));
    assert_eq!(decision, RunDecision::Unrestricted);
}

/// Guards against a message on which engines crash from some moment on, and that is never held
/// because they answered it before.
#[test]
fn messages_that_engines_have_answered_before_are_held_after_more_crashes() {
    let (mut here, mut there) = (Suspects::default(), Suspects::default());
    let sound = request(&["brief", "hello"]);
    assert!(here.record_answered(&sound, NOW).is_empty());
    hold(&mut here, &["brief"]);
    assert_eq!(here.decide(&sound, after(1)), RunDecision::Unrestricted);
    crash(&mut here, &request(&["brief", "4"]), "4");
    assert!(matches!(
        here.decide(&sound, after(1)),
        RunDecision::Trial(_)
    ));
    // Reports of crashes before an answer are taken back.
    here.record_answered(&sound, after(1));
    for n in ["5", "6", "7"] {
        crash(&mut there, &request(&["brief", n]), n);
    }
    assert!(matches!(
        there.decide(&sound, after(1)),
        RunDecision::Trial(_)
    ));
    let mut refuted = Vec::new();
    for report in there.crash_reports(after(2)) {
        here.merge(&report, after(2));
        refuted.extend(here.refute(&report, after(2)));
    }
    assert_eq!(here.decide(&sound, after(2)), RunDecision::Unrestricted);
    for release in &refuted {
        there.merge(release, after(2));
    }
    assert_eq!(there.decide(&sound, after(2)), RunDecision::Unrestricted);
}

/// Guards against engines that fall silent before they end: the requests were sent on elsewhere,
/// and no crash was recorded.
#[test]
fn requests_that_were_given_up_at_an_instance_that_ended_get_crash_reports() {
    let mut suspects = Suspects::default();
    let (bad, sound) = (request(&["brief", "bad"]), request(&["brief", "sound"]));
    for request in [&bad, &sound] {
        suspects.record_abandoned(request, &"m".into(), &"i1".into(), NOW);
    }
    assert_eq!(suspects.decide(&bad, NOW), RunDecision::Unrestricted);
    suspects.record_answered(&sound, after(1));
    assert_eq!(suspects.record_ended("i2", after(2)), []);
    let reports = suspects.record_ended("i1", after(2));
    let reported: Vec<_> = reports.iter().map(|r| r.fingerprint.as_str()).collect();
    assert_eq!(reported, [&*bad.messages[1], &*bad.request]);
    let decision = suspects.decide(&bad, after(2));
    assert_eq!(decision, RunDecision::Trial(bad.request.clone()));
    assert_eq!(suspects.decide(&sound, after(2)), RunDecision::Unrestricted);
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
        ..CrashReport::default()
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
        let of = |suspects: &Suspects| {
            let mut reports = suspects.crash_reports(NOW);
            reports.retain(|report| !report.instances.is_empty());
            reports.into_iter().map(|r| (r.fingerprint, r.instances, r.released)).collect::<Vec<_>>()
        };
        prop_assert_eq!(of(&one), of(&other));
        for fingerprint in ["0", "1", "2"] {
            prop_assert_eq!(decide(&mut one, fingerprint), decide(&mut other, fingerprint));
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
