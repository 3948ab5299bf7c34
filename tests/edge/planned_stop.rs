//! Connections and requests during a planned stop of a daemon process.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::fakes::daemon::{Request, read_response, wait};
use crate::fakes::engine::Behavior;
use crate::site::Site;

/// Grace period of the daemon under test, s.
const GRACE_S: f64 = 6.0;

/// Starts a site whose daemon has [`GRACE_S`].
fn start() -> Site {
    let site = Site::start();
    site.daemon
        .write_settings(|s| s["bounds"]["grace_s"] = GRACE_S.into());
    site.daemon.signal(libc::SIGHUP);
    wait("the new settings", || {
        !site.daemon.logged("settings reloaded").is_empty()
    });
    site
}

/// Sends SIGTERM; returns when.
fn stop(site: &Site) -> Instant {
    site.daemon.signal(libc::SIGTERM);
    let at = Instant::now();
    wait("the stop", || !site.daemon.logged("stopping").is_empty());
    at
}

fn kept_connection(site: &Site, id: &str) -> TcpStream {
    let mut stream = site.connect();
    let request = Request::new("/look/", id);
    stream.write_all(&request.bytes(false)).unwrap();
    assert_eq!(read_response(&mut stream).status, 200);
    stream
}

/// SIGTERM closed an idle connection at once, so that the caller's next request met a
/// reset.
#[test]
fn an_idle_connection_serves_one_more_request_after_sigterm() {
    let site = start();
    let mut stream = kept_connection(&site, "l1");
    stop(&site);
    let request = Request::new("/look/", "l2");
    let _ = stream.write_all(&request.bytes(false));
    let answer = read_response(&mut stream);
    assert_eq!((answer.status, answer.complete), (200, true), "{answer:?}");
    assert_eq!(answer.header("connection"), Some("close"));
    assert_eq!(stream.read(&mut [0; 8]).unwrap(), 0);
}

/// SIGTERM closed a connection in the middle of a request's head.
#[test]
fn a_head_that_is_half_read_at_sigterm_is_answered() {
    let site = start();
    let mut stream = kept_connection(&site, "l1");
    let bytes = Request::new("/look/", "l2").bytes(false);
    stream.write_all(&bytes[..20]).unwrap();
    stop(&site);
    let _ = stream.write_all(&bytes[20..]);
    let answer = read_response(&mut stream);
    assert_eq!((answer.status, answer.complete), (200, true), "{answer:?}");
    assert_eq!(answer.header("connection"), Some("close"));
}

/// A request whose head was half read on a new connection at SIGTERM.
#[test]
fn a_first_head_that_is_half_read_at_sigterm_is_answered() {
    let site = start();
    let mut stream = site.connect();
    let bytes = Request::new("/look/", "l1").bytes(false);
    stream.write_all(&bytes[..20]).unwrap();
    stop(&site);
    let _ = stream.write_all(&bytes[20..]);
    assert_eq!(read_response(&mut stream).status, 200);
}

/// The process ended while the body of a request was arriving.
#[test]
fn a_body_that_arrives_during_the_stop_is_answered() {
    let site = start();
    let mut stream = site.connect();
    let bytes = Request::new("/look/", "l1").bytes(false);
    let (first, last) = bytes.split_at(bytes.len() - 3);
    stream.write_all(first).unwrap();
    let started = stop(&site);
    // Just after the listener has closed.
    sleep(
        (started + Duration::from_secs_f64(GRACE_S * 0.8))
            .saturating_duration_since(Instant::now()),
    );
    let _ = stream.write_all(last);
    let answer = read_response(&mut stream);
    assert!([200, 503].contains(&answer.status), "{answer:?}");
    assert!(answer.complete, "{answer:?}");
}

/// The listener closed with connections in its backlog, which the kernel reset.
#[test]
fn connections_in_the_backlog_at_the_close_are_answered() {
    let site = start();
    let started = stop(&site);
    site.daemon.signal(libc::SIGSTOP);
    let mut connections = Vec::new();
    for i in 0..50 {
        let mut stream = site.connect();
        let request = Request::new("/look/", &format!("l{i}"));
        stream.write_all(&request.bytes(false)).unwrap();
        connections.push(stream);
    }
    // Just after the time at which the listener closes.
    sleep(
        (started + Duration::from_secs_f64(GRACE_S * 0.8))
            .saturating_duration_since(Instant::now()),
    );
    site.daemon.signal(libc::SIGCONT);
    for stream in &mut connections {
        let answer = read_response(stream);
        assert!([200, 503].contains(&answer.status), "{answer:?}");
        assert!(answer.complete, "{answer:?}");
    }
}

/// Guards against MIXED: a request whose head had arrived while the process was frozen was
/// answered 408 without its id, because the stop checked the connection twice at once.
#[test]
fn a_head_that_arrives_in_a_freeze_is_read_before_the_stop_ends_its_connection() {
    let site = start();
    site.change_limits(7, &[("headerTimeoutMs", 300)]);
    let bytes = Request::new("/book/", "b1").bytes(false);
    let mut stream = site.connect();
    let started = stop(&site);
    stream.write_all(&bytes[..20]).unwrap();
    // Another connection that is answered shows that the start of the head was read.
    site.send("/look/", "l1");
    site.daemon.signal(libc::SIGSTOP);
    stream.write_all(&bytes[20..]).unwrap();
    // Just after the time at which the listener closes.
    sleep(
        (started + Duration::from_secs_f64(GRACE_S * 0.8))
            .saturating_duration_since(Instant::now()),
    );
    site.daemon.signal(libc::SIGCONT);
    let answer = read_response(&mut stream);
    assert_ne!(answer.status, 408, "{answer:?}");
    assert_eq!(answer.header("x-mastichinge-request-id"), Some("b1"));
}

/// Guards against a booking that is accepted and lost in the kill: the signal came during a
/// freeze of the process, which left less of the grace period than the daemon expected.
#[test]
fn a_stop_that_may_have_come_during_a_freeze_accepts_no_booking() {
    let site = start();
    let mut stream = kept_connection(&site, "l1");
    site.daemon.signal(libc::SIGSTOP);
    sleep(Duration::from_secs_f64(GRACE_S));
    site.daemon.signal(libc::SIGTERM);
    site.daemon.signal(libc::SIGCONT);
    wait("the stop", || !site.daemon.logged("stopping").is_empty());
    let _ = stream.write_all(&Request::new("/book/", "b1").bytes(false));
    let answer = read_response(&mut stream);
    // The idle connection may have been closed before the request came.
    assert!([503, 0].contains(&answer.status), "{answer:?}");
    assert_eq!(site.arrivals("b1"), 0);
}

/// The process ended while a request was at an engine: the caller got no answer at all.
#[test]
fn a_request_in_progress_at_the_exit_is_answered() {
    let mut site = start();
    site.set(Behavior::Silent);
    let mut stream = site.connect();
    let request = Request::new("/book/", "b1");
    stream.write_all(&request.bytes(false)).unwrap();
    wait("the request at an engine", || site.arrivals("b1") == 1);
    stop(&site);
    let answer = read_response(&mut stream);
    assert_eq!((answer.status, answer.complete), (504, true), "{answer:?}");
    assert!(site.daemon.wait_for_exit().success());
}

/// Guards against LOST: an answer that its engine had given while the process was suspended was
/// not passed on, because the time of the exit had come meanwhile.
#[test]
fn an_answer_that_arrives_in_a_suspension_is_passed_on_at_the_exit() {
    let mut site = start();
    site.set(Behavior::StallAtRequest);
    let mut stream = site.connect();
    let request = Request::new("/book/", "b1");
    stream.write_all(&request.bytes(false)).unwrap();
    wait("the request at an engine", || site.arrivals("b1") == 1);
    let started = stop(&site);
    site.daemon.signal(libc::SIGSTOP);
    sleep((started + Duration::from_secs_f64(GRACE_S)).saturating_duration_since(Instant::now()));
    site.daemon.signal(libc::SIGCONT);
    let answer = read_response(&mut stream);
    assert_eq!((answer.status, answer.complete), (200, true), "{answer:?}");
    assert!(site.daemon.wait_for_exit().success());
}

/// A store that did not answer delayed the close of the listeners, so that the process
/// was killed after the grace period, with requests in progress.
#[test]
fn a_silent_store_does_not_delay_the_exit() {
    let mut site = start();
    wait("the leadership", || {
        !site.daemon.logged("leadership acquired").is_empty()
    });
    site.store.silence();
    let started = stop(&site);
    assert!(site.daemon.wait_for_exit().success());
    let elapsed = started.elapsed().as_secs_f64();
    assert!(elapsed < GRACE_S, "exit after {elapsed} s");
}

/// An idle connection at the end of the stop is closed without a reset, and delays the
/// exit by no more than the grace period.
#[test]
fn idle_connections_do_not_delay_the_exit() {
    let mut site = start();
    let mut stream = kept_connection(&site, "l1");
    let started = stop(&site);
    assert_eq!(stream.read(&mut [0; 8]).unwrap(), 0);
    assert!(site.daemon.wait_for_exit().success());
    let elapsed = started.elapsed().as_secs_f64();
    assert!(elapsed < GRACE_S, "exit after {elapsed} s");
}
