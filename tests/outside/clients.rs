//! Errors of the HTTP clients after connection failures.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::Duration;

use attohttpc::header::HeaderName;
use mastichinge::fakes::EngineSettings;
use mastichinge::outside::client::{self, BodyType, SendError};
use mastichinge::outside::{Chunk, ChunkStream, Engine, EngineError, HttpEngine, Verb};
use serde_json::json;
use test_case::test_case;

use crate::support::{
    MAX_WAIT, any_port, call_options, immediate_settings, load_model, new_order, read_stream,
    start_engine, start_stream,
};

#[test]
fn a_wrong_engine_key_is_an_error_status() {
    let settings = EngineSettings {
        key: "secret".into(),
        ..immediate_settings()
    };
    let (_fake, mut call) = start_engine(settings);
    let error = HttpEngine::default().report(&call).err();
    let denied = matches!(error, Some(EngineError::Status { status: 401, .. }));
    assert!(denied, "{error:?}");
    call.key = "secret".into();
    let report = HttpEngine::default().report(&call).expect("a report");
    assert_eq!(&*report.instance, "engine-1");
}

#[test]
fn a_refused_connection_is_unreachable() {
    let (fake, call) = start_engine(immediate_settings());
    fake.crash();
    let client = HttpEngine::default();
    let is_unreachable = |e: Option<EngineError>| matches!(e, Some(EngineError::Unreachable(_)));
    assert!(is_unreachable(client.report(&call).err()));
    assert!(is_unreachable(
        client.order(&call, &new_order(Verb::Fence, "", 1)).err()
    ));
    assert!(is_unreachable(start_stream(&call, json!({})).err()));
}

/// Serves one connection: reads the request, sends `response` and closes it.
fn serve_once(response: &'static str) -> SocketAddr {
    let listener = TcpListener::bind(any_port()).expect("a free port");
    let addr = listener.local_addr().expect("an address");
    thread::spawn(move || {
        let (mut socket, _) = listener.accept().expect("a connection");
        let _ = socket.read(&mut [0; 65_536]);
        let _ = socket.write_all(response.as_bytes());
    });
    addr
}

#[test_case(""; "no answer")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{\"instance\": \"a"; "cut short")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{]}"; "malformed")]
fn a_truncated_or_malformed_response_is_a_lost_connection(text: &'static str) {
    let client = HttpEngine::default();
    let error = client.report(&call_options(serve_once(text))).err();
    assert!(
        matches!(error, Some(EngineError::ConnectionLost(_))),
        "{error:?}"
    );
    let error = client.order(
        &call_options(serve_once(text)),
        &new_order(Verb::Load, "m", 1),
    );
    assert!(
        matches!(error, Err(EngineError::ConnectionLost(_))),
        "{error:?}"
    );
}

#[test_case("data: {}\n\n"; "before done")]
#[test_case("data: {}\n\ndata: [DO"; "within a line")]
#[test_case("data: {}\n\ndata: [DONE]"; "without a line end")]
fn a_truncated_stream_is_a_lost_connection(text: &'static str) {
    let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
    let text: &'static str = Box::leak(format!("{head}{text}").into_boxed_str());
    let mut chunks = start_stream(&call_options(serve_once(text)), json!({})).expect("a stream");
    assert_eq!(chunks.next(), Ok(Chunk::Data("{}".into())));
    let end = chunks.next();
    assert!(
        matches!(end, Err(EngineError::ConnectionLost(_))),
        "{end:?}"
    );
}

/// Serves one connection: sends `start`, and `repeated` again and again until the
/// connection closes.
fn serve_endless(start: &'static str, repeated: &str) -> SocketAddr {
    const REPEATS: usize = 1_024;
    let listener = TcpListener::bind(any_port()).expect("a free port");
    let addr = listener.local_addr().expect("an address");
    let block = repeated.repeat(REPEATS);
    thread::spawn(move || {
        let (mut socket, _) = listener.accept().expect("a connection");
        let mut sent = socket.write_all(start.as_bytes());
        while sent.is_ok() {
            sent = socket.write_all(block.as_bytes());
        }
    });
    addr
}

/// Guards against a call or a stream that goes on while its engine sends bytes that are no
/// answer without end.
#[test_case("", "garbage "; "garbage")]
#[test_case("HTTP/1.1 200 ", "OK "; "status line")]
#[test_case("HTTP/1.1 200 OK\r\nX-Long: ", "long "; "header line")]
#[test_case("HTTP/1.1 200 OK\r\n", "X-More: more\r\n"; "header lines")]
#[test_case("", "HTTP/1.1 103 Early Hints\r\n\r\n"; "informational responses")]
#[test_case("HTTP/1.1 200 OK\r\n\r\n", "no answer "; "body")]
#[test_case("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "3\r\nno \r\n"; "chunks")]
#[test_case("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;", "more"; "chunk extension")]
#[test_case("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: more\r\n"; "trailers")]
fn bytes_without_end_are_a_lost_connection(start: &'static str, repeated: &str) {
    let call = call_options(serve_endless(start, repeated));
    let error = HttpEngine::default().report(&call).err();
    assert!(
        matches!(error, Some(EngineError::ConnectionLost(_))),
        "{error:?}"
    );
    let call = call_options(serve_endless(start, repeated));
    let error = start_stream(&call, json!({})).and_then(read_stream).err();
    assert!(
        matches!(error, Some(EngineError::ConnectionLost(_))),
        "{error:?}"
    );
}

/// Guards against a part of an answer that is taken for the whole.
#[test_case("Content-Length: 30\r\n\r\n{}"; "by its length")]
#[test_case("Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n"; "by the last chunk")]
#[test_case("Transfer-Encoding: chunked\r\n\r\n9\r\n{}"; "by the size of a chunk")]
fn an_answer_that_is_broken_off_is_no_answer(rest: &str) {
    let text: &'static str = Box::leak(format!("HTTP/1.1 200 OK\r\n{rest}").into_boxed_str());
    let request = client::session().post(format!("http://{}/x", serve_once(text)));
    let response = client::send(request, BodyType::Json, b"{}").expect("a head");
    let body = client::read_body(response);
    assert!(matches!(body, Err(SendError::NoAnswer(_))), "{body:?}");
}

#[test]
fn comments_do_not_reset_the_read_timeout() {
    let listener = TcpListener::bind(any_port()).expect("a free port");
    let mut call = call_options(listener.local_addr().expect("an address"));
    thread::spawn(move || {
        let (mut socket, _) = listener.accept().expect("a connection");
        let _ = socket.write_all(b"HTTP/1.1 200 OK\r\n\r\n");
        while socket.write_all(b":\n\n").is_ok() {
            thread::sleep(Duration::from_millis(2));
        }
    });
    call.read_timeout = Duration::from_millis(200);
    let mut chunks = start_stream(&call, json!({})).expect("a stream");
    let error = chunks.next();
    assert!(matches!(error, Err(EngineError::TimedOut(_))), "{error:?}");
}

#[test]
fn a_call_to_a_frozen_engine_times_out() {
    let (fake, mut call) = start_engine(immediate_settings());
    load_model(&call, "m");
    fake.set_frozen(true);
    call.read_timeout = Duration::from_millis(50);
    let error = HttpEngine::default().report(&call).err();
    assert!(matches!(error, Some(EngineError::TimedOut(_))), "{error:?}");
    let error = start_stream(&call, json!({})).err();
    assert!(matches!(error, Some(EngineError::TimedOut(_))), "{error:?}");
    fake.set_frozen(false);
    call.read_timeout = MAX_WAIT;
    assert!(start_stream(&call, json!({})).and_then(read_stream).is_ok());
}

#[test]
fn a_queued_stream_times_out() {
    let settings = EngineSettings {
        slots: 0,
        ..immediate_settings()
    };
    let (_fake, mut call) = start_engine(settings);
    load_model(&call, "m");
    call.read_timeout = Duration::from_millis(200);
    let error = start_stream(&call, json!({})).and_then(read_stream).err();
    assert!(matches!(error, Some(EngineError::TimedOut(_))), "{error:?}");
}

/// Accepts connections and resets each after reading a few bytes.
fn start_resetting_server() -> SocketAddr {
    let listener = TcpListener::bind(any_port()).expect("a free port");
    let addr = listener.local_addr().expect("an address");
    thread::spawn(move || {
        while let Ok((mut socket, _)) = listener.accept() {
            let _ = socket.read(&mut [0; 16]);
        }
    });
    addr
}

#[test_case(0; "small head")]
#[test_case(400; "head beyond the client's buffer")]
fn a_reset_after_sent_bytes_is_reported_as_no_answer(header_count: usize) {
    let addr = start_resetting_server();
    for _ in 0..50 {
        let mut request = client::session().post(format!("http://{addr}/"));
        for i in 0..header_count {
            let name = HeaderName::from_bytes(format!("x-{i}").as_bytes()).expect("a name");
            request = request.header(name, "v".repeat(9_000));
        }
        let outcome = client::send(request, BodyType::Bytes, &[0; 2_000_000]);
        let no_answer = matches!(outcome, Err(SendError::NoAnswer(_)));
        assert!(no_answer, "{:?}", outcome.err());
    }
}

#[test_case(20; "small head")]
#[test_case(60_000; "head beyond the client's buffer")]
fn a_refused_connection_is_not_sent(length: usize) {
    let listener = TcpListener::bind(any_port()).expect("a free port");
    let addr = listener.local_addr().expect("an address");
    drop(listener);
    let request = client::session().post(format!("http://{addr}/{}", "p".repeat(length)));
    let outcome = client::send(request, BodyType::Bytes, b"x");
    assert!(matches!(outcome, Err(SendError::NotSent(_))));
}

#[test]
fn a_key_with_invalid_characters_is_left_out() {
    let settings = EngineSettings {
        key: "secret".into(),
        ..immediate_settings()
    };
    let (_fake, mut call) = start_engine(settings);
    call.key = "secret\r\nX-Other: 1".into();
    let error = HttpEngine::default().report(&call).err();
    let denied = matches!(error, Some(EngineError::Status { status: 401, .. }));
    assert!(denied, "{error:?}");
}
