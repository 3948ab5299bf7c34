//! The operators' port: reads requests and sends answers.

use std::collections::BTreeMap;
use std::io::{self, Cursor};
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use tiny_http::{Request, Response};

use super::api::{Api, Ask};
use super::host::Host;
use super::reply::{Problem, Reply};
use crate::clock::Clock;
use crate::error::{Kind, Refusal};
use crate::http::guard::{GuardSettings, read_body};
use crate::http::request::{RequestIds, bearer_key, header_value, path};
use crate::http::response::{REQUEST_ID_HEADER, header, retry_after_seconds};
use crate::http::server::{self, Handler};

use crate::outside::escape::decode;

pub use crate::http::server::RunningServer;

/// Most requests of operators in progress at once.
pub const MOST: u32 = 16;
/// Largest body, bytes; a larger change is made in several patches.
const BODY_BYTES: u64 = 1024 * 1024;
/// Largest head, bytes.
const HEAD_BYTES: usize = 16 * 1024;
/// Most connections of operators at once.
const CONNECTIONS: usize = 64;
/// Wait that a refusal for too many requests names.
const COME_BACK: Duration = Duration::from_secs(1);

/// Serves operators.
#[derive(Debug)]
pub struct Operators<H> {
    /// Paths and rules.
    pub api: Api<H>,
    /// Request ids.
    pub ids: RequestIds,
}

/// Serves the operators' API on `listener` until the answer is dropped.
///
/// Fails when the listener is refused or no thread can be started.
pub fn start<H: Host>(listener: TcpListener, api: Api<H>) -> io::Result<RunningServer> {
    let ids = RequestIds::new(&format!("{}-o", api.host.status().host), Clock::unix_ms());
    let operators = Arc::new(Operators { api, ids });
    server::start(listener, MOST, Some(bounds()), operators).map_err(io::Error::other)
}

/// Bounds on the connections of operators.
pub fn bounds() -> GuardSettings {
    GuardSettings {
        max_connections: CONNECTIONS,
        max_head: HEAD_BYTES as u64,
        max_body: BODY_BYTES,
        ..GuardSettings::default()
    }
}

impl<H: Host> Handler for Operators<H> {
    fn handle(&self, mut request: Request) {
        let id = self.ids.next_id();
        let mut ask = ask(&request);
        ask.id = id.clone();
        let outcome = bounded(&request)
            .and_then(|()| self.api.admit(&ask))
            .and_then(|()| {
                Ok(read_body(
                    &mut request,
                    BODY_BYTES,
                    bounds().receive_timeout,
                )?)
            })
            .and_then(|body| {
                ask.body = body;
                self.api.answer(&ask)
            });
        let reply = outcome.unwrap_or_else(|problem| {
            let refusal = &problem.refusal;
            log::info!(request = &*id; "{} {} refused: {refusal}", ask.method, ask.path);
            Reply::problem(problem, &id)
        });
        send(request, reply, &id);
    }

    fn refuse(&self, request: Request) {
        let id = self.ids.next_id();
        let detail = format!("{MOST} requests of operators are in progress at this host");
        let refusal = Refusal::new(Kind::QueueFull, detail).retry_after(COME_BACK);
        send(request, Reply::problem(refusal.into(), &id), &id);
    }
}

fn ask(request: &Request) -> Ask {
    let text = |name| header_value(request, name).map(str::to_owned);
    let query = request.url().split_once('?').map_or("", |(_, query)| query);
    Ask {
        id: "".into(),
        method: request.method().to_string(),
        path: path(request).to_owned(),
        query: parameters(query),
        key: bearer_key(request).map(str::to_owned),
        matches: text("If-Match"),
        differs: text("If-None-Match"),
        attempt: text("Idempotency-Key"),
        body: Vec::new(),
    }
}

fn parameters(query: &str) -> BTreeMap<String, String> {
    let mut parameters = BTreeMap::new();
    for pair in query.split('&') {
        let Some((name, value)) = pair.split_once('=') else {
            continue;
        };
        parameters.insert(decode(name), decode(value));
    }
    parameters
}

fn bounded(request: &Request) -> Result<(), Problem> {
    let mut head = request.url().len();
    for header in request.headers() {
        head += header.field.as_str().as_str().len() + header.value.len();
    }
    if head > HEAD_BYTES {
        let detail = format!("the head has {head} bytes, allowed are {HEAD_BYTES}");
        return Err(Refusal::new(Kind::HeadTooLarge, detail).into());
    }
    Ok(())
}

fn send(request: Request, reply: Reply, id: &str) {
    let mut response = Response::new(
        reply.status.into(),
        vec![
            header("Content-Type", reply.content),
            header(REQUEST_ID_HEADER, id),
        ],
        Cursor::new(&reply.body),
        Some(reply.body.len()),
        None,
    );
    if let Some(version) = reply.version {
        response.add_header(header("ETag", &format!("\"{version}\"")));
    }
    if let Some(wait) = reply.retry_after {
        response.add_header(header("Retry-After", &retry_after_seconds(wait)));
    }
    if let Err(err) = request.respond(response) {
        log::debug!(request = id; "the operator hung up: {err}");
    }
}
