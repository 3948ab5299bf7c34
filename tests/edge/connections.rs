//! Limits on callers' connections: idle time and the time for a head.

use std::io::{Read, Write};
use std::thread::sleep;
use std::time::Duration;

use crate::fakes::daemon::{Request, call, read_response, wait};
use crate::site::Site;

/// Idle limit of the tests that wait for it.
const SHORT_IDLE: Duration = Duration::from_millis(1_000);
/// More than a daemon keeps a connection open beyond its idle limit.
const PAST_IDLE: Duration = Duration::from_millis(5_000);

/// Pause of a caller between connecting and its first request.
const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// A head whose first bytes arrive late in the idle span got neither an answer nor a
/// refusal, as the idle limit also bounded the head.
#[test]
fn a_head_in_pieces_after_a_pause_is_answered() {
    let site = Site::with_limits(&[("idleTimeoutMs", SHORT_IDLE.as_millis() as u64)]);
    let mut stream = site.connect();
    assert_eq!(call(&mut stream, "l1").status, 200);
    let bytes = Request::new("/look/", "l2").bytes(false);
    sleep(SHORT_IDLE.mul_f64(0.8));
    stream.write_all(&bytes[..20]).unwrap();
    sleep(SHORT_IDLE.mul_f64(0.5));
    // After a close, the empty response tells.
    let _ = stream.write_all(&bytes[20..]);
    assert_eq!(read_response(&mut stream).status, 200);
}

/// An unfinished head was bounded by the idle limit and closed without an answer.
#[test]
fn an_unfinished_head_is_refused_after_its_time_limit() {
    let site = Site::with_limits(&[("headerTimeoutMs", 300), ("idleTimeoutMs", 5_000)]);
    let mut stream = site.connect();
    let bytes = Request::new("/look/", "l1").bytes(false);
    stream.write_all(&bytes[..20]).unwrap();
    let answer = read_response(&mut stream);
    assert_eq!((answer.status, answer.complete), (408, true), "{answer:?}");
    assert_eq!(answer.header("connection"), Some("close"));
}

/// An open connection kept the idle limit in force when it was opened, while callers
/// reused it within a raised one.
#[test]
fn a_raised_idle_limit_holds_for_open_connections() {
    let site = Site::with_limits(&[("idleTimeoutMs", SHORT_IDLE.as_millis() as u64)]);
    let mut stream = site.connect();
    assert_eq!(call(&mut stream, "l1").status, 200);
    site.change_limits(7, &[("idleTimeoutMs", 60_000)]);
    sleep(PAST_IDLE);
    assert_eq!(call(&mut stream, "l2").status, 200);
}

#[test]
fn a_lowered_idle_limit_holds_for_open_connections() {
    let site = Site::with_limits(&[("idleTimeoutMs", 600_000)]);
    let mut stream = site.connect();
    assert_eq!(call(&mut stream, "l1").status, 200);
    site.change_limits(7, &[("idleTimeoutMs", 200)]);
    stream
        .set_read_timeout(Some(Duration::from_secs(30)))
        .unwrap();
    assert_eq!(stream.read(&mut [0; 8]).unwrap(), 0);
}

/// A process that is stopped past the idle limit must serve a request that arrived
/// meanwhile.
#[test]
fn a_request_that_arrives_while_the_process_is_stopped_is_answered() {
    let site = Site::with_limits(&[
        ("idleTimeoutMs", SHORT_IDLE.as_millis() as u64),
        ("headerTimeoutMs", 300),
    ]);
    let mut connections = Vec::new();
    for i in 0..20 {
        let mut stream = site.connect();
        assert_eq!(call(&mut stream, &format!("first-{i}")).status, 200);
        connections.push(stream);
    }
    site.daemon.signal(libc::SIGSTOP);
    for (i, stream) in connections.iter_mut().enumerate() {
        let request = Request::new("/look/", &format!("second-{i}"));
        stream.write_all(&request.bytes(false)).unwrap();
    }
    sleep(PAST_IDLE);
    site.daemon.signal(libc::SIGCONT);
    for stream in &mut connections {
        assert_eq!(read_response(stream).status, 200);
    }
}

/// An open connection kept the limit of a head in force when it was opened, and refused
/// larger ones.
#[test]
fn a_raised_limit_of_heads_holds_for_open_connections() {
    let site = Site::with_limits(&[("maxHeaderBytes", 8_192)]);
    let message = "open connection renewed for larger heads";
    let is_renewed = || !site.daemon.logged(message).is_empty();
    let mut stream = site.connect();
    sleep(FIRST_PAUSE);
    assert_eq!(call(&mut stream, "l1").status, 200);
    assert!(!is_renewed(), "a new connection was renewed");
    site.change_limits(7, &[("maxHeaderBytes", 60_000)]);
    wait("the new limit", is_renewed);
    let request = Request::new("/look/", "l2").with("X-Long", &"x".repeat(40_000));
    let _ = stream.write_all(&request.bytes(false));
    assert_eq!(read_response(&mut stream).status, 200);
}
