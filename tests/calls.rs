//! Calls that may not be repeated under each crash and each fault of the table.

#[path = "calls/fakes.rs"]
mod fakes;

use std::sync::atomic::Ordering::SeqCst;
use std::thread;

use fakes::{Fault, World, reply, request, wait};
use mastichinge::calls::{CallSettings, Request, SHARDS, SendEnd};
use mastichinge::clock::Clock;
use mastichinge::error::Kind;
use mastichinge::protocol::calls::{CallState, Identity};
use test_case::test_case;

fn settled(host: &fakes::Host) {
    wait("every end is in the table", || host.calls.unsettled() == 0);
}

#[test]
fn retry_anywhere_gets_the_first_answer() {
    let world = World::default();
    let (a, b) = (world.host("a"), world.host("b"));
    for host in [&a, &a, &b] {
        assert_eq!(world.run(host, &request("k")), Ok(reply(1)));
    }
    settled(&a);
    world.kill(&a);
    assert_eq!(world.run(&b, &request("k")), Ok(reply(1)));
    assert_eq!(world.ran(), 1);
}

#[test_case("c2", "f"; "another caller")]
#[test_case("c1", "g"; "another body")]
fn key_of_another_call_is_refused(caller: &str, print: &str) {
    let world = World::default();
    let (a, b) = (world.host("a"), world.host("b"));
    let with = |caller: &str, print: &str| Request {
        identity: Identity {
            caller: caller.into(),
            fingerprint: print.into(),
        },
        ..request("k")
    };
    assert!(world.run(&a, &with("c1", "f")).is_ok());
    settled(&a);
    for host in [&a, &b] {
        let refusal = world.run(host, &with(caller, print)).unwrap_err();
        assert_eq!(refusal.kind, Kind::KeyReused);
    }
    assert_eq!(world.ran(), 1);
}

#[test]
fn past_deadline_is_refused_without_a_record() {
    let world = World::default();
    let a = world.host("a");
    let first = Request {
        first: true,
        ..request("k")
    };
    let result = a.calls.run(&first, world.clock.now(), || world.serve());
    assert_eq!(result.unwrap_err().kind, Kind::NotRun);
    assert_eq!((world.ran(), world.state("k")), (0, None));
}

#[test_case(true, Kind::NotRun; "first request")]
#[test_case(false, Kind::OutcomeUnknown; "perhaps a retry")]
fn table_down_until_the_deadline(first: bool, kind: Kind) {
    let world = World::default();
    let a = world.host("a");
    a.link.down.store(true, SeqCst);
    let request = Request {
        first,
        ..request("k")
    };
    let result = a.calls.run(&request, world.soon(), || world.serve());
    assert_eq!(result.unwrap_err().kind, kind);
    a.link.down.store(false, SeqCst);
    assert_eq!(world.run(&a, &request), Ok(reply(1)));
}

#[test]
fn table_down_and_back_before_the_deadline() {
    let world = World::default();
    let a = world.host("a");
    a.link.down.store(true, SeqCst);
    thread::scope(|scope| {
        let call = scope.spawn(|| world.run(&a, &request("k")));
        a.link.down.store(false, SeqCst);
        assert_eq!(call.join().unwrap(), Ok(reply(1)));
    });
}

#[test_case(Fault::LoseAnswer; "after it took effect")]
#[test_case(Fault::LoseWrite; "before it took effect")]
#[test_case(Fault::Delay; "before it takes effect late")]
fn answer_to_the_start_is_lost(fault: Fault) {
    let world = World::default();
    let a = world.host("a");
    a.link.faults.lock().unwrap().push_back(fault);
    assert_eq!(world.run(&a, &request("k")), Ok(reply(1)));
    settled(&a);
    world.store.land();
    assert_eq!(world.state("k"), Some(CallState::Done(reply(1))));
    assert_eq!(world.ran(), 1);
}

#[test]
fn start_takes_effect_after_the_refusal_and_blocks_no_retry() {
    let world = World::default();
    let (a, b) = (world.host("a"), world.host("b"));
    let faults = [Fault::Delay; 1_000];
    a.link.faults.lock().unwrap().extend(faults);
    let refusal = a.calls.run(&request("k"), world.soon(), || world.serve());
    assert_eq!(refusal.unwrap_err().kind, Kind::NotRun);
    world.store.land();
    assert_eq!(world.run(&b, &request("k")), Ok(reply(1)));
    a.link.faults.lock().unwrap().clear();
    settled(&a);
    settled(&b);
    world.store.land();
    assert_eq!(world.state("k"), Some(CallState::Done(reply(1))));
}

#[test_case(0; "before the upstream ran it")]
#[test_case(1; "after the upstream ran it")]
fn host_dies_between_start_and_end(runs: u32) {
    let world = World::default();
    let (a, b) = (world.host("a"), world.host("b"));
    let died = a.calls.run(&request("k"), world.far(), || {
        world.kill(&a);
        match runs {
            0 => SendEnd::Unsent,
            _ => world.serve(),
        }
    });
    assert_eq!(died.is_ok(), runs == 1);
    for _ in 0..2 {
        let refusal = world.run(&b, &request("k")).unwrap_err();
        assert_eq!(refusal.kind, Kind::OutcomeUnknown);
    }
    assert_eq!(world.state("k"), Some(CallState::Unknown));
    assert_eq!(world.ran(), runs);
}

#[test]
fn host_taken_for_gone_still_records_its_answer() {
    let world = World::default();
    let (a, b) = (world.host("a"), world.host("b"));
    let result = a.calls.run(&request("k"), world.far(), || {
        world.kill(&a);
        let refusal = world.run(&b, &request("k")).unwrap_err();
        assert_eq!(refusal.kind, Kind::OutcomeUnknown);
        a.link.down.store(false, SeqCst);
        world.serve()
    });
    assert_eq!(result, Ok(reply(1)));
    settled(&a);
    assert_eq!(world.run(&b, &request("k")), Ok(reply(1)));
    assert_eq!(world.ran(), 1);
}

#[test_case(false; "for the first host only")]
#[test_case(true; "for both hosts")]
fn table_down_after_the_run_and_retry_elsewhere(both: bool) {
    let world = World::default();
    let (a, b) = (world.host("a"), world.host("b"));
    let result = a.calls.run(&request("k"), world.far(), || {
        a.link.down.store(true, SeqCst);
        b.link.down.store(both, SeqCst);
        world.serve()
    });
    assert_eq!(result, Ok(reply(1)));
    assert_eq!(world.run(&b, &request("k")), Ok(reply(1)));
    assert_eq!(world.ran(), 1);
    a.link.down.store(false, SeqCst);
    settled(&a);
    assert_eq!(world.state("k"), Some(CallState::Done(reply(1))));
}

#[test]
fn hosts_parted_while_a_call_runs() {
    let world = World::default();
    let (a, b) = (world.host("a"), world.host("b"));
    let result = a.calls.run(&request("k"), world.far(), || {
        world.net.cut.store(true, SeqCst);
        let retry = b.calls.run(&request("k"), world.soon(), || world.serve());
        assert_eq!(retry.unwrap_err().kind, Kind::OutcomeUnknown);
        world.serve()
    });
    assert_eq!(result, Ok(reply(1)));
    settled(&a);
    assert_eq!(world.run(&b, &request("k")), Ok(reply(1)));
}

#[test]
fn upstream_not_reached_leaves_the_call_free() {
    let world = World::default();
    let (a, b) = (world.host("a"), world.host("b"));
    let refusal = a.calls.run(&request("k"), world.far(), || SendEnd::Unsent);
    assert_eq!(refusal.unwrap_err().kind, Kind::NotRun);
    assert_eq!(world.run(&b, &request("k")), Ok(reply(1)));
}

#[test]
fn upstream_dies_with_the_call_and_it_is_never_sent_again() {
    let world = World::default();
    let (a, b) = (world.host("a"), world.host("b"));
    let refusal = a.calls.run(&request("k"), world.far(), || SendEnd::Lost);
    assert_eq!(refusal.unwrap_err().kind, Kind::OutcomeUnknown);
    for host in [&a, &b] {
        let refusal = world.run(host, &request("k")).unwrap_err();
        assert_eq!(refusal.kind, Kind::OutcomeUnknown);
    }
    assert_eq!(world.ran(), 0);
}

#[test]
fn panic_while_sending_leaves_the_outcome_unknown() {
    let world = World::default();
    let a = world.host("a");
    let call = || {
        a.calls
            .run(&request("k"), world.far(), || panic!("in the test"))
    };
    let caught = std::panic::catch_unwind(std::panic::AssertUnwindSafe(call));
    assert!(caught.is_err());
    settled(&a);
    assert_eq!(world.state("k"), Some(CallState::Unknown));
}

#[test]
fn many_same_calls_at_two_hosts_run_once() {
    let world = World::default();
    let (a, b) = (world.host("a"), world.host("b"));
    thread::scope(|scope| {
        let hosts = [&a, &b].into_iter().cycle().take(20);
        let world = &world;
        let calls: Vec<_> = hosts
            .map(|host| scope.spawn(move || world.run(host, &request("k"))))
            .collect();
        for call in calls {
            assert_eq!(call.join().unwrap(), Ok(reply(1)));
        }
    });
    assert_eq!(world.ran(), 1);
}

#[test]
fn starts_that_wait_share_a_transaction_and_a_conflict_costs_one_more() {
    const CALLS: u32 = 30;
    let world = World::default();
    let (a, b) = (world.host("a"), world.host("b"));
    a.link.shut(true);
    thread::scope(|scope| {
        let world = &world;
        let run = |key: String| {
            let host = &a;
            scope.spawn(move || world.run(host, &request(&key)))
        };
        let first = run("first".to_owned());
        wait("a commit waits", || a.link.blocked.load(SeqCst) == 1);
        let calls: Vec<_> = (0..CALLS).map(|n| run(format!("k{n}"))).collect();
        wait("all starts are queued", || {
            a.calls.unsettled() == CALLS as usize + 1
        });
        assert!(world.run(&b, &request("k7")).is_ok());
        settled(&b);
        world.store.commits.store(0, SeqCst);
        a.link.shut(false);
        assert!(first.join().unwrap().is_ok());
        for call in calls {
            assert!(call.join().unwrap().is_ok());
        }
    });
    assert_eq!(world.ran(), CALLS + 1);
    let commits = world.store.commits.load(SeqCst);
    println!(
        "{} starts and ends in {commits} transactions",
        CALLS * 2 + 1
    );
    assert!(commits < CALLS * 2);
}

#[test]
fn full_memory_refuses_new_calls() {
    let world = World::default();
    let settings = CallSettings {
        held: 1,
        ..CallSettings::default()
    };
    let a = world.host_with("a", settings);
    let result = a.calls.run(&request("k"), world.far(), || {
        let refusal = world.run(&a, &request("l")).unwrap_err();
        assert_eq!(refusal.kind, Kind::NotRun);
        world.serve()
    });
    assert_eq!(result, Ok(reply(1)));
    settled(&a);
    assert!(world.run(&a, &request("l")).is_ok());
}

#[test]
fn old_records_are_removed_and_old_starts_closed_first() {
    let world = World::default();
    let (a, b) = (world.host("a"), world.host("b"));
    assert!(world.run(&b, &request("done")).is_ok());
    settled(&b);
    let _ = a.calls.run(&request("open"), world.far(), || {
        let sweep = b.calls.sweep();
        let all = |unix| -> usize { (0..SHARDS).map(|s| sweep.run(s, unix).unwrap()).sum() };
        let old = Clock::unix_seconds() + 4_000;
        assert_eq!(all(Clock::unix_seconds()), 0);
        assert_eq!(all(old), 1);
        assert_eq!(world.state("open"), Some(CallState::Started));
        world.kill(&a);
        assert_eq!(all(old), 0);
        assert_eq!(world.state("open"), Some(CallState::Unknown));
        assert_eq!(all(old), 0);
        assert_eq!(all(old + 90_000), 1);
        world.serve()
    });
    assert_eq!((world.state("done"), world.state("open")), (None, None));
}
