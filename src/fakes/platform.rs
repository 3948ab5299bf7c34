//! Stand-ins for the platform's table, object store and host list, served at
//! one address.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use super::server::{Exchange, Server};
use crate::platform::table_http::{Commit, Committed, Conflict};
use crate::platform::{Expect, HostEntry, HostState, Hosts, Item, Op, Write};
use crate::settings::Addresses;

/// Disturbances of the platform; all off by default.
#[derive(Clone, Debug, Default)]
pub struct Knobs {
    /// Every request is hung up before it takes effect.
    pub down: bool,
    /// Time before a request takes effect.
    pub slow: Duration,
    /// Answers still to be lost after their write took effect.
    pub lose: u32,
    /// Age of the host list that is shown.
    pub lag: Duration,
}

/// Requests that took effect.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Reads of the table.
    pub reads: u64,
    /// Commits, those with a conflict included.
    pub commits: u64,
    /// Reads of objects.
    pub gets: u64,
    /// Writes of objects.
    pub puts: u64,
    /// Reads of the host list.
    pub lists: u64,
}

/// A commit that took effect.
#[derive(Clone, Debug)]
pub struct Entry {
    /// When.
    pub at: Instant,
    /// Writes as they came.
    pub writes: Vec<Write>,
    /// Version of each item afterwards.
    pub versions: Vec<u64>,
}

#[derive(Debug, Default)]
struct State {
    knobs: Knobs,
    counts: Counts,
    items: BTreeMap<Arc<str>, Item>,
    journal: Vec<Entry>,
    objects: BTreeMap<String, Vec<u8>>,
    lists: Vec<(Instant, Hosts)>,
}

/// The platform; dropping it stops it.
pub struct FakePlatform {
    state: Arc<Mutex<State>>,
    server: Server,
}

impl FakePlatform {
    /// Serves `addr`; port 0 takes a free one. A key that is not empty is checked.
    pub fn start(addr: SocketAddr, key: &str) -> io::Result<FakePlatform> {
        let state = Arc::new(Mutex::new(State::default()));
        let shared = state.clone();
        let key: Arc<str> = key.into();
        let server = Server::start(addr, move |exchange| handle(&shared, &key, exchange))?;
        Ok(FakePlatform { state, server })
    }

    /// Addresses for a daemon's settings.
    pub fn addresses(&self) -> Addresses {
        let addr = self.server.addr();
        Addresses {
            table: addr,
            objects: addr,
            hosts: addr,
        }
    }

    /// Changes the disturbances.
    pub fn disturb(&self, change: impl FnOnce(&mut Knobs)) {
        change(&mut self.lock().knobs);
    }

    /// Requests that took effect so far.
    pub fn counts(&self) -> Counts {
        self.lock().counts
    }

    /// Commits that took effect so far, in order.
    pub fn journal(&self) -> Vec<Entry> {
        self.lock().journal.clone()
    }

    /// Items as they stand, past every disturbance.
    pub fn items(&self, prefix: &str) -> Vec<Item> {
        self.lock().scan(prefix)
    }

    /// Commits writes past every disturbance.
    pub fn commit(&self, writes: Vec<Write>) -> Result<Vec<u64>, Conflict> {
        self.lock().commit(writes)
    }

    /// Lists a host in a state, or takes it off the list.
    pub fn list(&self, name: &str, state: Option<HostState>) {
        let mut guard = self.lock();
        let mut list = guard.lists.last().map(|l| l.1.clone()).unwrap_or_default();
        list.revision += 1;
        list.hosts.retain(|h| &*h.name != name);
        list.hosts.extend(state.map(|state| HostEntry {
            name: name.into(),
            state,
            revision: list.revision,
        }));
        guard.lists.push((Instant::now(), list));
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().expect("no holder of the lock panics")
}

impl State {
    fn scan(&self, prefix: &str) -> Vec<Item> {
        let from = self.items.range(Arc::from(prefix)..);
        let items = from.take_while(|(key, _)| key.starts_with(prefix));
        items.map(|(_, item)| item.clone()).collect()
    }

    fn commit(&mut self, writes: Vec<Write>) -> Result<Vec<u64>, Conflict> {
        for write in &writes {
            let current = self.items.get(&write.key);
            let holds = match write.expect {
                Expect::Any => true,
                Expect::Absent => current.is_none(),
                Expect::Version(version) => current.is_some_and(|c| c.version == version),
            };
            if !holds {
                return Err(Conflict {
                    key: write.key.clone(),
                    current: current.cloned(),
                });
            }
        }
        let versions: Vec<u64> = writes.iter().map(|w| self.apply(w)).collect();
        self.journal.push(Entry {
            at: Instant::now(),
            writes,
            versions: versions.clone(),
        });
        Ok(versions)
    }

    fn apply(&mut self, write: &Write) -> u64 {
        let version = self.items.get(&write.key).map_or(0, |i| i.version);
        match &write.op {
            Op::Check => version,
            Op::Delete => {
                self.items.remove(&write.key);
                0
            }
            Op::Put(value) => {
                let item = Item {
                    key: write.key.clone(),
                    version: version + 1,
                    value: value.clone(),
                };
                self.items.insert(write.key.clone(), item);
                version + 1
            }
        }
    }

    fn hosts(&self) -> Hosts {
        let lag = self.knobs.lag;
        let mut seen = self.lists.iter().rev();
        let list = seen.find(|(at, _)| at.elapsed() >= lag);
        list.map(|l| l.1.clone()).unwrap_or_default()
    }

    /// Whether the answer to a write that took effect is to be lost.
    fn loses(&mut self) -> bool {
        let lost = self.knobs.lose > 0;
        self.knobs.lose -= u32::from(lost);
        lost
    }
}

fn handle(state: &Mutex<State>, key: &str, exchange: Exchange) {
    let knobs = lock(state).knobs.clone();
    thread::sleep(knobs.slow);
    if lock(state).knobs.down {
        return exchange.hang_up();
    }
    if !exchange.allowed(key) {
        return exchange.answer(401, &"wrong key");
    }
    match exchange.route() {
        ("POST", path) if path == ["v1", "commit"] => commit(state, exchange),
        ("GET", path) if path == ["v1", "items"] => {
            let prefix = exchange.param("prefix").unwrap_or_default();
            let mut guard = lock(state);
            guard.counts.reads += 1;
            let items = guard.scan(prefix);
            drop(guard);
            exchange.answer(200, &items);
        }
        ("GET", path) if path == ["v1", "hosts"] => {
            let mut guard = lock(state);
            guard.counts.lists += 1;
            let hosts = guard.hosts();
            drop(guard);
            exchange.answer(200, &hosts);
        }
        ("GET", path) if path.starts_with(&["v1", "items"]) => {
            let mut guard = lock(state);
            guard.counts.reads += 1;
            let item = guard.items.get(path[2]).cloned();
            drop(guard);
            exchange.answer(if item.is_some() { 200 } else { 404 }, &item);
        }
        ("GET", path) if path.starts_with(&["v1", "objects"]) && path.len() == 3 => {
            let mut guard = lock(state);
            guard.counts.gets += 1;
            let object = guard.objects.get(path[2]).cloned();
            drop(guard);
            let status = if object.is_some() { 200 } else { 404 };
            exchange.answer_bytes(status, object.unwrap_or_default());
        }
        ("PUT", path) if path.starts_with(&["v1", "objects"]) && path.len() == 3 => {
            let mut guard = lock(state);
            guard.counts.puts += 1;
            let body = exchange.body.clone();
            guard.objects.insert(path[2].into(), body);
            let lost = guard.loses();
            drop(guard);
            finish(exchange, lost, 200, &());
        }
        _ => exchange.answer(404, &"no such path"),
    }
}

fn commit(state: &Mutex<State>, exchange: Exchange) {
    let body = match exchange.json::<Commit>() {
        Ok(body) => body,
        Err(text) => return exchange.answer(400, &text),
    };
    let mut guard = lock(state);
    guard.counts.commits += 1;
    let outcome = guard.commit(body.writes);
    let lost = outcome.is_ok() && guard.loses();
    drop(guard);
    match outcome {
        Ok(versions) => finish(exchange, lost, 200, &Committed { versions }),
        Err(conflict) => exchange.answer(409, &conflict),
    }
}

fn finish<T: serde::Serialize>(exchange: Exchange, lost: bool, status: u16, value: &T) {
    match lost {
        true => exchange.hang_up(),
        false => exchange.answer(status, value),
    }
}
