//! The open links of one daemon.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::io::{self, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use bytes::Bytes;
use crossbeam::channel::{self, Receiver, Sender, select};
use socket2::{SockRef, TcpKeepalive};

use super::frame::{self, Traffic};
use super::handshake::AuthenticatedPeer;
use super::queue::{FrameKind, PopResult, PushError, QueuedFrame, SendQueue};
use super::wire::Body;
use super::{PeerEvent, PeerSettings, SendError};
use crate::config::Name;

/// Stack size of each link thread, bytes.
const THREAD_STACK_BYTES: usize = 256 << 10;

/// One open link.
struct Link {
    number: usize,
    incarnation: u64,
    stream: TcpStream,
    queue: Arc<SendQueue>,
}

impl Link {
    /// Closes the connection and drops the queued frames.
    fn abort(&self) {
        self.queue.clear();
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

/// The link to one host, if there is one.
#[derive(Default)]
struct HostSlot {
    /// The open link. Locked briefly, never while an event is sent.
    link: Mutex<Option<Link>>,
    /// Locked while events of this host are sent, which keeps their order.
    event_order: Mutex<()>,
}

/// State shared by all link threads.
pub struct LinkManager {
    /// Settings of the links.
    pub settings: PeerSettings,
    /// Byte counters over all links.
    pub traffic: Arc<Traffic>,
    /// Number of connections that are not yet authenticated.
    pub unauthenticated: AtomicUsize,
    /// Channel that is closed when the links stop.
    pub stopped: Receiver<()>,
    stop_sender: Mutex<Option<Sender<()>>>,
    stopping: AtomicBool,
    next_number: AtomicUsize,
    slots: BTreeMap<Name, HostSlot>,
    events: Sender<PeerEvent>,
    waker: TcpListener,
    threads: Mutex<Vec<JoinHandle<()>>>,
}

impl LinkManager {
    /// Creates a manager without links; `waker` is a second handle of the
    /// listener, which unblocks `accept` on a stop.
    pub fn new(settings: PeerSettings, events: Sender<PeerEvent>, waker: TcpListener) -> Arc<Self> {
        let (stop_sender, stopped) = channel::bounded(0);
        let others = settings.peers.iter().filter(|p| p.host != settings.host);
        let slots = others
            .map(|p| (p.host.clone(), HostSlot::default()))
            .collect();
        Arc::new(LinkManager {
            settings,
            traffic: Arc::default(),
            unauthenticated: AtomicUsize::new(0),
            stopped,
            stop_sender: Mutex::new(Some(stop_sender)),
            stopping: AtomicBool::new(false),
            next_number: AtomicUsize::new(0),
            slots,
            events,
            waker,
            threads: Mutex::default(),
        })
    }

    /// Returns whether the links are being stopped.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(SeqCst)
    }

    /// Starts a thread that [`LinkManager::stop`] waits for.
    pub fn spawn(&self, job: impl FnOnce() + Send + 'static) {
        let thread = thread::Builder::new().name("peer".into());
        let mut threads = lock(&self.threads);
        threads.retain(|t| !t.is_finished());
        match thread.stack_size(THREAD_STACK_BYTES).spawn(job) {
            Ok(handle) => threads.push(handle),
            Err(e) => log::error!("cannot start a thread for a peer link: {e}"),
        }
    }

    /// Queues a frame for `host`.
    pub fn send(&self, host: &str, body: Body) -> Result<(), SendError> {
        let frame = self.encode_frame(body)?;
        let Some((name, slot)) = self.slots.get_key_value(host) else {
            return Err(SendError::NoLink(host.into()));
        };
        push_frame(name, slot, frame)
    }

    /// Queues a frame for every linked host.
    pub fn broadcast(&self, body: Body) {
        let frame = match self.encode_frame(body) {
            Ok(frame) => frame,
            Err(e) => return log::error!("cannot broadcast to peers: {e}"),
        };
        for (name, slot) in &self.slots {
            if let Err(SendError::Full(host)) = push_frame(name, slot, frame.clone()) {
                log::warn!("closed the link to {host}: its send queue is full");
            }
        }
    }

    fn encode_frame(&self, body: Body) -> Result<QueuedFrame, SendError> {
        let kind = FrameKind::of(&body);
        let limit = self.settings.limits.frame_bytes;
        let bytes = frame::encode(Some(body), limit).map_err(|e| SendError::TooLarge(e.0))?;
        Ok(QueuedFrame { kind, bytes })
    }

    /// Runs an authenticated link until it fails; the calling thread reads.
    pub fn run_link(self: &Arc<Self>, stream: TcpStream, peer: AuthenticatedPeer) {
        let host = peer.host.clone();
        let Some(number) = self.register_link(stream, &peer) else {
            return;
        };
        let Err(cause) = self.read_frames(&host, number, peer);
        self.remove_link(&host, number, &cause);
    }

    /// Registers a connection as the link to its host, closes an older one and returns
    /// the number of the new link. Returns `None` if the host or the socket is unusable,
    /// the links stop or the open link is of a newer incarnation.
    fn register_link(
        self: &Arc<Self>,
        stream: TcpStream,
        peer: &AuthenticatedPeer,
    ) -> Option<usize> {
        let slot = self.slots.get(&peer.host)?;
        let order = lock(&slot.event_order);
        let limits = self.settings.limits;
        let writer = configure_socket(&stream, limits.idle_timeout).ok()?;
        let link = Link {
            number: self.next_number.fetch_add(1, SeqCst),
            incarnation: peer.incarnation,
            stream,
            queue: Arc::new(SendQueue::new(limits)),
        };
        let (number, queue) = (link.number, link.queue.clone());
        let old = {
            let mut current_link = lock(&slot.link);
            if self.is_stopping() {
                return None;
            }
            if current_link
                .as_ref()
                .is_some_and(|l| l.incarnation > link.incarnation)
            {
                log::warn!("rejected an older incarnation of {}", peer.host);
                return None;
            }
            current_link.replace(link)
        };
        if let Some(old) = old {
            old.abort();
            self.send_event(PeerEvent::Down(peer.host.clone(), old.incarnation));
        }
        log::info!("opened the link to {}", peer.host);
        self.send_event(PeerEvent::Up(peer.host.clone(), peer.incarnation));
        drop(order);
        let manager = self.clone();
        self.spawn(move || manager.write_frames(writer, &queue));
        Some(number)
    }

    /// Removes the link with this number, unless another has replaced it.
    fn remove_link(&self, host: &Name, number: usize, cause: &io::Error) {
        let Some(slot) = self.slots.get(host) else {
            return;
        };
        let _order = lock(&slot.event_order);
        let removed = lock(&slot.link).take_if(|l| l.number == number);
        let Some(link) = removed else {
            return;
        };
        link.abort();
        log::info!("closed the link to {host}: {cause}");
        self.send_event(PeerEvent::Down(host.clone(), link.incarnation));
    }

    /// Reads frames until the link fails, is replaced or stops.
    fn read_frames(
        &self,
        host: &Name,
        number: usize,
        mut peer: AuthenticatedPeer,
    ) -> io::Result<Infallible> {
        let slot = self.slots.get(host).ok_or(io::ErrorKind::NotFound)?;
        loop {
            let deadline = Instant::now() + self.settings.limits.idle_timeout;
            let frame = peer.reader.read_frame(deadline)?;
            let Some(body) = frame.body else {
                continue;
            };
            if matches!(body, Body::Hello(_) | Body::Proof(_)) {
                return Err(io::Error::other("handshake frame after the handshake"));
            }
            let _order = lock(&slot.event_order);
            let current = lock(&slot.link).as_ref().map(|l| l.number);
            if current != Some(number) {
                return Err(io::Error::other("replaced by a newer link"));
            }
            let from = host.clone();
            if !self.send_event(PeerEvent::Message { from, body }) {
                return Err(io::Error::other("the links were stopped"));
            }
        }
    }

    /// Writes the queued frames until the queue is closed or a write fails, and a
    /// keepalive frame whenever none was queued for a third of the idle timeout.
    fn write_frames(&self, mut stream: TcpStream, queue: &SendQueue) {
        let keepalive_interval = self.settings.limits.idle_timeout / 3;
        let keepalive = frame::encode(None, self.settings.limits.frame_bytes).unwrap_or_default();
        loop {
            let bytes: Bytes = match queue.pop(keepalive_interval) {
                PopResult::Frame(bytes) => bytes,
                PopResult::Idle => keepalive.clone(),
                PopResult::Closed => break,
            };
            if stream.write_all(&bytes).is_err() {
                break;
            }
            self.traffic.add_sent(bytes.len());
        }
        queue.clear();
        let _ = stream.shutdown(Shutdown::Both);
    }

    /// Sends an event; returns `false` when the receiver was dropped or the links
    /// stop.
    fn send_event(&self, event: PeerEvent) -> bool {
        select! {
            send(self.events, event) -> sent => sent.is_ok(),
            recv(self.stopped) -> _ => false,
        }
    }

    /// Closes all links and waits for all threads.
    pub fn stop(&self) {
        self.stopping.store(true, SeqCst);
        drop(lock(&self.stop_sender).take());
        // Unblocks `accept` on Linux.
        let _ = SockRef::from(&self.waker).shutdown(Shutdown::Both);
        for slot in self.slots.values() {
            if let Some(link) = lock(&slot.link).as_ref() {
                link.queue.close();
            }
        }
        loop {
            let Some(thread) = lock(&self.threads).pop() else {
                return;
            };
            let _ = thread.join();
        }
    }
}

fn push_frame(name: &Name, slot: &HostSlot, frame: QueuedFrame) -> Result<(), SendError> {
    let current_link = lock(&slot.link);
    let Some(link) = current_link.as_ref() else {
        return Err(SendError::NoLink(name.clone()));
    };
    match link.queue.push(frame) {
        Ok(()) => Ok(()),
        Err(PushError::Closed) => Err(SendError::NoLink(name.clone())),
        Err(PushError::Full) => {
            link.abort();
            Err(SendError::Full(name.clone()))
        }
    }
}

/// Sets the socket options and returns a second handle for writing.
fn configure_socket(stream: &TcpStream, idle_timeout: Duration) -> io::Result<TcpStream> {
    stream.set_nodelay(true)?;
    stream.set_write_timeout(Some(idle_timeout))?;
    let keepalive = TcpKeepalive::new().with_time(idle_timeout);
    SockRef::from(stream).set_tcp_keepalive(&keepalive)?;
    stream.try_clone()
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
