//! An HTTP server with a thread for each request that can die at once.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use serde::Serialize;
use serde::de::DeserializeOwned;
use socket2::{Domain, Socket, Type};
use tiny_http::{Header, Request, Response};

use crate::platform::escape::decode;

/// Connections that may wait to be accepted.
const BACKLOG: i32 = 1_024;

/// Longest wait for a port of a server that has just stopped.
const BIND_LIMIT: Duration = Duration::from_secs(5);

/// Pause between attempts to bind.
const BIND_PAUSE: Duration = Duration::from_millis(2);

/// A server; dropping it stops it.
pub struct Server {
    addr: SocketAddr,
    alive: Arc<AtomicBool>,
    listener: Socket,
    server: Arc<tiny_http::Server>,
    thread: Option<JoinHandle<()>>,
}

impl Server {
    /// Serves `addr`; port 0 takes a free one.
    pub fn start<F>(addr: SocketAddr, handler: F) -> io::Result<Server>
    where
        F: Fn(Exchange) + Send + Sync + 'static,
    {
        let listener = bind(addr)?;
        let twin = TcpListener::from(listener.try_clone()?);
        let addr = twin.local_addr()?;
        let server = tiny_http::Server::from_listener(twin, None).map_err(io::Error::other)?;
        let server = Arc::new(server);
        let alive = Arc::new(AtomicBool::new(true));
        let thread = Some(serve(server.clone(), alive.clone(), Arc::new(handler)));
        Ok(Server {
            addr,
            alive,
            listener,
            server,
            thread,
        })
    }

    /// Address that it serves.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Closes the port and every connection, as the death of a process does.
    /// Requests that come on connections accepted before are hung up.
    pub fn kill(&self) {
        self.alive.store(false, Ordering::SeqCst);
        let _ = self.listener.shutdown(std::net::Shutdown::Both);
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.kill();
        self.server.unblock();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Binds `addr`, waiting until a server that has just stopped has let go.
/// Accepted sockets inherit the option to send small segments at once.
fn bind(addr: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_tcp_nodelay(true)?;
    let start = Instant::now();
    loop {
        match socket.bind(&addr.into()) {
            Err(e) if e.kind() == io::ErrorKind::AddrInUse && start.elapsed() < BIND_LIMIT => {
                thread::sleep(BIND_PAUSE);
            }
            outcome => break outcome?,
        }
    }
    socket.listen(BACKLOG)?;
    Ok(socket)
}

fn serve(
    server: Arc<tiny_http::Server>,
    alive: Arc<AtomicBool>,
    handler: Arc<dyn Fn(Exchange) + Send + Sync>,
) -> JoinHandle<()> {
    thread::spawn(move || {
        // The end of accepting arrives as an error, too; only the message
        // after it that `unblock` sends ends the loop.
        let mut errors = 0;
        while errors < 2 {
            let Ok(request) = server.recv() else {
                errors += 1;
                continue;
            };
            let handler = handler.clone();
            let alive = alive.clone();
            thread::spawn(move || {
                if let Some(exchange) = Exchange::read(request, alive) {
                    handler(exchange);
                }
            });
        }
    })
}

/// A request that waits for its answer.
pub struct Exchange {
    /// Method.
    pub method: String,
    /// Decoded segments of the path.
    pub path: Vec<String>,
    /// Decoded query parameters.
    pub query: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
    request: Request,
    alive: Arc<AtomicBool>,
}

impl Exchange {
    fn read(mut request: Request, alive: Arc<AtomicBool>) -> Option<Exchange> {
        let mut body = Vec::new();
        let outcome = request.as_reader().read_to_end(&mut body);
        let url = request.url().to_owned();
        let (path, query) = url.split_once('?').unwrap_or((&url, ""));
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let exchange = Exchange {
            method: request.method().to_string(),
            path: path.split('/').skip(1).map(decode).collect(),
            query: pairs.map(|(k, v)| (decode(k), decode(v))).collect(),
            body,
            request,
            alive,
        };
        if outcome.is_err() || !exchange.alive() {
            exchange.hang_up();
            return None;
        }
        Some(exchange)
    }

    /// Method and path, for a `match`.
    pub fn route(&self) -> (&str, Vec<&str>) {
        let path = self.path.iter().map(String::as_str);
        (&self.method, path.collect())
    }

    /// Value of a query parameter.
    pub fn param(&self, name: &str) -> Option<&str> {
        let pair = self.query.iter().find(|(k, _)| k == name)?;
        Some(&pair.1)
    }

    /// Value of a header; empty where it is missing.
    pub fn header(&self, name: &'static str) -> &str {
        let mut headers = self.request.headers().iter();
        let header = headers.find(|h| h.field.equiv(name));
        header.map_or("", |h| h.value.as_str())
    }

    /// Whether the bearer key is `key`; an empty one allows everything.
    pub fn allowed(&self, key: &str) -> bool {
        key.is_empty() || self.header("authorization").strip_prefix("Bearer ") == Some(key)
    }

    /// Body as JSON.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, String> {
        serde_json::from_slice(&self.body).map_err(|e| e.to_string())
    }

    /// Whether the server still lives.
    pub fn alive(&self) -> bool {
        self.alive.load(Ordering::SeqCst)
    }

    /// Answers with JSON.
    pub fn answer<T: Serialize>(self, status: u16, value: &T) {
        let body = serde_json::to_vec(value).unwrap_or_default();
        self.answer_bytes(status, body);
    }

    /// Answers with bytes.
    pub fn answer_bytes(self, status: u16, body: Vec<u8>) {
        if !self.alive() {
            return self.hang_up();
        }
        let kind = Header::from_bytes("Content-Type", "application/json");
        let response = Response::from_data(body).with_status_code(status);
        let response = kind.into_iter().fold(response, Response::with_header);
        let _ = self.request.respond(response);
    }

    /// Closes the connection without an answer.
    pub fn hang_up(self) {
        drop(self.request.into_writer());
    }

    /// Starts a stream of server-sent events.
    pub fn stream(self) -> io::Result<EventStream> {
        let mut stream = EventStream {
            writer: self.request.into_writer(),
            alive: self.alive,
        };
        let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\
                    Transfer-Encoding: chunked\r\n\r\n";
        stream.write(head)?;
        Ok(stream)
    }
}

/// A stream of server-sent events.
pub struct EventStream {
    writer: Box<dyn Write + Send>,
    alive: Arc<AtomicBool>,
}

impl EventStream {
    /// Sends one event and flushes it.
    pub fn event(&mut self, data: &str) -> io::Result<()> {
        self.chunk(&format!("data: {data}\n\n"))
    }

    /// Sends a comment, which shows whether the client is still there.
    pub fn comment(&mut self) -> io::Result<()> {
        self.chunk(":\n\n")
    }

    /// Whether the server still lives.
    pub fn alive(&self) -> bool {
        self.alive.load(Ordering::SeqCst)
    }

    /// Ends the stream as it should.
    pub fn finish(&mut self) -> io::Result<()> {
        self.event("[DONE]")?;
        self.write("0\r\n\r\n")
    }

    fn chunk(&mut self, text: &str) -> io::Result<()> {
        self.write(&format!("{:x}\r\n{text}\r\n", text.len()))
    }

    fn write(&mut self, text: &str) -> io::Result<()> {
        if !self.alive() {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        self.writer.write_all(text.as_bytes())?;
        self.writer.flush()
    }
}
