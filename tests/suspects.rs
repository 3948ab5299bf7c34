//! Crash reports, trials and holding of requests that crash upstreams.

use std::time::Duration;

use mastichinge::clock::Moment;
use mastichinge::peer::wire::CrashReport;
use mastichinge::suspects::{
    Fingerprint, RunPolicy, SuspectSettings, Suspects, Trial, TrialCandidate, TrialRequest, Trials,
};
use proptest::prelude::*;

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
