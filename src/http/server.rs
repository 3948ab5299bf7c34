//! Threads that take requests from a `tiny_http` server.

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
const POLL: Duration = Duration::from_millis(100);

/// Serves the requests of one server.
pub trait Handler: Send + Sync + 'static {
    /// Answers a request on a thread of its own.
    fn handle(&self, request: Request);
    /// Refuses a request when too many are in progress.
    fn refuse(&self, request: Request);
}

/// A running server.
pub struct Running {
    server: Arc<Server>,
    stop: Arc<AtomicBool>,
    busy: Arc<AtomicU32>,
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
    most: u32,
    bounds: Option<GuardSettings>,
    handler: Arc<H>,
) -> Result<Running, Box<dyn std::error::Error + Send + Sync>> {
    let watch = |bounds| Guard::watch(&listener, bounds);
    let guard = bounds.map(watch).transpose()?;
    let server = Arc::new(Server::from_listener(listener, None)?);
    let stop = Arc::new(AtomicBool::new(false));
    let busy = Arc::new(AtomicU32::new(0));
    let thread = {
        let (server, stop, busy) = (server.clone(), stop.clone(), busy.clone());
        thread::Builder::new()
            .name("accept".into())
            .spawn(move || accept(&server, &stop, &busy, most, guard.as_ref(), &handler))?
    };
    Ok(Running {
        server,
        stop,
        busy,
        thread: Some(thread),
    })
}

impl Running {
    /// Requests in progress.
    pub fn busy(&self) -> u32 {
        self.busy.load(Ordering::Acquire)
    }

    /// Takes no further requests; those in progress go on.
    pub fn stop(&mut self) {
        self.stop.store(true, Ordering::Release);
        self.server.unblock();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Counts one request in progress for as long as it lives.
struct Busy(Arc<AtomicU32>);

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

fn accept<H: Handler>(
    server: &Server,
    stop: &AtomicBool,
    busy: &Arc<AtomicU32>,
    most: u32,
    guard: Option<&Guard>,
    handler: &Arc<H>,
) {
    while !stop.load(Ordering::Acquire) {
        let request = match server.recv_timeout(POLL) {
            Ok(Some(request)) => request,
            Ok(None) => continue,
            Err(e) => {
                if !stop.load(Ordering::Acquire) {
                    log::debug!("taking a request failed: {e}");
                }
                continue;
            }
        };
        let screened = match guard {
            Some(guard) => guard.screen(request),
            None => Some(request),
        };
        let Some(request) = screened else {
            continue;
        };
        if busy.load(Ordering::Acquire) >= most {
            handler.refuse(request);
            continue;
        }
        busy.fetch_add(1, Ordering::AcqRel);
        let exchange = guard.map(|guard| guard.begin(&request));
        let count = Busy(busy.clone());
        let handler = handler.clone();
        let spawned = thread::Builder::new()
            .name("traffic".into())
            .stack_size(STACK_BYTES)
            .spawn(move || {
                handler.handle(request);
                drop(exchange);
                drop(count);
            });
        if let Err(e) = spawned {
            log::error!("no thread for a request: {e}");
        }
    }
}
