//! Engines that name the requests a second that they take from all hosts together.

use std::thread;
use std::time::{Duration, Instant};

use test_case::test_case;

use crate::fakes::daemon::{Daemon, Request, Response, wait};
use crate::fakes::engine::Engine;
use crate::fakes::store::Store;
use crate::site::{MODEL, Site, desired};

/// Header of an engine that names its rate, requests a second.
const LIMIT: &str = "Server-Limit";
/// Window of the platform's rule.
const WINDOW: Duration = Duration::from_secs(4);
/// Time for which requests are sent; longer than the window.
const SEND_TIME: Duration = Duration::from_secs(6);
/// Time after which hosts that have been told count, by the platform's rule.
const TOLD_TIME: Duration = Duration::from_millis(500);
/// Pause between two requests of one sender.
const PAUSE: Duration = Duration::from_millis(40);

/// Returns the requests that an engine may get in [`WINDOW`], by the platform's rule.
fn allowed(rate: f64) -> usize {
    (1.5 * rate * WINDOW.as_secs_f64() + 5.0) as usize
}

/// Returns a request; those for streams name a model.
fn request(path: &str, id: &str) -> Request {
    let request = Request::new(path, id);
    match path {
        "/stream/" => request.with(MODEL, "m1"),
        _ => request,
    }
}

/// Sends requests to each daemon in turn for [`SEND_TIME`]; returns the responses.
fn send_to(daemons: &[&Daemon], path: &str) -> Vec<Response> {
    let started = Instant::now();
    let send = |(n, daemon): (usize, &&Daemon)| {
        let mut responses = Vec::new();
        while started.elapsed() < SEND_TIME {
            let id = format!("r{n}-{}", responses.len());
            responses.push(daemon.send(&request(path, &id)));
            thread::sleep(PAUSE);
        }
        responses
    };
    thread::scope(|scope| {
        let senders = daemons.iter().enumerate();
        let senders: Vec<_> = senders.map(|s| scope.spawn(move || send(s))).collect();
        let responses = senders.into_iter().flat_map(|s| s.join().unwrap());
        responses.collect()
    })
}

/// Lets an engine name a rate, and waits until a daemon has been told.
fn name_rate(site: &Site, engine: &Engine, rate: &str, path: &str) -> Instant {
    engine.add_header(LIMIT, rate);
    let mut sent = 0;
    wait("the rate", || {
        site.daemon.send(&request(path, &format!("first{sent}")));
        sent += 1;
        let lines = site.daemon.logged("engine's rate changed");
        lines.iter().any(|l| l["engine"] == *engine.id)
    });
    Instant::now() + TOLD_TIME
}

/// Starts further daemons and waits until all know each other.
fn add_daemons(site: &Site, hosts: &[&str]) -> Vec<Daemon> {
    let others: Vec<_> = hosts
        .iter()
        .map(|h| Daemon::start(&site.store, h))
        .collect();
    wait("the members", || {
        let all = others.iter().chain([&site.daemon]);
        let heard = |d: &Daemon| d.logged("member alive").len() >= hosts.len();
        all.into_iter().all(heard)
    });
    others
}

/// Guards against LIMIT: one host alone sent an engine several times its rate, though another
/// engine was free.
#[test]
fn an_engine_gets_no_more_than_its_rate_from_one_host() {
    let site = Site::start();
    let from = name_rate(&site, &site.plain[0], "1", "/look/");
    let responses = send_to(&[&site.daemon], "/look/");
    assert!(responses.iter().all(|r| r.status == 200));
    let most = site.plain[0].most_arrivals(WINDOW, from);
    assert!(most <= allowed(1.0), "{most}");
}

/// Guards against LIMIT: each host for itself sent an engine the rate that it had named.
#[test]
fn an_engine_gets_no_more_than_its_rate_from_all_hosts_together() {
    let site = Site::start();
    let others = add_daemons(&site, &["edge-2", "edge-3", "edge-4"]);
    let from = name_rate(&site, &site.plain[0], "1.5", "/look/");
    let all: Vec<_> = others.iter().chain([&site.daemon]).collect();
    let responses = send_to(&all, "/look/");
    assert!(responses.iter().all(|r| r.status == 200));
    let most = site.plain[0].most_arrivals(WINDOW, from);
    assert!(most <= allowed(1.5), "{most}");
}

/// Guards against LIMIT where no other engine serves, and against a rate that is not used and
/// callers that all return at once.
#[test]
fn the_rate_of_the_only_engine_is_used_and_not_exceeded() {
    let site = Site::start();
    site.store.remove("servers", "p2");
    site.wait_for_change("p2", "gone");
    let others = add_daemons(&site, &["edge-2", "edge-3"]);
    let from = name_rate(&site, &site.plain[0], "4", "/look/");
    let all: Vec<_> = others.iter().chain([&site.daemon]).collect();
    let responses = send_to(&all, "/look/");
    let most = site.plain[0].most_arrivals(WINDOW, from);
    assert!(most <= allowed(4.0), "{most}");
    let served = responses.iter().filter(|r| r.status == 200).count();
    let usable = 4.0 * SEND_TIME.as_secs_f64();
    assert!(served as f64 >= usable / 2.0, "{served} of {usable}");
    let refused: Vec<_> = responses.iter().filter(|r| r.status != 200).collect();
    assert!(refused.iter().all(|r| r.status == 503), "{refused:?}");
    let mut delays: Vec<_> = refused.iter().map(|r| r.header("retry-after")).collect();
    delays.sort();
    delays.dedup();
    assert!(delays.len() > refused.len() / 8, "{delays:?}");
}

/// Guards against LIMIT: hosts that start after a rate was named began with a rate of their own,
/// and none knew of it when the engine's entry was back.
#[test]
fn hosts_that_start_later_keep_to_the_rate() {
    let site = Site::start();
    let from = name_rate(&site, &site.plain[0], "1", "/look/");
    site.store.remove("servers", "p1");
    site.wait_for_change("p1", "gone");
    let others = add_daemons(&site, &["edge-2", "edge-3"]);
    site.plain[0].register("ready");
    wait("its entry", || site.changes("p1", "appeared") == 2);
    let all: Vec<_> = others.iter().chain([&site.daemon]).collect();
    send_to(&all, "/look/");
    let most = site.plain[0].most_arrivals(WINDOW, from);
    assert!(most <= allowed(1.0), "{most}");
}

/// Guards against LIMIT: streams, which are chosen by what engines hold, were sent without asking
/// for the rate.
#[test]
fn streams_keep_to_the_rate_of_their_engine() {
    let site = Site::start();
    let from = name_rate(&site, &site.models[0], "1", "/stream/");
    let responses = send_to(&[&site.daemon], "/stream/");
    assert!(responses.iter().all(|r| r.status == 200));
    let most = site.models[0].most_arrivals(WINDOW, from);
    assert!(most <= allowed(1.0), "{most}");
}

/// Guards against an engine that takes nothing for a while, and gets nothing for ever.
#[test]
fn an_engine_that_takes_nothing_gets_requests_when_it_says_so_no_more() {
    let site = Site::start();
    site.store.remove("servers", "p2");
    site.wait_for_change("p2", "gone");
    let engine = &site.plain[0];
    let from = name_rate(&site, engine, "0", "/look/");
    assert_eq!(site.send("/look/", "in-between").status, 503);
    // Answers to checks are no requests, and name the rate too.
    wait("a check", || engine.health_checks() > 0);
    assert_eq!(site.send("/look/", "later").status, 503);
    assert_eq!(engine.most_arrivals(WINDOW, from), 0);
    engine.clear_headers();
    let mut sent = 0;
    wait("an answer", || {
        sent += 1;
        site.send("/look/", &format!("again{sent}")).status == 200
    });
}

/// Guards against an engine that gets nothing for ever because it has named a rate once, as
/// another engine is free: only the answer to a request says that the rate has ended.
#[test_case("/look/", None; "a look without a rate")]
#[test_case("/look/", Some("40"); "a look at a higher rate")]
#[test_case("/stream/", None; "a stream without a rate")]
#[test_case("/stream/", Some("40"); "a stream at a higher rate")]
fn an_engine_whose_rate_ends_gets_requests_beside_a_free_one(path: &str, next: Option<&str>) {
    let store = Store::start();
    let mut state = desired(5);
    // Room for both models, so that the leader leaves them where they are.
    state["services"][1]["engine"]["weightsMb"] = 200.into();
    store.put("op", "config", &state);
    let site = Site::start_with(store);
    let engine = match path {
        "/stream/" => &site.models[0],
        _ => &site.plain[0],
    };
    name_rate(&site, engine, "1", path);
    engine.clear_headers();
    if let Some(rate) = next {
        engine.add_header(LIMIT, rate);
    }
    let mut sent = 0;
    wait("the end of the rate", || {
        sent += 1;
        let answer = site.daemon.send(&request(path, &format!("later{sent}")));
        assert_eq!(answer.status, 200, "{answer:?}");
        thread::sleep(PAUSE);
        let changes = site.daemon.logged("engine's rate changed");
        let of_engine = changes.iter().rfind(|l| l["engine"] == *engine.id);
        of_engine.is_some_and(|l| l["rate"] == next.unwrap_or_default())
    });
}
