//! Bodies and heads of answers, refusals included.

use std::io::Cursor;
use std::time::Duration;

use serde_json::{Value, json};
use tiny_http::{Header, Request, Response};

use crate::error::Refusal;

/// Content type of JSON answers.
const JSON: &str = "application/json";
/// Content type of RFC 9457 problem details.
const PROBLEM: &str = "application/problem+json";
/// Head field that carries the request id.
pub const REQUEST_ID: &str = "X-Request-Id";

/// How an answer writes its errors.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    /// The error object of the OpenAI API.
    Api,
    /// RFC 9457 problem details.
    Problem,
}

/// An answer that is sent whole.
#[derive(Clone, Debug)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Content type.
    pub content: String,
    /// Body.
    pub body: Vec<u8>,
    /// Time after which to come back.
    pub retry_after: Option<Duration>,
}

impl Answer {
    /// A successful JSON answer.
    pub fn json(body: &Value) -> Self {
        Answer {
            status: 200,
            content: JSON.to_owned(),
            body: body.to_string().into_bytes(),
            retry_after: None,
        }
    }

    /// The answer to a refused request.
    pub fn refusal(refusal: &Refusal, form: Form, id: &str) -> Self {
        let (content, body) = match form {
            Form::Api => (JSON, api_error(refusal, id)),
            Form::Problem => (PROBLEM, problem(refusal, id)),
        };
        Answer {
            status: refusal.kind.answer().status,
            content: content.to_owned(),
            body: body.to_string().into_bytes(),
            retry_after: refusal.retry_after,
        }
    }

    /// Sends the answer; a client that hung up is not an error.
    pub fn send(self, request: Request, id: &str) {
        let mut response = Response::new(
            self.status.into(),
            vec![
                header("Content-Type", &self.content),
                header(REQUEST_ID, id),
            ],
            Cursor::new(self.body.clone()),
            Some(self.body.len()),
            None,
        );
        if let Some(wait) = self.retry_after {
            response.add_header(header("Retry-After", &seconds(wait)));
        }
        if let Err(e) = request.respond(response) {
            log::debug!(request = id; "the client hung up: {e}");
        }
    }
}

/// The error object of the OpenAI API for `refusal`.
pub fn api_error(refusal: &Refusal, id: &str) -> Value {
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
pub fn problem(refusal: &Refusal, id: &str) -> Value {
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
pub fn seconds(wait: Duration) -> String {
    wait.as_millis().div_ceil(1_000).max(1).to_string()
}
