//! Calls that may not be repeated, through real daemons and under failures.

mod env;

use std::path::Path;
use std::time::Duration;

use env::{Booking, BookingReply, Env};
use mastichinge::fakes::service::{Fault, Run};
use mastichinge::fakes::site::SiteSettings;
use test_case::test_case;

/// Time of a call that a failure shall meet while it runs.
const SLOW: Duration = Duration::from_secs(2);
/// The same, where the call must not end before its host is killed.
const ENDLESS: Duration = Duration::from_secs(6);

fn start() -> Env {
    let settings = SiteSettings {
        engines: 1,
        models: 1,
        adapters: 0,
        ..SiteSettings::default()
    };
    Env::start(settings, Path::new(env!("CARGO_BIN_EXE_mastichinged")), &[])
}

fn first(key: &str) -> Booking {
    Booking {
        key: key.to_owned(),
        body: r#"{"seat": 7}"#.to_owned(),
        first_attempt: true,
        deadline_ms: 0,
    }
}

fn retry(key: &str) -> Booking {
    Booking {
        first_attempt: false,
        ..first(key)
    }
}

fn done(run: u64) -> BookingReply {
    BookingReply {
        status: 200,
        run,
        kind: String::new(),
    }
}

fn refused(status: u16, kind: &str) -> BookingReply {
    BookingReply {
        status,
        run: 0,
        kind: kind.to_owned(),
    }
}

fn runs(env: &Env) -> Vec<Run> {
    env.site.service.state.get().runs
}

fn slow(env: &Env, time: Duration) {
    env.site.service.state.change(|s| s.delay = time);
}

fn fault(env: &Env, fault: Fault) {
    env.site.service.state.change(|s| s.fault = fault);
}

/// Records of calls whose state is `state`.
fn records(env: &Env, state: &str) -> usize {
    let items = env.site.platform.state.get().items;
    let calls = items.iter().filter(|(key, _)| key.starts_with("call/"));
    let with = calls.filter(|(_, i)| i.value.to_string().contains(state));
    with.count()
}

#[test]
fn same_key_again_gets_the_first_answer_at_every_host() {
    let env = start();
    assert_eq!(env.send_booking(0, &first("k-1")), done(1));
    for host in [0, 1, 4] {
        assert_eq!(env.send_booking(host, &retry("k-1")), done(1));
    }
    assert_eq!(env.send_booking(2, &first("k-2")), done(2));
    assert_eq!(runs(&env).len(), 2);
}

#[test]
fn same_key_with_another_body_is_refused() {
    let env = start();
    assert_eq!(env.send_booking(0, &first("k-1")), done(1));
    let other = Booking {
        body: r#"{"seat": 8}"#.to_owned(),
        ..retry("k-1")
    };
    for host in [0, 3] {
        assert_eq!(env.send_booking(host, &other), refused(422, "key_reused"));
    }
    assert_eq!(runs(&env).len(), 1);
}

#[test]
fn same_key_at_five_hosts_at_once_runs_once() {
    let env = start();
    slow(&env, Duration::from_millis(200));
    let sent: Vec<_> = (0..5)
        .map(|h| env.spawn_booking(h, &first("k-1")))
        .collect();
    for booked in sent {
        assert_eq!(booked.join().expect("a caller"), done(1));
    }
    assert_eq!(runs(&env).len(), 1);
}

#[test]
fn upstream_refuses_connections_and_a_later_retry_runs() {
    let mut env = start();
    env.site.service.set_refusing(true).expect("no work");
    assert_eq!(env.send_booking(0, &first("k-1")), refused(503, "not_run"));
    assert_eq!(env.send_booking(1, &retry("k-1")), refused(503, "not_run"));
    assert!(runs(&env).is_empty());
    env.site
        .service
        .set_refusing(false)
        .expect("the port is free");
    assert_eq!(env.send_booking(2, &retry("k-1")), done(1));
    assert_eq!(runs(&env).len(), 1);
}

#[test_case(Fault::CloseBeforeRun, 0; "before it runs")]
#[test_case(Fault::CloseAfterRun, 1; "after it ran")]
fn upstream_dies_and_nothing_is_sent_again(dies: Fault, ran: usize) {
    let env = start();
    fault(&env, dies);
    assert_eq!(
        env.send_booking(0, &first("k-1")),
        refused(504, "outcome_unknown")
    );
    fault(&env, Fault::None);
    for host in [0, 1] {
        assert_eq!(
            env.send_booking(host, &retry("k-1")),
            refused(504, "outcome_unknown")
        );
    }
    assert_eq!(runs(&env).len(), ran);
}

#[test]
fn host_killed_in_mid_call_and_a_retry_elsewhere_learns_unknown() {
    let mut env = start();
    slow(&env, ENDLESS);
    let sent = env.spawn_booking(0, &first("k-1"));
    env.wait("the start is recorded", || records(&env, "started") == 1);
    env.wait("the call has arrived", || {
        env.site.service.state.get().call_count == 1
    });
    env.kill(0);
    assert_eq!(sent.join().expect("a caller"), BookingReply::default());
    let mut told = env.send_booking(1, &retry("k-1"));
    assert_eq!(told, refused(504, "outcome_unknown"));
    env.start_daemon(0);
    env.wait_until_ready();
    slow(&env, Duration::ZERO);
    told = env.send_booking(0, &retry("k-1"));
    assert_eq!(told, refused(504, "outcome_unknown"));
    env.wait("the first attempt has run", || !runs(&env).is_empty());
    told = env.send_booking(2, &retry("k-1"));
    assert_eq!(told, refused(504, "outcome_unknown"));
    assert_eq!(runs(&env).len(), 1);
}

#[test]
fn retry_elsewhere_during_a_slow_call_gets_its_answer() {
    let env = start();
    slow(&env, SLOW);
    let sent = env.spawn_booking(0, &first("k-1"));
    env.wait("the start is recorded", || records(&env, "started") == 1);
    assert_eq!(env.send_booking(3, &retry("k-1")), done(1));
    assert_eq!(sent.join().expect("a caller"), done(1));
    assert_eq!(runs(&env).len(), 1);
}

#[test]
fn table_down_and_a_first_call_is_refused_as_not_run() {
    let env = start();
    env.site.platform.state.change(|s| s.faults.down = true);
    let booking = Booking {
        deadline_ms: 1_500,
        ..first("k-1")
    };
    assert_eq!(env.send_booking(0, &booking), refused(503, "not_run"));
    assert!(runs(&env).is_empty());
    env.site.platform.state.change(|s| s.faults.down = false);
    assert_eq!(env.send_booking(1, &retry("k-1")), done(1));
    assert_eq!(runs(&env).len(), 1);
}

#[test]
fn table_down_after_a_call_and_other_hosts_know_its_answer() {
    let env = start();
    assert_eq!(env.send_booking(0, &first("k-1")), done(1));
    env.site.platform.state.change(|s| s.faults.down = true);
    for host in [0, 2] {
        assert_eq!(env.send_booking(host, &retry("k-1")), done(1));
    }
    assert_eq!(runs(&env).len(), 1);
}

#[test]
fn table_goes_down_while_a_call_runs_and_its_answer_is_kept() {
    let env = start();
    slow(&env, SLOW);
    let sent = env.spawn_booking(0, &first("k-1"));
    env.wait("the start is recorded", || records(&env, "started") == 1);
    env.site.platform.state.change(|s| s.faults.down = true);
    assert_eq!(sent.join().expect("a caller"), done(1));
    assert_eq!(env.send_booking(1, &retry("k-1")), done(1));
    env.site.platform.state.change(|s| s.faults.down = false);
    env.wait("the end is recorded", || records(&env, "started") == 0);
    assert_eq!(env.send_booking(4, &retry("k-1")), done(1));
    assert_eq!(runs(&env).len(), 1);
}

#[test_case(1; "of the start")]
#[test_case(2; "of the start twice")]
#[test_case(3; "of start and end")]
fn answers_of_the_table_lost_after_their_effect(lost: u32) {
    let env = start();
    env.site
        .platform
        .state
        .change(|s| s.faults.lost_responses = lost);
    assert_eq!(env.send_booking(0, &first("k-1")), done(1));
    env.wait("the end is recorded", || records(&env, "done") == 1);
    assert_eq!(env.send_booking(1, &retry("k-1")), done(1));
    assert_eq!(runs(&env).len(), 1);
}

#[test]
fn answer_of_the_end_lost_after_its_effect() {
    let env = start();
    slow(&env, SLOW);
    let sent = env.spawn_booking(0, &first("k-1"));
    env.wait("the start is recorded", || records(&env, "started") == 1);
    env.site
        .platform
        .state
        .change(|s| s.faults.lost_responses = 1);
    assert_eq!(sent.join().expect("a caller"), done(1));
    env.wait("the end is recorded", || records(&env, "done") == 1);
    assert_eq!(env.send_booking(2, &retry("k-1")), done(1));
    assert_eq!(runs(&env).len(), 1);
}

#[test]
fn host_drained_during_a_slow_call_answers_it_and_exits_with_0() {
    let mut env = start();
    slow(&env, SLOW);
    let sent = env.spawn_booking(0, &first("k-1"));
    env.wait("the start is recorded", || records(&env, "started") == 1);
    env.terminate(0);
    assert_eq!(sent.join().expect("a caller"), done(1));
    assert!(env.wait_exit(0).success());
    assert_eq!(env.send_booking(1, &retry("k-1")), done(1));
    assert_eq!(runs(&env).len(), 1);
}
