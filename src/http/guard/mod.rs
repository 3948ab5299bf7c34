//! Limits on client connections.
//!
//! `tiny_http` does not expose its sockets, reads heads of any size and has no
//! timeouts. A guard thread therefore scans the sockets of this process: it
//! finds the accepted ones by their local address, asks the kernel how much each
//! has received, and shuts down those that exceed a limit. Writes time out by a
//! socket option that accepted sockets inherit from the listening one. Reads
//! cannot, since that option would also apply to `accept`.
//!
//! A limit may be exceeded by what arrives between two scans.
//!
//! `tiny_http` hands a connection to a thread that waits for one. It may hand two to the same
//! thread, and the second is not read until some connection ends. The guard then opens a connection
//! of its own and closes it: its thread goes on with the one that was left.
//!
//! Rejected alternatives: a proxy in front of `tiny_http` (copies each byte and
//! needs two more threads per connection) and a patched copy of `tiny_http`
//! (2,500 lines to maintain).

mod body;
mod exchange;
mod monitor;
mod scan;

use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crossbeam::channel::{self, Receiver, RecvTimeoutError, Sender};
use socket2::{SockRef, Socket, TcpKeepalive};
use tiny_http::Request;

use super::response::openai_error;
use crate::clock::Clock;
use crate::error::{Kind, Refusal};
use crate::settings::ClientLimits;
use exchange::Exchanges;
use monitor::{CloseAction, CloseReason, ConnectionMonitor};
use scan::Scanner;

pub use body::read_body;
pub use exchange::Exchange;

/// Time between two scans of the connections, unless a request head is arriving
/// or a scan takes long.
pub const SCAN_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum pause between two scans.
const MAX_SCAN_PAUSE: Duration = Duration::from_secs(1);
/// Minimum pause between two scans as a multiple of the duration of a scan.
const SCAN_PAUSE_FACTOR: u32 = 100;
/// Time between two scans while a request head is arriving.
const FAST_SCAN_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of own connections that a scan opens.
const MAX_OWN_CONNECTIONS: usize = 16;
/// Timeout of opening one.
const OWN_CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// Minimum idle time before a keepalive probe; the kernel counts it in whole
/// seconds.
const MIN_KEEPALIVE_TIME: Duration = Duration::from_secs(1);

/// Limits on client connections.
#[derive(Clone, Copy, Debug)]
pub struct GuardSettings {
    /// Maximum number of connections.
    pub max_connections: usize,
    /// Maximum size of a request head, bytes.
    pub max_head: u64,
    /// Maximum size of a request body, bytes.
    pub max_body: u64,
    /// Time within which a client must send a request, and for which a
    /// connection may be idle.
    pub receive_timeout: Duration,
    /// Time for which a client may fail to read a response.
    pub send_timeout: Duration,
}

impl Default for GuardSettings {
    fn default() -> Self {
        GuardSettings::from(&ClientLimits::default())
    }
}

impl From<&ClientLimits> for GuardSettings {
    fn from(limits: &ClientLimits) -> Self {
        GuardSettings {
            max_connections: limits.connections as usize,
            max_head: limits.head,
            max_body: limits.body,
            receive_timeout: Duration::from_millis(limits.receive_ms),
            send_timeout: Duration::from_millis(limits.send_ms),
        }
    }
}

/// Enforces the limits of one listening address; its thread ends with the last
/// clone.
#[derive(Clone)]
pub struct Guard {
    exchanges: Arc<Exchanges>,
    /// Never sends; the guard thread ends when the last clone is dropped.
    _alive: Sender<()>,
}

impl Guard {
    /// Listens on `addr` and starts to guard its connections.
    ///
    /// # Errors
    ///
    /// The address cannot be listened on, or the system refuses a thread.
    pub fn bind(addr: SocketAddr, settings: GuardSettings) -> io::Result<(TcpListener, Guard)> {
        let listener = TcpListener::bind(addr)?;
        let guard = Guard::start(&listener, settings)?;
        Ok((listener, guard))
    }

    /// Starts to guard the connections that `listener` accepts.
    ///
    /// # Errors
    ///
    /// The socket refuses an option, or the system refuses a thread.
    pub fn start(listener: &TcpListener, settings: GuardSettings) -> io::Result<Guard> {
        set_socket_options(listener, &settings)?;
        let exchanges = Arc::new(Exchanges::default());
        let (alive, stopped) = channel::bounded(0);
        let guard_thread = GuardThread {
            scanner: Scanner::new(listener.local_addr()?),
            monitor: ConnectionMonitor::new(settings),
            exchanges: exchanges.clone(),
            clock: Clock::default(),
        };
        thread::Builder::new()
            .name("guard".into())
            .spawn(move || guard_thread.run(&stopped))?;
        Ok(Guard {
            exchanges,
            _alive: alive,
        })
    }

    /// Begins the exchange of a request received from `tiny_http`. Unless the
    /// request is complete, the client must send the rest within
    /// [`GuardSettings::receive_timeout`]; after that the guard closes the
    /// receiving side of the connection, while the response continues.
    /// [`Exchange::mark_received`] ends this timeout, so that the client can
    /// reuse the connection after a long response.
    pub fn begin_exchange(&self, request: &Request) -> Exchange {
        let mut exchange = self.exchanges.begin(request.remote_addr().copied());
        if body::is_fully_read(request) {
            exchange.mark_received();
        }
        exchange
    }

    /// Returns the request, or refuses it if its declared body is so large that
    /// dropping it could exhaust memory. Every request must pass this check
    /// before it is used or dropped.
    pub fn reject_oversized(&self, request: Request) -> Option<Request> {
        if body::is_safe_to_drop(&request) {
            return Some(request);
        }
        let addr = request.remote_addr().copied();
        body::refuse_and_leak(request);
        self.exchanges.close_connection(addr);
        None
    }
}

/// Sets the options that accepted sockets inherit from the listening one.
fn set_socket_options(listener: &TcpListener, settings: &GuardSettings) -> io::Result<()> {
    let socket = SockRef::from(listener);
    let alive = TcpKeepalive::new().with_time(settings.receive_timeout.max(MIN_KEEPALIVE_TIME));
    socket.set_tcp_keepalive(&alive)?;
    // Nagle's algorithm would delay tokens until earlier ones are acknowledged.
    socket.set_tcp_nodelay(true)?;
    socket.set_write_timeout(Some(settings.send_timeout))?;
    socket.set_tcp_user_timeout(Some(settings.send_timeout * 2))
}

/// State of the guard thread.
struct GuardThread {
    scanner: Scanner,
    monitor: ConnectionMonitor,
    exchanges: Arc<Exchanges>,
    clock: Clock,
}

impl GuardThread {
    fn run(mut self, stopped: &Receiver<()>) {
        let mut pause = SCAN_INTERVAL;
        while stopped.recv_timeout(pause) == Err(RecvTimeoutError::Timeout) {
            let start = self.clock.now();
            if let Err(e) = self.scan_once() {
                log::warn!("cannot scan client connections: {e}");
            }
            let elapsed = self.clock.now().saturating_sub(start);
            let interval = match self.monitor.needs_fast_scan() {
                true => FAST_SCAN_INTERVAL,
                false => SCAN_INTERVAL,
            };
            pause = interval
                .max(elapsed * SCAN_PAUSE_FACTOR)
                .min(MAX_SCAN_PAUSE);
        }
    }

    fn scan_once(&mut self) -> io::Result<()> {
        let before = self.exchanges.snapshot();
        let samples = self.scanner.scan(|peer| before.is_responding(peer))?;
        // Taken after the samples: a complete request that they count and that
        // was delivered since must not be mistaken for a large head.
        let after = self.exchanges.snapshot();
        let now = self.clock.now();
        let actions = self.monitor.update(&samples, &after, now);
        for action in actions {
            if let Err(e) = self.close(&action) {
                log::debug!("connection of {} was already closed: {e}", action.peer);
            }
        }
        self.exchanges
            .remove_idle(|peer| self.monitor.has_peer(peer));
        let unread = self.monitor.take_unread(now);
        self.free_threads(unread);
        Ok(())
    }

    /// Has a thread of the server take up each of this number of connections that none reads.
    fn free_threads(&self, connections: usize) {
        let addr = self.scanner.local_addr();
        for _ in 0..connections.min(MAX_OWN_CONNECTIONS) {
            if let Err(e) = TcpStream::connect_timeout(&addr, OWN_CONNECT_TIMEOUT) {
                log::debug!("cannot connect to the own address {addr}: {e}");
                return;
            }
        }
        if connections > 0 {
            log::debug!("{connections} connections were not read in time");
        }
    }

    fn close(&self, action: &CloseAction) -> io::Result<()> {
        let socket = self.scanner.duplicate_socket(action.inode)?;
        log::info!(
            "closing the connection of {}: {}",
            action.peer,
            action.reason
        );
        match action.reason {
            CloseReason::SlowBody => return socket.shutdown(Shutdown::Read),
            CloseReason::SlowHead => send_refusal(&socket, Kind::SlowClient),
            CloseReason::LargeHead => {
                send_refusal(&socket, Kind::HeadTooLarge);
                return reset_connection(&socket);
            }
            CloseReason::Idle
            | CloseReason::TooMany
            | CloseReason::Unread
            | CloseReason::Unusable => {}
        }
        socket.shutdown(Shutdown::Both)
    }
}

/// Resets a connection whose client keeps sending. A socket that is only shut
/// down continues to receive, and `tiny_http` to read; a disconnected socket
/// discards its buffers and responds with a reset.
fn reset_connection(socket: &Socket) -> io::Result<()> {
    // SAFETY: the structure consists of integers, for which zeros are valid.
    let mut unspecified: libc::sockaddr = unsafe { std::mem::zeroed() };
    unspecified.sa_family = libc::AF_UNSPEC as libc::sa_family_t;
    let length = size_of::<libc::sockaddr>() as libc::socklen_t;
    // SAFETY: the address is valid for the call and its length is correct.
    match unsafe { libc::connect(socket.as_raw_fd(), &unspecified, length) } {
        0 => Ok(()),
        _ => Err(io::Error::last_os_error()),
    }
}

/// Sends an error response if the socket accepts it without blocking.
fn send_refusal(socket: &Socket, kind: Kind) {
    let response = kind.response();
    let refusal = Refusal::new(kind, "the head of the request");
    let body = openai_error(&refusal, "").to_string();
    let text = format!(
        "HTTP/1.1 {} Refused\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
        response.status,
        body.len()
    );
    if let Err(e) = socket.send_with_flags(text.as_bytes(), libc::MSG_DONTWAIT) {
        log::debug!("cannot send an error response: {e}");
    }
}
