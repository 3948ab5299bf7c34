//! The relay disturbs connections as each fault says.

use std::net::SocketAddr;
use std::time::Duration;

use test_case::test_case;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

use crate::fakes::runtime;
use crate::relay::{Direction, LinkFault, Relay, RelaySettings};

/// Time in which nothing arrives that is held.
const HELD_TIME: Duration = Duration::from_millis(300);

/// A connection through a relay.
struct Pair {
    relay: Relay,
    client: TcpStream,
    server: TcpStream,
}

impl Pair {
    /// Returns the sending and the receiving end of a direction.
    fn ends(&mut self, direction: Direction) -> (&mut TcpStream, &mut TcpStream) {
        match direction {
            Direction::ToServer => (&mut self.client, &mut self.server),
            Direction::ToClient => (&mut self.server, &mut self.client),
        }
    }
}

async fn connect() -> Pair {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let settings = RelaySettings {
        reset_rate: 1.0,
        ..RelaySettings::default()
    };
    let relay = Relay::start(listener.local_addr().unwrap(), settings);
    let mut client = TcpStream::connect(relay.addr).await.unwrap();
    let (mut server, _) = listener.accept().await.unwrap();
    // The relay carries both directions from here on.
    for direction in [Direction::ToServer, Direction::ToClient] {
        let (from, to) = match direction {
            Direction::ToServer => (&mut client, &mut server),
            Direction::ToClient => (&mut server, &mut client),
        };
        from.write_all(b"open").await.unwrap();
        assert_eq!(receive(to, 4).await, b"open");
    }
    Pair {
        relay,
        client,
        server,
    }
}

/// Returns the next bytes; fewer if the connection ends.
async fn receive(stream: &mut TcpStream, count: usize) -> Vec<u8> {
    let mut bytes = Vec::new();
    while bytes.len() < count {
        match stream.read_buf(&mut bytes).await {
            Ok(n) if n > 0 => {}
            _ => break,
        }
    }
    bytes
}

async fn is_reset(stream: &mut TcpStream) -> bool {
    stream.read(&mut [0]).await.is_err()
}

async fn is_quiet(stream: &mut TcpStream) -> bool {
    timeout(HELD_TIME, stream.read(&mut [0])).await.is_err()
}

/// Runs a test on the runtime of the relays.
fn on_runtime(test: impl Future<Output = ()> + Send + 'static) {
    let (sender, receiver) = std::sync::mpsc::channel();
    runtime().spawn(async move {
        test.await;
        sender.send(()).unwrap();
    });
    receiver.recv().expect("the test has failed");
}

/// Guards against a close in order where a link fails, which ends a body without a length.
#[test_case(true; "refuses")]
#[test_case(false; "resets")]
fn a_cut_resets_all_connections_and_takes_no_new_ones(refuses: bool) {
    on_runtime(async move {
        let mut pair = connect().await;
        pair.relay.disturb(LinkFault::Cut { refuses });
        assert!(is_reset(&mut pair.client).await);
        assert!(is_reset(&mut pair.server).await);
        let new = TcpStream::connect(pair.relay.addr).await;
        match refuses {
            true => assert!(new.is_err()),
            false => assert!(is_reset(&mut new.unwrap()).await),
        }
    });
}

/// Guards against a silence in both directions, one that loses order, and one that drops nothing.
#[test_case(Direction::ToServer, false; "to the server, delivered")]
#[test_case(Direction::ToServer, true; "to the server, dropped")]
#[test_case(Direction::ToClient, false; "to the client, delivered")]
#[test_case(Direction::ToClient, true; "to the client, dropped")]
fn a_silence_holds_one_direction(direction: Direction, drops: bool) {
    on_runtime(async move {
        let mut pair = connect().await;
        let fault = LinkFault::Silence { direction, drops };
        pair.relay.disturb(fault);
        let (from, to) = pair.ends(direction);
        from.write_all(b"held").await.unwrap();
        to.write_all(b"back").await.unwrap();
        assert_eq!(receive(from, 4).await, b"back");
        assert!(is_quiet(to).await);
        pair.relay.mend(fault);
        let (from, to) = pair.ends(direction);
        match drops {
            false => assert_eq!(receive(to, 4).await, b"held"),
            true => assert!(is_reset(to).await && is_reset(from).await),
        }
    });
}

/// Guards against telling both sides of a half-open connection.
#[test_case(Direction::ToServer; "the server is lost")]
#[test_case(Direction::ToClient; "the client is lost")]
fn the_other_side_of_a_half_open_connection_is_told_in_the_end(direction: Direction) {
    on_runtime(async move {
        let mut pair = connect().await;
        let fault = LinkFault::HalfOpen(direction);
        pair.relay.disturb(fault);
        let (kept, lost) = pair.ends(direction);
        assert!(is_reset(lost).await);
        kept.write_all(b"lost").await.unwrap();
        assert!(is_quiet(kept).await);
        pair.relay.mend(fault);
        let (kept, _) = pair.ends(direction);
        assert!(is_reset(kept).await);
    });
}

/// Guards against resets between messages only, and resets that take the message with them.
#[test_case(Direction::ToServer, false; "in a request")]
#[test_case(Direction::ToServer, true; "after a request")]
#[test_case(Direction::ToClient, false; "in a response")]
#[test_case(Direction::ToClient, true; "after a response")]
fn a_reset_comes_in_the_middle_of_a_message_or_after_it(direction: Direction, whole: bool) {
    on_runtime(async move {
        let mut pair = connect().await;
        pair.relay.disturb(LinkFault::Reset { direction, whole });
        let (from, to) = pair.ends(direction);
        from.write_all(b"halfhalf").await.unwrap();
        match whole {
            true => assert_eq!(receive(to, 8).await, b"halfhalf"),
            false => assert_eq!(receive(to, 4).await, b"half"),
        }
        assert!(is_reset(to).await && is_reset(from).await);
    });
}

/// Guards against faults that change or lose bytes of connections that go on.
#[test_case(LinkFault::Delay(Duration::from_millis(50)); "delay")]
#[test_case(LinkFault::Squeeze(100_000); "squeeze")]
fn slow_links_deliver_all_bytes_and_the_close(fault: LinkFault) {
    on_runtime(async move {
        let mut pair = connect().await;
        pair.relay.disturb(fault);
        let sent: Vec<u8> = (0..20_000_u32).map(|n| (n % 251) as u8).collect();
        pair.client.write_all(&sent).await.unwrap();
        pair.client.shutdown().await.unwrap();
        assert_eq!(receive(&mut pair.server, sent.len() + 1).await, sent);
        pair.server.write_all(b"done").await.unwrap();
        drop(pair.server);
        assert_eq!(receive(&mut pair.client, 5).await, b"done");
    });
}

/// Guards against connections that outlive the relay.
#[test]
fn a_relay_ends_with_its_last_handle() {
    on_runtime(async move {
        let mut pair = connect().await;
        let addr: SocketAddr = pair.relay.addr;
        drop(pair.relay);
        assert!(is_reset(&mut pair.client).await);
        assert!(is_reset(&mut pair.server).await);
        while TcpStream::connect(addr).await.is_ok() {
            tokio::task::yield_now().await;
        }
    });
}
