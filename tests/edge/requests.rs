//! Requests through a real daemon with fakes of the store and of the engines. Most tests
//! inject one fault.

use std::io::{Read, Write};

use serde_json::{Value, json};
use test_case::test_case;

use crate::fakes::daemon::{Daemon, Request, Response, wait};
use crate::fakes::engine::{Behavior, Engine};
use crate::fakes::store::Store;
use crate::site::{MODEL, Site, all_events, desired, events, route};

#[test]
fn a_request_is_forwarded_unchanged_without_the_headers_reserved_for_the_system() {
    let site = Site::start();
    let request = Request::new("/look/a?b=c%20d", "r1")
        .with("X-Mastichinge-Hold", "h")
        .with("X-Mastichinge-Pin-Ms", "9")
        .with("X-Mastichinge-Kv-Backup", "10.0.0.1:1")
        .with("Kv-From", "10.0.0.1:1/h")
        .with("X-Custom", "custom");
    let answer = site.daemon.send(&request);
    assert_eq!((answer.status, answer.complete), (200, true));
    assert_eq!(answer.body, "answer to r1");
    assert_eq!(answer.header("x-mastichinge-server-stamp"), Some("stamp"));
    let arrivals: Vec<_> = site.plain.iter().flat_map(Engine::arrivals).collect();
    let [arrived] = &arrivals[..] else {
        panic!("{arrivals:?}")
    };
    assert_eq!(
        (&*arrived.method, &*arrived.target),
        ("POST", "/look/a?b=c%20d")
    );
    assert_eq!(arrived.body, b"body of r1");
    assert_eq!(arrived.header("x-custom"), "custom");
    assert!(["p1", "p2"].contains(&arrived.header("x-mastichinge-expect-instance")));
    for reserved in [
        "x-mastichinge-hold",
        "x-mastichinge-pin-ms",
        "x-mastichinge-kv-backup",
        "kv-from",
    ] {
        assert_eq!(arrived.header(reserved), "", "{reserved}");
    }
    let left: u64 = arrived.header("x-mastichinge-deadline-ms").parse().unwrap();
    assert!(left <= 20_000);
}

#[test]
fn a_path_without_a_route_is_not_found_and_the_longest_prefix_matches() {
    let site = Site::start();
    assert_eq!(site.send("/nothing/", "r1").status, 404);
    assert_eq!(site.arrivals("r1"), 0);
    let mut desired = desired(6);
    let special = route("/look/special/", "idempotent", "models");
    desired["routes"].as_array_mut().unwrap().push(special);
    site.store.put("op", "config", &desired);
    wait("the new route", || {
        site.send("/look/special/x", "r2");
        site.models.iter().any(|e| !e.arrivals().is_empty())
    });
    // An older version is ignored.
    site.store.put("op", "config", &crate::site::desired(5));
    let other = route("/later/", "idempotent", "desk");
    let mut newer = desired.clone();
    newer["version"] = 7.into();
    newer["routes"].as_array_mut().unwrap().push(other);
    site.store.put("op", "config", &newer);
    wait("the newest version", || {
        site.send("/later/x", "r3").status == 200
    });
    let versions = site.daemon.logged("desired state in force");
    let versions: Vec<_> = versions.iter().map(|l| l["version"].as_u64()).collect();
    assert_eq!(versions, [Some(5), Some(6), Some(7)]);
}

#[test]
fn a_booking_whose_engine_resets_runs_once_and_is_not_reported_as_not_run() {
    let site = Site::start();
    site.set(Behavior::Reset);
    let answer = site.send("/book/", "b1");
    assert_eq!(answer.status, 502);
    assert_eq!(site.arrivals("b1"), 1);
}

#[test]
fn a_lookup_whose_engine_resets_is_retried_at_another() {
    let site = Site::start();
    site.plain[0].set_behavior(Behavior::Reset);
    for i in 0..4 {
        let answer = site.send("/look/", &format!("l{i}"));
        assert_eq!((answer.status, answer.complete), (200, true));
    }
}

#[test]
fn a_booking_that_an_engine_rejects_is_served_by_another_or_refused_as_not_run() {
    let site = Site::start();
    site.plain[0].set_behavior(Behavior::Full);
    for i in 0..4 {
        assert_eq!(site.send("/book/", &format!("b{i}")).status, 200);
    }
    site.plain[1].set_behavior(Behavior::Full);
    let answer = site.send("/book/", "last");
    assert_eq!(answer.status, 503);
    assert!(answer.header("retry-after").is_some());
}

#[test_case(Behavior::UnframedReset, 502; "truncated by a reset")]
#[test_case(Behavior::Unframed, 200; "ended by a close")]
fn a_response_without_length_is_complete_only_after_a_close(behavior: Behavior, status: u16) {
    let site = Site::start();
    site.set(behavior);
    let answer = site.send("/book/", "b1");
    assert_eq!(answer.status, status);
    if status == 200 {
        assert_eq!(
            (answer.body.as_str(), answer.complete),
            ("part and rest", true)
        );
    }
}

/// Guards against an answer that is lost because its engine announces an idle timeout
/// beyond any time.
#[test]
fn an_answer_with_an_extreme_idle_timeout_is_relayed() {
    let site = Site::start();
    for engine in &site.plain {
        engine.add_header("Keep-Alive", &format!("timeout={}", u64::MAX));
    }
    for i in 0..4 {
        assert_eq!(site.send("/look/", &format!("l{i}")).status, 200);
    }
}

#[test]
fn a_surplus_response_is_never_used_for_the_next_request() {
    let site = Site::start();
    site.set(Behavior::Extra);
    for i in 0..12 {
        let id = format!("l{i}");
        let answer = site.send("/look/", &id);
        assert_eq!(answer.status, 200);
        assert_eq!(answer.body, format!("answer to {id}"));
    }
}

#[test]
fn an_engines_error_response_is_relayed_with_its_signature() {
    let site = Site::start();
    site.set(Behavior::Failing);
    let answer = site.send("/book/", "b1");
    assert_eq!((answer.status, answer.body.as_str()), (500, "failed"));
    assert_eq!(answer.header("x-mastichinge-server-stamp"), Some("stamp"));
    assert_eq!(site.send("/look/", "l1").status, 500);
    assert_eq!(
        site.arrivals("l1"),
        2,
        "a lookup is retried at another engine"
    );
}

#[test]
fn a_stream_that_breaks_within_an_event_is_resumed_after_the_last_whole_one() {
    let site = Site::start();
    site.models[0].set_behavior(Behavior::ResetAfter(2));
    for i in 0..4 {
        let answer = site.stream("/stream/", &format!("s{i}"));
        assert_eq!(answer.status, 200);
        assert!(answer.complete, "{answer:?}");
        assert_eq!(events(&answer.body), all_events());
    }
    let resumed = site.models[1].arrivals();
    assert!(resumed.iter().any(|a| a.header("last-event-id") == "2"));
}

/// A stream of an engine that was killed is resumed at another engine. Guards against
/// trying the idle connections to the dead engine one after the other.
#[test]
fn streams_of_an_engine_that_dies_continue_at_another() {
    let site = Site::start();
    // Leaves idle connections to both engines.
    std::thread::scope(|scope| {
        for i in 0..8 {
            let site = &site;
            scope.spawn(move || site.stream("/stream/", &format!("w{i}")));
        }
    });
    site.models[0].crash();
    for i in 0..6 {
        let answer = site.stream("/stream/", &format!("s{i}"));
        assert_eq!((answer.status, answer.complete), (200, true), "{answer:?}");
        assert_eq!(events(&answer.body), all_events());
    }
}

/// Asserts that a stream that is preempted after two events completes in the same run.
fn assert_goes_on_after_a_preemption(site: &Site) {
    site.set(Behavior::PauseAfter(2));
    let answer = site.stream("/stream/", "s1");
    assert_eq!((answer.status, answer.complete), (200, true), "{answer:?}");
    assert_eq!(events(&answer.body), all_events());
    assert_eq!(site.arrivals("s1"), 1);
}

/// Engines preempt streams for want of memory and go on later. When the retry budget is
/// used up, no other engine may take over, and the daemon waits for the engine.
#[test]
fn a_preempted_stream_is_not_cut_when_no_retry_is_left() {
    let site = Site::start();
    site.exhaust_retries();
    assert_goes_on_after_a_preemption(&site);
}

/// A preempted stream of a model that no other engine holds: nobody can take over, so the
/// run goes on where it is.
#[test]
fn a_preempted_stream_stays_at_the_only_engine_of_its_model() {
    let site = Site::start();
    site.store.remove("servers", "e2");
    site.wait_for_change("e2", "gone");
    assert_goes_on_after_a_preemption(&site);
}

#[test]
fn a_stream_that_may_not_be_resumed_is_truncated_and_runs_once() {
    let site = Site::start();
    site.set(Behavior::ResetAfter(2));
    let answer = site.stream("/stream-rigid/", "s1");
    assert_eq!(answer.status, 200);
    assert!(!answer.complete, "{answer:?}");
    assert_eq!(events(&answer.body), [1, 2]);
    assert_eq!(site.arrivals("s1"), 1);
}

#[test]
fn a_caller_that_disconnects_before_the_first_event_cancels_the_run() {
    let site = Site::start();
    site.set(Behavior::Silent);
    let request = Request::new("/stream-rigid/", "s1").with(MODEL, "m1");
    let mut caller = site.connect();
    caller.write_all(&request.bytes(false)).unwrap();
    wait("the request at an engine", || site.arrivals("s1") == 1);
    drop(caller);
    wait("its cancellation", || {
        site.models
            .iter()
            .any(|e| e.cancelled().contains(&"s1".to_owned()))
    });
    let message = "caller disconnected before the response";
    wait("its log line", || {
        let lines = site.daemon.logged(message);
        lines.iter().any(|l| l["request"] == "s1")
    });
}

#[test]
fn a_lookup_at_a_silent_engine_is_retried_at_another() {
    let site = Site::start();
    site.plain[0].set_behavior(Behavior::Silent);
    for i in 0..3 {
        assert_eq!(site.send("/look/", &format!("l{i}")).status, 200);
    }
}

#[test]
fn a_model_without_a_replica_is_loaded_once_for_all_waiting_requests() {
    let site = Site::start();
    let answers: Vec<Response> = std::thread::scope(|scope| {
        let send = |i: usize| {
            let request = Request::new("/stream/", &format!("s{i}")).with(MODEL, "m2");
            let daemon = &site.daemon;
            scope.spawn(move || daemon.send(&request))
        };
        let requests: Vec<_> = (0..8).map(send).collect();
        requests.into_iter().map(|r| r.join().unwrap()).collect()
    });
    for answer in &answers {
        assert_eq!((answer.status, answer.complete), (200, true));
        assert_eq!(events(&answer.body), all_events());
    }
    let orders: Vec<Value> = site
        .models
        .iter()
        .flat_map(Engine::received_orders)
        .collect();
    let loads = orders
        .iter()
        .filter(|o| o["op"] == "load" && o["model"] == "m2");
    assert_eq!(loads.count(), 1, "{orders:?}");
    for order in &orders {
        assert_eq!(order["holder"], "edge-1");
        assert!(order["fence"].as_u64() > Some(0) && order["expected"].is_u64());
    }
}

#[test]
fn a_model_absent_from_the_desired_state_is_refused_at_once() {
    let site = Site::start();
    let request = Request::new("/stream/", "s1").with(MODEL, "unheard-of");
    assert_eq!(site.daemon.send(&request).status, 404);
}

#[test]
fn a_draining_engine_gets_no_new_requests() {
    let site = Site::start();
    site.plain[0].register("draining");
    wait("the change", || {
        !site.daemon.logged("engine changed").is_empty() && {
            let changes = site.daemon.logged("engine changed");
            changes.iter().any(|l| l["change"] == "leaving")
        }
    });
    let before = site.plain[0].arrivals().len();
    for i in 0..6 {
        assert_eq!(site.send("/look/", &format!("l{i}")).status, 200);
    }
    assert_eq!(site.plain[0].arrivals().len(), before);
}

/// Some engines leave without draining first: only their entry is removed.
#[test]
fn an_engine_that_is_no_longer_listed_gets_no_new_requests() {
    let site = Site::start();
    site.store.remove("servers", "p1");
    site.wait_for_change("p1", "gone");
    for i in 0..6 {
        assert_eq!(site.send("/look/", &format!("l{i}")).status, 200);
    }
    assert!(site.plain[0].arrivals().is_empty());
}

/// Large fleets: the list of engines takes several calls to read, so that it is read whole
/// only at the start and after an expired history.
#[test]
fn the_list_of_engines_is_read_whole_once_and_then_by_its_changes() {
    let site = Site::start();
    let new = Engine::start(&site.store, "p3", "desk", &[]);
    site.wait_for_change("p3", "appeared");
    site.store.remove("servers", "p1");
    site.wait_for_change("p1", "gone");
    assert_eq!(site.store.whole_reads("servers"), 1);
    site.store.expire_history();
    wait("a whole reading", || site.store.whole_reads("servers") == 2);
    new.register("draining");
    site.wait_for_change("p3", "leaving");
    assert_eq!(site.store.whole_reads("servers"), 2);
}

#[test]
fn invalid_engine_entries_are_ignored_and_the_others_used() {
    let site = Site::start();
    site.store
        .put_bytes("servers", "ghost1", b"\xff\xfe not json");
    site.store
        .put("servers", "ghost2", &json!({"service": "desk", "addr": 7}));
    site.store.put(
        "servers",
        "ghost3",
        &json!({"service": "desk", "addr": "127.0.0.1:1", "zone": "north", "version": "v1",
            "slots": 8, "state": "resting", "coldLeftMs": 0, "seq": 1, "born": 1}),
    );
    wait("their log lines", || {
        site.daemon.logged("entry ignored").len() == 3
    });
    for i in 0..4 {
        assert_eq!(site.send("/look/", &format!("l{i}")).status, 200);
    }
}

#[test]
fn loaded_models_are_served_in_a_store_outage_and_an_expired_history_causes_a_full_read() {
    let site = Site::start();
    site.store.set_down(true);
    wait("the loss", || {
        !site.daemon.logged("store unavailable").is_empty()
    });
    assert_eq!(site.send("/look/", "l1").status, 200);
    assert_eq!(events(&site.stream("/stream/", "s1").body), all_events());
    assert_eq!(site.daemon.get("/readyz").status, 200);
    site.store.put("op", "config", &desired(8));
    site.store.expire_history();
    site.store.set_down(false);
    site.wait_for_version(8);
}

#[test]
fn a_daemon_without_a_desired_state_is_not_ready_and_refuses_as_not_run() {
    let store = Store::start();
    let daemon = Daemon::launch(&store, "edge-1");
    wait("a response", || daemon.get("/readyz").status == 503);
    assert_eq!(
        daemon.get("/resolve?name=firm.example&zone=north").status,
        503
    );
    let answer = daemon.send(&Request::new("/look/", "l1"));
    assert_eq!(answer.status, 503);
}

#[test]
fn a_planned_shutdown_is_announced_at_once_and_truncates_nothing() {
    let mut site = Site::start();
    wait("a leader", || {
        !site.daemon.logged("leadership acquired").is_empty()
    });
    let request = Request::new("/stream/", "s1").with(MODEL, "m1");
    let mut caller = site.connect();
    caller.write_all(&request.bytes(false)).unwrap();
    wait("the request at an engine", || site.arrivals("s1") == 1);
    site.daemon.signal(libc::SIGTERM);
    wait("the daemon not ready", || {
        site.daemon.get("/readyz").status != 200
    });
    let mut answer = Vec::new();
    caller.read_to_end(&mut answer).unwrap();
    let answer = String::from_utf8(answer).unwrap();
    assert!(answer.ends_with("0\r\n\r\n"), "{answer}");
    assert_eq!(events(&answer), all_events());
    assert!(site.daemon.wait_for_exit().success());
    assert_eq!(site.store.get("members", "edge-1"), None);
    let row = site.store.get("tenure", "orders").unwrap();
    assert!(row["released"].is_u64(), "{row}");
}

/// Settings are reloaded with or without a signal; invalid ones are ignored.
#[test]
fn changed_settings_are_reloaded_and_invalid_ones_ignored() {
    let site = Site::start();
    site.daemon
        .write_settings(|s| s["bounds"]["entry_ttl_s"] = 1.0.into());
    wait("the new settings", || {
        !site.daemon.logged("settings reloaded").is_empty()
    });
    let answer = site.daemon.get("/resolve?name=firm.example&zone=north");
    assert!(answer.body.contains("\"ttlS\":1.0"), "{answer:?}");
    site.daemon
        .write_settings(|s| s["bounds"]["entry_ttl_s"] = "x".into());
    site.daemon.signal(libc::SIGHUP);
    let refused = "settings not reloaded, the old ones stay";
    wait("the refusal", || !site.daemon.logged(refused).is_empty());
    assert_eq!(site.send("/look/", "l1").status, 200);
}

#[test]
fn an_oversized_body_is_refused_and_reaches_no_engine() {
    let site = Site::start();
    let request = Request {
        body: "x".repeat(70_000),
        ..Request::new("/look/", "l1")
    };
    let answer = site.daemon.send(&request);
    // The connection may be reset while the caller still sends.
    assert!([0, 413].contains(&answer.status), "{answer:?}");
    assert_eq!(site.arrivals("l1"), 0);
}
