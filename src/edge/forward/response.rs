//! Responses to callers.

use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::{Buf, Bytes};
use http::{Response, StatusCode, header};
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

use super::evidence::Promise;
use crate::edge::connections::Connection;
use crate::edge::held_bytes::{HeldBytes, HeldChunk, Outlet};
use crate::edge::slow_readers::{HoldLimits, UnreadCause};
use crate::error::Kind;
use crate::platform::headers;

/// Content type of the daemon's own error responses.
const JSON: &str = "application/json";

/// Error of a response that ends before it is complete; its connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("response truncated")]
pub struct Truncated;

/// Part of a body that is relayed as it arrives.
#[derive(Debug)]
pub enum BodyPart {
    /// Some of its bytes.
    Chunk(HeldChunk),
    /// Its end.
    End,
}

/// Body of a response.
#[derive(Debug)]
pub enum ResponseBody {
    /// The whole body, or nothing once it was read.
    Whole(Option<Bytes>),
    /// Parts as they arrive; dropping the receiver ends the task that sends them. The body
    /// is truncated if they end without [`BodyPart::End`].
    Parts(mpsc::UnboundedReceiver<BodyPart>, Rc<Outlet>),
    /// The whole body, counted as held, or nothing once it was read.
    Held(Option<HeldChunk>),
}

impl ResponseBody {
    /// Counts the body as held until it is written to `connection`.
    pub fn held(self, host: &Rc<HeldBytes>, connection: &Rc<Connection>) -> Self {
        match self {
            ResponseBody::Whole(Some(bytes)) => {
                ResponseBody::Held(Some(Outlet::new(host).hold(bytes)))
            }
            ResponseBody::Parts(parts, outlet) => {
                outlet.set_connection(connection);
                ResponseBody::Parts(parts, outlet)
            }
            body => body,
        }
    }
}

/// Sends the parts of a response to its caller; what the caller has not read is bounded by
/// waiting for [`PartSender::room`] before more is read.
#[derive(Clone, Debug)]
pub struct PartSender {
    parts: mpsc::UnboundedSender<BodyPart>,
    outlet: Rc<Outlet>,
}

/// The caller has disconnected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerGone;

impl PartSender {
    /// Creates a sender and the body that it sends.
    pub fn new(host: &Rc<HeldBytes>) -> (Self, ResponseBody) {
        let (sender, parts) = mpsc::unbounded_channel();
        let outlet = Outlet::new(host);
        let body = ResponseBody::Parts(parts, outlet.clone());
        let sender = PartSender {
            parts: sender,
            outlet,
        };
        (sender, body)
    }

    /// Sends bytes.
    pub fn send(&self, bytes: Bytes) -> Result<(), CallerGone> {
        let chunk = BodyPart::Chunk(self.outlet.hold(bytes));
        self.parts.send(chunk).map_err(|_| CallerGone)
    }

    /// Sends the end of the body.
    pub fn end(&self) -> Result<(), CallerGone> {
        self.parts.send(BodyPart::End).map_err(|_| CallerGone)
    }

    /// Waits until the next part may be read. If the caller does not make room for it, the
    /// caller's connection is ended.
    pub async fn room(&self, limits: &HoldLimits) -> Result<(), UnreadCause> {
        let room = self.outlet.room(limits).await;
        if room.is_err() {
            self.outlet.cut();
        }
        room
    }

    /// Returns the number of bytes that the caller has not read.
    pub fn held(&self) -> u64 {
        self.outlet.held()
    }

    /// Waits until the caller has disconnected.
    pub async fn closed(&self) {
        self.parts.closed().await;
    }
}

impl Body for ResponseBody {
    type Data = HeldChunk;
    type Error = Truncated;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<HeldChunk>, Truncated>>> {
        match self.get_mut() {
            ResponseBody::Whole(bytes) => {
                let chunk = bytes.take().map(|b| Outlet::new(&Rc::default()).hold(b));
                Poll::Ready(chunk.map(|c| Ok(Frame::data(c))))
            }
            ResponseBody::Held(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            ResponseBody::Parts(parts, _) => match ready!(parts.poll_recv(cx)) {
                Some(BodyPart::Chunk(bytes)) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
                Some(BodyPart::End) => Poll::Ready(None),
                None => Poll::Ready(Some(Err(Truncated))),
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, ResponseBody::Whole(None) | ResponseBody::Held(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64))
            }
            ResponseBody::Held(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.remaining() as u64))
            }
            ResponseBody::Parts(..) => SizeHint::default(),
        }
    }
}

/// Creates a response with a whole text body.
pub fn text_response(
    status: StatusCode,
    content_type: &'static str,
    text: String,
) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::Whole(Some(text.into())));
    *response.status_mut() = status;
    let value = header::HeaderValue::from_static(content_type);
    response.headers_mut().insert(header::CONTENT_TYPE, value);
    response
}

/// Marks a response to a request whose body was not read to its end.
#[derive(Clone, Copy, Debug)]
pub struct CutShort;

/// Announces that the connection closes after this response.
pub fn close_connection<B>(response: &mut Response<B>) {
    let value = header::HeaderValue::from_static("close");
    response.headers_mut().insert(header::CONNECTION, value);
}

/// An error response of the daemon itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    kind: Kind,
    retry_after: Option<Duration>,
}

/// What is said of a request that may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unknown {
    /// Every attempt at an engine failed.
    Failed,
    /// Its outcome is unknown.
    Outcome,
}

impl Refusal {
    /// Creates the refusal of a request that has not run.
    pub fn not_run(_promise: Promise<'_>, kind: Kind) -> Self {
        Refusal {
            kind,
            retry_after: None,
        }
    }

    /// Creates the refusal of a request that may have run.
    pub fn may_have_run(unknown: Unknown) -> Self {
        let kind = match unknown {
            Unknown::Failed => Kind::UpstreamFailed,
            Unknown::Outcome => Kind::OutcomeUnknown,
        };
        Refusal {
            kind,
            retry_after: None,
        }
    }

    /// Sets the time after which the caller should retry.
    pub fn after(self, wait: Duration) -> Self {
        Refusal {
            retry_after: Some(wait),
            ..self
        }
    }

    /// Returns the kind of the error.
    pub fn kind(&self) -> Kind {
        self.kind
    }

    /// Returns the time after which the caller should retry.
    pub fn retry_after(&self) -> Option<Duration> {
        self.retry_after
    }

    /// Returns the status of the response. Callers take 503 as the promise that the
    /// request has not run, so the daemon uses 503 for exactly these refusals.
    pub fn status(&self) -> StatusCode {
        let error = self.kind.response();
        let code = match (self.kind, error.status) {
            (Kind::DeadlineExpired, _) => 503,
            (_, status) => status,
        };
        StatusCode::from_u16(code).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
    }

    /// Creates the response to the request `id`.
    pub fn response(&self, id: &str) -> Response<ResponseBody> {
        let mut response = text_response(self.status(), JSON, self.body_text());
        response
            .headers_mut()
            .extend(headers::local_response(id, self.retry_after));
        response
    }

    /// Returns the bytes of the response to a request whose head did not arrive, with the
    /// announcement that the connection closes.
    pub fn response_bytes(&self) -> Vec<u8> {
        let status = self.status();
        let body = self.body_text();
        let reason = status.canonical_reason().unwrap_or_default();
        let code = status.as_u16();
        let length = body.len();
        format!(
            "HTTP/1.1 {code} {reason}\r\ncontent-type: {JSON}\r\nconnection: close\r\n\
             content-length: {length}\r\n\r\n{body}"
        )
        .into_bytes()
    }

    fn body_text(&self) -> String {
        let message = self.kind.response().message;
        let name: &'static str = self.kind.into();
        serde_json::json!({ "error": { "code": name, "message": message } }).to_string()
    }
}
