//! Stop of an HTTP server, tested over loopback.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crossbeam::channel::{Receiver, Sender, bounded};
use mastichinge::http::guard::GuardSettings;
use mastichinge::http::server::{self, Handler, RefusalCause};
use tiny_http::{Request, Response};

/// Limit on every wait, far more than a run without faults needs.
const WAIT: Duration = Duration::from_secs(60);
/// Time in which a request that was sent is received and a stop takes effect.
const SETTLE_TIME: Duration = Duration::from_millis(300);

/// Refuses every request; each refusal waits until the test allows it.
struct Gate {
    refusing: Sender<()>,
    allowed: Receiver<()>,
}

impl Handler for Gate {
    fn handle(&self, _: Request) {
        unreachable!("the server has no room for a request");
    }

    fn refuse(&self, request: Request, _: RefusalCause) {
        self.refusing.send(()).unwrap();
        let _ = self.allowed.recv();
        let refusal = Response::from_string("refused").with_status_code(503);
        let _ = request.respond(refusal);
    }
}

#[test]
fn requests_that_are_queued_at_a_stop_are_refused() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let (refusing, refusals) = bounded(16);
    let (allow, allowed) = bounded(0);
    let gate = Arc::new(Gate { refusing, allowed });
    let mut server = server::start(listener, 0, GuardSettings::default(), gate).unwrap();
    let mut client = TcpStream::connect(addr).unwrap();
    client.set_read_timeout(Some(WAIT)).unwrap();
    let next = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    let last = "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
    write!(client, "{next}{next}{last}").unwrap();
    refusals.recv_timeout(WAIT).unwrap();
    let stopping = thread::spawn(move || server.stop());
    thread::sleep(SETTLE_TIME);
    // From now on, no refusal waits.
    drop(allow);
    let mut answers = String::new();
    client.read_to_string(&mut answers).unwrap();
    stopping.join().unwrap();
    assert_eq!(answers.matches("HTTP/1.1 503").count(), 3, "{answers}");
}

/// Answers every request at once.
struct Responder;

impl Handler for Responder {
    fn handle(&self, request: Request) {
        let _ = request.respond(Response::from_string("served"));
    }

    fn refuse(&self, request: Request, _: RefusalCause) {
        let refusal = Response::from_string("refused").with_status_code(503);
        let _ = request.respond(refusal);
    }
}

/// Guards against connections that nobody reads while others stay open: the HTTP library gave them
/// to a thread that was already taken.
#[test]
fn each_of_many_connections_is_served_while_all_stay_open() {
    const ROUNDS: usize = 10;
    const CONNECTIONS: usize = 8;
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let settings = GuardSettings {
        max_connections: 2 * ROUNDS * CONNECTIONS,
        receive_timeout: 2 * WAIT,
        ..GuardSettings::default()
    };
    let _server = server::start(listener, 64, settings, Arc::new(Responder)).unwrap();
    let mut open = Vec::new();
    for _ in 0..ROUNDS {
        let clients: Vec<TcpStream> = (0..CONNECTIONS)
            .map(|_| TcpStream::connect(addr).unwrap())
            .collect();
        for mut client in clients {
            client.set_read_timeout(Some(WAIT)).unwrap();
            write!(client, "GET / HTTP/1.1\r\nHost: a\r\n\r\n").unwrap();
            let mut status = [0; 12];
            client.read_exact(&mut status).unwrap();
            assert_eq!(&status, b"HTTP/1.1 200");
            open.push(client);
        }
        // Some threads become free.
        open.truncate(open.len() - CONNECTIONS / 2);
    }
}

/// Guards against a false 500: the HTTP library answers a request that nobody takes up.
#[test]
fn a_request_after_a_stop_is_not_answered_500() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let settings = GuardSettings::default();
    let mut server = server::start(listener, 64, settings, Arc::new(Responder)).unwrap();
    let mut client = TcpStream::connect(addr).unwrap();
    write!(client, "GET / HTTP/1.1\r\nHost: a\r\n\r\n").unwrap();
    let mut status = [0; 12];
    client.read_exact(&mut status).unwrap();
    assert_eq!(&status, b"HTTP/1.1 200");
    server.stop();
    drop(server);
    client.set_read_timeout(Some(SETTLE_TIME)).unwrap();
    let _ = write!(
        client,
        "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
    );
    let mut rest = Vec::new();
    let _ = client.read_to_end(&mut rest);
    let rest = String::from_utf8_lossy(&rest);
    assert!(!rest.contains("HTTP/1.1 500"), "{rest}");
}
