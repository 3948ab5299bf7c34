//! A site with its daemons as processes, for end-to-end tests and examples.

#![allow(dead_code)]

pub mod loopback;

use std::fs;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU8, AtomicU32, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use mastichinge::fakes::site::{CALLER_KEY, OPERATOR_KEY, Site, SiteSettings};
use mastichinge::settings::Settings;
use serde_json::{Value, json};

pub use loopback::network_octet;

/// Longest wait for a condition; far beyond what a healthy run needs.
const PATIENCE: Duration = Duration::from_secs(60);
/// Pause between two looks.
const LOOK: Duration = Duration::from_millis(20);

/// A site with its daemons.
pub struct Env {
    /// Stand-ins.
    pub site: Site,
    /// Entry hosts.
    pub hosts: Vec<Host>,
    /// Settings and logs of the daemons.
    pub dir: PathBuf,
    /// The folder stays after the end.
    pub keep: bool,
    program: PathBuf,
    args: Vec<String>,
}

/// One entry host.
pub struct Host {
    /// Settings of its daemon.
    pub settings: Settings,
    child: Option<Child>,
}

/// A streamed answer as the caller saw it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Answer {
    /// HTTP status; 0 when no answer came.
    pub status: u16,
    /// Text of the answer.
    pub text: String,
    /// The stream ended with its last event.
    pub whole: bool,
    /// Error code of a refusal, or of a stream that broke.
    pub code: String,
    /// `Retry-After`, if any.
    pub retry_after: Option<String>,
    /// Time to the first token.
    pub first: Option<Duration>,
}

/// A call that may not be repeated.
#[derive(Clone, Debug, Default)]
pub struct Booking {
    /// Idempotency key.
    pub key: String,
    /// Body.
    pub body: String,
    /// The caller states that it has not sent the key before.
    pub first: bool,
    /// Deadline, ms; the service's own where 0.
    pub deadline: u64,
}

/// What the caller of a booking was told.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Booked {
    /// HTTP status; 0 when no answer came.
    pub status: u16,
    /// Number of the run that the service answered; 0 for a refusal.
    pub run: u64,
    /// Kind of a refusal.
    pub kind: String,
}

impl Env {
    /// Starts a site and all its daemons from `program`, and waits until every
    /// host names all hosts.
    pub fn start(settings: SiteSettings, program: &Path, args: &[&str]) -> Env {
        static NETWORK: AtomicU8 = AtomicU8::new(0);
        let network = NETWORK.fetch_add(1, Ordering::Relaxed);
        let settings = SiteSettings {
            net: [127, network_octet(), network],
            ..settings
        };
        let site = Site::start(settings).expect("the site starts");
        Env::around(site, program, args)
    }

    /// Starts the daemons of a site.
    pub fn around(site: Site, program: &Path, args: &[&str]) -> Env {
        static NUMBER: AtomicU32 = AtomicU32::new(0);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let name = format!("mastichinge-{}-{number}", std::process::id());
        let dir = std::env::temp_dir().join(name);
        fs::create_dir_all(&dir).expect("a folder for settings");
        let all = site.daemons();
        let hosts = all.into_iter().map(|settings| Host {
            settings,
            child: None,
        });
        let mut env = Env {
            hosts: hosts.collect(),
            site,
            program: program.to_owned(),
            args: args.iter().map(|a| (*a).to_owned()).collect(),
            dir,
            keep: false,
        };
        for host in 0..env.hosts.len() {
            env.launch(host);
        }
        env.wait_all();
        env
    }

    /// Starts the daemon of a host.
    pub fn launch(&mut self, host: usize) {
        let settings = &self.hosts[host].settings;
        let path = self.dir.join(format!("{}.json", settings.host));
        let text = serde_json::to_string(settings).expect("settings are JSON");
        fs::write(&path, text).expect("the settings file is written");
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.dir.join(format!("{}.log", settings.host)))
            .expect("a log file");
        let child = Command::new(&self.program)
            .args(&self.args)
            .arg("--settings")
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the daemon starts");
        self.hosts[host].child = Some(child);
    }

    /// Waits until every running host names all running hosts.
    pub fn wait_all(&self) {
        let running = self.running();
        for host in &running {
            self.wait_entry(*host, running.len());
        }
        self.wait("an owner", || {
            running.iter().any(|host| !self.pools(*host).is_empty())
        });
    }

    /// Waits until `host` names `count` hosts to its callers.
    pub fn wait_entry(&self, host: usize, count: usize) {
        let what = format!("host {host} names {count} hosts");
        self.wait(&what, || self.entry(host).len() == count);
    }

    /// Hosts whose daemon runs.
    pub fn running(&self) -> Vec<usize> {
        let hosts = self.hosts.iter().enumerate();
        hosts
            .filter(|(_, h)| h.child.is_some())
            .map(|(i, _)| i)
            .collect()
    }

    /// Hosts that `host` names to its callers.
    pub fn entry(&self, host: usize) -> Vec<String> {
        entry(&self.caller_url(host, "/v1/hosts"), Duration::from_secs(2))
    }

    /// URL of a path for callers.
    pub fn caller_url(&self, host: usize, path: &str) -> String {
        format!("http://{}{path}", self.hosts[host].settings.listen.callers)
    }

    /// URL of a path for operators.
    pub fn operator_url(&self, host: usize, path: &str) -> String {
        format!(
            "http://{}{path}",
            self.hosts[host].settings.listen.operators
        )
    }

    /// Reads a path as an operator; null when no answer came.
    pub fn look(&self, host: usize, path: &str) -> Value {
        let url = self.operator_url(host, path);
        read(&url, OPERATOR_KEY, Duration::from_secs(5))
    }

    /// Patches the configuration through `host`; answers status and body.
    pub fn patch(&self, host: usize, base: u64, attempt: &str, patched: &Value) -> (u16, Value) {
        patch(
            &self.operator_url(host, "/v1/config"),
            base,
            attempt,
            patched,
        )
    }

    /// Configuration version in force at `host`.
    pub fn version(&self, host: usize) -> u64 {
        self.look(host, "/v1/status")["config"]
            .as_u64()
            .unwrap_or(0)
    }

    /// The running host that owns the pool `main`.
    pub fn owner(&self) -> Option<usize> {
        self.owner_of("main")
    }

    /// The running host that owns `pool`.
    pub fn owner_of(&self, pool: &str) -> Option<usize> {
        let mut running = self.running().into_iter();
        running.find(|host| self.pools(*host).iter().any(|p| p == pool))
    }

    /// Pools that `host` owns.
    pub fn pools(&self, host: usize) -> Vec<Value> {
        let status = self.look(host, "/v1/status");
        status["pools"].as_array().cloned().unwrap_or_default()
    }

    /// Process id of the daemon of a running host.
    pub fn process(&self, host: usize) -> Option<u32> {
        self.hosts[host].child.as_ref().map(Child::id)
    }

    /// Waits for a condition.
    pub fn wait(&self, what: &str, holds: impl Fn() -> bool) {
        let until = Instant::now() + PATIENCE;
        while !holds() {
            if Instant::now() >= until {
                panic!("waited in vain: {what}; logs in {}", self.dir.display());
            }
            thread::sleep(LOOK);
        }
    }

    /// Kills the daemon of a host at once.
    pub fn kill(&mut self, host: usize) {
        if let Some(mut child) = self.hosts[host].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends a signal to the daemon of a host.
    pub fn signal(&self, host: usize, signal: libc::c_int) {
        let Some(child) = &self.hosts[host].child else {
            return;
        };
        let id = libc::pid_t::try_from(child.id()).expect("a process id");
        // SAFETY: the child is not yet waited for, so the id is its own.
        unsafe { libc::kill(id, signal) };
    }

    /// Freezes the daemon of a host.
    pub fn freeze(&self, host: usize) {
        self.signal(host, libc::SIGSTOP);
    }

    /// Lets a frozen daemon go on.
    pub fn thaw(&self, host: usize) {
        self.signal(host, libc::SIGCONT);
    }

    /// Tells a daemon to drain; [`Env::exited`] waits for it.
    pub fn terminate(&self, host: usize) {
        self.signal(host, libc::SIGTERM);
    }

    /// Waits until the daemon of a host has exited.
    pub fn exited(&mut self, host: usize) -> ExitStatus {
        let until = Instant::now() + PATIENCE;
        while Instant::now() < until {
            if let Some(status) = self.try_exited(host) {
                return status;
            }
            thread::sleep(LOOK);
        }
        panic!("host {host} did not exit; logs in {}", self.dir.display());
    }

    /// How the daemon of a host exited, once it has.
    pub fn try_exited(&mut self, host: usize) -> Option<ExitStatus> {
        let child = self.hosts[host].child.as_mut().expect("a running daemon");
        let status = child.try_wait().ok().flatten()?;
        self.hosts[host].child = None;
        Some(status)
    }

    /// Sends a prompt and reads the whole streamed answer.
    pub fn ask(&self, host: usize, model: &str, prompt: &str) -> Answer {
        ask(
            &self.caller_url(host, "/v1/chat/completions"),
            model,
            prompt,
            &[],
        )
    }

    /// Sends a booking.
    pub fn book(&self, host: usize, booking: &Booking) -> Booked {
        book(&self.caller_url(host, "/services/seats/bookings"), booking)
    }

    /// Sends a booking on a thread of its own.
    pub fn book_later(&self, host: usize, booking: &Booking) -> JoinHandle<Booked> {
        let url = self.caller_url(host, "/services/seats/bookings");
        let booking = booking.clone();
        thread::spawn(move || book(&url, &booking))
    }

    /// Sends a prompt on a thread of its own.
    pub fn ask_later(&self, host: usize, model: &str, prompt: &str) -> JoinHandle<Answer> {
        let url = self.caller_url(host, "/v1/chat/completions");
        let (model, prompt) = (model.to_owned(), prompt.to_owned());
        thread::spawn(move || ask(&url, &model, &prompt, &[]))
    }

    /// The whole answer that an engine of this site gives to `prompt`.
    pub fn expected(&self, prompt: &str) -> String {
        mastichinge::fakes::engine::answer(prompt, self.site.settings.tokens).concat()
    }
}

impl Drop for Env {
    fn drop(&mut self) {
        for host in 0..self.hosts.len() {
            self.kill(host);
        }
        if !thread::panicking() && !self.keep {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

/// Reads JSON within `limit`; null when no answer came.
pub fn read(url: &str, key: &str, limit: Duration) -> Value {
    let answer = attohttpc::get(url).bearer_auth(key).timeout(limit).send();
    let Ok(text) = answer.and_then(|a| a.text()) else {
        return Value::Null;
    };
    serde_json::from_str(&text).unwrap_or(Value::Null)
}

/// Hosts that the entry answer at `url` names; none without an answer.
pub fn entry(url: &str, limit: Duration) -> Vec<String> {
    let body = read(url, CALLER_KEY, limit);
    let hosts = body["hosts"].as_array().cloned().unwrap_or_default();
    let names = hosts.iter().filter_map(|h| h["host"].as_str());
    names.map(str::to_owned).collect()
}

/// Sends a prompt with further head fields and reads the streamed answer.
pub fn ask(url: &str, model: &str, prompt: &str, fields: &[(&'static str, &str)]) -> Answer {
    ask_part(url, model, prompt, fields, usize::MAX)
}

/// As [`ask`], but hangs up after `most` pieces of the answer.
pub fn ask_part(
    url: &str,
    model: &str,
    prompt: &str,
    fields: &[(&'static str, &str)],
    most: usize,
) -> Answer {
    let body = json!({
        "model": model,
        "stream": true,
        "messages": [{"role": "user", "content": prompt}],
    });
    let begun = Instant::now();
    let mut request = attohttpc::post(url)
        .bearer_auth(CALLER_KEY)
        .connect_timeout(Duration::from_secs(2))
        .read_timeout(PATIENCE);
    for (name, value) in fields {
        request = request.header(*name, *value);
    }
    let Ok(answer) = request.text(body.to_string()).send() else {
        return Answer::default();
    };
    let mut seen = Answer {
        status: answer.status().as_u16(),
        ..Answer::default()
    };
    let retry = answer.headers().get("retry-after");
    seen.retry_after = retry.and_then(|r| r.to_str().ok()).map(str::to_owned);
    if seen.status != 200 {
        let text = answer.text().unwrap_or_default();
        let body: Value = serde_json::from_str(&text).unwrap_or_default();
        seen.code = body["error"]["code"]
            .as_str()
            .unwrap_or_default()
            .to_owned();
        return seen;
    }
    let mut pieces = 0;
    for line in BufReader::new(answer).lines() {
        let Ok(line) = line else {
            break;
        };
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        seen.whole |= data == "[DONE]";
        let chunk: Value = serde_json::from_str(data).unwrap_or_default();
        if let Some(code) = chunk["error"]["code"].as_str() {
            seen.code = code.to_owned();
        }
        let piece = chunk["choices"][0]["delta"]["content"].as_str();
        if let Some(piece) = piece.filter(|p| !p.is_empty()) {
            seen.first.get_or_insert_with(|| begun.elapsed());
            seen.text.push_str(piece);
            pieces += 1;
        }
        if pieces >= most {
            break;
        }
    }
    seen
}

/// Sends a booking and reads the answer.
pub fn book(url: &str, booking: &Booking) -> Booked {
    let mut request = attohttpc::post(url)
        .bearer_auth(CALLER_KEY)
        .header("Idempotency-Key", &booking.key)
        .connect_timeout(Duration::from_secs(2))
        .read_timeout(PATIENCE);
    if booking.first {
        request = request.header("X-First-Attempt", "1");
    }
    if booking.deadline > 0 {
        request = request.header("X-Deadline-Ms", booking.deadline);
    }
    let Ok(answer) = request.text(&booking.body).send() else {
        return Booked::default();
    };
    let status = answer.status().as_u16();
    let Ok(text) = answer.text() else {
        return Booked::default();
    };
    let body: Value = serde_json::from_str(&text).unwrap_or_default();
    Booked {
        status,
        run: body["run"].as_u64().unwrap_or(0),
        kind: body["kind"].as_str().unwrap_or_default().to_owned(),
    }
}

/// Patches the configuration at `url`; answers status and body, 0 without one.
pub fn patch(url: &str, base: u64, attempt: &str, patched: &Value) -> (u16, Value) {
    let answer = attohttpc::patch(url)
        .bearer_auth(OPERATOR_KEY)
        .header("If-Match", format!("\"{base}\""))
        .header("Idempotency-Key", attempt)
        .connect_timeout(Duration::from_secs(2))
        .timeout(Duration::from_secs(20))
        .text(patched.to_string())
        .send();
    let Ok(answer) = answer else {
        return (0, Value::Null);
    };
    let status = answer.status().as_u16();
    let text = answer.text().unwrap_or_default();
    (status, serde_json::from_str(&text).unwrap_or(Value::Null))
}
