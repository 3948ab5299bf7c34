//! Engines that do not read the bodies of requests: what is held for them is bounded, and other
//! callers are served.

use std::thread;

use mastichinge::edge::body_memory::BodyMemory;
use test_case::test_case;

use crate::fakes::daemon::{Request, wait};
use crate::fakes::engine::Behavior;
use crate::site::{Site, assert_whole};

/// Size of a large upload, bytes; more than the buffers of both sockets hold.
const LARGE_BYTES: usize = 8 << 20;
/// Size of a usual request, bytes.
const USUAL_BYTES: usize = 55 << 10;
/// Number of large uploads; together they exceed the memory of a small host.
const UPLOADS: usize = 24;
/// Number of other callers.
const OTHERS: usize = 8;
/// Memory of a small host, MB.
const MEMORY_MB: u64 = 120;
/// Maximum memory of the daemon: that of an idle one in this build, the quarter of the memory
/// that is for bodies, and a read of each connection, kB.
const MAX_MEMORY_KB: u64 = 90_000;

fn upload(path: &str, id: &str, bytes: usize) -> Request {
    Request {
        // No two are alike, so that none is held because of the others.
        body: id.repeat(bytes / id.len()),
        ..Request::new(path, id)
    }
}

/// Starts a deployment of a small host.
fn small_site() -> Site {
    let site = Site::with_limits(&[("maxBodyBytes", 2 * LARGE_BYTES as u64)]);
    site.daemon
        .write_settings(|s| s["memory_mb"] = MEMORY_MB.into());
    site.daemon.signal(libc::SIGHUP);
    wait("the new settings", || {
        !site.daemon.logged("settings reloaded").is_empty()
    });
    site
}

/// Guards against an account that loses or keeps bytes.
#[test]
fn a_body_counts_until_its_last_reference_is_dropped() {
    let memory = BodyMemory::default();
    let body = memory.reserve(900_000, 4).unwrap().hold("some".into());
    assert_eq!(memory.get(), 4);
    assert!(memory.reserve(1_000_000, 4).is_none());
    let sent = body.clone();
    drop(body);
    assert_eq!((memory.get(), &*sent), (4, &b"some"[..]));
    drop(sent);
    let unread = memory.reserve(1_000_000, 4);
    assert_eq!(memory.get(), 1_000_000);
    drop(unread);
    assert_eq!(memory.get(), 0);
}

/// Guards against uploads that are held on, uncounted, because their engines answer and do not
/// read them: a host of 120 MB held 190 MB. Other callers have room meanwhile.
#[test]
fn answered_uploads_that_nobody_reads_cost_no_memory_and_no_other_caller() {
    let site = small_site();
    site.set_plain(Behavior::EarlyUnread);
    for n in 0..UPLOADS {
        let id = format!("n{n}");
        let answer = site.daemon.send(&upload("/book/", &id, LARGE_BYTES));
        assert_eq!((answer.status, site.runs(&id)), (200, 1), "{}", answer.head);
        let answer = site.stream("/stream/", &format!("s{n}"));
        assert_whole(&answer);
    }
    assert!(!site.daemon.logged("unread requests dropped").is_empty());
    let memory_kb = site.daemon.peak_memory_kb();
    assert!(memory_kb < MAX_MEMORY_KB, "{memory_kb} kB");
}

/// Guards against engines that read nothing or little of what they are sent and keep its memory,
/// so that other callers get none; and against a refusal of what may have run as not run.
#[test_case(0; "nothing")]
#[test_case(16; "little")]
fn uploads_that_engines_do_not_read_end_and_cost_no_other_caller(bytes: usize) {
    let site = small_site();
    site.set_plain(Behavior::Unread { bytes });
    let daemon = &site.daemon;
    let send = |path: &str, id: &str, bytes| {
        let mut request = upload(path, id, bytes);
        request.headers = vec![("X-Mastichinge-Deadline-Ms", "5000".to_owned())];
        let answer = daemon.send(&request);
        let runs = site.runs(id);
        match answer.status {
            502 | 504 => assert!(runs <= 1 || path == "/look/", "{id}: {runs} runs"),
            429 | 503 => assert_eq!(runs, 0, "{id}: {}", answer.head),
            status => panic!("{id}: {status}"),
        }
    };
    thread::scope(|scope| {
        for n in 0..UPLOADS {
            for (path, bytes) in [
                ("/book/", LARGE_BYTES),
                ("/look/", LARGE_BYTES),
                ("/look/", USUAL_BYTES),
            ] {
                let id = format!("{path}{bytes}-{n}");
                scope.spawn(move || send(path, &id, bytes));
            }
        }
        wait("an upload at an engine", || {
            site.plain.iter().any(|e| e.has_run())
        });
        for n in 0..OTHERS {
            let answer = site.stream("/stream/", &format!("s{n}"));
            assert_whole(&answer);
        }
    });
    let memory_kb = daemon.peak_memory_kb();
    assert!(memory_kb < MAX_MEMORY_KB, "{memory_kb} kB");
    // All memory is free again.
    site.set_plain(Behavior::Correct);
    wait("room for uploads", || {
        let metrics = daemon.get("/metrics").body;
        metrics
            .lines()
            .any(|l| l.starts_with("mastichinge_body_bytes") && l.ends_with(" 0"))
    });
}
