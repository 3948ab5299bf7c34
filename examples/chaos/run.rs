//! One run: load, faults, healing, checks.

use std::fs;
use std::io;
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, Sender, bounded, unbounded};
use mastichinge::fakes::site::SiteSettings;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::callers::{Caller, Hosts};
use crate::check::{Findings, Invariant, check};
use crate::env::Env;
use crate::faults::Faults;
use crate::operators::{Operator, watch};
use crate::record::Note;

/// Callers of models.
const CALLERS: usize = 16;
/// Callers that book.
const BOOKERS: usize = 6;
/// Operators.
const OPERATORS: usize = 2;
/// Longest time for the site to become quiet after all has healed.
const QUIET: Duration = Duration::from_secs(60);
/// Pause between two looks at it.
const LOOK: Duration = Duration::from_millis(100);

/// The load: its threads end when `stop` is closed.
struct Load {
    seed: u64,
    hosts: Arc<Hosts>,
    notes: Sender<Note>,
    stop: Receiver<()>,
    threads: Vec<JoinHandle<()>>,
}

/// Runs the faults of `seed` and checks what came of them.
///
/// # Errors
///
/// The system refuses a thread or this program's own path.
pub fn run(seed: u64, time: Duration) -> io::Result<Findings> {
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
    let (sender, notes) = unbounded();
    let (go, stop) = bounded(0);
    let load = Load {
        seed,
        hosts: Arc::new(hosts(&env)),
        notes: sender,
        stop,
        threads: Vec::new(),
    };
    let threads = load.start(&env);
    let mut faults = Faults::new(&mut env, rng(seed, 0));
    faults.run(time);
    let healed = faults.heal();
    let plan = faults.plan;
    drop(go);
    for thread in threads {
        thread.join().expect("no thread of the load panics");
    }
    let notes: Vec<Note> = notes.into_iter().collect();
    let mut findings = Findings::default();
    if !healed {
        findings.violate(Invariant::NotServed, "a fault did not heal".to_owned());
    }
    settle(&env, &mut findings);
    check(&env, &plan, &notes, &mut findings);
    env.keep_dir = !findings.violations.is_empty();
    if env.keep_dir {
        dump(&env)?;
        println!("logs in {}", env.dir.display());
    }
    Ok(findings)
}

/// Writes what the table and the owner hold beside the logs.
fn dump(env: &Env) -> io::Result<()> {
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

fn rng(seed: u64, stream: u64) -> ChaCha8Rng {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(stream);
    rng
}

fn hosts(env: &Env) -> Hosts {
    let settings = &env.site.settings;
    let models = (1..=settings.models).map(|i| format!("m{i}"));
    let adapters = (1..=settings.adapters).map(|i| format!("m1-a{i}"));
    Hosts {
        callers: (0..env.hosts.len())
            .map(|h| env.caller_url(h, ""))
            .collect(),
        models: models.chain(adapters).collect(),
    }
}

impl Load {
    fn start(mut self, env: &Env) -> Vec<JoinHandle<()>> {
        for number in 0..CALLERS {
            let caller = self.caller(number);
            self.threads.push(thread::spawn(move || caller.ask_all()));
        }
        for number in CALLERS..CALLERS + BOOKERS {
            let caller = self.caller(number);
            self.threads.push(thread::spawn(move || caller.book_all()));
        }
        let caller = self.caller(CALLERS + BOOKERS);
        self.threads
            .push(thread::spawn(move || caller.poison_all()));
        let urls: Vec<_> = (0..env.hosts.len())
            .map(|h| env.operator_url(h, ""))
            .collect();
        for number in 0..OPERATORS {
            let operator = Operator {
                number,
                rng: rng(self.seed, 1_000 + number as u64),
                urls: urls.clone(),
                hosts: self.hosts.clone(),
                notes: self.notes.clone(),
                stop: self.stop.clone(),
            };
            self.threads
                .push(thread::spawn(move || operator.patch_all()));
        }
        for (host, url) in urls.into_iter().enumerate() {
            let (hosts, notes) = (self.hosts.clone(), self.notes.clone());
            let stop = self.stop.clone();
            let looks = move || watch(host, &url, &hosts, &notes, &stop);
            self.threads.push(thread::spawn(looks));
        }
        self.threads
    }

    fn caller(&self, number: usize) -> Caller {
        Caller {
            number,
            rng: rng(self.seed, 1 + number as u64),
            hosts: self.hosts.clone(),
            notes: self.notes.clone(),
            stop: self.stop.clone(),
            entry: None,
        }
    }
}

/// Waits for quiet, then asks every model once.
fn settle(env: &Env, findings: &mut Findings) {
    let until = Instant::now() + QUIET;
    while !quiet(env) {
        if Instant::now() >= until {
            let what = "engines or hosts are still busy".to_owned();
            findings.violate(Invariant::NotServed, what);
            break;
        }
        thread::sleep(LOOK);
    }
    for (i, model) in hosts(env).models.iter().enumerate() {
        let prompt = format!("are you there {model}");
        let answer = env.send_prompt(i % env.hosts.len(), model, &prompt);
        if answer.text != env.expected_text(&prompt) {
            let what = format!("{model} at h{}: {answer:?}", i % env.hosts.len() + 1);
            findings.violate(Invariant::NotServed, what);
        }
    }
}

fn quiet(env: &Env) -> bool {
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
