//! A table that loses answers, hosts that ask one another, and an upstream.

use std::collections::{BTreeMap, VecDeque};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering::SeqCst};
use std::sync::{Arc, Condvar, Mutex, Weak};
use std::time::Duration;

use mastichinge::calls::{CallSettings, Calls, Peers, Request, SendEnd, Told, fingerprint, item};
use mastichinge::clock::{Clock, Moment};
use mastichinge::error::Refusal;
use mastichinge::outside::{Item, Precondition, Table, TableError, Write, WriteOp};
use mastichinge::protocol::calls::{Attempt, CallRecord, CallState, Identity, Reply};

/// What happens to the next commit over a link.
#[derive(Clone, Copy, PartialEq)]
pub enum Fault {
    /// It takes effect and its answer is lost.
    LoseAnswer,
    /// It is lost.
    LoseWrite,
    /// Its answer is lost and it takes effect when [`Store::land`] is called.
    Delay,
}

/// Items behind all links.
#[derive(Default)]
pub struct Store {
    items: Mutex<BTreeMap<Arc<str>, Item>>,
    late: Mutex<Vec<Vec<Write>>>,
    pub commits: AtomicU32,
}

impl Store {
    fn apply(&self, writes: &[Write]) -> Result<Vec<u64>, TableError> {
        self.commits.fetch_add(1, SeqCst);
        let mut items = self.items.lock().unwrap();
        for write in writes {
            let current = items.get(&write.key);
            let holds = match write.expect {
                Precondition::Any => true,
                Precondition::Absent => current.is_none(),
                Precondition::Version(v) => current.is_some_and(|i| i.version == v),
            };
            if !holds {
                let (key, current) = (write.key.clone(), current.cloned());
                return Err(TableError::Conflict { key, current });
            }
        }
        Ok(writes.iter().map(|w| put(&mut items, w)).collect())
    }

    /// Delayed writes take effect if their conditions still hold.
    pub fn land(&self) {
        for writes in self.late.lock().unwrap().drain(..) {
            let _ = self.apply(&writes);
        }
    }

    pub fn record(&self, key: &str) -> Option<CallRecord> {
        let items = self.items.lock().unwrap();
        let found = items.get(&item(key).unwrap())?;
        Some(serde_json::from_value(found.value.clone()).unwrap())
    }
}

fn put(items: &mut BTreeMap<Arc<str>, Item>, write: &Write) -> u64 {
    let version = items.get(&write.key).map_or(0, |i| i.version);
    match &write.op {
        WriteOp::Check => version,
        WriteOp::Delete => {
            items.remove(&write.key);
            0
        }
        WriteOp::Put(value) => {
            let item = Item {
                key: write.key.clone(),
                version: version + 1,
                value: value.clone(),
            };
            items.insert(write.key.clone(), item);
            version + 1
        }
    }
}

/// One host's way to the store.
#[derive(Default)]
pub struct Link {
    store: Arc<Store>,
    pub down: AtomicBool,
    pub faults: Mutex<VecDeque<Fault>>,
    shut: Mutex<bool>,
    opened: Condvar,
    pub blocked: AtomicU32,
}

impl Link {
    /// Commits wait while the link is shut.
    pub fn shut(&self, shut: bool) {
        *self.shut.lock().unwrap() = shut;
        self.opened.notify_all();
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
        let mut shut = self.shut.lock().unwrap();
        self.blocked.fetch_add(u32::from(*shut), SeqCst);
        while *shut {
            shut = self.opened.wait(shut).unwrap();
        }
        drop(shut);
        self.check()?;
        let lost = TableError::Unavailable("no answer".into());
        let fault = self.faults.lock().unwrap().pop_front();
        match fault {
            None => return self.store.apply(writes),
            Some(Fault::LoseWrite) => {}
            Some(Fault::LoseAnswer) => {
                self.store.apply(writes)?;
            }
            Some(Fault::Delay) => self.store.late.lock().unwrap().push(writes.to_vec()),
        }
        Err(lost)
    }
}

type Daemon = Calls<Link, Net>;

/// Hosts by name; a host that is not here is gone.
#[derive(Default)]
pub struct Net {
    hosts: Mutex<BTreeMap<Arc<str>, Weak<Daemon>>>,
    pub cut: AtomicBool,
}

impl Peers for Net {
    fn ask(&self, item: &str, attempt: &Attempt, _: Duration) -> Told {
        if self.cut.load(SeqCst) {
            return Told::Silent;
        }
        let host = self.hosts.lock().unwrap().get(&attempt.host).cloned();
        match host.and_then(|h| h.upgrade()) {
            Some(calls) => calls.tell(item, &attempt.id),
            None => Told::Gone,
        }
    }

    fn find(&self, item: &str, _: Duration) -> Option<CallRecord> {
        let hosts: Vec<_> = self.hosts.lock().unwrap().values().cloned().collect();
        for calls in hosts.iter().filter_map(Weak::upgrade) {
            if let Told::Record(record) = calls.tell(item, "") {
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
    pub net: Arc<Net>,
    pub clock: Clock,
    pub runs: AtomicU32,
}

/// One daemon.
pub struct Host {
    pub calls: Arc<Daemon>,
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
            retry: Duration::from_millis(1),
            ..settings
        };
        let calls = Arc::new(Calls::start(link.clone(), self.net.clone(), settings));
        let mut hosts = self.net.hosts.lock().unwrap();
        hosts.insert(name.into(), Arc::downgrade(&calls));
        Host {
            calls,
            link,
            name: name.into(),
        }
    }

    /// The host is gone and nothing of it reaches the store any more.
    pub fn kill(&self, host: &Host) {
        host.link.down.store(true, SeqCst);
        self.net.hosts.lock().unwrap().remove(&host.name);
    }

    /// The upstream runs the call and answers.
    pub fn serve(&self) -> SendEnd {
        let run = self.runs.fetch_add(1, SeqCst) + 1;
        SendEnd::Done(reply(run))
    }

    pub fn far(&self) -> Moment {
        self.clock.now() + Duration::from_secs(60)
    }

    pub fn soon(&self) -> Moment {
        self.clock.now() + Duration::from_millis(40)
    }

    /// Runs the call at `host` with a far deadline.
    pub fn run(&self, host: &Host, request: &Request) -> Result<Reply, Refusal> {
        host.calls.run(request, self.far(), || self.serve())
    }

    pub fn ran(&self) -> u32 {
        self.runs.load(SeqCst)
    }

    pub fn state(&self, key: &str) -> Option<CallState> {
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

pub fn request(key: &str) -> Request {
    Request {
        key: key.into(),
        identity: Identity {
            caller: "c1".into(),
            fingerprint: fingerprint("POST", "/seats", b"{}"),
        },
        keep: 3_600,
        first: false,
    }
}

/// Waits until `holds`; fails the test when it does not within a minute.
pub fn wait(what: &str, holds: impl Fn() -> bool) {
    for _ in 0..60_000 {
        if holds() {
            return;
        }
        std::thread::sleep(Duration::from_millis(1));
    }
    panic!("not reached: {what}");
}
