//! Answers to callers.

use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use http::{Response, StatusCode, header};
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

use crate::error::Kind;
use crate::platform::heads;

/// The answer ends before it is complete; its connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the answer was cut off")]
pub struct Cut;

/// Body of an answer.
#[derive(Debug)]
pub enum Reply {
    /// Known whole.
    Whole(Option<Bytes>),
    /// Comes piece by piece; closing the channel ends the task behind it.
    Pieces(mpsc::Receiver<Result<Bytes, Cut>>),
}

impl Body for Reply {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        match self.get_mut() {
            Reply::Whole(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            Reply::Pieces(pieces) => {
                let piece = ready!(pieces.poll_recv(cx));
                Poll::Ready(piece.map(|p| p.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Reply::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Reply::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64))
            }
            Reply::Pieces(_) => SizeHint::default(),
        }
    }
}

/// A whole answer with a text.
pub fn text(status: StatusCode, kind: &'static str, text: String) -> Response<Reply> {
    let mut response = Response::new(Reply::Whole(Some(text.into())));
    *response.status_mut() = status;
    let value = header::HeaderValue::from_static(kind);
    response.headers_mut().insert(header::CONTENT_TYPE, value);
    response
}

/// A refusal or failure of our own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub kind: Kind,
    /// When to come back.
    pub retry: Option<Duration>,
}

impl Refusal {
    /// A refusal without a time to come back.
    pub fn new(kind: Kind) -> Self {
        Refusal { kind, retry: None }
    }

    /// A refusal with the time after which to come back.
    pub fn after(kind: Kind, wait: Duration) -> Self {
        Refusal {
            kind,
            retry: Some(wait),
        }
    }

    /// Status of the answer. Callers take 503 as the promise that the request
    /// has not run, so nothing else of ours may say that, and 503 only that.
    pub fn status(&self) -> StatusCode {
        let answer = self.kind.response();
        let code = match (self.kind, answer.status) {
            (Kind::DeadlineExpired, _) => 503,
            (_, status) => status,
        };
        StatusCode::from_u16(code).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
    }

    /// The answer to the request `id`.
    pub fn answer(&self, id: &str) -> Response<Reply> {
        let message = self.kind.response().message;
        let name: &'static str = self.kind.into();
        let body = serde_json::json!({ "error": { "code": name, "message": message } });
        let mut response = text(self.status(), "application/json", body.to_string());
        response
            .headers_mut()
            .extend(heads::own_answer(id, self.retry));
        response
    }
}
