//! Tests of the HTTP client of engines over raw sockets.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc;
use std::thread;

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use mastichinge::edge::carried::{Earlier, IdHash};
use mastichinge::edge::client::{Client, Connection, SendError, SendOptions};
use test_case::test_case;
use tokio::runtime::Builder;
use tokio::task::LocalSet;

/// Reads the head of a request; returns false when the connection has ended.
fn read_head(stream: &mut TcpStream) -> bool {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        if !matches!(stream.read(&mut byte), Ok(1)) {
            return false;
        }
        head.push(byte[0]);
    }
    true
}

fn respond(stream: &mut TcpStream, body: &str) {
    let length = body.len();
    let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}");
    // Fails if the client has closed the connection, which the test looks at.
    let _ = stream.write_all(text.as_bytes());
}

/// Answers the requests of one connection.
fn answer_all(mut stream: TcpStream) {
    while read_head(&mut stream) {
        respond(&mut stream, "correct");
    }
}

/// What arrives on an idle connection.
#[derive(Clone, Copy, Debug)]
enum Arrival {
    LateResponse,
    End,
}

/// Guards against a late response that is in the socket of an idle connection when a
/// request takes it, before the event loop has seen it: it was read as the response. After
/// the end of the connection the request was taken as lost.
#[test_case(Arrival::LateResponse; "a late response")]
#[test_case(Arrival::End; "its end")]
fn an_idle_connection_on_which_something_has_arrived_takes_no_request(arrival: Arrival) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let (send_arrival, arrival_due) = mpsc::channel();
    let (arrival_sent, arrived) = mpsc::channel();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        assert!(read_head(&mut stream));
        respond(&mut stream, "correct");
        arrival_due.recv().unwrap();
        match arrival {
            Arrival::LateResponse => {
                respond(&mut stream, "late");
                thread::spawn(move || answer_all(stream));
            }
            Arrival::End => drop(stream),
        }
        arrival_sent.send(()).unwrap();
        for stream in listener.incoming() {
            thread::spawn(move || answer_all(stream.unwrap()));
        }
    });
    let client = Client::default();
    let exchange = async || {
        let request = Request::get("/").header("host", "x");
        let request = request.body(Full::<Bytes>::default()).unwrap();
        let (response, connection) = client
            .send(addr, request, SendOptions::default())
            .await
            .unwrap();
        let body = response.into_body().collect().await.unwrap().to_bytes();
        connection.release(None);
        body
    };
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        assert_eq!(exchange().await, "correct");
        // Lets the connection's task become idle.
        for _ in 0..10 {
            tokio::task::yield_now().await;
        }
        send_arrival.send(()).unwrap();
        // Blocks the event loop.
        arrived.recv().unwrap();
        assert_eq!(exchange().await, "correct");
    });
}

/// Guards against DRAIN and BUDGET: a request was sent although its recipient had said, while
/// it was being connected, that it wants none.
#[test]
fn a_request_that_is_wanted_no_more_is_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let received = thread::spawn(move || {
        let mut bytes = Vec::new();
        let (mut stream, _) = listener.accept().unwrap();
        stream.read_to_end(&mut bytes).unwrap();
        bytes
    });
    let client = Client::default();
    let request = Request::get("/").header("host", "x");
    let request = request.body(Full::<Bytes>::default()).unwrap();
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    let outcome = LocalSet::new().block_on(&runtime, async {
        let sent = client.send_if(addr, request, SendOptions::default(), || false);
        sent.await.map(|_| ())
    });
    assert_eq!(outcome, Err(SendError::Withheld));
    drop(runtime);
    assert_eq!(received.join().unwrap(), b"");
}

/// Sends requests with these ids one after another, each after a call on its connection if
/// `calls`; returns what their connections had carried before.
fn send_all(ids: impl IntoIterator<Item = String>, calls: bool) -> Vec<Earlier> {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            thread::spawn(move || answer_all(stream.unwrap()));
        }
    });
    let request = || {
        let request = Request::get("/").header("host", "x");
        request.body(Full::<Bytes>::default()).unwrap()
    };
    let client = Client::default();
    let exchange = async |id: String| {
        let options = SendOptions {
            id: Some(IdHash::of(&id)),
            ..SendOptions::default()
        };
        let prepare = async |connection: &mut Connection| {
            if calls {
                connection.exchange(request(), 100).await?;
                return Ok(connection.is_usable().await);
            }
            Ok(true)
        };
        let sending = client.send_prepared(addr, request(), options, || true, prepare);
        let (response, connection) = sending.await.unwrap();
        response.into_body().collect().await.unwrap();
        let earlier = connection.earlier();
        connection.release(None);
        // Lets the connection's task become idle.
        for _ in 0..10 {
            tokio::task::yield_now().await;
        }
        earlier
    };
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let mut earlier = Vec::new();
        for id in ids {
            earlier.push(exchange(id).await);
        }
        earlier
    })
}

/// Guards against REFUSED and TWICE: a request came on a connection that had carried its id, where
/// a late response to the sending before is taken for its own.
#[test]
fn no_connection_carries_an_id_twice() {
    let ids = ["a", "a", "b", "a", "b", "c"].map(str::to_owned);
    let earlier = send_all(ids, false);
    let (new, used) = (Earlier::Nothing, Earlier::Requests);
    // The second connection carries b, the third a and b, and then c.
    assert_eq!(earlier, [new, new, used, new, used, used]);
}

/// Guards against a response to a call that is taken for the response to the request after it.
#[test]
fn a_connection_remembers_the_calls_that_it_has_carried() {
    let earlier = send_all(["a".to_owned()], true);
    assert_eq!(earlier, [Earlier::Calls]);
}

/// Guards against connections whose record of ids grows without end.
#[test]
fn a_connection_carries_a_limited_number_of_requests() {
    const LIMIT: usize = 1_024;
    let ids = (0..2 * LIMIT).map(|i| i.to_string());
    let earlier = send_all(ids, false);
    for (i, earlier) in earlier.into_iter().enumerate() {
        let expected = match i % LIMIT {
            0 => Earlier::Nothing,
            _ => Earlier::Requests,
        };
        assert_eq!(earlier, expected, "request {i}");
    }
}
