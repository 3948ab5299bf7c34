//! Bounds on client connections.
//!
//! `tiny_http` keeps its sockets to itself, reads heads without any bound and
//! has no time limits. So a guard thread looks at the sockets of this process
//! from beside it: it finds the accepted ones by their local address, asks the
//! kernel how much each has received, and shuts down those that exceed a bound.
//! Writes time out by an option that accepted sockets inherit from the
//! listening one; reads cannot, since that option would end `accept` as well.
//!
//! Bounds hold up to what arrives within one look, [`LOOK`].
//!
//! Weighed: a relay in front of the library (a copy of each byte and two more
//! threads for each connection) and a changed copy of the library (2,500 lines
//! to maintain).

mod body;
mod exchange;
mod scan;
mod watch;

use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener};
use std::os::fd::AsRawFd;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crossbeam::channel::{self, Receiver, RecvTimeoutError, Sender};
use socket2::{SockRef, Socket, TcpKeepalive};
use tiny_http::Request;

use super::answer::api_error;
use crate::clock::Clock;
use crate::error::{Kind, Refusal};
use crate::settings::ClientLimits;
use exchange::Exchanges;
use scan::Scanner;
use watch::{Cut, Reason, Watch};

pub use body::read_body;
pub use exchange::Exchange;

/// Time between two looks at the connections.
pub const LOOK: Duration = Duration::from_millis(250);
/// Longest pause between two looks.
const LOOK_MOST: Duration = Duration::from_secs(1);
/// Least pause as a multiple of the time that a look takes.
const PAUSES: u32 = 100;
/// Time between two looks while requests arrive or connections are many.
const CLOSE_LOOK: Duration = Duration::from_millis(50);
/// Shortest time before a silent connection is probed, which the kernel counts
/// in seconds.
const KEEPALIVE: Duration = Duration::from_secs(1);

/// Bounds on client connections.
#[derive(Clone, Copy, Debug)]
pub struct GuardSettings {
    /// Most connections at once.
    pub connections: usize,
    /// Largest head, bytes.
    pub head: u64,
    /// Largest body, bytes.
    pub body: u64,
    /// Time for a client to send a whole request, and for which a connection
    /// may be idle.
    pub receive: Duration,
    /// Longest time that a client may refuse to read.
    pub send: Duration,
}

impl Default for GuardSettings {
    fn default() -> Self {
        GuardSettings::from(&ClientLimits::default())
    }
}

impl From<&ClientLimits> for GuardSettings {
    fn from(limits: &ClientLimits) -> Self {
        GuardSettings {
            connections: limits.connections as usize,
            head: limits.head,
            body: limits.body,
            receive: Duration::from_millis(limits.receive_ms),
            send: Duration::from_millis(limits.send_ms),
        }
    }
}

/// The guard of one listening address; its thread ends with the last clone.
#[derive(Clone)]
pub struct Guard {
    exchanges: Arc<Exchanges>,
    _alive: Sender<()>,
}

impl Guard {
    /// Listens on `addr` and starts to guard what is accepted there.
    ///
    /// # Errors
    ///
    /// The address cannot be listened on, or the system refuses a thread.
    pub fn bind(addr: SocketAddr, settings: GuardSettings) -> io::Result<(TcpListener, Guard)> {
        let listener = TcpListener::bind(addr)?;
        let guard = Guard::watch(&listener, settings)?;
        Ok((listener, guard))
    }

    /// Starts to guard what `listener` accepts from now on.
    ///
    /// # Errors
    ///
    /// The socket refuses an option, or the system refuses a thread.
    pub fn watch(listener: &TcpListener, settings: GuardSettings) -> io::Result<Guard> {
        set_options(listener, &settings)?;
        let exchanges = Arc::new(Exchanges::default());
        let (alive, ended) = channel::bounded(0);
        let patrol = Patrol {
            scanner: Scanner::new(listener.local_addr()?),
            watch: Watch::new(settings),
            exchanges: exchanges.clone(),
            clock: Clock::default(),
        };
        thread::Builder::new()
            .name("guard".into())
            .spawn(move || patrol.run(&ended))?;
        Ok(Guard {
            exchanges,
            _alive: alive,
        })
    }

    /// Begins the exchange of a request that the library handed over. Unless
    /// it was received whole with its head, the client has to send the rest
    /// within [`GuardSettings::receive`]; then nothing more is read from it,
    /// while the answer goes on. [`Exchange::received`] ends that, which lets
    /// the client use the connection again after a long answer.
    pub fn begin(&self, request: &Request) -> Exchange {
        let mut exchange = self.exchanges.begin(request.remote_addr().copied());
        if body::is_whole(request) {
            exchange.received();
        }
        exchange
    }

    /// Passes a request on, or refuses and answers one that names a body of
    /// such a length that the library would fail on it. Every request has to
    /// come through here before anything else is done with it.
    pub fn screen(&self, request: Request) -> Option<Request> {
        if body::is_disposable(&request) {
            return Some(request);
        }
        let addr = request.remote_addr().copied();
        body::abandon(request);
        self.exchanges.condemn(addr);
        None
    }
}

/// Sets what accepted sockets inherit from the listening one.
fn set_options(listener: &TcpListener, settings: &GuardSettings) -> io::Result<()> {
    let socket = SockRef::from(listener);
    let alive = TcpKeepalive::new().with_time(settings.receive.max(KEEPALIVE));
    socket.set_tcp_keepalive(&alive)?;
    // Tokens must not wait for acknowledgements.
    socket.set_tcp_nodelay(true)?;
    socket.set_write_timeout(Some(settings.send))?;
    socket.set_tcp_user_timeout(Some(settings.send * 2))
}

/// What the guard thread works with.
struct Patrol {
    scanner: Scanner,
    watch: Watch,
    exchanges: Arc<Exchanges>,
    clock: Clock,
}

impl Patrol {
    fn run(mut self, ended: &Receiver<()>) {
        let mut pause = LOOK;
        while ended.recv_timeout(pause) == Err(RecvTimeoutError::Timeout) {
            let begun = self.clock.now();
            if let Err(e) = self.look() {
                log::warn!("cannot look at the connections of clients: {e}");
            }
            let spent = self.clock.now().saturating_sub(begun);
            let usual = match self.watch.is_tense() {
                true => CLOSE_LOOK,
                false => LOOK,
            };
            pause = usual.max(spent * PAUSES).min(LOOK_MOST);
        }
    }

    fn look(&mut self) -> io::Result<()> {
        let before = self.exchanges.snapshot();
        let samples = self.scanner.scan(|peer| before.is_answering(peer))?;
        // Read after the samples: a request that they contain whole and that
        // was handed over since must not be taken for a large head.
        let after = self.exchanges.snapshot();
        let cuts = self.watch.update(&samples, &after, self.clock.now());
        for cut in cuts {
            if let Err(e) = self.cut(&cut) {
                log::debug!("connection of {} was gone already: {e}", cut.peer);
            }
        }
        self.exchanges.forget(|peer| self.watch.knows(peer));
        Ok(())
    }

    fn cut(&self, cut: &Cut) -> io::Result<()> {
        let socket = self.scanner.open(cut.inode, cut.peer)?;
        log::info!("closing the connection of {}: {}", cut.peer, cut.reason);
        match cut.reason {
            Reason::SlowBody => return socket.shutdown(Shutdown::Read),
            Reason::SlowHead => reply(&socket, Kind::SlowClient),
            Reason::LargeHead => {
                reply(&socket, Kind::HeadTooLarge);
                return abort(&socket);
            }
            Reason::Idle | Reason::TooMany | Reason::Unread | Reason::Condemned => {}
        }
        socket.shutdown(Shutdown::Both)
    }
}

/// Ends a connection whose client sends on: a socket that is only shut down
/// goes on to receive, and the library to read, while one that is disconnected
/// drops what it holds and answers with a reset.
fn abort(socket: &Socket) -> io::Result<()> {
    let mut none: libc::sockaddr = unsafe { std::mem::zeroed() };
    none.sa_family = libc::AF_UNSPEC as libc::sa_family_t;
    let length = size_of::<libc::sockaddr>() as libc::socklen_t;
    // SAFETY: the address lives through the call and its length is right.
    match unsafe { libc::connect(socket.as_raw_fd(), &none, length) } {
        0 => Ok(()),
        _ => Err(io::Error::last_os_error()),
    }
}

/// Sends a refusal if the socket takes it without waiting.
fn reply(socket: &Socket, kind: Kind) {
    let answer = kind.answer();
    let refusal = Refusal::new(kind, "the head of the request");
    let body = api_error(&refusal, "").to_string();
    let text = format!(
        "HTTP/1.1 {} Refused\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
        answer.status,
        body.len()
    );
    if let Err(e) = socket.send_with_flags(text.as_bytes(), libc::MSG_DONTWAIT) {
        log::debug!("a refusal was not sent: {e}");
    }
}
