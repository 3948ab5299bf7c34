//! Requests that crash engines again and again, beside sound streams that share their first part.

use std::collections::{BTreeMap, BTreeSet};
use std::io::Write;
use std::net::TcpStream;
use std::sync::OnceLock;
use std::thread;
use std::time::{Duration, Instant};

use test_case::test_case;

use crate::fakes::daemon::{Daemon, Request, Response, wait};
use crate::fakes::engine::crashes::Trigger;
use crate::fakes::engine::{CrashMoment, CrashedAddress, Deadly, Engine};
use crate::fakes::store::Store;
use crate::site::{MODEL, desired};

/// Header with the parts of a prompt.
const PREFIX: &str = "X-Mastichinge-Prompt-Prefix";
/// Part that all requests share.
const FIRST: &str = "5c1e07a2";
/// Part that crashes engines.
const BAD: &str = "91bd3f06";
/// Start of the bodies of requests that crash engines.
const DEADLY: &str = "deadly";
/// Crashes after which a request counts, by the platform's rule.
const REQUEST_CRASHES: usize = 3;
/// Crashes from which hosts know enough of one of many requests that engines never answered.
const KNOWN_CRASHES: usize = 2;
/// Crashes after which a part counts, by the platform's rule.
const PART_CRASHES: usize = 5;
/// Time after the last of these crashes from which sendings count.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Sendings of one request, or with one part, that are allowed then.
const MAX_SENT: usize = 3;
/// Time after the crashes from which sound requests are to be served.
const RECOVERY_TIME: Duration = Duration::from_secs(6);
/// Part of the sound requests that must be served then.
const MIN_SERVED: f64 = 0.9;
/// Pause before each event of a stream.
const PACE: Duration = Duration::from_millis(90);
/// Pause between two sound requests.
const SOUND_PAUSE: Duration = Duration::from_millis(60);
/// Time after which callers leave that do.
const LEAVE_TIME: Duration = Duration::from_millis(150);
/// Number of the caller that leaves after which another daemon starts.
const START_AT: usize = 15;
/// Pause between two requests that crash engines.
const DEADLY_PAUSE: Duration = Duration::from_millis(300);
/// Time for which requests are answered that crash engines later.
const SOUND_TIME: Duration = Duration::from_secs(3);
/// Time for which requests are sent that crash engines.
const RUN_TIME: Duration = Duration::from_secs(20);
/// The same with many different requests that crash engines, each three times, as they are tried
/// one after the other.
const LONG_RUN_TIME: Duration = Duration::from_secs(60);
/// Time for which sound requests are sent alone afterwards, as the last crash may come late.
const REST_TIME: Duration = Duration::from_secs(10);
/// Sound requests after the crashes below which their share says nothing.
const MIN_COUNT: usize = 20;

/// Maximum number of log lines that a failed test prints.
const MAX_DECISIONS: usize = 30;

/// Requests that crash engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    /// So many different ones, each again and again.
    Requests(usize),
    /// One that engines answer for [`SOUND_TIME`].
    OnceSound,
    /// Different ones with the part [`BAD`].
    Part,
}

impl Kind {
    /// Returns the body and the shared parts of the request number `n`.
    fn request(self, n: usize) -> (String, Vec<&'static str>) {
        match self {
            Kind::Requests(count) => (format!("{DEADLY} {}", n % count), vec![FIRST]),
            Kind::OnceSound => (DEADLY.to_owned(), vec![FIRST]),
            Kind::Part => (format!("{DEADLY} {n}"), vec![FIRST, BAD]),
        }
    }

    fn trigger(self) -> Trigger {
        match self {
            Kind::Part => Trigger::Part(BAD.to_owned()),
            Kind::Requests(_) | Kind::OnceSound => Trigger::Body(DEADLY),
        }
    }

    /// Returns the time for which its requests are sent.
    fn run_time(self) -> Duration {
        match self {
            Kind::Requests(count) if count > 1 => LONG_RUN_TIME,
            _ => RUN_TIME,
        }
    }

    /// Returns the crashes from which hosts know enough.
    fn known_crashes(self) -> usize {
        match self {
            Kind::Requests(count) if count > 1 => KNOWN_CRASHES,
            _ => self.counted_crashes(),
        }
    }

    /// Returns the crashes after which sendings count.
    fn counted_crashes(self) -> usize {
        match self {
            Kind::Part => PART_CRASHES,
            Kind::Requests(_) | Kind::OnceSound => REQUEST_CRASHES,
        }
    }
}

/// A sound request as sent, and its response.
struct Sent {
    at: Instant,
    /// Whether requests that crash engines were still sent.
    beside_deadly: bool,
    response: Response,
}

impl Sent {
    fn is_served(&self) -> bool {
        self.response.status == 200 && self.response.complete
    }
}

/// Six engines of one model, and three daemons.
struct Deployment {
    kind: Kind,
    engines: Vec<Engine>,
    daemons: Vec<Daemon>,
    store: Store,
    /// Whether callers leave, and another daemon starts, while requests are sent.
    is_disturbed: bool,
    started: OnceLock<Daemon>,
}

impl Deployment {
    fn start(kind: Kind, moment: CrashMoment, address: CrashedAddress) -> Self {
        let store = Store::start();
        store.put("op", "config", &desired(5));
        let engines = ["e1", "e2", "e3", "e4", "e5", "e6"];
        let engines = engines.map(|id| Engine::start(&store, id, "models", &["m1"]));
        let hosts = ["edge-1", "edge-2", "edge-3"];
        let daemons = hosts.map(|host| Daemon::start(&store, host));
        wait("the members", || {
            let heard = |d: &Daemon| d.logged("member alive").len() >= hosts.len() - 1;
            daemons.iter().all(heard)
        });
        let mut from = Instant::now();
        if kind == Kind::OnceSound {
            from += SOUND_TIME;
        }
        for engine in &engines {
            engine.set_pace(PACE);
            engine.set_crashed_address(address);
            let trigger = kind.trigger();
            engine.set_deadly(Deadly {
                trigger,
                moment,
                from,
            });
        }
        Deployment {
            kind,
            engines: engines.into(),
            daemons: daemons.into(),
            store,
            is_disturbed: false,
            started: OnceLock::new(),
        }
    }

    fn daemons(&self) -> impl Iterator<Item = &Daemon> {
        self.daemons.iter().chain(self.started.get())
    }

    /// Returns the daemon for the request number `n`.
    fn daemon(&self, n: usize) -> &Daemon {
        let count = self.daemons().count();
        self.daemons().nth(n % count).unwrap()
    }

    /// Starts one more daemon, and lets callers leave whose requests are sound.
    fn disturb(&self, run_time: Duration) {
        let began = Instant::now();
        for n in 0.. {
            if began.elapsed() >= run_time {
                return;
            }
            let request = request(&format!("l{n}"), format!("sound and left {n}"), &[FIRST]);
            let stream = TcpStream::connect(self.daemon(n).callers);
            // A daemon that has no room refuses the connection.
            let sent = stream.and_then(|mut s| s.write_all(&request.bytes(true)).map(|()| s));
            thread::sleep(LEAVE_TIME);
            drop(sent);
            if n == START_AT {
                let daemon = Daemon::start(&self.store, "edge-4");
                assert!(self.started.set(daemon).is_ok());
            }
        }
    }

    /// Sends requests to the daemons in turn; returns the sound ones.
    fn run(&self) -> Vec<Sent> {
        let run_time = self.kind.run_time();
        let started = Instant::now();
        thread::scope(|scope| {
            if self.is_disturbed {
                scope.spawn(|| self.disturb(run_time));
            }
            scope.spawn(|| {
                let mut n = 0;
                while started.elapsed() < run_time {
                    let (body, parts) = self.kind.request(n);
                    let request = request(&format!("d{n}"), body, &parts);
                    let daemon = self.daemon(n);
                    scope.spawn(move || daemon.send(&request));
                    n += 1;
                    thread::sleep(DEADLY_PAUSE);
                }
            });
            let mut senders = Vec::new();
            while started.elapsed() < run_time + REST_TIME {
                let n = senders.len();
                let beside_deadly = started.elapsed() < run_time;
                let id = format!("s{n}");
                let request = request(&id, format!("sound {n}"), &[FIRST]);
                let daemon = self.daemon(n);
                senders.push(scope.spawn(move || {
                    let at = Instant::now();
                    let response = daemon.send(&request);
                    Sent {
                        at,
                        beside_deadly,
                        response,
                    }
                }));
                thread::sleep(SOUND_PAUSE);
            }
            let sent = senders.into_iter().map(|s| s.join().unwrap());
            sent.collect()
        })
    }

    /// Returns when engines crashed on requests with this body, or on any if that is empty.
    fn crashes(&self, body: &[u8]) -> Vec<Instant> {
        let all = self.engines.iter().flat_map(Engine::crashes);
        let by_body = all.filter(|(_, b)| body.is_empty() || b == body);
        let mut crashes: Vec<_> = by_body.map(|(at, _)| at).collect();
        crashes.sort();
        crashes
    }

    /// Returns the bodies by which crashes and sendings are counted: one of each request, or an
    /// empty one for all with the part.
    fn counted_bodies(&self) -> BTreeSet<Vec<u8>> {
        let bodies = self.engines.iter().flat_map(Engine::arrivals);
        match self.kind {
            Kind::Part => [Vec::new()].into(),
            _ => bodies.map(|a| a.body).filter(|b| is_deadly(b)).collect(),
        }
    }

    /// Returns when requests that crash engines, or those with this body, were sent.
    fn sendings(&self, body: &[u8]) -> Vec<Instant> {
        let is_it = |b: &[u8]| is_deadly(b) && (body.is_empty() || b == body);
        let engines = self.engines.iter();
        engines
            .flat_map(|e| e.arrivals_of(|a| is_it(&a.body)))
            .collect()
    }

    /// Returns the last crash of a request, or of the part, after which sendings count.
    fn counted_crash(&self, body: &[u8]) -> Option<Instant> {
        let crashes = self.crashes(body);
        crashes.get(self.kind.counted_crashes() - 1).copied()
    }

    /// Returns the largest number of sendings of one request, or with the part, that came too
    /// late, and the number of all sendings.
    fn sent(&self) -> (usize, usize) {
        let too_late = |body: &Vec<u8>| {
            let Some(last) = self.counted_crash(body) else {
                return 0;
            };
            let late = self.sendings(body).into_iter();
            late.filter(|at| *at >= last + CONTACT_TIME).count()
        };
        let most = self.counted_bodies().iter().map(too_late).max();
        (most.unwrap_or(0), self.sendings(b"").len())
    }

    /// Returns which part of how many sound requests was served after the last of so many crashes
    /// of each request that crashes engines, or of the part.
    fn served_after(&self, crashes: usize, sent: &[Sent]) -> (f64, usize) {
        let bodies = self.counted_bodies();
        let nth = |body: &Vec<u8>| self.crashes(body).into_iter().take(crashes).next_back();
        let last = bodies.iter().filter_map(nth).max();
        let last = last.expect("no engine crashed");
        let later = sent.iter().filter(|s| s.at >= last + RECOVERY_TIME);
        let beside = later.clone().filter(|s| s.beside_deadly).count();
        // Those that were sent alone are easier to serve: no more of them than needed.
        let counted = later.take(beside.max(MIN_COUNT));
        let count = counted.clone().count();
        let served = counted.filter(|s| s.is_served()).count();
        (served as f64 / count.max(1) as f64, count)
    }

    /// Returns the first of what the daemons have logged of held features.
    fn decisions(&self) -> Vec<String> {
        let lines = self.daemons().flat_map(Daemon::lines);
        let of_features = lines.filter(|l| !l["feature"].is_null());
        of_features
            .map(|l| l.to_string())
            .take(MAX_DECISIONS)
            .collect()
    }
}

/// Returns how many sound requests were not served, by their responses.
fn unserved(sent: &[Sent]) -> BTreeMap<(u16, &str), usize> {
    let mut counts = BTreeMap::new();
    for Sent { response, .. } in sent.iter().filter(|s| !s.is_served()) {
        let text = match response.status {
            200 => "incomplete",
            _ => &response.body,
        };
        *counts.entry((response.status, text)).or_default() += 1;
    }
    counts
}

fn is_deadly(body: &[u8]) -> bool {
    body.starts_with(DEADLY.as_bytes())
}

/// Returns a request for a stream with this body, and these parts in its prompt before its own.
fn request(id: &str, body: String, parts: &[&str]) -> Request {
    let shared: Vec<_> = parts.iter().map(|part| format!("{part}:100")).collect();
    let own = xxhash_rust::xxh3::xxh3_64(body.as_bytes());
    let prefix = format!("{},{own:x}:50", shared.join(","));
    let request = Request::new("/stream/", id)
        .with(MODEL, "m1")
        .with(PREFIX, &prefix);
    Request { body, ..request }
}

/// Guards against BUDGET, where a request or part was sent on long after it had crashed engines,
/// and against LOST, where sound requests were refused that had been near.
#[test_case(Kind::OnceSound, CrashMoment::AfterHead, CrashedAddress::Resets; "a request that was sound before")]
#[test_case(Kind::Requests(12), CrashMoment::BeforeHead, CrashedAddress::Resets; "many before any byte")]
#[test_case(Kind::Requests(12), CrashMoment::AfterHead, CrashedAddress::Resets; "many after the head")]
#[test_case(Kind::Requests(1), CrashMoment::BeforeHead, CrashedAddress::Silent; "a silent crash before any byte")]
#[test_case(Kind::OnceSound, CrashMoment::AfterHead, CrashedAddress::Silent; "a silent crash on a request that was sound before")]
#[test_case(Kind::Requests(12), CrashMoment::BeforeHead, CrashedAddress::Silent; "silent crashes on many before any byte")]
#[test_case(Kind::Requests(1), CrashMoment::BeforeHead, CrashedAddress::Refuses; "connections that end in order")]
#[test_case(Kind::Requests(1), CrashMoment::BeforeHead, CrashedAddress::Gateway; "a gateway that answers 502")]
#[test_case(Kind::Part, CrashMoment::BeforeHead, CrashedAddress::Silent; "silent crashes on a part")]
fn what_crashes_engines_is_held_and_the_rest_is_served(
    kind: Kind,
    moment: CrashMoment,
    address: CrashedAddress,
) {
    check(&Deployment::start(kind, moment, address));
}

/// Guards against BUDGET and LOST where some callers leave at the engines that crash, and a host
/// starts that has seen none of the crashes.
#[test_case(Kind::Requests(1), CrashMoment::BeforeHead, CrashedAddress::Silent; "a request")]
#[test_case(Kind::Part, CrashMoment::AfterHead, CrashedAddress::Resets; "a part")]
fn callers_that_leave_and_a_host_that_starts_change_nothing(
    kind: Kind,
    moment: CrashMoment,
    address: CrashedAddress,
) {
    let mut site = Deployment::start(kind, moment, address);
    site.is_disturbed = true;
    check(&site);
}

/// Sends requests, and checks how many were sent too late, and how many sound ones were served.
fn check(site: &Deployment) {
    let kind = site.kind;
    let sound = site.run();
    let (too_late, sent) = site.sent();
    let (served, count) = site.served_after(kind.known_crashes(), &sound);
    let (later, later_count) = site.served_after(kind.counted_crashes(), &sound);
    println!(
        "{kind:?}: sent {sent}, {too_late} too late, served {served:.3} of \
         {count}, {later:.3} of the last {later_count}; not served: {:?}",
        unserved(&sound)
    );
    let held = site.decisions();
    assert!(too_late <= MAX_SENT, "{too_late} too late; {held:#?}");
    for (served, count) in [(served, count), (later, later_count)] {
        assert!(
            count >= MIN_COUNT,
            "{count} sound requests after the crashes; {held:#?}"
        );
        assert!(
            served >= MIN_SERVED,
            "{served} of {count} served; {held:#?}"
        );
    }
}
