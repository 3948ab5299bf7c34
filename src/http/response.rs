//! HTTP responses and their error bodies.

use std::io::{Cursor, Write};
use std::time::Duration;

use serde_json::{Value, json};
use tiny_http::{Header, Method, Request, Response, StatusCode};

use crate::error::Refusal;

/// Content type of JSON responses.
const JSON_TYPE: &str = "application/json";
/// Content type of RFC 9457 problem details.
const PROBLEM_TYPE: &str = "application/problem+json";
/// Header that carries the request id.
pub const REQUEST_ID_HEADER: &str = "X-Request-Id";

/// Format of an error body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorFormat {
    /// The error object of the OpenAI API.
    OpenAi,
    /// RFC 9457 problem details.
    ProblemDetails,
}

/// A response whose body is complete before it is sent.
#[derive(Clone, Debug)]
pub struct BufferedResponse {
    /// HTTP status code.
    pub status: u16,
    /// Content type.
    pub content_type: String,
    /// Body.
    pub body: Vec<u8>,
    /// Value of `Retry-After`.
    pub retry_after: Option<Duration>,
}

impl BufferedResponse {
    /// Returns a JSON response with status 200.
    pub fn json(body: &Value) -> Self {
        BufferedResponse {
            status: 200,
            content_type: JSON_TYPE.to_owned(),
            body: body.to_string().into_bytes(),
            retry_after: None,
        }
    }

    /// Returns the error response to a refused request.
    pub fn error(refusal: &Refusal, format: ErrorFormat, id: &str) -> Self {
        let (content_type, body) = match format {
            ErrorFormat::OpenAi => (JSON_TYPE, openai_error(refusal, id)),
            ErrorFormat::ProblemDetails => (PROBLEM_TYPE, problem_details(refusal, id)),
        };
        BufferedResponse {
            status: refusal.kind.response().status,
            content_type: content_type.to_owned(),
            body: body.to_string().into_bytes(),
            retry_after: refusal.retry_after,
        }
    }

    /// Sends the response; a client that has disconnected is not an error.
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
            log::debug!(request = id; "client disconnected: {e}");
        }
    }

    /// Sends the response and tells the client that the connection closes. `tiny_http` sends no
    /// `Connection` header of a response.
    pub fn send_and_close(self, request: Request, id: &str) {
        let is_head = *request.method() == Method::Head;
        let reason = StatusCode(self.status).default_reason_phrase();
        let mut message = format!(
            "HTTP/1.1 {} {reason}\r\nContent-Type: {}\r\nContent-Length: {}\r\n\
             Connection: close\r\n{REQUEST_ID_HEADER}: {id}\r\n",
            self.status,
            self.content_type,
            self.body.len()
        );
        if let Some(wait) = self.retry_after {
            message += &format!("Retry-After: {}\r\n", retry_after_seconds(wait));
        }
        message += "\r\n";
        let mut message = message.into_bytes();
        if !is_head {
            message.extend(self.body);
        }
        let mut writer = request.into_writer();
        let sent = writer.write_all(&message).and_then(|()| writer.flush());
        if let Err(e) = sent {
            log::debug!(request = id; "client disconnected: {e}");
        }
    }
}

/// Returns the error object of the OpenAI API for `refusal`.
pub fn openai_error(refusal: &Refusal, id: &str) -> Value {
    let response = refusal.kind.response();
    json!({"error": {
        "message": format!("{}: {}", response.message, refusal.detail),
        "type": refusal.kind.openai_type(),
        "param": null,
        "code": refusal.kind.to_string(),
        "retry": response.retry,
        "ran": response.ran.to_string(),
        "request_id": id,
    }})
}

/// Returns the problem details (RFC 9457) for `refusal`.
pub fn problem_details(refusal: &Refusal, id: &str) -> Value {
    let response = refusal.kind.response();
    json!({
        "type": format!("urn:mastichinge:{}", refusal.kind),
        "title": response.message,
        "status": response.status,
        "detail": refusal.detail,
        "kind": refusal.kind.to_string(),
        "retry": response.retry,
        "ran": response.ran.to_string(),
        "request_id": id,
    })
}

/// Builds a header. Callers pass only generated or checked values; an invalid
/// one becomes `X-Invalid` instead of a panic.
pub fn header(name: &str, value: &str) -> Header {
    Header::from_bytes(name, value).unwrap_or_else(|()| {
        Header::from_bytes("X-Invalid", "1").expect("constant header is valid")
    })
}

/// Formats `wait` for `Retry-After`: whole seconds, rounded up, at least 1.
pub fn retry_after_seconds(wait: Duration) -> String {
    wait.as_millis().div_ceil(1_000).max(1).to_string()
}
