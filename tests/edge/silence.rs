//! Engines that fall silent for longer than the daemon waits before it looks for another
//! engine, and then go on.

use serde_json::Value;
use test_case::test_case;

use crate::fakes::daemon::{Request, Response, wait};
use crate::fakes::engine::{Behavior, EVENTS, Engine};
use crate::requests::events;
use crate::site::{MODEL, Site};

/// Asserts that the caller got the whole stream, each event once.
fn assert_whole(answer: &Response) {
    assert_eq!((answer.status, answer.complete), (200, true), "{answer:?}");
    assert_eq!(events(&answer.body), (1..=EVENTS).collect::<Vec<_>>());
}

/// Guards against a stream whose run is cancelled because its response or its first event
/// is late, although no other engine may take over.
#[test_case(Behavior::StallAtRequest; "before the response")]
#[test_case(Behavior::StallAfter(0); "before the first event")]
#[test_case(Behavior::StallAfter(2); "between events")]
fn a_stream_of_a_stalled_engine_completes_in_one_run_when_no_retry_is_left(stall: Behavior) {
    let site = Site::start();
    site.exhaust_retries();
    site.set(stall);
    assert_whole(&site.stream("/stream/", "s1"));
    assert_eq!(site.arrivals("s1"), 1);
}

/// Guards against a lookup whose run is cancelled because its response is late, although
/// no other engine may take over.
#[test]
fn a_lookup_at_a_stalled_engine_is_answered_in_one_run_when_no_retry_is_left() {
    let site = Site::start();
    site.exhaust_retries();
    site.set(Behavior::StallAtRequest);
    let answer = site.send("/look/", "l1");
    assert_eq!((answer.status, answer.complete), (200, true), "{answer:?}");
    assert_eq!(site.arrivals("l1"), 1);
}

/// Guards against a run that is cancelled because its response is late, although no other
/// engine is known.
#[test_case("e2", "/stream/"; "a stream")]
#[test_case("p2", "/look/"; "a lookup")]
fn a_request_at_the_only_engine_is_answered_in_one_run_after_a_stall(other: &str, path: &str) {
    let site = Site::start();
    site.store.remove("servers", other);
    site.wait_for_change(other, "gone");
    site.set(Behavior::StallAtRequest);
    let answer = match path {
        "/stream/" => site.stream(path, "r1"),
        _ => site.send(path, "r1"),
    };
    assert_eq!((answer.status, answer.complete), (200, true), "{answer:?}");
    assert_eq!(site.arrivals("r1"), 1);
}

/// The caller of a silent stream leaves: the run is cancelled at once.
#[test]
fn a_caller_that_leaves_a_stalled_stream_cancels_the_run() {
    let site = Site::start();
    site.exhaust_retries();
    site.set(Behavior::Silent);
    let request = Request::new("/stream/", "s1").with(MODEL, "m1");
    let mut caller = std::net::TcpStream::connect(site.daemon.callers).unwrap();
    std::io::Write::write_all(&mut caller, &request.bytes(false)).unwrap();
    wait("the request at an engine", || site.arrivals("s1") == 1);
    drop(caller);
    wait("its cancellation", || {
        let cancelled: Vec<String> = site.models.iter().flat_map(Engine::cancelled).collect();
        cancelled == ["s1"]
    });
    let retries: Vec<Value> = site.daemon.logged("request retry");
    assert_eq!(retries, Vec::<Value>::new());
}
