//! Fake of a plain service with non-idempotent calls.

use std::io;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use super::server::{Exchange, Server};
use super::shared::Shared;

/// Fault injected into every call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// The connection closes before the call runs.
    CloseBeforeRun,
    /// The connection closes after the call ran.
    CloseAfterRun,
}

/// A call that has run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// Value of `Idempotency-Key`; empty if it is missing.
    pub key: String,
    /// Path of the request, without the leading slash.
    pub path: String,
    /// Body of the request.
    pub body: Vec<u8>,
}

/// Behavior and recorded calls of the service.
#[derive(Clone, Debug, Default)]
pub struct State {
    /// Fault of every call.
    pub fault: Fault,
    /// Duration of a call.
    pub delay: Duration,
    /// Number of calls received so far.
    pub call_count: u32,
    /// Calls that have run so far.
    pub runs: Vec<Run>,
}

/// A fake service that stops when it is dropped.
pub struct FakeService {
    /// Address on which the service listens.
    pub addr: SocketAddr,
    /// Behavior and recorded calls.
    pub state: Shared<State>,
    server: Option<Server>,
}

impl FakeService {
    /// Starts a service on `addr`; port 0 selects a free port.
    pub fn start(addr: SocketAddr) -> io::Result<FakeService> {
        let mut service = FakeService {
            addr,
            state: Shared::default(),
            server: None,
        };
        service.set_refusing(false)?;
        Ok(service)
    }

    /// Refuses new connections and closes open ones, or serves again.
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
