//! Engines that send bytes that are no answer without end, or stop in the middle.

use std::io::{ErrorKind, Read, Write};
use std::time::Duration;

use test_case::test_case;

use crate::fakes::daemon::{Request, wait};
use crate::fakes::engine::behavior::Place;
use crate::fakes::engine::{Behavior, Engine};
use crate::site::{MODEL, Site};

/// Maximum size of a response that a daemon reads before it closes the connection, with
/// what the sockets' buffers take on loopback, bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// Number of bytes after which a caller takes a response as one without end.
const MAX_READ_BYTES: u64 = 512 << 20;
/// Time for which a caller waits for more of a response; several times its deadline.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Returns the sizes of all responses without end whose connection has closed.
fn endless_bytes(site: &Site) -> Vec<usize> {
    let engines = site.plain.iter().chain(&site.models);
    engines.flat_map(Engine::endless_bytes).collect()
}

/// Asserts that the daemon has closed the connection of each of `runs` responses without
/// end soon, and serves others.
fn assert_closed(site: &Site, runs: usize) {
    wait("the connections to close", || {
        endless_bytes(site).len() == runs
    });
    let sizes = endless_bytes(site);
    assert!(sizes.iter().all(|s| *s < MAX_RESPONSE_BYTES), "{sizes:?}");
    site.set(Behavior::Correct);
    assert_eq!(site.send("/look/", "later").status, 200);
}

/// Sends a request with a short deadline, and asserts that the daemon ends the response.
fn assert_ends_at_deadline(site: &Site, request: &Request) {
    let mut request = request.clone();
    request.headers[0].1 = "700".to_owned();
    let mut caller = site.connect();
    caller.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    caller.write_all(&request.bytes(true)).unwrap();
    let mut bytes = Vec::new();
    let ended = caller.take(MAX_READ_BYTES).read_to_end(&mut bytes);
    if let Err(error) = ended {
        assert_eq!(error.kind(), ErrorKind::ConnectionReset);
    }
    assert!(
        (bytes.len() as u64) < MAX_READ_BYTES,
        "the response goes on"
    );
    assert!(bytes.starts_with(b"HTTP/1.1 200"));
    assert!(!bytes.ends_with(b"0\r\n\r\n"));
}

/// Guards against a booking that keeps its connection until its deadline while its engine
/// sends bytes that are no answer.
#[test_case(Place::Garbage; "garbage")]
#[test_case(Place::StatusLine; "status line")]
#[test_case(Place::HeaderLine; "header line")]
#[test_case(Place::HeaderLines; "header lines")]
#[test_case(Place::Informational; "informational responses")]
#[test_case(Place::Body; "body")]
#[test_case(Place::Chunk; "chunk")]
#[test_case(Place::Chunks; "chunks")]
#[test_case(Place::ChunkExtension; "chunk extension")]
#[test_case(Place::Trailers; "trailers")]
fn a_booking_is_answered_502_after_bytes_without_end(place: Place) {
    let site = Site::start();
    site.set(Behavior::Endless(place));
    let answer = site.send("/book/", "b1");
    assert_eq!((answer.status, site.runs("b1")), (502, 1), "{answer:?}");
    assert_closed(&site, 1);
}

/// Guards against a stream that is kept open by bytes that contain no event.
#[test_case(Place::Body; "body")]
#[test_case(Place::Chunk; "chunk")]
#[test_case(Place::Chunks; "chunks")]
#[test_case(Place::HeaderLines; "header lines")]
#[test_case(Place::Informational; "informational responses")]
fn a_stream_is_answered_502_after_bytes_without_end(place: Place) {
    let site = Site::start();
    site.set(Behavior::Endless(place));
    let answer = site.stream("/stream/", "s1");
    assert_eq!((answer.status, site.runs("s1")), (502, 2), "{answer:?}");
    assert_closed(&site, 2);
}

/// Guards against bytes after a complete response that are read without end, or taken for
/// the next response.
#[test]
fn bytes_without_end_after_a_response_belong_to_no_request() {
    let site = Site::start();
    site.set(Behavior::Endless(Place::AfterResponse));
    for i in 0..4 {
        let answer = site.send("/book/", &format!("b{i}"));
        assert_eq!(
            (answer.status, answer.body.as_str()),
            (200, ""),
            "{answer:?}"
        );
    }
    assert_closed(&site, 4);
}

/// Guards against bytes that arrive once the connection is used again and are taken for a
/// response, or for a proof that the booking has not run.
#[test]
fn bytes_without_end_on_a_reused_connection_belong_to_no_request() {
    let site = Site::start();
    site.set(Behavior::EndlessOnReuse);
    let mut failed = 0;
    for i in 0..4 {
        let id = format!("b{i}");
        let answer = site.send("/book/", &id);
        assert_eq!(answer.header("x-mastichinge-not-run"), None, "{answer:?}");
        assert_eq!(site.runs(&id), 1, "{answer:?}");
        if answer.status == 200 {
            assert_eq!(answer.body, format!("answer to {id}"));
            continue;
        }
        assert_eq!(answer.status, 502, "{answer:?}");
        failed += 1;
    }
    assert!(failed > 0, "no connection was used again");
    assert_closed(&site, failed);
}

/// Guards against a response whose framing towards the caller follows a length that the
/// engine's framing overrides.
#[test_case(6; "a short response")]
#[test_case(600_000; "a long response")]
fn a_length_beside_chunks_is_not_relayed(size: usize) {
    let site = Site::start();
    site.set(Behavior::TwoLengths(size));
    let answer = site.send("/book/", "b1");
    let is_whole = answer.body == "x".repeat(size);
    let seen = (answer.status, answer.body.len(), answer.complete);
    assert!(
        is_whole || !answer.complete || answer.status == 502,
        "{seen:?}"
    );
}

/// Guards against a long response that stays open beyond its deadline when its engine
/// stops.
#[test]
fn a_long_response_of_a_silent_engine_ends_at_its_deadline() {
    let site = Site::start();
    site.set(Behavior::LongSilent);
    assert_ends_at_deadline(&site, &Request::new("/book/", "b1"));
    wait("the run's end", || {
        site.plain.iter().any(|e| !e.cancelled().is_empty())
    });
}

/// Guards against a stream that goes on beyond its deadline while events come without
/// end.
#[test_case(Place::Events; "new events")]
#[test_case(Place::RepeatedEvent; "the same event")]
fn a_stream_without_end_ends_at_its_deadline(place: Place) {
    let site = Site::start();
    site.set(Behavior::Endless(place));
    let request = Request::new("/stream-rigid/", "s1").with(MODEL, "m1");
    assert_ends_at_deadline(&site, &request);
    wait("the run's end", || endless_bytes(&site).len() == 1);
}
