//! Fakes: a table with faults, hosts that query each other, and an upstream.

use std::collections::{BTreeMap, VecDeque};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Condvar, Mutex, Weak};
use std::time::Duration;

use mastichinge::calls::{
    AttemptStatus, CallPeers, CallRequest, CallRunner, CallSettings, SendOutcome, fingerprint,
    record_key,
};
use mastichinge::clock::{Clock, Moment};
use mastichinge::error::Refusal;
use mastichinge::outside::{Item, Precondition, Table, TableError, Write, WriteOp};
use mastichinge::protocol::calls::{Attempt, CallIdentity, CallRecord, CallState, Reply};

/// Fault of the next commit over a link.
#[derive(Clone, Copy, PartialEq)]
pub enum Fault {
    /// The commit takes effect and its result is lost.
    LoseResult,
    /// The commit is lost.
    LoseWrite,
    /// The result is lost, and the commit takes effect in
    /// [`Store::apply_delayed`].
    Delay,
    /// The store refuses the commit.
    Refuse,
}

/// Items of the table, shared by all links.
#[derive(Default)]
pub struct Store {
    items: Mutex<BTreeMap<Arc<str>, Item>>,
    delayed: Mutex<Vec<Vec<Write>>>,
    last_version: AtomicU64,
    pub commits: AtomicU32,
}

impl Store {
    fn apply(&self, writes: &[Write]) -> Result<Vec<u64>, TableError> {
        self.commits.fetch_add(1, SeqCst);
        let mut items = self.items.lock().unwrap();
        for write in writes {
            let current = items.get(&write.key);
            let is_met = match write.expect {
                Precondition::Any => true,
                Precondition::Absent => current.is_none(),
                Precondition::Version(v) => current.is_some_and(|i| i.version == v),
            };
            if !is_met {
                let (key, current) = (write.key.clone(), current.cloned());
                return Err(TableError::Conflict { key, current });
            }
        }
        Ok(writes.iter().map(|w| self.put(&mut items, w)).collect())
    }

    /// Applies the delayed commits whose conditions still hold.
    pub fn apply_delayed(&self) {
        for writes in self.delayed.lock().unwrap().drain(..) {
            let _ = self.apply(&writes);
        }
    }

    pub fn record(&self, key: &str) -> Option<CallRecord> {
        let items = self.items.lock().unwrap();
        let found = items.get(&record_key(key).unwrap())?;
        Some(serde_json::from_value(found.value.clone()).unwrap())
    }

    fn put(&self, items: &mut BTreeMap<Arc<str>, Item>, write: &Write) -> u64 {
        match &write.op {
            WriteOp::Check => items.get(&write.key).map_or(0, |i| i.version),
            WriteOp::Delete => {
                items.remove(&write.key);
                0
            }
            WriteOp::Put(value) => {
                let version = self.last_version.fetch_add(1, SeqCst) + 1;
                let item = Item {
                    key: write.key.clone(),
                    version,
                    value: value.clone(),
                };
                items.insert(write.key.clone(), item);
                version
            }
        }
    }
}

/// Connection of one host to the store.
#[derive(Default)]
pub struct Link {
    store: Arc<Store>,
    pub down: AtomicBool,
    pub faults: Mutex<VecDeque<Fault>>,
    is_blocked: Mutex<bool>,
    unblocked: Condvar,
    pub blocked_commits: AtomicU32,
}

impl Link {
    /// Blocks or unblocks commits.
    pub fn set_blocked(&self, blocked: bool) {
        *self.is_blocked.lock().unwrap() = blocked;
        self.unblocked.notify_all();
    }

    fn check(&self) -> Result<(), TableError> {
        match self.down.load(SeqCst) {
            true => Err(TableError::Unavailable("the link is down".into())),
            false => Ok(()),
        }
    }
}

impl Table for Link {
    fn get(&self, key: &str) -> Result<Option<Item>, TableError> {
        self.check()?;
        Ok(self.store.items.lock().unwrap().get(key).cloned())
    }

    fn scan(&self, prefix: &str) -> Result<Vec<Item>, TableError> {
        self.check()?;
        let items = self.store.items.lock().unwrap();
        let found = items.values().filter(|i| i.key.starts_with(prefix));
        Ok(found.cloned().collect())
    }

    fn commit(&self, writes: &[Write]) -> Result<Vec<u64>, TableError> {
        let mut is_blocked = self.is_blocked.lock().unwrap();
        self.blocked_commits
            .fetch_add(u32::from(*is_blocked), SeqCst);
        while *is_blocked {
            is_blocked = self.unblocked.wait(is_blocked).unwrap();
        }
        drop(is_blocked);
        self.check()?;
        let error = TableError::Unavailable("no result".into());
        let fault = self.faults.lock().unwrap().pop_front();
        match fault {
            None => return self.store.apply(writes),
            Some(Fault::LoseWrite) => {}
            Some(Fault::LoseResult) => {
                self.store.apply(writes)?;
            }
            Some(Fault::Refuse) => return Err(TableError::Refused("in the test".into())),
            Some(Fault::Delay) => self.store.delayed.lock().unwrap().push(writes.to_vec()),
        }
        Err(error)
    }
}

type TestRunner = CallRunner<Link, FakePeers>;

/// Hosts by name; a host that is absent has ended.
#[derive(Default)]
pub struct FakePeers {
    hosts: Mutex<BTreeMap<Arc<str>, Weak<TestRunner>>>,
    pub partitioned: AtomicBool,
}

impl CallPeers for FakePeers {
    fn query_attempt(&self, record_key: &str, attempt: &Attempt, _: Duration) -> AttemptStatus {
        if self.partitioned.load(SeqCst) {
            return AttemptStatus::NoAnswer;
        }
        let host = self.hosts.lock().unwrap().get(&attempt.host).cloned();
        match host.and_then(|h| h.upgrade()) {
            Some(runner) => runner.attempt_status(record_key, &attempt.id),
            None => AttemptStatus::IncarnationEnded,
        }
    }

    fn find_record(&self, record_key: &str, _: Duration) -> Option<CallRecord> {
        let hosts: Vec<_> = self.hosts.lock().unwrap().values().cloned().collect();
        for runner in hosts.iter().filter_map(Weak::upgrade) {
            if let AttemptStatus::Known(record) = runner.attempt_status(record_key, "") {
                return Some(record);
            }
        }
        None
    }
}

/// The hosts, the store and the upstream of one test.
#[derive(Default)]
pub struct World {
    pub store: Arc<Store>,
    pub peers: Arc<FakePeers>,
    pub clock: Clock,
    pub runs: AtomicU32,
}

/// The call runner of one host and its link to the store.
pub struct Host {
    pub runner: Arc<TestRunner>,
    pub link: Arc<Link>,
    name: Arc<str>,
}

impl World {
    pub fn host(&self, name: &str) -> Host {
        self.host_with(name, CallSettings::default())
    }

    pub fn host_with(&self, name: &str, settings: CallSettings) -> Host {
        let link = Arc::new(Link {
            store: self.store.clone(),
            ..Link::default()
        });
        let settings = CallSettings {
            host: name.into(),
            incarnation: 1,
            clock: self.clock,
            retry_delay: Duration::from_millis(1),
            ..settings
        };
        let runner = Arc::new(CallRunner::start(
            link.clone(),
            self.peers.clone(),
            settings,
        ));
        let mut hosts = self.peers.hosts.lock().unwrap();
        hosts.insert(name.into(), Arc::downgrade(&runner));
        Host {
            runner,
            link,
            name: name.into(),
        }
    }

    /// Removes a host from the peers and takes its link to the store down.
    pub fn kill(&self, host: &Host) {
        host.link.down.store(true, SeqCst);
        self.peers.hosts.lock().unwrap().remove(&host.name);
    }

    /// Counts a run of the upstream and returns its response.
    pub fn serve(&self) -> SendOutcome {
        let run = self.runs.fetch_add(1, SeqCst) + 1;
        SendOutcome::Done(reply(run))
    }

    pub fn far_deadline(&self) -> Moment {
        self.clock.now() + Duration::from_secs(60)
    }

    pub fn near_deadline(&self) -> Moment {
        self.clock.now() + Duration::from_millis(40)
    }

    /// Runs the call at `host` with a far deadline.
    pub fn run(&self, host: &Host, request: &CallRequest) -> Result<Reply, Refusal> {
        host.runner
            .run(request, self.far_deadline(), || self.serve())
    }

    pub fn run_count(&self) -> u32 {
        self.runs.load(SeqCst)
    }

    pub fn record_state(&self, key: &str) -> Option<CallState> {
        self.store.record(key).map(|r| r.state)
    }
}

pub fn reply(run: u32) -> Reply {
    Reply {
        status: 200,
        media: "text/plain".into(),
        body: format!("run {run}").into_bytes(),
    }
}

pub fn request(key: &str) -> CallRequest {
    CallRequest {
        key: key.into(),
        identity: CallIdentity {
            caller: "c1".into(),
            fingerprint: fingerprint("POST", "/seats", b"{}"),
        },
        retention_s: 3_600,
        first_attempt: false,
    }
}

/// Waits until `condition` holds; fails the test after a minute.
pub fn wait_until(what: &str, condition: impl Fn() -> bool) {
    for _ in 0..60_000 {
        if condition() {
            return;
        }
        std::thread::sleep(Duration::from_millis(1));
    }
    panic!("timed out waiting until {what}");
}
