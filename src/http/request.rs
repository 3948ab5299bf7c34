//! Request ids, request context and access to request headers.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tiny_http::Request;

use crate::clock::Moment;
use crate::config::Name;

/// Generates request ids that are unique across hosts and restarts.
#[derive(Debug)]
pub struct RequestIds {
    prefix: String,
    next_number: AtomicU64,
}

impl RequestIds {
    /// Creates the generator for one incarnation of a host.
    pub fn new(host: &str, incarnation: u64) -> Self {
        RequestIds {
            prefix: format!("{host}-{incarnation:x}"),
            next_number: AtomicU64::new(1),
        }
    }

    /// Returns a new id.
    pub fn next_id(&self) -> Name {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        format!("{}-{number:x}", self.prefix).into()
    }
}

/// Identity, priority and deadline of one request.
#[derive(Clone, Debug)]
pub struct RequestContext {
    /// Request id.
    pub id: Name,
    /// Caller.
    pub caller: Name,
    /// Priority; higher first.
    pub priority: u8,
    /// Time of arrival.
    pub arrival: Moment,
    /// Time by which the first token must be sent.
    pub deadline: Moment,
}

impl RequestContext {
    /// Returns the time from `now` to the deadline.
    pub fn time_left(&self, now: Moment) -> Duration {
        self.deadline.saturating_sub(now)
    }
}

/// Returns the value of a header.
pub fn header_value<'a>(request: &'a Request, name: &'static str) -> Option<&'a str> {
    let header = request.headers().iter().find(|h| h.field.equiv(name))?;
    Some(header.value.as_str())
}

/// Returns the bearer key of a request.
pub fn bearer_key(request: &Request) -> Option<&str> {
    header_value(request, "Authorization")?.strip_prefix("Bearer ")
}

/// Returns the path of a request without its query.
pub fn path(request: &Request) -> &str {
    let url = request.url();
    url.split_once('?').map_or(url, |(path, _)| path)
}

/// Returns the value of one query parameter, still percent-encoded.
pub fn query_value<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    let (_, query) = request.url().split_once('?')?;
    for pair in query.split('&') {
        let Some((key, value)) = pair.split_once('=') else {
            continue;
        };
        if key == name {
            return Some(value);
        }
    }
    None
}
