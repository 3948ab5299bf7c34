//! Encodes calls to engines, and decodes their reports.

use std::sync::Arc;

use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::Full;
use serde::{Deserialize, Serialize};

use super::engine_entry::{self, WireCopies, WireModel};
use super::headers::EXPECT_INSTANCE;
use crate::edge::orders::{EngineReport, Order, OrderOutcome, Verb};

#[derive(Serialize)]
struct WireOrder<'a> {
    op: &'static str,
    model: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    adapter: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    expected: Option<u64>,
    holder: &'a str,
    fence: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireReport {
    #[serde(default)]
    models: Vec<WireModel>,
    /// Adapters that are loading, as MODEL/NAME@VERSION.
    #[serde(default)]
    incoming: Vec<String>,
    in_flight: bool,
    /// Number of orders that the engine has accepted.
    seq: u64,
    /// Start time of the engine, ms since the Unix epoch.
    born: Option<u64>,
    #[serde(default)]
    queued: u32,
    #[serde(default)]
    active: u32,
    available: Option<WireCopies>,
}

/// Returns the HTTP request for `order` to the engine at `addr`.
pub fn order_request(order: &Order, addr: &str) -> http::Result<Request<Full<Bytes>>> {
    let wire = WireOrder {
        op: match order.verb {
            Verb::Load => "load",
            Verb::Unload => "evict",
        },
        model: &order.model,
        adapter: order.adapter.as_deref(),
        expected: order.expected_count,
        holder: &order.leader,
        fence: order.fence,
    };
    let body = serde_json::to_vec(&wire).unwrap_or_default();
    Request::builder()
        .method(Method::POST)
        .uri("/order")
        .header(header::HOST, addr)
        .header(header::CONTENT_TYPE, "application/json")
        .header(EXPECT_INSTANCE, &*order.engine)
        .body(Full::new(body.into()))
}

/// Returns the outcome of an order from the status of the engine's response.
pub fn order_outcome(status: StatusCode) -> OrderOutcome {
    match status.as_u16() {
        202 => OrderOutcome::Accepted,
        200 => OrderOutcome::AlreadyDone,
        409 => OrderOutcome::Busy,
        412 => OrderOutcome::Fenced,
        421 => OrderOutcome::Replaced,
        _ => OrderOutcome::Refused,
    }
}

/// Returns the HTTP request for the report of the engine at `addr`.
pub fn report_request(addr: &str) -> http::Result<Request<Full<Bytes>>> {
    Request::builder()
        .uri("/report")
        .header(header::HOST, addr)
        .body(Full::default())
}

/// Returns the HTTP request for the health of `engine` at `addr`.
pub fn health_request(path: &str, engine: &str, addr: &str) -> http::Result<Request<Full<Bytes>>> {
    Request::builder()
        .uri(path)
        .header(header::HOST, addr)
        .header(EXPECT_INSTANCE, engine)
        .body(Full::default())
}

/// Decodes an engine's report.
pub fn decode_report(bytes: &[u8]) -> Result<EngineReport, serde_json::Error> {
    let wire: WireReport = serde_json::from_slice(bytes)?;
    let incoming = wire.incoming.iter().map(|name| {
        let name = name.split('@').next().unwrap_or_default();
        Arc::from(name)
    });
    Ok(EngineReport {
        loading_adapters: incoming.collect(),
        models: engine_entry::decode_models(wire.models),
        busy: wire.in_flight,
        order_count: wire.seq,
        incarnation: wire.born.unwrap_or(0),
        running: wire.active,
        waiting: wire.queued,
        copies: wire.available.map(engine_entry::decode_copies),
    })
}
