//! What an engine says of itself applies whatever request, entry or lifetime it came with.

use std::thread;

use test_case::test_case;

use crate::fakes::daemon::{Request, wait};
use crate::fakes::engine::{Behavior, Engine};
use crate::site::{MODEL, Site, wait_for_leaving};

/// Header of an engine that leaves.
const LEAVING: &str = "Server-Leaving";
/// Header of an engine that asks for a pause.
const RETRY_AFTER: &str = "Retry-After";
/// Pause for which the engines ask, s; longer than the requests of a test take.
const PAUSE_S: &str = "30";
/// Requests that are sent to see whether an engine gets any.
const REQUESTS: usize = 24;
/// Requests that may reach an engine in a pause, by the platform's rule.
const MAX_IN_PAUSE: usize = 2;

/// Returns how many of [`REQUESTS`] reach `engine`.
fn count_arrivals(site: &Site, engine: &Engine) -> usize {
    let before = engine.arrivals().len();
    for i in 0..REQUESTS {
        site.send("/look/", &format!("r{i}"));
    }
    engine.arrivals().len() - before
}

/// Sends requests until `engine` has got one.
fn send_until_arrived(site: &Site, engine: &Engine) {
    let before = engine.arrivals().len();
    let mut sent = 0;
    wait("a request at the engine", || {
        site.send("/look/", &format!("first{sent}"));
        sent += 1;
        engine.arrivals().len() > before
    });
}

/// Waits until the daemon sends orders.
fn wait_for_leadership(site: &Site) {
    wait("a leader", || {
        !site.daemon.logged("leadership acquired").is_empty()
    });
}

/// Requests a model that no engine has loaded, until it is loaded.
fn request_load(site: &Site) {
    let mut sent = 0;
    wait("a load", || {
        let request = Request::new("/stream/", &format!("load{sent}")).with(MODEL, "m2");
        sent += 1;
        site.daemon.send(&request).status == 200
    });
}

/// Leaves `e1` the only engine of its service, and requests a model that it has to load until
/// it has failed to answer a call.
fn fail_call(site: &Site) {
    site.store.remove("servers", "e2");
    site.wait_for_change("e2", "gone");
    let mut sent = 0;
    wait("a call", || {
        let request = Request::new("/stream/", &format!("call{sent}")).with(MODEL, "m2");
        sent += 1;
        site.daemon.send(&request);
        site.models[0].failed_calls() > 0
    });
}

/// Lets `p1` stall with a booking and respond with a header while its entry is missing, and
/// brings the entry back.
fn respond_without_entry(site: &Site, stall: Behavior, header: (&'static str, &str)) {
    let engine = &site.plain[0];
    engine.set_behavior(stall);
    thread::scope(|scope| {
        let sending = scope.spawn(|| {
            let mut sent = 0;
            wait("a stall", || {
                site.send("/book/", &format!("b{sent}"));
                sent += 1;
                engine.has_stalled()
            });
        });
        wait("a stall", || engine.has_stalled());
        engine.add_header(header.0, header.1);
        site.store.remove("servers", "p1");
        site.wait_for_change("p1", "gone");
        sending.join().unwrap();
    });
    engine.register("ready");
    wait("its entry", || site.changes("p1", "appeared") == 2);
}

/// Guards against DRAIN: an engine that said that it leaves while its entry was missing got
/// requests when the entry was back.
#[test]
fn an_engine_that_says_that_it_leaves_without_an_entry_gets_no_request() {
    let site = Site::start();
    respond_without_entry(&site, Behavior::StallAtRequest, (LEAVING, "1"));
    assert_eq!(count_arrivals(&site, &site.plain[0]), 0);
}

/// Guards against BUDGET: an engine that asked for a pause while its entry was missing got
/// requests in it when the entry was back.
#[test]
fn an_engine_that_asks_for_a_pause_without_an_entry_gets_no_request() {
    let site = Site::start();
    respond_without_entry(&site, Behavior::StallAtRejection, (RETRY_AFTER, PAUSE_S));
    assert_eq!(count_arrivals(&site, &site.plain[0]), 0);
}

/// Guards against DRAIN: an engine that had started again said that it leaves before its new
/// entry was read, and got requests after that.
#[test]
fn an_engine_that_leaves_before_its_new_entry_gets_no_request() {
    let site = Site::start();
    let engine = &site.plain[0];
    engine.start_unlisted();
    engine.add_header(LEAVING, "1");
    send_until_arrived(&site, engine);
    engine.register("ready");
    site.wait_for_change("p1", "reborn");
    assert_eq!(count_arrivals(&site, engine), 0);
}

/// Guards against BUDGET in the same case.
#[test]
fn an_engine_that_asks_for_a_pause_before_its_new_entry_gets_no_request() {
    let site = Site::start();
    let engine = &site.plain[0];
    engine.start_unlisted();
    engine.set_behavior(Behavior::Full);
    engine.add_header(RETRY_AFTER, PAUSE_S);
    send_until_arrived(&site, engine);
    engine.register("ready");
    site.wait_for_change("p1", "reborn");
    assert!(count_arrivals(&site, engine) <= MAX_IN_PAUSE);
}

/// Guards against DRAIN and BUDGET: what an engine said of itself in a response that may
/// belong to another request was dropped, and it got requests after that.
#[test_case(Behavior::RejectsAnother, LEAVING, "1"; "leaving, the id of another request")]
#[test_case(Behavior::FullWithoutId, LEAVING, "1"; "leaving, no id")]
#[test_case(Behavior::RejectsAnother, RETRY_AFTER, PAUSE_S; "a pause, the id of another request")]
#[test_case(Behavior::FullWithoutId, RETRY_AFTER, PAUSE_S; "a pause, no id")]
fn a_statement_in_a_response_to_another_request_applies(
    behavior: Behavior,
    header: &'static str,
    value: &str,
) {
    let site = Site::start();
    site.store.remove("servers", "p2");
    site.wait_for_change("p2", "gone");
    // Leaves an idle connection, on which a response without an id is not believed.
    assert_eq!(site.send("/look/", "l1").status, 200);
    let engine = &site.plain[0];
    engine.set_behavior(behavior);
    engine.add_header(header, value);
    site.send("/book/", "b1");
    wait("its log line", || {
        !site
            .daemon
            .logged("engine's response not believed")
            .is_empty()
    });
    let before = engine.arrivals().len();
    for i in 0..4 {
        assert_eq!(site.send("/book/", &format!("c{i}")).status, 503);
    }
    assert_eq!(engine.arrivals().len(), before);
}

/// Guards against BUDGET and DRAIN: a response that followed a late one to an earlier request
/// was not read.
#[test_case(LEAVING, "1"; "leaving")]
#[test_case(RETRY_AFTER, PAUSE_S; "a pause")]
fn a_statement_after_a_late_response_applies(header: &'static str, value: &str) {
    let site = Site::start();
    site.store.remove("servers", "p2");
    site.wait_for_change("p2", "gone");
    // Leaves an idle connection.
    assert_eq!(site.send("/look/", "l1").status, 200);
    let engine = &site.plain[0];
    engine.set_behavior(Behavior::FullAfterLateAnswer);
    engine.add_header(header, value);
    assert_eq!(site.send("/book/", "b1").status, 502);
    assert_eq!(engine.late_responses(), 1);
    wait("its log line", || match header {
        LEAVING => site.changes("p1", "leaving") > 0,
        _ => !site.daemon.logged("engine asks for a pause").is_empty(),
    });
    let before = engine.arrivals().len();
    assert_eq!(site.send("/book/", "b2").status, 503);
    assert_eq!(engine.arrivals().len(), before);
}

/// Guards against BUDGET: the pause that an engine asked for in the response to an order or
/// a report request was dropped.
#[test]
fn a_pause_in_the_response_to_a_call_applies() {
    let site = Site::start();
    let engine = &site.models[0];
    engine.set_behavior(Behavior::RefusesCalls);
    engine.add_header(RETRY_AFTER, PAUSE_S);
    fail_call(&site);
    let before = engine.arrivals().len();
    for i in 0..REQUESTS {
        site.stream("/stream/", &format!("s{i}"));
    }
    assert!(engine.arrivals().len() - before <= MAX_IN_PAUSE);
    let calls = engine.failed_calls();
    assert!(calls <= 1 + MAX_IN_PAUSE, "{calls}");
}

/// Guards against BUDGET: the leader went on sending orders and report requests to an engine
/// that had asked for a pause.
#[test]
fn an_engine_that_asks_for_a_pause_gets_no_calls_in_it() {
    let site = Site::start();
    wait_for_leadership(&site);
    let engine = &site.models[0];
    engine.set_behavior(Behavior::Full);
    engine.add_header(RETRY_AFTER, PAUSE_S);
    let mut sent = 0;
    wait("a pause", || {
        site.stream("/stream/", &format!("first{sent}"));
        sent += 1;
        !site.daemon.logged("engine asks for a pause").is_empty()
    });
    let before = engine.calls();
    request_load(&site);
    assert!(engine.calls() - before <= MAX_IN_PAUSE);
}

/// Guards against DRAIN: what the head of a response said was dropped when the rest of the
/// response did not arrive.
#[test]
fn a_statement_in_a_broken_response_to_a_call_applies() {
    let site = Site::start();
    let engine = &site.models[0];
    engine.set_behavior(Behavior::BreaksCalls);
    engine.add_header(LEAVING, "1");
    fail_call(&site);
    site.wait_for_change("e1", "leaving");
}

/// Guards against requests at an engine that leaves from a host that has started again:
/// the other hosts told it once only.
#[test]
fn a_host_that_has_started_again_is_told_which_engines_leave() {
    let mut site = Site::start();
    let other = site.add_daemon();
    let engine = &site.plain[0];
    engine.add_header(LEAVING, "1");
    send_until_arrived(&site, engine);
    wait_for_leaving(&other, "p1");
    site.daemon.restart();
    wait("its log line", || {
        let changes = site.daemon.logged("engine changed");
        changes
            .iter()
            .any(|l| l["engine"] == "p1" && l["source"] == "edge-2")
    });
}

/// An engine that has started again after it said that it leaves is asked once, and used at
/// once.
#[test]
fn an_engine_that_has_started_again_is_asked_whether_it_leaves() {
    let site = Site::start();
    let engine = &site.plain[0];
    engine.add_header(LEAVING, "1");
    send_until_arrived(&site, engine);
    engine.start_again();
    site.wait_for_change("p1", "reborn");
    wait("a health check", || engine.health_checks() > 0);
    send_until_arrived(&site, engine);
    assert_eq!(engine.health_checks(), 1);
}
