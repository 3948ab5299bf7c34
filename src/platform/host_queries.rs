//! Questions that callers and the platform ask beside requests.

use http::{Method, Uri};
use serde::Serialize;

/// A question to this host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HostQuery {
    /// Which addresses to use.
    Entry,
    /// Whether this host is ready.
    Ready,
    /// The metrics.
    Metrics,
}

/// Reads a question; `None` for any other request.
pub fn parse_query(method: &Method, uri: &Uri) -> Option<HostQuery> {
    if method != Method::GET {
        return None;
    }
    match uri.path() {
        "/resolve" => Some(HostQuery::Entry),
        "/readyz" => Some(HostQuery::Ready),
        "/metrics" => Some(HostQuery::Metrics),
        _ => None,
    }
}

#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct WireEntry<'a> {
    addrs: &'a [String],
    ttl_s: f64,
}

/// The answer that names the addresses to use for `ttl_s` seconds.
pub fn entry_response(addrs: &[String], ttl_s: f64) -> String {
    serde_json::to_string(&WireEntry { addrs, ttl_s }).unwrap_or_default()
}
