//! Accepts requests from a `tiny_http` server and handles each on its own thread.

use std::io;
use std::net::{Shutdown, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use socket2::SockRef;
use tiny_http::{Request, Server};

use super::guard::{Guard, GuardSettings};
use crate::error::{Kind, Refusal};

/// Stack size of a request thread, bytes.
const STACK_BYTES: usize = 256 * 1024;
/// Interval at which the accept loop checks the stop flag.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which a stopping server refuses the requests that still arrive.
const STOP_TIME: Duration = Duration::from_millis(100);
/// Maximum duration of a stop whose clients keep sending requests.
const MAX_STOP_TIME: Duration = Duration::from_secs(2);
/// Interval at which a stopping server looks for requests.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// `Retry-After` of a request that a server refuses without looking at it.
const REFUSAL_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Pause before a server that stopped accepting is replaced.
const RESTART_DELAY: Duration = Duration::from_millis(200);

/// Handles the requests of one server.
pub trait Handler: Send + Sync + 'static {
    /// Responds to a request; runs on its own thread.
    fn handle(&self, request: Request);
    /// Refuses a request; runs on the accept thread.
    fn refuse(&self, request: Request, cause: RefusalCause);
}

/// Cause for which a server refuses a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalCause {
    /// Too many requests are in progress.
    Busy,
    /// The server stops.
    Stopping,
}

impl RefusalCause {
    /// Returns the refusal; `busy` tells of the requests in progress.
    pub fn refusal(self, busy: &str) -> Refusal {
        let refusal = match self {
            RefusalCause::Busy => Refusal::new(Kind::QueueFull, busy),
            RefusalCause::Stopping => Refusal::new(Kind::Draining, "the host stops"),
        };
        refusal.retry_after(REFUSAL_RETRY_AFTER)
    }
}

/// A running server; dropping it stops it.
pub struct RunningServer {
    state: Arc<ServerState>,
    thread: Option<JoinHandle<()>>,
}

/// State that a server shares with its accept thread.
#[derive(Debug, Default)]
struct ServerState {
    /// Whether new requests are refused.
    refusing: AtomicBool,
    /// Whether the accept thread ends.
    stopped: AtomicBool,
    /// Requests in progress.
    active: AtomicU32,
}

/// Serves `listener` with at most `max_requests` requests at once, and limits
/// its connections.
///
/// # Errors
///
/// The guard thread or the accept thread cannot be started, or `tiny_http`
/// refuses the listener.
pub fn start<H: Handler>(
    listener: TcpListener,
    max_requests: u32,
    limits: GuardSettings,
    handler: Arc<H>,
) -> Result<RunningServer, Box<dyn std::error::Error + Send + Sync>> {
    let guard = Guard::start(&listener, limits)?;
    let acceptor = Acceptor {
        servers: vec![Server::from_listener(listener.try_clone()?, None)?],
        listener,
    };
    let state = Arc::new(ServerState::default());
    let dispatcher = Dispatcher {
        state: state.clone(),
        max_requests,
        guard,
        handler,
    };
    let thread = thread::Builder::new()
        .name("accept".into())
        .spawn(move || dispatcher.run(acceptor))?;
    Ok(RunningServer {
        state,
        thread: Some(thread),
    })
}

impl RunningServer {
    /// Returns the number of requests in progress.
    pub fn active_requests(&self) -> u32 {
        self.state.active.load(Ordering::SeqCst)
    }

    /// Refuses the requests that arrive from now on; those in progress continue.
    pub fn refuse_requests(&self) {
        self.state.refusing.store(true, Ordering::SeqCst);
    }

    /// Stops accepting requests, and refuses those that were received but not begun;
    /// those in progress continue.
    pub fn stop(&mut self) {
        self.refuse_requests();
        self.state.stopped.store(true, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Drop for RunningServer {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Counts as one request in progress until it is dropped.
struct ActiveRequest(Arc<ServerState>);

impl ActiveRequest {
    fn begin(state: &Arc<ServerState>) -> Self {
        state.active.fetch_add(1, Ordering::SeqCst);
        ActiveRequest(state.clone())
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.0.active.fetch_sub(1, Ordering::SeqCst);
    }
}

/// The servers of one listening address. `tiny_http` stops accepting for good
/// at the first error, for example when the process has no free descriptor. A
/// new server then replaces it, while the old one keeps its connections.
struct Acceptor {
    listener: TcpListener,
    /// The last one accepts connections; the others only serve theirs.
    servers: Vec<Server>,
}

impl Acceptor {
    /// Returns the next request, or `None` if none arrives within
    /// [`POLL_INTERVAL`].
    fn next_request(&mut self, stop: &AtomicBool) -> Option<Request> {
        let (last, older) = self.servers.split_last()?;
        for server in older {
            if let Ok(Some(request)) = server.try_recv() {
                return Some(request);
            }
        }
        match last.recv_timeout(POLL_INTERVAL) {
            Ok(request) => request,
            Err(e) => {
                self.replace_server(&e, stop);
                None
            }
        }
    }

    /// Closes the listening socket; open connections continue.
    fn close(&self) {
        if let Err(e) = SockRef::from(&self.listener).shutdown(Shutdown::Both) {
            log::debug!("the listening socket was already closed: {e}");
        }
    }

    /// Returns a request that has been received, without waiting for one.
    fn received_request(&self) -> Option<Request> {
        for server in &self.servers {
            // An error is the end of accepting; requests may follow it.
            for _ in 0..2 {
                if let Ok(Some(request)) = server.try_recv() {
                    return Some(request);
                }
            }
        }
        None
    }

    fn replace_server(&mut self, error: &io::Error, stop: &AtomicBool) {
        thread::sleep(RESTART_DELAY);
        // A listening socket that was shut down never accepts again.
        let closed = error.raw_os_error() == Some(libc::EINVAL);
        if closed || stop.load(Ordering::Acquire) {
            return;
        }
        log::error!("accepting connections failed; starting a new server: {error}");
        let listener = self.listener.try_clone();
        let server = listener.map(|l| Server::from_listener(l, None));
        match server {
            Ok(Ok(server)) => self.servers.push(server),
            Ok(Err(e)) => log::error!("cannot start a new server: {e}"),
            Err(e) => log::error!("cannot duplicate the listening socket: {e}"),
        }
    }
}

/// Passes the requests of one server to its handler.
struct Dispatcher<H> {
    state: Arc<ServerState>,
    max_requests: u32,
    guard: Guard,
    handler: Arc<H>,
}

impl<H: Handler> Dispatcher<H> {
    /// Runs until the server is stopped.
    fn run(self, mut acceptor: Acceptor) {
        while !self.state.stopped.load(Ordering::SeqCst) {
            if let Some(request) = acceptor.next_request(&self.state.stopped) {
                self.dispatch(request);
            }
        }
        acceptor.close();
        let start = Instant::now();
        while start.elapsed() < MAX_STOP_TIME {
            match acceptor.received_request() {
                Some(request) => self.dispatch(request),
                None if start.elapsed() >= STOP_TIME => break,
                None => thread::sleep(STOP_POLL_INTERVAL),
            }
        }
        // `tiny_http` answers a request that is dropped with 500. One that still arrives on an
        // open connection gets no answer instead.
        std::mem::forget(acceptor.servers);
    }

    fn dispatch(&self, request: Request) {
        let Some(request) = self.guard.reject_oversized(request) else {
            return;
        };
        // Counted before the flag is read: whoever sets the flag and then sees no
        // request in progress can rely on none being begun.
        let active_request = ActiveRequest::begin(&self.state);
        if self.state.refusing.load(Ordering::SeqCst) {
            return self.handler.refuse(request, RefusalCause::Stopping);
        }
        if self.state.active.load(Ordering::SeqCst) > self.max_requests {
            return self.handler.refuse(request, RefusalCause::Busy);
        }
        let exchange = self.guard.begin_exchange(&request);
        let handler = self.handler.clone();
        let spawned = thread::Builder::new()
            .name("traffic".into())
            .stack_size(STACK_BYTES)
            .spawn(move || {
                handler.handle(request);
                drop(exchange);
                drop(active_request);
            });
        if let Err(e) = spawned {
            log::error!("cannot start a thread for a request: {e}");
        }
    }
}
