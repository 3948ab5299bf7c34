//! Hostile or faulty callers must not affect others.

use std::io::{Read, Write};
use std::net::Shutdown;

use crate::fakes::daemon::{Request, exchange, wait};
use crate::fakes::engine::{Behavior, Engine};
use crate::site::{MODEL, Site, events};

/// Connections of a flood; more than a well-behaved caller opens.
const FLOOD_CONNECTIONS: usize = 300;

#[test]
fn idle_connections_and_unfinished_heads_block_no_other_caller() {
    let site = Site::start();
    let mut connections = Vec::new();
    for i in 0..FLOOD_CONNECTIONS {
        let mut stream = site.connect();
        if i % 2 == 0 {
            stream
                .write_all(b"POST /look/ HTTP/1.1\r\nHost: fi")
                .unwrap();
        }
        connections.push(stream);
    }
    for i in 0..5 {
        assert_eq!(site.send("/look/", &format!("l{i}")).status, 200);
    }
    assert_eq!(site.daemon.get("/readyz").status, 200);
}

#[test]
fn an_oversized_head_is_refused() {
    let site = Site::start();
    let request = Request::new("/look/", "l1").with("X-Long", &"x".repeat(40_000));
    let answer = site.daemon.send(&request);
    assert_eq!(answer.status, 431, "{answer:?}");
    assert_eq!(site.arrivals("l1"), 0);
}

/// A body that looks like another request is forwarded as a body.
#[test]
fn a_request_inside_a_body_is_not_run() {
    let site = Site::start();
    let inner = String::from_utf8(Request::new("/book/", "inner").bytes(false)).unwrap();
    let request = Request {
        body: inner.clone(),
        ..Request::new("/look/", "outer")
    };
    assert_eq!(site.daemon.send(&request).status, 200);
    assert_eq!((site.arrivals("outer"), site.arrivals("inner")), (1, 0));
    let arrived: Vec<_> = site.plain.iter().flat_map(Engine::arrivals).collect();
    assert_eq!(arrived[0].body, inner.as_bytes());
}

/// Request smuggling with both `Content-Length` and `Transfer-Encoding`: the request
/// inside the body must not reach an engine.
#[test]
fn two_body_lengths_smuggle_no_request() {
    let site = Site::start();
    let inner = String::from_utf8(Request::new("/book/", "inner").bytes(false)).unwrap();
    let chunked = format!("0\r\n\r\n{inner}");
    let text = format!(
        "POST /look/ HTTP/1.1\r\nHost: firm.example\r\nX-Mastichinge-Request-Id: outer\r\n\
         Content-Length: {}\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n{chunked}",
        chunked.len()
    );
    exchange(site.connect(), text.as_bytes());
    assert_eq!(site.arrivals("inner"), 0);
}

#[test]
fn a_chunked_body_arrives_whole() {
    let site = Site::start();
    let text = "POST /look/ HTTP/1.1\r\nHost: firm.example\r\n\
                X-Mastichinge-Request-Id: l1\r\nTransfer-Encoding: chunked\r\n\
                Connection: close\r\n\r\n4\r\nfour\r\n6\r\n and 6\r\n0\r\n\r\n";
    let answer = exchange(site.connect(), text.as_bytes());
    assert_eq!(answer.status, 200);
    let arrived: Vec<_> = site.plain.iter().flat_map(Engine::arrivals).collect();
    assert_eq!(arrived[0].body, b"four and 6");
    assert_eq!(arrived[0].header("content-length"), "10");
}

#[test]
fn a_request_with_a_truncated_body_reaches_no_engine() {
    let site = Site::start();
    let mut stream = site.connect();
    let bytes = Request::new("/look/", "l1").bytes(true);
    stream.write_all(&bytes[..bytes.len() - 3]).unwrap();
    stream.shutdown(Shutdown::Write).unwrap();
    let mut answer = Vec::new();
    // The daemon may reset or close the connection.
    let _ = stream.read_to_end(&mut answer);
    assert!(!answer.starts_with(b"HTTP/1.1 200"), "{answer:?}");
    assert_eq!(site.arrivals("l1"), 0);
}

#[test]
fn callers_that_never_read_block_no_other_caller() {
    let site = Site::start();
    let mut connections = Vec::new();
    for i in 0..20 {
        let mut stream = site.connect();
        let request = Request::new("/stream/", &format!("n{i}")).with(MODEL, "m1");
        stream.write_all(&request.bytes(false)).unwrap();
        connections.push(stream);
    }
    wait("their requests at engines", || site.arrivals("n19") == 1);
    let answer = site.stream("/stream/", "s1");
    assert_eq!(answer.status, 200);
    assert_eq!(events(&answer.body).len(), 5);
}

/// Callers disconnect while engines run their requests, which must be cancelled.
#[test]
fn the_runs_of_callers_that_disconnect_are_cancelled() {
    let site = Site::start();
    site.set(Behavior::Silent);
    let mut connections = Vec::new();
    for i in 0..20 {
        let mut stream = site.connect();
        let request = Request::new("/book/", &format!("b{i}"));
        stream.write_all(&request.bytes(false)).unwrap();
        connections.push(stream);
    }
    wait("their requests at engines", || {
        (0..20).all(|i| site.arrivals(&format!("b{i}")) == 1)
    });
    connections.clear();
    wait("the end of all runs", || {
        let ended: usize = site.plain.iter().map(|e| e.cancelled().len()).sum();
        ended == 20
    });
    site.set(Behavior::Correct);
    assert_eq!(site.send("/look/", "l1").status, 200);
}

/// The refusal did not announce the close, and a reset for the unread bytes of the body
/// could destroy it on its way.
#[test]
fn the_refusal_of_a_long_body_reaches_a_caller_that_still_sends() {
    let site = Site::with_limits(&[("maxBodyBytes", 65_536)]);
    for i in 0..10 {
        let request = Request {
            body: "x".repeat(4 << 20),
            ..Request::new("/look/", &format!("l{i}"))
        };
        let answer = exchange(site.connect(), &request.bytes(false));
        assert_eq!((answer.status, answer.complete), (413, true), "{answer:?}");
        assert_eq!(answer.header("connection"), Some("close"));
    }
}

/// The same for a head that is too long.
#[test]
fn the_refusal_of_a_long_head_reaches_a_caller_that_still_sends() {
    let site = Site::with_limits(&[]);
    for i in 0..10 {
        let long = "x".repeat(1 << 20);
        let request = Request::new("/look/", &format!("l{i}")).with("X-Long", &long);
        let answer = exchange(site.connect(), &request.bytes(false));
        assert_eq!(answer.status, 431, "{answer:?}");
    }
}

/// Guards against the run of a caller that has left going on until the deadline, because
/// the caller had sent more than its request.
#[test]
fn the_run_of_a_caller_that_sent_more_than_its_request_is_cancelled() {
    let site = Site::start();
    site.set(Behavior::Silent);
    let mut stream = site.connect();
    let mut bytes = Request::new("/book/", "b1").bytes(false);
    bytes.extend_from_slice(&Request::new("/book/", "b2").bytes(false));
    stream.write_all(&bytes).unwrap();
    wait("the request at an engine", || site.arrivals("b1") == 1);
    drop(stream);
    wait("the end of its run", || {
        let ended: usize = site.plain.iter().map(|e| e.cancelled().len()).sum();
        ended == 1
    });
    let at_deadline = site.daemon.logged("request refused");
    assert!(at_deadline.is_empty(), "{at_deadline:?}");
}
