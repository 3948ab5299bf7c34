//! Fakes of the platform's table, object store and host list, served at one
//! address.

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

/// Faults injected into the platform; all off by default.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// The connection of every request is closed before the request takes effect.
    pub down: bool,
    /// Delay before a request takes effect.
    pub delay: Duration,
    /// Number of further writes that take effect but get no response.
    pub lost_responses: u32,
    /// Minimum age of the host list that is returned.
    pub list_lag: Duration,
}

/// A commit that took effect.
#[derive(Clone, Debug)]
pub struct CommitRecord {
    /// Time of the commit.
    pub committed_at: Instant,
    /// Writes of the commit, as received.
    pub writes: Vec<Write>,
    /// Version of each item after the commit.
    pub versions: Vec<u64>,
}

/// State of the platform.
#[derive(Clone, Debug, Default)]
pub struct State {
    /// Injected faults.
    pub faults: Faults,
    /// Number of table reads that took effect.
    pub read_count: u64,
    /// Number of commits received, including those with a conflict.
    pub commit_count: u64,
    /// Commits that took effect, in order.
    pub commits: Vec<CommitRecord>,
    /// Items of the table, by key.
    pub items: BTreeMap<Arc<str>, Item>,
    /// Objects of the object store, by name.
    pub objects: BTreeMap<String, Vec<u8>>,
    /// Last versions of the items that were deleted, by key.
    deleted: BTreeMap<Arc<str>, u64>,
    host_lists: Vec<(Instant, Hosts)>,
}

/// A fake platform that stops when it is dropped.
pub struct FakePlatform {
    /// State of the platform; access through this field bypasses the injected faults.
    pub state: Shared<State>,
    server: Server,
}

impl FakePlatform {
    /// Starts a platform on `addr`; port 0 selects a free port. Requests must carry
    /// `key` unless it is empty.
    pub fn start(addr: SocketAddr, key: &str) -> io::Result<FakePlatform> {
        let state = Shared::default();
        let shared = state.clone();
        let key = key.to_owned();
        let server = Server::start(addr, move |exchange| handle(&shared, &key, exchange))?;
        Ok(FakePlatform { state, server })
    }

    /// Returns the addresses of the platform for the settings of a daemon.
    pub fn addresses(&self) -> PlatformAddresses {
        PlatformAddresses {
            table: self.server.addr,
            objects: self.server.addr,
            hosts: self.server.addr,
        }
    }

    /// Sets the state of a host in the host list, or removes the host from it.
    pub fn set_host_state(&self, name: &str, state: Option<HostState>) {
        self.state.change(|s| {
            let mut list = s.host_list(Duration::ZERO);
            list.revision += 1;
            list.hosts.retain(|h| &*h.name != name);
            list.hosts.extend(state.map(|state| HostEntry {
                name: name.into(),
                state,
                revision: list.revision,
            }));
            s.host_lists.push((Instant::now(), list));
        });
    }
}

impl State {
    /// Commits all writes, or none of them if a precondition fails.
    pub fn commit(&mut self, writes: &[Write]) -> Result<Vec<u64>, CommitConflict> {
        for write in writes {
            let current = self.items.get(&write.key);
            let version = current.map_or(0, |c| c.version);
            let precondition_met = match write.expect {
                Precondition::Any => true,
                Precondition::Absent => version == 0,
                Precondition::Version(expected) => version == expected,
            };
            if !precondition_met {
                let (key, current) = (write.key.clone(), current.cloned());
                return Err(CommitConflict { key, current });
            }
        }
        let versions: Vec<u64> = writes.iter().map(|w| self.apply_write(w)).collect();
        self.commits.push(CommitRecord {
            committed_at: Instant::now(),
            writes: writes.to_vec(),
            versions: versions.clone(),
        });
        Ok(versions)
    }

    fn apply_write(&mut self, write: &Write) -> u64 {
        let current = self.items.get(&write.key).map(|i| i.version);
        let value = match &write.op {
            WriteOp::Put(value) => value.clone(),
            WriteOp::Check => return current.unwrap_or_default(),
            WriteOp::Delete => {
                if let Some(item) = self.items.remove(&write.key) {
                    self.deleted.insert(item.key, item.version);
                }
                return 0;
            }
        };
        let last = current.or_else(|| self.deleted.remove(&write.key));
        let version = last.unwrap_or_default() + 1;
        let item = Item {
            key: write.key.clone(),
            version,
            value,
        };
        self.items.insert(write.key.clone(), item);
        version
    }

    /// Returns the newest host list that is at least `lag` old.
    fn host_list(&self, lag: Duration) -> Hosts {
        let mut lists = self.host_lists.iter().rev();
        let list = lists.find(|(at, _)| at.elapsed() >= lag);
        list.map(|l| l.1.clone()).unwrap_or_default()
    }

    /// Returns status and body of the response; a lost response has no status.
    fn respond(&mut self, exchange: &Exchange) -> (Option<u16>, Vec<u8>) {
        let (method, path) = exchange.route();
        match (method, path.as_slice()) {
            ("POST", ["v1", "commit"]) => match exchange.json::<CommitRequest>() {
                Err(text) => json_response(400, &text),
                Ok(commit) => {
                    self.commit_count += 1;
                    match self.commit(&commit.writes) {
                        Ok(versions) => self.write_response(&CommitResponse { versions }),
                        Err(conflict) => json_response(409, &conflict),
                    }
                }
            },
            ("GET", ["v1", "items"]) => {
                self.read_count += 1;
                let prefix = exchange.query_param("prefix");
                let items = self.items.values().filter(|i| i.key.starts_with(&prefix));
                json_response(200, &items.collect::<Vec<_>>())
            }
            ("GET", ["v1", "items", key]) => {
                self.read_count += 1;
                let item = self.items.get(*key);
                json_response(if item.is_some() { 200 } else { 404 }, &item)
            }
            ("GET", ["v1", "objects", name]) => match self.objects.get(*name) {
                Some(object) => (Some(200), object.clone()),
                None => json_response(404, name),
            },
            ("PUT", ["v1", "objects", name]) => {
                self.objects.insert((*name).into(), exchange.body.clone());
                self.write_response(name)
            }
            ("GET", ["v1", "hosts"]) => json_response(200, &self.host_list(self.faults.list_lag)),
            _ => json_response(404, &exchange.path),
        }
    }

    fn write_response<T: serde::Serialize>(&mut self, value: &T) -> (Option<u16>, Vec<u8>) {
        let lost = self.faults.lost_responses > 0;
        self.faults.lost_responses -= u32::from(lost);
        let (status, body) = json_response(200, value);
        (status.filter(|_| !lost), body)
    }
}

fn json_response<T: serde::Serialize>(status: u16, value: &T) -> (Option<u16>, Vec<u8>) {
    (Some(status), serde_json::to_vec(value).unwrap_or_default())
}

fn handle(state: &Shared<State>, key: &str, exchange: Exchange) {
    let delay = state.change(|s| s.faults.delay);
    thread::sleep(delay);
    if state.change(|s| s.faults.down) {
        return exchange.close();
    }
    if !exchange.is_authorized(key) {
        return exchange.respond_json(401, &"wrong key");
    }
    let (status, body) = state.change(|s| s.respond(&exchange));
    match status {
        Some(status) => exchange.respond_bytes(status, body),
        None => exchange.close(),
    }
}
