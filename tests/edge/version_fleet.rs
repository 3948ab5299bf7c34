//! A deployment with engines of several software versions, and callers who break streams off and
//! take them up again.

use std::io::{Read, Write};
use std::net::TcpStream;

use serde_json::{Value, json};

use crate::fakes::daemon::{Daemon, Request, Response, WAIT_TIMEOUT, wait};
use crate::fakes::engine::{EVENTS, Engine, FIRST_VERSION};
use crate::fakes::store::Store;
use crate::site::{MODEL, desired, events};

/// Version beside the first one.
pub const SECOND_VERSION: &str = "v1.1";
/// Service beside that of the route.
const OTHER_SERVICE: &str = "other-models";
/// Number of streams of a test.
pub const STREAMS: usize = 24;
/// Events that a caller reads before its stream is broken off.
pub const READ_EVENTS: u64 = 2;

/// A store, engines and daemons.
pub struct Fleet {
    pub store: Store,
    pub engines: Vec<Engine>,
    pub daemons: Vec<Daemon>,
}

impl Fleet {
    /// Starts one engine for each of these versions, and so many daemons.
    pub fn start(versions: &[&str], daemons: usize) -> Self {
        let mut fleet = Fleet::with_desired(&desired(5));
        for version in versions {
            fleet.add_engine(version, &["m1"]);
        }
        fleet.start_daemons(daemons);
        fleet
    }

    /// Starts so many daemons with a route that is split evenly between two services, each with
    /// engines of one version.
    pub fn with_two_services(daemons: usize) -> Self {
        let mut state = desired(5);
        let mut service = state["services"][1].clone();
        service["name"] = OTHER_SERVICE.into();
        state["services"].as_array_mut().unwrap().push(service);
        let stream = state["routes"].as_array_mut().unwrap();
        let stream = stream.iter_mut().find(|r| r["pathPrefix"] == "/stream/");
        stream.unwrap()["split"] = json!([
            {"service": "models", "weight": 1.0}, {"service": OTHER_SERVICE, "weight": 1.0}]);
        let mut fleet = Fleet::with_desired(&state);
        for _ in 0..2 {
            fleet.add_engine(FIRST_VERSION, &["m1"]);
            fleet.add_engine_of(OTHER_SERVICE, SECOND_VERSION, &["m1"]);
        }
        fleet.start_daemons(daemons);
        fleet
    }

    fn with_desired(state: &Value) -> Self {
        let store = Store::start();
        store.put("op", "config", state);
        Fleet {
            store,
            engines: Vec::new(),
            daemons: Vec::new(),
        }
    }

    fn start_daemons(&mut self, daemons: usize) {
        for number in 1..=daemons {
            let daemon = Daemon::start(&self.store, &format!("edge-{number}"));
            self.daemons.push(daemon);
        }
        self.wait_for_members();
    }

    /// Waits until all daemons know each other.
    fn wait_for_members(&self) {
        let knows_all = |daemon: &Daemon| {
            let answer = daemon.get("/resolve?name=firm.example&region=r&zone=north");
            let answer: Value = serde_json::from_str(&answer.body).unwrap_or_default();
            let addrs = answer["addrs"].as_array();
            addrs.is_some_and(|addrs| addrs.len() == self.daemons.len())
        };
        wait("all daemons", || self.daemons.iter().all(knows_all));
    }

    /// Starts so many daemons with two engines of the first version, which is the base, and two of
    /// the second; the former leave.
    pub fn without_base(daemons: usize) -> Self {
        let mut fleet = Fleet::start(&[FIRST_VERSION; 2], daemons);
        fleet.remove_base();
        fleet
    }

    /// Starts the same with one daemon more, at the address of the store that is returned. It is the
    /// last one here, and the first by name, which writes for all.
    pub fn without_base_at_two_addresses(daemons: usize) -> (Self, Store) {
        let mut fleet = Fleet::start(&[FIRST_VERSION; 2], daemons);
        let store = fleet.store.other_address();
        let daemon = Daemon::start(&store, "edge-0");
        fleet.daemons.push(daemon);
        fleet.wait_for_members();
        fleet.remove_base();
        (fleet, store)
    }

    /// Adds two engines of the second version; those of the first leave.
    fn remove_base(&mut self) {
        let fleet = self;
        for _ in 0..2 {
            fleet.add_engine(SECOND_VERSION, &["m1"]);
        }
        fleet.wait_for_change("e4", "appeared");
        for engine in ["e1", "e2"] {
            fleet.store.remove("servers", engine);
            fleet.wait_for_change(engine, "gone");
        }
    }

    /// Lists the engines of the first version again, in new lifetimes, and waits until these
    /// daemons know.
    pub fn restore_base(&self, daemons: &[Daemon]) {
        for engine in &self.engines[..2] {
            engine.start_again();
        }
        wait("the first version", || {
            let is_back = |l: &Value| l["engine"] == "e2" && l["life"] == 2_000;
            let knows = |d: &Daemon| d.logged("engine changed").iter().any(is_back);
            daemons.iter().all(knows)
        });
    }

    pub fn add_engine(&mut self, version: &str, models: &[&str]) {
        self.add_engine_of("models", version, models);
    }

    fn add_engine_of(&mut self, service: &str, version: &str, models: &[&str]) {
        let id = format!("e{}", self.engines.len() + 1);
        let engine = Engine::start_version(&self.store, &id, service, version, models);
        self.engines.push(engine);
    }

    /// Waits until all daemons have listed an engine with a change.
    pub fn wait_for_change(&self, engine: &str, change: &str) {
        wait(change, || {
            let has_it = |l: &Value| l["engine"] == engine && l["change"] == change;
            self.daemons
                .iter()
                .all(|d| d.logged("engine changed").iter().any(has_it))
        });
    }

    /// Kills all daemons at once and starts them again.
    pub fn kill_all(&mut self) {
        for daemon in &self.daemons {
            daemon.signal(libc::SIGKILL);
        }
        for daemon in &mut self.daemons {
            daemon.restart();
        }
        for daemon in &self.daemons {
            wait("ready", || daemon.get("/readyz").status == 200);
        }
    }

    /// Begins streams at all daemons in turn, each broken off by its caller after
    /// [`READ_EVENTS`].
    pub fn begin_streams(&self) -> Vec<Begun> {
        let begin = |number: usize| {
            let daemon = &self.daemons[number % self.daemons.len()];
            begin_stream(daemon, &format!("begin-{number}"))
        };
        (0..STREAMS).map(begin).collect()
    }

    /// Begins streams whose names contain the newest version.
    pub fn begin_named(&self, version: &str) -> Vec<Begun> {
        let begin = |number: usize| {
            let daemon = &self.daemons[number % self.daemons.len()];
            begin_stream(daemon, &format!("begin-{number} with {version}"))
        };
        (0..STREAMS).map(begin).collect()
    }

    /// Takes streams up again, each `distance` daemons after the one that began it.
    pub fn take_up(&self, begun: &[Begun], distance: usize) -> TakenUp {
        let mut taken = TakenUp::default();
        for (number, stream) in begun.iter().enumerate() {
            let daemon = &self.daemons[(number + distance) % self.daemons.len()];
            taken.record(stream, &stream.take_up(daemon, &format!("again-{number}")));
        }
        taken
    }
}

/// A stream that a caller has begun to read.
#[derive(Debug)]
pub struct Begun {
    pub id: String,
    /// Text of its events so far.
    pub text: String,
}

impl Begun {
    /// Returns the version that began it.
    pub fn version(&self) -> &str {
        let mut versions = versions(&self.text);
        assert!(versions.iter().all(|v| *v == versions[0]), "{self:?}");
        versions.remove(0)
    }

    pub fn request(&self, id: &str) -> Request {
        Request::new("/stream/", id)
            .with(MODEL, "m1")
            .with("Last-Event-Id", &READ_EVENTS.to_string())
            .with("Resumes", &self.id)
    }

    pub fn take_up(&self, daemon: &Daemon, id: &str) -> Response {
        daemon.send(&self.request(id))
    }
}

/// What became of streams that were taken up again.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct TakenUp {
    /// Those that went on at the version that began them, to the end.
    pub whole: usize,
    /// Those with events of two versions.
    pub mixed: usize,
    /// Those that were refused without running.
    pub refused: usize,
    /// Others.
    pub failed: usize,
}

impl TakenUp {
    pub fn record(&mut self, begun: &Begun, answer: &Response) {
        let versions = versions(&answer.body);
        let rest: Vec<u64> = (READ_EVENTS + 1..=EVENTS).collect();
        if versions.iter().any(|v| *v != begun.version()) {
            self.mixed += 1;
        } else if answer.status == 200 && answer.complete && events(&answer.body) == rest {
            self.whole += 1;
        } else if answer.status == 503 {
            self.refused += 1;
        } else {
            self.failed += 1;
        }
    }
}

/// Returns the version of each event in a body.
pub fn versions(body: &str) -> Vec<&str> {
    let data = body.lines().filter_map(|l| l.strip_prefix("data: "));
    data.map(|d| d.split_once(" of ").map_or(FIRST_VERSION, |(_, v)| v))
        .collect()
}

/// Begins a stream and closes its connection once [`READ_EVENTS`] have come.
pub fn begin_stream(daemon: &Daemon, id: &str) -> Begun {
    let request = Request::new("/stream/", id).with(MODEL, "m1");
    let mut stream = TcpStream::connect(daemon.callers).unwrap();
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    stream.write_all(&request.bytes(true)).unwrap();
    let mut text = String::new();
    let mut chunk = [0; 1_024];
    loop {
        let whole = text.rfind("\n\n").map_or("", |end| &text[..end]);
        if events(whole).len() as u64 >= READ_EVENTS {
            break;
        }
        let size = stream.read(&mut chunk).unwrap();
        assert!(size > 0, "the stream {id} ended early: {text}");
        text.push_str(&String::from_utf8_lossy(&chunk[..size]));
    }
    let read: Vec<_> = text.split_inclusive("\n\n").collect();
    let is_read = |part: &&str| events(part).iter().all(|id| *id <= READ_EVENTS);
    Begun {
        id: id.to_owned(),
        text: read.into_iter().filter(is_read).collect(),
    }
}
