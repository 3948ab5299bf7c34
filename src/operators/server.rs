//! The operators' port: a few threads that read requests and send answers.

use std::collections::BTreeMap;
use std::io::{self, Cursor, Read};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread::{self, JoinHandle};

use tiny_http::{Header, Request, Response, Server};

use super::api::{Api, Ask};
use super::host::Host;
use super::reply::{Problem, Reply};
use crate::config::Name;
use crate::error::{Kind, Refusal};

/// Threads that answer operators.
const WORKERS: usize = 4;
/// Largest body, bytes; a larger change is made in several patches.
const BODY_BYTES: u64 = 1024 * 1024;
/// Largest head, bytes.
const HEAD_BYTES: usize = 16 * 1024;

/// A running operators' port; dropping it ends it.
pub struct Running {
    server: Arc<Server>,
    addr: SocketAddr,
    threads: Vec<JoinHandle<()>>,
}

impl Running {
    /// Address that it listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        for _ in &self.threads {
            self.server.unblock();
        }
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

/// Serves the operators' API on `listener`.
///
/// Fails when the listener has no address or no thread can be started.
pub fn start<H: Host>(listener: TcpListener, api: Api<H>) -> io::Result<Running> {
    let addr = listener.local_addr()?;
    let server = Server::from_listener(listener, None).map_err(io::Error::other)?;
    let server = Arc::new(server);
    let api = Arc::new(api);
    let mut threads = Vec::new();
    for i in 0..WORKERS {
        let (server, api) = (Arc::clone(&server), Arc::clone(&api));
        let thread = thread::Builder::new().name(format!("operators-{i}"));
        threads.push(thread.spawn(move || work(&server, &api))?);
    }
    Ok(Running {
        server,
        addr,
        threads,
    })
}

/// Answers requests until the server is unblocked.
fn work<H: Host>(server: &Server, api: &Api<H>) {
    while let Ok(request) = server.recv() {
        serve(request, api);
    }
}

fn serve<H: Host>(mut request: Request, api: &Api<H>) {
    let mut ask = ask(&request);
    let id = Name::clone(&ask.id);
    let outcome = bounded(&request)
        .and_then(|()| api.admit(&ask))
        .and_then(|()| body(&mut request, &mut ask))
        .and_then(|()| api.answer(&ask));
    let reply = outcome.unwrap_or_else(|problem| {
        let refusal = &problem.refusal;
        log::info!(request = &*id; "{} {} refused: {refusal}", ask.method, ask.path);
        Reply::problem(problem, &id)
    });
    if let Err(err) = request.respond(response(reply, &id)) {
        log::debug!(request = &*id; "the operator hung up: {err}");
    }
}

fn ask(request: &Request) -> Ask {
    let (path, query) = match request.url().split_once('?') {
        Some((path, query)) => (path, query),
        None => (request.url(), ""),
    };
    let bearer = header(request, "Authorization");
    let key = bearer.and_then(|value| value.strip_prefix("Bearer ").map(str::to_owned));
    Ask {
        id: format!("o-{:016x}", rand::random::<u64>()).into(),
        method: request.method().to_string(),
        path: path.to_owned(),
        query: parameters(query),
        key,
        matches: header(request, "If-Match"),
        differs: header(request, "If-None-Match"),
        attempt: header(request, "Idempotency-Key"),
        body: Vec::new(),
    }
}

fn header(request: &Request, name: &'static str) -> Option<String> {
    let found = request.headers().iter().find(|h| h.field.equiv(name))?;
    Some(found.value.to_string())
}

fn parameters(query: &str) -> BTreeMap<String, String> {
    let mut parameters = BTreeMap::new();
    for pair in query.split('&') {
        let Some((name, value)) = pair.split_once('=') else {
            continue;
        };
        parameters.insert(name.to_owned(), value.to_owned());
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

fn body(request: &mut Request, ask: &mut Ask) -> Result<(), Problem> {
    let detail = format!("the body exceeds {BODY_BYTES} bytes");
    let too_large = Refusal::new(Kind::BodyTooLarge, detail);
    if request.body_length().is_some_and(|n| n as u64 > BODY_BYTES) {
        return Err(too_large.into());
    }
    let mut reader = request.as_reader().take(BODY_BYTES + 1);
    if let Err(err) = reader.read_to_end(&mut ask.body) {
        let detail = format!("the body broke off: {err}");
        return Err(Refusal::new(Kind::BadRequest, detail).into());
    }
    if ask.body.len() as u64 > BODY_BYTES {
        return Err(too_large.into());
    }
    Ok(())
}

fn response(reply: Reply, id: &str) -> Response<Cursor<Vec<u8>>> {
    let mut response = Response::from_data(reply.body).with_status_code(reply.status);
    let mut headers = vec![
        ("Content-Type", reply.content.to_owned()),
        ("X-Request-Id", id.to_owned()),
    ];
    if let Some(version) = reply.version {
        headers.push(("ETag", format!("\"{version}\"")));
    }
    if let Some(wait) = reply.retry_after {
        headers.push(("Retry-After", wait.as_secs().max(1).to_string()));
    }
    for (name, value) in headers {
        let Ok(header) = Header::from_bytes(name, value) else {
            continue;
        };
        response.add_header(header);
    }
    response
}
