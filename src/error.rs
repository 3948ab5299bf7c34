//! Error kinds and the response of each.

use std::time::Duration;

use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// Kind of an error in a response to a caller or an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumIter, EnumString, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Kind {
    /// The body is not valid JSON or lacks a required field.
    BadRequest,
    /// The body exceeds the size limit.
    BodyTooLarge,
    /// The head exceeds the size limit.
    HeadTooLarge,
    /// The client sent its request too slowly.
    SlowClient,
    /// The key is missing or unknown.
    BadKey,
    /// The key is known but lacks the role or the team.
    Forbidden,
    /// No such path.
    NotFound,
    /// The path does not support the method.
    BadMethod,
    /// No such model or adapter.
    UnknownModel,
    /// No such plain service.
    UnknownService,
    /// The requested deadline has already passed.
    DeadlinePast,
    /// The deadline passed while the request waited; it did not run.
    DeadlineExpired,
    /// The request cannot finish by its deadline and was refused at once.
    DeadlineUnreachable,
    /// The queue is full.
    QueueFull,
    /// The caller exceeded its rate limit.
    RateLimited,
    /// No replica can be loaded within the operators' limits.
    NoCapacity,
    /// The host is draining and accepts no new requests.
    Draining,
    /// The host has no configuration yet.
    NotReady,
    /// Every attempt at an upstream failed before its first token.
    UpstreamFailed,
    /// The upstream failed after part of the answer was sent.
    StreamBroken,
    /// The request is held because upstreams crashed while running it.
    Quarantined,
    /// The platform's table did not answer in time.
    TableDown,
    /// A call that may not be repeated carries no idempotency key.
    KeyRequired,
    /// The idempotency key was used with another body or by another caller.
    KeyReused,
    /// The call did not run.
    NotRun,
    /// The call was sent and its outcome is unknown.
    OutcomeUnknown,
    /// The patch names an old configuration version.
    VersionConflict,
    /// The patch names no configuration version.
    VersionRequired,
    /// The patched configuration violates a rule.
    InvalidConfig,
    /// An internal error.
    Internal,
}

/// Whether the request has run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum ExecutionState {
    /// It has not run.
    No,
    /// It ran partly.
    Partly,
    /// It may have run.
    Unknown,
}

/// Status and message of the response to an error [`Kind`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ErrorResponse {
    /// HTTP status code.
    pub status: u16,
    /// Human-readable message.
    pub message: &'static str,
    /// Whether the same request may succeed later.
    pub retry: bool,
    /// Whether the request has run.
    pub ran: ExecutionState,
}

impl Kind {
    /// Returns the response of this kind.
    pub fn response(self) -> ErrorResponse {
        use ExecutionState::{No, Partly, Unknown};
        let (status, message, retry, ran) = match self {
            Kind::BadRequest => (400, "the request body is not valid", false, No),
            Kind::BodyTooLarge => (413, "the request body is too large", false, No),
            Kind::HeadTooLarge => (431, "the request head is too large", false, No),
            Kind::SlowClient => (408, "the request arrived too slowly", true, No),
            Kind::BadKey => (401, "the API key is missing or unknown", false, No),
            Kind::Forbidden => (403, "the API key does not permit this", false, No),
            Kind::NotFound => (404, "there is nothing at this path", false, No),
            Kind::BadMethod => (405, "the path does not support this method", false, No),
            Kind::UnknownModel => (404, "the model does not exist", false, No),
            Kind::UnknownService => (404, "the service does not exist", false, No),
            Kind::DeadlinePast => (400, "the requested deadline has passed", false, No),
            Kind::DeadlineExpired => (504, "the deadline passed in the queue", true, No),
            Kind::DeadlineUnreachable => (503, "the deadline cannot be met", true, No),
            Kind::QueueFull => (503, "the queue of the model is full", true, No),
            Kind::RateLimited => (429, "the rate limit of the caller is exceeded", true, No),
            Kind::NoCapacity => (503, "no engine can hold the model now", true, No),
            Kind::Draining => (503, "this host is leaving", true, No),
            Kind::NotReady => (503, "this host has no configuration yet", true, No),
            Kind::UpstreamFailed => (502, "every attempt at an upstream failed", true, Unknown),
            Kind::StreamBroken => (502, "the upstream failed in mid-stream", false, Partly),
            Kind::Quarantined => (422, "upstreams crashed on this request", false, Unknown),
            Kind::TableDown => (503, "the platform's table does not answer", true, No),
            Kind::KeyRequired => (400, "the call needs an Idempotency-Key", false, No),
            Kind::KeyReused => (422, "the Idempotency-Key was used otherwise", false, No),
            Kind::NotRun => (503, "the call did not run", true, No),
            Kind::OutcomeUnknown => (504, "the outcome of the call is unknown", false, Unknown),
            Kind::VersionConflict => (412, "the configuration has changed since", false, No),
            Kind::VersionRequired => (428, "the patch needs an If-Match header", false, No),
            Kind::InvalidConfig => (422, "the patched configuration is not valid", false, No),
            Kind::Internal => (500, "an internal error occurred", true, Unknown),
        };
        ErrorResponse {
            status,
            message,
            retry,
            ran,
        }
    }

    /// Returns the `type` of the OpenAI error object for this kind.
    pub fn openai_type(self) -> &'static str {
        match self.response().status {
            401 => "authentication_error",
            403 => "permission_error",
            429 => "rate_limit_error",
            500.. => "server_error",
            _ => "invalid_request_error",
        }
    }
}

/// Refusal of a request, with its cause and an optional retry delay.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{kind}: {detail}")]
pub struct Refusal {
    /// Kind of the refusal.
    pub kind: Kind,
    /// Sentence that names the offending input.
    pub detail: String,
    /// Delay after which a retry may succeed.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal of `kind`; `detail` names the offending input.
    pub fn new(kind: Kind, detail: impl Into<String>) -> Self {
        Refusal {
            kind,
            detail: detail.into(),
            retry_after: None,
        }
    }

    /// Sets the delay after which a retry may succeed.
    pub fn retry_after(self, wait: Duration) -> Self {
        Refusal {
            retry_after: Some(wait),
            ..self
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use strum::IntoEnumIterator;

    #[test]
    fn every_kind_has_an_error_status_and_a_message() {
        for kind in Kind::iter() {
            let answer = kind.response();
            assert!((400..600).contains(&answer.status), "{kind}");
            assert!(!answer.message.is_empty(), "{kind}");
        }
    }
}
