//! An HTTP server with a thread for each request that can die at once.

use std::io::{self, Write};
use std::net::{Shutdown, SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};

use serde::Serialize;
use serde::de::DeserializeOwned;
use socket2::{Domain, Socket, Type};
use tiny_http::{Request, Response};

use crate::platform::escape::decode;

/// Connections that may wait to be accepted.
const BACKLOG: i32 = 1_024;

/// Head of a stream.
const STREAM_HEAD: &str = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\
    Transfer-Encoding: chunked\r\n\r\n";

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
        let listener = Socket::new(Domain::for_address(addr), Type::STREAM, None)?;
        listener.set_reuse_address(true)?;
        // Accepted sockets inherit this: small segments are sent at once.
        listener.set_tcp_nodelay(true)?;
        listener.bind(&addr.into())?;
        listener.listen(BACKLOG)?;
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

    /// Closes the port and breaks every request, as the death of a process does.
    pub fn kill(&self) {
        self.alive.store(false, Ordering::SeqCst);
        let _ = self.listener.shutdown(Shutdown::Both);
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

fn serve(
    server: Arc<tiny_http::Server>,
    alive: Arc<AtomicBool>,
    handler: Arc<dyn Fn(Exchange) + Send + Sync>,
) -> JoinHandle<()> {
    thread::spawn(move || {
        // The closed port is one error; the message of `unblock` is the other.
        let mut errors = 0;
        while errors < 2 {
            let Ok(request) = server.recv() else {
                errors += 1;
                continue;
            };
            let handler = handler.clone();
            let alive = alive.clone();
            thread::spawn(move || {
                Exchange::read(request, alive)
                    .into_iter()
                    .for_each(&*handler)
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
    /// Body.
    pub body: Vec<u8>,
    request: Request,
    alive: Arc<AtomicBool>,
}

impl Exchange {
    fn read(mut request: Request, alive: Arc<AtomicBool>) -> Option<Exchange> {
        let mut body = Vec::new();
        let outcome = request.as_reader().read_to_end(&mut body);
        let path = request.url().split('?').next().unwrap_or_default();
        let exchange = Exchange {
            method: request.method().to_string(),
            path: path.split('/').skip(1).map(decode).collect(),
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

    /// Segments of the path, for a `match`.
    pub fn segments(&self) -> Vec<&str> {
        self.path.iter().map(String::as_str).collect()
    }

    /// Value of a query parameter; empty where it is missing.
    pub fn param(&self, name: &str) -> String {
        let query = self.request.url().split_once('?').unwrap_or_default().1;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let value = pairs.find(|(key, _)| *key == name);
        value.map_or(String::new(), |(_, value)| decode(value))
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
        self.answer_bytes(status, serde_json::to_vec(value).unwrap_or_default());
    }

    /// Answers with bytes.
    pub fn answer_bytes(self, status: u16, body: Vec<u8>) {
        if !self.alive() {
            return self.hang_up();
        }
        let response = Response::from_data(body).with_status_code(status);
        let _ = self.request.respond(response);
    }

    /// Closes the connection without an answer.
    pub fn hang_up(self) {
        drop(self.request.into_writer());
    }

    /// Answers with a stream of server-sent events.
    pub fn stream(self) -> EventStream {
        EventStream {
            writer: self.request.into_writer(),
            alive: self.alive,
        }
    }
}

/// A stream of server-sent events.
pub struct EventStream {
    writer: Box<dyn Write + Send>,
    alive: Arc<AtomicBool>,
}

impl EventStream {
    /// Sends the head.
    pub fn begin(&mut self) -> io::Result<()> {
        self.write(STREAM_HEAD)
    }

    /// Sends lines that form an event or a comment, and flushes them.
    pub fn send(&mut self, lines: &str) -> io::Result<()> {
        self.write(&format!("{:x}\r\n{lines}\n\n\r\n", lines.len() + 2))
    }

    /// Ends the stream as it should.
    pub fn finish(&mut self) -> io::Result<()> {
        self.send("data: [DONE]")?;
        self.write("0\r\n\r\n")
    }

    /// Whether the server still lives.
    pub fn alive(&self) -> bool {
        self.alive.load(Ordering::SeqCst)
    }

    fn write(&mut self, text: &str) -> io::Result<()> {
        if !self.alive() {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        self.writer.write_all(text.as_bytes())?;
        self.writer.flush()
    }
}
