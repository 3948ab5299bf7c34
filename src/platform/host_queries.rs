//! Queries about this host by callers and the platform.

use http::{Method, Uri};
use serde::Serialize;

/// A query about this host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HostQuery {
    /// The addresses that callers should use.
    Entry,
    /// The readiness of this host.
    Ready,
    /// The metrics.
    Metrics,
}

/// Parses a query; returns `None` for any other request.
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
struct WireAddresses<'a> {
    addrs: &'a [String],
    ttl_s: f64,
}

/// Returns the body of the response with the addresses that callers should use for
/// `ttl_s` seconds.
pub fn entry_response(addrs: &[String], ttl_s: f64) -> String {
    serde_json::to_string(&WireAddresses { addrs, ttl_s }).unwrap_or_default()
}
