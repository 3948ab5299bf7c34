//! Engines of several software versions: a stream goes on only at the version that began it, in
//! one answer and over its caller's attempts.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use serde_json::Value;
use test_case::test_case;

use crate::fakes::daemon::{Daemon, Request, Response, WAIT_TIMEOUT, wait};
use crate::fakes::engine::{Behavior, EVENTS, Engine, FIRST_VERSION};
use crate::fakes::store::Store;
use crate::site::{MODEL, all_events, desired, events};

/// Version beside the first one.
const SECOND_VERSION: &str = "v1.1";
/// Number of streams of a test.
const STREAMS: usize = 24;
/// Events that a caller reads before its stream is broken off.
const READ_EVENTS: u64 = 2;
/// Time in which a stream that cannot go on is refused; far below what a stream may take.
const MAX_REFUSAL_TIME: Duration = Duration::from_secs(3);

/// A store, engines and daemons.
struct Fleet {
    store: Store,
    engines: Vec<Engine>,
    daemons: Vec<Daemon>,
}

impl Fleet {
    /// Starts one engine for each of these versions, and so many daemons.
    fn start(versions: &[&str], daemons: usize) -> Self {
        let store = Store::start();
        store.put("op", "config", &desired(5));
        let mut fleet = Fleet {
            store,
            engines: Vec::new(),
            daemons: Vec::new(),
        };
        for version in versions {
            fleet.add_engine(version, &["m1"]);
        }
        for number in 1..=daemons {
            let daemon = Daemon::start(&fleet.store, &format!("edge-{number}"));
            fleet.daemons.push(daemon);
        }
        fleet
    }

    fn add_engine(&mut self, version: &str, models: &[&str]) {
        let id = format!("e{}", self.engines.len() + 1);
        let engine = Engine::start(&self.store, &id, "models", models);
        if version != FIRST_VERSION {
            engine.set_software(version);
        }
        self.engines.push(engine);
    }

    /// Waits until all daemons have listed an engine with a change.
    fn wait_for_change(&self, engine: &str, change: &str) {
        wait(change, || {
            let has_it = |l: &Value| l["engine"] == engine && l["change"] == change;
            self.daemons
                .iter()
                .all(|d| d.logged("engine changed").iter().any(has_it))
        });
    }

    /// Kills all daemons at once and starts them again.
    fn kill_all(&mut self) {
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
    fn begin_streams(&self) -> Vec<Begun> {
        let begin = |number: usize| {
            let daemon = &self.daemons[number % self.daemons.len()];
            begin_stream(daemon, &format!("begin-{number}"))
        };
        (0..STREAMS).map(begin).collect()
    }

    /// Takes streams up again, each `distance` daemons after the one that began it.
    fn take_up(&self, begun: &[Begun], distance: usize) -> TakenUp {
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
struct Begun {
    id: String,
    /// Text of its events so far.
    text: String,
}

impl Begun {
    /// Returns the version that began it.
    fn version(&self) -> &str {
        let mut versions = versions(&self.text);
        assert!(versions.iter().all(|v| *v == versions[0]), "{self:?}");
        versions.remove(0)
    }

    fn request(&self, id: &str) -> Request {
        Request::new("/stream/", id)
            .with(MODEL, "m1")
            .with("Last-Event-Id", &READ_EVENTS.to_string())
            .with("Resumes", &self.id)
    }

    fn take_up(&self, daemon: &Daemon, id: &str) -> Response {
        daemon.send(&self.request(id))
    }
}

/// What became of streams that were taken up again.
#[derive(Debug, Default, PartialEq, Eq)]
struct TakenUp {
    /// Those that went on at the version that began them, to the end.
    whole: usize,
    /// Those with events of two versions.
    mixed: usize,
    /// Those that were refused without running.
    refused: usize,
    /// Others.
    failed: usize,
}

impl TakenUp {
    fn record(&mut self, begun: &Begun, answer: &Response) {
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
fn versions(body: &str) -> Vec<&str> {
    let data = body.lines().filter_map(|l| l.strip_prefix("data: "));
    data.map(|d| d.split_once(" of ").map_or(FIRST_VERSION, |(_, v)| v))
        .collect()
}

/// Begins a stream and closes its connection once [`READ_EVENTS`] have come.
fn begin_stream(daemon: &Daemon, id: &str) -> Begun {
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

/// Asserts that no stream has events of two versions, and that all others are whole.
fn assert_unmixed(answers: &[Response]) {
    let mixed = |a: &&Response| versions(&a.body).windows(2).any(|v| v[0] != v[1]);
    let count = answers.iter().filter(mixed).count();
    assert_eq!(count, 0, "of {} streams", answers.len());
    for answer in answers {
        assert_eq!((answer.status, answer.complete), (200, true), "{answer:?}");
        assert_eq!(events(&answer.body), all_events());
    }
}

fn all_whole() -> TakenUp {
    TakenUp {
        whole: STREAMS,
        ..TakenUp::default()
    }
}

/// Guards against ORDER: a stream that broke off was resumed within its answer at an engine of
/// another version.
#[test]
fn a_stream_that_breaks_is_resumed_at_the_version_that_began_it() {
    let fleet = Fleet::start(&["v1", "v1", SECOND_VERSION, SECOND_VERSION], 1);
    for engine in [&fleet.engines[0], &fleet.engines[2]] {
        engine.set_behavior(Behavior::ResetAfter(READ_EVENTS));
    }
    let request = |n| Request::new("/stream/", &format!("s{n}")).with(MODEL, "m1");
    let send = |n: usize| fleet.daemons[0].send(&request(n));
    let answers: Vec<_> = (0..STREAMS).map(send).collect();
    assert_unmixed(&answers);
}

/// Guards against ORDER: a caller took a broken stream up, at the same host or another, and got
/// the rest from another version. The hosts go on meanwhile, or all are killed at once.
#[test_case(0, false; "at the same host")]
#[test_case(1, false; "at another host")]
#[test_case(0, true; "after all hosts were killed")]
fn a_stream_that_is_taken_up_goes_on_at_the_version_that_began_it(distance: usize, kills: bool) {
    let mut fleet = Fleet::start(&["v1", "v1", SECOND_VERSION, SECOND_VERSION], 3);
    let begun = fleet.begin_streams();
    if kills {
        fleet.kill_all();
    }
    let taken = fleet.take_up(&begun, distance);
    assert_eq!(taken, all_whole());
}

/// Guards against ORDER where the streams began before there was a second version, so that
/// nothing had to be known of them; and against the loss of those that could go on.
#[test]
fn streams_from_before_the_second_version_go_on_at_the_first() {
    let mut fleet = Fleet::start(&["v1", "v1"], 3);
    let begun = fleet.begin_streams();
    for _ in 0..2 {
        fleet.add_engine(SECOND_VERSION, &["m1"]);
    }
    fleet.wait_for_change("e4", "appeared");
    fleet.kill_all();
    assert_eq!(fleet.take_up(&begun, 1), all_whole());
}

/// Guards against ORDER where the version that began the streams has left while all hosts were
/// down: hosts that start see one version only, and it is not that of the streams.
#[test]
fn streams_of_a_version_that_has_left_are_refused_at_once() {
    let mut fleet = Fleet::start(&["v1", "v1"], 3);
    let begun = fleet.begin_streams();
    fleet.add_engine(SECOND_VERSION, &["m1"]);
    fleet.add_engine(SECOND_VERSION, &["m1"]);
    for engine in ["e1", "e2"] {
        fleet.store.remove("servers", engine);
    }
    fleet.kill_all();
    let started = Instant::now();
    let refused = TakenUp {
        refused: STREAMS,
        ..TakenUp::default()
    };
    assert_eq!(fleet.take_up(&begun, 1), refused);
    assert!(started.elapsed() < MAX_REFUSAL_TIME * STREAMS as u32);
}

/// Guards against ORDER where an engine has started again under its id and address at another
/// version, and its entry is still that of the lifetime before.
#[test]
fn an_engine_that_has_started_again_unlisted_is_not_taken_for_its_earlier_version() {
    let fleet = Fleet::start(&["v1", "v1"], 1);
    fleet.engines[1].set_behavior(Behavior::ResetAfter(READ_EVENTS));
    fleet.engines[0].replace_unlisted(SECOND_VERSION);
    let mut answers = Vec::new();
    for number in 0..STREAMS {
        let request = Request::new("/stream/", &format!("s{number}")).with(MODEL, "m1");
        answers.push(fleet.daemons[0].send(&request));
    }
    let mixed = |a: &&Response| versions(&a.body).windows(2).any(|v| v[0] != v[1]);
    assert_eq!(answers.iter().filter(mixed).count(), 0);
}

/// Guards against LOST: with one version in service all streams go on after all hosts were killed.
#[test]
fn streams_of_the_only_version_go_on_after_all_hosts_were_killed() {
    let mut fleet = Fleet::start(&["v1", "v1"], 3);
    let begun = fleet.begin_streams();
    fleet.kill_all();
    assert_eq!(fleet.take_up(&begun, 1), all_whole());
}
