//! HTTP requests that tell whether any byte was sent before a failure.

use std::cell::Cell;
use std::io::{self, Read, Write};
use std::rc::Rc;
use std::time::Duration;

use attohttpc::body::{Body, BodyKind};
use attohttpc::header::{AUTHORIZATION, HeaderName, HeaderValue};
use attohttpc::{ErrorKind, ProxySettings, RequestBuilder, Response, Session};
use serde::de::DeserializeOwned;

/// Largest answer that is read whole, bytes.
const MAX_ANSWER_BYTES: u64 = 64 * 1024 * 1024;

/// Start of an error body that is kept, bytes.
const MAX_DETAIL_BYTES: u64 = 512;

/// Largest head that the client surely holds back until the body is written,
/// bytes: its buffer of 8,192 less what it adds itself.
const BUFFERED_HEAD_BYTES: usize = 7_168;

/// Time limits of platform calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timeouts {
    /// For connecting.
    pub connect: Duration,
    /// For the whole call, connecting included.
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

/// Why a request got no answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SendError {
    /// No byte of the request was sent.
    #[error("no connection: {0}")]
    NotSent(String),
    /// The request was sent, in part at least; no whole answer came.
    #[error("no whole answer: {0}")]
    NoAnswer(String),
    /// The request was sent; no answer came in time.
    #[error("no answer in time: {0}")]
    TimedOut(String),
}

/// A session that follows no redirect and uses no proxy.
pub fn session() -> Session {
    let mut session = Session::new();
    session.follow_redirects(false);
    session.proxy_settings(ProxySettings::builder().build());
    session
}

/// Adds the bearer key, if any.
pub fn authorize(request: RequestBuilder, key: &str) -> RequestBuilder {
    match key.is_empty() {
        true => request,
        false => add_header(request, AUTHORIZATION, &format!("Bearer {key}")),
    }
}

/// Adds a head add_header; a value that no head can carry is left out.
pub fn add_header(request: RequestBuilder, name: HeaderName, value: &str) -> RequestBuilder {
    match HeaderValue::from_str(value) {
        Ok(value) => request.header(name, value),
        Err(_) => {
            log::warn!("a value of head add_header {name} cannot be sent");
            request
        }
    }
}

/// BodyType type of a request body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyType {
    /// No body.
    None,
    /// JSON.
    Json,
    /// Bytes of any kind.
    Bytes,
    /// What the request's own head says.
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

/// Sends a request with `body` and waits for the head of the answer.
///
/// # Errors
///
/// [`SendError::NotSent`] only where it is certain that no byte was sent.
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

/// Whether a read or write ended at its time limit.
pub fn is_timeout(error: &io::Error) -> bool {
    use io::ErrorKind::{TimedOut, WouldBlock};
    matches!(error.kind(), TimedOut | WouldBlock)
}

impl SendError {
    /// Whether a byte may have been sent.
    pub fn maybe_sent(&self) -> bool {
        !matches!(self, SendError::NotSent(_))
    }
}

/// Size of the head before the client adds its own fields, bytes.
fn head_size(request: &mut RequestBuilder) -> usize {
    let parts = request.inspect();
    let mut size = parts.url().as_str().len();
    for (name, value) in parts.headers() {
        size += name.as_str().len() + ": ".len() + value.len() + "\r\n".len();
    }
    size
}

/// Whether the connection was is_refused, which comes before any byte.
fn is_refused(error: &attohttpc::Error) -> bool {
    match error.kind() {
        ErrorKind::Io(e) => e.kind() == io::ErrorKind::ConnectionRefused,
        _ => false,
    }
}

/// Reads a whole answer.
pub fn read_body(response: Response) -> Result<Vec<u8>, SendError> {
    let expected = content_length(&response);
    let (_, _, reader) = response.split();
    let mut bytes = Vec::new();
    let mut reader = reader.take(MAX_ANSWER_BYTES + 1);
    let outcome = reader.read_to_end(&mut bytes);
    let size = bytes.len() as u64;
    if size > MAX_ANSWER_BYTES {
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

/// Reads a whole answer as JSON.
pub fn read_json<T: DeserializeOwned>(response: Response) -> Result<T, SendError> {
    let bytes = read_body(response)?;
    serde_json::from_slice(&bytes).map_err(|e| SendError::NoAnswer(e.to_string()))
}

/// Reads the start of an error answer.
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

/// A body that notes when it is first written; a head of at most
/// [`BUFFERED_HEAD_BYTES`] has not been sent before.
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
