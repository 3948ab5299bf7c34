//! The way of a request through a real daemon, between stand-ins for the store
//! and the engines. Each test brings about one trouble.

use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::TcpStream;

use serde_json::{Value, json};
use test_case::test_case;

use crate::site::{MODEL, Site, desired, route};
use crate::standin::daemon::{Answer, Daemon, Request, wait};
use crate::standin::engine::{EVENTS, Engine, Manner};
use crate::standin::store::Store;

/// Ids of the events in a body.
pub fn events(body: &str) -> Vec<u64> {
    let ids = body.lines().filter_map(|l| l.strip_prefix("id: "));
    ids.map(|id| id.parse().unwrap()).collect()
}

fn all_events() -> Vec<u64> {
    (1..=EVENTS).collect()
}

#[test]
fn requests_are_passed_on_unchanged_but_for_what_is_the_systems_own() {
    let site = Site::start();
    let request = Request::new("/look/a?b=c%20d", "r1")
        .with("X-Mastichinge-Hold", "h")
        .with("X-Mastichinge-Pin-Ms", "9")
        .with("X-Mastichinge-Kv-Backup", "10.0.0.1:1")
        .with("Kv-From", "10.0.0.1:1/h")
        .with("X-Custom", "kept");
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
    assert_eq!(arrived.header("x-custom"), "kept");
    assert!(["p1", "p2"].contains(&arrived.header("x-mastichinge-expect-instance")));
    for own in [
        "x-mastichinge-hold",
        "x-mastichinge-pin-ms",
        "x-mastichinge-kv-backup",
        "kv-from",
    ] {
        assert_eq!(arrived.header(own), "", "{own}");
    }
    let left: u64 = arrived.header("x-mastichinge-deadline-ms").parse().unwrap();
    assert!(left <= 20_000);
}

#[test]
fn a_path_without_a_route_is_not_found_and_the_longest_prefix_wins() {
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
    // An older version changes nothing.
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
fn a_booking_whose_engine_breaks_off_runs_once_and_is_not_called_unrun() {
    let site = Site::start();
    site.set(Manner::Reset);
    let answer = site.send("/book/", "b1");
    assert_eq!(answer.status, 502);
    assert_eq!(site.arrivals("b1"), 1);
}

#[test]
fn a_lookup_whose_engine_breaks_off_runs_at_another() {
    let site = Site::start();
    site.plain[0].set(Manner::Reset);
    for i in 0..4 {
        let answer = site.send("/look/", &format!("l{i}"));
        assert_eq!((answer.status, answer.complete), (200, true));
    }
}

#[test]
fn a_booking_that_an_engine_rejects_unrun_is_served_by_another_or_refused_as_not_run() {
    let site = Site::start();
    site.plain[0].set(Manner::Full);
    for i in 0..4 {
        assert_eq!(site.send("/book/", &format!("b{i}")).status, 200);
    }
    site.plain[1].set(Manner::Full);
    let answer = site.send("/book/", "last");
    assert_eq!(answer.status, 503);
    assert!(answer.header("retry-after").is_some());
}

#[test_case(Manner::UnframedReset, 502; "cut by a reset")]
#[test_case(Manner::Unframed, 200; "ended by a close")]
fn an_answer_without_length(manner: Manner, status: u16) {
    let site = Site::start();
    site.set(manner);
    let answer = site.send("/book/", "b1");
    assert_eq!(answer.status, status);
    if status == 200 {
        assert_eq!(
            (answer.body.as_str(), answer.complete),
            ("part and rest", true)
        );
    }
}

#[test]
fn a_second_answer_is_never_given_to_the_next_request() {
    let site = Site::start();
    site.set(Manner::Extra);
    for i in 0..12 {
        let id = format!("l{i}");
        let answer = site.send("/look/", &id);
        assert_eq!(answer.status, 200);
        assert_eq!(answer.body, format!("answer to {id}"));
    }
}

#[test]
fn an_engines_own_failure_is_passed_on_with_its_signature() {
    let site = Site::start();
    site.set(Manner::Failing);
    let answer = site.send("/book/", "b1");
    assert_eq!((answer.status, answer.body.as_str()), (500, "failed"));
    assert_eq!(answer.header("x-mastichinge-server-stamp"), Some("stamp"));
    assert_eq!(site.send("/look/", "l1").status, 500);
    assert_eq!(
        site.arrivals("l1"),
        2,
        "a lookup is tried at another engine"
    );
}

#[test]
fn a_stream_that_breaks_in_the_middle_of_an_event_goes_on_after_the_last_whole_one() {
    let site = Site::start();
    site.models[0].set(Manner::ResetAfter(2));
    for i in 0..4 {
        let answer = site.stream("/stream/", &format!("s{i}"));
        assert_eq!(answer.status, 200);
        assert!(answer.complete, "{answer:?}");
        assert_eq!(events(&answer.body), all_events());
    }
    let resumed = site.models[1].arrivals();
    assert!(resumed.iter().any(|a| a.header("last-event-id") == "2"));
}

/// Of several streams at an engine that dies, each goes on elsewhere: kept
/// connections to it are not tried one after the other.
#[test]
fn streams_of_an_engine_that_dies_go_on_at_another() {
    let site = Site::start();
    // Leaves kept connections to both engines.
    std::thread::scope(|scope| {
        for i in 0..8 {
            let site = &site;
            scope.spawn(move || site.stream("/stream/", &format!("w{i}")));
        }
    });
    site.models[0].die();
    for i in 0..6 {
        let answer = site.stream("/stream/", &format!("s{i}"));
        assert_eq!((answer.status, answer.complete), (200, true), "{answer:?}");
        assert_eq!(events(&answer.body), all_events());
    }
}

#[test]
fn a_stream_that_may_not_be_resumed_is_cut_and_runs_once() {
    let site = Site::start();
    site.set(Manner::ResetAfter(2));
    let answer = site.stream("/stream-rigid/", "s1");
    assert_eq!(answer.status, 200);
    assert!(!answer.complete, "{answer:?}");
    assert_eq!(events(&answer.body), [1, 2]);
    assert_eq!(site.arrivals("s1"), 1);
}

#[test]
fn a_caller_that_leaves_before_the_first_event_cancels_the_run() {
    let site = Site::start();
    site.set(Manner::Mute);
    let request = Request::new("/stream-rigid/", "s1").with(MODEL, "m1");
    let mut caller = TcpStream::connect(site.daemon.callers).unwrap();
    caller.write_all(&request.bytes(false)).unwrap();
    wait("the request at an engine", || site.arrivals("s1") == 1);
    drop(caller);
    wait("its cancellation", || {
        site.models
            .iter()
            .any(|e| e.cancelled().contains(&"s1".to_owned()))
    });
    let left = "request left by its caller before its answer";
    wait("its line in the log", || {
        let lines = site.daemon.logged(left);
        lines.iter().any(|l| l["request"] == "s1")
    });
}

#[test]
fn a_silent_engine_loses_a_lookup_to_another() {
    let site = Site::start();
    site.plain[0].set(Manner::Mute);
    for i in 0..3 {
        assert_eq!(site.send("/look/", &format!("l{i}")).status, 200);
    }
}

#[test]
fn a_model_that_nobody_holds_is_loaded_once_for_all_that_wait() {
    let site = Site::start();
    let answers: Vec<Answer> = std::thread::scope(|scope| {
        let ask = |i: usize| {
            let request = Request::new("/stream/", &format!("s{i}")).with(MODEL, "m2");
            let daemon = &site.daemon;
            scope.spawn(move || daemon.send(&request))
        };
        let asked: Vec<_> = (0..8).map(ask).collect();
        asked.into_iter().map(|a| a.join().unwrap()).collect()
    });
    for answer in &answers {
        assert_eq!((answer.status, answer.complete), (200, true));
        assert_eq!(events(&answer.body), all_events());
    }
    let given: Vec<Value> = site.models.iter().flat_map(Engine::given).collect();
    let loads = given
        .iter()
        .filter(|o| o["op"] == "load" && o["model"] == "m2");
    assert_eq!(loads.count(), 1, "{given:?}");
    for order in &given {
        assert_eq!(order["holder"], "edge-1");
        assert!(order["fence"].as_u64() > Some(0) && order["expected"].is_u64());
    }
}

#[test]
fn a_model_that_the_desired_state_lacks_is_refused_at_once() {
    let site = Site::start();
    let request = Request::new("/stream/", "s1").with(MODEL, "unheard-of");
    assert_eq!(site.daemon.send(&request).status, 404);
}

#[test]
fn a_leaving_engine_gets_no_new_work() {
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

/// Some engines leave without a word: only their entry goes.
#[test]
fn an_engine_that_is_no_longer_listed_gets_no_new_work() {
    let site = Site::start();
    site.store.remove("servers", "p1");
    wait("the change", || {
        let changes = site.daemon.logged("engine changed");
        changes.iter().any(|l| l["change"] == "gone")
    });
    for i in 0..6 {
        assert_eq!(site.send("/look/", &format!("l{i}")).status, 200);
    }
    assert!(site.plain[0].arrivals().is_empty());
}

#[test]
fn entries_of_strangers_name_no_engine_and_the_others_hold() {
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
    wait("the lines about them", || {
        site.daemon.logged("entry ignored").len() == 3
    });
    for i in 0..4 {
        assert_eq!(site.send("/look/", &format!("l{i}")).status, 200);
    }
}

#[test]
fn the_store_away_stops_nothing_that_is_loaded_and_its_history_may_go() {
    let site = Site::start();
    site.store.set_down(true);
    wait("the loss", || !site.daemon.logged("store lost").is_empty());
    assert_eq!(site.send("/look/", "l1").status, 200);
    assert_eq!(events(&site.stream("/stream/", "s1").body), all_events());
    assert_eq!(site.daemon.ask("/readyz").status, 200);
    site.store.put("op", "config", &desired(8));
    site.store.forget();
    site.store.set_down(false);
    wait("the version written meanwhile", || {
        let versions = site.daemon.logged("desired state in force");
        versions.iter().any(|l| l["version"] == 8)
    });
}

#[test]
fn a_daemon_that_knows_no_desired_state_is_not_ready_and_says_not_run() {
    let store = Store::start();
    let daemon = Daemon::launch(&store, "edge-1");
    wait("an answer", || daemon.ask("/readyz").status == 503);
    assert_eq!(
        daemon.ask("/resolve?name=firm.example&zone=north").status,
        503
    );
    let answer = daemon.send(&Request::new("/look/", "l1"));
    assert_eq!(answer.status, 503);
}

#[test]
fn a_planned_stop_is_told_at_once_and_cuts_nothing() {
    let mut site = Site::start();
    wait("a leader", || {
        !site.daemon.logged("leadership acquired").is_empty()
    });
    let request = Request::new("/stream/", "s1").with(MODEL, "m1");
    let mut caller = TcpStream::connect(site.daemon.callers).unwrap();
    caller.write_all(&request.bytes(false)).unwrap();
    wait("the request at an engine", || site.arrivals("s1") == 1);
    site.daemon.signal(libc::SIGTERM);
    wait("its word", || site.daemon.ask("/readyz").status != 200);
    let mut answer = Vec::new();
    caller.read_to_end(&mut answer).unwrap();
    let answer = String::from_utf8(answer).unwrap();
    assert!(answer.ends_with("0\r\n\r\n"), "{answer}");
    assert_eq!(events(&answer), all_events());
    assert!(site.daemon.ended().success());
    assert_eq!(site.store.get("members", "edge-1"), None);
    let row = site.store.get("tenure", "orders").unwrap();
    assert!(row["released"].is_u64(), "{row}");
}

/// The settings change with a signal or without; wrong ones change nothing.
#[test]
fn settings_are_taken_in_again() {
    let site = Site::start();
    site.daemon
        .write_settings(|s| s["bounds"]["entry_ttl_s"] = 1.0.into());
    wait("the new settings", || {
        !site.daemon.logged("settings reloaded").is_empty()
    });
    let answer = site.daemon.ask("/resolve?name=firm.example&zone=north");
    assert!(answer.body.contains("\"ttlS\":1.0"), "{answer:?}");
    site.daemon
        .write_settings(|s| s["bounds"]["entry_ttl_s"] = "x".into());
    site.daemon.signal(libc::SIGHUP);
    let refused = "settings not reloaded, the old ones stay";
    wait("the refusal", || !site.daemon.logged(refused).is_empty());
    assert_eq!(site.send("/look/", "l1").status, 200);
}

#[test]
fn daemons_find_each_other_and_the_entry_answer_names_those_that_live() {
    let site = Site::start();
    let second = Daemon::start(&site.store, "edge-2");
    let named = |daemon: &Daemon| -> BTreeSet<String> {
        let answer = daemon.ask("/resolve?name=firm.example&region=r&zone=north");
        let answer: Value = serde_json::from_str(&answer.body).unwrap_or_default();
        let addrs = answer["addrs"].as_array().cloned().unwrap_or_default();
        addrs
            .iter()
            .map(|a| a.as_str().unwrap().to_owned())
            .collect()
    };
    let both = BTreeSet::from([site.daemon.callers.to_string(), second.callers.to_string()]);
    wait("both in both answers", || {
        named(&site.daemon) == both && named(&second) == both
    });
    drop(second);
    let one = BTreeSet::from([site.daemon.callers.to_string()]);
    wait("the dead one out of the answer", || {
        named(&site.daemon) == one
    });
}

/// Both daemons cannot give orders at once, and the second goes on when the
/// first is killed.
#[test]
fn orders_pass_on_when_their_holder_is_killed() {
    let site = Site::start();
    wait("a holder", || {
        !site.daemon.logged("leadership acquired").is_empty()
    });
    let second = Daemon::start(&site.store, "edge-2");
    let Site {
        store,
        models,
        daemon,
        ..
    } = site;
    wait("the second daemon at the first", || {
        !daemon.logged("member heard").is_empty()
    });
    assert_eq!(second.logged("leadership acquired"), Vec::<Value>::new());
    drop(daemon);
    wait("its successor", || {
        !second.logged("leadership acquired").is_empty()
    });
    let row = store.get("tenure", "orders").unwrap();
    assert_eq!((&row["host"], &row["fence"]), (&json!("edge-2"), &json!(2)));
    let request = Request::new("/stream/", "s1").with(MODEL, "m2");
    let answer = second.send(&request);
    assert_eq!(answer.status, 200);
    let given: Vec<Value> = models.iter().flat_map(Engine::given).collect();
    assert!(given.iter().any(|o| o["fence"] == 2), "{given:?}");
}

/// A request that breaks off every engine that runs it is held after the
/// second, by the daemon that it comes to next as well.
#[test]
fn a_request_that_breaks_engines_is_held_by_all_daemons() {
    let site = Site::start();
    let second = Daemon::start(&site.store, "edge-2");
    wait("the daemons", || {
        !second.logged("member heard").is_empty() && !site.daemon.logged("member heard").is_empty()
    });
    site.set(Manner::Reset);
    let poison = |id: &str| Request {
        body: "the same body".to_owned(),
        ..Request::new("/look/", id)
    };
    assert_eq!(site.daemon.send(&poison("x1")).status, 502);
    assert_eq!(site.arrivals("x1"), 2);
    wait("the hold at the second daemon", || {
        second.send(&poison("x2")).status == 503
    });
    site.set(Manner::Sound);
    assert_eq!(second.send(&Request::new("/look/", "other")).status, 200);
}

#[test]
fn an_oversized_body_is_refused_and_its_connection_ends() {
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
