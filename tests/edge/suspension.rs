//! Suspensions of the daemon: what happened meanwhile is not taken for a silence of engines.

use std::thread;

use test_case::test_case;

use crate::fakes::daemon::{Response, wait};
use crate::fakes::engine::{Behavior, STALL};
use crate::site::{Site, assert_whole};

/// Suspends the daemon while the request `r1` is at an engine that stalls, until the engine has
/// answered. Returns nothing if the silence was noticed before.
fn send_in_suspension(site: &Site, path: &str) -> Option<Response> {
    thread::scope(|scope| {
        let sending = scope.spawn(|| match path {
            "/look/" | "/book/" => site.send(path, "r1"),
            _ => site.stream(path, "r1"),
        });
        wait("a stalled engine", || {
            let engines = site.plain.iter().chain(&site.models);
            engines.into_iter().any(|e| e.has_stalled())
        });
        site.daemon.signal(libc::SIGSTOP);
        let is_noticed = site.arrivals("r1") > 1;
        thread::sleep(STALL * 2);
        site.daemon.signal(libc::SIGCONT);
        let answer = sending.join().unwrap();
        (!is_noticed).then_some(answer)
    })
}

/// Guards against TWICE and a false answer: an engine that answered while the daemon was
/// suspended was taken for silent, and the request ran at another engine.
#[test_case("/look/", Behavior::StallAtRequest; "a lookup")]
#[test_case("/book/", Behavior::StallAtRequest; "a booking")]
#[test_case("/stream/", Behavior::StallAtRequest; "a stream before its response")]
#[test_case("/stream/", Behavior::StallAfter(2); "a stream between events")]
#[test_case("/stream-rigid/", Behavior::StallAfter(2); "a stream that may not be resumed")]
fn an_engine_that_answers_during_a_suspension_is_not_silent(path: &str, stall: Behavior) {
    let (site, answer) = loop {
        let site = Site::start();
        site.set(stall);
        if let Some(answer) = send_in_suspension(&site, path) {
            break (site, answer);
        }
    };
    match path {
        "/look/" | "/book/" => {
            assert_eq!((answer.status, answer.complete), (200, true), "{answer:?}");
        }
        _ => assert_whole(&answer),
    }
    assert_eq!(site.arrivals("r1"), 1);
}
