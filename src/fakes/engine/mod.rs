//! Fake of a model engine.

mod journal;
mod orders;
mod settings;
mod state;
mod streams;
mod text;

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub use journal::{Journal, OrderRecord, Residency, StreamEnd, StreamRecord};
pub use settings::{EngineSettings, LoadTimes};
pub use state::CacheEvent;
pub use text::answer_tokens;

use super::server::{Exchange, Server};
use super::shared::Shared;
use crate::outside::{Report, Tier, Verb};
use state::State;

/// Interval at which a condition is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

#[derive(Default)]
struct Inner {
    settings: EngineSettings,
    state: Shared<State>,
    /// Servers of all instances. Only the last one may be alive; the others close
    /// any connection that still reaches them.
    servers: Mutex<Vec<Server>>,
}

/// A fake engine that stops when it is dropped.
pub struct FakeEngine {
    inner: Arc<Inner>,
}

impl FakeEngine {
    /// Starts an engine.
    pub fn start(settings: EngineSettings) -> io::Result<FakeEngine> {
        let inner = Arc::new(Inner {
            settings,
            ..Inner::default()
        });
        let engine = FakeEngine { inner };
        engine.restart()?;
        Ok(engine)
    }

    /// Returns the address on which the engine listens; it stays the same over restarts.
    pub fn addr(&self) -> SocketAddr {
        let servers = self.inner.servers.lock().expect("not poisoned");
        servers.last().map_or(self.inner.settings.addr, |s| s.addr)
    }

    /// Returns the current report, without the reporting lag.
    pub fn report(&self) -> Report {
        self.inner.state.change(|s| s.current.clone())
    }

    /// Returns the events so far.
    pub fn journal(&self) -> Journal {
        self.inner.state.change(|s| s.journal.clone())
    }

    /// Simulates a process crash: connections are closed and the port refuses new ones.
    pub fn crash(&self) {
        self.inner.crash();
    }

    /// Restarts the process with a new instance id.
    pub fn restart(&self) -> io::Result<()> {
        self.crash();
        let inner = self.inner.clone();
        inner.state.change(|s| {
            s.report_lag = inner.settings.report_lag;
            s.start_instance(&inner.settings.name);
        });
        let server = Server::start(self.addr(), move |exchange| inner.handle(exchange))?;
        let mut servers = self.inner.servers.lock().expect("not poisoned");
        servers.push(server);
        Ok(())
    }

    /// Freezes the engine, so that it accepts connections but does not respond, or
    /// unfreezes it.
    pub fn set_frozen(&self, frozen: bool) {
        self.inner.state.change(|s| s.frozen = frozen);
    }

    /// Sets whether the engine reports that it is leaving.
    pub fn set_leaving(&self, leaving: bool) {
        self.inner.state.change(|s| {
            s.journal.leaving_since = leaving.then(Instant::now);
            s.record_report();
        });
    }

    /// Sets the tier of the weights of a model.
    pub fn set_tier(&self, model: &str, tier: Tier) {
        self.inner.state.change(|s| s.set_tier(model, tier));
    }
}

impl Drop for FakeEngine {
    fn drop(&mut self) {
        self.crash();
        let mut servers = self.inner.servers.lock().expect("not poisoned");
        let ended = std::mem::take(&mut *servers);
        drop(servers);
        drop(ended);
    }
}

impl Inner {
    fn crash(&self) {
        let servers = self.servers.lock().expect("not poisoned");
        servers.iter().for_each(Server::kill);
        drop(servers);
        self.state.change(State::end_instance);
    }

    /// Waits while the engine is frozen.
    fn wait_while_frozen(&self, alive: &dyn Fn() -> bool) {
        while self.state.change(|s| s.frozen) && alive() {
            thread::sleep(POLL_INTERVAL);
        }
    }

    fn handle(&self, exchange: Exchange) {
        self.wait_while_frozen(&|| exchange.is_alive());
        if !exchange.is_authorized(&self.settings.key) {
            return exchange.respond_json(401, &"wrong key");
        }
        match exchange.route().1.as_slice() {
            ["v1", "chat", "completions"] => self.serve_completion(exchange, true),
            ["v1", "completions"] => self.serve_completion(exchange, false),
            ["v2", "fence"] => self.execute_order(Verb::Fence, exchange),
            ["v2", "repository", "models", _, "load"] => self.execute_order(Verb::Load, exchange),
            ["v2", "repository", "models", _, "unload"] => {
                self.execute_order(Verb::Unload, exchange)
            }
            ["v2", "report"] => {
                let report = self.state.change(State::report);
                exchange.respond_json(200, &report);
            }
            ["v2", "cache", "events"] => {
                let since = exchange.query_param("since").parse().unwrap_or(0);
                let events = self.state.change(|s| s.published_events(since));
                exchange.respond_json(200, &events);
            }
            _ => exchange.respond_json(404, &"no such path"),
        }
    }
}
