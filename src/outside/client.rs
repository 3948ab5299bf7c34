//! HTTP client that reports whether any byte of a failed request was sent.

use std::cell::Cell;
use std::io::{self, Read, Write};
use std::rc::Rc;
use std::time::Duration;

use attohttpc::body::{Body, BodyKind};
use attohttpc::header::{AUTHORIZATION, HeaderName, HeaderValue};
use attohttpc::{ErrorKind, ProxySettings, RequestBuilder, Response, Session};
use serde::de::DeserializeOwned;

use crate::status::is_answer;

/// Largest response body that is read into memory, bytes.
const MAX_RESPONSE_BYTES: u64 = 64 * 1024 * 1024;

/// Length of an error body that is kept, bytes.
const MAX_DETAIL_BYTES: u64 = 512;

/// Largest head that stays in the client's write buffer until the body is
/// written, bytes: 8,192 less the headers that the client adds.
const BUFFERED_HEAD_BYTES: usize = 7_168;

/// Time limits of platform calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timeouts {
    /// Limit for connecting.
    pub connect: Duration,
    /// Limit for the whole call, including connecting.
    pub total: Duration,
}

impl Default for Timeouts {
    fn default() -> Self {
        Timeouts {
            connect: Duration::from_millis(500),
            total: Duration::from_secs(3),
        }
    }
}

/// Reason why a request failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SendError {
    /// No byte of the request was sent.
    #[error("no connection: {0}")]
    NotSent(String),
    /// At least part of the request was sent; no complete response arrived.
    #[error("no whole answer: {0}")]
    NoAnswer(String),
    /// At least part of the request was sent; no response arrived in time.
    #[error("no answer in time: {0}")]
    TimedOut(String),
}

/// Creates a session that follows no redirects and uses no proxy.
pub fn session() -> Session {
    let mut session = Session::new();
    session.follow_redirects(false);
    session.proxy_settings(ProxySettings::builder().build());
    session
}

/// Adds `key` as bearer token; does nothing for an empty key.
pub fn authorize(request: RequestBuilder, key: &str) -> RequestBuilder {
    match key.is_empty() {
        true => request,
        false => add_header(request, AUTHORIZATION, &format!("Bearer {key}")),
    }
}

/// Adds a header; a value that is not allowed in a header is logged and left out.
pub fn add_header(request: RequestBuilder, name: HeaderName, value: &str) -> RequestBuilder {
    match HeaderValue::from_str(value) {
        Ok(value) => request.header(name, value),
        Err(_) => {
            log::warn!("header {name} left out: its value contains invalid characters");
            request
        }
    }
}

/// Content type of a request body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyType {
    /// No body.
    None,
    /// JSON.
    Json,
    /// Binary data.
    Bytes,
    /// As in the `Content-Type` header that the request already has.
    FromHeader,
}

impl BodyType {
    fn media_type(self) -> Option<String> {
        match self {
            BodyType::None | BodyType::FromHeader => None,
            BodyType::Json => Some("application/json".into()),
            BodyType::Bytes => Some("application/octet-stream".into()),
        }
    }
}

/// Sends a request with `body` and waits for the head of the response.
///
/// # Errors
///
/// Returns [`SendError::NotSent`] only when it is certain that no byte was sent.
pub fn send(
    mut request: RequestBuilder,
    body_type: BodyType,
    body: &[u8],
) -> Result<Response, SendError> {
    let started = Rc::new(Cell::new(head_size(&mut request) > BUFFERED_HEAD_BYTES));
    let body = TrackedBody {
        bytes: body,
        body_type,
        started: started.clone(),
    };
    let error = match request.body(body).send() {
        Ok(response) if !is_answer(response.status()) => {
            let status = response.status().as_u16();
            return Err(SendError::NoAnswer(format!("status {status} is no answer")));
        }
        Ok(response) => return Ok(response),
        Err(error) => error,
    };
    let text = error.to_string();
    match started.get() && !is_refused(&error) {
        true if is_timed_out(&error) => Err(SendError::TimedOut(text)),
        true => Err(SendError::NoAnswer(text)),
        false => Err(SendError::NotSent(text)),
    }
}

fn is_timed_out(error: &attohttpc::Error) -> bool {
    match error.kind() {
        ErrorKind::Io(error) => is_timeout(error),
        _ => false,
    }
}

/// Returns whether a read or write timed out.
pub fn is_timeout(error: &io::Error) -> bool {
    use io::ErrorKind::{TimedOut, WouldBlock};
    matches!(error.kind(), TimedOut | WouldBlock)
}

impl SendError {
    /// Returns whether any byte may have been sent.
    pub fn maybe_sent(&self) -> bool {
        !matches!(self, SendError::NotSent(_))
    }
}

/// Returns the size of the head without the headers that the client adds, bytes.
fn head_size(request: &mut RequestBuilder) -> usize {
    let parts = request.inspect();
    let mut size = parts.url().as_str().len();
    for (name, value) in parts.headers() {
        size += name.as_str().len() + ": ".len() + value.len() + "\r\n".len();
    }
    size
}

/// Returns whether the connection was refused, which happens before any byte is sent.
fn is_refused(error: &attohttpc::Error) -> bool {
    match error.kind() {
        ErrorKind::Io(e) => e.kind() == io::ErrorKind::ConnectionRefused,
        _ => false,
    }
}

/// Reads a response body to its end.
pub fn read_body(response: Response) -> Result<Vec<u8>, SendError> {
    let expected = content_length(&response);
    let (_, _, reader) = response.split();
    let mut bytes = Vec::new();
    let mut reader = reader.take(MAX_RESPONSE_BYTES + 1);
    let outcome = reader.read_to_end(&mut bytes);
    let size = bytes.len() as u64;
    if size > MAX_RESPONSE_BYTES {
        return Err(SendError::NoAnswer("the answer is too large".into()));
    }
    if expected.is_some_and(|e| size < e) {
        return Err(SendError::NoAnswer("the answer was cut short".into()));
    }
    match outcome {
        Ok(_) => Ok(bytes),
        Err(e) => Err(SendError::NoAnswer(e.to_string())),
    }
}

/// Reads a response body as JSON.
pub fn read_json<T: DeserializeOwned>(response: Response) -> Result<T, SendError> {
    let bytes = read_body(response)?;
    serde_json::from_slice(&bytes).map_err(|e| SendError::NoAnswer(e.to_string()))
}

/// Reads the start of an error response for its message.
pub fn read_error_detail(response: Response) -> String {
    let (_, _, reader) = response.split();
    let mut bytes = Vec::new();
    let _ = reader.take(MAX_DETAIL_BYTES).read_to_end(&mut bytes);
    String::from_utf8_lossy(&bytes).into_owned()
}

fn content_length(response: &Response) -> Option<u64> {
    let value = response.headers().get("content-length")?;
    value.to_str().ok()?.parse().ok()
}

/// Request body that records when it is first written; a head of at most
/// [`BUFFERED_HEAD_BYTES`] is not sent before that.
struct TrackedBody<'a> {
    bytes: &'a [u8],
    body_type: BodyType,
    started: Rc<Cell<bool>>,
}

impl Body for TrackedBody<'_> {
    fn kind(&mut self) -> io::Result<BodyKind> {
        Ok(BodyKind::KnownLength(self.bytes.len() as u64))
    }

    fn write<W: Write>(&mut self, mut writer: W) -> io::Result<()> {
        self.started.set(true);
        writer.write_all(self.bytes)
    }

    fn content_type(&mut self) -> io::Result<Option<String>> {
        Ok(self.body_type.media_type())
    }
}
