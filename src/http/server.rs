//! Threads that take requests from a `tiny_http` server.

use std::io;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use tiny_http::{Request, Server};

use super::guard::{Guard, GuardSettings};

/// Stack of a traffic thread, bytes.
const STACK_BYTES: usize = 256 * 1024;
/// Longest wait for the next request before the stop flag is read again.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Pause before a new server takes the place of one that stopped accepting.
const RESTART_DELAY: Duration = Duration::from_millis(200);

/// Serves the requests of one server.
pub trait Handler: Send + Sync + 'static {
    /// Answers a request on a thread of its own.
    fn handle(&self, request: Request);
    /// Refuses a request when too many are in progress.
    fn refuse(&self, request: Request);
}

/// A running server.
pub struct RunningServer {
    stop: Arc<AtomicBool>,
    active: Arc<AtomicU32>,
    thread: Option<JoinHandle<()>>,
}

/// Starts to serve `listener`, at most `most` requests at once, and bounds its
/// connections where `bounds` are given.
///
/// # Errors
///
/// The library refuses the listener.
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
    /// Requests in progress.
    pub fn active_requests(&self) -> u32 {
        self.active.load(Ordering::Acquire)
    }

    /// Takes no further requests; those in progress go on.
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

/// Counts one request in progress for as long as it lives.
struct ActiveRequest(Arc<AtomicU32>);

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// The servers of one listening address. The library stops accepting for good
/// at the first error, for instance for want of descriptors; a new server then
/// takes its place, while the old one goes on with its connections.
struct Acceptor {
    listener: TcpListener,
    servers: Vec<Server>,
}

impl Acceptor {
    /// The next request, if one comes soon.
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
        // A listening socket that was shut down accepts nothing any more.
        let closed = error.raw_os_error() == Some(libc::EINVAL);
        if closed || stop.load(Ordering::Acquire) {
            return;
        }
        log::error!("accepting connections failed: {error}; starting again");
        let listener = self.listener.try_clone();
        let server = listener.map(|l| Server::from_listener(l, None));
        match server {
            Ok(Ok(server)) => self.servers.push(server),
            Ok(Err(e)) => log::error!("no server: {e}"),
            Err(e) => log::error!("no descriptor: {e}"),
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
            log::error!("no thread for a request: {e}");
        }
    }
}
