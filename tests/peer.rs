//! Tests of the links between daemons over loopback.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use crossbeam::channel::{self, Receiver};
use mastichinge::peer::wire::{Body, Cancel, Change, Frame, Heartbeat, Hello, ReplicaRequest};
use mastichinge::peer::{LinkLimits, PeerError, PeerEvent, PeerSettings, Peers, SendError};
use mastichinge::settings::PeerAddress;
use prost::Message;

/// Upper limit of every wait.
const WAIT_LIMIT: Duration = Duration::from_secs(30);
/// Capacity of the event channel of a node.
const EVENT_CAPACITY: usize = 64;
const KEY: &str = "a key for tests only";

/// Returns a loopback address derived from the process id, so that concurrent
/// test processes do not take each other's ports.
fn loopback_addr() -> SocketAddr {
    let [.., high, low] = std::process::id().to_be_bytes();
    SocketAddr::from(([127, high, low, 1], 0))
}

/// Returns peers with free loopback addresses for the named hosts.
fn allocate_peers(hosts: &[&str]) -> Vec<PeerAddress> {
    let bind = |host: &&str| {
        let listener = TcpListener::bind(loopback_addr()).unwrap();
        let addr = listener.local_addr().unwrap();
        let host = (*host).into();
        (listener, PeerAddress { host, addr })
    };
    // All ports are bound at the same time, so that they differ.
    let bound: Vec<_> = hosts.iter().map(bind).collect();
    bound.into_iter().map(|(_, peer)| peer).collect()
}

fn limits() -> LinkLimits {
    LinkLimits {
        handshake_timeout: Duration::from_millis(300),
        ..LinkLimits::default()
    }
}

fn settings(peers: &[PeerAddress], host: &str) -> PeerSettings {
    let own = peers.iter().find(|p| *p.host == *host).unwrap();
    PeerSettings {
        firm: "firm".into(),
        host: host.into(),
        incarnation: 1,
        listen: own.addr,
        peers: peers.to_vec(),
        key: KEY.into(),
        limits: limits(),
    }
}

/// The links of one daemon and their events.
struct Node {
    peers: Peers,
    events: Receiver<PeerEvent>,
}

impl Node {
    fn start(settings: PeerSettings) -> Node {
        let (tx, events) = channel::bounded(EVENT_CAPACITY);
        let peers = Peers::start(settings, tx).unwrap();
        Node { peers, events }
    }

    fn next_event(&self) -> PeerEvent {
        self.events.recv_timeout(WAIT_LIMIT).unwrap()
    }

    fn wait_for(&self, wanted: &PeerEvent) {
        while self.next_event() != *wanted {}
    }
}

fn link_up(host: &str, incarnation: u64) -> PeerEvent {
    PeerEvent::Up(host.into(), incarnation)
}

fn link_down(host: &str, incarnation: u64) -> PeerEvent {
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

/// Starts two linked nodes, `a` and `b`.
fn pair(peers: &[PeerAddress]) -> (Node, Node) {
    let a = Node::start(settings(peers, "a"));
    let b = Node::start(settings(peers, "b"));
    assert_eq!(a.next_event(), link_up("b", 1));
    assert_eq!(b.next_event(), link_up("a", 1));
    (a, b)
}

#[test]
fn frames_pass_both_ways_in_order() {
    let (a, b) = pair(&allocate_peers(&["a", "b"]));
    for n in 0..100 {
        a.peers.send("b", cancel(&n.to_string())).unwrap();
    }
    for n in 0..100 {
        assert_eq!(b.next_event(), message("a", cancel(&n.to_string())));
    }
    b.peers.broadcast(cancel("back"));
    assert_eq!(a.next_event(), message("b", cancel("back")));
    assert!(a.peers.bytes_sent() > 0 && a.peers.bytes_received() > 0);
}

#[test]
fn stop_sends_the_queued_frames() {
    let (a, b) = pair(&allocate_peers(&["a", "b"]));
    a.peers.send("b", cancel("last")).unwrap();
    a.peers.stop();
    assert_eq!(b.next_event(), message("a", cancel("last")));
    assert_eq!(b.next_event(), link_down("a", 1));
    let refused = a.peers.send("b", cancel("late"));
    assert_eq!(refused, Err(SendError::NoLink("b".into())));
}

#[test]
fn restarted_peer_links_with_its_new_incarnation() {
    let peers = allocate_peers(&["a", "b"]);
    let (a, b) = pair(&peers);
    drop(b);
    assert_eq!(a.next_event(), link_down("b", 1));
    let restarted = PeerSettings {
        incarnation: 2,
        ..settings(&peers, "b")
    };
    let b = Node::start(restarted);
    assert_eq!(a.next_event(), link_up("b", 2));
    assert_eq!(b.next_event(), link_up("a", 1));
}

#[test]
fn five_daemons_form_a_full_mesh() {
    let hosts = ["a", "b", "c", "d", "e"];
    let peers = allocate_peers(&hosts);
    let nodes = hosts.map(|host| Node::start(settings(&peers, host)));
    for node in &nodes {
        let mut seen: Vec<PeerEvent> = (1..hosts.len()).map(|_| node.next_event()).collect();
        seen.sort_by_key(|event| format!("{event:?}"));
        seen.dedup();
        assert_eq!(seen.len(), hosts.len() - 1);
        assert!(seen.iter().all(|event| matches!(event, PeerEvent::Up(..))));
    }
}

#[test]
fn empty_key_and_address_in_use_are_errors() {
    let peers = allocate_peers(&["a", "b"]);
    let (tx, _events) = channel::bounded(1);
    let no_key = PeerSettings {
        key: "".into(),
        ..settings(&peers, "a")
    };
    assert!(matches!(
        Peers::start(no_key, tx.clone()),
        Err(PeerError::EmptyKey)
    ));
    let _taken = TcpListener::bind(peers[0].addr).unwrap();
    let error = Peers::start(settings(&peers, "a"), tx).err().unwrap();
    assert!(error.to_string().contains(&peers[0].addr.to_string()));
}

#[test]
fn too_large_frame_is_refused_and_the_link_stays() {
    let peers = allocate_peers(&["a", "b"]);
    let small = |host| PeerSettings {
        limits: LinkLimits {
            frame_bytes: 1_000,
            ..limits()
        },
        ..settings(&peers, host)
    };
    let a = Node::start(small("a"));
    let b = Node::start(small("b"));
    a.wait_for(&link_up("b", 1));
    let large = a.peers.send("b", cancel(&"x".repeat(1_000)));
    assert!(matches!(large, Err(SendError::TooLarge(_))));
    a.peers.send("b", cancel("small")).unwrap();
    b.wait_for(&message("a", cancel("small")));
}

#[test]
fn full_queue_closes_the_link_on_both_sides_and_it_reopens() {
    let peers = allocate_peers(&["a", "b"]);
    let settings_a = PeerSettings {
        limits: LinkLimits {
            queue_frames: 8,
            ..limits()
        },
        ..settings(&peers, "a")
    };
    let a = Node::start(settings_a);
    let b = Node::start(settings(&peers, "b"));
    a.wait_for(&link_up("b", 1));
    // The event channel of `b` is not read, so its link stops reading.
    let request = ReplicaRequest {
        model: "m".repeat(60_000),
        ..ReplicaRequest::default()
    };
    let mut queued = 0;
    let full = loop {
        match a.peers.send("b", Body::ReplicaRequest(request.clone())) {
            Ok(()) => queued += 1,
            Err(e) => break e,
        }
    };
    assert_eq!(full, SendError::Full("b".into()));
    assert!(queued >= 8);
    a.wait_for(&link_down("b", 1));
    b.wait_for(&link_down("a", 1));
    a.wait_for(&link_up("b", 1));
    b.wait_for(&link_up("a", 1));
    a.peers.send("b", cancel("again")).unwrap();
    b.wait_for(&message("a", cancel("again")));
}

#[test]
fn newer_heartbeats_replace_queued_ones_for_a_peer_that_does_not_read() {
    let peers = allocate_peers(&["a", "b"]);
    let (a, b) = pair(&peers);
    let heartbeat = |config| {
        let addr = "x".repeat(60_000);
        Body::Heartbeat(Heartbeat {
            config,
            addr,
            ..Heartbeat::default()
        })
    };
    let last = 4 * LinkLimits::default().queue_frames as u64;
    for config in 1..=last {
        a.peers.send("b", heartbeat(config)).unwrap();
    }
    b.wait_for(&message("a", heartbeat(last)));
}

/// Opens a TCP connection to the peer port of `node`.
fn connect(node: &Node) -> TcpStream {
    let stream = TcpStream::connect(node.peers.addr()).unwrap();
    stream.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
    stream
}

/// Waits until the other side has closed the connection.
fn wait_until_closed(mut stream: TcpStream) {
    let mut rest = Vec::new();
    // A reset counts as closed, a timeout does not.
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
fn unauthenticated_connection_is_closed_and_other_links_stay(sent: Vec<u8>) {
    let (a, b) = pair(&allocate_peers(&["a", "b"]));
    let mut stream = connect(&b);
    stream.write_all(&sent).unwrap();
    wait_until_closed(stream);
    a.peers.send("b", cancel("fine")).unwrap();
    assert_eq!(b.next_event(), message("a", cancel("fine")));
}

#[test]
fn connections_above_the_unauthenticated_limit_are_closed_at_once() {
    let peers = allocate_peers(&["a", "b"]);
    let settings_b = PeerSettings {
        limits: LinkLimits {
            unauthenticated: 2,
            handshake_timeout: Duration::from_secs(3_600),
            ..limits()
        },
        ..settings(&peers, "b")
    };
    let b = Node::start(settings_b);
    let connections = [connect(&b), connect(&b)];
    for stream in &connections {
        // The hello of `b` shows that it has counted the connection.
        let mut first = [0];
        (&*stream).read_exact(&mut first).unwrap();
    }
    wait_until_closed(connect(&b));
    drop(connections);
}

#[test]
fn peer_with_a_wrong_key_gets_no_link() {
    let peers = allocate_peers(&["a", "b", "c"]);
    let (a, b) = pair(&peers[..2]);
    let wrong_key = PeerSettings {
        key: "another key".into(),
        ..settings(&peers, "a")
    };
    drop(a);
    assert_eq!(b.next_event(), link_down("a", 1));
    let wrong_key = Node::start(PeerSettings {
        listen: loopback_addr(),
        ..wrong_key
    });
    // The handshake has failed once bytes of `b` have arrived and an `a` with the
    // right key is linked again.
    while wrong_key.peers.bytes_received() == 0 {
        std::thread::yield_now();
    }
    assert!(wrong_key.events.try_recv().is_err());
    drop(wrong_key);
    let a = Node::start(settings(&peers[..2], "a"));
    assert_eq!(b.next_event(), link_up("a", 1));
    assert_eq!(a.next_event(), link_up("b", 1));
}

#[test]
fn older_incarnation_does_not_replace_a_newer_one() {
    let peers = allocate_peers(&["a", "b"]);
    let newer = PeerSettings {
        incarnation: 5,
        ..settings(&peers, "a")
    };
    let a = Node::start(newer);
    let b = Node::start(settings(&peers, "b"));
    assert_eq!(b.next_event(), link_up("a", 5));
    let older = Node::start(PeerSettings {
        listen: loopback_addr(),
        ..settings(&peers, "a")
    });
    // The older one sees its link open and close; `b` reports no event.
    assert_eq!(older.next_event(), link_up("b", 1));
    assert_eq!(older.next_event(), link_down("b", 1));
    a.peers.send("b", cancel("still")).unwrap();
    assert_eq!(b.next_event(), message("a", cancel("still")));
}

#[test]
fn threads_end_when_the_event_receiver_is_dropped() {
    let (a, b) = pair(&allocate_peers(&["a", "b"]));
    let Node { peers, events } = b;
    drop(events);
    a.peers.send("b", Body::Change(Change::default())).unwrap();
    a.wait_for(&link_down("b", 1));
    drop(peers);
}
