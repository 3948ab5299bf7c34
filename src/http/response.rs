//! Bodies and heads of answers, refusals included.

use std::io::Cursor;
use std::time::Duration;

use serde_json::{Value, json};
use tiny_http::{Header, Request, Response};

use crate::error::Refusal;

/// Content type of JSON answers.
const JSON_TYPE: &str = "application/json";
/// Content type of RFC 9457 problem details.
const PROBLEM_TYPE: &str = "application/problem+json";
/// Head field that carries the request id.
pub const REQUEST_ID_HEADER: &str = "X-Request-Id";

/// How an answer writes its errors.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorFormat {
    /// The error object of the OpenAI API.
    OpenAi,
    /// RFC 9457 problem details.
    ProblemDetails,
}

/// An answer that is sent whole.
#[derive(Clone, Debug)]
pub struct BufferedResponse {
    /// HTTP status code.
    pub status: u16,
    /// Content type.
    pub content_type: String,
    /// Body.
    pub body: Vec<u8>,
    /// Time after which to come back.
    pub retry_after: Option<Duration>,
}

impl BufferedResponse {
    /// A successful JSON answer.
    pub fn json(body: &Value) -> Self {
        BufferedResponse {
            status: 200,
            content_type: JSON_TYPE.to_owned(),
            body: body.to_string().into_bytes(),
            retry_after: None,
        }
    }

    /// The answer to a refused request.
    pub fn error(refusal: &Refusal, format: ErrorFormat, id: &str) -> Self {
        let (content_type, body) = match format {
            ErrorFormat::OpenAi => (JSON_TYPE, openai_error(refusal, id)),
            ErrorFormat::ProblemDetails => (PROBLEM_TYPE, problem_details(refusal, id)),
        };
        BufferedResponse {
            status: refusal.kind.answer().status,
            content_type: content_type.to_owned(),
            body: body.to_string().into_bytes(),
            retry_after: refusal.retry_after,
        }
    }

    /// Sends the answer; a client that hung up is not an error.
    pub fn send(self, request: Request, id: &str) {
        let mut response = Response::new(
            self.status.into(),
            vec![
                header("Content-Type", &self.content_type),
                header(REQUEST_ID_HEADER, id),
            ],
            Cursor::new(self.body.clone()),
            Some(self.body.len()),
            None,
        );
        if let Some(wait) = self.retry_after {
            response.add_header(header("Retry-After", &retry_after_seconds(wait)));
        }
        if let Err(e) = request.respond(response) {
            log::debug!(request = id; "the client hung up: {e}");
        }
    }
}

/// The error object of the OpenAI API for `refusal`.
pub fn openai_error(refusal: &Refusal, id: &str) -> Value {
    let answer = refusal.kind.answer();
    json!({"error": {
        "message": format!("{}: {}", answer.message, refusal.detail),
        "type": refusal.kind.api_type(),
        "param": null,
        "code": refusal.kind.to_string(),
        "retry": answer.retry,
        "ran": answer.ran.to_string(),
        "request_id": id,
    }})
}

/// Problem details (RFC 9457) for `refusal`.
pub fn problem_details(refusal: &Refusal, id: &str) -> Value {
    let answer = refusal.kind.answer();
    json!({
        "type": format!("urn:mastichinge:{}", refusal.kind),
        "title": answer.message,
        "status": answer.status,
        "detail": refusal.detail,
        "kind": refusal.kind.to_string(),
        "retry": answer.retry,
        "ran": answer.ran.to_string(),
        "request_id": id,
    })
}

/// A head field; the values that reach it are checked or made here.
pub fn header(name: &str, value: &str) -> Header {
    Header::from_bytes(name, value).unwrap_or_else(|()| {
        Header::from_bytes("X-Invalid", "1").expect("constant head field is valid")
    })
}

/// Whole seconds, rounded up, at least one, as `Retry-After` wants them.
pub fn retry_after_seconds(wait: Duration) -> String {
    wait.as_millis().div_ceil(1_000).max(1).to_string()
}
