//! Links between daemons.
//!
//! Each pair of daemons keeps one TCP connection for both directions; the host
//! with the smaller name dials. Both sides prove the shared key over both
//! hellos before any other frame counts. The proof covers the start of a link
//! only: frames are neither encrypted nor signed, so the network between
//! daemons has to be a private one.
//!
//! Each link has one bounded queue of outgoing frames. A newer heartbeat
//! replaces a queued older one; nothing else is ever dropped, and nothing
//! overtakes: a pool state that withdraws a replica must not arrive before the
//! reply that named it. A frame that does not fit closes the link instead, so that
//! [`PeerEvent::Down`] and then [`PeerEvent::Up`] tell both sides to send their
//! state and open questions again. A receiver that falls behind its bounded
//! event channel stops reading, which fills the queue of the sender.

mod dial;
mod frame;
mod handshake;
mod link;
mod listen;
mod queue;
pub mod wire;

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use crossbeam::channel::Sender;

use crate::config::Name;
use crate::settings::PeerAddress;
use link::Hub;
use wire::Body;

/// Settings of the links of one daemon.
#[derive(Clone)]
pub struct PeerSettings {
    /// Firm of this daemon.
    pub firm: Name,
    /// Name of this host.
    pub host: Name,
    /// Incarnation of this daemon; higher with each start of the host.
    pub incarnation: u64,
    /// Address to listen on.
    pub listen: SocketAddr,
    /// All daemons; the entry of this host is ignored.
    pub peers: Vec<PeerAddress>,
    /// Key shared by the daemons of the firm.
    pub key: Name,
    /// Limits of the links.
    pub limits: LinkLimits,
}

impl Default for PeerSettings {
    fn default() -> Self {
        PeerSettings {
            firm: "".into(),
            host: "".into(),
            incarnation: 0,
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            peers: Vec::new(),
            key: "".into(),
            limits: LinkLimits::default(),
        }
    }
}

/// Limits of the links of one daemon.
#[derive(Clone, Copy, Debug)]
pub struct LinkLimits {
    /// Largest frame, bytes.
    pub frame: usize,
    /// Most frames queued for one peer.
    pub queued: usize,
    /// Most bytes queued for one peer.
    pub queue_bytes: usize,
    /// Time for a whole handshake.
    pub handshake: Duration,
    /// Most connections that have not yet proved the key.
    pub strangers: usize,
    /// Longest silence of a peer, and longest time it may refuse to read. An
    /// idle link sends an empty frame of about 45 bytes with all headers every
    /// third of it: 460 daemons with 1 KB/s for this need 60 s.
    pub silence: Duration,
    /// First and longest pause before the next attempt to connect.
    pub backoff: Backoff,
}

impl Default for LinkLimits {
    fn default() -> Self {
        LinkLimits {
            frame: 16 << 20,
            queued: 4_096,
            queue_bytes: 32 << 20,
            handshake: Duration::from_secs(2),
            strangers: 64,
            silence: Duration::from_secs(6),
            backoff: Backoff::default(),
        }
    }
}

/// Pauses between attempts to connect; each is jittered down to its half.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    /// Pause after the first failure.
    pub first: Duration,
    /// Longest pause.
    pub most: Duration,
}

impl Default for Backoff {
    fn default() -> Self {
        Backoff {
            first: Duration::from_millis(50),
            most: Duration::from_secs(2),
        }
    }
}

/// What the links report.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerEvent {
    /// A link to this host and incarnation is open; nothing sent earlier is
    /// still under way.
    Up(Name, u64),
    /// The link to this host and incarnation is closed; frames may be lost.
    Down(Name, u64),
    /// A frame arrived.
    Message {
        /// Sender.
        from: Name,
        /// Content.
        body: Body,
    },
}

/// Why the links could not be started.
#[derive(Debug, thiserror::Error)]
pub enum PeerError {
    /// The listening address cannot be used.
    #[error("cannot listen for peers on {addr}: {source}")]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// Cause.
        source: io::Error,
    },
    /// The shared key is empty.
    #[error("the peer key is empty")]
    NoKey,
}

/// Why a frame was not queued.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SendError {
    /// There is no link to this host at present.
    #[error("no link to {0}")]
    NoLink(Name),
    /// The queue was full; the link is being closed.
    #[error("the queue of frames for {0} is full")]
    Full(Name),
    /// The frame exceeds the limit.
    #[error("a frame of {0} bytes is too large")]
    TooLarge(usize),
}

/// The links of one daemon; dropping it closes them.
pub struct Peers {
    hub: Arc<Hub>,
    addr: SocketAddr,
}

impl Peers {
    /// Listens and dials; reports on `events`, which should be bounded.
    ///
    /// Every thread behind it ends when `events` loses its receiver.
    pub fn start(settings: PeerSettings, events: Sender<PeerEvent>) -> Result<Peers, PeerError> {
        if settings.key.is_empty() {
            return Err(PeerError::NoKey);
        }
        let fault = |source| PeerError::Listen {
            addr: settings.listen,
            source,
        };
        let listener = TcpListener::bind(settings.listen).map_err(fault)?;
        let addr = listener.local_addr().map_err(fault)?;
        let waker = listener.try_clone().map_err(fault)?;
        let hub = Hub::new(settings, events, waker);
        listen::spawn(&hub, listener);
        dial::spawn_all(&hub);
        Ok(Peers { hub, addr })
    }

    /// The address listened on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Queues a frame for `host`; never blocks.
    pub fn send(&self, host: &str, body: Body) -> Result<(), SendError> {
        self.hub.send(host, body)
    }

    /// Queues a frame for every linked host; never blocks. A host whose queue
    /// is full loses its link.
    pub fn broadcast(&self, body: Body) {
        self.hub.broadcast(body);
    }

    /// Sends what is queued, closes all links and waits for their threads, at
    /// most for [`LinkLimits::silence`] or a handshake.
    pub fn stop(&self) {
        self.hub.stop();
    }

    /// Bytes written to all links, TCP and IP headers excluded.
    pub fn bytes_sent(&self) -> u64 {
        self.hub.traffic.sent()
    }

    /// Bytes read from all links, TCP and IP headers excluded.
    pub fn bytes_received(&self) -> u64 {
        self.hub.traffic.received()
    }
}

impl Drop for Peers {
    fn drop(&mut self) {
        self.stop();
    }
}
