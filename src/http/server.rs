//! Accepts requests from a `tiny_http` server and handles each on its own thread.

use std::io;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use tiny_http::{Request, Server};

use super::guard::{Guard, GuardSettings};

/// Stack size of a request thread, bytes.
const STACK_BYTES: usize = 256 * 1024;
/// Interval at which the accept loop checks the stop flag.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Pause before a server that stopped accepting is replaced.
const RESTART_DELAY: Duration = Duration::from_millis(200);

/// Handles the requests of one server.
pub trait Handler: Send + Sync + 'static {
    /// Responds to a request; runs on its own thread.
    fn handle(&self, request: Request);
    /// Refuses a request because too many are in progress; runs on the accept
    /// thread.
    fn refuse(&self, request: Request);
}

/// A running server; dropping it stops it.
pub struct RunningServer {
    stop: Arc<AtomicBool>,
    active: Arc<AtomicU32>,
    thread: Option<JoinHandle<()>>,
}

/// Serves `listener` with at most `max_requests` requests at once, and limits
/// its connections if `limits` are given.
///
/// # Errors
///
/// The guard thread or the accept thread cannot be started, or `tiny_http`
/// refuses the listener.
pub fn start<H: Handler>(
    listener: TcpListener,
    max_requests: u32,
    limits: Option<GuardSettings>,
    handler: Arc<H>,
) -> Result<RunningServer, Box<dyn std::error::Error + Send + Sync>> {
    let start_guard = |limits| Guard::start(&listener, limits);
    let guard = limits.map(start_guard).transpose()?;
    let acceptor = Acceptor {
        servers: vec![Server::from_listener(listener.try_clone()?, None)?],
        listener,
    };
    let stop = Arc::new(AtomicBool::new(false));
    let active = Arc::new(AtomicU32::new(0));
    let thread = {
        let (stop, active) = (stop.clone(), active.clone());
        thread::Builder::new()
            .name("accept".into())
            .spawn(move || {
                accept_requests(
                    acceptor,
                    &stop,
                    &active,
                    max_requests,
                    guard.as_ref(),
                    &handler,
                )
            })?
    };
    Ok(RunningServer {
        stop,
        active,
        thread: Some(thread),
    })
}

impl RunningServer {
    /// Returns the number of requests in progress.
    pub fn active_requests(&self) -> u32 {
        self.active.load(Ordering::Acquire)
    }

    /// Stops accepting requests; those in progress continue.
    pub fn stop(&mut self) {
        self.stop.store(true, Ordering::Release);
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
struct ActiveRequest(Arc<AtomicU32>);

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
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

fn accept_requests<H: Handler>(
    mut acceptor: Acceptor,
    stop: &AtomicBool,
    active: &Arc<AtomicU32>,
    max_requests: u32,
    guard: Option<&Guard>,
    handler: &Arc<H>,
) {
    while !stop.load(Ordering::Acquire) {
        let Some(request) = acceptor.next_request(stop) else {
            continue;
        };
        let accepted = match guard {
            Some(guard) => guard.reject_oversized(request),
            None => Some(request),
        };
        let Some(request) = accepted else {
            continue;
        };
        if active.load(Ordering::Acquire) >= max_requests {
            handler.refuse(request);
            continue;
        }
        active.fetch_add(1, Ordering::AcqRel);
        let exchange = guard.map(|guard| guard.begin_exchange(&request));
        let active_request = ActiveRequest(active.clone());
        let handler = handler.clone();
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
