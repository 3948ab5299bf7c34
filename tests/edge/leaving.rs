//! Engines that say in their responses that they leave, whatever their entry says.

use test_case::test_case;

use crate::fakes::daemon::{Response, wait};
use crate::fakes::engine::{Behavior, Engine};
use crate::site::{Site, wait_for_leaving};

/// Header of an engine that leaves.
const LEAVING: &str = "Server-Leaving";
/// Requests that are sent to see whether an engine gets any.
const REQUESTS: usize = 12;

/// Sends a request that the engines of the path's service can serve.
fn send(site: &Site, path: &str, id: &str) -> Response {
    match path {
        "/stream/" => site.stream(path, id),
        _ => site.send(path, id),
    }
}

/// Sends requests until `engine` has got one.
fn send_until_arrived(site: &Site, engine: &Engine, path: &str) {
    let before = engine.arrivals().len();
    let mut sent = 0;
    wait("a request at the engine", || {
        // An id of its own: a connection that has carried an id is not used for it again.
        send(site, path, &format!("first{before}-{sent}"));
        sent += 1;
        engine.arrivals().len() > before
    });
}

/// Returns how many of [`REQUESTS`] reach `engine`; each is answered.
fn count_arrivals(site: &Site, engine: &Engine, path: &str) -> usize {
    let before = engine.arrivals().len();
    for i in 0..REQUESTS {
        let answer = send(site, path, &format!("r{i}"));
        assert_eq!((answer.status, answer.complete), (200, true), "{answer:?}");
    }
    engine.arrivals().len() - before
}

/// Guards against DRAIN: an engine got requests after it had said in a response that it
/// leaves, while its entry still said that it is ready.
#[test_case(Behavior::Correct, "/look/"; "in an answer")]
#[test_case(Behavior::Full, "/look/"; "in a rejection")]
#[test_case(Behavior::Failing, "/look/"; "in a failure")]
#[test_case(Behavior::Correct, "/stream/"; "in the head of a stream")]
fn an_engine_that_says_that_it_leaves_gets_no_request(behavior: Behavior, path: &str) {
    let site = Site::start();
    let engines = match path {
        "/stream/" => &site.models,
        _ => &site.plain,
    };
    let engine = &engines[0];
    // Leaves a connection that is used on: on a new one the engine is asked before a stream.
    send_until_arrived(&site, engine, path);
    engine.add_header(LEAVING, "1");
    engine.set_behavior(behavior);
    send_until_arrived(&site, engine, path);
    engine.register("ready");
    assert_eq!(count_arrivals(&site, engine, path), 0);
}

/// Guards against DRAIN when the entry of such an engine is missing for a while.
#[test]
fn an_engine_that_leaves_gets_no_request_when_its_entry_is_back() {
    let site = Site::start();
    let engine = &site.plain[0];
    engine.add_header(LEAVING, "1");
    send_until_arrived(&site, engine, "/look/");
    site.store.remove("servers", "p1");
    site.wait_for_change("p1", "gone");
    engine.register("ready");
    wait("its entry", || site.changes("p1", "appeared") == 2);
    assert_eq!(count_arrivals(&site, engine, "/look/"), 0);
}

/// An engine that has started again under its id leaves no more.
#[test]
fn an_engine_that_has_started_again_gets_requests() {
    let site = Site::start();
    let engine = &site.plain[0];
    engine.add_header(LEAVING, "1");
    send_until_arrived(&site, engine, "/look/");
    engine.start_again();
    site.wait_for_change("p1", "reborn");
    send_until_arrived(&site, engine, "/look/");
}

/// Guards against requests at such an engine from hosts that it has not answered itself.
#[test]
fn the_other_hosts_are_told_that_an_engine_leaves() {
    let site = Site::start();
    let other = site.add_daemon();
    let engine = &site.plain[0];
    engine.add_header(LEAVING, "1");
    send_until_arrived(&site, engine, "/look/");
    wait_for_leaving(&other, "p1");
}

/// Only the value 1 says that an engine leaves.
#[test]
fn another_value_of_the_header_changes_nothing() {
    let site = Site::start();
    let engine = &site.plain[0];
    engine.add_header(LEAVING, "0");
    send_until_arrived(&site, engine, "/look/");
    send_until_arrived(&site, engine, "/look/");
}

/// Guards against requests at an engine whose report says that it leaves.
#[test]
fn an_engine_whose_report_says_that_it_leaves_gets_no_request() {
    let site = Site::start();
    site.models[0].add_header(LEAVING, "1");
    site.wait_for_change("e1", "leaving");
    assert_eq!(count_arrivals(&site, &site.models[0], "/stream/"), 0);
}
