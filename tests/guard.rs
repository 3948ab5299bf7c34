//! Bounds on client connections, over loopback.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use mastichinge::http::guard::{Exchange, Guard, GuardSettings, read_body};
use test_case::test_case;
use tiny_http::{Request, Response, Server};

/// Generous bound on every wait.
const WAIT: Duration = Duration::from_secs(60);
/// Pause between two bytes of a slow sender.
const DRIP: Duration = Duration::from_millis(20);

fn settings() -> GuardSettings {
    GuardSettings {
        connections: 64,
        head: 4_096,
        body: 100_000,
        receive: Duration::from_millis(600),
        send: Duration::from_millis(300),
    }
}

/// A server that echoes the length of bodies, and streams without end for
/// `/endless`.
struct Echo {
    addr: SocketAddr,
    stop: Arc<AtomicBool>,
    server: Arc<Server>,
    thread: Option<JoinHandle<()>>,
    gave_up: Arc<AtomicBool>,
}

impl Echo {
    fn start(settings: GuardSettings) -> Echo {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let (listener, guard) = Guard::bind(any, settings).unwrap();
        let addr = listener.local_addr().unwrap();
        let server = Arc::new(Server::from_listener(listener, None).unwrap());
        let stop = Arc::new(AtomicBool::new(false));
        let gave_up = Arc::new(AtomicBool::new(false));
        let thread = {
            let (server, stop, gave_up) = (server.clone(), stop.clone(), gave_up.clone());
            thread::spawn(move || {
                while !stop.load(SeqCst) {
                    let Ok(request) = server.recv() else {
                        continue;
                    };
                    let Some(request) = guard.screen(request) else {
                        continue;
                    };
                    let exchange = guard.begin(&request);
                    let gave_up = gave_up.clone();
                    thread::spawn(move || serve(request, exchange, &settings, &gave_up));
                }
            })
        };
        Echo {
            addr,
            stop,
            server,
            thread: Some(thread),
            gave_up,
        }
    }

    fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.addr).unwrap();
        stream.set_read_timeout(Some(WAIT)).unwrap();
        stream.set_write_timeout(Some(WAIT)).unwrap();
        stream
    }

    /// Sends one request on a new connection and returns the whole answer.
    fn ask(&self, head: &str, body: &str) -> String {
        let mut stream = self.connect();
        write!(stream, "{head}\r\nConnection: close\r\n\r\n{body}").unwrap();
        read_all(stream)
    }

    /// A normal client is served.
    fn assert_served(&self) {
        let head = "POST /x HTTP/1.1\r\nContent-Length: 50000";
        let answer = self.ask(head, &"x".repeat(50_000));
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        assert!(answer.ends_with("50000"), "{answer}");
    }
}

impl Drop for Echo {
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
    gave_up: &AtomicBool,
) {
    let body = match read_body(&mut request, settings.body, settings.receive) {
        Ok(body) => body,
        Err(refusal) => {
            drop(exchange);
            let status = refusal.kind.answer().status;
            let answer = Response::from_string(refusal.kind.to_string());
            let _ = request.respond(answer.with_status_code(status));
            return;
        }
    };
    exchange.received();
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
    gave_up.store(true, SeqCst);
}

/// All that comes until the other side closes.
fn read_all(mut stream: TcpStream) -> String {
    let mut bytes = Vec::new();
    let mut part = [0; 1_000];
    loop {
        match stream.read(&mut part) {
            Ok(0) => break,
            Ok(n) => bytes.extend_from_slice(&part[..n]),
            Err(e) if e.kind() == io::ErrorKind::ConnectionReset => break,
            Err(e) => panic!("the connection stays open: {e}"),
        }
    }
    String::from_utf8(bytes).unwrap()
}

/// Whether a connection on which nothing comes is still open.
fn is_open(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).unwrap();
    let mut part = [0; 1_000];
    match (&*stream).read(&mut part) {
        Ok(0) => false,
        Ok(n) => panic!("{:?}", String::from_utf8_lossy(&part[..n])),
        Err(e) => e.kind() == io::ErrorKind::WouldBlock,
    }
}

/// Sends `first`, then `more` again and again until the other side closes.
fn drip(mut stream: TcpStream, first: &str, more: &str, pause: Duration) -> String {
    let reader = stream.try_clone().unwrap();
    let answer = thread::spawn(move || read_all(reader));
    let mut sent = stream.write_all(first.as_bytes());
    while sent.is_ok() && !answer.is_finished() {
        thread::sleep(pause);
        sent = stream.write_all(more.as_bytes());
    }
    answer.join().unwrap()
}

#[test_case("", "G", "408"; "a request line")]
#[test_case("GET / HTTP/1.1\r\nX-Field: ", "x", "408"; "a head field")]
#[test_case("POST / HTTP/1.1\r\nContent-Length: 100\r\n\r\n", "x", "408"; "a small body")]
#[test_case("POST / HTTP/1.1\r\nContent-Length: 50000\r\n\r\n", "x", "408"; "a large body")]
#[test_case("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", "408"; "chunks")]
fn slow_sender_is_refused_and_disturbs_nobody(first: &str, more: &str, status: &str) {
    let echo = Echo::start(settings());
    let stream = echo.connect();
    let (first, more) = (first.to_owned(), more.to_owned());
    let slow = thread::spawn(move || drip(stream, &first, &more, DRIP));
    while !slow.is_finished() {
        echo.assert_served();
    }
    let answer = slow.join().unwrap();
    assert!(answer.contains(status), "{answer:?}");
}

#[test]
fn silent_sender_of_a_body_is_refused() {
    let echo = Echo::start(settings());
    let mut stream = echo.connect();
    write!(
        stream,
        "POST / HTTP/1.1\r\nContent-Length: 50000\r\n\r\nabc"
    )
    .unwrap();
    let answer = read_all(stream);
    assert!(answer.contains("408"), "{answer}");
    echo.assert_served();
}

#[test_case("GET / HTTP/1.1\r\n", "X-Field: 0123456789\r\n"; "many fields")]
#[test_case("GET / HTTP/1.1\r\nX-Field: ", "0123456789"; "a long field")]
#[test_case("GET /", "0123456789"; "a long path")]
fn endless_head_is_refused_and_disturbs_nobody(first: &str, more: &str) {
    let echo = Echo::start(GuardSettings {
        receive: WAIT,
        ..settings()
    });
    let more = more.repeat(10);
    let answer = drip(echo.connect(), first, &more, Duration::from_millis(1));
    // The answer may be lost, since more of the head is still arriving.
    assert!(answer.is_empty() || answer.contains("431"), "{answer}");
    echo.assert_served();
}

#[test]
fn client_that_never_reads_is_given_up() {
    let echo = Echo::start(settings());
    let mut stream = echo.connect();
    write!(stream, "GET /endless HTTP/1.1\r\n\r\n").unwrap();
    while !echo.gave_up.load(SeqCst) {
        echo.assert_served();
    }
}

#[test]
fn idle_connections_beyond_the_bound_are_closed_and_requests_served() {
    let echo = Echo::start(GuardSettings {
        connections: 8,
        receive: WAIT * 10,
        send: WAIT * 10,
        ..settings()
    });
    let mut streaming = echo.connect();
    write!(streaming, "GET /endless HTTP/1.1\r\n\r\n").unwrap();
    let mut part = [0; 1_000];
    streaming.read_exact(&mut part).unwrap();
    let mut idle: Vec<_> = (0..30).map(|_| echo.connect()).collect();
    // Seven stay, since the stream counts too.
    let start = Instant::now();
    while idle.len() > 7 {
        assert!(start.elapsed() < WAIT, "{} are open", idle.len());
        idle.retain(is_open);
    }
    echo.assert_served();
    // The stream in progress was not among those closed.
    streaming.read_exact(&mut part).unwrap();
}

#[test]
fn idle_connection_is_closed_in_time() {
    let echo = Echo::start(settings());
    assert_eq!(read_all(echo.connect()), "");
    let mut kept = echo.connect();
    write!(kept, "GET / HTTP/1.1\r\n\r\n").unwrap();
    assert!(read_all(kept).ends_with('0'));
}

#[test]
fn kept_connection_serves_many_requests() {
    let echo = Echo::start(settings());
    let mut stream = echo.connect();
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
fn named_length_that_is_too_large_is_refused(field: &str, status: &str) {
    let echo = Echo::start(settings());
    let answer = echo.ask(&format!("POST / HTTP/1.1\r\n{field}"), "abc");
    assert!(answer.contains(status), "{answer}");
    assert!(answer.contains("body_too_large"), "{answer}");
    echo.assert_served();
}

#[test]
fn chunked_body_that_is_too_large_is_refused() {
    let echo = Echo::start(settings());
    let chunk = format!("ffff\r\n{}\r\n", "x".repeat(0xffff));
    let head = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked";
    let answer = echo.ask(head, &chunk.repeat(2));
    assert!(answer.contains("413"), "{answer}");
    echo.assert_served();
}

#[test]
fn body_that_breaks_off_is_refused() {
    let echo = Echo::start(settings());
    let mut stream = echo.connect();
    write!(
        stream,
        "POST / HTTP/1.1\r\nContent-Length: 50000\r\n\r\nabc"
    )
    .unwrap();
    stream.shutdown(std::net::Shutdown::Write).unwrap();
    let answer = read_all(stream);
    assert!(answer.contains("400"), "{answer}");
}
