//! Stand-in for a model engine.

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

pub use journal::{End, Journal, Received, Served, Stay};
pub use settings::{EngineSettings, LoadTimes};
pub use state::CacheEvent;
pub use text::answer;

use super::server::{Exchange, Server};
use super::shared::Shared;
use crate::outside::{Report, Tier, Verb};
use state::State;

/// Pause before a condition is looked at again.
const PAUSE: Duration = Duration::from_millis(2);

#[derive(Default)]
struct Inner {
    settings: EngineSettings,
    state: Shared<State>,
    /// Servers of all instances; only the last one may be alive. The others
    /// hang up what still reaches them.
    servers: Mutex<Vec<Server>>,
}

/// An engine; dropping it stops it.
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

    /// Address that it serves, the same over all its starts.
    pub fn addr(&self) -> SocketAddr {
        let servers = self.inner.servers.lock().expect("no holder panics");
        servers.last().map_or(self.inner.settings.addr, |s| s.addr)
    }

    /// Present state, past every lag.
    pub fn report(&self) -> Report {
        self.inner.state.change(|s| s.now.clone())
    }

    /// What happened so far.
    pub fn journal(&self) -> Journal {
        self.inner.state.change(|s| s.journal.clone())
    }

    /// Kills the process: connections close and the port refuses.
    pub fn crash(&self) {
        self.inner.crash();
    }

    /// Starts the process again, under a new instance id.
    pub fn restart(&self) -> io::Result<()> {
        self.crash();
        let inner = self.inner.clone();
        inner.state.change(|s| {
            s.lag = inner.settings.lag;
            s.begin(&inner.settings.name);
        });
        let server = Server::start(self.addr(), move |exchange| inner.handle(exchange))?;
        let mut servers = self.inner.servers.lock().expect("no holder panics");
        servers.push(server);
        Ok(())
    }

    /// Accepts without answering, or goes on.
    pub fn freeze(&self, frozen: bool) {
        self.inner.state.change(|s| s.frozen = frozen);
    }

    /// Reports that it leaves, or no longer.
    pub fn leave(&self, leaving: bool) {
        self.inner.state.change(|s| {
            s.journal.left = leaving.then(Instant::now);
            s.changed();
        });
    }

    /// Puts the weights of a model into a tier.
    pub fn cache(&self, model: &str, tier: Tier) {
        self.inner.state.change(|s| s.cache(model, tier));
    }
}

impl Drop for FakeEngine {
    fn drop(&mut self) {
        self.crash();
        let mut servers = self.inner.servers.lock().expect("no holder panics");
        let ended = std::mem::take(&mut *servers);
        drop(servers);
        drop(ended);
    }
}

impl Inner {
    fn crash(&self) {
        let servers = self.servers.lock().expect("no holder panics");
        servers.iter().for_each(Server::kill);
        drop(servers);
        self.state.change(State::end);
    }

    /// Waits while the engine is frozen.
    fn thaw(&self, alive: &dyn Fn() -> bool) {
        while self.state.change(|s| s.frozen) && alive() {
            thread::sleep(PAUSE);
        }
    }

    fn handle(&self, exchange: Exchange) {
        self.thaw(&|| exchange.alive());
        if !exchange.allowed(&self.settings.key) {
            return exchange.answer(401, &"wrong key");
        }
        match exchange.route().1.as_slice() {
            ["v1", "chat", "completions"] => self.work(exchange, true),
            ["v1", "completions"] => self.work(exchange, false),
            ["v2", "fence"] => self.order(Verb::Fence, exchange),
            ["v2", "repository", "models", _, "load"] => self.order(Verb::Load, exchange),
            ["v2", "repository", "models", _, "unload"] => self.order(Verb::Unload, exchange),
            ["v2", "report"] => {
                let report = self.state.change(State::report);
                exchange.answer(200, &report);
            }
            ["v2", "cache", "events"] => {
                let since = exchange.param("since").parse().unwrap_or(0);
                let events = self.state.change(|s| s.published(since));
                exchange.answer(200, &events);
            }
            _ => exchange.answer(404, &"no such path"),
        }
    }
}
