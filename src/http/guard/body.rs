//! Bodies of requests, within bounds.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU32, Ordering::Relaxed};
use std::time::{Duration, Instant};

use tiny_http::{Request, Response};

use super::super::response::{header, openai_error};
use crate::error::{Kind, Refusal};

/// Bytes read at once.
const READ_BUFFER_BYTES: usize = 16 << 10;
/// Longest body that the library reads together with the head.
const INLINE_BODY_BYTES: usize = 1_024;
/// Longest body that a request may name and be dropped unread: for the rest of
/// a body the library allocates a buffer of the length that the client named,
/// and the process aborts if there is not so much memory.
const MAX_DROPPABLE_BYTES: usize = 256 << 20;

/// Requests that could not be dropped.
static LEAKED_REQUESTS: AtomicU32 = AtomicU32::new(0);

/// Reads a body of at most `most` bytes within `wait`.
///
/// The time is checked after each read; that a single read ends is the work of
/// the guard.
///
/// # Errors
///
/// The body is larger, arrives more slowly or breaks off.
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

/// Whether the library has read the whole request already.
pub fn is_fully_read(request: &Request) -> bool {
    let has = |name| request.headers().iter().any(|h| h.field.equiv(name));
    let small = match request.body_length() {
        Some(length) => length <= INLINE_BODY_BYTES,
        None => !has("Transfer-Encoding"),
    };
    small && !has("Expect") && !has("Upgrade")
}

/// Whether dropping the request cannot exhaust memory.
pub fn is_safe_to_drop(request: &Request) -> bool {
    request.body_length().unwrap_or_default() <= MAX_DROPPABLE_BYTES
}

/// Answers a request that cannot be dropped, and leaks it: its two descriptors
/// and the library's thread of its connection stay until the process ends.
pub fn refuse_and_leak(request: Request) {
    let count = LEAKED_REQUESTS.fetch_add(1, Relaxed) + 1;
    let length = request.body_length().unwrap_or_default();
    log::warn!("refused a body of {length} bytes; {count} such connections are lost");
    let kind = Kind::BodyTooLarge;
    let refusal = Refusal::new(kind, format!("a body of {length} bytes"));
    let body = openai_error(&refusal, "").to_string();
    let response = Response::empty(kind.answer().status)
        .with_header(header("Content-Type", "application/json"));
    // Only an upgrade keeps the reader of the body alive after the answer; it
    // sends no body of its own, and the guard's close ends this one.
    let mut stream = request.upgrade("none", response);
    let sent = stream.write_all(body.as_bytes());
    if let Err(e) = sent.and_then(|()| stream.flush()) {
        log::debug!("the client hung up: {e}");
    }
    std::mem::forget(stream);
}
