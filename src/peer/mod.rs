//! Links between daemons.
//!
//! Each pair of daemons keeps one TCP connection for both directions; the host
//! with the smaller name dials. Both sides authenticate with the shared
//! key before any other frame is accepted. Only the handshake is protected: later
//! frames are neither encrypted nor signed, so the network between daemons has to
//! be private.
//!
//! Each link has one bounded queue of outgoing frames. A newer heartbeat
//! replaces a queued older one; no other frame is dropped or reordered: a pool
//! state that withdraws a replica must not arrive before the reply that named it.
//! A frame that does not fit closes the link instead. [`PeerEvent::Down`] and
//! then [`PeerEvent::Up`] make both sides send their state and pending requests
//! again. When the bounded event channel of a receiver is full, its link stops
//! reading, which fills the queue of the sender.

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
use link::LinkManager;
use wire::Body;

/// Settings of the links of one daemon.
#[derive(Clone)]
pub struct PeerSettings {
    /// Firm of this daemon.
    pub firm: Name,
    /// Name of this host.
    pub host: Name,
    /// Incarnation of this daemon; increases with each start.
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
    /// Largest size of a frame, bytes.
    pub frame_bytes: usize,
    /// Largest number of frames queued for one peer.
    pub queue_frames: usize,
    /// Largest number of bytes queued for one peer.
    pub queue_bytes: usize,
    /// Time limit of connecting, and of a whole handshake.
    pub handshake_timeout: Duration,
    /// Largest number of unauthenticated connections.
    pub unauthenticated: usize,
    /// Longest time without a frame from a peer, and longest time that a write
    /// may block. An idle link sends an empty frame of about 45 bytes with all
    /// headers every third of it: with 460 daemons and 1 KB/s for these frames it
    /// has to be 60 s.
    pub idle_timeout: Duration,
    /// Delays between attempts to connect.
    pub backoff: Backoff,
}

impl Default for LinkLimits {
    fn default() -> Self {
        LinkLimits {
            frame_bytes: 16 << 20,
            queue_frames: 4_096,
            queue_bytes: 32 << 20,
            handshake_timeout: Duration::from_secs(2),
            unauthenticated: 64,
            idle_timeout: Duration::from_secs(6),
            backoff: Backoff::default(),
        }
    }
}

/// Exponential backoff between attempts to connect; each wait is a random time
/// between half of the delay and the whole delay.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    /// Delay after the first failure.
    pub initial: Duration,
    /// Longest delay.
    pub maximum: Duration,
}

impl Default for Backoff {
    fn default() -> Self {
        Backoff {
            initial: Duration::from_millis(50),
            maximum: Duration::from_secs(2),
        }
    }
}

/// Event of a link.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerEvent {
    /// The link to this host and incarnation is open; no frame of an
    /// earlier link is still in flight.
    Up(Name, u64),
    /// The link to this host and incarnation is closed; sent frames may be lost.
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
    /// The daemon cannot listen on the address.
    #[error("cannot listen for peers on {addr}: {source}")]
    Listen {
        /// Address to listen on.
        addr: SocketAddr,
        /// Underlying error.
        source: io::Error,
    },
    /// The shared key is empty.
    #[error("the peer key is empty")]
    EmptyKey,
}

/// Why a frame was not queued.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SendError {
    /// There is no link to this host at present.
    #[error("no link to {0}")]
    NoLink(Name),
    /// The queue was full; the link is being closed.
    #[error("the send queue for {0} is full")]
    Full(Name),
    /// The frame exceeds the limit.
    #[error("frame of {0} bytes is too large")]
    TooLarge(usize),
}

/// The links of one daemon; dropping it closes them.
pub struct Peers {
    manager: Arc<LinkManager>,
    addr: SocketAddr,
}

impl Peers {
    /// Starts to listen and to dial; sends its events to `events`, which should be
    /// bounded.
    ///
    /// All threads end when the receiver of `events` is dropped.
    pub fn start(settings: PeerSettings, events: Sender<PeerEvent>) -> Result<Peers, PeerError> {
        if settings.key.is_empty() {
            return Err(PeerError::EmptyKey);
        }
        let listen_error = |source| PeerError::Listen {
            addr: settings.listen,
            source,
        };
        let listener = TcpListener::bind(settings.listen).map_err(listen_error)?;
        let addr = listener.local_addr().map_err(listen_error)?;
        let waker = listener.try_clone().map_err(listen_error)?;
        let manager = LinkManager::new(settings, events, waker);
        listen::spawn_acceptor(&manager, listener);
        dial::spawn_dialers(&manager);
        Ok(Peers { manager, addr })
    }

    /// Returns the address that the daemon listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Queues a frame for `host`; never blocks.
    pub fn send(&self, host: &str, body: Body) -> Result<(), SendError> {
        self.manager.send(host, body)
    }

    /// Queues a frame for every linked host; never blocks. The link to a host whose
    /// queue is full is closed.
    pub fn broadcast(&self, body: Body) {
        self.manager.broadcast(body);
    }

    /// Sends the queued frames, closes all links and waits for their threads. Waits
    /// at most [`LinkLimits::idle_timeout`] or [`LinkLimits::handshake_timeout`].
    pub fn stop(&self) {
        self.manager.stop();
    }

    /// Returns the number of bytes written to all links, TCP and IP headers excluded.
    pub fn bytes_sent(&self) -> u64 {
        self.manager.traffic.sent()
    }

    /// Returns the number of bytes read from all links, TCP and IP headers excluded.
    pub fn bytes_received(&self) -> u64 {
        self.manager.traffic.received()
    }
}

impl Drop for Peers {
    fn drop(&mut self) {
        self.stop();
    }
}
