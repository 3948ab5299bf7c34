//! Answers to operators.

use std::time::Duration;

use serde::Serialize;
use serde_json::{Map, Value};

use crate::error::Refusal;
use crate::http::response::problem_details;

const JSON: &str = "application/json";
const PROBLEM: &str = "application/problem+json";
const PROMETHEUS: &str = "text/plain; version=0.0.4";

/// An answer before it is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// HTTP status code.
    pub status: u16,
    /// Content type.
    pub content: &'static str,
    /// Body.
    pub body: Vec<u8>,
    /// Configuration version that the answer shows, for `ETag`.
    pub version: Option<u64>,
    /// Time after which a retry makes sense.
    pub retry_after: Option<Duration>,
}

/// A refusal with further members of its problem details.
#[derive(Clone, Debug, PartialEq)]
pub struct Problem {
    /// Refusal.
    pub refusal: Refusal,
    /// Further members.
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
    /// The same problem with one more member.
    pub fn with(mut self, name: &str, value: impl Serialize) -> Self {
        let value = serde_json::to_value(value).unwrap_or_default();
        self.members.insert(name.to_owned(), value);
        self
    }
}

impl Reply {
    /// A JSON answer.
    pub fn json(status: u16, body: &impl Serialize) -> Self {
        Reply {
            status,
            content: JSON,
            body: serde_json::to_vec(body).unwrap_or_default(),
            version: None,
            retry_after: None,
        }
    }

    /// Metrics.
    pub fn metrics(text: String) -> Self {
        Reply {
            content: PROMETHEUS,
            body: text.into_bytes(),
            ..Reply::json(200, &())
        }
    }

    /// Problem details (RFC 9457).
    pub fn problem(problem: Problem, request: &str) -> Self {
        let refusal = problem.refusal;
        let mut body = problem_details(&refusal, request);
        if let Value::Object(members) = &mut body {
            members.extend(problem.members);
        }
        Reply {
            content: PROBLEM,
            retry_after: refusal.retry_after,
            ..Reply::json(refusal.kind.answer().status, &body)
        }
    }

    /// The same answer for a configuration version.
    pub fn at(self, version: u64) -> Self {
        Reply {
            version: Some(version),
            ..self
        }
    }
}
