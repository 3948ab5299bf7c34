//! Responses to operators.

use std::time::Duration;

use serde::Serialize;
use serde_json::{Map, Value};

use crate::error::Refusal;
use crate::http::response::problem_details;

const JSON_TYPE: &str = "application/json";
const PROBLEM_TYPE: &str = "application/problem+json";
const PROMETHEUS_TYPE: &str = "text/plain; version=0.0.4";

/// A response that has not been sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ApiResponse {
    /// HTTP status code.
    pub status: u16,
    /// Content type.
    pub content_type: &'static str,
    /// Body.
    pub body: Vec<u8>,
    /// Configuration version for `ETag`.
    pub version: Option<u64>,
    /// Delay for `Retry-After`.
    pub retry_after: Option<Duration>,
}

/// A refusal with additional members of its problem details.
#[derive(Clone, Debug, PartialEq)]
pub struct Problem {
    /// Refusal.
    pub refusal: Refusal,
    /// Additional members.
    pub members: Map<String, Value>,
}

impl From<Refusal> for Problem {
    fn from(refusal: Refusal) -> Self {
        Problem {
            refusal,
            members: Map::new(),
        }
    }
}

impl Problem {
    /// Adds a member.
    pub fn with_member(mut self, name: &str, value: impl Serialize) -> Self {
        let value = serde_json::to_value(value).unwrap_or_default();
        self.members.insert(name.to_owned(), value);
        self
    }
}

impl ApiResponse {
    /// Creates a JSON response.
    pub fn json(status: u16, body: &impl Serialize) -> Self {
        ApiResponse {
            status,
            content_type: JSON_TYPE,
            body: serde_json::to_vec(body).unwrap_or_default(),
            version: None,
            retry_after: None,
        }
    }

    /// Creates a response with metrics in the Prometheus text format.
    pub fn metrics(text: String) -> Self {
        ApiResponse {
            content_type: PROMETHEUS_TYPE,
            body: text.into_bytes(),
            ..ApiResponse::json(200, &())
        }
    }

    /// Creates a response with problem details (RFC 9457).
    pub fn problem(problem: Problem, request: &str) -> Self {
        let refusal = problem.refusal;
        let mut body = problem_details(&refusal, request);
        if let Value::Object(members) = &mut body {
            members.extend(problem.members);
        }
        ApiResponse {
            content_type: PROBLEM_TYPE,
            retry_after: refusal.retry_after,
            ..ApiResponse::json(refusal.kind.response().status, &body)
        }
    }

    /// Sets the configuration version for `ETag`.
    pub fn with_version(self, version: u64) -> Self {
        ApiResponse {
            version: Some(version),
            ..self
        }
    }
}
