//! Stand-ins for the platform's table, object store and host list, served at
//! one address.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use super::server::{Exchange, Server};
use super::shared::Shared;
use crate::outside::table_http::{CommitConflict, CommitRequest, CommitResponse};
use crate::outside::{HostEntry, HostState, Hosts, Item, Precondition, Write, WriteOp};
use crate::settings::PlatformAddresses;

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

/// What the platform holds.
#[derive(Clone, Debug, Default)]
pub struct State {
    /// Disturbances.
    pub knobs: Knobs,
    /// Reads of the table that took effect.
    pub reads: u64,
    /// Commits that arrived, those with a conflict included.
    pub writes: u64,
    /// Commits that took effect, in order.
    pub journal: Vec<Entry>,
    /// Items of the table.
    pub items: BTreeMap<Arc<str>, Item>,
    /// Objects.
    pub objects: BTreeMap<String, Vec<u8>>,
    lists: Vec<(Instant, Hosts)>,
}

/// The platform; dropping it stops it.
pub struct FakePlatform {
    /// What it holds, past every disturbance.
    pub state: Shared<State>,
    server: Server,
}

impl FakePlatform {
    /// Serves `addr`; port 0 takes a free one. A key that is not empty is checked.
    pub fn start(addr: SocketAddr, key: &str) -> io::Result<FakePlatform> {
        let state = Shared::default();
        let shared = state.clone();
        let key = key.to_owned();
        let server = Server::start(addr, move |exchange| handle(&shared, &key, exchange))?;
        Ok(FakePlatform { state, server })
    }

    /// Addresses for a daemon's settings.
    pub fn addresses(&self) -> PlatformAddresses {
        PlatformAddresses {
            table: self.server.addr,
            objects: self.server.addr,
            hosts: self.server.addr,
        }
    }

    /// Lists a host in a state, or takes it off the list.
    pub fn list(&self, name: &str, state: Option<HostState>) {
        self.state.change(|s| {
            let mut list = s.hosts(Duration::ZERO);
            list.revision += 1;
            list.hosts.retain(|h| &*h.name != name);
            list.hosts.extend(state.map(|state| HostEntry {
                name: name.into(),
                state,
                revision: list.revision,
            }));
            s.lists.push((Instant::now(), list));
        });
    }
}

impl State {
    /// Commits all writes or none.
    pub fn commit(&mut self, writes: &[Write]) -> Result<Vec<u64>, CommitConflict> {
        for write in writes {
            let current = self.items.get(&write.key);
            let version = current.map_or(0, |c| c.version);
            let holds = match write.expect {
                Precondition::Any => true,
                Precondition::Absent => version == 0,
                Precondition::Version(expected) => version == expected,
            };
            if !holds {
                let (key, current) = (write.key.clone(), current.cloned());
                return Err(CommitConflict { key, current });
            }
        }
        let versions: Vec<u64> = writes.iter().map(|w| self.apply(w)).collect();
        self.journal.push(Entry {
            at: Instant::now(),
            writes: writes.to_vec(),
            versions: versions.clone(),
        });
        Ok(versions)
    }

    fn apply(&mut self, write: &Write) -> u64 {
        let version = self.items.get(&write.key).map_or(0, |i| i.version);
        let WriteOp::Put(value) = &write.op else {
            let deleted = write.op == WriteOp::Delete && self.items.remove(&write.key).is_some();
            return if deleted { 0 } else { version };
        };
        let item = Item {
            key: write.key.clone(),
            version: version + 1,
            value: value.clone(),
        };
        self.items.insert(write.key.clone(), item);
        version + 1
    }

    fn hosts(&self, lag: Duration) -> Hosts {
        let mut lists = self.lists.iter().rev();
        let list = lists.find(|(at, _)| at.elapsed() >= lag);
        list.map(|l| l.1.clone()).unwrap_or_default()
    }

    /// Status and body of the answer; a lost one has no status.
    fn respond(&mut self, exchange: &Exchange) -> (Option<u16>, Vec<u8>) {
        let (method, path) = exchange.route();
        match (method, path.as_slice()) {
            ("POST", ["v1", "commit"]) => match exchange.json::<CommitRequest>() {
                Err(text) => json(400, &text),
                Ok(commit) => {
                    self.writes += 1;
                    match self.commit(&commit.writes) {
                        Ok(versions) => self.written(&CommitResponse { versions }),
                        Err(conflict) => json(409, &conflict),
                    }
                }
            },
            ("GET", ["v1", "items"]) => {
                self.reads += 1;
                let prefix = exchange.param("prefix");
                let items = self.items.values().filter(|i| i.key.starts_with(&prefix));
                json(200, &items.collect::<Vec<_>>())
            }
            ("GET", ["v1", "items", key]) => {
                self.reads += 1;
                let item = self.items.get(*key);
                json(if item.is_some() { 200 } else { 404 }, &item)
            }
            ("GET", ["v1", "objects", name]) => match self.objects.get(*name) {
                Some(object) => (Some(200), object.clone()),
                None => json(404, name),
            },
            ("PUT", ["v1", "objects", name]) => {
                self.objects.insert((*name).into(), exchange.body.clone());
                self.written(name)
            }
            ("GET", ["v1", "hosts"]) => json(200, &self.hosts(self.knobs.lag)),
            _ => json(404, &exchange.path),
        }
    }

    fn written<T: serde::Serialize>(&mut self, value: &T) -> (Option<u16>, Vec<u8>) {
        let lost = self.knobs.lose > 0;
        self.knobs.lose -= u32::from(lost);
        let (status, body) = json(200, value);
        (status.filter(|_| !lost), body)
    }
}

fn json<T: serde::Serialize>(status: u16, value: &T) -> (Option<u16>, Vec<u8>) {
    (Some(status), serde_json::to_vec(value).unwrap_or_default())
}

fn handle(state: &Shared<State>, key: &str, exchange: Exchange) {
    let slow = state.change(|s| s.knobs.slow);
    thread::sleep(slow);
    if state.change(|s| s.knobs.down) {
        return exchange.hang_up();
    }
    if !exchange.allowed(key) {
        return exchange.answer(401, &"wrong key");
    }
    let (status, body) = state.change(|s| s.respond(&exchange));
    match status {
        Some(status) => exchange.answer_bytes(status, body),
        None => exchange.hang_up(),
    }
}
