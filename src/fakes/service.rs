//! Stand-in for a plain service whose calls may not be repeated.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::Duration;

use super::server::{Exchange, Server};

/// What goes wrong with a call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    #[default]
    None,
    /// The connection closes before the call runs.
    Before,
    /// The connection closes after the call ran.
    During,
}

/// One run of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// Value of `Idempotency-Key`; empty where it is missing.
    pub key: String,
    /// Path.
    pub path: String,
    /// Body.
    pub body: Vec<u8>,
}

/// What the service does and did.
#[derive(Clone, Debug, Default)]
pub struct State {
    /// Fault of every call.
    pub fault: Fault,
    /// Time that a call runs.
    pub slow: Duration,
    /// Runs so far.
    pub runs: Vec<Run>,
}

/// A plain service; dropping it stops it.
pub struct FakeService {
    addr: SocketAddr,
    state: Arc<Mutex<State>>,
    server: Option<Server>,
}

impl FakeService {
    /// Serves `addr`; port 0 takes a free one.
    pub fn start(addr: SocketAddr) -> io::Result<FakeService> {
        let mut service = FakeService {
            addr,
            state: Arc::default(),
            server: None,
        };
        service.refuse(false)?;
        Ok(service)
    }

    /// Address that it serves.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// What the service does and did.
    pub fn state(&self) -> State {
        lock(&self.state).clone()
    }

    /// Changes what the service does.
    pub fn change(&self, change: impl FnOnce(&mut State)) {
        change(&mut lock(&self.state));
    }

    /// Refuses connections and breaks those in progress, or serves again.
    pub fn refuse(&mut self, refuse: bool) -> io::Result<()> {
        self.server = None;
        if refuse {
            return Ok(());
        }
        let state = self.state.clone();
        let server = Server::start(self.addr, move |exchange| handle(&state, exchange))?;
        self.addr = server.addr();
        self.server = Some(server);
        Ok(())
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().expect("no holder of the lock panics")
}

fn handle(state: &Mutex<State>, exchange: Exchange) {
    let guard = lock(state);
    let (fault, slow) = (guard.fault, guard.slow);
    drop(guard);
    if fault == Fault::Before {
        return exchange.hang_up();
    }
    thread::sleep(slow);
    if !exchange.alive() {
        return exchange.hang_up();
    }
    let mut guard = lock(state);
    guard.runs.push(Run {
        key: exchange.header("idempotency-key").to_owned(),
        path: exchange.path.join("/"),
        body: exchange.body.clone(),
    });
    let number = guard.runs.len();
    drop(guard);
    match fault {
        Fault::During => exchange.hang_up(),
        _ => exchange.answer(200, &serde_json::json!({ "run": number })),
    }
}
