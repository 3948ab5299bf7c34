//! Strikes, trials and holding of requests that crash upstreams.

use std::time::Duration;

use mastichinge::clock::Moment;
use mastichinge::peer::wire::Strike;
use mastichinge::suspects::{
    Attempt, Candidate, Fingerprint, SuspectSettings, Suspects, Trial, TrialAsk, Trials,
};
use proptest::prelude::*;

const NOW: Moment = Moment::from_secs(10);

fn print(text: &str) -> Fingerprint {
    text.into()
}

fn strike(suspects: &mut Suspects, text: &str, instance: &str) -> Strike {
    suspects.strike(&print(text), "m", instance, NOW)
}

#[test]
fn one_strike_runs_alone_and_two_are_held_until_released() {
    let mut suspects = Suspects::default();
    assert_eq!(suspects.attempt("p"), Attempt::Free);
    strike(&mut suspects, "p", "i1");
    assert_eq!(suspects.attempt("p"), Attempt::Alone);
    strike(&mut suspects, "p", "i1");
    assert_eq!(suspects.attempt("p"), Attempt::Alone, "the same crash");
    strike(&mut suspects, "p", "i2");
    assert_eq!(suspects.attempt("p"), Attempt::Held);
    let held = suspects.held();
    assert_eq!(held.len(), 1);
    assert_eq!((&*held[0].fingerprint, &*held[0].model), ("p", "m"));
    assert!(suspects.release("p", NOW).is_some());
    assert_eq!(suspects.attempt("p"), Attempt::Free);
    assert!(suspects.release("p", NOW).is_none());
    strike(&mut suspects, "p", "i3");
    assert_eq!(suspects.attempt("p"), Attempt::Alone);
}

#[test]
fn strikes_at_two_hosts_add_up_and_late_messages_undo_no_release() {
    let (mut here, mut there) = (Suspects::default(), Suspects::default());
    let first = strike(&mut here, "p", "i1");
    let second = strike(&mut there, "p", "i2");
    assert!(there.merge(&first, NOW));
    assert!(!there.merge(&first, NOW));
    assert_eq!(there.attempt("p"), Attempt::Held);
    let release = there.release("p", NOW).unwrap();
    assert!(here.merge(&release, NOW));
    assert!(here.merge(&second, NOW));
    assert_eq!(here.attempt("p"), Attempt::Free);
    assert_eq!(there.attempt("p"), Attempt::Free);
}

#[test]
fn linked_peer_is_brought_up_to_date() {
    let (mut here, mut there) = (Suspects::default(), Suspects::default());
    for (text, instance) in [("p", "i1"), ("p", "i2"), ("q", "i1"), ("r", "i1")] {
        strike(&mut here, text, instance);
    }
    here.release("r", NOW);
    for message in here.messages() {
        there.merge(&message, NOW);
    }
    for text in ["p", "q", "r"] {
        assert_eq!(there.attempt(text), here.attempt(text));
    }
}

#[test]
fn memory_is_bounded_and_the_held_stay_longest() {
    let settings = SuspectSettings {
        most: 3,
        instances: 3,
        ..SuspectSettings::default()
    };
    let mut suspects = Suspects::new(settings);
    strike(&mut suspects, "held", "i1");
    strike(&mut suspects, "held", "i2");
    for n in 0..10 {
        strike(&mut suspects, &format!("p{n}"), "i1");
    }
    assert_eq!(suspects.messages().len(), 3);
    assert_eq!(suspects.attempt("held"), Attempt::Held);
    for n in 0..10 {
        strike(&mut suspects, "held", &format!("more{n}"));
    }
    assert_eq!(suspects.held()[0].instances.len(), 3);
    // Releases are not lost when the sets are full.
    for n in 0..10 {
        suspects.release("held", NOW).unwrap();
        assert_eq!(suspects.attempt("held"), Attempt::Free);
        strike(&mut suspects, "held", &format!("a{n}"));
        strike(&mut suspects, "held", &format!("b{n}"));
        assert_eq!(suspects.attempt("held"), Attempt::Held);
    }
}

#[test]
fn single_strikes_expire_and_held_requests_do_not() {
    let mut suspects = Suspects::default();
    strike(&mut suspects, "one", "i1");
    strike(&mut suspects, "two", "i1");
    strike(&mut suspects, "two", "i2");
    suspects.expire(NOW + SuspectSettings::default().keep - Duration::from_secs(1));
    assert_eq!(suspects.attempt("one"), Attempt::Alone);
    suspects.expire(NOW + SuspectSettings::default().keep);
    assert_eq!(suspects.attempt("one"), Attempt::Free);
    assert_eq!(suspects.attempt("two"), Attempt::Held);
}

fn messages() -> impl Strategy<Value = Vec<Strike>> {
    let one = (0..3u8, prop::collection::vec(0..5u8, 0..4), any::<bool>());
    let strike = one.prop_map(|(print, instances, released)| Strike {
        fingerprint: print.to_string(),
        instances: instances.iter().map(u8::to_string).collect(),
        released,
        model: "m".into(),
    });
    prop::collection::vec(strike, 0..12)
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn messages_merge_to_the_same_in_any_order_and_number(
        sent in messages(),
        order in any::<prop::sample::Index>(),
    ) {
        let (mut one, mut other) = (Suspects::default(), Suspects::default());
        for message in &sent {
            one.merge(message, NOW);
        }
        let turn = if sent.is_empty() { 0 } else { order.index(sent.len()) };
        let again = sent.iter().skip(turn).chain(sent.iter().rev());
        for message in again {
            other.merge(message, NOW);
        }
        for print in ["0", "1", "2"] {
            prop_assert_eq!(one.attempt(print), other.attempt(print));
        }
    }
}

fn ask(ticket: &str, fingerprint: &str) -> TrialAsk {
    TrialAsk {
        ticket: ticket.into(),
        fingerprint: fingerprint.into(),
        host: "a".into(),
        until: NOW,
    }
}

fn engines() -> Vec<Candidate> {
    let engine = |(name, load): (&str, u32)| Candidate {
        engine: name.into(),
        load,
    };
    [("e1", 4), ("e2", 0)].map(engine).to_vec()
}

fn engine(trial: Option<&Trial>) -> Option<&str> {
    trial.map(|t| &*t.engine)
}

#[test]
fn trials_run_apart_on_the_least_loaded_engine() {
    let mut trials = Trials::default();
    let all = engines();
    assert_eq!(engine(trials.start(ask("t1", "p"), &all)), Some("e2"));
    assert_eq!(engine(trials.start(ask("t1", "p"), &all)), Some("e2"));
    assert_eq!(engine(trials.start(ask("t2", "p"), &all)), None);
    assert_eq!(engine(trials.start(ask("t3", "q"), &all)), Some("e1"));
    assert_eq!(engine(trials.start(ask("t4", "r"), &all)), None);
    assert!(trials.is_trying("e1"));
    assert_eq!(&*trials.end("t1").unwrap().engine, "e2");
    assert!(trials.end("t1").is_none());
    assert_eq!(engine(trials.start(ask("t2", "p"), &all)), Some("e2"));
}

#[test]
fn trials_end_with_their_engine_host_or_time() {
    let mut trials = Trials::default();
    let all = engines();
    trials.start(ask("t1", "p"), &all);
    let crashed = trials.crashed("e2").unwrap();
    assert_eq!(&*crashed.ask.fingerprint, "p");
    assert!(trials.crashed("e2").is_none());
    trials.start(ask("t2", "p"), &all);
    trials.host_gone("b");
    assert!(trials.is_trying("e2"));
    trials.host_gone("a");
    assert!(!trials.is_trying("e2"));
    trials.start(ask("t3", "p"), &all);
    trials.expire(NOW - Duration::from_secs(1));
    assert!(trials.is_trying("e2"));
    trials.expire(NOW);
    assert!(!trials.is_trying("e2"));
}
