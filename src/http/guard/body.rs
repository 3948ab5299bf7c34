//! Reads request bodies within limits on size and time.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU32, Ordering::Relaxed};
use std::time::{Duration, Instant};

use tiny_http::{Request, Response};

use super::super::response::{header, openai_error};
use crate::error::{Kind, Refusal};

/// Size of the read buffer.
const READ_BUFFER_BYTES: usize = 16 << 10;
/// Largest body that `tiny_http` reads together with the head.
const INLINE_BODY_BYTES: usize = 1_024;
/// Largest declared body with which a request may be dropped unread. On drop,
/// `tiny_http` allocates a buffer for the rest of the body, of the length that
/// the client declared, and the process aborts if memory does not suffice.
const MAX_DROPPABLE_BYTES: usize = 256 << 20;

/// Number of requests leaked because they could not be dropped.
static LEAKED_REQUESTS: AtomicU32 = AtomicU32::new(0);

/// Reads a body of at most `max_bytes` bytes within `timeout`.
///
/// The time is checked after each read; the guard thread ends a read that
/// blocks, by closing the receiving side of the connection.
///
/// # Errors
///
/// The body is too large, arrives too slowly or is incomplete.
pub fn read_body(
    request: &mut Request,
    max_bytes: u64,
    timeout: Duration,
) -> Result<Vec<u8>, Refusal> {
    let too_large = || Refusal::new(Kind::BodyTooLarge, format!("more than {max_bytes} bytes"));
    let content_length = request.body_length();
    if content_length.is_some_and(|n| n as u64 > max_bytes) {
        return Err(too_large());
    }
    let deadline = Instant::now() + timeout;
    let slow = || Refusal::new(Kind::SlowClient, format!("not whole after {timeout:?}"));
    let broken = |cause: &str| Refusal::new(Kind::BadRequest, format!("the body {cause}"));
    let mut body = Vec::with_capacity(content_length.unwrap_or_default());
    let mut buffer = [0; READ_BUFFER_BYTES];
    let reader = request.as_reader();
    loop {
        let n = match reader.read(&mut buffer) {
            Ok(n) => n,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
            Err(_) if Instant::now() >= deadline => return Err(slow()),
            Err(e) => return Err(broken(&format!("broke off: {e}"))),
        };
        body.extend_from_slice(&buffer[..n]);
        if body.len() as u64 > max_bytes {
            return Err(too_large());
        }
        let is_complete = match content_length {
            Some(length) => body.len() >= length,
            None => n == 0,
        };
        if is_complete {
            return Ok(body);
        }
        if Instant::now() >= deadline {
            return Err(slow());
        }
        if n == 0 {
            return Err(broken("broke off"));
        }
    }
}

/// Returns whether `tiny_http` has already read the whole request.
pub fn is_fully_read(request: &Request) -> bool {
    let has = |name| request.headers().iter().any(|h| h.field.equiv(name));
    let small = match request.body_length() {
        Some(length) => length <= INLINE_BODY_BYTES,
        None => !has("Transfer-Encoding"),
    };
    small && !has("Expect") && !has("Upgrade")
}

/// Returns whether the request can be dropped without exhausting memory.
pub fn is_safe_to_drop(request: &Request) -> bool {
    request.body_length().unwrap_or_default() <= MAX_DROPPABLE_BYTES
}

/// Refuses a request that cannot be dropped, and leaks it: its two descriptors
/// and `tiny_http`'s thread of its connection remain until the process ends.
pub fn refuse_and_leak(request: Request) {
    let count = LEAKED_REQUESTS.fetch_add(1, Relaxed) + 1;
    let length = request.body_length().unwrap_or_default();
    log::warn!("refused a request body of {length} bytes; {count} such connections are leaked");
    let kind = Kind::BodyTooLarge;
    let refusal = Refusal::new(kind, format!("a body of {length} bytes"));
    let body = openai_error(&refusal, "").to_string();
    let response = Response::empty(kind.response().status)
        .with_header(header("Content-Type", "application/json"));
    // Only an upgrade keeps the body reader alive after the response. It sends
    // no body itself, so the error body is written here; the guard then closes
    // the connection.
    let mut stream = request.upgrade("none", response);
    let sent = stream.write_all(body.as_bytes());
    if let Err(e) = sent.and_then(|()| stream.flush()) {
        log::debug!("client disconnected: {e}");
    }
    std::mem::forget(stream);
}
