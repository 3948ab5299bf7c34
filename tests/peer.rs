//! Links between daemons over loopback.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use crossbeam::channel::{self, Receiver};
use mastichinge::peer::wire::{Body, Cancel, Change, Frame, Heartbeat, Hello, ReplicaRequest};
use mastichinge::peer::{LinkLimits, PeerError, PeerEvent, PeerSettings, Peers, SendError};
use mastichinge::settings::PeerAddress;
use prost::Message;

/// Generous bound on every wait.
const WAIT: Duration = Duration::from_secs(30);
/// Events that a node holds.
const EVENTS: usize = 64;
const KEY: &str = "a key for tests only";

/// A loopback address of this process, so that no other takes its ports.
fn home() -> SocketAddr {
    let [.., high, low] = std::process::id().to_be_bytes();
    SocketAddr::from(([127, high, low, 1], 0))
}

/// Free loopback addresses for the named hosts.
fn net(hosts: &[&str]) -> Vec<PeerAddress> {
    let bind = |host: &&str| {
        let listener = TcpListener::bind(home()).unwrap();
        let addr = listener.local_addr().unwrap();
        let host = (*host).into();
        (listener, PeerAddress { host, addr })
    };
    // All are bound at once, so that they differ.
    let bound: Vec<_> = hosts.iter().map(bind).collect();
    bound.into_iter().map(|(_, peer)| peer).collect()
}

fn limits() -> LinkLimits {
    LinkLimits {
        handshake: Duration::from_millis(300),
        ..LinkLimits::default()
    }
}

fn settings(net: &[PeerAddress], host: &str) -> PeerSettings {
    let me = net.iter().find(|p| *p.host == *host).unwrap();
    PeerSettings {
        firm: "firm".into(),
        host: host.into(),
        incarnation: 1,
        listen: me.addr,
        peers: net.to_vec(),
        key: KEY.into(),
        limits: limits(),
    }
}

struct Node {
    peers: Peers,
    events: Receiver<PeerEvent>,
}

impl Node {
    fn start(settings: PeerSettings) -> Node {
        let (tx, events) = channel::bounded(EVENTS);
        let peers = Peers::start(settings, tx).unwrap();
        Node { peers, events }
    }

    fn next(&self) -> PeerEvent {
        self.events.recv_timeout(WAIT).unwrap()
    }

    fn wait_for(&self, wanted: &PeerEvent) {
        while self.next() != *wanted {}
    }
}

fn up(host: &str, incarnation: u64) -> PeerEvent {
    PeerEvent::Up(host.into(), incarnation)
}

fn down(host: &str, incarnation: u64) -> PeerEvent {
    PeerEvent::Down(host.into(), incarnation)
}

fn cancel(ticket: &str) -> Body {
    Body::Cancel(Cancel {
        ticket: ticket.into(),
    })
}

fn message(from: &str, body: Body) -> PeerEvent {
    PeerEvent::Message {
        from: from.into(),
        body,
    }
}

/// Two linked nodes, `a` and `b`.
fn pair(net: &[PeerAddress]) -> (Node, Node) {
    let a = Node::start(settings(net, "a"));
    let b = Node::start(settings(net, "b"));
    assert_eq!(a.next(), up("b", 1));
    assert_eq!(b.next(), up("a", 1));
    (a, b)
}

#[test]
fn frames_pass_both_ways_in_order() {
    let (a, b) = pair(&net(&["a", "b"]));
    for n in 0..100 {
        a.peers.send("b", cancel(&n.to_string())).unwrap();
    }
    for n in 0..100 {
        assert_eq!(b.next(), message("a", cancel(&n.to_string())));
    }
    b.peers.broadcast(cancel("back"));
    assert_eq!(a.next(), message("b", cancel("back")));
    assert!(a.peers.bytes_sent() > 0 && a.peers.bytes_received() > 0);
}

#[test]
fn stop_sends_what_is_queued() {
    let (a, b) = pair(&net(&["a", "b"]));
    a.peers.send("b", cancel("last")).unwrap();
    a.peers.stop();
    assert_eq!(b.next(), message("a", cancel("last")));
    assert_eq!(b.next(), down("a", 1));
    let refused = a.peers.send("b", cancel("late"));
    assert_eq!(refused, Err(SendError::NoLink("b".into())));
}

#[test]
fn restarted_peer_comes_back_with_its_incarnation() {
    let net = net(&["a", "b"]);
    let (a, b) = pair(&net);
    drop(b);
    assert_eq!(a.next(), down("b", 1));
    let again = PeerSettings {
        incarnation: 2,
        ..settings(&net, "b")
    };
    let b = Node::start(again);
    assert_eq!(a.next(), up("b", 2));
    assert_eq!(b.next(), up("a", 1));
}

#[test]
fn five_daemons_form_a_full_mesh() {
    let hosts = ["a", "b", "c", "d", "e"];
    let net = net(&hosts);
    let nodes = hosts.map(|host| Node::start(settings(&net, host)));
    for node in &nodes {
        let mut seen: Vec<PeerEvent> = (1..hosts.len()).map(|_| node.next()).collect();
        seen.sort_by_key(|event| format!("{event:?}"));
        seen.dedup();
        assert_eq!(seen.len(), hosts.len() - 1);
        assert!(seen.iter().all(|event| matches!(event, PeerEvent::Up(..))));
    }
}

#[test]
fn empty_key_and_unusable_address_are_errors() {
    let net = net(&["a", "b"]);
    let (tx, _events) = channel::bounded(1);
    let bare = PeerSettings {
        key: "".into(),
        ..settings(&net, "a")
    };
    assert!(matches!(
        Peers::start(bare, tx.clone()),
        Err(PeerError::NoKey)
    ));
    let _taken = TcpListener::bind(net[0].addr).unwrap();
    let fault = Peers::start(settings(&net, "a"), tx).err().unwrap();
    assert!(fault.to_string().contains(&net[0].addr.to_string()));
}

#[test]
fn too_large_frame_is_refused_and_the_link_stays() {
    let net = net(&["a", "b"]);
    let small = |host| PeerSettings {
        limits: LinkLimits {
            frame: 1_000,
            ..limits()
        },
        ..settings(&net, host)
    };
    let a = Node::start(small("a"));
    let b = Node::start(small("b"));
    a.wait_for(&up("b", 1));
    let large = a.peers.send("b", cancel(&"x".repeat(1_000)));
    assert!(matches!(large, Err(SendError::TooLarge(_))));
    a.peers.send("b", cancel("small")).unwrap();
    b.wait_for(&message("a", cancel("small")));
}

#[test]
fn full_queue_closes_the_link_and_both_sides_learn_it() {
    let net = net(&["a", "b"]);
    let few = PeerSettings {
        limits: LinkLimits {
            queued: 8,
            ..limits()
        },
        ..settings(&net, "a")
    };
    let a = Node::start(few);
    let b = Node::start(settings(&net, "b"));
    a.wait_for(&up("b", 1));
    // `b` does not take its events, so its reader stops reading.
    let want = ReplicaRequest {
        model: "m".repeat(60_000),
        ..ReplicaRequest::default()
    };
    let mut taken = 0;
    let full = loop {
        match a.peers.send("b", Body::ReplicaRequest(want.clone())) {
            Ok(()) => taken += 1,
            Err(e) => break e,
        }
    };
    assert_eq!(full, SendError::Full("b".into()));
    assert!(taken >= 8);
    a.wait_for(&down("b", 1));
    b.wait_for(&down("a", 1));
    a.wait_for(&up("b", 1));
    b.wait_for(&up("a", 1));
    a.peers.send("b", cancel("again")).unwrap();
    b.wait_for(&message("a", cancel("again")));
}

#[test]
fn heartbeats_to_a_peer_that_does_not_read_replace_each_other() {
    let net = net(&["a", "b"]);
    let (a, b) = pair(&net);
    let beat = |config| {
        let addr = "x".repeat(60_000);
        Body::Heartbeat(Heartbeat {
            config,
            addr,
            ..Heartbeat::default()
        })
    };
    let last = 4 * LinkLimits::default().queued as u64;
    for config in 1..=last {
        a.peers.send("b", beat(config)).unwrap();
    }
    b.wait_for(&message("a", beat(last)));
}

/// A raw connection to the peer port of `node`.
fn raw(node: &Node) -> TcpStream {
    let stream = TcpStream::connect(node.peers.addr()).unwrap();
    stream.set_read_timeout(Some(WAIT)).unwrap();
    stream
}

/// Waits until the other side has closed.
fn closed(mut stream: TcpStream) {
    let mut rest = Vec::new();
    // A reset also counts as closed; a time-out does not.
    if let Err(e) = stream.read_to_end(&mut rest) {
        assert_eq!(e.kind(), std::io::ErrorKind::ConnectionReset);
    }
}

fn frame(body: Body) -> Vec<u8> {
    let content = Frame { body: Some(body) }.encode_to_vec();
    let mut bytes = (content.len() as u32).to_be_bytes().to_vec();
    bytes.extend(content);
    bytes
}

fn hello(wire: u32, firm: &str, host: &str) -> Vec<u8> {
    frame(Body::Hello(Hello {
        wire,
        firm: firm.into(),
        host: host.into(),
        incarnation: 9,
        nonce: vec![7; 32],
    }))
}

#[test_case::test_case(b"GET / HTTP/1.1\r\n\r\n".to_vec(); "another protocol")]
#[test_case::test_case(vec![0, 0]; "half a length")]
#[test_case::test_case(vec![0, 0, 0, 50, 1, 2]; "half a frame")]
#[test_case::test_case(vec![0xff; 64]; "an endless frame")]
#[test_case::test_case(vec![0, 0, 0, 3, 0xff, 0xff, 0xff]; "a frame that does not decode")]
#[test_case::test_case(frame(cancel("t")); "a frame before the handshake")]
#[test_case::test_case(hello(2, "firm", "a"); "another wire version")]
#[test_case::test_case(hello(1, "other", "a"); "another firm")]
#[test_case::test_case(hello(1, "firm", "z"); "an unknown host")]
#[test_case::test_case(hello(1, "firm", "b"); "its own name")]
#[test_case::test_case(hello(1, "firm", "a"); "no proof")]
#[test_case::test_case([hello(1, "firm", "a"), frame(cancel("t"))].concat(); "no proof but a frame")]
fn stranger_is_refused_and_disturbs_nobody(sent: Vec<u8>) {
    let (a, b) = pair(&net(&["a", "b"]));
    let mut stream = raw(&b);
    stream.write_all(&sent).unwrap();
    closed(stream);
    a.peers.send("b", cancel("fine")).unwrap();
    assert_eq!(b.next(), message("a", cancel("fine")));
}

#[test]
fn strangers_beyond_the_bound_are_closed_at_once() {
    let net = net(&["a", "b"]);
    let patient = PeerSettings {
        limits: LinkLimits {
            strangers: 2,
            handshake: Duration::from_secs(3_600),
            ..limits()
        },
        ..settings(&net, "b")
    };
    let b = Node::start(patient);
    let held = [raw(&b), raw(&b)];
    for stream in &held {
        // Its hello shows that it counts.
        let mut first = [0];
        (&*stream).read_exact(&mut first).unwrap();
    }
    closed(raw(&b));
    drop(held);
}

#[test]
fn wrong_key_never_links() {
    let net = net(&["a", "b", "c"]);
    let (a, b) = pair(&net[..2]);
    let forged = PeerSettings {
        key: "another key".into(),
        ..settings(&net, "a")
    };
    drop(a);
    assert_eq!(b.next(), down("a", 1));
    let forged = Node::start(PeerSettings {
        listen: home(),
        ..forged
    });
    // It has been refused once its bytes arrived and a true `a` is linked again.
    while forged.peers.bytes_received() == 0 {
        std::thread::yield_now();
    }
    assert!(forged.events.try_recv().is_err());
    drop(forged);
    let a = Node::start(settings(&net[..2], "a"));
    assert_eq!(b.next(), up("a", 1));
    assert_eq!(a.next(), up("b", 1));
}

#[test]
fn older_incarnation_does_not_replace_a_newer_one() {
    let net = net(&["a", "b"]);
    let newer = PeerSettings {
        incarnation: 5,
        ..settings(&net, "a")
    };
    let a = Node::start(newer);
    let b = Node::start(settings(&net, "b"));
    assert_eq!(b.next(), up("a", 5));
    let older = Node::start(PeerSettings {
        listen: home(),
        ..settings(&net, "a")
    });
    // The older one sees its link open and close, `b` sees nothing of it.
    assert_eq!(older.next(), up("b", 1));
    assert_eq!(older.next(), down("b", 1));
    a.peers.send("b", cancel("still")).unwrap();
    assert_eq!(b.next(), message("a", cancel("still")));
}

#[test]
fn threads_end_when_the_receiver_is_gone() {
    let (a, b) = pair(&net(&["a", "b"]));
    let Node { peers, events } = b;
    drop(events);
    a.peers.send("b", Body::Change(Change::default())).unwrap();
    a.wait_for(&down("b", 1));
    drop(peers);
}
