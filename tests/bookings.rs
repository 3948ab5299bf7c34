//! Tests of non-idempotent calls through real daemons, also under failures.

mod env;

use std::path::Path;
use std::time::Duration;

use env::{Booking, BookingReply, Env};
use mastichinge::fakes::service::{Fault, Run};
use mastichinge::fakes::site::SiteSettings;
use test_case::test_case;

/// Service time of a call during which a failure is injected.
const CALL_TIME: Duration = Duration::from_secs(2);
/// Service time of a call that must not end before its host is killed.
const LONG_CALL_TIME: Duration = Duration::from_secs(6);

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

fn set_call_time(env: &Env, time: Duration) {
    env.site.service.state.change(|s| s.delay = time);
}

fn set_fault(env: &Env, fault: Fault) {
    env.site.service.state.change(|s| s.fault = fault);
}

/// Returns the number of call records with the state `state`.
fn record_count(env: &Env, state: &str) -> usize {
    let items = env.site.platform.state.get().items;
    let calls = items.iter().filter(|(key, _)| key.starts_with("call/"));
    let matching = calls.filter(|(_, i)| i.value.to_string().contains(state));
    matching.count()
}

#[test]
fn retry_at_any_host_returns_the_first_response() {
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
    set_call_time(&env, Duration::from_millis(200));
    let calls: Vec<_> = (0..5)
        .map(|h| env.spawn_booking(h, &first("k-1")))
        .collect();
    for call in calls {
        assert_eq!(call.join().expect("no panic"), done(1));
    }
    assert_eq!(runs(&env).len(), 1);
}

#[test]
fn retry_runs_after_the_upstream_refused_connections() {
    let mut env = start();
    env.site
        .service
        .set_refusing(true)
        .expect("the upstream stops");
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
fn call_is_not_sent_again_after_the_upstream_died(fault: Fault, run_count: usize) {
    let env = start();
    set_fault(&env, fault);
    assert_eq!(
        env.send_booking(0, &first("k-1")),
        refused(504, "outcome_unknown")
    );
    set_fault(&env, Fault::None);
    for host in [0, 1] {
        assert_eq!(
            env.send_booking(host, &retry("k-1")),
            refused(504, "outcome_unknown")
        );
    }
    assert_eq!(runs(&env).len(), run_count);
}

#[test]
fn outcome_is_unknown_after_the_host_was_killed_during_the_call() {
    let mut env = start();
    set_call_time(&env, LONG_CALL_TIME);
    let call = env.spawn_booking(0, &first("k-1"));
    env.wait("the start is recorded", || {
        record_count(&env, "started") == 1
    });
    env.wait("the call has arrived at the upstream", || {
        env.site.service.state.get().call_count == 1
    });
    env.kill(0);
    assert_eq!(call.join().expect("no panic"), BookingReply::default());
    let mut retried = env.send_booking(1, &retry("k-1"));
    assert_eq!(retried, refused(504, "outcome_unknown"));
    env.start_daemon(0);
    env.wait_until_ready();
    set_call_time(&env, Duration::ZERO);
    retried = env.send_booking(0, &retry("k-1"));
    assert_eq!(retried, refused(504, "outcome_unknown"));
    env.wait("the first attempt has run", || !runs(&env).is_empty());
    retried = env.send_booking(2, &retry("k-1"));
    assert_eq!(retried, refused(504, "outcome_unknown"));
    assert_eq!(runs(&env).len(), 1);
}

#[test]
fn retry_at_another_host_during_a_slow_call_gets_its_response() {
    let env = start();
    set_call_time(&env, CALL_TIME);
    let call = env.spawn_booking(0, &first("k-1"));
    env.wait("the start is recorded", || {
        record_count(&env, "started") == 1
    });
    assert_eq!(env.send_booking(3, &retry("k-1")), done(1));
    assert_eq!(call.join().expect("no panic"), done(1));
    assert_eq!(runs(&env).len(), 1);
}

#[test]
fn first_call_is_refused_as_not_run_while_the_table_is_down() {
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
fn other_hosts_return_the_response_while_the_table_is_down() {
    let env = start();
    assert_eq!(env.send_booking(0, &first("k-1")), done(1));
    env.site.platform.state.change(|s| s.faults.down = true);
    for host in [0, 2] {
        assert_eq!(env.send_booking(host, &retry("k-1")), done(1));
    }
    assert_eq!(runs(&env).len(), 1);
}

#[test]
fn response_is_kept_when_the_table_goes_down_during_the_call() {
    let env = start();
    set_call_time(&env, CALL_TIME);
    let call = env.spawn_booking(0, &first("k-1"));
    env.wait("the start is recorded", || {
        record_count(&env, "started") == 1
    });
    env.site.platform.state.change(|s| s.faults.down = true);
    assert_eq!(call.join().expect("no panic"), done(1));
    assert_eq!(env.send_booking(1, &retry("k-1")), done(1));
    env.site.platform.state.change(|s| s.faults.down = false);
    env.wait("the end is recorded", || record_count(&env, "started") == 0);
    assert_eq!(env.send_booking(4, &retry("k-1")), done(1));
    assert_eq!(runs(&env).len(), 1);
}

#[test_case(1; "of the start")]
#[test_case(2; "of the start twice")]
#[test_case(3; "of start and end")]
fn call_runs_once_when_table_responses_are_lost_after_the_commit(lost: u32) {
    let env = start();
    env.site
        .platform
        .state
        .change(|s| s.faults.lost_responses = lost);
    assert_eq!(env.send_booking(0, &first("k-1")), done(1));
    env.wait("the end is recorded", || record_count(&env, "done") == 1);
    assert_eq!(env.send_booking(1, &retry("k-1")), done(1));
    assert_eq!(runs(&env).len(), 1);
}

#[test]
fn response_is_kept_when_the_result_of_recording_the_end_is_lost() {
    let env = start();
    set_call_time(&env, CALL_TIME);
    let call = env.spawn_booking(0, &first("k-1"));
    env.wait("the start is recorded", || {
        record_count(&env, "started") == 1
    });
    env.site
        .platform
        .state
        .change(|s| s.faults.lost_responses = 1);
    assert_eq!(call.join().expect("no panic"), done(1));
    env.wait("the end is recorded", || record_count(&env, "done") == 1);
    assert_eq!(env.send_booking(2, &retry("k-1")), done(1));
    assert_eq!(runs(&env).len(), 1);
}

#[test]
fn draining_host_completes_a_slow_call_and_exits_with_0() {
    let mut env = start();
    set_call_time(&env, CALL_TIME);
    let call = env.spawn_booking(0, &first("k-1"));
    env.wait("the start is recorded", || {
        record_count(&env, "started") == 1
    });
    env.terminate(0);
    assert_eq!(call.join().expect("no panic"), done(1));
    assert!(env.wait_exit(0).success());
    assert_eq!(env.send_booking(1, &retry("k-1")), done(1));
    assert_eq!(runs(&env).len(), 1);
}
