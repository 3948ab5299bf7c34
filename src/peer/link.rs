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
use super::handshake::Proven;
use super::queue::{Next, OutQueue, Parcel, Refused, Subject};
use super::wire::Body;
use super::{PeerEvent, PeerSettings, SendError};
use crate::config::Name;

/// Stack of each thread of a link, bytes.
const STACK_BYTES: usize = 256 << 10;

/// One open link.
struct Link {
    number: usize,
    incarnation: u64,
    stream: TcpStream,
    queue: Arc<OutQueue>,
}

impl Link {
    /// Closes the connection at once.
    fn cut(&self) {
        self.queue.clear();
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

/// Place of the link to one host.
#[derive(Default)]
struct Slot {
    /// The open link. Held briefly, never while an event is sent.
    link: Mutex<Option<Link>>,
    /// Held while events of this host are sent, which keeps their order.
    order: Mutex<()>,
}

/// What all threads of the links share.
pub struct Hub {
    /// Settings.
    pub settings: PeerSettings,
    /// Counters.
    pub traffic: Arc<Traffic>,
    /// Connections that have not yet proved the key.
    pub strangers: AtomicUsize,
    /// Closed when the links stop.
    pub stopped: Receiver<()>,
    stopper: Mutex<Option<Sender<()>>>,
    stopping: AtomicBool,
    numbers: AtomicUsize,
    slots: BTreeMap<Name, Slot>,
    events: Sender<PeerEvent>,
    waker: TcpListener,
    threads: Mutex<Vec<JoinHandle<()>>>,
}

impl Hub {
    /// A hub without links; `waker` is a second handle of the listener.
    pub fn new(settings: PeerSettings, events: Sender<PeerEvent>, waker: TcpListener) -> Arc<Self> {
        let (stopper, stopped) = channel::bounded(0);
        let others = settings.peers.iter().filter(|p| p.host != settings.host);
        let slots = others.map(|p| (p.host.clone(), Slot::default())).collect();
        Arc::new(Hub {
            settings,
            traffic: Arc::default(),
            strangers: AtomicUsize::new(0),
            stopped,
            stopper: Mutex::new(Some(stopper)),
            stopping: AtomicBool::new(false),
            numbers: AtomicUsize::new(0),
            slots,
            events,
            waker,
            threads: Mutex::default(),
        })
    }

    /// Whether the links are being stopped.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(SeqCst)
    }

    /// Starts a thread that [`Hub::stop`] waits for.
    pub fn spawn(&self, job: impl FnOnce() + Send + 'static) {
        let thread = thread::Builder::new().name("peer".into());
        let mut threads = lock(&self.threads);
        threads.retain(|t| !t.is_finished());
        match thread.stack_size(STACK_BYTES).spawn(job) {
            Ok(handle) => threads.push(handle),
            Err(e) => log::error!("cannot start a thread for a peer link: {e}"),
        }
    }

    /// Queues a frame for `host`.
    pub fn send(&self, host: &str, body: Body) -> Result<(), SendError> {
        let parcel = self.parcel(body)?;
        let Some((name, slot)) = self.slots.get_key_value(host) else {
            return Err(SendError::NoLink(host.into()));
        };
        push(name, slot, parcel)
    }

    /// Queues a frame for every linked host.
    pub fn broadcast(&self, body: Body) {
        let parcel = match self.parcel(body) {
            Ok(parcel) => parcel,
            Err(e) => return log::error!("broadcast to peers failed: {e}"),
        };
        for (name, slot) in &self.slots {
            if let Err(SendError::Full(host)) = push(name, slot, parcel.clone()) {
                log::warn!("link to {host} closed: its queue is full");
            }
        }
    }

    fn parcel(&self, body: Body) -> Result<Parcel, SendError> {
        let subject = Subject::of(&body);
        let limit = self.settings.limits.frame_bytes;
        let bytes = frame::encode(Some(body), limit).map_err(|e| SendError::TooLarge(e.0))?;
        Ok(Parcel { subject, bytes })
    }

    /// Carries a proven link until it breaks; the calling thread reads.
    pub fn run(self: &Arc<Self>, stream: TcpStream, proven: Proven) {
        let host = proven.host.clone();
        let Some(link) = self.open(stream, &proven) else {
            return;
        };
        let Err(cause) = self.read(&host, link, proven);
        self.close(&host, link, &cause);
    }

    /// Makes a proven connection the link to its host, in place of an older one.
    fn open(self: &Arc<Self>, stream: TcpStream, proven: &Proven) -> Option<usize> {
        let slot = self.slots.get(&proven.host)?;
        let order = lock(&slot.order);
        let limits = self.settings.limits;
        let writer = prepare(&stream, limits.idle_timeout).ok()?;
        let link = Link {
            number: self.numbers.fetch_add(1, SeqCst),
            incarnation: proven.incarnation,
            stream,
            queue: Arc::new(OutQueue::new(limits)),
        };
        let (number, queue) = (link.number, link.queue.clone());
        let old = {
            let mut place = lock(&slot.link);
            if self.is_stopping() {
                return None;
            }
            if place
                .as_ref()
                .is_some_and(|l| l.incarnation > link.incarnation)
            {
                log::warn!("refused an older incarnation of {}", proven.host);
                return None;
            }
            place.replace(link)
        };
        if let Some(old) = old {
            old.cut();
            self.report(PeerEvent::Down(proven.host.clone(), old.incarnation));
        }
        log::info!("link to {} opened", proven.host);
        self.report(PeerEvent::Up(proven.host.clone(), proven.incarnation));
        drop(order);
        let hub = self.clone();
        self.spawn(move || hub.write(writer, &queue));
        Some(number)
    }

    /// Removes the link with this number, unless another has replaced it.
    fn close(&self, host: &Name, number: usize, cause: &io::Error) {
        let Some(slot) = self.slots.get(host) else {
            return;
        };
        let _order = lock(&slot.order);
        let gone = lock(&slot.link).take_if(|l| l.number == number);
        let Some(link) = gone else {
            return;
        };
        link.cut();
        log::info!("link to {host} closed: {cause}");
        self.report(PeerEvent::Down(host.clone(), link.incarnation));
    }

    /// Reads until the link breaks, is replaced or stops.
    fn read(&self, host: &Name, number: usize, mut proven: Proven) -> io::Result<Infallible> {
        let slot = self.slots.get(host).ok_or(io::ErrorKind::NotFound)?;
        loop {
            let until = Instant::now() + self.settings.limits.idle_timeout;
            let frame = proven.reader.next(until)?;
            let Some(body) = frame.body else {
                continue;
            };
            if matches!(body, Body::Hello(_) | Body::Proof(_)) {
                return Err(io::Error::other("a second handshake"));
            }
            let _order = lock(&slot.order);
            let current = lock(&slot.link).as_ref().map(|l| l.number);
            if current != Some(number) {
                return Err(io::Error::other("replaced by a newer link"));
            }
            let from = host.clone();
            if !self.report(PeerEvent::Message { from, body }) {
                return Err(io::Error::other("links stopped"));
            }
        }
    }

    fn write(&self, mut stream: TcpStream, queue: &OutQueue) {
        let idle = self.settings.limits.idle_timeout / 3;
        let empty = frame::encode(None, self.settings.limits.frame_bytes).unwrap_or_default();
        loop {
            let bytes: Bytes = match queue.next(idle) {
                Next::Write(bytes) => bytes,
                Next::Idle => empty.clone(),
                Next::Closed => break,
            };
            if stream.write_all(&bytes).is_err() {
                break;
            }
            self.traffic.wrote(bytes.len());
        }
        queue.clear();
        let _ = stream.shutdown(Shutdown::Both);
    }

    /// Sends an event; `false` once the receiver is gone or the links stop.
    fn report(&self, event: PeerEvent) -> bool {
        select! {
            send(self.events, event) -> sent => sent.is_ok(),
            recv(self.stopped) -> _ => false,
        }
    }

    /// Closes all links and waits for all threads.
    pub fn stop(&self) {
        self.stopping.store(true, SeqCst);
        drop(lock(&self.stopper).take());
        // Wakes a blocked `accept` on Linux.
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

fn push(name: &Name, slot: &Slot, parcel: Parcel) -> Result<(), SendError> {
    let place = lock(&slot.link);
    let Some(link) = place.as_ref() else {
        return Err(SendError::NoLink(name.clone()));
    };
    match link.queue.push(parcel) {
        Ok(()) => Ok(()),
        Err(Refused::Closed) => Err(SendError::NoLink(name.clone())),
        Err(Refused::Full) => {
            link.cut();
            Err(SendError::Full(name.clone()))
        }
    }
}

/// Sets the socket's options and returns its writing half.
fn prepare(stream: &TcpStream, silence: Duration) -> io::Result<TcpStream> {
    stream.set_nodelay(true)?;
    stream.set_write_timeout(Some(silence))?;
    let alive = TcpKeepalive::new().with_time(silence);
    SockRef::from(stream).set_tcp_keepalive(&alive)?;
    stream.try_clone()
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
