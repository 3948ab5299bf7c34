//! Callers that stop reading: what is held for them is bounded, and others are served.

use std::io::Write;
use std::rc::Rc;
use std::time::Duration;

use mastichinge::edge::held_bytes::{HeldBytes, Outlet};
use mastichinge::edge::settings::SlowReaderSettings;
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
    wait("the end of the unread responses", || {
        site.daemon.logged("response ended unread").len() == CALLERS
    });
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
