//! Stand-in for a model engine.

mod journal;
mod orders;
mod state;
mod streams;
mod text;

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

pub use journal::{End, Journal, Received, Served, Stay};
pub use state::CacheEvent;
pub use text::answer;

use super::server::{Exchange, Server};
use super::weights::FakeWeights;
use crate::platform::{Report, Tier, Verb};
use state::State;

/// Longest wait before a condition is looked at again.
const PAUSE: Duration = Duration::from_millis(50);

/// Time of a load by the tier where the weights are.
#[derive(Clone, Copy, Debug)]
pub struct LoadTimes {
    /// From the weight store at full speed.
    pub remote: Duration,
    /// From disk.
    pub disk: Duration,
    /// From host memory.
    pub memory: Duration,
    /// An adapter, from any tier.
    pub adapter: Duration,
}

impl Default for LoadTimes {
    fn default() -> Self {
        LoadTimes {
            remote: Duration::from_secs(10),
            disk: Duration::from_secs(3),
            memory: Duration::from_millis(500),
            adapter: Duration::from_millis(7),
        }
    }
}

/// Settings of an engine.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Name; instance ids start with it.
    pub name: String,
    /// Address; port 0 takes a free one.
    pub addr: SocketAddr,
    /// Key that it checks; empty for none.
    pub key: String,
    /// Memory for weights, MB.
    pub memory: u64,
    /// Requests that it batches at once.
    pub slots: u32,
    /// Whether it refuses orders with an old fencing token.
    pub fenced: bool,
    /// Weight store.
    pub weights: FakeWeights,
    /// Time of loads.
    pub times: LoadTimes,
    /// Real seconds for each second of load time.
    pub scale: f64,
    /// Time before the first token of a prompt that is not cached.
    pub prefill: Duration,
    /// Time between tokens.
    pub interval: Duration,
    /// Tokens of an answer that sets no limit.
    pub tokens: usize,
    /// Prompts that contain this text crash it; empty for none.
    pub crash: String,
    /// Age of the reports and cache events that it publishes.
    pub lag: Duration,
}

impl Default for EngineSettings {
    fn default() -> Self {
        EngineSettings {
            name: "engine".into(),
            addr: SocketAddr::from(([127, 0, 0, 1], 0)),
            key: String::new(),
            memory: 80_000,
            slots: 16,
            fenced: true,
            weights: FakeWeights::default(),
            times: LoadTimes::default(),
            scale: 1.0,
            prefill: Duration::ZERO,
            interval: Duration::from_millis(20),
            tokens: 16,
            crash: String::new(),
            lag: Duration::from_millis(20),
        }
    }
}

#[derive(Default)]
struct Inner {
    settings: EngineSettings,
    state: Mutex<State>,
    wake: Condvar,
    server: Mutex<Option<Server>>,
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
        let addr = self.inner.state().addr;
        addr.unwrap_or(self.inner.settings.addr)
    }

    /// Present state, past every lag.
    pub fn report(&self) -> Report {
        self.inner.state().now.clone()
    }

    /// What happened so far.
    pub fn journal(&self) -> Journal {
        self.inner.state().journal.clone()
    }

    /// Kills the process: connections close and the port refuses.
    pub fn crash(&self) {
        self.inner.crash();
    }

    /// Starts the process again, under a new instance id.
    pub fn restart(&self) -> io::Result<()> {
        self.crash();
        let addr = self.addr();
        self.inner.state().begin(&self.inner.settings.name);
        let inner = self.inner.clone();
        let server = Server::start(addr, move |exchange| inner.handle(exchange))?;
        self.inner.state().addr = Some(server.addr());
        *self.inner.server() = Some(server);
        Ok(())
    }

    /// Accepts without answering, or goes on.
    pub fn freeze(&self, frozen: bool) {
        self.inner.state().frozen = frozen;
        self.inner.wake.notify_all();
    }

    /// Reports that it leaves, or no longer.
    pub fn leave(&self, leaving: bool) {
        let mut state = self.inner.state();
        state.journal.left = leaving.then(Instant::now);
        state.changed();
    }

    /// Puts the weights of a model into a tier.
    pub fn cache(&self, model: &str, tier: Tier) {
        self.inner.state().cache(model, tier);
    }
}

impl Drop for FakeEngine {
    fn drop(&mut self) {
        self.crash();
    }
}

impl Inner {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }

    fn server(&self) -> MutexGuard<'_, Option<Server>> {
        self.server.lock().expect("no holder of the lock panics")
    }

    fn crash(&self) {
        let server = self.server().take();
        if let Some(server) = server {
            server.kill();
            self.state().end();
            self.wake.notify_all();
        }
    }

    fn pause<'a>(&self, state: MutexGuard<'a, State>) -> MutexGuard<'a, State> {
        let outcome = self.wake.wait_timeout(state, PAUSE);
        outcome.expect("no holder of the lock panics").0
    }

    /// Waits while the engine is frozen.
    fn thaw(&self, alive: &dyn Fn() -> bool) {
        let mut state = self.state();
        while state.frozen && alive() {
            state = self.pause(state);
        }
    }

    fn handle(&self, exchange: Exchange) {
        self.thaw(&|| exchange.alive());
        if !exchange.allowed(&self.settings.key) {
            return exchange.answer(401, &"wrong key");
        }
        match exchange.segments().as_slice() {
            ["v1", "chat", "completions"] => self.work(exchange, true),
            ["v1", "completions"] => self.work(exchange, false),
            ["v2", "fence"] => self.order(Verb::Fence, exchange),
            ["v2", "repository", "models", _, "load"] => self.order(Verb::Load, exchange),
            ["v2", "repository", "models", _, "unload"] => self.order(Verb::Unload, exchange),
            ["v2", "report"] => {
                let report = self.state().report(self.settings.lag);
                exchange.answer(200, &report);
            }
            ["v2", "cache", "events"] => {
                let since = exchange.param("since").parse().unwrap_or(0);
                let events = self.state().published(since, self.settings.lag);
                exchange.answer(200, &events);
            }
            _ => exchange.answer(404, &"no such path"),
        }
    }
}
