//! Callers that stop reading: what is held for them is bounded, and others are served.

use std::io::{Read, Write};
use std::rc::Rc;
use std::thread::sleep;
use std::time::Duration;

use futures_util::FutureExt;
use mastichinge::edge::connections::{Connections, Phase, PhaseLimits};
use mastichinge::edge::desired::RequestLimits;
use mastichinge::edge::held_bytes::{HeldBytes, Outlet};
use mastichinge::edge::settings::{self, SlowReaderSettings};
use mastichinge::edge::slow_readers::{Held, HoldLimits, Next, UnreadCause};
use test_case::test_case;

use crate::fakes::daemon::{Request, exchange, wait};
use crate::fakes::engine::Behavior;
use crate::site::Site;

/// Callers that do not read; with a few reads of their engines each, they exceed the memory
/// of a small host.
const CALLERS: usize = 24;
/// Size of a response, which exceeds what the kernel's buffers take, bytes.
const RESPONSE_BYTES: usize = 24 << 20;
/// Maximum memory of the daemon: that of an idle one in this build, what is held, and a read
/// of each connection, kB.
const MAX_MEMORY_KB: u64 = 90_000;

/// What a slow caller reads at a time, bytes.
const SLOW_READ_BYTES: usize = 256 << 10;
/// Pause of a slow caller before it reads again.
const SLOW_READ_PAUSE: Duration = Duration::from_millis(10);

const SECOND: Duration = Duration::from_secs(1);

fn limits() -> HoldLimits {
    HoldLimits::new(&SlowReaderSettings::default(), 120)
}

/// Guards against a caller that reads slowly being ended, an engine being left unread for
/// longer than it bears, and a response that nobody reads being held on.
#[test_case((65_536, 0), (0, 0) => Next::Read; "little is held")]
#[test_case((65_537, 0), (0, 0) => Next::Wait(SECOND); "the caller gets time to read")]
#[test_case((65_537, 0), (1, 1) => Next::Read; "the engine is left unread no longer")]
#[test_case((468_750, 0), (0, 9) => Next::Wait(SECOND); "a pause is needed to end")]
#[test_case((468_750, 0), (1, 1) => Next::Wait(2 * SECOND); "a full response waits")]
#[test_case((468_750, 0), (1, 3) => Next::End(UnreadCause::ResponseFull); "a full response ends")]
#[test_case((0, 15_000_000), (9, 9) => Next::Read; "a caller that has read all goes on")]
#[test_case((1, 15_000_000), (0, 0) => Next::Wait(SECOND); "a full host reads nothing ahead")]
#[test_case((1, 15_000_000), (1, 1) => Next::End(UnreadCause::HostFull); "a full host ends")]
fn a_response_is_read_on_while(held: (u64, u64), secs: (u32, u32)) -> Next {
    limits().decide(&Held {
        response: held.0,
        host: held.1,
        paused: SECOND * secs.0,
        unread: SECOND * secs.1,
    })
}

/// Guards against an account that loses or keeps bytes.
#[test]
fn bytes_are_counted_until_their_chunk_is_dropped() {
    let host = Rc::<HeldBytes>::default();
    let (one, two) = (Outlet::new(&host), Outlet::new(&host));
    let chunks = [one.hold("some".into()), two.hold("more bytes".into())];
    assert_eq!(host.get(), one.held() + two.held());
    assert!(one.held() >= 4 && two.held() >= 10);
    drop(chunks);
    assert_eq!((host.get(), one.held(), two.held()), (0, 0, 0));
}

/// Returns whether the run of a request has begun and ended.
fn has_ended(site: &Site, id: &str) -> bool {
    let spans = site.plain.iter().flat_map(|e| e.run_spans(id));
    let spans: Vec<_> = spans.collect();
    !spans.is_empty() && spans.iter().all(|s| s.end.is_some())
}

/// Guards against a connection that stays although nothing can be written to it once its
/// engine is done, and against one that ends while its request runs or its caller reads.
#[test]
fn a_connection_ends_when_nothing_can_be_written() {
    let connections = Rc::<Connections>::default();
    let open = connections.add(0);
    let connection = &open.state;
    let limits =
        PhaseLimits::accepting(&RequestLimits::default()).with_unread(Duration::ZERO, true);
    let is_ended = || {
        connections.check(&limits);
        connection.ended().now_or_never().is_some()
    };
    connection.start(Phase::Request);
    assert!(!is_ended() && !is_ended());
    connection.record_blocked();
    connection.record_written();
    assert!(!is_ended() && !is_ended());
    connection.record_blocked();
    wait("the end of the connection", is_ended);
}

/// Guards against a caller that is cut because it reads slower than its engine writes.
#[test]
fn a_caller_that_reads_slowly_gets_the_whole_response() {
    let site = Site::start();
    site.set(Behavior::Long(RESPONSE_BYTES));
    let mut stream = site.connect();
    let request = Request::new("/look/", "slow").bytes(true);
    stream.write_all(&request).unwrap();
    let (mut bytes, mut block) = (Vec::new(), vec![0; SLOW_READ_BYTES]);
    loop {
        match stream.read(&mut block).unwrap() {
            0 => break,
            n => bytes.extend_from_slice(&block[..n]),
        }
        sleep(SLOW_READ_PAUSE);
    }
    // The response has a length.
    let head = bytes.windows(4).position(|w| w == b"\r\n\r\n").unwrap();
    assert_eq!(bytes.len() - head - 4, RESPONSE_BYTES);
}

/// Guards against callers that stop reading and take the memory of a host, which ends its
/// process, or the turn of others.
#[test]
fn callers_that_stop_reading_cost_no_memory_and_no_other_caller() {
    let site = Site::start();
    site.daemon.write_settings(|s| {
        s["slow_readers"] = serde_json::json!({
            "engine_wait_ms": 100, "unread_ms": 300, "host_kb": 4_000,
        });
    });
    site.daemon.signal(libc::SIGHUP);
    wait("the new settings", || {
        !site.daemon.logged("settings reloaded").is_empty()
    });
    site.set(Behavior::Long(RESPONSE_BYTES));
    let mut callers = Vec::new();
    for i in 0..CALLERS {
        let mut stream = site.connect();
        let request = Request::new("/look/", &format!("n{i}"));
        stream.write_all(&request.bytes(false)).unwrap();
        callers.push(stream);
    }
    // The kernel may end a connection before the daemon does.
    wait("the end of the unread responses", || {
        (0..CALLERS).all(|i| has_ended(&site, &format!("n{i}")))
    });
    let unread = site.daemon.logged("response ended unread");
    assert!(!unread.is_empty());
    let answer = site.send("/look/", "reads");
    assert_eq!(
        (answer.status, answer.complete, answer.body.len()),
        (200, true, RESPONSE_BYTES)
    );
    let memory_kb = site.daemon.peak_memory_kb();
    assert!(memory_kb < MAX_MEMORY_KB, "{memory_kb} kB");
    for stream in callers {
        let answer = exchange(stream, b"");
        assert!(!answer.complete, "an unread response looks complete");
    }
}

/// Guards against limits of zero, under which every caller would be one that does not read.
#[test]
fn limits_of_zero_are_refused() {
    let text = r#"{"slow_readers": {"unread_ms": 0, "host_kb": 0}}"#;
    let error = settings::parse(text).unwrap_err().to_string();
    for path in ["/slow_readers/unread_ms", "/slow_readers/host_kb"] {
        assert!(error.contains(path), "{error}");
    }
}
