//! Engines that answer before they have read a request, or with a status that is none.

use std::time::Duration;

use test_case::test_case;

use crate::fakes::daemon::Request;
use crate::fakes::engine::Behavior;
use crate::site::Site;

/// Size of an upload, bytes; more than the buffers of both sockets hold.
const UPLOAD_BYTES: usize = 8 << 20;

fn upload(path: &str, id: &str) -> Request {
    Request {
        // No two are alike, so that none is held because of the others.
        body: id.repeat(UPLOAD_BYTES / id.len()),
        ..Request::new(path, id)
    }
}

/// Guards against MIXED: an engine answered an upload without a length, sent a part and reset the
/// connection while the upload was being written; the caller got that part as the whole answer.
#[test_case(Behavior::EarlyReset(Duration::ZERO); "reset at once")]
#[test_case(Behavior::EarlyReset(Duration::from_millis(15)); "reset after a moment")]
#[test_case(Behavior::EarlyReset(Duration::from_millis(150)); "reset while nothing can be written")]
#[test_case(Behavior::EarlyClose(Duration::ZERO); "closed at once")]
#[test_case(Behavior::EarlyClose(Duration::from_millis(150)); "closed while nothing can be written")]
fn a_response_that_breaks_during_the_upload_is_not_whole(behavior: Behavior) {
    let site = Site::with_limits(&[("maxBodyBytes", 2 * UPLOAD_BYTES as u64)]);
    site.set(behavior);
    for n in 0..12 {
        for path in ["/book/", "/look/", "/stream/"] {
            let answer = site.daemon.send(&upload(path, &format!("{n}{path}")));
            let is_cut = answer.status == 200 && !answer.complete;
            assert!(is_cut || answer.status == 502, "{path}: {}", answer.head);
        }
    }
}

/// Guards against MIXED: callers got answers whose status was 000 from engines in trouble.
#[test_case("000 Trouble"; "zeros")]
#[test_case("099 Low"; "below all classes")]
#[test_case("600 High"; "above all classes")]
#[test_case("999 High"; "far above all classes")]
#[test_case("20 Short"; "two digits")]
#[test_case("2000 Long"; "four digits")]
#[test_case("2x0 Text"; "no number")]
#[test_case("101 Switching Protocols"; "another protocol")]
fn a_status_that_is_none_never_reaches_a_caller(status: &'static str) {
    let site = Site::start();
    site.set(Behavior::Status(status));
    for path in ["/book/", "/look/", "/stream/"] {
        let answer = site.send(path, path);
        assert_eq!(answer.status, 502, "{path}: {}", answer.head);
    }
}
