//! The fake plain service.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use mastichinge::fakes::FakeService;
use mastichinge::fakes::service::Fault;
use mastichinge::outside::client::{self, BodyType};
use socket2::SockRef;
use test_case::test_case;

use crate::support::any_port;

/// Number of connections that are reset; the moment differs each time.
const REPEATS: usize = 20;

#[test_case(Fault::None, Ok(200), 1; "no fault")]
#[test_case(Fault::CloseBeforeRun, Err(true), 0; "dies before the run")]
#[test_case(Fault::CloseAfterRun, Err(true), 1; "dies during the run")]
fn a_service_records_each_run(fault: Fault, outcome: Result<u16, bool>, runs: usize) {
    let service = FakeService::start(any_port()).expect("a free port");
    service.state.change(|s| s.fault = fault);
    assert_eq!(book(service.addr), outcome);
    let state = service.state.get();
    assert_eq!(state.runs.len(), runs);
    for run in state.runs {
        assert_eq!(
            (&*run.key, &*run.path, &*run.body),
            ("k-1", "seats/7", &b"{}"[..])
        );
    }
}

#[test]
fn a_service_can_refuse_connections() {
    let mut service = FakeService::start(any_port()).expect("a free port");
    let addr = service.addr;
    service.set_refusing(true).expect("no work");
    assert_eq!(book(addr), Err(false));
    service.set_refusing(false).expect("the port is free again");
    assert_eq!(book(addr), Ok(200));
    assert_eq!(service.state.get().runs.len(), 1);
}

/// Sends a booking; returns the status, or whether any byte may have been sent.
fn book(addr: SocketAddr) -> Result<u16, bool> {
    let request = client::session()
        .post(format!("http://{addr}/seats/7"))
        .header("Idempotency-Key", "k-1");
    match client::send(request, BodyType::Json, b"{}") {
        Ok(response) => Ok(response.status().as_u16()),
        Err(error) => Err(error.maybe_sent()),
    }
}

/// Guards against MIXED: a status that is none, and an answer that breaks during the upload, were
/// taken for answers.
#[test_case("HTTP/1.1 000 Trouble\r\n\r\n"; "zeros")]
#[test_case("HTTP/1.1 099 Low\r\n\r\n"; "below all classes")]
#[test_case("HTTP/1.1 600 High\r\n\r\n"; "above all classes")]
#[test_case("HTTP/1.1 999 High\r\n\r\n"; "far above all classes")]
#[test_case("HTTP/1.1 200 OK\r\n\r\npart"; "a part during the upload")]
fn an_answer_that_is_none_is_an_error(answer: &'static str) {
    let listener = TcpListener::bind(any_port()).expect("a free port");
    let addr = listener.local_addr().expect("a bound port");
    let server = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut head = [0; 1_024];
        let read = stream.read(&mut head).expect("a head");
        assert!(read > 0);
        stream.write_all(answer.as_bytes()).expect("a client");
        let linger = answer.ends_with("part").then_some(Duration::ZERO);
        SockRef::from(&stream).set_linger(linger).expect("a socket");
    });
    let request = client::session().post(format!("http://{addr}/seats/7"));
    // More than the buffers of both sockets hold, or nothing that is left unread.
    let size = if answer.ends_with("part") { 8 << 20 } else { 2 };
    let body = vec![b'x'; size];
    let outcome = client::send(request, BodyType::Bytes, &body).and_then(client::read_body);
    server.join().expect("no failure");
    assert!(outcome.is_err_and(|error| error.maybe_sent()));
}

/// Guards against MIXED: an answer without a length that is reset, during the upload or after it, was
/// taken for the whole.
#[test_case(2, 0; "after the upload at once")]
#[test_case(2, 20; "after the upload")]
#[test_case(100_000, 0; "with the upload in the buffers at once")]
#[test_case(100_000, 20; "with the upload in the buffers")]
#[test_case(8 << 20, 20; "while nothing can be written")]
fn an_answer_without_a_length_that_is_reset_is_no_answer(size: usize, pause_ms: u64) {
    for _ in 0..REPEATS {
        let listener = TcpListener::bind(any_port()).expect("a free port");
        let addr = listener.local_addr().expect("a bound port");
        let server = std::thread::spawn(move || {
            let (mut stream, _) = listener.accept().expect("a connection");
            assert!(stream.read(&mut [0; 1_024]).expect("a head") > 0);
            let answer = b"HTTP/1.1 200 OK\r\n\r\npart";
            stream.write_all(answer).expect("a client");
            std::thread::sleep(Duration::from_millis(pause_ms));
            let socket = SockRef::from(&stream);
            socket.set_linger(Some(Duration::ZERO)).expect("a socket");
        });
        let request = client::session().post(format!("http://{addr}/seats/7"));
        let body = vec![b'x'; size];
        let outcome = client::send(request, BodyType::Bytes, &body).and_then(client::read_body);
        server.join().expect("no failure");
        assert!(outcome.is_err_and(|error| error.maybe_sent()));
    }
}
