//! Limits on client connections, tested over loopback.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::{BorrowedFd, OwnedFd, RawFd};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use mastichinge::http::guard::{Exchange, Guard, GuardSettings, read_body};
use test_case::test_case;
use tiny_http::{Request, Response, Server};

/// Generous limit on every wait.
const WAIT: Duration = Duration::from_secs(60);
/// Pause between two bytes of a slow sender.
const SEND_INTERVAL: Duration = Duration::from_millis(20);
/// Times that descriptors are duplicated before they are listed again.
const DUPLICATIONS: u32 = 100;

fn settings() -> GuardSettings {
    GuardSettings {
        max_connections: 64,
        max_head: 4_096,
        max_body: 100_000,
        receive_timeout: Duration::from_millis(600),
        send_timeout: Duration::from_millis(300),
    }
}

/// A guarded server that responds with the length of the request body, or
/// streams without end for `/endless`.
struct EchoServer {
    addr: SocketAddr,
    stop: Arc<AtomicBool>,
    server: Arc<Server>,
    thread: Option<JoinHandle<()>>,
    write_failed: Arc<AtomicBool>,
}

impl EchoServer {
    fn start(settings: GuardSettings) -> EchoServer {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let (listener, guard) = Guard::bind(any, settings).unwrap();
        let addr = listener.local_addr().unwrap();
        let server = Arc::new(Server::from_listener(listener, None).unwrap());
        let stop = Arc::new(AtomicBool::new(false));
        let write_failed = Arc::new(AtomicBool::new(false));
        let thread = {
            let (server, stop, write_failed) = (server.clone(), stop.clone(), write_failed.clone());
            thread::spawn(move || {
                while !stop.load(SeqCst) {
                    let Ok(request) = server.recv() else {
                        continue;
                    };
                    let Some(request) = guard.reject_oversized(request) else {
                        continue;
                    };
                    let exchange = guard.begin_exchange(&request);
                    let write_failed = write_failed.clone();
                    thread::spawn(move || serve(request, exchange, &settings, &write_failed));
                }
            })
        };
        EchoServer {
            addr,
            stop,
            server,
            thread: Some(thread),
            write_failed,
        }
    }

    fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.addr).unwrap();
        stream.set_read_timeout(Some(WAIT)).unwrap();
        stream.set_write_timeout(Some(WAIT)).unwrap();
        stream
    }

    /// Sends one request on a new connection and returns the whole response.
    fn request(&self, head: &str, body: &str) -> String {
        let mut stream = self.connect();
        write!(stream, "{head}\r\nConnection: close\r\n\r\n{body}").unwrap();
        read_all(stream)
    }

    /// Asserts that a well-behaved client is served.
    fn assert_served(&self) {
        let head = "POST /x HTTP/1.1\r\nContent-Length: 50000";
        let response = self.request(head, &"x".repeat(50_000));
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        assert!(response.ends_with("50000"), "{response}");
    }
}

impl Drop for EchoServer {
    fn drop(&mut self) {
        self.stop.store(true, SeqCst);
        self.server.unblock();
        self.thread.take().unwrap().join().unwrap();
    }
}

fn serve(
    mut request: Request,
    mut exchange: Exchange,
    settings: &GuardSettings,
    write_failed: &AtomicBool,
) {
    let body = match read_body(&mut request, settings.max_body, settings.receive_timeout) {
        Ok(body) => body,
        Err(refusal) => {
            drop(exchange);
            let status = refusal.kind.response().status;
            let response = Response::from_string(refusal.kind.to_string());
            let _ = request.respond(response.with_status_code(status));
            return;
        }
    };
    exchange.mark_received();
    if request.url() != "/endless" {
        let _ = request.respond(Response::from_string(body.len().to_string()));
        return;
    }
    let mut writer = request.into_writer();
    let part = [b'x'; 10_000];
    while writer
        .write_all(&part)
        .and_then(|()| writer.flush())
        .is_ok()
    {}
    write_failed.store(true, SeqCst);
}

/// A thread that duplicates the descriptors of this process and closes the
/// duplicates, as the guards of other listening addresses do.
struct Duplicator {
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Duplicator {
    fn start() -> Duplicator {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = stop.clone();
        let thread = thread::spawn(move || {
            while !stopped.load(SeqCst) {
                let descriptors = open_descriptors();
                let mut duplicates = Vec::new();
                for _ in 0..DUPLICATIONS {
                    // The previous ones are closed after these are open, so that
                    // the guard finds some at any time.
                    duplicates = duplicate(&descriptors);
                }
                drop(duplicates);
            }
        });
        Duplicator {
            stop,
            thread: Some(thread),
        }
    }
}

impl Drop for Duplicator {
    fn drop(&mut self) {
        self.stop.store(true, SeqCst);
        self.thread.take().unwrap().join().unwrap();
    }
}

fn duplicate(descriptors: &[RawFd]) -> Vec<io::Result<OwnedFd>> {
    let duplicate = |fd: &RawFd| {
        // SAFETY: the descriptor is only duplicated, which fails if it was closed;
        // the duplicate is closed unused.
        unsafe { BorrowedFd::borrow_raw(*fd) }.try_clone_to_owned()
    };
    descriptors.iter().map(duplicate).collect()
}

fn open_descriptors() -> Vec<RawFd> {
    let entries = std::fs::read_dir("/proc/self/fd").unwrap();
    let names = entries.filter_map(|entry| entry.ok()?.file_name().into_string().ok());
    names.filter_map(|name| name.parse().ok()).collect()
}

/// Reads until the other side closes the connection.
fn read_all(mut stream: TcpStream) -> String {
    let mut bytes = Vec::new();
    let mut part = [0; 1_000];
    loop {
        match stream.read(&mut part) {
            Ok(0) => break,
            Ok(n) => bytes.extend_from_slice(&part[..n]),
            Err(e) if e.kind() == io::ErrorKind::ConnectionReset => break,
            Err(e) => {
                let received = String::from_utf8_lossy(&bytes);
                panic!("the connection stays open: {e}; received {received:?}")
            }
        }
    }
    String::from_utf8(bytes).unwrap()
}

/// Returns whether a connection on which nothing arrives is still open.
fn is_open(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).unwrap();
    let mut part = [0; 1_000];
    match (&*stream).read(&mut part) {
        Ok(0) => false,
        Ok(n) => panic!("{:?}", String::from_utf8_lossy(&part[..n])),
        Err(e) => e.kind() == io::ErrorKind::WouldBlock,
    }
}

/// Sends `first`, then `more` repeatedly until the other side closes.
fn send_slowly(mut stream: TcpStream, first: &str, more: &str, pause: Duration) -> String {
    let reader = stream.try_clone().unwrap();
    let response = thread::spawn(move || read_all(reader));
    let mut sent = stream.write_all(first.as_bytes());
    while sent.is_ok() && !response.is_finished() {
        thread::sleep(pause);
        sent = stream.write_all(more.as_bytes());
    }
    response.join().unwrap()
}

#[test_case("", "G", "408"; "a request line")]
#[test_case("GET / HTTP/1.1\r\nX-Field: ", "x", "408"; "a head field")]
#[test_case("POST / HTTP/1.1\r\nContent-Length: 100\r\n\r\n", "x", "408"; "a small body")]
#[test_case("POST / HTTP/1.1\r\nContent-Length: 50000\r\n\r\n", "x", "408"; "a large body")]
#[test_case("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", "408"; "chunks")]
fn slow_sender_is_refused_and_other_clients_are_served(first: &str, more: &str, status: &str) {
    let server = EchoServer::start(settings());
    let stream = server.connect();
    let (first, more) = (first.to_owned(), more.to_owned());
    let slow = thread::spawn(move || send_slowly(stream, &first, &more, SEND_INTERVAL));
    while !slow.is_finished() {
        server.assert_served();
    }
    let response = slow.join().unwrap();
    assert!(response.contains(status), "{response:?}");
}

#[test]
fn stalled_body_is_refused() {
    let server = EchoServer::start(settings());
    let mut stream = server.connect();
    write!(
        stream,
        "POST / HTTP/1.1\r\nContent-Length: 50000\r\n\r\nabc"
    )
    .unwrap();
    let response = read_all(stream);
    assert!(response.contains("408"), "{response}");
    server.assert_served();
}

#[test_case("GET / HTTP/1.1\r\n", "X-Field: 0123456789\r\n"; "many fields")]
#[test_case("GET / HTTP/1.1\r\nX-Field: ", "0123456789"; "a long field")]
#[test_case("GET /", "0123456789"; "a long path")]
fn endless_head_is_refused_and_other_clients_are_served(first: &str, more: &str) {
    let server = EchoServer::start(GuardSettings {
        receive_timeout: WAIT,
        ..settings()
    });
    let more = more.repeat(10);
    let response = send_slowly(server.connect(), first, &more, Duration::from_millis(1));
    // The response may be lost, since more of the head is still arriving.
    assert!(
        response.is_empty() || response.contains("431"),
        "{response}"
    );
    server.assert_served();
}

#[test]
fn response_to_a_client_that_never_reads_is_aborted() {
    let server = EchoServer::start(settings());
    let mut stream = server.connect();
    write!(stream, "GET /endless HTTP/1.1\r\n\r\n").unwrap();
    while !server.write_failed.load(SeqCst) {
        server.assert_served();
    }
}

#[test]
fn excess_idle_connections_are_closed_and_requests_served() {
    let server = EchoServer::start(GuardSettings {
        max_connections: 8,
        receive_timeout: WAIT * 10,
        send_timeout: WAIT * 10,
        ..settings()
    });
    let mut streaming = server.connect();
    write!(streaming, "GET /endless HTTP/1.1\r\n\r\n").unwrap();
    let mut part = [0; 1_000];
    streaming.read_exact(&mut part).unwrap();
    let mut idle: Vec<_> = (0..30).map(|_| server.connect()).collect();
    // Seven remain, since the stream counts too.
    let start = Instant::now();
    while idle.len() > 7 {
        assert!(start.elapsed() < WAIT, "{} are open", idle.len());
        idle.retain(is_open);
    }
    server.assert_served();
    // The stream in progress was not closed.
    streaming.read_exact(&mut part).unwrap();
}

// Guards against a connection that stays open for ever, because its descriptor
// was a short-lived duplicate when the guard first saw it.
#[test]
fn excess_connections_are_closed_while_descriptors_are_duplicated() {
    let _duplicator = Duplicator::start();
    let server = EchoServer::start(GuardSettings {
        max_connections: 8,
        receive_timeout: WAIT * 10,
        send_timeout: WAIT * 10,
        ..settings()
    });
    let mut idle: Vec<_> = (0..30).map(|_| server.connect()).collect();
    let start = Instant::now();
    while idle.len() > 8 {
        assert!(start.elapsed() < WAIT, "{} are open", idle.len());
        idle.retain(is_open);
    }
    server.assert_served();
}

#[test]
fn connection_that_is_idle_before_or_after_a_request_is_closed() {
    let server = EchoServer::start(settings());
    assert_eq!(read_all(server.connect()), "");
    let mut kept = server.connect();
    write!(kept, "GET / HTTP/1.1\r\n\r\n").unwrap();
    assert!(read_all(kept).ends_with('0'));
}

#[test]
fn keep_alive_connection_serves_many_requests() {
    let server = EchoServer::start(settings());
    let mut stream = server.connect();
    let request = format!(
        "POST / HTTP/1.1\r\nContent-Length: 2000\r\n\r\n{}",
        "x".repeat(2_000)
    );
    let mut part = [0; 1_000];
    for _ in 0..500 {
        stream.write_all(request.as_bytes()).unwrap();
        let n = stream.read(&mut part).unwrap();
        assert!(String::from_utf8_lossy(&part[..n]).contains("200"));
    }
}

#[test_case("Content-Length: 200000", "413"; "a length beyond the limit")]
#[test_case("Content-Length: 99999999999", "413"; "a length beyond memory")]
#[test_case("Content-Length: 9999999999999999", "413"; "a length beyond the address space")]
fn declared_length_that_is_too_large_is_refused(field: &str, status: &str) {
    let server = EchoServer::start(settings());
    let response = server.request(&format!("POST / HTTP/1.1\r\n{field}"), "abc");
    assert!(response.contains(status), "{response}");
    assert!(response.contains("body_too_large"), "{response}");
    server.assert_served();
}

#[test]
fn chunked_body_that_is_too_large_is_refused() {
    let server = EchoServer::start(settings());
    let chunk = format!("ffff\r\n{}\r\n", "x".repeat(0xffff));
    let head = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked";
    let response = server.request(head, &chunk.repeat(2));
    assert!(response.contains("413"), "{response}");
    server.assert_served();
}

#[test]
fn truncated_body_is_refused() {
    let server = EchoServer::start(settings());
    let mut stream = server.connect();
    write!(
        stream,
        "POST / HTTP/1.1\r\nContent-Length: 50000\r\n\r\nabc"
    )
    .unwrap();
    stream.shutdown(std::net::Shutdown::Write).unwrap();
    let response = read_all(stream);
    assert!(response.contains("400"), "{response}");
}

#[test]
fn fast_endless_head_resets_the_connection() {
    let server = EchoServer::start(settings());
    let mut stream = TcpStream::connect(server.addr).unwrap();
    stream.write_all(b"GET / HTTP/1.1\r\nX-Long: ").unwrap();
    let part = [b'x'; 64 << 10];
    let mut sent = 0_usize;
    while stream.write_all(&part).is_ok() {
        sent += part.len();
        assert!(sent < 256 << 20, "the client can send without limit");
    }
}
