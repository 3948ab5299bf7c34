//! Orders to model engines and their reports about themselves.

use std::sync::Arc;

use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::Full;
use serde::{Deserialize, Serialize};

use super::heads::EXPECT_INSTANCE;
use super::listing::{self, WireCopies, WireHeld};
use crate::edge::orders::{Order, Outcome, Report, Verb};

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
    models: Vec<WireHeld>,
    /// Adapters on their way, as MODEL/NAME@VERSION.
    #[serde(default)]
    incoming: Vec<String>,
    in_flight: bool,
    /// Counts the orders that the engine accepted.
    seq: u64,
    born: Option<u64>,
    #[serde(default)]
    queued: u32,
    #[serde(default)]
    active: u32,
    available: Option<WireCopies>,
}

/// The request that carries `order` to the engine at `addr`.
pub fn request(order: &Order, addr: &str) -> http::Result<Request<Full<Bytes>>> {
    let wire = WireOrder {
        op: match order.verb {
            Verb::Load => "load",
            Verb::Unload => "evict",
        },
        model: &order.model,
        adapter: order.adapter.as_deref(),
        expected: order.expected,
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

/// What an engine's answer to an order means.
pub fn outcome(status: StatusCode) -> Outcome {
    match status.as_u16() {
        202 => Outcome::Accepted,
        200 => Outcome::Holds,
        409 => Outcome::Busy,
        412 => Outcome::Fenced,
        421 => Outcome::Replaced,
        _ => Outcome::Refused,
    }
}

/// The request for the report of the engine at `addr`.
pub fn report_request(addr: &str) -> http::Result<Request<Full<Bytes>>> {
    Request::builder()
        .uri("/report")
        .header(header::HOST, addr)
        .body(Full::default())
}

/// Reads an engine's report.
pub fn report(bytes: &[u8]) -> Result<Report, serde_json::Error> {
    let wire: WireReport = serde_json::from_slice(bytes)?;
    let incoming = wire.incoming.iter().map(|name| {
        let name = name.split('@').next().unwrap_or_default();
        Arc::from(name)
    });
    Ok(Report {
        incoming: incoming.collect(),
        held: listing::held(wire.models),
        busy: wire.in_flight,
        orders: wire.seq,
        born: wire.born.unwrap_or(0),
        running: wire.active,
        waiting: wire.queued,
        copies: wire.available.map(listing::copies),
    })
}
