//! Where a stream ends: one that ends inside an event has been broken off, whatever marks
//! the end of its body.

use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;

use std::rc::Rc;

use bytes::Bytes;
use http_body_util::BodyExt;
use mastichinge::edge::forward::response::{PartSender, Truncated};
use test_case::test_case;
use tokio::runtime::Builder;

use crate::fakes::Framing;
use crate::fakes::daemon::{Request, WAIT_TIMEOUT, wait};
use crate::fakes::engine::{Behavior, Engine};
use crate::site::{MODEL, Site, all_events, assert_whole, events};

/// Starts a deployment whose engines mark the ends of their streams in this way.
fn start(framing: Framing) -> Site {
    let site = Site::start();
    for engine in &site.models {
        engine.set_framing(framing);
    }
    site
}

/// Returns how many requests reached the engine.
fn arrivals(engine: &Engine) -> usize {
    engine.arrivals().len()
}

/// Sends streams until one has come to the engine that breaks off; each is whole.
fn assert_streams_are_resumed(site: &Site, breaking: Behavior) {
    site.models[0].set_behavior(breaking);
    let mut sent = 0;
    wait("a stream at the engine that breaks off", || {
        assert_whole(&site.stream("/stream/", &format!("s{sent}")));
        sent += 1;
        arrivals(&site.models[0]) > 0
    });
}

/// Guards against ORDER: a stream that ended in order inside an event reached its caller
/// as complete.
#[test_case(Framing::Close, 0; "by a close, in the first event")]
#[test_case(Framing::Close, 2; "by a close, in a later event")]
#[test_case(Framing::Chunked, 0; "by the last chunk, in the first event")]
#[test_case(Framing::Chunked, 2; "by the last chunk, in a later event")]
fn a_stream_that_ends_inside_an_event_is_resumed(framing: Framing, whole: u64) {
    let site = start(framing);
    assert_streams_are_resumed(&site, Behavior::EndInside(whole));
}

/// Guards against ORDER where the stream may not be resumed, and against a part of an
/// event in what the caller gets.
#[test_case(Framing::Close; "by a close")]
#[test_case(Framing::Chunked; "by the last chunk")]
fn a_stream_that_ends_inside_an_event_and_may_not_be_resumed_is_truncated(framing: Framing) {
    let site = start(framing);
    site.set(Behavior::EndInside(2));
    let answer = site.stream("/stream-rigid/", "s1");
    assert_eq!((answer.status, answer.complete), (200, false), "{answer:?}");
    assert_eq!(
        answer.body,
        "id: 1\ndata: token 1\n\nid: 2\ndata: token 2\n\n"
    );
    assert_eq!(site.arrivals("s1"), 1);
}

/// Guards against ORDER where both the first run and the resumed one are broken off.
#[test_case(Framing::Close; "by a close")]
#[test_case(Framing::Chunked; "by the last chunk")]
fn a_stream_that_ends_inside_an_event_at_each_engine_is_truncated(framing: Framing) {
    let site = start(framing);
    site.set(Behavior::EndInside(2));
    let answer = site.stream("/stream/", "s1");
    assert_eq!((answer.status, answer.complete), (200, false), "{answer:?}");
    assert_eq!(events(&answer.body), [1, 2]);
    assert_eq!(site.arrivals("s1"), 2);
}

/// Guards against an empty stream that reaches its caller as complete although its
/// connection ended before the first event.
#[test]
fn a_stream_that_ends_by_a_close_before_its_first_event_is_sent_again() {
    let site = start(Framing::Close);
    assert_streams_are_resumed(&site, Behavior::EndAfter(0));
}

/// Guards against a request that crashes engines and is never held, because the broken
/// streams counted as served.
#[test]
fn a_request_whose_streams_end_inside_an_event_is_held() {
    let site = start(Framing::Close);
    site.set(Behavior::EndInside(0));
    let request = |id: &str| Request {
        body: "the same body".to_owned(),
        ..Request::new("/stream/", id).with(MODEL, "m1")
    };
    assert_eq!(site.daemon.send(&request("s1")).status, 502);
    let held = site.daemon.send(&request("s2"));
    assert_eq!((held.status, site.arrivals("s2")), (503, 0), "{held:?}");
}

/// Sends a stream's request as a caller that knows no chunks.
fn send_without_chunks(site: &Site) -> TcpStream {
    let mut caller = site.connect();
    caller.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    let request = format!(
        "POST /stream-rigid/ HTTP/1.0\r\nHost: firm.example\r\n\
         X-Mastichinge-Request-Id: s1\r\n{MODEL}: m1\r\nContent-Length: 0\r\n\r\n"
    );
    caller.write_all(request.as_bytes()).unwrap();
    caller
}

/// Reads the response until the connection ends; returns the response and how it ended.
fn read_to_end(mut caller: TcpStream) -> (String, Result<(), ErrorKind>) {
    let mut bytes = Vec::new();
    let ended = caller.read_to_end(&mut bytes);
    let text = String::from_utf8_lossy(&bytes).into_owned();
    (text, ended.map(|_| ()).map_err(|e| e.kind()))
}

/// Guards against ORDER towards callers without chunks, who take the end of the
/// connection for the end of the response.
#[test]
fn a_truncated_stream_ends_with_a_reset_for_a_caller_without_chunks() {
    let site = Site::start();
    site.set(Behavior::ResetAfter(2));
    let (text, ended) = read_to_end(send_without_chunks(&site));
    assert_eq!(ended, Err(ErrorKind::ConnectionReset), "{text}");
}

/// Guards against ORDER towards such callers when the daemon is killed.
#[test]
fn a_stream_of_a_killed_daemon_ends_with_a_reset_for_a_caller_without_chunks() {
    let site = Site::start();
    site.set(Behavior::PauseAfter(2));
    let mut caller = send_without_chunks(&site);
    let mut text = String::new();
    let mut chunk = [0; 4_096];
    while !text.contains("id: 2") {
        let count = caller.read(&mut chunk).unwrap();
        assert_ne!(count, 0, "{text}");
        text.push_str(&String::from_utf8_lossy(&chunk[..count]));
    }
    site.daemon.signal(libc::SIGKILL);
    let (_, ended) = read_to_end(caller);
    assert_eq!(ended, Err(ErrorKind::ConnectionReset));
}

/// A complete stream ends in order for a caller without chunks.
#[test]
fn a_whole_stream_ends_in_order_for_a_caller_without_chunks() {
    let site = Site::start();
    let (text, ended) = read_to_end(send_without_chunks(&site));
    assert_eq!(ended, Ok(()));
    assert_eq!(events(&text), all_events());
}

/// A stream that ends with its connection between two events is complete.
#[test]
fn a_stream_without_length_or_chunks_is_relayed_whole() {
    let site = start(Framing::Close);
    for i in 0..4 {
        let id = format!("s{i}");
        assert_whole(&site.stream("/stream/", &id));
        assert_eq!(site.arrivals(&id), 1);
    }
}

/// A stream that is reset has been broken off, also between two events.
#[test]
fn a_stream_without_length_or_chunks_that_is_reset_is_resumed() {
    let site = start(Framing::Close);
    assert_streams_are_resumed(&site, Behavior::ResetAfter(2));
}

/// Reads a relayed body whose sender sends some bytes, then its end if `ends`, and goes.
fn read_relayed(ends: bool) -> Result<Bytes, Truncated> {
    let (sender, body) = PartSender::new(&Rc::default());
    sender.send("some".into()).unwrap();
    if ends {
        sender.end().unwrap();
    }
    drop(sender);
    let runtime = Builder::new_current_thread().build().unwrap();
    let body = runtime.block_on(body.collect());
    body.map(|b| b.to_bytes())
}

/// Guards against ORDER when a relay ends without saying that its body is complete.
#[test]
fn a_relayed_body_is_complete_only_after_its_end() {
    assert_eq!(read_relayed(false), Err(Truncated));
    assert_eq!(read_relayed(true), Ok("some".into()));
}
