//! HTTP server on the operators' port.

use std::collections::BTreeMap;
use std::io::{self, Cursor};
use std::net::TcpListener;
use std::sync::Arc;

use tiny_http::{Request, Response};

use super::api::{OperatorApi, OperatorRequest};
use super::backend::ApiBackend;
use super::response::{ApiResponse, Problem};
use crate::clock::Clock;
use crate::error::{Kind, Refusal};
use crate::http::guard::{GuardSettings, read_body};
use crate::http::request::{RequestIds, bearer_key, header_value, path};
use crate::http::response::{REQUEST_ID_HEADER, header, retry_after_seconds};
use crate::http::server::{self, Handler, RefusalCause};
use crate::outside::escape::decode;

pub use crate::http::server::RunningServer;

/// Most operator requests in progress at once.
pub const MAX_REQUESTS: u32 = 16;
/// Largest body, bytes; larger changes need several patches.
const MAX_BODY_BYTES: u64 = 1024 * 1024;
/// Largest head, bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Most operator connections at once.
const MAX_CONNECTIONS: usize = 64;

/// Handles the requests on the operators' port.
#[derive(Debug)]
pub struct OperatorHandler<B> {
    /// Routes of the API.
    pub api: OperatorApi<B>,
    /// Request ids.
    pub ids: RequestIds,
}

/// Serves the operators' API on `listener` until the returned server is dropped.
///
/// # Errors
///
/// Fails if the listener is not usable or a thread cannot be started.
pub fn start<B: ApiBackend>(
    listener: TcpListener,
    api: OperatorApi<B>,
) -> io::Result<RunningServer> {
    let ids = RequestIds::new(
        &format!("{}-o", api.backend.status().host),
        Clock::unix_ms(),
    );
    let operators = Arc::new(OperatorHandler { api, ids });
    server::start(listener, MAX_REQUESTS, guard_settings(), operators).map_err(io::Error::other)
}

/// Returns the limits on operator connections.
pub fn guard_settings() -> GuardSettings {
    GuardSettings {
        max_connections: MAX_CONNECTIONS,
        max_head: MAX_HEAD_BYTES as u64,
        max_body: MAX_BODY_BYTES,
        ..GuardSettings::default()
    }
}

impl<B: ApiBackend> Handler for OperatorHandler<B> {
    fn handle(&self, mut request: Request) {
        let id = self.ids.next_id();
        let mut parsed = parse_request(&request);
        parsed.id = id.clone();
        let outcome = check_head(&request)
            .and_then(|()| self.api.check_access(&parsed))
            .and_then(|()| {
                Ok(read_body(
                    &mut request,
                    MAX_BODY_BYTES,
                    guard_settings().receive_timeout,
                )?)
            })
            .and_then(|body| {
                parsed.body = body;
                self.api.handle(&parsed)
            });
        let response = outcome.unwrap_or_else(|problem| {
            let refusal = &problem.refusal;
            log::info!(request = &*id; "{} {} refused: {refusal}", parsed.method, parsed.path);
            ApiResponse::problem(problem, &id)
        });
        send(request, response, &id);
    }

    fn refuse(&self, request: Request, cause: RefusalCause) {
        let id = self.ids.next_id();
        let busy = format!("{MAX_REQUESTS} requests of operators are in progress at this host");
        let refusal = cause.refusal(&busy);
        send(request, ApiResponse::problem(refusal.into(), &id), &id);
    }
}

fn parse_request(request: &Request) -> OperatorRequest {
    let text = |name| header_value(request, name).map(str::to_owned);
    let query = request.url().split_once('?').map_or("", |(_, query)| query);
    OperatorRequest {
        id: "".into(),
        method: request.method().to_string(),
        path: path(request).to_owned(),
        query: parse_query(query),
        key: bearer_key(request).map(str::to_owned),
        if_match: text("If-Match"),
        if_none_match: text("If-None-Match"),
        attempt: text("Idempotency-Key"),
        body: Vec::new(),
    }
}

fn parse_query(query: &str) -> BTreeMap<String, String> {
    let mut parameters = BTreeMap::new();
    for pair in query.split('&') {
        let Some((name, value)) = pair.split_once('=') else {
            continue;
        };
        parameters.insert(decode(name), decode(value));
    }
    parameters
}

fn check_head(request: &Request) -> Result<(), Problem> {
    let mut head_bytes = request.url().len();
    for header in request.headers() {
        head_bytes += header.field.as_str().as_str().len() + header.value.len();
    }
    if head_bytes > MAX_HEAD_BYTES {
        let detail = format!("the head has {head_bytes} bytes, allowed are {MAX_HEAD_BYTES}");
        return Err(Refusal::new(Kind::HeadTooLarge, detail).into());
    }
    Ok(())
}

fn send(request: Request, response: ApiResponse, id: &str) {
    let mut message = Response::new(
        response.status.into(),
        vec![
            header("Content-Type", response.content_type),
            header(REQUEST_ID_HEADER, id),
        ],
        Cursor::new(&response.body),
        Some(response.body.len()),
        None,
    );
    if let Some(version) = response.version {
        message.add_header(header("ETag", &format!("\"{version}\"")));
    }
    if let Some(wait) = response.retry_after {
        message.add_header(header("Retry-After", &retry_after_seconds(wait)));
    }
    if let Err(err) = request.respond(message) {
        log::debug!(request = id; "cannot send the response to the operator: {err}");
    }
}
