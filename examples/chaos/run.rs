//! One run: load, faults, recovery and checks.

use std::fs;
use std::io;
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, Sender, bounded, unbounded};
use mastichinge::fakes::site::SiteSettings;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::callers::{Caller, Targets};
use crate::check::{CheckReport, Invariant, check};
use crate::env::Env;
use crate::faults::FaultInjector;
use crate::history::Event;
use crate::operators::{Operator, poll_host};

/// Callers that send completion requests.
const CALLER_COUNT: usize = 16;
/// Callers that send bookings.
const BOOKING_CALLER_COUNT: usize = 6;
/// Callers that send completion requests on connections that they keep.
const KEPT_CALLER_COUNT: usize = 4;
/// Operators.
const OPERATOR_COUNT: usize = 2;
/// Maximum time until the site is quiet after all faults have ended.
const QUIET_TIMEOUT: Duration = Duration::from_secs(60);
/// Pause between two polls of the site.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Threads that generate load until `stop` is closed.
struct LoadGenerator {
    seed: u64,
    targets: Arc<Targets>,
    events: Sender<Event>,
    stop: Receiver<()>,
    threads: Vec<JoinHandle<()>>,
}

/// Runs the faults of `seed` and checks the history.
///
/// # Errors
///
/// The path of this program is unknown or the state of a violation cannot be written.
pub fn run(seed: u64, time: Duration) -> io::Result<CheckReport> {
    let settings = SiteSettings {
        engines: 6,
        models: 8,
        adapters: 4,
        replica_limit: 2,
        load_time: Duration::from_millis(300),
        tokens: 20,
        unfenced_every: 3,
        ..SiteSettings::default()
    };
    let program = std::env::current_exe()?;
    let mut env = Env::start(settings, &program, &["--daemon"]);
    let (sender, events) = unbounded();
    let (stop_sender, stop) = bounded(0);
    let load = LoadGenerator {
        seed,
        targets: Arc::new(targets(&env)),
        events: sender,
        stop,
        threads: Vec::new(),
    };
    let threads = load.start(&env);
    let mut faults = FaultInjector::new(&mut env, seeded_rng(seed, 0));
    faults.run(time);
    let recovered = faults.wait_recovered();
    let fault_log = faults.fault_log;
    drop(stop_sender);
    for thread in threads {
        thread.join().expect("no thread of the load panics");
    }
    let events: Vec<Event> = events.into_iter().collect();
    let mut report = CheckReport::default();
    if !recovered {
        report.add_violation(
            Invariant::NotServed,
            "a fault did not end in time".to_owned(),
        );
    }
    check_all_served(&env, &mut report);
    check(&env, &fault_log, &events, &mut report);
    env.keep_dir = !report.violations.is_empty();
    if env.keep_dir {
        write_state(&env)?;
        println!("logs in {}", env.dir.display());
    }
    Ok(report)
}

/// Writes the rows of the table and the owner's state next to the logs.
fn write_state(env: &Env) -> io::Result<()> {
    let mut text = String::new();
    for (key, item) in env.site.platform.state.get().items {
        if key.starts_with("pin/") || key.starts_with("pool/") {
            text += &format!("{key} {}\n", item.value);
        }
    }
    let owner = env.owner().unwrap_or(0);
    for path in ["/v1/models", "/v1/engines", "/v1/config"] {
        text += &format!("{path} {}\n", env.operator_get(owner, path));
    }
    fs::write(env.dir.join("state.txt"), text)
}

/// Returns the random source of one thread; streams are 0 for the faults, from 1 for
/// the callers and from 1000 for the operators.
fn seeded_rng(seed: u64, stream: u64) -> ChaCha8Rng {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(stream);
    rng
}

fn targets(env: &Env) -> Targets {
    let settings = &env.site.settings;
    let models = (1..=settings.models).map(|i| format!("m{i}"));
    let adapters = (1..=settings.adapters).map(|i| format!("m1-a{i}"));
    Targets {
        caller_urls: (0..env.hosts.len())
            .map(|h| env.caller_url(h, ""))
            .collect(),
        caller_addrs: env
            .hosts
            .iter()
            .map(|h| h.settings.listen.callers)
            .collect(),
        models: models.chain(adapters).collect(),
    }
}

impl LoadGenerator {
    fn start(mut self, env: &Env) -> Vec<JoinHandle<()>> {
        for number in 0..CALLER_COUNT {
            let caller = self.caller(number);
            self.threads
                .push(thread::spawn(move || caller.send_requests()));
        }
        for number in CALLER_COUNT..CALLER_COUNT + BOOKING_CALLER_COUNT {
            let caller = self.caller(number);
            self.threads
                .push(thread::spawn(move || caller.send_bookings()));
        }
        let caller = self.caller(CALLER_COUNT + BOOKING_CALLER_COUNT);
        self.threads
            .push(thread::spawn(move || caller.send_poison_requests()));
        for number in 0..KEPT_CALLER_COUNT {
            let caller = self.caller(CALLER_COUNT + BOOKING_CALLER_COUNT + 1 + number);
            self.threads.push(thread::spawn(move || {
                caller.send_requests_on_kept_connections()
            }));
        }
        let urls: Vec<_> = (0..env.hosts.len())
            .map(|h| env.operator_url(h, ""))
            .collect();
        for number in 0..OPERATOR_COUNT {
            let operator = Operator {
                number,
                rng: seeded_rng(self.seed, 1_000 + number as u64),
                urls: urls.clone(),
                targets: self.targets.clone(),
                events: self.events.clone(),
                stop: self.stop.clone(),
            };
            self.threads
                .push(thread::spawn(move || operator.send_patches()));
        }
        for (host, url) in urls.into_iter().enumerate() {
            let (targets, events) = (self.targets.clone(), self.events.clone());
            let stop = self.stop.clone();
            let poll = move || poll_host(host, &url, &targets, &events, &stop);
            self.threads.push(thread::spawn(poll));
        }
        self.threads
    }

    fn caller(&self, number: usize) -> Caller {
        Caller {
            number,
            rng: seeded_rng(self.seed, 1 + number as u64),
            targets: self.targets.clone(),
            events: self.events.clone(),
            stop: self.stop.clone(),
            host_list: None,
        }
    }
}

/// Waits until the site is quiet, then checks that every model answers one request.
fn check_all_served(env: &Env, report: &mut CheckReport) {
    let deadline = Instant::now() + QUIET_TIMEOUT;
    while !is_quiet(env) {
        if Instant::now() >= deadline {
            let detail = "engines or hosts are still busy".to_owned();
            report.add_violation(Invariant::NotServed, detail);
            break;
        }
        thread::sleep(POLL_INTERVAL);
    }
    for (i, model) in targets(env).models.iter().enumerate() {
        let prompt = format!("are you there {model}");
        let reply = env.send_prompt(i % env.hosts.len(), model, &prompt);
        if reply.text != env.expected_text(&prompt) {
            let detail = format!("{model} at h{}: {reply:?}", i % env.hosts.len() + 1);
            report.add_violation(Invariant::NotServed, detail);
        }
    }
}

fn is_quiet(env: &Env) -> bool {
    let engines = env.site.engines.iter().map(|e| e.report());
    let idle = engines.map(|r| r.running + r.waiting).sum::<u32>() == 0;
    let count = env.hosts.len();
    let version = env.config_version(0);
    idle && (0..count).all(|host| {
        let status = env.operator_get(host, "/v1/status");
        status["waiting"] == 0
            && status["config"] == version
            && env.listed_hosts(host).len() == count
    })
}
