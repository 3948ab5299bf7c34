//! Tests of non-idempotent calls under crashes of hosts and faults of the table.

#[path = "calls/fakes.rs"]
mod fakes;

use std::collections::BTreeMap;
use std::sync::atomic::Ordering::SeqCst;
use std::thread;
use std::time::Duration;

use fakes::{Fault, World, reply, request, wait_until};
use mastichinge::calls::{CallRequest, CallSettings, SHARD_COUNT, SendOutcome, record_key};
use mastichinge::clock::Clock;
use mastichinge::error::Kind;
use mastichinge::protocol::calls::{CallIdentity, CallState};
use test_case::test_case;

fn wait_until_settled(host: &fakes::Host) {
    wait_until("all ends are in the table", || {
        host.runner.unsettled_attempts() == 0
    });
}

#[test]
fn retry_at_any_host_returns_the_first_reply() {
    let world = World::default();
    let (a, b) = (world.host("a"), world.host("b"));
    for host in [&a, &a, &b] {
        assert_eq!(world.run(host, &request("k")), Ok(reply(1)));
    }
    wait_until_settled(&a);
    world.kill(&a);
    assert_eq!(world.run(&b, &request("k")), Ok(reply(1)));
    assert_eq!(world.run_count(), 1);
}

#[test_case("c2", "f"; "another caller")]
#[test_case("c1", "g"; "another body")]
fn key_of_another_call_is_refused(caller: &str, fingerprint: &str) {
    let world = World::default();
    let (a, b) = (world.host("a"), world.host("b"));
    let request_from = |caller: &str, fingerprint: &str| CallRequest {
        identity: CallIdentity {
            caller: caller.into(),
            fingerprint: fingerprint.into(),
        },
        ..request("k")
    };
    assert!(world.run(&a, &request_from("c1", "f")).is_ok());
    wait_until_settled(&a);
    for host in [&a, &b] {
        let refusal = world
            .run(host, &request_from(caller, fingerprint))
            .unwrap_err();
        assert_eq!(refusal.kind, Kind::KeyReused);
    }
    assert_eq!(world.run_count(), 1);
}

#[test]
fn call_past_its_deadline_is_refused_without_a_record() {
    let world = World::default();
    let a = world.host("a");
    let first = CallRequest {
        first_attempt: true,
        ..request("k")
    };
    let result = a.runner.run(&first, world.clock.now(), || world.serve());
    assert_eq!(result.unwrap_err().kind, Kind::NotRun);
    assert_eq!((world.run_count(), world.record_state("k")), (0, None));
}

#[test_case(true, Kind::NotRun; "first request")]
#[test_case(false, Kind::OutcomeUnknown; "possible retry")]
fn call_is_refused_when_the_table_is_down_until_the_deadline(first: bool, kind: Kind) {
    let world = World::default();
    let a = world.host("a");
    a.link.down.store(true, SeqCst);
    let request = CallRequest {
        first_attempt: first,
        ..request("k")
    };
    let result = a
        .runner
        .run(&request, world.near_deadline(), || world.serve());
    assert_eq!(result.unwrap_err().kind, kind);
    a.link.down.store(false, SeqCst);
    assert_eq!(world.run(&a, &request), Ok(reply(1)));
}

#[test]
fn call_runs_when_the_table_is_back_before_the_deadline() {
    let world = World::default();
    let a = world.host("a");
    a.link.down.store(true, SeqCst);
    thread::scope(|scope| {
        let call = scope.spawn(|| world.run(&a, &request("k")));
        a.link.down.store(false, SeqCst);
        assert_eq!(call.join().unwrap(), Ok(reply(1)));
    });
}

#[test_case(Fault::LoseResult; "after it took effect")]
#[test_case(Fault::LoseWrite; "before it took effect")]
#[test_case(Fault::Delay; "before it takes effect late")]
fn call_runs_once_when_the_result_of_its_start_is_lost(fault: Fault) {
    let world = World::default();
    let a = world.host("a");
    a.link.faults.lock().unwrap().push_back(fault);
    assert_eq!(world.run(&a, &request("k")), Ok(reply(1)));
    wait_until_settled(&a);
    world.store.apply_delayed();
    assert_eq!(world.record_state("k"), Some(CallState::Done(reply(1))));
    assert_eq!(world.run_count(), 1);
}

#[test]
fn late_start_of_a_refused_call_does_not_block_a_retry() {
    let world = World::default();
    let (a, b) = (world.host("a"), world.host("b"));
    let faults = [Fault::Delay; 1_000];
    a.link.faults.lock().unwrap().extend(faults);
    let refusal = a
        .runner
        .run(&request("k"), world.near_deadline(), || world.serve());
    assert_eq!(refusal.unwrap_err().kind, Kind::NotRun);
    world.store.apply_delayed();
    assert_eq!(world.run(&b, &request("k")), Ok(reply(1)));
    a.link.faults.lock().unwrap().clear();
    wait_until_settled(&a);
    wait_until_settled(&b);
    world.store.apply_delayed();
    assert_eq!(world.record_state("k"), Some(CallState::Done(reply(1))));
}

#[test_case(0; "before the upstream ran it")]
#[test_case(1; "after the upstream ran it")]
fn outcome_is_unknown_when_the_host_dies_between_start_and_end(runs: u32) {
    let world = World::default();
    let (a, b) = (world.host("a"), world.host("b"));
    let result = a.runner.run(&request("k"), world.far_deadline(), || {
        world.kill(&a);
        match runs {
            0 => SendOutcome::NotSent,
            _ => world.serve(),
        }
    });
    assert_eq!(result.is_ok(), runs == 1);
    for _ in 0..2 {
        let refusal = world.run(&b, &request("k")).unwrap_err();
        assert_eq!(refusal.kind, Kind::OutcomeUnknown);
    }
    assert_eq!(world.record_state("k"), Some(CallState::Unknown));
    assert_eq!(world.run_count(), runs);
}

#[test]
fn host_presumed_dead_still_records_its_reply() {
    let world = World::default();
    let (a, b) = (world.host("a"), world.host("b"));
    let result = a.runner.run(&request("k"), world.far_deadline(), || {
        world.kill(&a);
        let refusal = world.run(&b, &request("k")).unwrap_err();
        assert_eq!(refusal.kind, Kind::OutcomeUnknown);
        a.link.down.store(false, SeqCst);
        world.serve()
    });
    assert_eq!(result, Ok(reply(1)));
    wait_until_settled(&a);
    assert_eq!(world.run(&b, &request("k")), Ok(reply(1)));
    assert_eq!(world.run_count(), 1);
}

#[test_case(false; "for the first host only")]
#[test_case(true; "for both hosts")]
fn retry_at_another_host_gets_the_reply_while_the_table_is_down(both: bool) {
    let world = World::default();
    let (a, b) = (world.host("a"), world.host("b"));
    let result = a.runner.run(&request("k"), world.far_deadline(), || {
        a.link.down.store(true, SeqCst);
        b.link.down.store(both, SeqCst);
        world.serve()
    });
    assert_eq!(result, Ok(reply(1)));
    assert_eq!(world.run(&b, &request("k")), Ok(reply(1)));
    assert_eq!(world.run_count(), 1);
    a.link.down.store(false, SeqCst);
    wait_until_settled(&a);
    assert_eq!(world.record_state("k"), Some(CallState::Done(reply(1))));
}

#[test]
fn retry_outcome_is_unknown_during_a_partition_and_the_recorded_reply_after_it() {
    let world = World::default();
    let (a, b) = (world.host("a"), world.host("b"));
    let result = a.runner.run(&request("k"), world.far_deadline(), || {
        world.peers.partitioned.store(true, SeqCst);
        let retry = b
            .runner
            .run(&request("k"), world.near_deadline(), || world.serve());
        assert_eq!(retry.unwrap_err().kind, Kind::OutcomeUnknown);
        world.serve()
    });
    assert_eq!(result, Ok(reply(1)));
    wait_until_settled(&a);
    assert_eq!(world.run(&b, &request("k")), Ok(reply(1)));
}

#[test]
fn call_runs_on_a_retry_when_no_upstream_was_reached() {
    let world = World::default();
    let (a, b) = (world.host("a"), world.host("b"));
    let refusal = a
        .runner
        .run(&request("k"), world.far_deadline(), || SendOutcome::NotSent);
    assert_eq!(refusal.unwrap_err().kind, Kind::NotRun);
    assert_eq!(world.run(&b, &request("k")), Ok(reply(1)));
}

#[test]
fn call_without_an_upstream_response_is_never_sent_again() {
    let world = World::default();
    let (a, b) = (world.host("a"), world.host("b"));
    let refusal = a.runner.run(&request("k"), world.far_deadline(), || {
        SendOutcome::NoAnswer
    });
    assert_eq!(refusal.unwrap_err().kind, Kind::OutcomeUnknown);
    for host in [&a, &b] {
        let refusal = world.run(host, &request("k")).unwrap_err();
        assert_eq!(refusal.kind, Kind::OutcomeUnknown);
    }
    assert_eq!(world.run_count(), 0);
}

#[test]
fn panic_while_sending_leaves_the_outcome_unknown() {
    let world = World::default();
    let a = world.host("a");
    let call = || {
        a.runner.run(&request("k"), world.far_deadline(), || {
            panic!("in the test")
        })
    };
    let caught = std::panic::catch_unwind(std::panic::AssertUnwindSafe(call));
    assert!(caught.is_err());
    wait_until_settled(&a);
    assert_eq!(world.record_state("k"), Some(CallState::Unknown));
}

#[test]
fn concurrent_identical_calls_at_two_hosts_run_once() {
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
    assert_eq!(world.run_count(), 1);
}

#[test]
fn queued_starts_share_transactions_when_one_conflicts() {
    const CALLS: u32 = 30;
    let world = World::default();
    let (a, b) = (world.host("a"), world.host("b"));
    a.link.set_blocked(true);
    thread::scope(|scope| {
        let world = &world;
        let run = |key: String| {
            let host = &a;
            scope.spawn(move || world.run(host, &request(&key)))
        };
        let first = run("first".to_owned());
        wait_until("a commit is blocked", || {
            a.link.blocked_commits.load(SeqCst) == 1
        });
        let calls: Vec<_> = (0..CALLS).map(|n| run(format!("k{n}"))).collect();
        wait_until("all starts are queued", || {
            a.runner.unsettled_attempts() == CALLS as usize + 1
        });
        assert!(world.run(&b, &request("k7")).is_ok());
        wait_until_settled(&b);
        world.store.commits.store(0, SeqCst);
        a.link.set_blocked(false);
        assert!(first.join().unwrap().is_ok());
        for call in calls {
            assert!(call.join().unwrap().is_ok());
        }
    });
    assert_eq!(world.run_count(), CALLS + 1);
    let commits = world.store.commits.load(SeqCst);
    println!(
        "{} starts and ends in {commits} transactions",
        CALLS * 2 + 1
    );
    assert!(commits < CALLS * 2);
}

#[test]
fn full_attempt_store_refuses_new_calls() {
    let world = World::default();
    let settings = CallSettings {
        max_attempts: 1,
        ..CallSettings::default()
    };
    let a = world.host_with("a", settings);
    let result = a.runner.run(&request("k"), world.far_deadline(), || {
        let refusal = world.run(&a, &request("l")).unwrap_err();
        assert_eq!(refusal.kind, Kind::NotRun);
        world.serve()
    });
    assert_eq!(result, Ok(reply(1)));
    wait_until_settled(&a);
    assert!(world.run(&a, &request("l")).is_ok());
}

#[test]
fn old_records_are_removed_and_old_starts_get_an_end_first() {
    let world = World::default();
    let (a, b) = (world.host("a"), world.host("b"));
    assert!(world.run(&b, &request("done")).is_ok());
    wait_until_settled(&b);
    let _ = a.runner.run(&request("open"), world.far_deadline(), || {
        let sweeper = b.runner.sweeper();
        let sweep_all = |unix_time| -> usize {
            (0..SHARD_COUNT)
                .map(|s| sweeper.sweep_shard(s, unix_time).unwrap())
                .sum()
        };
        let old = Clock::unix_seconds() + 4_000;
        assert_eq!(sweep_all(Clock::unix_seconds()), 0);
        assert_eq!(sweep_all(old), 1);
        assert_eq!(world.record_state("open"), Some(CallState::Started));
        world.kill(&a);
        assert_eq!(sweep_all(old), 0);
        assert_eq!(world.record_state("open"), Some(CallState::Unknown));
        assert_eq!(sweep_all(old), 0);
        assert_eq!(sweep_all(old + 90_000), 1);
        world.serve()
    });
    assert_eq!(
        (world.record_state("done"), world.record_state("open")),
        (None, None)
    );
}

/// Guards against a key that no later attempt can use, after a start whose result was lost was
/// refused when it was written again.
#[test]
fn call_runs_on_a_retry_after_its_start_was_written_and_then_refused() {
    let world = World::default();
    let (a, b) = (world.host("a"), world.host("b"));
    a.link
        .faults
        .lock()
        .unwrap()
        .extend([Fault::LoseResult, Fault::Refuse]);
    let refusal = world.run(&a, &request("k")).unwrap_err();
    assert_eq!(refusal.kind, Kind::NotRun);
    assert_eq!(world.run(&b, &request("k")), Ok(reply(1)));
}

/// Guards against records that are never removed because the table refuses the removal of another
/// one in their shard.
#[test]
fn records_are_removed_beside_one_whose_removal_is_refused() {
    let world = World::default();
    let a = world.host("a");
    let (shard, keys) = keys_of_one_shard();
    for key in &keys {
        assert!(world.run(&a, &request(key)).is_ok());
    }
    wait_until_settled(&a);
    a.link.faults.lock().unwrap().push_back(Fault::Refuse);
    let sweeper = a.runner.sweeper();
    let old = Clock::unix_seconds() + 4_000;
    assert_eq!(sweeper.sweep_shard(shard, old), Ok(1));
    assert_eq!(sweeper.sweep_shard(shard, old), Ok(1));
}

/// Guards against TWICE: a call whose deadline lay beyond the retention time started again after
/// another host had run it and its record had been removed.
#[test]
fn call_does_not_start_after_records_of_its_time_may_have_been_removed() {
    let world = World::default();
    let (a, b) = (world.host("a"), world.host("b"));
    let request = CallRequest {
        retention_s: 1,
        ..request("k")
    };
    a.link.set_blocked(true);
    thread::scope(|scope| {
        let late = scope.spawn(|| world.run(&a, &request));
        wait_until("a commit is blocked", || {
            a.link.blocked_commits.load(SeqCst) == 1
        });
        assert_eq!(world.run(&b, &request), Ok(reply(1)));
        wait_until_settled(&b);
        thread::sleep(Duration::from_secs(request.retention_s));
        assert_eq!(remove_records(&b, "k", Clock::unix_seconds() + 4_000), 1);
        a.link.set_blocked(false);
        assert_eq!(late.join().unwrap().unwrap_err().kind, Kind::NotRun);
    });
    assert_eq!(world.run_count(), 1);
}

/// Guards against TWICE: a removed record and the one that another host wrote after it had the
/// same version, so that a start over the removed one replaced the record of a run.
#[test]
fn start_over_a_removed_record_does_not_replace_a_later_run() {
    let world = World::default();
    let (a, b) = (world.host("a"), world.host("b"));
    let refused = a
        .runner
        .run(&request("k"), world.far_deadline(), || SendOutcome::NotSent);
    assert_eq!(refused.unwrap_err().kind, Kind::NotRun);
    wait_until_settled(&a);
    a.link.set_blocked(true);
    thread::scope(|scope| {
        let late = scope.spawn(|| world.run(&a, &request("k")));
        wait_until("a commit is blocked", || {
            a.link.blocked_commits.load(SeqCst) == 1
        });
        assert_eq!(remove_records(&b, "k", Clock::unix_seconds() + 4_000), 1);
        assert_eq!(world.run(&b, &request("k")), Ok(reply(1)));
        wait_until_settled(&b);
        a.link.set_blocked(false);
        assert_eq!(late.join().unwrap(), Ok(reply(1)));
    });
    assert_eq!(world.run_count(), 1);
}

/// Removes the records of the shard of `key` that are older than `unix_time` at `host`; returns
/// their number.
fn remove_records(host: &fakes::Host, key: &str, unix_time: u64) -> usize {
    let sweeper = host.runner.sweeper();
    sweeper.sweep_shard(shard_of(key), unix_time).unwrap()
}

fn shard_of(key: &str) -> u32 {
    let record_key = record_key(key).unwrap();
    let shard = record_key.split('/').nth(1).unwrap();
    u32::from_str_radix(shard, 16).unwrap()
}

/// Returns two keys whose records are in the same shard.
fn keys_of_one_shard() -> (u32, [String; 2]) {
    let mut seen = BTreeMap::new();
    for n in 0_u32.. {
        let key = format!("k{n}");
        let shard = shard_of(&key);
        if let Some(other) = seen.insert(shard, key.clone()) {
            return (shard, [other, key]);
        }
    }
    unreachable!("there are more keys than shards")
}
