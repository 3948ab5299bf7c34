//! Callers that open more connections than a daemon serves.

use std::io::Write;
use std::thread::sleep;
use std::time::Duration;

use crate::fakes::daemon::{call, wait};
use crate::site::Site;

/// Number of callers' connections that a daemon serves.
const MAX_CONNECTIONS: usize = 1_800;
/// Number of connections beyond those on which a daemon refuses requests.
const MAX_REFUSED: usize = 200;
/// Longer than a connection is idle before another may take its place.
const LONG_IDLE: Duration = Duration::from_secs(2);

/// Above the limit of connections, a caller's connection was reset.
#[test]
fn a_new_connection_replaces_the_longest_idle_one() {
    let site = Site::with_limits(&[("idleTimeoutMs", 600_000)]);
    let mut idle: Vec<_> = (0..MAX_CONNECTIONS).map(|_| site.connect()).collect();
    // Connections are accepted in order, so all others were accepted before this answer.
    let last = idle.last_mut().unwrap();
    assert_eq!(call(last, "last").status, 200);
    sleep(LONG_IDLE);
    for i in 0..20 {
        let mut stream = site.connect();
        assert_eq!(call(&mut stream, &format!("l{i}")).status, 200);
        idle.push(stream);
    }
}

/// Above the limit of connections, a caller's connection was reset.
#[test]
fn a_request_beyond_the_busy_connections_is_refused() {
    let site = Site::with_limits(&[("headerTimeoutMs", 600_000)]);
    let mut busy = Vec::new();
    for _ in 0..MAX_CONNECTIONS {
        let mut stream = site.connect();
        stream.write_all(b"POST /look/ HTTP/1.1\r\nHo").unwrap();
        busy.push(stream);
    }
    let answer = site.send("/book/", "b1");
    assert_eq!((answer.status, answer.complete), (503, true), "{answer:?}");
    assert!(answer.header("retry-after").is_some(), "{answer:?}");
    assert_eq!(answer.header("connection"), Some("close"));
    assert_eq!(site.arrivals("b1"), 0);
}

/// Guards against a listener that accepts nothing more, neither to serve nor to refuse,
/// while idle connections beyond its maximum stay open.
#[test]
fn idle_connections_beyond_the_busy_ones_do_not_keep_others_out() {
    let site = Site::with_limits(&[("headerTimeoutMs", 600_000), ("idleTimeoutMs", 600_000)]);
    let mut open = Vec::new();
    for _ in 0..MAX_CONNECTIONS {
        let mut stream = site.connect();
        stream.write_all(b"POST /look/ HTTP/1.1\r\nHo").unwrap();
        open.push(stream);
    }
    open.extend((0..MAX_REFUSED).map(|_| site.connect()));
    wait("the refused connections", || {
        let message = "too many busy connections: a further one is refused";
        site.daemon.logged(message).len() == MAX_REFUSED
    });
    sleep(LONG_IDLE);
    let answer = site.send("/book/", "b1");
    assert_eq!((answer.status, answer.complete), (503, true), "{answer:?}");
    assert_eq!(site.arrivals("b1"), 0);
}
