//! An HTTP server that can be stopped abruptly, as by a process crash.

use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use socket2::{Domain, Socket, Type};
use tiny_http::{Request, Response};

use crate::http::guard::GuardSettings;
use crate::http::request;
use crate::http::server::{self, Handler, RefusalCause, RunningServer};
use crate::outside::escape::decode;

/// Limits that no client of a fake reaches.
const LIMITS: GuardSettings = GuardSettings {
    max_connections: usize::MAX,
    max_head: 1 << 30,
    max_body: 1 << 30,
    receive_timeout: Duration::from_secs(3_600),
    send_timeout: Duration::from_secs(3_600),
};
/// Maximum number of connections that wait to be accepted.
const ACCEPT_BACKLOG: i32 = 1_024;

/// An HTTP server that stops when it is dropped.
pub struct Server {
    /// Address on which the server listens.
    pub addr: SocketAddr,
    alive: Arc<AtomicBool>,
    listener: Socket,
    _running: RunningServer,
}

impl Server {
    /// Starts a server on `addr`; port 0 selects a free port.
    pub fn start<F>(addr: SocketAddr, handler: F) -> io::Result<Server>
    where
        F: Fn(Exchange) + Send + Sync + 'static,
    {
        let listener = Socket::new(Domain::for_address(addr), Type::STREAM, None)?;
        listener.set_reuse_address(true)?;
        // Accepted sockets inherit this option: small segments are sent without delay.
        listener.set_tcp_nodelay(true)?;
        listener.bind(&addr.into())?;
        listener.listen(ACCEPT_BACKLOG)?;
        let accepting = TcpListener::from(listener.try_clone()?);
        let addr = accepting.local_addr()?;
        let alive = Arc::new(AtomicBool::new(true));
        let exchange_handler = ExchangeHandler {
            handler,
            alive: alive.clone(),
        };
        let running = server::start(accepting, u32::MAX, LIMITS, Arc::new(exchange_handler))
            .map_err(io::Error::other)?;
        Ok(Server {
            addr,
            alive,
            listener,
            _running: running,
        })
    }

    /// Closes the port and the connection of every request, as a process crash does.
    pub fn kill(&self) {
        self.alive.store(false, Ordering::SeqCst);
        let _ = self.listener.shutdown(Shutdown::Both);
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.kill();
    }
}

struct ExchangeHandler<F> {
    handler: F,
    alive: Arc<AtomicBool>,
}

impl<F: Fn(Exchange) + Send + Sync + 'static> Handler for ExchangeHandler<F> {
    fn handle(&self, mut request: Request) {
        let mut body = Vec::new();
        let outcome = request.as_reader().read_to_end(&mut body);
        let segments = request::path(&request).split('/').skip(1);
        let exchange = Exchange {
            path: segments.map(decode).collect(),
            body,
            request,
            alive: self.alive.clone(),
        };
        match outcome {
            Ok(_) if exchange.is_alive() => (self.handler)(exchange),
            _ => exchange.close(),
        }
    }

    fn refuse(&self, request: Request, _: RefusalCause) {
        drop(request.into_writer());
    }
}

/// A request that waits for its response.
pub struct Exchange {
    /// Percent-decoded segments of the path.
    pub path: Vec<String>,
    /// Body of the request.
    pub body: Vec<u8>,
    /// The request itself.
    pub request: Request,
    alive: Arc<AtomicBool>,
}

impl Exchange {
    /// Returns the method and the path segments, for use in a `match`.
    pub fn route(&self) -> (&str, Vec<&str>) {
        let path = self.path.iter().map(String::as_str);
        (self.request.method().as_str(), path.collect())
    }

    /// Returns the value of a query parameter, or an empty string if it is missing.
    pub fn query_param(&self, name: &str) -> String {
        decode(request::query_value(&self.request, name).unwrap_or_default())
    }

    /// Returns the value of a header, or an empty string if it is missing.
    pub fn header(&self, name: &'static str) -> String {
        request::header_value(&self.request, name)
            .unwrap_or_default()
            .into()
    }

    /// Returns whether the bearer key is `key`; an empty `key` allows every request.
    pub fn is_authorized(&self, key: &str) -> bool {
        key.is_empty() || request::bearer_key(&self.request) == Some(key)
    }

    /// Parses the body as JSON.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, String> {
        serde_json::from_slice(&self.body).map_err(|e| e.to_string())
    }

    /// Returns whether the server is still running.
    pub fn is_alive(&self) -> bool {
        self.alive.load(Ordering::SeqCst)
    }

    /// Returns the flag that [`Exchange::is_alive`] reads.
    pub fn alive_flag(&self) -> Arc<AtomicBool> {
        self.alive.clone()
    }

    /// Sends a JSON response.
    pub fn respond_json<T: Serialize>(self, status: u16, value: &T) {
        self.respond_bytes(status, serde_json::to_vec(value).unwrap_or_default());
    }

    /// Sends `body` as the response, or closes the connection if the server was killed.
    pub fn respond_bytes(self, status: u16, body: Vec<u8>) {
        if !self.is_alive() {
            return self.close();
        }
        let response = Response::from_data(body).with_status_code(status);
        let _ = self.request.respond(response);
    }

    /// Closes the connection without a response.
    pub fn close(self) {
        drop(self.request.into_writer());
    }
}
