//! Stand-in for a plain service whose calls may not be repeated.

use std::io;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use super::server::{Exchange, Server};
use super::shared::Shared;

/// What goes wrong with a call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    #[default]
    None,
    /// The connection closes before the call runs.
    CloseBeforeRun,
    /// The connection closes after the call ran.
    CloseAfterRun,
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
    pub delay: Duration,
    /// Calls that have arrived so far.
    pub call_count: u32,
    /// Runs so far.
    pub runs: Vec<Run>,
}

/// A plain service; dropping it stops it.
pub struct FakeService {
    /// Address that it serves.
    pub addr: SocketAddr,
    /// What it does and did.
    pub state: Shared<State>,
    server: Option<Server>,
}

impl FakeService {
    /// Serves `addr`; port 0 takes a free one.
    pub fn start(addr: SocketAddr) -> io::Result<FakeService> {
        let mut service = FakeService {
            addr,
            state: Shared::default(),
            server: None,
        };
        service.set_refusing(false)?;
        Ok(service)
    }

    /// Refuses connections and breaks those in progress, or serves again.
    pub fn set_refusing(&mut self, refuse: bool) -> io::Result<()> {
        self.server = None;
        if refuse {
            return Ok(());
        }
        let state = self.state.clone();
        let server = Server::start(self.addr, move |exchange| handle(&state, exchange))?;
        self.addr = server.addr;
        self.server = Some(server);
        Ok(())
    }
}

fn handle(state: &Shared<State>, exchange: Exchange) {
    let State { fault, delay, .. } = state.change(|s| {
        s.call_count += 1;
        s.clone()
    });
    if fault == Fault::CloseBeforeRun {
        return exchange.close();
    }
    thread::sleep(delay);
    if !exchange.is_alive() {
        return exchange.close();
    }
    let run = Run {
        key: exchange.header("Idempotency-Key"),
        path: exchange.path.join("/"),
        body: exchange.body.clone(),
    };
    let number = state.change(|s| {
        s.runs.push(run);
        s.runs.len()
    });
    match fault {
        Fault::CloseAfterRun => exchange.close(),
        _ => exchange.respond_json(200, &serde_json::json!({ "run": number })),
    }
}
