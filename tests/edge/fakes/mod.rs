//! Fakes of the platform's store and engines on loopback ports.

pub mod daemon;
pub mod engine;
pub mod store;

use std::io;
use std::sync::mpsc;
use std::thread;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::runtime::{Builder, Handle};
use tokio::sync::oneshot;

thread_local! {
    static RUNTIME: FakesRuntime = FakesRuntime::start();
}

/// Returns the runtime of the fakes of a test, which has its own thread: other tests of the
/// process, some with bytes without end, must not keep its engines silent.
pub fn runtime() -> Handle {
    RUNTIME.with(|runtime| runtime.handle.clone())
}

/// A runtime that ends with the thread of the test.
struct FakesRuntime {
    handle: Handle,
    _running: oneshot::Sender<()>,
}

impl FakesRuntime {
    fn start() -> Self {
        let (sender, receiver) = mpsc::channel();
        let (running, ended) = oneshot::channel();
        thread::spawn(move || {
            let runtime = Builder::new_current_thread().enable_all().build().unwrap();
            sender.send(runtime.handle().clone()).unwrap();
            // The sender is dropped, which is an error, when the test ends.
            let _ = runtime.block_on(ended);
        });
        FakesRuntime {
            handle: receiver.recv().unwrap(),
            _running: running,
        }
    }
}

/// What marks the end of an engine's streams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Framing {
    /// The last chunk.
    #[default]
    Chunked,
    /// The end of the connection.
    Close,
}

impl Framing {
    /// Returns the header lines of the framing.
    pub fn header(self) -> &'static str {
        match self {
            Framing::Chunked => "Transfer-Encoding: chunked\r\n",
            Framing::Close => "",
        }
    }

    /// Returns a part of a body as it is sent.
    pub fn frame(self, text: &str) -> String {
        match self {
            Framing::Chunked => format!("{:x}\r\n{text}\r\n", text.len()),
            Framing::Close => text.to_owned(),
        }
    }

    /// Ends a body in order. The error ends the connection.
    pub async fn end(self, stream: &mut TcpStream) -> io::Result<()> {
        match self {
            Framing::Chunked => stream.write_all(b"0\r\n\r\n").await,
            Framing::Close => {
                stream.shutdown().await?;
                Err(io::ErrorKind::BrokenPipe.into())
            }
        }
    }
}

/// A request as received.
#[derive(Clone, Debug, Default)]
pub struct ReceivedRequest {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl ReceivedRequest {
    pub fn header(&self, name: &str) -> &str {
        let found = self
            .headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let query = self.target.split_once('?')?.1;
        query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(n, _)| *n == name)
            .map(|(_, value)| value)
    }
}

/// Reads one request; returns `None` when the connection has ended. `rest` keeps the
/// bytes read beyond the request.
pub async fn read_request(
    stream: &mut TcpStream,
    rest: &mut Vec<u8>,
) -> io::Result<Option<ReceivedRequest>> {
    let Some(mut request) = read_head(stream, rest).await? else {
        return Ok(None);
    };
    let whole = read_body(stream, rest, &mut request).await?;
    Ok(whole.then_some(request))
}

/// Reads the head of one request, like [`read_request`].
pub async fn read_head(
    stream: &mut TcpStream,
    rest: &mut Vec<u8>,
) -> io::Result<Option<ReceivedRequest>> {
    let head = loop {
        if let Some(at) = find_bytes(rest, b"\r\n\r\n") {
            break at;
        }
        if read_more(stream, rest).await? == 0 {
            return Ok(None);
        }
    };
    let text = String::from_utf8_lossy(&rest[..head]).into_owned();
    rest.drain(..head + 4);
    let mut lines = text.split("\r\n");
    let mut words = lines.next().unwrap_or_default().split(' ');
    let mut request = ReceivedRequest {
        method: words.next().unwrap_or_default().to_owned(),
        target: words.next().unwrap_or_default().to_owned(),
        ..ReceivedRequest::default()
    };
    for line in lines {
        if let Some((name, value)) = line.split_once(':') {
            let value = value.trim().to_owned();
            request.headers.push((name.to_owned(), value));
        }
    }
    Ok(Some(request))
}

/// Reads the body that follows the head; returns whether it is complete.
pub async fn read_body(
    stream: &mut TcpStream,
    rest: &mut Vec<u8>,
    request: &mut ReceivedRequest,
) -> io::Result<bool> {
    let length = request.header("content-length").parse().unwrap_or(0);
    while rest.len() < length {
        if read_more(stream, rest).await? == 0 {
            return Ok(false);
        }
    }
    request.body = rest.drain(..length).collect();
    Ok(true)
}

async fn read_more(stream: &mut TcpStream, rest: &mut Vec<u8>) -> io::Result<usize> {
    stream.read_buf(rest).await
}

fn find_bytes(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|w| w == pattern)
}

/// Writes a complete response.
pub async fn write_response(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!("HTTP/1.1 {status} Status\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    stream.write_all(head.as_bytes()).await?;
    stream.write_all(body).await
}
